"""Stand-in of the platform's metadata store (PROTOCOL.md): items, watches, transactions, leases."""

import asyncio
import base64
import json
import time
import urllib.parse


class Store:
    """Keeps all items in memory. Writes of the operator and of backends are method calls."""

    def __init__(self):
        self.revision = 1
        self.items = {}
        self.history = []
        self.leases = {}
        self.last_lease = 100
        self.changed = asyncio.Event()
        self.servers = []
        self.address = None
        self.turned_away = set()

    async def start(self):
        self.address = await self.open_door("")

    async def open_door(self, name):
        """Opens an address for one machine, which the store can turn away by this name."""
        server = await asyncio.start_server(
            lambda reader, writer: self._serve(reader, writer, name), "127.0.0.1", 0)
        self.servers.append(server)
        return "127.0.0.1:%d" % server.sockets[0].getsockname()[1]

    def put(self, key, value, lease=0):
        """Writes a value and returns the time of the acknowledgement."""
        raw = value if isinstance(value, bytes) else json.dumps(value).encode()
        self._write(key, base64.b64encode(raw).decode(), lease)
        return time.monotonic()

    def remove(self, key):
        if self.items.pop(key, None) is None:
            return time.monotonic()
        self.revision += 1
        self._add_event({"key": key, "rev": self.revision, "removed": True})
        return time.monotonic()

    def _write(self, key, encoded, lease):
        self.revision += 1
        created = self.items[key]["created_rev"] if key in self.items else self.revision
        item = {"key": key, "value": encoded, "rev": self.revision, "created_rev": created, "lease": lease}
        self.items[key] = item
        self._add_event(dict(item))

    def _add_event(self, event):
        self.history.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    def _end_leases(self):
        now = time.monotonic()
        for lease in [number for number, (end, _) in self.leases.items() if end <= now]:
            self._drop_lease(lease)

    def _drop_lease(self, lease):
        del self.leases[lease]
        for key in [key for key, item in self.items.items() if item["lease"] == lease]:
            self.remove(key)

    async def _serve(self, reader, writer, door):
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode("latin-1").split("\r\n")
                method, target, _ = lines[0].split(" ", 2)
                fields = {}
                for line in lines[1:]:
                    name, _, value = line.partition(":")
                    fields[name.strip().lower()] = value.strip()
                body = await reader.readexactly(int(fields.get("content-length", "0")))
                status, answer = await self._answer(method, target, body, door)
                text = json.dumps(answer).encode()
                writer.write(b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s"
                             % (status, len(text), text))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _answer(self, method, target, body, door):
        if door in self.turned_away:
            return 503, {}
        parts = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(parts.query, keep_blank_values=True))
        self._end_leases()
        if parts.path == "/kv-key":
            item = self.items.get(query["key"])
            return (200, dict(item, current_rev=self.revision)) if item else (404, {})
        if parts.path == "/kv-range":
            keys = sorted(key for key in self.items
                          if key.startswith(query.get("prefix", "")) and key > query.get("after", ""))
            return 200, {"items": [self.items[key] for key in keys[:500]], "truncated": len(keys) > 500,
                         "current_rev": self.revision}
        if parts.path == "/kv-watch":
            return await self._watch(query, door)
        if parts.path == "/kv-txn":
            return self._transaction(json.loads(body))
        if parts.path == "/kv-lease":
            length = json.loads(body)["ttl_ms"]
            self.last_lease += 1
            self.leases[self.last_lease] = (time.monotonic() + length / 1000, length)
            return 200, {"lease": self.last_lease, "ttl_ms": length}
        lease = int(parts.path.rsplit("/", 1)[1])
        if lease not in self.leases:
            return 404, {}
        if parts.path.startswith("/kv-keep/"):
            length = self.leases[lease][1]
            self.leases[lease] = (time.monotonic() + length / 1000, length)
            return 200, {"ttl_ms": length}
        self._drop_lease(lease)
        return 200, {}

    async def _watch(self, query, door):
        after = int(query["after"])
        end = time.monotonic() + int(query["wait_ms"]) / 1000
        while True:
            if door in self.turned_away:
                return 503, {}
            self._end_leases()
            events = [event for event in self.history
                      if event["rev"] > after and event["key"].startswith(query.get("prefix", ""))]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "current_rev": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), min(left, 0.5))
            except asyncio.TimeoutError:
                pass

    def _transaction(self, body):
        for row in body["precondition"]:
            item = self.items.get(row["key"])
            if (item["rev"] if item else 0) != row["rev"]:
                return 412, {"items": [self.items[r["key"]] for r in body["precondition"] if r["key"] in self.items]}
        for row in body["puts"]:
            if row["lease"] and row["lease"] not in self.leases:
                return 404, {}
        for row in body["puts"]:
            self._write(row["key"], row["value"], row["lease"])
        for key in body["remove"]:
            self.remove(key)
        return 200, {"rev": self.revision}
