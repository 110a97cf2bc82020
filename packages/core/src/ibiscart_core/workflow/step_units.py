"""
ibiscart_core.workflow.step_units
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The units of one step in one occurrence of a job, created and recorded block by block.
"""

import json

from ibiscart_core.workflow.unit import Unit, UnitState, group_key

__all__ = ["BLOCK_UNITS", "StepUnits"]

# units that are created at a time, and recorded again when one of them changes
BLOCK_UNITS = 128


class StepUnits:
    """Units of one step in one occurrence of a job, in the order of their tasks.

    Its cost follows the units that run and change, not those that wait or are done: units are
    created when they are about to be placed, a complete block of done units is kept only as its
    encoded rows, and the rows of a block are encoded again only after a change in it.

    ``active`` has the active units by the index of their first task, ``undone`` is the number of
    units that are not done, ``unit_size`` that of the tasks of each unit. Units count as waiting
    from ``ready_at``, in seconds of the monotonic clock.
    """

    __slots__ = (
        "_blocks",
        "_count",
        "_job",
        "active",
        "occurrence",
        "ready_at",
        "step",
        "undone",
        "unit_size",
    )

    def __init__(self, job, occurrence, step, ready_at=0.0):
        """Builds the units of the step with index ``step`` of ``job``; none is created yet."""
        self._job = job
        self.occurrence = occurrence
        self.step = step
        self.ready_at = ready_at
        self.active = {}
        self._blocks = []
        spec = job.spec.steps[step]
        self._count, self.unit_size = (1, spec.tasks) if spec.gang else (spec.tasks, 1)
        self.undone = self._count

    @property
    def name(self):
        """Name of the step and occurrence in the job's record."""
        return f"{self.occurrence}.{self.step}"

    @property
    def waiting(self):
        """Number of units that wait for workers."""
        return self.undone - len(self.active)

    @property
    def _created(self):
        """Number of units created so far; they are the first ones."""
        return min(self._count, len(self._blocks) * BLOCK_UNITS)

    def __iter__(self):
        """Yields the units that are created and not only kept as encoded rows."""
        for block in self._blocks:
            yield from block.units

    def create_block(self):
        """Creates and returns the next units, none if all are created."""
        first = self._created
        size = self.unit_size
        units = [
            Unit(self._job, self.occurrence, self.step, index, size)
            for index in range(first, min(first + BLOCK_UNITS, self._count))
        ]
        if units:
            for unit in units:
                unit.ready_at = self.ready_at
            self._blocks.append(_Block(self, units))
        return units

    def unit_of(self, index):
        """Returns the unit of the task with ``index``, None if it is not created or was done."""
        if self.unit_size > 1:
            index = 0
        block, offset = divmod(index, BLOCK_UNITS)
        if not 0 <= block < len(self._blocks) or offset >= len(self._blocks[block].units):
            return None
        return self._blocks[block].units[offset]

    def has_waiting(self, now):
        """Returns True if a unit may be placed at ``now``."""
        if self._created < self._count:
            return True
        return any(
            unit.state is UnitState.WAITING and unit.retry_at <= now
            for block in self._blocks
            if block.waiting
            for unit in block.units
        )

    def waiting_units(self, now, blocked_keys=frozenset()):
        """Yields the units that may be placed at ``now``; creates them as they are asked for.

        Leaves out those whose ``equivalence_key`` is in ``blocked_keys``, which may grow meanwhile.
        """
        number = 0
        while number < len(self._blocks) or self._created < self._count:
            if number == len(self._blocks):
                if group_key(self._job, self.step, self.occurrence) in blocked_keys:
                    return
                self.create_block()
            block = self._blocks[number]
            number += 1
            if not block.waiting:
                continue
            for unit in block.units:
                if unit.state is not UnitState.WAITING or unit.retry_at > now:
                    continue
                if unit.equivalence_key not in blocked_keys:
                    yield unit

    def load_units(self, count):
        """Creates at least the first ``count`` units."""
        while self._created < min(count, self._count):
            self.create_block()

    def record_state(self, unit, earlier):
        """Counts a unit whose state was ``earlier``; tells the job when the last one is done."""
        if unit.state is UnitState.ACTIVE:
            self.active[unit.first_index] = unit
        elif earlier is UnitState.ACTIVE:
            del self.active[unit.first_index]
        if unit.state is UnitState.DONE:
            self.undone -= 1
            if not self.undone:
                self._job.record_step_done(self)

    def to_record(self):
        """Returns the records of the units that have begun a run, as a list."""
        return json.loads(self.encode_record())

    def encode_record(self):
        """Returns the JSON bytes of the list that ``to_record`` returns."""
        rows = (block.encode_rows() for block in self._blocks)
        return b"[" + b",".join(row for row in rows if row) + b"]"


class _Block:
    """Consecutive units of one step; ``waiting`` is the number of those that wait for workers.

    ``units`` is empty once all are done and only their encoded rows are kept.
    """

    __slots__ = ("_encoded", "_step_units", "_undone", "units", "waiting")

    def __init__(self, step_units, units):
        self._step_units = step_units
        self.units = units
        self._undone = self.waiting = len(units)
        # JSON bytes of the units' records without brackets, None after a change
        self._encoded = None
        for unit in units:
            unit.block = self

    def record_state(self, unit, earlier):
        """Counts a unit whose state was ``earlier`` and has changed."""
        if earlier is UnitState.WAITING:
            self.waiting -= 1
        elif unit.state is UnitState.WAITING:
            self.waiting += 1
        if unit.state is UnitState.DONE:
            self._undone -= 1
        self._step_units.record_state(unit, earlier)

    def record_change(self):
        """Makes the rows be encoded again."""
        if self.units:
            self._encoded = None
            self._compact()

    def encode_rows(self):
        """Returns the JSON bytes of the units that have begun a run, without brackets."""
        if self._encoded is None:
            rows = [unit.to_record() for unit in self.units if unit.run]
            self._encoded = json.dumps(rows, separators=(",", ":"))[1:-1].encode()
        return self._encoded

    def _compact(self):
        """Keeps only the encoded rows if the block is complete and nothing of it can change."""
        if self._undone or len(self.units) < BLOCK_UNITS:
            return
        if not any(unit.allocations for unit in self.units):
            self.encode_rows()
            self.units = ()
