"""
ibiscart_core.workflow.preemption
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Chooses the running units whose stop makes room for a guaranteed unit.
"""

from ibiscart_core.workflow.job import PlaceState
from ibiscart_core.workflow.ordering import share_of

__all__ = ["Preemption", "choose_victims"]


class Preemption:
    """Units to stop, and the workers to keep for the unit that gains the room."""

    __slots__ = ("cost", "victims", "worker_ids")

    def __init__(self, victims, worker_ids, cost):
        self.victims = victims
        self.worker_ids = worker_ids
        self.cost = cost


def choose_victims(unit, rooms, may_stop, capacity, now):
    """Returns the cheapest ``Preemption`` for ``unit``, or None.

    ``may_stop`` tells whether a unit may be stopped. The cost is the work since the last
    checkpoint, in shares of ``capacity`` times seconds.
    """
    best = None
    for group in _groups(unit, rooms):
        found = _preempt_in(unit, group, may_stop, capacity, now)
        if found is not None and (best is None or found.cost < best.cost):
            best = found
    return best


def _groups(unit, rooms):
    step = unit.spec
    fitting = [
        room
        for room in rooms.rooms
        if not step.required_label or step.required_label in room.labels
    ]
    racks = {}
    for room in fitting:
        racks.setdefault(room.rack, []).append(room)
    if step.same_rack or step.preferred_rack:
        return list(racks.values())
    return [fitting]


def _preempt_in(unit, group, may_stop, capacity, now):
    demand = unit.spec.demand
    room_of = {room.worker.id: room for room in group}
    candidates = {}
    for room in group:
        for victim in room.worker.places.values():
            if victim.key not in candidates and victim is not unit and may_stop(victim):
                candidates[victim.key] = victim
    ranked = sorted(candidates.values(), key=lambda victim: _loss(victim, capacity, now))
    freed = {room.worker.id: [0, 0, 0] for room in group}
    # what is being stopped already comes free without a further loss
    for room in group:
        for (task_key, _), other in room.worker.places.items():
            place = other.places.get(task_key[3])
            if place is not None and place.state is PlaceState.STOPPING:
                _add(freed[room.worker.id], other.spec.demand, 1)
    victims = []
    while _count(group, freed, demand) < unit.size:
        if not ranked:
            return None
        victim = ranked.pop(0)
        victims.append(victim)
        _free(victim, freed, 1)
    for victim in sorted(victims, key=lambda v: -_loss(v, capacity, now)):
        _free(victim, freed, -1)
        if _count(group, freed, demand) >= unit.size:
            victims.remove(victim)
        else:
            _free(victim, freed, 1)
    worker_ids = _needed_workers(group, freed, demand, unit.size)
    cost = sum(_loss(victim, capacity, now) for victim in victims)
    return Preemption(victims, {room_of[w].worker.id for w in worker_ids}, cost)


def _loss(victim, capacity, now):
    """Work that a stop throws away; the stop itself saves the state of some units."""
    share = share_of(victim.spec.demand, capacity) * victim.size
    started = min(
        (p.confirmed_at for p in victim.places.values() if p.confirmed_at is not None),
        default=now,
    )
    if victim.spec.checkpointing:
        return share * 0.1
    return share * (0.1 + max(0.0, now - started))


def _free(victim, freed, sign):
    for place in victim.places.values():
        amounts = freed.get(place.worker_id)
        if amounts is not None and place.state is not PlaceState.STOPPING:
            _add(amounts, victim.spec.demand, sign)


def _add(amounts, demand, sign):
    amounts[0] += sign * demand.accelerators
    amounts[1] += sign * demand.cpu_millis
    amounts[2] += sign * demand.memory_mb


def _times(room, amounts, demand):
    times = []
    if demand.accelerators:
        times.append((room.accelerators + amounts[0]) // demand.accelerators)
    if demand.cpu_millis:
        times.append((room.cpu_millis + amounts[1]) // demand.cpu_millis)
    if demand.memory_mb:
        times.append((room.memory_mb + amounts[2]) // demand.memory_mb)
    return max(0, min(times, default=0))


def _count(group, freed, demand):
    return sum(_times(room, freed[room.worker.id], demand) for room in group)


def _needed_workers(group, freed, demand, size):
    needed = []
    counts = [(_times(room, freed[room.worker.id], demand), room) for room in group]
    for count, room in sorted(counts, key=lambda pair: -pair[0]):
        if size <= 0:
            break
        if count:
            needed.append(room.worker.id)
            size -= count
    return needed
