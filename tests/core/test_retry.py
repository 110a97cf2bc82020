"""Tests of the limits that prevent retry storms: retry budget, jitter, token bucket and breaker."""

import random
import unittest

from ibiscart_core.retry import BreakerState, CircuitBreaker, RetryBudget, TokenBucket, full_jitter


class Clock:
    def __init__(self):
        self.now = 100.0

    def __call__(self):
        return self.now


class RetryTest(unittest.TestCase):
    def test_jitter_covers_the_whole_range_up_to_the_cap(self):
        """Clients that failed at the same time must not retry at the same time."""
        rng = random.Random(1)
        delays = [full_jitter(3, rng, base=0.1, cap=10) for _ in range(1000)]
        self.assertLess(min(delays), 0.02)
        self.assertTrue(0.78 < max(delays) <= 0.8)
        self.assertLessEqual(max(full_jitter(40, rng, cap=2) for _ in range(100)), 2)

    def test_retries_are_a_share_of_requests(self):
        """A retry of every request would double the load of a service that fails."""
        budget = RetryBudget(share=0.1, max_saved=5)
        allowed = 0
        for _ in range(1000):
            budget.record_request()
            allowed += budget.take()
        self.assertTrue(100 <= allowed <= 105, allowed)

    def test_saved_retries_are_limited_after_a_quiet_time(self):
        """Retries saved during hours without failures must not all be sent in one second."""
        budget = RetryBudget(share=0.1, max_saved=5)
        for _ in range(10_000):
            budget.record_request()
        self.assertEqual(sum(budget.take() for _ in range(100)), 5)


class TokenBucketTest(unittest.TestCase):
    def test_rate_and_burst_are_not_exceeded(self):
        """All entries share the store's rate limits, so none may exceed its part."""
        clock = Clock()
        bucket = TokenBucket(10, 20, clock)
        acquired = 0
        for _ in range(1000):
            acquired += bucket.take() == 0
            clock.now += 0.01
        self.assertTrue(119 <= acquired <= 121, acquired)

    def test_token_is_available_after_the_returned_delay(self):
        """A caller that sleeps for the returned time must then get its token."""
        clock = Clock()
        bucket = TokenBucket(3, 1, clock)
        self.assertEqual(bucket.take(), 0)
        for _ in range(50):
            clock.now += bucket.take()
            self.assertEqual(bucket.take(), 0)

    def test_reserve_is_left_to_urgent_work(self):
        """Snapshots must not use up the tokens that the next append needs."""
        clock = Clock()
        bucket = TokenBucket(10, 10, clock)
        low_priority_tokens = 0
        while bucket.take(reserve=0.5) == 0:
            low_priority_tokens += 1
        self.assertLessEqual(low_priority_tokens, 5)
        self.assertEqual(sum(bucket.take() == 0 for _ in range(5)), 5)


class CircuitBreakerTest(unittest.TestCase):
    def setUp(self):
        self.clock = Clock()
        self.breaker = CircuitBreaker(self.clock, open_seconds=2, ramp_seconds=10)

    def open(self):
        for _ in range(5):
            self.assertTrue(self.breaker.admit())
            self.breaker.record_failure()

    def test_opens_after_five_failures_in_a_row(self):
        """Isolated failures must not open the breaker of a service that works."""
        for _ in range(20):
            for _ in range(4):
                self.breaker.record_failure()
            self.breaker.record_success()
        self.assertTrue(self.breaker.admit())
        self.open()
        self.assertIs(self.breaker.state, BreakerState.OPEN)
        self.assertFalse(self.breaker.admit())

    def test_one_probe_at_a_time(self):
        """If all waiting calls were sent at once, a recovering service would fail again."""
        self.open()
        self.clock.now += 2
        self.assertEqual([self.breaker.admit() for _ in range(5)], [True] + [False] * 4)
        self.breaker.record_failure()
        self.assertFalse(self.breaker.admit())
        self.clock.now += 2
        self.assertTrue(self.breaker.admit())

    def test_another_probe_is_admitted_after_a_cancelled_one(self):
        """A probe without a result must not block all further probes."""
        self.open()
        self.clock.now += 2
        self.assertTrue(self.breaker.admit())
        self.breaker.record_cancellation()
        self.assertTrue(self.breaker.admit())

    def test_rate_ramps_up_from_a_tenth_after_recovery(self):
        """The full call rate right after an outage would overload the service again."""
        self.open()
        self.clock.now += 2
        self.breaker.admit()
        self.breaker.record_success()
        self.assertTrue(self.breaker.admit())
        self.assertAlmostEqual(self.breaker.share(), 0.1)
        self.clock.now += 5
        self.assertAlmostEqual(self.breaker.share(), 0.55)
        self.clock.now += 5
        self.assertEqual(self.breaker.share(), 1)


if __name__ == "__main__":
    unittest.main()
