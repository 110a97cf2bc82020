"""
ibiscart_entry.coordination.entry_process
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Process of one entry: serves callers, and runs all jobs while it is the leader.
"""

import functools
import logging
import random

import trio

from ibiscart_core.error import ErrorKind
from ibiscart_entry.clock import boot_time
from ibiscart_entry.coordination.announcer import ANNOUNCE_PATH, Announcer
from ibiscart_entry.coordination.catalog_exchange import CATALOG_PATH, CatalogServer
from ibiscart_entry.coordination.leader import Leader
from ibiscart_entry.coordination.leadership import Leadership
from ibiscart_entry.coordination.pause_monitor import PauseMonitor
from ibiscart_entry.coordination.pool_watch import PoolWatch
from ibiscart_entry.isolation import record_error, run_isolated, run_supervised
from ibiscart_entry.server import HttpServer, Response
from ibiscart_entry.signals import (
    STOP_SIGNALS,
    ignore_signals,
    log_signal,
    open_signals,
    stop_requested,
)
from ibiscart_schema.generated.settings_pb2 import ServerSettings

__all__ = ["EntryProcess"]

LOG = logging.getLogger("ibiscart.process")
# an entry is not ready when the store last confirmed its configuration longer ago than this; the
# load balancer then opens no new connections to it
MAX_READY_AGE_SECONDS = 3.0
# pause in a shutdown until the load balancer opens no more connections: it checks readiness once a
# second and needs two failures; the rest of ``drain_seconds`` is for open requests
BALANCER_SECONDS = 2.5
# part of ``drain_seconds`` that is left for the exit of the process itself
EXIT_MARGIN_SECONDS = 0.8
# pause between closing the listener and closing idle connections; a connection that was opened just
# before may not have sent its request yet
SETTLE_SECONDS = 0.3
# longest delay that an entry adds to its election timeout; the delay shrinks with the number of
# processors, so that an entry on a larger machine is more likely to lead, because the leader needs
# up to 0.45 of a core
MAX_CAMPAIGN_DELAY_SECONDS = 0.4
# machines with at least this number of processors campaign without delay; the largest machines have
# 2.15 cores
FULL_SIZE_PROCESSORS = 2.0
# the worker directory keeps a worker without heartbeats for at least this many heartbeat intervals:
# it drops the worker after three, and one is subtracted for delays
DIRECTORY_TTL_HEARTBEATS = 2.0
# settings whose new values a running process applies; the others need a restart, because they name
# addresses
RELOADABLE = frozenset({"drain_seconds", "retention_seconds"})
# most open connections of one HTTP server, each of which takes a file descriptor; half of the 4,100
# file descriptors of the smallest machine
MAX_CONNECTIONS = 2000
# largest body of a request, and time for receiving its headers, as the platform's configuration
# states them
MAX_BODY_BYTES = 262_144
HEADER_TIMEOUT_SECONDS = 3.0
# time for receiving a request's body; longer than any caller waits for a response
BODY_TIMEOUT_SECONDS = 5.0

# kind of the tasks that answer requests, in the counter of unexpected errors
REQUEST_TASK = "request"


