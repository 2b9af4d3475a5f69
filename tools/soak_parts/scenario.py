"""One seeded run: a fleet, its callers, and series of overlapping faults and changes."""

import asyncio
import json
import pathlib
import random
import signal
import tempfile
import time

from .backends import Backend
from .callers import Caller
from .fleet import Gateway, Registry
from .ledger import BUDGET_SLACK, LEAST_COVERAGE, TOP_RECORDS, Ledger
from .tenants import NAMES, OVERAGE, SLACK, WINDOW, Tenants

DOMAINS = ["shubra", "bulaq", "helwan"]
SHARD_SETS = [["a0", "a1", "a2", "a3"], ["b0", "b1", "b2", "b3", "b4"]]
START_SECONDS = 4.0
RECOVERY_SECONDS = 8.0   # without faults at the end
SETTLE_SECONDS = 4.0     # of these, before the share of served requests is taken
CONFIG_BOUND = 3.0       # seconds until a configuration is in force
PORT = 7800
REWRITE_SECONDS = 2.0    # until what a returned store has lost is written again
ODD_FIELDS = ('"service":"orders","zone":"shubra","state":"ready","sequence":1,'
              '"address":"127.0.0.1:9"')
ODD_VALUES = ["", "[" * 5000, "[" * 5000 + "]" * 5000, "\x00", "1e999999", "{}",
              '{"service":"orders","address":"127.0.0.1:99999"}',
              f'{{{ODD_FIELDS},"slots":18446744073709551615,"slow_start_ms":0}}',
              f'{{{ODD_FIELDS},"slots":2,"slow_start_ms":1e300}}',
              f'{{{ODD_FIELDS},"slots":{"[" * 40}{"]" * 40},"slow_start_ms":0}}']
FEATURES = {"quota": {"windowMs": WINDOW * 1000, "overage": OVERAGE, "slack": SLACK},
            "sharesObservations": True, "pacesReturningServers": True}
USUAL_GATEWAYS = 6       # with more of them, each caller rests longer


