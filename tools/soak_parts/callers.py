"""Callers of the soak: kept connections, short deadlines, some that leave early."""

import asyncio
import json
import time

from . import wire
from .ledger import Request

DEADLINE = 1.5       # seconds that a caller waits
REST = 0.06          # mean seconds between the requests of one connection
KEEP_SHARE = 0.25    # callers that use a connection until it is gone, whatever answers say
LEAVE_SHARE = 0.03   # callers that leave before their answer
ORDER_SHARE = 0.3
LOST_SLACK = 0.2     # seconds; a request that crosses the close of its connection


class Caller:
    """One connection at a time to one gateway, each used until it is closed."""

    def __init__(self, gateway, endpoint, ledger, rng):
        self.gateway = gateway
        self.endpoint = endpoint
        self.ledger = ledger
        self.rng = rng
        self.connection = None
        self.rest = REST
        self.keeps_connection = rng.random() < KEEP_SHARE
        self.order_service = "orders"
        self.tenant = None        # name of the caller's tenant in runs with tenants
        self.planned_stop = None  # callable: whether a stop without another fault is under way

    async def run(self):
        while True:
            await asyncio.sleep(self.rng.expovariate(1 / self.rest))
            await self.send_one()

    async def send_one(self):
        if self.connection is None:
            try:
                self.connection = await asyncio.wait_for(
                    asyncio.open_connection(*self.endpoint), 1.0)
            except (OSError, asyncio.TimeoutError):
                self.connection = None
                await asyncio.sleep(0.2)
                return
        request = self.new_request()
        self.ledger.requests[request.identifier] = request
        reader, writer = self.connection
        writer.write(wire.render(
            f"{request.method} {request.path} HTTP/1.1",
            {"Host": "orders.example" if request.service else "lookup.example",
             "X-Request-Id": request.identifier,
             "X-Deadline-Ms": str(int(DEADLINE * 1000)), **self.credentials(request)},
            request.body))
        leaves = self.rng.random() < LEAVE_SHARE
        try:
            first, headers, body = await asyncio.wait_for(
                wire.read_message(reader), self.rng.uniform(0, 0.02) if leaves else DEADLINE + 0.5)
        except (wire.Broken, asyncio.TimeoutError, OSError) as error:
            request.left = time.monotonic()
            self.drop()
            is_early = time.monotonic() - request.sent > LOST_SLACK and not leaves
            if isinstance(error, wire.Broken) and is_early and self.planned_stop(request.sent):
                self.ledger.violation(f"LOST {request.identifier} at {self.gateway}: its "
                                      "connection ended during a planned stop")
            return
        self.ledger.received(request, int(first.split()[1]), headers, body)
        if headers.get("connection", "").lower() == "close" and not self.keeps_connection:
            self.drop()

    def new_request(self):
        identifier = f"{self.rng.getrandbits(64):016x}"
        if self.rng.random() < ORDER_SHARE:
            body = json.dumps({"order": identifier}).encode()
            return Request(identifier, self.gateway, "POST", f"/order/{identifier[:4]}", body,
                           self.order_service)
        return Request(identifier, self.gateway, "GET", f"/find/{self.rng.randrange(500)}", b"",
                       None)

    def credentials(self, request):
        """Header fields with the key of the caller's tenant, and a tenant that is none of its own.
        """
        if self.tenant is None:
            return {}
        request.tenant = self.tenant
        request.key = self.ledger.tenants.key_for(self.tenant)
        return {"Authorization": f"Bearer {request.key.text}", "X-Tenant": "steady"}

    def drop(self):
        if self.connection:
            wire.reset(self.connection[1])
            self.connection = None
