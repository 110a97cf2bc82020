"""
ibiscart_entry.server
~~~~~~~~~~~~~~~~~~~~~

HTTP/1.1 server with bounds on connections, sizes and times.
"""

import json
import logging
from urllib.parse import parse_qs, unquote, urlsplit

import h11
import trio

from ibiscart_core.error import ErrorKind, IbiscartError
from ibiscart_schema.check import to_mapping

__all__ = ["HttpServer", "Request", "Response", "error_response"]

LOG = logging.getLogger("ibiscart.server")
READ_BYTES = 65536
MAX_HEADER_BYTES = 32 * 1024
KEEP_ALIVE_SECONDS = 75.0
BACKLOG = 1024


class Request:
    """One request; ``query`` maps names to their last value, header names are lower case."""

    __slots__ = ("body", "headers", "method", "path", "query", "remote")

    def __init__(self, method, target, headers, body, remote):
        parts = urlsplit(target)
        self.method = method
        self.path = unquote(parts.path)
        self.query = {name: values[-1] for name, values in parse_qs(parts.query).items()}
        self.headers = headers
        self.body = body
        self.remote = remote


class Response:
    """An answer with its body as bytes."""

    __slots__ = ("body", "content_type", "headers", "status")

    def __init__(self, status, body=b"", content_type="application/json", headers=()):
        self.status = status
        self.body = body
        self.content_type = content_type
        self.headers = headers

    @classmethod
    def from_json(cls, status, value, headers=()):
        """Builds an answer from any value that JSON can hold."""
        return cls(status, json.dumps(value).encode() + b"\n", headers=headers)


def error_response(error, **fields):
    """Returns the ``Response`` for an ``IbiscartError``; ``fields`` go next to the error."""
    headers = []
    if error.answer.retry_after:
        headers.append(("retry-after", str(max(1, round(error.answer.retry_after)))))
    body = {**fields, "error": to_mapping(error.to_message())}
    return Response.from_json(error.answer.status, body, headers)


class HttpServer:
    """Serves ``handler``, an async function from ``Request`` to ``Response``.

    ``settings`` is a ``ServerSettings`` message. ``on_error`` is called with each
    ``ErrorKind`` that is answered.
    """

    def __init__(self, handler, settings, on_error=lambda kind: None):
        self._handler = handler
        self._settings = settings
        self._on_error = on_error
        self._connections = 0
        self._requests = 0
        self._idle = trio.Event()
        self._accepting = trio.CancelScope()
        self._closing = False

    @property
    def requests(self):
        """Number of requests that are read or answered at present."""
        return self._requests

    @property
    def connections(self):
        """Number of open connections."""
        return self._connections

    async def serve(self, task_status=trio.TASK_STATUS_IGNORED):
        """Serves until cancelled; reports the bound port through ``task_status``."""
        host, port = self._settings.address.rsplit(":", 1)
        listeners = await trio.open_tcp_listeners(int(port), host=host.strip("[]"), backlog=BACKLOG)
        task_status.started(listeners[0].socket.getsockname()[1])
        async with trio.open_nursery() as nursery:
            with self._accepting:
                await trio.serve_listeners(self._serve_stream, listeners, handler_nursery=nursery)
            # requests on open connections go on until the caller cancels this task

    def close_connections(self):
        """Answers from now on with ``Connection: close``."""
        self._closing = True

    def stop_accepting(self):
        """Closes the listening socket."""
        self._closing = True
        self._accepting.cancel()

    async def wait_idle(self):
        """Waits until no request is being read or answered."""
        while self._requests:
            self._idle = trio.Event()
            await self._idle.wait()

    async def _serve_stream(self, stream):
        self._connections += 1
        try:
            connection = _Connection(stream)
            if self._connections > self._settings.max_connections:
                error = IbiscartError(ErrorKind.OVERLOADED, "too many connections; retry later")
                await self._answer_error(connection, error)
                return
            await self._serve_requests(connection)
        except (OSError, trio.BrokenResourceError, trio.ClosedResourceError):
            pass  # the caller went away
        except Exception:
            LOG.exception("server: A connection failed.")
        finally:
            self._connections -= 1
            with trio.CancelScope(shield=True), trio.move_on_after(1):
                await stream.aclose()

    async def _serve_requests(self, connection):
        while True:
            try:
                with trio.move_on_after(KEEP_ALIVE_SECONDS):
                    await connection.wait_data()
                if not connection.has_data:
                    return
                self._requests += 1
                try:
                    if not await self._serve_one(connection):
                        return
                finally:
                    self._requests -= 1
                    if not self._requests:
                        self._idle.set()
            except h11.RemoteProtocolError as error:
                refusal = IbiscartError(ErrorKind.BAD_REQUEST, f"malformed HTTP: {error}")
                await self._answer_error(connection, refusal)
                return
            except IbiscartError as error:
                await self._answer_error(connection, error)
                return

    async def _serve_one(self, connection):
        """Serves one request; returns whether the connection can serve another."""
        head = await self._read_head(connection)
        if head is None:
            return False
        body = await self._read_body(connection, head)
        headers = {k.decode("latin-1"): v.decode("latin-1") for k, v in head.headers}
        request = Request(
            head.method.decode("latin-1"),
            head.target.decode("latin-1"),
            headers,
            body,
            connection.remote,
        )
        await connection.respond(await self._handle(request), self._closing)
        return connection.next_cycle()

    async def _handle(self, request):
        try:
            return await self._handler(request)
        except IbiscartError as error:
            self._on_error(error.kind)
            return error_response(error)
        except Exception:
            LOG.exception("server: A request failed.", extra={"path": request.path})
            self._on_error(ErrorKind.INTERNAL)
            return error_response(IbiscartError(ErrorKind.INTERNAL, "internal error"))

    async def _read_head(self, connection):
        try:
            with trio.fail_after(self._settings.header_timeout_seconds):
                event = await connection.next_event()
        except trio.TooSlowError:
            raise _too_slow("header", self._settings.header_timeout_seconds) from None
        return event if isinstance(event, h11.Request) else None

    async def _read_body(self, connection, head):
        bound = self._settings.max_body_bytes
        for name, value in head.headers:
            if name == b"content-length" and int(value) > bound:
                raise _too_large(int(value), bound)
        parts = []
        size = 0
        try:
            with trio.fail_after(self._settings.body_timeout_seconds):
                while True:
                    event = await connection.next_event()
                    if not isinstance(event, h11.Data):
                        return b"".join(parts)
                    size += len(event.data)
                    if size > bound:
                        raise _too_large(size, bound)
                    parts.append(bytes(event.data))
        except trio.TooSlowError:
            raise _too_slow("body", self._settings.body_timeout_seconds) from None

    async def _answer_error(self, connection, error):
        self._on_error(error.kind)
        try:
            await connection.respond(error_response(error), True)
        except h11.LocalProtocolError:
            pass  # the caller's bytes left the connection in a state without answers


