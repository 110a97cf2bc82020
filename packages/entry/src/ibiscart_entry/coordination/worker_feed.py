"""
ibiscart_entry.coordination.worker_feed
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Follows the worker directory and keeps a session with each worker.
"""

import logging

import trio

from ibiscart_core.resource import Resources
from ibiscart_core.workflow.fleet import WorkerInfo
from ibiscart_core.workflow.report import StartResult
from ibiscart_core.workflow.unit import EndCause
from ibiscart_entry.coordination.hedge import CallHedge
from ibiscart_entry.coordination.leadership import LeadershipLost
from ibiscart_entry.coordination.session import WorkerSession, remaining_lease_seconds
from ibiscart_entry.isolation import record_error, run_isolated
from ibiscart_entry.table import HistoryLost, StoreError

__all__ = ["WorkerFeed"]

LOG = logging.getLogger("ibiscart.workers")
# pause after a failed store call; equal to the interval at which an unreachable store is probed
RETRY_SECONDS = 0.2
# pause after an unexpected error in following the directory
RESTART_SECONDS = 1.0
# longest time that a read of the directory waits for a change; a connection that has stalled is
# noticed only after it, and a worker that shrinks or drains must be known within 3 s
LONG_POLL_SECONDS = 2.0
# pause between two reads of the directory's changes; short compared with the 2 s by which a worker
# announces its departure in advance
MIN_POLL_INTERVAL_SECONDS = 0.2


