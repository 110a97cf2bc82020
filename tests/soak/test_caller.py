"""Tests that a caller notices each request that gets no answer."""

import random
import unittest

import trio

from tests.soak.caller import Caller
from tests.standins.loopback import LOOPBACK

ANSWER = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n%s\r\n{}"
KEPT = ANSWER % b""
CLOSED = ANSWER % b"connection: close\r\n"


class CallerTest(unittest.TestCase):
    def call(self, *answers):
        """Runs a caller with one connection, whose server gives these answers and closes it."""

        async def serve(stream):
            self.caller.connecting = False
            for answer in answers:
                await stream.receive_some()
                await stream.send_all(answer)

        async def main():
            (listener,) = await trio.open_tcp_listeners(0, host=LOOPBACK)
            port = listener.socket.getsockname()[1]
            self.caller = Caller(LOOPBACK, port, random.Random(1), 0.01)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(trio.serve_listeners, serve, [listener])
                await self.caller.run()
                nursery.cancel_scope.cancel()

        trio.run(main)
        return len(self.caller.violations)

    def test_answers_are_counted(self):
        self.assertEqual(0, self.call(KEPT, KEPT, CLOSED))
        self.assertEqual(3, self.caller.answered)

    def test_close_instead_of_an_answer_is_a_violation(self):
        self.assertEqual(1, self.call(KEPT, b""))

    def test_close_within_an_answer_is_a_violation(self):
        self.assertEqual(1, self.call(KEPT, KEPT[:-1]))


if __name__ == "__main__":
    unittest.main()
