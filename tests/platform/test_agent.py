"""Tests of decoding what a worker answers."""

import json
import math
import tracemalloc
import unittest
from unittest import mock

import trio

from ibiscart_core.workflow.report import StartResult
from ibiscart_core.workflow.unit import EndCause
from ibiscart_entry.client import Response
from ibiscart_entry.coordination.agent import AgentError
from ibiscart_platform import agent
from ibiscart_platform.agent import PlatformAgent

HUGE = 10**399
RUN = ["00000000000000a1.0.0.0", 1, "", 100]
END = [1, "00000000000000a1.0.0.1", 1, "done", ""]


class _Client:
    """Answers each request with the same JSON document or bytes."""

    def __init__(self, document, status=200):
        body = document if isinstance(document, bytes) else json.dumps(document).encode()
        self._response = Response(status, {}, body)

    async def request(self, method, target, **options):
        return self._response


def call(name, arguments, document, status=200):
    """Returns the result of a call to a worker that answers with ``document``."""
    client = _Client(document, status)
    return trio.run(getattr(PlatformAgent(client, client, "w0"), name), *arguments)


def poll(document, status=200):
    """Returns the ``WorkerStatus`` of a worker that answers a poll with ``document``."""
    return call("poll", (1, 0, None, 0.0), document, status)


def answer(running=(), ended=(), clock_ms=5, **fields):
    """Returns a worker's answer to a poll."""
    return {"clockMs": clock_ms, "running": running, "endedRuns": ended, "born": 1, **fields}


class AgentTest(unittest.TestCase):
    def test_refusal_with_an_unhashable_reason_is_an_error_of_the_call(self):
        for reason in ([], {}, [[]], HUGE, None, True, "x" * 5000):
            for status in (409, 421, 500):
                with self.subTest(reason=str(reason)[:9], status=status):
                    with self.assertRaises(AgentError) as caught:
                        poll({"clockMs": 1, "reason": reason}, status)
                    self.assertEqual(f"status_{status}", caught.exception.reason)
                    self.assertFalse(caught.exception.fenced)
        with self.assertRaises(AgentError) as caught:
            poll({"clockMs": 1, "reason": "fence"}, 409)
        self.assertTrue(caught.exception.fenced)

    def test_clock_that_no_deadline_can_count_from_is_malformed(self):
        for clock_ms in (HUGE, -1, True, 0.5, math.nan, math.inf, 1e308, "5", None, []):
            with self.subTest(clock_ms=str(clock_ms)[:9]):
                with self.assertRaises(AgentError) as caught:
                    poll(answer(clock_ms=clock_ms))
                self.assertEqual("malformed", caught.exception.reason)
                start = call("start", (1, ("a", 0, 0, 0), 1, "", "", 5), {"clockMs": clock_ms})
                self.assertEqual((StartResult.STARTED, None), start)

    def test_answer_of_another_form_is_malformed(self):
        documents = [b"", b"[" * 100_000, b"1" * 5000, b"\xff", [], None, {}]
        documents += [answer(born=born) for born in (HUGE, True, "1", -1)]
        documents += [answer(running=7), answer(ended={}), answer(running=None)]
        for document in documents:
            with self.subTest(document=str(document)[:20]):
                with self.assertRaises(AgentError) as caught:
                    poll(document)
                self.assertEqual("malformed", caught.exception.reason)

    def test_row_that_names_no_run_is_left_out(self):
        """A run that is not on record is stopped by its name, which must survive the way back."""
        names = [5, None, [], "a", "a.0.0", "a.0.0.0.0", "a.-1.0.0", "a.0.x.0", "\ud800.0.0.0"]
        names += [
            f"a.{10**18}.0.0",
            "a." + "1" * 5000 + ".0.0",
            "a.0.0.\u0661",
            "a.0.0.1_0",
            ".0.0.0",
        ]
        rows = [[name, 1, "", 100] for name in names]
        rows += [[RUN[0], run, "", 100] for run in (HUGE, -1, True, None, [], 0.5, math.nan)]
        rows += [[], 5, None, {}, [RUN[0]]]
        ends = [[1, *row[:2], "done", ""] if isinstance(row, list) else row for row in rows]
        ends += [[n, *END[1:]] for n in (HUGE, -1, True, None, [])]
        ends += [[*END[:3], cause, ""] for cause in ([], {}, "later", None)]
        for row in rows:
            with self.subTest(row=ascii(row)[:60]):
                self.assertEqual((), poll(answer([row])).running)
        for row in ends:
            with self.subTest(row=ascii(row)[:60]):
                self.assertEqual((), poll(answer(ended=[row])).ended)
        status = poll(answer([RUN, *rows], [END, *ends]))
        self.assertEqual((1, 1), (len(status.running), len(status.ended)))

    def test_worker_with_very_many_small_tasks_is_read(self):
        rows = [[f"{number:016x}.0.0.0", 1, "", 100] for number in range(50_000)]
        self.assertEqual(50_000, len(poll(answer(rows)).running))

    def test_answer_of_millions_of_short_values_is_not_parsed(self):
        """Guards against a leader that takes 30 times the bytes of a worker's answer in memory."""
        for item in (b"[]", b"{}", b"1e9", b'""'):
            body = (
                b'{"clockMs":5,"endedRuns":[],"running":[' + b",".join([item] * 4_000_000) + b"]}"
            )
            tracemalloc.start()
            try:
                with self.subTest(item=item), self.assertRaises(AgentError) as caught:
                    poll(body)
                self.assertEqual("malformed", caught.exception.reason)
                self.assertLess(tracemalloc.get_traced_memory()[1], len(body))
            finally:
                tracemalloc.stop()

    def test_answer_of_too_many_bytes_is_not_read(self):
        async def serve(stream):
            await stream.receive_some(65536)
            await stream.send_all(b"HTTP/1.1 200 OK\r\ncontent-length: 3000\r\n\r\n" + b" " * 3000)

        async def main():
            async with trio.open_nursery() as nursery:
                (listener,) = await nursery.start(
                    lambda task_status: trio.serve_tcp(
                        serve, 0, host="127.0.0.1", task_status=task_status
                    )
                )
                address = f"127.0.0.1:{listener.socket.getsockname()[1]}"
                with mock.patch.object(agent, "MAX_ANSWER_BYTES", 1000):
                    worker = PlatformAgent.from_address(address, "w0")
                for call_worker in (worker.read_status(1), worker.poll(1, 0, None, 0.0)):
                    with self.assertRaises(AgentError) as caught:
                        await call_worker
                    self.assertEqual("too_large", caught.exception.reason)
                await worker.aclose()
                nursery.cancel_scope.cancel()

        trio.run(main)

    def test_run_with_an_odd_checkpoint_stays_listed(self):
        """A run that is missing from the list counts as ended and would run a second time."""
        for checkpoint in ([], {}, None, 5, HUGE, "\ud800", "x" * 1_500_000):
            with self.subTest(checkpoint=str(type(checkpoint))):
                status = poll(
                    answer([[*RUN[:2], checkpoint, HUGE]], [[*END[:4], checkpoint, [], {}]])
                )
                (run,), (end,) = status.running, status.ended
                self.assertEqual((1, ""), (run.run, run.checkpoint))
                self.assertEqual((EndCause.DONE, ""), (end.cause, end.checkpoint))
        self.assertEqual(1, len(poll(answer([RUN[:2]])).running))
        self.assertEqual("ab", poll(answer([[*RUN[:2], "ab", 100]])).running[0].checkpoint)


if __name__ == "__main__":
    unittest.main()
