"""
ibiscart_entry.coordination.coordinator
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

What the leading entry does: loads the state, decides, records, sends orders.
"""

import logging
import time

import trio

from ibiscart_core.resource import Resources
from ibiscart_core.workflow.engine import Engine
from ibiscart_core.workflow.fleet import WorkerInfo
from ibiscart_entry.coordination.leadership import HEARTBEAT_SECONDS, LeadershipLost
from ibiscart_entry.coordination.record import (
    JOBS,
    PENDING_KEY,
    PROGRESS,
    cancel_key,
    decode,
    encode,
    job_key,
    jobs_from_rows,
    progress_key,
    progress_write,
)
from ibiscart_entry.coordination.session import (
    CLOCK_SLOWNESS,
    EXTEND_LIMIT_SECONDS,
    WorkerSession,
)
from ibiscart_entry.table import HistoryLost, StoreError
from ibiscart_schema.generated.store_pb2 import TableWrite

__all__ = ["Coordinator"]

LOG = logging.getLogger("ibiscart.coordinator")
DECISION_LOG = logging.getLogger("ibiscart.decision")
RETRY_SECONDS = 0.2
FOLLOW_SECONDS = 5.0
# waiting units are tried again this often when nothing else happens
PASS_SECONDS = 0.25
# callers may see a count of waiting jobs that is up to 2 s old
PENDING_SECONDS = 0.5
# changes of workers are read at most this often; a worker that leaves says so 2 s ahead
DIRECTORY_PAUSE_SECONDS = 0.2
REMOVAL_PAUSE_SECONDS = 5.0


