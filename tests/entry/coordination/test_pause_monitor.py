"""Tests that pauses of the process are reported."""

import logging
import unittest

import trio
import trio.testing

from ibiscart_entry.coordination.pause_monitor import PauseMonitor
from ibiscart_entry.metric import Metrics


class PauseMonitorTest(unittest.TestCase):
    def reported(self, paused_seconds):
        """Returns the seconds of the pauses that are logged when the clock jumps once."""
        suspended = [0.0]

        async def main():
            monitor = PauseMonitor(Metrics(), lambda: trio.current_time() + suspended[0])
            async with trio.open_nursery() as nursery:
                nursery.start_soon(monitor.run)
                await trio.sleep(1.2)
                suspended[0] = paused_seconds
                await trio.sleep(2.0)
                nursery.cancel_scope.cancel()

        logger = logging.getLogger("ibiscart.process")
        with self.assertLogs(logger, logging.WARNING) as logs:
            logger.warning("end of the records before")
            trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
        return [record.seconds for record in logs.records[1:]]

    def test_pause_is_logged_with_its_length(self):
        # a request that arrived before a pause of seconds left no trace of its age in the log
        self.assertEqual([4.0], self.reported(4.0))

    def test_short_delay_is_not_logged(self):
        self.assertEqual([], self.reported(0.2))


if __name__ == "__main__":
    unittest.main()
