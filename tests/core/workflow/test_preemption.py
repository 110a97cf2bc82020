"""Tests of preemption: guarantees, deadlines, no room given out twice."""

import unittest

from ibiscart_core.workflow.job import EndCause, UnitState
from tests.core.workflow.world import World, step


class PreemptionTest(unittest.TestCase):
    def test_guaranteed_job_gets_its_accelerators(self):
        world = World(workers=1, guaranteed=8)
        world.submit("low", step(8), priority=2)
        world.play()
        job = world.submit("claim", step(1, 8), priority=0)
        world.play()
        world.play(0.3)
        world.report()
        world.play()
        self.assertTrue(all(unit.running for unit in job.units()))

    def test_two_guaranteed_jobs_do_not_count_on_the_same_room(self):
        # the second claim counted on what was stopped for the first, and waited for it
        world = World(workers=2, guaranteed=16)
        world.submit("low", step(2, 8), priority=2)
        world.play()
        world.submit("first", step(1, 8), priority=0)
        world.play()
        _, stops = world.plan(0.3)
        self.assertEqual(1, len(stops))
        world.submit("second", step(1, 8), priority=0)
        world.plan()
        _, stops = world.plan(0.3)
        self.assertEqual(1, len(stops))

    def stops_for(self, world, waiting, waiting_priority, running_priority=2):
        """Fills the only worker, submits a step that needs all of it; returns the stops."""
        tasks = step(8, 1, estimate_ms=6000)
        world.submit("running", tasks, priority=running_priority)
        self.assertEqual(8, len(world.play()))
        world.submit("waiting", waiting, priority=waiting_priority)
        world.play()
        world.plan(0.3)
        return world.stops

    def test_job_about_to_be_late_stops_cheaper_work(self):
        # jobs of priority 0 beyond their account's guarantee waited until work ended by itself
        world = World(workers=1)
        stops = self.stops_for(world, step(1, 8, estimate_ms=500), 0)
        self.assertEqual(["preempted"] * 8, [stop.reason for stop in stops])
        noted = [fields for event, fields in world.notes if event == "unit_preempted"]
        self.assertEqual({("deadline", "waiting")}, {(n["reason"], n["gaining"]) for n in noted})

    def test_job_with_time_left_stops_nothing(self):
        self.assertEqual([], self.stops_for(World(workers=1), step(1, 8, estimate_ms=20000), 1))

    def test_work_of_the_same_priority_is_not_stopped(self):
        self.assertEqual([], self.stops_for(World(workers=1), step(1, 8, estimate_ms=500), 0, 0))

    def test_preempted_unit_runs_again_with_a_higher_number(self):
        world = World(workers=1, guaranteed=8)
        low = world.submit("low", step(1, 8), priority=2)
        world.play()
        claim = world.submit("claim", step(1, 8), priority=0)
        world.play()
        world.play(0.3)
        world.report()
        world.play()
        world.end_unit(next(claim.units()))
        world.play()
        unit = next(low.units())
        self.assertEqual((UnitState.ACTIVE, 2, 0), (unit.state, unit.run, unit.failures))

    def test_failed_runs_end_the_job_after_the_allowed_attempts(self):
        world = World(workers=2)
        job = world.submit("bad", step(1, 1))
        for _ in range(2):
            world.play(1.0)
            world.end_unit(next(job.units()), EndCause.FAILED)
        self.assertEqual("failed", job.outcome.value)


if __name__ == "__main__":
    unittest.main()
