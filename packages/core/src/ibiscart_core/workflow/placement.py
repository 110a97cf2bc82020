"""
ibiscart_core.workflow.placement
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Finds workers for the tasks of a unit.
"""

__all__ = ["PoolCapacity", "WorkerCapacity"]

# number of tasks that fit if they demand no resources
UNBOUNDED = 1 << 30
# relative speed up to which a worker is avoided by all work while other workers suffice
VERY_SLOW = 0.5
# bands of relative speed; within one, the differences are mostly errors of the estimates
VERY_SLOW_BAND, SLOW_BAND, AVERAGE_BAND, FAST_BAND = range(4)


class WorkerCapacity:
    """Free resources of one worker during one scheduling pass.

    ``suspect`` is True for a worker that is avoided while other workers suffice. ``speed`` is its
    relative speed, ``speed_band`` one of the bands.
    """

    __slots__ = (
        "_allocated_tasks",
        "_allocated_units",
        "accelerators",
        "cpu_millis",
        "labels",
        "memory_mb",
        "rack",
        "speed",
        "speed_band",
        "suspect",
        "worker",
    )

    def __init__(self, worker, suspect=False, speed=1.0):
        free = worker.free
        self.worker = worker
        self.suspect = suspect
        self.speed = speed
        self.speed_band = _speed_band(speed)
        self.accelerators = free.accelerators
        self.cpu_millis = free.cpu_millis
        self.memory_mb = free.memory_mb
        self.labels = worker.info.labels
        self.rack = worker.info.rack
        self._allocated_tasks = {}
        self._allocated_units = []

    @property
    def units(self):
        """Units with tasks on the worker, including those of this pass; one may occur twice."""
        return [*self.worker.units_by_run.values(), *self._allocated_units]

    @property
    def empty(self):
        """True if the worker has no allocations, including those of this pass."""
        return not self.worker.units_by_run and not self._allocated_tasks

    def count_step_tasks(self, unit):
        """Returns the number of tasks of the unit's step and occurrence on this worker.

        Includes tasks allocated in this pass.
        """
        step_key = (unit.job.id, unit.occurrence, unit.step)
        earlier = self.worker.tasks_by_step.get(step_key, 0)
        return earlier + self._allocated_tasks.get(step_key, 0)

    def allocate(self, unit, tasks):
        """Allocates the resources of ``tasks`` tasks of a unit."""
        step_key = (unit.job.id, unit.occurrence, unit.step)
        self._allocated_tasks[step_key] = self._allocated_tasks.get(step_key, 0) + tasks
        self._allocated_units.append(unit)
        demand = unit.spec.demand
        self.accelerators -= demand.accelerators * tasks
        self.cpu_millis -= demand.cpu_millis * tasks
        self.memory_mb -= demand.memory_mb * tasks

    def max_tasks(self, demand):
        """Returns the number of tasks, each with ``demand``, that fit in the free resources."""
        count = UNBOUNDED
        # comparisons instead of min(): this runs for each unit and worker of a pass
        if demand.accelerators > 0:
            count = self.accelerators // demand.accelerators
        if demand.cpu_millis > 0:
            fitting = self.cpu_millis // demand.cpu_millis
            if fitting < count:
                count = fitting
        if demand.memory_mb > 0:
            fitting = self.memory_mb // demand.memory_mb
            if fitting < count:
                count = fitting
        return count if count > 0 else 0


