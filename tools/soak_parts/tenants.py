"""Tenants of the soak: their keys, which change, and their quotas."""

import bisect
import time
from collections import defaultdict

WINDOW = 5.0         # seconds in which a quota holds
OVERAGE = 0.1
SLACK = 20
CONFIG_BOUND = 5.0   # seconds until a key that was added or removed counts
RATE = 6.0           # requests a second of the limited tenant, which asks for more
BURST = 6.0
NAMES = ["steady", "rotating", "limited"]


class Key:
    def __init__(self, text):
        self.text = text
        self.added = time.monotonic()
        self.removed = None


class Tenants:
    """The tenants of one run, and the promises that concern them."""

    def __init__(self, rng, ledger):
        self.rng = rng
        self.ledger = ledger
        self.keys = {name: [self.new_key(name)] for name in NAMES}
        self.runs = defaultdict(list)   # times of the first runs by tenant
        self.seen = set()               # requests with a run

    def new_key(self, name):
        return Key(f"{name}-{self.rng.getrandbits(64):016x}")

    def entries(self):
        """The tenants as the configuration names them."""
        return [{"name": name, "priority": rank, "rate_per_s": RATE if name == "limited" else 0,
                 "burst": BURST if name == "limited" else 0,
                 "api_keys": [key.text for key in self.keys[name] if key.removed is None]}
                for rank, name in enumerate(NAMES)]

    def change(self):
        """Adds a key to one tenant, or removes its former one."""
        keys = [key for key in self.keys["rotating"] if key.removed is None]
        if len(keys) > 1:
            keys[0].removed = time.monotonic()
        else:
            self.keys["rotating"].append(self.new_key("rotating"))

    def key_for(self, name):
        """A key that every gateway in touch knows; now and then one that was taken away."""
        now = time.monotonic()
        keys = self.keys[name]
        known = [key for key in keys if key.removed is None and now > key.added + CONFIG_BOUND]
        former = [key for key in keys if key.removed is not None]
        if former and self.rng.random() < 0.05:
            return self.rng.choice(former)
        return (known or keys)[-1]

    def check_arrival(self, request, headers):
        tenant = headers.get("x-tenant")
        if "authorization" in headers or tenant != request.tenant:
            self.ledger.violation(f"UNASKED {request.identifier} of {request.tenant} reached a "
                                  f"server as {tenant!r}")

    def check_run(self, request):
        if request.identifier not in self.seen:
            self.seen.add(request.identifier)
            self.runs[request.tenant].append(time.monotonic())
        removed = request.key.removed
        if (removed and request.sent > removed + CONFIG_BOUND
                and self.ledger.in_touch(request.gateway, removed)):
            self.ledger.violation(f"ROUTE {request.identifier} ran with a key that was taken "
                                  f"away {request.sent - removed:.2f} s before")

    def check_reply(self, request, status):
        key = request.key
        known = request.sent > key.added + CONFIG_BOUND and key.removed is None
        if status == 401 and known and self.ledger.in_touch(request.gateway, key.added):
            self.ledger.violation(f"DENIED {request.identifier} with a valid key")
        if status == 429 and request.tenant != "limited":
            self.ledger.violation(f"DENIED {request.identifier}: {request.tenant} has no quota")

    def check_end(self):
        times = sorted(self.runs["limited"])
        allowed = (RATE * WINDOW + BURST) * (1 + OVERAGE) + SLACK
        for index, begin in enumerate(times):
            count = bisect.bisect_left(times, begin + WINDOW) - index
            if count > allowed:
                self.ledger.violation(f"QUOTA {count} requests ran in {WINDOW} s, allowed are "
                                      f"{allowed:.0f}")
                break
