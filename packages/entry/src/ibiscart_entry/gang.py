"""
ibiscart_entry.gang
~~~~~~~~~~~~~~~~~~~

Drives one job on its workers: held start, release, and stop of all members.
"""

import logging
from copy import copy

import trio

from ibiscart_core.resource import Resources
from ibiscart_entry.task import TaskError, retry_times
from ibiscart_schema.generated.journal_pb2 import (
    JOB_STATE_PLACED,
    JOB_STATE_RUNNING,
    JOB_STATE_STOPPING,
    MEMBER_COMPLETED,
    MEMBER_FAILED,
    MEMBER_LAPSED,
    MEMBER_NOT_STARTED,
    MEMBER_STOPPED,
    STOP_PREEMPTED,
)
from ibiscart_schema.generated.peer_pb2 import Command
from ibiscart_schema.generated.target_pb2 import StartTask
from ibiscart_schema.generated.types_pb2 import TARGET_LEAVING, TARGET_LOST

__all__ = ["OUTCOMES", "STALE_SECONDS", "Gang"]

LOG = logging.getLogger("ibiscart.controller")
# longest time from a placement to clear places: preempted work that does not answer is
# gone after two leases
PLACES_SECONDS = 90.0
START_SECONDS = 10.0
HELD_RENEWALS = 3
# an entry that has not confirmed its journal position for this time extends no lease
STALE_SECONDS = 10.0
OUTCOMES = {
    "completed": MEMBER_COMPLETED,
    "failed": MEMBER_FAILED,
    "stopped": MEMBER_STOPPED,
    "lapsed": MEMBER_LAPSED,
}
# a start call that fails for one of these reasons has no effect
NOT_STARTED = ("refused", "connect_timeout", "leaving", "refused_task")
OPEN_STATES = ("held", "running")