class PoolCapacity:
    """Free resources of the usable workers of one pool.

    ``reserved`` maps the id of a worker to the key of the unit that the worker is reserved for.
    ``reserved_empty_workers`` is the number of empty workers that only urgent units may use.
    ``suspect`` has the ids of workers that are avoided while other workers suffice. ``now`` is in
    seconds of the monotonic clock.
    """

    def __init__(
        self, workers, reserved=None, reserved_empty_workers=0, suspect=frozenset(), now=0.0
    ):
        self.workers = [
            WorkerCapacity(worker, worker.id in suspect, worker.relative_speed(now))
            for worker in workers
        ]
        self._now = now
        self._reserved = reserved or {}
        self._reserved_empty_workers = reserved_empty_workers
        self._promised_until = {}

    def reserve(self, worker_ids, key):
        """Reserves workers for the unit with ``key`` for the rest of the pass."""
        self._reserved.update(dict.fromkeys(worker_ids, key))

    def promise(self, worker_ids, starts_at):
        """Promises workers to a unit that starts at ``starts_at``, for the rest of the pass.

        Units that are placed later in the pass use these workers only if they end before.
        """
        for worker_id in worker_ids:
            known = self._promised_until.get(worker_id, starts_at)
            self._promised_until[worker_id] = min(known, starts_at)

    def available_workers(self, unit):
        """Yields the ``WorkerCapacity`` of each worker that the unit may use.

        Such a worker has the required label and is reserved for no other unit. A unit that has
        failed may not use suspect workers: it has few attempts left, and the evidence against a
        worker fades within seconds. Tasks that last have no limit of attempts. Units that may crash
        their workers are kept apart.
        """
        label = unit.spec.required_label
        crash_suspect = unit.crash_suspect
        key, reserved = unit.key, self._reserved
        failed = unit.failures > 0 and not unit.spec.long_running
        for capacity in self.workers:
            if failed and capacity.suspect:
                continue
            if label and label not in capacity.labels:
                continue
            if crash_suspect and not unit.may_start_beside(capacity.units, self._now):
                continue
            if not reserved or reserved.get(capacity.worker.info.id, key) == key:
                yield capacity

    def fitting_workers(self, unit, ends_at=0.0):
        """Yields (``WorkerCapacity``, number of tasks that fit) of workers that fit any task.

        Leaves out the workers that are promised from a time before ``ends_at``.
        """
        step = unit.spec
        demand = step.demand
        promised_until = self._promised_until
        for capacity in self.available_workers(unit):
            if promised_until and not self._ends_before_promise(capacity, ends_at):
                continue
            count = capacity.max_tasks(demand)
            if step.max_per_worker:
                count = min(count, step.max_per_worker - capacity.count_step_tasks(unit))
            if count > 0:
                yield capacity, count

    def _ends_before_promise(self, capacity, ends_at):
        """Returns True if a unit that ends at ``ends_at`` on an average worker keeps a promise."""
        promised_until = self._promised_until.get(capacity.worker.id)
        if promised_until is None:
            return True
        if capacity.speed != 1.0:
            ends_at = self._now + (ends_at - self._now) / capacity.speed
        return promised_until >= ends_at

    def find_workers(self, unit, any_rack, urgent=True, ends_at=0.0, prefer_fast=False):
        """Returns [(``WorkerCapacity``, number of tasks)] for the whole unit, or None.

        ``ends_at`` is when the unit is expected to end if it starts now on average workers. With
        ``prefer_fast`` the unit goes to the fastest workers that fit it, otherwise it leaves them
        to other units if it can.

        Unless ``any_rack``, a unit with a preferred rack is placed only on that rack, and a unit
        bound to one rack only within a rack. A unit that is not ``urgent`` leaves
        ``reserved_empty_workers`` workers empty.
        """
        candidates = list(self.fitting_workers(unit, ends_at))
        chosen = self._find_workers(unit, any_rack, candidates, prefer_fast)
        if chosen is None or urgent or not self._reserved_empty_workers:
            return chosen
        empty_count = sum(capacity.empty for capacity in self.workers)
        if (
            empty_count - sum(capacity.empty for capacity, _ in chosen)
            >= self._reserved_empty_workers
        ):
            return chosen
        in_use = [
            (capacity, count)
            for capacity, count in self.fitting_workers(unit, ends_at)
            if not capacity.empty
        ]
        return self._find_workers(unit, any_rack, in_use, prefer_fast)

    def _find_workers(self, unit, any_rack, candidates, prefer_fast):
        """Returns [(``WorkerCapacity``, number of tasks)] on workers of ``candidates``, or None.

        ``candidates`` has pairs (``WorkerCapacity``, number of tasks that fit). A gang is placed on
        suspect workers only if the others do not suffice.
        """
        step = unit.spec
        if unit.size == 1:
            return self._find_single_worker(candidates, unit, any_rack, prefer_fast)
        unsuspected = [pair for pair in candidates if not pair[0].suspect]
        may_spread = any_rack and bool(step.same_rack or step.preferred_rack)
        for spread in (False, True) if may_spread else (False,):
            for considered in (unsuspected, candidates):
                for group in self._candidate_groups(considered, step, spread):
                    chosen = _pack_gang(group, unit.size, prefer_fast)
                    if chosen is not None:
                        return chosen
        return None

    def allocate(self, unit, chosen):
        """Allocates the resources of a unit on workers that ``find_workers`` returned."""
        for capacity, tasks in chosen:
            capacity.allocate(unit, tasks)

    def _find_single_worker(self, candidates, unit, any_rack, prefer_fast):
        """Returns [(``WorkerCapacity``, 1)] for a unit of one task, or None.

        Workers outside the step's preferred rack are used only with ``any_rack``, if none on the
        rack fits the task. Suspect workers come last, and those with the least resources left
        after the task first. If their speeds differ, fast workers come before with
        ``prefer_fast``, otherwise slow ones among the workers in use. A unit that may crash its
        worker goes where the fewest others are.
        """
        step = unit.spec
        preferred = step.preferred_rack
        if preferred:
            on_preferred_rack = [pair for pair in candidates if pair[0].rack == preferred]
            if on_preferred_rack or not any_rack:
                candidates = on_preferred_rack
        if not candidates:
            return None
        crash_suspect = unit.crash_suspect
        even = len({capacity.speed_band for capacity, _ in candidates}) == 1

        def cost(pair):
            """Returns a key by which better workers sort first."""
            capacity = pair[0]
            endangered = len(capacity.units) if crash_suspect else 0
            remaining = _remaining_after(capacity, step.demand)
            if even:
                return capacity.suspect, endangered, remaining
            band = capacity.speed_band
            if prefer_fast:
                return capacity.suspect, endangered, -band, remaining
            avoided = capacity.suspect, endangered, band == VERY_SLOW_BAND
            return *avoided, capacity.empty, band, remaining

        capacity, _ = min(candidates, key=cost)
        return [(capacity, 1)]

    def _candidate_groups(self, candidates, step, spread):
        """Yields groups of workers to try for a gang, the best first.

        With ``spread``, a unit bound to a rack may be placed on any rack or across racks,
        where it runs slower.
        """
        racks = {}
        for capacity, count in candidates:
            racks.setdefault(capacity.rack, []).append((capacity, count))
        # racks that fit the fewest tasks come first, so that the other racks stay free for larger
        # gangs
        racks_by_capacity = sorted(
            racks.values(), key=lambda group: sum(count for _, count in group)
        )
        if spread:
            yield from racks_by_capacity
            yield candidates
        elif step.preferred_rack:
            yield racks.get(step.preferred_rack, [])
        elif step.same_rack:
            yield from racks_by_capacity
        else:
            yield candidates


