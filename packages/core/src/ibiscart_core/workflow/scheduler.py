"""
ibiscart_core.workflow.scheduler
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Decides which units start where, and which are stopped to make room.
"""

from ibiscart_core.workflow.headroom import Headroom
from ibiscart_core.workflow.job import Allocation, UnitState
from ibiscart_core.workflow.ordering import Ordering, cores_of, unit_age
from ibiscart_core.workflow.placement import RoomSet
from ibiscart_core.workflow.preemption import choose_victims

__all__ = ["Decision", "Scheduler", "StopDecision"]

# a guaranteed unit waits so long for a place that comes free by itself before work is stopped
PREEMPT_AFTER_SECONDS = 0.2
# other units stop work of lower priority when their slack has shrunk to this: a stop takes up
# to 0.9 s, and the order half a second at most
PREEMPT_SLACK_MS = 1400
# workers are kept for a unit until the stops made for it have surely ended
HOLD_SECONDS = 2.5
# credit that the users take off for work thrown away
WASTE_PER_CORE_SECOND = 0.001
# off its rack a task runs several times longer, so a unit waits for its rack while the pool
# is busy; with this share of the pool free, the slower run costs nobody a place
SPREAD_AFTER_SECONDS = 1.0
SPREAD_FREE_SHARE = 0.5
# failures on more of the workers than this are rather the fault of the jobs; a fault of
# workers strikes some 15 % of them
DOUBTFUL_SHARE = 0.3
# jobs of this priority come first, and guarantees hold for them
URGENT_PRIORITY = 0


class Decision:
    """A unit to start: ``allocations`` maps task indexes to the ``Allocation`` of each."""

    __slots__ = ("allocations", "reason", "unit")

    def __init__(self, unit, allocations, reason):
        self.unit = unit
        self.allocations = allocations
        self.reason = reason


class StopDecision:
    """A unit to stop; ``gaining`` is the unit that gets its room, or None."""

    __slots__ = ("gaining", "reason", "unit")

    def __init__(self, unit, reason, gaining=None):
        self.unit = unit
        self.reason = reason
        self.gaining = gaining


