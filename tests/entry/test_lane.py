"""Guards against short requests that wait behind long ones, and against unfair turns."""

import unittest

from ibiscart_core.lane import Lane, LaneQueue


class Item:
    def __init__(self, account, kind, enqueued_at):
        self.account = account
        self.kind = kind
        self.enqueued_at = enqueued_at


class LaneQueueTest(unittest.TestCase):
    def setUp(self):
        self.now = 0.0
        self.weights = {}
        self.seconds = {"long": 10.0, "short": 0.1}
        self.queue = LaneQueue(
            lambda: self.now,
            lambda account: self.weights.get(account, 1),
            lambda account, kind: self.seconds[kind],
            1.0,
        )

    def push(self, account, kind, count=1):
        for _ in range(count):
            self.queue.push(Item(account, kind, self.now))

    def pick(self, lanes=tuple(Lane), blocked=()):
        picked = self.queue.pick(list(lanes), lambda account: account not in blocked)
        return picked and (picked[0].account, picked[1])

    def test_short_goes_before_long(self):
        """A batch of long requests must not delay short ones."""
        self.push("a", "long", 3)
        self.push("b", "short")
        self.assertEqual(self.pick(), ("b", Lane.SHORT))
        self.assertEqual(self.pick(), ("a", Lane.LONG))
        self.assertIsNone(self.pick(lanes=[Lane.SHORT]))

    def test_turns_follow_the_weights(self):
        """One account's burst must not take the turns of the others."""
        self.weights = {"a": 1, "b": 3}
        self.push("a", "short", 400)
        self.push("b", "short", 400)
        taken = [self.pick()[0] for _ in range(200)]
        self.assertAlmostEqual(taken.count("b"), 150, delta=2)

    def test_idle_account_saves_up_no_turns(self):
        """An account that was idle must not block the others when it returns."""
        self.push("a", "short", 100)
        for _ in range(50):
            self.pick()
        self.push("b", "short", 50)
        taken = [self.pick()[0] for _ in range(20)]
        self.assertAlmostEqual(taken.count("b"), 10, delta=1)

    def test_aged_long_request_goes_first(self):
        """Long work must not starve under a steady load of short work."""
        self.push("a", "long")
        self.now = 99.0
        self.push("b", "short", 2)
        self.assertEqual(self.pick(), ("b", Lane.SHORT))
        self.now = 100.0
        self.assertEqual(self.pick(), ("a", Lane.LONG))

    def test_blocked_account_does_not_block_others(self):
        """An account at its limit must not hold up the accounts behind it."""
        self.push("a", "short")
        self.push("b", "short")
        self.assertEqual(self.pick(blocked=["a"]), ("b", Lane.SHORT))
        self.assertIsNone(self.pick(blocked=["a"]))

    def test_lane_follows_what_was_learned_while_waiting(self):
        """Requests that turn out long must not keep the short lane."""
        self.push("a", "short", 2)
        self.seconds["short"] = 5.0
        self.assertEqual(self.pick(), ("a", Lane.LONG))

    def test_retry_keeps_its_place(self):
        """A request that is sent again must not wait behind later ones."""
        first = Item("a", "short", 0.0)
        self.now = 1.0
        self.push("a", "short", 3)
        self.queue.push(first)
        self.assertIs(self.queue.pick(list(Lane), lambda account: True)[0], first)


if __name__ == "__main__":
    unittest.main()
