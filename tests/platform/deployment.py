"""A complete deployment in one process in virtual time: store, workers and entries."""

import contextlib
import functools
import json
import random
from unittest import mock

import trio
import trio.testing
from trio._core import _run as trio_run

from ibiscart_core.workflow.outage import OutagePolicy
from ibiscart_entry.coordination.announcer import ANNOUNCE_PATH, Announcer
from ibiscart_entry.coordination.catalog_exchange import (
    CATALOG_PATH,
    CatalogClient,
    CatalogServer,
)
from ibiscart_entry.coordination.catalog_watch import CatalogWatch
from ibiscart_entry.coordination.job_service import JobService
from ibiscart_entry.coordination.leader import Leader
from ibiscart_entry.coordination.leadership import Leadership
from ibiscart_entry.coordination.pause_monitor import PauseMonitor
from ibiscart_entry.coordination.peer_directory import PeerDirectory
from ibiscart_entry.coordination.pool_watch import PoolWatch
from ibiscart_entry.coordination.relay import RelayTable
from ibiscart_entry.coordination.relay_server import RelayServer
from ibiscart_entry.coordination.store_gate import StoreGate
from ibiscart_entry.metric import Metrics
from ibiscart_entry.server import Request
from ibiscart_platform.agent import PlatformAgent
from ibiscart_platform.configuration import PlatformCatalogSource
from ibiscart_platform.directory import PlatformDirectory
from ibiscart_platform.front import Frontend
from ibiscart_platform.table import PlatformTable
from tests.standins.platform.store import PlatformStore
from tests.standins.platform.worker import WorkerFleet, WorkerStandIn
from tests.standins.table import Network

__all__ = [
    "API_KEY",
    "CONFIGURATION",
    "JOB_ID",
    "OTHER_JOB_ID",
    "QUEUE_PATH",
    "Deployment",
    "job",
    "run_virtual",
    "step",
]

# ids of two jobs whose rows are in different partitions of their table
JOB_ID = "00000000000000a1"
OTHER_JOB_ID = "10000000000000a2"
STORE_ADDRESS = "store"
# the network delivers to names; an address in a row has a port too
PEER_PORT = ":7000"
API_KEY = "key-a"
HOST = "host.example"
QUEUE_PATH = "/q/"
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
        for priority, prefix in ((0, "/urgent/"), (1, QUEUE_PATH))
    ],
    "services": [{"name": "pool", "admissionCheck": False}],
    "tenants": [
        {"name": "a", "apiKeys": [API_KEY], "guaranteed": {"gpu": 8}},
        {"name": "b", "apiKeys": ["key-b"]},
    ],
}


def step(count=1, gpu=1, **fields):
    """Returns a step of a submission: ``count`` tasks with ``gpu`` accelerators each."""
    return {"count": count, "gpu": gpu, "cpu": 1000, "memMb": 1000, "estimateMs": 1000, **fields}


def job(*steps, ms=1000, **spec):
    """Returns the body of a submission; for ``ms`` and ``spec`` see ``WorkerFleet``."""
    return {"spec": json.dumps({"ms": ms, **spec}), "steps": list(steps)}


def run_virtual(function, seed=0):
    """Runs an async function in virtual time, with a task order that depends only on ``seed``."""
    with mock.patch.object(trio_run, "_ALLOW_DETERMINISTIC_SCHEDULING", True):
        trio_run._r.seed(seed)
        return trio.run(function, clock=trio.testing.MockClock(autojump_threshold=0))


