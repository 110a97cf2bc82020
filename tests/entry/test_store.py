"""Guards the store's clients against overload, and appends against waiting for snapshots."""

import unittest

import trio

from ibiscart_core.retry import BreakerState
from ibiscart_entry.metric import Metrics
from ibiscart_entry.store import ObjectStore, StoreBudget, StoreGuard
from ibiscart_entry.table import StoreError
from ibiscart_entry.tables.http import HttpTable
from ibiscart_schema.generated.store_pb2 import TableWrite
from tests.entry.cluster import virtual
from tests.standins.objects import ObjectService
from tests.standins.table import Network, TableService


class Store:
    """A table and an object store behind one budget."""

    def __init__(self, nursery, writes=40, reads=200):
        self.network = Network(nursery)
        self.service = TableService()
        self.objects_service = ObjectService()
        self.network.handlers["table"] = self.service.handle
        self.network.handlers["objects"] = self.objects_service.handle
        connect = self.network.connect_from("a")
        self.metrics = Metrics()
        budget = StoreBudget(writes, reads)
        self.guard = StoreGuard(budget, self.metrics, timeout=2)
        self.table = HttpTable(connect("table"), self.guard)
        self.objects = ObjectStore(connect("objects"), StoreGuard(budget, self.metrics, timeout=2))

    async def write(self, key="k", low_priority=False):
        await self.table.transact([TableWrite(key=key, value=b"1")], low_priority=low_priority)

    async def open_breaker(self):
        self.service.faults.down = True
        for _ in range(5):
            try:
                await self.write()
            except StoreError:
                pass
        assert self.guard.breaker.state is BreakerState.OPEN


class StoreTest(unittest.TestCase):
    @virtual
    async def test_objects_are_read_back(self, nursery):
        """A snapshot that changes on the way would give a new entry a wrong state."""
        store = Store(nursery)
        data = bytes(range(256)) * 100
        await store.objects.put("snapshot/alba/0001", data)
        self.assertEqual(await store.objects.get("snapshot/alba/0001"), data)
        self.assertIsNone(await store.objects.get("snapshot/alba/0002"))

    @virtual
    async def test_writes_stay_within_the_budget(self, nursery):
        """One entry must not use up the rates of all entries."""
        store = Store(nursery, writes=10)
        start = trio.current_time()
        for _ in range(40):
            await store.write()
        self.assertGreaterEqual(trio.current_time() - start, 2.9)

    @virtual
    async def test_appends_go_before_snapshots(self, nursery):
        """Work that can wait must not delay an append."""
        store = Store(nursery, writes=10)
        done = []

        async def snapshots():
            for number in range(40):
                await store.objects.put(f"s{number}", b"x", low_priority=True)

        async with trio.open_nursery() as inner:
            inner.start_soon(snapshots)
            await trio.sleep(1)
            for _ in range(20):
                start = trio.current_time()
                await store.write()
                done.append(trio.current_time() - start)
                await trio.sleep(0.12)
            inner.cancel_scope.cancel()
        self.assertLess(max(done), 0.05)

    @virtual
    async def test_nothing_is_sent_while_the_breaker_is_open(self, nursery):
        """Calls to a store that is down would all wait for their timeouts."""
        store = Store(nursery)
        await store.open_breaker()
        sent = store.metrics.value("store_operations", "transact")
        with self.assertRaises(StoreError) as caught:
            await store.write()
        self.assertEqual((caught.exception.reason, caught.exception.sent), ("breaker_open", False))
        self.assertEqual(store.metrics.value("store_operations", "transact"), sent)

    @virtual
    async def test_the_rate_ramps_up_after_an_outage(self, nursery):
        """The waiting work of all entries must not bring the store down again."""
        store = Store(nursery, writes=40)
        await store.open_breaker()
        store.service.faults.down = False
        await trio.sleep(1.1)
        start = trio.current_time()
        times = []

        async def client():
            while True:
                try:
                    await store.write()
                    times.append(trio.current_time() - start)
                except StoreError:
                    await trio.sleep(0.1)

        async with trio.open_nursery() as inner:
            for _ in range(20):
                inner.start_soon(client)
            await trio.sleep(8)
            inner.cancel_scope.cancel()
        rates = [sum(s <= t < s + 1 for t in times) for s in range(8)]
        self.assertLess(rates[0], 16, rates)
        self.assertGreater(rates[7], 35, rates)

    @virtual
    async def test_a_probe_is_left_to_urgent_work(self, nursery):
        """A snapshot's probe would delay the first append after an outage."""
        store = Store(nursery)
        await store.open_breaker()
        store.service.faults.down = False
        await trio.sleep(1.1)
        with self.assertRaises(StoreError):
            await store.write(low_priority=True)
        await store.write()

    @virtual
    async def test_conflicts_do_not_open_the_breaker(self, nursery):
        """A conflict is an answer of a store that works."""
        store = Store(nursery)
        await store.write()
        for _ in range(8):
            with self.assertRaises(Exception) as caught:
                await store.table.transact([TableWrite(key="k", expected_version=99)])
            self.assertNotIsInstance(caught.exception, StoreError)
        self.assertIs(store.guard.breaker.state, BreakerState.CLOSED)

    @virtual
    async def test_an_outage_of_one_service_leaves_the_other_in_use(self, nursery):
        """Snapshots that fail must not stop appends."""
        store = Store(nursery)
        store.objects_service.faults.down = True
        for _ in range(6):
            with self.assertRaises(StoreError):
                await store.objects.put("k", b"x")
        await store.write()


if __name__ == "__main__":
    unittest.main()
