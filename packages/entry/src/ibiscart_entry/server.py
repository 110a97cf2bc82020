"""
ibiscart_entry.server
~~~~~~~~~~~~~~~~~~~~~

HTTP/1.1 server with bounds on connections, sizes and times.
"""

import errno
import json
import logging
import socket
from urllib.parse import parse_qs, unquote, urlsplit

import h11
import trio

from ibiscart_core.error import ErrorKind, IbiscartError
from ibiscart_entry.connection import Connection, readable
from ibiscart_entry.request_error import (
    MAX_QUERY_FIELDS,
    SHOWN_CHARACTERS,
    bad_target,
    malformed,
    too_large,
    too_slow,
)
from ibiscart_schema.check import to_mapping

__all__ = ["AddressError", "HttpServer", "Request", "Response", "error_response"]

LOG = logging.getLogger("ibiscart.server")
KEEP_ALIVE_SECONDS = 75.0
BACKLOG = 1024
# bodies of all requests together; the process has 64 MB for everything
MAX_BUFFERED_BYTES = 16 * 1024 * 1024
# connections over the limit that get an answer before they are closed
REFUSED_CONNECTIONS = 64
ACCEPT_PAUSE_SECONDS = 0.1
OUT_OF_FILES = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOMEM, errno.ENOBUFS})
# errors of an address that pass: another process uses it, or the machine does not have it yet
IN_USE = OUT_OF_FILES | {errno.EADDRINUSE, errno.EADDRNOTAVAIL, socket.EAI_AGAIN}
# pause before an address is tried again, doubled after each try up to the maximum
BIND_PAUSE_SECONDS = 0.05
MAX_BIND_PAUSE_SECONDS = 1.0
# interval of the log lines about a state that lasts
REPEAT_SECONDS = 10.0


class AddressError(Exception):
    """An address that can never be bound; the text names the setting, the value and the cause."""


async def _never_closed():
    """Returns False: a request without a connection has no caller that could leave."""
    return False


class Request:
    """One request; ``query`` maps names to values, header names are lower case.

    ``wait_closed`` is an async function that returns when the caller has gone, ``is_closed`` one
    that returns whether it has. Raises ``ValueError`` for a target that cannot be read or repeats a
    name in its query.
    """

    __slots__ = ("body", "headers", "is_closed", "method", "path", "query", "remote", "wait_closed")

    def __init__(
        self,
        method,
        target,
        headers,
        body,
        remote,
        wait_closed=trio.sleep_forever,
        is_closed=_never_closed,
    ):
        parts = urlsplit(target)
        query = parse_qs(parts.query, keep_blank_values=True, max_num_fields=MAX_QUERY_FIELDS)
        for name, values in query.items():
            if len(values) > 1:
                raise ValueError(f"{name[:SHOWN_CHARACTERS]} is given twice")
        self.method = method
        self.path = unquote(parts.path)
        self.query = {name: values[-1] for name, values in query.items()}
        self.headers = headers
        self.body = body
        self.remote = remote
        self.wait_closed = wait_closed
        self.is_closed = is_closed


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
    # tells this body from one that a runner sent
    headers = [("x-ibiscart-error", error.kind.value)]
    if error.retry_after:
        headers.append(("retry-after", str(max(1, round(error.retry_after)))))
    body = {**fields, "error": to_mapping(error.to_message())}
    return Response.from_json(error.answer.status, body, headers)