class Scenario:
    def __init__(self, seed, seconds, gateways_per_domain, folder, network):
        self.rng = random.Random(seed)
        self.seconds = seconds
        self.per_domain = gateways_per_domain
        self.folder = folder
        self.network = network  # second byte of the loopback addresses: runs do not collide
        self.ledger = Ledger([SHARD_SETS[0]])
        self.gateways, self.backends, self.callers, self.tasks = [], [], [], []
        self.shards = 0
        self.version = 1
        self.next_backend = 0
        self.log = []
        # Every second seed plays with tenants; the draws of the others stay as they were.
        if seed % 2 == 0:
            self.ledger.tenants = Tenants(random.Random(seed + 1), self.ledger)

    def note(self, text):
        self.log.append(f"{time.monotonic():.3f} {text}")

    # Configuration

    def configuration(self):
        routes = [{"name": "lookup", "host": "lookup.example", "prefix": "/find/",
                   "type": "idempotent", "timeout_ms": 1200, "target_latency_ms": 80,
                   "priority": 1, "gather": SHARD_SETS[self.shards], "max_attempts": 2,
                   "top_k": TOP_RECORDS, "min_coverage": LEAST_COVERAGE},
                  {"name": "order", "host": "orders.example", "prefix": "/order/",
                   "type": "non_idempotent", "timeout_ms": 1200, "target_latency_ms": 250,
                   "priority": 2, "service": "orders", "max_attempts": 2},
                  {"name": f"new-{self.version}", "host": "orders.example",
                   "prefix": f"/new-{self.version}/", "type": "idempotent", "timeout_ms": 1200,
                   "target_latency_ms": 250, "priority": 2, "service": "orders",
                   "max_attempts": 2}]
        services = [{"name": name, "health_path": "/h", "max_conns": 60, "warmup_per_s": 0}
                    for name in [*sum(SHARD_SETS, []), "orders"]]
        content = {"version": self.version, "routes": routes, "services": services, "limits": {
            "max_header_bytes": 16384, "max_body_bytes": 65536, "header_timeout_ms": 3000,
            "idle_timeout_ms": 8000}}
        if self.ledger.tenants:
            content["tenants"] = self.ledger.tenants.entries()
        return content

    async def configure(self):
        self.version += self.rng.randint(1, 3)
        version = self.version
        if self.ledger.tenants:
            self.ledger.tenants.change()
        if SHARD_SETS[self.shards] not in self.ledger.shard_sets:
            self.ledger.shard_sets.append(SHARD_SETS[self.shards])
        await self.registry.put("op/config", json.dumps(self.configuration()))
        self.note(f"configuration {version}")
        self.tasks.append(asyncio.create_task(self.check_configuration(time.monotonic(), version)))

    async def check_configuration(self, acknowledged, version):
        """A route of the new version must be known on each undisturbed gateway."""
        await asyncio.sleep(CONFIG_BOUND)
        for gateway in self.gateways:
            if self.version != version or not self.ledger.in_touch(gateway.name, acknowledged):
                continue
            probe = Caller(gateway.name, gateway.callers.listen, self.ledger, self.rng)
            request = probe.new_request()
            request.method, request.path, request.body = "GET", f"/new-{version}/x", b""
            request.service, request.is_order = "orders", False
            probe.tenant = "steady" if self.ledger.tenants else None
            self.ledger.requests[request.identifier] = request
            status = await self.probe(probe, request)
            if status == 404 and self.version == version:
                self.ledger.violation(f"CONFIG {gateway.name} lacks version {version} "
                                      f"{CONFIG_BOUND} s after its acceptance")

    @staticmethod
    async def probe(caller, request):
        from . import wire
        try:
            status, _ = await wire.call(
                caller.endpoint, "GET", request.path, timeout=2.0,
                headers={"Host": "orders.example", "X-Request-Id": request.identifier,
                         "X-Deadline-Ms": "1500", **caller.credentials(request)})
            return status
        except (OSError, asyncio.TimeoutError, wire.Broken):
            return None

    # Fleet

    async def start(self):
        store = (f"127.{self.network}.0.1", PORT)
        self.registry = Registry(store, (store[0], PORT + 1), self.folder)
        for _ in range(100):
            await asyncio.sleep(0.05)
            # Another process at its address would answer with entries of another run.
            if self.registry.process.poll() is not None:
                raise RuntimeError(f"the store's stand-in ended at its start, see {store}")
            try:
                await self.registry.put("op/config", json.dumps(self.configuration()))
                break
            except OSError:
                pass
        for number, domain in enumerate(DOMAINS):
            for service in [*SHARD_SETS[0], "orders", "orders"]:
                await self.add_backend(service, domain)
            for index in range(self.per_domain):
                gateway = Gateway(
                    f"{domain}-{index + 1}", domain,
                    f"127.{self.network}.{number + 1}.{index + 1}", PORT, store, self.ledger,
                    self.folder, BUDGET_SLACK)
                if self.ledger.tenants:
                    gateway.settings |= FEATURES
                self.gateways.append(gateway)
        seeds = [gateway.settings["adminEndpoint"]
                 for gateway in self.gateways if gateway.name.endswith("-1")]
        for gateway in self.gateways:
            await gateway.start(seeds)
            self.tasks.append(asyncio.create_task(gateway.watch()))
        await asyncio.sleep(START_SECONDS)
        for gateway in self.gateways:
            for _ in range(2):
                caller = Caller(gateway.name, gateway.callers.listen, self.ledger, self.rng)
                caller.planned_stop = self.planned_stop_of(gateway)
                if self.ledger.tenants:
                    caller.tenant = NAMES[len(self.callers) % len(NAMES)]
                caller.rest *= max(1.0, len(self.gateways) / USUAL_GATEWAYS)
                self.callers.append(caller)
                self.tasks.append(asyncio.create_task(caller.run()))

    def planned_stop_of(self, gateway):
        def is_planned(sent):
            now = time.monotonic()
            undisturbed = (self.ledger.touched[gateway.name] + 4.0 < sent
                           and self.last_backend_fault + 4.0 < sent)
            return now < gateway.stops_until and undisturbed
        return is_planned

    async def add_backend(self, service, domain):
        self.next_backend += 1
        number = self.next_backend
        address = (f"127.{self.network}.{100 + number // 200}.{1 + number % 200}", PORT)
        backend = Backend(f"i-{number}", service, domain, address, self.ledger, self.registry,
                          self.rng)
        await backend.start()
        self.backends.append(backend)
        return backend

    def live(self):
        return [backend for backend in self.backends
                if backend._server and not backend.draining_since]

    # Faults

    last_backend_fault = 0.0
    is_going_back = False

    async def fault(self):
        kinds = [self.stop_gateway, self.kill_gateway, self.pause_gateway, self.reload_gateway,
                 self.store_link, self.store_refuses, self.store_pauses, self.drop_history,
                 self.caller_link, self.backend_link, self.backend_slow, self.backend_faulty,
                 self.backend_crash, self.replace_backend, self.configure, self.reshard,
                 self.evacuate, self.cut_domain, self.signal_series, self.backend_limited,
                 self.backend_limited, self.backend_pauses, self.backend_leaves,
                 self.store_goes_back, self.odd_entry]
        kind = self.rng.choice(kinds)
        self.note(kind.__name__)
        await kind()

    def duration(self):
        return self.rng.uniform(0.3, 4.0)

    async def disturb(self, gateways):
        """Marks gateways as disturbed for the duration of a fault; returns after it."""
        seconds = self.duration()
        names = [gateway.name for gateway in gateways]
        self.ledger.touch(names, time.monotonic() + seconds)
        await asyncio.sleep(seconds)
        self.ledger.touch(names)

    async def stop_gateway(self):
        gateway = self.rng.choice(self.gateways)
        if time.monotonic() < gateway.stops_until:
            return
        # A planned stop is no disturbance for callers, only for the bounds after the restart.
        await gateway.terminate()
        self.ledger.touch([gateway.name])

    async def signal_series(self):
        """A planned stop with further signals before and during it."""
        gateway = self.rng.choice(self.gateways)
        if time.monotonic() < gateway.stops_until:
            return
        stop = asyncio.create_task(gateway.terminate())
        for number in self.rng.choices([signal.SIGHUP, signal.SIGTERM], k=5):
            await asyncio.sleep(self.rng.uniform(0.0, 0.3))
            if time.monotonic() < gateway.stops_until:
                gateway.send_signal(number)
        await stop
        self.ledger.touch([gateway.name])

    async def kill_gateway(self):
        for gateway in self.rng.sample(self.gateways, self.rng.randint(1, len(self.gateways))):
            self.ledger.touch([gateway.name], time.monotonic() + 1.0)
            gateway.send_signal(signal.SIGKILL)

    async def pause_gateway(self):
        gateway = self.rng.choice(self.gateways)
        gateway.send_signal(signal.SIGSTOP)
        await self.disturb([gateway])
        gateway.send_signal(signal.SIGCONT)

    async def reload_gateway(self):
        self.rng.choice(self.gateways).send_signal(signal.SIGHUP)

    async def store_link(self):
        gateways = self.rng.sample(self.gateways, self.rng.randint(1, len(self.gateways)))
        kind = self.rng.choice(["silent_to", "silent_from", "refuses", "delay", "reset"])
        for gateway in gateways:
            self.harm(gateway.store, kind)
        await self.disturb(gateways)
        for gateway in gateways:
            gateway.store.heal()

    async def store_refuses(self):
        await self.registry.command("/mode", name=self.rng.choice(["refuse", "hang"]))
        await self.disturb(self.gateways)
        await self.registry.command("/mode", name="up")

    async def store_pauses(self):
        self.registry.process.send_signal(signal.SIGSTOP)
        await self.disturb(self.gateways)
        self.registry.process.send_signal(signal.SIGCONT)

    async def drop_history(self):
        self.ledger.touch([gateway.name for gateway in self.gateways])
        await self.registry.command("/drop-history")

    async def store_goes_back(self):
        """The store is away and comes back from an older copy; what it lost is written again."""
        if self.is_going_back:
            return
        self.is_going_back = True
        await self.registry.keep_copy()
        # Of many changes to one entry, only the last is written again: revisions stay behind.
        for _ in range(self.rng.choice([0, 5, 40])):
            await asyncio.sleep(0.05)
            await self.configure()
        await asyncio.sleep(self.rng.uniform(1.0, 6.0))
        await self.registry.command("/mode", name=self.rng.choice(["refuse", "hang"]))
        await self.disturb(self.gateways)
        lost = await self.registry.go_back()
        for key in [key for key in lost if key.startswith("op/")]:
            await self.registry.write_again(key)
        await self.registry.command("/mode", name="up")
        self.ledger.touch([gateway.name for gateway in self.gateways],
                          time.monotonic() + REWRITE_SECONDS)
        for key in [key for key in lost if key.startswith("servers/")]:
            await asyncio.sleep(self.rng.uniform(0.0, REWRITE_SECONDS / len(lost)))
            await self.registry.write_again(key)
        self.is_going_back = False

    async def odd_entry(self):
        """Another writer leaves an entry that names no backend server."""
        key = f"servers/odd-{self.rng.randint(0, 9)}"
        await self.registry.put(key, self.rng.choice(ODD_VALUES))
        await asyncio.sleep(self.duration())
        await self.registry.remove(key)

    async def caller_link(self):
        gateway = self.rng.choice(self.gateways)
        self.harm(gateway.callers, self.rng.choice(["delay", "reset", "refuses"]))
        await self.disturb([gateway])
        gateway.callers.heal()

    async def backend_link(self):
        self.last_backend_fault = time.monotonic() + 4.0
        for backend in self.rng.sample(self.live(), 4):
            self.harm(backend.proxy,
                      self.rng.choice(["silent_to", "silent_from", "refuses", "delay", "reset"]))
            asyncio.get_running_loop().call_later(self.duration(), backend.proxy.heal)

    async def cut_domain(self):
        domain = self.rng.choice(DOMAINS)
        self.last_backend_fault = time.monotonic() + 4.0
        cut = [backend for backend in self.live() if backend.domain == domain]
        for backend in cut:
            backend.proxy.silent_to = backend.proxy.silent_from = True
        await asyncio.sleep(self.duration())
        for backend in cut:
            backend.proxy.heal()

    def harm(self, proxy, kind):
        if kind == "reset":
            proxy.reset_open()
        elif kind == "delay":
            proxy.delay = self.rng.uniform(0.01, 0.3)
        else:
            setattr(proxy, kind, True)

    async def backend_slow(self):
        for backend in self.rng.sample(self.live(), 4):
            backend.slow = self.rng.uniform(2, 12)
        await asyncio.sleep(self.duration())

    async def backend_faulty(self):
        self.last_backend_fault = time.monotonic() + 4.0
        for backend in self.rng.sample(self.live(), 5):
            share = self.rng.choice(["error_share", "lost_share", "garble_share"])
            setattr(backend, share, self.rng.uniform(0.02, 0.3))
            asyncio.get_running_loop().call_later(self.duration(), backend.clear_faults)

    async def backend_limited(self):
        limited = self.rng.sample(self.live(), 2)
        for backend in limited:
            backend.limit = self.rng.uniform(1.0, 12.0)
        await asyncio.sleep(self.rng.uniform(6.0, 11.0))
        for backend in limited:
            backend.limit = None

    async def backend_pauses(self):
        self.last_backend_fault = time.monotonic() + 4.0
        for backend in self.rng.sample(self.live(), 3):
            backend.pause = self.rng.uniform(0.6, 3.0)
            backend.refuse_share = self.rng.uniform(0.1, 0.9)
            asyncio.get_running_loop().call_later(self.duration(), backend.clear_faults)

    async def backend_leaves(self):
        """A server says that it leaves for a while before its registration does."""
        backend = self.rng.choice(self.live())
        await self.add_backend(backend.service, backend.domain)
        backend.is_leaving = True
        await asyncio.sleep(self.rng.uniform(3.0, 7.0))
        await backend.drain()

    async def backend_crash(self):
        self.last_backend_fault = time.monotonic() + 4.0
        backend = self.rng.choice(self.live())
        await backend.crash()
        await self.add_backend(backend.service, backend.domain)

    async def replace_backend(self):
        backend = self.rng.choice(self.live())
        await self.add_backend(backend.service, backend.domain)
        await backend.drain()

    async def reshard(self):
        target = 1 - self.shards
        present = {backend.service for backend in self.live()}
        for service in SHARD_SETS[target]:
            if service not in present:
                for domain in DOMAINS:
                    await self.add_backend(service, domain)
        await asyncio.sleep(1.0)
        self.shards = target
        await self.configure()

    async def evacuate(self):
        domain = self.rng.choice(DOMAINS)
        if domain in self.ledger.evacuated and self.ledger.evacuated[domain][1] is None:
            return
        await self.registry.put(f"op/evacuate/{domain}", "{}")
        self.ledger.evacuated[domain] = (time.monotonic(), None)
        await asyncio.sleep(self.duration() + 3.0)
        self.ledger.evacuated[domain] = (self.ledger.evacuated[domain][0], time.monotonic())
        await self.registry.remove(f"op/evacuate/{domain}")

    # The run

    async def run(self):
        await self.start()
        end = time.monotonic() + self.seconds
        faults = []
        while time.monotonic() < end:
            faults.append(asyncio.create_task(self.fault()))
            await asyncio.sleep(self.rng.expovariate(1 / 0.8))
        for result in await asyncio.gather(*faults, return_exceptions=True):
            if isinstance(result, Exception):
                self.ledger.violation(f"HARNESS {result!r}")
        for backend in self.backends:
            backend.clear_faults()
            backend.limit = None
        await asyncio.sleep(SETTLE_SECONDS)
        since = time.monotonic()
        await asyncio.sleep(RECOVERY_SECONDS - SETTLE_SECONDS)
        ready = [await gateway.is_ready() for gateway in self.gateways]
        if not all(ready):
            self.ledger.violation(f"READY {ready.count(False)} gateways stay not ready")
        for gateway in self.gateways:
            version = await gateway.configuration()
            if version != self.version:
                self.ledger.violation(f"CONFIG {gateway.name} ends with version {version}, "
                                      f"not {self.version}")
        self.ledger.check_end(since)

    def stop(self):
        for task in self.tasks:
            task.cancel()
        for gateway in self.gateways:
            gateway.stop()
        for backend in self.backends:
            backend.stop()
        self.registry.stop()


def play(seed, seconds, gateways_per_domain, network, keep=None):
    """Plays one seed; returns the ledger and the faults. `keep` is a folder for logs of failures."""
    with tempfile.TemporaryDirectory(prefix="greengagestair-soak-") as folder:
        scenario = Scenario(seed, seconds, gateways_per_domain, pathlib.Path(folder), network)

        async def main():
            try:
                await scenario.run()
            finally:
                scenario.stop()

        asyncio.run(main())
        if scenario.ledger.violations and keep:
            target = pathlib.Path(keep) / f"seed-{seed}"
            target.mkdir(parents=True, exist_ok=True)
            for path in pathlib.Path(folder).iterdir():
                (target / path.name).write_bytes(path.read_bytes())
            (target / "faults.txt").write_text("\n".join(scenario.log) + "\n")
            (target / "violations.txt").write_text("\n".join(scenario.ledger.violations) + "\n")
    return scenario
