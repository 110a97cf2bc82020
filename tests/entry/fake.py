"""
tests.entry.fake
~~~~~~~~~~~~~~~~

In-memory journal, writer, peers and table with the signatures of the entry's modules.
"""

import random

import trio

from ibiscart_core.error import ErrorKind, IbiscartError
from ibiscart_core.ledger import Ledger
from ibiscart_core.policies.fifo import FifoPolicy
from ibiscart_core.scheduler import Scheduler
from ibiscart_entry.peer import PeerError
from ibiscart_entry.table import Row, StoreError, Table, TableConflict
from ibiscart_schema.generated.journal_pb2 import Record
from ibiscart_schema.generated.peer_pb2 import Command, Heartbeat
from ibiscart_schema.generated.settings_pb2 import DispatchSettings, SchedulerSettings

START_US = 1_700_000_000_000_000


def now_us():
    return START_US + int(trio.current_time() * 1e6)


def scheduler_settings(**values):
    settings = SchedulerSettings(
        policy="fifo",
        batch_seconds=0,
        lease_seconds=30,
        held_lease_seconds=5,
        renew_seconds=10,
        checkpoint_seconds=1.5,
        stop_seconds=1,
        attempts=3,
    )
    settings.MergeFrom(SchedulerSettings(**values))
    return settings


def dispatch_settings(**values):
    settings = DispatchSettings(
        request_timeout_seconds=30,
        long_slots=6,
        long_request_seconds=1,
        retry_budget_share=0.1,
        attempts=3,
    )
    settings.MergeFrom(DispatchSettings(**values))
    return settings


def clone(message):
    copy = type(message)()
    copy.CopyFrom(message)
    return copy


class FakeRegion:
    """Journal records of a region, and the entries that follow them.

    ``outage`` makes every append and confirmation fail. ``decide`` runs the scheduler on a
    working ledger at once.
    """

    def __init__(self):
        self.records = []
        self.working = Ledger("alba")
        self.scheduler = Scheduler(self.working, FifoPolicy())
        self.journals = []
        self.outage = False
        self.commands = []

    def decide(self, command):
        self.commands.append(clone(command))
        return self._append([command])[0]

    async def run(self, task_status=trio.TASK_STATUS_IGNORED):
        """Runs a scheduling pass each second, as the writer does for delayed jobs."""
        task_status.started()
        while True:
            await trio.sleep(1)
            if not self.outage:
                self._append([])

    def _append(self, commands):
        at = now_us()
        events, replies = self.scheduler.decide(commands, at)
        if events:
            sequence = self.working.sequence + 1
            self.working.finish_record(sequence, at)
            record = Record(region="alba", sequence=sequence, time_us=at, events=events)
            self.records.append(record)
            for journal in self.journals:
                journal.follow()
        return replies

    def count(self, kind):
        return sum(command.WhichOneof("kind") == kind for command in self.commands)

    def events(self, kind):
        return [
            getattr(event, kind)
            for record in self.records
            for event in record.events
            if event.WhichOneof("kind") == kind
        ]


class FakeJournal:
    def __init__(self, region):
        self._region = region
        self.ledger = Ledger("alba")
        self.paused = False
        self._confirmed = trio.current_time()
        self._channels = []
        region.journals.append(self)
        self.follow()

    @property
    def sequence(self):
        return self.ledger.sequence

    def confirmed_age(self):
        if not (self.paused or self._region.outage):
            self._confirmed = trio.current_time()
        return trio.current_time() - self._confirmed

    def subscribe(self):
        send, receive = trio.open_memory_channel(1024)
        self._channels.append(send)
        return receive

    def follow(self):
        """Applies the records that this entry has not seen, unless it is paused."""
        while not self.paused and self.ledger.sequence < len(self._region.records):
            record = self._region.records[self.ledger.sequence]
            self.ledger.apply(clone(record))
            for channel in self._channels:
                channel.send_nowait(record)


class FakeWriter:
    """``lose`` answers of the next commands after they were appended."""

    def __init__(self, region):
        self._region = region
        self.lose = 0
        self.hold = None

    async def submit(self, command, timeout):
        await trio.lowlevel.checkpoint()
        if self.hold is not None:
            await self.hold.wait()
        if self._region.outage:
            raise IbiscartError(ErrorKind.STORE_UNAVAILABLE, "outage")
        reply = self._region.decide(clone(command))
        if self.lose:
            self.lose -= 1
            raise IbiscartError(ErrorKind.COMMIT_UNKNOWN, "answer lost")
        if reply.HasField("error"):
            raise IbiscartError.from_message(reply.error)
        return reply


class FakeSigns:
    def __init__(self, shared=None):
        self.reports = []
        self._states = {} if shared is None else shared

    def report(self, target_id, state, cause):
        self.reports.append((target_id, state, cause))
        self._states[target_id] = state
        return True

    def eligible(self, target_id):
        return self._states.get(target_id, 0) == 0

    def state(self, target_id):
        return self._states.get(target_id, 0)


