"""
ibiscart_entry.coordination.coordinator
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Work of the leader: loads the state, then plans, records and carries out decisions.
"""

import functools
import logging
import time
from collections import deque

import trio

from ibiscart_core.value import InvalidValueError
from ibiscart_core.workflow.admission import CapacityHistory
from ibiscart_core.workflow.engine import Engine
from ibiscart_core.workflow.evacuation import EvacuationPolicy
from ibiscart_core.workflow.report import StartResult
from ibiscart_entry.coordination.job_feed import JobFeed
from ibiscart_entry.coordination.leadership import LeadershipLost, WriteGroup
from ibiscart_entry.coordination.record import (
    PENDING_KEY,
    POOLS_KEY,
    SPEEDS_KEY,
    PoolsRow,
    encode,
    encode_speeds,
    parse_speeds,
)
from ibiscart_entry.coordination.tombstone import TombstoneRemover
from ibiscart_entry.coordination.worker_feed import WorkerFeed
from ibiscart_entry.isolation import record_error, run_isolated
from ibiscart_entry.table import StoreError
from ibiscart_schema.generated.store_pb2 import TableWrite

__all__ = ["Coordinator"]

LOG = logging.getLogger("ibiscart.coordinator")
DECISION_LOG = logging.getLogger("ibiscart.decision")
# pause after a failed read and between two checks of the leader's row; equal to the interval at
# which an unreachable store is probed
RETRY_SECONDS = 0.2
# longest time between two planning passes, each of which tries to place the waiting units
PASS_INTERVAL_SECONDS = 0.25
# shortest time between two writes of the numbers of pending jobs; callers may see numbers that
# are up to 2 s old
PENDING_INTERVAL_SECONDS = 0.5
# shortest time between two writes of the speeds of the workers, which only the next leader reads
SPEEDS_INTERVAL_SECONDS = 2.0
# change of the logarithm of a worker's speed that is worth a write
NOTICEABLE_SPEED_CHANGE = 0.15
# interval at which the capacity of the pools is recorded and, if it has changed, published; with
# thousands of workers this takes some milliseconds, and every entry reads what is published
POOLS_INTERVAL_SECONDS = 5.0
# most announcements that wait to be read; the jobs of further ones are read later, from the changes
# of the jobs table
MAX_QUEUED_ANNOUNCEMENTS = 500
# announced jobs that are read at the same time: as many as the jobs table has partitions
ANNOUNCEMENT_READERS = 16


