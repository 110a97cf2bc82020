"""
ibiscart_core.workflow.window
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Flow control of start orders: limits those that have no answer yet.
"""

__all__ = ["StartWindow"]

# bounds below which the limits do not fall: with fewer orders in flight, the time of a round trip
# would limit the rate of starts
MIN_STARTS = 64
MIN_STARTS_PER_WORKER = 16
# an order that has no answer after this time has met an unreachable worker; its connection times
# out, so it no longer competes with other orders
ANSWER_SECONDS = 0.6
# longest answer time at which more orders may be in flight: later, an order without an answer is
# sent a second time
TARGET_ANSWER_SECONDS = 0.1
# longest delay of the process's own tasks at which more orders may be in flight: a fifth of the
# interval between two renewals of the leadership
TARGET_DELAY_SECONDS = 0.05
# factors on a limit after a round of answers in time, and after one that was late
GROWTH = 2.0
SHRINKAGE = 0.5
# share of a limit that must be in flight for the limit to grow
USED_SHARE = 0.5


class _Limit:
    """A limit that grows by at most ``GROWTH`` with each round of answers, down to ``minimum``."""

    __slots__ = ("_minimum", "_shrunk_at", "value")

    def __init__(self, minimum):
        self._minimum = minimum
        self._shrunk_at = float("-inf")
        self.value = minimum

    def grow(self):
        """Raises the limit after one answer in time."""
        self.value += GROWTH - 1

    def shrink(self, now):
        """Lowers the limit after a late answer, once for all answers of a round."""
        if now - self._shrunk_at >= ANSWER_SECONDS:
            self._shrunk_at = now
            self.value = max(self._minimum, self.value * SHRINKAGE)


class StartWindow:
    """Limits the start orders without an answer, in total and for each worker.

    The limit of a worker follows the time of its answers, the total limit follows the delay of the
    tasks of this process, so that a burst of starts delays neither its own orders nor other work.
    Times are in seconds of the monotonic clock.
    """

    def __init__(self):
        self._total = _Limit(MIN_STARTS)
        self._by_worker_id = {}
        self._orders = []
        self._in_flight = 0
        self._in_flight_by_worker_id = {}

    @property
    def full(self):
        """True if no further unit may start now."""
        return self._in_flight >= self._total.value

    @property
    def remaining(self):
        """Number of further orders that may be in flight now."""
        return max(0, int(self._total.value) - self._in_flight)

    @property
    def limit(self):
        """Total number of orders that may be in flight."""
        return int(self._total.value)

    def begin_pass(self, worker_ids, now):
        """Counts the orders that still wait for an answer; forgets the workers that have left."""
        self._orders = [
            order
            for order in self._orders
            if order.awaits_answer
            and (order.sent_at is None or now - order.sent_at < ANSWER_SECONDS)
        ]
        self._in_flight = 0
        self._in_flight_by_worker_id = {}
        for order in self._orders:
            self._count(order.allocation.worker_id, 1)
        for worker_id in self._by_worker_id.keys() - worker_ids:
            del self._by_worker_id[worker_id]

    def allows(self, worker_ids):
        """Returns True if the workers may get further orders now."""
        for worker_id in worker_ids:
            limit = self._by_worker_id.get(worker_id)
            maximum = limit.value if limit is not None else MIN_STARTS_PER_WORKER
            if self._in_flight_by_worker_id.get(worker_id, 0) >= maximum:
                return False
        return True

    def plan(self, worker_id, tasks):
        """Counts planned starts on a worker for the rest of the pass."""
        self._count(worker_id, tasks)

    def add(self, orders):
        """Adds the orders of a pass."""
        self._orders.extend(orders)

    def record_answer(self, order, now):
        """Applies the time that the answer to a ``StartOrder`` took."""
        if order.sent_at is None:
            return
        worker_id = order.allocation.worker_id
        limit = self._by_worker_id.get(worker_id)
        if limit is None:
            limit = self._by_worker_id[worker_id] = _Limit(MIN_STARTS_PER_WORKER)
        if now - order.sent_at <= TARGET_ANSWER_SECONDS:
            # a limit that was not used does not show how many orders may be in flight
            if self._in_flight_by_worker_id.get(worker_id, 0) >= limit.value * USED_SHARE:
                limit.grow()
            if self._in_flight >= self._total.value * USED_SHARE:
                self._total.grow()
        else:
            limit.shrink(now)

    def record_delay(self, seconds, now):
        """Applies the delay of the tasks of this process."""
        if seconds > TARGET_DELAY_SECONDS:
            self._total.shrink(now)

    def _count(self, worker_id, tasks):
        """Adds tasks to the numbers of starts in flight."""
        self._in_flight += tasks
        counts = self._in_flight_by_worker_id
        counts[worker_id] = counts.get(worker_id, 0) + tasks
