"""
ibiscart_core.workflow.preemption
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Chooses the running units whose stop makes room for a waiting unit.
"""

from ibiscart_core.workflow.job import PlaceState

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
    candidates = {}
    for room in group:
        for victim in room.worker.places.values():
            if victim.key in losses or victim is unit:
                continue
            losses[victim.key] = loss = loss_of(victim)
            if loss is not None:
                candidates[victim.key] = victim
    ranked = sorted(candidates.values(), key=lambda victim: losses[victim.key])
    freed = {room.worker.id: _stopping(room) for room in group}
    victims = []
    while _count(group, freed, unit) < unit.size:
        if not ranked:
            return None
        victim = ranked.pop(0)
        victims.append(victim)
        _free(victim, freed, 1)
    # a later victim may have made an earlier one needless
    for victim in sorted(victims, key=lambda victim: -losses[victim.key]):
        _free(victim, freed, -1)
        if _count(group, freed, unit) >= unit.size:
            victims.remove(victim)
        else:
            _free(victim, freed, 1)
    worker_ids = _needed_workers(group, freed, unit)
    return Preemption(victims, worker_ids, sum(losses[victim.key] for victim in victims))


def _stopping(room):
    """Resources that come free without a further stop."""
    amounts = [0, 0, 0]
    for (task_key, _), unit in room.worker.places.items():
        place = unit.places.get(task_key[3])
        if place is not None and place.state is PlaceState.STOPPING:
            _add(amounts, unit.spec.demand, 1)
    return amounts


def _free(victim, freed, sign):
    for place in victim.places.values():
        amounts = freed.get(place.worker_id)
        if amounts is not None and place.state is not PlaceState.STOPPING:
            _add(amounts, victim.spec.demand, sign)


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
