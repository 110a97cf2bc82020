"""
tests.standins.fault
~~~~~~~~~~~~~~~~~~~~

Fault injection for the doubles of targets, with a server and an in-memory client.

``POST /faults`` with a JSON object sets the given fields; ``GET /faults`` returns all fields.
A counter such as ``drop_answers`` applies to that number of subsequent requests.
"""

import json

import trio

from ibiscart_entry.client import Response as ClientResponse
from ibiscart_entry.client import TransportError
from ibiscart_entry.server import HttpServer, Request, Response

__all__ = ["FaultServer", "MemoryClient", "TargetFaults", "serve_target"]

FAULTS_PATH = "/faults"


class TargetFaults:
    """Faults of one target; all are off initially."""

    # a fault with a number of requests or responses affects that many of the next ones;
    # ``consume`` decrements the number
    FIELDS = (
        "delay_seconds",  # seconds from the arrival of each request to its effect
        "delay_answers_seconds",  # seconds from the effect of each request to its response
        "drop_answers",  # number of requests that take effect, but whose response is lost
        "duplicate_answers",  # number of responses sent twice on their connection
        "cross_answers",  # number of requests that get the previous request's response
        "truncate_answers",  # number of responses cut in the middle of the body
        "refuse",  # number of requests rejected with status 503 and not run
        "refuse_seconds",  # seconds during which the listening socket is closed
        "refuse_connections",  # switch, only in-memory client: connections are refused
        "lose_connections",  # switch, only in-memory client: connections time out
        "fail_everything",  # switch: every task or request that starts fails
        "freeze",  # switch: requests wait without effect until it is off
        "leaving",  # switch: the target drains; it accepts no new task or request
    )

    def __init__(self):
        for name in self.FIELDS:
            setattr(self, name, 0)
        self._changed = trio.Event()
        self.server = None

    def set(self, **values):
        """Sets faults by name; raises ``ValueError`` for an unknown name."""
        for name, value in values.items():
            if name not in self.FIELDS:
                raise ValueError(f"unknown fault: {name}")
            setattr(self, name, value)
        self._changed.set()
        self._changed = trio.Event()

    def consume(self, name):
        """Decrements a counted fault; returns True if its count was above zero."""
        remaining = getattr(self, name)
        if remaining > 0:
            setattr(self, name, remaining - 1)
        return remaining > 0

    async def before_effect(self):
        """Waits while ``freeze`` is set, then for ``delay_seconds``."""
        while self.freeze:
            await self._changed.wait()
        if self.delay_seconds:
            await trio.sleep(self.delay_seconds)

    async def after_effect(self):
        """Waits for ``delay_answers_seconds``."""
        if self.delay_answers_seconds:
            await trio.sleep(self.delay_answers_seconds)

    async def wait_change(self):
        """Waits for the next call of ``set``."""
        await self._changed.wait()

    def handle_control(self, request):
        """Handles a request to ``/faults``."""
        if request.method == "POST":
            try:
                self.set(**json.loads(request.body))
            except ValueError as error:
                return Response.from_json(400, {"error": str(error)})
        return Response.from_json(200, {name: getattr(self, name) for name in self.FIELDS})


class FaultServer(HttpServer):
    """HTTP server that drops, duplicates and truncates responses according to ``TargetFaults``."""

    def __init__(self, handler, settings, faults):
        super().__init__(handler, settings)
        self._faults = faults
        self.peak_connections = 0

    async def _serve_stream(self, stream):
        self.peak_connections = max(self.peak_connections, self.connections)
        await super()._serve_stream(stream)

    async def _answer(self, connection, request):
        """Sends the response to one request; returns False if the connection must be closed."""
        if request.path == FAULTS_PATH:
            await connection.respond(self._faults.handle_control(request), False)
            return connection.next_cycle()
        await self._faults.before_effect()
        response = await self._handle(request)
        await self._faults.after_effect()
        if self._faults.consume("drop_answers"):
            return False
        if self._faults.consume("truncate_answers"):
            encoded = _encode_response(response)
            await connection._stream.send_all(encoded[: len(encoded) - len(response.body) // 2 - 1])
            return False
        await connection.respond(response, self._closing)
        if self._faults.consume("duplicate_answers"):
            await connection._stream.send_all(_encode_response(response))
        return connection.next_cycle()


class MemoryClient:
    """Client with the interface of ``HttpClient`` that calls a handler directly.

    ``closed`` counts the calls of ``aclose``, ``lost`` the connections that timed out.
    """

    def __init__(self, handler, faults, address="memory"):
        self._handler = handler
        self._faults = faults
        self.address = address
        self.closed = 0
        self.lost = 0

    async def request(
        self, method, target, *, body=b"", headers=(), timeout, on_response=lambda: None
    ):
        """Returns the handler's response; ``timeout`` is in seconds. Raises ``TransportError``."""
        await trio.lowlevel.checkpoint()
        if self._faults.refuse_connections:
            raise TransportError("refused", False)
        if self._faults.lose_connections:
            self.lost += 1
            await trio.sleep(1)
            raise TransportError("connect_timeout", False)
        lowercase_headers = {name.lower(): value for name, value in headers}
        request = Request(method, target, lowercase_headers, body, "memory")
        # a trio system task runs the handler, outside the caller's cancel scope: a request that was
        # sent takes effect even if its caller times out
        outcome = {}
        with trio.move_on_after(timeout):
            done = trio.Event()
            trio.lowlevel.spawn_system_task(self._call_handler, request, outcome, done)
            await done.wait()
            on_response()
            return self._make_response(outcome)
        raise TransportError("timeout", True)

    async def aclose(self):
        self.closed += 1

    async def _call_handler(self, request, outcome, done):
        """Puts the handler's response or exception into ``outcome`` and sets ``done``."""
        try:
            await self._faults.before_effect()
            outcome["response"] = await self._handler(request)
            await self._faults.after_effect()
        except Exception as error:
            outcome["error"] = error
        finally:
            done.set()

    def _make_response(self, outcome):
        """Returns the response or raises the error of a call, or the error of a lost response."""
        if "error" in outcome:
            raise outcome["error"]
        response = outcome["response"]
        if self._faults.consume("drop_answers"):
            raise TransportError("reset", True)
        if self._faults.consume("truncate_answers"):
            raise TransportError("truncated", True)
        headers = {name.lower(): value for name, value in response.headers}
        headers["content-type"] = response.content_type
        return ClientResponse(response.status, headers, response.body)


async def serve_target(handler, settings, faults, task_status=trio.TASK_STATUS_IGNORED):
    """Serves a target double until cancelled; passes its port to ``task_status.started``.

    ``refuse_seconds`` closes the listening socket and reopens the same port after that time.
    """
    async with trio.open_nursery() as nursery:
        faults.server = server = FaultServer(handler, settings, faults)
        port = await nursery.start(server.serve)
        host = settings.address.rsplit(":", 1)[0]
        settings.address = f"{host}:{port}"
        task_status.started(port)
        while True:
            await faults.wait_change()
            if not faults.refuse_seconds:
                continue
            server.stop_accepting()
            seconds, faults.refuse_seconds = faults.refuse_seconds, 0
            await trio.sleep(seconds)
            faults.server = server = FaultServer(handler, settings, faults)
            await nursery.start(server.serve)


def _encode_response(response):
    """Returns the bytes of a complete HTTP/1.1 response."""
    lines = [f"HTTP/1.1 {response.status} double"]
    lines.append(f"content-type: {response.content_type}")
    lines.append(f"content-length: {len(response.body)}")
    lines.extend(f"{name}: {value}" for name, value in response.headers)
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + response.body
