"""
ibiscart_core.snapshot
~~~~~~~~~~~~~~~~~~~~~~

Conversion of a ledger's state to and from a ``Snapshot`` message.
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
        jobs=[job.snapshot() for job in _jobs_in_order(ledger, ended)],
        shares=SharesGranted(epoch=ledger.share_epoch, entries=ledger.share_entries),
        estimates=ledger.estimates.snapshot(),
        removed_versions=ledger.removed_versions,
    )
    for reservation in ledger.reservations.values():
        item = ReservationSet(workers=reservation.workers)
        reservation.key.fill(item.key)
        message.reservations.append(item)
    return message


def read_worker(item):
    """Builds a ``Worker`` from a ``WorkerSnapshot``."""
    worker = Worker.from_message(item.info)
    worker.state = item.state
    worker.cause = item.cause
    worker.retry_at_us = item.retry_at_us
    worker.quarantines = item.quarantines
    worker.failures = list(item.failures)
    return worker


def _jobs_in_order(ledger, ended):
    # queue order and the order of ended jobs are part of the state
    for account in ledger.accounts.values():
        yield from account.queued.values()
    yield from ledger.active.values()
    yield from ended
