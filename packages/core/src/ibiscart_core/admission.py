"""
ibiscart_core.admission
~~~~~~~~~~~~~~~~~~~~~~~

Decides whether a submitted job is taken into its account's queue.
"""

from ibiscart_core.error import ErrorKind, IbiscartError

__all__ = ["check_submission"]


def check_submission(ledger, account, shape):
    """Raises ``IbiscartError`` when a job of this shape must be refused.

    ``shape`` is a ``Shape``. A job that can claim a free guarantee is admitted even when
    the account's queue is full.
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
    if not _possible(ledger, shape):
        raise IbiscartError(
            ErrorKind.IMPOSSIBLE_SHAPE,
            "no domain of the region can hold this shape, even when empty",
            field="shape",
            value=f"{shape.members} members of {shape.member!r}",
            bound="largest domain of the scope",
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


def _possible(ledger, shape):
    counts = {}
    for worker in ledger.workers.values():
        domain = worker.domain(shape.scope)
        counts[domain] = counts.get(domain, 0) + shape.member.times_within(worker.capacity)
        if counts[domain] >= shape.members:
            return True
    return False
