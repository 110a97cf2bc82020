"""Tests of tasks that crash their workers, and of tasks that only ran beside them."""

import json
import unittest

import trio

from ibiscart_entry.server import Request
from tests.platform.deployment import JOB_ID, OTHER_JOB_ID, Deployment, job, run_virtual, step
from tests.standins.platform.worker import WorkerFleet, WorkerStandIn

TASK = f"{JOB_ID}.0.0.0"


class WorkerCrashTest(unittest.TestCase):
    def check_given_up(self, deployment_changes=None, **spec):
        """Checks that a task that crashes its workers is given up; returns the deployment.

        ``deployment_changes(deployment)`` is awaited after the job was accepted.
        """

        async def main():
            async with Deployment(workers=6) as deployment:
                document = job(step(), crash=True, **spec)
                self.assertEqual(200, await deployment.submit(JOB_ID, document))
                if deployment_changes is not None:
                    await deployment_changes(deployment)
                await deployment.wait_for_state(JOB_ID, "failed", 120)
                self.assertEqual([], deployment.fleet.violations)
                return deployment

        return run_virtual(main)

    def test_task_that_crashes_worker_after_worker_is_given_up(self):
        # runs that were lost with their worker counted as no attempt, so one task crashed a worker
        # every 6.6 s for ever
        deployment = self.check_given_up()
        self.assertEqual(3, deployment.fleet.starts[TASK])

    def test_crashes_are_counted_although_the_leader_changes_after_each(self):
        async def kill_leaders(deployment):
            for crashes in (1, 2):
                await deployment.wait_until(
                    lambda n=crashes: deployment.fleet.crashes.get(TASK, 0) >= n, 40
                )
                leader = deployment.leader()
                deployment.kill_entry(leader.name)
                await trio.sleep(0.5)
                deployment.start_entry(leader.name)

        self.check_given_up(kill_leaders)

    def test_crashes_of_workers_that_come_back_under_their_ids_are_counted(self):
        async def restart_in_place(deployment):
            for worker in deployment.fleet.workers.values():
                worker.crash = worker.restart

        self.check_given_up(restart_in_place)

    def test_order_without_an_answer_is_not_sent_to_the_next_life_of_a_worker(self):
        # a copy of the order started the run once more on a worker that had restarted at once under
        # its id, so that a task crashed more workers than were counted (soak, seed 28)
        async def lose_answers(deployment):
            for worker in deployment.fleet.workers.values():
                worker.crash, worker.lose_start_answers = worker.restart, True

        self.check_given_up(lose_answers)

    def test_crashes_are_counted_although_the_workers_return_after_their_leases(self):
        async def return_late(deployment):
            for name, worker in list(deployment.fleet.workers.items()):

                def crash(name=name):
                    deployment.crash_worker(name, back_after_seconds=12.0)

                worker.crash = crash

        self.check_given_up(return_late)

    def test_starts_are_few_although_the_crashed_workers_never_return(self):
        async def main():
            async with Deployment(workers=12) as deployment:
                for name, worker in list(deployment.fleet.workers.items()):

                    def crash(name=name):
                        deployment.crash_worker(name, back_after_seconds=10_000.0)

                    worker.crash = crash
                await deployment.submit(JOB_ID, job(step(), crash=True))
                await trio.sleep(60)
                self.assertLess(deployment.fleet.starts[TASK], 6)
                self.assertEqual([], deployment.fleet.violations)

        run_virtual(main)

    def test_other_tasks_of_the_crashed_workers_complete(self):
        # each crash took the other tasks of the worker with it, again and again
        async def main():
            async with Deployment(workers=6) as deployment:
                await deployment.submit(JOB_ID, job(step(), crash=True))
                ids = [f"{number:x}0000000000000b1" for number in range(12)]
                for job_id in ids:
                    self.assertEqual(200, await deployment.submit(job_id, job(step(2), ms=3000)))
                await deployment.wait_for_state(JOB_ID, "failed", 60)
                for job_id in ids:
                    await deployment.wait_for_state(job_id, "completed", 60)
                self.assertEqual([], deployment.fleet.violations)

        run_virtual(main)

    def test_gang_with_a_task_that_crashes_its_worker_is_given_up(self):
        async def main():
            async with Deployment(workers=6) as deployment:
                gang = job(step(2, 8, gang=True), gang=2, crash=True)
                await deployment.submit(JOB_ID, gang)
                await deployment.wait_for_state(JOB_ID, "failed", 90)
                self.assertEqual([], deployment.fleet.violations)

        run_virtual(main)

    def test_task_whose_workers_are_only_cut_off_is_not_given_up(self):
        async def main():
            async with Deployment(workers=5) as deployment:
                await deployment.submit(JOB_ID, job(step(1, 8), ms=9000))
                for _ in range(3):
                    await deployment.wait_until(lambda: deployment.fleet.active_runs(TASK), 30)
                    worker_id = deployment.fleet.active_runs(TASK)[0][0]
                    worker = deployment.fleet.workers[worker_id]
                    worker.unresponsive = True
                    deployment.store.delete("servers", worker_id)
                    await trio.sleep(7.5)
                    worker.unresponsive = False
                    deployment.register(worker_id)
                await deployment.wait_for_state(JOB_ID, "completed", 60)
                self.assertEqual([], deployment.fleet.violations)

        run_virtual(main)

    def test_runs_of_a_replaced_worker_start_again_before_their_leases_expire(self):
        # another process at the worker's address shows that its runs have ended; they waited for
        # their leases of 6 s all the same
        async def main():
            async with Deployment(workers=2) as deployment:
                worker = await deployment.occupy_worker(ms=3000)
                crashed_at = trio.current_time()
                deployment.crash_worker(worker.id, back_after_seconds=1.0)
                await deployment.wait_until(lambda: deployment.fleet.active_runs(TASK))
                self.assertLess(trio.current_time() - crashed_at, 2.0)
                await deployment.wait_for_state(JOB_ID, "completed")
                self.assertEqual([], deployment.fleet.violations)

        run_virtual(main)

    def test_order_that_a_worker_left_unanswered_ends_with_its_process(self):
        # the stand-in carried out orders 30 s later, in the next life of the worker (soak, seed 28)
        call = {"task": TASK, "run": 1, "spec": "{}", "deadlineMs": 9000, "fence": 1}
        request = Request("POST", "/run-start", {}, json.dumps(call).encode(), "e0")

        async def main():
            async with trio.open_nursery() as nursery:
                worker = WorkerStandIn(WorkerFleet(), "w0", nursery)
                worker.unanswered_path = "/run-start"
                nursery.start_soon(worker.handle, request)
                await trio.sleep(29)
                worker.restart()
                await trio.sleep(2)
                self.assertEqual({}, worker.fleet.starts)
                nursery.cancel_scope.cancel()

        run_virtual(main)

    def test_late_order_ends_with_the_process_of_a_crashed_worker(self):
        # the stand-in carried out an order 4 s after its process had crashed, while the next run of
        # the task was active on the worker in its place (random faults, seed 4103)
        async def main():
            async with Deployment(workers=1) as deployment:
                worker = deployment.fleet.workers["w0"]
                worker.late_rate, worker.late_seconds = 1.0, 4.0
                await deployment.submit(JOB_ID, job(step(), ms=6000))
                await trio.sleep(1)
                deployment.crash_worker("w0", back_after_seconds=1.0)
                await deployment.wait_for_state(JOB_ID, "completed", 20)
                self.assertEqual({TASK: 1}, deployment.fleet.starts)
                self.assertEqual([], deployment.fleet.violations)

        run_virtual(main)

    def test_lasting_tasks_that_lost_their_workers_run_again_on_the_only_one_left(self):
        # a task that had lost two workers kept one that had lost one off the last worker with their
        # label for good (review/7)
        async def main():
            async with Deployment(workers=4) as deployment:
                lasting = job(step(longRunning=True, requires="r1"), ms=600_000)

                def worker_of(job_id):
                    runs = deployment.fleet.active_runs(f"{job_id}.0.0.0")
                    return runs[0][0] if runs else None

                await deployment.submit(JOB_ID, lasting)
                await deployment.wait_until(lambda: worker_of(JOB_ID))
                worker = deployment.fleet.workers[worker_of(JOB_ID)]
                await trio.sleep(5)
                worker.restart()
                deployment.register(worker.id)
                await deployment.wait_until(lambda: worker_of(JOB_ID))
                await trio.sleep(5)
                await deployment.submit(OTHER_JOB_ID, lasting)
                await deployment.wait_until(lambda: worker_of(OTHER_JOB_ID))
                self.assertEqual(worker_of(JOB_ID), worker_of(OTHER_JOB_ID))
                await trio.sleep(5)
                deployment.crash_worker(worker_of(JOB_ID), back_after_seconds=1000)
                # the leases, and the time after its last run at which a lasting task has to run
                await trio.sleep(6.6 + 6)
                self.assertTrue(worker_of(JOB_ID))
                self.assertTrue(worker_of(OTHER_JOB_ID))
                self.assertEqual([], deployment.fleet.violations)

        run_virtual(main)

    def test_a_draining_worker_that_is_replaced_counts_as_no_crash(self):
        async def main():
            async with Deployment(workers=6) as deployment:
                await deployment.submit(JOB_ID, job(step(1, 8), ms=4000))
                for _ in range(3):
                    await deployment.wait_until(lambda: deployment.fleet.active_runs(TASK), 30)
                    worker_id = deployment.fleet.active_runs(TASK)[0][0]
                    deployment.register(worker_id, state="draining")
                    await trio.sleep(1.0)
                    deployment.crash_worker(worker_id, back_after_seconds=0.5)
                await deployment.wait_for_state(JOB_ID, "completed", 60)

        run_virtual(main)


if __name__ == "__main__":
    unittest.main()
