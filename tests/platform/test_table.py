"""Tests of the store's client against rows that are written while it reads."""

import unittest

import trio

from ibiscart_entry.metric import Metrics
from ibiscart_platform.table import PlatformTable
from tests.platform.deployment import run_virtual
from tests.standins.platform.store import PlatformStore
from tests.standins.table import Network


class SnapshotTest(unittest.TestCase):
    def test_changes_after_a_snapshot_return_the_rows_that_it_lacks(self):
        """Guards against lost jobs: one accepted while a new leader read them never ran.

        Its row was the first of its partition, written after the partitions were listed and
        before their rows were read.
        """

        async def main(written_after):
            async with trio.open_nursery() as nursery:
                store = PlatformStore()
                network = Network(nursery)
                await nursery.start(store.run)
                store.put("jobs", "a1", {}, partition="a")
                calls = 0

                async def handle(request):
                    nonlocal calls
                    calls += 1
                    response = await store.handle(request)
                    if calls == written_after:
                        store.put("jobs", "e1", {}, partition="e")
                    return response

                network.handlers["store"] = handle
                connect = network.connect_from("e0")
                table = PlatformTable(connect("store"), connect("store"), Metrics())
                if not written_after:
                    store.put("jobs", "e1", {}, partition="e")
                snapshot = await table.snapshot("jobs")
                calls_of_snapshot = calls
                if calls < written_after:
                    store.put("jobs", "e1", {}, partition="e")
                changes = await table.changes("jobs", snapshot.version, 0.0)
                keys = {row.key for row in (*snapshot.rows, *changes.rows)}
                self.assertEqual({"jobs.a/a1", "jobs.e/e1"}, keys)
                nursery.cancel_scope.cancel()
            return calls_of_snapshot

        for written_after in range(1 + run_virtual(lambda: main(0))):
            with self.subTest(written_after=written_after):
                run_virtual(lambda written_after=written_after: main(written_after))


if __name__ == "__main__":
    unittest.main()
