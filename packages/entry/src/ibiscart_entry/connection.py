"""
ibiscart_entry.connection
~~~~~~~~~~~~~~~~~~~~~~~~~

Server side of one HTTP/1.1 connection.
"""

import select

import h11
import trio

from ibiscart_entry.metric import Traffic

__all__ = ["MAX_HEADER_BYTES", "Connection", "readable"]

READ_BYTES = 65536
MAX_HEADER_BYTES = 32 * 1024
# unread input is discarded for so long after the last answer: closing a socket with unread
# input resets the connection, and the caller may lose the answer
LINGER_SECONDS = 1.0
BODILESS_STATUS = frozenset({204, 304})
# set by the server itself
OWN_HEADERS = frozenset({"connection", "content-length", "content-type", "transfer-encoding"})


class Connection:
    """An accepted stream with its h11 state; ``send_timeout`` is in seconds per answer.

    ``traffic`` is the ``Traffic`` to which its bytes are added.
    """

    def __init__(self, stream, send_timeout, traffic=None):
        self._stream = stream
        self._send_timeout = send_timeout
        self._traffic = Traffic() if traffic is None else traffic
        self._h11 = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_HEADER_BYTES)

    @property
    def has_data(self):
        """Whether bytes of a request have arrived."""
        return bool(self._h11.trailing_data[0])

    @property
    def readable(self):
        """Whether the socket holds bytes or its end."""
        return readable(self._stream.socket)

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
            self._h11.receive_data(await self._read())

    async def wait_closed(self):
        """Waits until the caller has ended its side; for ever after bytes that came early."""
        await trio.lowlevel.wait_readable(self._stream.socket)
        try:
            data = await self._stream.socket.recv(1, trio.socket.MSG_PEEK)
        except OSError:
            return
        if data:
            await trio.sleep_forever()

    async def is_closed(self):
        """Returns True if the caller has ended its side; bytes that came early hide that."""
        if not self.readable:
            return False
        try:
            return not await self._stream.socket.recv(1, trio.socket.MSG_PEEK)
        except OSError:
            return True

    async def next_event(self):
        """Returns the next h11 event."""
        while True:
            event = self._h11.next_event()
            if event is not h11.NEED_DATA:
                return event
            if self._h11.they_are_waiting_for_100_continue:
                go_ahead = h11.InformationalResponse(status_code=100, headers=[])
                await self._write(self._h11.send(go_ahead))
            self._h11.receive_data(await self._read())

    async def respond(self, response, close, head_only=False):
        """Sends a whole response; raises ``trio.TooSlowError`` when the caller does not read."""
        body = b"" if head_only or response.status in BODILESS_STATUS else response.body
        headers = [
            ("content-type", response.content_type),
            ("content-length", str(len(response.body))),
            *(pair for pair in response.headers if pair[0].lower() not in OWN_HEADERS),
        ]
        if response.status == 204:
            del headers[1]
        if close:
            headers.append(("connection", "close"))
        # callers may send header values beyond ASCII, which answers repeat
        fields = [(name, str(value).encode("latin-1", "replace")) for name, value in headers]
        data = self._h11.send(h11.Response(status_code=response.status, headers=fields))
        if body:
            data += self._h11.send(h11.Data(data=body))
        data += self._h11.send(h11.EndOfMessage())
        with trio.fail_after(self._send_timeout):
            await self._write(data)

    def next_cycle(self):
        """Prepares for the next request; returns False when the connection must close."""
        if self._h11.our_state is not h11.DONE or self._h11.their_state is not h11.DONE:
            return False
        self._h11.start_next_cycle()
        return True

    async def linger(self):
        """Ends the sent side and discards input for a bounded time."""
        with trio.move_on_after(LINGER_SECONDS):
            await self._stream.send_eof()
            while await self._read():
                pass

    async def _read(self):
        data = await self._stream.receive_some(READ_BYTES)
        self._traffic.add_received(len(data))
        return data

    async def _write(self, data):
        await self._stream.send_all(data)
        self._traffic.add_sent(len(data))


def readable(socket):
    """Tells whether a socket holds bytes, its end or a waiting connection."""
    # poll, since select refuses file numbers above 1023
    poll = select.poll()
    poll.register(socket.fileno(), select.POLLIN)
    return bool(poll.poll(0))
