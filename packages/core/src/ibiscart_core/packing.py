"""
ibiscart_core.packing
~~~~~~~~~~~~~~~~~~~~~

Packs the guaranteed shapes of all contracts onto workers, so that all fit at once.
"""

from ibiscart_core.contract import ReservationKey
from ibiscart_core.shape import Shape

__all__ = ["Plan", "plan_reservations"]


class Plan:
    """Places for unclaimed reservations.

    ``places`` maps reservation keys to one worker id per member; ``unmet`` lists the keys
    for which there are none.
    """

    __slots__ = ("places", "unmet")

    def __init__(self, places, unmet):
        self.places = places
        self.unmet = unmet


def plan_reservations(ledger, contract=None):
    """Returns the ``Plan`` for all unclaimed reservations.

    ``contract`` is a ``Contract`` message that is to take the place of its account's
    contract. Present places are kept where they still fit. Places of claimed
    reservations and of work that may not be preempted are not counted as free.
    """
    wanted = _wanted(ledger, contract)
    free = _fixed_free(ledger)
    places = {}
    missing = []
    for key, shape in wanted:
        reservation = ledger.reservations.get(key)
        present = reservation.workers if reservation and reservation.shape == shape else ()
        if present and _take(free, present, shape):
            places[key] = present
        else:
            missing.append((key, shape))
    missing.sort(key=lambda item: _difficulty(item[1]))
    unmet = []
    for key, shape in missing:
        workers = _first_fit(ledger, free, shape)
        if workers is None:
            unmet.append(key)
        else:
            _take(free, workers, shape)
            places[key] = workers
    return Plan(places, unmet)


def _wanted(ledger, contract):
    wanted = [
        (key, reservation.shape)
        for key, reservation in ledger.reservations.items()
        if reservation.job is None and (contract is None or key.account != contract.account)
    ]
    if contract is not None:
        for guarantee in contract.guarantees:
            shape = Shape.from_message(guarantee.shape)
            for index in range(guarantee.count):
                key = ReservationKey(contract.account, guarantee.name, index)
                reservation = ledger.reservations.get(key)
                if reservation is None or reservation.job is None or reservation.shape != shape:
                    wanted.append((key, shape))
    return wanted


def _fixed_free(ledger):
    free = {w.id: w.capacity for w in ledger.workers.values() if w.live}
    for job in ledger.active.values():
        if job.preemptible:
            continue
        for rank in job.open_members:
            worker_id = job.members[rank].worker_id
            if worker_id in free:
                free[worker_id] = free[worker_id] - job.shape.member
    return free


def _take(free, workers, shape):
    before = {worker_id: free.get(worker_id) for worker_id in workers}
    if None in before.values():
        return False
    for worker_id in workers:
        if not free[worker_id].covers(shape.member):
            free.update(before)
            return False
        free[worker_id] = free[worker_id] - shape.member
    return True


def _difficulty(shape):
    return (-shape.accelerators, shape.scope, -shape.members, -shape.member.cpu_millis)


def _first_fit(ledger, free, shape):
    domains = {}
    for worker_id, amount in free.items():
        chosen = domains.setdefault(ledger.workers[worker_id].domain(shape.scope), [])
        fits = shape.member.times_within(amount)
        chosen.extend([worker_id] * min(fits, shape.members - len(chosen)))
        if len(chosen) == shape.members:
            return tuple(chosen)
    return None
