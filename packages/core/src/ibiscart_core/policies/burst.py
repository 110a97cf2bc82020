"""
ibiscart_core.policies.burst
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Places queued jobs that run without a guarantee.
"""

import heapq

from ibiscart_core.policies.hold import min_extra_capacity, plan_backfill_reservation
from ibiscart_core.policies.reclaim import is_large_gang, preempt_for_gang, preemption_allowed_at_us
from ibiscart_schema.generated.journal_pb2 import JOB_STATE_QUEUED

__all__ = ["BurstPass", "preemption_backoff_until_us"]

# limit on the placements in one record; the next batch places the remaining jobs
MAX_PLACEMENTS_PER_PASS = 200
# with more job classes, trying the jobs takes less time than checking whether each class fits
MAX_CLASSES_PROBED = 64
# limit on the gangs that are tried in one pass for preemption or for a backfill reservation
MAX_GANGS_TRIED = 4
# Share of the accelerators that stays free for short jobs; long jobs that are not large gangs
# cannot use it. If long jobs used all accelerators, short jobs would wait until one ends.
SHORT_JOB_RESERVE_SHARE = 0.04
# A short job reserve of fewer accelerators than this is not kept: where long jobs use entire
# workers, even a reserve of one accelerator keeps a whole worker idle.
MIN_SHORT_JOB_RESERVE = 4
SHORT_JOB_MAX_SECONDS = 120
# Time for which a preempted job is not placed on unclaimed guarantee reservations. It grows with
# each attempt, otherwise frequent short claims would preempt the job repeatedly. It starts low,
# because one preemption is weak evidence of more, and a longer time at first can leave a job
# waiting for a minute beside idle capacity.
PREEMPTION_BACKOFF_INITIAL_SECONDS = 5
PREEMPTION_BACKOFF_FACTOR = 4
PREEMPTION_BACKOFF_MAX_SECONDS = 1800


def preemption_backoff_until_us(job):
    """Returns until when a preempted job may use only unreserved capacity; 0 for other jobs.

    The time is in microseconds since the epoch.
    """
    if job.preempted_by is None:
        return 0
    seconds = PREEMPTION_BACKOFF_INITIAL_SECONDS * PREEMPTION_BACKOFF_FACTOR ** min(
        job.attempt - 2, 8
    )
    return job.not_before_us + int(min(seconds, PREEMPTION_BACKOFF_MAX_SECONDS) * 1e6)


