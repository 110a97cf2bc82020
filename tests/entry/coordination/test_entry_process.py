"""The shutdown of an entry ends in time whatever the store and the callers do."""

import unittest
from unittest import mock

import trio
import trio.testing

from ibiscart_entry.coordination.entry_process import EntryProcess
from ibiscart_entry.metric import Metrics

DRAIN_SECONDS = 6.0


async def fail():
    raise ValueError("odd")


class ShutdownTest(unittest.TestCase):
    def shut_down(self, resign, wait_closed):
        """Returns the virtual seconds that a shutdown takes, and the metrics."""
        settings = mock.Mock(drain_seconds=DRAIN_SECONDS, first_port=1, processors=1.0)
        settings.configure_mock(front_address="", readiness_address="")
        settings.field_name.return_value = "name"
        settings.worker_heartbeat_seconds = 1.5
        metrics = Metrics()
        names = ("process_id", "table", "worker_directory", "catalogs", "connect_agent", "handler")
        names += ("job_service", "connect_peer", "peer_directory", "relay_server")
        arguments = {name: mock.Mock() for name in names}
        process = EntryProcess(settings, metrics=metrics, **arguments)
        process._leader = mock.Mock(leads=True, resign=resign)
        process._server = mock.Mock(bound=True, requests=0, wait_closed=wait_closed)

        async def main():
            await process._drain()
            return trio.current_time()

        clock = trio.testing.MockClock(autojump_threshold=0)
        start = clock.current_time()
        return trio.run(main, clock=clock) - start, metrics

    def test_store_that_does_not_answer_does_not_delay_the_shutdown(self):
        """The resignation was awaited first, so that SIGKILL cut the requests under way."""
        seconds, _ = self.shut_down(trio.sleep_forever, trio.lowlevel.checkpoint)
        self.assertLess(seconds, DRAIN_SECONDS)

    def test_requests_that_never_end_do_not_delay_the_shutdown(self):
        seconds, _ = self.shut_down(trio.lowlevel.checkpoint, trio.sleep_forever)
        self.assertLess(seconds, DRAIN_SECONDS)

    def test_error_in_the_resignation_does_not_cut_the_shutdown_short(self):
        with self.assertLogs("ibiscart.isolation", "ERROR"):
            failed, metrics = self.shut_down(fail, trio.lowlevel.checkpoint)
        ordinary, _ = self.shut_down(trio.lowlevel.checkpoint, trio.lowlevel.checkpoint)
        self.assertAlmostEqual(failed, ordinary)
        self.assertEqual(metrics.value("task_errors", "component"), 1)


if __name__ == "__main__":
    unittest.main()
