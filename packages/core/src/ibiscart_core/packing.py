"""
ibiscart_core.packing
~~~~~~~~~~~~~~~~~~~~~

Packs the guaranteed shapes of all contracts onto workers so that all fit at the same time.
"""

from ibiscart_core.capacity import Capacity
from ibiscart_core.contract import ReservationKey
from ibiscart_core.resource import Resources
from ibiscart_core.shape import Shape

__all__ = ["Plan", "plan_reservations"]

NOTHING = Resources()
# limit on the domains in which reservations are moved on trial to make one shape fit
MAX_DOMAINS_PER_SHAPE = 8
# limit on the shapes of a plan for which other reservations are moved; each takes a few
# milliseconds
MAX_SHAPES_WITH_MOVES = 32
# packing more reservations than this from scratch takes too long for one scheduling pass
MAX_REPACKED_RESERVATIONS = 4_000


class Plan:
    """Workers for unclaimed reservations.

    ``workers_by_key`` maps reservation keys to one worker id per member; ``unmet`` lists the
    keys of reservations that do not fit.
    """

    __slots__ = ("unmet", "workers_by_key")

    def __init__(self, workers_by_key, unmet):
        self.workers_by_key = workers_by_key
        self.unmet = unmet


def plan_reservations(ledger, contract=None):
    """Returns the ``Plan`` for all unclaimed reservations.

    ``contract`` is a ``Contract`` message that replaces its account's contract in the plan,
    or None. Reservations stay on their present workers where they still fit. The resources
    of claimed reservations and of jobs that may not be preempted do not count as free. If a
    shape does not fit, unclaimed reservations are moved to other workers; if that fails,
    all are packed from scratch. Neither step leaves a reservation unmet that was met before.
    """
    packer = _Packer(ledger, contract)
    packer.keep_current_workers()
    packer.place_unassigned()
    if packer.unmet:
        packer.move_reservations()
    if packer.unmet and len(packer.shapes) <= MAX_REPACKED_RESERVATIONS:
        repacked = _Packer(ledger, contract)
        repacked.place_unassigned()
        if set(repacked.unmet) < set(packer.unmet):
            packer = repacked
    return Plan(packer.workers_by_key, packer.unmet)


