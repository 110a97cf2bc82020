"""
ibiscart_core.worker_simulator
~~~~~~~~~~~~~~~~~~~~

Plays, in a replay, what workers do with the jobs they are given.
"""

from ibiscart_core.job import JobKey
from ibiscart_schema.generated.journal_pb2 import (
    JOB_STATE_PLACED,
    JOB_STATE_RUNNING,
    MEMBER_COMPLETED,
    MEMBER_FAILED,
    MEMBER_LAPSED,
    MEMBER_STOPPED,
    STOP_PREEMPTED,
)
from ibiscart_schema.generated.peer_pb2 import Command
from ibiscart_schema.generated.trace_pb2 import JobBehaviour
from ibiscart_schema.generated.types_pb2 import TARGET_LOST

__all__ = ["WorkerSimulator"]

# start call of every member and its "held" answer
HELD_US = 50_000
# release call after the record was appended
RELEASE_US = 10_000
# end of a task until its controller reports it; leases are listed with every renewal
REPORT_US = 500_000
# bounds for these are 1.5 s and 1 s (docs/design.md, section 6.2)
CHECKPOINT_US = 800_000
STOP_US = 300_000
# a lost worker's tasks hold their places for one full lease period
LEASE_US = 30_000_000

ACTIONS = {
    MEMBER_COMPLETED: "completed",
    MEMBER_FAILED: "failed",
    MEMBER_STOPPED: "stopped",
    MEMBER_LAPSED: "lapsed",
}


