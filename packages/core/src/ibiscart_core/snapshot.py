"""
ibiscart_core.snapshot
~~~~~~~~~~~~~~~~~~~~~~

Converts the state of a ledger to and from ``Snapshot`` messages.
"""

from ibiscart_core.worker import Worker
from ibiscart_schema.generated.journal_pb2 import ReservationSet, SharesGranted, Snapshot

__all__ = ["read_worker", "write_snapshot"]


def write_snapshot(ledger, ended):
    """Returns the state of ``ledger`` as a ``Snapshot``; ``ended`` lists its ended jobs."""
    message = Snapshot(
        region=ledger.region,
        sequence=ledger.sequence,
        time_us=ledger.time_us,
        contracts=[account.contract for account in ledger.accounts.values()],
        workers=[worker.snapshot() for worker in ledger.workers.values()],
        jobs=[job.snapshot() for job in _jobs_in_state_order(ledger, ended)],
        shares=SharesGranted(epoch=ledger.share_epoch, entries=ledger.share_entries),
        estimates=ledger.estimates.snapshot(),
        removed_versions=ledger.removed_versions,
    )
    for reservation in ledger.reservations.values():
        item = ReservationSet(workers=reservation.workers)
        reservation.key.fill(item.key)
        message.reservations.append(item)
    return message


def read_worker(snapshot):
    """Returns the ``Worker`` of a ``WorkerSnapshot``."""
    worker = Worker.from_message(snapshot.info)
    worker.state = snapshot.state
    worker.cause = snapshot.cause
    worker.retry_at_us = snapshot.retry_at_us
    worker.quarantines = snapshot.quarantines
    worker.failures = list(snapshot.failures)
    return worker


def _jobs_in_state_order(ledger, ended):
    """Yields the queued jobs by account in queue order, then the active, then the ended ones."""
    # the order of queues and of ended jobs is part of the state
    for account in ledger.accounts.values():
        yield from account.queued.values()
    yield from ledger.active.values()
    yield from ended
