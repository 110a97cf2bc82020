"""Guards the ranking against entries that disagree or move more work than needed."""

import unittest

from ibiscart_core.rank import first, ranked


class RankTest(unittest.TestCase):
    def test_order_does_not_depend_on_the_order_of_members(self):
        """Two entries with the same view must choose the same owner."""
        members = [f"e{n}" for n in range(9)]
        self.assertEqual(ranked("alba", members), ranked("alba", members[::-1]))
        self.assertEqual(first("alba", members), ranked("alba", members)[0])

    def test_a_member_that_leaves_moves_only_its_own_keys(self):
        """A replaced entry must not move the work of all others."""
        members = [f"e{n}" for n in range(9)]
        for key in (f"worker/{n}" for n in range(200)):
            before = first(key, members)
            after = first(key, [m for m in members if m != "e3"])
            if before != "e3":
                self.assertEqual(after, before)
            else:
                self.assertEqual(after, ranked(key, members)[1])

    def test_keys_are_spread(self):
        """One entry must not get most of the work."""
        members = [f"e{n}" for n in range(8)]
        counts = dict.fromkeys(members, 0)
        for number in range(8000):
            counts[first(f"worker/{number}", members)] += 1
        self.assertGreater(min(counts.values()), 800)
        self.assertLess(max(counts.values()), 1200)

    def test_no_members(self):
        """An empty view must give no owner, not an error."""
        self.assertIsNone(first("alba", []))


if __name__ == "__main__":
    unittest.main()
