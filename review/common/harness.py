"""Stand-ins for the platform's store, backend servers and clients, and the gateways as processes.

All stand-ins live in one asyncio process and listen on 127.0.0.1; each gateway has a loopback
address of its own. All ports are handed out by the system. The gateways are the project's program,
started with the command of the deploy file and a settings file that is filled in from the template
of the deploy file.
"""

import asyncio
import base64
import json
import os
import pathlib
import random
import re
import shlex
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2

# The bounds that `fleetbench wire` shows for the site that the claims name.
BOUNDS = {"grace_s": 6, "drain_timeout_ms": 3000, "contact_ms": 4000, "config_apply_ms": 3000,
          "retry_budget_ratio": 0.2, "budget_window_s": 10, "retry_slack": 58, "cold_over": 1.5,
          "cold_slack": 5, "recover_s": 12, "loss_slack_ms": 200}
LIMITS = {"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000,
          "idle_timeout_ms": 15000}
HISTORY = 20000


class NotRun(Exception):
    """The case could not be played."""


def free_ports(address, count):
    """Ports that the system hands out. The address is that of one gateway alone, so that no
    outgoing connection takes one of them before the gateway listens."""
    probes = [socket.socket() for _ in range(count)]
    try:
        for probe in probes:
            probe.bind((address, 0))
        return [probe.getsockname()[1] for probe in probes]
    finally:
        for probe in probes:
            probe.close()


