"""Starts and stops a local cluster: stand-ins of the platform and the backend servers, and entry
hosts in three failure domains on loopback addresses. Used by tools/quickstart and tools/bench."""

import http.client
import importlib
import json
import pathlib
import signal
import socket
import subprocess
import sys
import time

ROOT = pathlib.Path(__file__).resolve().parents[1]
sys.path.insert(0, str(ROOT / "operators"))
sys.path.insert(0, str(ROOT / "operators" / "examples"))

import greengagestair_config as declarations  # noqa: E402

READY_TIMEOUT = 20.0  # seconds
SETTLE_TIMEOUT = 40.0  # seconds; cells form one member at a time after the hosts are ready
STOP_TIMEOUT = 15.0  # seconds; above stopTimeoutMs of the settings below
PORT_STEP = 100
# Lookups cost 6 ms per new connection, ledgers and profiles 1 ms (docs/design.md section 2).
LOOKUP_CONNECTION_COST_MS = 6
LEDGER_CONNECTION_COST_MS = 1
SERVICE_TIME_MS = 5  # median; the declared warm part time is 6 ms


def call(endpoint, method, path, body=None, headers=None, timeout=10.0):
    """One HTTP request; returns (status, headers, text)."""
    connection = http.client.HTTPConnection(endpoint, timeout=timeout)
    try:
        connection.request(method, path, body=body, headers=headers or {})
        response = connection.getresponse()
        return response.status, response.headers, response.read().decode()
    finally:
        connection.close()


def free_base_port():
    """First block of ports of which the platform's and the stand-ins' ports are free."""
    for base in range(7000, 12000, PORT_STEP):
        try:
            for offset in (50, 51, 52):
                with socket.socket() as probe:
                    probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                    probe.bind(("127.0.0.1", base + offset))
            return base
        except OSError:
            continue
    raise RuntimeError("no free block of ports")