class BurstPass:
    """One pass over the queued jobs: due jobs first, then accounts by weighted fair share."""

    def __init__(self, batch, index):
        self._batch = batch
        self._now_us = batch.now_us
        self._ledger = batch.ledger
        self._index = index
        # backfill reservations of this pass
        self._reservations = []
        self._reserving_groups = set()
        # (class, mask of the applicable backfill reservations) that cannot be placed in this pass
        self._unplaceable = set()
        # Shapes that did not fit, by (name of the searched capacity, mask of the backfill
        # reservations that apply to the job). The capacity is "free" (no task uses it), "clear"
        # (no guarantee reservation needs it either) or "fixed" (non-preemptible jobs can use it);
        # see LedgerIndex.
        self._infeasible_shapes = {}
        # (accelerators, cpu) by account, True for each burst limit that a due job waits for
        self._blocked_limits = {}
        self._placed = 0
        self._long_job_capacity = _long_job_capacity(self._ledger)

    def run(self):
        """Emits the placement and preemption events of the pass."""
        for group, job in self._due_jobs():
            if self._placed >= MAX_PLACEMENTS_PER_PASS:
                break
            if not self._try_place(group, job, "due"):
                self._reserve_for_due_job(group, job)
        self._preempt_for_gangs()
        self._reserve_for_largest_gang()
        self._place_by_fair_share()

    def preview(self):
        """Returns the backfill reservations that a pass would make now, without placing a job."""
        for group, job in self._due_jobs():
            if (
                not self._may_start_now(job)
                or self._find_workers(group, job, self._reservations) is None
            ):
                self._reserve_for_due_job(group, job)
        self._reserve_for_largest_gang()
        return self._reservations

    def _due_jobs(self):
        """Yields (group, job) of the jobs that are due, in the order of their due times."""
        now = self._now_us
        heap = []
        for name, groups in self._index.backlog.accounts.items():
            for number, group in enumerate(groups):
                if group.due_us > now:
                    break
                heap.append((*group.jobs[0][:2], name, number, 0))
        heapq.heapify(heap)
        while heap:
            _, _, name, number, position = heap[0]
            group = self._index.backlog.groups(name)[number]
            yield group, group.jobs[position][2]
            position += 1
            more_due = position < len(group.jobs) and group.jobs[position][0] <= now
            if more_due and (group.job_class, 0) not in self._unplaceable:
                entry = (*group.jobs[position][:2], name, number, position)
                heapq.heapreplace(heap, entry)
            else:
                heapq.heappop(heap)

    def _reserve_for_due_job(self, group, job):
        """Keeps younger jobs from using the capacity or account limit that a due job waits for."""
        if not self._may_start_now(job):
            return
        account = self._ledger.accounts[group.account]
        job_class = group.job_class
        exceeded = job_class.limits_exceeded(account)
        if any(exceeded):
            contract = account.contract
            fits_when_idle = (
                job_class.accelerators <= contract.burst_accelerators
                and job_class.cpu_millis <= contract.burst_cpu_millis
            )
            if fits_when_idle and account.name not in self._blocked_limits:
                self._blocked_limits[account.name] = exceeded
        elif not self._reservations and preemption_backoff_until_us(job) <= self._now_us:
            self._add_backfill_reservation(
                group, plan_backfill_reservation(self._index, job, self._now_us, exclusive=True)
            )

    def _preempt_for_gangs(self):
        """Places at most one large gang that has waited long enough to preempt other jobs."""
        overdue = []
        for job_class in self._index.backlog.classes:
            if not job_class.repeatable or not is_large_gang(job_class.shape):
                continue
            group, job = self._first_startable_job(job_class)
            if job is None or preemption_allowed_at_us(job, group.seconds) > self._now_us:
                continue
            waited = (self._now_us - job.submitted_us) / max(1.0, group.seconds)
            overdue.append((-waited, job.key.sort_key(), group, job))
        excluded_workers = {worker_id for r in self._reservations for worker_id in r.extra_capacity}
        for _, _, group, job in sorted(overdue)[:MAX_GANGS_TRIED]:
            if self._try_place(group, job, "fair_share"):
                return
            workers = preempt_for_gang(
                self._batch, self._index.preemptible_capacity, job, group.seconds, excluded_workers
            )
            if workers is not None:
                self._place(job, workers, "gang_preempts")
                return

    def _reserve_for_largest_gang(self):
        """Adds a backfill reservation for the largest gang for which one can be planned.

        Gangs are tried from the largest on, up to the first that already has a reservation.
        """
        excluded_workers = {worker_id for r in self._reservations for worker_id in r.extra_capacity}
        tried = 0
        for job_class in self._index.backlog.classes:
            group, job = self._first_startable_job(job_class)
            if job is None:
                continue
            if any(r.job is job for r in self._reservations):
                return
            if self._add_backfill_reservation(
                group,
                plan_backfill_reservation(
                    self._index, job, self._now_us, excluded_workers=excluded_workers
                ),
            ):
                return
            tried += 1
            if tried == MAX_GANGS_TRIED:
                return

    def _add_backfill_reservation(self, group, reservation):
        """Adds a reservation for a job of the group; returns False if ``reservation`` is None."""
        if reservation is None:
            return False
        reservation.mask = 1 << len(self._reserving_groups)
        self._reservations.append(reservation)
        self._reserving_groups.add(group)
        return True

    def _first_startable_job(self, job_class):
        """Returns (group, job) with the earliest due time that waits only for capacity."""
        first = None
        for name, groups in job_class.groups.items():
            if any(job_class.limits_exceeded(self._ledger.accounts[name])):
                continue
            for group in groups:
                if first is not None and (*group.jobs[0][:2], name) >= first[:3]:
                    continue
                for due_us, request_id, job in group.jobs:
                    if (
                        self._may_start_now(job)
                        and preemption_backoff_until_us(job) <= self._now_us
                    ):
                        entry = (due_us, request_id, name, group, job)
                        first = entry if first is None else min(first, entry)
                        break
        return (None, None) if first is None else first[3:]

    def _place_by_fair_share(self):
        """Places jobs, each for the account with the smallest weighted dominant share."""
        live = [w.capacity for w in self._ledger.workers.values() if w.live]
        totals = (sum(c.accelerators for c in live), sum(c.cpu_millis for c in live))
        heap = [
            (self._weighted_dominant_share(name, totals), name)
            for name in self._candidate_accounts()
        ]
        heapq.heapify(heap)
        while heap and self._placed < MAX_PLACEMENTS_PER_PASS:
            _, name = heap[0]
            if self._place_next_job(name):
                heapq.heapreplace(heap, (self._weighted_dominant_share(name, totals), name))
            else:
                heapq.heappop(heap)

    def _candidate_accounts(self):
        """Returns the names of the accounts with a job of a class that fits now."""
        classes = self._index.backlog.classes
        if len(classes) > MAX_CLASSES_PROBED:
            return list(self._index.backlog.accounts)
        names = set()
        # small gangs first: if a small shape does not fit, larger ones need no search
        for job_class in reversed(classes):
            if self._fits_now(job_class):
                names.update(job_class.groups)
        return names

    def _fits_now(self, job_class):
        """Returns True if a job of the class fits, without regard to backfill reservations."""
        capacity_name = "free" if job_class.repeatable else "fixed"
        if (job_class, 0) in self._unplaceable:
            return False
        if not self._is_known_infeasible(job_class.shape, capacity_name, 0):
            if getattr(self._index, capacity_name).find(job_class.shape) is not None:
                return True
            self._add_infeasible_shape(job_class.shape, capacity_name, 0)
        self._unplaceable.add((job_class, 0))
        return False

    def _weighted_dominant_share(self, name, totals):
        """Returns the account's dominant share of the live workers, divided by its weight.

        The dominant share is the larger one of its shares of accelerators and of cores. ``totals``
        is (accelerators, millicores) of the live workers.
        """
        account = self._ledger.accounts[name]
        used = max(
            account.burst_accelerators / max(1, totals[0]),
            account.burst_cpu_millis / max(1, totals[1]),
        )
        return used / max(1, account.contract.weight)

    def _place_next_job(self, name):
        """Places the first job of the account that fits; returns True if there is one."""
        account = self._ledger.accounts[name]
        for group in self._index.backlog.groups(name):
            if self._is_unplaceable(group) or any(group.job_class.limits_exceeded(account)):
                continue
            if self.blocked_by_short_job_reserve(group.job_class.shape, group.seconds):
                continue
            for _, _, job in group.jobs:
                if self._try_place(group, job, "fair_share"):
                    return True
                # jobs of a group have the same shape, so no other one fits either, unless a
                # preemption backoff kept this job from reserved capacity that others may use
                if self._may_start_now(job) and preemption_backoff_until_us(job) <= self._now_us:
                    break
        return False

    def _is_unplaceable(self, group):
        """Returns True if no job of the group fits, by the searches of this pass so far."""
        if (group.job_class, 0) in self._unplaceable:
            return True
        if not self._reservations or group in self._reserving_groups:
            return False
        return (group.job_class, self._reservation_mask(group)) in self._unplaceable

    def _reservation_mask(self, group):
        """Returns the mask of the backfill reservations that apply to jobs of the group."""
        end_us = self._now_us + int(group.seconds * 1e6)
        return sum(r.mask for r in self._reservations if r.applies_to(None, end_us))

    def _may_start_now(self, job):
        """Returns True if the job is queued and its backoff has ended."""
        return job.state == JOB_STATE_QUEUED and job.not_before_us <= self._now_us

    def _try_place(self, group, job, reason):
        """Places the job if it may start now and fits; returns True if it was placed.

        ``reason`` is recorded with the placement. It becomes "backfill" if the job may use capacity
        of a backfill reservation because it ends before the reservation starts.
        """
        if not self._may_start_now(job) or (group.job_class, 0) in self._unplaceable:
            return False
        account = self._ledger.accounts[group.account]
        if any(group.job_class.limits_exceeded(account)) or self._is_limit_blocked(account, group):
            return False
        end_us = self._now_us + int(group.seconds * 1e6)
        applicable = [r for r in self._reservations if r.applies_to(job, end_us)]
        workers = self._find_workers(group, job, applicable)
        if workers is None:
            return False
        if len(applicable) < sum(r.job is not job for r in self._reservations):
            reason = "backfill"
        self._place(job, workers, reason)
        for reservation in applicable:
            reservation.subtract(workers, job.shape.member)
        return True

    def _place(self, job, workers, reason):
        """Emits the placement and updates the index and the totals of the pass."""
        self._batch.emit(
            job_placed={
                "job": job.key.to_message(),
                "attempt": job.attempt,
                "workers": workers,
                "reason": reason,
            }
        )
        self._reservations = [r for r in self._reservations if r.job is not job]
        self._index.sync_workers()
        self._long_job_capacity -= job.shape.accelerators
        self._placed += 1

    def blocked_by_short_job_reserve(self, shape, seconds):
        """Returns True if a job of this shape would use the accelerators kept for short jobs.

        ``seconds`` is its estimated remaining run time.
        """
        if seconds <= SHORT_JOB_MAX_SECONDS or is_large_gang(shape) or not shape.accelerators:
            return False
        return shape.accelerators > self._long_job_capacity

    def _is_limit_blocked(self, account, group):
        """Returns True if a due job of the account waits for a burst limit that the group needs."""
        accelerators, cpu = self._blocked_limits.get(account.name, (False, False))
        return (accelerators and group.job_class.accelerators > 0) or cpu

    def _find_workers(self, group, job, applicable):
        """Returns one worker id per member of the job, or None if it does not fit.

        ``applicable`` lists the backfill reservations of which it may use only the extra capacity.
        """
        capacity_name = "free"
        if not job.spec.repeatable:
            capacity_name = "fixed"
        elif preemption_backoff_until_us(job) > self._now_us:
            capacity_name = "clear"
        reservation_mask = sum(r.mask for r in applicable)
        if self._is_known_infeasible(job.shape, capacity_name, reservation_mask):
            self._mark_class_unplaceable(group, job.shape, capacity_name, reservation_mask)
            return None
        extra_capacity = min_extra_capacity(applicable)
        capacities = (self._index.clear, self._index.free)
        if capacity_name != "free":
            capacities = (getattr(self._index, capacity_name),)
        failed_workers = frozenset(job.failed_workers)
        for excluded in (failed_workers, frozenset()) if failed_workers else (failed_workers,):
            for capacity in capacities:
                workers = capacity.find(job.shape, extra_capacity, excluded)
                if workers is not None:
                    return workers
        self._add_infeasible_shape(job.shape, capacity_name, reservation_mask)
        self._mark_class_unplaceable(group, job.shape, capacity_name, reservation_mask)
        return None

    def _add_infeasible_shape(self, shape, capacity_name, reservation_mask):
        """Records that ``shape`` did not fit, in place of the recorded shapes that cover it."""
        infeasible = self._infeasible_shapes.get((capacity_name, reservation_mask), ())
        self._infeasible_shapes[(capacity_name, reservation_mask)] = [
            f for f in infeasible if not f.covers(shape)
        ] + [shape]

    def _mark_class_unplaceable(self, group, shape, capacity_name, reservation_mask):
        """Skips the job class of ``group`` for the rest of the pass.

        The class is skipped only where the backfill reservations of ``reservation_mask`` apply,
        unless the shape does not fit without them either. Nothing is skipped if a preemption
        backoff limited the search to the capacity ``clear``.
        """
        if capacity_name != "clear":
            self._unplaceable.add((group.job_class, reservation_mask))
            if reservation_mask and self._is_known_infeasible(shape, capacity_name, 0):
                self._unplaceable.add((group.job_class, 0))

    def _is_known_infeasible(self, shape, capacity_name, reservation_mask):
        """Returns True if a search of this pass shows that ``shape`` does not fit."""
        # a shape cannot fit if one that needs no more of any resource did not fit
        for known_mask in (0, reservation_mask) if reservation_mask else (0,):
            for known_name in ("free", capacity_name) if capacity_name != "free" else ("free",):
                for infeasible in self._infeasible_shapes.get((known_name, known_mask), ()):
                    if shape.covers(infeasible):
                        return True
        return False


def _long_job_capacity(ledger):
    """Returns the number of free accelerators beyond the reserve for short jobs."""
    live = [worker for worker in ledger.workers.values() if worker.accepts]
    total = sum(worker.capacity.accelerators for worker in live)
    free = sum(max(0, worker.free.accelerators) for worker in live)
    reserve = int(SHORT_JOB_RESERVE_SHARE * total)
    return free - reserve if reserve >= MIN_SHORT_JOB_RESERVE else free
