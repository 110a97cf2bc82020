"""Guards the API against wrong answers, unclear refusals and stale decisions."""

import json
import unittest

import trio
import trio.testing

from ibiscart_core.error import ErrorKind, IbiscartError
from ibiscart_entry.server import Request
from ibiscart_schema.generated.peer_pb2 import Command
from tests.entry.api_fakes import (
    CALLER,
    CONTRACT,
    OPERATOR,
    SHAPE,
    ApiCase,
)


class ApiTest(ApiCase):
    # every answer
    def test_every_answer_carries_id_and_sequence(self):
        """A caller must be able to match an answer and an operator to find its log (P3)."""

        async def case():
            for method, target, key in (
                ("GET", "/live", None),
                ("GET", "/v1/status", OPERATOR),
                ("GET", "/v1/status", None),
                ("GET", "/nowhere", None),
                ("PATCH", "/v1/status", OPERATOR),
                ("POST", "/v1/accounts/reports/requests/r1", CALLER),
                ("POST", "/v1/accounts/reports/jobs", CALLER),
            ):
                response = await self.call(method, target, key=key)
                names = [name.lower() for name, _ in response.headers]
                self.assertEqual(names.count("x-request-id"), 1, target)
                self.assertEqual(names.count("x-journal-sequence"), 1, target)
            response = await self.call("GET", "/live", key=None, x_request_id="my-id")
            self.assertEqual(dict(response.headers)["x-request-id"], "my-id")
            self.assertEqual(json.loads(response.body)["request_id"], "my-id")

        self.run_case(case)

    def test_unforeseen_exception_is_answered(self):
        """A fault in one handler must not cut the connection."""

        async def case():
            self.writer.error = RuntimeError("unforeseen")
            with self.assertLogs("ibiscart.api", "ERROR"):
                error = self.refusal(await self.submit(), "internal")
            self.assertEqual(error["ran"], "maybe")

        self.run_case(case)

    def test_bad_input_is_named(self):
        """Each mistake gets one error with field, value and bound, and nothing is decided."""
        jobs = "/v1/accounts/reports/jobs"
        job = {"request_id": "j1", "shape": SHAPE}
        cases = (
            ("POST", jobs, b"{", "bad_request", "body"),
            ("POST", jobs, b"\xff", "bad_request", "body"),
            ("POST", jobs, [], "bad_request", "body"),
            ("POST", jobs, {"shape": SHAPE}, "bad_field", "request_id"),
            ("POST", jobs, {**job, "request_id": "a b"}, "bad_field", "request_id"),
            ("POST", jobs, {**job, "account": "other"}, "bad_field", "account"),
            ("POST", jobs, {**job, "colour": 1}, "bad_field", "colour"),
            ("POST", jobs, {**job, "body_sha256": "aa"}, "bad_field", "body_sha256"),
            ("POST", jobs, {**job, "declared_seconds": -1}, "bad_field", "declared_seconds"),
            (
                "POST",
                jobs,
                {**job, "shape": {"members": 1, "member": {}}},
                "bad_field",
                "shape.member",
            ),
            ("POST", jobs + "?dry_run=1", job, "bad_field", "dry_run"),
            ("GET", jobs + "?limit=0", b"", "bad_field", "limit"),
            ("GET", jobs + "?state=x", b"", "bad_field", "state"),
            ("GET", jobs + "/j1?wait=61", b"", "bad_field", "wait"),
            ("GET", jobs + "/j1?wait=", b"", "bad_field", "wait"),
            ("GET", jobs + "/a%20b", b"", "bad_field", "id"),
            ("POST", "/v1/accounts/reports/requests/r1?kind=A", b"", "bad_field", "kind"),
            (
                "POST",
                "/v1/accounts/reports/requests/r1?repeatable=no",
                b"",
                "bad_field",
                "repeatable",
            ),
            ("PUT", "/v1/contracts/reports", CONTRACT, "bad_field", "expected"),
            ("PUT", "/v1/contracts/reports?expected=-1", CONTRACT, "bad_field", "expected"),
            ("PUT", "/v1/contracts/reports?expected=1&dryrun=1", CONTRACT, "bad_field", "dryrun"),
            ("PUT", "/v1/contracts/reports?expected=1&dry_run=", CONTRACT, "bad_field", "dry_run"),
            ("PUT", "/v1/contracts/Reports?expected=0", CONTRACT, "bad_field", "account"),
            (
                "PUT",
                "/v1/contracts/reports?expected=1",
                {"guarantees": CONTRACT["guarantees"] * 2},
                "bad_field",
                "guarantees[1].name",
            ),
            ("DELETE", "/v1/contracts/reports", b"", "bad_field", "expected"),
            ("GET", "/v1/unknown", b"", "not_found", "path"),
            ("PUT", jobs, job, "method_not_allowed", "method"),
        )

        async def case():
            before = self.journal.sequence
            for method, target, body, kind, field in cases:
                with self.subTest(target=target, body=body):
                    error = self.refusal(await self.call(method, target, body), kind)
                    self.assertEqual((error["field"], error["ran"]), (field, "no"))
            self.assertEqual(self.journal.sequence, before)
            self.assertEqual(self.dispatcher.calls, [])

        self.run_case(case)

    def test_all_problems_of_a_body_are_listed(self):
        """A caller must not mend a body one error at a time."""

        async def case():
            response = await self.submit(kind="A B", declared_seconds="x", payload=1)
            self.assertEqual(len(self.refusal(response, "bad_field")["details"]), 3)

        self.run_case(case)

    def test_refusals_are_counted_and_tell_when_to_retry(self):
        """Callers need the time to wait, operators the reasons."""

        async def case():
            self.writer.error = IbiscartError(ErrorKind.QUEUE_FULL, "full")
            response = await self.submit()
            self.assertEqual(response.status, 429)
            self.assertEqual(dict(response.headers)["retry-after"], "5")
            error = self.refusal(response, "queue_full")
            self.assertEqual((error["retryable"], error["ran"]), (True, "no"))
            self.assertEqual(self.metrics.value("refusals", "queue_full"), 1)

        self.run_case(case)

    # access
    def test_access(self):
        """Each path needs the right key; probes need none."""

        async def case():
            for method, target, key, status in (
                ("GET", "/v1/status", CALLER, 403),
                ("GET", "/v1/contracts", CALLER, 403),
                ("PUT", "/v1/contracts/reports?expected=1", CALLER, 403),
                ("DELETE", "/v1/contracts/reports?expected=1", CALLER, 403),
                ("GET", "/v1/contracts/reports", CALLER, 200),
                ("GET", "/v1/accounts/reports/jobs", CALLER, 200),
                ("GET", "/v1/accounts/reports/jobs", OPERATOR, 200),
                ("GET", "/v1/accounts/other/jobs", CALLER, 403),
                ("GET", "/v1/accounts/other/jobs", OPERATOR, 404),
                ("GET", "/v1/accounts/other/jobs", "unknown", 401),
                ("GET", "/v1/status", None, 401),
                ("GET", "/metrics", None, 200),
                ("HEAD", "/ready", None, 200),
            ):
                response = await self.call(method, target, key=key)
                self.assertEqual(response.status, status, (target, key, response.body))

        self.run_case(case)

    # jobs
    def test_same_id_same_body_same_answer(self):
        """A resend must not run the work twice (P5), whatever the order of its fields."""

        async def case():
            first = await self.submit(declared_seconds=5)
            self.assertEqual(first.status, 202, first.body)
            before = self.journal.sequence
            body = b'{"declared_seconds":5,  "shape":{"member":{"accelerators":1},"members":1},'
            body += b'"request_id":"j1"}'
            second = await self.call("POST", "/v1/accounts/reports/jobs", body, CALLER)
            jobs = [json.loads(r.body)["job"] for r in (first, second)]
            self.assertEqual(jobs[0]["submitted_us"], jobs[1]["submitted_us"])
            self.assertEqual(jobs[0]["request_id"], jobs[1]["request_id"])
            self.assertEqual(self.journal.sequence, before)
            other = await self.submit(declared_seconds=6)
            error = self.refusal(other, "id_reused")
            self.assertEqual((other.status, error["field"]), (409, "request_id"))

        self.run_case(case)

    def test_get_list_cancel_and_explain(self):
        """Callers follow their jobs by these paths."""

        async def case():
            for request_id in ("b", "a", "c"):
                await self.submit(request_id)
            jobs = "/v1/accounts/reports/jobs"
            got = json.loads((await self.call("GET", jobs + "/a", key=CALLER)).body)["job"]
            self.assertEqual((got["request_id"], got["kind"], got["ran"]), ("a", "default", "no"))
            self.assertNotIn("outcome", got)
            listed = json.loads((await self.call("GET", jobs + "?limit=2", key=CALLER)).body)
            self.assertEqual([job["request_id"] for job in listed["jobs"]], ["a", "b"])
            self.assertTrue(listed["more"])
            rest = json.loads((await self.call("GET", jobs + "?after=b", key=CALLER)).body)
            self.assertEqual([job["request_id"] for job in rest["jobs"]], ["c"])
            self.assertFalse(rest["more"])
            response = await self.call("GET", jobs + "/a/explain", key=CALLER)
            self.assertTrue(json.loads(response.body)["explanation"]["lines"])
            response = await self.call("DELETE", jobs + "/a", key=CALLER)
            self.assertIn(json.loads(response.body)["job"]["state"], ("stopping", "ended"))
            missing = await self.call("GET", jobs + "/z", key=CALLER)
            self.refusal(missing, "not_found")
            self.refusal(await self.call("DELETE", jobs + "/z", key=CALLER), "not_found")

        self.run_case(case)

    def test_long_poll_returns_at_the_change(self):
        """A watcher must see the change at once, not at the end of its wait."""

        async def case():
            await self.submit()
            seen = []

            async def watch():
                start = trio.current_time()
                target = "/v1/accounts/reports/jobs/j1?wait=60"
                job = json.loads((await self.call("GET", target, key=CALLER)).body)["job"]
                seen.append((trio.current_time() - start, job["state"]))

            async with trio.open_nursery() as nursery:
                nursery.start_soon(watch)
                await trio.sleep(10)
                held = {"job": {"account": "reports", "request_id": "j1"}, "attempt": 1}
                self.writer.decide(Command(report_held=held))
            self.assertEqual(seen, [(10.0, "running")])
            self.assertEqual(self.api.polls, 0)

        self.run_case(case)

    def test_long_poll_bounds(self):
        """A poll ends with its wait, the caller's deadline, the drain or too many polls."""

        async def case():
            await self.submit()
            target = "/v1/accounts/reports/jobs/j1?wait=40"

            async def timed(**headers):
                start = trio.current_time()
                response = await self.call("GET", target, key=CALLER, **headers)
                self.assertEqual(response.status, 200)
                return trio.current_time() - start

            self.assertAlmostEqual(await timed(), 40, places=3)
            self.assertAlmostEqual(await timed(x_remaining_ms="2500"), 2.5, places=3)
            async with trio.open_nursery() as nursery:
                for _ in range(2):
                    nursery.start_soon(timed)
                await trio.sleep(1)
                self.assertEqual(self.api.polls, 2)
                # half of the 4 connections
                self.assertEqual(await timed(), 0)
                self.api.set_draining()
                start = trio.current_time()
            self.assertLessEqual(trio.current_time() - start, 1)
            self.assertEqual(await timed(), 0)

        self.run_case(case)

    def test_long_poll_ends_when_its_caller_has_gone(self):
        """Polls of callers that have gone must not use up the places of others."""

        async def case():
            await self.submit()
            gone = trio.Event()
            target = "/v1/accounts/reports/jobs/j1?wait=60"
            headers = {"authorization": f"Bearer {CALLER}"}
            request = Request("GET", target, headers, b"", "127.0.0.1", gone.wait)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.api.handle, request)
                await trio.sleep(1)
                self.assertEqual(self.api.polls, 1)
                gone.set()
                await trio.sleep(0.1)
                self.assertEqual(self.api.polls, 0)

        self.run_case(case)

    def test_poll_after_a_sequence(self):
        """A change between two polls must not be missed."""

        async def case():
            await self.submit()
            target = "/v1/accounts/reports/jobs/j1?wait=40&after="
            start = trio.current_time()
            response = await self.call("GET", target + "0", key=CALLER)
            self.assertEqual(trio.current_time(), start)
            sequence = json.loads(response.body)["job"]["decided_sequence"]
            await self.call("GET", f"{target}{sequence}", key=CALLER)
            self.assertAlmostEqual(trio.current_time() - start, 40, places=3)

        self.run_case(case)

    def test_a_miss_is_confirmed_before_it_is_answered(self):
        """A job that another entry took a moment ago must not be denied."""

        async def case():
            confirmed = trio.current_time()
            self.journal.confirmed_age = lambda: trio.current_time() - confirmed
            target = "/v1/accounts/reports/jobs/j1"
            answers = []

            async def get():
                response = await self.call("GET", target, key=CALLER)
                answers.append((response.status, round(trio.current_time() - start, 1)))

            await trio.sleep(0.5)
            start = trio.current_time()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(get)
                await trio.sleep(0.3)
                await self.submit()
            target = "/v1/accounts/reports/jobs/none"
            start = trio.current_time()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(get)
                await trio.sleep(0.7)
                confirmed = trio.current_time()
            start = trio.current_time()
            await get()
            self.assertEqual(answers, [(200, 0.3), (404, 0.7), (503, 3.0)])

        self.run_case(case)


if __name__ == "__main__":
    unittest.main()