class Record:
    """Writes what was sent, answered and run to record.txt, with the seconds since the start."""

    def __init__(self, folder):
        self.start = time.monotonic()
        self.file = open(pathlib.Path(folder) / "record.txt", "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.start

    def __call__(self, text):
        self.file.write(f"{self.now():9.3f} {text}\n")

    def say(self, text):
        self(text)
        print(f"{self.now():9.3f} {text}", flush=True)


class Headers(dict):
    def get_ci(self, name, default=""):
        return self.get(name.lower(), default)


async def read_head(reader):
    """Reads a request or status line and the header fields; None at the end of the stream."""
    line = await reader.readline()
    if not line.endswith(b"\n"):
        return None
    headers = Headers()
    while True:
        field = await reader.readline()
        if not field.endswith(b"\n"):
            return None
        if field in (b"\r\n", b"\n"):
            return line.decode("latin-1").strip(), headers
        name, _, value = field.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()


def response(status, headers=(), body=b""):
    text = f"HTTP/1.1 {status} X\r\n"
    for name, value in headers:
        text += f"{name}: {value}\r\n"
    return text.encode() + f"Content-Length: {len(body)}\r\n\r\n".encode() + body


class Listener:
    """A TCP server on 127.0.0.1 whose connections can be cut at once."""

    def __init__(self, port=0):
        self.port = port
        self.server = None
        self.tasks = {}

    async def listen(self):
        self.server = await asyncio.start_server(self._run, "127.0.0.1", self.port,
                                                 limit=1 << 20, backlog=512)
        self.port = self.server.sockets[0].getsockname()[1]

    async def _run(self, reader, writer):
        task = asyncio.current_task()
        self.tasks[task] = writer
        try:
            await self.serve(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.tasks.pop(task, None)
            writer.close()

    def close(self):
        if self.server:
            self.server.close()
            self.server = None

    def cut(self, reset=True):
        """Ends all connections, as a process that dies does."""
        self.close()
        for task, writer in list(self.tasks.items()):
            if reset and writer.transport and not writer.transport.is_closing():
                writer.transport.abort()
            task.cancel()


class Store(Listener):
    """The platform's metadata store: keys with revisions, watches and leases."""

    def __init__(self):
        super().__init__()
        self.rev = 10
        self.items = {}
        self.events = []
        self.leases = {}
        self.last_lease = 100
        self.changed = asyncio.Event()

    def _event(self, event):
        self.events.append(event)
        del self.events[:-HISTORY]
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, key, value, lease=0):
        self.rev += 1
        old = self.items.get(key)
        item = {"key": key, "value": base64.b64encode(value).decode(), "rev": self.rev,
                "created_rev": old["created_rev"] if old else self.rev, "lease": lease}
        self.items[key] = item
        self._event(item)
        return self.rev

    def put_json(self, key, value):
        return self.put(key, json.dumps(value).encode())

    def remove(self, key):
        if key in self.items:
            del self.items[key]
            self.rev += 1
            self._event({"key": key, "rev": self.rev, "removed": True})
        return self.rev

    def _end_lease(self, lease):
        timer = self.leases.pop(lease, None)
        if timer:
            timer[1].cancel()
        for key in [k for k, item in self.items.items() if lease and item["lease"] == lease]:
            self.remove(key)

    def _keep(self, lease, ttl_ms):
        old = self.leases.get(lease)
        if old:
            old[1].cancel()
        timer = asyncio.get_running_loop().call_later(ttl_ms / 1000, self._end_lease, lease)
        self.leases[lease] = (ttl_ms, timer)

    async def serve(self, reader, writer):
        while head := await read_head(reader):
            line, headers = head
            body = await reader.readexactly(int(headers.get_ci("content-length", "0")))
            method, target, _ = line.split(" ", 2)
            status, answer = await self.handle(method, target, body)
            writer.write(response(status, [("Content-Type", "application/json")],
                                  json.dumps(answer).encode()))
            await writer.drain()

    async def handle(self, method, target, body):
        url = urllib.parse.urlsplit(target)
        query = {k: v[0] for k, v in
                 urllib.parse.parse_qs(url.query, keep_blank_values=True).items()}
        path = url.path
        if method == "GET" and path == "/kv-range":
            prefix, after = query.get("prefix", ""), query.get("after", "")
            keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
            return 200, {"items": [self.items[k] for k in keys[:500]],
                         "truncated": len(keys) > 500, "current_rev": self.rev}
        if method == "GET" and path == "/kv-watch":
            return await self.watch(query)
        if method == "GET" and path == "/kv-key":
            item = self.items.get(query.get("key", ""))
            return (200, {**item, "current_rev": self.rev}) if item else (404, {})
        if method == "POST" and path == "/kv-txn":
            return self.transact(json.loads(body))
        if method == "POST" and path == "/kv-lease":
            self.last_lease += 1
            self._keep(self.last_lease, json.loads(body)["ttl_ms"])
            return 200, {"lease": self.last_lease, "ttl_ms": self.leases[self.last_lease][0]}
        lease = int(path.rsplit("/", 1)[1]) if path.rsplit("/", 1)[1].isdigit() else 0
        if lease not in self.leases:
            return 404, {}
        if path.startswith("/kv-keep/"):
            self._keep(lease, self.leases[lease][0])
            return 200, {"ttl_ms": self.leases[lease][0]}
        self._end_lease(lease)
        return 200, {}

    async def watch(self, query):
        after, prefix = int(query["after"]), query.get("prefix", "")
        end = time.monotonic() + int(query.get("wait_ms", "0")) / 1000
        while True:
            if len(self.events) == HISTORY and self.events[0]["rev"] > after + 1:
                return 410, {}
            events = [e for e in self.events if e["rev"] > after and e["key"].startswith(prefix)]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "current_rev": self.rev}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def transact(self, call):
        rows = call.get("precondition", [])
        for row in rows:
            item = self.items.get(row["key"])
            if (item["rev"] if item else 0) != row["rev"]:
                return 412, {"items": [self.items[r["key"]] for r in rows
                                       if r["key"] in self.items]}
        for put in call.get("puts", []):
            if put.get("lease") and put["lease"] not in self.leases:
                return 404, {}
        for put in call.get("puts", []):
            self.put(put["key"], base64.b64decode(put["value"]), put.get("lease", 0))
        for key in call.get("remove", []):
            self.remove(key)
        return 200, {"rev": self.rev}


