"""
ibiscart_core.audits.journal
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Checks the reservations (P1) and the limits of contracts on the state that the records build.
"""

from ibiscart_core.audits.check import Check
from ibiscart_core.ledger import Ledger
from ibiscart_core.packing import plan_reservations
from ibiscart_core.shape import Shape

__all__ = ["JournalCheck"]

# after these the writer packs reservations without a place anew, in the same record
REPACKING_EVENTS = (
    "worker_registered",
    "worker_state_changed",
    "contract_changed",
    "contract_removed",
)


class JournalCheck(Check):
    """P1, ``guarantee`` (unmet although it could be packed), and ``queue`` and ``burst``."""

    def __init__(self):
        super().__init__()
        self._ledgers = {}
        self._broken = set()
        self._packable = set()
        self._last = {}

    def on_record(self, record, event):
        """Applies the record and checks the limits at each event, P1 at its end."""
        ledger = self._ledgers.setdefault(record.region, Ledger(record.region))
        for item in record.events:
            self._check_queue(ledger, item, event)
            kind = item.WhichOneof("kind")
            try:
                ledger.apply_event(item, record.time_us)
            except (AttributeError, KeyError) as error:
                self.report(
                    "journal",
                    event.time_us,
                    f"record {record.sequence} does not apply, {kind}: {error!r}",
                    event,
                )
                continue
            self._check_burst(ledger, item, event)
        ledger.finish_record(record.sequence, record.time_us)
        self._check_reservations(ledger, event)
        self._last[record.region] = event
        if any(item.WhichOneof("kind") in REPACKING_EVENTS for item in record.events):
            self._check_unmet(ledger, event)

    def finish(self, time_us):
        """Looks once more for reservations without a place that could have one."""
        for region, ledger in self._ledgers.items():
            self._check_unmet(ledger, self._last[region])

    def _check_queue(self, ledger, item, event):
        if item.WhichOneof("kind") != "job_submitted":
            return
        spec = item.job_submitted.spec
        account = ledger.accounts.get(spec.account)
        if account is None:
            self.report("queue", event.time_us, f"job of unknown account {spec.account}", event)
            return
        shape = Shape.from_message(spec.shape)
        claims = sum(r.job is None and r.shape.covers(shape) for r in account.reservations.values())
        limit = account.contract.queued_jobs
        if len(account.queued) >= limit + claims:
            self.report(
                "queue",
                event.time_us,
                f"{spec.account}/{spec.request_id} queued as number {len(account.queued) + 1}, "
                f"limit {limit} and {claims} free guarantees",
                event,
            )

    def _check_burst(self, ledger, item, event):
        if item.WhichOneof("kind") != "job_placed" or item.job_placed.HasField("reservation"):
            return
        account = ledger.accounts[item.job_placed.job.account]
        contract = account.contract
        held = (account.burst_accelerators, account.burst_cpu_millis)
        limits = (contract.burst_accelerators, contract.burst_cpu_millis)
        total = ledger.job(item.job_placed.job).shape.total
        added = (total.accelerators, total.cpu_millis)
        # after a limit is lowered, work that adds nothing to the exceeded amount may start
        if any(a > 0 and h > li for a, h, li in zip(added, held, limits, strict=True)):
            self.report(
                "burst",
                event.time_us,
                f"{account.name} holds {held[0]} accelerators and {held[1]} millicores of burst "
                f"capacity, limits {limits[0]} and {limits[1]}, after placing "
                f"{item.job_placed.job.request_id}",
                event,
            )

    def _check_reservations(self, ledger, event):
        faults = dict(_reservation_faults(ledger))
        for subject, message in faults.items():
            if (ledger.region, subject) not in self._broken:
                self.report(
                    "P1", event.time_us, f"after record {ledger.sequence}: {message}", event
                )
        # a fault that lasts over many records is reported once
        self._broken = {k for k in self._broken if k[0] != ledger.region}
        self._broken |= {(ledger.region, subject) for subject in faults}

    def _check_unmet(self, ledger, event):
        """Reports what the packing finds a place for, once while it lasts."""
        unmet = [k for k, r in ledger.reservations.items() if r.job is None and not r.workers]
        places = plan_reservations(ledger).workers_by_key if unmet else {}
        found = {(ledger.region, key) for key in unmet if key in places}
        for region, key in sorted(found - self._packable, key=lambda item: item[1].sort_key()):
            self.report(
                "guarantee",
                event.time_us,
                f"after record {ledger.sequence} of {region}: reservation {key!r} has no place "
                f"but fits on {places[key]}",
                event,
            )
        self._packable = {item for item in self._packable if item[0] != ledger.region} | found


def _reservation_faults(ledger):
    reserved = {}
    for key, reservation in ledger.reservations.items():
        if reservation.job is not None or not reservation.workers:
            continue
        shape = reservation.shape
        workers = [ledger.workers.get(worker_id) for worker_id in reservation.workers]
        gone = [
            worker_id
            for worker_id, worker in zip(reservation.workers, workers, strict=True)
            if worker is None or not worker.live
        ]
        if gone:
            yield key, f"reservation {key!r} lies on workers that take no work: {gone}"
            continue
        if len(workers) != shape.members:
            yield key, f"reservation {key!r} has {len(workers)} of {shape.members} places"
        if len({worker.domain(shape.scope) for worker in workers}) > 1:
            yield key, f"reservation {key!r} spans several domains"
        for worker in workers:
            reserved.setdefault(worker.id, []).append(shape.member)
    fixed = _fixed_use(ledger, reserved)
    for worker_id, amounts in reserved.items():
        worker = ledger.workers[worker_id]
        free = worker.capacity
        for amount in amounts + fixed.get(worker_id, []):
            free = free - amount
        if min(free.accelerators, free.cpu_millis, free.memory_mb) < 0:
            yield worker_id, (
                f"unclaimed reservations and work that cannot be preempted exceed "
                f"{worker_id} by {free!r}"
            )


def _fixed_use(ledger, worker_ids):
    fixed = {}
    for job in ledger.active.values():
        if job.reservation is None and job.spec.repeatable:
            continue
        for member in job.members:
            if not member.ended and member.worker_id in worker_ids:
                fixed.setdefault(member.worker_id, []).append(job.shape.member)
    return fixed
