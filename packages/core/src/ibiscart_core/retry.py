"""
ibiscart_core.retry
~~~~~~~~~~~~~~~~~~~

Limits on repeated work: retry budget, full jitter, token bucket and circuit breaker.

The classes do no I/O; ``clock`` returns seconds of a monotonic clock.
"""

from enum import Enum

__all__ = ["BreakerState", "CircuitBreaker", "RetryBudget", "TokenBucket", "full_jitter"]

FAILURES_TO_OPEN = 5
OPEN_SECONDS = 1.0
RAMP_SECONDS = 5.0
RAMP_FIRST_SHARE = 0.1
BUDGET_SHARE = 0.1
BUDGET_RESERVE = 10.0


def full_jitter(attempt, rng, *, base=0.05, cap=1.0):
    """Returns a random delay in seconds before retry number ``attempt`` (from 0).

    The delay is uniform in [0, min(cap, base * 2**attempt)], so that clients that failed
    together do not return together.
    """
    return rng.uniform(0, min(cap, base * 2 ** min(attempt, 30)))


class RetryBudget:
    """Allows retries up to a share of the requests.

    Each request earns ``share`` of a retry; at most ``max_saved`` retries are kept, so that
    an outage after a quiet time causes no burst of retries.
    """

    __slots__ = ("_balance", "_max_saved", "_share")

    def __init__(self, share=BUDGET_SHARE, max_saved=BUDGET_RESERVE):
        self._share = share
        self._max_saved = max_saved
        self._balance = max_saved

    def record_request(self):
        """Counts one first attempt."""
        self._balance = min(self._max_saved, self._balance + self._share)

    def take(self):
        """Tells whether one retry is allowed, and counts it if so."""
        if self._balance < 1:
            return False
        self._balance -= 1
        return True


class TokenBucket:
    """Limits a rate; ``rate`` is tokens a second, ``burst`` the most tokens kept."""

    __slots__ = ("_burst", "_clock", "_rate", "_tokens", "_updated")

    def __init__(self, rate, burst, clock):
        self._rate = rate
        self._burst = burst
        self._clock = clock
        self._tokens = burst
        self._updated = clock()

    def take(self, *, reserve=0.0, share=1.0):
        """Takes one token, or returns the seconds until one may be available, 0 if taken.

        ``reserve`` is the part of the burst (0 to 1) that must stay for more urgent work.
        ``share`` scales the rate, and with it the tokens kept.
        """
        now = self._clock()
        rate = max(self._rate * share, 1e-9)
        burst = max(1.0, self._burst * share)
        self._tokens = min(burst, self._tokens + (now - self._updated) * rate)
        self._updated = now
        needed = 1 + reserve * (burst - 1)
        if self._tokens >= needed - 1e-9:
            self._tokens -= 1
            return 0.0
        return (needed - self._tokens) / rate


class BreakerState(Enum):
    """State of a circuit breaker."""

    CLOSED = "closed"
    OPEN = "open"
    HALF_OPEN = "half_open"


class CircuitBreaker:
    """Stops calls to a service after ``failures`` failures in a row.

    After ``open_seconds`` a single probe is admitted. When it succeeds, ``share()`` rises
    from 10 % to 100 % within ``ramp_seconds``, so that the waiting work of all clients
    does not overload the service again.
    """

    def __init__(
        self,
        clock,
        *,
        failures=FAILURES_TO_OPEN,
        open_seconds=OPEN_SECONDS,
        ramp_seconds=RAMP_SECONDS,
    ):
        self._clock = clock
        self._failures_to_open = failures
        self._open_seconds = open_seconds
        self._ramp_seconds = ramp_seconds
        self._state = BreakerState.CLOSED
        self._failures = 0
        self._opened = 0.0
        self._ramp_start = None
        self._probing = False

    @property
    def state(self):
        """Present ``BreakerState``."""
        if self._state is BreakerState.OPEN and self._clock() - self._opened >= self._open_seconds:
            self._state = BreakerState.HALF_OPEN
            self._probing = False
        return self._state

    def share(self):
        """Returns the share of the usual rate that may be used, 0.1 to 1."""
        if self._ramp_start is None:
            return 1.0
        passed = (self._clock() - self._ramp_start) / self._ramp_seconds
        if passed >= 1:
            self._ramp_start = None
            return 1.0
        return RAMP_FIRST_SHARE + (1 - RAMP_FIRST_SHARE) * passed

    def admit(self):
        """Tells whether a call may be sent; its end must be reported."""
        state = self.state
        if state is BreakerState.CLOSED:
            return True
        if state is BreakerState.HALF_OPEN and not self._probing:
            self._probing = True
            return True
        return False

    def record_success(self):
        """Reports that an admitted call got an answer."""
        self._failures = 0
        if self._state is BreakerState.HALF_OPEN:
            self._state = BreakerState.CLOSED
            self._ramp_start = self._clock()
        self._probing = False

    def record_failure(self):
        """Reports that an admitted call failed."""
        self._failures += 1
        if self._state is BreakerState.HALF_OPEN or (
            self._state is BreakerState.CLOSED and self._failures >= self._failures_to_open
        ):
            self._state = BreakerState.OPEN
            self._opened = self._clock()
            self._ramp_start = None
        self._probing = False

    def record_cancellation(self):
        """Reports that an admitted call was given up without a result."""
        self._probing = False
