"""Tests of how workers that fail runs are avoided."""

import unittest

from ibiscart_core.workflow.job import EndCause, Outcome
from ibiscart_core.workflow.reliability import Reliability
from tests.core.workflow.world import World, step


def places_of(job):
    return {
        allocation.worker_id for unit in job.units() for allocation in unit.allocations.values()
    }


class ReliabilityTest(unittest.TestCase):
    def test_one_failure_is_doubted_and_two_bar(self):
        reliability = Reliability()
        reliability.record_failure(10.0)
        self.assertTrue(reliability.doubtful(10.1))
        self.assertFalse(reliability.unusable(10.1))
        reliability.record_failure(11.0)
        self.assertTrue(reliability.unusable(11.1))

    def test_successes_between_failures_do_not_clear_a_worker(self):
        # a worker that fails a part of its runs was trusted again after each success
        reliability = Reliability()
        for second in range(4):
            reliability.record_failure(second)
            reliability.record_success(second + 0.5)
        self.assertTrue(reliability.unusable(4.0))

    def test_trust_returns(self):
        # a fault of workers passes after some seconds, and their room is needed
        reliability = Reliability()
        for _ in range(20):
            reliability.record_failure(1.0)
        self.assertFalse(reliability.unusable(9.0))
        self.assertFalse(reliability.doubtful(17.0))


class PlacementTest(unittest.TestCase):
    def fail_on_first_worker(self, world):
        """Fails one run; returns the id of its worker."""
        job = world.submit("probe", step())
        world.play()
        (worker_id,) = places_of(job)
        world.end_unit(next(job.units()), EndCause.FAILED)
        world.engine.cancel("probe")
        return worker_id

    def test_gang_avoids_a_worker_that_has_failed(self):
        # gangs met one of the workers that fail runs at each attempt, and so the job failed
        world = World(workers=4, per_rack=4)
        bad = self.fail_on_first_worker(world)
        job = world.submit("gang", step(3, 8, gang=True))
        self.assertEqual(3, len(world.play()))
        self.assertNotIn(bad, places_of(job))

    def test_gang_bound_to_a_rack_avoids_the_rack_of_a_doubtful_worker(self):
        world = World(workers=4, per_rack=2)
        bad = self.fail_on_first_worker(world)
        job = world.submit("gang", step(2, 8, gang=True, same_rack=True))
        self.assertEqual(2, len(world.play()))
        self.assertNotIn(bad, places_of(job))

    def test_single_task_avoids_a_worker_that_has_failed(self):
        world = World(workers=4)
        bad = self.fail_on_first_worker(world)
        job = world.submit("single", step(1, 8))
        world.play()
        self.assertNotIn(bad, places_of(job))

    def test_doubtful_worker_is_used_when_others_are_full(self):
        # room that might work is better than waiting past the objective
        world = World(workers=4)
        self.fail_on_first_worker(world)
        world.submit("large", step(4, 8))
        self.assertEqual(4, len(world.play()))

    def test_job_that_fails_everywhere_bars_no_workers(self):
        # a job that can never be done took all workers away from the others
        world = World(workers=4)
        bad = world.submit("bad", step(16, 2))
        world.play()
        for unit in list(bad.units()):
            for index, allocation in list(unit.allocations.items()):
                world.end(allocation.worker_id, unit.task_key(index), unit.run, EndCause.FAILED)
        world.report()
        world.engine.cancel("bad")
        world.submit("good", step(4, 8, gang=True))
        self.assertEqual(4, len(world.play()))

    def test_gangs_end_well_beside_workers_that_fail_a_part_of_their_runs(self):
        # single tasks that ended well in between hid such workers, and gangs of 8 failed
        world = World(workers=20, per_rack=20)
        outcomes = []
        for number in range(12):
            world.submit(f"small{number}", step(20, 8))
            world.play(2.1)
            self.finish_units(world, faulty=())
            job = world.submit(f"gang{number}", step(8, 8, gang=True))
            while not job.ended:
                world.play(0.3)
                self.finish_units(world, faulty=("w0", "w3", "w7"))
            outcomes.append(job.outcome)
        self.assertGreaterEqual(outcomes.count(Outcome.COMPLETED), 10, outcomes)

    def finish_units(self, world, faulty):
        """Ends all runs, those on the faulty workers and the gangs they belong to badly."""
        for job in list(world.engine.jobs.values()):
            for unit in job.units():
                bad = any(
                    allocation.worker_id in faulty for allocation in unit.allocations.values()
                )
                for index, allocation in list(unit.allocations.items()):
                    cause = EndCause.MEMBER_ENDED if bad else EndCause.DONE
                    cause = EndCause.FAILED if allocation.worker_id in faulty else cause
                    world.end(allocation.worker_id, unit.task_key(index), unit.run, cause)
        world.report()


if __name__ == "__main__":
    unittest.main()
