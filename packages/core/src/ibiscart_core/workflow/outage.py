"""
ibiscart_core.workflow.outage
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Decides what a caller's request gets while the store does not answer, and when it may be sent.

Answers the load of an outage of seconds in which all callers go on sending: each has a deadline of
a few seconds and a few retries, and a request that was sent to the store may take effect later.
"""

import bisect
import itertools
import math
from enum import Enum

__all__ = ["Action", "Decision", "OutagePolicy", "ReleaseQueue", "StoreCondition"]

# a write is sent only if the store answered something within this time, or within the usual
# latency if that is longer: the fewer milliseconds since the last answer, the fewer writes meet a
# store that has just stopped answering, and each of these has an unknown outcome
MAX_ANSWER_AGE_SECONDS = 0.05
# calls have been open for this many times the usual latency, and at least for the minimum, before
# requests are held; both are far below the limits at which the store counts as lost
OVERDUE_LATENCIES = 4.0
MIN_OVERDUE_SECONDS = 0.05
# time that a request needs once it is released: its write and the response to the caller; the
# upper bound keeps one late answer of the store from counting as its usual latency
MIN_SERVICE_SECONDS = 0.05
MAX_SERVICE_SECONDS = 0.5
SERVICE_LATENCIES = 2.0
# an outage of age t ends within the next second with a probability of about 1 / (t + 1), if nothing
# else is known of it; a last try is held only while that is a tenth or more
MAX_HELD_OUTAGE_SECONDS = 9.0
# Retry-After in whole seconds, as HTTP has it; the upper bound is that of a long outage
MIN_RETRY_SECONDS = 1
MAX_RETRY_SECONDS = 5
# times that a refused caller can come back before its deadline, if it has over a second for each
MIN_RETURNS = 3


class Action(Enum):
    """What happens to a request."""

    SEND = "send"
    HOLD = "hold"
    REFUSE = "refuse"


class Decision:
    """What happens to a request, with the reason for logs and metrics.

    ``seconds`` is how long a request is held at most, or the Retry-After of a refusal.
    """

    __slots__ = ("action", "reason", "seconds")

    def __init__(self, action, reason, seconds=0.0):
        self.action = action
        self.reason = reason
        self.seconds = seconds


class StoreCondition:
    """What an entry knows of the store at one moment; all times are in seconds.

    ``answer_age`` is the time since the last answer, ``silence`` how long calls have been open
    without one, and ``latency`` the usual time of an answer. ``outage_age`` is the time since the
    store was lost, None while it counts as reachable.
    """

    __slots__ = ("answer_age", "latency", "outage_age", "silence")

    def __init__(self, answer_age, silence, latency, outage_age=None):
        self.answer_age = answer_age
        self.silence = silence
        self.latency = latency
        self.outage_age = outage_age

    @property
    def overdue(self):
        """True if an answer takes longer than usual."""
        return self.silence > max(MIN_OVERDUE_SECONDS, OVERDUE_LATENCIES * self.latency)

    @property
    def confirmed(self):
        """True if the store answered so recently that a write may be sent."""
        return self.answer_age <= max(MAX_ANSWER_AGE_SECONDS, self.latency)


class OutagePolicy:
    """Decides on one request at a time; ``rng`` spreads the return of refused callers."""

    def __init__(self, rng):
        self._rng = rng

    def decide(self, condition, remaining_seconds, held_seconds=0.0, *, write=True):
        """Returns the ``Decision`` on a request that has not been sent to the store.

        ``remaining_seconds`` is the time until the caller's deadline, ``held_seconds`` for how long
        the request has been held. A read is harmless if the store does not answer it, so it needs
        no recent answer.
        """
        lost = condition.outage_age is not None
        if not lost and not condition.overdue and (condition.confirmed or not write):
            return Decision(Action.SEND, "answering")
        usable_seconds = remaining_seconds - self._service_seconds(condition)
        retry_seconds = self.retry_seconds(condition, usable_seconds)
        # a caller that is refused halfway can still try another entry
        patience_seconds = min(usable_seconds, (remaining_seconds - held_seconds) / 2)
        if patience_seconds <= 0:
            return Decision(Action.REFUSE, "held", retry_seconds)
        if lost and retry_seconds < usable_seconds:
            return Decision(Action.REFUSE, "store_lost", retry_seconds)
        if lost and condition.outage_age > MAX_HELD_OUTAGE_SECONDS:
            return Decision(Action.REFUSE, "long_outage", retry_seconds)
        if lost:
            return Decision(Action.HOLD, "last_try", patience_seconds)
        reason = "overdue" if condition.overdue else "unconfirmed"
        return Decision(Action.HOLD, reason, patience_seconds)

    def retry_seconds(self, condition, usable_seconds):
        """Returns the whole seconds after which a refused caller should come back.

        They grow with the age of the outage, since a long outage is expected to last longer, and
        are drawn at random so that callers do not all return at once. A caller keeps the time for
        ``MIN_RETURNS`` returns.
        """
        longest = min(
            MAX_RETRY_SECONDS,
            math.ceil(condition.outage_age or 0.0),
            math.floor(usable_seconds / MIN_RETURNS),
        )
        return self._rng.randint(MIN_RETRY_SECONDS, max(MIN_RETRY_SECONDS, longest))

    def _service_seconds(self, condition):
        """Returns the time that a request needs after its release."""
        return min(MAX_SERVICE_SECONDS, MIN_SERVICE_SECONDS + SERVICE_LATENCIES * condition.latency)


class ReleaseQueue:
    """Held writes in the order of their release: queue priority, then the nearest deadline.

    Times are in seconds of one monotonic clock.
    """

    def __init__(self):
        self._tickets = []
        self._numbers = itertools.count()
        self._next_release_at = -math.inf

    def __len__(self):
        return len(self._tickets)

    def add(self, priority, deadline):
        """Adds a request; returns the ticket that identifies it."""
        ticket = (priority, deadline, next(self._numbers))
        bisect.insort(self._tickets, ticket)
        return ticket

    def remove(self, ticket):
        """Removes a request that is released, refused or given up on by its caller."""
        self._tickets.remove(ticket)

    def wait_seconds(self, ticket, now):
        """Returns the seconds until a request may be released, None while others come first."""
        if self._tickets[0] != ticket:
            return None
        return max(0.0, self._next_release_at - now)

    def record_release(self, now, interval_seconds):
        """Records that a request is sent now; the next one follows ``interval_seconds`` later."""
        self._next_release_at = now + interval_seconds
