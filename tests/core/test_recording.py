"""Tests that merged recordings lose, duplicate or reorder no decision."""

import io
import pathlib
import unittest

from ibiscart_core.audit import audit
from ibiscart_core.ledger import Ledger
from ibiscart_core.policies.adaptive import AdaptivePolicy
from ibiscart_core.recording import RecordingError, decide_again, merge
from ibiscart_core.replay import Replay
from ibiscart_core.scheduler import Scheduler
from ibiscart_core.trace import read_trace, write_trace
from ibiscart_schema.generated.journal_pb2 import MEMBER_COMPLETED, MEMBER_FAILED, Record
from ibiscart_schema.generated.peer_pb2 import Command
from ibiscart_schema.generated.trace_pb2 import TraceEvent

RECORDED = pathlib.Path(__file__).parents[2] / "traces" / "recorded"
START_US = 1_700_000_000_000_000
MEMBER = {"accelerators": 4, "cpu_millis": 1000, "memory_mb": 1024}


class Entries:
    """Two entries that write to one journal, with the events that they record."""

    def __init__(self):
        self.events = []
        self.ledger = Ledger("alba")
        self.now_us = START_US
        capacity = {"accelerators": 8, "cpu_millis": 64_000, "memory_mb": 64_000}
        workers = [{"id": f"w{n}", "rack": "r", "capacity": capacity} for n in range(2)]
        contract = {"account": "reports", "burst_accelerators": 8, "queued_jobs": 2}
        contract["burst_cpu_millis"] = 64_000
        self.decide("a", register_workers={"workers": workers})
        self.decide("a", put_contract={"contract": contract})

    def decide(self, writer, *, committed=True, recorded=True, seconds=1.0, **kind):
        """Decides a command.

        Without ``committed``, the append loses against another entry; without ``recorded``,
        the command is missing from the recording.
        """
        self.now_us += int(seconds * 1e6)
        command = Command(**kind)
        ledger = Ledger.from_snapshot(self.ledger.snapshot())
        events, _ = Scheduler(ledger, AdaptivePolicy()).decide([command], self.now_us)
        if recorded:
            # the recorder reads the clock shortly after the writer
            self._add(writer, 40, input={"command": command})
        if events and committed:
            record = Record(
                region="alba",
                sequence=self.ledger.sequence + 1,
                token=str(self.now_us),
                writer=writer,
                time_us=self.now_us,
                events=events,
            )
            self.ledger.apply(record)
            for entry in ("a", "b"):
                self._add(entry, 5000, record_applied={"entry_id": entry, "record": record})

    def submit(self, writer, request_id, accelerators=4, **options):
        shape = {"members": 1, "member": MEMBER | {"accelerators": accelerators}}
        spec = {"account": "reports", "request_id": request_id, "shape": shape}
        spec |= {"declared_seconds": 100, "repeatable": True}
        self.decide(writer, submit_job={"spec": spec}, **options)

    def report(self, writer, request_id, attempt, outcome, **options):
        job = {"account": "reports", "request_id": request_id}
        ended = {"job": job, "attempt": attempt, "outcome": outcome}
        self.decide(writer, report_member={"ended": ended}, **options)

    def report_held(self, writer, request_id, attempt):
        job = {"account": "reports", "request_id": request_id}
        self.decide(writer, report_held={"job": job, "attempt": attempt})

    def _add(self, source, delay_us, **kind):
        self.events.append(TraceEvent(time_us=self.now_us + delay_us, source=source, **kind))

    def merge(self):
        recording = merge(reversed(self.events), AdaptivePolicy())
        return recording, recording.events[0].header.outcomes


def kinds(recording):
    inputs = [e.input.command for e in recording.events if e.HasField("input")]
    return [command.WhichOneof("kind") for command in inputs]


