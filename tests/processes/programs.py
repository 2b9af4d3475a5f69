"""Starts the program and its stand-ins as processes for the tests of this folder."""

import http.client
import http.server
import json
import os
import pathlib
import re
import socket
import subprocess
import tempfile
import threading
import time
import urllib.parse

BUILD = pathlib.Path(os.environ["GREENGAGESTAIR_BUILD"])
IS_SANITIZED = os.environ.get("GREENGAGESTAIR_SANITIZE", "OFF") == "ON"
ADDRESS = "127.77.0.1"
START_SECONDS = 60.0
MEGABYTE = 1024 * 1024
# Address sanitizer adds red zones around each allocation, shadow memory, a quarantine of freed
# memory and larger code. The allowance was fixed before the first run under sanitizers.
SANITIZER_FACTOR = 3
SANITIZER_EXTRA_BYTES = 160 * MEGABYTE
SANITIZER_OPTIONS = "quarantine_size_mb=16"


def memory_bound(megabytes):
    """Bytes that a process with that much memory may have resident."""
    if IS_SANITIZED:
        return megabytes * MEGABYTE * SANITIZER_FACTOR + SANITIZER_EXTRA_BYTES
    return megabytes * MEGABYTE


def free_ports(count):
    sockets = [socket.socket() for _ in range(count)]
    try:
        for one in sockets:
            one.bind((ADDRESS, 0))
        return [one.getsockname()[1] for one in sockets]
    finally:
        for one in sockets:
            one.close()


def call(port, method, target, body=None, headers=None, timeout=5.0):
    """One request on a connection of its own; returns status and body."""
    connection = http.client.HTTPConnection(ADDRESS, port, timeout=timeout)
    try:
        connection.request(method, target, body=body, headers=headers or {})
        response = connection.getresponse()
        return response.status, response.read()
    finally:
        connection.close()


def answered(port, method, target, body=None, headers=None, seconds=30.0, accepted=(200,)):
    """True if the request gets an accepted answer within that time. Callers repeat what was
    refused."""
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        try:
            if call(port, method, target, body, headers)[0] in accepted:
                return True
        except (OSError, http.client.HTTPException):
            pass
        time.sleep(0.1)
    return False


class Process:
    """One process, with its log in the folder of the test; ended by its id."""

    def __init__(self, folder, name, *arguments):
        environment = dict(os.environ, ASAN_OPTIONS=SANITIZER_OPTIONS)
        self.log = folder / f"{name}.log"
        with open(self.log, "ab") as log:
            self.popen = subprocess.Popen([str(argument) for argument in arguments], stdout=log,
                                          stderr=log, env=environment)

    def is_alive(self):
        return self.popen.poll() is None

    def memory(self):
        """Resident bytes now and at most (VmRSS, VmHWM); zeros after the end."""
        try:
            text = pathlib.Path(f"/proc/{self.popen.pid}/status").read_text()
        except OSError:
            return 0, 0
        figures = dict(re.findall(r"(VmRSS|VmHWM):\s+(\d+) kB", text))
        return int(figures.get("VmRSS", 0)) * 1024, int(figures.get("VmHWM", 0)) * 1024

    def descriptors(self):
        try:
            return len(os.listdir(f"/proc/{self.popen.pid}/fd"))
        except OSError:
            return 0

    def end(self, seconds=20.0):
        """Stops the process as planned; returns its exit code, None if it had to be killed."""
        if self.is_alive():
            self.popen.terminate()
        try:
            return self.popen.wait(seconds)
        except subprocess.TimeoutExpired:
            self.popen.kill()
            self.popen.wait()
            return None