class Backend(Listener):
    """A backend server: registers in the store, runs requests, drops those whose connection ends.

    Subclasses override work(), which returns (status, extra header fields, body) or None to end the
    connection without an answer.
    """

    beat_s = 1.2
    last_id = 0

    def __init__(self, store, record, service, zone, slots=3):
        super().__init__()
        Backend.last_id += 1
        self.id = f"i-{Backend.last_id:04x}"
        self.store, self.record = store, record
        self.service, self.zone, self.slots = service, zone, slots
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.beats = None
        self.beat_at = 0.0
        self.arrivals = []
        self.runs = 0
        self.last_run = 0

    def entry(self):
        return {"service": self.service, "address": f"127.0.0.1:{self.port}", "zone": self.zone,
                "version": "v1", "slots": self.slots, "state": self.state, "slow_start_ms": 0,
                "sequence": self.sequence, "born": self.born}

    async def start(self):
        await self.listen()
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.beats = asyncio.create_task(self._beat())

    async def _beat(self):
        while True:
            self.sequence += 1
            self.beat_at = time.monotonic()
            self.store.put_json(f"servers/{self.id}", self.entry())
            await asyncio.sleep(self.beat_s)

    def leave_list(self):
        """Removes the entry and writes it no more; the server goes on serving."""
        self.beats.cancel()
        return self.store.remove(f"servers/{self.id}")

    def crash(self):
        """Ends as a process that dies. The entry is removed after three intervals of silence."""
        if self.beats:
            self.beats.cancel()
            silent_s = time.monotonic() - self.beat_at
            asyncio.get_running_loop().call_later(3 * self.beat_s - silent_s, self._expire,
                                                  self.born)
        self.cut()

    def _expire(self, born):
        if self.born == born:
            self.store.remove(f"servers/{self.id}")

    async def work(self, request, headers, body):
        return 200, [], b"ok"

    def sign(self, status):
        self.last_run += 1
        return f"{self.id[2:]}.07.{self.last_run:x}.{status}.0.{abs(hash(self.id)) % 65536:04x}"

    async def serve(self, reader, writer):
        while head := await read_head(reader):
            line, headers = head
            body = await reader.readexactly(int(headers.get_ci("content-length", "0")))
            if headers.get_ci("x-target-instance", self.id) != self.id:
                writer.write(response(421, [("X-Instance-Id", self.id)]))
                continue
            request_id = headers.get_ci("x-request-id")
            self.arrivals.append((time.monotonic(), request_id))
            self.record(f"run {request_id} at {self.service}/{self.id}")
            self.runs += 1
            # The request is dropped when its connection ends.
            work = asyncio.create_task(self.work(line, headers, body))
            gone = asyncio.create_task(reader.read(1))
            try:
                await asyncio.wait({work, gone}, return_when=asyncio.FIRST_COMPLETED)
                if not work.done():
                    self.record(f"dropped {request_id} at {self.service}/{self.id}")
                    return
                answer = work.result()
            finally:
                work.cancel()
                gone.cancel()
                await asyncio.gather(gone, return_exceptions=True)
            if answer is None:
                return
            status, extra, content = answer
            writer.write(response(status, [("X-Request-Id", request_id),
                                           ("X-Backend-Signature", self.sign(status)), *extra],
                                  content))
            await writer.drain()


