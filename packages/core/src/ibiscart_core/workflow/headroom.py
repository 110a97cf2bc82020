"""
ibiscart_core.workflow.headroom
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Capacity that is kept free for urgent work.
"""

from collections import deque

__all__ = ["Headroom"]

# period over which the peak use by urgent work is taken; urgent demand changes within about 15 s
WINDOW_SECONDS = 15.0
# largest share of a pool's accelerators that is kept free; gangs of lower priority need the rest
MAX_SHARE = 0.25


class Headroom:
    """Calculates how many accelerators of a pool are kept free for urgent work.

    These are the recent peak minus the current use by urgent work. Stopping other work takes up to
    a second, which is longer than short urgent work can wait.
    """

    __slots__ = ("_peaks",)

    def __init__(self):
        # pairs of (time, accelerators in use) in order of time, with decreasing use
        self._peaks = deque()

    def needed(self, urgent_used, capacity, now):
        """Returns the number of accelerators to keep free in a pool.

        ``urgent_used`` is the number of accelerators that urgent work uses at ``now``, in seconds
        of the monotonic clock, ``capacity`` the number of accelerators in the pool.
        """
        peaks = self._peaks
        while peaks and peaks[-1][1] <= urgent_used:
            peaks.pop()
        peaks.append((now, urgent_used))
        while peaks[0][0] < now - WINDOW_SECONDS:
            peaks.popleft()
        return min(peaks[0][1] - urgent_used, int(capacity * MAX_SHARE))
