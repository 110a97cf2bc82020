"""
ibiscart_core.policies.timeline
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Estimated times at which running work leaves places to others.
"""

from ibiscart_core.resource import Resources
from ibiscart_schema.generated.journal_pb2 import JOB_STATE_STOPPING

__all__ = ["Timeline", "estimated_end_us"]

NOTHING = Resources()
# Work beyond its estimate is taken to last a tenth of its run time longer, up to a bound. With
# a fixed time instead, short jobs that overrun a little would let other short jobs backfill
# again and again, and the held gang would never start.
OVERRUN_FACTOR = 0.1
LONGEST_OVERRUN_SECONDS = 60
# needs of members for which the times of all workers are kept
NEEDS_KEPT = 4


def estimated_end_us(ledger, job):
    """Returns when an active job ends by the 90 % quantile of its estimate.

    A stopping job is taken to have passed its end.
    """
    if job.state == JOB_STATE_STOPPING:
        return job.placed_us
    estimate = ledger.estimates.estimate(job.key.account, job.spec.kind, job.spec.declared_seconds)
    seconds = max(0.0, estimate.p90 - job.saved_seconds)
    return (job.released_us or job.placed_us) + int(seconds * 1e6)


class Timeline:
    """For each worker, when how many members of some need fit.

    Times are kept until the worker, or the account of a job on it, changes.
    """

    def __init__(self, ledger):
        self._ledger = ledger
        self._ends = {}
        self._times = {}

    def forget(self, worker_id):
        """Drops what is kept of a worker that has changed."""
        self._ends.pop(worker_id, None)
        for times in self._times.values():
            times.pop(worker_id, None)

    def times(self, worker, shape, repeatable, now_us):
        """Returns, for each member of ``shape`` that can fit, the time from which it fits.

        Work that may not be preempted (``repeatable`` False) counts only the room that
        reservations leave.
        """
        key = (shape.member, shape.members, repeatable)
        kept = self._times.get(key)
        if kept is None:
            while len(self._times) >= NEEDS_KEPT:
                del self._times[next(iter(self._times))]
            kept = self._times[key] = {}
        times = kept.get(worker.id)
        if times is None:
            times = kept[worker.id] = self._count(worker, shape, repeatable)
        latest = now_us
        clamped = []
        for start_us, end_us in times:
            latest = max(latest, _expected_end(start_us, end_us, now_us))
            clamped.append(latest)
        return clamped

    def amounts_at(self, worker, time_us, now_us):
        """Returns the free (accelerators, millicores, MB) of a worker at an estimated time."""
        free = worker.free
        for end_us, _, start_us, amount, _ in self._sorted_ends(worker):
            if _expected_end(start_us, end_us, now_us) <= time_us:
                free = free + amount
        return (free.accelerators, free.cpu_millis, free.memory_mb)

    def _count(self, worker, shape, repeatable):
        if not worker.live or worker.quarantines or not worker.capacity.covers(shape.member):
            return []
        free = worker.free
        room = worker.capacity - self._ledger.guaranteed_capacity.get(worker.id, NOTHING)
        limit = shape.members
        times = [(0, 0)] * min(limit, _fits(shape.member, free, room, repeatable))
        for end_us, _, start_us, amount, fixed in self._sorted_ends(worker):
            if len(times) >= limit:
                break
            free = free + amount
            if fixed:
                room = room + amount
            fits = min(limit, _fits(shape.member, free, room, repeatable))
            times.extend([(start_us, end_us)] * (fits - len(times)))
        return times

    def _sorted_ends(self, worker):
        ends = self._ends.get(worker.id)
        if ends is None:
            ends = []
            for (key, _, rank), amount in worker.members.items():
                job = self._ledger.jobs[key]
                fixed = job.burst and not job.preemptible
                start_us = job.released_us or job.placed_us
                end_us = estimated_end_us(self._ledger, job)
                ends.append((end_us, (*key.sort_key(), rank), start_us, amount, fixed))
            # the second field is unique, so that the others are never compared
            ends.sort()
            self._ends[worker.id] = ends
        return ends


def _expected_end(start_us, end_us, now_us):
    if start_us == 0:
        return now_us
    overrun = min(OVERRUN_FACTOR * (now_us - start_us), LONGEST_OVERRUN_SECONDS * 1e6)
    return max(end_us, now_us + int(overrun))


def _fits(member, free, room, repeatable):
    fits = member.times_within(free)
    return fits if repeatable else min(fits, member.times_within(room))
