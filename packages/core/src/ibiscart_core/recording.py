"""
ibiscart_core.recording
~~~~~~~~~~~~~~~~~~~~~~~

Merges the events that the entries of a run recorded into one trace that can be replayed.

The merged trace contains the commands of all committed batches in journal order, at the times
at which they were decided, the resulting records, the behaviour of each job and the outcomes.
"""

import itertools

from ibiscart_core.job import JobKey
from ibiscart_core.ledger import Ledger
from ibiscart_core.replay import APPEND_US, BATCH_US
from ibiscart_core.scheduler import Scheduler
from ibiscart_core.worker_simulator import RELEASE_US, REPORT_US
from ibiscart_schema.generated.journal_pb2 import (
    MEMBER_COMPLETED,
    MEMBER_FAILED,
    STOP_CANCELLED,
    STOP_PREEMPTED,
)
from ibiscart_schema.generated.peer_pb2 import Command
from ibiscart_schema.generated.trace_pb2 import JobBehaviour, TraceEvent

__all__ = ["Recording", "RecordingError", "decide_again", "merge"]

# a record is compared with at most this many batches of its writer, nearest in time first
MAX_CANDIDATES = 4
# largest difference between the time of a batch and that of its record; the writer reads the
# time of the record just before it decides
MAX_TIME_DIFFERENCE_US = 1_000_000
# delay that a replay adds between the record of a release and the record of a member's end
SIMULATED_DELAY_US = RELEASE_US + REPORT_US + BATCH_US + APPEND_US
OUTCOMES = ("jobs_completed", "jobs_failed", "jobs_cancelled", "jobs_unknown")


class RecordingError(ValueError):
    """Events that are not one complete run of one region."""


class Recording:
    """The merged trace of a run.

    ``events`` is the trace and ``record_count`` the number of its records. ``dropped_count`` is
    the number of commands of batches that lost their append. ``differences`` has a text for each
    record whose events differ from those that the scheduler decides for its commands.
    """

    def __init__(self, events, record_count, dropped_count, differences):
        self.events = events
        self.record_count = record_count
        self.dropped_count = dropped_count
        self.differences = differences


class _Batch:
    """Commands that one entry recorded with the same time."""

    __slots__ = ("commands", "source", "time_us")

    def __init__(self, source, time_us):
        """Starts without commands; ``source`` is the id of the entry that recorded them."""
        self.source = source
        self.time_us = time_us
        self.commands = []


def merge(events, policy, name="recording"):
    """Returns the ``Recording`` of the ``TraceEvent``s of all entries, in any order.

    ``policy`` is the ``Policy`` that the entries used. A record's batch is the one of its
    writer that results in exactly the record's events when it is decided again on the state
    before the record. A batch without a record lost its append if deciding it results in events,
    and is dropped; otherwise its commands were answered without a record (for example refused),
    and the batch is kept.
    If the commands of a record were lost with its writer, they are derived from its events. Raises
    ``RecordingError`` if a record is missing or two records conflict.
    """
    records, batches = _collect_records_and_batches(events)
    return _Merge(records, batches, policy).run(name)


def decide_again(events, policy):
    """Decides the batches of a merged trace again, at their recorded times.

    Returns a text for each record whose events differ and for each batch without a record
    that results in events. The comparison is exact, unlike a replay, in which the times of
    workers and scheduling passes are simulated.
    """
    ledger, pending, differences = None, [], []
    for event in events:
        kind = event.WhichOneof("kind")
        if kind == "header":
            ledger = Ledger(event.header.region)
        elif kind == "input":
            if not pending or pending[-1].time_us != event.time_us:
                pending.append(_Batch(event.source, event.time_us))
            pending[-1].commands.append(event.input.command)
        elif kind == "record_applied":
            record = event.record_applied.record
            commands = pending.pop().commands if _last_batch_is_at(pending, record.time_us) else []
            differences += _describe_unrecorded(ledger, pending, policy)
            pending = []
            decided, _ = _decide_commands(_copy_ledger(ledger), commands, record.time_us, policy)
            differences += _describe_difference(record, decided)
            ledger.apply(record)
    return differences + _describe_unrecorded(ledger, pending, policy)


def _last_batch_is_at(batches, time_us):
    """Returns True if the last batch was decided at ``time_us``."""
    return bool(batches) and batches[-1].time_us == time_us


def _describe_unrecorded(ledger, batches, policy):
    """Returns a text for each batch without a record that results in events."""
    return [
        f"{len(batch.commands)} commands at {batch.time_us} us result in events but have no record"
        for batch in batches
        if _decide_commands(_copy_ledger(ledger), batch.commands, batch.time_us, policy)[0]
    ]


