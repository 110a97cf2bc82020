"""
ibiscart_core.policies.claim
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Places queued jobs on the guarantee reservations of their accounts.
"""

from ibiscart_core.lifecycle import Lifecycle
from ibiscart_core.policies.victim import choose_victims, missing_capacity
from ibiscart_schema.generated.journal_pb2 import STOP_PREEMPTED

__all__ = ["claim_guarantees", "claimable_reservations"]

# limit on the reservations that are compared by the work that preemption would lose
MAX_RESERVATIONS_COMPARED = 8


def claimable_reservations(account, shape):
    """Returns the met, unclaimed reservations that cover ``shape``, smallest first."""
    covering = [
        r
        for r in account.reservations.values()
        if r.job is None and r.workers and r.shape.covers(shape)
    ]
    return sorted(covering, key=_size_key)


def claim_guarantees(batch, index):
    """Places every queued job that fits an unclaimed guarantee reservation which has workers.

    A covered job stays queued only during its backoff, or while a reserved worker on probation
    after a quarantine still runs another task.
    """
    for name in sorted(index.backlog.claimants):
        _claim_account(batch, index, batch.ledger.accounts[name])


def _claim_account(batch, index, account):
    """Places the queued jobs of one account on its reservations, in order of their due times."""
    groups = index.backlog.groups(account.name)
    shapes = [r.shape for r in account.reservations.values() if r.job is None and r.workers]
    jobs = [
        entry
        for group in groups
        if any(shape.covers(group.job_class.shape) for shape in shapes)
        for entry in group.jobs
        if entry[2].not_before_us <= batch.now_us
    ]
    for _, _, job in sorted(jobs, key=lambda entry: entry[:2]):
        covering = claimable_reservations(account, job.shape)
        if covering:
            _GuaranteeClaim(batch, index, job).place(covering)
        elif not any(r.job is None and r.workers for r in account.reservations.values()):
            return


class _GuaranteeClaim:
    """Claim of a guarantee reservation for one queued job."""

    def __init__(self, batch, index, job):
        self._batch = batch
        self._ledger = batch.ledger
        self._index = index
        self._job = job

    def place(self, covering):
        """Claims one of the reservations in ``covering``; returns True if one can be used."""
        usable = [r for r in covering if self._all_workers_accept(r)]
        # among reservations of equal size, those that include a worker on which the job failed
        # come last
        usable.sort(key=lambda r: (_size_key(r)[:3], self._has_failed_on(r), r.key.sort_key()))
        return (
            self._place_in_free_capacity(usable)
            or self._relocate_and_place(usable)
            or self._preempt_and_place(usable)
        )

    def _place_in_free_capacity(self, reservations):
        """Places the job on the first reservation where it fits without preemption.

        Returns False if there is none.
        """
        for reservation in reservations:
            workers = self._select_member_workers(reservation)
            if self._fits_free_capacity(workers):
                return self._emit_placement(reservation, workers, "claim")
        return False

    def _relocate_and_place(self, reservations):
        """Moves the first reservation that fits on other workers and places the job there.

        Returns True if a reservation was moved.
        """
        tried_shapes = set()
        for reservation in reservations:
            if reservation.shape in tried_shapes:
                continue
            tried_shapes.add(reservation.shape)
            found = self._index.find_relocation(reservation)
            if found is not None:
                event = {"workers": found, "key": {}}
                key = reservation.key
                event["key"] = {
                    "account": key.account,
                    "guarantee": key.guarantee,
                    "index": key.index,
                }
                self._batch.emit(reservation_set=event)
                return self._emit_placement(
                    reservation, self._select_member_workers(reservation), "claim_moved"
                )
        return False

    def _preempt_and_place(self, reservations):
        """Places the job on the reservation where preemption loses the least work.

        Returns False if no preemption frees enough capacity.
        """
        best = None
        for order, reservation in enumerate(reservations[:MAX_RESERVATIONS_COMPARED]):
            workers = self._select_member_workers(reservation)
            missing = missing_capacity(self._ledger, workers, self._job.shape.member)
            found = choose_victims(self._ledger, missing, self._batch.now_us)
            if found is not None and (best is None or (found[0], order) < best[0]):
                best = ((found[0], order), reservation, workers, found[1])
        if best is None:
            return False
        _, reservation, workers, victims = best
        lifecycle = Lifecycle(self._batch)
        for victim in victims:
            lifecycle.stop(victim, STOP_PREEMPTED, preempted_by=self._job.key)
        return self._emit_placement(
            reservation, workers, "claim_preempts" if victims else "claim_waits"
        )

    def _select_member_workers(self, reservation):
        """Returns a worker of the reservation for each member of the job."""
        workers = reservation.workers
        if len(workers) > self._job.shape.members:
            # selects the workers with the most free capacity, to preempt the least work
            order = sorted(set(workers), key=self._free_capacity_key)
            workers = sorted(workers, key=order.index)[: self._job.shape.members]
        return tuple(workers)

    def _free_capacity_key(self, worker_id):
        """Returns a sort key that puts the workers with the most free capacity first."""
        free = self._ledger.workers[worker_id].free
        return (-free.accelerators, -free.cpu_millis, worker_id)

    def _fits_free_capacity(self, workers):
        """Returns True if one member of the job for each id in ``workers`` fits now."""
        member = self._job.shape.member
        return all(
            self._ledger.workers[w].free.covers(member.scaled(workers.count(w)))
            for w in set(workers)
        )

    def _all_workers_accept(self, reservation):
        """Returns True if all workers of the reservation accept new tasks."""
        return all(self._ledger.workers[w].accepts for w in reservation.workers)

    def _has_failed_on(self, reservation):
        """Returns True if the job has failed on a worker of the reservation."""
        return any(w in self._job.failed_workers for w in reservation.workers)

    def _emit_placement(self, reservation, workers, reason):
        """Emits the placement of the job on ``workers`` of the reservation; returns True."""
        key = reservation.key
        self._batch.emit(
            job_placed={
                "job": self._job.key.to_message(),
                "attempt": self._job.attempt,
                "workers": workers,
                "reservation": {
                    "account": key.account,
                    "guarantee": key.guarantee,
                    "index": key.index,
                },
                "reason": reason,
            }
        )
        self._index.sync_workers()
        return True


def _size_key(reservation):
    """Returns a sort key that puts the smallest reservations first."""
    shape = reservation.shape
    return (shape.accelerators, shape.total.cpu_millis, -shape.scope, reservation.key.sort_key())