class _Connection:
    """An accepted stream with its h11 state."""

    def __init__(self, stream):
        self._stream = stream
        self._h11 = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_HEADER_BYTES)

    @property
    def has_data(self):
        """Whether bytes of a request have arrived."""
        return bool(self._h11.trailing_data[0])

    @property
    def remote(self):
        """Address of the caller."""
        try:
            return self._stream.socket.getpeername()[0]
        except OSError:
            return ""

    async def wait_data(self):
        """Waits for the first bytes of a request, or the end of the stream."""
        if not self.has_data:
            self._h11.receive_data(await self._stream.receive_some(READ_BYTES))

    async def next_event(self):
        """Returns the next h11 event."""
        while True:
            event = self._h11.next_event()
            if event is not h11.NEED_DATA:
                return event
            if self._h11.they_are_waiting_for_100_continue:
                go_ahead = h11.InformationalResponse(status_code=100, headers=[])
                await self._stream.send_all(self._h11.send(go_ahead))
            self._h11.receive_data(await self._stream.receive_some(READ_BYTES))

    async def respond(self, response, close):
        """Sends a whole response."""
        headers = [
            ("content-type", response.content_type),
            ("content-length", str(len(response.body))),
            *response.headers,
        ]
        if close:
            headers.append(("connection", "close"))
        head = h11.Response(status_code=response.status, headers=headers)
        data = self._h11.send(head)
        data += self._h11.send(h11.Data(data=response.body))
        data += self._h11.send(h11.EndOfMessage())
        await self._stream.send_all(data)

    def next_cycle(self):
        """Prepares for the next request; returns False when the connection must close."""
        if self._h11.our_state is not h11.DONE or self._h11.their_state is not h11.DONE:
            return False
        self._h11.start_next_cycle()
        return True


def _too_large(size, bound):
    return IbiscartError(
        ErrorKind.BODY_TOO_LARGE,
        "the body is too large; send a smaller one",
        field="body",
        value=f"{size} bytes",
        bound=f"{bound} bytes",
    )


def _too_slow(part, seconds):
    return IbiscartError(
        ErrorKind.REQUEST_TIMEOUT,
        f"the request's {part} did not arrive in time",
        field=part,
        bound=f"{seconds} s",
    )
