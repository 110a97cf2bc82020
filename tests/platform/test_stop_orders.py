"""Tests that a stop which was decided reaches its worker, whatever happens meanwhile."""

import functools
import logging
import unittest

import trio

from tests.platform.deployment import JOB_ID, OTHER_JOB_ID, Deployment, job, run_virtual, step


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

    def test_stop_reaches_a_worker_that_was_not_registered_when_the_leader_loaded(self):
        # the stop was dropped without a session, and the task of a cancelled job worked on
        async def main(return_worker):
            async with Deployment(workers=2) as deployment:
                worker = await deployment.occupy_worker(60_000)
                await self.lose_entry_and_leader(deployment, worker)
                await deployment.first_entry().call("DELETE", f"/q/{JOB_ID}")
                await trio.sleep(1)
                self.assertTrue(worker.running)
                await return_worker(deployment, worker)
                await deployment.wait_until(lambda: not worker.running, 2)
                await self.check_room_is_free(deployment)

        async def register(deployment, worker):
            deployment.register(worker.id)

        async def restart(deployment, worker):
            worker.restart()
            deployment.register(worker.id)

        async def move(deployment, worker):
            deployment.network.handlers.pop(f"{worker.id}:80")
            deployment.move_worker(worker.id, f"{worker.id}:81")

        async def return_after_the_assumed_leases(deployment, worker):
            await trio.sleep(15)
            deployment.register(worker.id)

        async def lose_entry_twice(deployment, worker):
            deployment.register(worker.id)
            await trio.sleep(0.05)
            deployment.store.delete("servers", worker.id)
            await trio.sleep(0.5)
            deployment.register(worker.id)

        for return_worker in (
            register,
            restart,
            move,
            return_after_the_assumed_leases,
            lose_entry_twice,
        ):
            with self.subTest(return_worker=return_worker.__name__):
                run_virtual(functools.partial(main, return_worker))

    def test_gang_starts_again_after_its_unregistered_worker_has_restarted(self):
        # the stop of the member was never sent, and its run, which the restarted worker did not
        # list, kept the gang from starting again
        async def main():
            async with Deployment(workers=3) as deployment:
                gang = job(step(2, 8, gang=True), ms=4000, gang=2)
                await deployment.submit(JOB_ID, gang)
                await deployment.wait_for_state(JOB_ID, "running")
                workers = deployment.fleet.workers.values()
                worker, other = (worker for worker in workers if worker.running)
                await self.lose_entry_and_leader(deployment, worker)
                worker.restart()
                for task in list(other.running):
                    other.end(task, "broken")
                await trio.sleep(1)
                deployment.register(worker.id)
                await deployment.wait_for_state(JOB_ID, "completed", 8)
                await self.check_room_is_free(deployment)

        run_virtual(main)

    def test_stop_that_a_leader_did_not_get_through_is_sent_by_its_successor(self):
        # for each reason the next leader has to reach the same decision from the rows
        async def main():
            async with Deployment(workers=2) as deployment:
                worker = await deployment.occupy_worker(60_000)
                worker.unanswered_path = "/run-stop"
                await deployment.first_entry().call("DELETE", f"/q/{JOB_ID}")
                await trio.sleep(0.5)
                deployment.kill_entry(deployment.leader().name)
                await deployment.wait_until(lambda: deployment.leader() is not None)
                self.assertTrue(worker.running)
                worker.unanswered_path = ""
                await deployment.wait_until(lambda: not worker.running, 3)
                await self.check_room_is_free(deployment)

        run_virtual(main)

    async def check_room_is_free(self, deployment):
        """Checks that a gang that needs all workers runs, and that no guarantee was violated."""
        count = len(deployment.fleet.workers)
        gang = job(step(count, 8, gang=True), ms=500, gang=count)
        await deployment.submit(OTHER_JOB_ID, gang)
        await deployment.wait_for_state(OTHER_JOB_ID, "completed", 4)
        self.assertEqual([], deployment.fleet.violations)


if __name__ == "__main__":
    unittest.main()
