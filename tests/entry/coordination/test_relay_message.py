"""Tests that relayed table calls and their responses survive the conversion to JSON and back."""

import json
import unittest

from ibiscart_entry.coordination import relay_message
from ibiscart_entry.table import Changes, HistoryLost, Row, StoreError, TableConflict
from ibiscart_schema.generated.store_pb2 import TableWrite


def round_trip(document):
    """Returns ``document`` after its conversion to JSON and back."""
    return json.loads(json.dumps(document))


class RelayMessageTest(unittest.TestCase):
    def parse(self, operation, document):
        """Returns the result of an operation whose response is ``document``, sent as JSON."""
        return relay_message.parse_response(operation, round_trip(document))

    def test_rows_keep_value_and_version(self):
        document = relay_message.rows_document([Row("a/b", b"\x00\xff", 7)])
        row = self.parse("get", document)
        self.assertEqual(("a/b", b"\x00\xff", 7), (row.key, row.value, row.version))
        self.assertEqual(1, len(self.parse("scan", document)))
        self.assertIsNone(self.parse("get", relay_message.rows_document([])))

    def test_changes_keep_removed_keys_and_version(self):
        changes = self.parse(
            "changes", relay_message.changes_document(Changes([Row("a/b", b"", 3)], ["a/c"], 9))
        )
        self.assertEqual((["a/c"], 9), (list(changes.removed), changes.version))

    def test_conflict_and_lost_history_are_returned(self):
        conflict = self.parse(
            "transact", relay_message.conflict_document(TableConflict([Row("a/b", b"x", 3)]))
        )
        self.assertIsInstance(conflict, TableConflict)
        self.assertEqual(b"x", conflict.rows[0].value)
        history_lost = self.parse("changes", relay_message.history_lost_document(HistoryLost("a")))
        self.assertIsInstance(history_lost, HistoryLost)

    def test_error_keeps_whether_the_call_was_sent(self):
        # without ``sent`` a write that may have taken effect was reported as refused
        for sent in (True, False):
            with self.assertRaises(StoreError) as caught:
                self.parse("transact", relay_message.error_document(StoreError("timeout", sent)))
            self.assertEqual(("timeout", sent), (caught.exception.reason, caught.exception.sent))

    def test_write_keeps_its_condition(self):
        # version 0 requires that the row is absent; without a version there is no condition
        for write in (
            TableWrite(key="a/b", value=b"x"),
            TableWrite(key="a/b", value=b"x", expected_version=0),
            TableWrite(key="a/b", delete=True, expected_version=5),
        ):
            self.assertEqual(
                write, relay_message.parse_write(round_trip(relay_message.write_document(write)))
            )


if __name__ == "__main__":
    unittest.main()
