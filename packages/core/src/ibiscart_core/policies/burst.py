"""
ibiscart_core.policies.burst
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Places queued jobs that run without a guarantee.
"""

import heapq

from ibiscart_core.policies.hold import find_hold, least_spare
from ibiscart_core.policies.reclaim import is_large, reclaim_places, reclaims_from_us
from ibiscart_schema.generated.journal_pb2 import JOB_STATE_QUEUED

__all__ = ["BurstPass", "avoids_reservations_until_us"]

# one record holds at most this many placements; the next batch goes on
PLACEMENTS_PER_PASS = 200
# with more classes than this it takes longer to probe each than to try the jobs
CLASSES_PROBED = 64
# gangs for which an earliest start is worked out, until one has any
GANGS_TRIED = 4
# Share of the accelerators that long work other than large gangs leaves free for short work.
# When all places are taken by work that does not end for long, short work waits as long.
SHORT_LANE_SHARE = 0.04
# a lane smaller than this keeps a whole worker idle where jobs take whole workers
LEAST_SHORT_LANE = 4
SHORT_SECONDS = 120
# a preempted job keeps off unclaimed reservations for so long, four times as long each time:
# otherwise claims that come and go would stop it again and again. The first time is short,
# because one preemption says little: a job may wait for a minute beside idle places.
FIRST_AVOIDANCE_SECONDS = 5
AVOIDANCE_GROWTH = 4
LONGEST_AVOIDANCE_SECONDS = 1800


def avoids_reservations_until_us(job):
    """Returns until when a preempted job is placed on clear places only; 0 for others."""
    if job.preempted_by is None:
        return 0
    seconds = FIRST_AVOIDANCE_SECONDS * AVOIDANCE_GROWTH ** min(job.attempt - 2, 8)
    return job.not_before_us + int(min(seconds, LONGEST_AVOIDANCE_SECONDS) * 1e6)