class Entry:
    """An entry without sockets; ``call`` sends a caller's request to it."""

    def __init__(self, deployment, name, rng):
        connect = deployment.network.connect_from(name)

        def connect_peer(address):
            return connect(address.removesuffix(PEER_PORT))

        self.name = name
        self.metrics = Metrics()
        self.direct_table = PlatformTable(
            connect(STORE_ADDRESS), connect(STORE_ADDRESS), self.metrics
        )
        self.peer_directory = PeerDirectory(
            name, name + PEER_PORT, self.direct_table, deployment.now_ms
        )
        self.table = RelayTable(
            self.direct_table, self.peer_directory, connect_peer, self.metrics, rng
        )
        # seconds for which the entry's machine was suspended
        self.suspended_seconds = 0.0
        self.catalogs = CatalogWatch(
            PlatformCatalogSource(
                self.direct_table, reads_evacuations=deployment.evacuation_seconds is not None
            ),
            self.boot_time,
            CatalogClient(self.peer_directory, connect_peer, self.metrics, rng, self.boot_time),
        )
        self.catalog_server = CatalogServer(self.catalogs, self.boot_time)
        self.gate = StoreGate(self.table, OutagePolicy(rng), self.metrics)
        self.job_service = JobService(self.table, deployment.now_ms, self.gate)
        self.frontend = Frontend(
            self.job_service,
            self.catalogs,
            self.metrics,
            key_revocation_seconds=deployment.key_revocation_seconds,
        )
        self.leadership = Leadership(
            self.table,
            name,
            f"{name}/{rng.random()}",
            name + PEER_PORT,
            rng=rng,
            clock=self.boot_time,
        )
        self.leader = Leader(
            self.leadership,
            self.table,
            PlatformDirectory(self.table),
            self.catalogs,
            functools.partial(deployment.connect_agent, connect),
            self.metrics,
            lease_limit_seconds=deployment.lease_limit_seconds,
            retention_seconds=deployment.retention_seconds,
            directory_ttl_seconds=3.0,
            evacuation_seconds=deployment.evacuation_seconds,
            wall_clock=lambda: deployment.now_ms() / 1000,
        )
        self.announcer = Announcer(self.leadership, self.leader, connect_peer, self.metrics)
        self.job_service.announce = self.announcer.announce
        self.pools = self.job_service.pools = PoolWatch(self.table, self.boot_time)
        self.leadership.on_change = self.pools.record_leader
        self.pause_monitor = PauseMonitor(self.metrics, self.boot_time)
        self.job_service.pause_monitor = self.pause_monitor
        self.relay_server = RelayServer(self.direct_table)
        self.cancel_scope = trio.CancelScope()
        deployment.network.handlers[name] = self.handle_peer

    def boot_time(self):
        """Returns the time of a clock that goes on in suspensions, in seconds."""
        return trio.current_time() + self.suspended_seconds

    async def run(self):
        """Runs the entry's components until ``cancel_scope`` is cancelled."""
        with self.cancel_scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.table.monitor)
                nursery.start_soon(self.catalogs.run)
                nursery.start_soon(self.peer_directory.run)
                nursery.start_soon(self.announcer.run)
                nursery.start_soon(self.pools.run)
                nursery.start_soon(self.leader.run)
                nursery.start_soon(self.pause_monitor.run)

    async def handle_peer(self, request):
        """Handles a request of another entry."""
        if request.path == ANNOUNCE_PATH:
            return await self.announcer.handle(request)
        if request.path == CATALOG_PATH:
            return await self.catalog_server.handle(request)
        return await self.relay_server.handle(request)

    async def call(self, method, path, document=None, key=API_KEY):
        """Returns (status, JSON body) of the response to a caller's request."""
        response = await self.request(method, path, document, key)
        return response.status, json.loads(response.body or b"{}")

    async def request(self, method, path, document=None, key=API_KEY, deadline_ms=3000):
        """Returns the ``Response`` to a caller's request."""
        headers = {"host": HOST, "authorization": f"Bearer {key}"}
        headers["x-deadline-ms"] = str(deadline_ms)
        body = json.dumps(document).encode() if document is not None else b""
        return await self.frontend.handle(Request(method, path, headers, body, "caller"))


