"""
ibiscart_core.workflow.job
~~~~~~~~~~~~~~~~~~~~~~~~~~

State of one job and of its units.
"""

import re
from enum import Enum

from ibiscart_core.value import (
    MAX_INT,
    MAX_NAME_BYTES,
    MAX_TEXT_BYTES,
    InvalidValueError,
    require_bool,
    require_choice,
    require_int,
    require_list,
    require_object,
    require_text,
)
from ibiscart_core.workflow.catalog import QueueEntry
from ibiscart_core.workflow.crash import PROMPT_SECONDS, STABLE_RUN_SECONDS, CrashEvidence
from ibiscart_core.workflow.spec import MAX_TIME_MS, JobSpec

__all__ = [
    "OUTCOMES",
    "Allocation",
    "AllocationState",
    "EndCause",
    "Job",
    "Outcome",
    "Unit",
    "UnitState",
]


class EndCause(Enum):
    """Cause of the end of a task's run on a worker.

    ``MEMBER_ENDED``: another member of the gang ended; ``MEMBERS_MISSING``: the other members did
    not start in time; ``WORKER_CRASHED``: the worker's process ended without notice;
    ``WORKER_VANISHED``: the worker stopped answering, and the lease has expired; ``LOST``: the run
    did not start, or the worker did not report its end for another cause.
    """

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LEASE_EXPIRED = "lease_expired"
    MEMBER_ENDED = "member_ended"
    MEMBERS_MISSING = "members_missing"
    WORKER_CRASHED = "worker_crashed"
    WORKER_VANISHED = "worker_vanished"
    LOST = "lost"


class Outcome(Enum):
    """Result of an ended job."""

    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"


OUTCOMES = frozenset(outcome.value for outcome in Outcome)
# fields of a unit in the job's record: the last two are for tasks under which workers were lost
MIN_UNIT_FIELDS = 6
MAX_UNIT_FIELDS = 8
# most rows of one list in the job's record, as protection against a malformed one
MAX_ROWS = 100_000
STEP_NUMBER = re.compile(r"0|[1-9][0-9]{0,8}")


class UnitState(Enum):
    """State of a unit: waiting for workers, active with allocations, done."""

    WAITING = "waiting"
    ACTIVE = "active"
    DONE = "done"


class AllocationState(Enum):
    """State of one task's run: start ordered, confirmed by the worker, being stopped."""

    ORDERED = "ordered"
    RUNNING = "running"
    STOPPING = "stopping"


class Allocation:
    """Resources of one task's run on one worker, held until the end of the run is known.

    ``incarnation`` is that of the worker at the time of the start order. ``started`` is True once
    the worker has confirmed the start; it is recorded for crash suspects only. ``ordered_at``,
    ``confirmed_at`` (the worker confirmed the start) and ``stop_acknowledged_at`` (the worker
    acknowledged a stop, after which the run cannot start on it) are in seconds of the monotonic
    clock, None before the event and in an allocation loaded from a record.
    """

    __slots__ = (
        "confirmed_at",
        "incarnation",
        "ordered_at",
        "started",
        "state",
        "stop_acknowledged_at",
        "worker_id",
    )

    def __init__(self, worker_id, incarnation):
        self.worker_id = worker_id
        self.incarnation = incarnation
        self.state = AllocationState.ORDERED
        self.started = False
        self.ordered_at = None
        self.confirmed_at = None
        self.stop_acknowledged_at = None

    def run_seconds(self, unreachable_at, now):
        """Returns how long the task ran until its worker was lost, None if it is unknown.

        It is unknown for a run that an earlier leader ordered. ``unreachable_at``, when the worker
        last stopped answering, and ``now`` are in seconds of the monotonic clock.
        """
        started_at = self.confirmed_at if self.confirmed_at is not None else self.ordered_at
        if started_at is None:
            return None
        # a worker that restarts between two polls is never seen as unreachable
        return (unreachable_at if unreachable_at >= started_at else now) - started_at


