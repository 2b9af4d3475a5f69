"""All gateways are restarted in turn while a request comes again that crashes the servers that run it."""

import asyncio
import os
import random
import signal
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "common-2"))

from client import Client  # noqa: E402
from fleet import Gateway, LIMITS, run_case  # noqa: E402
from servers import Backend  # noqa: E402
from store import Store  # noqa: E402

CONTACT_S = 4.0  # contact_ms
ALLOWED_RETRIES = 3
ZONES = ("shubra", "bulaq", "helwan")
GATEWAYS_IN_ZONE = 3
SERVERS_IN_ZONE = 3
SLOTS = 15  # three slots and twelve places in the queue
WORK_S = 0.06
HEARTBEAT_S = 1.2
SILENT_HEARTBEATS = 3
BACK_AFTER_S = 2.0
COLD_MS = 3000
RESTART_DELAY_S = 0.3
GAP_S = 2.0  # between the machines of a roll_term
INTERVAL_S = 1.5  # at which the request comes again
LEARNING_S = 9.0
AFTERWARDS_S = 10.0
ORDINARY_PER_S = 45
CRASHING_PATH = "/orders/find/elbow-7"


def configuration():
    return {
        "version": 3, "limits": LIMITS,
        "routes": [{"name": "order-fetch", "host": "shop.example", "prefix": "/orders/", "type": "idempotent",
                    "timeout_ms": 2500, "target_latency_ms": 250, "priority": 1, "service": "order-book",
                    "max_attempts": 2},
                   {"name": "order-new", "host": "shop.example", "prefix": "/orders/new/", "type": "non_idempotent",
                    "timeout_ms": 2500, "target_latency_ms": 250, "priority": 1, "service": "order-book",
                    "max_attempts": 2}],
        "services": [{"name": "order-book", "max_conns": 110, "health_path": "/healthz", "slow_start_s": 3.0,
                      "warmup_per_s": 0}]}


class CrashingBackend(Backend):
    """Crashes when it runs the request of CRASHING_PATH; a new one takes its place."""

    has_crashed = False

    async def answer(self, line, fields, writer):
        if line.split(" ")[1] != CRASHING_PATH:
            return await super().answer(line, fields, writer)
        if fields.get("x-target-instance", self.name) == self.name and self.busy < self.slots:
            self.busy += 1  # until the crash
            self.farm.note_crashing_run(self, fields.get("x-request-id", ""))
            await asyncio.sleep(WORK_S)
            self.farm.crash(self)
            raise ConnectionResetError
        return await super().answer(line, fields, writer)

    def register(self, store):
        return store.put("servers/" + self.name, {
            "service": self.service, "address": self.address, "zone": self.zone, "version": "v1", "slots": 3,
            "state": self.state, "slow_start_ms": self.cold_ms, "sequence": self.sequence})


