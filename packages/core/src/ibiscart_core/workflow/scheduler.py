"""
ibiscart_core.workflow.scheduler
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Decides which units start on which workers, and which are stopped for others.
"""

from ibiscart_core.workflow.backfill import FutureStarts, PromiseBudget
from ibiscart_core.workflow.headroom import Headroom
from ibiscart_core.workflow.ordering import JobRanking, cores_of, share_of, unit_age_seconds
from ibiscart_core.workflow.placement import PoolCapacity
from ibiscart_core.workflow.preemption import choose_victims
from ibiscart_core.workflow.shares import AccountShares
from ibiscart_core.workflow.unit import Allocation, UnitState

__all__ = ["Scheduler", "StartDecision", "StopDecision"]

# time that a guaranteed unit waits for capacity to become free before other work is stopped
PREEMPT_AFTER_SECONDS = 0.2
# largest slack at which a unit without a guarantee stops work of lower priority: a stop takes up
# to 0.9 s, and the start order up to 0.5 s
PREEMPT_SLACK_MS = 1400
# time that workers stay reserved for a unit; the runs stopped for the unit have ended by then
RESERVATION_SECONDS = 2.5
# credit that the users' accounting deducts for each core-second of lost work
WASTE_PER_CORE_SECOND = 0.001
# a task outside its rack runs several times longer, so a unit that fits on its rack waits for the
# rack at least for SPREAD_AFTER_SECONDS, and until SPREAD_FREE_SHARE of the pool is free, so that
# the slower run delays no other unit
SPREAD_AFTER_SECONDS = 1.0
SPREAD_FREE_SHARE = 0.5
# largest share of suspect workers in a pool; with more, the jobs are assumed to cause the
# failures, as a fault of workers affects about 15 % of them
MAX_SUSPECT_SHARE = 0.3
# priority of urgent jobs; only these can be guaranteed
URGENT_PRIORITY = 0


class StartDecision:
    """A unit to start; ``allocations`` maps task indexes to ``Allocation`` objects."""

    __slots__ = ("allocations", "reason", "unit")

    def __init__(self, unit, allocations, reason):
        self.unit = unit
        self.allocations = allocations
        self.reason = reason


class StopDecision:
    """A unit to stop; ``beneficiary`` is the unit that gets the freed resources, or None."""

    __slots__ = ("beneficiary", "reason", "unit")

    def __init__(self, unit, reason, beneficiary=None):
        self.unit = unit
        self.reason = reason
        self.beneficiary = beneficiary


class _PoolPass:
    """State of one planning pass over one pool, with its decisions in ``starts`` and ``stops``.

    ``ranks`` maps job ids to (priority of the queue, ``JobRank``). ``blocked`` has the
    ``equivalence_key`` of units that cannot be placed in this pass, ``started_early`` the keys of
    those that were placed ahead of the order of the jobs.
    """

    __slots__ = (
        "blocked",
        "free_capacity",
        "free_share",
        "guaranteed_jobs",
        "now",
        "pool",
        "promise_budget",
        "ranks",
        "start_window",
        "started_early",
        "starts",
        "stops",
    )

    def __init__(
        self, pool, now, free_capacity, free_share, guaranteed_jobs, ranks, promise_budget, window
    ):
        self.pool = pool
        self.now = now
        self.free_capacity = free_capacity
        self.free_share = free_share
        self.guaranteed_jobs = guaranteed_jobs
        self.ranks = ranks
        self.promise_budget = promise_budget
        self.start_window = window
        self.blocked = set()
        self.started_early = set()
        self.starts, self.stops = [], []

    @property
    def mostly_free(self):
        """True while half of the pool's capacity or more is free."""
        return self.free_share >= SPREAD_FREE_SHARE


