"""
ibiscart_core.admission
~~~~~~~~~~~~~~~~~~~~~~~

Decides whether a submitted job is accepted into its account's queue.
"""

from types import MappingProxyType

from ibiscart_core.error import ErrorKind, IbiscartError
from ibiscart_core.resource import Resources

__all__ = ["check_submission", "fits_unreserved"]

NOTHING = Resources()


def check_submission(ledger, account, shape, repeatable):
    """Raises ``IbiscartError`` if a job of this shape must be refused.

    ``shape`` is a ``Shape``. A job that can claim a free guarantee is accepted even if the
    account's queue is full. A job that may run only once (``repeatable`` False) is refused
    if no guarantee covers it and no domain has enough unreserved capacity for it.
    """
    guarantees = [r for r in account.reservations.values() if r.shape.covers(shape)]
    contract = account.contract
    for amount, unit, bound in (
        (shape.accelerators, "accelerators", "burst_accelerators"),
        (shape.total.cpu_millis, "millicores", "burst_cpu_millis"),
    ):
        if not guarantees and amount > getattr(contract, bound):
            raise IbiscartError(
                ErrorKind.OVER_LIMIT,
                "no guarantee covers this shape and it exceeds the burst limit; "
                "ask an operator to change the contract",
                field="shape",
                value=f"{amount} {unit}",
                bound=f"{bound}={getattr(contract, bound)}",
            )
    if not _fits_some_domain(ledger, shape):
        raise IbiscartError(
            ErrorKind.IMPOSSIBLE_SHAPE,
            "no domain of the region can hold this shape, even when empty",
            field="shape",
            value=f"{shape.members} members of {shape.member!r}",
            bound="largest domain of the scope",
        )
    if not repeatable and not guarantees and not fits_unreserved(ledger, shape):
        raise IbiscartError(
            ErrorKind.IMPOSSIBLE_SHAPE,
            "a job that may run only once gets no capacity that a guarantee reserves, and no "
            "domain has enough unreserved capacity; use a smaller shape or a guarantee",
            field="shape",
            value=f"{shape.members} members of {shape.member!r}",
            bound="largest unreserved domain of the scope",
        )
    limit = contract.queued_jobs
    unclaimed = sum(r.job is None for r in guarantees)
    if len(account.queued) >= limit + unclaimed:
        raise IbiscartError(
            ErrorKind.QUEUE_FULL,
            "the account's queue is full; retry later",
            field="queued_jobs",
            value=len(account.queued),
            bound=limit,
        )


def fits_unreserved(ledger, shape):
    """Returns True if the unreserved capacity of some domain is enough for ``shape``.

    Capacity that burst jobs use counts as unreserved. Reservations, claimed or not, count on
    their present workers.
    """
    reserved = {}
    for reservation in ledger.reservations.values():
        for worker_id in reservation.workers:
            reserved_here = reserved.get(worker_id, NOTHING)
            reserved[worker_id] = reserved_here + reservation.shape.member
    return _fits_some_domain(ledger, shape, reserved)


def _fits_some_domain(ledger, shape, reserved=MappingProxyType({})):
    """Returns True if a domain fits the shape beside the ``reserved`` resources by worker id."""
    counts = {}
    for worker in ledger.workers.values():
        domain = worker.domain(shape.scope)
        available = worker.capacity
        if worker.id in reserved:
            available = available - reserved[worker.id]
        counts[domain] = counts.get(domain, 0) + shape.member.times_within(available)
        if counts[domain] >= shape.members:
            return True
    return False
