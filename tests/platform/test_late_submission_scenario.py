"""Tests that cancellations under random faults keep their promise, and that a fault is detected."""

import unittest
from unittest import mock

import trio

from ibiscart_entry.coordination.tombstone import Tombstones
from tests.platform.late_submission_scenario import run_scenario

SEEDS = range(8)


class LateSubmissionScenarioTest(unittest.TestCase):
    def test_acknowledged_cancellation_keeps_late_submissions_out(self):
        statuses = set()
        for seed in SEEDS:
            with self.subTest(seed=seed):
                scenario = run_scenario(seed)
                self.assertEqual([], scenario.violations)
                statuses |= scenario.callers.acknowledged_statuses
        # jobs were cancelled before and after they were stored
        self.assertEqual({200, 410}, statuses)

    def test_cancellation_that_leaves_nothing_is_detected(self):
        # planted fault: that of review/13
        async def forget(tombstones, queue, account, job_id):
            await trio.lowlevel.checkpoint()

        with mock.patch.object(Tombstones, "add", forget):
            self.assertTrue(any(run_scenario(seed).violations for seed in SEEDS))


if __name__ == "__main__":
    unittest.main()
