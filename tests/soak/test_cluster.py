"""Tests that the soak ends what it started."""

import shutil
import tempfile
import unittest
from unittest import mock

import trio
import trio.testing

from tests.soak import cluster as cluster_module
from tests.soak.cluster import Cluster, EntryProcess


class FakeProcess:
    """A process that lives until the test ends."""

    def poll(self):
        return None


class ClusterTest(unittest.TestCase):
    def test_start_that_fails_leaves_no_process(self):
        # two entry processes went on for hours after a port of theirs had been taken
        cluster = Cluster(entries=2, workers=1)

        async def main():
            async with cluster.running():
                self.fail("the cluster started")

        with mock.patch.object(cluster_module, "START_SECONDS", 0.0):
            with self.assertRaises(BaseException) as caught:
                trio.run(main)
        group = caught.exception
        while isinstance(group, BaseExceptionGroup):
            (group,) = group.exceptions
        self.assertIsInstance(group, trio.TooSlowError)
        self.assertEqual(2, len(cluster.entries))
        self.assertFalse([name for name, entry in cluster.entries.items() if entry.alive])
        shutil.rmtree(cluster.log_folder)

    def test_overlapping_starts_start_one_process(self):
        # two restarts of one entry each started it; the first process was never ended (seed 112)
        folder = self.enterContext(tempfile.TemporaryDirectory())
        started = []

        async def open_process(*arguments, **options):
            await trio.testing.wait_all_tasks_blocked()
            started.append(arguments)
            return FakeProcess()

        async def main():
            entry = EntryProcess("e0", folder, 1)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(entry.start)
                nursery.start_soon(entry.start)

        with mock.patch.object(trio.lowlevel, "open_process", open_process):
            trio.run(main)
        self.assertEqual(1, len(started))


if __name__ == "__main__":
    unittest.main()
