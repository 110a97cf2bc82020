"""
ibiscart_core.workflow.backfill
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Estimates when a unit that does not fit now can start, and on which workers.
"""

__all__ = ["FutureStart", "FutureStarts", "PromiseBudget"]

# workers are promised to at most this many waiting units of a pool, and to no more than this share
# of its workers, so that little capacity idles if the estimated run times are wrong
MAX_PROMISES = 8
MAX_PROMISED_SHARE = 0.5
# time after which the expected start of a waiting unit is estimated anew
PROMISE_SECONDS = 0.3
# workers are promised to a gang, and to a unit whose task needs at least this share of a worker;
# smaller units find room as soon as any task ends
PROMISE_WORKER_SHARE = 0.4


class FutureStart:
    """Workers on which a waiting unit is expected to fit, at ``starts_at`` monotonic seconds."""

    __slots__ = ("computed_at", "starts_at", "worker_ids")

    def __init__(self, worker_ids, starts_at, computed_at):
        self.worker_ids = worker_ids
        self.starts_at = starts_at
        self.computed_at = computed_at


class FutureStarts:
    """Expected starts of waiting units, each estimated anew after ``PROMISE_SECONDS``.

    ``ranking`` is the ``JobRanking``, which expects the ends of runs.
    """

    def __init__(self, ranking):
        self._ranking = ranking
        self._by_key = {}

    def find(self, unit, pool_capacity, any_rack, now):
        """Returns the ``FutureStart`` of a unit that does not fit now, or None."""
        future = self._by_key.get(unit.key)
        if future is not None and now - future.computed_at < PROMISE_SECONDS:
            return future

        def expected_end(other, allocation):
            return self._ranking.expected_end(other, allocation, now)

        future = _find_future_start(unit, pool_capacity, any_rack, expected_end, now)
        if future is None:
            self.discard(unit)
        else:
            self._by_key[unit.key] = future
        return future

    def discard(self, unit):
        """Forgets the expected start of a unit."""
        self._by_key.pop(unit.key, None)

    def drop_outdated(self, now, unusable_ids=frozenset()):
        """Forgets the estimates that would be made anew, and those with a worker that is unusable.

        ``unusable_ids`` has the ids of workers that get no new work.
        """
        for key, future in list(self._by_key.items()):
            outdated = now - future.computed_at >= PROMISE_SECONDS
            if outdated or unusable_ids & future.worker_ids:
                del self._by_key[key]


class PromiseBudget:
    """Limits the promises of one pass over a pool with the usable ``workers``."""

    def __init__(self, workers):
        self._worker_count = len(workers)
        self._largest = max((w.info.capacity for w in workers), key=_size_key, default=None)
        self._promised_ids = set()
        self._promises = 0

    def allows(self, unit):
        """Returns True if workers may be promised to a unit, which must be hard to place."""
        return self._promises < MAX_PROMISES and self._is_hard_to_place(unit)

    def spend(self, future):
        """Returns True if the promise of a ``FutureStart`` is within the budget; else ends it."""
        self._promised_ids |= future.worker_ids
        if len(self._promised_ids) > MAX_PROMISED_SHARE * self._worker_count:
            self._promises = MAX_PROMISES
            return False
        self._promises += 1
        return True

    def _is_hard_to_place(self, unit):
        """Returns True if a unit needs several workers, or a large part of one."""
        if unit.size > 1:
            return True
        if self._largest is None:
            return False
        demand, largest = unit.spec.demand, self._largest
        return (
            demand.accelerators >= PROMISE_WORKER_SHARE * largest.accelerators
            or demand.cpu_millis >= PROMISE_WORKER_SHARE * largest.cpu_millis
            or demand.memory_mb >= PROMISE_WORKER_SHARE * largest.memory_mb
        )


def _size_key(resources):
    """Returns a key by which larger workers sort after smaller ones."""
    return resources.accelerators, resources.cpu_millis, resources.memory_mb


def _find_future_start(unit, pool_capacity, any_rack, expected_end, now):
    """Returns the earliest ``FutureStart`` of a unit, or None if it never fits.

    ``expected_end`` returns the monotonic time in seconds at which a task's run is expected to end,
    by its unit and ``Allocation``.
    """
    step = unit.spec
    steps_by_rack = {}
    for capacity in pool_capacity.available_workers(unit):
        bound = step.same_rack or step.preferred_rack
        rack = capacity.rack if bound and not any_rack else ""
        if step.preferred_rack and rack and rack != step.preferred_rack:
            continue
        for starts_at, tasks in _fit_times(unit, capacity, expected_end, now):
            steps_by_rack.setdefault(rack, []).append((starts_at, capacity.worker.id, tasks))
    best = None
    for fit_times in steps_by_rack.values():
        future = _earliest_start(fit_times, unit.size, now)
        if future is not None and (best is None or future.starts_at < best.starts_at):
            best = future
    return best


def _fit_times(unit, capacity, expected_end, now):
    """Yields (time, number of additional tasks that fit from then on) for one worker."""
    step = unit.spec
    limit = unit.size
    if step.max_per_worker:
        limit = min(limit, step.max_per_worker - capacity.count_step_tasks(unit))
    free = [capacity.accelerators, capacity.cpu_millis, capacity.memory_mb]
    fitting = min(limit, _max_tasks(free, step.demand))
    if fitting > 0:
        yield now, fitting
    ends = sorted(
        (
            (expected_end(other, other.allocations.get(task_key[3])), other.spec.demand)
            for (task_key, _), other in capacity.worker.units_by_run.items()
        ),
        key=lambda pair: pair[0],
    )
    for ends_at, demand in ends:
        if fitting >= limit:
            return
        free[0] += demand.accelerators
        free[1] += demand.cpu_millis
        free[2] += demand.memory_mb
        tasks = min(limit, _max_tasks(free, step.demand))
        if tasks > max(fitting, 0):
            yield ends_at, tasks - max(fitting, 0)
            fitting = tasks


def _earliest_start(fit_times, size, now):
    """Returns the ``FutureStart`` of ``size`` tasks, None if they never fit together.

    ``fit_times`` has (time, worker id, number of additional tasks).
    """
    worker_ids = set()
    for starts_at, worker_id, tasks in sorted(fit_times):
        worker_ids.add(worker_id)
        size -= tasks
        if size <= 0:
            return FutureStart(worker_ids, starts_at, now)
    return None


def _max_tasks(free, demand):
    """Returns how many tasks with ``demand`` fit in [accelerators, CPU millicores, memory MB]."""
    counts = []
    if demand.accelerators:
        counts.append(free[0] // demand.accelerators)
    if demand.cpu_millis:
        counts.append(free[1] // demand.cpu_millis)
    if demand.memory_mb:
        counts.append(free[2] // demand.memory_mb)
    return min(counts, default=0)
