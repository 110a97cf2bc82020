"""
ibiscart_core.policies.reclaim
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Preempts burst jobs, of which little work is lost, for large gangs that have waited long.
"""

from ibiscart_core.lifecycle import Lifecycle
from ibiscart_core.policies.victim import accelerator_equivalents, choose_victims, missing_capacity
from ibiscart_schema.generated.journal_pb2 import (
    JOB_STATE_PLACED,
    JOB_STATE_RUNNING,
    STOP_PREEMPTED,
)

__all__ = ["PreemptibleCapacity", "is_large_gang", "preempt_for_gang", "preemption_allowed_at_us"]

LARGE_GANG_MIN_ACCELERATORS = 16
# A gang may preempt after it has waited for this share of its estimated run time. Ageing alone
# lets a gang of 700 s wait 7000 s, because it becomes due only after 10 times its estimate.
MIN_WAIT_SHARE = 0.5
MIN_WAIT_SECONDS = 30
# limit on the work lost by one preemption, as a share of the work of the gang
MAX_LOST_SHARE = 0.5
# a job is not preempted for a gang from this attempt on
PROTECTED_ATTEMPT = 4
# number of domains, by ascending estimated loss, for which victims are selected
MAX_DOMAINS_COMPARED = 4
# The estimated loss of a domain counts all preemptible jobs on its workers, so it exceeds the loss
# of the jobs that must stop. A domain whose estimate is over this multiple of the limit is skipped,
# because the search for victims takes milliseconds.
LOSS_ESTIMATE_FACTOR = 2


def is_large_gang(shape):
    """Returns True if a shape has several members and enough accelerators for a large gang."""
    return shape.members > 1 and shape.accelerators >= LARGE_GANG_MIN_ACCELERATORS


def preemption_allowed_at_us(job, seconds):
    """Returns the time in microseconds from which a gang of ``seconds`` run time may preempt."""
    return job.submitted_us + int(max(MIN_WAIT_SECONDS, MIN_WAIT_SHARE * seconds) * 1e6)


def preempt_for_gang(batch, preemptible_capacity, job, seconds, excluded_workers):
    """Preempts burst jobs for ``job`` and returns its worker ids, one for each member, or None.

    ``preemptible_capacity`` is the ``PreemptibleCapacity`` of the batch's ledger and ``seconds``
    the estimated run time. ``excluded_workers`` are not used. Only repeatable jobs that are not
    large gangs are preempted, and only if the lost work is within the limit.
    """
    ledger = batch.ledger
    max_loss = MAX_LOST_SHARE * seconds * job.shape.accelerators
    best = None
    # reserved capacity is used only if no domain fits without it: a gang on capacity that a
    # guarantee needs is likely to be preempted by a claim
    domains = _preemptible_domains(
        ledger, preemptible_capacity, job, batch.now_us, excluded_workers, True
    )
    domains = domains or _preemptible_domains(
        ledger, preemptible_capacity, job, batch.now_us, excluded_workers, False
    )
    for loss, _, workers in domains[:MAX_DOMAINS_COMPARED]:
        if loss > LOSS_ESTIMATE_FACTOR * max_loss:
            break
        missing = missing_capacity(ledger, workers, job.shape.member)
        found = choose_victims(ledger, missing, batch.now_us, is_preemptible_for_gang)
        if found is not None and found[0] <= max_loss and (best is None or found[0] < best[0]):
            best = (found[0], workers, found[1])
    if best is None:
        return None
    lifecycle = Lifecycle(batch)
    for victim in best[2]:
        lifecycle.stop(victim, STOP_PREEMPTED, preempted_by=job.key)
    return best[1]


def is_preemptible_for_gang(job):
    """Returns True if a job may be preempted for a large gang."""
    return (
        job.preemptible
        and job.state in (JOB_STATE_PLACED, JOB_STATE_RUNNING)
        and job.attempt < PROTECTED_ATTEMPT
        and not is_large_gang(job.shape)
    )


class PreemptibleCapacity:
    """Cache of the capacity of each worker that is free once its preemptible jobs have stopped.

    Entries are valid until the worker changes, so that a pass need not visit all running tasks.
    """

    def __init__(self, ledger):
        self._ledger = ledger
        self._cache = {}

    def invalidate(self, worker_id):
        """Drops the cached entry of a worker that has changed."""
        self._cache.pop(worker_id, None)

    def get(self, worker, now_us):
        """Returns (``Resources`` free after preemption, lost work in accelerator seconds)."""
        cached = self._cache.get(worker.id)
        if cached is None:
            cached = self._cache[worker.id] = self._compute_entry(worker)
        free, weight, weighted_starts = cached
        return free, weight * now_us / 1e6 - weighted_starts

    def _compute_entry(self, worker):
        """Returns (``Resources`` free after preemption, weight, sum of weighted starts).

        The weight is the size of the released preemptible jobs in accelerators, and each start, in
        seconds since the epoch, is weighted with the size of its job. The work lost at time ``t``
        is the weight times ``t`` minus the sum.
        """
        free, weight, weighted_starts = worker.free, 0.0, 0.0
        for (key, _, _), amount in worker.members.items():
            job = self._ledger.jobs[key]
            if job.state not in (JOB_STATE_PLACED, JOB_STATE_RUNNING):
                free = free + amount
            elif is_preemptible_for_gang(job):
                free = free + amount
                if job.released:
                    weight += accelerator_equivalents(job)
                    weighted_starts += accelerator_equivalents(job) * job.released_us / 1e6
        return free, weight, weighted_starts


def _preemptible_domains(ledger, preemptible_capacity, job, now_us, excluded_workers, unreserved):
    """Returns (estimated loss, name, worker ids) of the domains that fit, by ascending loss.

    A domain fits if the gang fits there once all preemptible jobs on its workers have stopped.
    With ``unreserved``, capacity of guarantee reservations is not used.
    """
    shape = job.shape
    domains = {}
    for worker in ledger.workers.values():
        if not worker.capacity.covers(shape.member) or worker.id in excluded_workers:
            continue
        if not worker.accepts or worker.quarantines or worker.id in job.failed_workers:
            continue
        free, loss = preemptible_capacity.get(worker, now_us)
        if unreserved:
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
