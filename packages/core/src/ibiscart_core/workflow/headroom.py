"""
ibiscart_core.workflow.headroom
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Capacity that is kept free for urgent work.
"""

from collections import deque

__all__ = ["Headroom"]

# period over which the peak of urgent work is taken; demand changes within about 15 s
WINDOW_SECONDS = 15.0
# largest share of a pool that is kept free; gangs of lower priority need the rest
MAX_SHARE = 0.25


class Headroom:
    """Keeps the difference between the recent peak and the current use of urgent work free.

    Stopping other work takes up to a second, which is longer than short urgent work can wait.
    """

    __slots__ = ("_peaks",)

    def __init__(self):
        self._peaks = deque()

    def needed(self, urgent_used, capacity, now):
        """Returns the number of accelerators to keep free in a pool.

        ``urgent_used`` is the number in use by urgent work at ``now``, ``capacity`` the number in
        the pool.
        """
        peaks = self._peaks
        while peaks and peaks[-1][1] <= urgent_used:
            peaks.pop()
        peaks.append((now, urgent_used))
        while peaks[0][0] < now - WINDOW_SECONDS:
            peaks.popleft()
        return min(peaks[0][1] - urgent_used, int(capacity * MAX_SHARE))
