"""Tests that a silent store is distinguished from a slow one."""

import unittest

from ibiscart_entry.coordination.silence import Silence


class SilenceTest(unittest.TestCase):
    def setUp(self):
        self.now = 0.0
        self.silence = Silence(lambda: self.now)

    def test_call_without_an_answer_is_noticed(self):
        self.silence.begin()
        self.now = 0.5
        self.assertFalse(self.silence.lasting)
        self.now = 0.7
        self.assertTrue(self.silence.lasting)

    def test_silence_outlasts_the_calls_that_were_given_up(self):
        # with no call open any more the store counted as answering
        self.silence.begin()
        self.now = 0.7
        self.silence.end()
        self.assertTrue(self.silence.lasting)

    def test_answer_ends_it(self):
        self.silence.begin()
        self.now = 0.7
        self.silence.end()
        self.silence.answer(0.0)
        self.assertFalse(self.silence.lasting)

    def test_answer_to_an_earlier_call_tells_nothing_of_a_later_one(self):
        # the store still answered a call that it held when it fell silent for all new ones
        self.now = 0.2
        self.silence.begin()
        self.now = 0.7
        self.silence.answer(0.0)
        self.now = 0.9
        self.assertTrue(self.silence.lasting)

    def test_patience_follows_the_usual_answers(self):
        # a store 50 times slower than usual was given up between two of its answers
        self.silence.learn(0.4)
        self.silence.begin()
        self.now = 1.5
        self.assertFalse(self.silence.lasting)
        self.now = 1.7
        self.assertTrue(self.silence.lasting)

    def test_patience_is_bounded(self):
        self.silence.learn(10.0)
        self.silence.begin()
        self.now = 2.1
        self.assertTrue(self.silence.lasting)


if __name__ == "__main__":
    unittest.main()