class MergeTest(unittest.TestCase):
    def test_a_batch_that_lost_its_append_is_dropped(self):
        """A submission in two batches, of which one lost its append, must be merged only once."""
        entries = Entries()
        entries.submit("a", "j1", committed=False)
        entries.submit("b", "j1")
        recording, _ = entries.merge()
        self.assertEqual(recording.dropped_count, 1)
        self.assertEqual(kinds(recording), ["register_workers", "put_contract", "submit_job"])
        self.assertEqual(recording.differences, [])

    def test_a_refused_submission_is_kept(self):
        """A refusal has no record, like a lost batch, but its caller received the answer."""
        entries = Entries()
        entries.submit("a", "j1", accelerators=16)
        recording, outcomes = entries.merge()
        self.assertEqual((recording.dropped_count, outcomes["jobs_refused"]), (0, 1))
        self.assertEqual(kinds(recording)[-1], "submit_job")

    def test_commands_lost_with_their_writer_come_from_the_record(self):
        entries = Entries()
        entries.submit("a", "j1", recorded=False)
        recording, _ = entries.merge()
        self.assertEqual(kinds(recording)[-1], "submit_job")
        self.assertEqual(decide_again(recording.events, AdaptivePolicy()), [])

    def test_another_decision_is_reported(self):
        """A recording of another policy or release must not pass as identical."""
        entries = Entries()
        entries.submit("a", "j1")
        placed = entries.events[-1].record_applied.record.events[1].job_placed
        for event in entries.events[-2:]:
            event.record_applied.record.events[1].job_placed.workers[0] = (
                "w1" if placed.workers[0] == "w0" else "w0"
            )
        recording, _ = entries.merge()
        self.assertIn("record 3, event 1: recorded", recording.differences[0])
        self.assertEqual(decide_again(recording.events, AdaptivePolicy()), recording.differences)

    def test_a_gap_and_two_runs_are_refused(self):
        entries, other = Entries(), Entries()
        other.decide("a", put_contract={"contract": {"account": "labels"}})
        events = [e for e in entries.events if e.record_applied.record.sequence != 1]
        with self.assertRaisesRegex(RecordingError, "record 1 is missing"):
            merge(events, AdaptivePolicy())
        other.events[1].record_applied.record.token = "other"
        with self.assertRaisesRegex(RecordingError, "two records 1"):
            merge(entries.events + other.events, AdaptivePolicy())

    def test_jobs_behave_as_recorded(self):
        """A replay must repeat a failed attempt and the run time of the next attempt."""
        entries = Entries()
        entries.submit("a", "j1")
        entries.report_held("a", "j1", 1)
        entries.report("b", "j1", 1, MEMBER_FAILED, seconds=5)
        entries.decide("b", seconds=60, register_workers={})
        entries.report_held("a", "j1", 2)
        entries.report("a", "j1", 2, MEMBER_COMPLETED, seconds=20)
        recording, outcomes = entries.merge()
        first, second = [e.behaviour for e in recording.events if e.HasField("behaviour")]
        self.assertEqual((first.failing_rank, second.failing_rank), (1, 0))
        self.assertAlmostEqual(first.fail_after_seconds, 5, delta=0.6)
        self.assertAlmostEqual(second.run_seconds, 20, delta=0.6)
        self.assertEqual((outcomes["jobs_completed"], outcomes["jobs_unfinished"]), (1, 0))
        run = Replay(recording.events, AdaptivePolicy()).run()
        self.assertEqual(run.outcome_differences(), [])
        self.assertEqual(run.ledger.jobs.popitem()[1].failures, 1)


class RecordedRunTest(unittest.TestCase):
    """Tests that decisions, replays and audits of recorded runs do not change."""

    def test_recorded_runs(self):
        paths = sorted(RECORDED.glob("*.jsonl"))
        self.assertTrue(paths)
        for path in paths:
            with self.subTest(trace=path.name):
                self.check_recorded_run(path)

    def check_recorded_run(self, path):
        with path.open("rb") as file:
            events = list(read_trace(file))
        self.assertEqual(decide_again(events, AdaptivePolicy()), [])
        runs = [Replay(events, AdaptivePolicy()).run() for _ in range(2)]
        written = [io.BytesIO(), io.BytesIO()]
        for run, file in zip(runs, written, strict=True):
            write_trace(run.events, file)
            self.assertEqual(run.outcome_differences(), [])
        self.assertEqual(written[0].getvalue(), written[1].getvalue())
        self.assertEqual(list(map(str, audit(events) + audit(runs[0].events))), [])


if __name__ == "__main__":
    unittest.main()
