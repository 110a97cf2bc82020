"""
ibiscart_core.workflow.preemption
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Chooses the running units to stop, so that a waiting unit can start.
"""

from ibiscart_core.workflow.unit import AllocationState

__all__ = ["Preemption", "choose_victims"]


class Preemption:
    """Units to stop for a waiting unit, and the workers to reserve for it.

    ``victims`` are units, ``cost`` is the credit lost by their stops.
    """

    __slots__ = ("cost", "victims", "worker_ids")

    def __init__(self, victims, worker_ids, cost):
        self.victims = victims
        self.worker_ids = worker_ids
        self.cost = cost


def choose_victims(unit, pool_capacity, stop_loss):
    """Returns the cheapest ``Preemption`` for ``unit``, or None.

    ``stop_loss`` returns the credit lost by stopping a unit, None for a unit that must not be
    stopped.
    """
    best = None
    for group in _candidate_groups(unit, pool_capacity):
        preemption = _preempt_on_workers(unit, group, stop_loss)
        if preemption is not None and (best is None or preemption.cost < best.cost):
            best = preemption
    return best


def _candidate_groups(unit, pool_capacity):
    """Returns lists of ``WorkerCapacity``; the whole unit is placed on the workers of one list."""
    step = unit.spec
    # capacity freed on a worker that is reserved for another unit goes to that unit
    available = list(pool_capacity.available_workers(unit))
    racks = {}
    for capacity in available:
        racks.setdefault(capacity.rack, []).append(capacity)
    if step.same_rack or step.preferred_rack:
        return list(racks.values())
    return [available]


def _preempt_on_workers(unit, capacities, stop_loss):
    """Returns a ``Preemption`` on the given workers, None if stops do not free enough."""
    losses = {}
    for capacity in capacities:
        for victim in capacity.worker.units_by_run.values():
            if victim.key not in losses and victim is not unit:
                losses[victim.key] = stop_loss(victim)
    freed_by_worker = {
        capacity.worker.id: _resources_of_stopping_runs(capacity) for capacity in capacities
    }
    victims = {}
    while _max_tasks_on_workers(capacities, freed_by_worker, unit) < unit.size:
        options = (
            _cheapest_stop(capacity, freed_by_worker, unit, victims, losses)
            for capacity in capacities
        )
        cheapest = min(filter(None, options), key=lambda option: option[0], default=None)
        if cheapest is None:
            return None
        for victim in cheapest[1]:
            victims[victim.key] = victim
            _add_freed_resources(victim, freed_by_worker)
    worker_ids = _select_workers(capacities, freed_by_worker, unit)
    return Preemption(list(victims.values()), worker_ids, sum(losses[key] for key in victims))


def _cheapest_stop(capacity, freed_by_worker, unit, chosen, losses):
    """Returns (credit lost per additional task, victims) of the cheapest stops on one worker.

    Returns None if no stops let more of the unit's tasks fit on the worker. ``chosen`` has the
    victims chosen so far, ``losses`` the credit lost by each stop, both by unit key.
    """
    freed = list(freed_by_worker[capacity.worker.id])
    tasks_before = _max_tasks(capacity, freed, unit)
    candidates = {
        victim.key: victim
        for victim in capacity.worker.units_by_run.values()
        if victim.key not in chosen and losses.get(victim.key) is not None
    }
    victims = []
    loss = 0.0
    for victim in sorted(candidates.values(), key=lambda victim: losses[victim.key]):
        victims.append(victim)
        loss += losses[victim.key]
        for allocation in victim.allocations.values():
            if (
                allocation.worker_id == capacity.worker.id
                and allocation.state is not AllocationState.STOPPING
            ):
                _add_demand(freed, victim.spec.demand, 1)
        additional_tasks = _max_tasks(capacity, freed, unit) - tasks_before
        if additional_tasks > 0:
            return loss / min(additional_tasks, unit.size), victims
    return None


def _resources_of_stopping_runs(capacity):
    """Returns [accelerators, CPU millicores, memory MB] of the worker's runs being stopped.

    These resources become free without another stop.
    """
    resources = [0, 0, 0]
    for (task_key, _), unit in capacity.worker.units_by_run.items():
        allocation = unit.allocations.get(task_key[3])
        if allocation is not None and allocation.state is AllocationState.STOPPING:
            _add_demand(resources, unit.spec.demand, 1)
    return resources


def _add_freed_resources(victim, freed_by_worker):
    """Adds the resources that a stop of ``victim`` frees to ``freed_by_worker``, by worker id."""
    for allocation in victim.allocations.values():
        resources = freed_by_worker.get(allocation.worker_id)
        if resources is not None and allocation.state is not AllocationState.STOPPING:
            _add_demand(resources, victim.spec.demand, 1)


def _add_demand(resources, demand, sign):
    """Adds ``sign`` times a demand to [accelerators, CPU millicores, memory MB]."""
    resources[0] += sign * demand.accelerators
    resources[1] += sign * demand.cpu_millis
    resources[2] += sign * demand.memory_mb


def _max_tasks(capacity, freed, unit):
    """Returns how many of the unit's tasks fit on a worker once ``freed`` resources are free too.

    ``freed`` is [accelerators, CPU millicores, memory MB].
    """
    demand = unit.spec.demand
    task_counts = []
    if demand.accelerators:
        task_counts.append((capacity.accelerators + freed[0]) // demand.accelerators)
    if demand.cpu_millis:
        task_counts.append((capacity.cpu_millis + freed[1]) // demand.cpu_millis)
    if demand.memory_mb:
        task_counts.append((capacity.memory_mb + freed[2]) // demand.memory_mb)
    if unit.spec.max_per_worker:
        task_counts.append(unit.spec.max_per_worker - capacity.count_step_tasks(unit))
    return max(0, min(task_counts, default=0))


def _max_tasks_on_workers(capacities, freed_by_worker, unit):
    """Returns how many of the unit's tasks fit on the workers once freed resources are free too.

    ``freed_by_worker`` maps worker ids to [accelerators, CPU millicores, memory MB].
    """
    return sum(
        _max_tasks(capacity, freed_by_worker[capacity.worker.id], unit) for capacity in capacities
    )


def _select_workers(capacities, freed_by_worker, unit):
    """Returns the ids of workers that together fit the unit, as few as possible.

    ``freed_by_worker`` maps worker ids to the resources that stops free on them.
    """
    selected = set()
    remaining_tasks = unit.size
    counts = [
        (_max_tasks(capacity, freed_by_worker[capacity.worker.id], unit), capacity)
        for capacity in capacities
    ]
    for count, capacity in sorted(counts, key=lambda pair: -pair[0]):
        if remaining_tasks <= 0 or not count:
            break
        selected.add(capacity.worker.id)
        remaining_tasks -= count
    return selected
