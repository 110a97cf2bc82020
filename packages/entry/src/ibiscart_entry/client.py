"""
ibiscart_entry.client
~~~~~~~~~~~~~~~~~~~~~

HTTP/1.1 client with pooled connections, for one address.
"""

import h11
import trio

from ibiscart_entry.connection import readable
from ibiscart_entry.metric import Traffic

__all__ = ["HttpClient", "Response", "TransportError"]

CONNECT_TIMEOUT_SECONDS = 1.0
IDLE_CONNECTIONS_KEPT = 8
# a connection that was not needed for this time is closed after the next request on another one: a
# burst leaves more connections behind than the usual requests need
IDLE_SECONDS = 30.0
MAX_BODY_BYTES = 64 * 1024 * 1024
READ_BYTES = 65536
# a server that refuses a body early closes after its answer, which is then still unread
EARLY_ANSWER_SECONDS = 1.0
BODILESS_STATUS = frozenset({204, 304})
# of clients whose bytes nobody asks for
UNCOUNTED = Traffic()


class TransportError(Exception):
    """A request without a whole response.

    ``sent`` is False only when no byte of the request can have reached the server.
    ``reason`` is one of refused, connect_timeout, reset, truncated, malformed, timeout,
    too_large.
    """

    def __init__(self, reason, sent):
        super().__init__(f"{reason} (sent={sent})")
        self.reason = reason
        self.sent = sent


class Response:
    """A whole response; header names are in lower case."""

    __slots__ = ("body", "headers", "status")

    def __init__(self, status, headers, body):
        self.status = status
        self.headers = headers
        self.body = body


