"""
ibiscart_core.packing
~~~~~~~~~~~~~~~~~~~~~

Packs the guaranteed shapes of all contracts onto workers, so that all fit at once.
"""

from ibiscart_core.capacity import Capacity
from ibiscart_core.contract import ReservationKey
from ibiscart_core.resource import Resources
from ibiscart_core.shape import Shape

__all__ = ["Plan", "plan_reservations"]

NOTHING = Resources()
# domains that are cleared on trial for one shape without a place
DOMAINS_TRIED = 8
# shapes without a place for which others are moved, per plan; each costs a few milliseconds
SHAPES_MOVED_FOR = 32
# a repack of more reservations than this takes too long for one pass
RESERVATIONS_REPACKED = 4_000


class Plan:
    """Places for unclaimed reservations.

    ``workers_by_key`` maps reservation keys to one worker id per member; ``unmet`` lists the keys
    for which there are none.
    """

    __slots__ = ("unmet", "workers_by_key")

    def __init__(self, workers_by_key, unmet):
        self.workers_by_key = workers_by_key
        self.unmet = unmet


def plan_reservations(ledger, contract=None):
    """Returns the ``Plan`` for all unclaimed reservations.

    ``contract`` is a ``Contract`` message that is to take the place of its account's
    contract. Present places are kept where they still fit. Places of claimed
    reservations and of work that may not be preempted are not counted as free. When a
    shape finds no place, unclaimed reservations are moved out of its way, and then all are
    packed anew; neither takes the place of a reservation away without giving it another.
    """
    packer = _Packer(ledger, contract)
    packer.keep_present()
    packer.place_missing()
    if packer.unmet:
        packer.move_others()
    if packer.unmet and len(packer.shapes) <= RESERVATIONS_REPACKED:
        anew = _Packer(ledger, contract)
        anew.place_missing()
        if set(anew.unmet) < set(packer.unmet):
            packer = anew
    return Plan(packer.places, packer.unmet)


class _Packer:
    """Places reservations in the room that fixed work leaves on the live workers."""

    def __init__(self, ledger, contract):
        self._ledger = ledger
        self.shapes = dict(sorted(_wanted(ledger, contract), key=_difficulty))
        self.places = {}
        self.unmet = []
        self._room = Capacity()
        for worker, amount in _fixed_room(ledger, contract):
            self._room.set(worker, amount)
        # a worker on probation holds a reservation only when nothing else is left
        self._probation = {w.id for w in ledger.workers.values() if w.live and w.quarantines}

    def keep_present(self):
        """Keeps the present places that still fit."""
        for key, shape in self.shapes.items():
            reservation = self._ledger.reservations.get(key)
            if reservation is None or reservation.job is not None or reservation.shape != shape:
                continue
            if reservation.workers and self._room.holds(reservation.workers, shape.member):
                self._place(key, reservation.workers)

    def place_missing(self):
        """Places what has no place yet, the hardest shapes first."""
        self.unmet = []
        failed = []
        for key, shape in self.shapes.items():
            if key in self.places:
                continue
            found = None
            if not any(shape.covers(other) for other in failed):
                found = self._find(shape)
            if found is None:
                failed.append(shape)
                self.unmet.append(key)
            else:
                self._place(key, found)

    def move_others(self):
        """Clears a domain for each shape without a place, if its reservations fit elsewhere."""
        failed = []
        unmet = []
        for key in self.unmet:
            shape = self.shapes[key]
            hopeless = any(shape.covers(other) for other in failed)
            if hopeless or len(failed) >= SHAPES_MOVED_FOR or not self._move_for(key, shape):
                failed.append(shape)
                unmet.append(key)
        self.unmet = unmet

    def _find(self, shape):
        found = self._room.find(shape, avoid=self._probation)
        if found is None and self._probation:
            found = self._room.find(shape)
        return found

    def _place(self, key, workers):
        self._room.take(workers, self.shapes[key].member)
        self.places[key] = workers

    def _remove(self, key):
        self._room.give(self.places.pop(key), self.shapes[key].member)

    def _move_for(self, key, shape):
        residents = {}
        for other, workers in self.places.items():
            for worker_id in workers:
                residents.setdefault(worker_id, {})[other] = None
        for domain in self._domains(shape, residents)[:DOMAINS_TRIED]:
            before = {}
            self._clear(domain, shape, residents, before)
            if self._settle(key, shape, domain, before):
                return True
        return False

    def _domains(self, shape, residents):
        """Returns lists of worker ids that would hold ``shape`` when cleared, cheapest first."""
        domains = {}
        for worker in self._ledger.workers.values():
            if not worker.live:
                continue
            amount = _resources(self._room.amount(worker.id))
            fits_now = shape.member.times_within(amount)
            for other in residents.get(worker.id, ()):
                count = self.places[other].count(worker.id)
                amount = amount + self.shapes[other].member.scaled(count)
            fits = shape.member.times_within(amount)
            if fits:
                entry = domains.setdefault(worker.domain(shape.scope), [0, 0, []])
                entry[0] += fits
                entry[1] += min(fits_now, shape.members)
                entry[2].append((fits_now - fits, worker.id, fits))
        usable = [(-e[1], name, e[2]) for name, e in domains.items() if e[0] >= shape.members]
        return [workers for _, _, workers in sorted(usable)]

    def _clear(self, domain, shape, residents, before):
        """Removes reservations from the domain until ``shape`` fits, noting their places."""
        needed = shape.members
        for _, worker_id, fits in sorted(domain, key=lambda item: (-item[0], item[1])):
            wanted = min(fits, needed)
            amount = shape.member.scaled(wanted)
            # the easiest to place elsewhere go first
            for other in reversed(residents.get(worker_id, ())):
                if _resources(self._room.amount(worker_id)).covers(amount):
                    break
                if other not in before:
                    before[other] = self.places[other]
                    self._remove(other)
            needed -= wanted
            if not needed:
                return

    def _settle(self, key, shape, domain, before):
        """Places ``key`` in the cleared domain and the removed ones anywhere, or undoes all."""
        inside = {worker_id for _, worker_id, _ in domain}
        outside = frozenset(w for w in self._ledger.workers if w not in inside)
        moved = []
        found = self._room.find(shape, avoid=outside)
        if found is not None:
            self._place(key, found)
            moved.append(key)
            for other in sorted(before, key=lambda k: _difficulty((k, self.shapes[k]))):
                found = self._find(self.shapes[other])
                if found is None:
                    break
                self._place(other, found)
                moved.append(other)
        if len(moved) == len(before) + 1:
            return True
        for other in moved:
            self._remove(other)
        for other, workers in before.items():
            self._place(other, workers)
        return False


