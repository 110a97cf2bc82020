"""A whole deployment in one process and in virtual time: store, workers and entries."""

import json
import random
from unittest import mock

import trio
import trio.testing
from trio._core import _run as trio_run

from ibiscart_entry.coordination.announcer import ANNOUNCE_PATH, Announcer
from ibiscart_entry.coordination.catalog_watch import CatalogWatch
from ibiscart_entry.coordination.job_service import JobService
from ibiscart_entry.coordination.leader import Leader
from ibiscart_entry.coordination.leadership import Leadership
from ibiscart_entry.coordination.peer_directory import PeerDirectory
from ibiscart_entry.coordination.relay import RelayTable
from ibiscart_entry.coordination.relay_server import RelayServer
from ibiscart_entry.metric import Metrics
from ibiscart_entry.server import Request
from ibiscart_platform.agent import PlatformAgent
from ibiscart_platform.configuration import PlatformCatalogSource
from ibiscart_platform.directory import PlatformDirectory
from ibiscart_platform.front import Front
from ibiscart_platform.table import PlatformTable
from tests.standins.platform.store import PlatformStore
from tests.standins.platform.worker import WorkerFleet, WorkerStandIn
from tests.standins.table import Network

__all__ = ["API_KEY", "ID", "OTHER", "Deployment", "job", "run_virtual", "step"]

# ids of two jobs whose rows lie in different parts of their table
ID = "00000000000000a1"
OTHER = "10000000000000a2"
STORE = "store"
API_KEY = "key-a"
HOST = "host.example"
PREFIX = "/q/"
EPOCH_MS = 1_700_000_000_000
CONFIGURATION = {
    "version": 3,
    "routes": [
        {
            "name": f"q{priority}",
            "host": HOST,
            "pathPrefix": prefix,
            "service": "pool",
            "priority": priority,
            "maxAttempts": 2,
            "stretch": 2.0,
            "targetLatencyMs": 1000,
        }
        for priority, prefix in ((0, "/urgent/"), (1, PREFIX))
    ],
    "services": [{"name": "pool", "admissionCheck": False}],
    "tenants": [
        {"name": "a", "apiKeys": [API_KEY], "guaranteed": {"gpu": 8}},
        {"name": "b", "apiKeys": ["key-b"]},
    ],
}


def step(count=1, gpu=1, **fields):
    return {"count": count, "gpu": gpu, "cpu": 1000, "memMb": 1000, "estimateMs": 1000, **fields}


def job(*steps, ms=1000, **spec):
    return {"spec": json.dumps({"ms": ms, **spec}), "steps": list(steps)}


def run_virtual(function, seed=0):
    """Runs an async test function in virtual time, its tasks in an order that repeats."""
    with mock.patch.object(trio_run, "_ALLOW_DETERMINISTIC_SCHEDULING", True):
        trio_run._r.seed(seed)
        return trio.run(function, clock=trio.testing.MockClock(autojump_threshold=0))


class Entry:
    """One entry without sockets; ``call`` sends a caller's request to it."""

    def __init__(self, deployment, name, rng):
        connect = deployment.network.connect_from(name)
        self.name = name
        self.metrics = Metrics()
        self.direct = PlatformTable(connect(STORE), connect(STORE), self.metrics)
        self.peers = PeerDirectory(name, name, self.direct, deployment.now_ms)
        self.table = RelayTable(self.direct, self.peers, connect, self.metrics, rng)
        self.catalogs = CatalogWatch(PlatformCatalogSource(self.table))
        self.service = JobService(self.table, deployment.now_ms)
        self.front = Front(self.service, self.catalogs, self.metrics)
        self.leadership = Leadership(self.table, name, f"{name}/{rng.random()}", name, rng=rng)
        self.leader = Leader(
            self.leadership,
            self.table,
            PlatformDirectory(self.table),
            self.catalogs,
            lambda address, worker: PlatformAgent(connect(address), connect(address), worker),
            self.metrics,
            lease_seconds=6.0,
            retention_seconds=120.0,
            directory_ttl_seconds=3.0,
            wall_clock=lambda: deployment.now_ms() / 1000,
        )
        self.announcer = Announcer(self.leadership, self.leader, connect, self.metrics)
        self.service.announce = self.announcer.announce
        self.relay = RelayServer(self.direct)
        self.scope = trio.CancelScope()
        deployment.network.handlers[name] = self.handle_peer

    async def run(self):
        with self.scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.table.monitor)
                nursery.start_soon(self.catalogs.run)
                nursery.start_soon(self.peers.run)
                nursery.start_soon(self.announcer.run)
                nursery.start_soon(self.leader.run)

    async def handle_peer(self, request):
        if request.path == ANNOUNCE_PATH:
            return await self.announcer.handle(request)
        return await self.relay.handle(request)

    async def call(self, method, path, document=None, key=API_KEY):
        headers = {"host": HOST, "authorization": f"Bearer {key}", "x-deadline-ms": "3000"}
        body = json.dumps(document).encode() if document is not None else b""
        response = await self.front.handle(Request(method, path, headers, body, "caller"))
        return response.status, json.loads(response.body or b"{}")


