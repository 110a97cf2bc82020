"""
ibiscart_core.policies.view
~~~~~~~~~~~~~~~~~~~~~~~~~~~

Indexes over a ledger that are updated from its changes and can be rebuilt at any time.
"""

from ibiscart_core.capacity import Capacity
from ibiscart_core.policies.backlog import Backlog
from ibiscart_core.policies.reclaim import PreemptibleCapacity
from ibiscart_core.policies.timeline import Timeline
from ibiscart_core.resource import Resources
from ibiscart_core.usage import Changes

__all__ = ["LedgerIndex"]

NOTHING = Resources()


class LedgerIndex:
    """Available capacity and queued jobs of one ledger.

    ``free`` is the capacity that no task uses, ``clear`` the part of it that no guarantee
    reservation needs, and ``fixed`` the part that non-preemptible jobs can use while every
    guarantee reservation still fits. Workers that accept no new task are in none of these.
    Without ``watch`` the index is valid only until the ledger changes.
    """

    def __init__(self, ledger, watch=True):
        self.ledger = ledger
        self.free = Capacity()
        self.clear = Capacity()
        self.fixed = Capacity()
        self.timeline = Timeline(ledger)
        self.preemptible_capacity = PreemptibleCapacity(ledger)
        self._changes = Changes()
        if watch:
            ledger.watch(self._changes)
        for worker in ledger.workers.values():
            self._update_worker_capacity(worker)
        self.backlog = Backlog(ledger)

    def sync_workers(self):
        """Applies the worker changes since the last call; returns the ids of these workers."""
        changed = self._changes.workers
        self._changes.workers = set()
        for worker_id in changed:
            self.timeline.invalidate(worker_id)
            self.preemptible_capacity.invalidate(worker_id)
            worker = self.ledger.workers.get(worker_id)
            if worker is not None:
                self._update_worker_capacity(worker)
        return changed

    def sync(self):
        """Applies all changes since the last call; returns the ids of the changed workers."""
        accounts = self._changes.accounts
        self._changes.accounts = set()
        for name in accounts:
            self.backlog.refresh(name)
            self._invalidate_fit_times(name)
        return self.sync_workers()

    def find_relocation(self, reservation):
        """Returns worker ids, one for each member, to which a reservation can move, or None.

        The reservation's present workers are eligible too: what it reserves there counts as free.
        """
        member = reservation.shape.member
        for worker_id in set(reservation.workers):
            ignored_reserved = member.scaled(reservation.workers.count(worker_id))
            self._update_worker_capacity(self.ledger.workers[worker_id], ignored_reserved)
        found = self.clear.find(reservation.shape)
        for worker_id in set(reservation.workers):
            self._update_worker_capacity(self.ledger.workers[worker_id])
        return found

    def _invalidate_fit_times(self, name):
        """Drops the fit times of the workers on which the account ``name`` has jobs."""
        # the estimates of the account's other jobs may change when one of its jobs completes
        account = self.ledger.accounts.get(name)
        for job in account.active.values() if account is not None else ():
            for member in job.members:
                self.timeline.invalidate(member.worker_id)

    def _update_worker_capacity(self, worker, ignored_reserved=NOTHING):
        """Updates the free, fixed and clear capacity of the worker.

        The amount ``ignored_reserved`` of its reserved capacity is treated as unreserved.
        """
        reserved = worker.reserved - ignored_reserved
        # a reserved worker on probation gets no other task, because its trial task is the job that
        # claims the reservation
        if not worker.accepts or (worker.quarantines and reserved != NOTHING):
            for capacity in (self.free, self.clear, self.fixed):
                capacity.set(worker, None)
            return
        free = _resource_tuple(worker.free)
        unguaranteed = _resource_tuple(
            worker.capacity
            - (self.ledger.guaranteed_capacity.get(worker.id, NOTHING) - ignored_reserved)
        )
        unreserved = _resource_tuple(worker.free - reserved)
        self.free.set(worker, free)
        self.fixed.set(worker, tuple(map(min, free, unguaranteed)))
        self.clear.set(worker, tuple(map(min, unreserved, unguaranteed)))


def _resource_tuple(resources):
    """Returns (accelerators, millicores, MB)."""
    return (resources.accelerators, resources.cpu_millis, resources.memory_mb)