class Unit:
    """Tasks that start together: all tasks of a gang step, else a single task.

    ``step`` is the index of the step, ``first_index`` that of the first task within the step and
    ``size`` the number of tasks. ``run`` is the number of the latest run, shared by all tasks, 0
    before the first run; ``failures`` is the number of failed runs. ``allocations`` maps task
    indexes to their ``Allocation``. ``failure_counted`` is True once a failure of the current run
    is counted, so that a gang with several failed tasks counts once. The unit waits for workers
    from ``ready_at`` and is not placed before ``retry_at``, both in seconds of the monotonic
    clock. ``crash_evidence`` maps indexes of tasks under which workers were lost to their
    ``CrashEvidence``.
    """

    __slots__ = (
        "_state",
        "allocations",
        "checkpoint",
        "crash_evidence",
        "failure_counted",
        "failures",
        "first_index",
        "job",
        "occurrence",
        "ready_at",
        "retry_at",
        "run",
        "size",
        "step",
    )

    def __init__(self, job, occurrence, step, first_index, size):
        self.job = job
        self.occurrence = occurrence
        self.step = step
        self.first_index = first_index
        self.size = size
        self._state = UnitState.WAITING
        self.run = 0
        self.failures = 0
        self.checkpoint = ""
        self.crash_evidence = {}
        self.allocations = {}
        self.failure_counted = False
        self.ready_at = 0.0
        self.retry_at = 0.0

    @property
    def state(self):
        """The ``UnitState``; a unit that is done stays so."""
        return self._state

    @state.setter
    def state(self, state):
        if state is UnitState.DONE and self._state is not UnitState.DONE:
            self.job.record_done(self)
        self._state = state

    @property
    def spec(self):
        """The ``StepSpec`` of this unit's step."""
        return self.job.spec.steps[self.step]

    @property
    def task_indexes(self):
        """Indexes of the unit's tasks within their step."""
        return range(self.first_index, self.first_index + self.size)

    @property
    def key(self):
        """Key of the unit: (job id, occurrence, step, index of the first task)."""
        return (self.job.id, self.occurrence, self.step, self.first_index)

    @property
    def running(self):
        """True if every task is confirmed by its worker."""
        return len(self.allocations) == self.size and all(
            allocation.state is AllocationState.RUNNING for allocation in self.allocations.values()
        )

    @property
    def crash_suspect(self):
        """True if workers were lost under one of the tasks."""
        return any(evidence.lost_workers for evidence in self.crash_evidence.values())

    def may_have_crashed_worker(self, index, unreachable_at, now):
        """Returns True unless it is certain that a task did not crash the worker that it ran on.

        ``unreachable_at``, when the worker last stopped answering, and ``now`` are in seconds of
        the monotonic clock.
        """
        allocation = self.allocations.get(index)
        run_seconds = None
        if allocation is not None:
            run_seconds = allocation.run_seconds(unreachable_at, now)
        return self.crash_suspect or run_seconds is None or run_seconds <= PROMPT_SECONDS

    @property
    def isolated(self):
        """True if the unit is to share no worker with another unit that is a crash suspect."""
        return any(evidence.isolated for evidence in self.crash_evidence.values())

    @property
    def given_up(self):
        """True if one of the tasks crashes the workers that run it."""
        return any(evidence.conclusive for evidence in self.crash_evidence.values())

    @property
    def hold_seconds(self):
        """Delay of the next run in seconds after a worker was lost, 0 for none."""
        evidence = self.crash_evidence.values()
        return max((found.hold_seconds for found in evidence), default=0.0)

    def record_lost_worker(self, index, allocation, unreachable_at, now, *, crashed, correlated):
        """Adds the worker of a task's run, which was lost, to the evidence against the task.

        ``crashed`` is True if it has crashed for certain, ``correlated`` if it was lost together
        with workers that did not run the task. ``unreachable_at``, when it last stopped answering,
        and ``now`` are in seconds of the monotonic clock.
        """
        run_seconds = allocation.run_seconds(unreachable_at, now)
        if run_seconds is not None and run_seconds > STABLE_RUN_SECONDS:
            self.crash_evidence.pop(index, None)
            return
        self.crash_evidence.setdefault(index, CrashEvidence()).record_loss(
            allocation.worker_id,
            allocation.incarnation,
            crashed=crashed,
            started=allocation.started,
            prompt=run_seconds is not None and run_seconds <= PROMPT_SECONDS,
            correlated=correlated,
        )

    def task_key(self, index):
        """Returns the key of a task: (job id, occurrence, step, index)."""
        return (self.job.id, self.occurrence, self.step, index)

    def begin_run(self, allocations):
        """Begins the next run; ``allocations`` maps task indexes to ``Allocation`` objects."""
        self.run += 1
        self.state = UnitState.ACTIVE
        self.allocations = allocations
        self.failure_counted = False

    def end_task(self, index, cause, checkpoint=""):
        """Applies the end of one task of the current run; ``index`` is that of the task.

        Returns the ``Allocation`` of the task, None if the task has none.
        """
        allocation = self.allocations.pop(index, None)
        if allocation is None:
            return None
        if checkpoint:
            self.checkpoint = checkpoint
        if cause is EndCause.DONE and not self.spec.long_running:
            # the successful end of one member completes the whole gang
            self.state = UnitState.DONE
        elif cause is EndCause.FAILED and not self.failure_counted:
            self.failure_counted = True
            self.failures += 1
        if not self.allocations and self.state is UnitState.ACTIVE:
            self.state = UnitState.WAITING
        return allocation

    def to_record(self):
        """Returns the state of the unit as a list for the job's record."""
        allocations = [
            [index, allocation.worker_id, allocation.incarnation]
            for index, allocation in sorted(self.allocations.items())
        ]
        done = int(self.state is UnitState.DONE)
        row = [self.first_index, done, self.run, self.failures, self.checkpoint, allocations]
        evidence = [
            [index, found.to_record()]
            for index, found in sorted(self.crash_evidence.items())
            if found.lost_workers
        ]
        if done or not evidence:
            return row
        started = [index for index, found in sorted(self.allocations.items()) if found.started]
        return [*row, evidence, started]

    def load_record(self, record):
        """Restores the state that ``to_record`` returned; raises ``InvalidValueError``."""
        if not MIN_UNIT_FIELDS <= len(require_list(record, MAX_UNIT_FIELDS, "unit")):
            raise InvalidValueError("unit", record, f"a list of {MIN_UNIT_FIELDS} items or more")
        _, done, run, failures, checkpoint, allocations, *rest = record
        evidence, started, *_ = (*rest, [], [])
        done = require_int(done, 0, 1, "done")
        self.run = require_int(run, 0, MAX_INT, "run")
        self.failures = require_int(failures, 0, MAX_INT, "failures")
        self.checkpoint = require_text(checkpoint, MAX_TEXT_BYTES, "checkpoint")
        for index, worker_id, incarnation in _require_rows(allocations, 3, "allocations"):
            self.allocations[self._require_index(index)] = Allocation(
                require_text(worker_id, MAX_NAME_BYTES, "worker"),
                require_int(incarnation, 0, MAX_INT, "incarnation"),
            )
        if len(self.allocations) != len(allocations):
            raise InvalidValueError("allocations", allocations, "a list without repeated tasks")
        for index, row in _require_rows(evidence, 2, "evidence"):
            self.crash_evidence[self._require_index(index)] = CrashEvidence.from_record(row)
        for index in require_list(started, self.size, "started"):
            if self._require_index(index) not in self.allocations:
                raise InvalidValueError("started", index, "a task with an allocation")
            self.allocations[index].started = True
        if done:
            # counted when the job adds its units
            self._state = UnitState.DONE
            self.allocations, self.crash_evidence = {}, {}
        elif self.allocations:
            self.state = UnitState.ACTIVE

    def _require_index(self, value):
        """Returns the index of one of the unit's tasks; raises ``InvalidValueError``."""
        indexes = self.task_indexes
        return require_int(value, indexes.start, indexes.stop - 1, "task")


