"""A sound backend server (PROTOCOL.md)."""

import asyncio


class Run:
    """One request as a backend got it."""

    def __init__(self, request, time, server, fields, target):
        self.request = request
        self.time = time
        self.server = server
        self.fields = fields
        self.target = target
        self.ended = None


class Backend:
    """Answers each request after `work` seconds. All runs are appended to `runs`."""

    def __init__(self, name, service, zone, runs, work=0.005, slots=8):
        self.name = name
        self.service = service
        self.zone = zone
        self.runs = runs
        self.work = work
        self.slots = slots
        self.busy = 0
        self.sequence = 1
        self.state = "ready"
        self.server = None
        self.address = None
        self.connections = set()

    async def start(self, store):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]
        self.register(store)

    def register(self, store):
        return store.put("servers/" + self.name, {
            "service": self.service, "address": self.address, "zone": self.zone, "version": "v1",
            "slots": self.slots, "state": self.state, "slow_start_ms": 0, "sequence": self.sequence})

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                lines = head.split("\r\n")
                fields = {}
                for line in lines[1:]:
                    name, _, value = line.partition(":")
                    if name:
                        fields.setdefault(name.strip().lower(), value.strip())
                await reader.readexactly(int(fields.get("content-length", "0")))
                await self.answer(lines[0], fields, writer)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def answer(self, line, fields, writer):
        request = fields.get("x-request-id", "")
        echo = "X-Request-Id: %s\r\n" % request if request else ""
        if fields.get("x-target-instance", self.name) != self.name:
            return self.write(writer, "421 Misdirected Request", echo + "X-Instance-Id: %s\r\n" % self.name, b"")
        if self.busy >= self.slots:
            return self.write(writer, "503 Service Unavailable", echo + "X-Not-Executed: 1\r\n", b"")
        run = Run(request, asyncio.get_running_loop().time(), self.name, fields, line.split(" ")[1])
        self.runs.append(run)
        self.busy += 1
        try:
            await asyncio.sleep(self.work)
        finally:
            self.busy -= 1
        run.ended = asyncio.get_running_loop().time()
        body = b"answer of %s to %s" % (self.name.encode(), request.encode())
        self.write(writer, "200 OK", echo + "X-Backend-Signature: %s.%s\r\n" % (self.name, request), body)

    @staticmethod
    def write(writer, status, fields, body):
        writer.write(("HTTP/1.1 %s\r\n%sContent-Length: %d\r\n\r\n" % (status, fields, len(body))).encode() + body)
