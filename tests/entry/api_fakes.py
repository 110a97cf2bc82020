"""The parts of an entry behind its interface, as far as its tests need them."""

import json
import unittest

import trio
import trio.testing

from ibiscart_core.error import ErrorKind, IbiscartError
from ibiscart_core.ledger import Ledger
from ibiscart_core.policies.fifo import FifoPolicy
from ibiscart_core.scheduler import Scheduler
from ibiscart_entry.api import Api
from ibiscart_entry.auth import hash_key
from ibiscart_entry.metric import Metrics
from ibiscart_entry.server import Request, Response
from ibiscart_schema.generated.journal_pb2 import Record
from ibiscart_schema.generated.peer_pb2 import Command
from ibiscart_schema.generated.settings_pb2 import EntrySettings
from ibiscart_schema.generated.types_pb2 import WorkerInfo

__all__ = [
    "ApiCase",
    "CALLER",
    "CONTRACT",
    "FakeDispatcher",
    "FakeJournal",
    "FakePeers",
    "FakeShares",
    "FakeWriter",
    "NOW_US",
    "OPERATOR",
    "SHAPE",
    "make_settings",
]

NOW_US = 1_700_000_000_000_000
OPERATOR = "operator-key"
CALLER = "caller-key"
CONTRACT = {
    "guarantees": [
        {
            "name": "nightly",
            "count": 2,
            "shape": {"members": 2, "member": {"accelerators": 2}, "scope": "rack"},
        }
    ],
    "burst_accelerators": 8,
    "queued_jobs": 2,
    "key_sha256": [hash_key(CALLER)],
}
SHAPE = {"members": 1, "member": {"accelerators": 1}}


class FakeJournal:
    def __init__(self):
        self.ledger = Ledger("alba")
        self.age = 0.1
        self.channels = []

    @property
    def sequence(self):
        return self.ledger.sequence

    def confirmed_age(self):
        return self.age

    def subscribe(self):
        send, receive = trio.open_memory_channel(16)
        self.channels.append(send)
        return receive

    def publish(self, record):
        for channel in list(self.channels):
            try:
                channel.send_nowait(record)
            except (trio.BrokenResourceError, trio.WouldBlock):
                self.channels.remove(channel)


class FakeWriter:
    """Decides at once on the ledger that the journal shows."""

    def __init__(self, journal):
        self.journal = journal
        self.scheduler = Scheduler(journal.ledger, FifoPolicy())
        self.error = None
        self.hang = False
        self.timeouts = []

    def decide(self, command):
        events, replies = self.scheduler.decide([command], NOW_US)
        if events:
            sequence = self.journal.sequence + 1
            self.journal.ledger.finish_record(sequence, NOW_US)
            self.journal.publish(Record(sequence=sequence, events=events))
        return replies[0]

    async def submit(self, command, timeout):
        self.timeouts.append(timeout)
        if self.hang:
            await trio.sleep_forever()
        if self.error is not None:
            raise self.error
        return self.decide(command)


class FakeShares:
    def used(self, key):
        return {"running/reports": 3}.get(key, 0)

    def limit(self, key):
        return {"running/reports": 16, "queued/reports": 64}.get(key, 0)


class FakeDispatcher:
    def __init__(self):
        self.ready = True
        self.calls = []
        self.shares = FakeShares()
        self.hang = False

    async def dispatch(self, account, request_id, kind, repeatable, body, content_type, timeout):
        self.calls.append((account, request_id, kind, repeatable, body, content_type, timeout))
        if self.hang:
            await trio.sleep_forever()
        return Response(200, body, content_type, [("x-runner", "r1"), ("X-Request-Id", "other")])

    async def lookup(self, account, request_id):
        raise IbiscartError(ErrorKind.OUTCOME_UNKNOWN, "no outcome is recorded")


class FakePeers:
    def live(self):
        return ["e2", "e1"]

    def preferred_writer(self):
        return "e2"


def make_settings():
    settings = EntrySettings(entry_id="e1", region="alba")
    settings.operators.key_sha256.append(hash_key(OPERATOR))
    settings.dispatch.request_timeout_seconds = 30
    settings.server.max_connections = 4
    return settings


class ApiCase(unittest.TestCase):
    """An entry's interface over fakes; ``call`` sends one request to it."""

    def setUp(self):
        self.journal = FakeJournal()
        self.writer = FakeWriter(self.journal)
        self.dispatcher = FakeDispatcher()
        self.metrics = Metrics()
        self.api = Api(
            make_settings(),
            journal=self.journal,
            writer=self.writer,
            dispatcher=self.dispatcher,
            peers=FakePeers(),
            policy=FifoPolicy(),
            metrics=self.metrics,
            now_us=lambda: NOW_US,
        )

    async def call(self, method, target, body=b"", key=OPERATOR, **headers):
        if not isinstance(body, bytes):
            body = json.dumps(body).encode()
        fields = {name.replace("_", "-"): value for name, value in headers.items()}
        if key is not None:
            fields["authorization"] = f"Bearer {key}"
        return await self.api.handle(Request(method, target, fields, body, "127.0.0.1"))

    def run_case(self, case, prepare=True):
        async def main():
            if prepare:
                self.add_workers()
                response = await self.call("PUT", "/v1/contracts/reports?expected=0", CONTRACT)
                self.assertEqual(response.status, 200, response.body)
            with trio.fail_after(3600):
                await case()

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    def add_workers(self, racks=("r1", "r2")):
        workers = [
            WorkerInfo(
                id=f"{rack}w{n}",
                rack=rack,
                data_centre="perth",
                capacity={"accelerators": 4, "cpu_millis": 32_000, "memory_mb": 64_000},
            )
            for rack in racks
            for n in range(2)
        ]
        self.writer.decide(Command(register_workers={"workers": workers}))

    def refusal(self, response, kind):
        error = json.loads(response.body)["error"]
        self.assertEqual(error["code"], kind, response.body)
        for name in ("message", "ran", "retryable", "retry_after_seconds"):
            self.assertIn(name, error)
        return error

    async def submit(self, request_id="j1", key=CALLER, **changes):
        body = {"request_id": request_id, "shape": SHAPE, **changes}
        return await self.call("POST", "/v1/accounts/reports/jobs", body, key)