class Coordinator:
    """Runs all jobs while this entry leads.

    ``directory`` is the ``WorkerDirectory``, ``catalogs`` the ``CatalogWatch``.
    ``connect_agent`` returns the ``WorkerAgent`` for an address and a worker id.
    ``lease_limit_seconds`` is the longest lease that a worker grants. ``retention_seconds`` is
    how long the state of an ended job can be queried.
    ``directory_ttl_seconds`` is the shortest time for which the worker directory keeps the
    registration of a worker that has stopped renewing it. ``evacuation_seconds`` is the time after
    which no work may start in a data centre whose evacuation was requested, None if there are no
    such requests.
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
        lease_limit_seconds,
        retention_seconds,
        directory_ttl_seconds,
        evacuation_seconds=None,
        wall_clock=time.time,
    ):
        self._leadership = leadership
        self._table = table
        self._catalogs = catalogs
        self._evacuation_policy = EvacuationPolicy(evacuation_seconds)
        self._may_start = True
        self._metrics = metrics
        self._wall_clock = wall_clock
        on_job_error = functools.partial(record_error, metrics, "job")
        self._engine = Engine(catalogs.catalog, self._log_event, on_job_error)
        self._workers = WorkerFeed(
            self._engine,
            directory,
            connect_agent,
            leadership,
            metrics,
            self._read_with_retries,
            lease_limit_seconds=lease_limit_seconds,
            directory_ttl_seconds=directory_ttl_seconds,
            refusal=self._refusal,
            on_change=self._request_pass,
            on_fenced=self._request_leadership_check,
        )
        self._jobs = JobFeed(
            self._engine,
            table,
            self._read_with_retries,
            retention_seconds=retention_seconds,
            on_loaded=self._workers.add_unregistered_workers,
            on_change=self._request_pass,
            log_event=self._log_event,
            on_job_error=on_job_error,
        )
        self._tombstones = TombstoneRemover(table, self._read_with_retries, retention_seconds)
        self._nursery = None
        # stop orders that wait to be sent
        self._stops = deque()
        self._announcements, self._received_announcements = trio.open_memory_channel(
            MAX_QUEUED_ANNOUNCEMENTS
        )
        self._pass_requested = trio.Event()
        self._leadership_check_requested = trio.Event()
        self._written_pending_counts = None
        self._pending_counts_written_at = 0.0
        self._written_speeds = {}
        self._speeds_written_at = 0.0
        self._capacity_history = CapacityHistory(trio.current_time())
        # the ``PoolsRow`` in the store, None until it is read, and its value
        self._pools_row = None
        self._pools_value = b""
        self._pools_checked_at = 0.0

    async def run(self):
        """Runs all jobs until the leadership is lost; raises ``LeadershipLost``."""
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._leadership.keep_renewing)
                jobs_version, workers_version = await self._load(nursery)
                self._nursery = nursery
                self._workers.begin()
                nursery.start_soon(self._jobs.follow, jobs_version)
                nursery.start_soon(self._workers.follow, workers_version)
                for _ in range(ANNOUNCEMENT_READERS):
                    nursery.start_soon(self._read_announced_jobs)
                nursery.start_soon(self._load_pools)
                nursery.start_soon(self._follow_catalog)
                nursery.start_soon(self._confirm_evacuations)
                nursery.start_soon(self._verify_leadership)
                nursery.start_soon(self._jobs.remove_expired)
                nursery.start_soon(self._tombstones.run)
                await self._run_passes()
        except* LeadershipLost as group:
            holder = str(_first_exception(group))
            LOG.warning("The leadership is lost.", extra={"holder": holder})
            raise LeadershipLost(holder) from None

    def status(self):
        """Returns the numbers of jobs, pending jobs and reachable workers; empty while loading."""
        if self._nursery is None:
            return {}
        engine = self._engine
        return {
            "jobs": len(engine.jobs),
            "waiting": sum(engine.count_pending_jobs().values()),
            "workers": sum(worker.reachable for worker in engine.fleet.workers.values()),
        }

    def count_slow_workers(self):
        """Returns the number of workers that are slow by their runs, or still cold."""
        return self._engine.fleet.count_slow(trio.current_time())

    def count_overdue_stops(self):
        """Returns the number of runs that have not ended long after a stop was planned."""
        return self._engine.count_overdue_stops()

    def count_tombstones(self):
        """Returns the number of jobs that are kept out, as last read."""
        return self._tombstones.count

    def count_evacuated_runs(self):
        """Returns the number of runs in data centres that are being emptied."""
        evacuated = self._engine.fleet.evacuated_workers()
        return sum(len(worker.units_by_run) for worker in evacuated)

    def announce(self, job_ids):
        """Makes this coordinator read jobs that were just accepted or cancelled.

        Has no effect once the coordinator is ending.
        """
        try:
            self._announcements.send_nowait(job_ids)
        except trio.WouldBlock:
            self._metrics.count("dropped", "announcement")

    async def _read_announced_jobs(self):
        """Reads announced jobs one after another until cancelled."""
        async for job_ids in self._received_announcements:
            for job_id in job_ids:
                await run_isolated(self._metrics, "job", job_id, self._jobs.read_job, job_id)

    async def _load(self, session_nursery):
        """Loads the workers and the jobs from the store.

        Opens the sessions with the workers in ``session_nursery``. Returns the versions of the jobs
        table and of the worker directory.
        """
        started_at = trio.current_time()
        workers_version = await self._workers.load()
        self._workers.open_sessions(session_nursery)
        session_nursery.start_soon(self._load_speeds)
        jobs_version = await self._jobs.load()
        fields = {
            "epoch": self._leadership.epoch,
            "jobs": len(self._engine.jobs),
            "workers": len(self._engine.fleet.workers),
            "seconds": round(trio.current_time() - started_at, 3),
        }
        LOG.info("The state is loaded.", extra=fields)
        return jobs_version, workers_version

    async def _load_speeds(self):
        """Restores the workers' speeds that an earlier leader has written, if they can be read."""
        row = await self._read_with_retries(lambda: self._table.get(SPEEDS_KEY))
        if row is None:
            return
        try:
            speeds = parse_speeds(row.value)
        except InvalidValueError as error:
            fields = {"version": row.version, "cause": str(error)}
            LOG.warning(
                "The speeds of workers cannot be read; they are learned anew.", extra=fields
            )
            return
        self._engine.fleet.restore_speeds(speeds, trio.current_time())
        self._written_speeds = speeds

    async def _read_with_retries(self, call):
        """Returns the result of ``call``, repeated until the store responds.

        Raises ``LeadershipLost`` if another entry leads.
        """
        while True:
            try:
                return await call()
            except StoreError as error:
                LOG.warning("The state cannot be read yet.", extra={"cause": error.reason})
                await trio.sleep(RETRY_SECONDS)
                await self._leadership.check()

    async def _follow_catalog(self):
        """Applies each new configuration to the engine until cancelled."""
        async for catalog in self._catalogs.subscribe():
            self._engine.apply_catalog(catalog)
            self._request_pass()

    async def _confirm_evacuations(self):
        """Reads the evacuations while they are too old to start work, until cancelled.

        After an outage, work starts again as soon as the store answers, and not only with the next
        attempt of ``CatalogWatch``, whose pauses have grown.
        """
        while True:
            age_seconds = self._catalogs.evacuations_age_seconds
            if self._evacuation_policy.unconfirmed(age_seconds):
                await self._table.wait_answering()
                if await self._catalogs.confirm_evacuations():
                    self._request_pass()
            await trio.sleep(RETRY_SECONDS)

    async def _verify_leadership(self):
        """Checks the leader's row after a worker has refused the fencing token, until cancelled."""
        while True:
            await self._leadership_check_requested.wait()
            await self._leadership.check()
            await trio.sleep(RETRY_SECONDS)
            self._leadership_check_requested = trio.Event()

    def _request_leadership_check(self):
        """Makes ``_verify_leadership`` read the leader's row."""
        self._leadership_check_requested.set()

    def _request_pass(self):
        """Makes the next planning pass start at once."""
        self._pass_requested.set()

    async def _run_passes(self):
        """Plans, records and sends decisions until the leadership is lost.

        A start is sent only after it is recorded, so that a later leader knows of its run.
        """
        while True:
            with trio.move_on_after(PASS_INTERVAL_SECONDS):
                await self._pass_requested.wait()
            self._pass_requested = trio.Event()
            now = trio.current_time()
            orders, stops = self._plan_pass(now)
            self._record_delay(now)
            self._stops.extend(stops)
            self._send_stops()
            last_applied_ends = self._workers.last_applied_ends()
            groups, unrecorded = await self._jobs.collect_writes(now)
            groups.extend(self._collect_pending_count_writes(now))
            groups.extend(self._collect_speed_writes(now))
            groups.extend(self._collect_pools_writes(now))
            if groups:
                rejected = await self._leadership.commit(groups)
                unrecorded |= self._jobs.apply_commit(groups, rejected, trio.current_time())
                self._metrics.observe("commit_seconds", "", trio.current_time() - now)
            self._workers.confirm_recorded(last_applied_ends)
            orders = self._engine.withdraw_starts(orders, unrecorded)
            # the commit may have taken seconds
            for order in self._withhold_starts(orders):
                order.sent_at = trio.current_time()
                self._workers.send_start(order)
            self._workers.remove_departed_workers(now)
            await self._measure_delay()

    def _refusal(self, worker):
        """Returns the ``StartResult`` of an order that must not be sent to a worker, else None."""
        if worker.info.draining:
            return StartResult.DRAINING
        catalogs = self._catalogs
        return self._evacuation_policy.refusal(
            worker.info, catalogs.evacuations, catalogs.evacuations_age_seconds
        )

    def _withhold_starts(self, orders):
        """Returns the start orders that may be sent; withdraws and counts the others."""

        def refusal(worker):
            """Counts and returns what ``_refusal`` returns."""
            result = self._refusal(worker)
            if result is not None:
                self._metrics.count("orders", result.value)
            return result

        remaining = self._engine.withhold_starts(orders, refusal, trio.current_time())
        if len(remaining) < len(orders):
            # the records of the withdrawn runs are to be written
            self._request_pass()
        return remaining

    def _apply_evacuations(self):
        """Applies the newest evacuations; returns False if they are too old to start any work."""
        if self._catalogs.evacuations is not None:
            self._engine.apply_evacuations(self._catalogs.evacuations)
        age_seconds = self._catalogs.evacuations_age_seconds
        may_start = not self._evacuation_policy.unconfirmed(age_seconds)
        if may_start != self._may_start:
            self._may_start = may_start
            fields = {"age_seconds": round(min(age_seconds, 1e6), 3)}
            if may_start:
                LOG.info("The evacuations are confirmed; work is started again.", extra=fields)
            else:
                LOG.warning("The evacuations are not confirmed; no work is started.", extra=fields)
        return may_start

    def _send_stops(self):
        """Sends the oldest stop orders, as many at once as the process carries out promptly."""
        for _ in range(min(len(self._stops), self._engine.order_limit)):
            self._workers.send_stop(self._stops.popleft())
        if self._stops:
            self._request_pass()

    async def _measure_delay(self):
        """Measures how long the ready tasks of this process take, such as the starts just sent."""
        started_at = trio.current_time()
        await trio.lowlevel.checkpoint()
        self._record_delay(started_at)

    def _record_delay(self, started_at):
        """Records that other tasks could not run since ``started_at``."""
        now = trio.current_time()
        self._engine.record_delay(now - started_at, now)
        self._metrics.observe("task_delay_seconds", "", now - started_at)

    def _plan_pass(self, now):
        """Returns (``StartOrder`` list, ``StopOrder`` list) of one planning pass."""
        started_at = time.perf_counter()
        now_ms = int(self._wall_clock() * 1000)
        self._engine.create_due_units(now, now_ms)
        self._engine.checkpoint_leaving_runs(now)
        orders, stops = self._engine.plan(now, now_ms, may_start=self._apply_evacuations())
        self._metrics.observe("decision_seconds", "pass", time.perf_counter() - started_at)
        for shares in self._engine.account_shares.values():
            for account in shares.over_share():
                self._metrics.count("over_share", account)
        return orders, stops

    def _collect_pending_count_writes(self, now):
        """Returns the ``WriteGroup`` of the numbers of pending jobs by queue, as a list.

        The list is empty if the numbers have not changed or were written a short time ago.
        """
        pending = self._engine.count_pending_jobs()
        if (
            pending == self._written_pending_counts
            or now - self._pending_counts_written_at < PENDING_INTERVAL_SECONDS
        ):
            return []
        self._written_pending_counts, self._pending_counts_written_at = pending, now
        return [WriteGroup([TableWrite(key=PENDING_KEY, value=encode(pending))])]

    def _collect_speed_writes(self, now):
        """Returns the ``WriteGroup`` of the workers' speeds as a list, for the next leader.

        The list is empty if no speed has changed noticeably since a write, or that was a short time
        ago.
        """
        if now - self._speeds_written_at < SPEEDS_INTERVAL_SECONDS:
            return []
        speeds, written = self._engine.fleet.known_speeds(), self._written_speeds
        if speeds.keys() == written.keys() and not any(
            speed[0] != written[worker_id][0]
            or abs(speed[1] - written[worker_id][1]) >= NOTICEABLE_SPEED_CHANGE
            for worker_id, speed in speeds.items()
        ):
            return []
        self._written_speeds, self._speeds_written_at = speeds, now
        value = encode_speeds(speeds, self._table.max_value_bytes)
        return [WriteGroup([TableWrite(key=SPEEDS_KEY, value=value)])]

    async def _load_pools(self):
        """Reads the views of the pools that an earlier leader has published."""
        row = await self._read_with_retries(lambda: self._table.get(POOLS_KEY))
        self._pools_row = PoolsRow.from_row(row)
        self._pools_value = row.value if row is not None else b""
        self._capacity_history.restore(self._pools_row.views)

    def _collect_pools_writes(self, now):
        """Returns the ``WriteGroup`` of the views of the pools, as a list.

        The list is empty if the views have not changed or were written a short time ago.
        """
        if self._pools_row is None or now - self._pools_checked_at < POOLS_INTERVAL_SECONDS:
            return []
        self._pools_checked_at = now
        self._capacity_history.record(self._engine.fleet.workers.values(), now)
        row = PoolsRow(self._pools_row.number, self._capacity_history.views(now))
        if not row.views:
            return []
        if row.to_value(self._table.max_value_bytes) != self._pools_value:
            row.number += 1
            self._pools_row = row
            self._pools_value = row.to_value(self._table.max_value_bytes)
        elif self._leadership.pools_number == row.number:
            return []
        # the commits confirm the row from now on
        self._leadership.pools_number = row.number
        return [WriteGroup([TableWrite(key=POOLS_KEY, value=self._pools_value)])]

    def _log_event(self, event, **fields):
        """Logs a decision with the leader's epoch and the version of the configuration."""
        fields["epoch"] = self._leadership.epoch
        catalog = self._engine.catalog
        fields["configuration"] = catalog.version if catalog is not None else 0
        DECISION_LOG.info(event.replace("_", " ").capitalize() + ".", extra=fields)


def _first_exception(error):
    """Returns the first exception within nested groups."""
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    return error
