#!/usr/bin/env python3
"""Declarations of the Lagos installation."""

import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from greengagestair_config import (Configuration, FailureDomain, Operation, Service, main,
                                   replicated_groups, spread_group)

DOMAINS = ("ikeja", "lekki", "surulere")


def build(plan, change_id):
    searches = [("slot-search", 10, True), ("fitter-roster", 15, False)]
    ledgers = [("customer-profiles", 20, "update"), ("franchise-ledger", 10, "booking")]
    services = [
        Service(name, (Operation("lookup", urgent=urgent), Operation("report")),
                replicated_groups(name, index, count, DOMAINS, plan), slots=3,
                connection_limit=30)
        for index, (name, count, urgent) in enumerate(searches)
    ] + [
        Service(name, (Operation("read"), Operation(operation, repeatable=False)),
                spread_group(name, index, count, DOMAINS, plan), route="oneGroup", slots=3,
                connection_limit=40)
        for index, (name, count, operation) in enumerate(ledgers, len(searches))
    ]
    return Configuration(change_id, [FailureDomain(name) for name in DOMAINS], services)


if __name__ == "__main__":
    main(build)
