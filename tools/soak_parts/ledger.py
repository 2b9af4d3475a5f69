"""What callers and backend servers saw, and the promises that it is checked against."""

import bisect
import time
from collections import defaultdict

from .backends import RECORD_BYTES

TOUCH = 4.0             # seconds without a fault after which a gateway's bounds hold
DRAIN_BOUND = 3.0       # seconds from the store's acknowledgement of a draining server
EVACUATE_BOUND = 5.0
ABANDON_BOUND = 0.5     # seconds after a caller left
MAX_LATE_ARRIVALS = 3   # requests that may reach servers later than that
BUDGET_WINDOW = 10.0
BUDGET_RATIO = 0.2
BUDGET_SLACK = 60
LIMIT_WINDOW = 4.0
LIMIT_SHARE = 1.5
LIMIT_SLACK = 5
KNOWN_AFTER = 0.5       # seconds after which a gateway follows what a server has told it
MAX_IN_PAUSE = 2        # requests that may reach a server within a pause
RECOVERED_SHARE = 0.95
LEAST_COVERAGE = 0.75
TOP_RECORDS = 5


class Request:
    def __init__(self, identifier, gateway, method, path, body, service):
        self.identifier = identifier
        self.gateway = gateway
        self.method, self.path, self.body = method, path, body
        self.service = service   # None for a lookup
        self.is_order = service is not None
        self.sent = time.monotonic()
        self.left = None
        self.status = None
        self.arrivals = []
        self.runs = []
        self.tenant = self.key = None