class _Backend(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def do_POST(self):
        body = self.rfile.read(int(self.headers.get("Content-Length", "0")))
        content = b"x" * self.server.answer_bytes if self.path.endswith("/large") else body[:64]
        self.send_response(200)
        request = self.headers.get("X-Request-Id", "")
        self.send_header("X-Request-Id", request)
        self.send_header("X-Backend-Signature", f"i-1.{request}")
        self.send_header("Content-Length", str(len(content)))
        self.end_headers()
        self.wfile.write(content)

    def log_message(self, *_):
        pass


class Backend:
    """A backend server in this process."""

    def __init__(self, port, answer_bytes=1_000_000):
        http.server.ThreadingHTTPServer.daemon_threads = True
        self.server = http.server.ThreadingHTTPServer((ADDRESS, port), _Backend)
        self.server.answer_bytes = answer_bytes
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def end(self):
        self.server.shutdown()
        self.server.server_close()


class Gateway:
    """A gateway process with the store's stand-in and one backend server."""

    name = "gateway"

    def __init__(self, memory_mb, max_descriptors, max_body=262144, idle_timeout_ms=15000):
        self._folder = tempfile.TemporaryDirectory()
        folder = pathlib.Path(self._folder.name)
        ports = free_ports(7)
        self.port, ready, self.admin, peer, store, self._control, backend = ports
        self.backend = Backend(backend)
        self.registry = Process(folder, "registry", BUILD / "standins/registry-standin", "--listen",
                                f"{ADDRESS}:{store}", "--control", f"{ADDRESS}:{self._control}")
        self._put("op/config", {
            "version": 1, "routes": [
                {"name": "orders", "host": "h", "prefix": "/o/", "type": "idempotent",
                 "timeout_ms": 5000, "target_latency_ms": 200, "priority": 1, "service": "s",
                 "max_attempts": 2},
                {"name": "endless", "host": "h", "prefix": "/endless/", "type": "idempotent",
                 "timeout_ms": 5000, "target_latency_ms": 200, "priority": 1, "service": "endless",
                 "max_attempts": 2}],
            "services": [{"name": name, "health_path": "/h", "max_conns": 60, "warmup_per_s": 0}
                         for name in ("s", "endless")],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": max_body,
                       "header_timeout_ms": 3000, "idle_timeout_ms": idle_timeout_ms}})
        self.add_server("s", "i-1", backend)
        settings = {
            "host": "edge-1", "failureDomain": "z", "callerEndpoint": f"{ADDRESS}:{self.port}",
            "readinessEndpoint": f"{ADDRESS}:{ready}", "adminEndpoint": f"{ADDRESS}:{self.admin}",
            "peerEndpoint": f"{ADDRESS}:{peer}", "store": f"{ADDRESS}:{store}", "linkMbps": 1000,
            "seeds": [], "stopTimeoutMs": 6000, "repeatRatio": 0.2, "repeatWindowMs": 10000,
            "repeatSlack": 100, "coldFactor": 100, "coldSlack": 1000,
            "memoryMb": memory_mb, "maxDescriptors": max_descriptors}
        path = folder / "settings.json"
        path.write_text(json.dumps(settings))
        self.process = Process(folder, "gateway", BUILD / "greengagestair", "gateway", "--settings",
                               path)

    def _put(self, key, value):
        target = f"/put?{urllib.parse.urlencode({'key': key}, safe='/')}"
        if not answered(self._control, "POST", target, json.dumps(value), seconds=START_SECONDS):
            raise RuntimeError("the store's stand-in does not answer")

    def add_server(self, service, name, port):
        self._put(f"servers/{name}", {
            "service": service, "address": f"{ADDRESS}:{port}", "zone": "z", "slots": 50,
            "state": "ready", "slow_start_ms": 0, "sequence": 1, "born": 5})

    def answers(self, seconds=30.0):
        return answered(self.port, "POST", "/o/1", b"hello",
                        {"Host": "h", "X-Request-Id": "ordinary"}, seconds)

    def end(self):
        code = self.process.end()
        self.registry.end()
        self.backend.end()
        self._folder.cleanup()
        return code


class Serve:
    """An entry host process of `serve` with the platform's stand-in, or with another one.

    `make_platform` starts the other one on a port; it has a method `end`."""

    name = "serve"

    def __init__(self, memory_mb, max_descriptors, make_platform=None):
        self._folder = tempfile.TemporaryDirectory()
        folder = pathlib.Path(self._folder.name)
        self.port, peer, platform, control = free_ports(4)
        self.platform = make_platform(platform) if make_platform else Process(
            folder, "platform", BUILD / "standins/platform-standin", "--listen",
            f"{ADDRESS}:{platform}", "--control", f"{ADDRESS}:{control}")
        settings = {"host": "edge-1", "failureDomain": "z",
                    "callerEndpoint": f"{ADDRESS}:{self.port}",
                    "peerEndpoint": f"{ADDRESS}:{peer}", "platform": [f"{ADDRESS}:{platform}"],
                    "stopTimeoutMs": 5000, "memoryMb": memory_mb,
                    "maxDescriptors": max_descriptors}
        path = folder / "settings.json"
        path.write_text(json.dumps(settings))
        self.process = Process(folder, "serve", BUILD / "greengagestair", "serve", "--settings",
                               path)

    def answers(self, seconds=30.0):
        return answered(self.port, "GET", "/metrics", seconds=seconds)

    def end(self):
        code = self.process.end()
        self.platform.end()
        self._folder.cleanup()
        return code
