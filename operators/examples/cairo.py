#!/usr/bin/env python3
"""Declarations of the Cairo installation."""

import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from greengagestair_config import (Configuration, FailureDomain, Operation, Service, main,
                                   replicated_groups, spread_group)

DOMAINS = ("shubra", "bulaq", "helwan")


def build(plan, change_id):
    lookups = [("counter-lookup", 10, True), ("cut-lists", 15, False)]
    ledgers = [("order-ledger", 10, "order"), ("supplier-ledger", 4, "delivery")]
    services = [
        Service(name, (Operation("lookup", urgent=urgent), Operation("report")),
                replicated_groups(name, index, count, DOMAINS, plan), slots=2,
                connection_limit=25)
        for index, (name, count, urgent) in enumerate(lookups)
    ] + [
        Service(name, (Operation("read"), Operation(operation, repeatable=False)),
                spread_group(name, index, count, DOMAINS, plan), route="oneGroup", slots=3,
                connection_limit=100)
        for index, (name, count, operation) in enumerate(ledgers, len(lookups))
    ]
    return Configuration(change_id, [FailureDomain(name) for name in DOMAINS], services)


if __name__ == "__main__":
    main(build)
