"""Guards what the interface answers while an entry is slow, old, unloaded or draining."""

import json
import unittest

import trio
import trio.testing

from ibiscart_schema.generated.peer_pb2 import Command
from tests.entry.api_fakes import (
    CALLER,
    CONTRACT,
    SHAPE,
    ApiCase,
)


class ApiStateTest(ApiCase):
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
