"""Guards the ledger against records that are applied out of order."""

import unittest

from ibiscart_core.ledger import Ledger, SequenceError
from ibiscart_schema.generated.journal_pb2 import Record


class LedgerTest(unittest.TestCase):
    def test_refuses_a_record_out_of_sequence(self):
        """A pushed record that arrives late must not restore an old configuration (P8)."""
        ledger = Ledger("alba")
        ledger.apply(Record(sequence=1, time_us=5))
        for sequence in (1, 3):
            with self.assertRaises(SequenceError):
                ledger.apply(Record(sequence=sequence, time_us=6))
        self.assertEqual(ledger.sequence, 1)


if __name__ == "__main__":
    unittest.main()
