"""
ibiscart_entry.coordination.pause_monitor
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Reports pauses of this process: it was stopped, its machine was suspended, or it got no processor.
"""

import logging

import trio

__all__ = ["PauseMonitor"]

LOG = logging.getLogger("ibiscart.process")
# interval at which the clock is read, and shortest pause that is reported; callers wait for 3 s
INTERVAL_SECONDS = 0.5
MIN_PAUSE_SECONDS = 0.5


class PauseMonitor:
    """Logs and counts each time at which none of the process's tasks ran.

    What arrived meanwhile is read after the pause, although its sender may have left by then.
    ``clock`` returns seconds and goes on while the machine is suspended.
    """

    def __init__(self, metrics, clock):
        self._metrics = metrics
        self._clock = clock

    async def run(self):
        """Reports pauses until cancelled."""
        while True:
            slept_at = self._clock()
            await trio.sleep(INTERVAL_SECONDS)
            pause_seconds = self._clock() - slept_at - INTERVAL_SECONDS
            if pause_seconds >= MIN_PAUSE_SECONDS:
                self._metrics.observe("process_pause_seconds", "", pause_seconds)
                LOG.warning("The process was paused.", extra={"seconds": round(pause_seconds, 3)})
