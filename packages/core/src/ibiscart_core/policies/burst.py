"""
ibiscart_core.policies.burst
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Places queued jobs that run without a guarantee.
"""

import heapq

from ibiscart_core.policies.hold import estimated_seconds, find_hold
from ibiscart_schema.generated.journal_pb2 import JOB_STATE_QUEUED

__all__ = ["BurstPass", "avoids_reservations_until_us", "over_limit", "share"]

# one record holds at most this many placements; the next batch goes on
PLACEMENTS_PER_PASS = 200
# gangs for which an earliest start is worked out, until one has any
GANGS_TRIED = 4
# a preempted job keeps off unclaimed reservations for so long, twice as long each time:
# otherwise claims that come and go would stop it again and again
FIRST_AVOIDANCE_SECONDS = 60
LONGEST_AVOIDANCE_SECONDS = 1800


def over_limit(account, shape):
    """Returns whether a burst job of ``shape`` exceeds the limits on accelerators and on cpu."""
    contract = account.contract
    accelerators = account.burst_accelerators + shape.accelerators
    cpu_millis = account.burst_cpu_millis + shape.total.cpu_millis
    return (
        shape.accelerators > 0 and accelerators > contract.burst_accelerators,
        shape.member.cpu_millis > 0 and cpu_millis > contract.burst_cpu_millis,
    )


def avoids_reservations_until_us(job):
    """Returns until when a preempted job is placed on clear places only; 0 for others."""
    if job.preempted_by is None:
        return 0
    seconds = FIRST_AVOIDANCE_SECONDS * 2 ** min(job.attempt - 2, 8)
    return job.not_before_us + int(min(seconds, LONGEST_AVOIDANCE_SECONDS) * 1e6)


def share(account, accelerators, cpu_millis):
    """Returns the account's larger share of burst capacity, divided by its weight."""
    used = max(
        account.burst_accelerators / max(1, accelerators),
        account.burst_cpu_millis / max(1, cpu_millis),
    )
    return used / max(1, account.contract.weight)