class _Packer:
    """Assigns reservations to what non-preemptible work leaves free on the live workers."""

    def __init__(self, ledger, contract):
        self._ledger = ledger
        self.shapes = dict(sorted(_required_shapes(ledger, contract), key=_sort_key))
        self.workers_by_key = {}
        self.unmet = []
        self._capacity = Capacity()
        for worker, amount in _available_for_reservations(ledger, contract):
            self._capacity.set(worker, amount)
        # a worker on probation gets a reservation only if no other worker fits
        self._probation = {w.id for w in ledger.workers.values() if w.live and w.quarantines}

    def keep_current_workers(self):
        """Assigns reservations to their present workers where they still fit."""
        for key, shape in self.shapes.items():
            reservation = self._ledger.reservations.get(key)
            if reservation is None or reservation.job is not None or reservation.shape != shape:
                continue
            if reservation.workers and self._capacity.fits(reservation.workers, shape.member):
                self._place_reservation(key, reservation.workers)

    def place_unassigned(self):
        """Assigns the reservations without workers, those that are hardest to place first."""
        self.unmet = []
        infeasible_shapes = []
        for key, shape in self.shapes.items():
            if key in self.workers_by_key:
                continue
            found = None
            if not any(shape.covers(other) for other in infeasible_shapes):
                found = self._find(shape)
            if found is None:
                infeasible_shapes.append(shape)
                self.unmet.append(key)
            else:
                self._place_reservation(key, found)

    def move_reservations(self):
        """Makes unmet shapes fit by moving reservations from one domain to other workers."""
        infeasible_shapes = []
        unmet = []
        for key in self.unmet:
            shape = self.shapes[key]
            known_infeasible = any(shape.covers(other) for other in infeasible_shapes)
            if (
                known_infeasible
                or len(infeasible_shapes) >= MAX_SHAPES_WITH_MOVES
                or not self._place_by_moves(key, shape)
            ):
                infeasible_shapes.append(shape)
                unmet.append(key)
        self.unmet = unmet

    def _find(self, shape):
        """Returns one worker id per member, on probation only if no others fit, or None."""
        found = self._capacity.find(shape, avoid=self._probation)
        if found is None and self._probation:
            found = self._capacity.find(shape)
        return found

    def _place_reservation(self, key, workers):
        """Assigns a reservation to ``workers`` and subtracts its capacity there."""
        self._capacity.subtract(workers, self.shapes[key].member)
        self.workers_by_key[key] = workers

    def _remove_reservation(self, key):
        """Removes a reservation from its workers and gives its capacity back."""
        self._capacity.add(self.workers_by_key.pop(key), self.shapes[key].member)

    def _place_by_moves(self, key, shape):
        """Assigns ``key`` in a domain from which other reservations are moved.

        Returns False, with nothing changed, if this would leave one of them without workers.
        """
        keys_by_worker = {}
        for other, workers in self.workers_by_key.items():
            for worker_id in workers:
                keys_by_worker.setdefault(worker_id, {})[other] = None
        for domain in self._domains(shape, keys_by_worker)[:MAX_DOMAINS_PER_SHAPE]:
            removed = {}
            self._remove_from_domain(domain, shape, keys_by_worker, removed)
            if self._place_after_clearing(key, shape, domain, removed):
                return True
        return False

    def _domains(self, shape, keys_by_worker):
        """Returns the domains that fit ``shape`` once cleared, first those that nearly fit it now.

        A domain is a list of (minus the number of members that fit only after moves, worker
        id, number of members that fit after moves).
        """
        domains = {}
        for worker in self._ledger.workers.values():
            if not worker.live:
                continue
            amount = _resources_from_tuple(self._capacity.amount(worker.id))
            fits_now = shape.member.times_within(amount)
            for other in keys_by_worker.get(worker.id, ()):
                count = self.workers_by_key[other].count(worker.id)
                amount = amount + self.shapes[other].member.scaled(count)
            fits = shape.member.times_within(amount)
            if fits:
                totals = domains.setdefault(worker.domain(shape.scope), [0, 0, []])
                totals[0] += fits
                totals[1] += min(fits_now, shape.members)
                totals[2].append((fits_now - fits, worker.id, fits))
        usable = [(-e[1], name, e[2]) for name, e in domains.items() if e[0] >= shape.members]
        return [workers for _, _, workers in sorted(usable)]

    def _remove_from_domain(self, domain, shape, keys_by_worker, removed):
        """Removes reservations from the domain until ``shape`` fits.

        Adds their workers to ``removed``, by key.
        """
        needed = shape.members
        for _, worker_id, fits in sorted(domain, key=lambda item: (-item[0], item[1])):
            count = min(fits, needed)
            amount = shape.member.scaled(count)
            # reservations that are easiest to place elsewhere are removed first
            for other in reversed(keys_by_worker.get(worker_id, ())):
                if _resources_from_tuple(self._capacity.amount(worker_id)).covers(amount):
                    break
                if other not in removed:
                    removed[other] = self.workers_by_key[other]
                    self._remove_reservation(other)
            needed -= count
            if not needed:
                return

    def _place_after_clearing(self, key, shape, domain, removed):
        """Assigns ``key`` to the cleared domain and the removed reservations to any workers.

        If one of them does not fit, restores the former workers of all and returns False.
        """
        inside = {worker_id for _, worker_id, _ in domain}
        outside = frozenset(w for w in self._ledger.workers if w not in inside)
        moved = []
        found = self._capacity.find(shape, avoid=outside)
        if found is not None:
            self._place_reservation(key, found)
            moved.append(key)
            for other in sorted(removed, key=lambda k: _sort_key((k, self.shapes[k]))):
                found = self._find(self.shapes[other])
                if found is None:
                    break
                self._place_reservation(other, found)
                moved.append(other)
        if len(moved) == len(removed) + 1:
            return True
        for other in moved:
            self._remove_reservation(other)
        for other, workers in removed.items():
            self._place_reservation(other, workers)
        return False


def _required_shapes(ledger, contract):
    """Returns (key, shape) of the reservations to plan: those without a claim that stays."""
    required = [
        (key, reservation.shape)
        for key, reservation in ledger.reservations.items()
        if reservation.job is None and (contract is None or key.account != contract.account)
    ]
    if contract is not None:
        for key, shape in _contract_shapes(contract).items():
            reservation = ledger.reservations.get(key)
            if reservation is None or reservation.job is None or reservation.shape != shape:
                required.append((key, shape))
    return required


def _contract_shapes(contract):
    """Returns the guaranteed shapes of a ``Contract`` message by reservation key."""
    shapes = {}
    for guarantee in contract.guarantees:
        shape = Shape.from_message(guarantee.shape)
        for index in range(guarantee.count):
            shapes[ReservationKey(contract.account, guarantee.name, index)] = shape
    return shapes


def _available_for_reservations(ledger, contract):
    """Yields each live worker with the amounts available for unclaimed reservations.

    These exclude claimed reservations and jobs that may not be preempted.
    """
    freed_claims = {} if contract is None else _claims_freed_by_contract(ledger, contract)
    for worker in ledger.workers.values():
        if not worker.live:
            continue
        available = (
            worker.capacity - ledger.guaranteed_capacity.get(worker.id, NOTHING) + worker.reserved
        )
        available = available + freed_claims.get(worker.id, NOTHING)
        yield worker, (available.accelerators, available.cpu_millis, available.memory_mb)


def _claims_freed_by_contract(ledger, contract):
    """Returns the resources by worker of claimed reservations that the contract removes.

    The resources of jobs that may not be preempted are not included.
    """
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


def _sort_key(item):
    """Returns a sort key for (key, shape) that puts the shapes that are hardest to place first."""
    key, shape = item
    return (
        -shape.accelerators,
        shape.scope,
        -shape.members,
        -shape.member.cpu_millis,
        -shape.member.memory_mb,
        key.sort_key(),
    )


def _resources_from_tuple(amounts):
    """Returns the ``Resources`` of (accelerators, millicores, MB)."""
    return Resources(*amounts)
