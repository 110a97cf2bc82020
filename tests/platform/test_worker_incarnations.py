"""Tests that orders go to the incarnation of a worker whose registration was read."""

import functools
import unittest
from unittest import mock

import trio

from tests.platform.deployment import JOB_ID, OTHER_JOB_ID, Deployment, job, run_virtual, step


class WorkerIncarnationTest(unittest.TestCase):
    @staticmethod
    def register(deployment, worker, rack):
        """Registers a worker with the label of a rack."""
        registration = worker.registration(f"{worker.id}:80", rack=rack)
        deployment.store.put("servers", worker.id, registration)

    def test_worker_that_came_back_gets_no_work_before_its_registration_is_read(self):
        # all tasks of a job ran on a worker that had come back without their label (review/9)
        async def main(store_is_silent):
            async with Deployment(workers=1) as deployment:
                worker = await deployment.occupy_worker(60_000)
                session = deployment.leader().leader.coordinator._workers._sessions["w0"]
                worker.restart()
                await deployment.wait_until(
                    lambda: session.last_applied_end[0] == worker.incarnation
                )
                await deployment.first_entry().call("DELETE", f"/q/{JOB_ID}")
                await deployment.submit(OTHER_JOB_ID, job(step(requires="r0"), ms=500))
                if store_is_silent:
                    deployment.store.down = True
                    await trio.sleep(2)
                    deployment.store.down = False
                await trio.sleep(2)
                self.assertNotIn(f"{OTHER_JOB_ID}.0.0.0", deployment.fleet.starts)
                self.register(deployment, worker, "r9")
                await trio.sleep(2)
                self.assertNotIn(f"{OTHER_JOB_ID}.0.0.0", deployment.fleet.starts)
                self.register(deployment, worker, "r0")
                await deployment.wait_for_state(OTHER_JOB_ID, "completed", 5)

        for store_is_silent in (True, False):
            with self.subTest(store_is_silent=store_is_silent):
                run_virtual(functools.partial(main, store_is_silent))

    def test_run_that_was_planned_before_a_restart_is_not_started_after_it(self):
        # the commit takes a second, in which a worker comes back without the label
        async def main(size, idle_seconds):
            async with Deployment(workers=size, entries=1) as deployment:
                await trio.sleep(idle_seconds)
                entry = deployment.first_entry().name
                engine = deployment.leader().leader.coordinator._engine

                def planned():
                    return any(worker.units_by_run for worker in engine.fleet.workers.values())

                def delay(sender, address, request):
                    is_commit = (sender, request.path) == (entry, "/rows-tx")
                    return 1.0 if is_commit and planned() else 0.0

                deployment.network.request_delay = delay
                tasks = step(size, 8, requires="r0", gang=size > 1)
                await deployment.submit(JOB_ID, job(tasks, ms=500, gang=size if size > 1 else 0))
                await deployment.wait_until(planned)
                worker = deployment.fleet.workers["w0"]
                worker.restart()
                self.register(deployment, worker, "r9")
                with mock.patch.object(worker, "_start_run") as start_run:
                    await trio.sleep(3)
                start_run.assert_not_called()

        for size in (1, 2):
            for idle_seconds in (0.0, 5.0):
                with self.subTest(size=size, idle_seconds=idle_seconds):
                    run_virtual(functools.partial(main, size, idle_seconds))

    def test_order_is_not_sent_to_an_idle_worker_that_has_just_come_back(self):
        # an idle worker is not polled; it had answered a moment ago, and its restart was not known,
        # also not by the poll that the first order began
        async def main(poll_seconds):
            async with Deployment(workers=1) as deployment:
                worker = deployment.fleet.workers["w0"]
                await deployment.submit(OTHER_JOB_ID, job(step(), ms=500))
                await deployment.wait_for_state(OTHER_JOB_ID, "completed")
                await trio.sleep(0.5)
                worker.restart()

                def delay(sender, address, request):
                    is_poll = request.path == "/hold" and b"deadlineMs" in request.body
                    return poll_seconds if is_poll else 0.0

                deployment.network.request_delay = delay
                await deployment.submit(JOB_ID, job(step(requires="r0"), ms=500))
                await trio.sleep(2)
                self.assertNotIn(f"{JOB_ID}.0.0.0", deployment.fleet.starts)

        for poll_seconds in (0.0, 1.0):
            with self.subTest(poll_seconds=poll_seconds):
                run_virtual(functools.partial(main, poll_seconds))


if __name__ == "__main__":
    unittest.main()
