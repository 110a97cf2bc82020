"""Guards the server's connections against floods, callers that leave and broken bytes."""

import errno
import logging
import random
import unittest
from unittest import mock

import trio

from ibiscart_core.error import ErrorKind, IbiscartError
from ibiscart_entry.metric import Metrics
from ibiscart_entry.server import HttpServer, Response
from tests.entry.serving import (
    GET,
    LOOPBACK,
    Rig,
    ServerCase,
    echo,
    error_of,
    read_end,
    read_some,
    serving,
    settings,
)


class ServerConnectionTest(ServerCase):
    def test_connection_limit(self):
        """Connections over the limit get an answer; those within it go on unharmed."""

        async def case(rig):
            held = [await rig.connect() for _ in range(3)]
            await trio.sleep(0.05)
            answer = await rig.exchange(GET)
            self.assertTrue(answer.startswith(b"HTTP/1.1 503"), answer[:80])
            self.assertEqual(error_of(answer)["code"], "overloaded")
            for stream in held:
                await stream.send_all(GET)
                self.assertIn(b"GET /x 0", await read_some(stream))
                await stream.aclose()
            await trio.sleep(0.05)
            self.assertEqual(rig.server.connections, 0)

        self.run_case(case, max_connections=3)

    def test_connection_flood_is_bounded(self):
        """A flood must not open more connections than the limit and its allowance."""

        async def case(rig):
            streams = [await rig.connect() for _ in range(120)]
            highest = 0
            for _ in range(20):
                await trio.sleep(0.01)
                highest = max(highest, rig.server.connections)
            self.assertLessEqual(highest, 2 + 64 + 1)
            for stream in streams:
                await trio.aclose_forcefully(stream)
            await trio.sleep(0.1)

        self.run_case(case, max_connections=2)

    def test_caller_that_does_not_read_is_dropped(self):
        """An answer that nobody reads must not stay open for ever."""

        async def big(request):
            return Response(200, b"x" * (50_000_000 if request.path == "/big" else 1))

        async def case(rig):
            stream = await rig.connect()
            await stream.send_all(GET.replace(b"/x", b"/big"))
            await trio.sleep(0.1)
            self.assertEqual(rig.server.requests, 1)
            with trio.fail_after(3):
                await rig.server.wait_idle()
            await trio.aclose_forcefully(stream)

        self.run_case(case, big)

    def test_one_failing_handler_harms_no_other_connection(self):
        """An unforeseen exception must be answered and stay within its request."""

        async def handler(request):
            if request.path == "/fail":
                raise RuntimeError("unforeseen")
            if request.path == "/refuse":
                raise IbiscartError(ErrorKind.QUEUE_FULL, "full")
            if request.path == "/header":
                return Response(200, headers=[("x", "a\r\nb")])
            return Response(200, b"ok")

        async def case(rig):
            other = await rig.connect()
            await other.send_all(GET)
            await read_some(other)
            with self.assertLogs("ibiscart.server", logging.ERROR):
                stream = await rig.connect()
                await stream.send_all(GET.replace(b"/x", b"/fail"))
                self.assertIn(b'"internal"', await read_some(stream))
                await stream.send_all(GET.replace(b"/x", b"/refuse"))
                answer = await read_some(stream)
                self.assertIn(b"retry-after: 5", answer)
                await stream.aclose()
                answer = await rig.exchange(GET.replace(b"/x", b"/header"))
                self.assertTrue(answer.startswith(b"HTTP/1.1 500"), answer[:80])
            await other.send_all(GET)
            self.assertIn(b"ok", await read_some(other))
            await other.aclose()
            self.assertEqual(rig.kinds[:2], [ErrorKind.INTERNAL, ErrorKind.QUEUE_FULL])

        self.run_case(case, handler)

    def test_header_values_beyond_ascii(self):
        """Latin-1 bytes that an answer repeats must not break the connection."""

        async def handler(request):
            return Response(200, b"ok", request.headers.get("content-type", "text/plain"))

        async def case(rig):
            data = (
                b"GET /x HTTP/1.1\r\nhost: a\r\ncontent-type: t/\xe9\r\nconnection: close\r\n\r\n"
            )
            answer = await rig.exchange(data)
            self.assertIn(b"content-type: t/\xe9", answer)

        self.run_case(case, handler)

    def test_stop_accepting_serves_what_has_arrived(self):
        """Connections that wait in the backlog at the stop must be served (P7)."""

        async def main():
            async with serving() as rig:
                streams = []
                for _ in range(5):
                    stream = await rig.connect()
                    await stream.send_all(GET)
                    streams.append(stream)
                rig.server.stop_accepting()
                rig.server.close_idle()
                for stream in streams:
                    self.assertIn(b"GET /x 0", await read_end(stream))
                with trio.fail_after(3):
                    await rig.server.wait_closed()
                with self.assertRaises(OSError):
                    await rig.connect()

        trio.run(main)

    def test_handler_can_learn_that_the_caller_has_gone(self):
        """Long waits for callers that have gone must be able to end."""
        ended = []

        async def handler(request):
            if request.path == "/wait":
                await request.wait_closed()
                ended.append(trio.current_time())
            return Response(200)

        async def case(rig):
            stream = await rig.connect()
            await stream.send_all(GET.replace(b"/x", b"/wait"))
            await trio.sleep(0.1)
            self.assertEqual((ended, rig.server.requests), ([], 1))
            await stream.aclose()
            await trio.sleep(0.1)
            self.assertEqual((len(ended), rig.server.requests), (1, 0))

        self.run_case(case, handler)

    def test_server_goes_on_after_errors_of_accept(self):
        """Too many open files, or an error of one connection, must not end the process."""

        async def case(rig):
            original = trio.SocketListener.accept
            numbers = (errno.EMFILE, errno.ENFILE, errno.EPERM, errno.ENETDOWN, errno.EIO)
            failures = [OSError(number, "x") for number in numbers]

            async def accept(listener):
                await trio.lowlevel.checkpoint()
                if failures:
                    raise failures.pop()
                return await original(listener)

            with mock.patch.object(trio.SocketListener, "accept", accept):
                with self.assertLogs("ibiscart.server", logging.ERROR):
                    self.assertTrue(await rig.healthy())
                    self.assertTrue(await rig.healthy())
                    self.assertTrue(await rig.healthy())
            self.assertEqual(failures, [])

        self.run_case(case)

    def test_error_beside_a_cancellation_does_not_escape_the_server(self):
        async def fail_when_cancelled():
            try:
                await trio.sleep_forever()
            finally:
                raise ValueError("odd")

        async def handler(request):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(fail_when_cancelled)
                await trio.sleep_forever()

        async def main():
            async with trio.open_nursery() as nursery:
                server = HttpServer(handler, settings())
                port = await nursery.start(server.serve)
                stream = await trio.open_tcp_stream(LOOPBACK, port)
                await stream.send_all(GET)
                while not server.requests:
                    await trio.sleep(0.01)
                nursery.cancel_scope.cancel()
            await stream.aclose()

        with self.assertLogs("ibiscart.server", logging.ERROR):
            trio.run(main)

    def test_mutated_requests(self):
        """Damage at any byte must end in an answer or a closed connection, and nothing else."""
        generator = random.Random(11)
        good = (
            b"POST /x?a=1 HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n"
            b"3\r\nabc\r\n0\r\n\r\n",
            b"POST /x HTTP/1.1\r\nhost: a\r\ncontent-length: 3\r\nconnection: close\r\n\r\nabc",
        )

        async def case(rig):
            async def send(data):
                stream = await rig.connect()
                try:
                    await stream.send_all(data)
                    await stream.send_eof()
                    answer = await read_end(stream)
                    if answer:
                        self.assertRegex(answer, rb"^HTTP/1.1 (100|[245]\d\d) ")
                except trio.BrokenResourceError:
                    pass
                finally:
                    await trio.aclose_forcefully(stream)

            for _ in range(60):
                async with trio.open_nursery() as nursery:
                    for _ in range(5):
                        data = bytearray(generator.choice(good))
                        for _ in range(generator.randint(1, 4)):
                            place = generator.randrange(len(data))
                            data[place : place + generator.randint(0, 3)] = generator.randbytes(
                                generator.randint(0, 3)
                            )
                        nursery.start_soon(send, bytes(data))
            await trio.sleep(0.05)
            self.assertEqual(rig.server._buffered, 0)

        with self.assertNoLogs("ibiscart.server", logging.ERROR):
            self.run_case(case)

    def test_bad_connections_do_not_harm_good_ones(self):
        """Stalled, broken and flooding callers must not delay or cut the others."""
        head = b"POST /x HTTP/1.1\r\nhost: a\r\ncontent-length: "

        async def bad(rig, data, end):
            while trio.current_time() < end:
                stream = await rig.connect()
                try:
                    await stream.send_all(data)
                    # stalled callers stay beyond the end of the good ones
                    with trio.move_on_after(3):
                        await read_end(stream)
                except trio.BrokenResourceError:
                    pass
                await trio.aclose_forcefully(stream)

        async def case(rig):
            answered = []

            async def good():
                stream = await rig.connect()
                while trio.current_time() < end:
                    start = trio.current_time()
                    await stream.send_all(head + b"3\r\n\r\nabc")
                    self.assertIn(b"POST /x 3", await read_some(stream))
                    answered.append(trio.current_time() - start)
                    await trio.sleep(0.01)
                await stream.aclose()

            end = trio.current_time() + 1.5
            async with trio.open_nursery() as nursery:
                for _ in range(5):
                    nursery.start_soon(good)
                for data in (
                    b"GET /",
                    head + b"9999999\r\n\r\n",
                    head + b"9\r\n\r\n1",
                    b"\x00" * 999,
                ):
                    for _ in range(4):
                        nursery.start_soon(bad, rig, data, end)
            self.assertGreater(len(answered), 100)
            self.assertLess(max(answered), 1)

        self.run_case(case, max_connections=40, header_timeout_seconds=2, body_timeout_seconds=2)

    def test_answers_without_the_handler_carry_headers(self):
        """Refusals by the server itself need the request id and sequence too (P3)."""

        async def main():
            headers = [("x-request-id", "r1"), ("x-journal-sequence", "7")]
            server = HttpServer(echo, settings(), answer_headers=lambda: headers)
            async with trio.open_nursery() as nursery:
                port = await nursery.start(server.serve)
                answer = await Rig(server, port, []).exchange(b"garbage\r\n\r\n")
                for text in (b"x-request-id: r1", b"x-journal-sequence: 7", b"x-ibiscart-error: "):
                    self.assertIn(text, answer)
                nursery.cancel_scope.cancel()

        trio.run(main)

    def test_counted_bytes_include_heads(self):
        """Refused and malformed requests cost the network as much as answered ones."""

        async def main():
            metrics = Metrics()
            server = HttpServer(echo, settings(), traffic=metrics.traffic("peers"))
            sent = received = 0
            async with trio.open_nursery() as nursery:
                rig = Rig(server, await nursery.start(server.serve), [])
                closing = GET.replace(b"host: a", b"host: a\r\nconnection: close")
                for data in (closing, b"garbage\r\n\r\n"):
                    received += len(await rig.exchange(data))
                    sent += len(data)
                nursery.cancel_scope.cancel()
            self.assertEqual(metrics.value("wire_bytes_received", "peers"), sent)
            self.assertEqual(metrics.value("wire_bytes_sent", "peers"), received)

        trio.run(main)

    def test_several_waiters_are_woken(self):
        """A second waiter must not replace the event of the first."""

        async def main():
            async with serving() as rig:
                stream = await rig.connect()
                await trio.sleep(0.05)
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(rig.server.wait_closed)
                    nursery.start_soon(rig.server.wait_closed)
                    await trio.sleep(0.05)
                    await stream.aclose()

        trio.run(main)


if __name__ == "__main__":
    unittest.main()
