"""Tests of contract changes: feasible guarantees, dry runs and versions."""

import unittest

from ibiscart_core.ledger import Ledger
from ibiscart_core.policies.adaptive import AdaptivePolicy
from ibiscart_core.scheduler import Scheduler
from ibiscart_schema.generated.peer_pb2 import Command
from ibiscart_schema.generated.types_pb2 import SCOPE_RACK

MEMBER = {"accelerators": 8, "cpu_millis": 1000, "memory_mb": 1024}
CAPACITY = {"accelerators": 8, "cpu_millis": 64_000, "memory_mb": 65_536}


class ContractTest(unittest.TestCase):
    def setUp(self):
        self.ledger = Ledger("alba")
        self.scheduler = Scheduler(self.ledger, AdaptivePolicy())
        workers = [
            {"id": f"w{n}", "data_centre": "perth", "rack": f"r{n // 2}", "capacity": CAPACITY}
            for n in range(4)
        ]
        self.decide(register_workers={"workers": workers})

    def decide(self, **command):
        _, replies = self.scheduler.decide([Command(**command)], 0)
        return replies[0]

    def put_contract(self, account, count, expected=0, dry_run=False):
        shape = {"members": 2, "member": MEMBER, "scope": SCOPE_RACK}
        contract = {
            "account": account,
            "guarantees": [{"name": "gang", "shape": shape, "count": count}],
        }
        change = {"contract": contract, "expected_version": expected, "dry_run": dry_run}
        return self.decide(put_contract=change)

    def test_unpackable_guarantees_are_refused_with_their_names(self):
        """Guarantees that need more racks than exist could not be met (P1)."""
        self.assertEqual(self.put_contract("a", 1).error.code, "")
        for dry_run in (True, False):
            error = self.put_contract("b", 2, dry_run=dry_run).error
            self.assertEqual(error.code, "contract_unpackable")
            self.assertTrue(all(name.startswith("b/gang/") for name in error.details))
        self.assertNotIn("b", self.ledger.accounts)
        self.assertEqual(self.put_contract("b", 1).error.code, "")

    def test_a_dry_run_changes_nothing(self):
        """An operator who checks the effect of a change must not apply it."""
        self.assertEqual(self.put_contract("a", 1, dry_run=True).contract.version, 1)
        self.assertNotIn("a", self.ledger.accounts)

    def test_versions_continue_after_a_contract_is_removed(self):
        """The version of a removed contract must not match the contract that follows it (P8)."""
        self.put_contract("a", 1)
        self.decide(remove_contract={"account": "a", "expected_version": 1})
        self.assertEqual(self.put_contract("a", 1).error.code, "version_conflict")
        self.assertEqual(self.put_contract("a", 1, expected=1).contract.version, 2)


if __name__ == "__main__":
    unittest.main()
