"""
ibiscart_core.policies.burst
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Places queued jobs that run without a guarantee.
"""

import heapq

from ibiscart_schema.generated.journal_pb2 import JOB_STATE_QUEUED

__all__ = ["BurstPass", "over_limit"]

# one record holds at most this many placements; the next batch goes on
PLACEMENTS_PER_PASS = 500


def over_limit(account, shape):
    """Tells whether a burst job of ``shape`` exceeds the account's burst limits now."""
    contract = account.contract
    return (
        account.burst_accelerators + shape.accelerators > contract.burst_accelerators
        or account.burst_cpu_millis + shape.total.cpu_millis > contract.burst_cpu_millis
    )


class BurstPass:
    """One pass over the queued jobs: due jobs first, then accounts by their weighted share."""

    def __init__(self, batch, view):
        self._batch = batch
        self._ledger = batch.ledger
        self._view = view
        self._failed = []
        self._placed = 0
        live = [w.capacity for w in self._ledger.workers.values() if w.live]
        self._accelerators = max(1, sum(c.accelerators for c in live))
        self._cpu_millis = max(1, sum(c.cpu_millis for c in live))

    def run(self):
        """Emits the placements."""
        self._place_due()
        self._place_shares()

    def _place_due(self):
        now = self._batch.now_us
        due = [
            (*entry[:2], group.account, entry[2])
            for groups in self._view.backlog.accounts.values()
            for group in groups
            if group.due_us <= now
            for entry in group.jobs
            if entry[0] <= now
        ]
        due.sort(key=lambda entry: entry[:3])
        for _, _, _, job in due:
            self._try(job, "due")

    def _place_shares(self):
        heap = [(self._share(name), name) for name in self._view.backlog.accounts]
        heapq.heapify(heap)
        while heap and self._placed < PLACEMENTS_PER_PASS:
            _, name = heap[0]
            if self._place_next(name):
                heapq.heapreplace(heap, (self._share(name), name))
            else:
                heapq.heappop(heap)

    def _place_next(self, name):
        """Places the account's first job that can be placed; tells whether there is one."""
        for group in self._view.backlog.groups(name):
            for _, _, job in group.jobs:
                if self._try(job, "fair_share"):
                    return True
        return False

    def _share(self, name):
        account = self._ledger.accounts[name]
        used = max(
            account.burst_accelerators / self._accelerators,
            account.burst_cpu_millis / self._cpu_millis,
        )
        return used / max(1, account.contract.weight)

    def _try(self, job, reason):
        if job.state != JOB_STATE_QUEUED or job.not_before_us > self._batch.now_us:
            return False
        if over_limit(self._ledger.accounts[job.key.account], job.shape):
            return False
        workers = self._find(job)
        if workers is None:
            return False
        self._batch.emit(
            job_placed={
                "job": job.key.to_message(),
                "attempt": job.attempt,
                "workers": workers,
                "reason": reason,
            }
        )
        self._view.sync_workers()
        self._placed += 1
        return True

    def _find(self, job):
        # a job that fits nowhere rules out every job that needs at least as much
        repeatable = job.spec.repeatable
        for shape, failed_repeatable in self._failed:
            if job.shape.covers(shape) and (failed_repeatable or not repeatable):
                return None
        levels = (self._view.clear, self._view.free) if repeatable else (self._view.fixed,)
        avoid = frozenset(job.failed_workers)
        for avoided in (avoid, frozenset()) if avoid else (avoid,):
            for capacity in levels:
                workers = capacity.find(job.shape, avoid=avoided)
                if workers is not None:
                    return workers
        self._failed.append((job.shape, repeatable))
        return None
