"""
ibiscart_entry.routes.job
~~~~~~~~~~~~~~~~~~~~~~~~~

Submission, reading, cancellation and explanation of jobs.
"""

import trio

from ibiscart_core.error import ErrorKind, IbiscartError
from ibiscart_core.job import JobKey
from ibiscart_entry.call import bad_field, body_hash, check_shape, read_document, read_int
from ibiscart_entry.route import Route, Routes
from ibiscart_entry.view import JOB_STATES, job_state, job_view
from ibiscart_schema.generated.journal_pb2 import JOB_STATE_ENDED, JOB_STATE_QUEUED
from ibiscart_schema.generated.types_pb2 import JobSpec

__all__ = ["JobRoutes"]

LONGEST_WAIT_SECONDS = 60
# how often a long poll looks at the drain state while no record arrives
POLL_CHECK_SECONDS = 1.0
# the journal is polled each second
CONFIRM_SECONDS = 3.0
CONFIRM_CHECK_SECONDS = 0.05
JOBS_LISTED = 100
MOST_JOBS_LISTED = 1000
HIGHEST_SEQUENCE = 2**63 - 1
REQUEST_ID_FORM = "form [A-Za-z0-9][A-Za-z0-9._-]*, at most 80 characters"
PATH = "/v1/accounts/{account}/jobs"


class JobRoutes(Routes):
    """Paths of jobs."""

    ROUTES = (
        Route("POST", PATH, "submit", "account"),
        Route("GET", PATH, "list", "account", ("state", "limit", "after")),
        Route("GET", PATH + "/{id}", "get", "account", ("wait", "after")),
        Route("DELETE", PATH + "/{id}", "cancel", "account"),
        Route("GET", PATH + "/{id}/explain", "explain", "account"),
    )

    def __init__(self, services):
        super().__init__(services)
        self._polls = 0
        # long polls leave room for other requests
        self._most_polls = max(1, services.settings.server.max_connections // 2)

    @property
    def polls(self):
        """Number of long polls that wait at present."""
        return self._polls

    async def submit(self, call):
        """Queues a job; the same id and body get the present state of the first one."""
        self._require_durable()
        spec = read_document(call.request.body, JobSpec, {"account": call.account})
        if not spec.request_id:
            raise bad_field("request_id", "", REQUEST_ID_FORM, "missing; add it")
        check_shape("shape", spec.shape)
        spec.body_sha256 = body_hash(call.request.body)
        call.request_id = spec.request_id
        reply = await self._command(call, submit_job={"spec": spec})
        status = 200 if reply.job.state == JOB_STATE_ENDED else 202
        return self._reply(call, {"job": job_view(reply.job)}, status)

    async def list(self, call):
        """Lists jobs in order of their request ids; ``after`` continues a list."""
        self._account(call)
        query = call.request.query
        limit = read_int(query, "limit", JOBS_LISTED, 1, MOST_JOBS_LISTED)
        state = query.get("state", "")
        if state not in ("", *JOB_STATES.values()):
            bound = "one of " + ", ".join(JOB_STATES.values())
            raise bad_field("state", state, bound, "give one of these")
        after = query.get("after", "")
        jobs = sorted(
            (
                job
                for key, job in self._ledger.jobs.items()
                if key.account == call.account
                and key.request_id > after
                and state in ("", job_state(job))
            ),
            key=lambda job: job.key.request_id,
        )
        views = [job_view(job.snapshot()) for job in jobs[:limit]]
        return self._reply(call, {"jobs": views, "more": len(jobs) > limit})

    async def get(self, call):
        """Returns a job, with ``wait`` after its next change or that many seconds."""
        wait = read_int(call.request.query, "wait", 0, 0, LONGEST_WAIT_SECONDS)
        after = read_int(call.request.query, "after", -1, 0, HIGHEST_SEQUENCE)
        if wait:
            await self._wait_change(call, wait, after)
        return self._reply(call, {"job": job_view((await self._find_job(call)).snapshot())})

    async def cancel(self, call):
        """Cancels a job in whatever state."""
        self._require_durable()
        key = {"account": call.account, "request_id": call.item}
        reply = await self._command(call, cancel_job={"job": key})
        return self._reply(call, {"job": job_view(reply.job)})

    async def explain(self, call):
        """Returns why a job is where it is."""
        job = await self._find_job(call)
        lines = [f"state {job_state(job)}, attempt {job.attempt}, reason: {job.reason}"]
        if job.state == JOB_STATE_QUEUED:
            lines += self._services.policy.explain(self._ledger, job, self._services.now_us())
        view = {
            "lines": lines,
            "contract_version": job.contract_version,
            "decided_sequence": job.decided_sequence,
            "failed_workers": list(job.failed_workers),
        }
        return self._reply(call, {"job": job_view(job.snapshot()), "explanation": view})

    async def _wait_change(self, call, seconds, after):
        """Waits until the job has changed since ``after`` or, without it, since now."""
        key = JobKey(call.account, call.item)
        before = self._mark(key) if after < 0 else None
        end = call.capped(self._services.clock() + seconds)
        if self._polls >= self._most_polls:
            return
        self._polls += 1
        records = self._journal.subscribe()
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(_cancel_when_closed, call.request, nursery.cancel_scope)
                await self._follow(records, key, before, after, end)
                nursery.cancel_scope.cancel()
        finally:
            self._polls -= 1
            records.close()

    async def _follow(self, records, key, before, after, end):
        while self._services.clock() < end and not self._services.draining:
            job = self._ledger.jobs.get(key)
            if job is not None and (job.ended or self._changed(job, before, after)):
                return
            with trio.move_on_after(min(POLL_CHECK_SECONDS, end - self._services.clock())):
                try:
                    await records.receive()
                except trio.EndOfChannel:
                    return

    def _changed(self, job, before, after):
        if after >= 0:
            return job.decided_sequence > after
        return self._mark(job.key) != before

    def _mark(self, key):
        job = self._ledger.jobs.get(key)
        if job is None:
            return None
        return job.decided_sequence, job.state, job.attempt, len(job.open_members)

    async def _find_job(self, call):
        """Returns the job; a miss is answered once the position was confirmed after the call.

        Another entry may have taken the job a moment ago, and the caller must not read that
        it does not exist.
        """
        self._account(call)
        clock = self._services.clock
        end = call.capped(clock() + CONFIRM_SECONDS)
        while (job := self._ledger.jobs.get(JobKey(call.account, call.item))) is None:
            self._require_durable()
            if self._journal.confirmed_age() <= clock() - call.started:
                raise IbiscartError(
                    ErrorKind.NOT_FOUND,
                    "no such job; ended jobs are kept for 24 h",
                    field="request_id",
                    value=call.item,
                )
            if clock() >= end:
                raise IbiscartError(
                    ErrorKind.STORE_UNAVAILABLE,
                    "the store did not confirm in time that there is no such job; retry later",
                    field="request_id",
                    value=call.item,
                )
            await trio.sleep(CONFIRM_CHECK_SECONDS)
        return job


async def _cancel_when_closed(request, scope):
    # a poll whose caller has gone would hold its place until the end of its wait
    await request.wait_closed()
    scope.cancel()