class HttpServer:
    """Serves ``handler``, an async function from ``Request`` to ``Response``.

    ``settings`` is a ``ServerSettings`` message; ``name`` is the operator's name of the setting
    with the address, for the log. ``on_error`` is called with each
    ``ErrorKind`` that is answered. ``answer_headers`` returns headers for the answers that
    the server gives without the handler. ``traffic`` is the ``Traffic`` to which its bytes are
    added.
    """

    def __init__(
        self,
        handler,
        settings,
        on_error=lambda kind: None,
        *,
        answer_headers=list,
        traffic=None,
        name="server.address",
    ):
        self._handler = handler
        self._settings = settings
        self._on_error = on_error
        self._answer_headers = answer_headers
        self._traffic = traffic
        self._name = name
        self._connections = 0
        self._requests = 0
        self._buffered = 0
        self._most_buffered = max(MAX_BUFFERED_BYTES, settings.max_body_bytes)
        self._changed = trio.Event()
        self._accept_scopes = set()
        self._idle_scopes = set()
        self._closing = False
        self._accepting = True
        self._bound = False
        self._keeping_idle = True

    @property
    def requests(self):
        """Number of requests that are read or answered at present."""
        return self._requests

    @property
    def connections(self):
        """Number of open connections."""
        return self._connections

    @property
    def bound(self):
        """Whether the address has been bound, so that callers can connect."""
        return self._bound

    async def serve(self, task_status=trio.TASK_STATUS_IGNORED):
        """Serves until cancelled; reports the bound port through ``task_status``.

        Waits while the address is in use. Raises ``AddressError`` if it can never be bound.
        """
        listeners = await self._bind()
        async with trio.open_nursery() as nursery:
            for listener in listeners:
                nursery.start_soon(self._serve_listener, listener, nursery)
            task_status.started(listeners[0].socket.getsockname()[1])
            # requests on open connections go on until the caller cancels this task
            await trio.sleep_forever()

    async def _bind(self):
        """Returns the listeners of the address, as soon as no other process uses it."""
        fields = {"setting": self._name, "address": self._settings.address}
        started_at = trio.current_time()
        warning = _RepeatedLine(logging.WARNING, "An address cannot be bound; it is tried again.")
        pause = BIND_PAUSE_SECONDS
        while True:
            try:
                host, _, port = self._settings.address.rpartition(":")
                listeners = await trio.open_tcp_listeners(
                    int(port), host=host.strip("[]"), backlog=BACKLOG
                )
                break
            # ValueError: the text has no port, or a host that cannot be encoded
            except (OSError, OverflowError, ValueError) as error:
                number = getattr(error, "errno", None)
                if number not in IN_USE:
                    raise AddressError(
                        f"{self._name} is {self._settings.address!r}, which cannot be bound: "
                        f"{error}; set it to an address of this machine and a port"
                    ) from error
                warning.log({**fields, "errno": number, "cause": str(error)})
            await trio.sleep(pause)
            pause = min(MAX_BIND_PAUSE_SECONDS, 2 * pause)
        self._bound = True
        fields["waited_seconds"] = round(trio.current_time() - started_at, 3)
        LOG.info("An address is bound.", extra=fields)
        return listeners

    def close_connections(self):
        """Answers from now on with ``Connection: close``."""
        self._closing = True

    def stop_accepting(self):
        """Accepts the connections that are already waiting, then closes the listeners."""
        self._closing = True
        self._accepting = False
        for scope in self._accept_scopes:
            scope.cancel()

    def close_idle(self):
        """Closes the connections on which no request has arrived, now and from now on."""
        self._closing = True
        self._keeping_idle = False
        for scope in self._idle_scopes:
            scope.cancel()

    async def wait_idle(self):
        """Waits until no request is being read or answered."""
        while self._requests:
            await self._wait_change()

    async def wait_closed(self):
        """Waits until no connection is open."""
        while self._connections:
            await self._wait_change()

    async def _wait_change(self):
        await self._changed.wait()

    def _tell_change(self):
        changed, self._changed = self._changed, trio.Event()
        changed.set()

    async def _serve_listener(self, listener, nursery):
        async with listener:
            error_line = _RepeatedLine(logging.ERROR, "Connections cannot be accepted.")
            taken_at_end = 0
            while self._accepting or (taken_at_end < BACKLOG and readable(listener.socket)):
                taken_at_end += not self._accepting
                with trio.CancelScope() as scope:
                    if self._accepting:
                        self._accept_scopes.add(scope)
                    else:
                        # the waiting connection may have been reset meanwhile
                        scope.deadline = trio.current_time() + ACCEPT_PAUSE_SECONDS
                    try:
                        stream = await listener.accept()
                    except OSError as error:
                        # any error concerns this one connection or passes
                        error_line.log({"errno": error.errno, "cause": str(error)})
                        await trio.sleep(ACCEPT_PAUSE_SECONDS)
                        continue
                    finally:
                        self._accept_scopes.discard(scope)
                    self._connections += 1
                    nursery.start_soon(self._serve_stream, stream)

    async def _serve_stream(self, stream):
        connection = Connection(stream, self._settings.body_timeout_seconds, self._traffic)
        limit = self._settings.max_connections
        try:
            if self._connections <= limit:
                await self._serve_requests(connection)
            elif self._connections <= limit + REFUSED_CONNECTIONS:
                error = IbiscartError(ErrorKind.OVERLOADED, "too many connections; retry later")
                await self._answer_error(connection, error)
            else:
                self._on_error(ErrorKind.OVERLOADED)
                return
            await connection.linger()
        except (OSError, trio.BrokenResourceError, trio.ClosedResourceError, trio.TooSlowError):
            pass  # the caller went away or does not read
        except Exception:
            LOG.exception("server: A connection failed.")
        except BaseExceptionGroup as group:
            # an error beside a cancellation must not end the server
            unexpected, cancelled = group.split(lambda error: isinstance(error, Exception))
            if unexpected is not None:
                LOG.error("server: A connection failed.", exc_info=unexpected)
            raise cancelled from None
        finally:
            self._connections -= 1
            self._tell_change()
            with trio.CancelScope(shield=True):
                await trio.aclose_forcefully(stream)

    async def _serve_requests(self, connection):
        while await self._wait_request(connection):
            self._requests += 1
            try:
                if not await self._serve_one(connection):
                    return
            except h11.RemoteProtocolError as error:
                await self._answer_error(connection, malformed(error))
                return
            except IbiscartError as error:
                await self._answer_error(connection, error)
                return
            finally:
                self._requests -= 1
                self._tell_change()

    async def _wait_request(self, connection):
        """Waits for the first bytes of a request; returns False when there are none."""
        if self._keeping_idle and not connection.has_data:
            with trio.move_on_after(KEEP_ALIVE_SECONDS) as scope:
                self._idle_scopes.add(scope)
                try:
                    await connection.wait_data()
                finally:
                    self._idle_scopes.discard(scope)
        if not connection.has_data and connection.readable:
            # the bytes arrived together with the end of the wait
            await connection.wait_data()
        return connection.has_data

    async def _serve_one(self, connection):
        """Serves one request; returns whether the connection can serve another."""
        head = await self._read_head(connection)
        if head is None:
            return False
        body = _Body(self)
        try:
            await self._read_body(connection, head, body)
            headers = {k.decode("latin-1"): v.decode("latin-1") for k, v in head.headers}
            target = head.target.decode("latin-1")
            method = head.method.decode("latin-1")
            try:
                request = Request(
                    method,
                    target,
                    headers,
                    body.take(),
                    connection.remote,
                    connection.wait_closed,
                    connection.is_closed,
                )
            except ValueError as error:
                raise bad_target(target, error) from None
            return await self._answer(connection, request)
        finally:
            body.release()

    async def _answer(self, connection, request):
        """Answers one request; returns whether the connection can serve another."""
        response = await self._handle(request)
        try:
            await connection.respond(response, self._closing, request.method == "HEAD")
        except h11.LocalProtocolError:
            LOG.exception("server: An answer is not valid HTTP.", extra={"path": request.path})
            raise IbiscartError(ErrorKind.INTERNAL, "the answer could not be sent") from None
        return connection.next_cycle()

    async def _handle(self, request):
        try:
            return await self._handler(request)
        except IbiscartError as error:
            self._on_error(error.kind)
            return self._error_response(error)
        except Exception:
            LOG.exception("server: A request failed.", extra={"path": request.path})
            self._on_error(ErrorKind.INTERNAL)
            return self._error_response(IbiscartError(ErrorKind.INTERNAL, "internal error"))

    async def _read_head(self, connection):
        try:
            with trio.fail_after(self._settings.header_timeout_seconds):
                event = await connection.next_event()
        except trio.TooSlowError:
            raise too_slow("header", self._settings.header_timeout_seconds) from None
        if not isinstance(event, h11.Request):
            return None
        if not event.http_version.startswith(b"1."):
            raise h11.RemoteProtocolError("unknown version")
        return event

    async def _read_body(self, connection, head, body):
        for name, value in head.headers:
            if name == b"content-length":
                body.check(int(value))
        try:
            with trio.fail_after(self._settings.body_timeout_seconds):
                while isinstance(event := await connection.next_event(), h11.Data):
                    body.add(bytes(event.data))
        except trio.TooSlowError:
            raise too_slow("body", self._settings.body_timeout_seconds) from None

    def _error_response(self, error):
        response = error_response(error)
        response.headers = [*response.headers, *self._answer_headers()]
        return response

    async def _answer_error(self, connection, error):
        self._on_error(error.kind)
        try:
            await connection.respond(self._error_response(error), True)
        except h11.LocalProtocolError:
            pass  # the caller's bytes left the connection in a state without answers


