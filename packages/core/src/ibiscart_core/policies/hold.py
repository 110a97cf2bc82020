"""
ibiscart_core.policies.hold
~~~~~~~~~~~~~~~~~~~~~~~~~~~

Reserves capacity for a waiting job until the running jobs on it have ended.
"""

__all__ = ["BackfillReservation", "min_extra_capacity", "plan_backfill_reservation"]


class BackfillReservation:
    """Capacity reserved for a waiting ``job``, with its estimated start time ``start_us``.

    ``extra_capacity`` maps the ids of the reserved workers to the amounts, as (accelerators,
    millicores, MB), that other jobs may use even if they run beyond the start. With
    ``exclusive``, other jobs may use only these amounts; otherwise jobs that end before the start
    may use the reserved capacity too. ``mask`` has one bit set, which is different for each
    reservation of a pass.
    """

    __slots__ = ("mask", "job", "extra_capacity", "start_us", "exclusive")

    def __init__(self, job, start_us, extra_capacity, exclusive):
        """Creates a reservation that leaves only ``extra_capacity`` to jobs beyond the start.

        The extra capacity is what ``job`` does not need of its workers at ``start_us``. Other jobs
        may use the rest only if they end by then, and not at all if ``exclusive``.
        """
        self.job = job
        self.start_us = start_us
        self.extra_capacity = extra_capacity
        self.exclusive = exclusive
        self.mask = 1

    def applies_to(self, job, end_us):
        """Returns True if a job that ends at ``end_us`` must not use the reserved capacity."""
        return job is not self.job and (self.exclusive or end_us > self.start_us)

    def subtract(self, workers, member):
        """Subtracts one ``member`` for each entry of ``workers`` from the extra capacity."""
        for worker_id in workers:
            extra_capacity = self.extra_capacity.get(worker_id)
            if extra_capacity is not None:
                self.extra_capacity[worker_id] = (
                    extra_capacity[0] - member.accelerators,
                    extra_capacity[1] - member.cpu_millis,
                    extra_capacity[2] - member.memory_mb,
                )


def plan_backfill_reservation(index, job, now_us, exclusive=False, excluded_workers=()):
    """Returns the ``BackfillReservation`` in the domain where ``job`` can start first, or None.

    An exclusive reservation is for a job that precedes all others. It selects the domain with
    the least occupied capacity instead: since no other job is placed there, the choice remains
    the same when estimates turn out to be wrong, and the domain drains. ``excluded_workers``
    are not used.
    """
    shape = job.shape
    domains = {}
    for worker in index.ledger.workers.values():
        if worker.id not in excluded_workers:
            fit_times = index.timeline.fit_times(worker, shape, job.spec.repeatable, now_us)
            if fit_times:
                occupied = _occupied(worker, shape, len(fit_times))
                slots = domains.setdefault(worker.domain(shape.scope), [])
                slots.extend((time, occupied, worker.id) for time in fit_times)
    best = None
    for name, slots in domains.items():
        if len(slots) < shape.members:
            continue
        slots.sort(key=(lambda slot: (slot[1], slot[0], slot[2])) if exclusive else None)
        chosen = slots[: shape.members]
        start_us = max(time for time, _, _ in chosen)
        occupied = sum({worker_id: occupied for _, occupied, worker_id in chosen}.values())
        key = (occupied, start_us, name) if exclusive else (start_us, occupied, name)
        if best is None or key < best[0]:
            best = (key, start_us, [worker_id for _, _, worker_id in chosen])
    if best is None:
        return None
    _, start_us, chosen = best
    return BackfillReservation(
        job, start_us, _extra_capacity(index, shape, chosen, start_us, now_us), exclusive
    )


def _occupied(worker, shape, members):
    """Returns how many of the accelerators that ``members`` members need are in use.

    Returns millicores if the shape has no accelerators.
    """
    if shape.member.accelerators:
        return max(0, members * shape.member.accelerators - worker.free.accelerators)
    return max(0, members * shape.member.cpu_millis - worker.free.cpu_millis)


def _extra_capacity(index, shape, chosen, start_us, now_us):
    """Returns, by worker id, the amounts left beside the chosen members at ``start_us``.

    ``chosen`` has one worker id per member. Amounts are (accelerators, millicores, MB).
    """
    extra_capacity = {}
    for worker_id in set(chosen):
        worker = index.ledger.workers[worker_id]
        free = index.timeline.free_at(worker, start_us, now_us)
        needed = shape.member.scaled(chosen.count(worker_id))
        extra_capacity[worker_id] = (
            free[0] - needed.accelerators,
            free[1] - needed.cpu_millis,
            free[2] - needed.memory_mb,
        )
    return extra_capacity


def min_extra_capacity(reservations):
    """Returns, by worker id, the smallest extra capacity of all reservations; None if empty."""
    if not reservations:
        return None
    extra_capacity = dict(reservations[0].extra_capacity)
    for reservation in reservations[1:]:
        for worker_id, amounts in reservation.extra_capacity.items():
            known = extra_capacity.get(worker_id)
            extra_capacity[worker_id] = (
                amounts if known is None else tuple(map(min, known, amounts))
            )
    return extra_capacity
