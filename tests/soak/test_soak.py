"""Short soak tests of entry processes with fixed seeds, one for each group of faults."""

import unittest

import trio

from tests.soak.run import EVACUATION_SECONDS, REGRESSIONS, run_soak, run_soaks

SEED = 1
SECONDS = 6.0
# deployments that start on one machine at once, of the size of those that were reported
LARGE = {"entries": 9, "workers": 24, "ephemeral_ports": True}


class SoakTest(unittest.TestCase):
    def check(self, faults, seed=SEED, seconds=SECONDS):
        """Checks that a soak with one group of faults violates no guarantee."""
        with self.subTest(seed=seed):
            violations = run_soak(seed, seconds, faults)
            self.assertEqual([], violations, "\n" + "\n".join(violations[:20]))

    def test_random_faults_violate_no_guarantee(self):
        for seed in (SEED, *REGRESSIONS):
            self.check("basic", seed)

    def test_no_signal_ends_a_process_but_those_that_shut_it_down(self):
        self.check("signals")

    def test_port_in_use_ends_no_process(self):
        self.check("ports")

    def test_odd_row_of_another_writer_ends_no_process(self):
        self.check("rows")

    def test_odd_answer_of_the_store_ends_no_process(self):
        self.check("store")

    def test_odd_answer_of_a_worker_ends_no_process(self):
        self.check("workers")

    def test_no_run_starts_in_a_data_centre_that_is_emptied(self):
        self.check("evacuations", seconds=EVACUATION_SECONDS + 3)

    def test_acknowledged_cancellation_keeps_late_submissions_out(self):
        self.check("cancellations")

    def test_planned_restart_cuts_no_request(self):
        self.check("restarts")

    def test_deployments_start_beside_one_another(self):
        failed = []
        trio.run(
            lambda: run_soaks(
                (SEED, SEED + 1),
                2,
                lambda seed, violations: failed.extend(violations),
                1.0,
                "none",
                **LARGE,
            )
        )
        self.assertEqual([], failed, "\n" + "\n".join(failed[:20]))


if __name__ == "__main__":
    unittest.main()
