"""Tests of placement: labels, racks, limits of tasks per worker."""

import unittest
from collections import Counter

from ibiscart_core.workflow.unit import EndCause
from tests.core.workflow.harness import EngineHarness, step


def count_by_worker(orders):
    """Returns the number of start orders by worker id."""
    return Counter(order.allocation.worker_id for order in orders)


class PlacementTest(unittest.TestCase):
    def test_limit_per_worker_counts_tasks_of_the_same_pass(self):
        # tasks placed in the same pass were not counted against the step's limit of tasks per
        # worker
        harness = EngineHarness(workers=3)
        harness.submit("j", step(6, max_per_worker=1))
        orders, _ = harness.plan()
        self.assertEqual({"w0": 1, "w1": 1, "w2": 1}, dict(count_by_worker(orders)))

    def test_a_unit_that_failed_waits_for_workers_without_evidence_against_them(self):
        """Replays a full fleet with a worker that fails all runs at once, as on inc-1503.

        A gang lost all its attempts within 2 s, since that worker was the only one with room.
        """
        for size, gang in ((2, True), (1, False)):
            with self.subTest(gang=gang):
                harness = EngineHarness(workers=4)
                harness.submit("full", step(3, 8, estimate_ms=60_000), priority=0)
                harness.submit("small", step(1, 1, estimate_ms=60_000), priority=0)
                harness.run_pass()
                job = harness.submit("urgent", step(size, 3, gang=gang), priority=0)
                harness.run_pass()
                (unit,) = job.units()
                harness.end_unit(unit, EndCause.FAILED)
                self.assertEqual(1, unit.failures)
                for _ in range(10):
                    harness.run_pass(0.1)
                self.assertEqual(1, unit.run)
                # nor is such a worker reserved for the unit
                bulk = harness.submit("bulk", step(1, 4, estimate_ms=60_000), priority=2)
                self.assertEqual(1, len(harness.run_pass()))
                self.assertEqual(1, next(bulk.units()).run)

    def test_the_evidence_against_a_worker_fades(self):
        harness = EngineHarness(workers=4)
        harness.submit("full", step(3, 8, estimate_ms=60_000), priority=0)
        harness.run_pass()
        job = harness.submit("urgent", step(2, 4, gang=True), priority=0)
        harness.run_pass()
        (unit,) = job.units()
        harness.end_unit(unit, EndCause.FAILED)
        harness.run_pass(1.0)
        self.assertEqual(1, unit.run)
        harness.run_pass(4.0)
        self.assertEqual(2, unit.run)

    def test_limit_per_worker_counts_tasks_of_earlier_passes(self):
        harness = EngineHarness(workers=2)
        harness.submit("j", step(4, max_per_worker=1))
        harness.run_pass()
        self.assertEqual([], harness.run_pass())

    def test_limit_per_worker_applies_to_a_gang(self):
        harness = EngineHarness(workers=3)
        harness.submit("j", step(3, gang=True, max_per_worker=1))
        orders, _ = harness.plan()
        self.assertEqual([1, 1, 1], list(count_by_worker(orders).values()))

    def test_tasks_run_only_on_workers_with_the_required_label(self):
        harness = EngineHarness(workers=4)
        harness.submit("j", step(2, 8, required_label="r1"))
        orders, _ = harness.plan()
        self.assertEqual({"w2", "w3"}, set(count_by_worker(orders)))

    def test_gang_bound_to_a_rack_waits_instead_of_spreading(self):
        harness = EngineHarness(workers=4)
        harness.submit("other", step(2, 8, required_label="r0"))
        harness.submit("more", step(1, 8, required_label="r1"))
        harness.run_pass()
        harness.submit("gang", step(2, 8, gang=True, same_rack=True))
        self.assertEqual([], harness.run_pass())

    def test_gang_larger_than_a_rack_is_spread(self):
        # a gang that fits on no rack would wait for a rack forever
        harness = EngineHarness(workers=4)
        harness.submit("gang", step(3, 8, gang=True, same_rack=True))
        self.assertEqual(3, len(harness.run_pass()))

    def test_gang_of_small_tasks_leaves_workers_empty(self):
        # gangs used the emptiest workers first, which left no worker to tasks with 8 accelerators
        harness = EngineHarness(workers=3)
        harness.submit("small", step(2, 6))
        self.assertEqual(2, len(harness.run_pass()))
        harness.submit("gang", step(4, 1, gang=True))
        self.assertEqual(4, len(harness.run_pass()))
        harness.submit("large", step(1, 8))
        self.assertEqual(1, len(harness.run_pass()))

    def test_gang_starts_completely_or_not_at_all(self):
        harness = EngineHarness(workers=2)
        harness.submit("small", step(1, 8))
        harness.run_pass()
        harness.submit("gang", step(2, 8, gang=True))
        self.assertEqual([], harness.run_pass())


if __name__ == "__main__":
    unittest.main()
