"""A new version of the configuration allows longer bodies; kept connections still have the former limit."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "common-2"))

from client import Client  # noqa: E402
from fleet import Gateway, LIMITS, run_case  # noqa: E402
from servers import Backend  # noqa: E402
from store import Store  # noqa: E402

CONFIG_APPLY_S = 3  # config_apply_ms
CLIENTS = 20
LONG_BODY = 100_000
FORMER_BODY_LIMIT = 20_000


def configuration(version, body_limit):
    return {
        "version": version, "limits": dict(LIMITS, max_body_bytes=body_limit),
        "routes": [{"name": "orders", "host": "shop.example", "prefix": "/orders/", "type": "non_idempotent",
                    "timeout_ms": 5000, "target_latency_ms": 1000, "priority": 1, "service": "order-book",
                    "max_attempts": 2}],
        "services": [{"name": "order-book", "max_conns": 110, "health_path": "/healthz"}]}


async def main(record, folder, trouble):
    store = Store()
    await store.start()
    runs = []
    for number in range(3):
        await Backend("i-%d" % number, "order-book", "shubra", runs, slots=20).start(store)
    store.put("op/config", configuration(3, FORMER_BODY_LIMIT if trouble else LIMITS["max_body_bytes"]))
    gateways = [Gateway("edge-shubra-%d" % number, "127.0.0.1", store.address, "shubra", folder)
                for number in (1, 2)]
    loop = asyncio.get_running_loop()
    clients = []
    statuses = {}

    async def order(index, client, body):
        request = "r%d-%d" % (index, len(body))
        sent = loop.time()
        answer = await client.ask("POST", "/orders/%d" % index, {
            "Host": "shop.example", "X-Request-Id": request, "X-Deadline-Ms": "4000"}, body)
        record.add("client %d: %d bytes, sent at %.3f s -> %s"
                   % (index, len(body), sent - record.began, answer.status))
        statuses[(index, len(body))] = answer.status

    try:
        for gateway in gateways:
            gateway.start()
        for gateway in gateways:
            await gateway.wait_until_ready()
        await asyncio.sleep(2)
        clients = [Client(gateways[index % 2]) for index in range(CLIENTS)]
        await asyncio.gather(*(order(index, client, b"x" * 200) for index, client in enumerate(clients)))
        if any(client.writer is None for client in clients):
            raise RuntimeError("a connection was not kept")
        store.put("op/config", configuration(9, LIMITS["max_body_bytes"]))
        record.add("version 9 is acknowledged; max_body_bytes is %d" % LIMITS["max_body_bytes"])
        await asyncio.sleep(CONFIG_APPLY_S + 2)
        await asyncio.gather(*(order(index, client, b"x" * LONG_BODY) for index, client in enumerate(clients)))
        fresh = Client(gateways[0])
        await order(CLIENTS, fresh, b"x" * LONG_BODY)
        clients.append(fresh)
    finally:
        for client in clients:
            client.close()
        for gateway in gateways:
            gateway.end()
    if statuses[(CLIENTS, LONG_BODY)] != 200:
        raise RuntimeError("the new version is not in force on a new connection")
    refused = [index for index in range(CLIENTS) if statuses[(index, LONG_BODY)] == 413]
    allowed = 5 + len(statuses) // 500
    if len(refused) <= allowed:
        return []
    return ["%d of %d requests that version 9 allows were refused with 413, %d s after its acknowledgement; %d may be"
            % (len(refused), CLIENTS, CONFIG_APPLY_S + 2, allowed)]


sys.exit(run_case(main, HERE))
