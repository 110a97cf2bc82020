"""Entries with controllers over stand-ins of workers."""

import random

import trio
import trio.testing

from ibiscart_core.job import JobKey
from ibiscart_core.lifecycle import Lifecycle
from ibiscart_core.resource import Resources
from ibiscart_entry.controller import Controller
from ibiscart_entry.metric import Metrics
from ibiscart_schema.generated.journal_pb2 import (
    JOB_STATE_RUNNING,
    STOP_PREEMPTED,
)
from ibiscart_schema.generated.peer_pb2 import Command
from tests.entry.fake import (
    FakeJournal,
    FakeNetwork,
    FakePeers,
    FakeRegion,
    FakeWriter,
    now_us,
    put_contract,
    register_workers,
    scheduler_settings,
    submit_job,
)
from tests.standins.worker import WorkerDouble

__all__ = ["CAPACITY", "Entry", "Setup", "in_virtual_time"]

CAPACITY = Resources(8, 128_000, 256_000)


class Entry:
    def __init__(self, setup, name):
        self.name = name
        self.journal = FakeJournal(setup.region)
        self.writer = FakeWriter(setup.region)
        self.peers = FakePeers(name, setup.network)
        self.metrics = Metrics()
        self.scope = trio.CancelScope()
        self.controller = Controller(
            name,
            scheduler_settings(),
            self.journal,
            self.writer,
            self.peers,
            self.metrics,
            random=random.Random(setup.seed),
            connect=setup.connect,
            wall=lambda: now_us() / 1e6,
        )

    async def run(self, task_status):
        with self.scope:
            await self.controller.run(task_status)


class Setup:
    """Workers, entries and a region in virtual time."""

    def __init__(self, nursery, seed=0):
        self.nursery = nursery
        self.seed = seed
        self.region = FakeRegion()
        self.network = FakeNetwork([])
        self.workers = {}
        self.entries = {}

    async def start(self, workers=4, entries=("e1",), accelerators=8):
        names = [f"w{n}" for n in range(workers)]
        await self.nursery.start(self.region.run)
        for name in names:
            worker = WorkerDouble(name, Resources(accelerators, 128_000, 256_000))
            self.workers[name] = worker
            await self.nursery.start(worker.run)
        self.region.decide(put_contract())
        self.region.decide(put_contract("bert"))
        self.region.decide(register_workers(names, accelerators))
        for name in entries:
            await self.start_entry(name)

    async def start_entry(self, name):
        self.network.live.append(name)
        self.entries[name] = Entry(self, name)
        await self.nursery.start(self.entries[name].run)

    def kill(self, name, seen=True):
        self.entries[name].scope.cancel()
        if seen:
            self.network.live.remove(name)

    def connect(self, address):
        client = self.workers[address.split(":")[0]].client()
        client.address = address
        return client

    def submit(self, request_id, members=1, **values):
        self.region.decide(submit_job(request_id, members, **values))
        return JobKey(values.get("account", "acme"), request_id)

    def preempt(self, first, second):
        """Places the second job on the workers that the running first one leaves."""
        ledger = self.region.working

        class Displace:
            def schedule(self, batch):
                if ledger.jobs[first].state == JOB_STATE_RUNNING:
                    workers = [member.worker_id for member in ledger.jobs[first].members]
                    Lifecycle(batch, 3).stop(ledger.jobs[first], STOP_PREEMPTED, second)
                    placed = {"job": second.to_message(), "attempt": 1, "workers": workers}
                    batch.emit(job_placed=placed)

        self.region.scheduler._policy = Displace()
        self.region.decide(Command(register_workers={}))

    def job(self, key):
        return self.region.working.jobs[key]

    def owner_of_worker(self, name):
        peers = next(iter(self.entries.values())).peers
        return peers.owner_of(f"worker/{name}")

    def owner(self, key):
        peers = next(iter(self.entries.values())).peers
        return peers.owner_of(f"job/{key.account}/{key.request_id}")

    async def wait(self, check, seconds=120):
        """Waits in virtual time; returns the seconds that passed."""
        start = trio.current_time()
        while not check():
            if trio.current_time() - start > seconds:
                raise AssertionError(f"not reached in {seconds} s, seed {self.seed}")
            await trio.sleep(0.05)
        return trio.current_time() - start

    async def wait_state(self, key, state, seconds=120):
        return await self.wait(lambda: self.job(key).state == state, seconds)

    def running(self, key):
        """Number of members that run on the workers."""
        prefix = f"{key.account}/{key.request_id}/"
        return sum(
            state == "running" and task_id.startswith(prefix)
            for worker in self.workers.values()
            for task_id, state in worker.states().items()
        )

    def total(self, action, key=None):
        pair = (key.account, key.request_id) if key else (None, None)
        return sum(worker.action_log.count(action, *pair) for worker in self.workers.values())

    def calls(self, ending):
        return sum(
            path.endswith(ending) for worker in self.workers.values() for _, path in worker.calls
        )

    def check_capacity(self):
        return sum(worker.overcommitted for worker in self.workers.values())


def _delayed(handle, ending, seconds):
    """Delays calls to paths with this ending; set it before the first call to the worker."""

    async def delayed(request):
        if request.path.endswith(ending):
            await trio.sleep(seconds)
        return await handle(request)

    return delayed


def in_virtual_time(test):
    """Runs an async test with a clock that jumps over idle time."""

    def run(self):
        async def main():
            async with trio.open_nursery() as nursery:
                await test(self, Setup(nursery))
                nursery.cancel_scope.cancel()

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    run.__name__, run.__doc__ = test.__name__, test.__doc__
    return run
