"""Tests of the second copy of a call whose response is overdue."""

import functools
import unittest

import trio

from ibiscart_entry.coordination.hedge import MIN_DELAY_SECONDS, CallHedge
from tests.platform.deployment import run_virtual


class CallHedgeTest(unittest.TestCase):
    def play(self, *attempts, hedge=None):
        """Returns ((result, unanswered), attempts made, seconds) of one call.

        ``attempts`` has pairs (seconds until the attempt ends, its result); None is no answer.
        """
        made = 0

        async def attempt():
            nonlocal made
            made += 1
            seconds, result = attempts[made - 1]
            await trio.sleep(seconds)
            return result

        async def main():
            started_at = trio.current_time()
            outcome = await (hedge or CallHedge()).call(attempt, lambda result: result is not None)
            return outcome, made, trio.current_time() - started_at

        return run_virtual(main)

    def test_an_answered_call_is_made_once(self):
        self.assertEqual((("a", False), 1, 0.1), self.play((0.1, "a")))

    def test_an_overdue_call_is_made_again(self):
        outcome, made, seconds = self.play((0.6, None), (0.01, "b"))
        self.assertEqual((("b", True), 2), (outcome, made))
        self.assertAlmostEqual(MIN_DELAY_SECONDS + 0.01, seconds)

    def test_the_first_answer_counts(self):
        self.assertEqual(("a", True), self.play((0.2, "a"), (0.6, "b"))[0])

    def test_a_failure_before_the_delay_is_returned_at_once(self):
        self.assertEqual(((None, True), 1, 0.01), self.play((0.01, None)))

    def test_the_second_copy_outlives_a_failure_of_the_first(self):
        self.assertEqual(("b", True), self.play((0.3, None), (0.4, "b"))[0])

    def test_the_second_copy_is_made_by_its_own_function(self):
        made = []

        async def attempt(name, seconds, result):
            made.append(name)
            await trio.sleep(seconds)
            return result

        async def main():
            return await CallHedge().call(
                functools.partial(attempt, "first", 0.6, None),
                lambda result: result is not None,
                functools.partial(attempt, "repeat", 0.01, "b"),
            )

        self.assertEqual(("b", True), run_virtual(main))
        self.assertEqual(["first", "repeat"], made)

    def test_slow_answers_delay_the_second_copy(self):
        """Guards against twice the load on a leader that is slow to read the responses."""
        hedge = CallHedge()
        for _ in range(60):
            self.play((0.1, "a"), hedge=hedge)
        self.assertEqual(1, self.play((0.3, "a"), hedge=hedge)[1])


if __name__ == "__main__":
    unittest.main()
