"""
ibiscart_entry.lease
~~~~~~~~~~~~~~~~~~~~

Renews the leases of all running tasks, one call for each worker, and learns of their ends.
"""

import heapq
import logging

import trio

from ibiscart_entry.gang import OPEN_STATES, OUTCOMES, STALE_SECONDS
from ibiscart_entry.task import TaskError, parse_task_id
from ibiscart_schema.generated.journal_pb2 import (
    JOB_STATE_ENDED,
    JOB_STATE_RUNNING,
    JOB_STATE_STOPPING,
    MEMBER_LAPSED,
)
from ibiscart_schema.generated.types_pb2 import TARGET_LEAVING, TARGET_LIVE, TARGET_LOST

__all__ = ["WorkerLeases"]

LOG = logging.getLogger("ibiscart.controller")
TICK_SECONDS = 0.25
# the end of a task is seen late by at most this share of its run time; renewals alone would
# show it up to renew_seconds late, and a task of one second would hold its places for ten
VISIT_SHARE = 0.25
SHORTEST_VISIT_SECONDS = 0.25
PROBE_SECONDS = 2.0
ANSWER_SECONDS = 2.0
OBSERVED_CAUSES = ("connection_refused", "own_answer")
# a task that this entry cannot explain may belong to a decision it has not read yet
UNEXPLAINED_SECONDS = 15.0
# a member that is still held this long after its release was missed by its driver
RELEASE_SECONDS = 5.0


class _Contact:
    """What this entry knows about its calls to one worker."""

    __slots__ = (
        "answered_at",
        "answers",
        "busy",
        "doubted_at",
        "due",
        "ended",
        "held_since",
        "owned_at",
        "silent_since",
        "unexplained",
    )

    def __init__(self, now):
        self.owned_at = now
        self.answered_at = now
        self.answers = True
        self.busy = False
        self.doubted_at = None
        self.due = now
        self.silent_since = None
        self.ended = frozenset()
        self.held_since = {}
        self.unexplained = {}