class Job:
    """One accepted job with the state of its units.

    ``queue`` is the name of its queue. ``accepted_ms`` is the Unix time in milliseconds at which an
    entry accepted the job. ``accepted_queue`` is the ``QueueEntry`` at that time, used after the
    queue was removed from the configuration. ``started`` is True once a worker confirmed the start
    of a task.
    """

    __slots__ = (
        "_steps_done",
        "_undone",
        "_units",
        "accepted_ms",
        "accepted_queue",
        "account",
        "id",
        "outcome",
        "queue",
        "record_version",
        "spec",
        "started",
    )

    def __init__(self, job_id, account, queue, spec, accepted_ms, accepted_queue=None):
        self.id = job_id
        self.account = account
        self.queue = queue
        self.spec = spec
        self.accepted_ms = accepted_ms
        self.accepted_queue = accepted_queue
        self.outcome = None
        self.started = False
        self.record_version = 0
        self._units = {}
        # numbers of units that are not done, by the keys of ``_units``
        self._undone = {}
        # number of these keys whose units are all done
        self._steps_done = 0

    @property
    def ended(self):
        """True if the job has an outcome."""
        return self.outcome is not None

    @classmethod
    def from_document(cls, job_id, document):
        """Builds a job from the mapping that ``to_document`` returns.

        Raises ``InvalidValueError`` if it is no valid job.
        """
        require_object(document, "job")
        spec = JobSpec.from_document(document.get("spec"))
        account = require_text(document.get("account"), MAX_TEXT_BYTES, "account")
        queue = require_text(document.get("queue"), MAX_TEXT_BYTES, "queue")
        accepted_ms = require_int(document.get("accepted_ms"), 0, MAX_TIME_MS, "accepted_ms")
        accepted_queue = document.get("accepted_queue")
        if accepted_queue is not None:
            accepted_queue = QueueEntry.from_document(queue, accepted_queue)
        return cls(job_id, account, queue, spec, accepted_ms, accepted_queue)

    def to_document(self):
        """Returns the job as it was accepted, as a JSON-serializable mapping."""
        return {
            "account": self.account,
            "queue": self.queue,
            "spec": self.spec.to_document(),
            "accepted_ms": self.accepted_ms,
            "accepted_queue": self.accepted_queue.to_document() if self.accepted_queue else None,
        }

    def units(self):
        """Yields the units created so far, in the order of their creation."""
        for units in self._units.values():
            yield from units

    def unit_of(self, occurrence, step, index):
        """Returns the unit of a task, or None if the unit does not exist.

        ``step`` is the index of the step, ``index`` that of the task within the step.
        """
        units = self._units.get((occurrence, step))
        if not units:
            return None
        if self.spec.steps[step].gang:
            return units[0]
        return units[index] if 0 <= index < len(units) else None

    def create_due_units(self, now_ms):
        """Creates the units of all steps that are due; returns the new units.

        A step is due when its occurrence is due and the steps that it depends on are done.
        """
        created = []
        for occurrence in range(self.spec.occurrence_count):
            if self.spec.due_ms(occurrence) > now_ms:
                break
            for step_index, step in enumerate(self.spec.steps):
                key = (occurrence, step_index)
                if key not in self._units and self._dependencies_done(occurrence, step):
                    created.extend(self._create_units(occurrence, step_index, step))
        return created

    def next_due_ms(self, now_ms):
        """Returns the time of the next occurrence in Unix milliseconds, or None."""
        for occurrence in range(self.spec.occurrences):
            due = self.spec.due_ms(occurrence)
            if due > now_ms:
                return due
        return None

    def record_done(self, unit):
        """Counts a unit that has just been done."""
        key = (unit.occurrence, unit.step)
        self._undone[key] -= 1
        if not self._undone[key]:
            self._steps_done += 1

    def update_outcome(self, max_failures, units=None):
        """Sets the outcome if the job has failed or completed; returns True if it was set now.

        ``units`` are those that have changed, None for all. The job fails when one unit has
        ``max_failures`` failed runs, never if ``max_failures`` is None, and when a unit that is not
        done is given up.
        """
        if self.ended:
            return False
        for unit in self.units() if units is None else units:
            if unit.state is UnitState.DONE:
                continue
            exhausted = max_failures is not None and unit.failures >= max_failures
            if unit.given_up or (exhausted and not unit.spec.long_running):
                self.outcome = Outcome.FAILED
                return True
        if self._all_done():
            self.outcome = Outcome.COMPLETED
            return True
        return False

    def to_record(self):
        """Returns the state of all units as a JSON-serializable mapping.

        The record of an ended job has only the units with runs that are still to be stopped.
        """
        record = {
            "units": {
                f"{occurrence}.{step}": [
                    unit.to_record()
                    for unit in units
                    if unit.run and (not self.ended or unit.allocations)
                ]
                for (occurrence, step), units in self._units.items()
            }
        }
        if self.ended:
            record["units"] = {name: rows for name, rows in record["units"].items() if rows}
        if self.started:
            record["started"] = True
        if self.outcome is not None:
            record["outcome"] = self.outcome.value
        return record

    def load_record(self, record):
        """Restores the state that ``to_record`` returned.

        Raises ``InvalidValueError``, and changes nothing, if ``record`` cannot be read.
        """
        require_object(record, "record")
        started = require_bool(record.get("started", False), "started")
        outcome = None
        if "outcome" in record:
            outcome = Outcome(require_choice(record["outcome"], OUTCOMES, "outcome"))
        loaded = {}
        for name, rows in require_object(record.get("units"), "units").items():
            key = self._parse_step_name(name)
            step = self.spec.steps[key[1]]
            units = loaded[key] = self._make_units(*key, step)
            units_by_first_index = {unit.first_index: unit for unit in units}
            for row in require_list(rows, len(units), name):
                first_index = require_list(row, MAX_UNIT_FIELDS, name)[:1]
                index = require_int(*(first_index or [None]), 0, step.tasks - 1, name)
                unit = units_by_first_index.pop(index, None)
                if unit is None:
                    raise InvalidValueError(name, index, "the first task of a unit, only once")
                unit.load_record(row)
        self.started, self.outcome = started, outcome
        for key, units in loaded.items():
            self._add_units(key, units)

    def _parse_step_name(self, name):
        """Returns (occurrence, index of the step) of a name in the job's record."""
        occurrence, _, step_index = name.partition(".")
        if all(map(STEP_NUMBER.fullmatch, (occurrence, step_index))):
            key = int(occurrence), int(step_index)
            if key[0] < self.spec.occurrence_count and key[1] < len(self.spec.steps):
                return key
        raise InvalidValueError("units", name, "named OCCURRENCE.STEP, both of the job")

    def _dependencies_done(self, occurrence, step):
        """Returns True if all steps that a ``StepSpec`` depends on are done in the occurrence."""
        return all(self._step_done(occurrence, step_index) for step_index in step.after)

    def _step_done(self, occurrence, step_index):
        """Returns True if all units of the step are done in the occurrence."""
        return self._undone.get((occurrence, step_index)) == 0

    def _all_done(self):
        """Returns True if all steps are done in all occurrences."""
        return self._steps_done == self.spec.occurrence_count * len(self.spec.steps)

    def _create_units(self, occurrence, step_index, step):
        """Adds and returns the units of a step."""
        units = self._make_units(occurrence, step_index, step)
        self._add_units((occurrence, step_index), units)
        return units

    def _make_units(self, occurrence, step_index, step):
        """Returns new units of a step: one unit for a gang, else one for each task."""
        if step.gang:
            return [Unit(self, occurrence, step_index, 0, step.tasks)]
        return [Unit(self, occurrence, step_index, index, 1) for index in range(step.tasks)]

    def _add_units(self, key, units):
        """Adds the units of a step; ``key`` is (occurrence, index of the step)."""
        self._units[key] = units
        self._undone[key] = sum(unit.state is not UnitState.DONE for unit in units)
        if not self._undone[key]:
            self._steps_done += 1


def _require_rows(value, length, name):
    """Returns a list of lists of ``length`` items; raises ``InvalidValueError``."""
    for row in require_list(value, MAX_ROWS, name):
        if len(require_list(row, length, name)) < length:
            raise InvalidValueError(name, row, f"a list of {length} items")
    return value
