"""
ibiscart_core.audits.journal
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Checks reservations (P1) and contract limits on the state that the records result in.
"""

from ibiscart_core.audits.check import Check
from ibiscart_core.ledger import Ledger
from ibiscart_core.packing import plan_reservations
from ibiscart_core.shape import Shape

__all__ = ["JournalCheck"]

# after these events the writer packs unmet reservations again, in the same record
REPACKING_EVENTS = (
    "worker_registered",
    "worker_state_changed",
    "contract_changed",
    "contract_removed",
)


class JournalCheck(Check):
    """Checks reservations and contract limits.

    Reports ``P1``, ``guarantee`` (unmet although it could be packed), ``queue``, ``burst``
    and ``journal`` (a record that does not apply).
    """

    def __init__(self):
        super().__init__()
        self._ledgers = {}
        self._reported_faults = set()
        self._reported_packable = set()
        self._last_events = {}

    def on_record(self, record, event):
        """Applies the record; checks the limits at each event and P1 at the end of the record."""
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
        self._report_reservation_faults(ledger, event)
        self._last_events[record.region] = event
        if any(item.WhichOneof("kind") in REPACKING_EVENTS for item in record.events):
            self._check_unmet(ledger, event)

    def finish(self, time_us):
        """Reports unmet reservations for which workers are found in the last state of a region."""
        for region, ledger in self._ledgers.items():
            self._check_unmet(ledger, self._last_events[region])

    def _check_queue(self, ledger, item, event):
        """Reports a submission above the queue limit; ``ledger`` is the state before ``item``."""
        if item.WhichOneof("kind") != "job_submitted":
            return
        spec = item.job_submitted.spec
        account = ledger.accounts.get(spec.account)
        if account is None:
            self.report("queue", event.time_us, f"job of unknown account {spec.account}", event)
            return
        shape = Shape.from_message(spec.shape)
        free_guarantees = sum(
            r.job is None and r.shape.covers(shape) for r in account.reservations.values()
        )
        limit = account.contract.queued_jobs
        if len(account.queued) >= limit + free_guarantees:
            self.report(
                "queue",
                event.time_us,
                f"{spec.account}/{spec.request_id} queued as number {len(account.queued) + 1}, "
                f"limit {limit} and {free_guarantees} free guarantees",
                event,
            )

    def _check_burst(self, ledger, item, event):
        """Reports a placement above a burst limit; ``ledger`` is the state after ``item``."""
        if item.WhichOneof("kind") != "job_placed" or item.job_placed.HasField("reservation"):
            return
        account = ledger.accounts[item.job_placed.job.account]
        contract = account.contract
        used = (account.burst_accelerators, account.burst_cpu_millis)
        limits = (contract.burst_accelerators, contract.burst_cpu_millis)
        total = ledger.job(item.job_placed.job).shape.total
        added = (total.accelerators, total.cpu_millis)
        # after a limit was lowered, work that adds nothing to the exceeded amount may start
        if any(
            extra > 0 and amount > limit
            for extra, amount, limit in zip(added, used, limits, strict=True)
        ):
            self.report(
                "burst",
                event.time_us,
                f"{account.name} uses {used[0]} accelerators and {used[1]} millicores of burst "
                f"capacity, limits {limits[0]} and {limits[1]}, after placing "
                f"{item.job_placed.job.request_id}",
                event,
            )

    def _report_reservation_faults(self, ledger, event):
        """Reports each violation of P1 once while it lasts."""
        faults = dict(_reservation_faults(ledger))
        for subject, message in faults.items():
            if (ledger.region, subject) not in self._reported_faults:
                self.report(
                    "P1", event.time_us, f"after record {ledger.sequence}: {message}", event
                )
        # a fault that lasts for several records is reported once
        self._reported_faults = {k for k in self._reported_faults if k[0] != ledger.region}
        self._reported_faults |= {(ledger.region, subject) for subject in faults}

    def _check_unmet(self, ledger, event):
        """Reports unmet reservations that could be packed, each once while it remains unmet."""
        unmet = [k for k, r in ledger.reservations.items() if r.job is None and not r.workers]
        workers_by_key = plan_reservations(ledger).workers_by_key if unmet else {}
        packable = {(ledger.region, key) for key in unmet if key in workers_by_key}
        for region, key in sorted(
            packable - self._reported_packable, key=lambda item: item[1].sort_key()
        ):
            self.report(
                "guarantee",
                event.time_us,
                f"after record {ledger.sequence} of {region}: reservation {key!r} has no workers "
                f"but fits on {workers_by_key[key]}",
                event,
            )
        self._reported_packable = {
            item for item in self._reported_packable if item[0] != ledger.region
        } | packable


def _reservation_faults(ledger):
    """Yields (reservation key or worker id, message) for each violation of P1."""
    reserved = {}
    for key, reservation in ledger.reservations.items():
        if reservation.job is not None or not reservation.workers:
            continue
        shape = reservation.shape
        workers = [ledger.workers.get(worker_id) for worker_id in reservation.workers]
        unavailable = [
            worker_id
            for worker_id, worker in zip(reservation.workers, workers, strict=True)
            if worker is None or not worker.live
        ]
        if unavailable:
            yield key, f"reservation {key!r} includes workers that accept no work: {unavailable}"
            continue
        if len(workers) != shape.members:
            yield key, f"reservation {key!r} has {len(workers)} of {shape.members} workers"
        if len({worker.domain(shape.scope) for worker in workers}) > 1:
            yield key, f"reservation {key!r} spans several domains"
        for worker in workers:
            reserved.setdefault(worker.id, []).append(shape.member)
    nonpreemptible = _nonpreemptible_use(ledger, reserved)
    for worker_id, amounts in reserved.items():
        worker = ledger.workers[worker_id]
        free = worker.capacity
        for amount in amounts + nonpreemptible.get(worker_id, []):
            free = free - amount
        if min(free.accelerators, free.cpu_millis, free.memory_mb) < 0:
            yield worker_id, (
                f"unclaimed reservations and work that cannot be preempted exceed "
                f"{worker_id} by {free!r}"
            )


def _nonpreemptible_use(ledger, worker_ids):
    """Returns, by worker id, the resources of open tasks that cannot be preempted."""
    nonpreemptible = {}
    for job in ledger.active.values():
        if job.reservation is None and job.spec.repeatable:
            continue
        for member in job.members:
            if not member.ended and member.worker_id in worker_ids:
                nonpreemptible.setdefault(member.worker_id, []).append(job.shape.member)
    return nonpreemptible
