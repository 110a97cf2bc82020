"""
ibiscart_core.policies.view
~~~~~~~~~~~~~~~~~~~~~~~~~~~

Indexes over a ledger that follow its changes and can be dropped at any time.
"""

from ibiscart_core.capacity import Capacity
from ibiscart_core.policies.backlog import Backlog
from ibiscart_core.policies.reclaim import Clearable
from ibiscart_core.policies.timeline import Timeline
from ibiscart_core.resource import Resources
from ibiscart_core.usage import Changes

__all__ = ["View"]

NOTHING = Resources()


class View:
    """Available amounts and queued jobs of one ledger.

    ``free`` is what no task holds, ``clear`` the part of it that no reservation needs, and
    ``fixed`` what work that may not be preempted can take while every reservation still
    fits. Workers that take no new task have none of these. Without ``watch`` the view is
    good only until the ledger changes.
    """

    def __init__(self, ledger, watch=True):
        self.ledger = ledger
        self.free = Capacity()
        self.clear = Capacity()
        self.fixed = Capacity()
        self.timeline = Timeline(ledger)
        self.clearable = Clearable(ledger)
        self._changes = Changes()
        if watch:
            ledger.watch(self._changes)
        for worker in ledger.workers.values():
            self._set(worker)
        self.backlog = Backlog(ledger)

    def sync_workers(self):
        """Follows the changes of workers since the last call; returns their ids."""
        changed = self._changes.workers
        self._changes.workers = set()
        for worker_id in changed:
            self.timeline.forget(worker_id)
            self.clearable.forget(worker_id)
            worker = self.ledger.workers.get(worker_id)
            if worker is not None:
                self._set(worker)
        return changed

    def sync(self):
        """Follows all changes since the last call; returns the ids of changed workers."""
        accounts = self._changes.accounts
        self._changes.accounts = set()
        for name in accounts:
            self.backlog.refresh(name)
            self._forget_times(name)
        return self.sync_workers()

    def find_moved(self, reservation):
        """Returns clear places for a reservation as if it had none at present, or None."""
        member = reservation.shape.member
        for worker_id in set(reservation.workers):
            lifted = member.scaled(reservation.workers.count(worker_id))
            self._set(self.ledger.workers[worker_id], lifted)
        found = self.clear.find(reservation.shape)
        for worker_id in set(reservation.workers):
            self._set(self.ledger.workers[worker_id])
        return found

    def _forget_times(self, name):
        # a completed job may have changed the estimates of the account's other jobs
        account = self.ledger.accounts.get(name)
        for job in account.active.values() if account is not None else ():
            for member in job.members:
                self.timeline.forget(member.worker_id)

    def _set(self, worker, lifted=NOTHING):
        reserved = worker.reserved - lifted
        # a worker on probation with a reservation is tried with the job that claims it
        if not worker.accepts or (worker.quarantines and reserved != NOTHING):
            for capacity in (self.free, self.clear, self.fixed):
                capacity.set(worker, None)
            return
        free = _amounts(worker.free)
        room = _amounts(
            worker.capacity - (self.ledger.guaranteed_capacity.get(worker.id, NOTHING) - lifted)
        )
        unreserved = _amounts(worker.free - reserved)
        self.free.set(worker, free)
        self.fixed.set(worker, tuple(map(min, free, room)))
        self.clear.set(worker, tuple(map(min, unreserved, room)))


def _amounts(resources):
    return (resources.accelerators, resources.cpu_millis, resources.memory_mb)
