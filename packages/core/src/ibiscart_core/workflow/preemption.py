"""
ibiscart_core.workflow.preemption
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Chooses the running units whose stop makes room for a waiting unit.
"""

from ibiscart_core.workflow.job import AllocationState

__all__ = ["Preemption", "choose_victims"]


class Preemption:
    """Units to stop, and the workers to keep for the unit that gains the room."""

    __slots__ = ("cost", "victims", "worker_ids")

    def __init__(self, victims, worker_ids, cost):
        self.victims = victims
        self.worker_ids = worker_ids
        self.cost = cost


def choose_victims(unit, rooms, loss_of):
    """Returns the cheapest ``Preemption`` for ``unit``, or None.

    ``loss_of`` returns the credit that a stop of a unit loses, None for a unit that must not
    be stopped.
    """
    best = None
    for group in _groups(unit, rooms):
        found = _preempt_in(unit, group, loss_of)
        if found is not None and (best is None or found.cost < best.cost):
            best = found
    return best


def _groups(unit, rooms):
    step = unit.spec
    # what comes free on workers that are kept for another unit belongs to that one
    fitting = list(rooms.open_to(unit))
    racks = {}
    for room in fitting:
        racks.setdefault(room.rack, []).append(room)
    if step.same_rack or step.preferred_rack:
        return list(racks.values())
    return [fitting]


def _preempt_in(unit, group, loss_of):
    losses = {}
    for room in group:
        for victim in room.worker.units_by_run.values():
            if victim.key not in losses and victim is not unit:
                losses[victim.key] = loss_of(victim)
    freed = {room.worker.id: _stopping(room) for room in group}
    victims = {}
    while _count(group, freed, unit) < unit.size:
        steps = (_cheapest_step(room, freed, unit, victims, losses) for room in group)
        found = min(filter(None, steps), key=lambda step: step[0], default=None)
        if found is None:
            return None
        for victim in found[1]:
            victims[victim.key] = victim
            _free(victim, freed)
    worker_ids = _needed_workers(group, freed, unit)
    return Preemption(list(victims.values()), worker_ids, sum(losses[key] for key in victims))


def _cheapest_step(room, freed, unit, chosen, losses):
    """Returns (loss for each task gained, victims) that let more tasks fit here, or None."""
    amounts = list(freed[room.worker.id])
    before = _times(room, amounts, unit)
    candidates = {
        victim.key: victim
        for victim in room.worker.units_by_run.values()
        if victim.key not in chosen and losses.get(victim.key) is not None
    }
    victims = []
    loss = 0.0
    for victim in sorted(candidates.values(), key=lambda victim: losses[victim.key]):
        victims.append(victim)
        loss += losses[victim.key]
        for allocation in victim.allocations.values():
            if (
                allocation.worker_id == room.worker.id
                and allocation.state is not AllocationState.STOPPING
            ):
                _add(amounts, victim.spec.demand, 1)
        gained = _times(room, amounts, unit) - before
        if gained > 0:
            return loss / min(gained, unit.size), victims
    return None


def _stopping(room):
    """Resources that come free without a further stop."""
    amounts = [0, 0, 0]
    for (task_key, _), unit in room.worker.units_by_run.items():
        allocation = unit.allocations.get(task_key[3])
        if allocation is not None and allocation.state is AllocationState.STOPPING:
            _add(amounts, unit.spec.demand, 1)
    return amounts


def _free(victim, freed):
    for allocation in victim.allocations.values():
        amounts = freed.get(allocation.worker_id)
        if amounts is not None and allocation.state is not AllocationState.STOPPING:
            _add(amounts, victim.spec.demand, 1)


def _add(amounts, demand, sign):
    amounts[0] += sign * demand.accelerators
    amounts[1] += sign * demand.cpu_millis
    amounts[2] += sign * demand.memory_mb


def _times(room, amounts, unit):
    demand = unit.spec.demand
    times = []
    if demand.accelerators:
        times.append((room.accelerators + amounts[0]) // demand.accelerators)
    if demand.cpu_millis:
        times.append((room.cpu_millis + amounts[1]) // demand.cpu_millis)
    if demand.memory_mb:
        times.append((room.memory_mb + amounts[2]) // demand.memory_mb)
    if unit.spec.max_per_worker:
        times.append(unit.spec.max_per_worker - room.present(unit))
    return max(0, min(times, default=0))


def _count(group, freed, unit):
    return sum(_times(room, freed[room.worker.id], unit) for room in group)


def _needed_workers(group, freed, unit):
    """Returns the ids of workers that together hold the unit, those with most room first."""
    needed = set()
    size = unit.size
    counts = [(_times(room, freed[room.worker.id], unit), room) for room in group]
    for count, room in sorted(counts, key=lambda pair: -pair[0]):
        if size <= 0 or not count:
            break
        needed.add(room.worker.id)
        size -= count
    return needed