class Gateway:
    """One gateway process."""

    running = set()

    def __init__(self, fleet, name, zone):
        self.fleet, self.name, self.zone = fleet, name, zone
        self.address = f"127.0.{random.randrange(1, 250)}.{10 + len(fleet.gateways)}"
        self.http, self.ready_port, self.admin, self.peer = free_ports(self.address, 4)
        self.settings = fleet.folder / f"{name}.json"
        self.process = None
        self.started_at = 0.0
        self.exit_code = None

    def write_settings(self):
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text(encoding="utf-8"))
        role = deploy["roles"]["gateway"]
        fields = {"node_name": self.name, "zone": self.zone, "ip": self.address,
                  "bind_addrs": {"http": f"{self.address}:{self.http}",
                                 "readiness": f"{self.address}:{self.ready_port}",
                                 "admin": f"{self.address}:{self.admin}"},
                  "port_range": [self.peer, self.peer],
                  "platform": {"address": f"127.0.0.1:{self.fleet.store.port}"},
                  "limits": {"bandwidth_mbps": 1000.0},
                  "seeds": [f"{g.address}:{g.admin}" for g in self.fleet.gateways[:3]],
                  "bounds": {**BOUNDS, **self.fleet.bounds}}

        def fill(match):
            value = fields
            path, _, form = match[1].partition("|")
            for part in path.split("."):
                value = value[int(part)] if isinstance(value, list) else value[part]
            return json.dumps(value) if form == "json" else str(value)

        template = (ROOT / role["template"]).read_text(encoding="utf-8")
        self.settings.write_text(re.sub(r"\{\{([^}]+)\}\}", fill, template), encoding="utf-8")
        return role["run"]

    async def start(self):
        words = shlex.split(self.write_settings())
        words[-1] = str(self.settings)
        program = ROOT / words[0]
        if not program.exists():
            raise NotRun(f"{words[0]} has not been built")
        log = open(self.fleet.folder / f"{self.name}.log", "ab")
        self.process = await asyncio.create_subprocess_exec(
            str(program), *words[1:], cwd=ROOT, stdout=log, stderr=log,
            env={k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ})
        log.close()
        Gateway.running.add(self.process.pid)
        self.started_at = time.monotonic()
        self.fleet.record(f"start {self.name} pid {self.process.pid}")

    @classmethod
    def kill_all(cls):
        """Ends the processes that a case has left, by their ids."""
        for pid in cls.running:
            try:
                os.kill(pid, signal.SIGKILL)
            except ProcessLookupError:
                pass
        cls.running.clear()

    def send(self, number):
        if self.process and self.process.returncode is None:
            self.fleet.record(f"{signal.Signals(number).name} {self.name}")
            self.process.send_signal(number)

    async def ended(self):
        self.exit_code = await self.process.wait()
        Gateway.running.discard(self.process.pid)
        self.fleet.record(f"ended {self.name} with {self.exit_code}")
        return self.exit_code

    async def restart(self, number=signal.SIGKILL):
        """Ends the process and starts it again after a short delay; SIGTERM has the grace time."""
        self.send(number)
        try:
            await asyncio.wait_for(self.ended(), BOUNDS["grace_s"])
        except asyncio.TimeoutError:
            self.send(signal.SIGKILL)
            await self.ended()
        await asyncio.sleep(0.3)
        await self.start()

    async def get(self, port, path):
        reader, writer = await asyncio.open_connection(self.address, port)
        try:
            writer.write(f"GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n".encode())
            data = await asyncio.wait_for(reader.read(-1), 2)
            return int(data.split(b" ", 2)[1]), data.partition(b"\r\n\r\n")[2]
        finally:
            writer.close()

    async def state(self):
        return json.loads((await self.get(self.admin, "/state"))[1])

    async def wait_ready(self, timeout=15):
        end = time.monotonic() + timeout
        while time.monotonic() < end:
            try:
                if (await self.get(self.ready_port, "/ready"))[0] == 200:
                    return
            except (OSError, asyncio.TimeoutError, IndexError, ValueError):
                pass
            await asyncio.sleep(0.05)
        raise NotRun(f"{self.name} was not ready after {timeout} s")


class Fleet:
    """The store, gateways and a temporary folder; everything is ended by stop()."""

    def __init__(self, record, zones, bounds=None):
        self.record = record
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.store = Store()
        self.bounds = bounds or {}
        self.gateways = []
        for name, zone in zones:
            self.gateways.append(Gateway(self, name, zone))
        self.backends = []

    def configure(self, version, routes, services, warmup_per_s=0.0):
        base = {"health_path": "/healthz", "max_conns": 110, "protocol": "h1", "tls": False,
                "slow_start_s": 3.0, "warmup_per_s": warmup_per_s}
        rev = self.store.put_json("op/config", {
            "version": version, "routes": routes,
            "services": [{"name": s, **base} for s in services], "limits": LIMITS})
        self.record(f"configuration {version} acknowledged with revision {rev}")

    async def start(self):
        for gateway in self.gateways:
            await gateway.start()
        for gateway in self.gateways:
            await gateway.wait_ready()

    async def wait_for_servers(self, count, timeout=10):
        end = time.monotonic() + timeout
        while time.monotonic() < end:
            states = [await g.state() for g in self.gateways]
            if all(len(s["servers"]) >= count and s["entryHosts"] == len(self.gateways)
                   for s in states):
                return
            await asyncio.sleep(0.1)
        raise NotRun("the gateways do not know all servers")

    async def stop(self):
        for gateway in self.gateways:
            process = gateway.process
            if process and process.returncode is None:
                process.kill()
                await gateway.ended()
            elif process:
                Gateway.running.discard(process.pid)
        for backend in self.backends:
            backend.crash()
        self.store.cut()
        keep = os.environ.get("KEEP")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


