"""
ibiscart_core.workflow.backfill
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Estimates when a unit that does not fit now can start, and on which workers.
"""

__all__ = ["FutureStart", "find_future_start"]


class FutureStart:
    """Workers on which a waiting unit is expected to fit, at ``starts_at`` monotonic seconds."""

    __slots__ = ("computed_at", "starts_at", "worker_ids")

    def __init__(self, worker_ids, starts_at, computed_at):
        self.worker_ids = worker_ids
        self.starts_at = starts_at
        self.computed_at = computed_at


def find_future_start(unit, pool_capacity, any_rack, expected_end, now):
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
