"""Removal of ended jobs beside reads that are under way, in virtual time."""

import unittest

import trio

from ibiscart_entry.coordination.record import JOBS_TABLE
from tests.platform.deployment import JOB_ID, Deployment, job, run_virtual, step

RETENTION_SECONDS = 10.0


class _HeldTable:
    """Delays the result of the next read of jobs by one method until ``release`` is called."""

    def __init__(self, table, method):
        self._call = getattr(table, method)
        self._released = trio.Event()
        self.read = trio.Event()
        setattr(table, method, self._hold)

    async def _hold(self, name, *arguments, **options):
        result = await self._call(name, *arguments, **options)
        if self.read.is_set() or not name.startswith(JOBS_TABLE):
            return result
        self.read.set()
        await self._released.wait()
        return result

    def release(self):
        """Lets the delayed call return."""
        self._released.set()


class JobRemovalTest(unittest.TestCase):
    def check(self, method, read):
        """Checks that a job is not run again by a read that began before its removal."""

        async def main():
            async with Deployment(entries=1, retention_seconds=RETENTION_SECONDS) as deployment:
                await deployment.submit(JOB_ID, job(step()))
                await deployment.wait_for_state(JOB_ID, "completed")
                table = _HeldTable(deployment.first_entry().table, method)
                read(deployment)
                await table.read.wait()
                await deployment.wait_until(lambda: self.is_removed(deployment), 30)
                await trio.sleep(1)
                table.release()
                await trio.sleep(5)
                self.assertEqual([1], list(deployment.fleet.starts.values()))
                # the id may be used again
                await deployment.submit(JOB_ID, job(step()))
                await deployment.wait_for_state(JOB_ID, "completed")
                self.assertEqual([2], list(deployment.fleet.starts.values()))

        run_virtual(main)

    @staticmethod
    def is_removed(deployment):
        """Returns True if no row of the job is left."""
        return not any(JOB_ID in key for _, _, key in deployment.store.rows)

    def test_job_is_not_run_again_by_a_snapshot_that_began_before_its_removal(self):
        def lose_history(deployment):
            deployment.store.compact()

        self.check("snapshot", lose_history)

    def test_job_is_not_run_again_by_an_announcement_that_was_read_before_its_removal(self):
        def announce(deployment):
            deployment.leader().leader.coordinator.announce([JOB_ID])

        self.check("scan", announce)


if __name__ == "__main__":
    unittest.main()
