"""
ibiscart_core.policies.reclaim
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Preempts young burst work for a large gang that has waited long for its run time.
"""

from ibiscart_core.lifecycle import Lifecycle
from ibiscart_core.policies.victim import choose_victims, shortage, work_weight
from ibiscart_schema.generated.journal_pb2 import (
    JOB_STATE_PLACED,
    JOB_STATE_RUNNING,
    STOP_PREEMPTED,
)

__all__ = ["Clearable", "is_large", "reclaim_places", "reclaims_from_us"]

LARGE_ACCELERATORS = 16
# A gang may preempt after it has waited for this share of its estimated run time. Ageing alone
# lets a gang of 700 s wait 7000 s, because it becomes due only after 10 times its estimate.
WAIT_SHARE = 0.5
LEAST_WAIT_SECONDS = 30
# the work lost to one preemption is at most this share of the gang's own work
LOST_SHARE = 0.5
# a job that was started this often is not stopped again for a gang
VICTIM_ATTEMPTS = 4
# a domain is worked out exactly only if it is among the cheapest ones
DOMAINS_COMPARED = 4
# Clearing the chosen workers wholly loses more than stopping just what is in the way. A domain
# whose figure is this many times over the bound is not worked out; the search takes milliseconds.
CLEARED_FACTOR = 2


def is_large(shape):
    """Tells whether a gang of this shape counts as large."""
    return shape.members > 1 and shape.accelerators >= LARGE_ACCELERATORS


def reclaims_from_us(job, seconds):
    """Returns the time from which a large gang of ``seconds`` run time may preempt."""
    return job.submitted_us + int(max(LEAST_WAIT_SECONDS, WAIT_SHARE * seconds) * 1e6)


def reclaim_places(batch, clearable, job, seconds, taken):
    """Returns places for ``job`` after stopping the burst work on them, or None.

    ``clearable`` is the ``Clearable`` of the batch's ledger. Workers in ``taken`` are left
    alone. Only repeatable burst work that is not itself a large gang is stopped, and only if
    little of it is lost.
    """
    ledger = batch.ledger
    bound = LOST_SHARE * seconds * job.shape.accelerators
    best = None
    # a claim would soon stop a gang on places that a guarantee needs
    domains = _domains(ledger, clearable, job, batch.now_us, taken, True)
    domains = domains or _domains(ledger, clearable, job, batch.now_us, taken, False)
    for loss, _, workers in domains[:DOMAINS_COMPARED]:
        if loss > CLEARED_FACTOR * bound:
            break
        missing = shortage(ledger, workers, job.shape.member)
        found = choose_victims(ledger, missing, batch.now_us, may_stop)
        if found is not None and found[0] <= bound and (best is None or found[0] < best[0]):
            best = (found[0], workers, found[1])
    if best is None:
        return None
    lifecycle = Lifecycle(batch)
    for victim in best[2]:
        lifecycle.stop(victim, STOP_PREEMPTED, preempted_by=job.key)
    return best[1]


def may_stop(job):
    """Tells whether a job may be stopped for a large gang."""
    return (
        job.preemptible
        and job.state in (JOB_STATE_PLACED, JOB_STATE_RUNNING)
        and job.attempt < VICTIM_ATTEMPTS
        and not is_large(job.shape)
    )


class Clearable:
    """For each worker, what would be free once all that may be stopped has stopped.

    Kept until the worker changes, so that a pass does not count all running tasks.
    """

    def __init__(self, ledger):
        self._ledger = ledger
        self._kept = {}

    def forget(self, worker_id):
        """Drops what is kept of a worker that has changed."""
        self._kept.pop(worker_id, None)

    def get(self, worker, now_us):
        """Returns (free ``Resources``, lost work in accelerator seconds)."""
        kept = self._kept.get(worker.id)
        if kept is None:
            kept = self._kept[worker.id] = self._count(worker)
        free, weight, released = kept
        return free, weight * now_us / 1e6 - released

    def _count(self, worker):
        free, weight, released = worker.free, 0.0, 0.0
        for (key, _, _), amount in worker.members.items():
            job = self._ledger.jobs[key]
            if job.state not in (JOB_STATE_PLACED, JOB_STATE_RUNNING):
                free = free + amount
            elif may_stop(job):
                free = free + amount
                if job.released:
                    weight += work_weight(job)
                    released += work_weight(job) * job.released_us / 1e6
        return free, weight, released


def _domains(ledger, clearable, job, now_us, taken, clear):
    """Returns (loss, name, worker ids) of the domains that can be cleared, cheapest first."""
    shape = job.shape
    domains = {}
    for worker in ledger.workers.values():
        if not worker.capacity.covers(shape.member) or worker.id in taken:
            continue
        if not worker.accepts or worker.quarantines or worker.id in job.failed_workers:
            continue
        free, loss = clearable.get(worker, now_us)
        if clear:
            free = free - worker.reserved
        fits = min(shape.members, shape.member.times_within(free))
        if fits:
            entry = (loss / fits, fits, worker.id)
            domains.setdefault(worker.domain(shape.scope), []).append(entry)
    usable = []
    for name, entries in domains.items():
        entries.sort()
        chosen, loss = [], 0.0
        for per_member, fits, worker_id in entries:
            count = min(fits, shape.members - len(chosen))
            chosen += [worker_id] * count
            loss += per_member * count
            if len(chosen) == shape.members:
                usable.append((loss, name, chosen))
                break
    return sorted(usable)
