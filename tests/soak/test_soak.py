"""A short seeded soak of the real programs."""

import unittest

from tests.soak.run import REGRESSIONS, play

SEED = 1
SECONDS = 6.0


class SoakTest(unittest.TestCase):
    def test_no_promise_is_broken(self):
        for seed in (SEED, *REGRESSIONS):
            with self.subTest(seed=seed):
                self.assertEqual([], play(seed, SECONDS))


if __name__ == "__main__":
    unittest.main()