class Gang:
    """One active job as this entry drives it.

    Another entry may drive the same job at the same time: every call is idempotent, and
    only the journal's release lets members run. ``journal``, ``calls`` (``TaskCalls``) and
    ``reports`` (``Reports``) and ``leases`` (``WorkerLeases``) are shared by all gangs.
    """

    def __init__(self, key, journal, calls, reports, settings, leases, signs, metrics, random):
        self.key = key
        self._journal = journal
        self._calls = calls
        self._reports = reports
        self._settings = settings
        self._leases = leases
        self._signs = signs
        self._metrics = metrics
        self._random = random
        self._phase = None
        self._scope = trio.CancelScope()
        self._changed = trio.Event()
        self._seen_at = {}
        self._placed_attempt = None
        self._waits_places = False
        self._unanswered = {}

    @property
    def waits_places(self):
        """Whether the job waits for preempted work to leave its workers."""
        return self._waits_places

    def note_placed(self, attempt):
        """Notes that this entry saw the placement of an attempt when it was appended."""
        self._placed_attempt = attempt

    def wake(self):
        """Looks at the job again after the ledger changed."""
        self._changed.set()
        self._changed = trio.Event()
        if self._present_phase() != self._phase:
            self._scope.cancel()

    async def run(self):
        """Drives the job until it holds no places any more."""
        while True:
            self._phase = self._present_phase()
            if self._phase is None:
                return
            with trio.CancelScope() as self._scope:
                # the ledger changes its job while calls to workers are under way
                job = copy(self._journal.ledger.jobs[self.key])
                job.members = list(job.members)
                await self._drive(job)
                await trio.sleep_forever()

    def _present_phase(self):
        job = self._journal.ledger.jobs.get(self.key)
        if job is None or job.state not in _PHASES:
            return None
        self._seen_at.setdefault((job.attempt, job.state), trio.current_time())
        return job.attempt, job.state

    async def _drive(self, job):
        await getattr(self, _PHASES[job.state])(job)

    # start

    async def _start(self, job):
        failure = await self._wait_places(job)
        if failure is None:
            failure = await self._hold_all(job)
        if failure is not None:
            worker_id, reason = failure
            LOG.info(
                "controller: A gang could not be started.",
                extra={"job": repr(job.key), "worker": worker_id, "reason": reason},
            )
            await self._reports.submit(self._start_failed(job, worker_id, reason))

    async def _wait_places(self, job):
        """Waits until preempted work has left the workers."""
        deadline = trio.current_time() + PLACES_SECONDS
        try:
            while crowded := self._crowded(job):
                if trio.current_time() >= deadline:
                    return crowded, "places_not_clear"
                self._waits_places = True
                with trio.move_on_after(1):
                    await self._changed.wait()
        finally:
            self._waits_places = False
        return None

    def _crowded(self, job):
        for member in job.members:
            worker = self._journal.ledger.workers.get(member.worker_id)
            if worker is not None and not worker.free.covers(Resources()):
                return worker.id
        return None

    async def _hold_all(self, job):
        """Holds all members and reports it; returns (worker id, reason) of a failure."""
        held = set()
        failures = []
        async with trio.open_nursery() as nursery:

            def fail(worker_id, reason):
                failures.append((worker_id, reason))
                nursery.cancel_scope.cancel()

            nursery.start_soon(self._keep_held, job, held, fail)
            async with trio.open_nursery() as starts:
                for rank, member in enumerate(job.members):
                    starts.start_soon(self._hold, job, rank, member.worker_id, held, fail)
            await self._reports.submit(
                Command(report_held={"job": job.key.to_message(), "attempt": job.attempt})
            )
            # leases of the held members are renewed until the release is in the journal
        return failures[0]

    async def _hold(self, job, rank, worker_id, held, fail):
        deadline = trio.current_time() + START_SECONDS
        message = StartTask(
            task_id=job.task_id(rank),
            resources=job.shape.member.to_message(),
            held=True,
            lease_seconds=self._settings.held_lease_seconds,
            payload=job.spec.payload,
            resume_from_seconds=job.saved_seconds,
        )
        retry = retry_times(self._random)
        while True:
            worker = self._journal.ledger.workers.get(worker_id)
            if worker is None or worker.state in (TARGET_LEAVING, TARGET_LOST):
                return fail(worker_id, "worker_left")
            if not self._signs.eligible(worker_id):
                # the sign is known here before it is in the journal
                return fail(worker_id, "worker_left")
            reason = await self._try_start(worker, message)
            if reason in OPEN_STATES:
                held.add(rank)
                return None
            if reason in OUTCOMES:
                return fail(worker_id, f"{reason}_before_release")
            if reason in ("leaving", "refused_task") or trio.current_time() >= deadline:
                return fail(worker_id, reason)
            self._metrics.count("retries", f"start_{reason}")
            await trio.sleep(next(retry))

    async def _try_start(self, worker, message):
        """Sends one start; returns the task's state or the reason of the failure."""
        before = self._unanswered.get(message.task_id, 0.0)
        self._unanswered[message.task_id] = float("inf")
        effect = True
        try:
            status = await self._calls.start(worker, message)
            effect = False
            return status.state
        except TaskError as error:
            effect = error.reason not in NOT_STARTED
            return error.reason
        finally:
            until = trio.current_time() + self._settings.held_lease_seconds
            self._unanswered[message.task_id] = until if effect else before

    async def _keep_held(self, job, held, fail):
        """Renews the short leases of held members; fails when one is gone."""
        while True:
            await trio.sleep(self._settings.held_lease_seconds / HELD_RENEWALS)
            async with trio.open_nursery() as nursery:
                for worker_id, ranks in _by_worker(job, held).items():
                    nursery.start_soon(self._renew_held, job, worker_id, ranks, fail)

    async def _renew_held(self, job, worker_id, ranks, fail):
        statuses = await self._extend(job, worker_id, ranks, self._settings.held_lease_seconds)
        if statuses is not None:
            for rank in ranks:
                if statuses.get(job.task_id(rank)) not in OPEN_STATES:
                    fail(worker_id, "lapsed_before_release")

    async def _extend(self, job, worker_id, ranks, lease_seconds):
        """Renews some members; returns the states on the worker by task id, or None."""
        worker = self._journal.ledger.workers.get(worker_id)
        if worker is None:
            return None
        try:
            answer = await self._calls.renew(
                worker, [job.task_id(rank) for rank in ranks], lease_seconds
            )
        except TaskError:
            return None
        return {status.task_id: status.state for status in answer.tasks}

    def _start_failed(self, job, worker_id, reason):
        return Command(
            report_start_failed={
                "job": job.key.to_message(),
                "attempt": job.attempt,
                "worker_id": worker_id,
                "reason": reason,
            }
        )

    # release

    async def _release(self, job):
        """Releases all members once every one of them is known to be there.

        After a takeover a member may have lapsed meanwhile; then none of the others is let
        run, and the end of the lapsed one stops the job.
        """
        states = {}
        async with trio.open_nursery() as nursery:
            for worker_id, ranks in _by_worker(job, job.open_members).items():
                nursery.start_soon(self._confirm_held, job, worker_id, ranks, states)
        if not self._leases.may_run(job):
            return
        gone = False
        for rank in job.open_members:
            state = states.get(rank, "lapsed")
            if state not in OPEN_STATES:
                self._reports.add_member(job.key, job.attempt, rank, OUTCOMES[state])
                gone = gone or state != "completed"
        if gone:
            return
        async with trio.open_nursery() as nursery:
            for rank, state in states.items():
                if state == "held":
                    nursery.start_soon(self._release_member, job, rank)

    async def _confirm_held(self, job, worker_id, ranks, states):
        retry = retry_times(self._random)
        while self._leases.may_run(job):
            # an entry that was paused must not extend what others have stopped since
            if self._leases.may_extend():
                answer = await self._extend(job, worker_id, ranks, self._settings.lease_seconds)
                if answer is not None:
                    states.update({r: answer.get(job.task_id(r), "lapsed") for r in ranks})
                    return
            self._metrics.count("retries", "release_unanswered")
            await trio.sleep(next(retry))

    async def _release_member(self, job, rank):
        retry = retry_times(self._random)
        while self._leases.may_run(job):
            worker = self._journal.ledger.workers[job.members[rank].worker_id]
            try:
                status = await self._calls.release(
                    worker, job.task_id(rank), self._settings.lease_seconds
                )
            except TaskError as error:
                if error.reason == "unknown_task":
                    # the worker was started anew and lost its tasks
                    self._reports.add_member(job.key, job.attempt, rank, MEMBER_LAPSED)
                    return
                self._metrics.count("retries", f"release_{error.reason}")
                await trio.sleep(next(retry))
                continue
            if status.state in OUTCOMES:
                self._report_status(job, rank, status)
            return

    # stop

    async def _stop(self, job):
        async with trio.open_nursery() as nursery:
            for rank in job.open_members:
                nursery.start_soon(self._stop_member, job, rank)

    async def _stop_member(self, job, rank):
        worker = self._journal.ledger.workers.get(job.members[rank].worker_id)
        if worker is None:
            self._reports.add_member(job.key, job.attempt, rank, MEMBER_LAPSED)
            return
        task_id = job.task_id(rank)
        if job.stop_cause == STOP_PREEMPTED and job.released:
            await self._checkpoint(worker, task_id)
        retry = retry_times(self._random)
        while True:
            try:
                status = await self._calls.stop(worker, task_id, self._settings.stop_seconds)
                if status.state in OUTCOMES:
                    self._report_status(job, rank, status)
                    return
            except TaskError as error:
                outcome = self._outcome_without_stop(job, rank, worker, error.reason)
                if outcome is not None:
                    self._reports.add_member(job.key, job.attempt, rank, outcome)
                    return
                self._metrics.count("retries", f"stop_{error.reason}")
            await trio.sleep(next(retry))

    async def _checkpoint(self, worker, task_id):
        try:
            await self._calls.checkpoint(worker, task_id, self._settings.checkpoint_seconds)
        except TaskError as error:
            LOG.info(
                "controller: A task could not be checkpointed.",
                extra={"task": task_id, "worker": worker.id, "reason": error.reason},
            )

    def _outcome_without_stop(self, job, rank, worker, reason):
        """Outcome of a member whose stop was not confirmed, or None while it may hold places."""
        now = trio.current_time()
        if reason == "unknown_task":
            if job.released:
                return MEMBER_LAPSED
            return MEMBER_NOT_STARTED if now >= self._last_start(job, rank) else None
        return MEMBER_LAPSED if now >= self._last_lease(job, worker) else None

    def _last_start(self, job, rank):
        """Time until which a start call that got no answer may still take effect."""
        unanswered = self._unanswered.get(job.task_id(rank), 0.0)
        if job.attempt == self._placed_attempt:
            return unanswered
        # another entry may have sent the start before this one took over
        first_seen = min(at for (attempt, _), at in self._seen_at.items() if attempt == job.attempt)
        return max(unanswered, first_seen + self._settings.held_lease_seconds)

    def _last_lease(self, job, worker):
        """Time at which every lease that any entry could have extended has run out."""
        lease = self._settings.lease_seconds
        stopped_at = self._seen_at[(job.attempt, JOB_STATE_STOPPING)]
        until = stopped_at + lease
        if self._leases.renewing_since(worker.id) + STALE_SECONDS > stopped_at:
            # the entry that renewed before may see the stop later
            until += STALE_SECONDS
        return max(until, self._calls.extended_until(worker.id))

    def _report_status(self, job, rank, status):
        outcome = OUTCOMES[status.state]
        self._reports.add_member(job.key, job.attempt, rank, outcome, status.saved_seconds)


_PHASES = {
    JOB_STATE_PLACED: "_start",
    JOB_STATE_RUNNING: "_release",
    JOB_STATE_STOPPING: "_stop",
}


def _by_worker(job, ranks):
    workers = {}
    for rank in sorted(ranks):
        workers.setdefault(job.members[rank].worker_id, []).append(rank)
    return workers
