"""
ibiscart_entry.process
~~~~~~~~~~~~~~~~~~~~~~

Builds and supervises the tasks of one entry process.
"""

import logging

import trio

from ibiscart_core.policies.adaptive import AdaptivePolicy
from ibiscart_core.policies.fifo import FifoPolicy
from ibiscart_entry.api import Api
from ibiscart_entry.client import HttpClient
from ibiscart_entry.controller import Controller
from ibiscart_entry.dispatcher import Dispatcher
from ibiscart_entry.drain import Drain
from ibiscart_entry.journal import Journal
from ibiscart_entry.membership import Membership
from ibiscart_entry.metric import Metrics
from ibiscart_entry.peer import Peers
from ibiscart_entry.server import HttpServer
from ibiscart_entry.sign import TargetSigns
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
        self._membership = Membership.from_config(settings.membership, HttpClient)
        signs = TargetSigns()
        self._peers = Peers(
            settings.entry_id,
            settings.region,
            self._membership,
            settings.peer,
            metrics,
            key=settings.peer_key,
            signs=signs,
        )
        budget = StoreBudget.from_config(settings.store)
        table = HttpTable.from_config(settings.store, HttpClient, budget, metrics)
        objects = ObjectStore.from_config(settings.store, HttpClient, budget, metrics)
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
        self._dispatcher = Dispatcher(
            self._journal, self._peers, self._membership, table, settings.dispatch, metrics
        )
        self._controller = Controller(
            self._journal, self._writer, self._peers, settings.scheduler, metrics
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
        self._server = HttpServer(self._api.handle, settings.server)
        self._peer_server = HttpServer(self._peers.handle, _peer_server_settings(settings))
        self._register_gauges()

    async def run(self, signals):
        """Serves until a signal arrives through ``signals`` and the drain has ended.

        Raises ``OSError`` when an address cannot be bound.
        """
        async with trio.open_nursery() as nursery:
            await nursery.start(self._peer_server.serve)
            for part in (self._membership, self._peers, self._journal):
                await nursery.start(part.run)
            LOG.info("process: Loading the journal.", extra={"region": self._settings.region})
            nursery.start_soon(self._serve, nursery)
            await self._drain.run(signals)
            nursery.cancel_scope.cancel()
        LOG.info("process: Stopped.")