class EntryProcess:
    """Builds and supervises the tasks of one process.

    ``process_id`` identifies this process in the leader's row. ``connect_agent`` returns the
    ``WorkerAgent`` for an address and a worker id, ``connect_peer`` the HTTP client for the
    address of an entry. ``handler`` responds to callers. ``read_settings`` returns the current
    settings, or None when they are invalid.
    """

    def __init__(
        self,
        settings,
        *,
        process_id,
        table,
        worker_directory,
        catalogs,
        connect_agent,
        handler,
        job_service,
        connect_peer,
        peer_directory,
        relay_server,
        metrics,
        read_settings=lambda: None,
        rng=None,
    ):
        self._settings = settings
        self._read_settings = read_settings
        self._metrics = metrics
        self._catalogs = catalogs
        # "starting", "serving" or "draining"
        self._state = "starting"
        address = f"{settings.ip}:{settings.first_port}"
        leadership = Leadership(
            table,
            settings.node,
            process_id,
            address,
            rng=rng or random.SystemRandom(),
            campaign_delay_seconds=_campaign_delay_seconds(settings.processors),
            clock=boot_time,
        )
        self._leader = Leader(
            leadership,
            table,
            worker_directory,
            catalogs,
            connect_agent,
            metrics,
            lease_limit_seconds=settings.lease_limit_seconds,
            retention_seconds=settings.retention_seconds,
            directory_ttl_seconds=DIRECTORY_TTL_HEARTBEATS * settings.worker_heartbeat_seconds,
            evacuation_seconds=settings.evacuation_seconds,
        )
        self._announcer = Announcer(leadership, self._leader, connect_peer, metrics)
        job_service.announce = self._announcer.announce
        job_service.count_rejection = functools.partial(metrics.count, "rejections")
        self._pools = job_service.pools = PoolWatch(table, boot_time)
        self._pause_monitor = job_service.pause_monitor = PauseMonitor(metrics, boot_time)
        leadership.on_change = self._pools.record_leader
        self._server = HttpServer(
            handler,
            _server_settings(settings.front_address),
            self._count_error,
            name=settings.field_name("front_address"),
        )
        self._readiness_server = HttpServer(
            self._handle_readiness,
            _server_settings(settings.readiness_address),
            self._count_error,
            name=settings.field_name("readiness_address"),
        )
        self._peer_directory = peer_directory
        self._table = table
        self._relay_server = relay_server
        self._catalog_server = CatalogServer(catalogs, boot_time)
        self._peer_server = HttpServer(
            self._handle_peer,
            _server_settings(address),
            self._count_error,
            traffic=metrics.traffic("peers"),
            name=settings.field_name("first_port"),
        )
        metrics.gauge("configuration_age_seconds", lambda: catalogs.age_seconds)
        metrics.gauge("pool_view_age_seconds", lambda: self._pools.age_seconds)
        metrics.gauge("leads", lambda: int(self._leader.leads))
        metrics.gauge(
            "slow_workers",
            self._count_slow_workers,
            "Workers that are slow or cold, as the leader knows them; else 0.",
        )
        metrics.gauge(
            "overdue_stops",
            self._count_overdue_stops,
            "Runs that go on long after the leader has planned a stop; 0 on other entries.",
        )
        metrics.gauge(
            "tombstones",
            self._count_tombstones,
            "Jobs that were cancelled before they were stored; 0 on other entries.",
        )
        if settings.evacuation_seconds is not None:
            self._register_evacuation_gauges()

    def _register_evacuation_gauges(self):
        """Registers the gauges of evacuated data centres."""
        catalogs, leader = self._catalogs, self._leader
        self._metrics.gauge(
            "evacuations_age_seconds",
            lambda: catalogs.evacuations_age_seconds,
            "Time since the store last confirmed which data centres are evacuated.",
        )
        self._metrics.gauge(
            "evacuated_data_centres",
            lambda: len(catalogs.evacuations.data_centres) if catalogs.evacuations else 0,
            "Data centres that are being emptied.",
        )
        self._metrics.gauge(
            "evacuated_runs",
            lambda: leader.coordinator.count_evacuated_runs() if leader.coordinator else 0,
            "Runs in data centres that are being emptied, as the leader knows them; else 0.",
        )

    def _count_slow_workers(self):
        """Returns the number of slow workers, 0 unless this entry leads."""
        coordinator = self._leader.coordinator
        return coordinator.count_slow_workers() if coordinator is not None else 0

    def _count_overdue_stops(self):
        """Returns the number of runs whose stop is overdue, 0 unless this entry leads."""
        coordinator = self._leader.coordinator
        return coordinator.count_overdue_stops() if coordinator is not None else 0

    def _count_tombstones(self):
        """Returns the number of jobs that are kept out, 0 unless this entry leads."""
        coordinator = self._leader.coordinator
        return coordinator.count_tombstones() if coordinator is not None else 0

    async def run(self):
        """Serves until SIGTERM or SIGINT, then shuts down gracefully; SIGHUP reloads settings.

        Returns the name of the signal that ended it.
        """
        name = stop_requested()
        if name is not None:
            LOG.info("A signal was received.", extra={"signal": name, "state": self._state})
            return name
        with open_signals() as signals:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._start, nursery)
                async for signal_number in signals:
                    name = log_signal(signal_number, self._state)
                    if signal_number in STOP_SIGNALS:
                        break
                    self._reload()
                self._state = "draining"
                nursery.start_soon(ignore_signals, signals, self._state)
                await self._drain()
                nursery.cancel_scope.cancel()
        return name

    async def _start(self, nursery):
        """Starts the servers and, once all addresses are bound, the other components."""
        async with trio.open_nursery() as binding:
            for server in (self._readiness_server, self._server, self._peer_server):
                binding.start_soon(nursery.start, server.serve)
        # a connection of this process could otherwise take one of its ports
        for name, run in (
            ("store_monitor", self._table.monitor),
            ("configuration", self._catalogs.run),
            ("peer_directory", self._peer_directory.run),
            ("announcer", self._announcer.run),
            ("pools", self._pools.run),
            ("leader", self._leader.run),
            ("pause_monitor", self._pause_monitor.run),
        ):
            nursery.start_soon(run_supervised, self._metrics, name, run)
        if self._state == "starting":
            self._state = "serving"
            fields = {"address": self._settings.ip, "essential": True}
            LOG.info("The process has started.", extra=fields)

    def _reload(self):
        """Reads the settings and applies those that can change while the process runs."""
        try:
            settings = self._read_settings()
        except Exception as error:
            record_error(self._metrics, "component", "settings", error)
            return
        if settings is None:
            return
        changed = settings.differences(self._settings)
        fields = {"changed": changed, "restart_needed": sorted(set(changed) - RELOADABLE)}
        LOG.info("The settings were read again.", extra=fields)
        self._settings = settings
        self._leader.retention_seconds = settings.retention_seconds

    async def _drain(self):
        """Shuts down within ``drain_seconds``: resigns, and answers the requests under way."""
        fields = {"leads": self._leader.leads, "requests": self._server.requests}
        LOG.info("The shutdown begins.", extra={**fields, "essential": True})
        with trio.move_on_after(max(0.0, self._settings.drain_seconds - EXIT_MARGIN_SECONDS)):
            async with trio.open_nursery() as nursery:
                # the store may not answer
                nursery.start_soon(
                    run_isolated, self._metrics, "component", "leader", self._leader.resign
                )
                if self._server.bound:
                    await self._drain_server()

    async def _drain_server(self):
        """Stops accepting connections once the load balancer opens no more; waits for the rest."""
        self._server.close_connections()
        await trio.sleep(BALANCER_SECONDS)
        self._server.stop_accepting()
        await trio.sleep(SETTLE_SECONDS)
        self._server.close_idle()
        await self._server.wait_closed()

    def _count_error(self, kind):
        """Counts a request that ended with an unexpected error."""
        if kind is ErrorKind.INTERNAL:
            self._metrics.count("task_errors", REQUEST_TASK)

    async def _handle_readiness(self, request):
        """Responds to the load balancer with status 200 if this entry is ready, else 503."""
        ready = self._state == "serving" and self._catalogs.age_seconds < MAX_READY_AGE_SECONDS
        return Response.from_json(200 if ready else 503, {"ready": ready})

    async def _handle_peer(self, request):
        """Responds to a request of another entry, or to one for the metrics.

        Other entries announce jobs, relay store calls and ask for the configuration.
        """
        if request.path == ANNOUNCE_PATH:
            return await self._announcer.handle(request)
        if request.path == CATALOG_PATH:
            return await self._catalog_server.handle(request)
        if request.method == "POST":
            return await self._relay_server.handle(request)
        return Response(200, self._metrics.render().encode(), "text/plain; version=0.0.4")


def _campaign_delay_seconds(processors):
    """Returns the campaign delay in seconds, shorter on larger machines.

    Larger machines should lead: the leader needs up to 0.45 of a core at 176 workers.
    """
    return MAX_CAMPAIGN_DELAY_SECONDS * max(0.0, 1.0 - processors / FULL_SIZE_PROCESSORS)


def _server_settings(address):
    """Returns the ``ServerSettings`` of a server that listens on ``address``."""
    return ServerSettings(
        address=address,
        max_connections=MAX_CONNECTIONS,
        max_body_bytes=MAX_BODY_BYTES,
        header_timeout_seconds=HEADER_TIMEOUT_SECONDS,
        body_timeout_seconds=BODY_TIMEOUT_SECONDS,
    )
