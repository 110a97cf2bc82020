"""Tests of the correction of estimated run times."""

import math
import random
import unittest

from ibiscart_core.workflow.duration import DurationModel
from tests.core.workflow.harness import EngineHarness, step


class DurationModelTest(unittest.TestCase):
    def test_estimates_are_used_until_run_times_are_known(self):
        model = DurationModel()
        self.assertEqual(700, model.run_ms("q", 700))
        model.record("other", 1000, 5000, 1.0)
        self.assertEqual(700, model.run_ms("q", 700))

    def test_exact_estimates_stay_as_they_are(self):
        model = DurationModel()
        for actual_ms in (500, 1000, 2000, 4000, 8000):
            model.record("q", actual_ms, actual_ms, 1.0)
        for estimate_ms in (100, 1000, 20_000):
            self.assertAlmostEqual(estimate_ms, model.run_ms("q", estimate_ms))

    def test_a_constant_error_is_learned(self):
        model = DurationModel()
        for actual_ms in [1000, 2000, 4000] * 10:
            model.record("q", actual_ms / 3, actual_ms, 1.0)
        self.assertAlmostEqual(3000, model.run_ms("q", 1000), delta=300)

    def test_useless_estimates_move_towards_the_mean_run_time(self):
        """Guards against urgent jobs that look late on arrival since they were underestimated."""
        for sigma in (0.3, 0.9, 1.5):
            rng = random.Random(1)
            model = DurationModel()
            samples = [
                (2000 * math.exp(rng.gauss(0, sigma)), 2000 * math.exp(rng.gauss(0, 0.4)))
                for _ in range(300)
            ]
            for estimate_ms, actual_ms in samples[:30]:
                model.record("q", estimate_ms, actual_ms, 1.0)

            corrected_error = estimate_error = 0.0
            for estimate_ms, actual_ms in samples[30:]:
                corrected_error += abs(math.log(model.run_ms("q", estimate_ms) / actual_ms))
                estimate_error += abs(math.log(estimate_ms / actual_ms))
            with self.subTest(sigma=sigma):
                self.assertLess(corrected_error, estimate_error)

    def test_one_observation_corrects_by_a_part_only(self):
        model = DurationModel()
        model.record("q", 1000, 8000, 1.0)
        self.assertTrue(1000 < model.run_ms("q", 1000) < 4000)


class UnderestimatedJobTest(unittest.TestCase):
    def test_an_underestimated_urgent_gang_preempts_in_time(self):
        """Replays a burst that fills all workers with small tasks while an urgent gang waits.

        The gang's estimate was a twentieth of its run time, so after a second without a worker it
        counted as late, no longer preempted, and waited for many seconds for whole workers.
        """
        harness = EngineHarness(workers=4)
        for number in range(8):
            harness.submit(f"early{number}", step(1, 1, estimate_ms=100), priority=0, account="b")
            harness.run_pass()
            harness.now += 2.0
            (unit,) = harness.engine.jobs[f"early{number}"].units()
            harness.end_unit(unit)
        harness.submit("bulk", step(32, 1, estimate_ms=6000), priority=2, account="b")
        harness.run_pass()
        harness.run_pass(1.0)
        gang = step(2, 8, estimate_ms=100, gang=True)
        job = harness.submit("urgent", gang, priority=0, account="b")
        # the workers refuse starts at first
        for worker in harness.engine.fleet.workers.values():
            worker.suspend(harness.now, 1.2)
        for _ in range(30):
            harness.run_pass(0.1)
            harness.report()
        (unit,) = job.units()
        self.assertEqual(2, len(unit.allocations))


if __name__ == "__main__":
    unittest.main()
