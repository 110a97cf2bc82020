"""
ibiscart_core.capacity
~~~~~~~~~~~~~~~~~~~~~~

Amounts available on the workers, with a best-fit search over their domains.
"""

from ibiscart_schema.generated.types_pb2 import SCOPE_DATA_CENTRE, SCOPE_RACK, SCOPE_WORKER

__all__ = ["Capacity"]

NOTHING = (-1, -1, -1)


class Capacity:
    """Available amounts, as (accelerators, millicores, MB), of workers by rack and data centre.

    Searches skip racks and data centres by their sums and maxima, which are computed again
    only after a change.
    """

    def __init__(self):
        self._places = {}
        self._racks = {}
        self._centres = {}

    def amount(self, worker_id):
        """Returns the available amounts; negative when nothing may be placed there."""
        place = self._places.get(worker_id)
        return NOTHING if place is None else place.amount

    def set(self, worker, amount):
        """Sets the available amounts of a ``Worker``; None when nothing may be placed there."""
        place = self._places.get(worker.id)
        if place is None or place.rack.key != (worker.data_centre, worker.rack):
            if place is not None:
                del place.rack.places[worker.id]
                place.rack.mark_stale()
            place = self._places[worker.id] = _Place(worker.id, self._rack(worker))
        place.amount = NOTHING if amount is None else amount
        place.rack.mark_stale()

    def take(self, workers, member, sign=-1):
        """Subtracts ``member`` once for each entry of ``workers``; adds it for ``sign`` 1."""
        for worker_id in workers:
            place = self._places[worker_id]
            have = place.amount
            place.amount = (
                have[0] + sign * member.accelerators,
                have[1] + sign * member.cpu_millis,
                have[2] + sign * member.memory_mb,
            )
            place.rack.mark_stale()

    def give(self, workers, member):
        """Adds ``member`` once for each entry of ``workers``."""
        self.take(workers, member, 1)

    def holds(self, workers, member):
        """Tells whether one ``member`` for each entry of ``workers`` fits at once."""
        need = _amounts(member)
        for worker_id in set(workers):
            if _fits(self.amount(worker_id), need, len(workers)) < workers.count(worker_id):
                return False
        return True

    def find(self, shape, caps=None, avoid=()):
        """Returns one worker id per member in the tightest domain that fits, or None.

        ``caps`` maps worker ids to amounts that bound what is available there; the workers
        in ``avoid`` are not used.
        """
        search = _Search(shape, caps or {}, avoid)
        found = search.worker(self._racks.values())
        if found is None and shape.members > 1 and shape.scope != SCOPE_WORKER:
            found = search.group([rack] for rack in self._racks.values())
            if found is None and shape.scope != SCOPE_RACK:
                found = self._find_wide(shape, search)
        return found

    def _find_wide(self, shape, search):
        centres = [list(racks.values()) for racks in self._centres.values()]
        found = search.group(centres)
        if found is None and shape.scope != SCOPE_DATA_CENTRE:
            found = search.group([list(self._racks.values())])
        return found

    def _rack(self, worker):
        key = (worker.data_centre, worker.rack)
        rack = self._racks.get(key)
        if rack is None:
            rack = self._racks[key] = _Rack(key)
            self._centres.setdefault(worker.data_centre, {})[key] = rack
        return rack


class _Place:
    __slots__ = ("amount", "id", "rack")

    def __init__(self, worker_id, rack):
        self.id = worker_id
        self.rack = rack
        self.amount = NOTHING
        rack.places[worker_id] = self


class _Rack:
    __slots__ = ("_peak", "_stale", "_total", "key", "places")

    def __init__(self, key):
        self.key = key
        self.places = {}
        self._stale = True

    @property
    def peak(self):
        if self._stale:
            self._refresh()
        return self._peak

    @property
    def total(self):
        if self._stale:
            self._refresh()
        return self._total

    def mark_stale(self):
        self._stale = True

    def _refresh(self):
        amounts = [p.amount for p in self.places.values() if min(p.amount) >= 0] or [NOTHING]
        columns = list(zip(*amounts, strict=True))
        self._peak = tuple(map(max, columns))
        self._total = tuple(map(sum, columns))
        self._stale = False


class _Search:
    def __init__(self, shape, caps, avoid):
        self._need = _amounts(shape.member)
        self._members = shape.members
        self._whole = tuple(n * shape.members for n in self._need)
        self._caps = caps
        self._avoid = avoid

    def worker(self, racks):
        """Returns the worker that is left with the fewest accelerators, for all members."""
        accelerators, cpu, memory = self._whole
        bounded = bool(self._caps or self._avoid)
        best, best_left, best_total = None, 0, 0
        for rack in racks:
            peak = rack.peak
            if peak[0] < accelerators or peak[1] < cpu or peak[2] < memory:
                continue
            total = rack.total[0]
            if best is not None and best_left == 0 and total > best_total:
                continue
            for place in rack.places.values():
                have, cpu_have, memory_have = place.amount
                if have < accelerators or cpu_have < cpu or memory_have < memory:
                    continue
                if bounded:
                    have, cpu_have, memory_have = self._available(place)
                    if have < accelerators or cpu_have < cpu or memory_have < memory:
                        continue
                left = have - accelerators
                if best is not None:
                    same = left == best_left and total == best_total
                    if left > best_left or (same and cpu_have > best[2]):
                        continue
                # building and comparing keys only here saves a third of a packing's time
                key = (left, total, cpu_have, place.id)
                if best is None or key < best:
                    best, best_left, best_total = key, left, total
        return None if best is None else (best[3],) * self._members

    def group(self, domains):
        """Returns places in the domain, a list of racks, with the fewest accelerators left."""
        best = None
        for racks in domains:
            total = [sum(column) for column in zip(*(r.total for r in racks), strict=True)]
            if any(have < need for have, need in zip(total, self._whole, strict=True)):
                continue
            key = (total[0], racks[0].key)
            if (best is None or key < best[0]) and self._count(racks) >= self._members:
                best = (key, racks)
        return None if best is None else self._fill(best[1])

    def _count(self, racks):
        count = 0
        for rack in racks:
            for place in rack.places.values():
                count += _fits(self._available(place), self._need, self._members)
                if count >= self._members:
                    return count
        return count

    def _fill(self, racks):
        # the fullest racks and workers first, so that large free sets remain
        chosen = []
        for rack in sorted(racks, key=lambda r: (r.total[0], r.key)):
            for place in sorted(rack.places.values(), key=lambda p: (p.amount, p.id)):
                fits = _fits(self._available(place), self._need, self._members - len(chosen))
                chosen.extend([place.id] * fits)
                if len(chosen) == self._members:
                    return tuple(chosen)
        return None

    def _available(self, place):
        if place.id in self._avoid:
            return NOTHING
        cap = self._caps.get(place.id)
        if cap is None:
            return place.amount
        return tuple(map(min, place.amount, cap))


def _amounts(resources):
    return (resources.accelerators, resources.cpu_millis, resources.memory_mb)


def _fits(have, need, limit):
    for amount, wanted in zip(have, need, strict=True):
        if amount < wanted or amount < 0:
            return 0
        if wanted:
            limit = min(limit, amount // wanted)
    return limit
