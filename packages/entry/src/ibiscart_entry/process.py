"""
ibiscart_entry.process
~~~~~~~~~~~~~~~~~~~~~~

Builds and supervises the tasks of one entry process.
"""

import functools
import logging
import random
import time

import trio

from ibiscart_core.policies.adaptive import AdaptivePolicy
from ibiscart_core.policies.fifo import FifoPolicy
from ibiscart_core.retry import RetryBudget
from ibiscart_entry.api import Api
from ibiscart_entry.claim import Claims
from ibiscart_entry.client import HttpClient
from ibiscart_entry.controller import Controller
from ibiscart_entry.decision import DecisionLog
from ibiscart_entry.dispatcher import Dispatcher
from ibiscart_entry.drain import Drain
from ibiscart_entry.journal import Journal
from ibiscart_entry.membership import Membership
from ibiscart_entry.metric import Metrics
from ibiscart_entry.peer import Peers
from ibiscart_entry.recorder import Recorder
from ibiscart_entry.server import HttpServer
from ibiscart_entry.sign import TargetSigns
from ibiscart_entry.signals import open_signals, stop_requested
from ibiscart_entry.store import ObjectStore, StoreBudget
from ibiscart_entry.tables.http import HttpTable
from ibiscart_entry.writer import Writer
from ibiscart_schema.generated.settings_pb2 import ServerSettings

__all__ = ["EntryProcess"]

LOG = logging.getLogger("ibiscart.process")
POLICIES = {policy.name: policy for policy in (AdaptivePolicy, FifoPolicy)}
# a catch-up answer carries a whole snapshot
PEER_BODY_BYTES = 64 * 1024 * 1024
PEER_CONNECTIONS = 256


class EntryProcess:
    """One entry process, built from its ``Settings``."""

    def __init__(self, settings):
        self._settings = settings
        self._metrics = metrics = Metrics()

        def connect(counterpart):
            return functools.partial(HttpClient, traffic=metrics.traffic(counterpart))

        self._membership = Membership.from_config(settings.membership, connect("members"))
        signs = TargetSigns()
        self._peers = Peers(
            settings.entry_id,
            settings.region,
            self._membership,
            settings.peer,
            metrics,
            key=settings.peer_key,
            signs=signs,
            connect=connect("peers"),
        )
        budget = StoreBudget.from_config(settings.store)
        table = HttpTable.from_config(settings.store, connect("table"), budget, metrics)
        objects = ObjectStore.from_config(settings.store, connect("objects"), budget, metrics)
        self._journal = Journal(
            settings.region,
            table,
            objects,
            self._peers,
            metrics,
            snapshot_records=settings.store.snapshot_records,
        )
        policy = POLICIES[settings.scheduler.policy]()
        self._writer = Writer(
            self._journal,
            self._peers,
            policy,
            settings.scheduler,
            metrics,
            membership=self._membership,
        )
        rng = random.SystemRandom()
        claims = Claims(
            settings.entry_id, table, self._peers.live, metrics, random=rng, now_us=_wall_clock_us
        )
        self._dispatcher = Dispatcher(
            settings.entry_id,
            settings.data_centre,
            settings.dispatch,
            self._journal,
            self._peers,
            self._membership,
            claims,
            metrics,
            budget=RetryBudget(settings.dispatch.retry_budget_share),
            random=rng,
            connect=connect("runners"),
        )
        self._peers.position = self._position
        self._controller = Controller(
            settings.entry_id,
            settings.scheduler,
            self._journal,
            self._writer,
            self._peers,
            metrics,
            random=rng,
            connect=connect("workers"),
        )
        self._api = Api(
            settings,
            journal=self._journal,
            writer=self._writer,
            dispatcher=self._dispatcher,
            peers=self._peers,
            policy=policy,
            metrics=metrics,
        )
        self._server = HttpServer(
            self._api.handle,
            settings.server,
            self._count_refusal,
            answer_headers=self._api.answer_headers,
            traffic=metrics.traffic("callers"),
        )
        self._peer_server = HttpServer(
            self._peers.handle,
            _peer_server_settings(settings),
            traffic=metrics.traffic("peers"),
            name="peer.address",
        )
        self._recorder = Recorder.from_config(settings, self._journal, objects, metrics)
        if self._recorder is not None:
            self._writer.on_batch = self._recorder.add_commands
        self._drain = Drain(
            settings.drain,
            self._server,
            on_start=(self._api.set_draining, self._peers.set_leaving),
        )
        self._register_gauges()

    async def run(self):
        """Serves until SIGTERM or SIGINT, then drains; returns the name of the signal.

        Raises ``AddressError`` when an address can never be bound.
        """
        name = stop_requested()
        if name is not None:
            return name
        with open_signals() as signals:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._start, nursery)
                name = await self._drain.run(signals)
                nursery.cancel_scope.cancel()
        return name

    async def _start(self, nursery):
        """Starts all parts, the server of callers last."""
        await nursery.start(self._peer_server.serve)
        for part in self._parts():
            await nursery.start(part.run)
        await nursery.start(self._server.serve)
        fields = {"region": self._settings.region, "address": self._settings.server.address}
        LOG.info("The entry process listens.", extra=fields)

    def _parts(self):
        parts = [self._membership, self._peers, self._journal, self._writer]
        parts += [self._dispatcher, self._controller]
        parts.append(DecisionLog(self._settings.entry_id, self._journal))
        if self._recorder is not None:
            parts.append(self._recorder)
        return parts

    def _position(self):
        return self._journal.sequence, self._dispatcher.shares.acknowledged_epoch

    def _count_refusal(self, kind):
        self._metrics.count("refusals", kind.value)

    def _register_gauges(self):
        ledger = self._journal
        gauges = {
            "journal_sequence": lambda: ledger.sequence,
            "journal_confirmed_age_seconds": lambda: round(min(ledger.confirmed_age(), 1e9), 3),
            "queued_jobs": lambda: ledger.ledger.queued_jobs,
            "active_jobs": lambda: len(ledger.ledger.active),
            "waiting_requests": lambda: self._dispatcher.waiting,
            "running_requests": lambda: self._dispatcher.running,
            "open_connections": lambda: self._server.connections,
            "live_entries": lambda: len(self._peers.live()),
            "ready": lambda: int(not self._api.unready_cause()),
        }
        for name, read in gauges.items():
            self._metrics.gauge(name, read)


def _peer_server_settings(settings):
    server = ServerSettings()
    server.CopyFrom(settings.server)
    server.address = settings.peer.address
    server.max_connections = PEER_CONNECTIONS
    server.max_body_bytes = PEER_BODY_BYTES
    return server


def _wall_clock_us():
    return time.time_ns() // 1000
