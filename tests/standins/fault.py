"""
tests.standins.fault
~~~~~~~~~~~~~~~~~~~~

Faults that the target doubles inject, and a server and a client that carry them out.

``POST /faults`` with a JSON object sets the given fields; ``GET /faults`` returns them.
Counters such as ``drop_answers`` apply to that many of the next requests.
"""

import json

import trio

from ibiscart_entry.client import Response as ClientResponse
from ibiscart_entry.client import TransportError
from ibiscart_entry.server import HttpServer, Request, Response

__all__ = ["FaultServer", "MemoryClient", "TargetFaults", "serve_target"]

FAULTS_PATH = "/faults"


class TargetFaults:
    """Faults of one target; all are off at first."""

    FIELDS = (
        "delay_seconds",  # added before each request takes effect
        "delay_answers_seconds",  # added after the effect, before the answer
        "drop_answers",  # requests whose answer is lost after the effect
        "duplicate_answers",  # answers sent twice on their connection
        "cross_answers",  # answers that belong to another request
        "truncate_answers",  # answers cut in half
        "refuse",  # requests answered with 503, not run
        "refuse_seconds",  # time for which the listening socket is closed
        "refuse_connections",  # in memory: connections refused until set back
        "lose_connections",  # in memory: connections time out until set back
        "fail_everything",  # every started task or request fails
        "freeze",  # requests wait, without effect, until set back
        "leaving",  # nothing new is accepted
    )

    def __init__(self):
        for name in self.FIELDS:
            setattr(self, name, 0)
        self._changed = trio.Event()
        self.server = None

    def set(self, **values):
        """Sets faults by name; raises ``ValueError`` for an unknown one."""
        for name, value in values.items():
            if name not in self.FIELDS:
                raise ValueError(f"unknown fault: {name}")
            setattr(self, name, value)
        self._changed.set()
        self._changed = trio.Event()

    def take(self, name):
        """Uses up one of a counted fault; returns whether there was one."""
        left = getattr(self, name)
        if left > 0:
            setattr(self, name, left - 1)
        return left > 0

    async def before_effect(self):
        """Waits while the target is frozen or slow."""
        while self.freeze:
            await self._changed.wait()
        if self.delay_seconds:
            await trio.sleep(self.delay_seconds)

    async def after_effect(self):
        """Waits while answers are slow."""
        if self.delay_answers_seconds:
            await trio.sleep(self.delay_answers_seconds)

    async def wait_change(self):
        """Waits for the next ``set``."""
        await self._changed.wait()

    def answer(self, request):
        """Answers a request to the fault control."""
        if request.method == "POST":
            try:
                self.set(**json.loads(request.body))
            except ValueError as error:
                return Response.from_json(400, {"error": str(error)})
        return Response.from_json(200, {name: getattr(self, name) for name in self.FIELDS})


class FaultServer(HttpServer):
    """HTTP server that loses, repeats and cuts answers as its ``TargetFaults`` say."""

    def __init__(self, handler, settings, faults):
        super().__init__(handler, settings)
        self._faults = faults
        self.peak_connections = 0

    async def _serve_stream(self, stream):
        self.peak_connections = max(self.peak_connections, self.connections)
        await super()._serve_stream(stream)

    async def _answer(self, connection, request):
        if request.path == FAULTS_PATH:
            await connection.respond(self._faults.answer(request), False)
            return connection.next_cycle()
        await self._faults.before_effect()
        response = await self._handle(request)
        await self._faults.after_effect()
        if self._faults.take("drop_answers"):
            return False
        if self._faults.take("truncate_answers"):
            whole = _raw(response)
            await connection._stream.send_all(whole[: len(whole) - len(response.body) // 2 - 1])
            return False
        await connection.respond(response, self._closing)
        if self._faults.take("duplicate_answers"):
            await connection._stream.send_all(_raw(response))
        return connection.next_cycle()


class MemoryClient:
    """Client with the interface of ``HttpClient`` that calls a handler without sockets."""

    def __init__(self, handler, faults, address="memory"):
        self._handler = handler
        self._faults = faults
        self.address = address
        self.closed = 0
        self.lost = 0

    async def request(self, method, target, *, body=b"", headers=(), timeout):
        await trio.lowlevel.checkpoint()
        if self._faults.refuse_connections:
            raise TransportError("refused", False)
        if self._faults.lose_connections:
            self.lost += 1
            await trio.sleep(1)
            raise TransportError("connect_timeout", False)
        fields = {name.lower(): value for name, value in headers}
        request = Request(method, target, fields, body, "memory")
        # like a request on the wire, it takes effect although the caller gave up
        result = {}
        with trio.move_on_after(timeout):
            done = trio.Event()
            trio.lowlevel.spawn_system_task(self._run, request, result, done)
            await done.wait()
            return self._deliver(result)
        raise TransportError("timeout", True)

    async def aclose(self):
        self.closed += 1

    async def _run(self, request, result, done):
        try:
            await self._faults.before_effect()
            result["response"] = await self._handler(request)
            await self._faults.after_effect()
        except Exception as error:
            result["error"] = error
        finally:
            done.set()

    def _deliver(self, result):
        if "error" in result:
            raise result["error"]
        response = result["response"]
        if self._faults.take("drop_answers"):
            raise TransportError("reset", True)
        if self._faults.take("truncate_answers"):
            raise TransportError("truncated", True)
        headers = {name.lower(): value for name, value in response.headers}
        headers["content-type"] = response.content_type
        return ClientResponse(response.status, headers, response.body)


async def serve_target(handler, settings, faults, task_status=trio.TASK_STATUS_IGNORED):
    """Serves a double until cancelled; reports its port.

    ``refuse_seconds`` closes the listening socket and opens the same port again later.
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


def _raw(response):
    lines = [f"HTTP/1.1 {response.status} double"]
    lines.append(f"content-type: {response.content_type}")
    lines.append(f"content-length: {len(response.body)}")
    lines.extend(f"{name}: {value}" for name, value in response.headers)
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + response.body
