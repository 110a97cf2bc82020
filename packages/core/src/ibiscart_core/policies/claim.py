"""
ibiscart_core.policies.claim
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Places queued jobs on the reservations of their accounts.
"""

from ibiscart_core.lifecycle import Lifecycle
from ibiscart_core.policies.victim import choose_victims, shortage
from ibiscart_schema.generated.journal_pb2 import STOP_PREEMPTED

__all__ = ["claim_guarantees", "claimable"]

# instances of a guarantee for which the preemption is worked out, before one is chosen
RESERVATIONS_COMPARED = 8


def claimable(account, shape):
    """Returns the account's met, unclaimed reservations that cover ``shape``, tightest first."""
    covering = [
        r
        for r in account.reservations.values()
        if r.job is None and r.workers and r.shape.covers(shape)
    ]
    return sorted(covering, key=_tightness)


def claim_guarantees(batch, view):
    """Places every queued job that a met, unclaimed reservation covers.

    A job waits only for its backoff, or while a reserved worker that is tried again after a
    quarantine still runs another task.
    """
    for name in sorted(view.backlog.claimants):
        _claim_account(batch, view, batch.ledger.accounts[name])


def _claim_account(batch, view, account):
    groups = view.backlog.groups(account.name)
    shapes = [r.shape for r in account.reservations.values() if r.job is None and r.workers]
    jobs = [
        entry
        for group in groups
        if any(shape.covers(group.job_class.shape) for shape in shapes)
        for entry in group.jobs
        if entry[2].not_before_us <= batch.now_us
    ]
    for _, _, job in sorted(jobs, key=lambda entry: entry[:2]):
        covering = claimable(account, job.shape)
        if covering:
            _Claim(batch, view, job).place(covering)
        elif not any(r.job is None and r.workers for r in account.reservations.values()):
            return


class _Claim:
    def __init__(self, batch, view, job):
        self._batch = batch
        self._ledger = batch.ledger
        self._view = view
        self._job = job

    def place(self, covering):
        """Claims one of the reservations in ``covering``; tells whether that was possible."""
        usable = [r for r in covering if self._accepted(r)]
        # another instance of the same tightness may avoid workers that the job failed on
        usable.sort(key=lambda r: (_tightness(r)[:3], self._failed_on(r), r.key.sort_key()))
        return self._place_free(usable) or self._place_moved(usable) or self._preempt(usable)

    def _place_free(self, reservations):
        for reservation in reservations:
            slots = self._slots(reservation)
            if self._fits(slots):
                return self._emit(reservation, slots, "claim")
        return False

    def _place_moved(self, reservations):
        tried = set()
        for reservation in reservations:
            if reservation.shape in tried:
                continue
            tried.add(reservation.shape)
            found = self._view.find_moved(reservation)
            if found is not None:
                event = {"workers": found, "key": {}}
                key = reservation.key
                event["key"] = {
                    "account": key.account,
                    "guarantee": key.guarantee,
                    "index": key.index,
                }
                self._batch.emit(reservation_set=event)
                return self._emit(reservation, self._slots(reservation), "claim_moved")
        return False

    def _preempt(self, reservations):
        best = None
        for order, reservation in enumerate(reservations[:RESERVATIONS_COMPARED]):
            slots = self._slots(reservation)
            missing = shortage(self._ledger, slots, self._job.shape.member)
            found = choose_victims(self._ledger, missing, self._batch.now_us)
            if found is not None and (best is None or (found[0], order) < best[0]):
                best = ((found[0], order), reservation, slots, found[1])
        if best is None:
            return False
        _, reservation, slots, victims = best
        lifecycle = Lifecycle(self._batch)
        for victim in victims:
            lifecycle.stop(victim, STOP_PREEMPTED, preempted_by=self._job.key)
        return self._emit(reservation, slots, "claim_preempts" if victims else "claim_waits")

    def _slots(self, reservation):
        workers = reservation.workers
        if len(workers) > self._job.shape.members:
            # the workers with the most room, so that least stands in the way
            order = sorted(set(workers), key=self._room)
            workers = sorted(workers, key=order.index)[: self._job.shape.members]
        return tuple(workers)

    def _room(self, worker_id):
        free = self._ledger.workers[worker_id].free
        return (-free.accelerators, -free.cpu_millis, worker_id)

    def _fits(self, slots):
        member = self._job.shape.member
        return all(
            self._ledger.workers[w].free.covers(member.scaled(slots.count(w))) for w in set(slots)
        )

    def _accepted(self, reservation):
        return all(self._ledger.workers[w].accepts for w in reservation.workers)

    def _failed_on(self, reservation):
        return any(w in self._job.failed_workers for w in reservation.workers)

    def _emit(self, reservation, slots, reason):
        key = reservation.key
        self._batch.emit(
            job_placed={
                "job": self._job.key.to_message(),
                "attempt": self._job.attempt,
                "workers": slots,
                "reservation": {
                    "account": key.account,
                    "guarantee": key.guarantee,
                    "index": key.index,
                },
                "reason": reason,
            }
        )
        self._view.sync_workers()
        return True


def _tightness(reservation):
    shape = reservation.shape
    return (shape.accelerators, shape.total.cpu_millis, -shape.scope, reservation.key.sort_key())
