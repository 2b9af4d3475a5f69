"""A client that keeps its connection (PROTOCOL.md)."""

import asyncio


class Answer:
    def __init__(self, status, fields, body):
        self.status = status  # None: the connection ended without a whole answer
        self.fields = fields
        self.body = body


class Client:
    """Sends one request at a time to one gateway."""

    def __init__(self, gateway):
        self.gateway = gateway
        self.reader = None
        self.writer = None

    async def ask(self, method, target, fields, body=b"", timeout=8):
        """Sends a request; answers within `timeout` seconds, with status None if there was no answer."""
        try:
            if self.writer is None:
                self.reader, self.writer = await asyncio.wait_for(
                    asyncio.open_connection(self.gateway.address, self.gateway.ports["http"]), 1)
            head = "%s %s HTTP/1.1\r\n" % (method, target)
            head += "".join("%s: %s\r\n" % field for field in fields.items())
            if body or method == "POST":
                head += "Content-Length: %d\r\n" % len(body)
            self.writer.write(head.encode() + b"\r\n" + body)
            return await asyncio.wait_for(self._read(), timeout)
        except (asyncio.IncompleteReadError, ConnectionError, OSError, asyncio.TimeoutError):
            self.close()
            return Answer(None, {}, b"")

    async def _read(self):
        head = (await self.reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        lines = head.split("\r\n")
        fields = {}
        for line in lines[1:]:
            name, _, value = line.partition(":")
            if name:
                fields[name.strip().lower()] = value.strip()
        body = await self.reader.readexactly(int(fields.get("content-length", "0")))
        if fields.get("connection", "").lower() == "close":
            self.close()
        return Answer(int(lines[0].split(" ")[1]), fields, body)

    def close(self):
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None
