"""Guards explanations of queued jobs against missing or wrong reasons."""

import unittest

from ibiscart_schema.generated.journal_pb2 import MEMBER_FAILED
from tests.core.invariant import violations
from tests.core.world import World, ended, put_contract, register, shape, submit


class ExplanationTest(unittest.TestCase):
    def setUp(self):
        self.world = World()
        self.world.send(register(2, 2))

    def explain(self, account, request_id):
        # an entry explains jobs on the committed ledger, not on the one that the policy watches
        ledger = self.world.committed
        job = ledger.jobs[self.world.job(account, request_id).key]
        return "\n".join(self.world.policy.explain(ledger, job, self.world.now_us))

    def test_states_the_figures_of_an_exceeded_burst_limit(self):
        """Without the figures, a job that waits for its account's limit seems to lack capacity."""
        self.world.send(put_contract("leith", 0, accelerators=8))
        self.world.send(submit("leith", "a", shape(1, 6)), submit("leith", "b", shape(1, 4)))
        text = self.explain("leith", "b")
        self.assertIn("leith holds 6 accelerators and 4 more exceed burst_accelerators=8", text)
        self.assertIn("no guarantee of leith covers", text)

    def test_fragmentation_does_not_look_like_a_full_region(self):
        """Without the largest free set, fragmentation cannot be told from a full region."""
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

    def test_names_the_gang_whose_reservation_blocks_a_job(self):
        """Without gang and start time, a job beside reserved idle workers seems to be forgotten."""
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

    def test_distinguishes_claimed_guarantees_and_backoff(self):
        """A guaranteed job waits while another job claims its guarantee, or during its backoff.

        The explanation must not report either wait as a lack of capacity.
        """
        self.world.send(put_contract("perth", 0, [("a", shape(1, 8), 1)], accelerators=0))
        self.world.send(submit("perth", "x", shape(1, 8)), submit("perth", "y", shape(1, 8)))
        self.assertIn(
            "1 of 1 guarantees that cover it are claimed: perth/a/0 by perth/x",
            self.explain("perth", "y"),
        )
        self.world.start_and_stop()
        self.world.send(ended(self.world.job("perth", "x"), 0, MEMBER_FAILED))
        self.assertRegex(self.explain("perth", "x"), r"backoff: not placed for 1 s more \(member_f")

    def test_explains_free_capacity_that_a_non_repeatable_job_may_not_use(self):
        """A non-repeatable job can wait beside free workers whose capacity a guarantee needs."""
        self.world.send(put_contract("leith", 0))
        self.world.send(*[submit("leith", f"f{n}", shape(1, 8)) for n in range(4)])
        self.world.send(submit("leith", "once", shape(1, 1), repeatable=False))
        # the job would be refused if it were submitted after this contract
        self.world.send(put_contract("perth", 0, [("a", shape(1, 8), 4)]))
        text = self.explain("leith", "once")
        self.assertIn("no domain can ever hold it beside the present guarantees", text)
        self.assertIn("may run only once", text)
        self.assertIn("has room for 0 members and 0 free accelerators", text)

    def test_an_explanation_consumes_no_changes_of_the_policy(self):
        """An index that watched the ledger for an explanation would take the policy's changes.

        The policy would then schedule with outdated capacity.
        """
        self.world.send(put_contract("leith", 0))
        self.world.send(submit("leith", "a", shape(1, 8)))
        job = self.world.job("leith", "a")
        self.world.policy.explain(self.world.working, job, self.world.now_us)
        self.world.send(*[submit("leith", f"b{n}", shape(1, 8)) for n in range(3)])
        self.assertEqual(len(self.world.events_of("job_placed")), 3)
        self.assertEqual(violations(self.world.working, self.world.now_us), [])

    def test_a_placed_job_is_not_explained_as_queued(self):
        """A job can be placed before a request for its explanation arrives."""
        self.world.send(put_contract("leith", 0))
        self.world.send(submit("leith", "a", shape(1, 1)))
        self.assertIn("is not queued: it is placed", self.explain("leith", "a"))


if __name__ == "__main__":
    unittest.main()
