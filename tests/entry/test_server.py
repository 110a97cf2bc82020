"""Guards the server against callers that break, flood or hold up connections."""

import unittest

import trio

from ibiscart_entry.server import Response
from tests.entry.serving import (
    GET,
    ServerCase,
    error_of,
    read_end,
    read_some,
)


class ServerTest(ServerCase):
    def test_callers_of_other_processes_do_not_reach_the_server(self):
        """One call of another test, sent to a port that was free before, held a case open."""

        async def case(rig):
            with self.assertRaises(OSError):
                await trio.open_tcp_stream("127.0.0.1", rig.port)

        self.run_case(case)

    def test_request_of_a_caller_that_has_left_is_known_as_such(self):
        """The log did not tell whether anybody had received an answer."""
        left = []

        async def handle(request):
            if len(left) == 1:
                await request.wait_closed()
            left.append(await request.is_closed())
            return Response(200)

        async def case(rig):
            stream = await rig.connect()
            await stream.send_all(GET)
            await read_some(stream)
            await stream.send_all(GET)
            await stream.send_eof()
            await read_end(stream)
            self.assertEqual([False, True], left[:2])

        self.run_case(case, handle)

    def test_oversized_body_is_refused_with_a_readable_answer(self):
        """A reset by unread input must not hide the refusal."""

        async def case(rig):
            stream = await rig.connect()
            head = b"POST /x HTTP/1.1\r\nhost: a\r\ncontent-length: 3000000\r\n\r\n"
            await stream.send_all(head)
            with trio.move_on_after(2):
                try:
                    for _ in range(30):
                        await stream.send_all(b"x" * 100_000)
                except trio.BrokenResourceError:
                    pass
            answer = await read_end(stream)
            await stream.aclose()
            self.assertTrue(answer.startswith(b"HTTP/1.1 413"), answer[:80])
            error = error_of(answer)
            self.assertEqual(
                (error["code"], error["ran"], error["bound"]),
                ("body_too_large", "no", "4096 bytes"),
            )

        self.run_case(case)

    def test_oversized_chunked_body_is_refused(self):
        """A body without a stated length must meet the same bound."""

        async def case(rig):
            chunk = b"1000\r\n" + b"x" * 4096 + b"\r\n"
            head = b"POST /x HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n"
            answer = await rig.exchange(head + chunk * 3)
            self.assertTrue(answer.startswith(b"HTTP/1.1 413"), answer[:80])

        self.run_case(case)

    def test_bodies_of_all_requests_are_bounded_together(self):
        """Many allowed bodies at once must not exhaust the memory."""

        async def case(rig):
            rig.server._most_buffered = 6000
            first = await rig.connect()
            head = b"POST /x HTTP/1.1\r\nhost: a\r\ncontent-length: 4096\r\n\r\n"
            await first.send_all(head + b"x" * 4000)
            await trio.sleep(0.05)
            answer = await rig.exchange(head + b"x" * 4096)
            self.assertTrue(answer.startswith(b"HTTP/1.1 503"), answer[:80])
            await first.send_all(b"x" * 96)
            self.assertIn(b"POST /x 4096", await read_some(first))
            await first.aclose()
            self.assertEqual(rig.server._buffered, 0)

        self.run_case(case)

    def test_slow_header_and_slow_body_time_out(self):
        """A caller that stalls must not hold a slot for ever."""

        async def case(rig):
            for data, part in (
                (b"GET /x HT", "header"),
                (b"POST /x HTTP/1.1\r\nhost: a\r\ncontent-length: 9\r\n\r\n123", "body"),
            ):
                answer = await rig.exchange(data)
                self.assertTrue(answer.startswith(b"HTTP/1.1 408"), answer[:80])
                self.assertEqual(error_of(answer)["field"], part)

        self.run_case(case)

    def test_trickled_header_does_not_extend_its_time(self):
        """Single bytes must not start the time anew."""

        async def case(rig):
            stream = await rig.connect()
            start = trio.current_time()
            try:
                for byte in GET * 10:
                    await stream.send_all(bytes([byte]))
                    await trio.sleep(0.05)
                    if trio.current_time() - start > 1:
                        break
            except trio.BrokenResourceError:
                pass
            answer = await read_end(stream)
            await stream.aclose()
            self.assertTrue(answer.startswith(b"HTTP/1.1 408"), answer[:80])

        self.run_case(case)

    def test_malformed_requests_get_400_and_a_closed_connection(self):
        """Garbage must neither crash the process nor leave the caller without an answer."""
        cases = (
            b"\x00\x01\x02garbage\r\n\r\n",
            b"GET\r\n\r\n",
            b"GET /x HTTP/9.9\r\n\r\n",
            b"GET /x HTTP/1.1\r\n\r\n",
            b"GET /x HTTP/1.1\r\nhost: a\r\nbad header\r\n\r\n",
            b"GET /x HTTP/1.1\r\nhost: a\r\ncontent-length: -1\r\n\r\n",
            b"GET /x HTTP/1.1\r\nhost: a\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\n",
            b"POST /x HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n",
            b"POST /x HTTP/1.1\r\nhost: a\r\ntransfer-encoding: gzip\r\n\r\n",
            b"GET //[ HTTP/1.1\r\nhost: a\r\n\r\n",
            b"GET /x?"
            + b"&".join(b"a%d=1" % n for n in range(40))
            + b" HTTP/1.1\r\nhost: a\r\n\r\n",
            b"GET /x?dry_run=1&dry_run=0 HTTP/1.1\r\nhost: a\r\n\r\n",
            b"GET /x HTTP/1.1\r\nhost: a\r\nx: " + b"y" * 70_000 + b"\r\n\r\n",
            b"GET /x HTTP/1.1\r\nhost: a\r\n" + b"a: b\r\n" * 12_000,
        )

        async def case(rig):
            for data in cases:
                answer = await rig.exchange(data)
                status = answer.split(b"\r\n")[0]
                # h11 states 501 for unknown transfer codings; the closed table has 400
                self.assertTrue(status.startswith(b"HTTP/1.1 400"), (data[:60], answer[:80]))
                self.assertIn(b"connection: close", answer.lower())
                self.assertEqual(error_of(answer)["ran"], "no")

        self.run_case(case)

    def test_truncated_request_frees_its_slot(self):
        """A caller that leaves in the middle must not be counted for ever."""

        async def case(rig):
            for data in (b"GET /x", b"POST /x HTTP/1.1\r\nhost: a\r\ncontent-length: 9\r\n\r\n12"):
                stream = await rig.connect()
                await stream.send_all(data)
                await stream.aclose()
            await trio.sleep(0.1)
            self.assertEqual(rig.server.requests, 0)

        self.run_case(case)

    def test_pipelined_requests_are_answered_in_order(self):
        """Bytes of the next request must not be lost or mixed into the first."""

        async def case(rig):
            first = b"POST /1 HTTP/1.1\r\nhost: a\r\ncontent-length: 3\r\n\r\nabc"
            last = b"GET /3 HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n"
            answer = await rig.exchange(first + GET.replace(b"/x", b"/2") + last)
            places = [answer.find(text) for text in (b"POST /1 3", b"GET /2 0", b"GET /3 0")]
            self.assertEqual(places, sorted(places))
            self.assertNotIn(-1, places)

        self.run_case(case)

    def test_head_has_no_body(self):
        """Load balancers probe with HEAD; a body would be taken for the next answer."""

        async def case(rig):
            request = b"HEAD /x HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n"
            answer = await rig.exchange(request)
            self.assertTrue(answer.startswith(b"HTTP/1.1 200"), answer[:80])
            self.assertTrue(answer.endswith(b"\r\n\r\n"))

        self.run_case(case)

    def test_expect_continue(self):
        """Callers that wait for 100 must be asked for the body."""

        async def case(rig):
            stream = await rig.connect()
            head = (
                b"POST /x HTTP/1.1\r\nhost: a\r\ncontent-length: 2\r\nexpect: 100-continue\r\n\r\n"
            )
            await stream.send_all(head)
            self.assertTrue((await read_some(stream)).startswith(b"HTTP/1.1 100"))
            await stream.send_all(b"ok")
            self.assertIn(b"POST /x 2", await read_some(stream))
            await stream.aclose()

        self.run_case(case)


if __name__ == "__main__":
    unittest.main()
