"""Short soak test of entry processes with fixed seeds."""

import unittest

from tests.soak.run import REGRESSIONS, run_soak

SEED = 1
SECONDS = 6.0


class SoakTest(unittest.TestCase):
    def test_random_faults_violate_no_guarantee(self):
        for seed in (SEED, *REGRESSIONS):
            with self.subTest(seed=seed):
                self.assertEqual([], run_soak(seed, SECONDS))


if __name__ == "__main__":
    unittest.main()
