"""Tests of the workers that are promised to units which do not fit yet."""

import unittest

from tests.core.workflow.harness import EngineHarness, step


class PromisedWorkersTest(unittest.TestCase):
    """Replays full workers whose small tasks end one after another, while a gang waits."""

    def fill(self):
        """Returns a harness whose two workers are full of small tasks with staggered ends."""
        harness = EngineHarness(workers=2)
        for number in range(16):
            harness.submit(f"bulk{number:02}", step(1, 1, estimate_ms=4000), priority=1)
            harness.run_pass(0.25)
        return harness

    def drive(self, harness, seconds):
        """Advances by ``seconds``; tasks end after 4 s."""
        for _ in range(round(seconds / 0.25)):
            for job in list(harness.engine.jobs.values()):
                for unit in job.units():
                    confirmed = [a.confirmed_at for a in unit.allocations.values()]
                    if confirmed and None not in confirmed and harness.now - max(confirmed) >= 4:
                        harness.end_unit(unit)
            harness.run_pass(0.25)

    def test_small_tasks_do_not_starve_a_gang(self):
        """Guards against gangs that never start since each freed accelerator goes to a small task.

        The small tasks rank lower, but only they fit while the workers become free one by one.
        """
        harness = self.fill()
        gang = step(2, 4, estimate_ms=4000, gang=True)
        job = harness.submit("gang", gang, priority=1)
        harness.submit("queue", step(200, 1, estimate_ms=4000), priority=2)
        self.drive(harness, 6)
        (unit,) = job.units()
        self.assertEqual(1, unit.run)

    def test_a_task_that_ends_before_the_gang_can_start_uses_a_promised_worker(self):
        """Guards against workers that idle for a unit that cannot start yet."""
        harness = EngineHarness(workers=4)
        harness.submit("first", step(3, 8, estimate_ms=9000), priority=1)
        harness.run_pass()
        gang = step(2, 8, estimate_ms=9000, gang=True)
        harness.submit("gang", gang, priority=1)
        # wide jobs rank behind the gang
        long_job = harness.submit("long", step(400, 1, estimate_ms=12_000), priority=2)
        harness.run_pass(0.5)
        self.assertEqual(0, sum(unit.run for unit in long_job.units()))
        short_job = harness.submit("short", step(400, 1, estimate_ms=2000), priority=2)
        harness.run_pass()
        self.assertEqual(8, sum(unit.run for unit in short_job.units()))


if __name__ == "__main__":
    unittest.main()