class Coordinator:
    """Runs all jobs while this entry leads.

    ``connect_agent`` builds the ``WorkerAgent`` of an address and id. ``retention_seconds``
    is how long ended jobs can be asked for. A worker's entry in the directory that is dropped
    sooner than ``entry_seconds`` after its last change was not dropped for silence.
    """

    def __init__(
        self,
        leadership,
        table,
        directory,
        catalogs,
        connect_agent,
        metrics,
        *,
        lease_seconds,
        retention_seconds,
        entry_seconds,
        wall_clock=time.time,
    ):
        self._leadership = leadership
        self._table = table
        self._directory = directory
        self._catalogs = catalogs
        self._connect_agent = connect_agent
        self._metrics = metrics
        self._lease_seconds = lease_seconds
        self._retention_seconds = retention_seconds
        self._entry_seconds = entry_seconds
        self._wall_clock = wall_clock
        self._engine = None
        self._sessions = {}
        self._absent_until = {}
        self._nursery = None
        self._wake = trio.Event()
        self._fenced = trio.Event()
        self._pending = None
        self._pending_at = 0.0
        self._ended_at = {}
        self._removed = []

    async def run(self):
        """Leads until the leadership is lost; raises ``LeadershipLost``."""
        started = trio.current_time()
        self._engine = Engine(self._catalogs.catalog, self._note)
        jobs_version, workers_version = await self._load_state()
        fields = {
            "epoch": self._leadership.epoch,
            "jobs": len(self._engine.jobs),
            "workers": len(self._engine.fleet.workers),
            "seconds": round(trio.current_time() - started, 3),
        }
        LOG.info("The state is loaded.", extra=fields)
        try:
            async with trio.open_nursery() as nursery:
                self._nursery = nursery
                for worker in list(self._engine.fleet.workers.values()):
                    if worker.present:
                        self._open_session(worker)
                nursery.start_soon(self._follow_jobs, jobs_version)
                nursery.start_soon(self._follow_workers, workers_version)
                nursery.start_soon(self._follow_catalog)
                nursery.start_soon(self._check_fenced)
                nursery.start_soon(self._remove_expired)
                await self._decide()
        except* LeadershipLost as group:
            LOG.warning("The leadership is lost.", extra={"holder": str(group.exceptions[0])})
            raise LeadershipLost(str(group.exceptions[0])) from None

    def status(self):
        """Returns counts for gauges: jobs, waiting jobs, workers that answer."""
        engine = self._engine
        if engine is None:
            return {}
        return {
            "jobs": len(engine.jobs),
            "waiting": sum(engine.pending().values()),
            "workers": sum(worker.reachable for worker in engine.fleet.workers.values()),
        }

    def announce(self, job_ids):
        """Takes the ids of jobs that were just accepted or cancelled."""
        for job_id in job_ids:
            if self._nursery is not None:
                self._nursery.start_soon(self._read_job, job_id)

    # loading

    async def _load_state(self):
        """Loads the state and meanwhile renews the claim; returns the versions read."""
        versions = None
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._renew)
                versions = await self._load()
                nursery.cancel_scope.cancel()
        except* LeadershipLost as group:
            raise LeadershipLost(str(group.exceptions[0])) from None
        return versions

    async def _renew(self):
        while True:
            await self._leadership.commit([])
            await trio.sleep(HEARTBEAT_SECONDS)

    async def _read_job(self, job_id):
        try:
            rows = await self._table.scan(job_key(job_id), limit=2)
        except StoreError as error:
            # the feed brings it later
            LOG.warning("A job cannot be read.", extra={"job": job_id, "cause": error.reason})
            return
        self._take_jobs(rows)
        self._changed()

    async def _load(self):
        infos, workers_version = await self._retry(self._directory.snapshot)
        for info in infos.values():
            self._engine.fleet.add(info)
        jobs = await self._retry(lambda: self._table.snapshot(JOBS))
        progress = await self._retry(lambda: self._table.snapshot(PROGRESS))
        records = {row.key.partition("/")[2]: decode(row.value) for row in progress.rows}
        self._take_jobs(jobs.rows, records)
        return jobs.version, workers_version

    async def _retry(self, call):
        while True:
            try:
                return await call()
            except StoreError as error:
                LOG.warning("The state cannot be read yet.", extra={"cause": error.reason})
                await trio.sleep(RETRY_SECONDS)
                await self._leadership.check()

    def _take_jobs(self, rows, records=None):
        jobs, cancelled = jobs_from_rows(rows)
        now = trio.current_time()
        for job_id, job in jobs.items():
            if job_id in self._engine.jobs:
                continue
            record = (records or {}).get(job_id)
            if record is not None:
                job.load_record(record)
                self._add_absent_workers(job, now)
            if job.ended:
                self._ended_at[job_id] = now
            self._engine.add_job(job)
            if record is None:
                self._note_taken(job)
        for job_id in cancelled:
            if self._engine.cancel(job_id):
                self._ended_at[job_id] = now

    def _note_taken(self, job):
        steps = [
            {"tasks": step.tasks, "accelerators": step.resources.accelerators, "gang": step.gang}
            for step in job.spec.steps
        ]
        self._note(
            "job_taken",
            job=job.id,
            queue=job.queue,
            account=job.account,
            steps=steps,
            chain_ms=job.spec.chain_ms(),
            accepted_ms=job.accepted_ms,
        )

    def _add_absent_workers(self, job, now):
        """Adds the workers that hold a place and are not in the directory.

        Their runs may go on under leases that an earlier leader gave.
        """
        for unit in job.units():
            for place in unit.places.values():
                if self._engine.fleet.get(place.worker_id) is None:
                    info = WorkerInfo(place.worker_id, "", place.incarnation, Resources())
                    self._engine.fleet.add(info).present = False
                    self._absent_until[place.worker_id] = now + self._longest_lease()

    def _longest_lease(self):
        return EXTEND_LIMIT_SECONDS + self._lease_seconds * CLOCK_SLOWNESS

    # followed tables

    async def _follow_jobs(self, version):
        while True:
            try:
                changes = await self._table.changes(JOBS, version, FOLLOW_SECONDS)
            except HistoryLost:
                changes = await self._retry(lambda: self._table.snapshot(JOBS))
                LOG.info("The jobs were read anew.", extra={"version": changes.version})
            except StoreError as error:
                LOG.warning("The jobs cannot be followed.", extra={"cause": error.reason})
                await trio.sleep(RETRY_SECONDS)
                continue
            version = changes.version
            if changes.rows:
                self._take_jobs(changes.rows)
                self._changed()

    async def _follow_workers(self, version):
        while True:
            try:
                infos, version = await self._directory.changes(version, FOLLOW_SECONDS)
            except HistoryLost:
                found, version = await self._retry(self._directory.snapshot)
                gone = set(self._engine.fleet.workers) - set(found)
                infos = {**found, **dict.fromkeys(gone)}
            except StoreError as error:
                LOG.warning("The workers cannot be followed.", extra={"cause": error.reason})
                await trio.sleep(RETRY_SECONDS)
                continue
            for worker_id, info in infos.items():
                self._take_worker(worker_id, info)
            if infos:
                self._changed()
            await trio.sleep(DIRECTORY_PAUSE_SECONDS)

    def _take_worker(self, worker_id, info):
        worker = self._engine.fleet.get(worker_id)
        if info is None:
            if worker is not None and worker.present:
                now = trio.current_time()
                worker.present = False
                ended = worker.has_left(now, self._entry_seconds)
                LOG.info("A worker has left.", extra={"worker": worker_id, "ended": ended})
                if ended:
                    self._engine.lose_worker(worker_id, "worker_left")
            return
        if worker is None or not worker.present:
            fields = {"worker": worker_id, "rack": info.rack, "draining": info.draining}
            LOG.info("A worker has joined.", extra=fields)
        elif info.draining and not worker.info.draining:
            LOG.info("A worker is leaving.", extra={"worker": worker_id})
        worker = self._engine.fleet.add(info)
        worker.see(trio.current_time())
        session = self._sessions.get(worker_id)
        if session is not None and session.address != info.address:
            session.close()
            session = None
        if session is None:
            self._open_session(worker)
        elif not worker.reachable:
            session.wake()

    def _open_session(self, worker):
        session = WorkerSession(
            worker,
            self._connect_agent(worker.info.address, worker.id),
            self._engine,
            self._leadership,
            lease_seconds=self._lease_seconds,
            on_change=self._changed,
            on_fenced=self._set_fenced,
            metrics=self._metrics,
        )
        if worker.places:
            session.assume_lease(trio.current_time() + self._longest_lease())
        self._sessions[worker.id] = session
        self._nursery.start_soon(session.run)

    async def _follow_catalog(self):
        async for catalog in self._catalogs.subscribe():
            self._engine.catalog = catalog
            self._changed()

    async def _check_fenced(self):
        """Reads the leader's row after a worker has refused the fencing token."""
        while True:
            await self._fenced.wait()
            await self._leadership.check()
            await trio.sleep(RETRY_SECONDS)
            self._fenced = trio.Event()

    def _set_fenced(self):
        self._fenced.set()

    # decisions

    def _changed(self):
        self._wake.set()

    async def _decide(self):
        heartbeat_at = trio.current_time()
        while True:
            timeout = min(PASS_SECONDS, max(0.0, heartbeat_at - trio.current_time()))
            with trio.move_on_after(timeout):
                await self._wake.wait()
            self._wake = trio.Event()
            now = trio.current_time()
            orders, stops = self._plan(now)
            for stop in stops:
                self._send_stop(stop)
            seen = {key: session.seen for key, session in self._sessions.items()}
            writes = self._writes(now)
            if writes or now >= heartbeat_at:
                await self._leadership.commit(writes)
                heartbeat_at = trio.current_time() + HEARTBEAT_SECONDS
                self._metrics.observe("commit_seconds", "", trio.current_time() - now)
            for key, number in seen.items():
                if key in self._sessions:
                    self._sessions[key].acknowledge(number)
            for order in orders:
                session = self._sessions.get(order.place.worker_id)
                if session is not None:
                    self._nursery.start_soon(session.start, order)
            self._close_sessions(now)

    def _plan(self, now):
        began = time.perf_counter()
        now_ms = int(self._wall_clock() * 1000)
        self._engine.open_due(now, now_ms)
        self._engine.evacuate(now)
        orders, stops = self._engine.plan(now, now_ms)
        self._metrics.observe("decision_seconds", "pass", time.perf_counter() - began)
        return orders, stops

    def _writes(self, now):
        writes = []
        for job_id in self._engine.changed:
            job = self._engine.jobs[job_id]
            writes.append(progress_write(job))
            if job.ended:
                self._ended_at.setdefault(job_id, now)
        self._engine.changed.clear()
        # the record of runs goes last, so that no job looks as if it had never run
        for job_id in self._removed:
            writes.append(TableWrite(key=progress_key(job_id), delete=True))
        self._removed.clear()
        pending = self._engine.pending()
        if pending != self._pending and now - self._pending_at >= PENDING_SECONDS:
            writes.append(TableWrite(key=PENDING_KEY, value=encode(pending)))
            self._pending, self._pending_at = pending, now
        return writes

    async def _remove_expired(self):
        """Removes the rows of jobs that ended long ago."""
        while True:
            await trio.sleep(REMOVAL_PAUSE_SECONDS)
            oldest = trio.current_time() - self._retention_seconds
            expired = [job_id for job_id, ended in self._ended_at.items() if ended < oldest]
            for job_id in expired:
                keys = (job_key(job_id), cancel_key(job_id))
                try:
                    await self._table.transact([TableWrite(key=k, delete=True) for k in keys])
                except StoreError as error:
                    LOG.warning("A job was not removed.", extra={"cause": error.reason})
                    break
                del self._ended_at[job_id]
                self._engine.forget(job_id)
                self._removed.append(job_id)

    def _send_stop(self, stop):
        session = self._sessions.get(stop.worker_id)
        if session is not None:
            self._nursery.start_soon(session.stop, stop)

    def _close_sessions(self, now):
        """Ends the sessions of workers that left, and the leases of those never met."""
        fleet = self._engine.fleet
        for worker_id, worker in list(fleet.workers.items()):
            if worker.present:
                continue
            session = self._sessions.get(worker_id)
            until = self._absent_until.get(worker_id, 0.0)
            if session is None and worker.places and now > until:
                self._engine.lose_worker(worker_id, "lease_expired")
                self._changed()
            if not worker.places:
                if session is not None:
                    session.close()
                    del self._sessions[worker_id]
                self._absent_until.pop(worker_id, None)
                fleet.remove(worker_id)

    def _note(self, event, **fields):
        fields["epoch"] = self._leadership.epoch
        catalog = self._engine.catalog
        fields["configuration"] = catalog.version if catalog is not None else 0
        DECISION_LOG.info(event.replace("_", " ").capitalize() + ".", extra=fields)