class WorkerSimulator:
    """Holds, releases, ends and stops the members of placed jobs by their ``JobBehaviour``.

    ``at(time_us, call, argument)`` schedules a call, ``record(time_us, source, **kind)``
    records an event, and ``submit(now_us, command)`` sends a command to the writer. A job
    without a behaviour runs for its declared time. ``lost_accelerator_seconds`` sums the
    accelerator-seconds of work that preemptions threw away.
    """

    def __init__(self, ledger, at, record, submit):
        self.lost_accelerator_seconds = 0.0
        self.call_count = 0
        self._ledger = ledger
        self._at = at
        self._record = record
        self._submit = submit
        self._behaviours = {}
        self._blocked = {}
        self._over = {}

    def set_behaviour(self, behaviour):
        """Sets how a job behaves from its next release on."""
        self._behaviours[JobKey.from_message(behaviour.job)] = behaviour

    def apply(self, record, now_us):
        """Starts what the events of an appended record ask for."""
        for event in record.events:
            kind = event.WhichOneof("kind")
            handle = getattr(self, f"_on_{kind}", None)
            if handle is not None:
                handle(getattr(event, kind), now_us)
        for attempt, _ in list(self._blocked.items()):
            self._report_held(now_us, attempt)

    # start and release

    def _on_job_placed(self, event, now_us):
        attempt = (JobKey.from_message(event.job), event.attempt)
        self.call_count += len(event.workers)
        self._at(now_us + HELD_US, self._hold, attempt)

    def _hold(self, now_us, attempt):
        job = self._current(attempt, JOB_STATE_PLACED)
        if job is None:
            return
        for rank in range(len(job.members)):
            self._act(now_us, job, rank, "started")
        self._blocked[attempt] = True
        self._report_held(now_us, attempt)

    def _report_held(self, now_us, attempt):
        # a controller releases a gang only once the work it preempts has stopped
        job = self._current(attempt, JOB_STATE_PLACED)
        if job is None:
            self._blocked.pop(attempt, None)
            return
        workers = [self._ledger.workers[member.worker_id] for member in job.members]
        if all(_within(worker.free) for worker in workers):
            del self._blocked[attempt]
            held = {"job": job.key.to_message(), "attempt": job.attempt}
            self._submit(now_us, Command(report_held=held))

    def _on_job_released(self, event, now_us):
        attempt = (JobKey.from_message(event.job), event.attempt)
        self.call_count += len(self._ledger.jobs[attempt[0]].members)
        self._at(now_us + RELEASE_US, self._release, attempt)

    def _release(self, now_us, attempt):
        job = self._ledger.jobs.get(attempt[0])
        if job is None or job.attempt != attempt[1] or job.state != JOB_STATE_RUNNING:
            return
        for rank in job.open_members:
            if self._ledger.workers[job.members[rank].worker_id].state != TARGET_LOST:
                self._act(now_us, job, rank, "released")
        behaviour = self._behaviour(job)
        left_us = max(0, int((behaviour.run_seconds - job.saved_seconds) * 1e6))
        failing = behaviour.failing_rank
        if failing and failing <= len(job.members):
            fail_us = int(behaviour.fail_after_seconds * 1e6)
            if fail_us <= left_us:
                self._at(now_us + fail_us, self._end, (attempt, failing - 1, MEMBER_FAILED, 0))
                return
        for rank in job.open_members:
            self._at(now_us + left_us, self._end, (attempt, rank, MEMBER_COMPLETED, 0))

    # end and stop

    def _end(self, now_us, ending):
        attempt, rank, outcome, saved_seconds = ending
        job = self._ledger.jobs.get(attempt[0])
        if job is None or job.attempt != attempt[1] or job.ended:
            return
        worker = self._ledger.workers[job.members[rank].worker_id]
        lost = worker.state == TARGET_LOST and outcome != MEMBER_LAPSED
        over = self._over.setdefault(attempt, set())
        if job.members[rank].ended or lost or rank in over:
            return
        over.add(rank)
        self._act(now_us, job, rank, ACTIONS[outcome])
        if outcome == MEMBER_STOPPED and job.released and job.stop_cause == STOP_PREEMPTED:
            ran = (now_us - job.released_us) / 1e6
            kept = max(0.0, saved_seconds - job.saved_seconds)
            self.lost_accelerator_seconds += max(0.0, ran - kept) * job.shape.member.accelerators
        ended = {
            "job": job.key.to_message(),
            "attempt": job.attempt,
            "rank": rank,
            "outcome": outcome,
            "saved_seconds": saved_seconds,
        }
        command = Command(report_member={"ended": ended})
        self._at(now_us + REPORT_US, self._submit, command)
        if outcome != MEMBER_COMPLETED:
            # the entry that sees the fault stops the others without waiting for a record
            self._at(now_us + REPORT_US, self._stop_others, attempt)

    def _stop_others(self, now_us, attempt):
        if self._current(attempt, JOB_STATE_RUNNING) is None:
            return
        job = self._ledger.jobs[attempt[0]]
        for rank in job.open_members:
            if rank not in self._over[attempt]:
                self.call_count += 1
                self._at(now_us + STOP_US, self._end, (attempt, rank, MEMBER_STOPPED, 0.0))

    def _on_job_stopping(self, event, now_us):
        attempt = (JobKey.from_message(event.job), event.attempt)
        job = self._ledger.jobs.get(attempt[0])
        if job is None or job.attempt != event.attempt or job.ended:
            return
        saved_seconds, delay_us = 0.0, STOP_US
        preempted = event.cause == STOP_PREEMPTED and job.released
        if preempted and not self._behaviour(job).no_checkpoint:
            saved_seconds = job.saved_seconds + (now_us - job.released_us) / 1e6
            delay_us += CHECKPOINT_US
        for rank in job.open_members:
            if rank in self._over.get(attempt, ()):
                continue
            self.call_count += 1 + preempted
            ending = (attempt, rank, MEMBER_STOPPED, saved_seconds)
            self._at(now_us + delay_us, self._end, ending)

    def _on_worker_state_changed(self, event, now_us):
        if event.state != TARGET_LOST:
            return
        signal = {"process_id": event.worker_id, "signal": "kill"}
        self._record(now_us, event.worker_id, process_signal=signal)
        for key, number, rank in self._ledger.workers[event.worker_id].members:
            ending = ((key, number), rank, MEMBER_LAPSED, 0.0)
            self._at(now_us + LEASE_US, self._end, ending)

    def _on_job_requeued(self, event, now_us):
        self._over.pop((JobKey.from_message(event.job), event.attempt - 1), None)

    def _on_job_ended(self, event, now_us):
        key = JobKey.from_message(event.job)
        self._behaviours.pop(key, None)
        for attempt in [attempt for attempt in self._over if attempt[0] == key]:
            del self._over[attempt]

    # helpers

    def _current(self, attempt, state):
        job = self._ledger.jobs.get(attempt[0])
        if job is None or job.attempt != attempt[1] or job.state != state:
            return None
        return job

    def _behaviour(self, job):
        behaviour = self._behaviours.get(job.key)
        if behaviour is None:
            behaviour = JobBehaviour(run_seconds=job.spec.declared_seconds)
        return behaviour

    def _act(self, now_us, job, rank, action):
        worker_id = job.members[rank].worker_id
        self._record(
            now_us,
            worker_id,
            target_action={
                "target_id": worker_id,
                "action": action,
                "account": job.key.account,
                "request_id": job.key.request_id,
                "attempt": job.attempt,
                "rank": rank,
                "members": len(job.members),
            },
        )


def _within(resources):
    return min(resources.accelerators, resources.cpu_millis, resources.memory_mb) >= 0
