"""
ibiscart_core.worker_simulator
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Simulates, in a replay, what workers do with the jobs that they are given.
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

# time from the placement of an attempt until all members have answered the start calls with "held"
HELD_US = 50_000
# time from the append of the release record until all members have been released
RELEASE_US = 10_000
# time from the end of a task until an entry reports it: the entry that renews the worker's leases
# learns of the end from the list of tasks with which the worker answers its calls
REPORT_US = 500_000
# simulated durations of a checkpoint, whose limit is 1.5 s, and of a stop, whose limit is 1 s
# (docs/design.md, section 6.2)
CHECKPOINT_US = 800_000
STOP_US = 300_000
# tasks of a lost worker keep their allocations for one full lease period
LEASE_US = 30_000_000

ACTIONS = {
    MEMBER_COMPLETED: "completed",
    MEMBER_FAILED: "failed",
    MEMBER_STOPPED: "stopped",
    MEMBER_LAPSED: "lapsed",
}


class WorkerSimulator:
    """Starts, releases, ends and stops the members of placed jobs by their ``JobBehaviour``.

    ``schedule(time_us, callback, argument)`` schedules a call,
    ``record_event(time_us, source, **kind)`` records an event, and
    ``queue_command(now_us, command)`` sends a command to the writer. A job without a behaviour
    runs for its declared time. ``call_count`` is the number of calls to workers,
    ``lost_accelerator_seconds`` the work that preemptions discarded.
    """

    def __init__(self, ledger, schedule, record_event, queue_command):
        self.lost_accelerator_seconds = 0.0
        self.call_count = 0
        self._ledger = ledger
        self._schedule = schedule
        self._record_event = record_event
        self._queue_command = queue_command
        self._behaviours = {}
        self._awaiting_capacity = {}
        self._ended_ranks = {}

    def set_behaviour(self, behaviour):
        """Sets how a job behaves from its next release on."""
        self._behaviours[JobKey.from_message(behaviour.job)] = behaviour

    def apply(self, record, now_us):
        """Starts the actions that the events of an appended record require."""
        for event in record.events:
            kind = event.WhichOneof("kind")
            handle = getattr(self, f"_on_{kind}", None)
            if handle is not None:
                handle(getattr(event, kind), now_us)
        for attempt, _ in list(self._awaiting_capacity.items()):
            self._report_held(now_us, attempt)

    def _on_job_placed(self, event, now_us):
        """Schedules the start of the members of a placed attempt."""
        attempt = (JobKey.from_message(event.job), event.attempt)
        self.call_count += len(event.workers)
        self._schedule(now_us + HELD_US, self._start_members, attempt)

    def _start_members(self, now_us, attempt):
        """Records the start of all members, which then wait for free capacity."""
        job = self._find_job(attempt, JOB_STATE_PLACED)
        if job is None:
            return
        for rank in range(len(job.members)):
            self._record_action(now_us, job, rank, "started")
        self._awaiting_capacity[attempt] = True
        self._report_held(now_us, attempt)

    def _report_held(self, now_us, attempt):
        """Reports that all members of a gang are held once their workers have free capacity."""
        # an entry releases a gang only after the jobs that the gang preempts have stopped
        job = self._find_job(attempt, JOB_STATE_PLACED)
        if job is None:
            self._awaiting_capacity.pop(attempt, None)
            return
        workers = [self._ledger.workers[member.worker_id] for member in job.members]
        if all(_is_nonnegative(worker.free) for worker in workers):
            del self._awaiting_capacity[attempt]
            held = {"job": job.key.to_message(), "attempt": job.attempt}
            self._queue_command(now_us, Command(report_held=held))

    def _on_job_released(self, event, now_us):
        """Schedules the release of the members of a released attempt."""
        attempt = (JobKey.from_message(event.job), event.attempt)
        self.call_count += len(self._ledger.jobs[attempt[0]].members)
        self._schedule(now_us + RELEASE_US, self._release, attempt)

    def _release(self, now_us, attempt):
        """Releases the open members and schedules their ends by the job's ``JobBehaviour``."""
        job = self._ledger.jobs.get(attempt[0])
        if job is None or job.attempt != attempt[1] or job.state != JOB_STATE_RUNNING:
            return
        for rank in job.open_members:
            if self._ledger.workers[job.members[rank].worker_id].state != TARGET_LOST:
                self._record_action(now_us, job, rank, "released")
        behaviour = self._find_behaviour(job)
        remaining_us = max(0, int((behaviour.run_seconds - job.saved_seconds) * 1e6))
        failing_rank = behaviour.failing_rank
        if failing_rank and failing_rank <= len(job.members):
            fail_us = int(behaviour.fail_after_seconds * 1e6)
            if fail_us <= remaining_us:
                self._schedule(
                    now_us + fail_us,
                    self._end_member,
                    (attempt, failing_rank - 1, MEMBER_FAILED, 0),
                )
                return
        for rank in job.open_members:
            self._schedule(
                now_us + remaining_us, self._end_member, (attempt, rank, MEMBER_COMPLETED, 0)
            )

    def _end_member(self, now_us, ending):
        """Ends one member; ``ending`` is (attempt, rank, outcome, seconds of saved work)."""
        attempt, rank, outcome, saved_seconds = ending
        job = self._ledger.jobs.get(attempt[0])
        if job is None or job.attempt != attempt[1] or job.ended:
            return
        worker = self._ledger.workers[job.members[rank].worker_id]
        worker_lost = worker.state == TARGET_LOST and outcome != MEMBER_LAPSED
        ended_ranks = self._ended_ranks.setdefault(attempt, set())
        if job.members[rank].ended or worker_lost or rank in ended_ranks:
            return
        ended_ranks.add(rank)
        self._record_action(now_us, job, rank, ACTIONS[outcome])
        if outcome == MEMBER_STOPPED and job.released and job.stop_cause == STOP_PREEMPTED:
            ran_seconds = (now_us - job.released_us) / 1e6
            newly_saved_seconds = max(0.0, saved_seconds - job.saved_seconds)
            self.lost_accelerator_seconds += (
                max(0.0, ran_seconds - newly_saved_seconds) * job.shape.member.accelerators
            )
        ended = {
            "job": job.key.to_message(),
            "attempt": job.attempt,
            "rank": rank,
            "outcome": outcome,
            "saved_seconds": saved_seconds,
        }
        command = Command(report_member={"ended": ended})
        self._schedule(now_us + REPORT_US, self._queue_command, command)
        if outcome != MEMBER_COMPLETED:
            # the entry that sees the failure stops the other members without waiting for a record
            self._schedule(now_us + REPORT_US, self._stop_other_members, attempt)

    def _stop_other_members(self, now_us, attempt):
        """Stops the open members of an attempt after one ended without completing."""
        if self._find_job(attempt, JOB_STATE_RUNNING) is None:
            return
        job = self._ledger.jobs[attempt[0]]
        for rank in job.open_members:
            if rank not in self._ended_ranks[attempt]:
                self.call_count += 1
                self._schedule(
                    now_us + STOP_US, self._end_member, (attempt, rank, MEMBER_STOPPED, 0.0)
                )

    def _on_job_stopping(self, event, now_us):
        """Schedules the stop of the open members; preempted ones save a checkpoint if they can."""
        attempt = (JobKey.from_message(event.job), event.attempt)
        job = self._ledger.jobs.get(attempt[0])
        if job is None or job.attempt != event.attempt or job.ended:
            return
        saved_seconds, delay_us = 0.0, STOP_US
        preempted = event.cause == STOP_PREEMPTED and job.released
        if preempted and not self._find_behaviour(job).no_checkpoint:
            saved_seconds = job.saved_seconds + (now_us - job.released_us) / 1e6
            delay_us += CHECKPOINT_US
        for rank in job.open_members:
            if rank in self._ended_ranks.get(attempt, ()):
                continue
            self.call_count += 1 + preempted
            ending = (attempt, rank, MEMBER_STOPPED, saved_seconds)
            self._schedule(now_us + delay_us, self._end_member, ending)

    def _on_worker_state_changed(self, event, now_us):
        """Records the loss of a worker; schedules the end of its tasks after one lease period."""
        if event.state != TARGET_LOST:
            return
        signal = {"process_id": event.worker_id, "signal": "kill"}
        self._record_event(now_us, event.worker_id, process_signal=signal)
        for key, number, rank in self._ledger.workers[event.worker_id].members:
            ending = ((key, number), rank, MEMBER_LAPSED, 0.0)
            self._schedule(now_us + LEASE_US, self._end_member, ending)

    def _on_job_requeued(self, event, now_us):
        """Deletes the ended ranks of the previous attempt."""
        self._ended_ranks.pop((JobKey.from_message(event.job), event.attempt - 1), None)

    def _on_job_ended(self, event, now_us):
        """Deletes the behaviour and the ended ranks of a job that has ended."""
        key = JobKey.from_message(event.job)
        self._behaviours.pop(key, None)
        for attempt in [attempt for attempt in self._ended_ranks if attempt[0] == key]:
            del self._ended_ranks[attempt]

    def _find_job(self, attempt, state):
        """Returns the job of ``attempt`` (job key, number) if it is in ``state``, else None."""
        job = self._ledger.jobs.get(attempt[0])
        if job is None or job.attempt != attempt[1] or job.state != state:
            return None
        return job

    def _find_behaviour(self, job):
        """Returns the job's behaviour; by default it runs for its declared time."""
        behaviour = self._behaviours.get(job.key)
        if behaviour is None:
            behaviour = JobBehaviour(run_seconds=job.spec.declared_seconds)
        return behaviour

    def _record_action(self, now_us, job, rank, action):
        """Records a ``target_action`` event of the member with this rank."""
        worker_id = job.members[rank].worker_id
        self._record_event(
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


def _is_nonnegative(resources):
    return min(resources.accelerators, resources.cpu_millis, resources.memory_mb) >= 0
