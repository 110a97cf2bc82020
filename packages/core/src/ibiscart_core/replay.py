"""
ibiscart_core.replay
~~~~~~~~~~~~~~~~~~~~

Replays the commands of a recorded trace through the scheduler in virtual time.

The loop simulates the writer (batches and appends); ``ibiscart_core.worker_simulator`` simulates
the workers. Networks, processors and single entries are not modelled.
"""

import heapq

from ibiscart_core.ledger import Ledger
from ibiscart_core.scheduler import Scheduler
from ibiscart_core.worker_simulator import WorkerSimulator
from ibiscart_schema.generated.journal_pb2 import Record
from ibiscart_schema.generated.trace_pb2 import TraceEvent
from ibiscart_schema.generated.types_pb2 import RAN_NO, TARGET_QUARANTINED

__all__ = ["Replay", "ReplayError", "first_difference"]

# time for which the writer collects commands before it decides (docs/design.md, section 2)
BATCH_US = 20_000
# duration of one conditional put within a data centre
APPEND_US = 5_000
# interval of scheduling passes without commands while jobs are queued (TICK_SECONDS in the
# writer)
PASS_US = 1_000_000
# a replay ends if jobs wait, none runs and nothing was decided for this time, which is twice
# the longest quarantine
IDLE_US = 3600 * 1_000_000
ACCEPTED_STATUS = 202
ERROR_STATUS = 500
# commands that are skipped in the trace: the simulated workers send their own reports
REPORT_COMMANDS = ("report_held", "report_start_failed", "report_member")


class ReplayError(ValueError):
    """A trace that cannot be replayed."""


class Replay:
    """One replay of a trace under a policy.

    ``events`` yields the ``TraceEvent``s of the trace with non-decreasing times; they are read
    as virtual time advances. ``policy`` is any ``Policy``. After ``run``, ``records``
    holds the decided records, ``events`` the events of the replay (for the audit),
    ``header`` the trace's header and ``decided_us`` the virtual time of the last batch.
    ``observers`` are called with (ledger, record) after each append.
    """

    def __init__(self, events, policy, observers=()):
        self.header = None
        self.records = []
        self.events = []
        self.ledger = None
        self.command_count = 0
        self.decided_us = 0
        self._policy = policy
        self._observers = observers
        self._trace = _check_event_order(events)
        self._worker_simulator = None
        self._scheduler = None
        self._timers = []
        self._timer_count = 0
        self._pending_commands = []
        self._batch_due_us = None
        self._writer_free_us = 0
        self._last_change_us = 0

    def run(self):
        """Replays the whole trace and continues until all jobs have ended or none can start.

        Returns the replay itself; raises ``ReplayError`` for a trace without a header or
        with decreasing times.
        """
        first = next(self._trace, None)
        if first is None or first.WhichOneof("kind") != "header":
            raise ReplayError("the trace does not start with a header")
        self.header = first.header
        self.ledger = Ledger(first.header.region)
        self._scheduler = Scheduler(self.ledger, self._policy)
        self._worker_simulator = WorkerSimulator(
            self.ledger, self._schedule, self._record_event, self._queue_command
        )
        self._last_change_us = first.time_us
        self._schedule_next_event()
        while self._timers:
            now_us, _, callback, argument = heapq.heappop(self._timers)
            callback(now_us, argument)
        return self

    @property
    def worker_simulator(self):
        """Returns the ``WorkerSimulator`` of this replay, for its counts."""
        return self._worker_simulator

    def outcomes(self):
        """Returns counts of outcomes by name, in the form of a trace header."""
        counts = {"jobs_refused": self._count_refused_jobs()}
        names = ("jobs_completed", "jobs_failed", "jobs_cancelled", "jobs_unknown")
        counts.update(dict.fromkeys(names, 0))
        for record in self.records:
            for event in record.events:
                if event.WhichOneof("kind") == "job_ended":
                    counts[names[event.job_ended.outcome]] += 1
        counts["jobs_unfinished"] = self.ledger.queued_jobs + len(self.ledger.active)
        counts["guarantees_unmet"] = sum(
            not reservation.workers for reservation in self.ledger.reservations.values()
        )
        return counts

    def outcome_differences(self):
        """Returns one line for each outcome that differs from the header's."""
        found = self.outcomes()
        return [
            f"{name}: stated {stated:g}, replayed {found.get(name, 0):g}"
            for name, stated in sorted(self.header.outcomes.items())
            if found.get(name, 0) != stated
        ]

    def _schedule(self, time_us, callback, argument=None):
        """Calls ``callback(time_us, argument)`` when virtual time reaches ``time_us``."""
        self._timer_count += 1
        heapq.heappush(self._timers, (time_us, self._timer_count, callback, argument))

    def _schedule_next_event(self):
        """Reads the next event of the trace and schedules it at its recorded time."""
        event = next(self._trace, None)
        if event is not None:
            self._schedule(event.time_us, self._apply_event, event)

    def _apply_event(self, now_us, event):
        """Applies an event of the trace and schedules the next one."""
        kind = event.WhichOneof("kind")
        if kind == "behaviour":
            self._worker_simulator.set_behaviour(event.behaviour)
        elif kind == "store_outage":
            self._writer_free_us = max(
                self._writer_free_us, now_us + int(event.store_outage.seconds * 1e6)
            )
        elif kind == "input" and event.input.command.WhichOneof("kind") not in REPORT_COMMANDS:
            self._queue_command(now_us, event.input.command)
        self._schedule_next_event()

    def _record_event(self, time_us, source, **kind):
        """Adds an event to the events of the replay and returns it."""
        event = TraceEvent(time_us=time_us, source=source, **kind)
        self.events.append(event)
        return event

    def _queue_command(self, now_us, command):
        """Adds a command to the next batch of the simulated writer."""
        self.command_count += 1
        self._pending_commands.append(command)
        if command.WhichOneof("kind") == "submit_job":
            spec = command.submit_job.spec
            self._record_event(
                now_us,
                "caller",
                caller_request={
                    "account": spec.account,
                    "request_id": spec.request_id,
                    "repeatable": spec.repeatable,
                    "job": True,
                },
            )
        self._schedule_batch(now_us + BATCH_US)

    def _schedule_batch(self, time_us):
        """Schedules a batch once the writer is free, unless an earlier one is scheduled."""
        time_us = max(time_us, self._writer_free_us)
        if self._batch_due_us is None or time_us < self._batch_due_us:
            self._batch_due_us = time_us
            self._schedule(time_us, self._decide_batch)

    def _decide_batch(self, now_us, _):
        """Decides the collected commands; ignores the timer of a batch that was rescheduled."""
        if now_us != self._batch_due_us:
            return
        if now_us < self._writer_free_us:
            # a store outage began after this batch was scheduled: the batch is decided when the
            # outage ends
            self._batch_due_us = None
            self._schedule_batch(self._writer_free_us)
            return
        self._batch_due_us = None
        self.decided_us = now_us
        commands, self._pending_commands = self._pending_commands, []
        events, replies = self._scheduler.decide(commands, now_us)
        done_us = now_us
        if events:
            done_us += APPEND_US
            self._writer_free_us = done_us
            self._last_change_us = now_us
            self._append_record(events, now_us, done_us)
        self._record_answers(commands, replies, done_us)
        self._schedule_pass(done_us)

    def _append_record(self, events, now_us, done_us):
        """Adds the record of decided events, whose append ends at ``done_us``."""
        record = Record(
            region=self.ledger.region,
            sequence=self.ledger.sequence + 1,
            token=f"replay-{self.ledger.sequence + 1}",
            writer="replay",
            time_us=now_us,
            events=events,
        )
        self.ledger.finish_record(record.sequence, now_us)
        self.records.append(record)
        self._record_event(
            done_us, "writer", record_applied={"entry_id": "writer", "record": record}
        )
        self._worker_simulator.apply(record, done_us)
        for observer in self._observers:
            observer(self.ledger, record)

    def _record_answers(self, commands, replies, done_us):
        """Records the answers to submissions, which callers receive at ``done_us``."""
        for command, reply in zip(commands, replies, strict=True):
            if command.WhichOneof("kind") != "submit_job":
                continue
            spec = command.submit_job.spec
            refused = reply.HasField("error")
            self._record_event(
                done_us,
                "caller",
                caller_answer={
                    "account": spec.account,
                    "request_id": spec.request_id,
                    "status": ERROR_STATUS if refused else ACCEPTED_STATUS,
                    "code": reply.error.code,
                    "ran": reply.error.ran if refused else RAN_NO,
                    "body_request_id": spec.request_id,
                    "complete": True,
                },
            )

    def _schedule_pass(self, now_us):
        """Schedules a batch without commands if a queued job or a quarantine needs one."""
        queued = [
            job for account in self.ledger.accounts.values() for job in account.queued.values()
        ]
        times = [job.not_before_us for job in queued if job.not_before_us > now_us]
        times += [
            worker.retry_at_us
            for worker in self.ledger.workers.values()
            if worker.state == TARGET_QUARANTINED
        ]
        if queued:
            times.append(now_us + PASS_US)
        if times and (now_us - self._last_change_us < IDLE_US or self.ledger.active):
            self._schedule_batch(max(min(times), now_us))

    def _count_refused_jobs(self):
        return sum(
            event.WhichOneof("kind") == "caller_answer" and bool(event.caller_answer.code)
            for event in self.events
        )


