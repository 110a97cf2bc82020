"""TCP proxy on loopback that delays or resets connections, or drops their data."""

import socket
import struct

import trio

from tests.standins.loopback import LOOPBACK, free_ports

__all__ = ["LINGER_RESET", "MODES", "FaultProxy"]

MODES = ("pass", "delay", "reset", "silent", "one_way")
DELAY_SECONDS = 0.2
READ_BYTES = 65536
# SO_LINGER switched on with 0 s: closing the socket sends RST and leaves its port at once
LINGER_RESET = struct.pack("ii", 1, 0)


class FaultProxy:
    """Forwards connections to ``target_port`` of ``host``, with the faults of ``mode``.

    ``pass`` forwards all data, ``delay`` forwards each read after a delay, ``reset`` resets the
    connections, ``silent`` drops all data and ``one_way`` the data from the target. A change of
    ``mode`` also affects open connections.
    """

    def __init__(self, target_port, host=LOOPBACK):
        self._target_port = target_port
        self._host = host
        self.mode = "pass"
        self.port = 0

    async def run(self, task_status=trio.TASK_STATUS_IGNORED):
        """Accepts connections until cancelled."""
        (self.port,) = free_ports(1, self._host)
        listeners = await trio.open_tcp_listeners(self.port, host=self._host)
        async with trio.open_nursery() as nursery:
            task_status.started()
            await trio.serve_listeners(self._forward, listeners, handler_nursery=nursery)

    async def _forward(self, client):
        """Connects a client to the target and forwards data both ways until one side ends."""
        async with client:
            if self.mode == "reset":
                self._reset(client)
                return
            try:
                server = await self._connect()
            except OSError:
                self._reset(client)
                return
            async with server, trio.open_nursery() as nursery:
                nursery.start_soon(self._relay, client, server, nursery, True)
                nursery.start_soon(self._relay, server, client, nursery, False)

    async def _connect(self):
        """Returns a stream to the target whose local port stays free for a listener."""
        connection = trio.socket.socket()
        try:
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            await connection.connect((self._host, self._target_port))
        except BaseException:
            connection.close()
            raise
        return trio.SocketStream(connection)

    async def _relay(self, source, destination, nursery, to_server):
        """Forwards data in one direction; at its end cancels the other direction too."""
        try:
            while data := await source.receive_some(READ_BYTES):
                if self.mode == "reset":
                    self._reset(source if to_server else destination)
                    break
                if self.mode == "delay":
                    await trio.sleep(DELAY_SECONDS)
                if self.mode == "silent" or (self.mode == "one_way" and not to_server):
                    continue
                await destination.send_all(data)
        except (OSError, trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        nursery.cancel_scope.cancel()

    def _reset(self, stream):
        """Makes the later close of a stream send a TCP reset."""
        stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
