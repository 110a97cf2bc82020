"""Tests of workers' failures over the stand-ins, in virtual time."""

import unittest

import trio

from tests.platform.deployment import ID, OTHER, Deployment, job, run_virtual, step


class WorkerTest(unittest.TestCase):
    def test_start_that_is_carried_out_late_runs_once(self):
        async def main():
            async with Deployment(workers=1) as deployment:
                worker = deployment.fleet.workers["w0"]
                worker.late_rate = 1.0
                await deployment.submit(ID, job(step(), ms=500))
                await trio.sleep(0.7)
                worker.late_rate = 0.0
                await deployment.wait_state(ID, "completed")
                await trio.sleep(4)
                self.assertEqual([], deployment.fleet.violations)

        run_virtual(main)

    def test_order_without_an_answer_counts_although_the_next_one_was_not_sent(self):
        # the worker's place was given up when the second try found no connection, and the first
        # order was carried out later, beside the next run (TWICE in a hunted day)
        async def main():
            async with Deployment(workers=2) as deployment:
                worker = deployment.fleet.workers["w0"]
                worker.late_rate, worker.late_seconds = 1.0, 2.5
                await deployment.submit(ID, job(step(1, 8), ms=4000))
                await trio.sleep(0.3)
                handler = deployment.network.handlers.pop("w0:80")
                await trio.sleep(1.7)
                worker.late_rate = 0.0
                deployment.network.handlers["w0:80"] = handler
                await deployment.wait_state(ID, "completed", 20)
                self.assertEqual([], deployment.fleet.violations)

        run_virtual(main)

    def test_silent_worker_is_given_up_after_its_leases(self):
        # unanswered calls moved the assumed end of the leases, so the run was never given up
        async def main():
            async with Deployment(workers=2) as deployment:
                busy = await deployment.start_busy(2000)
                busy.unresponsive = True
                await deployment.wait_state(ID, "completed", 14)
                self.assertEqual([], deployment.fleet.violations)

        run_virtual(main)

    def test_worker_restarted_under_its_id_loses_its_runs(self):
        async def main():
            async with Deployment(workers=1) as deployment:
                await deployment.submit(ID, job(step(2), ms=1500))
                await deployment.wait_state(ID, "running")
                deployment.fleet.workers["w0"].restart()
                deployment.register("w0")
                await deployment.wait_state(ID, "completed", 8)
                self.assertEqual([2, 2], list(deployment.fleet.starts.values()))

        run_virtual(main)

    def test_ends_of_a_worker_that_started_again_are_not_acknowledged_unread(self):
        # the first list after a silence carried the former life's acknowledgement; the worker
        # forgot the ends of its new life, and done tasks ran again (soak seed 100)
        async def main():
            async with Deployment(workers=1) as deployment:
                await deployment.submit(OTHER, job(step(4), ms=100))
                await deployment.wait_state(OTHER, "completed")
                await trio.sleep(1)
                worker = deployment.fleet.workers["w0"]
                worker.restart()
                worker.unanswered_path = "/hold"
                await deployment.submit(ID, job(step(2), ms=300))
                await trio.sleep(1)
                worker.unanswered_path = ""
                await deployment.wait_state(ID, "completed", 12)
                self.assertEqual([], deployment.fleet.violations)
                self.assertEqual([1] * 6, list(deployment.fleet.starts.values()))

        run_virtual(main)

    def test_runs_of_a_worker_that_has_left_start_again_at_once(self):
        # they waited for their leases, 6 s, although the worker had announced its end
        async def main():
            async with Deployment(workers=2) as deployment:
                busy = await deployment.start_busy(2000)
                deployment.register(busy.id, state="draining")
                await trio.sleep(1)
                busy.restart()
                busy.unresponsive = True
                deployment.store.delete("servers", busy.id)
                await deployment.wait_state(ID, "completed", 4)
                self.assertEqual([], deployment.fleet.violations)

        run_virtual(main)

    def test_leaving_worker_that_fell_silent_keeps_its_runs(self):
        async def main():
            async with Deployment(workers=2) as deployment:
                busy = await deployment.start_busy(4000)
                deployment.register(busy.id, state="draining")
                busy.unresponsive = True
                await trio.sleep(3.3)
                deployment.store.delete("servers", busy.id)
                await deployment.wait_state(ID, "completed", 20)
                self.assertEqual([], deployment.fleet.violations)

        run_virtual(main)

    def test_draining_worker_gets_no_new_work(self):
        async def main():
            async with Deployment(workers=2) as deployment:
                deployment.register("w0", state="draining")
                await trio.sleep(0.5)
                await deployment.submit(ID, job(step(4)))
                await deployment.wait_state(ID, "completed")
                self.assertFalse(deployment.fleet.workers["w0"].highest_run_by_task)

        run_virtual(main)

    def test_entry_of_another_writer_names_no_worker(self):
        async def main():
            async with Deployment(workers=1) as deployment:
                for name, value in (("x1", b"\xff"), ("x2", {"state": "ready"}), ("x3", [])):
                    deployment.store.put("servers", name, value)
                await deployment.submit(ID, job(step()))
                await deployment.wait_state(ID, "completed")

        run_virtual(main)

    def test_worker_that_fails_everything_gets_no_new_work(self):
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