class Scheduler:
    """One pass over all waiting units; ``fleet`` is the ``Fleet`` whose rooms are given out."""

    def __init__(self, fleet):
        self._fleet = fleet
        self._holds = {}
        self._headrooms = {}
        self.ordering = Ordering()

    def plan(self, jobs, catalog, now, now_ms):
        """Returns (starts, stops) for the waiting units of ``jobs``.

        ``now`` is monotonic seconds, ``now_ms`` Unix milliseconds. The starts are applied to
        nothing yet; the rooms they take are counted within the pass only.
        """
        starts, stops = [], []
        self._drop_holds(jobs, now)
        by_pool = {}
        for job in jobs.values():
            queue = catalog.queue_of(job)
            if queue is not None and not job.ended:
                by_pool.setdefault(queue.pool, []).append((job, queue))
        for pool, entries in by_pool.items():
            self._plan_pool(pool, entries, catalog, now, now_ms, starts, stops)
        return starts, stops

    def _plan_pool(self, pool, entries, catalog, now, now_ms, starts, stops):
        capacity = self._fleet.capacity(pool)
        waiting = []
        claims = _claims(entries, catalog)
        standings = {}
        for job, queue in entries:
            standing = self.ordering.standing(job, queue, capacity, now, now_ms)
            standings[job.id] = (queue.priority, standing)
            units = _waiting_units(job, now)
            if units:
                claimed = job.id in claims
                rank = (0, job.accepted_ms) if claimed else (1, -standing.value)
                waiting.append((rank, job.accepted_ms, job.id, units))
        if not waiting:
            return
        held = {worker: key for key, (ids, _) in self._holds.items() for worker in ids}
        workers = self._fleet.usable(pool, now)
        kept = self._whole_kept(pool, workers, entries, capacity, now)
        rooms = RoomSet(workers, held, kept, _doubtful(workers, now))
        free_share = _free_share(rooms, capacity)
        blocked = set()
        for _, _, job_id, units in sorted(waiting, key=lambda entry: entry[:3]):
            for unit in units:
                shape = _shape(unit)
                if shape in blocked:
                    continue
                # with most of the pool free nothing is kept back
                urgent = free_share >= SPREAD_FREE_SHARE
                urgent = urgent or standings[job_id][0] == URGENT_PRIORITY
                anywhere = self._may_spread(unit, pool, free_share, now)
                chosen = rooms.find(unit, anywhere, urgent)
                if chosen is not None:
                    rooms.take(unit, chosen)
                    self._holds.pop(unit.key, None)
                    reason = "guaranteed" if job_id in claims else "ordered"
                    starts.append(Decision(unit, _places(unit, chosen), reason))
                elif not self._preempt(unit, rooms, claims, standings, now, stops):
                    blocked.add(shape)

    def _whole_kept(self, pool, workers, entries, capacity, now):
        """Number of empty workers that are kept for urgent work."""
        used = sum(
            unit.spec.resources.accelerators * unit.size
            for job, queue in entries
            if queue.priority == URGENT_PRIORITY
            for unit in job.units()
            if unit.state is UnitState.ACTIVE
        )
        headroom = self._headrooms.setdefault(pool, Headroom())
        needed = headroom.needed(used, capacity.accelerators, now)
        each = max((worker.info.capacity.accelerators for worker in workers), default=0)
        return -(-needed // each) if each else 0

    def _preempt(self, unit, rooms, claims, standings, now, stops):
        """Stops cheaper work for a unit; returns whether it was done now."""
        claimed = unit.job.id in claims
        priority, standing = standings[unit.job.id]
        if unit.key in self._holds:
            return False
        if claimed:
            waited = now - unit.ready_at
            if waited < PREEMPT_AFTER_SECONDS and standing.slack > PREEMPT_SLACK_MS:
                return False
        elif not 0 <= standing.slack <= PREEMPT_SLACK_MS:
            return False
        stopping = {stop.unit.key for stop in stops}

        def loss_of(victim):
            if victim.state is not UnitState.ACTIVE or victim.key in stopping:
                return None
            if victim.job.id in claims or victim.spec.long_running:
                return None
            victim_priority, victim_standing = standings.get(victim.job.id, (None, None))
            if victim_priority is None or victim.job.ended:
                return None
            if not claimed and victim_priority <= priority:
                return None
            lost_ms = 0.0 if victim.spec.checkpointing else unit_age(victim, now) * 1000
            # a job becomes late that has no slack for the time lost and another wait
            in_time = victim_standing.slack - lost_ms > PREEMPT_SLACK_MS
            late = 0.0 if in_time else victim_standing.at_stake
            return _waste(victim, now) + late

        preemption = choose_victims(unit, rooms, loss_of)
        if preemption is None:
            return False
        if not claimed and preemption.cost >= standing.at_stake:
            return False
        self._holds[unit.key] = (preemption.worker_ids, now + HOLD_SECONDS)
        rooms.hold(preemption.worker_ids, unit.key)
        for victim in preemption.victims:
            stops.append(StopDecision(victim, "guarantee" if claimed else "deadline", unit))
        return True

    def _may_spread(self, unit, pool, free_share, now):
        step = unit.spec
        if not step.same_rack and not step.preferred_rack:
            return True
        if free_share >= SPREAD_FREE_SHARE and now - unit.ready_at >= SPREAD_AFTER_SECONDS:
            return True
        return not self._fits_rack(unit, pool)

    def _fits_rack(self, unit, pool):
        """Whether the unit would fit on its rack if that were empty."""
        step = unit.spec
        counts = {}
        for worker in self._fleet.workers.values():
            info = worker.info
            if not worker.registered or info.pool != pool or info.draining:
                continue
            if step.required_label and step.required_label not in info.labels:
                continue
            times = step.demand.times_within(info.capacity)
            if step.max_per_worker:
                times = min(times, step.max_per_worker)
            counts[info.rack] = counts.get(info.rack, 0) + times
        if step.preferred_rack:
            return counts.get(step.preferred_rack, 0) >= unit.size
        return max(counts.values(), default=0) >= unit.size

    def _drop_holds(self, jobs, now):
        for key, (_, until) in list(self._holds.items()):
            job = jobs.get(key[0])
            if until <= now or job is None or job.ended:
                del self._holds[key]


def _waste(victim, now):
    """Credit lost with the work of a unit that its stop throws away."""
    if victim.spec.checkpointing:
        return 0.0
    cores = cores_of(victim.spec.resources) * victim.size
    return cores * unit_age(victim, now) * WASTE_PER_CORE_SECOND


def _waiting_units(job, now):
    return [
        unit for unit in job.units() if unit.state is UnitState.WAITING and unit.retry_at <= now
    ]


def _claims(entries, catalog):
    """Ids of the jobs of priority 0 that lie within their accounts' guarantees."""
    claimed = set()
    used = {}
    for job, queue in sorted(entries, key=lambda entry: entry[0].accepted_ms):
        account = catalog.accounts.get(job.account)
        if queue.priority != URGENT_PRIORITY or account is None:
            continue
        need = max(step.tasks * step.resources.accelerators for step in job.spec.steps)
        total = used.get(job.account, 0) + need
        if total <= account.guaranteed_accelerators:
            used[job.account] = total
            claimed.add(job.id)
    return claimed


def _doubtful(workers, now):
    """Ids of the workers to be avoided for their failures."""
    found = frozenset(worker.id for worker in workers if worker.reliability.doubtful(now))
    return found if len(found) <= DOUBTFUL_SHARE * len(workers) else frozenset()


def _free_share(rooms, capacity):
    """Share of the pool that is free, by the kind of resource with the least left."""
    if not rooms.rooms:
        return 0.0
    return min(
        sum(room.accelerators for room in rooms.rooms) / max(1, capacity.accelerators),
        sum(room.cpu_millis for room in rooms.rooms) / max(1, capacity.cpu_millis),
        sum(room.memory_mb for room in rooms.rooms) / max(1, capacity.memory_mb),
    )


def _shape(unit):
    """Units of one step and size are interchangeable within a pass."""
    return (unit.job.id, unit.occurrence, unit.step, unit.size)


def _places(unit, chosen):
    indexes = iter(unit.indexes)
    return {
        next(indexes): Allocation(room.worker.id, room.worker.info.incarnation)
        for room, tasks in chosen
        for _ in range(tasks)
    }