def _collect_records_and_batches(events):
    """Returns the records in order of sequence and the batches in order of time.

    Raises ``RecordingError`` if a record is missing or two records conflict.
    """
    records, batches = {}, {}
    for event in events:
        kind = event.WhichOneof("kind")
        if kind == "record_applied":
            record = event.record_applied.record
            if records.setdefault(record.sequence, record) != record:
                raise RecordingError(
                    f"two records {record.sequence} differ; the events are of several runs"
                )
        elif kind == "input":
            key = (event.source, event.time_us)
            batch = batches.setdefault(key, _Batch(*key))
            batch.commands.append(event.input.command)
    if not records:
        raise RecordingError("the events contain no record")
    for sequence in range(1, max(records) + 1):
        if sequence not in records:
            raise RecordingError(f"record {sequence} is missing; give the files of all entries")
    ordered = [records[sequence] for sequence in sorted(records)]
    return ordered, sorted(batches.values(), key=lambda batch: batch.time_us)


class _Merge:
    """State of one merge: the ledger before the next record and the batches not yet added."""

    def __init__(self, records, batches, policy):
        self._records = records
        self._batches = batches
        self._policy = policy
        self._ledger = Ledger(records[0].region)
        self._behaviours = _Behaviours(records)
        self._events = []
        self._refused_count = 0
        self._dropped_count = 0
        self._differences = []

    def run(self, name):
        """Merges all records and batches and returns the ``Recording``."""
        for record in self._records:
            batch, replies = self._find_batch(record)
            if batch is not None:
                self._batches.remove(batch)
            self._add_unrecorded(record.time_us)
            commands = batch.commands if batch is not None else []
            if replies is None:
                commands, replies = self._derive_commands(record)
            for behaviour in self._behaviours.starting_at(record):
                self._add_event(record.time_us, record.writer, behaviour=behaviour)
            self._add_command_events(record.time_us, record.writer, commands, replies)
            applied = {"entry_id": record.writer, "record": record}
            self._add_event(record.time_us, record.writer, record_applied=applied)
            self._ledger.apply(record)
        self._add_unrecorded(None)
        header = TraceEvent(
            time_us=self._events[0].time_us, source="recorder", header=self._build_header(name)
        )
        events = [header, *self._events]
        return Recording(events, len(self._records), self._dropped_count, self._differences)

    def _find_batch(self, record):
        """Returns (batch or None, replies); the replies are None if no batch matches."""
        candidates = [
            batch
            for batch in self._batches
            if batch.source == record.writer
            and abs(batch.time_us - record.time_us) < MAX_TIME_DIFFERENCE_US
        ]
        candidates.sort(key=lambda batch: abs(batch.time_us - record.time_us))
        for batch in (*candidates[:MAX_CANDIDATES], None):
            commands = batch.commands if batch is not None else []
            decided, replies = self._decide_on_copy(commands, record.time_us)
            if decided == list(record.events):
                return batch, replies
        return None, None

    def _derive_commands(self, record):
        """Returns commands that may have caused the record, and their replies."""
        commands = [
            command
            for event in record.events
            for command in _commands_for_event(event, self._ledger)
        ]
        decided, replies = self._decide_on_copy(commands, record.time_us)
        self._differences += _describe_difference(record, decided)
        return commands, replies

    def _add_unrecorded(self, before_us):
        """Adds or drops the batches without a record before ``before_us`` (all if None)."""
        while self._batches and (before_us is None or self._batches[0].time_us < before_us):
            batch = self._batches.pop(0)
            decided, replies = self._decide_on_copy(batch.commands, batch.time_us)
            if decided:
                self._dropped_count += len(batch.commands)
            else:
                self._add_command_events(batch.time_us, batch.source, batch.commands, replies)

    def _decide_on_copy(self, commands, time_us):
        """Returns (decided events, replies) without changing the ledger of the merge."""
        return _decide_commands(_copy_ledger(self._ledger), commands, time_us, self._policy)

    def _add_command_events(self, time_us, source, commands, replies):
        """Adds one event per command of entry ``source``; counts refused submissions."""
        for command, reply in zip(commands, replies, strict=True):
            if command.WhichOneof("kind") == "submit_job" and reply.HasField("error"):
                self._refused_count += 1
            self._add_event(time_us, source, input={"command": command})

    def _add_event(self, time_us, source, **kind):
        """Adds an event to the trace, no earlier than the event before it."""
        time_us = max(time_us, self._events[-1].time_us if self._events else 0)
        self._events.append(TraceEvent(time_us=time_us, source=source, **kind))

    def _build_header(self, name):
        """Returns the fields of the trace header, with outcomes counted in the records."""
        ended = [0] * len(OUTCOMES)
        for record in self._records:
            for event in record.events:
                if event.WhichOneof("kind") == "job_ended":
                    ended[event.job_ended.outcome] += 1
        outcomes = dict(zip(OUTCOMES, ended, strict=True))
        outcomes["jobs_refused"] = self._refused_count
        outcomes["jobs_unfinished"] = self._ledger.queued_jobs + len(self._ledger.active)
        outcomes["guarantees_unmet"] = sum(
            not reservation.workers for reservation in self._ledger.reservations.values()
        )
        if outcomes["jobs_unfinished"]:
            # a replay goes on until all jobs have ended or none can start, so its numbers of
            # unfinished and completed jobs may differ from those at the end of the recording
            del outcomes["jobs_unfinished"], outcomes["jobs_completed"]
        writers = sorted({record.writer for record in self._records})
        return {
            "name": name,
            "description": f"recorded run, {len(self._records)} records of {', '.join(writers)}",
            "region": self._ledger.region,
            "outcomes": outcomes,
        }


