"""
ibiscart_core.lifecycle
~~~~~~~~~~~~~~~~~~~~~~~

Transitions of jobs: release, stop, preemption, cancellation, requeueing and end.
"""

from ibiscart_schema.generated.journal_pb2 import (
    JOB_CANCELLED,
    JOB_COMPLETED,
    JOB_FAILED,
    JOB_STATE_PLACED,
    JOB_STATE_QUEUED,
    JOB_STATE_RUNNING,
    JOB_STATE_STOPPING,
    JOB_UNKNOWN,
    MEMBER_COMPLETED,
    MEMBER_FAILED,
    STOP_CANCELLED,
    STOP_MEMBER_FAILED,
    STOP_PREEMPTED,
    STOP_START_FAILED,
    STOP_WORKER_LOST,
)
from ibiscart_schema.generated.types_pb2 import RAN_MAYBE, RAN_NO, RAN_YES

__all__ = ["DEFAULT_MAX_ATTEMPTS", "Lifecycle", "jobs_over_limit"]

DEFAULT_MAX_ATTEMPTS = 3

STOP_REASONS = {
    STOP_CANCELLED: "cancelled",
    STOP_PREEMPTED: "preempted",
    STOP_MEMBER_FAILED: "member_failed",
    STOP_WORKER_LOST: "worker_lost",
    STOP_START_FAILED: "start_failed",
}
# a start that fails before the release loses no work, so it may be retried more often than
# a failed run (``DEFAULT_MAX_ATTEMPTS``)
MAX_START_ATTEMPTS = 20
INITIAL_BACKOFF_SECONDS = 1
MAX_BACKOFF_SECONDS = 60


def jobs_over_limit(account, contract, dropped=()):
    """Returns the burst jobs to preempt so that the account is within the limits of ``contract``.

    ``dropped`` contains the jobs whose guarantee the contract removes, so that they count as
    burst work. Jobs that were released last lose the least work and come first.
    """
    accelerators = account.burst_accelerators + sum(j.shape.accelerators for j in dropped)
    cpu_millis = account.burst_cpu_millis + sum(j.shape.total.cpu_millis for j in dropped)
    candidates = [j for j in account.active.values() if j.preemptible]
    candidates += [j for j in dropped if j.spec.repeatable]
    chosen = []
    for job in sorted(candidates, key=_preemption_order):
        over_accelerators = accelerators > contract.burst_accelerators
        over_cpu = cpu_millis > contract.burst_cpu_millis
        total = job.shape.total
        reduces = (over_accelerators and total.accelerators) or (over_cpu and total.cpu_millis)
        if not reduces:
            continue
        accelerators -= total.accelerators
        cpu_millis -= total.cpu_millis
        if job.state != JOB_STATE_STOPPING:
            chosen.append(job)
    return chosen


def _preemption_order(job):
    # preempted first: stopping jobs, whose workers become free in any case; then jobs that were not
    # released, which lose no work; then those released last
    return (
        job.state != JOB_STATE_STOPPING,
        job.released,
        -job.released_us,
        job.key.sort_key(),
    )


