"""Tests that the soak ends what it started."""

import shutil
import unittest
from unittest import mock

import trio

from tests.soak import cluster as cluster_module
from tests.soak.cluster import Cluster


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


if __name__ == "__main__":
    unittest.main()
