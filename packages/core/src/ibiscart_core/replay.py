"""
ibiscart_core.replay
~~~~~~~~~~~~~~~~~~~~

Feeds the commands of a recorded trace through the scheduler in virtual time.

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

# the writer collects commands this long before it decides (docs/design.md, section 2)
BATCH_US = 20_000
# one conditional put within a data centre
APPEND_US = 5_000
# the writer decides without commands this often while jobs wait (TICK_SECONDS in the writer)
PASS_US = 1_000_000
# a replay ends when jobs wait, none runs and nothing has been decided for this long; the
# longest quarantine is half of it
IDLE_US = 3600 * 1_000_000
ACCEPTED_STATUS = 202
ERROR_STATUS = 500
# the played workers report by themselves
REPORTS = ("report_held", "report_start_failed", "report_member")


class ReplayError(ValueError):
    """A trace that cannot be replayed."""


class Replay:
    """One replay of a trace under a policy.

    ``events`` are the ``TraceEvent``s of the trace, with non-decreasing times; they are read
    as virtual time reaches them. ``policy`` is any ``Policy``. After ``run``, ``records``
    holds the decided records, ``events`` the recorded events of the replay (for the audit),
    ``header`` the trace's header and ``decided_us`` the virtual time of the last batch.
    ``observers`` are called with (ledger, record) after each record.
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
        self._trace = _in_order(events)
        self._worker_simulator = None
        self._scheduler = None
        self._timers = []
        self._order = 0
        self._waiting = []
        self._batch_at = None
        self._free_at = 0
        self._changed_at = 0

    def run(self):
        """Replays the whole trace, then goes on until all jobs have ended.

        Returns the replay itself; raises ``ReplayError`` for a trace without a header or
        with decreasing times.
        """
        first = next(self._trace, None)
        if first is None or first.WhichOneof("kind") != "header":
            raise ReplayError("the trace does not start with a header")
        self.header = first.header
        self.ledger = Ledger(first.header.region)
        self._scheduler = Scheduler(self.ledger, self._policy)
        self._worker_simulator = WorkerSimulator(self.ledger, self._at, self._record, self._submit)
        self._changed_at = first.time_us
        self._next_input()
        while self._timers:
            now_us, _, call, argument = heapq.heappop(self._timers)
            call(now_us, argument)
        return self

    @property
    def worker_simulator(self):
        """The ``WorkerSimulator`` of this replay, for its counts."""
        return self._worker_simulator

    def outcomes(self):
        """Returns counts of outcomes by name, in the form that trace headers state."""
        counts = {"jobs_refused": self._refused_jobs()}
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

    # virtual time

    def _at(self, time_us, call, argument=None):
        self._order += 1
        heapq.heappush(self._timers, (time_us, self._order, call, argument))

    def _next_input(self):
        event = next(self._trace, None)
        if event is not None:
            self._at(event.time_us, self._read, event)

    def _read(self, now_us, event):
        kind = event.WhichOneof("kind")
        if kind == "behaviour":
            self._worker_simulator.set_behaviour(event.behaviour)
        elif kind == "store_outage":
            self._free_at = max(self._free_at, now_us + int(event.store_outage.seconds * 1e6))
        elif kind == "input" and event.input.command.WhichOneof("kind") not in REPORTS:
            self._submit(now_us, event.input.command)
        self._next_input()

    def _record(self, time_us, source, **kind):
        event = TraceEvent(time_us=time_us, source=source, **kind)
        self.events.append(event)
        return event

    # the writer

    def _submit(self, now_us, command):
        self.command_count += 1
        self._waiting.append(command)
        if command.WhichOneof("kind") == "submit_job":
            spec = command.submit_job.spec
            self._record(
                now_us,
                "caller",
                caller_request={
                    "account": spec.account,
                    "request_id": spec.request_id,
                    "repeatable": spec.repeatable,
                    "job": True,
                },
            )
        self._wake(now_us + BATCH_US)

    def _wake(self, time_us):
        time_us = max(time_us, self._free_at)
        if self._batch_at is None or time_us < self._batch_at:
            self._batch_at = time_us
            self._at(time_us, self._decide)

    def _decide(self, now_us, _):
        if now_us != self._batch_at:
            return
        if now_us < self._free_at:
            # an outage has begun since this batch was due
            self._batch_at = None
            self._wake(self._free_at)
            return
        self._batch_at = None
        self.decided_us = now_us
        commands, self._waiting = self._waiting, []
        events, replies = self._scheduler.decide(commands, now_us)
        done_us = now_us
        if events:
            done_us += APPEND_US
            self._free_at = done_us
            self._changed_at = now_us
            self._append(events, now_us, done_us)
        self._answer(commands, replies, done_us)
        self._wake_for_time(done_us)

    def _append(self, events, now_us, done_us):
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
        self._record(done_us, "writer", record_applied={"entry_id": "writer", "record": record})
        self._worker_simulator.apply(record, done_us)
        for observer in self._observers:
            observer(self.ledger, record)

    def _answer(self, commands, replies, done_us):
        for command, reply in zip(commands, replies, strict=True):
            if command.WhichOneof("kind") != "submit_job":
                continue
            spec = command.submit_job.spec
            refused = reply.HasField("error")
            self._record(
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

    def _wake_for_time(self, now_us):
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
        if times and (now_us - self._changed_at < IDLE_US or self.ledger.active):
            self._wake(max(min(times), now_us))

    def _refused_jobs(self):
        return sum(
            event.WhichOneof("kind") == "caller_answer" and bool(event.caller_answer.code)
            for event in self.events
        )


def first_difference(expected, actual):
    """Returns a text on the first difference between two lists of records, or None.

    Sequences, times and events are compared; tokens and writers are random in a recording.
    """
    missing = object()
    for number, (old, new) in enumerate(_pairs(expected, actual, missing), start=1):
        if old is missing or new is missing:
            which = "recorded" if old is missing else "replayed"
            present = new if old is missing else old
            return f"record {number}: not {which}, the other list has {_brief(present)}"
        if (old.sequence, old.time_us) != (new.sequence, new.time_us):
            return (
                f"record {number}: recorded sequence {old.sequence} at {old.time_us} us, "
                f"replayed sequence {new.sequence} at {new.time_us} us"
            )
        for index, (a, b) in enumerate(_pairs(old.events, new.events, missing)):
            if a is missing or b is missing or a != b:
                left = "none" if a is missing else _brief(a)
                right = "none" if b is missing else _brief(b)
                return f"record {number}, event {index}: recorded {left}, replayed {right}"
    return None


def _pairs(left, right, missing):
    left, right = iter(left), iter(right)
    while True:
        a, b = next(left, missing), next(right, missing)
        if a is missing and b is missing:
            return
        yield a, b


def _brief(message):
    return " ".join(str(message).split())


def _in_order(events):
    last_us = 0
    for event in events:
        if event.time_us < last_us:
            raise ReplayError(f"time goes back from {last_us} us to {event.time_us} us")
        last_us = event.time_us
        yield event