class WorkerLeases:
    """Renewals for the workers that ``peers.owner_of`` assigns to this entry.

    A worker is visited again after a quarter of the run time of its youngest task, at least
    every ``renew_seconds``. While a worker does not answer, it is only asked for its list: the
    last renewal that can have reached it then lies at a known time, and its leases end a lease
    after that.
    """

    def __init__(self, entry_id, journal, peers, calls, reports, stops, settings, random, wall):
        self._entry_id = entry_id
        self._journal = journal
        self._peers = peers
        self._calls = calls
        self._reports = reports
        self._stops = stops
        self._settings = settings
        self._random = random
        self._wall = wall
        self._contacts = {}
        self._started = {}
        self._due = []
        self._view = None

    def renewing_since(self, worker_id):
        """Returns since when this entry alone renews the worker's leases, inf if it does not."""
        contact = self._contacts.get(worker_id)
        return contact.owned_at if contact is not None else float("inf")

    def may_extend(self):
        """Whether the ledger is recent enough to extend leases by it.

        An entry that is separated from the store and from all others would extend tasks that
        the others have stopped long ago.
        """
        if self._journal.confirmed_age() <= STALE_SECONDS:
            return True
        others = set(self._journal.ledger.share_entries) - {self._entry_id}
        return not others or len(self._peers.live()) > 1

    def may_run(self, job):
        """Whether no member of the job's attempt is known here to have ended by fault."""
        return not self._stops.stopped(job.key, job.attempt)

    def note_released(self, key):
        """Notes that this entry saw the release of a job, and visits its workers soon."""
        job = self._journal.ledger.jobs.get(key)
        if job is None or job.state != JOB_STATE_RUNNING:
            return
        now = trio.current_time()
        self._started[key] = (job.attempt, now)
        for worker_id in {member.worker_id for member in job.members}:
            contact = self._contacts.get(worker_id)
            if contact is None or contact.busy or not contact.answers:
                continue  # the end of a visit sets the time of the next
            if contact.due > now + SHORTEST_VISIT_SECONDS:
                self._schedule(worker_id, contact, SHORTEST_VISIT_SECONDS)

    def keys(self):
        """Keys of the jobs whose release time is kept."""
        return self._started.keys()

    def forget(self, key):
        """Forgets a job that holds no places any more."""
        self._started.pop(key, None)

    async def run(self, task_status=trio.TASK_STATUS_IGNORED):
        """Renews until cancelled."""
        task_status.started()
        async with trio.open_nursery() as nursery:
            while True:
                self._update_contacts()
                now = trio.current_time()
                while self._due and self._due[0][0] <= now:
                    due, worker_id = heapq.heappop(self._due)
                    contact = self._contacts.get(worker_id)
                    if contact is not None and contact.due == due and not contact.busy:
                        contact.busy = True
                        nursery.start_soon(self._visit, worker_id, contact)
                due = self._due[0][0] if self._due else float("inf")
                await trio.sleep_until(min(now + TICK_SECONDS, due))

    def _update_contacts(self):
        workers = self._journal.ledger.workers
        view = (tuple(sorted(self._peers.live())), len(workers))
        if view == self._view:
            return
        self._view = view
        owned = {w for w in workers if self._peers.owner_of(f"worker/{w}") == self._entry_id}
        for worker_id in set(self._contacts) - owned:
            del self._contacts[worker_id]
        for worker_id in sorted(owned - set(self._contacts)):
            contact = _Contact(trio.current_time())
            self._contacts[worker_id] = contact
            self._schedule(worker_id, contact, self._random.uniform(0, 1))

    def _schedule(self, worker_id, contact, seconds):
        contact.due = trio.current_time() + seconds
        heapq.heappush(self._due, (contact.due, worker_id))

    async def _visit(self, worker_id, contact):
        try:
            worker = self._journal.ledger.workers.get(worker_id)
            if worker is None:
                return
            seconds = min(PROBE_SECONDS, self._settings.renew_seconds)
            try:
                if await self._contact(worker, contact):
                    seconds = self._visit_seconds(worker, contact)
                else:
                    self._check_lost(worker, contact)
            except Exception:
                # a fault with one worker must not end the renewals of the others
                LOG.exception("controller: A renewal failed.", extra={"worker": worker_id})
            seconds = max(SHORTEST_VISIT_SECONDS, seconds * self._random.uniform(0.9, 1))
            self._schedule(worker_id, contact, seconds)
        finally:
            contact.busy = False

    def _visit_seconds(self, worker, contact):
        """Time from a visit to the next, by the youngest task that has not ended."""
        ages = [
            self._age(self._journal.ledger.jobs[key])
            for key, _, _ in self._running_members(worker, contact.ended)
        ]
        seconds = VISIT_SHARE * min(ages, default=float("inf"))
        return min(self._settings.renew_seconds, max(SHORTEST_VISIT_SECONDS, seconds))

    def _age(self, job):
        """Seconds since the release of the job's attempt, by the clock of this process."""
        now = trio.current_time()
        attempt, since = self._started.get(job.key, (0, now))
        if attempt != job.attempt:
            # the release was recorded before this entry followed the journal; a wrong wall
            # clock changes the frequency of visits only, within its bounds
            since = now - max(0.0, self._wall() - job.released_us / 1e6)
            self._started[job.key] = (job.attempt, since)
        return now - since

    async def _contact(self, worker, contact):
        """Calls a worker; returns whether it answered."""
        try:
            if not contact.answers:
                await self._calls.tasks(worker, ANSWER_SECONDS)
                contact.answers = True
            released = self._released(worker)
            ids = self._renewable(worker) if self.may_extend() else []
            answer = await self._calls.renew(
                worker, ids, self._settings.lease_seconds, ANSWER_SECONDS
            )
        except TaskError:
            contact.answers = False
            if contact.silent_since is None:
                contact.silent_since = trio.current_time()
            return False
        contact.answered_at = trio.current_time()
        contact.silent_since = None
        self._check_state(worker, contact, answer.leaving)
        await self._check_tasks(worker, contact, answer, released)
        return True

    def _running_members(self, worker, ended=()):
        """Yields the members of released jobs on a worker, without tasks known to have ended."""
        for key, attempt, rank in worker.members:
            job = self._journal.ledger.jobs.get(key)
            running = job is not None and job.state == JOB_STATE_RUNNING
            if running and job.attempt == attempt and job.task_id(rank) not in ended:
                yield key, attempt, rank

    def _released(self, worker):
        jobs = self._journal.ledger.jobs
        return [jobs[key].task_id(rank) for key, _, rank in self._running_members(worker)]

    def _renewable(self, worker):
        jobs = self._journal.ledger.jobs
        return [
            jobs[key].task_id(rank)
            for key, _, rank in self._running_members(worker)
            if self.may_run(jobs[key])
        ]

    def _check_state(self, worker, contact, leaving):
        if leaving:
            self._peers.signs.report(worker.id, TARGET_LEAVING, "own_answer")
            if worker.state == TARGET_LIVE:
                self._reports.add_worker(worker.id, TARGET_LEAVING, "own_answer")
            return
        # what the membership list says is taken back by the list only
        observed = worker.state == TARGET_LEAVING and worker.cause in OBSERVED_CAUSES
        if worker.state == TARGET_LOST or observed:
            self._peers.signs.report(worker.id, TARGET_LIVE, "answers")
            self._reports.add_worker(worker.id, TARGET_LIVE, "answers")
        elif worker.state == TARGET_LEAVING or self._peers.signs.eligible(worker.id):
            contact.doubted_at = None
        elif contact.doubted_at is None:
            contact.doubted_at = trio.current_time()
        elif trio.current_time() - contact.doubted_at >= UNEXPLAINED_SECONDS:
            # the sign never came into the journal, as for a worker in quarantine
            self._peers.signs.report(worker.id, TARGET_LIVE, "answers")

    def _check_lost(self, worker, contact):
        now = trio.current_time()
        if now < contact.answered_at + self._settings.lease_seconds:
            return
        if worker.state != TARGET_LOST:
            self._peers.signs.report(worker.id, TARGET_LOST, "unreachable")
            self._reports.add_worker(worker.id, TARGET_LOST, "unreachable")
        # the first failed call after a pause of this process tells nothing about the worker
        if now >= contact.silent_since + PROBE_SECONDS:
            for key, attempt, rank in list(worker.members):
                self._stops.note_lost(key, attempt, rank)
        # the owner before may have renewed until it saw the change; count a lease anew
        anew = contact.owned_at + STALE_SECONDS + self._settings.lease_seconds
        if now < max(anew, self._calls.extended_until(worker.id)):
            return
        for key, attempt, rank in list(worker.members):
            job = self._journal.ledger.jobs.get(key)
            if job is not None and job.state == JOB_STATE_STOPPING and job.attempt == attempt:
                self._reports.add_member(key, attempt, rank, MEMBER_LAPSED)

    async def _check_tasks(self, worker, contact, answer, released):
        listed = set()
        unexplained = {}
        held = {}
        for status in answer.tasks:
            listed.add(status.task_id)
            member = parse_task_id(status.task_id)
            if member is not None and self._owns(worker, member):
                self._check_member(member, status, contact, held)
            elif status.state in OPEN_STATES:
                since = contact.unexplained.get(status.task_id, trio.current_time())
                unexplained[status.task_id] = since
        contact.unexplained = unexplained
        contact.held_since = held
        contact.ended = {s.task_id for s in answer.tasks if s.state in OUTCOMES}
        self._check_missing(worker, listed, released)
        await self._stop_unexplained(worker, unexplained)
        await self._release_missed(worker, held)

    def _owns(self, worker, member):
        """Whether the ledger has this member on the worker, with its end not recorded."""
        return member in worker.members

    def _check_member(self, member, status, contact, held):
        key, attempt, rank = member
        job = self._journal.ledger.jobs[key]
        if status.state in OUTCOMES:
            outcome = OUTCOMES[status.state]
            self._reports.add_member(key, attempt, rank, outcome, status.saved_seconds)
        elif status.state == "held" and job.state == JOB_STATE_RUNNING and self.may_run(job):
            since = contact.held_since.get(status.task_id, trio.current_time())
            held[status.task_id] = since

    def _check_missing(self, worker, listed, released):
        """Reports running members that the worker does not know: it was started anew.

        ``released`` are the tasks of released jobs before the call; all members of a job are
        on their workers before its release.
        """
        for task_id in released:
            if task_id not in listed:
                key, attempt, rank = parse_task_id(task_id)
                self._reports.add_member(key, attempt, rank, MEMBER_LAPSED)

    async def _stop_unexplained(self, worker, unexplained):
        for task_id, since in unexplained.items():
            if self._is_past(task_id) or self._is_unknown(since):
                LOG.warning(
                    "controller: Stopped a task that no job owns.",
                    extra={"task": task_id, "worker": worker.id},
                )
                try:
                    await self._calls.stop(worker, task_id, self._settings.stop_seconds)
                except TaskError:
                    continue  # the next renewal finds it again

    def _is_past(self, task_id):
        """Whether the ledger has gone on from this attempt, so that no record can own it."""
        member = parse_task_id(task_id)
        if member is None:
            return False
        key, attempt, rank = member
        job = self._journal.ledger.jobs.get(key)
        if job is None or attempt > job.attempt:
            return False
        ended = rank < len(job.members) and job.members[rank].ended
        return attempt < job.attempt or job.state == JOB_STATE_ENDED or ended

    def _is_unknown(self, since):
        waited = trio.current_time() - since
        return waited >= UNEXPLAINED_SECONDS and self._journal.confirmed_age() <= STALE_SECONDS

    async def _release_missed(self, worker, held):
        for task_id, since in held.items():
            if trio.current_time() - since >= RELEASE_SECONDS:
                try:
                    await self._calls.release(worker, task_id, self._settings.lease_seconds)
                except TaskError:
                    continue  # the next renewal finds it again
