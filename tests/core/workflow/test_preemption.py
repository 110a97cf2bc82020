"""Tests of preemption: guarantees, deadlines, reservations of freed capacity."""

import unittest

from ibiscart_core.workflow.unit import EndCause, UnitState
from tests.core.workflow.harness import EngineHarness, step


class PreemptionTest(unittest.TestCase):
    def test_guaranteed_job_gets_its_accelerators(self):
        harness = EngineHarness(workers=1, guaranteed=8)
        harness.submit("low", step(8), priority=2)
        harness.run_pass()
        job = harness.submit("claim", step(1, 8), priority=0)
        harness.run_pass()
        harness.run_pass(0.3)
        harness.report()
        harness.run_pass()
        self.assertTrue(all(unit.running for unit in job.units()))

    def test_two_guaranteed_jobs_do_not_reserve_the_same_capacity(self):
        # the second guaranteed job reserved the worker that was freed for the first one; the second
        # job then waited and stopped no other work
        harness = EngineHarness(workers=2, guaranteed=16)
        harness.submit("low", step(2, 8), priority=2)
        harness.run_pass()
        harness.submit("first", step(1, 8), priority=0)
        harness.run_pass()
        _, stops = harness.plan(0.3)
        self.assertEqual(1, len(stops))
        harness.submit("second", step(1, 8), priority=0)
        harness.plan()
        _, stops = harness.plan(0.3)
        self.assertEqual(1, len(stops))

    def stops_after_waiting(self, harness, waiting, waiting_priority, running_priority=2):
        """Fills the only worker, then submits the step ``waiting``; returns the stop orders."""
        tasks = step(8, 1, estimate_ms=6000)
        harness.submit("running", tasks, priority=running_priority)
        self.assertEqual(8, len(harness.run_pass()))
        harness.submit("waiting", waiting, priority=waiting_priority)
        harness.run_pass()
        harness.plan(0.3)
        return harness.stops

    def test_job_about_to_be_late_stops_cheaper_work(self):
        # jobs of the highest priority, 0, beyond their account's guarantee waited until other work
        # had ended instead of stopping it
        harness = EngineHarness(workers=1)
        stops = self.stops_after_waiting(harness, step(1, 8, estimate_ms=500), 0)
        self.assertEqual(["preempted"] * 8, [stop.reason for stop in stops])
        preemptions = [fields for event, fields in harness.events if event == "unit_preempted"]
        self.assertEqual(
            {("deadline", "waiting")},
            {(preemption["reason"], preemption["gaining"]) for preemption in preemptions},
        )

    def test_job_with_slack_stops_nothing(self):
        self.assertEqual(
            [], self.stops_after_waiting(EngineHarness(workers=1), step(1, 8, estimate_ms=20000), 1)
        )

    def test_work_of_the_same_priority_is_not_stopped(self):
        self.assertEqual(
            [],
            self.stops_after_waiting(EngineHarness(workers=1), step(1, 8, estimate_ms=500), 0, 0),
        )

    def test_preempted_unit_runs_again_with_the_next_run_number(self):
        harness = EngineHarness(workers=1, guaranteed=8)
        low = harness.submit("low", step(1, 8), priority=2)
        harness.run_pass()
        guaranteed_job = harness.submit("claim", step(1, 8), priority=0)
        harness.run_pass()
        harness.run_pass(0.3)
        harness.report()
        harness.run_pass()
        harness.end_unit(next(guaranteed_job.units()))
        harness.run_pass()
        unit = next(low.units())
        self.assertEqual((UnitState.ACTIVE, 2, 0), (unit.state, unit.run, unit.failures))

    def test_job_fails_after_the_allowed_attempts(self):
        harness = EngineHarness(workers=2)
        job = harness.submit("bad", step(1, 1))
        for _ in range(2):
            harness.run_pass(1.0)
            harness.end_unit(next(job.units()), EndCause.FAILED)
        self.assertEqual("failed", job.outcome.value)


if __name__ == "__main__":
    unittest.main()
