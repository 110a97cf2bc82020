"""Tests of worker failures over the stand-ins, in virtual time."""

import functools
import unittest

import trio

from tests.platform.deployment import JOB_ID, OTHER_JOB_ID, Deployment, job, run_virtual, step

CAPACITY = {"cpu": 64_000, "memMb": 64_000, "gpu": 64}


class WorkerFailureTest(unittest.TestCase):
    def test_delayed_start_order_runs_the_task_once(self):
        async def main():
            async with Deployment(workers=1) as deployment:
                worker = deployment.fleet.workers["w0"]
                worker.late_rate = 1.0
                await deployment.submit(JOB_ID, job(step(), ms=500))
                await trio.sleep(0.7)
                worker.late_rate = 0.0
                await deployment.wait_for_state(JOB_ID, "completed")
                await trio.sleep(4)
                self.assertEqual([], deployment.fleet.violations)

        run_virtual(main)

    def test_unanswered_order_is_not_forgotten_when_its_retry_is_unsent(self):
        # the allocation was released when the retry of the start order found no connection, and the
        # worker executed the first order later, concurrently with the next run of the task
        async def main():
            async with Deployment(workers=2) as deployment:
                worker = deployment.fleet.workers["w0"]
                worker.late_rate, worker.late_seconds = 1.0, 2.5
                await deployment.submit(JOB_ID, job(step(1, 8), ms=4000))
                await trio.sleep(0.3)
                handler = deployment.network.handlers.pop("w0:80")
                await trio.sleep(1.7)
                worker.late_rate = 0.0
                deployment.network.handlers["w0:80"] = handler
                await deployment.wait_for_state(JOB_ID, "completed", 20)
                self.assertEqual([], deployment.fleet.violations)

        run_virtual(main)

    def test_task_is_not_held_by_an_idle_worker_that_is_gone(self):
        # the order to a worker that had gone unnoticed held the task for the longest lease
        async def main():
            async with Deployment(workers=2, lease_limit_seconds=10.0) as deployment:
                await trio.sleep(5)
                deployment.fleet.workers["w0"].unresponsive = True
                for job_id in (JOB_ID, OTHER_JOB_ID):
                    await deployment.submit(job_id, job(step(1, 8), ms=500))
                for job_id in (JOB_ID, OTHER_JOB_ID):
                    await deployment.wait_for_state(job_id, "completed", 4)
                self.assertEqual([], deployment.fleet.violations)

        run_virtual(main)

    def test_gang_that_lost_a_worker_does_not_wait_for_another_that_went_unnoticed(self):
        # the second start went to a worker that had answered a moment ago and was gone, and the
        # gang waited for the longest leases again
        async def main():
            async with Deployment(workers=4) as deployment:
                gang = job(step(2, 8, gang=True), ms=60_000, gang=2)
                await deployment.submit(JOB_ID, gang)
                await deployment.wait_for_state(JOB_ID, "running")
                workers = deployment.fleet.workers
                free = [worker for worker in workers.values() if not worker.running]
                lost = next(worker for worker in workers.values() if worker.running)
                for job_id, ms in ((OTHER_JOB_ID, 7500), ("20000000000000a3", 9500)):
                    await deployment.submit(job_id, job(step(1, 8, estimateMs=ms), ms=ms))
                await deployment.wait_until(lambda: all(worker.running for worker in free))
                lost.unresponsive = True
                await deployment.wait_for_state(OTHER_JOB_ID, "completed", 10)
                next(worker for worker in free if not worker.running).unresponsive = True
                silent_at = trio.current_time()

                def restarted():
                    runs = deployment.fleet.active_runs(f"{JOB_ID}.0.0.0")
                    return any(
                        run > 1 and deployment.fleet.is_gang_complete(f"{JOB_ID}.0.0.0", run, 2)
                        for _, run in runs
                    )

                await deployment.wait_until(restarted, 30)
                self.assertEqual([], deployment.fleet.violations)
                return trio.current_time() - silent_at

        elapsed = run_virtual(main)
        self.assertLess(elapsed, 5)

    def test_order_that_finds_no_clock_of_its_worker_is_not_lost(self):
        # the order was dropped without a result when its worker had changed its address meanwhile,
        # and the task waited for a start that nobody sent
        async def main():
            async with Deployment(workers=1, entries=1) as deployment:
                worker = deployment.fleet.workers["w0"]
                entry = deployment.first_entry().name

                def delay(sender, address, request):
                    return 1.0 if (sender, request.path) == (entry, "/rows-tx") else 0.0

                deployment.network.request_delay = delay
                await deployment.submit(JOB_ID, job(step(), ms=500))
                planned = functools.partial(self.has_planned_run, deployment)
                await deployment.wait_until(planned)
                worker.unanswered_path = "/hold"
                deployment.move_worker("w0", "w0:81")
                await trio.sleep(3)
                self.assertFalse(worker.highest_run_by_task)
                worker.unanswered_path = ""
                await deployment.wait_for_state(JOB_ID, "completed", 15)

        run_virtual(main)

    @staticmethod
    def has_planned_run(deployment):
        """Returns True once the leader's engine has a run on a worker."""
        engine = deployment.leader().leader.coordinator._engine
        return any(worker.units_by_run for worker in engine.fleet.workers.values())

    def test_stop_reaches_a_worker_that_has_changed_its_address(self):
        # the stop went on to the earlier address, and the run kept its allocation for good
        async def main(restart):
            async with Deployment(workers=1) as deployment:
                worker = await deployment.occupy_worker(60_000)
                worker.unanswered_path = "/run-stop"
                await deployment.first_entry().call("DELETE", f"/q/{JOB_ID}")
                await trio.sleep(0.3)
                deployment.network.handlers.pop(f"{worker.id}:80")
                if restart:
                    worker.restart()
                worker.unanswered_path = ""
                deployment.move_worker(worker.id, f"{worker.id}:81")
                await deployment.wait_until(lambda: not worker.running, 3)
                await deployment.submit(OTHER_JOB_ID, job(step(1, 8), ms=500))
                await deployment.wait_for_state(OTHER_JOB_ID, "completed", 3)
                self.assertEqual([], deployment.fleet.violations)

        for restart in (False, True):
            with self.subTest(restart=restart):
                run_virtual(functools.partial(main, restart))

    def test_order_without_an_answer_is_not_sent_again_to_a_worker_that_has_the_run(self):
        # six orders for one run went to a worker whose answers were lost
        async def main():
            async with Deployment(workers=1) as deployment:
                worker = deployment.fleet.workers["w0"]
                worker.lose_start_answers = True
                orders = 0

                async def handle(request):
                    nonlocal orders
                    orders += request.path == "/run-start"
                    return await worker.handle(request)

                deployment.network.handlers["w0:80"] = handle
                await deployment.submit(JOB_ID, job(step(), ms=4000))
                await deployment.wait_for_state(JOB_ID, "completed", 6)
                self.assertEqual(1, orders)

        run_virtual(main)

    def test_a_gang_starts_soon_although_some_orders_get_no_answer(self):
        """Replays workers that leave some orders unanswered while a gang preempts small tasks.

        One lost stop of eight delayed the gang by most of a second, which an urgent job does not
        have.
        """

        async def main():
            async with Deployment(workers=1) as deployment:
                await deployment.submit(OTHER_JOB_ID, job(step(8, 1, estimateMs=9000), ms=9000))
                await deployment.wait_for_state(OTHER_JOB_ID, "running")
                await trio.sleep(1)
                worker = deployment.fleet.workers["w0"]
                unanswered_paths = ["/run-stop", "/run-start"]

                async def handle(request):
                    if request.path in unanswered_paths:
                        unanswered_paths.remove(request.path)
                        await trio.sleep_forever()
                    return await worker.handle(request)

                deployment.network.handlers["w0:80"] = handle
                body = job(step(2, 4, gang=True), ms=500, gang=2)
                started_at = trio.current_time()
                await deployment.submit(JOB_ID, body, prefix="/urgent/")
                await deployment.wait_for_state(JOB_ID, "completed", 10)
                return trio.current_time() - started_at

        # 0.5 s of run time, 0.2 s until the guarantee preempts, 0.1 s for stops and two hedges
        self.assertLess(run_virtual(main), 0.5 + 0.2 + 0.1 + 2 * 0.15 + 0.3)

    def test_a_worker_that_is_silent_for_less_than_its_lease_keeps_its_runs(self):
        """Guards against work that starts again elsewhere while it still runs.

        A change of leader during the silence must not make the next leader give the run up either.
        """

        async def main(silent_seconds, kill_leader):
            async with Deployment() as deployment:
                worker = await deployment.occupy_worker(ms=15_000)
                worker.unresponsive = True
                await trio.sleep(silent_seconds / 2)
                if kill_leader:
                    deployment.kill_entry(deployment.leader().name)
                await trio.sleep(silent_seconds / 2)
                worker.unresponsive = False
                await deployment.wait_for_state(JOB_ID, "completed", 20)
                self.assertEqual([], deployment.fleet.violations)
                return max(
                    w.highest_run_by_task.get(f"{JOB_ID}.0.0.0", 0)
                    for w in deployment.fleet.workers.values()
                )

        for silent_seconds in (1.0, 3.0, 4.5):
            for kill_leader in (False, True):
                with self.subTest(silent_seconds=silent_seconds, kill_leader=kill_leader):
                    play = functools.partial(main, silent_seconds, kill_leader)
                    self.assertEqual(1, run_virtual(play))

    def test_task_that_completed_while_its_worker_was_silent_does_not_run_again(self):
        # the end of a run that had been given up was ignored, and acknowledged, although the worker
        # reported it before the next run began (random faults, seed 6317)
        async def main(workers, starts):
            async with Deployment(workers=workers) as deployment:
                worker = await deployment.occupy_worker(3000)
                worker.unresponsive = True
                await trio.sleep(10)
                worker.unresponsive = False
                await deployment.wait_for_state(JOB_ID, "completed", 1.5)
                self.assertEqual([starts], list(deployment.fleet.starts.values()))

        # without another worker, and with one on which the task has started again
        for workers, starts in ((1, 1), (2, 2)):
            with self.subTest(workers=workers):
                run_virtual(functools.partial(main, workers, starts))

    @staticmethod
    async def restart_during_an_order(deployment, **faults):
        """Restarts all workers, with ``faults`` set, while a start order is on its way to one.

        The order and the poll beside it reach the next incarnation, which has not registered yet.
        The poll shows the run, and its response comes before that to the order.
        """
        sent = trio.Event()

        def delay(sender, address, request):
            if request.path == "/run-start":
                sent.set()
                return 0.1
            return 0.12 if b"deadlineMs" in request.body else 0.0

        async def answer_starts_late(handle, request):
            response = await handle(request)
            if request.path == "/run-start":
                await trio.sleep(0.04)
            return response

        deployment.network.request_delay = delay
        for worker in deployment.fleet.workers.values():
            handler = functools.partial(answer_starts_late, worker.handle)
            deployment.network.handlers[f"{worker.id}:80"] = handler
        with trio.fail_after(20):
            await sent.wait()
        for worker in deployment.fleet.workers.values():
            worker.restart()
            for name, value in faults.items():
                setattr(worker, name, value)
        await trio.sleep(0.2)
        deployment.network.request_delay = lambda sender, address, request: 0.0

    @staticmethod
    def register_all(deployment):
        """Registers all workers in their present incarnations."""
        for name in deployment.fleet.workers:
            deployment.register(name)

    def test_run_on_a_worker_that_restarted_while_idle_does_not_start_again_during_its_lease(self):
        # the order's deadline counted from the clock of the worker's earlier incarnation, so its
        # lease lasted longer than the leader assumed when the worker stopped answering
        async def main():
            async with Deployment(workers=2, lease_limit_seconds=10.0) as deployment:
                await trio.sleep(20)
                await deployment.submit(JOB_ID, job(step(1, 8), ms=9500))
                await self.restart_during_an_order(deployment)
                await deployment.wait_for_state(JOB_ID, "running")
                worker = next(w for w in deployment.fleet.workers.values() if w.running)
                worker.unresponsive = True
                self.register_all(deployment)
                await deployment.wait_for_state(JOB_ID, "completed", 60)
                self.assertEqual([], deployment.fleet.violations)

        run_virtual(main)

    def test_run_on_a_worker_that_restarted_a_moment_ago_does_not_start_again_during_its_lease(
        self,
    ):
        # the deadlines of the start and the poll beside it counted from the clock of the worker's
        # earlier incarnation, which was recent, and the leader expected a lease of its usual length
        async def main(answered, hold_back):
            async with Deployment(workers=2, entries=1, lease_limit_seconds=10.0) as deployment:
                workers = deployment.fleet.workers
                await deployment.submit(OTHER_JOB_ID, job(step(2, 8), ms=9000))
                await deployment.wait_for_state(OTHER_JOB_ID, "completed")
                await trio.sleep(1)
                await deployment.submit(JOB_ID, job(step(1, 8), ms=9900))
                await self.restart_during_an_order(
                    deployment, lose_start_answers=not answered, unanswered_path=hold_back
                )
                await deployment.wait_until(lambda: any(w.running for w in workers.values()))
                await trio.sleep(0.1)
                worker = next(w for w in workers.values() if w.running)
                entries = list(deployment.entries)
                deployment.network.partition(entries, [f"{worker.id}:80"])
                for other in workers.values():
                    other.lose_start_answers, other.unanswered_path = False, ""
                self.register_all(deployment)
                await deployment.wait_for_state(JOB_ID, "completed", 60)
                self.assertEqual([], deployment.fleet.violations)

        for answered in (True, False):
            for hold_back in ("", "/hold"):
                with self.subTest(answered=answered, hold_back=hold_back):
                    run_virtual(functools.partial(main, answered, hold_back))

    def test_start_without_an_answer_holds_back_no_other_run_of_its_worker(self):
        async def main():
            async with Deployment(workers=1, lease_limit_seconds=10.0) as deployment:
                worker = deployment.fleet.workers["w0"]
                await deployment.submit(JOB_ID, job(step(1, 4), ms=4000))
                await deployment.wait_for_state(JOB_ID, "running")
                worker.lose_start_answers = True
                await deployment.submit(OTHER_JOB_ID, job(step(1, 4), ms=4000))
                await deployment.wait_until(lambda: len(worker.running) == 2)
                worker.unresponsive = True
                deployment.network.partition(list(deployment.entries), ["w0:80"])
                deployment.add_worker(1)
                # a lease of 6 s, the time until its expiry is noticed, and the run
                await deployment.wait_for_state(JOB_ID, "completed", 6.6 + 1.2 + 4 + 0.5)
                await deployment.wait_for_state(OTHER_JOB_ID, "completed", 10)
                self.assertEqual([], deployment.fleet.violations)

        run_virtual(main)

    def test_runs_of_an_unresponsive_worker_end_with_their_leases(self):
        # calls that the worker did not answer extended the lease expiry that the leader assumed,
        # so the run never ended
        async def main():
            async with Deployment(workers=2) as deployment:
                worker = await deployment.occupy_worker(2000)
                worker.unresponsive = True
                await deployment.wait_for_state(JOB_ID, "completed", 14)
                self.assertEqual([], deployment.fleet.violations)

        run_virtual(main)

    def test_runs_of_a_restarted_worker_start_again(self):
        async def main():
            async with Deployment(workers=1) as deployment:
                await deployment.submit(JOB_ID, job(step(2), ms=1500))
                await deployment.wait_for_state(JOB_ID, "running")
                deployment.fleet.workers["w0"].restart()
                deployment.register("w0")
                await deployment.wait_for_state(JOB_ID, "completed", 8)
                self.assertEqual([2, 2], list(deployment.fleet.starts.values()))

        run_virtual(main)

    def test_unread_ends_of_a_restarted_worker_are_not_acknowledged(self):
        # after an outage, the leader's first list call acknowledged run ends up to a sequence
        # number from before the worker's restart; the restarted worker, which numbers run ends from
        # 1 again, dropped ends that the leader had not read, and completed tasks ran again (soak
        # seed 100)
        async def main():
            async with Deployment(workers=1) as deployment:
                await deployment.submit(OTHER_JOB_ID, job(step(4), ms=100))
                await deployment.wait_for_state(OTHER_JOB_ID, "completed")
                await trio.sleep(2)
                await deployment.submit(JOB_ID, job(step(2), ms=300))
                await self.restart_during_an_order(deployment, unanswered_path="/hold")
                await trio.sleep(1)
                deployment.fleet.workers["w0"].unanswered_path = ""
                self.register_all(deployment)
                await deployment.wait_for_state(JOB_ID, "completed", 12)
                self.assertEqual([], deployment.fleet.violations)
                self.assertEqual([1] * 6, list(deployment.fleet.starts.values()))

        run_virtual(main)

    def test_runs_of_a_worker_that_left_start_again_immediately(self):
        # the runs waited 6 s for their leases to expire although the worker had announced its
        # shutdown
        async def main():
            async with Deployment(workers=2) as deployment:
                worker = await deployment.occupy_worker(2000)
                deployment.register(worker.id, state="draining")
                await trio.sleep(1)
                worker.restart()
                worker.unresponsive = True
                deployment.store.delete("servers", worker.id)
                await deployment.wait_for_state(JOB_ID, "completed", 4)
                self.assertEqual([], deployment.fleet.violations)

        run_virtual(main)

    def test_unresponsive_draining_worker_keeps_its_runs(self):
        async def main():
            async with Deployment(workers=2) as deployment:
                worker = await deployment.occupy_worker(4000)
                deployment.register(worker.id, state="draining")
                worker.unresponsive = True
                await trio.sleep(3.3)
                deployment.store.delete("servers", worker.id)
                await deployment.wait_for_state(JOB_ID, "completed", 20)
                self.assertEqual([], deployment.fleet.violations)

        run_virtual(main)

    def test_draining_worker_gets_no_new_work(self):
        async def main():
            async with Deployment(workers=2) as deployment:
                deployment.register("w0", state="draining")
                await trio.sleep(0.5)
                await deployment.submit(JOB_ID, job(step(4)))
                await deployment.wait_for_state(JOB_ID, "completed")
                self.assertFalse(deployment.fleet.workers["w0"].highest_run_by_task)

        run_virtual(main)

    def test_invalid_worker_registrations_are_ignored(self):
        async def main():
            async with Deployment(workers=1) as deployment:
                for name, value in (("x1", b"\xff"), ("x2", {"state": "ready"}), ("x3", [])):
                    deployment.store.put("servers", name, value)
                await deployment.submit(JOB_ID, job(step()))
                await deployment.wait_for_state(JOB_ID, "completed")

        run_virtual(main)

    def test_registration_that_nobody_answers_holds_up_no_job(self):
        # its rack seemed to fit units that wait for an empty rack
        async def main(fields):
            async with Deployment() as deployment:
                stale = deployment.fleet.workers["w0"].registration("w9:80", rack="r9")
                deployment.store.put("servers", "w9", {**stale, "capacity": CAPACITY})
                await trio.sleep(1)
                await deployment.submit(JOB_ID, job(step(20, **fields)))
                await deployment.wait_for_state(JOB_ID, "completed", 60)
                self.assertEqual([], deployment.fleet.violations)

        for fields in ({"affinity": "r9"}, {"sameRack": True, "gang": True}):
            with self.subTest(fields=fields):
                run_virtual(functools.partial(main, fields))

    def test_worker_that_fails_all_runs_gets_no_new_work(self):
        async def main():
            async with Deployment(workers=2) as deployment:
                deployment.fleet.workers["w0"].fail_all_runs = True
                for n in range(6):
                    await deployment.submit(f"{n}0000000000000a1", job(step(1, 8), ms=200))
                await trio.sleep(6)
                states = [await deployment.state(f"{n}0000000000000a1") for n in range(6)]
                self.assertGreaterEqual(states.count("completed"), 5)

        run_virtual(main)


if __name__ == "__main__":
    unittest.main()
