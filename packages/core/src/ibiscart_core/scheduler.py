"""
ibiscart_core.scheduler
~~~~~~~~~~~~~~~~~~~~~~~

Turns batches of commands into events and replies, and runs the policy after each batch.
"""

from ibiscart_core.admission import check_submission
from ibiscart_core.contract import ReservationKey
from ibiscart_core.error import ErrorKind, IbiscartError
from ibiscart_core.health import quarantine_seconds, should_quarantine
from ibiscart_core.job import JobKey
from ibiscart_core.lifecycle import DEFAULT_MAX_ATTEMPTS, Lifecycle, jobs_over_limit
from ibiscart_core.packing import plan_reservations
from ibiscart_core.policy import Batch
from ibiscart_core.shape import Shape
from ibiscart_schema.generated.journal_pb2 import MEMBER_FAILED
from ibiscart_schema.generated.peer_pb2 import Reply
from ibiscart_schema.generated.types_pb2 import (
    TARGET_LIVE,
    TARGET_LOST,
    TARGET_QUARANTINED,
    Contract,
)

__all__ = ["Scheduler"]


class Scheduler:
    """Decides batches of commands on a ledger.

    ``ledger`` is the writer's working copy: events are applied to it as they are decided.
    ``policy`` is a ``Policy``. A job fails after ``max_attempts`` failed attempts.
    """

    def __init__(self, ledger, policy, max_attempts=DEFAULT_MAX_ATTEMPTS):
        self._ledger = ledger
        self._policy = policy
        self._max_attempts = max_attempts
        self._seen_change_count = ledger.capacity_change_count
        self._pending_reports = []

    def decide(self, commands, now_us):
        """Decides ``commands`` and runs one scheduling pass at ``now_us`` (microseconds).

        Returns (events, replies), one reply per command in order. The events are already
        applied to the working ledger; the caller calls its ``finish_record`` once they are
        committed.
        """
        batch = Batch(self._ledger, now_us)
        lifecycle = Lifecycle(batch, self._max_attempts)
        self._seen_change_count = self._ledger.capacity_change_count
        self._pending_reports = []
        replies = [self._decide_command(batch, lifecycle, command) for command in commands]
        self._end_quarantines(batch)
        self._repair_reservations(batch)
        self._policy.schedule(batch)
        self._fill_report_replies()
        for reply in replies:
            reply.sequence = self._ledger.sequence + 1 if batch.events else self._ledger.sequence
        return batch.events, replies

    def _decide_command(self, batch, lifecycle, command):
        """Returns the reply of the ``_handle_`` method for this kind of command."""
        kind = command.WhichOneof("kind")
        try:
            return getattr(self, f"_handle_{kind}")(batch, lifecycle, getattr(command, kind))
        except IbiscartError as error:
            return Reply(error=error.to_message())

    def _handle_submit_job(self, batch, lifecycle, command):
        spec = command.spec
        account = self._find_account(spec.account)
        job = self._ledger.jobs.get(JobKey.from_message(spec))
        if job is None:
            shape = Shape.from_message(spec.shape)
            check_submission(self._ledger, account, shape, spec.repeatable)
            batch.emit(job_submitted={"spec": spec})
            job = self._ledger.jobs[JobKey.from_message(spec)]
        elif not job.same_body(spec):
            raise IbiscartError(
                ErrorKind.ID_REUSED,
                "another job with this request id and a different body exists; use a new id",
                field="request_id",
                value=spec.request_id,
                bound="unique per client account",
            )
        return Reply(job=job.snapshot())

    def _handle_cancel_job(self, batch, lifecycle, command):
        job = self._find_job(command.job)
        lifecycle.cancel(job)
        return Reply(job=job.snapshot())

    def _handle_report_held(self, batch, lifecycle, command):
        """Releases a gang whose members have all been started and are held."""
        job = self._find_job(command.job)
        lifecycle.release(job, command.attempt)
        return Reply(job=job.snapshot())

    def _handle_report_start_failed(self, batch, lifecycle, command):
        job = self._find_job(command.job)
        lifecycle.fail_start(job, command.attempt)
        return Reply(job=job.snapshot())

    def _handle_report_member(self, batch, lifecycle, command):
        job = self._find_job(command.ended.job)
        # the worker ids are read first: if end_member queues the job again, it has no members
        workers = [member.worker_id for member in job.members]
        if lifecycle.end_member(job, command.ended) and command.ended.outcome == MEMBER_FAILED:
            self._quarantine_if_unhealthy(batch, workers[command.ended.rank])
        reply = Reply()
        self._pending_reports.append((reply, job))
        return reply

    def _fill_report_replies(self):
        """Adds the job's snapshot to each reply to a member report of this batch."""
        # members of a gang usually report in the same batch, so their replies share one snapshot
        # of the job
        snapshots = {}
        for reply, job in self._pending_reports:
            if job.key not in snapshots:
                snapshots[job.key] = job.snapshot()
            reply.job.CopyFrom(snapshots[job.key])

    def _handle_put_contract(self, batch, lifecycle, command):
        contract = Contract()
        contract.CopyFrom(command.contract)
        current = self._ledger.accounts.get(contract.account)
        version = self._contract_version(contract.account)
        self._repair_reservations(batch)
        if command.expected_version != version:
            raise _version_conflict(contract, current, command.expected_version, version)
        if contract.guarantees and not self._ledger.workers:
            raise IbiscartError(ErrorKind.NOT_READY, "no worker is registered yet; retry later")
        plan = plan_reservations(self._ledger, contract)
        self._check_packable(plan, contract)
        contract.version = version + 1
        if command.dry_run:
            return Reply(contract=contract, preempted=self._jobs_to_preempt(contract))
        batch.emit(contract_changed={"contract": contract})
        self._set_reservations(batch, plan)
        account = self._ledger.accounts[contract.account]
        preempted = lifecycle.preempt_over_limit(account)
        return Reply(contract=contract, preempted=[job.key.to_message() for job in preempted])

    def _handle_remove_contract(self, batch, lifecycle, command):
        account = self._find_account(command.account)
        if command.expected_version != account.version:
            raise _version_conflict(
                account.contract, account, command.expected_version, account.version
            )
        if account.queued or account.active:
            raise IbiscartError(
                ErrorKind.OVER_LIMIT,
                "the client account still has jobs; cancel them first",
                field="jobs",
                value=len(account.queued) + len(account.active),
                bound=0,
            )
        batch.emit(contract_removed={"account": account.name})
        return Reply(contract=account.contract)

    def _contract_version(self, account_name):
        """Returns the version of a present or removed contract, 0 if there was none."""
        account = self._ledger.accounts.get(account_name)
        if account is not None:
            return account.version
        return self._ledger.removed_versions.get(account_name, 0)

    def _check_packable(self, plan, contract):
        """Raises ``IbiscartError`` if the contract would leave a reservation unmet."""
        shapes = {g.name: Shape.from_message(g.shape) for g in contract.guarantees}
        blocking = []
        for key in plan.unmet:
            reservation = self._ledger.reservations.get(key)
            changed = reservation is None or (
                key.account == contract.account and reservation.shape != shapes[key.guarantee]
            )
            # a reservation that this contract does not change and that already had no workers
            # does not block the contract
            if changed or reservation.workers:
                blocking.append(key)
        if blocking:
            raise IbiscartError(
                ErrorKind.CONTRACT_UNPACKABLE,
                "the guaranteed shapes of all contracts cannot be packed at once; "
                "lower a count or widen a scope",
                field="guarantees",
                value=", ".join(map(repr, blocking[:8])),
                bound="capacity of the live workers",
                details=[repr(key) for key in blocking],
            )

    def _jobs_to_preempt(self, contract):
        """Returns the keys of the jobs that the contract would preempt, as messages."""
        account = self._ledger.accounts.get(contract.account)
        if account is None:
            return []
        shapes = {
            ReservationKey(account.name, guarantee.name, index): Shape.from_message(guarantee.shape)
            for guarantee in contract.guarantees
            for index in range(guarantee.count)
        }
        dropped = [
            self._ledger.jobs[reservation.job]
            for reservation in account.reservations.values()
            if reservation.job is not None and shapes.get(reservation.key) != reservation.shape
        ]
        return [j.key.to_message() for j in jobs_over_limit(account, contract, dropped)]

    def _repair_reservations(self, batch):
        """Packs the reservations again after an event that may move one of them.

        Considers only the events of this batch, so that a ledger restored from a snapshot
        decides the same.
        """
        if self._seen_change_count == self._ledger.capacity_change_count:
            return
        self._seen_change_count = self._ledger.capacity_change_count
        workers = self._ledger.workers
        if any(
            r.job is None
            and not (r.workers and all(self._can_guarantee(workers[w]) for w in r.workers))
            for r in self._ledger.reservations.values()
        ):
            self._set_reservations(batch, plan_reservations(self._ledger))

    def _can_guarantee(self, worker):
        """Returns True if the worker is live and has its guaranteed capacity."""
        return worker.live and worker.capacity.covers(self._ledger.guaranteed_capacity[worker.id])

    def _set_reservations(self, batch, plan):
        """Emits an event for each reservation whose workers the plan changes."""
        for key, workers in plan.workers_by_key.items():
            reservation = self._ledger.reservations.get(key)
            if reservation is not None and reservation.workers != tuple(workers):
                _emit_reservation(batch, key, workers)
        for key in plan.unmet:
            reservation = self._ledger.reservations.get(key)
            if reservation is not None and reservation.workers:
                _emit_reservation(batch, key, ())

    def _handle_register_workers(self, batch, lifecycle, command):
        for info in command.workers:
            current = self._ledger.workers.get(info.id)
            if current is None or current.info() != info:
                batch.emit(worker_registered={"worker": info})
        return Reply()

    def _handle_report_worker(self, batch, lifecycle, command):
        worker = self._ledger.workers.get(command.worker_id)
        if worker is None:
            raise IbiscartError(
                ErrorKind.NOT_FOUND, "no such worker", field="worker_id", value=command.worker_id
            )
        if worker.state == command.state:
            return Reply()
        if worker.state == TARGET_QUARANTINED and command.state == TARGET_LIVE:
            # a quarantined worker becomes live only at the end of its quarantine
            return Reply()
        batch.emit(
            worker_state_changed={
                "worker_id": worker.id,
                "state": command.state,
                "cause": command.cause,
            }
        )
        if command.state == TARGET_LOST:
            lifecycle.stop_jobs_on(worker)
        return Reply()

    def _handle_grant_shares(self, batch, lifecycle, command):
        if tuple(command.entries) != self._ledger.share_entries:
            batch.emit(
                shares_granted={
                    "epoch": self._ledger.share_epoch + 1,
                    "entries": command.entries,
                }
            )
        return Reply()

    def _quarantine_if_unhealthy(self, batch, worker_id):
        worker = self._ledger.workers.get(worker_id)
        if worker is None or not worker.live:
            return
        if should_quarantine(worker, self._ledger.jobs, batch.now_us):
            seconds = quarantine_seconds(worker.quarantines)
            batch.emit(
                worker_state_changed={
                    "worker_id": worker.id,
                    "state": TARGET_QUARANTINED,
                    "cause": "tasks_fail",
                    "retry_at_us": batch.now_us + int(seconds * 1e6),
                }
            )

    def _end_quarantines(self, batch):
        due = [
            w
            for w in self._ledger.workers.values()
            if w.state == TARGET_QUARANTINED and w.retry_at_us <= batch.now_us
        ]
        for worker in due:
            batch.emit(
                worker_state_changed={
                    "worker_id": worker.id,
                    "state": TARGET_LIVE,
                    "cause": "probation",
                    "retry_at_us": worker.retry_at_us,
                }
            )

    def _find_account(self, name):
        account = self._ledger.accounts.get(name)
        if account is None:
            raise IbiscartError(
                ErrorKind.UNKNOWN_ACCOUNT,
                "no contract exists for this client account",
                field="account",
                value=name,
            )
        return account

    def _find_job(self, key_message):
        job = self._ledger.job(key_message)
        if job is None:
            raise IbiscartError(
                ErrorKind.NOT_FOUND,
                "no such job; ended jobs are kept for 24 h",
                field="request_id",
                value=key_message.request_id,
            )
        return job


def _emit_reservation(batch, key, workers):
    """Emits an event that assigns the reservation ``key`` to ``workers``, one per member."""
    batch.emit(
        reservation_set={
            "key": {"account": key.account, "guarantee": key.guarantee, "index": key.index},
            "workers": workers,
        }
    )


def _version_conflict(contract, current, expected, version):
    """Returns the error for a contract change that is not based on the present version.

    Its details name the fields in which ``contract`` differs from that of the account ``current``.
    """
    details = []
    if current is not None:
        for field in contract.DESCRIPTOR.fields:
            new, old = getattr(contract, field.name), getattr(current.contract, field.name)
            if field.name not in ("version", "key_sha256") and new != old:
                details.append(f"{field.name}: yours {new}, in force {old}")
    return IbiscartError(
        ErrorKind.VERSION_CONFLICT,
        "the contract was changed by another operator; read it and apply your change again",
        field="expected_version",
        value=expected,
        bound=version,
        details=[detail.replace("\n", " ") for detail in details],
    )