def _remaining_after(capacity, demand):
    """Returns the resources left on a worker after one more task, the accelerators first."""
    return (
        capacity.accelerators - demand.accelerators,
        capacity.memory_mb - demand.memory_mb,
        capacity.cpu_millis - demand.cpu_millis,
    )


def _speed_band(speed):
    """Returns the band of a relative speed."""
    if speed == 1.0:
        return AVERAGE_BAND
    if speed <= VERY_SLOW:
        return VERY_SLOW_BAND
    return SLOW_BAND if speed < 1.0 else FAST_BAND


def _pack_gang(candidates, size, prefer_fast):
    """Returns [(``WorkerCapacity``, number of tasks)] for ``size`` tasks, or None.

    Workers with the fewest free accelerators come first, which leaves empty workers to tasks that
    need all accelerators of a worker. A gang takes the time of its slowest member: with
    ``prefer_fast`` that member is as fast as possible, otherwise all members are of one band, the
    slowest that they fit, if they take no more empty workers so.
    """
    if sum(count for _, count in candidates) < size:
        return None
    bands = sorted({capacity.speed_band for capacity, _ in candidates})
    if prefer_fast:
        for band in reversed(bands):
            group = [pair for pair in candidates if pair[0].speed_band >= band]
            if sum(count for _, count in group) >= size:
                return _fill_workers(group, size, _slowest_first)
    packed = _fill_workers(candidates, size, _fullest_first)
    if len(bands) > 1:
        empty_workers = _count_empty(packed)
        for band in bands:
            if band == VERY_SLOW_BAND:
                continue
            group = [pair for pair in candidates if pair[0].speed_band == band]
            if sum(count for _, count in group) >= size:
                chosen = _fill_workers(group, size, _fullest_first)
                if _count_empty(chosen) <= empty_workers:
                    return chosen
    return packed


def _fill_workers(candidates, size, cost):
    """Returns [(``WorkerCapacity``, number of tasks)] for ``size`` tasks that fit.

    Workers with the lowest ``cost`` come first.
    """
    chosen = []
    for capacity, count in sorted(candidates, key=cost):
        tasks = min(count, size)
        chosen.append((capacity, tasks))
        size -= tasks
        if not size:
            break
    return chosen


def _fullest_first(pair):
    """Returns a key by which workers with few free accelerators sort first, very slow ones last."""
    capacity, count = pair
    avoided = capacity.speed_band == VERY_SLOW_BAND
    return avoided, capacity.accelerators, capacity.speed_band, count


def _slowest_first(pair):
    """Returns a key by which slow workers sort first: a gang that needs one is slow anyway."""
    capacity, count = pair
    return capacity.speed_band, capacity.accelerators, count


def _count_empty(chosen):
    """Returns the number of empty workers among pairs (``WorkerCapacity``, number of tasks)."""
    return sum(capacity.empty for capacity, _ in chosen)
