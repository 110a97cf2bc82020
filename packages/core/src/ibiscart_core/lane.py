"""
ibiscart_core.lane
~~~~~~~~~~~~~~~~~~

Queue of requests with two lanes and weighted fair queueing between client accounts.
"""

from collections import deque
from enum import Enum

__all__ = ["Lane", "LaneQueue"]

# a long request that has waited this multiple of its expected service time, and at least
# ``AGEING_MIN_SECONDS``, is served before short requests
AGEING_FACTOR = 10
AGEING_MIN_SECONDS = 5.0


class Lane(Enum):
    """Lane of a request, chosen by its expected service time."""

    SHORT = "short"
    LONG = "long"


class LaneQueue:
    """Queued requests of all client accounts.

    Items have ``account``, ``kind`` and ``enqueued_at``. ``weight(account)`` returns the
    weight of an account, ``expected(account, kind)`` the expected service time in seconds and
    ``clock()`` the present time in seconds. An item whose expected time exceeds ``long_seconds``
    belongs to the long lane; the lane is chosen when the item is picked, from the latest estimate.

    Within a lane, accounts are served by start-time fair queueing: the start tag of an item is
    the larger of the lane's virtual time and the finish tag of the account's previous item, and
    the finish tag of the item is 1 / weight later.
    """

    def __init__(self, clock, weight, expected, long_seconds):
        self._clock = clock
        self._weight = weight
        self._expected = expected
        self._long_seconds = long_seconds
        self._queues = {}
        self._finish_tags = {lane: {} for lane in Lane}
        self._virtual_times = dict.fromkeys(Lane, 0.0)
        self._count = 0

    def __len__(self):
        return self._count

    def push(self, item):
        """Adds an item; one that is older than the head of its queue goes to the front."""
        queue = self._queues.setdefault((item.account, item.kind), deque())
        if queue and item.enqueued_at < queue[0].enqueued_at:
            queue.appendleft(item)
        else:
            queue.append(item)
        self._count += 1

    def remove(self, item):
        """Removes a queued item; returns False if it is no longer queued."""
        queue = self._queues.get((item.account, item.kind), ())
        if item not in queue:
            return False
        queue.remove(item)
        self._after_removal((item.account, item.kind))
        return True

    def waiting_kinds(self):
        """Returns the (account, kind) pairs that have queued items."""
        return list(self._queues)

    def lane(self, account, kind):
        """Returns the lane of a kind according to its expected service time."""
        long = self._expected(account, kind) > self._long_seconds
        return Lane.LONG if long else Lane.SHORT

    def pick(self, lanes, allowed):
        """Removes the next item of an account that may start one; returns (item, lane) or None.

        ``lanes`` are the lanes with a free slot; ``allowed(account)`` returns True if the
        account may start another request.
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
            if lane is Lane.LONG and self._is_aged(head):
                if aged is None or head.enqueued_at < aged.enqueued_at:
                    aged = head
        if aged is not None:
            return self._dequeue(aged, Lane.LONG)
        for lane in Lane:
            if heads.get(lane):
                return self._dequeue(self._next_by_weight(lane, heads[lane]), lane)
        return None

    def _is_aged(self, item):
        """Returns True if a long request has waited so long that it precedes short requests."""
        expected = self._expected(item.account, item.kind)
        age_limit = max(AGEING_MIN_SECONDS, AGEING_FACTOR * expected)
        return self._clock() - item.enqueued_at >= age_limit

    def _next_by_weight(self, lane, heads):
        """Returns the oldest item of the account with the smallest start tag."""
        finish_tags = self._finish_tags[lane]
        account = min(
            heads, key=lambda a: (max(finish_tags.get(a, 0.0), self._virtual_times[lane]), a)
        )
        return heads[account]

    def _dequeue(self, item, lane):
        """Removes an item from its queue, charges its account and returns (item, lane)."""
        # an account that was idle starts at the virtual time and gains no credit for the idle time
        start_tag = max(self._finish_tags[lane].get(item.account, 0.0), self._virtual_times[lane])
        self._finish_tags[lane][item.account] = start_tag + 1 / max(1, self._weight(item.account))
        self._virtual_times[lane] = start_tag
        queue = self._queues[(item.account, item.kind)]
        queue.remove(item)
        self._after_removal((item.account, item.kind))
        return item, lane

    def _after_removal(self, key):
        """Counts a removal; resets the tags of both lanes once no item is queued."""
        self._count -= 1
        if not self._queues[key]:
            del self._queues[key]
        if not self._count:
            for lane in Lane:
                self._finish_tags[lane].clear()
                self._virtual_times[lane] = 0.0
