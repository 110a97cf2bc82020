"""Callers that go on using their open connections while an entry process shuts down."""

import h11
import trio

from ibiscart_entry.connection import readable
from tests.platform.deployment import API_KEY

__all__ = ["Caller"]

ANSWER_TIMEOUT_SECONDS = 6.0
READ_BYTES = 65536


class Caller:
    """One caller with one open connection to ``host:port``; requests at random intervals.

    ``violations`` has a text for each request that was sent whole on an open connection and got no
    answer. While ``connecting`` is set, a closed connection is replaced by a new one.
    """

    def __init__(self, host, port, rng, max_pause_seconds):
        self._address = host, port
        self._random = rng
        self._max_pause_seconds = max_pause_seconds
        self.connecting = True
        self.answered = 0
        self.violations = []

    async def run(self):
        """Sends requests until the connection is closed and may not be replaced."""
        while self.connecting:
            try:
                stream = await trio.open_tcp_stream(*self._address)
            except OSError:
                await trio.sleep(0.1)
                continue
            async with stream:
                await self._use(stream)

    async def _use(self, stream):
        """Sends requests on a connection until the server ends it."""
        connection = h11.Connection(h11.CLIENT)
        headers = [("host", self._address[0]), ("authorization", f"Bearer {API_KEY}")]
        headers += [("x-deadline-ms", "3000")]
        while True:
            await trio.sleep(self._random.uniform(0, self._max_pause_seconds))
            if readable(stream.socket):
                return
            data = connection.send(h11.Request(method="GET", target="/q/", headers=headers))
            data += connection.send(h11.EndOfMessage())
            try:
                await stream.send_all(data)
                with trio.fail_after(ANSWER_TIMEOUT_SECONDS):
                    ended = await self._receive(stream, connection)
            except (OSError, trio.BrokenResourceError, trio.TooSlowError) as error:
                self.violations.append(f"a request got no answer: {error!r}")
                return
            if ended:
                return
            connection.start_next_cycle()

    async def _receive(self, stream, connection):
        """Reads one answer; returns True if the connection ends with it."""
        status = None
        while True:
            event = connection.next_event()
            if event is h11.NEED_DATA:
                data = await stream.receive_some(READ_BYTES)
                if not data:
                    where = "before" if status is None else "within"
                    self.violations.append(f"the connection was closed {where} an answer")
                    return True
                connection.receive_data(data)
            elif isinstance(event, h11.Response):
                status = event.status_code
            elif isinstance(event, h11.EndOfMessage):
                self.answered += 1
                return connection.our_state is not h11.DONE or (
                    connection.their_state is not h11.DONE
                )