class BurstPass:
    """One pass over the queued jobs: due jobs first, then accounts by their weighted share."""

    def __init__(self, batch, view):
        self._batch = batch
        self._now_us = batch.now_us
        self._ledger = batch.ledger
        self._view = view
        self._holds = []
        self._holders = set()
        # (class, bits of the binding holds) that found no place in this pass
        self._dead = set()
        self._failed = {}
        self._closed = {}
        self._placed = 0
        self._long_room = _long_room(self._ledger)

    def run(self):
        """Emits the placements."""
        for group, job in self._due_jobs():
            if self._placed >= PLACEMENTS_PER_PASS:
                break
            if not self._try(group, job, "due"):
                self._block(group, job)
        self._reclaim()
        self._hold_largest()
        self._place_shares()

    def preview(self):
        """Returns the holds of the jobs that cannot be placed now, without placing any."""
        for group, job in self._due_jobs():
            if not self._waits(job) or self._find(group, job, self._holds) is None:
                self._block(group, job)
        self._hold_largest()
        return self._holds

    def _due_jobs(self):
        """Yields the groups and jobs that precede all others, the first due first."""
        now = self._now_us
        heap = []
        for name, groups in self._view.backlog.accounts.items():
            for index, group in enumerate(groups):
                if group.due_us > now:
                    break
                heap.append((*group.jobs[0][:2], name, index, 0))
        heapq.heapify(heap)
        while heap:
            _, _, name, index, position = heap[0]
            group = self._view.backlog.groups(name)[index]
            yield group, group.jobs[position][2]
            position += 1
            rest = position < len(group.jobs) and group.jobs[position][0] <= now
            if rest and (group.job_class, 0) not in self._dead:
                entry = (*group.jobs[position][:2], name, index, position)
                heapq.heapreplace(heap, entry)
            else:
                heapq.heappop(heap)

    def _block(self, group, job):
        """Keeps younger jobs from what a due job waits for."""
        if not self._waits(job):
            return
        account = self._ledger.accounts[group.account]
        job_class = group.job_class
        over = job_class.over_limit(account)
        if any(over):
            contract = account.contract
            fits_alone = (
                job_class.accelerators <= contract.burst_accelerators
                and job_class.cpu_millis <= contract.burst_cpu_millis
            )
            if fits_alone and account.name not in self._closed:
                self._closed[account.name] = over
        elif not self._holds and avoids_reservations_until_us(job) <= self._now_us:
            self._add_hold(group, find_hold(self._view, job, self._now_us, strict=True))

    def _reclaim(self):
        """Places large gangs that have waited long for their run time, by preemption."""
        late = []
        for job_class in self._view.backlog.classes:
            if not job_class.repeatable or not is_large(job_class.shape):
                continue
            group, job = self._first_of(job_class)
            if job is None or reclaims_from_us(job, group.seconds) > self._now_us:
                continue
            waited = (self._now_us - job.submitted_us) / max(1.0, group.seconds)
            late.append((-waited, job.key.sort_key(), group, job))
        taken = {worker_id for hold in self._holds for worker_id in hold.spare}
        for _, _, group, job in sorted(late)[:GANGS_TRIED]:
            if self._try(group, job, "fair_share"):
                return
            workers = reclaim_places(self._batch, self._view.clearable, job, group.seconds, taken)
            if workers is not None:
                self._place(job, workers, "gang_preempts")
                return

    def _hold_largest(self):
        taken = {worker_id for hold in self._holds for worker_id in hold.spare}
        tried = 0
        for job_class in self._view.backlog.classes:
            group, job = self._first_of(job_class)
            if job is None:
                continue
            if any(hold.job is job for hold in self._holds):
                return
            if self._add_hold(group, find_hold(self._view, job, self._now_us, taken=taken)):
                return
            tried += 1
            if tried == GANGS_TRIED:
                return

    def _add_hold(self, group, hold):
        if hold is None:
            return False
        hold.bit = 1 << len(self._holders)
        self._holds.append(hold)
        self._holders.add(group)
        return True

    def _first_of(self, job_class):
        """Returns group and job of the first due job of a class that waits only for places."""
        first = None
        for name, groups in job_class.groups.items():
            if any(job_class.over_limit(self._ledger.accounts[name])):
                continue
            for group in groups:
                if first is not None and (*group.jobs[0][:2], name) >= first[:3]:
                    continue
                for due_us, request_id, job in group.jobs:
                    if self._waits(job) and avoids_reservations_until_us(job) <= self._now_us:
                        entry = (due_us, request_id, name, group, job)
                        first = entry if first is None else min(first, entry)
                        break
        return (None, None) if first is None else first[3:]

    def _place_shares(self):
        live = [w.capacity for w in self._ledger.workers.values() if w.live]
        whole = (sum(c.accelerators for c in live), sum(c.cpu_millis for c in live))
        heap = [(self._share(name, whole), name) for name in self._candidates()]
        heapq.heapify(heap)
        while heap and self._placed < PLACEMENTS_PER_PASS:
            _, name = heap[0]
            if self._place_next(name):
                heapq.heapreplace(heap, (self._share(name, whole), name))
            else:
                heapq.heappop(heap)

    def _candidates(self):
        """Returns the accounts with a job of a class that fits somewhere now."""
        classes = self._view.backlog.classes
        if len(classes) > CLASSES_PROBED:
            return list(self._view.backlog.accounts)
        names = set()
        # small gangs first: what they cannot find rules out the larger ones
        for job_class in reversed(classes):
            if self._fits(job_class):
                names.update(job_class.groups)
        return names

    def _fits(self, job_class):
        mode = "free" if job_class.repeatable else "fixed"
        if (job_class, 0) in self._dead:
            return False
        if not self._ruled_out(job_class.shape, mode, 0):
            if getattr(self._view, mode).find(job_class.shape) is not None:
                return True
            self._fail(job_class.shape, mode, 0)
        self._dead.add((job_class, 0))
        return False

    def _share(self, name, whole):
        """Returns the account's larger share of the live workers, divided by its weight."""
        account = self._ledger.accounts[name]
        used = max(
            account.burst_accelerators / max(1, whole[0]),
            account.burst_cpu_millis / max(1, whole[1]),
        )
        return used / max(1, account.contract.weight)

    def _place_next(self, name):
        """Places the account's first job that can be placed; tells whether there is one."""
        account = self._ledger.accounts[name]
        for group in self._view.backlog.groups(name):
            if self._is_dead(group) or any(group.job_class.over_limit(account)):
                continue
            if self.keeps_off_lane(group.job_class.shape, group.seconds):
                continue
            for _, _, job in group.jobs:
                if self._try(group, job, "fair_share"):
                    return True
                # the other jobs of the group find no place either, but for a preempted one
                if self._waits(job) and avoids_reservations_until_us(job) <= self._now_us:
                    break
        return False

    def _is_dead(self, group):
        if (group.job_class, 0) in self._dead:
            return True
        if not self._holds or group in self._holders:
            return False
        return (group.job_class, self._bits(group)) in self._dead

    def _bits(self, group):
        end_us = self._now_us + int(group.seconds * 1e6)
        return sum(hold.bit for hold in self._holds if hold.binds(None, end_us))

    def _waits(self, job):
        return job.state == JOB_STATE_QUEUED and job.not_before_us <= self._now_us

    def _try(self, group, job, reason):
        if not self._waits(job) or (group.job_class, 0) in self._dead:
            return False
        account = self._ledger.accounts[group.account]
        if any(group.job_class.over_limit(account)) or self._is_closed(account, group):
            return False
        end_us = self._now_us + int(group.seconds * 1e6)
        binding = [hold for hold in self._holds if hold.binds(job, end_us)]
        workers = self._find(group, job, binding)
        if workers is None:
            return False
        if len(binding) < sum(hold.job is not job for hold in self._holds):
            reason = "backfill"
        self._place(job, workers, reason)
        for hold in binding:
            hold.use(workers, job.shape.member)
        return True

    def _place(self, job, workers, reason):
        self._batch.emit(
            job_placed={
                "job": job.key.to_message(),
                "attempt": job.attempt,
                "workers": workers,
                "reason": reason,
            }
        )
        self._holds = [hold for hold in self._holds if hold.job is not job]
        self._view.sync_workers()
        self._long_room -= job.shape.accelerators
        self._placed += 1

    def keeps_off_lane(self, shape, seconds):
        """Tells whether a job must leave what is free to short work."""
        if seconds <= SHORT_SECONDS or is_large(shape) or not shape.accelerators:
            return False
        return shape.accelerators > self._long_room

    def _is_closed(self, account, group):
        accelerators, cpu = self._closed.get(account.name, (False, False))
        return (accelerators and group.job_class.accelerators > 0) or cpu

    def _find(self, group, job, binding):
        mode = "free"
        if not job.spec.repeatable:
            mode = "fixed"
        elif avoids_reservations_until_us(job) > self._now_us:
            mode = "clear"
        bits = sum(hold.bit for hold in binding)
        if self._ruled_out(job.shape, mode, bits):
            self._note_failure(group, job.shape, mode, bits)
            return None
        spare = least_spare(binding)
        levels = (self._view.clear, self._view.free)
        if mode != "free":
            levels = (getattr(self._view, mode),)
        avoid = frozenset(job.failed_workers)
        for avoided in (avoid, frozenset()) if avoid else (avoid,):
            for capacity in levels:
                workers = capacity.find(job.shape, spare, avoided)
                if workers is not None:
                    return workers
        self._fail(job.shape, mode, bits)
        self._note_failure(group, job.shape, mode, bits)
        return None

    def _fail(self, shape, mode, bits):
        failed = self._failed.get((mode, bits), ())
        self._failed[(mode, bits)] = [f for f in failed if not f.covers(shape)] + [shape]

    def _note_failure(self, group, shape, mode, bits):
        if mode != "clear":
            self._dead.add((group.job_class, bits))
            if bits and self._ruled_out(shape, mode, 0):
                self._dead.add((group.job_class, 0))

    def _ruled_out(self, shape, mode, bits):
        # what fits nowhere rules out all that needs at least as much
        for kept_bits in (0, bits) if bits else (0,):
            for kept_mode in ("free", mode) if mode != "free" else ("free",):
                for failed in self._failed.get((kept_mode, kept_bits), ()):
                    if shape.covers(failed):
                        return True
        return False


def _long_room(ledger):
    """Returns the free accelerators beyond those kept for short work."""
    live = [worker for worker in ledger.workers.values() if worker.accepts]
    total = sum(worker.capacity.accelerators for worker in live)
    free = sum(max(0, worker.free.accelerators) for worker in live)
    lane = int(SHORT_LANE_SHARE * total)
    return free - lane if lane >= LEAST_SHORT_LANE else free
