"""Tests of the store's client: rows that are written while it reads, and malformed answers."""

import json
import math
import unittest

import trio

from ibiscart_entry.client import Response
from ibiscart_entry.metric import Metrics
from ibiscart_entry.table import HistoryLost, StoreError, TableConflict
from ibiscart_platform.table import PlatformTable
from ibiscart_schema.generated.store_pb2 import TableWrite
from tests.platform.deployment import run_virtual
from tests.standins.platform.store import PlatformStore
from tests.standins.table import Network

HUGE = 10**399
ROW = {"table": "t", "part": "", "key": "k", "value": "eA==", "ver": 3}
# answers of another form than any call expects
MALFORMED = [
    *(b"", b"\xff", b"[" * 100_000, b"1" * 5000, b'{"ver":5,"rows":['),
    *(None, [], [ROW], 5, "", {}, {"rows": [ROW]}, {"ver": 5}, {"ver": 5, "rows": {}}),
    *({"ver": ver, "rows": [], "parts": []} for ver in (HUGE, -1, True, None, "5", math.nan, [])),
]
MALFORMED_ROWS = [
    *(None, [], 5, "k", {}),
    *({**ROW, "value": value} for value in ("e", "\u00e9", 5, [ROW], True)),
    *({**ROW, name: value} for name in ("table", "part", "key") for value in (5, None, "\ud800")),
    *({**ROW, "ver": ver} for ver in (HUGE, -1, True, "3", math.inf)),
    *({**ROW, "key": "k" * 201}, {**ROW, "table": "other"}),
]


class _Client:
    """Answers each request with the next of ``documents``, at last with the same all the time."""

    def __init__(self, documents, status=200):
        self._documents = list(documents)
        self._status = status
        self.requests = 0

    async def request(self, method, target, **options):
        self.requests += 1
        await trio.lowlevel.checkpoint()
        if self.requests > 100:
            raise AssertionError("the client asks without end")
        document = self._documents.pop(0) if len(self._documents) > 1 else self._documents[0]
        body = document if isinstance(document, bytes) else json.dumps(document).encode()
        return Response(self._status, {}, body)


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


class MalformedAnswerTest(unittest.TestCase):
    """Guards against entries that ended at an answer of the store that has another form."""

    CALLS = {
        "get": ("t/k",),
        "scan": ("t/k",),
        "snapshot": ("t",),
        "changes": ("t", 1, 0.0),
        "transact": ([TableWrite(key="t/k", value=b"x", expected_version=2)],),
    }

    def call(self, name, documents, status=200):
        """Returns the result of a call to a store that answers with ``documents``."""
        client = _Client(documents, status)
        return trio.run(getattr(PlatformTable(client, client, Metrics()), name), *self.CALLS[name])

    def assert_malformed(self, name, documents, status=200):
        with self.subTest(call=name, status=status, documents=ascii(documents)[:80]):
            with self.assertRaises(StoreError) as caught:
                self.call(name, documents, status)
            self.assertEqual(("malformed", True), (caught.exception.reason, caught.exception.sent))

    def test_answer_of_another_form_is_a_malformed_answer(self):
        for name in self.CALLS:
            for document in MALFORMED:
                if name == "transact" and document in ({"ver": 5}, {"ver": 5, "rows": {}}):
                    continue
                self.assert_malformed(name, [document])

    def test_malformed_row_is_a_malformed_answer(self):
        for name in ("get", "scan", "snapshot", "changes"):
            for row in MALFORMED_ROWS:
                self.assert_malformed(name, [{"ver": 5, "rows": [row]}])
        for removed in ("yes", 1, []):
            self.assert_malformed("changes", [{"ver": 5, "rows": [{**ROW, "removed": removed}]}])

    def test_malformed_conflict_may_be_of_a_write_that_took_effect(self):
        # the version of the store is not needed in a conflict
        unusable = [document for document in MALFORMED if document != {"rows": [ROW]}]
        for document in (*unusable, {"ver": 5, "rows": []}):
            self.assert_malformed("transact", [document], 412)
        for row in MALFORMED_ROWS:
            if row != {**ROW, "table": "other"}:
                self.assert_malformed("transact", [{"ver": 5, "rows": [row]}], 412)
        with self.assertRaises(TableConflict) as caught:
            self.call("transact", [{"ver": 5, "rows": [{**ROW, "value": "", "ver": 0}]}], 412)
        self.assertEqual(0, caught.exception.rows[0].version)

    def test_lost_history_needs_no_body_and_other_calls_know_none(self):
        for body in (b"", b"x", b"[" * 100_000):
            with self.assertRaises(HistoryLost):
                self.call("changes", [body], 410)
        for name, status in (("get", 410), ("get", 412), ("snapshot", 410), ("transact", 410)):
            with self.subTest(name=name), self.assertRaises(StoreError) as caught:
                self.call(name, [{}], status)
            self.assertEqual(f"status_{status}", caught.exception.reason)

    def test_pages_without_progress_end_the_snapshot(self):
        parts = {"ver": 5, "parts": []}
        self.assert_malformed("snapshot", [{"ver": 5, "rows": [], "morePages": True}])
        self.assert_malformed("snapshot", [{"ver": 5, "rows": [ROW], "morePages": True}])
        self.assert_malformed("snapshot", [{"ver": 5, "rows": [ROW], "morePages": []}])
        full = [f"p{number:04}" for number in range(1000)]
        for names in (5, {}, [5], ["\ud800"], full):
            self.assert_malformed("snapshot", [{"ver": 5, "rows": []}, {**parts, "parts": names}])


if __name__ == "__main__":
    unittest.main()
