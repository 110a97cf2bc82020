"""Entry processes on loopback, connected by fault proxies to stand-ins of store and workers."""

import json
import os
import shutil
import signal
import sys
import tempfile
import time
from contextlib import asynccontextmanager
from pathlib import Path

import trio
import yaml

from ibiscart_entry.client import HttpClient, TransportError
from ibiscart_entry.server import HttpServer
from ibiscart_schema.generated.settings_pb2 import ServerSettings
from tests.platform.deployment import API_KEY, CONFIGURATION
from tests.soak.proxy import FaultProxy
from tests.standins.loopback import LOOPBACK, free_ports
from tests.standins.platform.store import PlatformStore
from tests.standins.platform.worker import WorkerFleet, WorkerStandIn

__all__ = ["Cluster"]

ROOT = Path(__file__).resolve().parents[2]
START_TIMEOUT_SECONDS = 20.0


class EntryProcess:
    """One entry process; its client keeps connections open until the process exits."""

    def __init__(self, name, directory, store_port):
        self.name = name
        self.front_port, self.readiness_port, self.internal_port = free_ports(3)
        self._settings_path = Path(directory) / f"{name}.yaml"
        self._log_path = Path(directory) / f"{name}.log"
        self._settings_path.write_text(
            yaml.safe_dump(self._settings_document(store_port)), encoding="utf-8"
        )
        self._client = HttpClient(f"{LOOPBACK}:{self.front_port}")
        self.process = None
        self._start_lock = trio.Lock()

    @property
    def alive(self):
        return self.process is not None and self.process.poll() is None

    async def start(self):
        """Starts the process unless it is alive; concurrent calls start only one process."""
        environment = {**os.environ, "IBISCART_CONFIG": str(self._settings_path)}
        async with self._start_lock:
            if self.alive:
                return
            with open(self._log_path, "ab") as log:
                command = [sys.executable, str(ROOT / "deploy" / "entry.py")]
                self.process = await trio.lowlevel.open_process(
                    command, stdin=None, stdout=log, stderr=log, env=environment
                )

    def send_signal(self, signal_number):
        """Sends a signal unless the process has exited, as its id may then be another process's."""
        if self.alive:
            self.process.send_signal(signal_number)

    async def wait_exit(self):
        """Waits until the process, if it was started, has exited."""
        if self.process is not None:
            await self.process.wait()

    async def call(self, method, path, document=None):
        """Returns (status, JSON body) of the response, or (0, {}) if there is none."""
        headers = [("authorization", f"Bearer {API_KEY}"), ("x-deadline-ms", "3000")]
        body = json.dumps(document).encode() if document is not None else b""
        try:
            response = await self._client.request(
                method, path, body=body, headers=headers, timeout=3.0
            )
            return response.status, json.loads(response.body or b"{}")
        except TransportError:
            return 0, {}

    def _settings_document(self, store_port):
        """Returns the settings of the process as a mapping for its YAML file."""
        return {
            "node": self.name,
            "ip": LOOPBACK,
            "zone": "z",
            "listen": {
                "front": f"{LOOPBACK}:{self.front_port}",
                "readiness": f"{LOOPBACK}:{self.readiness_port}",
            },
            "internalPorts": [self.internal_port, self.internal_port],
            "platform": {"address": f"{LOOPBACK}:{store_port}"},
            "bounds": {"graceS": 6, "maxHoldMs": 6000, "status_s": 120},
            "limits": {"cpuShare": 1.0, "cores": 1},
            "heartbeatMs": 1500,
        }


class Cluster:
    """Store, workers, proxies and entry processes, within ``async with cluster.running()``."""

    def __init__(self, entries=3, workers=4, seed=0):
        self._entry_and_worker_counts = entries, workers
        self.seed = seed
        self.entries = {}
        self.store_proxies = {}
        self.worker_proxies = {}
        self.fleet = WorkerFleet()
        self.keep_logs = False

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
        store_port = await self._start_server(self.store.handle)
        routes = [{**route, "host": LOOPBACK} for route in CONFIGURATION["routes"]]
        self.store.put("op", "config", {**CONFIGURATION, "routes": routes})
        for number in range(self._entry_and_worker_counts[1]):
            await self._add_worker(f"w{number}")
        for number in range(self._entry_and_worker_counts[0]):
            name = f"e{number}"
            self.store_proxies[name] = await self._start_proxy(store_port)
            self.entries[name] = EntryProcess(
                name, self.log_directory, self.store_proxies[name].port
            )
            await self.entries[name].start()
        with trio.fail_after(START_TIMEOUT_SECONDS):
            while not all([await self._is_ready(entry) for entry in self.entries.values()]):
                await trio.sleep(0.1)

    async def _kill_processes(self):
        """Kills all entry processes, also paused ones, and waits for their exit."""
        with trio.CancelScope(shield=True):
            for entry in self.entries.values():
                entry.send_signal(signal.SIGCONT)
                entry.send_signal(signal.SIGKILL)
                await entry.wait_exit()

    def register(self, name, **fields):
        """Writes a worker's registration into the store, with ``fields`` changed."""
        worker = self.fleet.workers[name]
        address = f"{LOOPBACK}:{self.worker_proxies[name].port}"
        rack = f"r{int(name[1:]) // 2}"
        self.store.put("servers", name, worker.registration(address, rack=rack, **fields))

    async def _add_worker(self, name):
        """Starts a worker behind a proxy and registers the proxy's address."""
        worker = WorkerStandIn(self.fleet, name, self.nursery, seed=self.seed)
        worker.incarnation = int(time.time() * 1000)
        port = await self._start_server(worker.handle)
        self.worker_proxies[name] = await self._start_proxy(port)
        self.register(name)

    async def _start_server(self, handler):
        """Serves ``handler`` on loopback; returns the port."""
        settings = ServerSettings(
            address=f"{LOOPBACK}:0",
            max_connections=500,
            max_body_bytes=4_000_000,
            header_timeout_seconds=60,
            body_timeout_seconds=60,
        )
        return await self.nursery.start(HttpServer(handler, settings).serve)

    async def _start_proxy(self, port):
        """Starts and returns a ``FaultProxy`` in front of a port."""
        proxy = FaultProxy(port)
        await self.nursery.start(proxy.run)
        return proxy

    async def _is_ready(self, entry):
        """Returns True if an entry answers a caller's request with status 200."""
        return (await entry.call("GET", "/q/"))[0] == 200
