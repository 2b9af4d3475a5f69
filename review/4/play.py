"""DRAIN: gateways send work to a server that is gone for over three seconds.

One zone with three gateways, and a service with two servers. The gateways are restarted in turn. At
each restart one server is replaced: the new one starts first, then the entry of the old one is
removed without a report of `draining`, and it goes on serving.
"""

import asyncio
import pathlib
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))

from harness import (BOUNDS, BROKEN, HELD, TROUBLE, Backend, Client, Fleet,  # noqa: E402
                     cancel, run)

ROUNDS = 2
GAP_S = 9.0
LEAVES_AFTER_S = 0.02
CALLERS_EACH = 6
PAUSE_S = 0.12
WORK_S = 0.06
DRAIN_S = BOUNDS["drain_timeout_ms"] / 1000
CONTACT_S = BOUNDS["contact_ms"] / 1000
DEADLINE_MS = 2500
ROUTE = {"name": "r-order", "host": "orders.example", "prefix": "/order/", "type": "idempotent",
         "timeout_ms": 2500, "target_latency_ms": 250, "priority": 2, "service": "order-book",
         "max_attempts": 2}


class OrderServer(Backend):
    async def work(self, request, headers, body):
        await asyncio.sleep(WORK_S)
        return 200, [], b"order"


class Contact:
    """Times at which a gateway was not in touch: its stops and starts with the time after them."""

    def __init__(self, gateway):
        self.gateway = gateway
        self.disturbed = [gateway.started_at]
        self.down = []

    def in_touch(self, at):
        near = any(0 <= at - moment < CONTACT_S for moment in self.disturbed)
        return not near and not any(begin <= at < end + CONTACT_S for begin, end in self.down)


async def call_forever(record, gateway, sent):
    client = Client(record, gateway)
    while True:
        at = time.monotonic()
        request_id, _ = await client.request("orders.example", "/order/1", DEADLINE_MS)
        if request_id:
            sent[request_id] = (gateway.name, at)
        await asyncio.sleep(PAUSE_S)


async def case(record):
    fleet = Fleet(record, [(f"edge-a-{n}", "a") for n in (1, 2, 3)])
    callers = []
    try:
        await fleet.store.listen()
        fleet.configure(7, [ROUTE], ["order-book"])
        servers = []
        for _ in range(2):
            server = OrderServer(fleet.store, record, "order-book", "a")
            fleet.backends.append(server)
            servers.append(server)
            await server.start()
        await fleet.start()
        await fleet.wait_for_servers(2)
        contacts = {g.name: Contact(g) for g in fleet.gateways}
        sent = {}
        callers = [asyncio.create_task(call_forever(record, gateway, sent))
                   for gateway in fleet.gateways for _ in range(CALLERS_EACH)]
        await asyncio.sleep(5)
        gone = []
        restarts = []
        for step in range(ROUNDS * len(fleet.gateways)):
            gateway = fleet.gateways[step % len(fleet.gateways)]
            new = OrderServer(fleet.store, record, "order-book", "a")
            fleet.backends.append(new)
            await new.start()
            await asyncio.sleep(2)
            if TROUBLE:
                began = time.monotonic()

                async def restart(gateway=gateway, began=began):
                    await gateway.restart(signal.SIGTERM)
                    contacts[gateway.name].down.append((began, gateway.started_at))

                contacts[gateway.name].disturbed.append(began)
                restarts.append(asyncio.create_task(restart()))
            await asyncio.sleep(LEAVES_AFTER_S)
            old = servers.pop(0)
            revision = old.leave_list()
            gone.append((old, time.monotonic()))
            record.say(f"{old.id} is gone: its entry was removed with revision {revision}")
            servers.append(new)
            await asyncio.sleep(GAP_S - 2)
        await asyncio.gather(*restarts)
        late = 0
        for server, at in gone:
            for arrived, request_id in server.arrivals:
                name, sent_at = sent.get(request_id, (None, 0))
                if arrived <= at + DRAIN_S or name is None:
                    continue
                if contacts[name].in_touch(arrived) and contacts[name].in_touch(sent_at):
                    late += 1
                    record.say(f"request {request_id} from {name}, which is in touch, reached "
                               f"{server.id} {arrived - at:.3f} s after it was gone")
        record.say(f"{late} requests reached servers that were gone for over {DRAIN_S:.0f} s; "
                   f"{len(sent)} requests, {len(gone)} servers gone")
        return BROKEN if late else HELD
    finally:
        await cancel(callers)
        await fleet.stop()


run(FOLDER, case)
