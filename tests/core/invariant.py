"""Checks of a ledger's state that count from its jobs and reservations alone."""

from ibiscart_core.resource import Resources
from ibiscart_schema.generated.journal_pb2 import JOB_STATE_STOPPING
from ibiscart_schema.generated.types_pb2 import TARGET_LIVE


def violations(ledger, now_us):
    """Returns a line for each broken invariant."""
    return [
        *unclaimable_guarantees(ledger),
        *waiting_claims(ledger, now_us),
        *overcommitted_workers(ledger),
        *exceeded_limits(ledger),
        *split_gangs(ledger),
        *wrong_counters(ledger),
    ]


def unclaimable_guarantees(ledger):
    """P1: all unclaimed reservations fit at once beside work that cannot be preempted."""
    room = {w.id: w.capacity for w in ledger.workers.values() if w.state == TARGET_LIVE}
    for job in ledger.active.values():
        if job.reservation is None and job.spec.repeatable:
            continue
        for member in job.members:
            if not member.ended and member.worker_id in room:
                room[member.worker_id] = room[member.worker_id] - job.shape.member
    for reservation in ledger.reservations.values():
        if reservation.job is not None:
            continue
        if len(reservation.workers) not in (0, reservation.shape.members):
            yield f"{reservation.key}: {len(reservation.workers)} places"
        for worker_id in reservation.workers:
            if worker_id not in room:
                yield f"{reservation.key}: reserved on {worker_id}, which is not live"
                continue
            room[worker_id] = room[worker_id] - reservation.shape.member
    for worker_id, left in room.items():
        if not left.covers(Resources()):
            yield f"{worker_id}: guarantees cannot be reclaimed, {left!r} left"


def waiting_claims(ledger, now_us):
    """A job that a met and unclaimed guarantee covers is placed in the same pass."""
    for account in ledger.accounts.values():
        for reservation in account.reservations.values():
            workers = [ledger.workers[w] for w in reservation.workers]
            if reservation.job is not None or not workers:
                continue
            if not all(w.accepts for w in workers):
                continue
            for job in account.queued.values():
                if job.not_before_us <= now_us and reservation.shape.covers(job.shape):
                    yield f"{job.key}: waits although {reservation.key} is unclaimed"


def overcommitted_workers(ledger):
    """Only work that is stopping may hold places that other work has been given."""
    used = {worker_id: Resources() for worker_id in ledger.workers}
    for job in ledger.active.values():
        if job.state != JOB_STATE_STOPPING:
            for member in job.members:
                if not member.ended:
                    used[member.worker_id] = used[member.worker_id] + job.shape.member
    for worker_id, amount in used.items():
        if not ledger.workers[worker_id].capacity.covers(amount):
            yield f"{worker_id}: {amount!r} committed"


def exceeded_limits(ledger):
    """Burst work stays within the contract, but for work that may not be preempted."""
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
    """All members of a gang lie in one domain of its scope."""
    for job in ledger.active.values():
        domains = {ledger.workers[m.worker_id].domain(job.shape.scope) for m in job.members}
        if len(job.members) != job.shape.members or len(domains) != 1:
            yield f"{job.key}: {len(job.members)} members in {sorted(domains)}"


def wrong_counters(ledger):
    """Counters kept event by event equal those that a restored ledger counts."""
    copy = type(ledger).from_snapshot(ledger.snapshot())
    for worker in ledger.workers.values():
        twin = copy.workers[worker.id]
        if (worker.used, worker.reserved) != (twin.used, twin.reserved):
            yield f"{worker.id}: used or reserved differs from the restored ledger"
        committed = ledger.guaranteed_capacity.get(worker.id, Resources())
        if committed != copy.guaranteed_capacity.get(worker.id, Resources()):
            yield f"{worker.id}: committed differs from the restored ledger"
    for account in ledger.accounts.values():
        twin = copy.accounts[account.name]
        mine = (account.burst_accelerators, account.burst_cpu_millis)
        if mine != (twin.burst_accelerators, twin.burst_cpu_millis):
            yield f"{account.name}: burst counters differ from the restored ledger"
