"""
ibiscart_entry.coordination.pause_monitor
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Reports pauses of this process: it was stopped, its machine was suspended, or it got no processor.
"""

import logging
import math

import trio

__all__ = ["PauseMonitor"]

LOG = logging.getLogger("ibiscart.process")
# interval at which the clock is read, and shortest pause that is reported; callers wait for 3 s
INTERVAL_SECONDS = 0.5
MIN_PAUSE_SECONDS = 0.5
# after a pause of this length, requests that have waited in the sockets are too old to be accepted;
# a quarter of the time for which a cancellation keeps out a job that is not stored yet
LONG_PAUSE_SECONDS = 30.0
# time after such a pause in which they are read
BACKLOG_SECONDS = 5.0


class PauseMonitor:
    """Logs and counts each time at which none of the process's tasks ran.

    What arrived meanwhile is read after the pause, although its sender may have left by then.
    ``clock`` returns seconds and goes on while the machine is suspended.
    """

    def __init__(self, metrics, clock):
        self._metrics = metrics
        self._clock = clock
        self._slept_at = clock()
        self._backlog_until = -math.inf

    @property
    def reads_backlog(self):
        """Whether the requests that are read may have arrived before a long pause."""
        # a pause that has ended just now is not recorded before ``run`` goes on
        return self._clock() < self._backlog_until or self._overdue_seconds >= LONG_PAUSE_SECONDS

    @property
    def _overdue_seconds(self):
        """Time for which ``run`` should have gone on."""
        return self._clock() - self._slept_at - INTERVAL_SECONDS

    async def run(self):
        """Reports pauses until cancelled."""
        while True:
            self._slept_at = self._clock()
            await trio.sleep(INTERVAL_SECONDS)
            pause_seconds = self._overdue_seconds
            if pause_seconds >= LONG_PAUSE_SECONDS:
                self._backlog_until = self._clock() + BACKLOG_SECONDS
            if pause_seconds >= MIN_PAUSE_SECONDS:
                self._metrics.observe("process_pause_seconds", "", pause_seconds)
                LOG.warning("The process was paused.", extra={"seconds": round(pause_seconds, 3)})
