"""Tests that workers which leave the directory and come back violate no guarantee."""

import unittest

from tests.platform.worker_return_scenario import run_scenario

# 6, 54: tasks started on workers that had come back as another kind; 34, 67, 78: tasks that last
# were never started again
SEEDS = (6, 34, 54, 67, 78)


class WorkerReturnScenarioTest(unittest.TestCase):
    def test_workers_that_come_back_violate_no_guarantee(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                self.assertEqual([], run_scenario(seed))


if __name__ == "__main__":
    unittest.main()