class BurstPass:
    """One pass over the queued jobs: due jobs first, then accounts by their weighted share."""

    def __init__(self, batch, view):
        self._batch = batch
        self._now_us = batch.now_us
        self._ledger = batch.ledger
        self._view = view
        self._holds = []
        self._failed = {}
        self._closed = {}
        self._placed = 0
        live = [w.capacity for w in self._ledger.workers.values() if w.live]
        self._accelerators = sum(c.accelerators for c in live)
        self._cpu_millis = sum(c.cpu_millis for c in live)

    def run(self):
        """Emits the placements."""
        self._place_due()
        self._hold_largest()
        self._place_shares()

    def preview(self):
        """Returns the holds of the jobs that cannot be placed now, without placing any."""
        for job in self._due_jobs():
            if self._find(job, self._holds) is None:
                self._block(job)
        self._hold_largest()
        return self._holds

    def _place_due(self):
        for job in self._due_jobs():
            if self._placed >= PLACEMENTS_PER_PASS:
                return
            if not self._try(job, "due"):
                self._block(job)

    def _due_jobs(self):
        """Yields the jobs that precede all others, the first due first."""
        now = self._now_us
        heap = []
        for name, groups in self._view.backlog.accounts.items():
            for index, group in enumerate(groups):
                if group.due_us <= now:
                    heap.append((*group.jobs[0][:2], name, index, 0))
        heapq.heapify(heap)
        while heap:
            _, _, name, index, position = heap[0]
            group = self._view.backlog.groups(name)[index]
            yield group.jobs[position][2]
            position += 1
            if position < len(group.jobs) and group.jobs[position][0] <= now:
                entry = (*group.jobs[position][:2], name, index, position)
                heapq.heapreplace(heap, entry)
            else:
                heapq.heappop(heap)

    def _block(self, job):
        """Keeps younger jobs from what a due job waits for."""
        if job.state != JOB_STATE_QUEUED or job.not_before_us > self._now_us:
            return
        account = self._ledger.accounts[job.key.account]
        over = over_limit(account, job.shape)
        if any(over):
            contract = account.contract
            fits_alone = (
                job.shape.accelerators <= contract.burst_accelerators
                and job.shape.total.cpu_millis <= contract.burst_cpu_millis
            )
            if fits_alone and account.name not in self._closed:
                self._closed[account.name] = over
        elif not self._holds and avoids_reservations_until_us(job) <= self._now_us:
            hold = find_hold(self._view, job, self._now_us, strict=True)
            if hold is not None:
                self._holds.append(hold)

    def _hold_largest(self):
        groups = [g for groups in self._view.backlog.accounts.values() for g in groups]
        largest = heapq.nsmallest(
            GANGS_TRIED, filter(self._may_hold, groups), key=lambda g: g.size_key
        )
        taken = {worker_id for hold in self._holds for worker_id in hold.spare}
        for group in largest:
            job = self._first_waiting(group)
            if any(hold.job is job for hold in self._holds):
                return
            hold = find_hold(self._view, job, self._now_us, taken=taken)
            if hold is not None:
                self._holds.append(hold)
                return

    def _may_hold(self, group):
        if any(over_limit(self._ledger.accounts[group.account], group.shape)):
            return False
        return self._first_waiting(group) is not None

    def _first_waiting(self, group):
        for _, _, job in group.jobs:
            start_us = max(job.not_before_us, avoids_reservations_until_us(job))
            if job.state == JOB_STATE_QUEUED and start_us <= self._now_us:
                return job
        return None

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
            if any(over_limit(self._ledger.accounts[name], group.shape)):
                continue
            for _, _, job in group.jobs:
                if self._try(job, "fair_share"):
                    return True
        return False

    def _share(self, name):
        return share(self._ledger.accounts[name], self._accelerators, self._cpu_millis)

    def _try(self, job, reason):
        if job.state != JOB_STATE_QUEUED or job.not_before_us > self._now_us:
            return False
        account = self._ledger.accounts[job.key.account]
        if any(over_limit(account, job.shape)) or self._is_closed(account, job):
            return False
        end_us = self._now_us + int(estimated_seconds(self._ledger, job) * 1e6)
        binding = [hold for hold in self._holds if hold.binds(job, end_us)]
        workers = self._find(job, binding)
        if workers is None:
            return False
        if len(binding) < sum(hold.job is not job for hold in self._holds):
            reason = "backfill"
        self._batch.emit(
            job_placed={
                "job": job.key.to_message(),
                "attempt": job.attempt,
                "workers": workers,
                "reason": reason,
            }
        )
        for hold in binding:
            hold.use(workers, job.shape.member)
        self._holds = [hold for hold in self._holds if hold.job is not job]
        self._view.sync_workers()
        self._placed += 1
        return True

    def _is_closed(self, account, job):
        accelerators, cpu = self._closed.get(account.name, (False, False))
        return (accelerators and job.shape.accelerators > 0) or cpu

    def _find(self, job, binding):
        mode = "free"
        if not job.spec.repeatable:
            mode = "fixed"
        elif avoids_reservations_until_us(job) > self._now_us:
            mode = "clear"
        held = tuple(id(hold) for hold in binding)
        if self._ruled_out(job.shape, mode, held):
            return None
        spare = _least_spare(binding)
        levels = (self._view.clear, self._view.free)
        if mode != "free":
            levels = (getattr(self._view, mode),)
        avoid = frozenset(job.failed_workers)
        for avoided in (avoid, frozenset()) if avoid else (avoid,):
            for capacity in levels:
                workers = capacity.find(job.shape, spare, avoided)
                if workers is not None:
                    return workers
        self._failed.setdefault((mode, held), []).append(job.shape)
        return None

    def _ruled_out(self, shape, mode, held):
        # what fits nowhere rules out all that needs at least as much
        return any(
            shape.covers(failed)
            for kept_mode in {mode, "free"}
            for kept_held in {held, ()}
            for failed in self._failed.get((kept_mode, kept_held), ())
        )


def _least_spare(holds):
    if not holds:
        return None
    spare = dict(holds[0].spare)
    for hold in holds[1:]:
        for worker_id, amounts in hold.spare.items():
            known = spare.get(worker_id)
            spare[worker_id] = amounts if known is None else tuple(map(min, known, amounts))
    return spare
