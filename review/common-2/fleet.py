"""Starts gateways as the deploy file says, with the settings template filled in."""

import asyncio
import json
import os
import re
import signal
import socket
import subprocess
import tempfile
import tomllib

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))

# The bounds of the smaller deployments (SYSTEM.md).
BOUNDS = {"drain_timeout_ms": 3000, "grace_s": 6, "retry_budget_ratio": 0.2, "budget_window_s": 10,
          "retry_slack": 58, "cold_over": 1.5, "cold_slack": 5}
RULES = ["base", "drain", "config", "cost", "retry", "recover", "scatter", "places", "platform"]
LIMITS = {"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000,
          "idle_timeout_ms": 15000}


def free_port(address):
    with socket.socket() as probe:
        probe.bind((address, 0))
        return probe.getsockname()[1]


def fill_in(template, fields):
    """Fills in the placeholders and sections that deploy/settings.json uses (DEPLOY.md)."""
    def look_up(path):
        value = fields
        for name in path.split("."):
            value = value[int(name)] if isinstance(value, list) else (value or {}).get(name)
        return value

    def section(match):
        value = look_up(match.group(1))
        return match.group(2) if value not in (None, False) else ""

    def place(match):
        value = look_up(match.group(1))
        if match.group(2):
            return json.dumps(value)
        return "" if value is None else str(value)

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)
    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", place, text)


class Gateway:
    def __init__(self, name, address, store, zone, folder, overrides=None):
        self.name = name
        self.address = address
        self.zone = zone
        self.folder = folder
        self.ports = {key: free_port(address) for key in ("http", "readiness", "admin", "peer")}
        self.fields = {
            "node_name": name, "zone": zone, "ip": address,
            "bind_addrs": {key: "%s:%d" % (address, self.ports[key]) for key in ("http", "readiness", "admin")},
            "port_range": [self.ports["peer"], self.ports["peer"] + 1],
            "platform": {"address": store}, "seeds": [],
            "limits": {"bandwidth_mbps": 1000.0, "memory_mb": 260, "max_fds": 4100},
            "bounds": dict(BOUNDS), "invariants": list(RULES),
        }
        for key, value in (overrides or {}).items():
            self.fields[key] = value
        self.process = None
        self.restarts = 0

    def write_settings(self):
        with open(os.path.join(ROOT, "deploy/system.toml"), "rb") as file:
            role = tomllib.load(file)["roles"]["gateway"]
        with open(os.path.join(ROOT, role["template"]), encoding="utf-8") as file:
            text = fill_in(file.read(), self.fields)
        path = os.path.join(self.folder, self.name + ".json")
        with open(path, "w", encoding="utf-8") as file:
            file.write(text)
        return [word.replace("/etc/greengagestair/local.toml", path) for word in role["run"].split()]

    def start(self):
        command = self.write_settings()
        command[0] = os.path.join(ROOT, command[0])
        with open(os.path.join(self.folder, self.name + ".log"), "ab") as log:
            self.process = subprocess.Popen(command, cwd=ROOT, stdout=log, stderr=log)

    def signal(self, number):
        self.process.send_signal(number)

    def has_ended(self):
        return self.process is not None and self.process.poll() is not None

    async def page(self, kind, path):
        reader, writer = await asyncio.open_connection(self.address, self.ports[kind])
        writer.write(b"GET %s HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n" % path.encode())
        data = await reader.read()
        writer.close()
        return data

    async def is_ready(self):
        try:
            return (await asyncio.wait_for(self.page("readiness", "/ready"), 1)).startswith(b"HTTP/1.1 200")
        except (OSError, asyncio.TimeoutError):
            return False

    async def wait_until_ready(self, seconds=15):
        for _ in range(int(seconds * 10)):
            if await self.is_ready():
                return
            await asyncio.sleep(0.1)
        raise RuntimeError(self.name + " is not ready")

    def end(self):
        if self.process is None or self.process.poll() is not None:
            return
        self.process.send_signal(signal.SIGCONT)
        self.process.kill()
        self.process.wait()


class Record:
    """What was sent, answered and run, one line an event."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.loop = asyncio.get_running_loop()
        self.began = self.loop.time()

    def add(self, text):
        self.file.write("%9.3f s  %s\n" % (self.loop.time() - self.began, text))
        self.file.flush()


def run_case(main, folder, seconds=110):
    """Runs the coroutine main(record, temporary folder, trouble). Exit code: 1 broken, 0 held, 2 not run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    if not os.path.exists(os.path.join(ROOT, "target/greengagestair")):
        print("target/greengagestair is missing: run the build of the deploy file")
        return 2

    async def limited():
        record = Record(folder)
        loop = asyncio.get_running_loop()
        task = asyncio.current_task()
        for number in (signal.SIGINT, signal.SIGTERM):
            loop.add_signal_handler(number, task.cancel)
        with tempfile.TemporaryDirectory() as temporary:
            try:
                broken = await asyncio.wait_for(main(record, temporary, trouble), seconds)
            except (Exception, asyncio.CancelledError) as error:
                record.add("the case could not run: %r" % error)
                print("the case could not run: %r" % error)
                return 2
        for line in broken:
            record.add("BROKEN: " + line)
            print("broken: " + line)
        record.add("the rule was broken" if broken else "the rule held")
        print("the rule was broken" if broken else "the rule held")
        return 1 if broken else 0

    return asyncio.run(limited())
