"""
ibiscart_core.retry
~~~~~~~~~~~~~~~~~~~

Limits on retries and call rates: retry budget, full jitter, token bucket and circuit breaker.

The classes do no I/O; ``clock`` is a callable that returns the seconds of a monotonic clock.
"""

from enum import Enum

__all__ = ["BreakerState", "CircuitBreaker", "RetryBudget", "TokenBucket", "full_jitter"]

FAILURE_THRESHOLD = 5
OPEN_SECONDS = 1.0
RAMP_SECONDS = 5.0
RAMP_INITIAL_SHARE = 0.1
RETRY_SHARE = 0.1
MAX_SAVED_RETRIES = 10.0


def full_jitter(attempt, rng, *, base=0.05, cap=1.0):
    """Returns a random delay in seconds before retry number ``attempt`` (from 0).

    The delay is uniform in [0, min(cap, base * 2**attempt)], so that clients that failed at
    the same time do not retry at the same time. ``base`` and ``cap`` are in seconds.
    """
    return rng.uniform(0, min(cap, base * 2 ** min(attempt, 30)))


class RetryBudget:
    """Limits retries to a share of the requests.

    Each request adds ``share`` of a retry to the balance. The balance is at most ``max_saved``
    retries, so that an outage after a long time without retries causes no burst of retries.
    """

    __slots__ = ("_balance", "_max_saved", "_share")

    def __init__(self, share=RETRY_SHARE, max_saved=MAX_SAVED_RETRIES):
        self._share = share
        self._max_saved = max_saved
        self._balance = max_saved

    def record_request(self):
        """Adds the share of a retry that the first attempt of a request earns."""
        self._balance = min(self._max_saved, self._balance + self._share)

    def take(self):
        """Returns True and deducts one retry if the balance allows it, else returns False."""
        if self._balance < 1:
            return False
        self._balance -= 1
        return True


class TokenBucket:
    """Limits a rate to ``rate`` tokens per second, with at most ``burst`` tokens saved."""

    __slots__ = ("_burst", "_clock", "_rate", "_tokens", "_updated_at")

    def __init__(self, rate, burst, clock):
        self._rate = rate
        self._burst = burst
        self._clock = clock
        self._tokens = burst
        self._updated_at = clock()

    def take(self, *, reserve=0.0, share=1.0):
        """Takes one token and returns 0, or returns the seconds until a token may be free.

        ``reserve`` is the part of the burst (0 to 1) that is left for more urgent work.
        ``share`` scales the rate and the burst.
        """
        now = self._clock()
        rate = max(self._rate * share, 1e-9)
        burst = max(1.0, self._burst * share)
        self._tokens = min(burst, self._tokens + (now - self._updated_at) * rate)
        self._updated_at = now
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
    """Blocks calls to a service after ``failures`` consecutive failures.

    After ``open_seconds`` a single probe is admitted. After its success, ``share()`` rises
    from 10 % to 100 % within ``ramp_seconds``, so that the queued calls of all clients do
    not overload the service again.
    """

    def __init__(
        self,
        clock,
        *,
        failures=FAILURE_THRESHOLD,
        open_seconds=OPEN_SECONDS,
        ramp_seconds=RAMP_SECONDS,
    ):
        self._clock = clock
        self._failure_threshold = failures
        self._open_seconds = open_seconds
        self._ramp_seconds = ramp_seconds
        self._state = BreakerState.CLOSED
        self._failures = 0
        self._opened_at = 0.0
        self._ramp_started_at = None
        self._probe_in_flight = False

    @property
    def state(self):
        """Current ``BreakerState``."""
        if (
            self._state is BreakerState.OPEN
            and self._clock() - self._opened_at >= self._open_seconds
        ):
            self._state = BreakerState.HALF_OPEN
            self._probe_in_flight = False
        return self._state

    def share(self):
        """Returns the share of the normal call rate that is allowed, from 0.1 to 1."""
        if self._ramp_started_at is None:
            return 1.0
        progress = (self._clock() - self._ramp_started_at) / self._ramp_seconds
        if progress >= 1:
            self._ramp_started_at = None
            return 1.0
        return RAMP_INITIAL_SHARE + (1 - RAMP_INITIAL_SHARE) * progress

    def admit(self):
        """Returns True if a call may be sent; the caller must then record its outcome."""
        state = self.state
        if state is BreakerState.CLOSED:
            return True
        if state is BreakerState.HALF_OPEN and not self._probe_in_flight:
            self._probe_in_flight = True
            return True
        return False

    def record_success(self):
        """Records that an admitted call was answered."""
        self._failures = 0
        if self._state is BreakerState.HALF_OPEN:
            self._state = BreakerState.CLOSED
            self._ramp_started_at = self._clock()
        self._probe_in_flight = False

    def record_failure(self):
        """Records that an admitted call failed."""
        self._failures += 1
        if self._state is BreakerState.HALF_OPEN or (
            self._state is BreakerState.CLOSED and self._failures >= self._failure_threshold
        ):
            self._state = BreakerState.OPEN
            self._opened_at = self._clock()
            self._ramp_started_at = None
        self._probe_in_flight = False

    def record_cancellation(self):
        """Records that an admitted call was cancelled and has no result."""
        self._probe_in_flight = False
