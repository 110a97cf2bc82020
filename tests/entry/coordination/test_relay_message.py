"""Tests that calls and answers between entries keep their meaning."""

import json
import unittest

from ibiscart_entry.coordination import relay_message
from ibiscart_entry.table import Changes, HistoryLost, Row, StoreError, TableConflict
from ibiscart_schema.generated.store_pb2 import TableWrite


def carried(document):
    return json.loads(json.dumps(document))


class RelayMessageTest(unittest.TestCase):
    def read(self, operation, document):
        return relay_message.answer_from(operation, carried(document))

    def test_rows_keep_value_and_version(self):
        document = relay_message.rows_document([Row("a/b", b"\x00\xff", 7)])
        row = self.read("get", document)
        self.assertEqual(("a/b", b"\x00\xff", 7), (row.key, row.value, row.version))
        self.assertEqual(1, len(self.read("scan", document)))
        self.assertIsNone(self.read("get", relay_message.rows_document([])))

    def test_changes_keep_what_was_removed(self):
        changes = self.read(
            "changes", relay_message.changes_document(Changes([Row("a/b", b"", 3)], ["a/c"], 9))
        )
        self.assertEqual((["a/c"], 9), (list(changes.removed), changes.version))

    def test_results_that_are_no_rows_come_as_such(self):
        conflict = self.read(
            "transact", relay_message.conflict_document(TableConflict([Row("a/b", b"x", 3)]))
        )
        self.assertIsInstance(conflict, TableConflict)
        self.assertEqual(b"x", conflict.rows[0].value)
        lost = self.read("changes", relay_message.lost_document(HistoryLost("a")))
        self.assertIsInstance(lost, HistoryLost)

    def test_error_tells_whether_the_call_may_have_taken_effect(self):
        # a write that may have taken effect was reported as refused
        for sent in (True, False):
            with self.assertRaises(StoreError) as caught:
                self.read("transact", relay_message.error_document(StoreError("timeout", sent)))
            self.assertEqual(("timeout", sent), (caught.exception.reason, caught.exception.sent))

    def test_write_keeps_its_condition(self):
        # 0 means that the row must be absent, no value that there is no condition
        for write in (
            TableWrite(key="a/b", value=b"x"),
            TableWrite(key="a/b", value=b"x", expected_version=0),
            TableWrite(key="a/b", delete=True, expected_version=5),
        ):
            self.assertEqual(
                write, relay_message.write_from(carried(relay_message.write_document(write)))
            )


if __name__ == "__main__":
    unittest.main()
