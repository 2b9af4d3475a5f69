"""Backend servers of the soak: they register in the store's stand-in, answer with signed parts and
record each request that reaches them."""

import asyncio
import hashlib
import json
import random
import time

from . import wire
from .proxy import Proxy

SLOTS = 4
QUEUE = 12
RECORD_BYTES = 16
RECORDS_PER_PART = 12
USUAL_WORK = 0.008    # seconds
DRAIN_SECONDS = 3.0   # a draining server serves for this long
LAPSE_SECONDS = 1.5   # an entry of a silent server is removed after this time


def part_records(service, path):
    """The records of one shard for one path; every replica holds the same."""
    return b"".join(hashlib.sha256(f"{service} {path} {i}".encode()).digest()[:RECORD_BYTES]
                    for i in range(RECORDS_PER_PART))


class Backend:
    """One process of a backend server. Its registered address is that of a fault proxy."""

    def __init__(self, identifier, service, domain, address, ledger, registry, rng):
        self.identifier = identifier
        self.service = service
        self.domain = domain
        self.address = address
        self.ledger = ledger
        self.registry = registry
        self.rng = rng
        self.slow = 1.0
        self.error_share = self.lost_share = self.garble_share = self.refuse_share = 0.0
        self.limit = None           # requests a second that it says it takes from all gateways
        self.limit_since = None     # when it first named its limit
        self.pause = 0.0            # seconds of the pause that its refusals ask for
        self.is_leaving = False     # says so in its answers
        self.draining_since = None  # the store's acknowledgement
        self.gone_since = None
        self.proxy = Proxy(address, (address[0], address[1] + 1))
        self._slots = asyncio.Semaphore(SLOTS)
        self._waiting = 0
        self._writers = set()
        self._server = None

    async def start(self):
        self._server = await asyncio.start_server(self._serve, *self.proxy.target)
        await self.proxy.start()
        await self.register("ready")

    async def register(self, state):
        await self.registry.put(f"servers/{self.identifier}", json.dumps({
            "service": self.service, "address": "{}:{}".format(*self.address),
            "zone": self.domain, "version": "1", "slots": SLOTS, "state": state,
            "slow_start_ms": 0, "sequence": 1, "born": int(time.time() * 1000)}))

    async def drain(self):
        self.is_leaving = True
        await self.register("draining")
        self.draining_since = time.monotonic()
        await asyncio.sleep(DRAIN_SECONDS + 1.0)
        await self.registry.remove(f"servers/{self.identifier}")
        self.stop()

    async def crash(self):
        self.stop()
        await asyncio.sleep(LAPSE_SECONDS)
        await self.registry.remove(f"servers/{self.identifier}")
        self.gone_since = time.monotonic()

    def stop(self):
        if self._server:
            self._server.close()
            self._server = None
            self.proxy.stop()
        for writer in list(self._writers):
            wire.reset(writer)

    def clear_faults(self):
        self.slow = 1.0
        self.error_share = self.lost_share = self.garble_share = self.refuse_share = 0.0
        self.proxy.heal()

    def statements(self, request, status):
        """Header lines in which the server tells its needs; the ledger records who was told."""
        headers = {}
        if self.limit is not None:
            headers["Server-Limit"] = f"{self.limit:.1f}"
            self.limit_since = self.limit_since or time.monotonic()
            self.ledger.told(request, self, "limit")
        else:
            self.limit_since = None
        if self.is_leaving:
            headers["Server-Leaving"] = "1"
            self.ledger.told(request, self, "leaving")
        if status == 503 and self.pause:
            headers["Retry-After"] = f"{self.pause:.2f}"
            self.ledger.told(request, self, "pause")
        return headers

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while await self._serve_one(reader, writer):
                pass
        except (wire.Broken, OSError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _serve_one(self, reader, writer):
        first, headers, body = await wire.read_message(reader)
        method, path, _ = first.split(" ")
        request = headers.get("x-request-id", "")
        if headers.get("x-target-instance") != self.identifier:
            writer.write(wire.render("HTTP/1.1 421 Misdirected", {"X-Request-Id": request}))
            return True
        self.ledger.arrived(request, self, method, path, headers, body)
        if self._waiting >= QUEUE or self.rng.random() < self.refuse_share:
            writer.write(wire.render("HTTP/1.1 503 Busy",
                                     {"X-Request-Id": request, "X-Not-Executed": "1",
                                      **self.statements(request, 503)}))
            return True
        self._waiting += 1
        async with self._slots:
            self._waiting -= 1
            self.ledger.ran(request, self)
            work = asyncio.create_task(
                asyncio.sleep(USUAL_WORK * self.slow * self.rng.lognormvariate(0, 0.3)))
            # A server drops its work when the connection ends.
            closed = asyncio.create_task(self._await_end(reader))
            await asyncio.wait({work, closed}, return_when=asyncio.FIRST_COMPLETED)
            ended = closed.done()
            closed.cancel()
            work.cancel()
        if ended:
            return False
        return await self._answer(writer, request, path, body)

    @staticmethod
    async def _await_end(reader):
        while not reader.at_eof():
            await asyncio.sleep(0.01)

    async def _answer(self, writer, request, path, body):
        chance = self.rng.random()
        if chance < self.lost_share:
            wire.reset(writer)
            return False
        signature = f"{self.identifier}.{request}.{self.rng.getrandbits(32):08x}"
        failed = self.rng.random() < self.error_share
        is_order = self.service == "orders"
        content = body if is_order else part_records(self.service, path)
        if failed:
            content = b"failure"
        self.ledger.answered(signature, request, self, 500 if failed else 200, content)
        text = wire.render("HTTP/1.1 500 Failure" if failed else "HTTP/1.1 200 OK",
                           {"X-Request-Id": request, "X-Backend-Signature": signature,
                            "Keep-Alive": "timeout=5", **self.statements(request, 200)}, content)
        if self.rng.random() < self.garble_share:
            if self.rng.random() < 0.5:
                # Breaks off within the head or the body.
                writer.write(text[:self.rng.randrange(1, len(text))])
                await writer.drain()
                return False
            text += wire.render("HTTP/1.1 200 OK", {"X-Request-Id": "late", "X-Backend-Signature":
                                                    "stray"}, b"stray" * 8)
        writer.write(text)
        await writer.drain()
        return True