class Deployment:
    """Store, workers and entries, within ``async with Deployment() as deployment``.

    ``wrap_agent`` is called with an agent and the id of its worker, and returns the agent by which
    leaders call that worker. The racks are spread over ``data_centres`` data centres: z0, z1, ...
    """

    def __init__(
        self,
        entries=3,
        workers=4,
        rack_size=2,
        seed=1,
        key_revocation_seconds=None,
        lease_limit_seconds=6.0,
        retention_seconds=120.0,
        evacuation_seconds=None,
        data_centres=1,
        wrap_agent=lambda agent, worker: agent,
    ):
        self.key_revocation_seconds = key_revocation_seconds
        self.lease_limit_seconds = lease_limit_seconds
        self.retention_seconds = retention_seconds
        self.evacuation_seconds = evacuation_seconds
        self._data_centres = data_centres
        self._entry_count, self._worker_count, self._rack_size = entries, workers, rack_size
        self.seed = seed
        self.entries = {}
        self.fleet = WorkerFleet()
        self._wrap_agent = wrap_agent
        self._addresses = {}
        self._replacements = 0

    async def __aenter__(self):
        async with contextlib.AsyncExitStack() as stack:
            self.nursery = await stack.enter_async_context(trio.open_nursery())
            await self._start()
            self._exit_stack = stack.pop_all()
        return self

    async def __aexit__(self, *error):
        self.nursery.cancel_scope.cancel()
        await self._exit_stack.aclose()

    async def _start(self):
        """Starts all processes and waits for a leader."""
        self.network = Network(self.nursery, latency=0.001)
        self.store = PlatformStore(self.seed)
        await self.nursery.start(self.store.run)
        self.network.handlers[STORE_ADDRESS] = self.store.handle
        self.store.put("op", "config", CONFIGURATION)
        for number in range(self._worker_count):
            self.add_worker(number)
        for number in range(self._entry_count):
            self.start_entry(f"e{number}")
        await self.wait_until(lambda: self.leader() is not None)

    def connect_agent(self, connect, address, worker):
        """Returns the agent by which a leader calls the worker with an id at an address."""
        agent = PlatformAgent(connect(address), connect(address), worker)
        return self._wrap_agent(agent, worker)

    def now_ms(self):
        """Returns the Unix time in milliseconds that the deployment's clocks show."""
        return EPOCH_MS + int(trio.current_time() * 1000)

    def add_worker(self, number):
        """Adds, registers and returns the worker ``w<number>``."""
        return self._add_worker(f"w{number}", f"w{number}:80")

    def register(self, name, **fields):
        """Writes a worker's registration into the store, with ``fields`` changed."""
        worker = self.fleet.workers[name]
        address = self._addresses[name]
        rack = int(address.partition(":")[0][1:]) // self._rack_size
        worker.data_centre = f"z{rack % self._data_centres}"
        self.store.put("servers", name, worker.registration(address, rack=f"r{rack}", **fields))

    def move_worker(self, name, address):
        """Registers a worker at another address, at which it answers too."""
        self.network.handlers[address] = self.fleet.workers[name].handle
        self._addresses[name] = address
        self.register(name)

    def crash_worker(self, name, back_after_seconds=3.2):
        """Crashes a worker; another one is at its address ``back_after_seconds`` later.

        The registration expires 4.5 s after the crash. Does nothing if it has crashed already.
        """
        worker = self.fleet.workers.pop(name, None)
        if worker is None:
            return
        worker.end_process()
        address = self._addresses[name]
        self.network.handlers.pop(address)
        self.network.reset_connections(address)
        self.nursery.start_soon(self._replace_worker, name, address, back_after_seconds)

    async def _replace_worker(self, name, address, back_after_seconds):
        """Lets a crashed worker's registration expire and puts another worker at its address."""
        crashed_at = trio.current_time()

        async def expire():
            await trio.sleep_until(crashed_at + 4.5)
            self.store.delete("servers", name)

        self.nursery.start_soon(expire)
        await trio.sleep(back_after_seconds)
        self._replacements += 1
        new_name = f"{name.partition('-')[0]}-{self._replacements}"
        self._add_worker(new_name, address)

    def _add_worker(self, name, address):
        """Adds and registers a worker that a task may crash; returns it."""
        worker = WorkerStandIn(self.fleet, name, self.nursery, seed=self.seed)
        worker.lease_limit_ms = int(self.lease_limit_seconds * 1000)
        worker.crash = functools.partial(self.crash_worker, name)
        self._addresses[name] = address
        self.network.handlers[address] = worker.handle
        self.register(name)
        return worker

    def evacuate(self, data_centre):
        """Requests to empty a data centre, as the operator does."""
        self.store.put("op", f"evacuate/{data_centre}", {})
        self.fleet.evacuated_at[data_centre] = trio.current_time()

    def take_back(self, data_centre):
        """Ends the evacuation of a data centre."""
        self.store.delete("op", f"evacuate/{data_centre}")
        del self.fleet.evacuated_at[data_centre]

    def start_entry(self, name):
        """Starts and returns an entry under a name."""
        rng = random.Random(f"{self.seed}/{name}/{trio.current_time()}")
        entry = self.entries[name] = Entry(self, name, rng)
        self.nursery.start_soon(entry.run)
        return entry

    def kill_entry(self, name):
        """Stops an entry without a shutdown and disconnects it."""
        self.entries.pop(name).cancel_scope.cancel()
        self.network.handlers.pop(name, None)

    def leader(self):
        """Returns the entry that leads and has loaded its state, or None."""
        for entry in self.entries.values():
            coordinator = entry.leader.coordinator
            if coordinator is not None and coordinator.status().get("workers"):
                return entry
        return None

    def first_entry(self):
        """Returns the entry that was started first among the present ones."""
        return next(iter(self.entries.values()))

    async def submit(self, job_id, document, prefix=QUEUE_PATH, entry=None):
        """Submits a job through an entry, by default the first; returns the status code."""
        return (await (entry or self.first_entry()).call("POST", prefix + job_id, document))[0]

    async def state(self, job_id, entry=None):
        """Returns the state of a job, or the status code if the response has none."""
        status, body = await (entry or self.first_entry()).call("GET", QUEUE_PATH + job_id)
        return body.get("state", status)

    async def wait_for_state(self, job_id, expected, timeout_seconds=30):
        """Waits until a job has the expected state; raises ``AssertionError`` after the timeout."""
        state = None
        with trio.move_on_after(timeout_seconds):
            while (state := await self.state(job_id)) != expected:
                await trio.sleep(0.1)
        if state != expected:
            raise AssertionError(f"{job_id} is {state} after {timeout_seconds} s, not {expected}")

    async def occupy_worker(self, ms):
        """Returns a worker that a job occupies entirely for ``ms`` milliseconds."""
        await self.submit(JOB_ID, job(step(1, 8), ms=ms))
        await self.wait_for_state(JOB_ID, "running")
        return next(worker for worker in self.fleet.workers.values() if worker.running)

    async def wait_until(self, condition, timeout_seconds=20):
        """Waits until ``condition()`` is true; raises ``AssertionError`` after the timeout."""
        with trio.move_on_after(timeout_seconds):
            while not condition():
                await trio.sleep(0.05)
            return
        raise AssertionError(f"the condition does not hold after {timeout_seconds} s")