class Client:
    """A caller with one connection that it keeps. Each request has an id of its own."""

    last_id = 0

    def __init__(self, record, gateway):
        self.record, self.gateway = record, gateway
        self.reader = self.writer = None

    async def connect(self, receive_buffer=None):
        connection = socket.socket()
        if receive_buffer:
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        connection.setblocking(False)
        loop = asyncio.get_running_loop()
        target = (self.gateway.address, self.gateway.http)
        await asyncio.wait_for(loop.sock_connect(connection, target), 1)
        limit = receive_buffer or 1 << 16
        self.reader, self.writer = await asyncio.open_connection(sock=connection, limit=limit)

    def close(self):
        if self.writer:
            self.writer.transport.abort()
        self.reader = self.writer = None

    @classmethod
    def new_id(cls):
        cls.last_id += 1
        return f"{cls.last_id:016x}"

    def send(self, host, path, deadline_ms, method="GET", body=b""):
        request_id = self.new_id()
        head = (f"{method} {path} HTTP/1.1\r\nHost: {host}\r\nX-Request-Id: {request_id}\r\n"
                f"X-Deadline-Ms: {deadline_ms}\r\n")
        if body or method != "GET":
            head += f"Content-Length: {len(body)}\r\n"
        self.record(f"send {request_id} {method} {path} to {self.gateway.name}")
        self.writer.write(head.encode() + b"\r\n" + body)
        return request_id

    async def read_answer(self):
        """Returns (status, headers, body); None if the connection ends before a whole answer."""
        try:
            head = await read_head(self.reader)
            if not head:
                return None
            line, headers = head
            body = await self.reader.readexactly(int(headers.get_ci("content-length", "0")))
            return int(line.split(" ")[1]), headers, body
        except (ConnectionError, asyncio.IncompleteReadError):
            return None

    async def request(self, host, path, deadline_ms, method="GET", body=b""):
        """Sends on the kept connection or on a new one. Returns (id, answer or None)."""
        if not self.writer or self.writer.transport.is_closing() or self.reader.at_eof():
            self.close()
            try:
                await self.connect()
            except (OSError, asyncio.TimeoutError):
                return None, None
        request_id = self.send(host, path, deadline_ms, method, body)
        try:
            answer = await asyncio.wait_for(self.read_answer(), deadline_ms / 1000 + 0.2)
        except asyncio.TimeoutError:
            answer = None
        text = f"{answer[0]} {len(answer[2])} B" if answer else "nothing"
        self.record(f"answer {request_id} {text}")
        if not answer or answer[1].get_ci("connection").lower() == "close":
            self.close()
        return request_id, answer


async def cancel(tasks):
    """Ends tasks. A task is cancelled again if a wait_for() that had just ended swallowed it."""
    pending = {task for task in tasks if not task.done()}
    for _ in range(10):
        for task in pending:
            task.cancel()
        if not pending:
            return
        _, pending = await asyncio.wait(pending, timeout=0.3)


def run(folder, case):
    """Plays `case(record)`, which returns HELD or BROKEN, and exits with the result."""
    record = Record(folder)
    result = NOT_RUN

    async def play():
        task = asyncio.current_task()
        # Connections that are cut on purpose leave futures behind that nobody reads.
        asyncio.get_running_loop().set_exception_handler(lambda _, context: None)
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        return await asyncio.wait_for(case(record), 115)

    try:
        result = asyncio.run(play())
    except NotRun as problem:
        record.say(f"not run: {problem}")
    except asyncio.CancelledError:
        record.say("not run: interrupted")
    except asyncio.TimeoutError:
        record.say("not run: the case took longer than 115 s")
    finally:
        Gateway.kill_all()
    verdict = {HELD: "the rule held", BROKEN: "the rule was broken", NOT_RUN: "not run"}[result]
    record.say(f"{verdict}, with TROUBLE={int(TROUBLE)}")
    record.file.close()
    sys.exit(result)