class Scheduler:
    """Places waiting units on the workers of ``fleet``, pool by pool.

    ``account_shares`` has the ``AccountShares`` of the last pass by pool, for the pools that share
    between accounts and in which units waited.
    """

    def __init__(self, fleet):
        self._fleet = fleet
        # maps unit keys to (ids of the reserved workers, time of expiry on the monotonic clock)
        self._reservations = {}
        self._headrooms = {}
        self.account_shares = {}
        self.ranking = JobRanking()
        self._future_starts = FutureStarts(self.ranking)
        self._passes = 0

    def plan(self, jobs, catalog, now, now_ms, start_window, on_job_error):
        """Returns (starts, stops) for the waiting units of ``jobs``.

        ``now`` is in seconds of the monotonic clock, ``now_ms`` in Unix milliseconds. The
        decisions are not applied to the fleet; their resources count as used within this call
        only. ``start_window`` is the ``StartWindow``. ``on_job_error`` is called with each job that
        cannot be planned, and the error.
        """
        starts, stops = [], []
        self.account_shares.clear()
        self._drop_obsolete_reservations(jobs, now)
        by_pool = {}
        for job in jobs.values():
            queue = catalog.queue_of(job)
            if queue is not None and not job.ended:
                by_pool.setdefault(queue.pool, []).append((job, queue))
        pools = list(by_pool)
        if pools:
            # each pool comes first in turn, as the first ones may use up the window
            self._passes += 1
            first = self._passes % len(pools)
            pools = pools[first:] + pools[:first]
        for pool in pools:
            self._plan_pool(
                pool, by_pool[pool], catalog, now, now_ms, starts, stops, start_window, on_job_error
            )
        return starts, stops

    def _plan_pool(
        self, pool, queued_jobs, catalog, now, now_ms, starts, stops, start_window, on_job_error
    ):
        """Adds the decisions for one pool to ``starts`` and ``stops``.

        ``queued_jobs`` has pairs (job, queue) of the jobs in the pool.
        """
        total_capacity = self._fleet.capacity(pool)
        waiting = []
        guaranteed_jobs = _guaranteed_jobs(queued_jobs, catalog)
        ranks = {}
        for job, queue in queued_jobs:
            try:
                rank = self.ranking.rank(job, queue, total_capacity, now, now_ms)
            except Exception as error:
                on_job_error(job, error)
                continue
            ranks[job.id] = (queue.priority, rank)
            if job.has_waiting_units(now):
                waiting.append((job, rank))
        if not waiting:
            return
        shares = None
        pool_entry = catalog.pools.get(pool)
        if pool_entry is not None and pool_entry.shares_accounts:
            # a job that cannot be ranked must not end the pass here either
            ranked_jobs = [job for job, _ in queued_jobs if job.id in ranks]
            shares = AccountShares.from_jobs(
                total_capacity, ranked_jobs, guaranteed_jobs, catalog.accounts
            )
            self.account_shares[pool] = shares

        def order(item):
            job, rank = item
            if job.id in guaranteed_jobs:
                return 0, job.accepted_ms, job.accepted_ms, job.id
            factor = 1.0 if shares is None else shares.factor(job.account)
            return 1, -rank.score * factor, job.accepted_ms, job.id

        workers = self._fleet.usable(pool, now)
        free_capacity = self._free_capacity(pool, workers, queued_jobs, total_capacity, now)
        pool_pass = _PoolPass(
            pool,
            now,
            free_capacity,
            _free_pool_share(free_capacity, total_capacity),
            guaranteed_jobs,
            ranks,
            PromiseBudget(workers),
            start_window,
        )
        jobs = [job for job, _ in sorted(waiting, key=order)]
        startable_share = _startable_share(jobs, start_window, total_capacity)
        if pool_pass.free_share - startable_share >= SPREAD_FREE_SHARE:
            # the window limits the starts, not the capacity: without this, jobs with thousands of
            # tasks would hold up all jobs behind them
            for job in jobs:
                if not any(job.active_units()):
                    self._place_units(pool_pass, job, 1, on_job_error)
        for job in jobs:
            self._place_units(pool_pass, job, None, on_job_error)
        starts.extend(pool_pass.starts)
        stops.extend(pool_pass.stops)

    def _place_units(self, pool_pass, job, limit, on_job_error):
        """Adds the decisions for the waiting units of a job to a ``_PoolPass``.

        Starts at most ``limit`` units unless it is None, and none once the window is full.
        """
        now, start_window, blocked_keys = pool_pass.now, pool_pass.start_window, pool_pass.blocked
        starts, free_capacity = pool_pass.starts, pool_pass.free_capacity
        guaranteed = job.id in pool_pass.guaranteed_jobs
        # while the pool is mostly free, no empty workers are reserved for urgent units
        priority, rank = pool_pass.ranks[job.id]
        urgent = pool_pass.mostly_free or priority == URGENT_PRIORITY
        try:
            for unit in job.waiting_units(now, blocked_keys):
                if start_window.full:
                    return
                if unit.key in pool_pass.started_early:
                    continue
                any_rack = self._may_use_any_rack(unit, pool_pass.pool, pool_pass.free_share, now)
                ends_at = now + self.ranking.expected_run_seconds(unit)
                # the speed of the workers may decide whether the job ends in time
                speed_decides = abs(rank.slack_ms) < (ends_at - now) * 1000
                prefer_fast = priority == URGENT_PRIORITY or speed_decides
                chosen = free_capacity.find_workers(unit, any_rack, urgent, ends_at, prefer_fast)
                if chosen is not None:
                    if not start_window.allows([capacity.worker.id for capacity, _ in chosen]):
                        blocked_keys.add(unit.equivalence_key)
                        continue
                    for capacity, tasks in chosen:
                        start_window.plan(capacity.worker.id, tasks)
                    free_capacity.allocate(unit, chosen)
                    self._reservations.pop(unit.key, None)
                    self._future_starts.discard(unit)
                    reason = "guaranteed" if guaranteed else "ordered"
                    starts.append(StartDecision(unit, _make_allocations(unit, chosen), reason))
                    if limit is not None:
                        pool_pass.started_early.add(unit.key)
                        limit -= 1
                        if not limit:
                            return
                elif not self._preempt(unit, pool_pass):
                    blocked_keys.add(unit.equivalence_key)
                    if pool_pass.promise_budget.allows(unit):
                        future = self._future_starts.find(unit, free_capacity, any_rack, now)
                        if future is not None and pool_pass.promise_budget.spend(future):
                            free_capacity.promise(future.worker_ids, future.starts_at)
        except Exception as error:
            on_job_error(job, error)

    def _free_capacity(self, pool, workers, queued_jobs, total_capacity, now):
        """Returns the ``PoolCapacity`` of the usable ``workers`` of a pool."""
        reserved = {
            worker_id: key
            for key, (worker_ids, _) in self._reservations.items()
            for worker_id in worker_ids
        }
        reserved_empty_workers = self._empty_workers_to_reserve(
            pool, workers, queued_jobs, total_capacity, now
        )
        suspect_ids = _suspect_workers(workers, now)
        return PoolCapacity(workers, reserved, reserved_empty_workers, suspect_ids, now)

    def _empty_workers_to_reserve(self, pool, workers, queued_jobs, total_capacity, now):
        """Returns the number of empty workers to reserve for urgent units."""
        used = sum(
            unit.spec.resources.accelerators * unit.size
            for job, queue in queued_jobs
            if queue.priority == URGENT_PRIORITY
            for unit in job.active_units()
        )
        headroom = self._headrooms.setdefault(pool, Headroom())
        needed = headroom.needed(used, total_capacity.accelerators, now)
        per_worker = max((worker.info.capacity.accelerators for worker in workers), default=0)
        return -(-needed // per_worker) if per_worker else 0

    def _preempt(self, unit, pool_pass):
        """Reserves workers for a unit and plans the stops of cheaper work on them.

        Returns True if workers were reserved.
        """
        free_capacity, stops, now = pool_pass.free_capacity, pool_pass.stops, pool_pass.now
        guaranteed_jobs, ranks = pool_pass.guaranteed_jobs, pool_pass.ranks
        guaranteed = unit.job.id in guaranteed_jobs
        priority, rank = ranks[unit.job.id]
        if unit.key in self._reservations:
            return False
        if guaranteed:
            waited = now - unit.ready_at
            if waited < PREEMPT_AFTER_SECONDS and rank.slack_ms > PREEMPT_SLACK_MS:
                return False
        elif not 0 <= rank.slack_ms <= PREEMPT_SLACK_MS:
            return False
        stopping_keys = {stop.unit.key for stop in stops}

        def stop_loss(victim):
            """Returns the credit lost by a stop, None for a unit that must not be stopped."""
            if victim.state is not UnitState.ACTIVE or victim.key in stopping_keys:
                return None
            if victim.job.id in guaranteed_jobs or victim.spec.long_running:
                return None
            victim_priority, victim_rank = ranks.get(victim.job.id, (None, None))
            if victim_priority is None or victim.job.ended:
                return None
            if not guaranteed and victim_priority <= priority:
                return None
            lost_ms = 0.0 if victim.spec.checkpointing else unit_age_seconds(victim, now) * 1000
            # to end in time, the victim's job needs slack to repeat the lost work and to wait again
            still_in_time = victim_rank.slack_ms - lost_ms > PREEMPT_SLACK_MS
            lateness_cost = 0.0 if still_in_time else victim_rank.lateness_loss
            return _wasted_credit(victim, now) + lateness_cost

        preemption = choose_victims(unit, free_capacity, stop_loss)
        if preemption is None:
            return False
        if not guaranteed and preemption.cost >= rank.lateness_loss:
            return False
        self._reservations[unit.key] = (preemption.worker_ids, now + RESERVATION_SECONDS)
        free_capacity.reserve(preemption.worker_ids, unit.key)
        for victim in preemption.victims:
            stops.append(StopDecision(victim, "guarantee" if guaranteed else "deadline", unit))
        return True

    def _may_use_any_rack(self, unit, pool, free_share, now):
        """Returns True if the unit may be placed outside its rack or across racks.

        ``free_share`` is the free share of the pool.
        """
        step = unit.spec
        if not step.same_rack and not step.preferred_rack:
            return True
        if free_share >= SPREAD_FREE_SHARE and now - unit.ready_at >= SPREAD_AFTER_SECONDS:
            return True
        return not self._fits_empty_rack(unit, pool, now)

    def _fits_empty_rack(self, unit, pool, now):
        """Returns True if an empty rack fits the unit; only its preferred rack counts, if any.

        While the unit has waited for a short time only, all registered workers count, as a new
        leader has not heard of them yet; later those that can be expected to answer.
        """
        waited = now - unit.ready_at >= SPREAD_AFTER_SECONDS
        step = unit.spec
        counts = {}
        for worker in self._fleet.workers.values():
            info = worker.info
            if not worker.registered or info.pool != pool or info.draining:
                continue
            if self._fleet.evacuated(worker):
                continue
            if waited and not worker.expected(now):
                continue
            if step.required_label and step.required_label not in info.labels:
                continue
            max_tasks = step.demand.times_within(info.capacity)
            if step.max_per_worker:
                max_tasks = min(max_tasks, step.max_per_worker)
            counts[info.rack] = counts.get(info.rack, 0) + max_tasks
        if step.preferred_rack:
            return counts.get(step.preferred_rack, 0) >= unit.size
        return max(counts.values(), default=0) >= unit.size

    def _drop_obsolete_reservations(self, jobs, now):
        """Drops the reservations that have expired, or whose job has ended.

        Also drops those with a worker that is being evacuated, so that the unit may reserve others.
        """
        evacuated_ids = {worker.id for worker in self._fleet.evacuated_workers()}
        for key, (worker_ids, expires_at) in list(self._reservations.items()):
            job = jobs.get(key[0])
            if expires_at <= now or job is None or job.ended or evacuated_ids & worker_ids:
                del self._reservations[key]
        self._future_starts.drop_outdated(now, evacuated_ids)


def _wasted_credit(victim, now):
    """Returns the credit deducted for the work that is lost when a unit is stopped."""
    if victim.spec.checkpointing:
        return 0.0
    cores = cores_of(victim.spec.resources) * victim.size
    return cores * unit_age_seconds(victim, now) * WASTE_PER_CORE_SECOND


def _startable_share(jobs, start_window, pool_capacity):
    """Returns the share of the pool that the starts which the window allows would take.

    Returns 1 if the window allows to start all tasks of ``jobs``, which come in this order.
    """
    remaining = start_window.remaining
    share = 0.0
    for job in jobs:
        for units in job.step_units:
            tasks = min(remaining, units.waiting * units.unit_size)
            share += tasks * share_of(job.spec.steps[units.step].demand, pool_capacity)
            remaining -= tasks
            if not remaining:
                return share
    return 1.0


def _guaranteed_jobs(queued_jobs, catalog):
    """Returns the ids of the urgent jobs within their accounts' guarantees.

    Jobs that were accepted earlier use the guarantee first.
    """
    guaranteed = set()
    used = {}
    for job, queue in sorted(queued_jobs, key=lambda item: item[0].accepted_ms):
        account = catalog.accounts.get(job.account)
        if queue.priority != URGENT_PRIORITY or account is None:
            continue
        need = max(step.tasks * step.resources.accelerators for step in job.spec.steps)
        total = used.get(job.account, 0) + need
        if total <= account.guaranteed_accelerators:
            used[job.account] = total
            guaranteed.add(job.id)
    return guaranteed


def _suspect_workers(workers, now):
    """Returns the ids of suspect workers, none if too many of the workers are suspect."""
    suspect_ids = frozenset(worker.id for worker in workers if worker.reliability.is_suspect(now))
    return suspect_ids if len(suspect_ids) <= MAX_SUSPECT_SHARE * len(workers) else frozenset()


def _free_pool_share(free_capacity, total_capacity):
    """Returns the free share of the pool, by the scarcest kind of resource."""
    if not free_capacity.workers:
        return 0.0
    return min(
        sum(capacity.accelerators for capacity in free_capacity.workers)
        / max(1, total_capacity.accelerators),
        sum(capacity.cpu_millis for capacity in free_capacity.workers)
        / max(1, total_capacity.cpu_millis),
        sum(capacity.memory_mb for capacity in free_capacity.workers)
        / max(1, total_capacity.memory_mb),
    )


def _make_allocations(unit, chosen):
    """Returns an ``Allocation`` by task index, on workers that ``find_workers`` returned."""
    task_indexes = iter(unit.task_indexes)
    speed = min(capacity.speed for capacity, _ in chosen)
    return {
        next(task_indexes): Allocation(capacity.worker.id, capacity.worker.info.incarnation, speed)
        for capacity, tasks in chosen
        for _ in range(tasks)
    }
