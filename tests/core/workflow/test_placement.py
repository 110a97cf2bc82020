"""Tests of placement: labels, racks, bounds per worker."""

import unittest
from collections import Counter

from tests.core.workflow.world import World, step


def workers_of(orders):
    return Counter(order.allocation.worker_id for order in orders)


class PlacementTest(unittest.TestCase):
    def test_bound_per_worker_holds_within_one_pass(self):
        # tasks placed in the same pass were not counted against the bound
        world = World(workers=3)
        world.submit("j", step(6, max_per_worker=1))
        orders, _ = world.plan()
        self.assertEqual({"w0": 1, "w1": 1, "w2": 1}, dict(workers_of(orders)))

    def test_bound_per_worker_holds_over_passes(self):
        world = World(workers=2)
        world.submit("j", step(4, max_per_worker=1))
        world.play()
        self.assertEqual([], world.play())

    def test_bound_per_worker_holds_for_a_gang(self):
        world = World(workers=3)
        world.submit("j", step(3, gang=True, max_per_worker=1))
        orders, _ = world.plan()
        self.assertEqual([1, 1, 1], list(workers_of(orders).values()))

    def test_label_is_required(self):
        world = World(workers=4)
        world.submit("j", step(2, 8, required_label="r1"))
        orders, _ = world.plan()
        self.assertEqual({"w2", "w3"}, set(workers_of(orders)))

    def test_gang_on_one_rack_waits_rather_than_spreads(self):
        world = World(workers=4)
        world.submit("other", step(2, 8, required_label="r0"))
        world.submit("more", step(1, 8, required_label="r1"))
        world.play()
        world.submit("gang", step(2, 8, gang=True, same_rack=True))
        self.assertEqual([], world.play())

    def test_gang_wider_than_a_rack_is_spread(self):
        # it would otherwise wait for ever
        world = World(workers=4)
        world.submit("gang", step(3, 8, gang=True, same_rack=True))
        self.assertEqual(3, len(world.play()))

    def test_gang_of_small_tasks_leaves_whole_workers_free(self):
        # gangs took the emptiest workers, so that tasks with 8 accelerators found none
        world = World(workers=3)
        world.submit("small", step(2, 6))
        self.assertEqual(2, len(world.play()))
        world.submit("gang", step(4, 1, gang=True))
        self.assertEqual(4, len(world.play()))
        world.submit("large", step(1, 8))
        self.assertEqual(1, len(world.play()))

    def test_gang_starts_whole_or_not_at_all(self):
        world = World(workers=2)
        world.submit("small", step(1, 8))
        world.play()
        world.submit("gang", step(2, 8, gang=True))
        self.assertEqual([], world.play())


if __name__ == "__main__":
    unittest.main()
