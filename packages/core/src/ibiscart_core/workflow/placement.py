"""
ibiscart_core.workflow.placement
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Finds workers for the tasks of a unit.
"""

__all__ = ["Room", "RoomSet"]

UNBOUNDED = 1 << 30


class Room:
    """Free resources of one worker during one scheduling pass."""

    __slots__ = (
        "_placed",
        "accelerators",
        "cpu_millis",
        "doubtful",
        "labels",
        "memory_mb",
        "rack",
        "worker",
    )

    def __init__(self, worker, doubtful=False):
        free = worker.free
        self.worker = worker
        self.doubtful = doubtful
        self.accelerators = free.accelerators
        self.cpu_millis = free.cpu_millis
        self.memory_mb = free.memory_mb
        self.labels = worker.info.labels
        self.rack = worker.info.rack
        self._placed = {}

    @property
    def empty(self):
        """Whether no task holds a place here, this pass included."""
        return not self.worker.units_by_run and not self._placed

    def present(self, unit):
        """Number of tasks here of the unit's step and occurrence, this pass included."""
        wanted = (unit.job.id, unit.occurrence, unit.step)
        before = sum(1 for task_key, _ in self.worker.units_by_run if task_key[:3] == wanted)
        return before + self._placed.get(wanted, 0)

    def place(self, unit, tasks):
        """Takes the resources of ``tasks`` tasks of a unit."""
        key = (unit.job.id, unit.occurrence, unit.step)
        self._placed[key] = self._placed.get(key, 0) + tasks
        demand = unit.spec.demand
        self.accelerators -= demand.accelerators * tasks
        self.cpu_millis -= demand.cpu_millis * tasks
        self.memory_mb -= demand.memory_mb * tasks

    def times(self, demand):
        """Number of tasks with ``demand`` that fit."""
        count = UNBOUNDED
        if demand.accelerators > 0:
            count = min(count, self.accelerators // demand.accelerators)
        if demand.cpu_millis > 0:
            count = min(count, self.cpu_millis // demand.cpu_millis)
        if demand.memory_mb > 0:
            count = min(count, self.memory_mb // demand.memory_mb)
        return max(0, count)


class RoomSet:
    """Free resources of the usable workers of one pool.

    ``held`` maps worker ids to the key of the unit that they are kept for. ``whole_kept`` is
    the number of empty workers that only urgent units may use. ``doubtful`` has the ids of
    workers that are used when no others have room.
    """

    def __init__(self, workers, held=None, whole_kept=0, doubtful=frozenset()):
        self.rooms = [Room(worker, worker.id in doubtful) for worker in workers]
        self._held = held or {}
        self._whole_kept = whole_kept

    def hold(self, worker_ids, key):
        """Keeps workers for one unit for the rest of the pass."""
        self._held.update(dict.fromkeys(worker_ids, key))

    def open_to(self, unit):
        """Yields the rooms that are kept for no other unit and have the required label."""
        label = unit.spec.required_label
        for room in self.rooms:
            if self._held.get(room.worker.id, unit.key) == unit.key:
                if not label or label in room.labels:
                    yield room

    def eligible(self, unit):
        """Yields (room, tasks that fit) of the workers on which the unit may run."""
        step = unit.spec
        demand = step.demand
        for room in self.open_to(unit):
            count = room.times(demand)
            if step.max_per_worker:
                count = min(count, step.max_per_worker - room.present(unit))
            if count > 0:
                yield room, count

    def find(self, unit, anywhere, urgent=True):
        """Returns [(room, tasks)] that hold the whole unit, or None.

        Unless ``anywhere``, a unit that runs slower off its rack is placed only on it. Units
        that are not ``urgent`` leave some workers empty.
        """
        chosen = self._find(unit, anywhere, list(self.eligible(unit)))
        if chosen is None or urgent or not self._whole_kept:
            return chosen
        whole = sum(room.empty for room in self.rooms)
        if whole - sum(room.empty for room, _ in chosen) >= self._whole_kept:
            return chosen
        in_use = [(room, count) for room, count in self.eligible(unit) if not room.empty]
        return self._find(unit, anywhere, in_use)

    def _find(self, unit, anywhere, candidates):
        step = unit.spec
        if unit.size == 1:
            return self._find_single(candidates, step, anywhere)
        trusted = [pair for pair in candidates if not pair[0].doubtful]
        may_spread = anywhere and bool(step.same_rack or step.preferred_rack)
        for spread in (False, True) if may_spread else (False,):
            for some in (trusted, candidates):
                for rooms in self._groups(some, step, spread):
                    chosen = _fill(rooms, unit.size)
                    if chosen is not None:
                        return chosen
        return None

    def take(self, unit, chosen):
        """Takes the resources of a unit that was placed."""
        for room, tasks in chosen:
            room.place(unit, tasks)

    def _find_single(self, candidates, step, anywhere):
        preferred = step.preferred_rack
        if preferred:
            near = [pair for pair in candidates if pair[0].rack == preferred]
            if near or not anywhere:
                candidates = near
        if not candidates:
            return None
        room, _ = min(
            candidates, key=lambda pair: (pair[0].doubtful, _leftover(pair[0], step.demand))
        )
        return [(room, 1)]

    def _groups(self, candidates, step, spread):
        """Yields groups of rooms to try for a gang, the best first.

        With ``spread``, also those that make a unit slower that is bound to a rack.
        """
        racks = {}
        for room, count in candidates:
            racks.setdefault(room.rack, []).append((room, count))
        # the rack with the least room to spare keeps the larger ones whole
        by_room = sorted(racks.values(), key=lambda rooms: sum(count for _, count in rooms))
        if spread:
            yield from by_room
            yield candidates
        elif step.preferred_rack:
            yield racks.get(step.preferred_rack, [])
        elif step.same_rack:
            yield from by_room
        else:
            yield candidates


def _leftover(room, demand):
    return (
        room.accelerators - demand.accelerators,
        room.memory_mb - demand.memory_mb,
        room.cpu_millis - demand.cpu_millis,
    )


def _fill(rooms, size):
    """Returns [(room, tasks)] for ``size`` tasks, the fullest workers first, or None.

    Whole free workers are kept for the tasks that need all accelerators of one.
    """
    if sum(count for _, count in rooms) < size:
        return None
    chosen = []
    for room, count in sorted(rooms, key=lambda pair: (pair[0].accelerators, pair[1])):
        tasks = min(count, size)
        chosen.append((room, tasks))
        size -= tasks
        if not size:
            break
    return chosen
