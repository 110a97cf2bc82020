"""
ibiscart_core.workflow.preemption
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Chooses the running units to stop, so that a waiting unit can start.
"""

from ibiscart_core.workflow.job import AllocationState

__all__ = ["Preemption", "choose_victims"]


class Preemption:
    """Units to stop for a waiting unit, and the workers to reserve for it.

    ``cost`` is the credit that the stops lose.
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
        preemption = _preempt_in_group(unit, group, stop_loss)
        if preemption is not None and (best is None or preemption.cost < best.cost):
            best = preemption
    return best


def _candidate_groups(unit, pool_capacity):
    step = unit.spec
    # capacity freed on a worker that is reserved for another unit goes to that unit
    available = list(pool_capacity.available_workers(unit))
    racks = {}
    for capacity in available:
        racks.setdefault(capacity.rack, []).append(capacity)
    if step.same_rack or step.preferred_rack:
        return list(racks.values())
    return [available]


def _preempt_in_group(unit, group, stop_loss):
    losses = {}
    for capacity in group:
        for victim in capacity.worker.units_by_run.values():
            if victim.key not in losses and victim is not unit:
                losses[victim.key] = stop_loss(victim)
    freed = {capacity.worker.id: _resources_of_stopping_runs(capacity) for capacity in group}
    victims = {}
    while _max_group_tasks(group, freed, unit) < unit.size:
        options = (_cheapest_stop(capacity, freed, unit, victims, losses) for capacity in group)
        cheapest = min(filter(None, options), key=lambda option: option[0], default=None)
        if cheapest is None:
            return None
        for victim in cheapest[1]:
            victims[victim.key] = victim
            _add_allocations(victim, freed)
    worker_ids = _select_workers(group, freed, unit)
    return Preemption(list(victims.values()), worker_ids, sum(losses[key] for key in victims))


def _cheapest_stop(capacity, freed, unit, chosen, losses):
    """Returns the cheapest victims on one worker whose stop lets more tasks fit there.

    Returns (credit lost per additional task, victims), None if no victims suffice.
    """
    resources = list(freed[capacity.worker.id])
    before = _max_tasks(capacity, resources, unit)
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
                _add_demand(resources, victim.spec.demand, 1)
        gained = _max_tasks(capacity, resources, unit) - before
        if gained > 0:
            return loss / min(gained, unit.size), victims
    return None


def _resources_of_stopping_runs(capacity):
    """Returns the resources of runs being stopped, which become free without another stop."""
    resources = [0, 0, 0]
    for (task_key, _), unit in capacity.worker.units_by_run.items():
        allocation = unit.allocations.get(task_key[3])
        if allocation is not None and allocation.state is AllocationState.STOPPING:
            _add_demand(resources, unit.spec.demand, 1)
    return resources


def _add_allocations(victim, freed):
    for allocation in victim.allocations.values():
        resources = freed.get(allocation.worker_id)
        if resources is not None and allocation.state is not AllocationState.STOPPING:
            _add_demand(resources, victim.spec.demand, 1)


def _add_demand(resources, demand, sign):
    resources[0] += sign * demand.accelerators
    resources[1] += sign * demand.cpu_millis
    resources[2] += sign * demand.memory_mb


def _max_tasks(capacity, resources, unit):
    demand = unit.spec.demand
    task_counts = []
    if demand.accelerators:
        task_counts.append((capacity.accelerators + resources[0]) // demand.accelerators)
    if demand.cpu_millis:
        task_counts.append((capacity.cpu_millis + resources[1]) // demand.cpu_millis)
    if demand.memory_mb:
        task_counts.append((capacity.memory_mb + resources[2]) // demand.memory_mb)
    if unit.spec.max_per_worker:
        task_counts.append(unit.spec.max_per_worker - capacity.count_step_tasks(unit))
    return max(0, min(task_counts, default=0))


def _max_group_tasks(group, freed, unit):
    return sum(_max_tasks(capacity, freed[capacity.worker.id], unit) for capacity in group)


def _select_workers(group, freed, unit):
    """Returns the ids of workers that together fit the unit, those with most capacity first."""
    selected = set()
    remaining_tasks = unit.size
    counts = [
        (_max_tasks(capacity, freed[capacity.worker.id], unit), capacity) for capacity in group
    ]
    for count, capacity in sorted(counts, key=lambda pair: -pair[0]):
        if remaining_tasks <= 0 or not count:
            break
        selected.add(capacity.worker.id)
        remaining_tasks -= count
    return selected