def stop_cleanly_on_signals():
    """Turns SIGTERM into SystemExit, so that a cluster in use is stopped."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(128 + signal.SIGTERM))


class Cluster:
    """One installation ("cairo" or "lagos"); `arm` is "full" (our entry hosts) or "direct"."""

    def __init__(self, shape, folder, arm="full", seed=1, hosts_per_domain=3, options=None):
        self.folder = pathlib.Path(folder)
        self.arm = arm
        self.base = free_base_port()
        self.platform = f"127.0.0.1:{self.base + 50}"
        self.platform_control = f"127.0.0.1:{self.base + 51}"
        self.backend_control = f"127.0.0.1:{self.base + 52}"
        plan = declarations.AddressPlan("127.1.0.0", self.base)
        self.configuration = importlib.import_module(shape).build(plan, "initial")
        self.domains = [domain.name for domain in self.configuration.failure_domains]
        self.hosts = {f"{domain}-{number}": f"127.0.{index}.{number}"
                      for index, domain in enumerate(self.domains, 1)
                      for number in range(1, hosts_per_domain + 1)}
        self.snapshots = {
            service.name: declarations.snapshots_document(
                [declarations.even_snapshot(service, 1)])
            for service in self.configuration.services}
        self.options = {"seed": seed, "defaults": {"serviceTimeMs": SERVICE_TIME_MS},
                        "snapshots": self.snapshots, "services": {
                            service.name: {"connectionCostMs": LOOKUP_CONNECTION_COST_MS
                                           if service.route == "allGroups"
                                           else LEDGER_CONNECTION_COST_MS}
                            for service in self.configuration.services}}
        self.options["defaults"].update(options or {})
        self.processes = {}

    def caller_endpoint(self, host):
        return f"{self.hosts[host]}:{self.base + 80}"

    def caller_endpoints(self):
        return [self.caller_endpoint(host) for host in self.hosts]

    # Processes

    def start_process(self, name, *arguments):
        log = open(self.folder / f"{name}.log", "ab")
        command = [str(argument) for argument in arguments]
        self.processes[name] = subprocess.Popen(command, stdout=log, stderr=log, cwd=self.folder)
        log.close()

    def start_stand_ins(self):
        self.write("configuration.json", self.configuration.document())
        self.write("snapshots.json", self.snapshots)
        listed = [*self.hosts, *(server.name for service in self.configuration.services
                                 for server in service.servers())]
        self.write("hosts.json",
                   {"hosts": [{"name": name, "state": "live"} for name in listed]})
        self.write("options.json", self.options)
        standins = ROOT / "build" / "standins"
        self.start_process("platform", standins / "platform-standin", "--listen", self.platform,
                           "--control", self.platform_control,
                           "--hosts", self.folder / "hosts.json")
        self.start_process("backends", standins / "backend-standin",
                           "--configuration", self.folder / "configuration.json",
                           "--options", self.folder / "options.json",
                           "--control", self.backend_control)
        self.wait_until(lambda: self.answers(self.platform_control, "/control/report")
                        and self.answers(self.backend_control, "/control/report"), "stand-ins")

    def start_hosts(self):
        for host in self.hosts:
            self.start_host(host)

    def start_host(self, host):
        if self.arm == "direct":
            self.start_process(host, ROOT / "build" / "bench" / "direct",
                               "--configuration", self.folder / "configuration.json",
                               "--snapshots", self.folder / "snapshots.json",
                               "--listen", self.caller_endpoint(host),
                               "--hosts", len(self.hosts), "--seed", len(self.processes))
            return
        domain = host.rsplit("-", 1)[0]
        seeds = [f"{address}:{self.base + 40}" for name, address in self.hosts.items()
                 if name != host and (name.endswith("-1") or name.startswith(domain))]
        settings = {"host": host, "failureDomain": domain,
                    "callerEndpoint": self.caller_endpoint(host),
                    "peerEndpoint": f"{self.hosts[host]}:{self.base + 40}",
                    "platform": [self.platform], "seeds": seeds, "httpThreads": 2,
                    "maxBodyBytes": 65536, "stopTimeoutMs": 10000, "logLevel": "info",
                    "traceFile": ""}
        path = self.write(f"{host}.json", settings)
        self.start_process(host, ROOT / "build" / "greengagestair", "serve", "--settings", path)

    def stop_process(self, name, how=signal.SIGTERM):
        """Ends one process by its id; returns its exit code."""
        self.processes[name].send_signal(how)
        return self.await_end(name)

    def await_end(self, name):
        process = self.processes.pop(name)
        try:
            return process.wait(STOP_TIMEOUT)
        except subprocess.TimeoutExpired:
            process.kill()
            process.wait()
            return "killed after the stop time-out"

    def stop(self):
        """Stops the hosts, then the stand-ins, all gracefully; returns the exit codes."""
        hosts = [name for name in self.processes if name in self.hosts]
        for name in hosts:
            self.processes[name].send_signal(signal.SIGTERM)
        codes = {name: self.await_end(name) for name in hosts}
        return codes | {name: self.stop_process(name) for name in list(self.processes)}

    # Documents and control

    def write(self, name, document):
        path = self.folder / name
        staged = path.with_suffix(".new")
        staged.write_text(json.dumps(document, indent=1))
        staged.rename(path)
        return path

    def apply_configuration(self, configuration):
        """Puts a configuration in force, as an operator does."""
        self.configuration = configuration
        path = self.write("configuration.json", configuration.document())
        if self.arm == "full":
            subprocess.run([ROOT / "build" / "greengagestair", "config", "apply", path,
                            "--platform", self.platform], check=True, stdout=subprocess.DEVNULL)

    def write_snapshots(self):
        for service, document in self.snapshots.items():
            subprocess.run(["curl", "-sSf", "-o", "/dev/null", "-X", "PUT",
                            "-H", "If-Revision: 0", "--data-binary", json.dumps(document),
                            f"http://{self.platform}/kv/snapshots/{service}"], check=True)

    def command(self, name, **fields):
        """A control command of the backend stand-in, e.g. command("kill", group="g0")."""
        status, _, text = call(self.backend_control, "POST", f"/control/{name}",
                               json.dumps(fields))
        if status != 200 or int(text) == 0:
            raise RuntimeError(f"command {name} {fields}: {status} {text}")

    def platform_command(self, name, **fields):
        status, _, text = call(self.platform_control, "POST", f"/control/{name}",
                               json.dumps(fields))
        if status != 204:
            raise RuntimeError(f"platform command {name} {fields}: {status} {text}")

    def configuration_version(self, host):
        """Version of the configuration that a host holds; 0 if it has none."""
        state = json.loads(call(self.caller_endpoint(host), "GET", "/state")[2])
        versions = [document["version"] for document in state["documents"]["documents"]
                    if document["key"] == "configuration"]
        return versions[0] if versions else 0

    def report(self):
        return json.loads(call(self.backend_control, "GET", "/control/report")[2])

    # Readiness

    def answers(self, endpoint, path):
        try:
            return call(endpoint, "GET", path, timeout=2.0)[0] == 200
        except OSError:
            return False

    def wait_until(self, condition, what, timeout=READY_TIMEOUT):
        end = time.monotonic() + timeout
        while not condition():
            for name, process in self.processes.items():
                if process.poll() is not None:
                    log = (self.folder / f"{name}.log").read_text(errors="replace")
                    raise RuntimeError(f"{name} ended with {process.returncode}: {log[-2000:]}")
            if time.monotonic() > end:
                raise RuntimeError(f"not ready after {timeout} s: {what}")
            time.sleep(0.05)

    def wait_ready(self):
        for host in self.hosts:
            endpoint = self.caller_endpoint(host)
            self.wait_until(lambda: self.answers(endpoint, "/healthz"), host)

    def wait_settled(self, service):
        """Waits until every host completes a lookup: the cells have agreed on all owners."""
        def completes(endpoint):
            text = call(endpoint, "POST", f"/v1/services/{service}/lookup", '{"key": "settle"}')[2]
            return json.loads(text)["outcome"] == "complete"

        for endpoint in self.caller_endpoints():
            self.wait_until(lambda: completes(endpoint), f"complete answers of {endpoint}",
                            SETTLE_TIMEOUT)

    def start(self):
        self.start_stand_ins()
        self.start_hosts()
        self.apply_configuration(self.configuration)
        if self.arm == "full":
            self.write_snapshots()
        self.wait_ready()
