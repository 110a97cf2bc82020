"""
ibiscart_core.policies.timeline
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Estimated times at which running jobs release capacity.
"""

from ibiscart_core.resource import Resources
from ibiscart_schema.generated.journal_pb2 import JOB_STATE_STOPPING

__all__ = ["Timeline", "estimated_end_us"]

NOTHING = Resources()
# A job past its estimated end is expected to run for another tenth of its run time so far, up
# to a limit. With a fixed time instead, short jobs that overrun a little would let other short
# jobs backfill repeatedly, and the gang with the backfill reservation would never start.
OVERRUN_FACTOR = 0.1
MAX_OVERRUN_SECONDS = 60
# number of (shape, repeatable) pairs for which the times when members fit on each worker are
# cached
MAX_CACHED_SHAPES = 4


def estimated_end_us(ledger, job):
    """Returns the end time of an active job by the 90 % quantile of its estimate.

    For a stopping job this is its placement time, which is in the past. Times are in
    microseconds since the epoch.
    """
    if job.state == JOB_STATE_STOPPING:
        return job.placed_us
    estimate = ledger.estimates.estimate(job.key.account, job.spec.kind, job.spec.declared_seconds)
    seconds = max(0.0, estimate.p90 - job.saved_seconds)
    return (job.released_us or job.placed_us) + int(seconds * 1e6)


class Timeline:
    """Cache of the times from which members of a shape fit on each worker.

    Entries are valid until the worker, or the account of a job on it, changes.
    """

    def __init__(self, ledger):
        self._ledger = ledger
        self._ends = {}
        self._fit_times = {}

    def invalidate(self, worker_id):
        """Drops the cached entries of a worker that has changed."""
        self._ends.pop(worker_id, None)
        for fit_times in self._fit_times.values():
            fit_times.pop(worker_id, None)

    def fit_times(self, worker, shape, repeatable, now_us):
        """Returns, for each member of ``shape`` that can fit, the time from which it fits.

        Non-preemptible jobs (``repeatable`` False) can use only capacity that no guarantee
        needs. Times are in microseconds since the epoch, in ascending order.
        """
        key = (shape.member, shape.members, repeatable)
        by_worker = self._fit_times.get(key)
        if by_worker is None:
            while len(self._fit_times) >= MAX_CACHED_SHAPES:
                del self._fit_times[next(iter(self._fit_times))]
            by_worker = self._fit_times[key] = {}
        fit_times = by_worker.get(worker.id)
        if fit_times is None:
            fit_times = by_worker[worker.id] = self._compute_fit_times(worker, shape, repeatable)
        latest = now_us
        expected = []
        for start_us, end_us in fit_times:
            latest = max(latest, _expected_end(start_us, end_us, now_us))
            expected.append(latest)
        return expected

    def free_at(self, worker, time_us, now_us):
        """Returns the (accelerators, millicores, MB) expected to be free at ``time_us``."""
        free = worker.free
        for end_us, _, start_us, amount, _ in self._sorted_ends(worker):
            if _expected_end(start_us, end_us, now_us) <= time_us:
                free = free + amount
        return (free.accelerators, free.cpu_millis, free.memory_mb)

    def _compute_fit_times(self, worker, shape, repeatable):
        """Returns (start, end) of the job whose end lets each member fit, (0, 0) if it fits now.

        Times are in microseconds since the epoch, ends estimated. A member of a non-preemptible job
        (``repeatable`` False) fits only into capacity that no guarantee needs.
        """
        if not worker.live or worker.quarantines or not worker.capacity.covers(shape.member):
            return []
        free = worker.free
        unguaranteed = worker.capacity - self._ledger.guaranteed_capacity.get(worker.id, NOTHING)
        limit = shape.members
        fit_times = [(0, 0)] * min(
            limit, _fitting_member_count(shape.member, free, unguaranteed, repeatable)
        )
        for end_us, _, start_us, amount, nonpreemptible in self._sorted_ends(worker):
            if len(fit_times) >= limit:
                break
            free = free + amount
            if nonpreemptible:
                unguaranteed = unguaranteed + amount
            fits = min(limit, _fitting_member_count(shape.member, free, unguaranteed, repeatable))
            fit_times.extend([(start_us, end_us)] * (fits - len(fit_times)))
        return fit_times

    def _sorted_ends(self, worker):
        """Returns (end, sort key, start, ``Resources``, nonpreemptible) per task, sorted by end."""
        ends = self._ends.get(worker.id)
        if ends is None:
            ends = []
            for (key, _, rank), amount in worker.members.items():
                job = self._ledger.jobs[key]
                nonpreemptible = job.burst and not job.preemptible
                start_us = job.released_us or job.placed_us
                end_us = estimated_end_us(self._ledger, job)
                ends.append((end_us, (*key.sort_key(), rank), start_us, amount, nonpreemptible))
            # the second field is unique, so the comparison never reaches the later fields
            ends.sort()
            self._ends[worker.id] = ends
        return ends


def _expected_end(start_us, end_us, now_us):
    """Returns the estimated end, but at least the present time plus the expected overrun."""
    # a start of 0 means that the capacity is free already
    if start_us == 0:
        return now_us
    overrun = min(OVERRUN_FACTOR * (now_us - start_us), MAX_OVERRUN_SECONDS * 1e6)
    return max(end_us, now_us + int(overrun))


def _fitting_member_count(member, free, unguaranteed, repeatable):
    """Returns how many members fit into ``free``, and into ``unguaranteed`` if not ``repeatable``.

    ``unguaranteed`` is the capacity that no guarantee needs; members of jobs that may run only
    once (``repeatable`` False) must fit into it too.
    """
    fits = member.times_within(free)
    return fits if repeatable else min(fits, member.times_within(unguaranteed))
