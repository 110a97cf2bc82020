"""Guards the journal against forked, lost, repeated and reverted records."""

import unittest

import trio

from ibiscart_entry.journal import AppendConflict, AppendLost
from ibiscart_entry.table import StoreError
from tests.entry.cluster import virtual
from tests.entry.journaling import change, now_us, started, version


class AppendTest(unittest.TestCase):
    @virtual
    async def test_a_lost_answer_is_resolved_as_success(self, nursery):
        """A record that was written must not be taken for a conflict or written twice."""
        cluster = await started(nursery)
        a, b = cluster.nodes["a"], cluster.nodes["b"]
        cluster.table.faults.lose = 1.0
        async with trio.open_nursery() as inner:
            inner.start_soon(a.journal.append, change(1), now_us(), 0)
            await trio.sleep(2.5)
            self.assertTrue(a.journal.undecided)
            self.assertEqual(a.journal.sequence, 0)
            cluster.table.faults.lose = 0.0
        await trio.sleep(1)
        self.assertEqual([r.sequence for r in cluster.records()], [1])
        self.assertEqual((version(a), version(b)), (1, 1))
        self.assertEqual(a.metrics.value("append_conflicts", "sequence"), 0)

    @virtual
    async def test_an_append_that_lands_late_conflicts_when_the_row_was_taken(self, nursery):
        """A write that seemed lost must not replace or precede the winner's record."""
        cluster = await started(nursery)
        a, b = cluster.nodes["a"], cluster.nodes["b"]
        cluster.network.request_delay = lambda s, d, r: (
            9.0 if (s, r.method) == ("a", "POST") else 0.0
        )
        outcomes = []

        async def append():
            try:
                await a.journal.append(change(1, "late"), now_us(), 0)
            except AppendConflict:
                outcomes.append("conflict")

        async with trio.open_nursery() as inner:
            inner.start_soon(append)
            await trio.sleep(0.5)
            await b.journal.append(change(1), now_us(), 0)
        await trio.sleep(12)
        self.assertEqual(outcomes, ["conflict"])
        self.assertEqual([r.writer for r in cluster.records()], ["b"])
        self.assertEqual(a.state(), b.state())
        self.assertEqual(version(a, "late"), 0)

    @virtual
    async def test_an_append_that_lands_late_first_is_the_winner(self, nursery):
        """Giving up on a sent append before its outcome is known would fork the journal."""
        cluster = await started(nursery)
        a, b = cluster.nodes["a"], cluster.nodes["b"]
        held = []

        def hold(sender, address, request):
            if (sender, address, request.path) == ("a", "table:1", "/v1/transact") and not held:
                held.append(request)
                return 3.0
            return 0.0

        cluster.network.request_delay = hold
        records = []

        async def append():
            records.append(await a.journal.append(change(1, "late"), now_us(), 0))

        async with trio.open_nursery() as inner:
            inner.start_soon(append)
            await trio.sleep(0.1)
            # a cannot resend, so only the held request can write its record
            cluster.network.partition({"a"}, {"table:1"})
            await trio.sleep(2.5)
            cluster.network.blocked.discard(("a", "table:1"))
            await trio.sleep(0.6)
            with self.assertRaises(AppendConflict):
                await b.journal.append(change(1), now_us(), 0)
            cluster.network.heal()
        self.assertEqual(records[0].sequence, 1)
        self.assertEqual([r.writer for r in cluster.records()], ["a"])
        self.assertEqual(version(b, "late"), 1)

    @virtual
    async def test_an_undecided_append_blocks_later_ones(self, nursery):
        """Different content for one sequence would make the outcome unknowable."""
        cluster = await started(nursery)
        a = cluster.nodes["a"]
        cluster.table.faults.lose = 1.0
        with trio.move_on_after(3):
            await a.journal.append(change(1), now_us(), 0)
        self.assertTrue(a.journal.undecided)
        with trio.move_on_after(3):
            await a.journal.append(change(1, "other"), now_us())
        cluster.table.faults.lose = 0.0
        record = await a.journal.append(change(2), now_us())
        self.assertEqual(record.sequence, 2)
        accounts = [r.events[0].contract_changed.contract for r in cluster.records()]
        self.assertEqual([(c.account, c.version) for c in accounts], [("labels", 1), ("labels", 2)])

    @virtual
    async def test_a_conflict_applies_the_winners_records(self, nursery):
        """A loser that decides again on its old state would conflict forever."""
        cluster = await started(nursery)
        a, b = cluster.nodes["a"], cluster.nodes["b"]
        cluster.network.partition({"a"}, {"b"})
        for number in range(1, 4):
            await b.journal.append(change(number), now_us())
        with self.assertRaises(AppendConflict):
            await a.journal.append(change(1, "mine"), now_us(), 0)
        self.assertEqual((a.journal.sequence, version(a)), (3, 3))

    @virtual
    async def test_a_record_decided_on_an_old_state_is_not_appended(self, nursery):
        """Events must only follow the state on which they were decided."""
        cluster = await started(nursery)
        a = cluster.nodes["a"]
        await a.journal.append(change(1), now_us(), 0)
        with self.assertRaises(AppendConflict):
            await a.journal.append(change(1, "other"), now_us(), 0)
        self.assertEqual(len(cluster.records()), 1)

    @virtual
    async def test_a_state_that_advances_while_the_head_is_read_is_a_conflict(self, nursery):
        """Events decided on an older state than the record before them would repeat commands."""
        cluster = await started(nursery)
        a, b = cluster.nodes["a"], cluster.nodes["b"]
        a.journal._rows.head = None
        cluster.network.request_delay = lambda s, d, r: 0.5 if (s, d) == ("a", "table:1") else 0.0
        outcomes = []

        async def append():
            try:
                await a.journal.append(change(1, "old"), now_us(), 0)
            except AppendConflict:
                outcomes.append("conflict")

        async with trio.open_nursery() as inner:
            inner.start_soon(append)
            await trio.sleep(0.1)
            await b.journal.append(change(1), now_us(), 0)
        self.assertEqual(outcomes, ["conflict"])
        self.assertEqual([r.writer for r in cluster.records()], ["b"])

    @virtual
    async def test_a_very_old_view_cannot_create_a_deleted_row_anew(self, nursery):
        """Rows are deleted after snapshots; an append to such a row would be lost."""
        cluster = await started(nursery, snapshot_records=10)
        a, b = cluster.nodes["a"], cluster.nodes["b"]
        await a.journal.append(change(1), now_us(), 0)
        await trio.sleep(1.5)
        cluster.network.partition({"a"}, {"b", "table:1", "objects:1"})
        await trio.sleep(3)
        for number in range(2, 40):
            await b.journal.append(change(number), now_us())
            await trio.sleep(0.2)
        await trio.sleep(3)
        self.assertGreater(cluster.records()[0].sequence, 2, "the row of the test is deleted")
        cluster.network.heal()
        self.assertEqual(a.journal.sequence, 1)
        with self.assertRaises(AppendConflict):
            await a.journal.append(change(1, "lost"), now_us(), 1)
        await trio.sleep(2)
        self.assertEqual(a.state(), b.state())
        self.assertNotIn(2, [r.sequence for r in cluster.records()])

    @virtual
    async def test_an_outcome_that_was_deleted_is_reported_as_lost(self, nursery):
        """A written record whose row is gone must not be reported as a conflict."""
        cluster = await started(nursery, snapshot_records=10)
        a, b = cluster.nodes["a"], cluster.nodes["b"]
        cluster.network.blocked.add(("table:1", "a"))
        cluster.network.blocked.add(("b", "a"))
        outcomes = []

        async def append():
            try:
                await a.journal.append(change(1), now_us(), 0)
            except AppendLost:
                outcomes.append("lost")

        async with trio.open_nursery() as inner:
            inner.start_soon(append)
            await trio.sleep(1)
            self.assertEqual(len(cluster.records()), 1)
            cluster.network.partition({"a"}, {"b", "table:1"})
            await trio.sleep(3)
            await b.journal.confirm()
            for number in range(2, 40):
                await b.journal.append(change(number), now_us())
                await trio.sleep(0.2)
            await trio.sleep(3)
            cluster.network.heal()
        self.assertEqual(outcomes, ["lost"])
        await trio.sleep(2)
        self.assertEqual(a.state(), b.state())

    @virtual
    async def test_an_append_that_was_not_sent_fails_at_once(self, nursery):
        """Work that cannot have been appended must be answered as not run."""
        cluster = await started(nursery)
        a = cluster.nodes["a"]
        del cluster.network.handlers["table:1"]
        with self.assertRaises(StoreError) as caught:
            await a.journal.append(change(1), now_us(), 0)
        self.assertFalse(caught.exception.sent)
        self.assertFalse(a.journal.undecided)


if __name__ == "__main__":
    unittest.main()
