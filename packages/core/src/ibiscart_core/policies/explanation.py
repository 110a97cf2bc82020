"""
ibiscart_core.policies.explanation
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Explains, in lines of text, why a queued job is not placed.
"""

from datetime import UTC, datetime

from ibiscart_core.admission import fits_unreserved
from ibiscart_core.policies.backlog import JobClass, due_us, estimated_seconds
from ibiscart_core.policies.burst import (
    SHORT_JOB_MAX_SECONDS,
    BurstPass,
    preemption_backoff_until_us,
)
from ibiscart_core.policies.claim import claimable_reservations
from ibiscart_core.policy import Batch
from ibiscart_core.resource import Resources
from ibiscart_schema.generated.journal_pb2 import JOB_STATE_QUEUED, JobState
from ibiscart_schema.generated.types_pb2 import Scope

__all__ = ["explain_job"]


def explain_job(index, job, now_us):
    """Returns lines that explain why ``job`` is not placed.

    For a job that is not queued, returns one line with its state.
    """
    if job.state != JOB_STATE_QUEUED:
        state = JobState.Name(job.state).removeprefix("JOB_STATE_").lower()
        return [f"{job.key} is not queued: it is {state} ({job.reason})"]
    return _Explanation(index, job, now_us).lines()


class _Explanation:
    """Lines of text that explain why one queued job is not placed."""

    def __init__(self, index, job, now_us):
        self._index = index
        self._ledger = index.ledger
        self._job = job
        self._now_us = now_us
        self._account = self._ledger.accounts[job.key.account]

    def lines(self):
        lines = [self._queue_line()]
        if self._job.not_before_us > self._now_us:
            seconds = _seconds_between(self._job.not_before_us, self._now_us)
            lines.append(f"backoff: not placed for {seconds} s more ({self._job.reason})")
        lines += self._guarantee_lines()
        limits = self._limit_lines()
        return lines + (limits or self._capacity_lines())

    def _queue_line(self):
        """Returns a line with the time in the queue, the estimated run time and the due time."""
        job, estimates = self._job, self._ledger.estimates
        estimate = estimates.estimate(job.key.account, job.spec.kind, job.spec.declared_seconds)
        source = f"{estimate.observations} observed jobs of kind {job.spec.kind}"
        if estimate.observations < 3:
            source = "the declared time"
        waited = _seconds_between(self._now_us, job.submitted_us)
        due = due_us(self._ledger, job)
        order = "due: it precedes all jobs that are not due"
        if due > self._now_us:
            order = f"due in {_seconds_between(due, self._now_us)} s"
        return (
            f"queued for {waited} s, attempt {job.attempt}; estimated run time "
            f"{estimate.median:.0f} s from {source}; {order}"
        )

    def _guarantee_lines(self):
        """Returns lines on why no guarantee of the account runs the job."""
        shape = self._job.shape
        covering = [r for r in self._account.reservations.values() if r.shape.covers(shape)]
        if not covering:
            return [f"no guarantee of {self._account.name} covers {_shape_text(shape)}"]
        lines = []
        claimed = [f"{r.key} by {r.job}" for r in covering if r.job is not None]
        if claimed:
            lines.append(
                f"{len(claimed)} of {len(covering)} guarantees that cover it are claimed: "
                + ", ".join(claimed[:4])
            )
        unmet = [str(r.key) for r in covering if r.job is None and not r.workers]
        if unmet:
            lines.append(
                f"{len(unmet)} of {len(covering)} guarantees that cover it are unmet, "
                f"without a place on the live workers: {', '.join(unmet[:4])}"
            )
        for reservation in claimable_reservations(self._account, shape)[:1]:
            unavailable = [w for w in reservation.workers if not self._ledger.workers[w].accepts]
            if unavailable:
                lines.append(
                    f"guarantee {reservation.key} waits for a trial task on {unavailable[0]}"
                )
            else:
                lines.append(f"guarantee {reservation.key} is free and is claimed in the next pass")
        return lines

    def _limit_lines(self):
        """Returns a line for each burst limit of the account that the job would exceed."""
        contract, account, total = self._account.contract, self._account, self._job.shape.total
        job_class = JobClass(self._job.shape, self._job.spec.repeatable)
        over_accelerators, over_cpu = job_class.limits_exceeded(account)
        lines = []
        if over_accelerators:
            lines.append(
                f"burst limit: {account.name} holds {account.burst_accelerators} accelerators and "
                f"{total.accelerators} more exceed burst_accelerators="
                f"{contract.burst_accelerators}"
            )
        if over_cpu:
            lines.append(
                f"burst limit: {account.name} holds {account.burst_cpu_millis} millicores and "
                f"{total.cpu_millis} more exceed burst_cpu_millis={contract.burst_cpu_millis}"
            )
        return lines

    def _capacity_lines(self):
        """Returns lines on why the job gets no capacity outside guarantees."""
        job = self._job
        capacity, lines = self._index.free, []
        if not job.spec.repeatable:
            capacity = self._index.fixed
            lines.append("it may run only once, so it gets no capacity that a guarantee may need")
            if not fits_unreserved(self._ledger, job.shape):
                lines.append(
                    "no domain can ever hold it beside the present guarantees; cancel it, or ask "
                    "an operator for a guarantee"
                )
        elif preemption_backoff_until_us(job) > self._now_us:
            capacity = self._index.clear
            seconds = _seconds_between(preemption_backoff_until_us(job), self._now_us)
            lines.append(
                f"{job.preempted_by} preempted it, so it gets no capacity that a guarantee may "
                f"need for {seconds} s more"
            )
        burst_pass = BurstPass(Batch(self._ledger, self._now_us), self._index)
        backfill_reservations = burst_pass.preview()
        if capacity.find(job.shape) is None:
            lines.append(self._largest_domain_text(capacity))
            lines += [
                self._own_reservation_text(reservation)
                for reservation in backfill_reservations
                if reservation.job is job
            ]
            return lines
        end_us = self._now_us + int(estimated_seconds(self._ledger, job) * 1e6)
        if burst_pass.blocked_by_short_job_reserve(job.shape, estimated_seconds(self._ledger, job)):
            lines.append(
                "what is free is kept for short work, with an estimated run time of at most "
                f"{SHORT_JOB_MAX_SECONDS} s"
            )
        for reservation in backfill_reservations:
            if (
                reservation.applies_to(job, end_us)
                and capacity.find(job.shape, reservation.extra_capacity) is None
            ):
                lines.append(self._blocked_by_text(reservation))
        if len(lines) == 0 or lines[-1].startswith("it may run"):
            lines.append(
                "enough capacity is free; it is placed in the next pass, in the order of the queue"
            )
        return lines

    def _largest_domain_text(self, capacity):
        """Returns a line on the domain where ``capacity`` fits the most members of the job."""
        shape = self._job.shape
        domains, free = {}, 0
        for worker in self._ledger.workers.values():
            amounts = capacity.amount(worker.id)
            if min(amounts) < 0:
                continue
            free += amounts[0]
            entry = domains.setdefault(worker.domain(shape.scope), [0, 0])
            entry[0] += min(shape.members, shape.member.times_within(Resources(*amounts)))
            entry[1] += amounts[0]
        scope = Scope.Name(shape.scope).removeprefix("SCOPE_").lower().replace("_", " ")
        members, accelerators, name = max(
            ((entry[0], entry[1], name) for name, entry in domains.items()), default=(0, 0, "none")
        )
        required = f"{shape.members} members"
        if shape.accelerators:
            required = f"{shape.accelerators} free adjacent accelerators"
        return (
            f"no {scope} has {required} for {_shape_text(shape)}: the best, {name or 'region'}, "
            f"has room for {members} members and {accelerators} free accelerators; {free} are "
            "free in the region"
        )

    def _own_reservation_text(self, reservation):
        """Returns a line on the backfill reservation of this job."""
        return (
            f"{len(reservation.extra_capacity)} workers are held for it; estimated start "
            f"{self._time_text(reservation.start_us)}, when the work there has ended"
        )

    def _blocked_by_text(self, reservation):
        """Returns a line on the backfill reservation of another job that blocks this job."""
        seconds = estimated_seconds(self._ledger, self._job)
        kind = "due job" if reservation.exclusive else "gang"
        return (
            f"behind the reserved {kind} {reservation.job.key} "
            f"({_shape_text(reservation.job.shape)}) until an estimated "
            f"{self._time_text(reservation.start_us)}; it would run {seconds:.0f} s"
        )

    def _time_text(self, time_us):
        timestamp = datetime.fromtimestamp(time_us / 1e6, UTC).strftime("%Y-%m-%dT%H:%M:%SZ")
        return f"{timestamp} (in {_seconds_between(time_us, self._now_us)} s)"


def _shape_text(shape):
    member = shape.member
    return (
        f"{shape.members} x ({member.accelerators} accelerators, {member.cpu_millis} millicores, "
        f"{member.memory_mb} MB)"
    )


def _seconds_between(later_us, earlier_us):
    """Returns whole seconds, 0 if ``later_us`` is before ``earlier_us``."""
    return max(0, later_us - earlier_us) // 1_000_000
