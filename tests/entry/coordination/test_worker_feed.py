"""Tests of the orders that a ``WorkerFeed`` passes to the sessions."""

import unittest
from unittest import mock

from ibiscart_core.workflow.unit import UnitState
from ibiscart_entry.coordination.worker_feed import WorkerFeed
from ibiscart_entry.metric import Metrics
from tests.core.workflow.harness import EngineHarness, step


class WorkerFeedTest(unittest.TestCase):
    def test_start_for_a_worker_without_a_session_counts_as_not_sent(self):
        """Guards against a run that waits for the answer to an order that was dropped."""
        harness = EngineHarness(workers=1)
        job = harness.submit("a", step())
        (order,), _ = harness.plan()
        metrics, on_change = Metrics(), mock.Mock()
        feed = WorkerFeed(
            harness.engine,
            mock.Mock(),
            mock.Mock(),
            mock.Mock(),
            metrics,
            mock.Mock(),
            lease_limit_seconds=6.0,
            directory_ttl_seconds=3.0,
            refusal=mock.Mock(),
            on_change=on_change,
            on_fenced=mock.Mock(),
        )
        with mock.patch("trio.current_time", return_value=harness.now):
            feed.send_start(order)
        self.assertIs(UnitState.WAITING, next(job.units()).state)
        self.assertFalse(harness.engine.fleet.get("w0").units_by_run)
        self.assertIn('ibiscart_orders_total{result="not_sent"} 1', metrics.render())
        on_change.assert_called()


if __name__ == "__main__":
    unittest.main()
