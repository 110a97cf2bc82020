"""Tests that the soak leaves no processes behind."""

import shutil
import tempfile
import unittest
from unittest import mock

import trio
import trio.testing

from tests.soak import cluster as cluster_module
from tests.soak.cluster import Cluster
from tests.soak.process import EntryProcess


class FakeProcess:
    """A process that stays alive until the test ends."""

    def poll(self):
        return None


class ClusterTest(unittest.TestCase):
    def test_failed_start_leaves_no_process(self):
        # guards against processes that outlive a failed start: an entry's port was in use, so the
        # start failed, and two entry processes ran on for hours
        cluster = Cluster(entries=2, workers=1)

        async def main():
            async with cluster.running():
                self.fail("the cluster started")

        with mock.patch.object(cluster_module, "START_TIMEOUT_SECONDS", 0.0):
            with self.assertRaises(BaseException) as caught:
                trio.run(main)
        group = caught.exception
        while isinstance(group, BaseExceptionGroup):
            (group,) = group.exceptions
        self.assertIsInstance(group, trio.TooSlowError)
        self.assertEqual(2, len(cluster.entries))
        self.assertFalse([name for name, entry in cluster.entries.items() if entry.alive])
        shutil.rmtree(cluster.log_directory)

    def test_concurrent_starts_leave_no_second_process(self):
        # guards against a process that is never ended: two concurrent restarts of one entry each
        # started a process, and only the second process was known (soak seed 112)
        directory = self.enterContext(tempfile.TemporaryDirectory())
        started = []

        async def open_process(*arguments, **options):
            await trio.testing.wait_all_tasks_blocked()
            started.append(arguments)
            return FakeProcess()

        async def main():
            entry = EntryProcess("e0", directory, 1)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(entry.start)
                nursery.start_soon(entry.start)

        with mock.patch.object(trio.lowlevel, "open_process", open_process):
            trio.run(main)
        self.assertEqual(1, len(started))


if __name__ == "__main__":
    unittest.main()
