"""Guards the following of the journal against gaps, old state and lost peers."""

import math
import random
import unittest

import trio

from ibiscart_core.ledger import Ledger
from ibiscart_schema.generated.journal_pb2 import Record
from tests.entry.cluster import virtual
from tests.entry.journaling import change, now_us, started, version


class FollowTest(unittest.TestCase):
    @virtual
    async def test_old_duplicate_and_early_pushes_never_revert(self, nursery):
        """The configuration must not go back when pushes are late or out of order (P8)."""
        cluster = await started(nursery, names=("a",))
        a = cluster.nodes["a"]
        # only pushes reach the entry
        cluster.table.faults.down = True
        records = [
            Record(region="alba", sequence=n, token=str(n), events=change(n)) for n in range(1, 6)
        ]
        seen = []
        for order in ([2], [2, 3], [1], [1, 2], [5], [3, 1], [4], [2, 4]):
            a.journal.offer([records[n - 1] for n in order])
            seen.append(version(a))
        self.assertEqual(seen, [0, 0, 3, 3, 3, 3, 5, 5])

    @virtual
    async def test_a_lost_push_is_read_from_the_store(self, nursery):
        """A change must be in effect everywhere soon even when its push was lost (P8)."""
        cluster = await started(nursery)
        a, b = cluster.nodes["a"], cluster.nodes["b"]
        # between two polls of b
        await trio.sleep(0.4)
        cluster.network.partition({"a"}, {"b"})
        await a.journal.append(change(1), now_us(), 0)
        await trio.sleep(0.1)
        cluster.network.heal()
        self.assertEqual(version(b), 0)
        await trio.sleep(2)
        self.assertEqual(version(b), 1)

    @virtual
    async def test_a_gap_is_filled_from_a_peer_while_the_store_is_down(self, nursery):
        """A lost push must not stop an entry for as long as the store is down."""
        cluster = await started(nursery)
        a, b = cluster.nodes["a"], cluster.nodes["b"]
        cluster.network.partition({"b"}, {"table:1"})
        cluster.network.partition({"a"}, {"b"})
        await a.journal.append(change(1), now_us(), 0)
        await trio.sleep(0.2)
        cluster.network.partition({"a"}, {"table:1"})
        cluster.network.blocked -= {("a", "b"), ("b", "a")}
        await trio.sleep(6)
        self.assertEqual(version(b), 1)
        self.assertGreater(b.journal.confirmed_age(), 5, "a peer does not confirm the position")

    @virtual
    async def test_a_confirmed_position_is_one_that_the_store_had_at_that_time(self, nursery):
        """A confirmation that a peer passes on must not look newer than the store's."""
        cluster = await started(nursery, ("a", "b", "c"))
        network, rng = cluster.network, random.Random(1)
        a, b = cluster.nodes["a"], cluster.nodes["b"]
        network.latency = 0.1
        network.partition({"b"}, {"table:1"})
        # half of the pushes are lost and other messages are late
        network.request_delay = lambda sender, address, request: (
            rng.choice((0, 60)) if request.path == "/peer/push" else rng.uniform(0, 0.4)
        )
        heads, number = [], 0
        start = trio.current_time()
        for step in range(2000):
            await trio.sleep(0.01)
            now = trio.current_time()
            head = cluster.table.rows.get("journal/alba/head")
            heads.append(int(head.value) if head else 0)
            if step % 150 == 0:
                number += 1
                nursery.start_soon(a.journal.append, change(number), now_us(), number - 1)
                await trio.sleep(0)
            for node in cluster.nodes.values():
                confirmed = int((now - node.journal.confirmed_age() - start) / 0.01) - 2
                if 0 <= confirmed < step:
                    self.assertLessEqual(heads[confirmed], node.journal.sequence, node.id)
        self.assertLess(b.journal.confirmed_age(), 5, "b learns of the store from its peers")

    @virtual
    async def test_a_confirmation_counts_once_its_records_have_arrived(self, nursery):
        """An entry that lost a push must not ignore the confirmations that peers pass on.

        While changes go on, each confirmation is newer than the records of an entry that catches
        up, so its position looked older than it was.
        """
        cluster = await started(nursery)
        a, b = cluster.nodes["a"], cluster.nodes["b"]
        cluster.network.partition({"b"}, {"table:1"})
        cluster.network.partition({"a"}, {"b"})
        await a.journal.append(change(1), now_us(), 0)
        await a.journal.append(change(2), now_us(), 1)
        await trio.sleep(5)
        self.assertGreater(b.journal.confirmed_age(), 4)
        first, second = a.journal.records_after(0)
        confirmed_at = trio.current_time() - 1
        b.peers.on_confirmed(2, confirmed_at)
        b.journal.offer([first])
        self.assertGreater(b.journal.confirmed_age(), 4, "record 2 is missing")
        b.journal.offer([second])
        self.assertEqual(b.journal.confirmed_age(), trio.current_time() - confirmed_at)

    @virtual
    async def test_start_from_snapshot_and_tail(self, nursery):
        """A new entry must build the same state as those that applied every record."""
        cluster = await started(nursery, names=("a",), snapshot_records=10)
        a = cluster.nodes["a"]
        for number in range(1, 36):
            await a.journal.append(change(number), now_us())
            await trio.sleep(0.2)
        await trio.sleep(2)
        first = cluster.records()[0].sequence
        self.assertTrue(10 < first <= 25, first)
        c = cluster.start("c")
        await trio.sleep(2)
        self.assertEqual(c.journal.sequence, 35)
        self.assertEqual(c.state(), a.state())

    @virtual
    async def test_start_from_the_previous_snapshot(self, nursery):
        """Records are kept back to the previous snapshot, in case the newest is unreadable."""
        cluster = await started(nursery, names=("a",), snapshot_records=10)
        a = cluster.nodes["a"]
        for number in range(1, 36):
            await a.journal.append(change(number), now_us())
            await trio.sleep(0.2)
        await trio.sleep(2)
        del cluster.objects.objects[max(cluster.objects.objects)]
        # without a peer that could give its state
        cluster.kill("a")
        c = cluster.start("c")
        await trio.sleep(2)
        self.assertEqual(c.state(), a.state())

    @virtual
    async def test_snapshots_are_skipped_while_the_object_store_is_down(self, nursery):
        """Without a snapshot the rows are the only copy and must be kept."""
        cluster = await started(nursery, names=("a",), snapshot_records=10)
        cluster.objects.faults.down = True
        a = cluster.nodes["a"]
        for number in range(1, 36):
            await a.journal.append(change(number), now_us())
            await trio.sleep(0.2)
        await trio.sleep(30)
        self.assertEqual(len(cluster.records()), 35)
        cluster.objects.faults.down = False
        await trio.sleep(11)
        await a.journal.append(change(36), now_us())
        await trio.sleep(11)
        self.assertIn("snapshot/alba", cluster.table.rows)

    @virtual
    async def test_an_old_snapshot_does_not_replace_a_newer_one(self, nursery):
        """An entry that was paused while it stored a snapshot must not move the pointer back."""
        cluster = await started(nursery, names=("a", "b"), snapshot_records=10)
        a, b = cluster.nodes["a"], cluster.nodes["b"]
        for number in range(1, 6):
            await a.journal.append(change(number), now_us())
        old = a.journal.ledger.snapshot()
        for number in range(6, 30):
            await a.journal.append(change(number), now_us())
            await trio.sleep(0.2)
        await trio.sleep(3)
        stale = type(a.journal._snapshots)("alba", b.table, b.objects)
        pointer = cluster.table.rows["snapshot/alba"].value
        self.assertFalse(await stale.save(old))
        self.assertEqual(cluster.table.rows["snapshot/alba"].value, pointer)

    @virtual
    async def test_a_fresh_entry_starts_from_a_peer_while_the_store_is_down(self, nursery):
        """Replacing an entry must not need the store."""
        cluster = await started(nursery)
        await cluster.nodes["a"].journal.append(change(1), now_us(), 0)
        await trio.sleep(2)
        cluster.table.faults.down = True
        c = cluster.start("c")
        cluster.members.set_machine(cluster.machine("c"))
        await trio.sleep(6)
        self.assertTrue(c.journal.ready)
        self.assertEqual(c.state(), cluster.nodes["a"].state())
        self.assertEqual(c.journal.confirmed_age(), math.inf)

    @virtual
    async def test_a_fresh_entry_without_any_source_is_not_ready(self, nursery):
        """An entry with an empty state must not decide or answer."""
        cluster = await started(nursery, names=("a",))
        await cluster.nodes["a"].journal.append(change(1), now_us(), 0)
        cluster.table.faults.down = True
        cluster.kill("a")
        c = cluster.start("c")
        await trio.sleep(30)
        self.assertFalse(c.journal.ready)
        cluster.table.faults.down = False
        await trio.sleep(6)
        self.assertTrue(c.journal.ready)
        self.assertEqual(version(c), 1)

    @virtual
    async def test_confirmed_age_counts_from_the_start_of_the_operation(self, nursery):
        """An entry that was paused during a poll must not take its old view for a fresh one."""
        cluster = await started(nursery, names=("a",))
        a = cluster.nodes["a"]
        self.assertLess(a.journal.confirmed_age(), 1.1)
        cluster.network.pause("a")
        await trio.sleep(20)
        self.assertGreater(a.journal.confirmed_age(), 19)
        cluster.network.resume("a")
        await trio.sleep(0)
        self.assertGreater(a.journal.confirmed_age(), 19)
        await trio.sleep(4)
        self.assertLess(a.journal.confirmed_age(), 1.1)
        cluster.table.faults.delay = 1.5
        await trio.sleep(3)
        for _ in range(20):
            await trio.sleep(0.1)
            self.assertGreaterEqual(a.journal.confirmed_age(), 1.5)

    @virtual
    async def test_every_entry_builds_the_state_of_the_stored_records(self, nursery):
        """Replicas must agree with the journal itself, not only with each other."""
        cluster = await started(nursery)
        for number in range(1, 8):
            name = "ab"[number % 2]
            await cluster.nodes[name].journal.confirm()
            await cluster.nodes[name].journal.append(change(number), now_us())
        await trio.sleep(2)
        ledger = Ledger("alba")
        for record in cluster.records():
            ledger.apply(record)
        wanted = ledger.snapshot().SerializeToString(deterministic=True)
        self.assertEqual({n.state() for n in cluster.nodes.values()}, {wanted})

    @virtual
    async def test_a_slow_subscriber_does_not_hold_up_the_journal(self, nursery):
        """One stuck reader must not stop the state of the entry."""
        cluster = await started(nursery, names=("a",))
        a = cluster.nodes["a"]
        a.journal.subscribe()
        records = [Record(region="alba", sequence=n + 1, token=str(n)) for n in range(1100)]
        a.journal.offer(records)
        self.assertEqual(a.journal.sequence, 1100)
        self.assertGreater(a.metrics.value("dropped", "journal_subscriber"), 0)


if __name__ == "__main__":
    unittest.main()
