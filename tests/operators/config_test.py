"""Tests of the operators' library."""

import json
import pathlib
import subprocess
import sys
import unittest

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "operators"))

from greengagestair_config import (AddressPlan, BackendServer, Configuration,  # noqa: E402
                                   DeclarationError, FailureDomain, Group, Operation, Service,
                                   Snapshot, even_snapshot, spread_group)

EXAMPLES = ROOT / "operators" / "examples"


def printed(example, *arguments):
    return subprocess.run([sys.executable, EXAMPLES / example, *arguments], check=True, text=True,
                          stdout=subprocess.PIPE).stdout


def service(**changes):
    server = BackendServer("s1", "127.1.0.1", 7000, "shubra")
    fields = {"name": "lookup", "operations": [Operation("read")],
              "groups": [Group("g0", [server])]} | changes
    return Service(**fields)


class ConfigurationTest(unittest.TestCase):

    def test_shapes(self):
        """Guards against examples that drift from the installations they describe."""
        expected = {
            "cairo.py": {"counter-lookup": (10, 30, 2, 25), "cut-lists": (15, 45, 2, 25),
                         "order-ledger": (1, 10, 3, 100), "supplier-ledger": (1, 4, 3, 100)},
            "lagos.py": {"slot-search": (10, 30, 3, 30), "fitter-roster": (15, 45, 3, 30),
                         "customer-profiles": (1, 20, 3, 40), "franchise-ledger": (1, 10, 3, 40)}}
        for example, shapes in expected.items():
            document = json.loads(printed(example))
            found = {entry["name"]: (len(entry["groups"]),
                                     sum(len(group["servers"]) for group in entry["groups"]),
                                     entry["slots"], entry["connectionLimit"])
                     for entry in document["services"]}
            self.assertEqual(found, shapes)
            for entry in document["services"]:
                if entry["route"] == "allGroups":
                    for group in entry["groups"]:
                        domains = {server["failureDomain"] for server in group["servers"]}
                        self.assertEqual(len(domains), 3, group["name"])

    def test_printing_is_deterministic(self):
        """Guards against differences that `config diff` would show without a change."""
        self.assertEqual(printed("cairo.py", "--port", "7040"),
                         printed("cairo.py", "--port", "7040"))

    def test_out_of_service(self):
        """Guards against an option that takes the wrong failure domain out."""
        document = json.loads(printed("cairo.py", "--out-of-service", "bulaq"))
        out = [domain["name"] for domain in document["failureDomains"] if not domain["inService"]]
        self.assertEqual(out, ["bulaq"])

    def test_refused_declarations(self):
        """Guards against declarations that the entry hosts would refuse or misread."""
        server = BackendServer("s1", "127.1.0.1", 7000, "shubra")
        twice = Group("g1", [BackendServer("s2", "127.1.0.1", 7000, "shubra")])
        domain = FailureDomain("shubra")
        refused = [
            lambda: BackendServer("s1", "localhost", 7000, "shubra"),
            lambda: BackendServer("s1", "127.1.0.1", 0, "shubra"),
            lambda: FailureDomain("a b"),
            lambda: Group("g0", []),
            lambda: service(slots=2, cold_limit=3),
            lambda: service(route="anyGroup"),
            lambda: service(operations=[Operation("read"), Operation("read")]),
            lambda: service(operations=[Operation("order", repeatable=False)]),
            lambda: service(default_deadline_ms=3000),
            lambda: service(slots=25, connection_limit=25),
            lambda: Configuration("c", [domain, domain], [service()]),
            lambda: Configuration("c", [FailureDomain("bulaq")], [service()]),
            lambda: Configuration("c", [domain], [service(groups=[Group("g0", [server]), twice])]),
            lambda: Configuration("", [domain], [service()]),
        ]
        for number, build in enumerate(refused):
            with self.subTest(number), self.assertRaises(DeclarationError):
                build()

    def test_snapshots_cover_every_key_once(self):
        """Guards against key ranges with gaps, which no answer could cover."""
        for count in (1, 7, 15):
            groups = [Group(f"g{number}", [BackendServer(f"s{number}", "127.1.0.1", 7000, "d")])
                      for number in range(count)]
            ranges = even_snapshot(service(groups=groups), 1).ranges
            self.assertEqual([group for _, _, group in ranges], [group.name for group in groups])
        for ranges in ([("", "g", "g0")], [("", "g", "g0"), ("h", "", "g1")],
                       [("a", "", "g0")], []):
            with self.assertRaises(DeclarationError):
                Snapshot(1, ranges)

    def test_spread_group_addresses(self):
        """Guards against backend servers of different failure domains that share an address."""
        (group,) = spread_group("ledger", 2, 4, ("a", "b", "c"), AddressPlan())
        self.assertEqual([server.address for server in group.servers],
                         ["127.1.2.1", "127.2.2.1", "127.3.2.1", "127.1.2.2"])


if __name__ == "__main__":
    unittest.main()
