"""
ibiscart_core.workflow.unit
~~~~~~~~~~~~~~~~~~~~~~~~~~~

State of a unit: the tasks that start together, and their runs.
"""

from enum import Enum

from ibiscart_core.value import (
    MAX_INT,
    MAX_NAME_BYTES,
    MAX_TEXT_BYTES,
    InvalidValueError,
    require_int,
    require_list,
    require_text,
)
from ibiscart_core.workflow.crash import (
    ISOLATION_SECONDS,
    PROMPT_SECONDS,
    STABLE_RUN_SECONDS,
    CrashEvidence,
)

__all__ = [
    "MAX_UNIT_FIELDS",
    "Allocation",
    "AllocationState",
    "EndCause",
    "Unit",
    "UnitState",
    "group_key",
]

# fields of a unit in the job's record: the last two are for tasks under which workers were lost
MIN_UNIT_FIELDS = 6
MAX_UNIT_FIELDS = 8
# most rows of one list in the job's record, as protection against a malformed one
MAX_ROWS = 100_000


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
    clock, None before the event and in an allocation loaded from a record. ``stop`` is the
    ``StopOrder`` of a run that is being stopped, else None; ``stop_reason`` is why the leader
    requested it, or the reason of the preemption, empty before. ``speed`` is the
    expected relative speed of the run, that of the slowest worker of a gang, ``progress`` its last
    ``RunProgress`` or None.
    """

    __slots__ = (
        "confirmed_at",
        "incarnation",
        "ordered_at",
        "progress",
        "speed",
        "started",
        "state",
        "stop",
        "stop_acknowledged_at",
        "stop_reason",
        "worker_id",
    )

    def __init__(self, worker_id, incarnation, speed=1.0):
        self.worker_id = worker_id
        self.incarnation = incarnation
        self.state = AllocationState.ORDERED
        self.started = False
        self.ordered_at = None
        self.confirmed_at = None
        self.stop = None
        self.stop_acknowledged_at = None
        self.speed = speed
        self.progress = None
        self.stop_reason = ""

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


def group_key(job, step, occurrence, failed=False):
    """Returns the ``equivalence_key`` of units without crash evidence.

    Units of all occurrences are interchangeable, of which up to a thousand may be due, unless the
    tasks of one occurrence must be spread over workers.
    """
    if job.spec.scheduled and not job.spec.steps[step].max_per_worker:
        return (job.id, step, failed)
    return (job.id, step, occurrence)


class Unit:
    """Tasks that start together: all tasks of a gang step, else a single task.

    ``step`` is the index of the step, ``first_index`` that of the first task within the step and
    ``size`` the number of tasks. ``run`` is the number of the latest run, shared by all tasks, 0
    before the first run; ``failures`` is the number of failed runs. ``allocations`` maps task
    indexes to their ``Allocation``. ``failure_counted`` is True once a failure of the current run
    is counted, so that a gang with several failed tasks counts once. The unit waits for workers
    from ``ready_at`` and is not placed before ``retry_at``, which counts from the last loss of a
    worker, both in seconds of the monotonic clock. ``crash_evidence`` maps indexes of tasks under
    which workers were lost to their ``CrashEvidence``. ``block``, None for a unit by itself, counts
    the states of its units and is told of each change of what ``to_record`` returns.
    """

    __slots__ = (
        "_checkpoint",
        "_state",
        "allocations",
        "block",
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
        self.block = None
        self._state = UnitState.WAITING
        self.run = 0
        self.failures = 0
        self._checkpoint = ""
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
        earlier = self._state
        if state is earlier or earlier is UnitState.DONE:
            return
        self._state = state
        if self.block is not None:
            self.block.record_state(self, earlier)
        self._record_change()

    @property
    def checkpoint(self):
        """Checkpoint from which the next run continues, empty without one."""
        return self._checkpoint

    @checkpoint.setter
    def checkpoint(self, checkpoint):
        if checkpoint != self._checkpoint:
            self._checkpoint = checkpoint
            self._record_change()

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
    def equivalence_key(self):
        """The same for units that are interchangeable within a pass of planning."""
        key = group_key(self.job, self.step, self.occurrence, self.failures > 0)
        return (*key, self.isolated) if self.crash_suspect else key

    @property
    def running(self):
        """True if every task is confirmed by its worker."""
        return len(self.allocations) == self.size and all(
            allocation.state is AllocationState.RUNNING for allocation in self.allocations.values()
        )

    @property
    def crash_suspect(self):
        """True if workers were lost under one of the tasks."""
        return bool(self.crash_evidence) and any(
            evidence.lost_workers for evidence in self.crash_evidence.values()
        )

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
        """True if the unit is kept apart from other crash suspects, see ``may_start_beside``."""
        return any(evidence.isolated for evidence in self.crash_evidence.values())

    def settled(self, now):
        """Returns True if all tasks at work have run for so long that a crash would not be prompt.

        ``now`` is in seconds of the monotonic clock.
        """
        return bool(self.allocations) and all(
            allocation.confirmed_at is not None and now - allocation.confirmed_at > PROMPT_SECONDS
            for allocation in self.allocations.values()
        )

    def may_start_beside(self, others, now):
        """Returns True if a crash of a worker soon after the start would still tell its cause.

        ``others`` are the units on the worker. Of two crash suspects none may be isolated, unless
        the other one has settled, so that only a crash of this one would be prompt, or this one has
        waited for ``ISOLATION_SECONDS``. ``now`` is in seconds of the monotonic clock.
        """
        if now - self.retry_at > ISOLATION_SECONDS:
            return True
        return not any(
            (self.isolated or other.isolated) and not other.settled(now)
            for other in others
            if other is not self and other.crash_suspect
        )

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
        self._record_change()
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

    def drop_outlived_evidence(self, index, now):
        """Drops the evidence against a task whose run has lasted; returns True if there was any.

        ``now`` is in seconds of the monotonic clock.
        """
        allocation = self.allocations.get(index)
        if index not in self.crash_evidence or allocation is None:
            return False
        if allocation.confirmed_at is None or now - allocation.confirmed_at < STABLE_RUN_SECONDS:
            return False
        del self.crash_evidence[index]
        self._record_change()
        return True

    def resolve_lost_worker(self, index, worker_id, incarnation):
        """Decides on a worker that was lost under a task; returns True if the evidence changes.

        ``incarnation`` is that in which it answers again, None if it has crashed.
        """
        evidence = self.crash_evidence.get(index)
        if evidence is None or not evidence.resolve(worker_id, incarnation):
            return False
        self._record_change()
        return True

    def task_key(self, index):
        """Returns the key of a task: (job id, occurrence, step, index)."""
        return (self.job.id, self.occurrence, self.step, index)

    def begin_run(self, allocations):
        """Begins the next run; ``allocations`` maps task indexes to ``Allocation`` objects."""
        self.run += 1
        self.allocations = allocations
        self.failure_counted = False
        self.state = UnitState.ACTIVE
        self._record_change()

    def confirm_start(self, allocation, now):
        """Records that a worker confirmed the start of the run with ``allocation``."""
        allocation.state = AllocationState.RUNNING
        allocation.confirmed_at = now
        allocation.started = True
        if self.crash_evidence:
            self._record_change()

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
        self._record_change()
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
        self._checkpoint = require_text(checkpoint, MAX_TEXT_BYTES, "checkpoint")
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
            self.allocations, self.crash_evidence = {}, {}
            self.state = UnitState.DONE
        elif self.allocations:
            self.state = UnitState.ACTIVE

    def _record_change(self):
        """Tells the block that the unit's record has changed."""
        if self.block is not None:
            self.block.record_change()

    def _require_index(self, value):
        """Returns the index of one of the unit's tasks; raises ``InvalidValueError``."""
        indexes = self.task_indexes
        return require_int(value, indexes.start, indexes.stop - 1, "task")


def _require_rows(value, length, name):
    """Returns a list of lists of ``length`` items; raises ``InvalidValueError``."""
    for row in require_list(value, MAX_ROWS, name):
        if len(require_list(row, length, name)) < length:
            raise InvalidValueError(name, row, f"a list of {length} items")
    return value