class Ledger:
    def __init__(self, shard_sets):
        self.shard_sets = shard_sets  # of every configuration so far
        self.requests = {}
        self.parts = {}               # by signature
        self.violations = []
        self.arrivals = defaultdict(list)   # (time, request) by service
        self.evacuated = {}                 # failure domain: since, until
        self.late_arrivals = 0
        self.touched = defaultdict(float)   # gateway: time until which it is disturbed
        self.told_at = {}                   # (server, gateway, statement): first time
        self.pauses = {}                    # (server, gateway): begin, end, arrivals within
        self.limited = defaultdict(list)    # server: arrivals that its limit counts
        self.tenants = None                 # set in runs with tenants

    def violation(self, text):
        self.violations.append(f"{time.monotonic():.3f} {text}")

    # Faults

    def touch(self, gateways, until=None):
        now = time.monotonic()
        for gateway in gateways:
            self.touched[gateway] = max(self.touched[gateway], until or now)

    def in_touch(self, gateway, since=None):
        """Whether the gateway was undisturbed for some seconds, and from `since` on."""
        now = time.monotonic()
        return self.touched[gateway] + TOUCH <= (since if since is not None else now)

    # What servers say of themselves

    def told(self, identifier, server, statement):
        """A server tells its needs to the gateway of this request."""
        request = self.requests.get(identifier)
        if request is None or server.proxy.is_harmed():
            return
        now = time.monotonic()
        key = (server.identifier, request.gateway)
        if statement == "pause":
            begin, end, count = self.pauses.get(key, (now, 0.0, 0))
            if now >= end:
                begin, count = now, 0
            self.pauses[key] = (begin, max(end, now + server.pause), count)
            return
        first = self.told_at.get((*key, statement), 0.0)
        if first <= self.touched[request.gateway]:
            self.told_at[(*key, statement)] = now

    def knows(self, server, gateway, statement):
        """Since when the undisturbed gateway follows a statement; None if it need not."""
        first = self.told_at.get((server.identifier, gateway, statement))
        if first is None or not self.in_touch(gateway, first + TOUCH):
            return None
        return first + KNOWN_AFTER

    def check_needs(self, request, server, now):
        key = (server.identifier, request.gateway)
        known = self.knows(server, request.gateway, "leaving")
        if known and request.sent > known + DRAIN_BOUND:
            self.violation(f"DRAIN {request.identifier} reached {server.identifier} "
                           f"{now - known:.2f} s after it had said that it leaves")
        begin, end, count = self.pauses.get(key, (0.0, 0.0, 0))
        if begin + KNOWN_AFTER <= now < end and self.in_touch(request.gateway, begin + TOUCH):
            self.pauses[key] = (begin, end, count + 1)
            if count + 1 > MAX_IN_PAUSE:
                self.violation(f"PAUSE {request.identifier} reached {server.identifier} "
                               f"{end - now:.2f} s before the end of its pause")
        known = self.knows(server, request.gateway, "limit")
        if (server.limit is None or not server.limit_since or not known or now < known
                or now < server.limit_since + TOUCH):
            return
        arrivals = self.limited[server.identifier]
        arrivals.append(now)
        while arrivals[0] < max(now - LIMIT_WINDOW, server.limit_since):
            arrivals.pop(0)
        allowed = LIMIT_SHARE * LIMIT_WINDOW * server.limit + LIMIT_SLACK
        if len(arrivals) > allowed:
            self.violation(f"LIMIT {server.identifier} with a limit of {server.limit:.1f} got "
                           f"{len(arrivals)} requests in {LIMIT_WINDOW} s")
            arrivals.clear()

    # Backend servers

    def arrived(self, identifier, server, method, path, headers, body):
        now = time.monotonic()
        request = self.requests.get(identifier)
        if request is None:
            self.violation(f"UNASKED {identifier!r} reached {server.identifier}")
            return
        if (method, path, body) != (request.method, request.path, request.body):
            self.violation(f"UNASKED {identifier} reached {server.identifier} changed")
        if self.tenants:
            self.tenants.check_arrival(request, headers)
        request.arrivals.append((now, server.service, server.identifier))
        self.arrivals[server.service].append((now, identifier))
        if request.service is not None and server.service != request.service:
            self.violation(f"ROUTE order {identifier} reached {server.service}")
        # Bytes that a harmed link holds up arrive late through no fault of the gateway.
        is_held_up = server.proxy.is_harmed() or now < server.proxy.harmed_at + TOUCH
        if is_held_up:
            return
        self.check_needs(request, server, now)
        if (request.left is not None and now > request.left + ABANDON_BOUND
                and self.in_touch(request.gateway)):
            self.late_arrivals += 1
        for since in (server.draining_since, server.gone_since):
            if since and now > since + DRAIN_BOUND and self.in_touch(request.gateway, since):
                self.violation(f"DRAIN {identifier} reached {server.identifier} "
                               f"{now - since:.2f} s after it began to leave")
        since, until = self.evacuated.get(server.domain, (None, None))
        if (since and until is None and now > since + EVACUATE_BOUND
                and self.in_touch(request.gateway, since)):
            self.violation(f"EVAC {identifier} reached {server.identifier} in {server.domain} "
                           f"{now - since:.2f} s after it was taken out")

    def ran(self, identifier, server):
        request = self.requests.get(identifier)
        if request is None:
            return
        request.runs.append(server.identifier)
        if self.tenants:
            self.tenants.check_run(request)
        if request.is_order and len(request.runs) > 1:
            self.violation(f"TWICE order {identifier} ran on {request.runs}")
        if request.status in (429, 503):
            self.violation(f"REFUSED {identifier} ran after it was refused as not run")

    def answered(self, signature, identifier, server, status, body):
        self.parts[signature] = (identifier, server.service, status, body)

    # Callers

    def received(self, request, status, headers, body):
        request.status = status
        if self.tenants:
            self.tenants.check_reply(request, status)
        if status in (429, 503) and request.runs:
            self.violation(f"REFUSED {request.identifier} is said not to have run")
        if status in (429, 503) and "retry-after" not in headers:
            self.violation(f"REFUSED {request.identifier} lacks the time to come back")
        if status != 200:
            signature = headers.get("x-backend-signature")
            if signature and self.parts.get(signature, (0, 0, 0))[2] != status:
                self.violation(f"MIXED {request.identifier} has another status than its server")
            return
        if request.service is None:
            self.check_merged(request, headers, body)
            return
        part = self.parts.get(headers.get("x-backend-signature", ""))
        if part is None or part[0] != request.identifier or part[2:] != (200, body):
            self.violation(f"MIXED order {request.identifier} got another answer")

    def check_merged(self, request, headers, body):
        signatures = [text.strip() for text in headers.get("x-shard-stamps", "").split(",")]
        parts = [self.parts.get(signature) for signature in signatures]
        if any(part is None or part[0] != request.identifier or part[2] != 200 for part in parts):
            self.violation(f"MIXED {request.identifier} names a part that is none of its own")
            return
        services = [part[1] for part in parts]
        missing = int(headers.get("x-missing-shards", "0"))
        fits = [shards for shards in self.shard_sets
                if set(services) <= set(shards) and len(services) + missing == len(shards)]
        if len(set(services)) != len(services) or not fits:
            self.violation(f"MIXED {request.identifier} is not of one snapshot: {services} "
                           f"and {missing} missing")
            return
        if len(services) / (len(services) + missing) < LEAST_COVERAGE - 1e-9:
            self.violation(f"MIXED {request.identifier} covers too little")
        records = sorted((part[3][at:at + RECORD_BYTES] for part in parts
                          for at in range(0, len(part[3]) - RECORD_BYTES + 1, RECORD_BYTES)),
                         reverse=True)
        if body != b"".join(records[:TOP_RECORDS]):
            self.violation(f"MIXED {request.identifier} lacks its greatest records")

    # At the end

    def check_budget(self):
        for service, arrivals in self.arrivals.items():
            first, extra = {}, []
            for at, identifier in sorted(arrivals):
                if identifier in first:
                    extra.append(at)
                else:
                    first[identifier] = at
            sent = sorted(self.requests[identifier].sent for identifier in first)

            def count(times, begin):
                return (bisect.bisect_left(times, begin + BUDGET_WINDOW)
                        - bisect.bisect_left(times, begin))

            for begin in extra:
                requests = max(count(sent, begin - back)
                               for back in (0, BUDGET_WINDOW / 2, BUDGET_WINDOW))
                allowed = BUDGET_RATIO * requests + BUDGET_SLACK
                if count(extra, begin) > allowed:
                    self.violation(f"BUDGET {service} got {count(extra, begin)} repeats in "
                                   f"{BUDGET_WINDOW} s, allowed are {allowed:.0f}")
                    break

    def check_end(self, recovery_since):
        self.check_budget()
        if self.tenants:
            self.tenants.check_end()
        if self.late_arrivals > MAX_LATE_ARRIVALS:
            self.violation(f"GONE {self.late_arrivals} requests reached servers after their "
                           "callers had left")
        late = [request for request in self.requests.values()
                if request.sent >= recovery_since and request.left is None
                and request.tenant != "limited" and not (request.key and request.key.removed)]
        served = sum(request.status == 200 for request in late)
        if not late or served < RECOVERED_SHARE * len(late):
            self.violation(f"RECOVER {served} of {len(late)} requests served after the faults")