class Lifecycle:
    """Emits the events of job state transitions into a ``Batch``."""

    def __init__(self, batch, max_attempts=DEFAULT_MAX_ATTEMPTS):
        self._batch = batch
        self._max_attempts = max_attempts

    def release(self, job, attempt):
        """Releases a gang whose members are all held; ignores reports about other attempts."""
        if job.state == JOB_STATE_PLACED and job.attempt == attempt:
            self._batch.emit(job_released={"job": job.key.to_message(), "attempt": attempt})

    def fail_start(self, job, attempt):
        """Stops a gang that could not be started; ignores reports about other attempts."""
        if job.state == JOB_STATE_PLACED and job.attempt == attempt:
            self.stop(job, STOP_START_FAILED)

    def stop(self, job, cause, preempted_by=None):
        """Begins to stop all members; the job is requeued or ends once all members have ended."""
        stopping = {"job": job.key.to_message(), "attempt": job.attempt, "cause": cause}
        if preempted_by is not None:
            stopping["preempted_by"] = preempted_by.to_message()
        self._batch.emit(job_stopping=stopping)
        self._end_attempt_if_done(job)

    def cancel(self, job):
        """Cancels a job in any state; does nothing if it has ended."""
        if job.state == JOB_STATE_QUEUED:
            self._end(job, JOB_CANCELLED, _ran_value(job), "cancelled")
            return
        stopping = job.state == JOB_STATE_STOPPING and job.stop_cause == STOP_CANCELLED
        if not job.ended and not stopping:
            self.stop(job, STOP_CANCELLED)

    def stop_jobs_on(self, worker):
        """Stops every gang with a member on a lost worker."""
        for key in sorted({m[0] for m in worker.members}, key=lambda k: k.sort_key()):
            job = self._batch.ledger.jobs[key]
            if job.state in (JOB_STATE_PLACED, JOB_STATE_RUNNING):
                self.stop(job, STOP_WORKER_LOST)

    def preempt_over_limit(self, account):
        """Preempts burst work until the account is within its burst limits; returns the jobs."""
        preempted = jobs_over_limit(account, account.contract)
        for job in preempted:
            self.stop(job, STOP_PREEMPTED)
        return preempted

    def end_member(self, job, ended):
        """Records the end of a member; returns False if it is a duplicate or of another attempt."""
        if ended.attempt != job.attempt or ended.rank >= len(job.members):
            return False
        if job.members[ended.rank].ended:
            return False
        self._batch.emit(member_ended=ended)
        if job.state == JOB_STATE_PLACED:
            self.stop(job, STOP_START_FAILED)
        elif job.state == JOB_STATE_RUNNING and ended.outcome != MEMBER_COMPLETED:
            cause = STOP_MEMBER_FAILED if ended.outcome == MEMBER_FAILED else STOP_WORKER_LOST
            self.stop(job, cause)
        else:
            self._end_attempt_if_done(job)
        return True

    def _end_attempt_if_done(self, job):
        """Ends or requeues the job once all members of its attempt have ended."""
        if job.open_members:
            return
        outcomes = {member.outcome for member in job.members}
        if job.released and outcomes == {MEMBER_COMPLETED}:
            self._end(job, JOB_COMPLETED, RAN_YES, "completed")
        elif job.state == JOB_STATE_STOPPING:
            self._end_stopped_attempt(job, outcomes)

    def _end_stopped_attempt(self, job, outcomes):
        """Ends or requeues a stopped job by its stop cause and its members' outcomes."""
        cause = job.stop_cause
        if cause == STOP_WORKER_LOST and MEMBER_FAILED in outcomes:
            # when a member fails, the others are stopped before the failure is recorded, so that
            # their ends may come first in the journal
            cause = STOP_MEMBER_FAILED
        reason = STOP_REASONS[cause]
        if job.stop_cause == STOP_CANCELLED:
            self._end(job, JOB_CANCELLED, _ran_value(job), reason)
        elif not job.released:
            self._retry_start(job, reason)
        elif not job.spec.repeatable:
            failed = MEMBER_FAILED in outcomes
            outcome = JOB_FAILED if failed else JOB_UNKNOWN
            self._end(job, outcome, RAN_YES if failed else RAN_MAYBE, reason)
        elif job.stop_cause == STOP_PREEMPTED:
            self._requeue(job, reason, failed=False)
        elif job.failures + 1 < self._max_attempts:
            self._requeue(job, reason, failed=True)
        else:
            self._end(job, JOB_FAILED, RAN_YES, f"{reason}_{self._max_attempts}_times")

    def _retry_start(self, job, reason):
        """Requeues a job stopped before its release; fails it after too many attempts."""
        if job.attempt < MAX_START_ATTEMPTS or job.stop_cause == STOP_PREEMPTED:
            self._requeue(job, reason, failed=False)
        else:
            self._end(job, JOB_FAILED, _ran_value(job), reason)

    def _requeue(self, job, reason, failed):
        """Requeues the job, with a backoff unless preempted; ``failed`` counts it as a failure."""
        backoff = 0
        if job.stop_cause != STOP_PREEMPTED:
            backoff = min(INITIAL_BACKOFF_SECONDS * 2**job.failures, MAX_BACKOFF_SECONDS)
        self._batch.emit(
            job_requeued={
                "job": job.key.to_message(),
                "attempt": job.attempt + 1,
                "reason": reason,
                "not_before_us": self._batch.now_us + backoff * 1_000_000,
                "failed": failed,
            }
        )

    def _end(self, job, outcome, ran, reason):
        """Ends the job; ``ran`` is a ``Ran`` value for whether the work may have run."""
        self._batch.emit(
            job_ended={
                "job": job.key.to_message(),
                "outcome": outcome,
                "ran": ran,
                "reason": reason,
            }
        )


def _ran_value(job):
    """Returns the ``Ran`` value of a job that ends without having completed."""
    return RAN_MAYBE if job.ever_released else RAN_NO