class HttpClient:
    """Sends requests to one ``ip:port`` address over at most ``max_connections``.

    Idle connections are used again, the last one first. A leader has thousands of clients, most of
    them idle, so these and their idle connections hold no more than they need.
    ``traffic`` is the ``Traffic`` to which its bytes are added.
    """

    __slots__ = (
        "_address",
        "_closed",
        "_connect_timeout",
        "_idle",
        "_limit",
        "_max_body_bytes",
        "_max_connections",
        "_traffic",
    )

    def __init__(
        self,
        address,
        *,
        max_connections=64,
        connect_timeout=CONNECT_TIMEOUT_SECONDS,
        max_body_bytes=MAX_BODY_BYTES,
        traffic=None,
    ):
        self._address = address
        self._connect_timeout = connect_timeout
        self._max_body_bytes = max_body_bytes
        self._max_connections = max_connections
        # created with the first request
        self._limit = None
        self._idle = []
        self._closed = False
        self._traffic = UNCOUNTED if traffic is None else traffic

    @property
    def address(self):
        """Address of the server, ``ip:port``."""
        return self._address

    async def request(
        self, method, target, *, body=b"", headers=(), timeout, on_response=lambda: None
    ):
        """Sends one request and returns the ``Response``.

        ``timeout`` is in seconds and covers the wait for a connection too. ``on_response`` is
        called when the response begins to arrive. Raises ``TransportError``; a request is never
        sent twice.
        """
        events = self._events(method, target, body, headers)
        if self._limit is None:
            self._limit = trio.CapacityLimiter(self._max_connections)
        sent = False
        with trio.move_on_after(timeout):
            async with self._limit:
                stream = self._take_idle()
                if stream is None:
                    stream = await self._connect()
                sent = True
                return await self._exchange(stream, events, on_response)
        raise TransportError("timeout", sent)

    async def aclose(self):
        """Closes the idle connections; open requests end on their own."""
        self.close()
        await trio.lowlevel.checkpoint()

    def close(self):
        """Closes the idle connections; open requests end on their own."""
        self._closed = True
        while self._idle:
            self._close_oldest()

    def _close_oldest(self):
        stream, _ = self._idle.pop(0)
        stream.socket.close()

    async def _connect(self):
        try:
            with trio.fail_after(self._connect_timeout):
                host, port = self._address.rsplit(":", 1)
                return await _open_stream(host.strip("[]"), int(port))
        except trio.TooSlowError:
            raise TransportError("connect_timeout", False) from None
        except OSError:
            raise TransportError("refused", False) from None

    def _take_idle(self):
        while self._idle:
            stream, _ = self._idle.pop()
            # an idle connection that is readable was closed by the server, or holds bytes
            # that belong to no request
            if not readable(stream.socket):
                return stream
            stream.socket.close()
        return None

    def _events(self, method, target, body, headers):
        fields = [("host", self._address), ("content-length", str(len(body))), *headers]
        pairs = [(name, value.encode("latin-1", "replace")) for name, value in fields]
        try:
            events = [h11.Request(method=method, target=target, headers=pairs)]
        except (h11.LocalProtocolError, UnicodeEncodeError):
            raise TransportError("malformed", False) from None
        if body:
            events.append(h11.Data(data=body))
        events.append(h11.EndOfMessage())
        return events

    async def _exchange(self, stream, events, on_response):
        connection = h11.Connection(h11.CLIENT)
        keep = False
        try:
            await self._send(stream, connection, events)
            response = await self._receive(stream, connection, on_response)
            keep = self._reusable(connection)
            return response
        except h11.RemoteProtocolError:
            raise TransportError("malformed", True) from None
        except (OSError, trio.BrokenResourceError, trio.ClosedResourceError):
            raise TransportError("reset", True) from None
        finally:
            if keep:
                now = trio.current_time()
                self._idle.append((stream, now))
                while now - self._idle[0][1] > IDLE_SECONDS:
                    self._close_oldest()
            else:
                with trio.CancelScope(shield=True):
                    await trio.aclose_forcefully(stream)

    def _reusable(self, connection):
        return (
            not self._closed
            and len(self._idle) < IDLE_CONNECTIONS_KEPT
            and connection.our_state is h11.DONE
            and connection.their_state is h11.DONE
            # bytes after a response would be taken for the next one
            and not connection.trailing_data[0]
        )

    async def _send(self, stream, connection, events):
        data = b"".join(connection.send(event) for event in events)
        try:
            await stream.send_all(data)
            self._traffic.add_sent(len(data))
        except trio.BrokenResourceError:
            # the bytes that are still unread may hold the reason
            with trio.move_on_after(EARLY_ANSWER_SECONDS):
                data = await stream.receive_some(READ_BYTES)
                self._traffic.add_received(len(data))
                if data:
                    connection.receive_data(data)
                    return
            raise

    async def _receive(self, stream, connection, on_response):
        head = None
        parts = []
        size = 0
        while True:
            event = connection.next_event()
            if event is h11.NEED_DATA:
                data = await stream.receive_some(READ_BYTES)
                self._traffic.add_received(len(data))
                if not data:
                    # responses have a stated length, so none is complete here
                    raise TransportError("truncated", True)
                connection.receive_data(data)
            elif isinstance(event, h11.Response):
                head = event
                on_response()
                self._check_framing(head)
            elif isinstance(event, h11.Data):
                size += len(event.data)
                if size > self._max_body_bytes:
                    raise TransportError("too_large", True)
                parts.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                headers = {k.decode("latin-1"): v.decode("latin-1") for k, v in head.headers}
                return Response(head.status_code, headers, b"".join(parts))

    def _check_framing(self, head):
        # the end of a response without a length looks the same as its truncation
        names = {name for name, _ in head.headers}
        if head.status_code not in BODILESS_STATUS and not names & {
            b"content-length",
            b"transfer-encoding",
        }:
            raise TransportError("malformed", True)


async def _open_stream(host, port):
    """Returns a stream to the first address of a host that accepts; raises ``OSError``."""
    failure = OSError("the host has no address")
    addresses = await trio.socket.getaddrinfo(host, port, type=trio.socket.SOCK_STREAM)
    for family, kind, protocol, _, address in addresses:
        try:
            return await _connect_socket(trio.socket.socket(family, kind, protocol), address)
        except OSError as error:
            failure = error
    raise failure


async def _connect_socket(connection, address):
    """Returns the stream of a socket once it is connected; raises ``OSError``."""
    try:
        # a listener could not bind the local port otherwise, even for some time after the end
        connection.setsockopt(trio.socket.SOL_SOCKET, trio.socket.SO_REUSEADDR, 1)
        await connection.connect(address)
        return trio.SocketStream(connection)
    except BaseException:
        connection.close()
        raise
