"""Tests that a stop which was decided reaches its worker, whatever happens meanwhile."""

import logging
import unittest

import trio

from tests.platform.deployment import JOB_ID, Deployment, run_virtual


class StopOrderTest(unittest.TestCase):
    async def lose_entry_and_leader(self, deployment, worker):
        """Removes a worker's registration, then kills the leader; waits for the next one."""
        deployment.store.delete("servers", worker.id)
        await trio.sleep(0.3)
        deployment.kill_entry(deployment.leader().name)
        await deployment.wait_until(lambda: deployment.leader() is not None)
        await trio.sleep(0.4)

    def test_stop_that_does_not_take_effect_is_logged_and_counted(self):
        # a cancelled task worked on for 25 s and neither log nor metrics showed it
        async def main():
            async with Deployment(workers=2) as deployment:
                worker = await deployment.occupy_worker(60_000)
                worker.unanswered_path = "/run-stop"
                await deployment.first_entry().call("DELETE", f"/q/{JOB_ID}")
                await trio.sleep(6)
                self.assertEqual(1, deployment.leader().leader.coordinator.count_overdue_stops())
                worker.unanswered_path = ""
                await deployment.wait_until(lambda: not worker.running, 3)
                await trio.sleep(1)
                self.assertEqual(0, deployment.leader().leader.coordinator.count_overdue_stops())

        with self.assertLogs("ibiscart.decision", logging.INFO) as logs:
            run_virtual(main)
        (record,) = [r for r in logs.records if r.getMessage() == "Stop overdue."]
        self.assertEqual((JOB_ID, "0.0.0", False), (record.job, record.task, record.acknowledged))