class WorkerFeed:
    """Adds the workers to the engine and opens their sessions, for one term of leadership.

    ``connect_agent`` returns the ``WorkerAgent`` for an address and a worker id.
    ``lease_limit_seconds`` is the longest lease that a worker grants. A registration that is
    removed sooner than ``directory_ttl_seconds`` after its last change has not expired but was
    withdrawn. For ``refusal`` see ``WorkerSession``.
    ``read_with_retries`` calls a function until the store responds. ``on_change`` is called
    after each change of the engine, ``on_fenced`` when a worker has seen a higher fencing token.
    """

    def __init__(
        self,
        engine,
        directory,
        connect_agent,
        leadership,
        metrics,
        read_with_retries,
        *,
        lease_limit_seconds,
        directory_ttl_seconds,
        refusal,
        on_change,
        on_fenced,
    ):
        self._engine = engine
        self._directory = directory
        self._connect_agent = connect_agent
        self._leadership = leadership
        self._metrics = metrics
        self._read_with_retries = read_with_retries
        self._lease_limit_seconds = lease_limit_seconds
        self._directory_ttl_seconds = directory_ttl_seconds
        self._refusal = refusal
        self._on_change = on_change
        self._on_fenced = on_fenced
        self._sessions = {}
        self._hedge = CallHedge()
        self._assumed_lease_expiry = {}
        self._nursery = None
        # version of the directory up to which its changes are known, and a time at which no later
        # change had been made
        self._version = None
        self._read_at = None
        self._loaded = trio.Event()

    async def load(self):
        """Adds all registered workers to the engine; returns the version of the directory."""
        self._read_at = trio.current_time()
        infos, version = await self._read_with_retries(self._directory.snapshot)
        for info in infos.values():
            self._engine.fleet.add(info).record_coldness(self._read_at)
        return version

    def open_sessions(self, nursery):
        """Opens a session with each registered worker; their tasks run in ``nursery``.

        Until ``begin`` the sessions only extend leases, and only if that takes long.
        """
        self._nursery = nursery
        for worker in list(self._engine.fleet.workers.values()):
            if worker.registered:
                self._open_session(worker)

    def begin(self):
        """Makes the sessions apply the status of their workers: the jobs are loaded."""
        for session in self._sessions.values():
            self._assume_leases(session)
        self._loaded.set()

    async def follow(self, version):
        """Applies the changes of the directory after ``version`` until cancelled.

        Raises ``LeadershipLost``. An unexpected error in the changes of one worker concerns this
        worker alone.
        """
        self._version = version
        while True:
            passed = (LeadershipLost,)
            await run_isolated(
                self._metrics, "worker", "directory", self._follow_changes, passed=passed
            )
            await trio.sleep(RESTART_SECONDS)

    async def _follow_changes(self):
        """Applies the changes of the directory until cancelled."""
        while True:
            sent_at, written_after = trio.current_time(), self._read_at
            try:
                infos, removed_ids, self._version = await self._directory.changes(
                    self._version, LONG_POLL_SECONDS
                )
                # a read without a result has waited for one at the directory
                waited = not (infos or removed_ids)
                waited = waited and trio.current_time() - sent_at >= LONG_POLL_SECONDS
                self._read_at = sent_at + LONG_POLL_SECONDS if waited else sent_at
            except HistoryLost:
                self._read_at = written_after = None
                snapshot, self._version = await self._read_with_retries(self._directory.snapshot)
                self._read_at = sent_at
                missing_ids = set(self._engine.fleet.workers) - set(snapshot)
                infos, removed_ids = {**snapshot, **dict.fromkeys(missing_ids)}, set()
            except StoreError as error:
                LOG.warning("The workers cannot be followed.", extra={"cause": error.reason})
                await trio.sleep(RETRY_SECONDS)
                continue
            for worker_id, info in infos.items():
                if info is None:
                    self._apply_isolated(self._apply_absence, worker_id)
                else:
                    self._apply_isolated(self._apply_registration, worker_id, info, written_after)
            for worker_id in removed_ids:
                self._apply_isolated(self._apply_removal, worker_id)
            if infos or removed_ids:
                self._on_change()
            await trio.sleep(MIN_POLL_INTERVAL_SECONDS)

    def add_unregistered_workers(self, job):
        """Adds to the fleet the workers with allocations of ``job`` that are not in the directory.

        Runs on them may go on under leases that an earlier leader granted.
        """
        for unit in job.units():
            for allocation in unit.allocations.values():
                if self._engine.fleet.get(allocation.worker_id) is None:
                    info = WorkerInfo(allocation.worker_id, "", allocation.incarnation, Resources())
                    self._engine.fleet.add(info).registered = False
                    seconds = remaining_lease_seconds(self._lease_limit_seconds)
                    expires_at = trio.current_time() + seconds
                    self._assumed_lease_expiry[allocation.worker_id] = expires_at

    def send_start(self, order):
        """Sends a ``StartOrder`` to its worker, in the background.

        Without a session, the order counts as not sent.
        """
        session = self._sessions.get(order.allocation.worker_id)
        if session is None:
            result = StartResult.NOT_SENT
            self._metrics.count("orders", result.value)
            self._engine.apply_start_result(order, result, trio.current_time())
            self._on_change()
            return
        self._nursery.start_soon(session.send_start, order)

    def send_stop(self, stop_order):
        """Sends a ``StopOrder`` to its worker, in the background.

        Without a session, the order is issued again once the worker answers.
        """
        session = self._sessions.get(stop_order.worker_id)
        if session is None:
            self._metrics.count("stops", "no_session")
            self._engine.end_delivery(stop_order)
            return
        self._nursery.start_soon(session.send_stop, stop_order)

    def last_applied_ends(self):
        """Returns, by worker id, (incarnation, number of the last end applied to the engine)."""
        return {
            worker_id: session.last_applied_end for worker_id, session in self._sessions.items()
        }

    def confirm_recorded(self, last_applied_ends):
        """Records that all ends up to ``last_applied_ends``, by worker id, are stored."""
        for worker_id, last_applied_end in last_applied_ends.items():
            if worker_id in self._sessions:
                self._sessions[worker_id].confirm_recorded(last_applied_end)

    def remove_departed_workers(self, now):
        """Removes unregistered workers without runs and closes their sessions.

        Ends the runs of workers without a session once their leases have expired. ``now`` is
        monotonic seconds.
        """
        for worker in list(self._engine.fleet.workers.values()):
            if worker.registered:
                continue
            try:
                self._remove_departed_worker(worker, now)
            except Exception as error:
                record_error(self._metrics, "worker", worker.id, error)

    def _remove_departed_worker(self, worker, now):
        """Removes an unregistered worker if it has no runs, after the expiry of their leases."""
        session = self._sessions.get(worker.id)
        expires_at = self._assumed_lease_expiry.get(worker.id, 0.0)
        if session is None and worker.units_by_run and now > expires_at:
            cause = EndCause.WORKER_VANISHED
            self._engine.end_lost_runs(worker.id, cause, now, "lease_expired")
            self._on_change()
        if not worker.units_by_run and not (session and worker.may_return(now)):
            if session is not None:
                session.close()
                del self._sessions[worker.id]
            self._assumed_lease_expiry.pop(worker.id, None)
            self._engine.fleet.remove(worker.id)

    def _apply_isolated(self, apply, worker_id, *args):
        """Applies a change of one worker by a function; logs and counts an unexpected error."""
        try:
            apply(worker_id, *args)
        except Exception as error:
            record_error(self._metrics, "worker", worker_id, error)

    def _apply_registration(self, worker_id, info, written_after):
        """Adds or updates a worker and opens a session at its address.

        ``written_after`` is a time before the registration was written, None if none is known.
        """
        worker = self._engine.fleet.get(worker_id)
        if worker is None or not worker.registered:
            fields = {
                "worker": worker_id,
                "address": info.address,
                "rack": info.rack,
                "draining": info.draining,
            }
            LOG.info("A worker has joined.", extra=fields)
        elif info.draining and not worker.info.draining:
            fields = {"worker": worker_id, "remaining_ms": info.remaining_ms}
            LOG.info("A worker is leaving.", extra=fields)
        worker = self._engine.fleet.add(info)
        worker.record_report(trio.current_time(), written_after)
        session = self._sessions.get(worker_id)
        if session is None:
            self._open_session(worker)
        elif session.address != info.address:
            session.reconnect(info.address)
        elif not worker.reachable:
            session.wake()

    def _apply_absence(self, worker_id):
        """Marks a worker without a usable registration as unregistered; its runs may go on."""
        worker = self._engine.fleet.get(worker_id)
        if worker is None or not worker.registered:
            return
        worker.registered = False
        LOG.warning("The registration of a worker is missing.", extra={"worker": worker_id})

    def _apply_removal(self, worker_id):
        """Marks a worker as unregistered; ends its runs at once if it left after its drain."""
        worker = self._engine.fleet.get(worker_id)
        if worker is None or not worker.registered:
            return
        worker.registered = False
        now = trio.current_time()
        drained = worker.left_after_drain(now, self._directory_ttl_seconds)
        LOG.info("A worker has left.", extra={"worker": worker_id, "ended": drained})
        if drained:
            self._engine.end_lost_runs(worker_id, EndCause.LOST, now, "worker_left")

    def _open_session(self, worker):
        """Opens a session with a worker, whose runs may have leases of an earlier leader."""
        session = WorkerSession(
            worker,
            self._connect_agent,
            self._engine,
            self._leadership,
            self._hedge,
            lease_limit_seconds=self._lease_limit_seconds,
            refusal=self._refusal,
            on_change=self._on_change,
            on_fenced=self._on_fenced,
            metrics=self._metrics,
        )
        self._sessions[worker.id] = session
        self._assume_leases(session)
        self._nursery.start_soon(session.run, self._loaded)

    def _assume_leases(self, session):
        """Assumes that runs of the session's worker have leases that an earlier leader granted."""
        if session.has_runs:
            seconds = remaining_lease_seconds(self._lease_limit_seconds)
            session.assume_lease(trio.current_time() + seconds)
