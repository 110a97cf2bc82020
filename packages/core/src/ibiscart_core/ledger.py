"""
ibiscart_core.ledger
~~~~~~~~~~~~~~~~~~~~

State of a region, built by applying the journal's records in order.
"""

from collections import deque

from ibiscart_core.contract import Account, Reservation, ReservationKey
from ibiscart_core.estimate import Estimates
from ibiscart_core.job import Job, JobKey, Member
from ibiscart_core.snapshot import read_worker, write_snapshot
from ibiscart_core.usage import Usage
from ibiscart_core.worker import Worker
from ibiscart_schema.generated.journal_pb2 import (
    JOB_COMPLETED,
    JOB_STATE_ENDED,
    JOB_STATE_PLACED,
    JOB_STATE_QUEUED,
    JOB_STATE_RUNNING,
    JOB_STATE_STOPPING,
    MEMBER_COMPLETED,
    MEMBER_FAILED,
    WorkerFailure,
)

__all__ = ["Ledger", "SequenceError"]

MAX_ENDED_JOBS = 20_000
ENDED_JOB_RETENTION_US = 24 * 3600 * 1_000_000
MAX_WORKER_FAILURES = 16


class SequenceError(ValueError):
    """The sequence number of a record is not the one after the last applied record."""


class Ledger:
    """Contracts, workers, reservations, jobs and share assignments of one region.

    Applying the same records always builds the same state. ``accounts``, ``workers`` and
    ``jobs`` map names, ids and job keys to their objects; ``active`` has the jobs that are
    placed on workers and have not ended. ``removed_versions`` has the last contract version of
    each removed account.
    """

    def __init__(self, region):
        self.region = region
        self.sequence = 0
        self.time_us = 0
        self.accounts = {}
        self.workers = {}
        self.jobs = {}
        self.active = {}
        self.reservations = {}
        self.estimates = Estimates()
        self.share_epoch = 0
        self.share_entries = ()
        self.removed_versions = {}
        self._ended_job_keys = deque()
        self._usage = Usage(self.workers)

    @property
    def guaranteed_capacity(self):
        """Sum of all reservations and of non-preemptible burst jobs, by worker id.

        While no sum exceeds the capacity of its live worker, every guarantee can be met by
        preemption.
        """
        return self._usage.guaranteed_capacity

    @property
    def capacity_change_count(self):
        """Number of events so far that may let or make a reservation move to other workers."""
        return self._usage.capacity_change_count

    @property
    def queued_jobs(self):
        """Number of queued jobs over all client accounts."""
        return sum(len(account.queued) for account in self.accounts.values())

    def watch(self, changes):
        """Adds the ids of changed workers and the names of changed accounts to ``changes``.

        ``changes`` is a ``Changes``, or None to stop.
        """
        self._usage.changes = changes

    def apply(self, record):
        """Applies the next ``Record``; raises ``SequenceError`` if it is out of order."""
        if record.sequence != self.sequence + 1:
            raise SequenceError(f"record {record.sequence} does not follow {self.sequence}")
        for event in record.events:
            self.apply_event(event, record.time_us)
        self.finish_record(record.sequence, record.time_us)

    def apply_event(self, event, time_us):
        """Applies one event of the next record, decided at ``time_us`` (microseconds)."""
        kind = event.WhichOneof("kind")
        getattr(self, f"_apply_{kind}")(getattr(event, kind), time_us)

    def finish_record(self, sequence, time_us):
        """Sets the sequence and the time of a record whose events have all been applied."""
        self.sequence = sequence
        self.time_us = max(self.time_us, time_us)
        self._remove_old_jobs()

    def job(self, key_message):
        """Returns the job with the key of a ``JobKey`` message, or None."""
        return self.jobs.get(JobKey.from_message(key_message))

    def _apply_contract_changed(self, event, time_us):
        contract = event.contract
        account = self.accounts.get(contract.account)
        if account is None:
            self.accounts[contract.account] = account = Account(contract)
        else:
            account.set_contract(contract)
        self.removed_versions.pop(contract.account, None)
        self._usage.mark_account_changed(contract.account)
        shapes = {k: account.guarantees[k.guarantee].shape for k in account.reservation_keys()}
        for reservation in list(account.reservations.values()):
            if shapes.get(reservation.key) != reservation.shape:
                self._drop_reservation(account, reservation)
        for key, shape in shapes.items():
            if key not in self.reservations:
                self._add_reservation(account, Reservation(key, shape))

    def _apply_contract_removed(self, event, time_us):
        account = self.accounts.pop(event.account, None)
        if account is None:
            return
        self.removed_versions[event.account] = account.version
        self.estimates.forget(event.account)
        self._usage.mark_account_changed(event.account)
        for reservation in list(account.reservations.values()):
            self._drop_reservation(account, reservation)

    def _apply_reservation_set(self, event, time_us):
        reservation = self.reservations.get(ReservationKey.from_message(event.key))
        if reservation is None:
            return
        self._usage.set_workers(reservation, tuple(event.workers))
        self._usage.mark_account_changed(reservation.key.account)

    def _add_reservation(self, account, reservation):
        """Adds a reservation that has no workers yet to the ledger and to its account."""
        self.reservations[reservation.key] = reservation
        account.reservations[(reservation.key.guarantee, reservation.key.index)] = reservation

    def _drop_reservation(self, account, reservation):
        """Removes a reservation from the ledger and from its account."""
        self._usage.add_guaranteed(reservation.workers, reservation.shape.member, -1)
        if reservation.job is None:
            self._usage.add_unclaimed(reservation, -1)
        else:
            # the job that claimed the dropped reservation continues on its workers as a burst job
            job = self.jobs[reservation.job]
            job.reservation = None
            self._usage.add_burst_usage(account, job, 1)
            self._usage.add_nonpreemptible(job, 1)
        self._usage.capacity_change_count += 1
        del self.reservations[reservation.key]
        del account.reservations[(reservation.key.guarantee, reservation.key.index)]

    def _apply_worker_registered(self, event, time_us):
        worker = Worker.from_message(event.worker)
        self._usage.capacity_change_count += 1
        self._usage.mark_worker_changed(worker.id)
        current = self.workers.get(worker.id)
        if current is None:
            self.workers[worker.id] = worker
            return
        current.address = worker.address
        current.capacity = worker.capacity
        current.data_centre = worker.data_centre
        current.rack = worker.rack

    def _apply_worker_state_changed(self, event, time_us):
        worker = self.workers.get(event.worker_id)
        if worker is None:
            return
        if event.retry_at_us and event.retry_at_us != worker.retry_at_us:
            worker.quarantines += 1
            worker.failures = []
        self._usage.mark_worker_changed(worker.id)
        worker.state = event.state
        self._usage.capacity_change_count += 1
        worker.cause = event.cause
        worker.retry_at_us = event.retry_at_us

    def _apply_job_submitted(self, event, time_us):
        job = Job(event.spec, time_us)
        account = self.accounts[job.key.account]
        job.contract_version = account.version
        job.reason = "queued"
        job.decided_sequence = self.sequence + 1
        self.jobs[job.key] = job
        account.queued[job.key] = job
        self._usage.mark_account_changed(account.name)

    def _apply_job_placed(self, event, time_us):
        job = self.job(event.job)
        account = self.accounts[job.key.account]
        account.queued.pop(job.key)
        account.active[job.key] = job
        self.active[job.key] = job
        job.state = JOB_STATE_PLACED
        job.placed_us = time_us
        job.released_us = 0
        job.reason = event.reason
        job.contract_version = account.version
        job.decided_sequence = self.sequence + 1
        job.members = [Member(worker_id) for worker_id in event.workers]
        for rank, worker_id in enumerate(event.workers):
            self.workers[worker_id].add_member((job.key, job.attempt, rank), job.shape.member)
            self._usage.mark_worker_changed(worker_id)
        self._usage.mark_account_changed(account.name)
        if event.HasField("reservation"):
            reservation = self.reservations[ReservationKey.from_message(event.reservation)]
            self._usage.add_unclaimed(reservation, -1)
            reservation.job = job.key
            job.reservation = reservation.key
        else:
            self._usage.add_burst_usage(account, job, 1)
            self._usage.add_nonpreemptible(job, 1)

    def _apply_job_released(self, event, time_us):
        job = self.job(event.job)
        job.state = JOB_STATE_RUNNING
        job.released_us = time_us
        job.ever_released = True
        job.reason = "running"
        job.decided_sequence = self.sequence + 1
        self._usage.mark_members_changed(job)

    def _apply_job_stopping(self, event, time_us):
        job = self.job(event.job)
        job.state = JOB_STATE_STOPPING
        self._usage.mark_members_changed(job)
        job.stop_cause = event.cause
        job.preempted_by = (
            JobKey.from_message(event.preempted_by) if event.HasField("preempted_by") else None
        )
        job.decided_sequence = self.sequence + 1

    def _apply_member_ended(self, event, time_us):
        job = self.job(event.job)
        if job is None or event.attempt != job.attempt or event.rank >= len(job.members):
            return
        member = job.members[event.rank]
        if member.ended:
            return
        member.ended = True
        member.outcome = event.outcome
        job.saved_seconds = max(job.saved_seconds, event.saved_seconds)
        if job.burst and not job.preemptible:
            self._usage.add_guaranteed((member.worker_id,), job.shape.member, -1)
            self._usage.capacity_change_count += 1
        worker = self.workers.get(member.worker_id)
        if worker is None:
            return
        self._usage.mark_worker_changed(worker.id)
        worker.remove_member((job.key, job.attempt, event.rank))
        if event.outcome == MEMBER_FAILED:
            worker.failures.append(
                WorkerFailure(job=event.job, kind=job.spec.kind, time_us=time_us)
            )
            del worker.failures[:-MAX_WORKER_FAILURES]
            job.failed_workers.append(worker.id)
        elif event.outcome == MEMBER_COMPLETED:
            worker.failures = []
            worker.quarantines = 0

    def _apply_job_requeued(self, event, time_us):
        job = self.job(event.job)
        account = self._release_workers(job)
        job.state = JOB_STATE_QUEUED
        job.attempt = event.attempt
        job.failures += event.failed
        job.reason = event.reason
        job.not_before_us = event.not_before_us
        job.members = []
        job.placed_us = 0
        job.released_us = 0
        job.decided_sequence = self.sequence + 1
        account.queued[job.key] = job
        self._usage.mark_account_changed(account.name)

    def _apply_job_ended(self, event, time_us):
        job = self.job(event.job)
        if job.state == JOB_STATE_QUEUED:
            self.accounts[job.key.account].queued.pop(job.key)
        else:
            self._release_workers(job)
        if event.outcome == JOB_COMPLETED:
            seconds = (time_us - job.released_us) / 1e6 + job.saved_seconds
            self.estimates.observe(job.key.account, job.spec.kind, seconds)
        self._usage.mark_account_changed(job.key.account)
        job.state = JOB_STATE_ENDED
        job.outcome = event.outcome
        job.ran = event.ran
        job.reason = event.reason
        job.ended_us = time_us
        job.decided_sequence = self.sequence + 1
        self._ended_job_keys.append(job.key)

    def _release_workers(self, job):
        """Removes an active job from its workers and its reservation; returns its account."""
        account = self.accounts[job.key.account]
        for rank, member in enumerate(job.members):
            worker = self.workers.get(member.worker_id)
            if worker is not None:
                worker.remove_member((job.key, job.attempt, rank))
                self._usage.mark_worker_changed(worker.id)
        self._usage.add_nonpreemptible(job, -1)
        account.active.pop(job.key, None)
        self.active.pop(job.key, None)
        if job.reservation is None:
            self._usage.add_burst_usage(account, job, -1)
        else:
            reservation = self.reservations[job.reservation]
            reservation.job = None
            self._usage.add_unclaimed(reservation, 1)
            job.reservation = None
            self._usage.capacity_change_count += 1
        return account

    def _remove_old_jobs(self):
        """Removes ended jobs that are too old or too many, first those that ended first."""
        while self._ended_job_keys and (
            len(self._ended_job_keys) > MAX_ENDED_JOBS
            or self.jobs[self._ended_job_keys[0]].ended_us < self.time_us - ENDED_JOB_RETENTION_US
        ):
            del self.jobs[self._ended_job_keys.popleft()]

    def _apply_shares_granted(self, event, time_us):
        self.share_epoch = event.epoch
        self.share_entries = tuple(event.entries)

    def snapshot(self):
        """Returns the whole state as a ``Snapshot`` message."""
        return write_snapshot(self, [self.jobs[key] for key in self._ended_job_keys])

    @classmethod
    def from_snapshot(cls, message):
        """Builds a ledger with the state of a ``Snapshot`` message."""
        ledger = cls(message.region)
        for contract in message.contracts:
            ledger._restore_contract(contract)
        for item in message.workers:
            ledger.workers[item.info.id] = read_worker(item)
        for item in message.reservations:
            ledger._apply_reservation_set(item, 0)
        for item in message.jobs:
            ledger._restore_job(Job.from_snapshot(item))
        ledger.share_epoch = message.shares.epoch
        ledger.share_entries = tuple(message.shares.entries)
        ledger.estimates = Estimates.from_snapshot(message.estimates)
        ledger.removed_versions = dict(message.removed_versions)
        ledger.sequence = message.sequence
        ledger.time_us = message.time_us
        return ledger

    def _restore_contract(self, contract):
        contract_copy = type(contract)()
        contract_copy.CopyFrom(contract)
        self.accounts[contract_copy.account] = account = Account(contract_copy)
        for key in account.reservation_keys():
            self._add_reservation(
                account, Reservation(key, account.guarantees[key.guarantee].shape)
            )

    def _restore_job(self, job):
        """Adds a job from a snapshot, with the resources and the reservation that it uses."""
        self.jobs[job.key] = job
        if job.state == JOB_STATE_ENDED:
            self._ended_job_keys.append(job.key)
            return
        account = self.accounts[job.key.account]
        if job.state == JOB_STATE_QUEUED:
            account.queued[job.key] = job
            return
        account.active[job.key] = job
        self.active[job.key] = job
        for rank, member in enumerate(job.members):
            if not member.ended:
                worker = self.workers[member.worker_id]
                worker.add_member((job.key, job.attempt, rank), job.shape.member)
        if job.reservation is None:
            self._usage.add_burst_usage(account, job, 1)
            self._usage.add_nonpreemptible(job, 1)
        else:
            reservation = self.reservations[job.reservation]
            self._usage.add_unclaimed(reservation, -1)
            reservation.job = job.key
