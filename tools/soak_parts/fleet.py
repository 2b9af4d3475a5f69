"""The processes of a soak: the store's stand-in and the gateways, each started and ended by id."""

import asyncio
import json
import os
import pathlib
import signal
import subprocess
import time
import urllib.parse

from . import wire
from .proxy import Proxy

ROOT = pathlib.Path(__file__).resolve().parents[2]
GRACE = 6.0              # seconds from SIGTERM to the end
RESTART_DELAY = 0.3
MEMORY_LIMIT_KB = 260 * 1024


class Registry:
    """The store's stand-in, as operators and backend servers write to it."""

    def __init__(self, address, control, folder):
        self.control = control
        self.written = {}  # last values by key since the copy was kept; None if removed
        self.log = open(folder / "registry.log", "ab")
        self.process = subprocess.Popen(
            [ROOT / "build/standins/registry-standin", "--listen", "{}:{}".format(*address),
             "--control", "{}:{}".format(*control)], stdout=self.log, stderr=self.log)

    async def command(self, path, body=b"", **query):
        target = f"{path}?{urllib.parse.urlencode(query, safe='/')}"
        status, _ = await wire.call(self.control, "POST", target, body=body)
        if status != 200:
            raise RuntimeError(f"store stand-in: {target}: {status}")

    async def put(self, key, value):
        self.written[key] = value
        await self.command("/put", value.encode(), key=key)

    async def remove(self, key):
        self.written[key] = None
        await self.command("/remove", key=key)

    async def keep_copy(self):
        self.written.clear()
        await self.command("/keep-copy")

    async def go_back(self):
        """Comes back from the copy. Returns what was written since: values by key, None if removed.
        """
        lost = dict(self.written)
        await self.command("/go-back")
        return lost

    async def write_again(self, key):
        """Writes an entry as it was written last, by whoever wrote it."""
        if self.written.get(key) is None:
            await self.remove(key)
        else:
            await self.put(key, self.written[key])

    def stop(self):
        self.process.send_signal(signal.SIGCONT)
        self.process.terminate()
        self.process.wait()
        self.log.close()


class Gateway:
    """One gateway process, with fault proxies towards its callers and the store."""

    def __init__(self, name, domain, ip, port, store, ledger, folder, slack):
        self.name = name
        self.domain = domain
        self.ledger = ledger
        self.folder = folder
        self.process = None
        self.stops_until = 0.0  # a planned stop is under way until then
        self._is_wanted = True
        self.callers = Proxy((ip, port + 5), (ip, port))
        self.store = Proxy((ip, port + 4), store)
        self.ready = (ip, port + 1)
        self.admin = (ip, port + 2)
        self.settings = {
            "host": name, "failureDomain": domain, "callerEndpoint": f"{ip}:{port}",
            "readinessEndpoint": f"{ip}:{port + 1}", "adminEndpoint": f"{ip}:{port + 2}",
            "peerEndpoint": f"{ip}:{port + 3}", "store": f"{ip}:{port + 4}", "linkMbps": 1000,
            "seeds": [],
            "stopTimeoutMs": int(GRACE * 1000), "repeatRatio": 0.2, "repeatWindowMs": 10000,
            "repeatSlack": slack, "coldFactor": 1.5, "coldSlack": 5}

    async def start(self, seeds):
        self.settings["seeds"] = seeds
        (self.folder / f"{self.name}.json").write_text(json.dumps(self.settings))
        await self.callers.start()
        await self.store.start()
        self.spawn()

    def spawn(self):
        with open(self.folder / f"{self.name}.log", "ab") as log:
            self.process = subprocess.Popen(
                [ROOT / "build/greengagestair", "gateway", "--settings",
                 self.folder / f"{self.name}.json"], stdout=log, stderr=log)

    async def watch(self):
        """Restarts the process when it ends, as the platform does."""
        while self._is_wanted:
            await asyncio.sleep(0.05)
            code = self.process.poll()
            if code is None:
                self.check_memory()
                continue
            planned = time.monotonic() < self.stops_until + 1.0
            expected = code == -signal.SIGKILL or (planned and code == 0)
            if not expected:
                self.ledger.violation(f"EXIT {self.name} ended with {code}")
            await asyncio.sleep(RESTART_DELAY)
            if self._is_wanted:
                self.spawn()

    def check_memory(self):
        try:
            status = pathlib.Path(f"/proc/{self.process.pid}/statm").read_text().split()
        except OSError:
            return
        resident = int(status[1]) * os.sysconf("SC_PAGE_SIZE") // 1024
        if resident > MEMORY_LIMIT_KB:
            self.ledger.violation(f"MEMORY {self.name} holds {resident} KB")

    def send_signal(self, number):
        if self.process.poll() is None:
            self.process.send_signal(number)

    async def terminate(self):
        self.stops_until = time.monotonic() + GRACE
        process = self.process
        self.send_signal(signal.SIGTERM)
        while process.poll() is None and time.monotonic() < self.stops_until:
            await asyncio.sleep(0.05)
        if process.poll() is None:
            self.ledger.violation(f"STOP {self.name} outlived its grace time")
            process.kill()

    async def is_ready(self):
        try:
            return (await wire.call(self.ready, "GET", "/ready", timeout=0.5))[0] == 200
        except (OSError, asyncio.TimeoutError, wire.Broken):
            return False

    async def configuration(self):
        """Version of the configuration in force; None if the process does not tell."""
        try:
            status, body = await wire.call(self.admin, "GET", "/state", timeout=1.0)
        except (OSError, asyncio.TimeoutError, wire.Broken):
            return None
        return json.loads(body)["configuration"] if status == 200 else None

    def stop(self):
        self._is_wanted = False
        for proxy in (self.callers, self.store):
            proxy.stop()
        if self.process is None:
            return
        self.send_signal(signal.SIGCONT)
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()
