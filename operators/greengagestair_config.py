"""Operators' library: declares services, failure domains, groups and backend servers, checks them
as they are built, and prints the documents of docs/design.md section 12.

All times are in milliseconds. Each check that fails raises DeclarationError.
"""

import argparse
import ipaddress
import json
from dataclasses import dataclass, field, replace


class DeclarationError(ValueError):
    """A declaration that no entry host would accept."""


def _require(condition, message):
    if not condition:
        raise DeclarationError(message)


def _require_unique(names, what):
    names = list(names)
    repeated = sorted({name for name in names if names.count(name) > 1})
    _require(not repeated, f"{what} declared twice: {', '.join(repeated)}")


def _require_name(name, what):
    _require(isinstance(name, str) and 0 < len(name) <= 128, f"{what}: empty or long name")
    allowed = set("abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.")
    _require(set(name) <= allowed, f"{what} {name!r}: only letters, digits, '-', '_' and '.'")


@dataclass(frozen=True)
class FailureDomain:
    name: str
    in_service: bool = True

    def __post_init__(self):
        _require_name(self.name, "failure domain")

    def document(self):
        return {"name": self.name, "inService": self.in_service}


@dataclass(frozen=True)
class Operation:
    """A request type: urgent or routine, and whether it may run more than once."""

    name: str
    urgent: bool = False
    repeatable: bool = True

    def __post_init__(self):
        _require_name(self.name, "operation")

    def document(self):
        return {"name": self.name, "urgent": self.urgent, "repeatable": self.repeatable}


@dataclass(frozen=True)
class BackendServer:
    name: str
    address: str
    port: int
    failure_domain: str
    in_service: bool = True

    def __post_init__(self):
        _require_name(self.name, "backend server")
        try:
            ipaddress.ip_address(self.address)
        except ValueError as error:
            raise DeclarationError(f"{self.name}: {error}") from error
        _require(0 < self.port < 65536, f"{self.name}: port {self.port}")

    def document(self):
        return {"name": self.name, "address": self.address, "port": self.port,
                "failureDomain": self.failure_domain, "inService": self.in_service}


@dataclass(frozen=True)
class Group:
    """The replicas that hold the same key ranges."""

    name: str
    servers: tuple

    def __post_init__(self):
        _require_name(self.name, "group")
        object.__setattr__(self, "servers", tuple(self.servers))
        _require(self.servers, f"group {self.name}: no backend server")

    def document(self):
        return {"name": self.name, "servers": [server.document() for server in self.servers]}


@dataclass(frozen=True)
class Service:
    name: str
    operations: tuple
    groups: tuple
    route: str = "allGroups"
    slots: int = 1
    cold_limit: int = 1
    connection_limit: int = 25
    warm_part_time_ms: int = 6
    max_part_time_ms: int = 500
    default_deadline_ms: int = 300
    max_deadline_ms: int = 2000

    def __post_init__(self):
        _require_name(self.name, "service")
        object.__setattr__(self, "operations", tuple(self.operations))
        object.__setattr__(self, "groups", tuple(self.groups))
        where = f"service {self.name}"
        _require(self.route in ("allGroups", "oneGroup"), f"{where}: route {self.route!r}")
        _require(self.operations, f"{where}: no operation")
        _require(self.groups, f"{where}: no group")
        _require_unique((operation.name for operation in self.operations), f"{where}: operation")
        _require_unique((group.name for group in self.groups), f"{where}: group")
        _require(1 <= self.cold_limit <= self.slots,
                 f"{where}: cold limit {self.cold_limit} is not between 1 and {self.slots} slots")
        # One connection more than the slots is used for cancellations.
        _require(self.connection_limit > self.slots,
                 f"{where}: connection limit {self.connection_limit} is not above the slots")
        _require(0 < self.warm_part_time_ms <= self.max_part_time_ms,
                 f"{where}: warm part time is not between 0 and the longest part time")
        _require(0 < self.default_deadline_ms <= self.max_deadline_ms,
                 f"{where}: default deadline is not between 0 and the longest deadline")
        for operation in self.operations:
            _require(operation.repeatable or self.route == "oneGroup",
                     f"{where}: operation {operation.name} may not be repeated and needs oneGroup")

    def servers(self):
        return [server for group in self.groups for server in group.servers]

    def document(self):
        return {"name": self.name, "route": self.route, "slots": self.slots,
                "coldLimit": self.cold_limit, "connectionLimit": self.connection_limit,
                "warmPartTimeMs": self.warm_part_time_ms, "maxPartTimeMs": self.max_part_time_ms,
                "defaultDeadlineMs": self.default_deadline_ms,
                "maxDeadlineMs": self.max_deadline_ms,
                "operations": [operation.document() for operation in self.operations],
                "groups": [group.document() for group in self.groups]}


