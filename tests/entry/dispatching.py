"""Entries with dispatchers over stand-ins of runners."""

import random

import trio
import trio.testing

from ibiscart_core.error import IbiscartError
from ibiscart_core.retry import RetryBudget
from ibiscart_entry.claim import Claims
from ibiscart_entry.client import HttpClient
from ibiscart_entry.dispatcher import Dispatcher
from ibiscart_entry.metric import Metrics
from ibiscart_entry.sign import TargetSigns
from ibiscart_schema.generated.peer_pb2 import Command
from ibiscart_schema.generated.settings_pb2 import ServerSettings
from ibiscart_schema.generated.target_pb2 import VirtualMachine
from tests.entry.fake import (
    FakeJournal,
    FakeNetwork,
    FakePeers,
    FakeRegion,
    FakeTable,
    dispatch_settings,
    now_us,
    put_contract,
)
from tests.standins.fault import serve_target
from tests.standins.loopback import LOOPBACK
from tests.standins.runner import RunnerDouble

__all__ = ["Entry", "FakeMembership", "Setup", "gather", "in_virtual_time", "over_sockets"]


class FakeMembership:
    def __init__(self):
        self.machines = {}

    def runners(self):
        return list(self.machines.values())


class Entry:
    def __init__(self, setup, name, data_centre="perth", **settings):
        self.name = name
        self.journal = FakeJournal(setup.region)
        self.signs = TargetSigns()
        self.peers = FakePeers(name, setup.network, self.signs)
        self.metrics = Metrics()
        self.scope = trio.CancelScope()
        self.callers = set()
        self.claims = Claims(
            name,
            setup.table,
            self.peers.live,
            self.metrics,
            random=random.Random(setup.seed),
            now_us=now_us,
        )
        self.dispatcher = Dispatcher(
            name,
            data_centre,
            dispatch_settings(**settings),
            self.journal,
            self.peers,
            setup.membership,
            self.claims,
            self.metrics,
            budget=RetryBudget(),
            random=random.Random(setup.seed),
            connect=setup.connect,
        )
        self.peers.position = lambda: (
            self.journal.sequence,
            self.dispatcher.shares.acknowledged_epoch,
        )

    async def run(self, task_status):
        with self.scope:
            await self.dispatcher.run(task_status)

    async def ask(self, request_id="i1", account="acme", kind="label", **values):
        fields = {"repeatable": True, "body": b"", "timeout": 30.0, **values}
        return await self.dispatcher.dispatch(
            account,
            request_id,
            kind,
            fields["repeatable"],
            fields["body"],
            "text/plain",
            fields["timeout"],
        )


class Setup:
    def __init__(self, nursery, seed=0):
        self.nursery = nursery
        self.seed = seed
        self.region = FakeRegion()
        self.network = FakeNetwork([])
        self.table = FakeTable()
        self.membership = FakeMembership()
        self.runners = {}
        self.entries = {}
        self.clients = []
        self.sockets = False

    async def start(self, entries=("e1",), runners=1, accounts=("acme",), slots=8, **contract):
        for account in accounts:
            self.region.decide(put_contract(account, **contract))
        for number in range(runners):
            await self.start_runner(f"r{number}", slots)
        self.grant(entries)
        for name in entries:
            await self.start_entry(name)
        return self.entries[entries[0]] if entries else None

    async def start_runner(self, name, slots=8):
        runner = self.runners[name] = RunnerDouble(name, slots=slots)
        address = f"{name}:1"
        if self.sockets:
            settings = ServerSettings(
                address=f"{LOOPBACK}:0",
                max_connections=64,
                max_body_bytes=1 << 20,
                header_timeout_seconds=10,
                body_timeout_seconds=10,
            )
            port = await self.nursery.start(serve_target, runner.handle, settings, runner.faults)
            address = f"{LOOPBACK}:{port}"
        self.membership.machines[name] = VirtualMachine(
            id=name, role="runner", address=address, data_centre="perth", slots=8, connections=64
        )

    async def start_entry(self, name, **settings):
        self.network.live.append(name)
        self.entries[name] = Entry(self, name, **settings)
        await self.nursery.start(self.entries[name].run)

    def grant(self, entries):
        self.region.decide(Command(grant_shares={"entries": sorted(entries)}))

    def kill(self, name):
        self.entries[name].scope.cancel()
        self.network.live.remove(name)

    def connect(self, address, max_connections=64):
        if self.sockets:
            return HttpClient(address, max_connections=max_connections)
        client = self.runners[address.split(":")[0]].client()
        client.address = address
        self.clients.append(client)
        return client

    def starts(self, request_id, account="acme"):
        return sum(r.starts.get(f"{account}/{request_id}", 0) for r in self.runners.values())


def _wrap(test, clock):
    def run(self):
        async def main():
            async with trio.open_nursery() as nursery:
                await test(self, Setup(nursery))
                nursery.cancel_scope.cancel()

        trio.run(main, clock=clock())

    run.__name__, run.__doc__ = test.__name__, test.__doc__
    return run


def in_virtual_time(test):
    return _wrap(test, lambda: trio.testing.MockClock(autojump_threshold=0))


def over_sockets(test):
    async def with_sockets(self, setup):
        setup.sockets = True
        with trio.fail_after(30):
            await test(self, setup)

    with_sockets.__name__, with_sockets.__doc__ = test.__name__, test.__doc__
    return _wrap(with_sockets, lambda: None)


async def gather(calls):
    """Runs calls at once; returns their results or error kinds in order."""
    results = [None] * len(calls)

    async def run(number, call):
        try:
            results[number] = await call
        except IbiscartError as error:
            results[number] = error

    async with trio.open_nursery() as nursery:
        for number, call in enumerate(calls):
            nursery.start_soon(run, number, call)
    return results