def _wanted(ledger, contract):
    wanted = [
        (key, reservation.shape)
        for key, reservation in ledger.reservations.items()
        if reservation.job is None and (contract is None or key.account != contract.account)
    ]
    if contract is not None:
        for key, shape in _contract_shapes(contract).items():
            reservation = ledger.reservations.get(key)
            if reservation is None or reservation.job is None or reservation.shape != shape:
                wanted.append((key, shape))
    return wanted


def _contract_shapes(contract):
    shapes = {}
    for guarantee in contract.guarantees:
        shape = Shape.from_message(guarantee.shape)
        for index in range(guarantee.count):
            shapes[ReservationKey(contract.account, guarantee.name, index)] = shape
    return shapes


def _fixed_room(ledger, contract):
    """Yields live workers with what is left beside claimed reservations and fixed work."""
    dropped = {} if contract is None else _dropped_claims(ledger, contract)
    for worker in ledger.workers.values():
        if not worker.live:
            continue
        room = (
            worker.capacity - ledger.guaranteed_capacity.get(worker.id, NOTHING) + worker.reserved
        )
        room = room + dropped.get(worker.id, NOTHING)
        yield worker, (room.accelerators, room.cpu_millis, room.memory_mb)


def _dropped_claims(ledger, contract):
    """Returns what claimed reservations that the contract drops free on each worker."""
    freed = {}
    account = ledger.accounts.get(contract.account)
    shapes = _contract_shapes(contract)
    for reservation in account.reservations.values() if account is not None else ():
        if reservation.job is None or shapes.get(reservation.key) == reservation.shape:
            continue
        for worker_id in reservation.workers:
            freed[worker_id] = freed.get(worker_id, NOTHING) + reservation.shape.member
        job = ledger.jobs[reservation.job]
        if not job.spec.repeatable:
            for rank in job.open_members:
                worker_id = job.members[rank].worker_id
                freed[worker_id] = freed.get(worker_id, NOTHING) - job.shape.member
    return freed


def _difficulty(item):
    key, shape = item
    return (
        -shape.accelerators,
        shape.scope,
        -shape.members,
        -shape.member.cpu_millis,
        -shape.member.memory_mb,
        key.sort_key(),
    )


def _resources(amounts):
    return Resources(*amounts)
