"""
ibiscart_entry.coordination.coordinator
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

What the leading entry does: loads the state, decides, records, sends orders.
"""

import logging
import time

import trio

from ibiscart_core.workflow.engine import Engine
from ibiscart_entry.coordination.job_feed import JobFeed
from ibiscart_entry.coordination.leadership import HEARTBEAT_SECONDS, LeadershipLost
from ibiscart_entry.coordination.record import PENDING_KEY, encode
from ibiscart_entry.coordination.worker_feed import WorkerFeed
from ibiscart_entry.table import StoreError
from ibiscart_schema.generated.store_pb2 import TableWrite

__all__ = ["Coordinator"]

LOG = logging.getLogger("ibiscart.coordinator")
DECISION_LOG = logging.getLogger("ibiscart.decision")
# after a failed read; as often as a lost store is probed
RETRY_SECONDS = 0.2
# waiting units are tried again this often when nothing else happens
PASS_SECONDS = 0.25
# callers may see a count of waiting jobs that is up to 2 s old
PENDING_SECONDS = 0.5


class Coordinator:
    """Runs all jobs while this entry leads.

    ``connect_agent`` returns the ``WorkerAgent`` for an address and a worker id.
    ``retention_seconds`` is how long the state of an ended job can be queried.
    ``directory_ttl_seconds`` is the shortest time for which the worker directory keeps the
    registration of a worker that has stopped renewing it.
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
        directory_ttl_seconds,
        wall_clock=time.time,
    ):
        self._leadership = leadership
        self._catalogs = catalogs
        self._metrics = metrics
        self._wall_clock = wall_clock
        self._engine = Engine(catalogs.catalog, self._note)
        self._workers = WorkerFeed(
            self._engine,
            directory,
            connect_agent,
            leadership,
            metrics,
            self._read_again,
            lease_seconds=lease_seconds,
            directory_ttl_seconds=directory_ttl_seconds,
            on_change=self._changed,
            on_fenced=self._set_fenced,
        )
        self._jobs = JobFeed(
            self._engine,
            table,
            self._read_again,
            retention_seconds=retention_seconds,
            on_loaded=self._workers.add_absent,
            on_change=self._changed,
            note=self._note,
        )
        self._nursery = None
        self._wake = trio.Event()
        self._fenced = trio.Event()
        self._pending = None
        self._pending_at = 0.0

    async def run(self):
        """Leads until the leadership is lost; raises ``LeadershipLost``."""
        started = trio.current_time()
        jobs_version, workers_version = await self._load()
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
                self._workers.open_sessions(nursery)
                nursery.start_soon(self._jobs.follow, jobs_version)
                nursery.start_soon(self._workers.follow, workers_version)
                nursery.start_soon(self._follow_catalog)
                nursery.start_soon(self._check_fenced)
                nursery.start_soon(self._jobs.remove_expired)
                await self._decide()
        except* LeadershipLost as group:
            LOG.warning("The leadership is lost.", extra={"holder": str(group.exceptions[0])})
            raise LeadershipLost(str(group.exceptions[0])) from None

    def status(self):
        """Returns counts for gauges: jobs, waiting jobs, workers that answer."""
        if self._nursery is None:
            return {}
        engine = self._engine
        return {
            "jobs": len(engine.jobs),
            "waiting": sum(engine.count_pending_jobs().values()),
            "workers": sum(worker.reachable for worker in engine.fleet.workers.values()),
        }

    def announce(self, job_ids):
        """Takes the ids of jobs that were just accepted or cancelled."""
        for job_id in job_ids:
            if self._nursery is not None:
                self._nursery.start_soon(self._jobs.read, job_id)

    async def _load(self):
        """Loads the state and meanwhile renews the claim; returns the versions read."""
        versions = None
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._renew)
                workers_version = await self._workers.load()
                versions = await self._jobs.load(), workers_version
                nursery.cancel_scope.cancel()
        except* LeadershipLost as group:
            raise LeadershipLost(str(group.exceptions[0])) from None
        return versions

    async def _renew(self):
        while True:
            await self._leadership.commit([])
            await trio.sleep(HEARTBEAT_SECONDS)

    async def _read_again(self, call):
        while True:
            try:
                return await call()
            except StoreError as error:
                LOG.warning("The state cannot be read yet.", extra={"cause": error.reason})
                await trio.sleep(RETRY_SECONDS)
                await self._leadership.check()

    async def _follow_catalog(self):
        async for catalog in self._catalogs.subscribe():
            self._engine.apply_catalog(catalog)
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
                self._workers.stop(stop)
            seen = self._workers.seen()
            writes = [*self._jobs.writes(now), *self._pending_writes(now)]
            if writes or now >= heartbeat_at:
                await self._leadership.commit(writes)
                heartbeat_at = trio.current_time() + HEARTBEAT_SECONDS
                self._metrics.observe("commit_seconds", "", trio.current_time() - now)
            self._workers.acknowledge(seen)
            for order in orders:
                self._workers.start(order)
            self._workers.close_ended(now)

    def _plan(self, now):
        began = time.perf_counter()
        now_ms = int(self._wall_clock() * 1000)
        self._engine.create_due_units(now, now_ms)
        self._engine.checkpoint_leaving_runs(now)
        orders, stops = self._engine.plan(now, now_ms)
        self._metrics.observe("decision_seconds", "pass", time.perf_counter() - began)
        return orders, stops

    def _pending_writes(self, now):
        pending = self._engine.count_pending_jobs()
        if pending == self._pending or now - self._pending_at < PENDING_SECONDS:
            return []
        self._pending, self._pending_at = pending, now
        return [TableWrite(key=PENDING_KEY, value=encode(pending))]

    def _note(self, event, **fields):
        fields["epoch"] = self._leadership.epoch
        catalog = self._engine.catalog
        fields["configuration"] = catalog.version if catalog is not None else 0
        DECISION_LOG.info(event.replace("_", " ").capitalize() + ".", extra=fields)
