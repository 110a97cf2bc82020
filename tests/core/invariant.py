"""Invariants of a ledger, computed from its jobs and reservations without its counters."""

from ibiscart_core.resource import Resources
from ibiscart_schema.generated.journal_pb2 import JOB_STATE_STOPPING
from ibiscart_schema.generated.types_pb2 import TARGET_LIVE


def violations(ledger, now_us):
    """Returns a line for each broken invariant."""
    return [
        *infeasible_reservations(ledger),
        *queued_jobs_with_usable_reservation(ledger, now_us),
        *overcommitted_workers(ledger),
        *exceeded_limits(ledger),
        *split_gangs(ledger),
        *drifted_counters(ledger),
    ]


def infeasible_reservations(ledger):
    """P1: all unclaimed reservations fit at the same time beside jobs that cannot be preempted."""
    free = {w.id: w.capacity for w in ledger.workers.values() if w.state == TARGET_LIVE}
    for job in ledger.active.values():
        if job.reservation is None and job.spec.repeatable:
            continue
        for member in job.members:
            if not member.ended and member.worker_id in free:
                free[member.worker_id] = free[member.worker_id] - job.shape.member
    for reservation in ledger.reservations.values():
        if reservation.job is not None:
            continue
        if len(reservation.workers) not in (0, reservation.shape.members):
            yield f"{reservation.key}: {len(reservation.workers)} workers"
        for worker_id in reservation.workers:
            if worker_id not in free:
                yield f"{reservation.key}: reserved on {worker_id}, which is not live"
                continue
            free[worker_id] = free[worker_id] - reservation.shape.member
    for worker_id, remaining in free.items():
        if not remaining.covers(Resources()):
            yield f"{worker_id}: guarantees cannot be reclaimed, {remaining!r} remains"


def queued_jobs_with_usable_reservation(ledger, now_us):
    """A job that fits a met and unclaimed guarantee is placed in the same scheduling pass."""
    for account in ledger.accounts.values():
        for reservation in account.reservations.values():
            workers = [ledger.workers[w] for w in reservation.workers]
            if reservation.job is not None or not workers:
                continue
            if not all(w.accepts for w in workers):
                continue
            for job in account.queued.values():
                if job.not_before_us <= now_us and reservation.shape.covers(job.shape):
                    yield f"{job.key}: queued although {reservation.key} is unclaimed"


def overcommitted_workers(ledger):
    """Only stopping jobs may use capacity that is already allocated to other jobs."""
    used = {worker_id: Resources() for worker_id in ledger.workers}
    for job in ledger.active.values():
        if job.state != JOB_STATE_STOPPING:
            for member in job.members:
                if not member.ended:
                    used[member.worker_id] = used[member.worker_id] + job.shape.member
    for worker_id, allocated in used.items():
        if not ledger.workers[worker_id].capacity.covers(allocated):
            yield f"{worker_id}: {allocated!r} allocated, more than its capacity"


def exceeded_limits(ledger):
    """Burst jobs are within the limits of the contract, unless they are not preemptible."""
    for account in ledger.accounts.values():
        burst = [j for j in account.active.values() if j.burst and j.state != JOB_STATE_STOPPING]
        accelerators = sum(j.shape.accelerators for j in burst)
        cpu_millis = sum(j.shape.total.cpu_millis for j in burst)
        repeatable = [j for j in burst if j.spec.repeatable]
        if accelerators > account.contract.burst_accelerators and any(
            j.shape.accelerators for j in repeatable
        ):
            yield f"{account.name}: {accelerators} burst accelerators"
        if cpu_millis > account.contract.burst_cpu_millis and any(
            j.shape.total.cpu_millis for j in repeatable
        ):
            yield f"{account.name}: {cpu_millis} burst millicores"


def split_gangs(ledger):
    """All members of a gang are in one domain of its scope."""
    for job in ledger.active.values():
        domains = {ledger.workers[m.worker_id].domain(job.shape.scope) for m in job.members}
        if len(job.members) != job.shape.members or len(domains) != 1:
            yield f"{job.key}: {len(job.members)} members in {sorted(domains)}"


def drifted_counters(ledger):
    """Counters that are updated by each event equal the counters of a restored ledger."""
    restored_ledger = type(ledger).from_snapshot(ledger.snapshot())
    for worker in ledger.workers.values():
        restored = restored_ledger.workers[worker.id]
        if (worker.used, worker.reserved) != (restored.used, restored.reserved):
            yield f"{worker.id}: used or reserved differs from the restored ledger"
        guaranteed = ledger.guaranteed_capacity.get(worker.id, Resources())
        if guaranteed != restored_ledger.guaranteed_capacity.get(worker.id, Resources()):
            yield f"{worker.id}: guaranteed capacity differs from the restored ledger"
    for account in ledger.accounts.values():
        restored = restored_ledger.accounts[account.name]
        burst_usage = (account.burst_accelerators, account.burst_cpu_millis)
        if burst_usage != (restored.burst_accelerators, restored.burst_cpu_millis):
            yield f"{account.name}: burst counters differ from the restored ledger"