def first_difference(expected, actual):
    """Returns a description of the first difference between two lists of records, or None.

    Compares sequences, times and events; tokens and writers differ in each recording.
    """
    missing = object()
    for number, (recorded, replayed) in enumerate(_zip_longest(expected, actual, missing), start=1):
        if recorded is missing or replayed is missing:
            which = "recorded" if recorded is missing else "replayed"
            present = replayed if recorded is missing else recorded
            return f"record {number}: not {which}, the other list has {_format_brief(present)}"
        if (recorded.sequence, recorded.time_us) != (replayed.sequence, replayed.time_us):
            return (
                f"record {number}: recorded sequence {recorded.sequence} at {recorded.time_us} us, "
                f"replayed sequence {replayed.sequence} at {replayed.time_us} us"
            )
        for index, (a, b) in enumerate(_zip_longest(recorded.events, replayed.events, missing)):
            if a is missing or b is missing or a != b:
                left = "none" if a is missing else _format_brief(a)
                right = "none" if b is missing else _format_brief(b)
                return f"record {number}, event {index}: recorded {left}, replayed {right}"
    return None


def _zip_longest(left, right, missing):
    """Yields pairs of items; ``missing`` replaces the items of the shorter iterable."""
    left, right = iter(left), iter(right)
    while True:
        a, b = next(left, missing), next(right, missing)
        if a is missing and b is missing:
            return
        yield a, b


def _format_brief(message):
    """Returns the text of a protobuf message on one line."""
    return " ".join(str(message).split())


def _check_event_order(events):
    """Yields the events; raises ``ReplayError`` if a time is lower than the one before."""
    last_us = 0
    for event in events:
        if event.time_us < last_us:
            raise ReplayError(f"time goes back from {last_us} us to {event.time_us} us")
        last_us = event.time_us
        yield event
