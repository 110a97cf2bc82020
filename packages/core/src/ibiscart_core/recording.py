"""
ibiscart_core.recording
~~~~~~~~~~~~~~~~~~~~~~~

Merges the events that the entries of a run recorded into one trace that can be replayed.

The merged trace holds the commands of all committed batches in journal order, at the times at
which they were decided, the records that they gave, how each job behaved, and the outcomes.
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

# batches of the record's writer that are tried, and how far their times may be from the
# record's, which the writer reads just before it decides
CANDIDATES = 4
NEAR_US = 1_000_000
# what a replay adds between the record of a release and the record of a member's end
PLAYED_US = RELEASE_US + REPORT_US + BATCH_US + APPEND_US
OUTCOMES = ("jobs_completed", "jobs_failed", "jobs_cancelled", "jobs_unknown")


class RecordingError(ValueError):
    """Events that do not make up one whole run of one region."""


class Recording:
    """The merged trace of a run.

    ``events`` is the trace and ``record_count`` the number of its records. ``dropped_count`` is
    the number of commands of batches that lost their append. ``differences`` has a text for each
    record that the scheduler decides differently from the recorded commands.
    """

    def __init__(self, events, record_count, dropped_count, differences):
        self.events = events
        self.record_count = record_count
        self.dropped_count = dropped_count
        self.differences = differences


class _Batch:
    __slots__ = ("commands", "source", "time_us")

    def __init__(self, source, time_us):
        self.source = source
        self.time_us = time_us
        self.commands = []


def merge(events, policy, name="recording"):
    """Returns the ``Recording`` of the ``TraceEvent``s of all entries, in any order.

    ``policy`` is the ``Policy`` that the entries used. A record's batch is the one of its
    writer that gives exactly the record's events when it is decided again on the state before
    it. A batch without a record lost its append if deciding it gives events, and is left out;
    otherwise it was answered without a record, such as a refusal, and is kept. A record
    whose commands were lost with its writer gets commands made from its events. Raises
    ``RecordingError`` when a record is missing or two of them conflict.
    """
    records, batches = _read(events)
    return _Merge(records, batches, policy).run(name)


def decide_again(events, policy):
    """Decides the batches of a merged trace at their times.

    Returns a text for each record whose events differ and for each batch without a record
    that gives events. This is exact, unlike a replay, whose played workers and passes
    have times of their own.
    """
    ledger, waiting, differences = None, [], []
    for event in events:
        kind = event.WhichOneof("kind")
        if kind == "header":
            ledger = Ledger(event.header.region)
        elif kind == "input":
            if not waiting or waiting[-1].time_us != event.time_us:
                waiting.append(_Batch(event.source, event.time_us))
            waiting[-1].commands.append(event.input.command)
        elif kind == "record_applied":
            record = event.record_applied.record
            own = waiting.pop().commands if _is_due(waiting, record.time_us) else []
            differences += _unexpected(ledger, waiting, policy)
            waiting = []
            found, _ = _decide(_copy(ledger), own, record.time_us, policy)
            differences += _compare(record, found)
            ledger.apply(record)
    return differences + _unexpected(ledger, waiting, policy)


def _is_due(waiting, time_us):
    return bool(waiting) and waiting[-1].time_us == time_us


def _unexpected(ledger, batches, policy):
    return [
        f"{len(batch.commands)} commands at {batch.time_us} us give events without a record"
        for batch in batches
        if _decide(_copy(ledger), batch.commands, batch.time_us, policy)[0]
    ]


def _read(events):
    records, batches = {}, {}
    for event in events:
        kind = event.WhichOneof("kind")
        if kind == "record_applied":
            record = event.record_applied.record
            if records.setdefault(record.sequence, record) != record:
                raise RecordingError(f"two records {record.sequence}; these are several runs")
        elif kind == "input":
            key = (event.source, event.time_us)
            batch = batches.setdefault(key, _Batch(*key))
            batch.commands.append(event.input.command)
    if not records:
        raise RecordingError("no record in these events")
    for sequence in range(1, max(records) + 1):
        if sequence not in records:
            raise RecordingError(f"record {sequence} is missing; give the files of all entries")
    ordered = [records[sequence] for sequence in sorted(records)]
    return ordered, sorted(batches.values(), key=lambda batch: batch.time_us)


class _Merge:
    """State of one merge: the ledger before the next record and the batches not yet placed."""

    def __init__(self, records, batches, policy):
        self._records = records
        self._batches = batches
        self._policy = policy
        self._ledger = Ledger(records[0].region)
        self._behaviours = _Behaviours(records)
        self._events = []
        self._refused = 0
        self._dropped_count = 0
        self._differences = []

    def run(self, name):
        """Merges everything and returns the ``Recording``."""
        for record in self._records:
            batch, replies = self._find_batch(record)
            if batch is not None:
                self._batches.remove(batch)
            self._place_unrecorded(record.time_us)
            commands = batch.commands if batch is not None else []
            if replies is None:
                commands, replies = self._unmatched(record)
            for behaviour in self._behaviours.at(record):
                self._add(record.time_us, record.writer, behaviour=behaviour)
            self._add_commands(record.time_us, record.writer, commands, replies)
            applied = {"entry_id": record.writer, "record": record}
            self._add(record.time_us, record.writer, record_applied=applied)
            self._ledger.apply(record)
        self._place_unrecorded(None)
        header = TraceEvent(
            time_us=self._events[0].time_us, source="recorder", header=self._header(name)
        )
        events = [header, *self._events]
        return Recording(events, len(self._records), self._dropped_count, self._differences)

    def _find_batch(self, record):
        """Returns (batch or None, replies); the replies are None when no batch fits."""
        near = [
            batch
            for batch in self._batches
            if batch.source == record.writer and abs(batch.time_us - record.time_us) < NEAR_US
        ]
        near.sort(key=lambda batch: abs(batch.time_us - record.time_us))
        for batch in (*near[:CANDIDATES], None):
            commands = batch.commands if batch is not None else []
            found, replies = self._decide(commands, record.time_us)
            if found == list(record.events):
                return batch, replies
        return None, None

    def _unmatched(self, record):
        commands = [
            command for event in record.events for command in _commands_of(event, self._ledger)
        ]
        found, replies = self._decide(commands, record.time_us)
        self._differences += _compare(record, found)
        return commands, replies

    def _place_unrecorded(self, before_us):
        """Places or leaves out the batches before a time that no record belongs to."""
        while self._batches and (before_us is None or self._batches[0].time_us < before_us):
            batch = self._batches.pop(0)
            found, replies = self._decide(batch.commands, batch.time_us)
            if found:
                self._dropped_count += len(batch.commands)
            else:
                self._add_commands(batch.time_us, batch.source, batch.commands, replies)

    def _decide(self, commands, time_us):
        return _decide(_copy(self._ledger), commands, time_us, self._policy)

    def _add_commands(self, time_us, source, commands, replies):
        for command, reply in zip(commands, replies, strict=True):
            if command.WhichOneof("kind") == "submit_job" and reply.HasField("error"):
                self._refused += 1
            self._add(time_us, source, input={"command": command})

    def _add(self, time_us, source, **kind):
        time_us = max(time_us, self._events[-1].time_us if self._events else 0)
        self._events.append(TraceEvent(time_us=time_us, source=source, **kind))

    def _header(self, name):
        ended = [0] * len(OUTCOMES)
        for record in self._records:
            for event in record.events:
                if event.WhichOneof("kind") == "job_ended":
                    ended[event.job_ended.outcome] += 1
        outcomes = dict(zip(OUTCOMES, ended, strict=True))
        outcomes["jobs_refused"] = self._refused
        outcomes["jobs_unfinished"] = self._ledger.queued_jobs + len(self._ledger.active)
        outcomes["guarantees_unmet"] = sum(
            not reservation.workers for reservation in self._ledger.reservations.values()
        )
        if outcomes["jobs_unfinished"]:
            # a replay runs these jobs to an end that the recording does not have
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

    A job's run time is that of its last member; a replay ends all members at that time.
    """

    def __init__(self, records):
        self._total = {}
        self._failures = {}
        self._no_checkpoint = set()
        self._declared = {}
        self._last = {}
        ledger = Ledger(records[0].region)
        for record in records:
            for event in record.events:
                self._read(ledger, event, record.time_us)
                ledger.apply_event(event, record.time_us)
            ledger.finish_record(record.sequence, record.time_us)

    def at(self, record):
        """Yields the ``JobBehaviour``s that a replay must know from this record on."""
        for event in record.events:
            kind = event.WhichOneof("kind")
            if kind == "job_submitted":
                key, attempt = JobKey.from_message(event.job_submitted.spec), 1
            elif kind == "job_requeued":
                requeued = event.job_requeued
                key, attempt = JobKey.from_message(requeued.job), requeued.attempt
            else:
                continue
            behaviour = self._behaviour(key, attempt)
            if behaviour is not None and behaviour != self._last.get(key):
                self._last[key] = behaviour
                yield behaviour

    def _behaviour(self, key, attempt):
        failure = self._failures.get((key, attempt))
        if key not in self._total and failure is None:
            return None  # runs for its declared time, as a job without an end must
        rank, seconds = failure or (0, 0.0)
        return JobBehaviour(
            job=key.to_message(),
            run_seconds=self._total.get(key, self._declared[key] + seconds),
            failing_rank=rank,
            fail_after_seconds=seconds,
            no_checkpoint=key in self._no_checkpoint,
        )

    def _read(self, ledger, event, time_us):
        kind = event.WhichOneof("kind")
        if kind == "job_submitted":
            spec = event.job_submitted.spec
            self._declared[JobKey.from_message(spec)] = spec.declared_seconds
        if kind != "member_ended":
            return
        ended = event.member_ended
        key = JobKey.from_message(ended.job)
        job = ledger.jobs.get(key)
        if job is None or job.attempt != ended.attempt or not job.released_us:
            return
        seconds = max(0, time_us - job.released_us - PLAYED_US) / 1e6
        if ended.outcome == MEMBER_COMPLETED:
            total = seconds + job.saved_seconds
            self._total[key] = max(total, self._total.get(key, 0.0))
        elif ended.outcome == MEMBER_FAILED:
            self._failures.setdefault((key, ended.attempt), (ended.rank + 1, seconds))
        elif job.stop_cause == STOP_PREEMPTED and not ended.saved_seconds:
            self._no_checkpoint.add(key)


def _copy(ledger):
    return Ledger.from_snapshot(ledger.snapshot())


def _decide(ledger, commands, time_us, policy):
    return Scheduler(ledger, policy).decide(commands, max(time_us, ledger.time_us))


def _compare(record, found):
    for number, (old, new) in enumerate(itertools.zip_longest(record.events, found)):
        if old != new:
            old, new = (" ".join(str(event).split()) if event else "none" for event in (old, new))
            return [
                f"record {record.sequence}, event {number}: recorded {old}, decided again {new}"
            ]
    return []


def _commands_of(event, ledger):
    """Yields the command that most likely gave an event of a record without its commands."""
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
