"""Guards the explanation of waiting jobs against missing or wrong reasons."""

import unittest

from ibiscart_schema.generated.journal_pb2 import MEMBER_FAILED
from tests.core.invariant import violations
from tests.core.world import World, ended, put_contract, register, shape, submit


class ExplanationTest(unittest.TestCase):
    def setUp(self):
        self.world = World()
        self.world.send(register(2, 2))

    def explain(self, account, request_id):
        # entries explain from the committed copy, not from the one that the policy watches
        ledger = self.world.committed
        job = ledger.jobs[self.world.job(account, request_id).key]
        return "\n".join(self.world.policy.explain(ledger, job, self.world.now_us))

    def test_names_the_burst_limit_with_figures(self):
        """A caller that waits for its own limit must not look for free accelerators."""
        self.world.send(put_contract("leith", 0, accelerators=8))
        self.world.send(submit("leith", "a", shape(1, 6)), submit("leith", "b", shape(1, 4)))
        text = self.explain("leith", "b")
        self.assertIn("leith holds 6 accelerators and 4 more exceed burst_accelerators=8", text)
        self.assertIn("no guarantee of leith covers", text)

    def test_names_the_largest_free_set(self):
        """Enough free accelerators that are not adjacent are fragmentation, not a full region."""
        self.world.send(put_contract("leith", 0), put_contract("perth", 0))
        for index in range(2):
            self.world.send(submit("leith", f"f{index}", shape(1, 8)))
        self.world.start_and_stop()
        self.world.finish(self.world.job("leith", "f0"))
        self.world.send(submit("leith", "g", shape(2, 8)), submit("leith", "h", shape(1, 5)))
        self.world.send(submit("perth", "gang", shape(2, 8)))
        text = self.explain("perth", "gang")
        self.assertIn("no rack has 16 free adjacent accelerators", text)
        self.assertIn("dc0/r000, has room for 0 members and 3 free accelerators", text)
        self.assertIn("3 are free in the region", text)
        self.assertIn("workers are held for it; estimated start", text)

    def test_names_the_gang_ahead_and_its_estimated_start(self):
        """A job that leaves free places to a gang must say for which and until when."""
        self.world.send(put_contract("leith", 0), put_contract("perth", 0))
        jobs = [submit("leith", f"f{n}", shape(1, 8), seconds=600) for n in range(2)]
        jobs += [submit("leith", f"o{n}", shape(1, 8), seconds=9000) for n in range(2)]
        self.world.send(*jobs[:2])
        self.world.send(*jobs[2:])
        self.world.start_and_stop()
        self.world.finish(self.world.job("leith", "f1"))
        self.world.send(submit("perth", "gang", shape(2, 8)), seconds=0)
        self.world.send(submit("perth", "late", shape(1, 8), seconds=9000), seconds=0)
        text = self.explain("perth", "late")
        self.assertIn("behind the reserved gang perth/gang", text)
        self.assertRegex(text, r"until an estimated 20\d\d-.*Z \(in 59\d s\); it would run 9000 s")

    def test_names_backoff_and_guarantees(self):
        """A guaranteed job that waits must show whether its guarantee is claimed or unmet."""
        self.world.send(put_contract("perth", 0, [("a", shape(1, 8), 1)], accelerators=0))
        self.world.send(submit("perth", "x", shape(1, 8)), submit("perth", "y", shape(1, 8)))
        self.assertIn(
            "1 of 1 guarantees that cover it are claimed: perth/a/0 by perth/x",
            self.explain("perth", "y"),
        )
        self.world.start_and_stop()
        self.world.send(ended(self.world.job("perth", "x"), 0, MEMBER_FAILED))
        self.assertRegex(self.explain("perth", "x"), r"backoff: not placed for 1 s more \(member_f")

    def test_says_why_work_that_may_run_once_waits(self):
        """Free places that such work may not use must not look like a fault."""
        self.world.send(put_contract("leith", 0))
        self.world.send(*[submit("leith", f"f{n}", shape(1, 8)) for n in range(4)])
        self.world.send(submit("leith", "once", shape(1, 1), repeatable=False))
        # submitted after this contract it would be refused
        self.world.send(put_contract("perth", 0, [("a", shape(1, 8), 4)]))
        text = self.explain("leith", "once")
        self.assertIn("no domain can ever hold it beside the present guarantees", text)
        self.assertIn("may run only once", text)
        self.assertIn("has room for 0 members and 0 free accelerators", text)

    def test_explaining_the_working_copy_disturbs_no_later_pass(self):
        """A view built for an explanation must not take the changes meant for the policy."""
        self.world.send(put_contract("leith", 0))
        self.world.send(submit("leith", "a", shape(1, 8)))
        job = self.world.job("leith", "a")
        self.world.policy.explain(self.world.working, job, self.world.now_us)
        self.world.send(*[submit("leith", f"b{n}", shape(1, 8)) for n in range(3)])
        self.assertEqual(len(self.world.events_of("job_placed")), 3)
        self.assertEqual(violations(self.world.working, self.world.now_us), [])

    def test_a_running_job_is_not_explained_as_queued(self):
        """A stale question about a placed job must get its state."""
        self.world.send(put_contract("leith", 0))
        self.world.send(submit("leith", "a", shape(1, 1)))
        self.assertIn("is not queued: it is placed", self.explain("leith", "a"))


if __name__ == "__main__":
    unittest.main()
