"""Guards recordings in the object store against gaps and lost index entries."""

import json
import unittest

import trio
import trio.testing

from ibiscart_core.trace import parse_event
from ibiscart_entry.metric import Metrics
from ibiscart_entry.recorder import FLUSH_SECONDS, Recorder, batch_key, index_key
from ibiscart_entry.table import StoreError
from ibiscart_schema.generated.journal_pb2 import Record
from ibiscart_schema.generated.peer_pb2 import Command


class Objects:
    """Object store in memory that can be down."""

    def __init__(self):
        self.values = {}
        self.down = False

    async def put(self, key, data, *, low_priority=False):
        if self.down:
            raise StoreError("refused", False)
        self.values[key] = data

    async def get(self, key, *, low_priority=False):
        if self.down:
            raise StoreError("refused", False)
        return self.values.get(key)


class Journal:
    def __init__(self):
        self.send, self._receive = trio.open_memory_channel(10)

    def subscribe(self):
        return self._receive


class RecorderTest(unittest.TestCase):
    def setUp(self):
        self.objects = Objects()
        self.journal = Journal()
        clock_ns = iter(range(7_000_000, 10**9, 1000))
        self.recorder = Recorder(
            "e1", "alba", self.journal, self.objects, Metrics(), clock_ns=lambda: next(clock_ns)
        )
        self.prefix = "trace/alba/e1/7000000"

    def run_steps(self, *steps):
        """Runs the recorder; each step comes after a flush."""

        async def main():
            async with trio.open_nursery() as nursery:
                await nursery.start(self.recorder.run)
                await trio.sleep(0.5)
                for step in steps:
                    step()
                    await trio.sleep(FLUSH_SECONDS)
                nursery.cancel_scope.cancel()

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    def record(self):
        self.recorder.add_commands([Command(cancel_job={}), Command(cancel_job={})])

    def set_down(self, down):
        self.objects.down = down

    def events(self, number):
        data = self.objects.values[batch_key(self.prefix, number)]
        return [parse_event(line) for line in data.splitlines()]

    def test_a_batch_is_kept_until_the_store_takes_it(self):
        """A fetch ends at the first missing number, so an outage must not leave a gap."""
        self.run_steps(
            self.record,
            lambda: (self.set_down(True), self.record()),
            lambda: (self.set_down(False), self.record()),
        )
        self.assertEqual([len(self.events(n)) for n in (1, 2, 3)], [2, 2, 2])

    def test_commands_of_a_batch_have_one_time(self):
        self.run_steps(self.record)
        self.assertEqual(len({event.time_us for event in self.events(1)}), 1)

    def test_a_record_that_stands_for_a_snapshot_is_not_recorded(self):
        """It has the sequence of a record that another entry recorded with its events."""
        for events in ([], [{"contract_removed": {"account": "reports"}}]):
            self.journal.send.send_nowait(Record(region="alba", sequence=7, events=events))
        self.run_steps(lambda: None)
        (event,) = self.events(1)
        self.assertTrue(event.record_applied.record.events)

    def test_an_index_entry_that_another_recorder_overwrote_is_written_again(self):
        key = index_key("alba")
        other = json.dumps(["trace/alba/e2/1"]).encode()
        self.run_steps(self.record, lambda: self.objects.values.update({key: other}), lambda: None)
        self.assertEqual(json.loads(self.objects.values[key]), ["trace/alba/e2/1", self.prefix])


if __name__ == "__main__":
    unittest.main()
