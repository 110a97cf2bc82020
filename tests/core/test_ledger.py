"""Guards the state machine against diverging replicas and lossy snapshots."""

import unittest

from ibiscart_core.ledger import Ledger, SequenceError
from ibiscart_schema.generated.journal_pb2 import Record


class LedgerTest(unittest.TestCase):
    def test_refuses_a_record_out_of_sequence(self):
        """A late push must not revert the configuration (P8)."""
        ledger = Ledger("alba")
        ledger.apply(Record(sequence=1, time_us=5))
        for sequence in (1, 3):
            with self.assertRaises(SequenceError):
                ledger.apply(Record(sequence=sequence, time_us=6))
        self.assertEqual(ledger.sequence, 1)


if __name__ == "__main__":
    unittest.main()
