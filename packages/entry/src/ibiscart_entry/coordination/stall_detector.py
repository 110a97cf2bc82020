"""
ibiscart_entry.coordination.stall_detector
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Distinguishes a store that has stopped responding from one that is slow.
"""

import trio

__all__ = ["StallDetector"]

# shortest time without a response after which the store counts as stalled; a store that turns slow
# takes up to 70 times its usual 7 ms for the first late response
MIN_TIMEOUT_SECONDS = 0.6
# the store counts as stalled after this many times the expected latency of a response
TIMEOUT_LATENCIES = 4.0
# upper bound of the time without a response after which the store counts as stalled; no client
# waits longer for a response, so that a longer latency is never measured
MAX_TIMEOUT_SECONDS = 2.0
# expected latency before the first measurement: that of a response under normal load
INITIAL_LATENCY_SECONDS = 0.01
# weight of the newest sample in the moving average, which adapts within about ten responses
SAMPLE_WEIGHT = 0.2


class StallDetector:
    """Tracks how long calls have been open without any response.

    ``clock`` returns seconds. ``latency_seconds`` is the expected latency of a response.
    """

    def __init__(self, clock=trio.current_time):
        self._clock = clock
        self._open_calls = 0
        self._waiting_since = None
        self.latency_seconds = INITIAL_LATENCY_SECONDS

    @property
    def silent_seconds(self):
        """Returns the seconds for which calls have been open without any response."""
        return 0.0 if self._waiting_since is None else self._clock() - self._waiting_since

    @property
    def stalled(self):
        """Returns True if a response is so long overdue that the store counts as lost."""
        timeout = max(MIN_TIMEOUT_SECONDS, TIMEOUT_LATENCIES * self.latency_seconds)
        return self.silent_seconds > min(timeout, MAX_TIMEOUT_SECONDS)

    def begin_call(self):
        """Records that a call was sent."""
        self._open_calls += 1
        if self._waiting_since is None:
            self._waiting_since = self._clock()

    def end_call(self):
        """Records that a call got a response or was abandoned."""
        self._open_calls -= 1

    def record_response(self, sent_at):
        """Records the response to a call that was sent at ``sent_at`` in clock seconds.

        While calls are open, the response to a call that was sent before the wait began is
        ignored: it does not show that the store responds to the open calls as well.
        """
        if not self._open_calls:
            self._waiting_since = None
        elif self._waiting_since is not None and sent_at >= self._waiting_since:
            self._waiting_since = self._clock()

    def record_latency(self, seconds):
        """Updates ``latency_seconds``: at once if it rises, by a moving average if it falls."""
        smoothed = self.latency_seconds + SAMPLE_WEIGHT * (seconds - self.latency_seconds)
        self.latency_seconds = max(seconds, smoothed)
