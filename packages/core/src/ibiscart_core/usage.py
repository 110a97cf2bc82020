"""
ibiscart_core.usage
~~~~~~~~~~~~~~~~~~~

Sums over reservations and burst work that a ledger keeps event by event.
"""

from ibiscart_core.resource import Resources

__all__ = ["Changes", "Usage"]

NOTHING = Resources()


class Changes:
    """Workers and client accounts that events have changed, for caches built on a ledger."""

    __slots__ = ("accounts", "workers")

    def __init__(self):
        self.accounts = set()
        self.workers = set()


class Usage:
    """What reservations and burst work hold, by worker and client account.

    ``guaranteed_capacity`` maps worker ids to the sum of all reservations, claimed or not,
    and of burst work that may not be preempted. ``capacity_change_count`` counts the events
    after which a reservation may find or need other workers. ``changes`` is a ``Changes`` or
    None.
    """

    __slots__ = ("_workers", "capacity_change_count", "changes", "guaranteed_capacity")

    def __init__(self, workers):
        self._workers = workers
        self.guaranteed_capacity = {}
        self.capacity_change_count = 0
        self.changes = None

    def reserve(self, reservation, sign):
        """Counts an unclaimed reservation on its workers, or with ``sign`` -1 no longer."""
        member = reservation.shape.member
        for worker_id in reservation.workers:
            worker = self._workers.get(worker_id)
            if worker is not None:
                self.touch_worker(worker_id)
                worker.reserved = worker.reserved + member if sign > 0 else worker.reserved - member

    def move(self, reservation, workers):
        """Gives a reservation other places."""
        member = reservation.shape.member
        if reservation.job is None:
            self.reserve(reservation, -1)
        self.add_guaranteed(reservation.workers, member, -1)
        reservation.workers = workers
        self.add_guaranteed(workers, member, 1)
        if reservation.job is None:
            self.reserve(reservation, 1)

    def add_guaranteed(self, workers, amount, sign):
        """Adds ``amount`` to the commitment of each worker, or with ``sign`` -1 subtracts it."""
        for worker_id in workers:
            total = self.guaranteed_capacity.get(worker_id, NOTHING)
            self.guaranteed_capacity[worker_id] = total + amount if sign > 0 else total - amount
            self.touch_worker(worker_id)

    def add_nonpreemptible(self, job, sign):
        """Counts the open members of burst work that may not be preempted."""
        if job.burst and not job.preemptible:
            workers = [job.members[rank].worker_id for rank in job.open_members]
            self.add_guaranteed(workers, job.shape.member, sign)
            if sign < 0:
                self.capacity_change_count += 1

    def count_burst(self, account, job, sign):
        """Counts a job without a guarantee against its account's burst limits."""
        account.burst_accelerators += sign * job.shape.accelerators
        account.burst_cpu_millis += sign * job.shape.total.cpu_millis

    def touch_worker(self, worker_id):
        """Notes a change of a worker."""
        if self.changes is not None:
            self.changes.workers.add(worker_id)

    def touch_members(self, job):
        """Notes a change of a job's state on its workers."""
        for member in job.members:
            self.touch_worker(member.worker_id)

    def touch_account(self, name):
        """Notes a change of a client account or of its queue."""
        if self.changes is not None:
            self.changes.accounts.add(name)
