"""
ibiscart_core.usage
~~~~~~~~~~~~~~~~~~~

Usage totals of a ledger, updated with each event.
"""

from ibiscart_core.resource import Resources

__all__ = ["Changes", "Usage"]

NOTHING = Resources()


class Changes:
    """Workers and client accounts changed by events, so that caches can be invalidated."""

    __slots__ = ("accounts", "workers")

    def __init__(self):
        self.accounts = set()
        self.workers = set()


class Usage:
    """Resources used by reservations and burst jobs, by worker and client account.

    ``guaranteed_capacity`` maps worker ids to the sum of all reservations, claimed or not,
    and of the burst jobs that may not be preempted. ``capacity_change_count`` counts the
    events after which a reservation may fit on other workers or no longer fits on its present ones.
    ``changes`` is a ``Changes``, or None when nobody follows the changes.
    """

    __slots__ = ("_workers", "capacity_change_count", "changes", "guaranteed_capacity")

    def __init__(self, workers):
        self._workers = workers
        self.guaranteed_capacity = {}
        self.capacity_change_count = 0
        self.changes = None

    def add_unclaimed(self, reservation, sign):
        """Adds an unclaimed reservation to its workers; removes it if ``sign`` is -1."""
        member = reservation.shape.member
        for worker_id in reservation.workers:
            worker = self._workers.get(worker_id)
            if worker is not None:
                self.mark_worker_changed(worker_id)
                worker.reserved = worker.reserved + member if sign > 0 else worker.reserved - member

    def set_workers(self, reservation, workers):
        """Moves a reservation to ``workers``, one worker id per member."""
        member = reservation.shape.member
        if reservation.job is None:
            self.add_unclaimed(reservation, -1)
        self.add_guaranteed(reservation.workers, member, -1)
        reservation.workers = workers
        self.add_guaranteed(workers, member, 1)
        if reservation.job is None:
            self.add_unclaimed(reservation, 1)

    def add_guaranteed(self, workers, amount, sign):
        """Adds ``amount`` to the guaranteed capacity of each worker, or subtracts it.

        ``sign`` is 1 to add and -1 to subtract.
        """
        for worker_id in workers:
            total = self.guaranteed_capacity.get(worker_id, NOTHING)
            self.guaranteed_capacity[worker_id] = total + amount if sign > 0 else total - amount
            self.mark_worker_changed(worker_id)

    def add_nonpreemptible(self, job, sign):
        """Adds the open members of a non-preemptible burst job; removes them if ``sign`` is -1.

        Other jobs are ignored.
        """
        if job.burst and not job.preemptible:
            workers = [job.members[rank].worker_id for rank in job.open_members]
            self.add_guaranteed(workers, job.shape.member, sign)
            if sign < 0:
                self.capacity_change_count += 1

    def add_burst_usage(self, account, job, sign):
        """Adds a job without a guarantee to its account's burst usage.

        Subtracts it if ``sign`` is -1.
        """
        account.burst_accelerators += sign * job.shape.accelerators
        account.burst_cpu_millis += sign * job.shape.total.cpu_millis

    def mark_worker_changed(self, worker_id):
        """Records that a worker changed."""
        if self.changes is not None:
            self.changes.workers.add(worker_id)

    def mark_members_changed(self, job):
        """Records that the workers of a job's members changed."""
        for member in job.members:
            self.mark_worker_changed(member.worker_id)

    def mark_account_changed(self, name):
        """Records that a client account or its queue changed."""
        if self.changes is not None:
            self.changes.accounts.add(name)
