"""Guards the decision log: an operator must find the reason of every decision."""

import unittest

from ibiscart_entry.decision import describe
from ibiscart_schema.generated.journal_pb2 import Event


class DescribeTest(unittest.TestCase):
    def test_every_kind_of_event_has_a_description(self):
        """A new kind of event must not end the decision log with an exception."""
        for field in Event.DESCRIPTOR.oneofs_by_name["kind"].fields:
            with self.subTest(kind=field.name):
                event = Event()
                getattr(event, field.name).SetInParent()
                text, _ = describe(event)
                self.assertTrue(text.endswith("."))

    def test_a_placement_names_job_guarantee_and_reason(self):
        """A placement without its reason cannot be explained afterwards."""
        job = {"account": "a", "request_id": "r"}
        event = Event(
            job_placed={
                "job": job,
                "attempt": 2,
                "workers": ["w1", "w2"],
                "reservation": {"account": "a", "guarantee": "gang", "index": 1},
                "reason": "claim",
            }
        )
        _, fields = describe(event)
        wanted = {"attempt": 2, "workers": ["w1", "w2"], "guarantee": "gang/1", "reason": "claim"}
        self.assertEqual(fields, {**job, **wanted})


if __name__ == "__main__":
    unittest.main()
