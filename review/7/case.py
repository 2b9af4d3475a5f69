"""The last tenant is removed from the configuration; requests with its key, and with unknown keys, still run."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "common-2"))

from client import Client  # noqa: E402
from fleet import BOUNDS, Gateway, LIMITS, run_case  # noqa: E402
from servers import Backend  # noqa: E402
from store import Store  # noqa: E402

CONFIG_APPLY_S = 5  # config_apply_ms
REQUESTS = 10
RULES = ["base", "drain", "config", "cost", "retry", "recover", "health", "pool", "scatter", "places", "tenants",
         "quota", "platform"]


def configuration(version, tenants):
    return {
        "version": version, "limits": LIMITS, "tenants": tenants,
        "routes": [{"name": "archive", "host": "shop.example", "prefix": "/archive/", "type": "idempotent",
                    "timeout_ms": 5000, "target_latency_ms": 1000, "priority": 1, "service": "archive",
                    "max_attempts": 2, "public": False}],
        "services": [{"name": "archive", "max_conns": 110, "health_path": "/healthz"}]}


def tenant(name, key):
    return {"name": name, "api_keys": [key], "rate_per_s": 100, "burst": 50, "priority": 1}


async def main(record, folder, trouble):
    store = Store()
    await store.start()
    runs = []
    for number in range(3):
        await Backend("i-%d" % number, "archive", "vest-a", runs).start(store)
    store.put("op/config", configuration(3, [tenant("tenant-a", "key-a")]))
    bounds = dict(BOUNDS, quota_window_s=5, quota_overage=0.1, quota_slack=20)
    gateways = [Gateway("edge-vest-a-%d" % number, "127.0.0.1", store.address, "vest-a", folder,
                        {"bounds": bounds, "invariants": RULES}) for number in (1, 2)]
    loop = asyncio.get_running_loop()
    clients = [Client(gateways[index % 2]) for index in range(REQUESTS)]

    async def ask(kind, key):
        """Sends one request a client and returns their statuses."""
        async def one(index, client):
            request = "%s-%d" % (kind, index)
            sent = loop.time()
            answer = await client.ask("GET", "/archive/%d" % index, {
                "Host": "shop.example", "X-Request-Id": request, "X-Deadline-Ms": "4000",
                "Authorization": "Bearer " + key})
            record.add("client: %s with %s, sent at %.3f s -> %s"
                       % (request, key, sent - record.began, answer.status))
            return answer.status
        return await asyncio.gather(*(one(index, client) for index, client in enumerate(clients)))

    try:
        for gateway in gateways:
            gateway.start()
        for gateway in gateways:
            await gateway.wait_until_ready()
        await asyncio.sleep(4)
        before = await ask("before", "key-a")
        before_unknown = await ask("before-unknown", "key-never-held")
        # Without the trouble another tenant remains.
        store.put("op/config", configuration(9, [] if trouble else [tenant("tenant-b", "key-b")]))
        record.add("version 9 is acknowledged, without tenant-a and its key")
        await asyncio.sleep(CONFIG_APPLY_S + 1)
        await ask("removed", "key-a")
        await ask("unknown", "key-never-held")
    finally:
        for client in clients:
            client.close()
        for gateway in gateways:
            gateway.end()
    if set(before) != {200} or set(before_unknown) != {401}:
        raise RuntimeError("tenants are not in force at the begin: %s %s" % (before, before_unknown))
    broken = []
    for run in runs:
        record.add("backend %s runs %s at %.3f s, X-Tenant %s, Authorization %s"
                   % (run.server, run.request, run.time - record.began, run.fields.get("x-tenant"),
                      run.fields.get("authorization")))
    after = [run for run in runs if run.request.startswith(("removed-", "unknown-"))]
    held = [run for run in after if run.request.startswith("removed-")]
    never = [run for run in after if run.request.startswith("unknown-")]
    passed_on = [run for run in after if "authorization" in run.fields]
    if never:
        broken.append("ROUTE: %d of %d requests ran whose key no configuration ever held" % (len(never), REQUESTS))
    if held:
        broken.append("CONFIG: %d of %d requests ran with a key that was dropped %d s before"
                      % (len(held), REQUESTS, CONFIG_APPLY_S + 1))
    if passed_on:
        broken.append("UNASKED: the key itself was passed on to backends with %d requests" % len(passed_on))
    return broken


sys.exit(run_case(main, HERE))