class Deployment:
    """Store, workers and entries; use as ``async with Deployment() as deployment``."""

    def __init__(self, entries=3, workers=4, per_rack=2, seed=1):
        self._entries, self._workers, self._per_rack = entries, workers, per_rack
        self.seed = seed
        self.entries = {}
        self.fleet = WorkerFleet()

    async def __aenter__(self):
        self._manager = trio.open_nursery()
        self.nursery = await self._manager.__aenter__()
        self.network = Network(self.nursery, latency=0.001)
        self.store = PlatformStore(self.seed)
        await self.nursery.start(self.store.run)
        self.network.handlers[STORE] = self.store.handle
        self.store.put("op", "config", CONFIGURATION)
        for number in range(self._workers):
            self.add_worker(number)
        for number in range(self._entries):
            self.start_entry(f"e{number}")
        await self.settle(lambda: self.leader() is not None)
        return self

    async def __aexit__(self, *error):
        self.nursery.cancel_scope.cancel()
        await self._manager.__aexit__(None, None, None)

    def now_ms(self):
        return EPOCH_MS + int(trio.current_time() * 1000)

    def add_worker(self, number):
        name = f"w{number}"
        worker = WorkerStandIn(self.fleet, name, self.nursery, seed=self.seed)
        self.network.handlers[f"{name}:80"] = worker.handle
        self.register(name)
        return worker

    def register(self, name, **fields):
        worker = self.fleet.workers[name]
        rack = f"r{int(name[1:]) // self._per_rack}"
        self.store.put("servers", name, worker.registration(f"{name}:80", rack=rack, **fields))

    def start_entry(self, name):
        rng = random.Random(f"{self.seed}/{name}/{trio.current_time()}")
        entry = self.entries[name] = Entry(self, name, rng)
        self.nursery.start_soon(entry.run)
        return entry

    def kill_entry(self, name):
        self.entries.pop(name).scope.cancel()
        self.network.handlers.pop(name, None)

    def leader(self):
        """The entry that leads and has loaded its state, or None."""
        for entry in self.entries.values():
            coordinator = entry.leader.coordinator
            if coordinator is not None and coordinator.status().get("workers"):
                return entry
        return None

    def entry(self):
        return next(iter(self.entries.values()))

    async def submit(self, job_id, document, prefix=PREFIX, entry=None):
        return (await (entry or self.entry()).call("POST", prefix + job_id, document))[0]

    async def state(self, job_id, entry=None):
        status, body = await (entry or self.entry()).call("GET", PREFIX + job_id)
        return body.get("state", status)

    async def wait_state(self, job_id, wanted, seconds=30):
        found = None
        with trio.move_on_after(seconds):
            while (found := await self.state(job_id)) != wanted:
                await trio.sleep(0.1)
        if found != wanted:
            raise AssertionError(f"{job_id} is {found} after {seconds} s, not {wanted}")

    async def start_busy(self, ms):
        """Submits a job that fills one worker for ``ms``; returns the worker once it runs."""
        await self.submit(ID, job(step(1, 8), ms=ms))
        await self.wait_state(ID, "running")
        return next(worker for worker in self.fleet.workers.values() if worker.running)

    async def settle(self, condition, seconds=20):
        with trio.move_on_after(seconds):
            while not condition():
                await trio.sleep(0.05)
            return
        raise AssertionError(f"the condition does not hold after {seconds} s")
