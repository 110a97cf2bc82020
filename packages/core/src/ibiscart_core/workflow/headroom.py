"""
ibiscart_core.workflow.headroom
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

How much room is kept free for urgent work.
"""

from collections import deque

__all__ = ["Headroom"]

# the peak of urgent work is looked for over so long; demand swings within some 15 s
WINDOW_SECONDS = 15.0
# at most this share of a pool is kept free; gangs of lower priority need the rest
LARGEST_SHARE = 0.25


class Headroom:
    """Keeps free what urgent work used at its recent peak beyond what it uses now.

    Stopping other work takes up to a second, which is more than short urgent work can wait.
    """

    __slots__ = ("_peaks",)

    def __init__(self):
        self._peaks = deque()

    def needed(self, used, capacity, now):
        """Returns accelerators to keep free; ``used`` are those of urgent work at ``now``."""
        peaks = self._peaks
        while peaks and peaks[-1][1] <= used:
            peaks.pop()
        peaks.append((now, used))
        while peaks[0][0] < now - WINDOW_SECONDS:
            peaks.popleft()
        return min(peaks[0][1] - used, int(capacity * LARGEST_SHARE))
