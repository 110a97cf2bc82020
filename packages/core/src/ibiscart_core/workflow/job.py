"""
ibiscart_core.workflow.job
~~~~~~~~~~~~~~~~~~~~~~~~~~

State of one job: which units wait, run and have ended.
"""

from enum import Enum

from ibiscart_core.workflow.catalog import QueueEntry
from ibiscart_core.workflow.spec import JobSpec

__all__ = ["Allocation", "AllocationState", "EndCause", "Job", "Outcome", "Unit", "UnitState"]


class EndCause(Enum):
    """Why a run of a task has ended on its worker."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LEASE_EXPIRED = "lease_expired"
    MEMBER_ENDED = "member_ended"
    MEMBERS_MISSING = "members_missing"
    LOST = "lost"


class Outcome(Enum):
    """How a job has ended."""

    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"


class UnitState(Enum):
    """Life of a unit: waiting, active on its places, done."""

    WAITING = "waiting"
    ACTIVE = "active"
    DONE = "done"


class AllocationState(Enum):
    """Life of one task's run: recorded, confirmed by the worker, being stopped."""

    ORDERED = "ordered"
    RUNNING = "running"
    STOPPING = "stopping"


class Allocation:
    """The run of one task on one worker; it holds resources until its end is known.

    ``incarnation`` names the life of the worker that was ordered. ``ordered_at``,
    ``confirmed_at`` (the worker took the start) and ``barred_at`` (it took a stop, after which
    the run cannot start there) are in seconds of the monotonic clock, None before that.
    """

    __slots__ = ("barred_at", "confirmed_at", "incarnation", "ordered_at", "state", "worker_id")

    def __init__(self, worker_id, incarnation):
        self.worker_id = worker_id
        self.incarnation = incarnation
        self.state = AllocationState.ORDERED
        self.ordered_at = None
        self.confirmed_at = None
        self.barred_at = None


class Unit:
    """Tasks that start together: the whole step for a gang, else a single task.

    ``run`` is the number of the latest run, shared by all tasks; ``failures`` counts the runs
    that failed. ``allocations`` maps task indexes to their ``Allocation``. ``attributed`` is
    True once the end of the present run is counted, so that a failure of a gang counts once.
    """

    __slots__ = (
        "allocations",
        "attributed",
        "checkpoint",
        "failures",
        "first",
        "job",
        "occurrence",
        "ready_at",
        "retry_at",
        "run",
        "size",
        "state",
        "step",
    )

    def __init__(self, job, occurrence, step, first, size):
        self.job = job
        self.occurrence = occurrence
        self.step = step
        self.first = first
        self.size = size
        self.state = UnitState.WAITING
        self.run = 0
        self.failures = 0
        self.checkpoint = ""
        self.allocations = {}
        self.attributed = False
        self.ready_at = 0.0
        self.retry_at = 0.0

    @property
    def spec(self):
        """The ``StepSpec`` of this unit's step."""
        return self.job.spec.steps[self.step]

    @property
    def indexes(self):
        """Task indexes of the unit."""
        return range(self.first, self.first + self.size)

    @property
    def key(self):
        """Names the unit among all jobs."""
        return (self.job.id, self.occurrence, self.step, self.first)

    @property
    def running(self):
        """Whether every task is confirmed by its worker."""
        return len(self.allocations) == self.size and all(
            allocation.state is AllocationState.RUNNING for allocation in self.allocations.values()
        )

    def task_key(self, index):
        """Names one task among all jobs: (job id, occurrence, step, index)."""
        return (self.job.id, self.occurrence, self.step, index)

    def begin(self, allocations):
        """Begins the next run on ``allocations``, a mapping of task index to ``Allocation``."""
        self.run += 1
        self.state = UnitState.ACTIVE
        self.allocations = allocations
        self.attributed = False

    def end(self, index, cause, checkpoint=""):
        """Applies the end of one task of the present run; returns its ``Allocation``."""
        allocation = self.allocations.pop(index, None)
        if allocation is None:
            return None
        if checkpoint:
            self.checkpoint = checkpoint
        if cause is EndCause.DONE and not self.spec.long_running:
            # the end of one member stands for the whole gang
            self.state = UnitState.DONE
        elif cause is EndCause.FAILED and not self.attributed:
            self.attributed = True
            self.failures += 1
        if not self.allocations and self.state is UnitState.ACTIVE:
            self.state = UnitState.WAITING
        return allocation

    def to_record(self):
        """Returns the unit as a list for the job's record."""
        allocations = [[i, p.worker_id, p.incarnation] for i, p in sorted(self.allocations.items())]
        done = int(self.state is UnitState.DONE)
        return [self.first, done, self.run, self.failures, self.checkpoint, allocations]

    def load_record(self, record):
        """Restores the state that ``to_record`` returned."""
        _, done, self.run, self.failures, self.checkpoint, allocations = record
        if done:
            self.state = UnitState.DONE
            return
        self.allocations = {index: Allocation(worker, life) for index, worker, life in allocations}
        if self.allocations:
            self.state = UnitState.ACTIVE


