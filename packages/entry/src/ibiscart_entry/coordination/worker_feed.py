"""
ibiscart_entry.coordination.worker_feed
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Follows the workers that come and leave, and keeps a session with each.
"""

import logging

import trio

from ibiscart_core.resource import Resources
from ibiscart_core.workflow.fleet import WorkerInfo
from ibiscart_entry.coordination.session import (
    CLOCK_SLOWNESS,
    EXTEND_LIMIT_SECONDS,
    WorkerSession,
)
from ibiscart_entry.table import HistoryLost, StoreError

__all__ = ["WorkerFeed"]

LOG = logging.getLogger("ibiscart.workers")
# after a failed call; as often as a lost store is probed
RETRY_SECONDS = 0.2
# an answer comes with the first change, so this only bounds the cost of an idle feed
FOLLOW_SECONDS = 5.0
# changes of workers are read at most this often; a worker that leaves says so 2 s ahead
PAUSE_SECONDS = 0.2


class WorkerFeed:
    """The workers of one ``Engine`` with their sessions; lives as long as one leadership.

    ``connect_agent`` builds the ``WorkerAgent`` of an address and id. An entry in the
    directory that is dropped sooner than ``directory_ttl_seconds`` after its last change was not
    dropped for silence. ``read_again`` calls a function until the store answers.
    """

    def __init__(
        self,
        engine,
        directory,
        connect_agent,
        leadership,
        metrics,
        read_again,
        *,
        lease_seconds,
        directory_ttl_seconds,
        on_change,
        on_fenced,
    ):
        self._engine = engine
        self._directory = directory
        self._connect_agent = connect_agent
        self._leadership = leadership
        self._metrics = metrics
        self._read_again = read_again
        self._lease_seconds = lease_seconds
        self._entry_seconds = directory_ttl_seconds
        self._on_change = on_change
        self._on_fenced = on_fenced
        self._sessions = {}
        self._absent_until = {}
        self._nursery = None

    async def load(self):
        """Reads all workers; returns the version of the directory."""
        infos, version = await self._read_again(self._directory.snapshot)
        for info in infos.values():
            self._engine.fleet.add(info)
        return version

    def open_sessions(self, nursery):
        """Begins a session with each present worker; their tasks run in ``nursery``."""
        self._nursery = nursery
        for worker in list(self._engine.fleet.workers.values()):
            if worker.registered:
                self._open(worker)

    async def follow(self, version):
        """Takes the changes after a version until cancelled."""
        while True:
            try:
                infos, version = await self._directory.changes(version, FOLLOW_SECONDS)
            except HistoryLost:
                found, version = await self._read_again(self._directory.snapshot)
                gone = set(self._engine.fleet.workers) - set(found)
                infos = {**found, **dict.fromkeys(gone)}
            except StoreError as error:
                LOG.warning("The workers cannot be followed.", extra={"cause": error.reason})
                await trio.sleep(RETRY_SECONDS)
                continue
            for worker_id, info in infos.items():
                if info is None:
                    self._take_left(worker_id)
                else:
                    self._take(worker_id, info)
            if infos:
                self._on_change()
            await trio.sleep(PAUSE_SECONDS)

    def add_absent(self, job):
        """Adds the workers that hold a place of a job and are not in the directory.

        Their runs may go on under leases that an earlier leader gave.
        """
        for unit in job.units():
            for allocation in unit.allocations.values():
                if self._engine.fleet.get(allocation.worker_id) is None:
                    info = WorkerInfo(allocation.worker_id, "", allocation.incarnation, Resources())
                    self._engine.fleet.add(info).registered = False
                    until = trio.current_time() + self._longest_lease()
                    self._absent_until[allocation.worker_id] = until

    def start(self, order):
        """Sends an order to its worker."""
        session = self._sessions.get(order.allocation.worker_id)
        if session is not None:
            self._nursery.start_soon(session.start, order)

    def stop(self, stop):
        """Sends a stop to its worker."""
        session = self._sessions.get(stop.worker_id)
        if session is not None:
            self._nursery.start_soon(session.stop, stop)

    def seen(self):
        """Returns the number of the last end that was applied, by worker."""
        return {worker_id: session.seen for worker_id, session in self._sessions.items()}

    def acknowledge(self, seen):
        """Notes that all ends that ``seen`` had returned are on record."""
        for worker_id, number in seen.items():
            if worker_id in self._sessions:
                self._sessions[worker_id].acknowledge(number)

    def close_ended(self, now):
        """Ends the sessions of workers that left, and the leases of those never met."""
        fleet = self._engine.fleet
        for worker_id, worker in list(fleet.workers.items()):
            if worker.registered:
                continue
            session = self._sessions.get(worker_id)
            until = self._absent_until.get(worker_id, 0.0)
            if session is None and worker.units_by_run and now > until:
                self._engine.end_lost_runs(worker_id, "lease_expired")
                self._on_change()
            if not worker.units_by_run:
                if session is not None:
                    session.close()
                    del self._sessions[worker_id]
                self._absent_until.pop(worker_id, None)
                fleet.remove(worker_id)

    def _take(self, worker_id, info):
        worker = self._engine.fleet.get(worker_id)
        if worker is None or not worker.registered:
            fields = {"worker": worker_id, "rack": info.rack, "draining": info.draining}
            LOG.info("A worker has joined.", extra=fields)
        elif info.draining and not worker.info.draining:
            LOG.info("A worker is leaving.", extra={"worker": worker_id})
        worker = self._engine.fleet.add(info)
        worker.record_report(trio.current_time())
        session = self._sessions.get(worker_id)
        if session is not None and session.address != info.address:
            session.close()
            session = None
        if session is None:
            self._open(worker)
        elif not worker.reachable:
            session.wake()

    def _take_left(self, worker_id):
        worker = self._engine.fleet.get(worker_id)
        if worker is None or not worker.registered:
            return
        worker.registered = False
        ended = worker.left_after_drain(trio.current_time(), self._entry_seconds)
        LOG.info("A worker has left.", extra={"worker": worker_id, "ended": ended})
        if ended:
            self._engine.end_lost_runs(worker_id, "worker_left")

    def _open(self, worker):
        session = WorkerSession(
            worker,
            self._connect_agent(worker.info.address, worker.id),
            self._engine,
            self._leadership,
            lease_seconds=self._lease_seconds,
            on_change=self._on_change,
            on_fenced=self._on_fenced,
            metrics=self._metrics,
        )
        if worker.units_by_run:
            session.assume_lease(trio.current_time() + self._longest_lease())
        self._sessions[worker.id] = session
        self._nursery.start_soon(session.run)

    def _longest_lease(self):
        return EXTEND_LIMIT_SECONDS + self._lease_seconds * CLOCK_SLOWNESS
