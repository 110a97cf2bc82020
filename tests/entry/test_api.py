"""Guards the API against wrong answers, unclear refusals and stale decisions."""

import json
import unittest

import trio
import trio.testing

from ibiscart_core.error import ErrorKind, IbiscartError
from ibiscart_core.policies.fifo import FifoPolicy
from ibiscart_entry.api import Api
from ibiscart_entry.metric import Metrics
from ibiscart_entry.server import Request
from ibiscart_schema.generated.peer_pb2 import Command
from ibiscart_schema.generated.types_pb2 import WorkerInfo
from tests.entry.api_fakes import (
    CALLER,
    CONTRACT,
    NOW_US,
    OPERATOR,
    SHAPE,
    FakeDispatcher,
    FakeJournal,
    FakePeers,
    FakeWriter,
    make_settings,
)


class ApiTest(unittest.TestCase):
    def setUp(self):
        self.journal = FakeJournal()
        self.writer = FakeWriter(self.journal)
        self.dispatcher = FakeDispatcher()
        self.metrics = Metrics()
        self.api = Api(
            make_settings(),
            journal=self.journal,
            writer=self.writer,
            dispatcher=self.dispatcher,
            peers=FakePeers(),
            policy=FifoPolicy(),
            metrics=self.metrics,
            now_us=lambda: NOW_US,
        )

    async def call(self, method, target, body=b"", key=OPERATOR, **headers):
        if not isinstance(body, bytes):
            body = json.dumps(body).encode()
        fields = {name.replace("_", "-"): value for name, value in headers.items()}
        if key is not None:
            fields["authorization"] = f"Bearer {key}"
        return await self.api.handle(Request(method, target, fields, body, "127.0.0.1"))

    def run_case(self, case, prepare=True):
        async def main():
            if prepare:
                self.add_workers()
                response = await self.call("PUT", "/v1/contracts/reports?expected=0", CONTRACT)
                self.assertEqual(response.status, 200, response.body)
            with trio.fail_after(3600):
                await case()

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    def add_workers(self, racks=("r1", "r2")):
        workers = [
            WorkerInfo(
                id=f"{rack}w{n}",
                rack=rack,
                data_centre="perth",
                capacity={"accelerators": 4, "cpu_millis": 32_000, "memory_mb": 64_000},
            )
            for rack in racks
            for n in range(2)
        ]
        self.writer.decide(Command(register_workers={"workers": workers}))

    def refusal(self, response, kind):
        error = json.loads(response.body)["error"]
        self.assertEqual(error["code"], kind, response.body)
        for name in ("message", "ran", "retryable", "retry_after_seconds"):
            self.assertIn(name, error)
        return error

    async def submit(self, request_id="j1", key=CALLER, **changes):
        body = {"request_id": request_id, "shape": SHAPE, **changes}
        return await self.call("POST", "/v1/accounts/reports/jobs", body, key)

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

    # deadlines and stale views

    def test_remaining_time_is_the_deadline(self):
        """Work for a caller that has given up is wasted."""

        async def case():
            body = {"request_id": "j1", "shape": SHAPE}
            target = "/v1/accounts/reports/jobs"
            await self.call("POST", target, body, CALLER, x_remaining_ms="1500")
            self.assertAlmostEqual(self.writer.timeouts[-1], 1.5, places=2)
            await self.call("POST", target, body, CALLER)
            self.assertAlmostEqual(self.writer.timeouts[-1], 30, places=2)
            for value in ("x", "-1", "1.5", "600001", ""):
                response = await self.call("POST", target, body, CALLER, x_remaining_ms=value)
                self.refusal(response, "bad_field")
            response = await self.call("POST", target, body, CALLER, x_remaining_ms="0")
            self.assertEqual(self.refusal(response, "request_timeout")["ran"], "no")

        self.run_case(case)

    def test_a_layer_that_hangs_is_cut_off_truthfully(self):
        """After the deadline nobody knows whether the work ran (P4)."""

        async def case():
            self.writer.hang = self.dispatcher.hang = True
            start = trio.current_time()
            error = self.refusal(await self.submit(), "commit_unknown")
            self.assertEqual((error["ran"], error["retryable"]), ("maybe", True))
            self.assertLess(trio.current_time() - start, 31)
            target = "/v1/accounts/reports/requests/r1?repeatable="
            for flag, kind in (("1", "target_failed"), ("0", "outcome_unknown")):
                response = await self.call("POST", target + flag, b"", CALLER, x_remaining_ms="100")
                self.assertEqual(self.refusal(response, kind)["ran"], "maybe")

        self.run_case(case)

    def test_stale_entry_refuses_durable_work(self):
        """A decision on a stale view could contradict the journal."""

        async def case():
            self.journal.age = 11
            requests = "/v1/accounts/reports/requests/r1"
            for method, target, body in (
                ("POST", "/v1/accounts/reports/jobs", {"request_id": "j1", "shape": SHAPE}),
                ("PUT", "/v1/contracts/reports?expected=1", CONTRACT),
                ("POST", requests + "?repeatable=0", b""),
                ("GET", "/v1/accounts/reports/jobs/unknown", b""),
            ):
                response = await self.call(method, target, body)
                self.assertEqual(self.refusal(response, "store_unavailable")["ran"], "no")
            response = await self.call("POST", requests, b"x", CALLER)
            self.assertEqual(response.status, 200)
            self.journal.age = 61
            self.refusal(await self.call("POST", requests, b"x", CALLER), "not_ready")
            self.assertEqual((await self.call("GET", "/ready", key=None)).status, 503)
            status = json.loads((await self.call("GET", "/v1/status")).body)
            self.assertEqual(status["store"]["state"], "unavailable")

        self.run_case(case)

    def test_entry_without_shares_gets_no_traffic(self):
        """A load balancer must not send short requests to an entry that refuses them."""

        async def case():
            self.dispatcher.ready = False
            self.assertEqual((await self.call("GET", "/ready", key=None)).status, 503)
            self.assertEqual((await self.call("GET", "/v1/accounts/reports/jobs")).status, 200)

        self.run_case(case)

    def test_unloaded_entry_is_not_ready(self):
        """Before the journal is loaded every key would seem unknown."""

        async def case():
            self.journal.age = float("inf")
            self.assertEqual((await self.call("GET", "/ready", key=None)).status, 503)
            self.refusal(await self.call("GET", "/v1/accounts/reports/jobs"), "not_ready")
            self.assertEqual((await self.call("GET", "/v1/status")).status, 200)

        self.run_case(case, prepare=False)

    def test_draining_entry_still_serves(self):
        """Requests of the balancer's lag must be served, not refused (P7)."""

        async def case():
            self.api.set_draining()
            self.assertEqual((await self.call("GET", "/ready", key=None)).status, 503)
            self.assertEqual((await self.call("GET", "/live", key=None)).status, 200)
            self.assertEqual((await self.submit()).status, 202)

        self.run_case(case)

    # short requests

    def test_request_goes_to_the_dispatcher_unchanged(self):
        """Body, type, id and flags must arrive as sent, and the response come back whole."""

        async def case():
            body = bytes(range(256))
            target = "/v1/accounts/reports/requests/r.1?kind=label&repeatable=false"
            response = await self.call("POST", target, body, CALLER, content_type="image/png")
            call = self.dispatcher.calls[0]
            self.assertEqual(call[:6], ("reports", "r.1", "label", False, body, "image/png"))
            self.assertAlmostEqual(call[6], 30, places=2)
            self.assertEqual((response.body, response.content_type), (body, "image/png"))
            headers = dict(response.headers)
            self.assertEqual((headers["x-request-id"], headers["x-runner"]), ("r.1", "r1"))
            response = await self.call("GET", "/v1/accounts/reports/requests/r.1", key=CALLER)
            self.assertEqual(self.refusal(response, "outcome_unknown")["ran"], "maybe")
            response = await self.call("POST", "/v1/accounts/none/requests/r1")
            self.refusal(response, "unknown_account")

        self.run_case(case)

    # contracts

    def test_contract_changes(self):
        """A change names the version it is based on; a dry run changes nothing."""

        async def case():
            target = "/v1/contracts/reports"
            changed = {**CONTRACT, "burst_accelerators": 4}
            response = await self.call("PUT", target + "?expected=1&dry_run=1", changed)
            self.assertTrue(json.loads(response.body)["dry_run"])
            got = json.loads((await self.call("GET", target)).body)["contract"]
            self.assertEqual((got["version"], got["burst_accelerators"]), (1, 8))
            response = await self.call("PUT", target + "?expected=1", changed)
            body = json.loads(response.body)
            self.assertEqual(body["contract"]["version"], 2)
            self.assertEqual(body["sequence"], self.journal.sequence)
            error = self.refusal(
                await self.call("PUT", target + "?expected=1", CONTRACT), "version_conflict"
            )
            self.assertTrue(any("burst_accelerators" in line for line in error["details"]))
            huge = {"guarantees": [{**CONTRACT["guarantees"][0], "count": 200}]}
            error = self.refusal(
                await self.call("PUT", target + "?expected=2", huge), "contract_unpackable"
            )
            self.assertEqual(error["field"], "guarantees")
            response = await self.call("DELETE", target + "?expected=2")
            self.assertEqual(response.status, 200)
            self.refusal(await self.call("GET", target), "unknown_account")

        self.run_case(case)

    def test_shown_contract_can_be_put(self):
        """What GET returns must be accepted by PUT."""

        async def case():
            got = json.loads((await self.call("GET", "/v1/contracts/reports")).body)["contract"]
            response = await self.call("PUT", "/v1/contracts/reports?expected=1", got)
            self.assertEqual(response.status, 200, response.body)
            listed = json.loads((await self.call("GET", "/v1/contracts")).body)["contracts"]
            self.assertEqual([c["version"] for c in listed], [2])

        self.run_case(case)

    def test_explain_contract(self):
        """Operators must see which guarantee is claimed, free or unmet, and the use of limits."""

        async def case():
            await self.submit(shape={"members": 2, "member": {"accelerators": 2}, "scope": "rack"})
            for worker in list(self.journal.ledger.workers.values()):
                if worker.rack == "r2":
                    lost = {"worker_id": worker.id, "state": 2, "cause": "test"}
                    self.writer.decide(Command(report_worker=lost))
            target = "/v1/contracts/reports/explain"
            explained = json.loads((await self.call("GET", target)).body)["explanation"]
            states = sorted(r["state"] for r in explained["reservations"])
            self.assertEqual(len(states), 2)
            for item in explained["reservations"]:
                self.assertEqual(bool(item["workers"]), item["state"] != "unmet")
            self.assertEqual(explained["limits"]["queued_jobs"]["limit"], 2)
            running = explained["limits"]["running_requests"]
            self.assertEqual((running["entry_used"], running["entry_share"]), (3, 16))

        self.run_case(case)

    def test_status(self):
        """One screen must show workers, unmet guarantees, queues, entries and store."""

        async def case():
            for worker in list(self.journal.ledger.workers.values())[1:]:
                lost = {"worker_id": worker.id, "state": 2, "cause": "test"}
                self.writer.decide(Command(report_worker=lost))
            status = json.loads((await self.call("GET", "/v1/status")).body)
            self.assertEqual(status["workers"]["by_state"]["lost"], 3)
            self.assertEqual(status["workers"]["by_state"]["live"], 1)
            self.assertGreaterEqual(status["guarantees"]["unmet"], 1)
            self.assertTrue(status["guarantees"]["unmet_keys"][0].startswith("reports/nightly/"))
            self.assertEqual(status["queues"]["reports"]["queue_limit"], 2)
            self.assertEqual((status["entries"], status["preferred_writer"]), (["e1", "e2"], "e2"))
            self.assertEqual(status["store"]["state"], "ok")
            self.assertEqual(status["config_sequence"], self.journal.sequence)

        self.run_case(case)

    def test_metrics(self):
        """Collectors read counters by route and kind."""

        async def case():
            await self.call("GET", "/v1/status", key=None)
            text = (await self.call("GET", "/metrics", key=None)).body.decode()
            self.assertIn('ibiscart_refusals_total{kind="unauthorized"} 1', text)
            self.assertIn('ibiscart_requests_total{route="contract_put"} 1', text)

        self.run_case(case)


if __name__ == "__main__":
    unittest.main()
