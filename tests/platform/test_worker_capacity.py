"""Tests of workers whose capacity shrinks and grows while they run, in virtual time."""

import unittest

import trio

from tests.platform.deployment import JOB_ID, Deployment, job, run_virtual, step
from tests.standins.platform.worker import CAPACITY_GRACE_SECONDS


class WorkerCapacityTest(unittest.TestCase):
    async def submit_tasks(self, deployment, seconds, first=0, accelerators=2):
        """Submits a job of three short tasks every 0.1 s for some seconds; returns their ids."""
        job_ids = []
        ends_at = trio.current_time() + seconds
        while trio.current_time() < ends_at:
            job_id = f"{len(job_ids) % 16:x}{first + len(job_ids):015x}"
            document = job(step(3, accelerators), ms=700, gpu=accelerators)
            self.assertEqual(200, await deployment.submit(job_id, document))
            job_ids.append(job_id)
            await trio.sleep(0.1)
        return job_ids

    def change_capacity(self, deployment, name, accelerators):
        """Changes a worker's capacity, and its registration."""
        deployment.fleet.workers[name].change_capacity(accelerators)
        deployment.register(name)

    def test_no_start_exceeds_a_capacity_that_has_shrunk(self):
        async def main():
            async with Deployment(workers=3) as deployment:
                job_ids = await self.submit_tasks(deployment, 3.0)
                for name, accelerators in (("w0", 2), ("w1", 0), ("w0", 1), ("w2", 4)):
                    self.change_capacity(deployment, name, accelerators)
                    await trio.sleep(0.5)
                    first = len(job_ids)
                    job_ids += await self.submit_tasks(deployment, 6.0, first)
                for name in ("w0", "w1", "w2"):
                    self.change_capacity(deployment, name, 8)
                for job_id in job_ids:
                    await deployment.wait_for_state(job_id, "completed", 120)
                self.assertEqual([], deployment.fleet.violations)

        run_virtual(main)

    def test_runs_above_a_capacity_that_has_shrunk_go_on_and_count(self):
        async def main():
            async with Deployment(workers=1) as deployment:
                await deployment.submit(JOB_ID, job(step(3, 2), ms=12_000, gpu=2))
                await deployment.wait_for_state(JOB_ID, "running")
                self.change_capacity(deployment, "w0", 4)
                other = JOB_ID.replace("a1", "b1")
                await deployment.submit(other, job(step(1, 2), ms=500, gpu=2))
                await deployment.wait_for_state(JOB_ID, "completed")
                await deployment.wait_for_state(other, "completed")
                self.assertEqual({1}, set(deployment.fleet.starts.values()))
                self.assertEqual([], deployment.fleet.violations)

        run_virtual(main)

    def test_capacity_that_grows_again_is_used(self):
        async def main():
            async with Deployment(workers=1) as deployment:
                self.change_capacity(deployment, "w0", 1)
                await trio.sleep(1)
                await deployment.submit(JOB_ID, job(step(1, 8), ms=500, gpu=8))
                await trio.sleep(3)
                self.assertEqual("queued", await deployment.state(JOB_ID))
                self.change_capacity(deployment, "w0", 8)
                await deployment.wait_for_state(JOB_ID, "completed", 3)

        run_virtual(main)

    def test_capacity_is_known_in_time_after_the_connection_has_stalled(self):
        # the leader noticed only after the long poll's 5 s that no answer came, and started tasks
        # on workers that had shrunk, or that were draining
        async def main(stalled_at):
            async with Deployment(workers=2) as deployment:
                fleet = deployment.leader().leader.coordinator._engine.fleet
                await trio.sleep_until(stalled_at)
                deployment.store.stall_open_polls()
                self.change_capacity(deployment, "w0", 1)
                await deployment.wait_until(
                    lambda: fleet.get("w0").info.capacity.accelerators == 1,
                    CAPACITY_GRACE_SECONDS,
                )

        # some of these moments are soon after the beginning of a poll
        for moment in range(10):
            with self.subTest(moment=moment):
                run_virtual(lambda moment=moment: main(6.0 + 0.6 * moment))


if __name__ == "__main__":
    unittest.main()