@dataclass(frozen=True)
class Configuration:
    """Everything that the operators declare; the content of the document `configuration`."""

    change_id: str
    failure_domains: tuple
    services: tuple

    def __post_init__(self):
        object.__setattr__(self, "failure_domains", tuple(self.failure_domains))
        object.__setattr__(self, "services", tuple(self.services))
        _require_name(self.change_id, "change")
        _require(self.failure_domains, "no failure domain")
        _require_unique((domain.name for domain in self.failure_domains), "failure domain")
        _require_unique((service.name for service in self.services), "service")
        servers = [server for service in self.services for server in service.servers()]
        _require_unique((server.name for server in servers), "backend server")
        _require_unique((f"{server.address}:{server.port}" for server in servers), "endpoint")
        known = {domain.name for domain in self.failure_domains}
        for server in servers:
            _require(server.failure_domain in known,
                     f"{server.name}: unknown failure domain {server.failure_domain}")

    def service(self, name):
        return next(service for service in self.services if service.name == name)

    def with_domain(self, name, in_service, change_id):
        """The same declarations with one failure domain in or out of service."""
        _require(name in {domain.name for domain in self.failure_domains},
                 f"unknown failure domain {name}")
        domains = [replace(domain, in_service=in_service) if domain.name == name else domain
                   for domain in self.failure_domains]
        return replace(self, change_id=change_id, failure_domains=tuple(domains))

    def document(self):
        return {"changeId": self.change_id, "recentChangeIds": [],
                "failureDomains": [domain.document() for domain in self.failure_domains],
                "services": [service.document() for service in self.services]}


@dataclass(frozen=True)
class Snapshot:
    """One version of a service's index: (from, to, group) ranges that cover all keys in order."""

    version: int
    ranges: tuple

    def __post_init__(self):
        object.__setattr__(self, "ranges", tuple(tuple(entry) for entry in self.ranges))
        _require(self.version > 0, f"snapshot version {self.version}")
        _require(self.ranges, f"snapshot {self.version}: no key range")
        starts = [start for start, _, _ in self.ranges]
        ends = [end for _, end, _ in self.ranges]
        _require(starts == [""] + ends[:-1] and ends[-1] == "" and starts == sorted(set(starts)),
                 f"snapshot {self.version}: key ranges leave gaps or overlap")

    def document(self):
        return {"version": self.version,
                "ranges": [{"from": start, "to": end, "group": group}
                           for start, end, group in self.ranges]}


def even_snapshot(service, version):
    """Splits keys of small letters evenly over the groups of a service."""
    count = len(service.groups)
    positions = [index * 26 * 26 // count for index in range(count)]
    bounds = [""] + [chr(97 + position // 26) + chr(97 + position % 26)
                     for position in positions[1:]] + [""]
    return Snapshot(version, tuple((bounds[index], bounds[index + 1], group.name)
                                   for index, group in enumerate(service.groups)))


def snapshots_document(snapshots):
    """Content of the document `snapshots/<service>`, newest version first."""
    versions = [snapshot.version for snapshot in snapshots]
    _require_unique(map(str, versions), "snapshot version")
    ordered = sorted(snapshots, key=lambda snapshot: -snapshot.version)
    return {"snapshots": [snapshot.document() for snapshot in ordered]}


@dataclass
class AddressPlan:
    """Gives each backend server its own address: base + failure domain << 16 + service << 8."""

    base_address: str = "127.1.0.0"
    port: int = 7000
    _used: dict = field(default_factory=dict)

    def next_address(self, domain_index, service_index):
        place = (domain_index, service_index)
        self._used[place] = self._used.get(place, 0) + 1
        offset = (domain_index << 16) + (service_index << 8) + self._used[place]
        return str(ipaddress.ip_address(self.base_address) + offset)


def replicated_groups(service, service_index, count, domains, plan):
    """Groups g0, g1, ... with one replica in each failure domain."""
    return tuple(Group(f"g{number}", tuple(
        BackendServer(f"{service}-{number}-{domain}", plan.next_address(index, service_index),
                      plan.port, domain) for index, domain in enumerate(domains)))
        for number in range(count))


def spread_group(service, service_index, count, domains, plan):
    """One group whose backend servers are spread over the failure domains."""
    servers = []
    for number in range(count):
        index = number % len(domains)
        servers.append(BackendServer(f"{service}-{number}-{domains[index]}",
                                     plan.next_address(index, service_index), plan.port,
                                     domains[index]))
    return (Group("g0", tuple(servers)),)


def print_json(document):
    """Prints a document; equal declarations print equal text."""
    print(json.dumps(document, indent=1))


def main(build):
    """Command line of a declaration file; `build(plan, change_id)` gives its Configuration."""
    parser = argparse.ArgumentParser()
    parser.add_argument("document", choices=["configuration", "snapshots"], nargs="?",
                        default="configuration")
    parser.add_argument("service", nargs="?", help="service of the snapshots document")
    parser.add_argument("--change-id", default="initial")
    parser.add_argument("--base-address", default="127.1.0.0")
    parser.add_argument("--port", type=int, default=7000)
    parser.add_argument("--out-of-service", metavar="DOMAIN")
    parser.add_argument("--index-version", type=int, default=1)
    chosen = parser.parse_args()
    configuration = build(AddressPlan(chosen.base_address, chosen.port), chosen.change_id)
    if chosen.out_of_service:
        configuration = configuration.with_domain(chosen.out_of_service, False, chosen.change_id)
    if chosen.document == "configuration":
        print_json(configuration.document())
    else:
        snapshot = even_snapshot(configuration.service(chosen.service), chosen.index_version)
        print_json(snapshots_document([snapshot]))