class FakeNetwork:
    """Entries that hear one another; ``live`` is the view that all of them share."""

    def __init__(self, live):
        self.live = list(live)
        self.peers = {}
        self.lose_loans = 0

    def heartbeat(self):
        """Lets every live entry tell the others its share epoch."""
        for peers in self.peers.values():
            peers.epochs.update({p: self.peers[p].position()[1] for p in self.peers})


class FakePeers:
    def __init__(self, entry_id, network, signs=None):
        self.entry_id = entry_id
        self._network = network
        self.signs = signs or FakeSigns()
        self.view = None
        self.routes = {}
        self.epochs = {}
        self.position = lambda: (0, 0)
        self.on_heartbeat = []
        network.peers[entry_id] = self

    def live(self):
        return sorted(self._network.live if self.view is None else self.view)

    def owner_of(self, key):
        return min(self.live(), key=lambda e: random.Random(f"{key}{e}").random())

    def preferred_writer(self):
        return self.live()[0]

    def silence(self, entry_id):
        return 0.0 if entry_id in self.live() else 1000.0

    def share_epoch_of(self, entry_id):
        other = self._network.peers.get(entry_id)
        return other.position()[1] if other and entry_id in self.live() else 0

    def route(self, path, message_type, handler):
        self.routes[path] = handler

    def broadcast(self, path, message):
        """Hands the message to the live entries that serve ``path``, in the background."""
        # the real one adds its state to every broadcast
        message = type(message).FromString(message.SerializeToString())
        message.state.entry_id = self.entry_id
        for entry_id in self._network.live:
            peers = self._network.peers.get(entry_id)
            if peers is not self and peers is not None and path in peers.routes:
                trio.lowlevel.spawn_system_task(peers.routes[path], self.entry_id, message)

    def answer(self, sender, state):
        return Heartbeat(entry_id=self.entry_id)

    async def call(self, entry_id, path, message, reply_type, timeout):
        await trio.sleep(0.001)
        if entry_id not in self._network.live:
            raise PeerError("unreachable", False)
        reply = await self._network.peers[entry_id].routes[path](self.entry_id, message)
        if self._network.lose_loans:
            self._network.lose_loans -= 1
            raise PeerError("reset", True)
        return reply


class FakeTable(Table):
    """Rows in memory. ``lose`` answers are lost after their effect; ``down`` refuses all."""

    def __init__(self):
        self.rows = {}
        self.version = 0
        self.lose = 0
        self.down = False
        self.unsent = False
        self.transactions = []
        self.seconds = 0.01
        self.frozen = None

    async def get(self, key, *, low_priority=False):
        await self._delay()
        return self.rows.get(key)

    async def scan(self, prefix, after="", limit=256, *, low_priority=False):
        await self._delay()
        keys = sorted(k for k in self.rows if k.startswith(prefix) and k > after)
        return [self.rows[key] for key in keys[:limit]]

    async def transact(self, writes, *, low_priority=False):
        await self._delay()
        writes = [clone(write) for write in writes]
        unmet = []
        for write in writes:
            row = self.rows.get(write.key) or Row(write.key, b"", 0)
            if write.HasField("expected_version") and write.expected_version != row.version:
                unmet.append(row)
        if not unmet:
            self.transactions.append(writes)
            self.version += 1
            for write in writes:
                self.rows[write.key] = Row(write.key, write.value, self.version)
                if write.delete:
                    del self.rows[write.key]
        if self.lose:
            self.lose -= 1
            raise StoreError("timeout", True)
        if unmet:
            raise TableConflict(unmet)
        return [Row(write.key, write.value, self.version) for write in writes]

    async def _delay(self):
        await trio.sleep(self.seconds)
        if self.frozen is not None:
            await self.frozen.wait()
        if self.down:
            raise StoreError("breaker_open" if self.unsent else "timeout", not self.unsent)


def submit_job(request_id, members=1, *, account="acme", accelerators=1, payload="", **spec):
    return Command(
        submit_job={
            "spec": {
                "account": account,
                "request_id": request_id,
                "kind": spec.pop("kind", "default"),
                "repeatable": spec.pop("repeatable", True),
                "payload": payload,
                "body_sha256": request_id.encode(),
                "shape": {
                    "members": members,
                    "member": {
                        "accelerators": accelerators,
                        "cpu_millis": 1000,
                        "memory_mb": 1024,
                    },
                    "scope": spec.pop("scope", 3),
                },
                **spec,
            }
        }
    )


def put_contract(account="acme", **values):
    fields = {"burst_accelerators": 1000, "burst_cpu_millis": 10_000_000, "queued_jobs": 1000}
    fields.update(running_requests=64, queued_requests=256, weight=1)
    fields.update(values)
    expected = fields.pop("expected_version", 0)
    return Command(
        put_contract={"contract": {"account": account, **fields}, "expected_version": expected}
    )


def register_workers(names, accelerators=8):
    capacity = {"accelerators": accelerators, "cpu_millis": 128_000, "memory_mb": 256_000}
    return Command(
        register_workers={
            "workers": [
                {
                    "id": name,
                    "address": f"{name}:1",
                    "data_centre": "perth",
                    "rack": f"r{index // 8}",
                    "capacity": capacity,
                }
                for index, name in enumerate(names)
            ]
        }
    )
