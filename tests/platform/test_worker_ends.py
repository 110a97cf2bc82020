"""More ends than a worker lists at a time, beside faults of the store, in virtual time."""

import functools
import unittest

import trio

from tests.platform.deployment import QUEUE_PATH, Deployment, job, run_virtual, step

JOB_IDS = [f"{number}0000000000000a1" for number in range(4)]
TASKS = 500
RUN_MS = 20_000


class WorkerEndTest(unittest.TestCase):
    async def run_tasks(self, disturb):
        """Runs tasks that end at the same time on one worker; ``disturb`` acts from then on."""
        async with Deployment(workers=1) as deployment:
            started_at = trio.current_time()
            for job_id in JOB_IDS:
                ms = RUN_MS - int((trio.current_time() - started_at) * 1000)
                body = job(step(TASKS, gpu=0, cpu=24, memMb=24, estimateMs=ms), ms=ms)
                self.assertEqual(200, await deployment.submit(job_id, body))
            await trio.sleep_until(started_at + RUN_MS / 1000 - 0.4)
            self.assertEqual(TASKS * len(JOB_IDS), len(deployment.fleet.starts))
            await disturb(deployment)
            for job_id in JOB_IDS:
                await deployment.wait_for_state(job_id, "completed", 60)
            self.assertEqual([], deployment.fleet.violations)
            self.assertEqual({1}, set(deployment.fleet.starts.values()))

    def check(self, disturb):
        run_virtual(functools.partial(self.run_tasks, disturb))

    def test_ends_beyond_the_list_are_not_lost_while_the_store_is_slow(self):
        # runs whose ends a full list left out were taken for absent and started again
        async def slow_down(deployment):
            deployment.store.delay = 0.2
            await trio.sleep(15)
            deployment.store.delay = 0.0

        self.check(slow_down)

    def test_ends_beyond_the_list_are_not_lost_while_the_store_is_silent(self):
        async def silence(deployment):
            deployment.store.unanswered_callers = set(deployment.entries)
            await trio.sleep(10)
            deployment.store.unanswered_callers = set()

        self.check(silence)

    def test_ends_beyond_the_list_are_not_lost_when_the_store_forgets_its_history(self):
        async def forget(deployment):
            for _ in range(20):
                deployment.store.compact()
                await trio.sleep(0.1)

        self.check(forget)

    def test_ends_beyond_the_list_are_not_lost_at_a_change_of_leader(self):
        async def kill_leader(deployment):
            await trio.sleep(0.6)
            deployment.kill_entry(deployment.leader().name)

        self.check(kill_leader)

    def test_stopped_runs_beyond_the_list_end(self):
        async def main():
            async with Deployment(workers=1) as deployment:
                worker = deployment.fleet.workers["w0"]
                body = job(step(TASKS, gpu=0, cpu=24, memMb=24, estimateMs=90_000), ms=90_000)
                for job_id in JOB_IDS[1:]:
                    self.assertEqual(200, await deployment.submit(job_id, body))
                await deployment.wait_until(lambda: len(worker.running) == 3 * TASKS)
                deployment.store.delay = 0.2
                for job_id in JOB_IDS[1:]:
                    await deployment.first_entry().call("DELETE", QUEUE_PATH + job_id)
                await deployment.wait_until(lambda: not worker.running, 10)
                deployment.store.delay = 0.0
                await deployment.submit(JOB_IDS[0], job(step(1, 8, cpu=64_000), ms=500))
                await deployment.wait_for_state(JOB_IDS[0], "completed", 20)

        run_virtual(main)


if __name__ == "__main__":
    unittest.main()
