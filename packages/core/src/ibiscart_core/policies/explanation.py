"""
ibiscart_core.policies.explanation
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Says in plain lines why a queued job is not placed.
"""

from datetime import UTC, datetime

from ibiscart_core.admission import fits_unreserved
from ibiscart_core.policies.backlog import JobClass, due_us, estimated_seconds
from ibiscart_core.policies.burst import SHORT_SECONDS, BurstPass, avoids_reservations_until_us
from ibiscart_core.policies.claim import claimable
from ibiscart_core.policy import Batch
from ibiscart_core.resource import Resources
from ibiscart_schema.generated.journal_pb2 import JOB_STATE_QUEUED, JobState
from ibiscart_schema.generated.types_pb2 import Scope

__all__ = ["explain_job"]


def explain_job(view, job, now_us):
    """Returns the lines for ``job``; one line when it is not queued."""
    if job.state != JOB_STATE_QUEUED:
        state = JobState.Name(job.state).removeprefix("JOB_STATE_").lower()
        return [f"{job.key} is not queued: it is {state} ({job.reason})"]
    return _Explanation(view, job, now_us).lines()


class _Explanation:
    def __init__(self, view, job, now_us):
        self._view = view
        self._ledger = view.ledger
        self._job = job
        self._now_us = now_us
        self._account = self._ledger.accounts[job.key.account]

    def lines(self):
        lines = [self._order()]
        if self._job.not_before_us > self._now_us:
            seconds = _seconds(self._job.not_before_us, self._now_us)
            lines.append(f"backoff: not placed for {seconds} s more ({self._job.reason})")
        lines += self._guarantees()
        limits = self._limits()
        return lines + (limits or self._places())

    def _order(self):
        job, estimates = self._job, self._ledger.estimates
        estimate = estimates.estimate(job.key.account, job.spec.kind, job.spec.declared_seconds)
        source = f"{estimate.observations} observed jobs of kind {job.spec.kind}"
        if estimate.observations < 3:
            source = "the declared time"
        waited = _seconds(self._now_us, job.submitted_us)
        due = due_us(self._ledger, job)
        order = "due: it precedes all jobs that are not"
        if due > self._now_us:
            order = f"due in {_seconds(due, self._now_us)} s"
        return (
            f"queued for {waited} s, attempt {job.attempt}; estimated run time "
            f"{estimate.median:.0f} s from {source}; {order}"
        )

    def _guarantees(self):
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
        for reservation in claimable(self._account, shape)[:1]:
            busy = [w for w in reservation.workers if not self._ledger.workers[w].accepts]
            if busy:
                lines.append(f"guarantee {reservation.key} waits for a trial task on {busy[0]}")
            else:
                lines.append(f"guarantee {reservation.key} is free and is claimed in the next pass")
        return lines

    def _limits(self):
        contract, account, total = self._account.contract, self._account, self._job.shape.total
        job_class = JobClass(self._job.shape, self._job.spec.repeatable)
        over_accelerators, over_cpu = job_class.over_limit(account)
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

    def _places(self):
        job = self._job
        level, lines = self._view.free, []
        if not job.spec.repeatable:
            level = self._view.fixed
            lines.append("it may run only once, so it gets no place that a guarantee may need")
            if not fits_unreserved(self._ledger, job.shape):
                lines.append(
                    "no domain can ever hold it beside the present guarantees; cancel it, or ask "
                    "an operator for a guarantee"
                )
        elif avoids_reservations_until_us(job) > self._now_us:
            level = self._view.clear
            seconds = _seconds(avoids_reservations_until_us(job), self._now_us)
            lines.append(
                f"{job.preempted_by} preempted it, so it gets no place that a guarantee may need "
                f"for {seconds} s more"
            )
        burst_pass = BurstPass(Batch(self._ledger, self._now_us), self._view)
        holds = burst_pass.preview()
        if level.find(job.shape) is None:
            lines.append(self._largest_domain(level))
            lines += [self._own_hold(hold) for hold in holds if hold.job is job]
            return lines
        end_us = self._now_us + int(estimated_seconds(self._ledger, job) * 1e6)
        if burst_pass.keeps_off_lane(job.shape, estimated_seconds(self._ledger, job)):
            lines.append(
                f"what is free is kept for short work, at most {SHORT_SECONDS} s by estimate"
            )
        for hold in holds:
            if hold.binds(job, end_us) and level.find(job.shape, hold.spare) is None:
                lines.append(self._behind(hold))
        if len(lines) == 0 or lines[-1].startswith("it may run"):
            lines.append("places are free; it is placed in the next pass within its turn")
        return lines

    def _largest_domain(self, level):
        shape = self._job.shape
        domains, free = {}, 0
        for worker in self._ledger.workers.values():
            amounts = level.amount(worker.id)
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
        wanted = f"{shape.members} members"
        if shape.accelerators:
            wanted = f"{shape.accelerators} free adjacent accelerators"
        return (
            f"no {scope} has {wanted} for {_shape_text(shape)}: the best, {name or 'region'}, has "
            f"room for {members} members and {accelerators} free accelerators; {free} are free "
            "in the region"
        )

    def _own_hold(self, hold):
        return (
            f"{len(hold.spare)} workers are held for it; estimated start "
            f"{self._when(hold.start_us)}, when the work there has ended"
        )

    def _behind(self, hold):
        seconds = estimated_seconds(self._ledger, self._job)
        kind = "due job" if hold.strict else "gang"
        return (
            f"behind the reserved {kind} {hold.job.key} ({_shape_text(hold.job.shape)}) until an "
            f"estimated {self._when(hold.start_us)}; it would run {seconds:.0f} s"
        )

    def _when(self, time_us):
        moment = datetime.fromtimestamp(time_us / 1e6, UTC).strftime("%Y-%m-%dT%H:%M:%SZ")
        return f"{moment} (in {_seconds(time_us, self._now_us)} s)"


def _shape_text(shape):
    member = shape.member
    return (
        f"{shape.members} x ({member.accelerators} accelerators, {member.cpu_millis} millicores, "
        f"{member.memory_mb} MB)"
    )


def _seconds(later_us, earlier_us):
    return max(0, later_us - earlier_us) // 1_000_000