class Job:
    """One accepted job with the state of its units.

    ``accepted_ms`` is the Unix time in milliseconds at which an entry accepted it.
    ``accepted_queue`` is its ``QueueEntry`` at that time, which counts once the queue is gone.
    """

    __slots__ = (
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

    @property
    def ended(self):
        """Whether the job has its outcome."""
        return self.outcome is not None

    @classmethod
    def from_document(cls, job_id, document):
        """Builds the job from ``to_document``'s mapping."""
        spec = JobSpec.from_document(document["spec"])
        queue = document["queue"]
        accepted_queue = None
        if document.get("accepted_queue"):
            accepted_queue = QueueEntry.from_document(queue, document["accepted_queue"])
        account, accepted_ms = document["account"], document["accepted_ms"]
        return cls(job_id, account, queue, spec, accepted_ms, accepted_queue)

    def to_document(self):
        """Returns what was accepted as a mapping that JSON can hold."""
        return {
            "account": self.account,
            "queue": self.queue,
            "spec": self.spec.to_document(),
            "accepted_ms": self.accepted_ms,
            "accepted_queue": self.accepted_queue.to_document() if self.accepted_queue else None,
        }

    def units(self):
        """Yields all units that exist, in order of occurrence and step."""
        for units in self._units.values():
            yield from units

    def unit_of(self, occurrence, step, index):
        """Returns the unit that holds a task, or None."""
        units = self._units.get((occurrence, step))
        if not units:
            return None
        if self.spec.steps[step].gang:
            return units[0]
        return units[index] if 0 <= index < len(units) else None

    def open_steps(self, now_ms):
        """Creates the units of all steps whose turn has come; returns the new units."""
        created = []
        for occurrence in range(self.spec.runs):
            if self.spec.due_ms(occurrence) > now_ms:
                break
            for number, step in enumerate(self.spec.steps):
                key = (occurrence, number)
                if key not in self._units and self._after_done(occurrence, step):
                    self._units[key] = self._make_units(occurrence, number, step)
                    created.extend(self._units[key])
        return created

    def next_due_ms(self, now_ms):
        """Unix milliseconds of the next occurrence that is not due yet, or None."""
        for occurrence in range(self.spec.occurrences):
            due = self.spec.due_ms(occurrence)
            if due > now_ms:
                return due
        return None

    def settle(self, max_failures):
        """Sets the outcome if the job has ended; returns whether it was set now.

        ``max_failures`` is the number of failed runs of one unit that fails the job, None
        when it is not known.
        """
        if self.ended:
            return False
        if max_failures is not None and any(
            unit.failures >= max_failures
            and unit.state is not UnitState.DONE
            and not unit.spec.long_running
            for unit in self.units()
        ):
            self.outcome = Outcome.FAILED
            return True
        if self._all_done():
            self.outcome = Outcome.COMPLETED
            return True
        return False

    def to_record(self):
        """Returns the state of all runs as a mapping that JSON can hold."""
        record = {
            "units": {
                f"{occurrence}.{step}": [unit.to_record() for unit in units if unit.run]
                for (occurrence, step), units in self._units.items()
            }
        }
        if self.started:
            record["started"] = True
        if self.outcome is not None:
            record["outcome"] = self.outcome.value
        return record

    def load_record(self, record):
        """Restores the state that ``to_record`` returned."""
        self.started = record.get("started", False)
        for name, rows in record["units"].items():
            occurrence, number = map(int, name.split("."))
            step = self.spec.steps[number]
            units = self._make_units(occurrence, number, step)
            by_first = {unit.first: unit for unit in units}
            for row in rows:
                by_first[row[0]].load_record(row)
            self._units[(occurrence, number)] = units
        if "outcome" in record:
            self.outcome = Outcome(record["outcome"])

    def _after_done(self, occurrence, step):
        return all(self._step_done(occurrence, number) for number in step.after)

    def _step_done(self, occurrence, number):
        units = self._units.get((occurrence, number))
        return units is not None and all(unit.state is UnitState.DONE for unit in units)

    def _all_done(self):
        steps = range(len(self.spec.steps))
        return all(
            self._step_done(occurrence, number)
            for occurrence in range(self.spec.runs)
            for number in steps
        )

    def _make_units(self, occurrence, number, step):
        if step.gang:
            return [Unit(self, occurrence, number, 0, step.tasks)]
        return [Unit(self, occurrence, number, index, 1) for index in range(step.tasks)]
