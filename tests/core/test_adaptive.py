"""Guards the adaptive policy against broken guarantees and unnecessary preemption."""

import time
import unittest

from ibiscart_schema.generated.journal_pb2 import (
    JOB_STATE_PLACED,
    JOB_STATE_QUEUED,
    JOB_STATE_RUNNING,
    JOB_STATE_STOPPING,
)
from ibiscart_schema.generated.types_pb2 import SCOPE_WORKER
from tests.core.invariant import violations
from tests.core.world import World, put_contract, register, shape, submit


class ClaimTest(unittest.TestCase):
    def test_a_claim_does_not_wait_for_its_free_reservation(self):
        """A guaranteed job must be placed at once on its reservation, which must not move."""
        world = World()
        world.send(register(1, 2), put_contract("perth", 0, [("train", shape(8, 2), 1)]))
        world.send(submit("perth", "a", shape(8, 2)))
        job = world.job("perth", "a")
        self.assertEqual(job.state, JOB_STATE_PLACED)
        self.assertIsNotNone(job.reservation)
        self.assertEqual(world.events_of("reservation_set"), [])

    def test_a_claim_does_not_preempt_while_its_reservation_can_move(self):
        """Burst jobs on reserved workers must continue while equal capacity is free elsewhere."""
        world = World()
        world.send(register(1, 2), put_contract("perth", 0, [("train", shape(1, 8), 1)]))
        world.send(put_contract("leith", 0))
        reserved = world.working.reservations
        reserved_worker = next(iter(reserved.values())).workers[0]
        other_worker = next(w for w in world.working.workers if w != reserved_worker)
        world.send(submit("leith", "first", shape(1, 8, scope=SCOPE_WORKER)))
        self.assertEqual(world.job("leith", "first").members[0].worker_id, other_worker)
        world.send(submit("leith", "second", shape(1, 8, scope=SCOPE_WORKER)))
        world.start_and_stop()
        self.assertEqual(world.job("leith", "second").members[0].worker_id, reserved_worker)
        world.finish(world.job("leith", "first"))
        world.send(submit("perth", "a", shape(1, 8)))
        self.assertEqual(world.job("leith", "second").state, JOB_STATE_RUNNING)
        self.assertEqual(world.job("perth", "a").members[0].worker_id, other_worker)

    def test_a_claim_does_not_preempt_the_job_that_loses_more(self):
        """Of two jobs on the reserved worker only the one with less run time must stop."""
        world = World()
        world.send(register(1, 1), put_contract("perth", 0, [("train", shape(1, 4), 1)]))
        world.send(put_contract("leith", 0))
        world.send(submit("leith", "old", shape(1, 4)))
        world.start_and_stop()
        world.send(submit("leith", "new", shape(1, 4)), seconds=100)
        world.start_and_stop()
        world.send(submit("perth", "a", shape(1, 4)), seconds=100)
        self.assertEqual(world.job("leith", "old").state, JOB_STATE_RUNNING)
        self.assertEqual(world.job("leith", "new").state, JOB_STATE_STOPPING)
        self.assertEqual(world.job("perth", "a").state, JOB_STATE_PLACED)
        world.start_and_stop()
        self.assertEqual(world.job("perth", "a").state, JOB_STATE_RUNNING)
        self.assertEqual(world.job("leith", "new").state, JOB_STATE_QUEUED)

    def test_victims_are_not_selected_for_each_worker_alone(self):
        """Selecting victims for each worker alone can preempt more work than needed."""
        world = World()
        world.send(register(1, 2), put_contract("perth", 0, [("train", shape(2, 8), 1)]))
        world.send(put_contract("leith", 0))
        world.send(submit("leith", "both", shape(2, 4, 70_000)))
        world.start_and_stop()
        world.send(
            submit("leith", "left", shape(1, 4)),
            submit("leith", "right", shape(1, 4)),
            seconds=30,
        )
        world.start_and_stop()
        world.send(submit("perth", "a", shape(2, 4)), seconds=60)
        stopped = [e.job.request_id for e in world.events_of("job_stopping")]
        # the loss is 2 x 4 accelerators x 60 s instead of 8 accelerators x 90 s
        self.assertEqual(sorted(stopped), ["left", "right"])

    def test_victims_are_not_selected_by_ascending_loss_alone(self):
        """Several jobs of small loss each can lose more in sum than one job of larger loss."""
        world = World()
        world.send(register(1, 1), put_contract("perth", 0, [("train", shape(1, 4), 1)]))
        world.send(put_contract("leith", 0))
        for name, accelerators, wait in (("b", 2, 0), ("a", 2, 50), ("c", 4, 150)):
            world.send(submit("leith", name, shape(1, accelerators)), seconds=wait)
            world.start_and_stop()
        world.send(submit("perth", "claim", shape(1, 4)), seconds=300)
        # the losses of a, b and c are 900, 1000 and 1200 accelerator seconds
        self.assertEqual([e.job.request_id for e in world.events_of("job_stopping")], ["c"])

    def test_a_claim_preempts_no_job_that_is_not_needed(self):
        """With many candidates the selection is greedy and must drop jobs that are not needed."""
        world = World()
        claim = shape(1, 0, 110_000, 10)
        world.send(register(1, 1), put_contract("perth", 0, [("train", claim, 1)]))
        world.send(put_contract("leith", 0))
        world.send(submit("leith", "big", shape(1, 0, 120_000, 10)))
        world.send(*[submit("leith", f"s{n}", shape(1, 0, 100, 10)) for n in range(40)])
        world.start_and_stop()
        world.send(submit("perth", "a", claim), seconds=60)
        self.assertEqual([e.job.request_id for e in world.events_of("job_stopping")], ["big"])

    def test_preemption_of_many_small_jobs_is_not_slow(self):
        """A worker with 1200 small tasks must not make the decision fail or take seconds."""
        world = World()
        whole = shape(1, 8, 128_000, 1000)
        world.send(register(1, 1), put_contract("perth", 0, [("train", whole, 1)]))
        world.send(put_contract("leith", 0))
        small = shape(1, 0, 100, 10)
        world.send(*[submit("leith", f"s{n}", small) for n in range(1200)])
        while world.working.accounts["leith"].queued:
            world.send()
        world.start_and_stop()
        begin = time.process_time()
        world.send(submit("perth", "a", whole))
        self.assertLess(time.process_time() - begin, 5)
        self.assertEqual(world.job("perth", "a").state, JOB_STATE_PLACED)
        self.assertEqual(len(world.events_of("job_stopping")), 1200)
        self.assertEqual(violations(world.working, world.now_us), [])

    def test_non_preemptible_jobs_do_not_block_a_guarantee(self):
        """A claim could not preempt a non-repeatable burst job on reserved capacity (P1)."""
        world = World()
        world.send(register(1, 1), put_contract("perth", 0, [("train", shape(1, 4), 1)]))
        world.send(put_contract("leith", 0))
        # 5 of 8 accelerators never fit beside the guarantee, so the job is refused at submission
        refused = world.send(submit("leith", "big", shape(1, 5), repeatable=False))[0].error
        self.assertEqual(refused.code, "impossible_shape")
        world.send(submit("leith", "small", shape(1, 4), repeatable=False))
        world.send(submit("leith", "next", shape(1, 4), repeatable=False))
        self.assertEqual(world.job("leith", "next").state, JOB_STATE_QUEUED)
        self.assertEqual(world.job("leith", "small").state, JOB_STATE_PLACED)
        world.send(submit("perth", "a", shape(1, 4)))
        self.assertEqual(world.job("perth", "a").state, JOB_STATE_PLACED)


if __name__ == "__main__":
    unittest.main()
