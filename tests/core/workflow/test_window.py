"""Starts without an answer are limited, in total and for each worker."""

import unittest
from unittest import mock

from ibiscart_core.resource import Resources
from ibiscart_core.workflow.engine import MAX_NEW_UNITS
from ibiscart_core.workflow.placement import PoolCapacity
from ibiscart_core.workflow.report import StartResult
from ibiscart_core.workflow.spec import StepSpec
from ibiscart_core.workflow.step_units import BLOCK_UNITS
from ibiscart_core.workflow.unit import EndCause, Unit
from ibiscart_core.workflow.window import (
    ANSWER_SECONDS,
    MIN_STARTS,
    MIN_STARTS_PER_WORKER,
    TARGET_ANSWER_SECONDS,
    TARGET_DELAY_SECONDS,
)
from tests.core.workflow.harness import EngineHarness, step


def small_tasks(count, **options):
    """Returns a step of tasks of which over a thousand fit one worker."""
    return StepSpec(count, Resources(0, 20, 16), estimate_ms=1000, **options)


def _count_runs(job):
    """Returns the number of a job's runs."""
    return sum(len(unit.allocations) for unit in job.units())


class WindowTest(unittest.TestCase):
    def setUp(self):
        self.harness = EngineHarness(workers=8)

    def plan(self, seconds=0.1):
        """Plans ``seconds`` later; returns the start orders as sent."""
        orders, _ = self.harness.plan(seconds)
        for order in orders:
            order.sent_at = self.harness.now
        return orders

    def answer(self, orders, seconds):
        """Applies the answers to orders, ``seconds`` after they were sent."""
        self.harness.now += seconds
        for order in orders:
            self.harness.start(order)

    def test_burst_of_starts_is_planned_in_several_passes(self):
        """Guards against a leader that is busy with thousands of starts at once."""
        self.harness.submit("a1", small_tasks(1000))
        started = passes = 0
        while started < 1000:
            orders = self.plan()
            self.assertLessEqual(len(orders), MIN_STARTS * 2**passes)
            self.assertTrue(orders)
            self.answer(orders, 0.01)
            started += len(orders)
            passes += 1
        self.assertGreater(passes, 1)

    def test_nothing_starts_while_all_orders_wait_for_their_answers(self):
        self.harness.submit("a1", step(8, 8), small_tasks(1000))
        first = self.plan()
        per_worker = {}
        for order in first:
            worker_id = order.allocation.worker_id
            per_worker[worker_id] = per_worker.get(worker_id, 0) + 1
        self.assertLessEqual(max(per_worker.values()), MIN_STARTS_PER_WORKER)
        self.assertEqual([], self.plan(ANSWER_SECONDS / 2))

    def test_orders_to_a_silent_worker_hold_up_others_for_a_short_time_only(self):
        self.harness.submit("a1", small_tasks(1000))
        self.plan()
        self.assertTrue(self.plan(2 * ANSWER_SECONDS))

    def test_orders_that_are_still_being_recorded_count(self):
        self.harness.submit("a1", small_tasks(1000))
        self.harness.plan()
        self.assertEqual([], self.plan(2 * ANSWER_SECONDS))

    def test_late_answers_of_a_worker_keep_its_limit_low(self):
        self.harness.submit("a1", small_tasks(1000))
        for _ in range(10):
            orders = self.plan()
            self.assertEqual(1, len({order.allocation.worker_id for order in orders}))
            self.assertLessEqual(len(orders), MIN_STARTS_PER_WORKER)
            self.answer(orders, 2 * TARGET_ANSWER_SECONDS)

    def test_delay_of_the_process_lowers_the_number_of_starts(self):
        self.harness.submit("a1", *(small_tasks(400, max_per_worker=50) for _ in range(8)))
        for _ in range(3):
            orders = self.plan()
            self.answer(orders, 0.01)
        self.assertGreater(len(orders), MIN_STARTS)
        for _ in range(10):
            self.harness.now += ANSWER_SECONDS
            self.harness.engine.record_delay(2 * TARGET_DELAY_SECONDS, self.harness.now)
        self.assertLessEqual(len(self.plan()), MIN_STARTS)

    def test_limit_that_is_not_used_does_not_grow(self):
        """Guards against a pass that plans thousands of starts after a long calm time."""
        for number in range(300):
            self.harness.submit(f"b{number}", small_tasks(4))
            self.answer(self.plan(), 0.01)
        self.harness.submit("a1", *(small_tasks(400, max_per_worker=50) for _ in range(8)))
        self.assertLessEqual(len(self.plan()), MIN_STARTS)

    def test_gang_larger_than_the_limits_starts_in_one_pass(self):
        self.harness.submit("a1", small_tasks(1000, gang=True))
        self.assertEqual(1000, len(self.plan()))

    def test_refused_orders_leave_room_for_others(self):
        self.harness.submit("a1", small_tasks(1000))
        for order in self.plan():
            self.harness.start(order, StartResult.INSUFFICIENT_CAPACITY)
        self.assertTrue(self.plan(1.0))

    def test_units_of_many_large_jobs_are_created_in_several_calls(self):
        engine = self.harness.engine
        for number in range(40):
            self.harness.submit(f"a{number}", small_tasks(1000))
        counts = [0]
        while not all(job.step_units for job in engine.jobs.values()):
            engine.create_due_units(self.harness.now, self.harness.now_ms)
            counts.append(sum(1 for job in engine.jobs.values() for _ in job.units()))
            created = counts[-1] - counts[-2]
            self.assertTrue(0 < created < MAX_NEW_UNITS + BLOCK_UNITS, counts)
        self.assertGreater(len(counts), 4)


