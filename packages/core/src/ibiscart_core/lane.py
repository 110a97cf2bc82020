"""
ibiscart_core.lane
~~~~~~~~~~~~~~~~~~

Queue of short requests with two lanes, in which client accounts take turns by weight.
"""

from collections import deque
from enum import Enum

__all__ = ["Lane", "LaneQueue"]

# a long request that has waited this many times its estimate goes before short ones
AGEING_FACTOR = 10
AGEING_MIN_SECONDS = 5.0


class Lane(Enum):
    """Lane of a request, by its expected service time."""

    SHORT = "short"
    LONG = "long"


class LaneQueue:
    """Waiting requests of all client accounts.

    Items have ``account``, ``kind`` and ``enqueued_at``. ``weight`` maps an account to its
    weight, ``expected`` maps (account, kind) to seconds. The lane is decided when an item is
    picked, so that what was learned while it waited counts. ``clock`` returns seconds.
    """

    def __init__(self, clock, weight, expected, long_seconds):
        self._clock = clock
        self._weight = weight
        self._expected = expected
        self._long_seconds = long_seconds
        self._queues = {}
        self._turns = {lane: {} for lane in Lane}
        self._now = dict.fromkeys(Lane, 0.0)
        self._count = 0

    def __len__(self):
        return self._count

    def push(self, item):
        """Adds a waiting item; one that waited before goes to the front."""
        queue = self._queues.setdefault((item.account, item.kind), deque())
        if queue and item.enqueued_at < queue[0].enqueued_at:
            queue.appendleft(item)
        else:
            queue.append(item)
        self._count += 1

    def remove(self, item):
        """Takes back an item; returns False when it was picked before."""
        queue = self._queues.get((item.account, item.kind), ())
        if item not in queue:
            return False
        queue.remove(item)
        self._removed((item.account, item.kind))
        return True

    def waiting_kinds(self):
        """Returns the (account, kind) pairs with waiting items."""
        return list(self._queues)

    def lane(self, account, kind):
        """Returns the lane of a kind as known at present."""
        long = self._expected(account, kind) > self._long_seconds
        return Lane.LONG if long else Lane.SHORT

    def pick(self, lanes, allowed):
        """Removes and returns the next item as (item, lane), or None.

        ``lanes`` are those with a free slot; ``allowed`` tells whether an account may start
        another request.
        """
        heads = {lane: {} for lane in lanes}
        aged = None
        for (account, kind), queue in self._queues.items():
            lane = self.lane(account, kind)
            if lane not in heads or not allowed(account):
                continue
            head = queue[0]
            best = heads[lane].get(account)
            if best is None or head.enqueued_at < best.enqueued_at:
                heads[lane][account] = head
            if lane is Lane.LONG and self._has_aged(head):
                if aged is None or head.enqueued_at < aged.enqueued_at:
                    aged = head
        if aged is not None:
            return self._take(aged, Lane.LONG)
        for lane in Lane:
            if heads.get(lane):
                return self._take(self._next_turn(lane, heads[lane]), lane)
        return None

    def _has_aged(self, item):
        expected = self._expected(item.account, item.kind)
        bound = max(AGEING_MIN_SECONDS, AGEING_FACTOR * expected)
        return self._clock() - item.enqueued_at >= bound

    def _next_turn(self, lane, heads):
        turns = self._turns[lane]
        account = min(heads, key=lambda a: (max(turns.get(a, 0.0), self._now[lane]), a))
        return heads[account]

    def _take(self, item, lane):
        # an account that was idle starts at the present turn and saves up nothing
        turn = max(self._turns[lane].get(item.account, 0.0), self._now[lane])
        self._turns[lane][item.account] = turn + 1 / max(1, self._weight(item.account))
        self._now[lane] = turn
        queue = self._queues[(item.account, item.kind)]
        queue.remove(item)
        self._removed((item.account, item.kind))
        return item, lane

    def _removed(self, key):
        self._count -= 1
        if not self._queues[key]:
            del self._queues[key]
        if not self._count:
            for lane in Lane:
                self._turns[lane].clear()
                self._now[lane] = 0.0
