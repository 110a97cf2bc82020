"""Entries over one table in virtual time, with their journals and writers."""

import functools
import random
import unittest

import trio
import trio.testing
from trio._core import _run as trio_run

from ibiscart_core.error import ErrorKind, IbiscartError
from ibiscart_core.ledger import Ledger
from ibiscart_core.policies.fifo import FifoPolicy
from ibiscart_entry.journal import Journal
from ibiscart_entry.membership import Membership
from ibiscart_entry.metric import Metrics
from ibiscart_entry.peer import Peers
from ibiscart_entry.store import ObjectStore, StoreBudget
from ibiscart_entry.tables.http import HttpTable
from ibiscart_entry.writer import Writer
from ibiscart_schema.generated import journal_pb2, settings_pb2
from ibiscart_schema.generated.peer_pb2 import Command
from ibiscart_schema.generated.target_pb2 import VirtualMachine
from tests.standins.members import MemberService
from tests.standins.objects import ObjectService
from tests.standins.table import Network, TableService

__all__ = [
    "ClusterCase",
    "Cluster",
    "EPOCH",
    "Node",
    "PEER",
    "REGION",
    "SCHEDULER",
    "STORE",
    "attempt",
    "cancel_job",
    "insist",
    "put_contract",
    "run_virtual",
    "started",
    "submissions",
    "submit_job",
    "virtual",
    "worker",
]

REGION = "alba"
EPOCH = 1_800_000_000.0
STORE = settings_pb2.StoreSettings(
    table_url="http://table:1",
    object_url="http://objects:1",
    timeout_seconds=2,
    writes_per_second=40,
    reads_per_second=200,
)
PEER = settings_pb2.PeerSettings(key="secret", heartbeat_seconds=1, silence_seconds=2)
SCHEDULER = settings_pb2.SchedulerSettings(batch_seconds=0.02, attempts=3)


class Node:
    """One entry without its HTTP interfaces for callers."""

    def __init__(self, cluster, entry_id, seed=0, writes=True, **options):
        self.id = entry_id
        self.metrics = Metrics()
        network = cluster.network
        connect = network.connect_from(entry_id)
        budget = StoreBudget.from_config(STORE)
        self.table = HttpTable.from_config(STORE, connect, budget, self.metrics)
        self.objects = ObjectStore.from_config(STORE, connect, budget, self.metrics)
        self.membership = Membership(connect("members:1"), poll_seconds=2)
        self.peers = Peers(entry_id, REGION, self.membership, PEER, self.metrics, connect=connect)
        self.journal = Journal(
            REGION,
            self.table,
            self.objects,
            self.peers,
            self.metrics,
            rng=random.Random(f"{entry_id}/{seed}"),
            **options,
        )
        self.writer = Writer(
            self.journal,
            self.peers,
            FifoPolicy(),
            SCHEDULER,
            self.metrics,
            membership=self.membership,
            wall=lambda: EPOCH + trio.current_time(),
        )
        self.writes = writes
        self.history = []
        self.scope = trio.CancelScope()
        network.handlers[entry_id] = self.peers.handle

    async def run(self):
        with self.scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._record)
                await nursery.start(self.membership.run)
                await nursery.start(self.peers.run)
                await nursery.start(self.journal.run)
                if self.writes:
                    await nursery.start(self.writer.run)

    async def _record(self):
        # versions of each contract as this entry showed them
        with self.journal.subscribe() as records:
            async for _ in records:
                versions = {n: a.version for n, a in self.journal.ledger.accounts.items()}
                self.history.append((trio.current_time(), self.journal.sequence, versions))

    async def submit(self, command, timeout=10.0):
        return await self.writer.submit(command, timeout)

    def state(self):
        return self.journal.ledger.snapshot().SerializeToString(deterministic=True)


