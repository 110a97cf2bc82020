"""An unexpected error ends the task in which it occurs and nothing else."""

import itertools
import unittest

import trio
import trio.testing

from ibiscart_entry.isolation import (
    FIRST_PAUSE_SECONDS,
    MAX_PAUSE_SECONDS,
    run_isolated,
    run_supervised,
)
from ibiscart_entry.metric import Metrics


class ExpectedError(Exception):
    pass


class IsolationTest(unittest.TestCase):
    def setUp(self):
        self.metrics = Metrics()

    def run_function(self, function, **options):
        async def main():
            return await run_isolated(self.metrics, "worker", "w1", function, **options)

        return trio.run(main)

    def test_unexpected_error_is_logged_with_its_task_and_counted(self):
        async def fail():
            raise OverflowError("too large")

        with self.assertLogs("ibiscart.isolation", "ERROR") as logs:
            self.assertFalse(self.run_function(fail))
        self.assertEqual(logs.records[0].task_name, "w1")
        self.assertEqual(logs.records[0].error, "OverflowError: too large")
        self.assertIsNotNone(logs.records[0].exc_info)
        self.assertEqual(self.metrics.value("task_errors", "worker"), 1)

    def test_passed_error_is_raised_and_not_counted(self):
        async def fail():
            raise ExpectedError

        with self.assertRaises(ExpectedError):
            self.run_function(fail, passed=(ExpectedError,))
        self.assertEqual(self.metrics.value("task_errors", "worker"), 0)

    def test_passed_error_is_raised_from_a_group_that_also_has_an_unexpected_one(self):
        async def fail():
            raise ExceptionGroup("", [ExpectedError(), ValueError("odd")])

        with self.assertLogs("ibiscart.isolation", "ERROR"), self.assertRaises(ExceptionGroup) as c:
            self.run_function(fail, passed=(ExpectedError,))
        self.assertEqual([type(error) for error in c.exception.exceptions], [ExpectedError])
        self.assertEqual(self.metrics.value("task_errors", "worker"), 1)

    def test_cancellation_beside_an_error_still_cancels(self):
        async def fail():
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._raise_when_cancelled)
                await trio.sleep_forever()

        async def main():
            with trio.move_on_after(0) as scope:
                await run_isolated(self.metrics, "worker", "w1", fail)
            return scope.cancelled_caught

        with self.assertLogs("ibiscart.isolation", "ERROR"):
            self.assertTrue(trio.run(main))
        self.assertEqual(self.metrics.value("task_errors", "worker"), 1)

    async def _raise_when_cancelled(self):
        try:
            await trio.sleep_forever()
        finally:
            raise ValueError("odd")

    def test_component_starts_again_after_growing_pauses_until_it_ends_without_error(self):
        starts = []

        async def fail_often():
            starts.append(trio.current_time())
            if len(starts) == 9:
                # an error after a long run is not another one of the same series
                await trio.sleep(MAX_PAUSE_SECONDS + 1)
            if len(starts) < 11:
                raise ExceptionGroup("", [ValueError("odd")])

        async def main():
            await run_supervised(self.metrics, "announcer", fail_often)

        with self.assertLogs("ibiscart.isolation", "ERROR"):
            trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
        pauses = [round(after - before, 6) for before, after in itertools.pairwise(starts)]
        longest, first = MAX_PAUSE_SECONDS, FIRST_PAUSE_SECONDS
        doubled = [min(longest, first * 2**count) for count in range(8)]
        self.assertEqual(pauses, [*doubled, longest + 1 + first, 2 * first])
        self.assertEqual(self.metrics.value("task_errors", "component"), 10)
