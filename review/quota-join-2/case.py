"""A machine joins while the store turns away the machines of one zone: two machines issue one quota."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "common-2"))

from client import Client  # noqa: E402
from fleet import BOUNDS, Gateway, LIMITS, run_case  # noqa: E402
from servers import Backend  # noqa: E402
from store import Store  # noqa: E402

WINDOW_S, OVERAGE, SLACK = 5, 0.1, 20  # quota_window_s, quota_overage, quota_slack
RATE, BURST = 40, 20
BOUND = (RATE * WINDOW_S + BURST) * (1 + OVERAGE) + SLACK
RULES = ["base", "drain", "config", "cost", "retry", "recover", "health", "pool", "scatter", "places", "tenants",
         "quota", "platform"]
# By the ranking of hosts for this tenant the first is edge-bulaq-3, which joins, and the second edge-shubra-1.
TENANT = "tenant-38"
# Requests a second at each machine, and when they begin; 160 together, four times the tenant's quota.
DEMAND = {"edge-shubra-1": (80, 0), "edge-bulaq-1": (40, 9), "edge-helwan-1": (40, 9)}
CALM_S, CUT_S = 6, 8


class Load:
    """Clients of one tenant at one gateway, which send at a fixed rate."""

    def __init__(self, gateway, rate, sent, record):
        self.gateway = gateway
        self.rate = rate
        self.sent = sent
        self.record = record
        self.free = []
        self.tasks = set()
        self.counts = {}

    async def run(self, after, until):
        loop = asyncio.get_running_loop()
        await asyncio.sleep(after)
        due = loop.time()
        number = 0
        while due < until:
            await asyncio.sleep(max(0, due - loop.time()))
            due += 1 / self.rate
            number += 1
            task = asyncio.create_task(self.one("%s-%d" % (self.gateway.name, number)))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
        await asyncio.gather(*self.tasks)

    async def one(self, request):
        client = self.free.pop() if self.free else Client(self.gateway)
        self.sent[request] = asyncio.get_running_loop().time()
        answer = await client.ask("GET", "/archive/" + request, {
            "Host": "shop.example", "X-Request-Id": request, "X-Deadline-Ms": "3000",
            "Authorization": "Bearer key-1"}, timeout=4)
        self.counts[answer.status] = self.counts.get(answer.status, 0) + 1
        self.record.add("client: %s sent at %.3f s -> %s"
                        % (request, self.sent[request] - self.record.began, answer.status))
        self.free.append(client)


def largest_window(runs, sent):
    """Most requests that were sent and run within one window, and the window's begin."""
    times = sorted((sent[run.request], run.time) for run in runs)
    best, at = 0, 0
    for index, (begin, _) in enumerate(times):
        count = 0
        for later in times[index:]:
            if later[0] > begin + WINDOW_S:
                break
            count += later[1] <= begin + WINDOW_S
        if count > best:
            best, at = count, begin
    return best, at


async def main(record, folder, trouble):
    store = Store()
    await store.start()
    runs, sent = [], {}
    for zone in ("shubra", "bulaq", "helwan"):
        for number in range(3):
            await Backend("i-%s-%d" % (zone, number), "archive", zone, runs).start(store)
    store.put("op/config", {
        "version": 3, "limits": LIMITS,
        "routes": [{"name": "archive", "host": "shop.example", "prefix": "/archive/", "type": "idempotent",
                    "timeout_ms": 3000, "target_latency_ms": 500, "priority": 1, "service": "archive",
                    "max_attempts": 2, "public": False}],
        "services": [{"name": "archive", "max_conns": 110, "health_path": "/healthz"}],
        "tenants": [{"name": TENANT, "api_keys": ["key-1"], "rate_per_s": RATE, "burst": BURST, "priority": 1}]})
    bounds = dict(BOUNDS, quota_window_s=WINDOW_S, quota_overage=OVERAGE, quota_slack=SLACK)
    gateways = {}

    async def add(zone, number):
        name = "edge-%s-%d" % (zone, number)
        door = await store.open_door("zone " + zone)
        gateways[name] = Gateway(name, "127.0.0.1", door, zone, folder, {"bounds": bounds, "invariants": RULES})
        gateways[name].start()

    loop = asyncio.get_running_loop()
    try:
        for zone in ("shubra", "bulaq", "helwan"):
            for number in (1, 2):
                await add(zone, number)
        for gateway in gateways.values():
            await gateway.wait_until_ready()
        await asyncio.sleep(6)
        until = loop.time() + CALM_S + CUT_S
        loads = [Load(gateways[name], rate, sent, record) for name, (rate, _) in DEMAND.items()]
        tasks = [asyncio.create_task(load.run(DEMAND[load.gateway.name][1], until)) for load in loads]
        await asyncio.sleep(CALM_S)
        if trouble:
            record.add("the store turns away the machines of shubra (2 of 6)")
            store.turned_away.add("zone shubra")
        await asyncio.sleep(0.2)
        record.add("edge-bulaq-3 and edge-helwan-3 are added")
        await add("bulaq", 3)
        await add("helwan", 3)
        await asyncio.gather(*tasks)
        for load in loads:
            record.add("answers at %s: %s" % (load.gateway.name, load.counts))
            if load.gateway.has_ended():
                raise RuntimeError(load.gateway.name + " has ended")
    finally:
        for gateway in gateways.values():
            gateway.end()
    most, begin = largest_window(runs, sent)
    text = ("%d requests of the tenant sent and run in %d s from %.3f s; allowed are %.0f"
            % (most, WINDOW_S, begin - record.began, BOUND))
    record.add(text)
    print(text)
    if len(runs) < RATE * CALM_S / 2:
        raise RuntimeError("only %d requests ran" % len(runs))
    return [text] if most > BOUND else []


sys.exit(run_case(main, HERE))
