"""Entry processes on loopback, connected by fault proxies to stand-ins of store and workers."""

import functools
import random
import shutil
import signal
import socket
import tempfile
import time
from contextlib import asynccontextmanager
from pathlib import Path

import trio

from ibiscart_entry.server import HttpServer
from ibiscart_schema.generated.settings_pb2 import ServerSettings
from tests.platform.deployment import CONFIGURATION
from tests.soak.process import EntryProcess
from tests.soak.proxy import LINGER_RESET, FaultProxy
from tests.standins.loopback import LOOPBACK, free_ports
from tests.standins.platform.store import PlatformStore
from tests.standins.platform.worker import WorkerFleet, WorkerStandIn

__all__ = ["Cluster"]

START_TIMEOUT_SECONDS = 20.0
# longest time from the start of a process until it is ready, while the store serves
READY_TIMEOUT_SECONDS = 20.0
MONITOR_SECONDS = 0.2
# time for which the connection of a worker that registers lasts
CONNECTION_SECONDS = 3.0
# longest time for which the connection of another program keeps a port after its end
TIME_WAIT_SECONDS = 60.0
# ports of the deployments of this process, of which several may run at once
_TAKEN_PORTS = set()
RESTART_DELAY_SECONDS = 1.0


class Cluster:
    """Store, workers, proxies and entry processes, within ``async with cluster.running()``.

    ``violations`` has a text for each process that ended by itself, ended with a wrong exit code
    or did not become ready. A process that ended by itself is started again, as the platform does.
    With ``ephemeral_ports`` all sockets are on 127.0.0.1, as on one machine that runs a whole
    deployment, and the listeners of the entries get ports that the system also gives to the
    connections of the entries and, for a moment, to those by which workers register.
    """

    def __init__(self, entries=3, workers=4, seed=0, ephemeral_ports=False):
        self._entry_and_worker_counts = entries, workers
        self.seed = seed
        self._ephemeral_ports = ephemeral_ports
        self._host = "127.0.0.1" if ephemeral_ports else LOOPBACK
        self.entries = {}
        self.store_proxies = {}
        self.worker_proxies = {}
        self.fleet = WorkerFleet()
        self.keep_logs = False

    @property
    def violations(self):
        """Texts of all violations of the entry processes so far."""
        return [text for entry in self.entries.values() for text in entry.violations]

    @asynccontextmanager
    async def running(self):
        """Starts all components, and stops them also if the start or the body fails."""
        self.log_directory = tempfile.mkdtemp(prefix="ibiscart-soak-")
        async with trio.open_nursery() as self.nursery:
            try:
                await self._start()
                yield self
            except BaseException:
                self.keep_logs = True
                raise
            finally:
                await self._kill_processes()
                self.nursery.cancel_scope.cancel()
        if not self.keep_logs:
            shutil.rmtree(self.log_directory)

    async def _start(self):
        """Starts store, workers, proxies and entries; returns when all entries are ready."""
        self.store = PlatformStore(self.seed)
        await self.nursery.start(self.store.run)
        self.store_port = store_port = await self._start_server(self.store.handle)
        routes = [{**route, "host": self._host} for route in CONFIGURATION["routes"]]
        self.store.put("op", "config", {**CONFIGURATION, "routes": routes})
        names = [f"e{number}" for number in range(self._entry_and_worker_counts[0])]
        for number in range(self._entry_and_worker_counts[1]):
            await self._add_worker(f"w{number}")
        for name in names:
            self.store_proxies[name] = await self._start_proxy(store_port)
            self.entries[name] = EntryProcess(
                name,
                self.log_directory,
                self.store_proxies[name].port,
                host=self._host,
                ports=_ephemeral_ports() if self._ephemeral_ports else None,
            )
        proxies = (*self.store_proxies.values(), *self.worker_proxies.values())
        _TAKEN_PORTS.update(proxy.port for proxy in proxies)
        _TAKEN_PORTS.add(store_port)
        deadline = trio.current_time() + START_TIMEOUT_SECONDS
        latest = deadline + TIME_WAIT_SECONDS
        for entry in self.entries.values():
            if self._ephemeral_ports:
                self.nursery.start_soon(self._connect_workers)
            await entry.start()
            self.nursery.start_soon(self._monitor, entry)
        while not all([await self._is_ready(entry) for entry in self.entries.values()]):
            if trio.current_time() > deadline:
                if trio.current_time() > latest or not self._is_port_foreign():
                    raise trio.TooSlowError
                deadline = trio.current_time() + START_TIMEOUT_SECONDS
            await trio.sleep(0.1)

    def _is_port_foreign(self):
        """Returns True if another program's connection uses a port of an entry."""
        entries = self.entries.values()
        return self._ephemeral_ports and any(entry.foreign_use(_TAKEN_PORTS) for entry in entries)

    async def wait_ready(self):
        """Waits until all entries are ready; adds a violation for each one that is not in time."""
        for entry in self.entries.values():
            with trio.move_on_after(READY_TIMEOUT_SECONDS) as scope:
                while not await entry.is_ready():
                    await trio.sleep(MONITOR_SECONDS)
            if scope.cancelled_caught:
                entry.report_not_ready(READY_TIMEOUT_SECONDS)

    async def _monitor(self, entry):
        """Checks the ends of an entry's processes, and that each becomes ready in time."""
        process, ready, served_seconds = None, False, 0.0
        while True:
            before = trio.current_time()
            undisturbed = self._is_undisturbed(entry)
            await trio.sleep(MONITOR_SECONDS)
            if entry.check_exit():
                await trio.sleep(RESTART_DELAY_SECONDS)
                await entry.start()
            if entry.process is not process:
                process, ready, served_seconds = entry.process, False, 0.0
            elif not ready and undisturbed and self._is_undisturbed(entry):
                ready = await entry.is_ready()
                served_seconds += trio.current_time() - before
                if ready or served_seconds <= READY_TIMEOUT_SECONDS:
                    continue
                if self._is_port_foreign():
                    served_seconds = 0.0
                else:
                    entry.report_not_ready(served_seconds)
                    ready = True

    def _is_undisturbed(self, entry):
        """Returns True if no fault prevents that an entry becomes ready."""
        disturbed = entry.stopped or entry.ending or entry.ports_in_use or not entry.alive
        proxy = self.store_proxies[entry.name]
        return not disturbed and proxy.mode == "pass" and not self.store.disturbed

    async def _kill_processes(self):
        """Kills all entry processes, also paused ones, and waits for their exit."""
        with trio.CancelScope(shield=True):
            for entry in self.entries.values():
                entry.check_exit()
                entry.send_signal(signal.SIGCONT)
                entry.send_signal(signal.SIGKILL)
                await entry.wait_exit()

    def register(self, name, **fields):
        """Writes a worker's registration into the store, with ``fields`` changed."""
        worker = self.fleet.workers[name]
        address = f"{self._host}:{self.worker_proxies[name].port}"
        rack = f"r{int(name[1:]) // 2}"
        self.store.put("servers", name, worker.registration(address, rack=rack, **fields))

    def evacuate(self, data_centre):
        """Requests to empty a data centre, as the operator does."""
        self.store.put("op", f"evacuate/{data_centre}", {})
        self.fleet.evacuated_at[data_centre] = trio.current_time()

    def take_back(self, data_centre):
        """Ends the evacuation of a data centre."""
        self.store.delete("op", f"evacuate/{data_centre}")
        del self.fleet.evacuated_at[data_centre]

    async def _add_worker(self, name):
        """Starts a worker behind a proxy and registers the proxy's address."""
        worker = WorkerStandIn(self.fleet, name, self.nursery, seed=self.seed)
        worker.crash = functools.partial(self._restart_worker, worker)
        worker.data_centre = f"z{int(name[1:]) % 2}"
        worker.incarnation = int(time.time() * 1000)
        port = await self._start_server(worker.handle)
        self.worker_proxies[name] = await self._start_proxy(port)
        self.register(name)

    def _restart_worker(self, worker):
        """Restarts a worker after a crash; the next process registers at once."""
        worker.restart()
        self.register(worker.id)

    async def _connect_workers(self):
        """Opens connections to the store, as many as workers, and closes them after a moment."""
        connections = []
        try:
            for _ in range(self._entry_and_worker_counts[1]):
                connections.append(trio.socket.socket())
                connections[-1].setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
                await connections[-1].connect((self._host, self.store_port))
            await trio.sleep(CONNECTION_SECONDS)
        finally:
            for connection in connections:
                connection.close()

    async def _start_server(self, handler):
        """Serves ``handler`` on loopback; returns the port."""
        settings = ServerSettings(
            address=f"{self._host}:{free_ports(1, self._host)[0]}",
            max_connections=5000,
            max_body_bytes=4_000_000,
            header_timeout_seconds=60,
            body_timeout_seconds=60,
        )
        return await self.nursery.start(HttpServer(handler, settings).serve)

    async def _start_proxy(self, port):
        """Starts and returns a ``FaultProxy`` in front of a port."""
        proxy = FaultProxy(port, self._host)
        await self.nursery.start(proxy.run)
        return proxy

    async def _is_ready(self, entry):
        """Returns True if an entry answers a caller's request with status 200."""
        return (await entry.call("GET", "/q/"))[0] == 200


def _ephemeral_ports():
    """Returns three ports that are free at present, among those of outgoing connections."""
    low, high = map(int, Path("/proc/sys/net/ipv4/ip_local_port_range").read_text().split())
    rng = random.SystemRandom()
    ports = []
    while len(ports) < 3:
        port = rng.randint(low, high)
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in _TAKEN_PORTS:
            _TAKEN_PORTS.add(port)
            ports.append(port)
    return ports
