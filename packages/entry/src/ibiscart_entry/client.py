"""
ibiscart_entry.client
~~~~~~~~~~~~~~~~~~~~~

HTTP/1.1 client with pooled connections, for one address.
"""

import select

import h11
import trio

__all__ = ["HttpClient", "Response", "TransportError"]

CONNECT_TIMEOUT_SECONDS = 1.0
IDLE_CONNECTIONS_KEPT = 8
MAX_BODY_BYTES = 64 * 1024 * 1024
READ_BYTES = 65536


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
    """Sends requests to one ``ip:port`` address over at most ``max_connections``."""

    def __init__(self, address, *, max_connections=64, connect_timeout=CONNECT_TIMEOUT_SECONDS):
        self._host, port = address.rsplit(":", 1)
        self._host = self._host.strip("[]")
        self._port = int(port)
        self._address = address
        self._connect_timeout = connect_timeout
        self._limit = trio.CapacityLimiter(max_connections)
        self._idle = []
        self._closed = False

    @property
    def address(self):
        """Address of the server, ``ip:port``."""
        return self._address

    async def request(self, method, target, *, body=b"", headers=(), timeout):
        """Sends one request and returns the ``Response``.

        ``timeout`` is in seconds and covers the wait for a connection too. Raises
        ``TransportError``; a request is never sent twice.
        """
        sent = False
        with trio.move_on_after(timeout):
            async with self._limit:
                connection = self._take_idle()
                if connection is None:
                    connection = await self._connect()
                sent = True
                return await self._exchange(connection, method, target, body, headers)
        raise TransportError("timeout", sent)

    async def aclose(self):
        """Closes the idle connections; open requests end on their own."""
        self._closed = True
        while self._idle:
            await self._idle.pop()[0].aclose()

    async def _connect(self):
        try:
            with trio.fail_after(self._connect_timeout):
                stream = await trio.open_tcp_stream(self._host, self._port)
        except trio.TooSlowError:
            raise TransportError("connect_timeout", False) from None
        except OSError:
            raise TransportError("refused", False) from None
        return stream, h11.Connection(h11.CLIENT)

    def _take_idle(self):
        while self._idle:
            stream, connection = self._idle.pop()
            # an idle connection that is readable was closed by the server
            if not select.select([stream.socket.fileno()], [], [], 0)[0]:
                return stream, connection
            stream.socket.close()
        return None

    async def _exchange(self, pair, method, target, body, headers):
        stream, connection = pair
        keep = False
        try:
            await self._send(stream, connection, method, target, body, headers)
            response = await self._receive(stream, connection)
            keep = self._reusable(connection)
            return response
        except h11.RemoteProtocolError as error:
            truncated = "incomplete" in str(error) or "closed" in str(error)
            reason = "truncated" if truncated else "malformed"
            raise TransportError(reason, True) from None
        except (OSError, trio.BrokenResourceError, trio.ClosedResourceError):
            raise TransportError("reset", True) from None
        finally:
            if keep:
                connection.start_next_cycle()
                self._idle.append(pair)
            else:
                with trio.CancelScope(shield=True):
                    await trio.aclose_forcefully(stream)

    def _reusable(self, connection):
        return (
            not self._closed
            and len(self._idle) < IDLE_CONNECTIONS_KEPT
            and connection.our_state is h11.DONE
            and connection.their_state is h11.DONE
        )

    async def _send(self, stream, connection, method, target, body, headers):
        fields = [("host", self._address), ("content-length", str(len(body))), *headers]
        data = connection.send(h11.Request(method=method, target=target, headers=fields))
        if body:
            data += connection.send(h11.Data(data=body))
        data += connection.send(h11.EndOfMessage())
        await stream.send_all(data)

    async def _receive(self, stream, connection):
        head = None
        parts = []
        size = 0
        while True:
            event = connection.next_event()
            if event is h11.NEED_DATA:
                connection.receive_data(await stream.receive_some(READ_BYTES))
            elif isinstance(event, h11.Response):
                head = event
            elif isinstance(event, h11.Data):
                parts.append(bytes(event.data))
                size += len(event.data)
                if size > MAX_BODY_BYTES:
                    raise TransportError("too_large", True)
            elif isinstance(event, h11.EndOfMessage):
                headers = {k.decode("latin-1"): v.decode("latin-1") for k, v in head.headers}
                return Response(head.status_code, headers, b"".join(parts))
            elif isinstance(event, h11.ConnectionClosed):
                raise TransportError("truncated", True)
