"""Guards large gangs against waiting for small jobs, and small jobs against preemption."""

import unittest

from ibiscart_schema.generated.journal_pb2 import (
    JOB_STATE_PLACED,
    JOB_STATE_QUEUED,
    JOB_STATE_RUNNING,
)
from ibiscart_schema.generated.types_pb2 import SCOPE_WORKER
from tests.core.invariant import violations
from tests.core.world import World, put_contract, register, shape, submit

GANG = shape(2, 8)


class ReclaimTest(unittest.TestCase):
    def start(self, seconds=0, **small):
        """Returns a world with one job on each worker of a rack and a queued gang of 1000 s."""
        world = World()
        world.send(register(1, 2), put_contract("leith", 0), put_contract("perth", 0))
        world.send(*[submit("leith", f"s{n}", shape(1, 8), **small) for n in range(2)])
        world.start_and_stop()
        world.send(submit("perth", "gang", GANG, seconds=1000), seconds=seconds)
        return world

    def test_a_large_gang_does_not_wait_longer_than_half_its_run_time(self):
        """By ageing alone, small jobs would delay a gang for ten times its run time."""
        world = self.start()
        world.finish(world.job("leith", "s1"), seconds=300)
        world.send(submit("leith", "s2", shape(1, 8, scope=SCOPE_WORKER)), seconds=190)
        world.start_and_stop(0)
        self.assertEqual(world.job("perth", "gang").state, JOB_STATE_QUEUED)
        world.send(seconds=20)
        self.assertEqual(world.job("perth", "gang").state, JOB_STATE_PLACED)
        self.assertEqual(violations(world.working, world.now_us), [])
        world.start_and_stop()
        self.assertEqual(world.job("perth", "gang").state, JOB_STATE_RUNNING)
        self.assertEqual(world.job("leith", "s0").state, JOB_STATE_QUEUED)

    def test_a_gang_does_not_preempt_jobs_that_lose_much_work(self):
        """Preempting two long-running jobs would lose more than half of the gang's own work."""
        world = self.start(seconds=500)
        world.send(seconds=600)
        self.assertEqual(world.job("perth", "gang").state, JOB_STATE_QUEUED)

    def test_a_gang_does_not_preempt_non_repeatable_jobs(self):
        """A preempted job runs again, which a non-repeatable job must never do (P5)."""
        world = self.start(repeatable=False)
        world.send(seconds=600)
        self.assertEqual(world.job("perth", "gang").state, JOB_STATE_QUEUED)

    def test_a_gang_does_not_preempt_a_large_gang(self):
        """Two large gangs would preempt each other in turn, and neither would complete."""
        world = World()
        world.send(register(1, 2), put_contract("leith", 0), put_contract("perth", 0))
        world.send(submit("leith", "first", GANG))
        world.start_and_stop()
        world.send(submit("perth", "gang", GANG, seconds=1000))
        world.send(seconds=600)
        self.assertEqual(world.job("leith", "first").state, JOB_STATE_RUNNING)

    def test_long_jobs_do_not_use_the_reserve_for_short_jobs(self):
        """If long jobs used every accelerator, a short job would wait until one of them ends."""
        world = World()
        world.send(register(1, 14), put_contract("leith", 0, accelerators=112))
        world.send(put_contract("perth", 0))
        world.send(*[submit("leith", f"s{n}", shape(1, 1)) for n in range(120)])
        world.start_and_stop()
        world.send(submit("perth", "long", shape(1, 1)))
        world.send(submit("perth", "short", shape(1, 1), kind="short", seconds=100))
        self.assertEqual(world.job("perth", "short").state, JOB_STATE_PLACED)
        job = world.job("perth", "long")
        lines = world.policy.explain(world.working, job, world.now_us)
        self.assertIn("what is free is kept for short work", "\n".join(lines))


if __name__ == "__main__":
    unittest.main()
