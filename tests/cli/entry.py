"""An entry's interface over sockets in a thread, for tests of the command line."""

import contextlib
import threading

import trio

from ibiscart_core.policies.fifo import FifoPolicy
from ibiscart_entry.api import Api
from ibiscart_entry.metric import Metrics
from ibiscart_entry.server import HttpServer
from ibiscart_schema.generated.peer_pb2 import Command
from ibiscart_schema.generated.settings_pb2 import ServerSettings
from ibiscart_schema.generated.types_pb2 import WorkerInfo
from tests.entry.api_fakes import (
    FakeDispatcher,
    FakeJournal,
    FakePeers,
    FakeWriter,
    make_settings,
)
from tests.standins.loopback import LOOPBACK

__all__ = ["Entry", "KEY", "SERVER", "breaking_server"]

KEY = {"account": "reports", "request_id": "j1"}
SERVER = ServerSettings(
    address=f"{LOOPBACK}:0",
    max_connections=50,
    max_body_bytes=100_000,
    header_timeout_seconds=2,
    body_timeout_seconds=2,
)


class Entry:
    """A served API over fakes, in a thread with its own event loop."""

    def __init__(self):
        self.journal = FakeJournal()
        self.writer = FakeWriter(self.journal)
        self.dispatcher = FakeDispatcher()
        self.requests = []
        self.handler = None
        self._started = threading.Event()
        self._thread = threading.Thread(target=trio.run, args=(self._main,))

    def start(self):
        self._thread.start()
        self._started.wait(10)
        workers = [
            WorkerInfo(id=f"w{n}", rack="r1", data_centre="perth", capacity={"accelerators": 4})
            for n in range(4)
        ]
        self.decide(register_workers={"workers": workers})

    def stop(self):
        self._token.run_sync_soon(self._scope.cancel)
        self._thread.join(10)

    def decide(self, **kind):
        """Decides a command within the entry's event loop."""
        return trio.from_thread.run_sync(
            self.writer.decide, Command(**kind), trio_token=self._token
        )

    async def _main(self):
        api = Api(
            make_settings(),
            journal=self.journal,
            writer=self.writer,
            dispatcher=self.dispatcher,
            peers=FakePeers(),
            policy=FifoPolicy(),
            metrics=Metrics(),
        )

        async def handle(request):
            self.requests.append(f"{request.method} {request.path}")
            answer = await api.handle(request)
            return answer if self.handler is None else await self.handler(request, answer)

        server = HttpServer(handle, SERVER, answer_headers=api.answer_headers)
        self._token = trio.lowlevel.current_trio_token()
        async with trio.open_nursery() as nursery:
            self._scope = nursery.cancel_scope
            port = await nursery.start(server.serve)
            self.address = f"{LOOPBACK}:{port}"
            self._started.set()


@contextlib.contextmanager
def breaking_server(answer=b""):
    """Reads each request, sends ``answer`` and closes the connection."""
    address = []
    started = threading.Event()
    seen = []

    async def serve(stream):
        async with stream:
            seen.append(await stream.receive_some(65536))
            if answer:
                await stream.send_all(answer)

    async def run(scope):
        with scope:
            async with trio.open_nursery() as nursery:
                listeners = await nursery.start(
                    lambda task_status: trio.serve_tcp(
                        serve, 0, host=LOOPBACK, task_status=task_status
                    )
                )
                address.append(f"{LOOPBACK}:{listeners[0].socket.getsockname()[1]}")
                address.append(trio.lowlevel.current_trio_token())
                started.set()

    scope = trio.CancelScope()
    thread = threading.Thread(target=trio.run, args=(run, scope))
    thread.start()
    started.wait(10)
    try:
        yield address[0], seen
    finally:
        address[1].run_sync_soon(scope.cancel)
        thread.join(10)
