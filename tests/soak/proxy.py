"""A loopback proxy that delays, resets, cuts one way or silences connections."""

import socket
import struct

import trio

from tests.standins.loopback import LOOPBACK

__all__ = ["MODES", "FaultProxy"]

MODES = ("pass", "delay", "reset", "silent", "one_way")
DELAY_SECONDS = 0.2
READ_BYTES = 65536
RESET = struct.pack("ii", 1, 0)


class FaultProxy:
    """Forwards connections to ``target`` (a port on loopback) in the present ``mode``."""

    def __init__(self, target):
        self._target = target
        self.mode = "pass"
        self.port = 0

    async def run(self, task_status=trio.TASK_STATUS_IGNORED):
        """Serves until cancelled."""
        listeners = await trio.open_tcp_listeners(0, host=LOOPBACK)
        self.port = listeners[0].socket.getsockname()[1]
        async with trio.open_nursery() as nursery:
            task_status.started()
            await trio.serve_listeners(self._forward, listeners, handler_nursery=nursery)

    async def _forward(self, client):
        async with client:
            if self.mode == "reset":
                self._reset(client)
                return
            try:
                server = await trio.open_tcp_stream(LOOPBACK, self._target)
            except OSError:
                self._reset(client)
                return
            async with server, trio.open_nursery() as nursery:
                nursery.start_soon(self._pump, client, server, nursery, True)
                nursery.start_soon(self._pump, server, client, nursery, False)

    async def _pump(self, source, sink, nursery, to_server):
        try:
            while data := await source.receive_some(READ_BYTES):
                if self.mode == "reset":
                    self._reset(source if to_server else sink)
                    break
                if self.mode == "delay":
                    await trio.sleep(DELAY_SECONDS)
                if self.mode == "silent" or (self.mode == "one_way" and not to_server):
                    continue
                await sink.send_all(data)
        except (OSError, trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        nursery.cancel_scope.cancel()

    def _reset(self, stream):
        stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
