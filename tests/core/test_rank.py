"""Guards the ranking against entries that disagree and against needless moves of work."""

import unittest

from ibiscart_core.rank import first, ranked


class RankTest(unittest.TestCase):
    def test_order_does_not_depend_on_the_order_of_members(self):
        """Entries that know the same members must choose the same one for a key."""
        members = [f"e{n}" for n in range(9)]
        self.assertEqual(ranked("alba", members), ranked("alba", members[::-1]))
        self.assertEqual(first("alba", members), ranked("alba", members)[0])

    def test_a_member_that_leaves_moves_only_its_own_keys(self):
        """When one entry leaves, keys that belong to other entries must not move."""
        members = [f"e{n}" for n in range(9)]
        for key in (f"worker/{n}" for n in range(200)):
            old_first = first(key, members)
            new_first = first(key, [m for m in members if m != "e3"])
            if old_first != "e3":
                self.assertEqual(new_first, old_first)
            else:
                self.assertEqual(new_first, ranked(key, members)[1])

    def test_no_member_gets_most_keys(self):
        """An uneven ranking would give one entry most of the work."""
        members = [f"e{n}" for n in range(8)]
        counts = dict.fromkeys(members, 0)
        for number in range(8000):
            counts[first(f"worker/{number}", members)] += 1
        self.assertGreater(min(counts.values()), 800)
        self.assertLess(max(counts.values()), 1200)

    def test_no_error_without_members(self):
        """An entry that knows no members must get None, not an error."""
        self.assertIsNone(first("alba", []))


if __name__ == "__main__":
    unittest.main()
