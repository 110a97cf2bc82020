"""Guards the table client and the table stand-in against wrong conditions and lost answers."""

import unittest

import trio
import trio.testing

from ibiscart_entry.client import HttpClient
from ibiscart_entry.metric import Metrics
from ibiscart_entry.store import StoreBudget, StoreGuard
from ibiscart_entry.table import StoreError, TableConflict
from ibiscart_entry.tables.http import HttpTable
from ibiscart_schema.generated import settings_pb2
from ibiscart_schema.generated.store_pb2 import TableWrite
from tests.entry.cluster import virtual
from tests.standins.loopback import LOOPBACK
from tests.standins.table import HttpServer, Network, TableService


def make_table(client, metrics=None, timeout=2.0):
    metrics = metrics or Metrics()
    guard = StoreGuard(StoreBudget(1000, 1000), metrics, timeout=timeout)
    return HttpTable(client, guard)


def in_process(nursery, **options):
    network = Network(nursery)
    service = TableService()
    network.handlers["table"] = service.handle
    table = make_table(network.connect_from("a")("table"), **options)
    return table, service, network


class TableTest(unittest.TestCase):
    @virtual
    async def test_a_row_is_created_only_when_absent(self, nursery):
        """Two appends to one sequence must not both succeed."""
        table, _, _ = in_process(nursery)
        await table.transact([TableWrite(key="k/1", value=b"first", expected_version=0)])
        with self.assertRaises(TableConflict) as caught:
            await table.transact([TableWrite(key="k/1", value=b"second", expected_version=0)])
        self.assertEqual([row.value for row in caught.exception.rows], [b"first"])
        self.assertEqual((await table.get("k/1")).value, b"first")

    @virtual
    async def test_a_transaction_with_one_conflict_writes_nothing(self, nursery):
        """A half-applied transaction would leave a record without its head."""
        table, _, _ = in_process(nursery)
        with self.assertRaises(TableConflict) as caught:
            await table.transact(
                [
                    TableWrite(key="k/1", value=b"x", expected_version=0),
                    TableWrite(key="k/head", value=b"1", expected_version=7),
                ]
            )
        self.assertEqual([(r.key, r.version) for r in caught.exception.rows], [("k/head", 0)])
        self.assertIsNone(await table.get("k/1"))

    @virtual
    async def test_a_deleted_and_recreated_row_has_a_new_version(self, nursery):
        """A version that comes back would let an outdated write succeed."""
        table, _, _ = in_process(nursery)
        first = await table.transact([TableWrite(key="k", value=b"1")])
        await table.transact([TableWrite(key="k", delete=True)])
        second = await table.transact([TableWrite(key="k", value=b"2", expected_version=0)])
        self.assertNotEqual(first[0].version, second[0].version)

    @virtual
    async def test_scan_is_ordered_bounded_and_within_the_prefix(self, nursery):
        """A follower that skips or repeats rows would miss records."""
        table, _, _ = in_process(nursery)
        writes = [TableWrite(key=f"j/{n:03d}", value=b"%d" % n) for n in (3, 1, 2)]
        await table.transact([*writes, TableWrite(key="k/1", value=b"other")])
        rows = await table.scan("j/", limit=2)
        self.assertEqual([row.key for row in rows], ["j/001", "j/002"])
        rows = await table.scan("j/", after="j/002")
        self.assertEqual([row.key for row in rows], ["j/003"])

    @virtual
    async def test_a_lost_answer_is_reported_as_sent(self, nursery):
        """An append whose answer was lost must not be taken for one that failed."""
        table, service, _ = in_process(nursery)
        service.faults.lose = 1.0
        with self.assertRaises(StoreError) as caught:
            await table.transact([TableWrite(key="k", value=b"1")])
        self.assertTrue(caught.exception.sent)
        service.faults.lose = 0.0
        self.assertEqual((await table.get("k")).value, b"1")

    @virtual
    async def test_refused_writes_have_no_effect(self, nursery):
        """The stand-in's refusal must differ from a lost answer, or tests show nothing."""
        table, service, _ = in_process(nursery)
        service.faults.refuse_writes = True
        with self.assertRaises(StoreError):
            await table.transact([TableWrite(key="k", value=b"1")])
        self.assertIsNone(await table.get("k"))

    def test_over_sockets_with_keys_that_need_quoting(self):
        """Keys with slashes and percent signs must arrive unchanged over HTTP."""

        async def main():
            service = TableService()
            settings = settings_pb2.ServerSettings(
                address=f"{LOOPBACK}:0",
                max_connections=8,
                max_body_bytes=1 << 20,
                header_timeout_seconds=5,
                body_timeout_seconds=5,
            )
            server = HttpServer(service.handle, settings)
            async with trio.open_nursery() as nursery:
                port = await nursery.start(server.serve)
                client = HttpClient(f"{LOOPBACK}:{port}")
                table = make_table(client, timeout=10.0)
                key = "claim/labels/a%2Fb c"
                await table.transact([TableWrite(key=key, value=b"\x00\xff")])
                row = await table.get(key)
                self.assertEqual((row.key, row.value), (key, b"\x00\xff"))
                self.assertEqual([r.key for r in await table.scan("claim/")], [key])
                response = await client.request(
                    "POST", "/control", body=b'{"down": true}', timeout=10
                )
                self.assertEqual(response.status, 200)
                with self.assertRaises(StoreError):
                    await table.get(key)
                await client.aclose()
                nursery.cancel_scope.cancel()

        trio.run(main)


if __name__ == "__main__":
    unittest.main()