class Farm:
    """The servers, which write to the store as PROTOCOL.md says."""

    def __init__(self, store, record):
        self.store = store
        self.record = record
        self.runs = []
        self.crashing_runs = []  # (time, request)
        self.crashes = []
        self.started = 0
        self.tasks = set()

    def spawn(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def start_server(self, zone, cold_ms):
        self.started += 1
        server = CrashingBackend("i-%d" % self.started, "order-book", zone, self.runs, WORK_S, SLOTS)
        server.farm = self
        server.cold_ms = cold_ms
        await server.start(self.store)
        self.spawn(self.beat(server))

    async def beat(self, server):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            if server.has_crashed:
                await asyncio.sleep(HEARTBEAT_S * (SILENT_HEARTBEATS - 1))
                self.store.remove("servers/" + server.name)
                return
            server.sequence += 1
            server.cold_ms = max(server.cold_ms - int(HEARTBEAT_S * 1000), 0)
            server.register(self.store)

    def note_crashing_run(self, server, request):
        self.record.add("%s begins to run the crashing request as %s" % (server.name, request))
        self.crashing_runs.append((asyncio.get_running_loop().time(), request))

    def crash(self, server):
        if server.has_crashed:
            return
        server.has_crashed = True
        self.crashes.append(asyncio.get_running_loop().time())
        self.record.add("%s crashes, with %d requests" % (server.name, server.busy))
        server.server.close()
        for writer in list(server.connections):
            writer.transport.abort()
        self.spawn(self.replace(server))

    async def replace(self, server):
        await asyncio.sleep(BACK_AFTER_S)
        await self.start_server(server.zone, COLD_MS)

    def stop(self):
        for task in list(self.tasks):
            task.cancel()


class Machine:
    """A gateway, and the times at which its processes were started and stopped."""

    def __init__(self, gateway):
        self.gateway = gateway
        self.started = 0.0
        self.stopped = None
        self.is_open = False  # the platform sends callers

    def is_in_touch(self, time):
        return self.stopped is None and time - self.started >= CONTACT_S


async def watch_readiness(machines):
    """The platform's check: two misses, one a second, take a machine out."""
    misses = {machine: 0 for machine in machines}

    async def check(machine):
        misses[machine] = 0 if await machine.gateway.is_ready() else misses[machine] + 1
        machine.is_open = misses[machine] < (2 if machine.is_open else 1)

    while True:
        await asyncio.gather(*(check(machine) for machine in machines))
        await asyncio.sleep(1)


async def restart(machine, record):
    loop = asyncio.get_running_loop()
    record.add("SIGTERM to %s" % machine.gateway.name)
    machine.stopped = loop.time()
    machine.gateway.signal(signal.SIGTERM)
    while not machine.gateway.has_ended():
        await asyncio.sleep(0.05)
        if loop.time() - machine.stopped > 7:
            raise RuntimeError("a gateway did not end in its grace time")
    await asyncio.sleep(RESTART_DELAY_S)
    machine.gateway.start()
    machine.started = loop.time()
    machine.stopped = None
    record.add("%s has ended and is started again" % machine.gateway.name)
    await machine.gateway.wait_until_ready()


async def main(record, folder, trouble):
    loop = asyncio.get_running_loop()
    chance = random.Random(1)
    store = Store()
    await store.start()
    store.put("op/config", configuration())
    farm = Farm(store, record)
    for zone in ZONES:
        for _ in range(SERVERS_IN_ZONE):
            await farm.start_server(zone, 0)
    machines = [Machine(Gateway("edge-%s-%d" % (zone, number), "127.0.0.1", store.address, zone, folder))
                for number in range(1, GATEWAYS_IN_ZONE + 1) for zone in ZONES]
    attempts = {}  # of the crashing request: whether the machine was in touch
    lost = []

    async def crashing():
        number = 0
        while True:
            machine = chance.choice([machine for machine in machines if machine.is_open])
            number += 1
            request = "crash-%d" % number
            in_touch = machine.is_in_touch(loop.time())
            attempts[request] = in_touch
            record.add("caller: %s to %s, %s" % (request, machine.gateway.name,
                                                 "in touch" if in_touch else "not in touch"))
            farm.spawn(ask(machine, "GET", CRASHING_PATH, request))
            await asyncio.sleep(INTERVAL_S)

    async def ask(machine, method, path, request):
        client = Client(machine.gateway)
        answer = await client.ask(method, path, {"Host": "shop.example", "X-Request-Id": request,
                                                 "X-Deadline-Ms": "2500"}, timeout=4)
        client.close()
        if request.startswith("crash"):
            record.add("caller: %s -> %s" % (request, answer.status))
        elif answer.status not in (200, 503, 429):
            lost.append((loop.time(), method))
            record.add("caller: ordinary %s %s -> %s" % (method, request, answer.status))

    async def ordinary():
        number = 0
        while True:
            number += 1
            machine = chance.choice([machine for machine in machines if machine.is_open])
            if number % 2:
                farm.spawn(ask(machine, "GET", "/orders/%d" % number, "get-%d" % number))
            else:
                farm.spawn(ask(machine, "POST", "/orders/new/%d" % number, "new-%d" % number))
            await asyncio.sleep(1 / ORDINARY_PER_S)

    try:
        for machine in machines:
            machine.gateway.start()
            machine.started = loop.time()
        for machine in machines:
            await machine.gateway.wait_until_ready()
        farm.spawn(watch_readiness(machines))
        await asyncio.sleep(CONTACT_S + 1)
        farm.spawn(ordinary())
        farm.spawn(crashing())
        await asyncio.sleep(LEARNING_S)
        if len(farm.crashes) < 3:
            raise RuntimeError("the request has crashed only %d servers" % len(farm.crashes))
        if trouble:
            for machine in machines:
                await restart(machine, record)
                await asyncio.sleep(GAP_S)
        else:
            await asyncio.sleep(len(machines) * 5.5)
        await asyncio.sleep(AFTERWARDS_S)
    finally:
        farm.stop()
        for machine in machines:
            machine.gateway.end()
    from_time = farm.crashes[2] + CONTACT_S
    counted = sorted({request for time, request in farm.crashing_runs if time > from_time and attempts[request]})
    record.add("%d crashes; third at %.3f s; %d attempts of callers" % (
        len(farm.crashes), farm.crashes[2] - record.began, len(attempts)))
    record.add("counted retries: %d (%s)" % (len(counted), ", ".join(counted)))
    record.add("ordinary requests that ended without an answer or with 502 or 504 later than that: %d, of them %d "
               "that must not be repeated" % (sum(time > from_time for time, _ in lost),
                                              sum(time > from_time and method == "POST" for time, method in lost)))
    print("counted retries: %d" % len(counted))
    if len(counted) <= ALLOWED_RETRIES:
        return []
    return ["BUDGET: the crashing request reached servers in %d retries, sent by machines in touch later than %g s "
            "after it had crashed the third; %d are allowed" % (len(counted), CONTACT_S, ALLOWED_RETRIES)]


sys.exit(run_case(main, HERE, 118))