class Cluster:
    """Entries over in-process stand-ins of the platform."""

    def __init__(self, nursery, names=("a", "b", "c"), seed=0, workers=6, **options):
        self.nursery = nursery
        self.seed = seed
        self.options = options
        self.network = Network(nursery)
        self.table = TableService(seed)
        self.objects = ObjectService(seed)
        self.members = MemberService()
        handlers = self.network.handlers
        handlers["table:1"] = self.table.handle
        handlers["objects:1"] = self.objects.handle
        handlers["members:1"] = self.members.handle
        self.nodes = {}
        for index in range(workers):
            self.members.set_machine(worker(index))
        for name in names:
            self.members.set_machine(self.machine(name))
        for name in names:
            self.start(name)

    @staticmethod
    def machine(name):
        return VirtualMachine(id=name, role="entry", peer_address=name, address=name)

    def start(self, name):
        node = Node(self, name, self.seed, **self.options)
        self.nodes[name] = node
        self.nursery.start_soon(node.run)
        return node

    def kill(self, name):
        """Ends an entry without a word: its connections give no answer."""
        node = self.nodes.pop(name)
        node.scope.cancel()

        async def hang(request):
            await trio.sleep_forever()

        self.network.handlers[name] = hang

    @property
    def preferred(self):
        """The node that the first live node prefers as writer."""
        node = next(iter(self.nodes.values()))
        return self.nodes[node.peers.preferred_writer()]

    async def ready(self, seconds=5):
        await trio.sleep(seconds)
        for node in self.nodes.values():
            assert node.journal.ready, node.id

    def records(self):
        """Returns the records in the table, in sequence."""
        rows = [v for k, v in self.table.rows.items() if k.startswith(f"journal/{REGION}/0")]
        return [journal_pb2.Record.FromString(row.value) for row in rows]


def worker(index, accelerators=8):
    machine = VirtualMachine(
        id=f"w{index}", role="worker", address=f"w{index}", data_centre="perth", rack="r1"
    )
    machine.capacity.accelerators = accelerators
    machine.capacity.cpu_millis = 128_000
    machine.capacity.memory_mb = 256_000
    return machine


def put_contract(account, expected, burst=100, queued=1000):
    command = Command()
    command.put_contract.expected_version = expected
    contract = command.put_contract.contract
    contract.account = account
    contract.burst_accelerators = burst
    contract.burst_cpu_millis = 1_000_000
    contract.queued_jobs = queued
    contract.weight = 1
    return command


def submit_job(account, request_id, accelerators=1):
    command = Command()
    spec = command.submit_job.spec
    spec.account = account
    spec.request_id = request_id
    spec.shape.members = 1
    spec.shape.member.accelerators = accelerators
    spec.shape.scope = 0
    spec.kind = "default"
    spec.repeatable = True
    spec.body_sha256 = request_id.encode()
    return command


def cancel_job(account, request_id):
    command = Command()
    command.cancel_job.job.account = account
    command.cancel_job.job.request_id = request_id
    return command


def virtual(function):
    """Runs an async test method with a nursery in virtual time."""

    @functools.wraps(function)
    def run(self):
        async def main():
            async with trio.open_nursery() as nursery:
                await function(self, nursery)
                nursery.cancel_scope.cancel()

        run_virtual(main)

    return run


def run_virtual(main, seed=None):
    """Runs ``main`` in virtual time; with a seed, the order of tasks is repeatable too."""
    if seed is not None:
        trio_run._ALLOW_DETERMINISTIC_SCHEDULING = True
        trio_run._r.seed(seed)
    try:
        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
    finally:
        trio_run._ALLOW_DETERMINISTIC_SCHEDULING = False


async def attempt(node, command, results, key, timeout=10.0):
    """Submits once and stores the ``Reply``, or the kind of the error, under ``key``."""
    try:
        results[key] = await node.submit(command, timeout)
    except IbiscartError as error:
        results[key] = error.kind


async def insist(node, command, results, key, timeout=10.0):
    """Submits the same command again until its outcome is known, as callers do."""
    while True:
        await attempt(node, command, results, key, timeout)
        if results[key] not in (
            ErrorKind.COMMIT_UNKNOWN,
            ErrorKind.STORE_UNAVAILABLE,
            ErrorKind.NOT_READY,
        ):
            return
        await trio.sleep(0.5)


def submissions(cluster):
    """Returns how often each job's submission is in the journal, by request id."""
    counts = {}
    for record in cluster.records():
        for event in record.events:
            if event.WhichOneof("kind") == "job_submitted":
                request_id = event.job_submitted.spec.request_id
                counts[request_id] = counts.get(request_id, 0) + 1
    return counts


async def started(nursery, **options):
    cluster = Cluster(nursery, **options)
    await cluster.ready()
    await cluster.preferred.submit(put_contract("labels", 0))
    await trio.sleep(1)
    return cluster


class ClusterCase(unittest.TestCase):
    """Checks that the entries of a cluster agree."""

    def assert_converged(self, cluster):
        ledger = Ledger(REGION)
        for record in cluster.records():
            ledger.apply(record)
        wanted = ledger.snapshot().SerializeToString(deterministic=True)
        for node in cluster.nodes.values():
            self.assertEqual(node.journal.sequence, ledger.sequence, node.id)
            self.assertTrue(node.state() == wanted, f"{node.id} differs from the journal")
