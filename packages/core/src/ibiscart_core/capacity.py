"""
ibiscart_core.capacity
~~~~~~~~~~~~~~~~~~~~~~

Resources available on the workers, with a best-fit search over racks and data centres.
"""

from ibiscart_schema.generated.types_pb2 import SCOPE_DATA_CENTRE, SCOPE_RACK, SCOPE_WORKER

__all__ = ["Capacity"]

UNAVAILABLE = (-1, -1, -1)


class Capacity:
    """Available amounts, as (accelerators, millicores, MB), of workers by rack and data centre.

    Searches skip racks and data centres by their sums and maxima, which are recomputed only
    after a change.
    """

    def __init__(self):
        self._workers = {}
        self._racks = {}
        self._data_centres = {}

    def amount(self, worker_id):
        """Returns a worker's available amounts, negative if it accepts no task."""
        worker = self._workers.get(worker_id)
        return UNAVAILABLE if worker is None else worker.amount

    def set(self, worker, amount):
        """Sets the available amounts of a ``Worker``; None if it accepts no task."""
        current = self._workers.get(worker.id)
        if current is None or current.rack.key != (worker.data_centre, worker.rack):
            if current is not None:
                del current.rack.workers[worker.id]
                current.rack.mark_stale()
            current = self._workers[worker.id] = _WorkerCapacity(worker.id, self._rack(worker))
        current.amount = UNAVAILABLE if amount is None else amount
        current.rack.mark_stale()

    def subtract(self, workers, member, sign=-1):
        """Subtracts ``member`` once for each id in ``workers``; adds it if ``sign`` is 1."""
        for worker_id in workers:
            worker = self._workers[worker_id]
            old = worker.amount
            worker.amount = (
                old[0] + sign * member.accelerators,
                old[1] + sign * member.cpu_millis,
                old[2] + sign * member.memory_mb,
            )
            worker.rack.mark_stale()

    def add(self, workers, member):
        """Adds ``member`` once for each id in ``workers``."""
        self.subtract(workers, member, 1)

    def fits(self, workers, member):
        """Returns True if one ``member`` for each id in ``workers`` fits at the same time."""
        required = _resource_tuple(member)
        for worker_id in set(workers):
            if _fit_count(self.amount(worker_id), required, len(workers)) < workers.count(
                worker_id
            ):
                return False
        return True

    def find(self, shape, limits=None, avoid=()):
        """Returns one worker id per member in the tightest domain that fits, or None.

        ``limits`` maps worker ids to upper bounds of the available amounts; workers in
        ``avoid`` are not used.
        """
        search = _PlacementSearch(shape, limits or {}, avoid)
        found = search.find_worker(self._racks.values())
        if found is None and shape.members > 1 and shape.scope != SCOPE_WORKER:
            found = search.find_group([rack] for rack in self._racks.values())
            if found is None and shape.scope != SCOPE_RACK:
                found = self._find_across_racks(shape, search)
        return found

    def _find_across_racks(self, shape, search):
        """Returns workers in a data centre, or in the region if the scope allows it, or None."""
        data_centres = [list(racks.values()) for racks in self._data_centres.values()]
        found = search.find_group(data_centres)
        if found is None and shape.scope != SCOPE_DATA_CENTRE:
            found = search.find_group([list(self._racks.values())])
        return found

    def _rack(self, worker):
        """Returns the rack of a ``Worker``; adds it if it is new."""
        key = (worker.data_centre, worker.rack)
        rack = self._racks.get(key)
        if rack is None:
            rack = self._racks[key] = _Rack(key)
            self._data_centres.setdefault(worker.data_centre, {})[key] = rack
        return rack


class _WorkerCapacity:
    """Available amounts of one worker."""

    __slots__ = ("amount", "id", "rack")

    def __init__(self, worker_id, rack):
        self.id = worker_id
        self.rack = rack
        self.amount = UNAVAILABLE
        rack.workers[worker_id] = self


class _Rack:
    """Workers of one rack, with the sums and maxima of their available amounts."""

    __slots__ = ("_max_amount", "_stale", "_total_amount", "key", "workers")

    def __init__(self, key):
        self.key = key
        self.workers = {}
        self._stale = True

    @property
    def max_amount(self):
        if self._stale:
            self._refresh()
        return self._max_amount

    @property
    def total_amount(self):
        if self._stale:
            self._refresh()
        return self._total_amount

    def mark_stale(self):
        self._stale = True

    def _refresh(self):
        amounts = [w.amount for w in self.workers.values() if min(w.amount) >= 0] or [UNAVAILABLE]
        columns = list(zip(*amounts, strict=True))
        self._max_amount = tuple(map(max, columns))
        self._total_amount = tuple(map(sum, columns))
        self._stale = False


