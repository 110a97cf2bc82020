"""
ibiscart_entry.controller
~~~~~~~~~~~~~~~~~~~~~~~~~

Runs the gangs of the ledger on the workers.
"""

import logging
import time

import trio

from ibiscart_core.job import JobKey
from ibiscart_entry.client import HttpClient
from ibiscart_entry.gang import Gang
from ibiscart_entry.lease import WorkerLeases
from ibiscart_entry.report import Reports
from ibiscart_entry.stop import FaultStops
from ibiscart_entry.task import TaskCalls
from ibiscart_schema.generated.types_pb2 import TARGET_LEAVING, TARGET_LIVE

__all__ = ["Controller"]

LOG = logging.getLogger("ibiscart.controller")
# finds jobs again whose record was missed, and jobs of an entry that has gone
SWEEP_SECONDS = 1.0
JOB_EVENTS = ("job_placed", "job_released", "job_stopping", "member_ended")
JOB_EVENTS += ("job_requeued", "job_ended")


class Controller:
    """Drives the jobs and renews the leases that ``peers.owner_of`` assigns to this entry.

    ``settings`` is a ``SchedulerSettings`` message. ``connect`` builds a client from an
    address, ``random`` is the source of jitter, and ``wall`` returns seconds since the epoch.
    """

    def __init__(
        self,
        entry_id,
        settings,
        journal,
        writer,
        peers,
        metrics,
        *,
        random,
        connect=HttpClient,
        wall=time.time,
    ):
        self._entry_id = entry_id
        self._settings = settings
        self._journal = journal
        self._peers = peers
        self._metrics = metrics
        self._random = random
        self._calls = TaskCalls(connect, metrics, self._note_sign)
        self._reports = Reports(journal, writer, metrics, random)
        self._stops = FaultStops(
            entry_id, journal, peers, self._calls, self._reports, settings, metrics, random
        )
        self._reports.watch_ends(self._stops.note_end)
        self._leases = WorkerLeases(
            entry_id,
            journal,
            peers,
            self._calls,
            self._reports,
            self._stops,
            settings,
            random,
            wall,
        )
        self._gangs = {}
        self._owned = {}
        self._live = None

    @property
    def gangs(self):
        """Keys of the jobs that this entry drives."""
        return list(self._gangs)

    async def run(self, task_status=trio.TASK_STATUS_IGNORED):
        """Runs until cancelled."""
        async with trio.open_nursery() as nursery:
            await nursery.start(self._reports.run)
            await nursery.start(self._stops.run)
            await nursery.start(self._leases.run)
            nursery.start_soon(self._sweep, nursery)
            task_status.started()
            while True:
                records = self._journal.subscribe()
                async for record in records:
                    self._apply(nursery, record)
                # the channel was closed because this reader fell behind
                await trio.sleep(SWEEP_SECONDS)
                self._forget_missed()

    def _apply(self, nursery, record):
        touched = {}
        for event in record.events:
            kind = event.WhichOneof("kind")
            if kind in JOB_EVENTS:
                message = getattr(event, kind)
                placed = message.attempt if kind == "job_placed" else None
                if kind == "job_released":
                    self._leases.note_released(JobKey.from_message(message.job))
                    self._observe_start(JobKey.from_message(message.job))
                touched[JobKey.from_message(message.job)] = placed
        for key, placed in touched.items():
            self._look_at(nursery, key, placed)
        for gang, _ in self._gangs.values():
            if gang.waits_places:
                gang.wake()

    def _forget_missed(self):
        """Forgets the jobs whose end was in a record that this reader missed."""
        active = self._journal.ledger.active
        for kept in (self._stops, self._leases):
            for key in [key for key in kept.keys() if key not in active]:
                kept.forget(key)

    def _observe_start(self, key):
        job = self._journal.ledger.jobs.get(key)
        if job is not None and key in self._gangs and job.released:
            label = "burst" if job.burst else "guaranteed"
            seconds = (job.released_us - job.submitted_us) / 1e6
            self._metrics.observe("start_seconds", label, seconds)

    async def _sweep(self, nursery):
        while True:
            live = tuple(sorted(self._peers.live()))
            if live != self._live:
                self._live = live
                self._owned.clear()
            for key in [*self._journal.ledger.active, *self._gangs]:
                self._look_at(nursery, key)
            await trio.sleep(SWEEP_SECONDS)

    def _look_at(self, nursery, key, placed=None):
        driven = self._gangs.get(key)
        active = key in self._journal.ledger.active
        if not active:
            self._owned.pop(key, None)
            self._stops.forget(key)
            self._leases.forget(key)
        if driven is not None:
            gang, scope = driven
            if placed is not None:
                gang.note_placed(placed)
            gang.wake()
            if active and not self._owns(key):
                scope.cancel()
        elif active and self._owns(key):
            gang = Gang(
                key,
                self._journal,
                self._calls,
                self._reports,
                self._settings,
                self._leases,
                self._peers.signs,
                self._metrics,
                self._random,
            )
            if placed is not None:
                gang.note_placed(placed)
            scope = trio.CancelScope()
            self._gangs[key] = (gang, scope)
            nursery.start_soon(self._drive, gang, scope)

    async def _drive(self, gang, scope):
        try:
            with scope:
                await gang.run()
        except Exception:
            # the sweep drives it anew; a fault in one job must not end an entry, and then
            # the next one that takes the job over
            LOG.exception("controller: A job could not be driven.", extra={"job": repr(gang.key)})
        finally:
            del self._gangs[gang.key]

    def _owns(self, key):
        owned = self._owned.get(key)
        if owned is None:
            name = f"job/{key.account}/{key.request_id}"
            owned = self._owned[key] = self._peers.owner_of(name) == self._entry_id
        return owned

    def _note_sign(self, worker_id, cause):
        self._peers.signs.report(worker_id, TARGET_LEAVING, cause)
        worker = self._journal.ledger.workers.get(worker_id)
        if worker is not None and worker.state == TARGET_LIVE:
            self._reports.add_worker(worker_id, TARGET_LEAVING, cause)