class _Behaviours:
    """Run times, failures and lost checkpoints of each attempt, read from the records.

    The run time of a job is that of its last member; a replay ends all members at that time.
    """

    def __init__(self, records):
        self._run_seconds = {}
        self._failures = {}
        self._no_checkpoint = set()
        self._declared_seconds = {}
        self._last_behaviours = {}
        ledger = Ledger(records[0].region)
        for record in records:
            for event in record.events:
                self._read_event(ledger, event, record.time_us)
                ledger.apply_event(event, record.time_us)
            ledger.finish_record(record.sequence, record.time_us)

    def starting_at(self, record):
        """Yields the ``JobBehaviour``s of attempts that the record submits or requeues, if new."""
        for event in record.events:
            kind = event.WhichOneof("kind")
            if kind == "job_submitted":
                key, attempt = JobKey.from_message(event.job_submitted.spec), 1
            elif kind == "job_requeued":
                requeued = event.job_requeued
                key, attempt = JobKey.from_message(requeued.job), requeued.attempt
            else:
                continue
            behaviour = self._recorded_behaviour(key, attempt)
            if behaviour is not None and behaviour != self._last_behaviours.get(key):
                self._last_behaviours[key] = behaviour
                yield behaviour

    def _recorded_behaviour(self, key, attempt):
        """Returns the ``JobBehaviour`` of an attempt, or None if no end is recorded."""
        failure = self._failures.get((key, attempt))
        if key not in self._run_seconds and failure is None:
            return None  # without a recorded end the job runs for its declared time
        rank, seconds = failure or (0, 0.0)
        return JobBehaviour(
            job=key.to_message(),
            run_seconds=self._run_seconds.get(key, self._declared_seconds[key] + seconds),
            failing_rank=rank,
            fail_after_seconds=seconds,
            no_checkpoint=key in self._no_checkpoint,
        )

    def _read_event(self, ledger, event, time_us):
        """Collects declared and actual run times, failures and missing checkpoints from an event.

        ``ledger`` is the state before the event.
        """
        kind = event.WhichOneof("kind")
        if kind == "job_submitted":
            spec = event.job_submitted.spec
            self._declared_seconds[JobKey.from_message(spec)] = spec.declared_seconds
        if kind != "member_ended":
            return
        ended = event.member_ended
        key = JobKey.from_message(ended.job)
        job = ledger.jobs.get(key)
        if job is None or job.attempt != ended.attempt or not job.released_us:
            return
        seconds = max(0, time_us - job.released_us - SIMULATED_DELAY_US) / 1e6
        if ended.outcome == MEMBER_COMPLETED:
            total = seconds + job.saved_seconds
            self._run_seconds[key] = max(total, self._run_seconds.get(key, 0.0))
        elif ended.outcome == MEMBER_FAILED:
            self._failures.setdefault((key, ended.attempt), (ended.rank + 1, seconds))
        elif job.stop_cause == STOP_PREEMPTED and not ended.saved_seconds:
            self._no_checkpoint.add(key)


def _copy_ledger(ledger):
    return Ledger.from_snapshot(ledger.snapshot())


def _decide_commands(ledger, commands, time_us, policy):
    """Returns (decided events, replies) of one batch and applies the events to ``ledger``."""
    return Scheduler(ledger, policy).decide(commands, max(time_us, ledger.time_us))


def _describe_difference(record, decided):
    """Returns a list with a text on the first event that differs; empty if none differs."""
    for number, (old, new) in enumerate(itertools.zip_longest(record.events, decided)):
        if old != new:
            old, new = (" ".join(str(event).split()) if event else "none" for event in (old, new))
            return [
                f"record {record.sequence}, event {number}: recorded {old}, decided again {new}"
            ]
    return []


def _commands_for_event(event, ledger):
    """Yields the command that most likely caused an event whose command was not recorded."""
    kind = event.WhichOneof("kind")
    value = getattr(event, kind)
    if kind == "contract_changed":
        change = {"contract": value.contract, "expected_version": value.contract.version - 1}
        yield Command(put_contract=change)
    elif kind == "contract_removed":
        version = ledger.accounts[value.account].version
        yield Command(remove_contract={"account": value.account, "expected_version": version})
    elif kind == "worker_registered":
        yield Command(register_workers={"workers": [value.worker]})
    elif kind == "worker_state_changed" and not value.retry_at_us:
        yield Command(
            report_worker={
                "worker_id": value.worker_id,
                "state": value.state,
                "cause": value.cause,
            }
        )
    elif kind == "job_submitted":
        yield Command(submit_job={"spec": value.spec})
    elif kind == "job_stopping" and value.cause == STOP_CANCELLED:
        yield Command(cancel_job={"job": value.job})
    elif kind == "job_released":
        yield Command(report_held={"job": value.job, "attempt": value.attempt})
    elif kind == "member_ended":
        yield Command(report_member={"ended": value})
    elif kind == "shares_granted":
        yield Command(grant_shares={"entries": value.entries})
