"""Starts that were planned before their worker began to drain, in virtual time."""

import unittest

import trio

from ibiscart_entry.coordination.record import PROGRESS_TABLE
from tests.platform.deployment import JOB_ID, Deployment, job, run_virtual, step


class DrainingWorkerTest(unittest.TestCase):
    def check(self, document):
        """Checks that a start whose record is slow is not sent to a worker that drains by then."""

        async def main():
            async with Deployment() as deployment:
                leader = deployment.leader()
                transact = leader.table.transact
                planned, released = trio.Event(), trio.Event()

                async def hold(writes, **options):
                    if any(write.key.startswith(PROGRESS_TABLE + "/") for write in writes):
                        planned.set()
                        await released.wait()
                    return await transact(writes, **options)

                leader.table.transact = hold
                await deployment.submit(JOB_ID, document)
                await planned.wait()
                fleet = leader.leader.coordinator._engine.fleet
                draining = next(w.id for w in fleet.workers.values() if w.units_by_run)
                deployment.register(draining, state="draining")
                await trio.sleep(0.5)
                released.set()
                await deployment.wait_for_state(JOB_ID, "completed")
                self.assertEqual({}, deployment.fleet.workers[draining].highest_run_by_task)
                self.assertEqual([], deployment.fleet.violations)

        run_virtual(main)

    def test_task_is_not_started_on_a_worker_that_drains_since_its_plan(self):
        # the worker would have left with the task
        self.check(job(step()))

    def test_gang_is_not_started_on_a_worker_that_drains_since_its_plan(self):
        # its other members would have waited for the one on that worker
        self.check(job(step(2, 8, gang=True), gang=2))


if __name__ == "__main__":
    unittest.main()
