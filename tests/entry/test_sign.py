"""Guards target signs against views that differ or never spread."""

import itertools
import random
import unittest

from ibiscart_entry.sign import TargetSigns
from ibiscart_schema.generated.peer_pb2 import TargetSign
from ibiscart_schema.generated.types_pb2 import (
    TARGET_LEAVING,
    TARGET_LIVE,
    TARGET_LOST,
    TARGET_QUARANTINED,
)


class SignTest(unittest.TestCase):
    def test_a_leaving_target_is_not_eligible(self):
        """A leaving target must get no new work (P6)."""
        signs = TargetSigns()
        self.assertTrue(signs.eligible("w1"))
        self.assertTrue(signs.report("w1", TARGET_LEAVING, "answer"))
        self.assertFalse(signs.eligible("w1"))
        self.assertFalse(signs.report("w1", TARGET_LEAVING, "answer"), "nothing new")

    def test_merge_gives_the_same_state_in_any_order(self):
        """Entries that hear signs in different orders must agree."""
        messages = [
            TargetSign(target_id="w1", state=state, incarnation=incarnation)
            for state, incarnation in (
                (TARGET_LEAVING, 1),
                (TARGET_LOST, 1),
                (TARGET_LIVE, 2),
                (TARGET_LIVE, 1),
            )
        ]
        states = set()
        for order in itertools.permutations(messages):
            signs = TargetSigns()
            for message in order:
                signs.merge([message])
            states.add(signs.state("w1"))
        self.assertEqual(states, {TARGET_LIVE})

    def test_an_old_sign_does_not_return(self):
        """A late message must not make a target leave again."""
        signs = TargetSigns()
        signs.report("w1", TARGET_LEAVING, "answer")
        old = signs.take_new("peer")
        signs.report("w1", TARGET_LIVE, "answer")
        signs.merge(old)
        self.assertTrue(signs.eligible("w1"))

    def test_each_peer_gets_each_sign_once(self):
        """Signs repeated in each heartbeat would exceed the bytes allowed per node."""
        signs = TargetSigns()
        signs.report("w1", TARGET_LEAVING, "answer")
        self.assertEqual([s.target_id for s in signs.take_new("b")], ["w1"])
        self.assertEqual(signs.take_new("b"), [])
        self.assertEqual([s.target_id for s in signs.take_new("c")], ["w1"])
        signs.report("w2", TARGET_LOST, "refused")
        self.assertEqual([s.target_id for s in signs.take_new("b")], ["w2"])

    def test_signs_of_a_lost_message_are_sent_again(self):
        """A heartbeat that failed must not swallow a sign."""
        signs = TargetSigns()
        signs.report("w1", TARGET_LEAVING, "answer")
        taken = signs.take_new("b")
        signs.put_back("b", taken)
        self.assertTrue(signs.has_new("b"))
        self.assertEqual([s.target_id for s in signs.take_new("b")], ["w1"])

    def test_random_exchange_converges(self):
        """Any exchange of heartbeats must end in one view."""
        for seed in range(30):
            with self.subTest(seed=seed):
                rng = random.Random(seed)
                views = {name: TargetSigns() for name in "abc"}
                states = [TARGET_LIVE, TARGET_LEAVING, TARGET_LOST, TARGET_QUARANTINED]
                for _ in range(60):
                    name, other = rng.sample("abc", 2)
                    if rng.random() < 0.3:
                        target = f"w{rng.randrange(3)}"
                        views[name].report(target, rng.choice(states), "x")
                    else:
                        views[other].merge(views[name].take_new(other))
                for _ in range(3):
                    for name, other in itertools.permutations("abc", 2):
                        views[other].merge(views[name].take_new(other))
                for target in ("w0", "w1", "w2"):
                    self.assertEqual(len({v.state(target) for v in views.values()}), 1)

    def test_targets_are_bounded(self):
        """Targets are replaced all the time; their signs must not fill the memory."""
        signs = TargetSigns()
        signs.take_new("b")
        for number in range(5000):
            signs.report(f"w{number}", TARGET_LEAVING, "x")
        self.assertLessEqual(len(signs._signs), 4096)
        self.assertFalse(signs.eligible("w4999"))
        self.assertLessEqual(len(signs.take_new("b")), 256)


if __name__ == "__main__":
    unittest.main()