class _PlacementSearch:
    """Search for workers for all members of a shape; see ``Capacity.find``."""

    def __init__(self, shape, limits, avoid):
        self._member_need = _resource_tuple(shape.member)
        self._members = shape.members
        self._total_need = tuple(n * shape.members for n in self._member_need)
        self._limits = limits
        self._avoid = avoid

    def find_worker(self, racks):
        """Returns the worker that fits all members with the fewest accelerators left, or None.

        The worker's id is repeated once per member.
        """
        accelerators, cpu, memory = self._total_need
        bounded = bool(self._limits or self._avoid)
        best, best_remaining, best_rack_total = None, 0, 0
        for rack in racks:
            max_amount = rack.max_amount
            if max_amount[0] < accelerators or max_amount[1] < cpu or max_amount[2] < memory:
                continue
            rack_total = rack.total_amount[0]
            if best is not None and best_remaining == 0 and rack_total > best_rack_total:
                continue
            for worker in rack.workers.values():
                free_accelerators, free_cpu, free_memory = worker.amount
                if free_accelerators < accelerators or free_cpu < cpu or free_memory < memory:
                    continue
                if bounded:
                    free_accelerators, free_cpu, free_memory = self._available(worker)
                    if free_accelerators < accelerators or free_cpu < cpu or free_memory < memory:
                        continue
                remaining = free_accelerators - accelerators
                if best is not None:
                    same = remaining == best_remaining and rack_total == best_rack_total
                    if remaining > best_remaining or (same and free_cpu > best[2]):
                        continue
                # comparing numbers first and building a key only here saves a third of the time
                # of packing the reservations
                key = (remaining, rack_total, free_cpu, worker.id)
                if best is None or key < best:
                    best, best_remaining, best_rack_total = key, remaining, rack_total
        return None if best is None else (best[3],) * self._members

    def find_group(self, domains):
        """Returns workers in the fitting domain with the fewest available accelerators.

        Each of ``domains`` is a list of racks.
        """
        best = None
        for racks in domains:
            total = [sum(column) for column in zip(*(r.total_amount for r in racks), strict=True)]
            if any(
                available < required
                for available, required in zip(total, self._total_need, strict=True)
            ):
                continue
            key = (total[0], racks[0].key)
            if (best is None or key < best[0]) and self._count_fitting(racks) >= self._members:
                best = (key, racks)
        return None if best is None else self._choose_workers(best[1])

    def _count_fitting(self, racks):
        """Returns how many members fit on the racks, counted up to those of the shape."""
        count = 0
        for rack in racks:
            for worker in rack.workers.values():
                count += _fit_count(self._available(worker), self._member_need, self._members)
                if count >= self._members:
                    return count
        return count

    def _choose_workers(self, racks):
        """Returns one worker id per member on the racks, or None if not all fit."""
        # the racks and workers with least available come first, to keep large free blocks
        chosen = []
        for rack in sorted(racks, key=lambda r: (r.total_amount[0], r.key)):
            for worker in sorted(rack.workers.values(), key=lambda w: (w.amount, w.id)):
                fits = _fit_count(
                    self._available(worker), self._member_need, self._members - len(chosen)
                )
                chosen.extend([worker.id] * fits)
                if len(chosen) == self._members:
                    return tuple(chosen)
        return None

    def _available(self, worker):
        """Returns the amounts that the shape may use on a worker."""
        if worker.id in self._avoid:
            return UNAVAILABLE
        bound = self._limits.get(worker.id)
        if bound is None:
            return worker.amount
        return tuple(map(min, worker.amount, bound))


def _resource_tuple(resources):
    """Returns (accelerators, millicores, MB)."""
    return (resources.accelerators, resources.cpu_millis, resources.memory_mb)


def _fit_count(available, required, limit):
    """Returns how many times ``required`` fits into ``available``, at most ``limit``."""
    for available_amount, required_amount in zip(available, required, strict=True):
        if available_amount < required_amount or available_amount < 0:
            return 0
        if required_amount:
            limit = min(limit, available_amount // required_amount)
    return limit
