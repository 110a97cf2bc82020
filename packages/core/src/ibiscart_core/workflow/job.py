"""
ibiscart_core.workflow.job
~~~~~~~~~~~~~~~~~~~~~~~~~~

State of one job and of its units.
"""

import json
import re
from enum import Enum

from ibiscart_core.value import (
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
from ibiscart_core.workflow.spec import MAX_TIME_MS, JobSpec
from ibiscart_core.workflow.step_units import BLOCK_UNITS, StepUnits
from ibiscart_core.workflow.unit import MAX_UNIT_FIELDS, UnitState

__all__ = ["OUTCOMES", "Job", "Outcome"]


class Outcome(Enum):
    """Result of an ended job."""

    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"


OUTCOMES = frozenset(outcome.value for outcome in Outcome)
STEP_NUMBER = re.compile(r"0|[1-9][0-9]{0,8}")


class Job:
    """One accepted job with the state of its units.

    ``queue`` is the name of its queue. ``accepted_ms`` is the Unix time in milliseconds at which an
    entry accepted the job. ``accepted_queue`` is the ``QueueEntry`` at that time, used after the
    queue was removed from the configuration. ``started`` is True once a worker confirmed the start
    of a task.
    """

    __slots__ = (
        "_step_units",
        "_steps_done",
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
        # ``StepUnits`` by (occurrence, index of the step)
        self._step_units = {}
        # number of those whose units are all done
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

    @property
    def step_units(self):
        """The ``StepUnits`` of the steps that are due, in the order in which they were due."""
        return self._step_units.values()

    def units(self):
        """Yields the units created so far, but for those that are only kept as encoded rows."""
        for step_units in self._step_units.values():
            yield from step_units

    def active_units(self):
        """Yields the active units."""
        for step_units in self._step_units.values():
            yield from step_units.active.values()

    def has_waiting_units(self, now):
        """Returns True if a unit may be placed at ``now``, in seconds of the monotonic clock."""
        return any(step_units.has_waiting(now) for step_units in self._step_units.values())

    def waiting_units(self, now, blocked_keys=frozenset()):
        """Yields the units that may be placed at ``now``, as ``StepUnits.waiting_units`` does."""
        for step_units in self._step_units.values():
            yield from step_units.waiting_units(now, blocked_keys)

    def unit_of(self, occurrence, step, index):
        """Returns the unit of a task, None if it is not created, or done and not kept.

        ``step`` is the index of the step, ``index`` that of the task within the step.
        """
        step_units = self._step_units.get((occurrence, step))
        return step_units.unit_of(index) if step_units is not None else None

    def restart_waiting(self, now):
        """Makes all units count as waiting from ``now``, in seconds of the monotonic clock."""
        for step_units in self._step_units.values():
            step_units.ready_at = now
            for unit in step_units:
                unit.ready_at = now

    def create_due_units(self, now_ms, now=0.0):
        """Adds the units of all steps that are due; returns the number of those created.

        A step is due when its occurrence is due and the steps that it depends on are done. Only
        the first units of a step are created at once. ``now_ms`` is in Unix milliseconds, ``now``
        in seconds of the monotonic clock.
        """
        created = 0
        for occurrence in range(self.spec.occurrence_count):
            if self.spec.due_ms(occurrence) > now_ms:
                break
            for step_index, step in enumerate(self.spec.steps):
                key = (occurrence, step_index)
                if key not in self._step_units and self._dependencies_done(occurrence, step):
                    step_units = StepUnits(self, occurrence, step_index, now)
                    created += len(step_units.create_block())
                    self._add_step_units(step_units)
        return created

    def next_due_ms(self, now_ms):
        """Returns the time of the next occurrence in Unix milliseconds, or None."""
        for occurrence in range(self.spec.occurrences):
            due = self.spec.due_ms(occurrence)
            if due > now_ms:
                return due
        return None

    def record_step_done(self, step_units):
        """Counts a ``StepUnits`` whose last unit is done, once it belongs to the job."""
        if self._step_units.get((step_units.occurrence, step_units.step)) is step_units:
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

    def release_units(self):
        """Drops the units of an ended job once none has an allocation; the record stays the same.

        Ended jobs are kept for minutes, and their units would take most of their memory.
        """
        if self.ended and not any(unit.allocations for unit in self.units()):
            self._step_units = {}

    def to_record(self):
        """Returns the state of all units as a JSON-serializable mapping.

        The record of an ended job has only the units with runs that are still to be stopped.
        """
        if self.ended:
            units = {
                step_units.name: rows
                for step_units in self._step_units.values()
                if (rows := [unit.to_record() for unit in step_units if unit.allocations])
            }
        else:
            units = {units.name: units.to_record() for units in self._step_units.values()}
        return {"units": units, **self.to_header()}

    def to_header(self):
        """Returns the part of the record that describes the job as a whole."""
        header = {}
        if self.started:
            header["started"] = True
        if self.outcome is not None:
            header["outcome"] = self.outcome.value
        return header

    def encode_units(self):
        """Returns the JSON bytes of ``units`` in ``to_record``."""
        if self.ended:
            return json.dumps(self.to_record()["units"], separators=(",", ":")).encode()
        members = (
            b'"%b":%b' % (step_units.name.encode(), step_units.encode_record())
            for step_units in self._step_units.values()
        )
        return b"{" + b",".join(members) + b"}"

    def load_record(self, record):
        """Restores the state that ``to_record`` returned.

        Raises ``InvalidValueError``, and changes nothing, if ``record`` cannot be read.
        """
        for _ in self.load_record_in_parts(record):
            pass

    def load_record_in_parts(self, record):
        """Does what ``load_record`` does; yields after each part so that other work can go on.

        The job changes only with the last part.
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
            step_units = loaded[key] = StepUnits(self, *key)
            loaded_indexes = set()
            for row in require_list(rows, step.tasks, name):
                first_index = require_list(row, MAX_UNIT_FIELDS, name)[:1]
                index = require_int(*(first_index or [None]), 0, step.tasks - 1, name)
                step_units.load_units(index + 1)
                unit = step_units.unit_of(index)
                if index in loaded_indexes or unit is None or unit.first_index != index:
                    raise InvalidValueError(name, index, "the first task of a unit, only once")
                loaded_indexes.add(index)
                unit.load_record(row)
                if len(loaded_indexes) % BLOCK_UNITS == 0:
                    yield
        self.started, self.outcome = started, outcome
        for step_units in loaded.values():
            self._add_step_units(step_units)

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
        step_units = self._step_units.get((occurrence, step_index))
        return step_units is not None and not step_units.undone

    def _all_done(self):
        """Returns True if all steps are done in all occurrences."""
        return self._steps_done == self.spec.occurrence_count * len(self.spec.steps)

    def _add_step_units(self, step_units):
        """Adds the ``StepUnits`` of a step."""
        self._step_units[(step_units.occurrence, step_units.step)] = step_units
        if not step_units.undone:
            self._steps_done += 1