class WaitingTasksTest(unittest.TestCase):
    """Many tasks wait for workers, and all of them fit."""

    JOBS = 12
    TASKS = 10_000

    def setUp(self):
        self.harness = EngineHarness(workers=8)
        self.jobs = [
            self.harness.submit(f"a{number}", StepSpec(self.TASKS, Resources(0, 2, 1)))
            for number in range(self.JOBS)
        ]

    def test_pass_costs_nothing_for_tasks_that_wait(self):
        """Guards against a leader that visits all waiting tasks in each pass."""
        with mock.patch.object(Unit, "__init__", autospec=True, side_effect=Unit.__init__) as made:
            for _ in range(5):
                self.assertTrue(self.harness.run_pass(0.1))
        self.assertLess(made.call_count, self.JOBS * self.TASKS / 10)

    def test_job_is_not_held_up_by_larger_ones_while_workers_are_free(self):
        """Guards against accepted jobs that stay queued behind thousands of other tasks."""
        for _ in range(2):
            self.harness.run_pass(0.1)
        self.assertEqual([], [job.id for job in self.jobs if not _count_runs(job)])

    def test_occurrences_that_wait_are_not_tried_one_by_one(self):
        """Guards against a pass of seconds where all occurrences of a scheduled job are due."""
        harness = EngineHarness(workers=8)
        tasks = StepSpec(1, Resources(0, 2, 1))
        job = harness.submit("a1", tasks, first_due_ms=1, interval_ms=1, occurrences=1000)
        harness.plan()
        find_workers = PoolCapacity.find_workers
        with mock.patch.object(
            PoolCapacity, "find_workers", autospec=True, side_effect=find_workers
        ) as tried:
            self.assertEqual([], harness.plan(0.1)[0])
        self.assertLess(tried.call_count, 10)
        for unit in list(job.active_units()):
            unit.end_task(0, EndCause.FAILED)
        self.assertTrue(harness.plan(1.0)[0])

    def test_full_workers_go_to_the_jobs_in_their_order(self):
        harness = EngineHarness(workers=2)
        first = harness.submit("first", step(100, 1), priority=0)
        second = harness.submit("second", step(100, 1), priority=2)
        harness.run_pass()
        harness.run_pass(1.0)
        self.assertEqual([16, 0], [_count_runs(first), _count_runs(second)])


if __name__ == "__main__":
    unittest.main()