class _RepeatedLine:
    """Logs a state that lasts at once and then at most every ``REPEAT_SECONDS``."""

    def __init__(self, level, message):
        self._level = level
        self._message = message
        self._logged_at = None

    def log(self, fields):
        """Logs the message with the fields unless it was logged a short time ago."""
        now = trio.current_time()
        if self._logged_at is None or now - self._logged_at >= REPEAT_SECONDS:
            self._logged_at = now
            LOG.log(self._level, self._message, extra=fields)


class _Body:
    """Body of one request; its size counts against the bodies of all requests."""

    def __init__(self, server):
        self._server = server
        self._parts = []
        self._size = 0

    def check(self, size):
        """Raises when a body of ``size`` bytes is too large for a request."""
        bound = self._server._settings.max_body_bytes
        if size > bound:
            raise too_large(size, bound)

    def add(self, data):
        """Adds the next part."""
        self.check(self._size + len(data))
        if self._server._buffered + len(data) > self._server._most_buffered:
            raise IbiscartError(
                ErrorKind.OVERLOADED,
                "too many large requests at once; retry later",
                field="body",
                bound=f"{self._server._most_buffered} bytes of all requests",
            )
        self._server._buffered += len(data)
        self._size += len(data)
        self._parts.append(data)

    def take(self):
        """Returns the whole body."""
        data = b"".join(self._parts)
        self._parts = []
        return data

    def release(self):
        """Ends the count of this body."""
        self._server._buffered -= self._size
        self._size = 0
