"""Guards P1 to P8 on real processes: kills, freezes, store outages, lost answers, races.

Each scenario starts a small fleet on loopback, injects one kind of fault while callers
send work, waits for states, and lets the audit judge the recorded events of all processes.
"""

import json
import random
import signal
import time
import unittest

import trio

from demo.caller import Balancer, Caller
from demo.demo import contract, shape
from demo.fleet import Fleet
from ibiscart_core.audit import audit

SEED = 7
SCENARIO_SECONDS = 90
WAIT_SECONDS = 30


class Scenario:
    """A started fleet with two callers, their contracts and a load."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.rng = random.Random(SEED)
        self.balancer = Balancer(fleet)
        self.callers = [Caller(fleet, self.balancer, name) for name in ("reports", "labels")]
        self.outcomes = []
        self.jobs = []

    async def create_contracts(self, version=0):
        await self.wait_until(self.has_workers)
        guarantee = {"name": "gang", "shape": shape(2, 8, "rack"), "count": 1}
        for caller, guarantees in zip(self.callers, ([guarantee], []), strict=True):
            document = contract(caller, guarantees, 16)
            path = f"/v1/contracts/{caller.account}?expected={version}"
            status, value = await self.operate("PUT", path, document)
            assert status == 200, value
        for entry in self.fleet.entries:
            await self.wait_until(lambda entry=entry: self.has_contracts(entry))

    async def has_workers(self):
        status, value = await self.operate("GET", "/v1/status")
        return status == 200 and value["workers"]["by_state"]["live"] == self.fleet.worker_count

    async def has_contracts(self, entry):
        status, value = await self.operate("GET", "/v1/contracts", entry=entry)
        return status == 200 and len(value["contracts"]) == len(self.callers)

    async def operate(self, method, path, value=None, entry=None):
        client = self.balancer.client(entry or self.running()[0])
        headers = [("authorization", f"Bearer {self.fleet.operator_key}")]
        body = b"" if value is None else json.dumps(value).encode()
        response = await client.request(method, path, body=body, headers=headers, timeout=10)
        return response.status, json.loads(response.body)

    def running(self):
        return [entry for entry in self.fleet.entries if entry.child.running]

    async def wait_until(self, check):
        deadline = time.monotonic() + WAIT_SECONDS
        while not await check():
            if time.monotonic() > deadline:
                raise AssertionError(f"state not reached within {WAIT_SECONDS} s")
            await trio.sleep(0.05)

    async def preferred_writer(self):
        status, value = await self.operate("GET", "/v1/status")
        assert status == 200, value
        return next(e for e in self.fleet.entries if e.id == value["preferred_writer"])

    async def send_requests(self, count, prefix="request", pause=0.03):
        """Sends ``count`` requests, each third one not repeatable, and waits for all."""
        async with trio.open_nursery() as nursery:
            for number in range(count):
                nursery.start_soon(self._send, f"{prefix}-{number}", number)
                await trio.sleep(pause)

    async def _send(self, request_id, number):
        caller = self.callers[number % 2]
        body = f"run_seconds={self.rng.uniform(0.01, 0.1):.3f} number={number}".encode()
        outcome = await caller.send_request(request_id, body, repeatable=number % 3 != 0)
        self.outcomes.append((caller, outcome, body, number % 3 != 0))

    async def run_jobs(self, count, prefix="job", run_seconds=1.0, pause=0.2):
        """Submits ``count`` jobs and waits until all have ended."""
        async with trio.open_nursery() as nursery:
            for number in range(count):
                nursery.start_soon(self._run_job, f"{prefix}-{number}", number, run_seconds)
                await trio.sleep(pause)

    async def _run_job(self, request_id, number, run_seconds):
        caller = self.callers[number % 2]
        spec = {
            "shape": shape(2, 4, "rack") if number % 2 else shape(2, 8, "rack"),
            "kind": "check",
            "payload": f"run_seconds={run_seconds}",
            "repeatable": number % 4 != 0,
        }
        outcome = await caller.submit_job(request_id, spec)
        assert outcome.status in (200, 202), outcome.value
        self.jobs.append(await caller.wait_job(request_id))


class ScenarioTest(unittest.TestCase):
    """Base: runs ``scenario`` on a fleet and judges what was recorded."""

    SETTLE_SECONDS = 5.0

    def run_scenario(self, scenario, **options):
        options = {"entries": 3, "workers": 4, "runners": 2, "rack_size": 2} | options
        trio.run(self._run, scenario, options)

    async def _run(self, function, options):
        fleet = Fleet(**options)
        try:
            with trio.fail_after(SCENARIO_SECONDS):
                await fleet.start()
                scenario = Scenario(fleet)
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(scenario.balancer.run)
                    await scenario.create_contracts()
                    await function(scenario)
                    nursery.cancel_scope.cancel()
            self.check(scenario)
        finally:
            fleet.stop()

    def check(self, scenario):
        events = scenario.fleet.events()
        violations = audit(events, settle_seconds=self.SETTLE_SECONDS)
        self.assertEqual([], [str(v) for v in violations], f"seed {SEED}")
        for caller, outcome, body, repeatable in scenario.outcomes:
            with self.subTest(request=outcome.request_id):
                if outcome.status == 200:
                    wanted = f"{caller.account}/{outcome.request_id}"
                    self.assertEqual(outcome.value["request_id"], wanted)
                    self.assertEqual(outcome.value["echo"], body.decode())
                else:
                    self.assertFalse(repeatable, outcome.value)
                    self.assertEqual(outcome.code, "outcome_unknown")
        for job in scenario.jobs:
            self.assertIsNotNone(job, "a job has not ended")
            self.assertIn(job["outcome"], ("completed", "unknown"), job)


class KillTest(ScenarioTest):
    def test_kill_of_the_preferred_writer(self):
        """Guards against lost or doubled work when the deciding entry dies (P2, P3, P5)."""

        async def scenario(run):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(run.send_requests, 60)
                nursery.start_soon(run.run_jobs, 6)
                await trio.sleep(0.8)
                run.fleet.signal(await run.preferred_writer(), signal.SIGKILL)

        self.run_scenario(scenario)

    def test_freeze_and_resume_of_the_preferred_writer(self):
        """Guards against a resumed entry that acts on its old view (P1, P2, P5, P8)."""

        async def scenario(run):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(run.send_requests, 60)
                nursery.start_soon(run.run_jobs, 6)
                await trio.sleep(0.8)
                frozen = await run.preferred_writer()
                run.fleet.signal(frozen, signal.SIGSTOP)
                others = [e for e in run.fleet.entries if e is not frozen]

                async def replaced():
                    status, value = await run.operate("GET", "/v1/status", entry=others[0])
                    return status == 200 and value["preferred_writer"] != frozen.id

                await run.wait_until(replaced)
                document = contract(run.callers[1], [], 24)
                status, value = await run.operate(
                    "PUT", "/v1/contracts/labels?expected=1", document, entry=others[0]
                )
                self.assertEqual(status, 200, value)
                run.fleet.signal(frozen, signal.SIGCONT)

                async def caught_up():
                    status, value = await run.operate("GET", "/v1/contracts/labels", entry=frozen)
                    return status == 200 and value["contract"]["burst_accelerators"] == 24

                await run.wait_until(caught_up)

        self.run_scenario(scenario)


class StoreTest(ScenarioTest):
    def test_store_outage(self):
        """Guards against untrue refusals and lost work while the table is down (P4, P5)."""

        async def scenario(run):
            # shares are granted some seconds after the start; without one nothing is served
            await run.send_requests(4, "before")
            await run.fleet.call("table", "POST", "/control", {"down": True})
            async with trio.open_nursery() as nursery:
                nursery.start_soon(run.send_requests, 40)
                nursery.start_soon(run.run_jobs, 4)

                async def repeatable_served():
                    return any(
                        o.status == 200 and repeatable and o.request_id.startswith("request")
                        for _, o, _, repeatable in run.outcomes
                    )

                await run.wait_until(repeatable_served)
                await trio.sleep(3)
                await run.fleet.call("table", "POST", "/control", {"down": False})

        self.run_scenario(scenario)

    def test_lost_answers_of_the_table(self):
        """Guards against work done twice when answers are lost after the effect (P5)."""

        async def scenario(run):
            control = {"lose": 0.1, "seed": SEED}
            await run.fleet.call("table", "POST", "/control", control)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(run.send_requests, 30)
                nursery.start_soon(run.run_jobs, 4)
                await trio.sleep(4)
                await run.fleet.call("table", "POST", "/control", {"lose": 0.0})

        self.run_scenario(scenario)


class OperatorTest(ScenarioTest):
    def test_race_of_two_operators(self):
        """Guards against a contract change that overwrites another one unseen (P8)."""

        async def scenario(run):
            answers = []

            async def change(entry, burst):
                document = contract(run.callers[1], [], burst)
                path = "/v1/contracts/labels?expected=1"
                answers.append(await run.operate("PUT", path, document, entry=entry))

            async with trio.open_nursery() as nursery:
                for index, entry in enumerate(run.fleet.entries[:2]):
                    nursery.start_soon(change, entry, 8 + 8 * index)
            statuses = sorted(status for status, _ in answers)
            self.assertEqual(statuses, [200, 409], answers)
            won = next(v["contract"] for s, v in answers if s == 200)
            lost = next(v["error"] for s, v in answers if s == 409)
            self.assertEqual(lost["code"], "version_conflict")
            self.assertTrue(any("burst_accelerators" in line for line in lost["details"]))
            for entry in run.fleet.entries:

                async def same(entry=entry):
                    _, value = await run.operate("GET", "/v1/contracts/labels", entry=entry)
                    return value["contract"] == won

                await run.wait_until(same)

        self.run_scenario(scenario)


class FailingMemberTest(ScenarioTest):
    def test_gangs_whose_members_fail(self):
        """Guards against gangs that run on without a failed member, and against a fault of
        one job that ends an entry (P2)."""

        async def scenario(run):
            caller = run.callers[0]
            spec = {
                "shape": shape(2, 4, "rack"),
                "kind": "failing",
                "payload": "run_seconds=3 fail_after=0.3",
            }
            outcome = await caller.submit_job("failing", spec)
            self.assertEqual(outcome.status, 202, outcome.value)
            await run.run_jobs(2, run_seconds=0.5)
            job = await caller.wait_job("failing")
            self.assertEqual(job["outcome"], "failed", job)
            self.assertTrue(all(entry.child.running for entry in run.fleet.entries))

        self.run_scenario(scenario)


class LeavingTest(ScenarioTest):
    def test_leaving_targets_get_no_new_work(self):
        """Guards against new work on a worker and a runner that leave (P6)."""

        async def scenario(run):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(run.send_requests, 200, "request", 0.04)
                nursery.start_soon(run.run_jobs, 4, "job", 0.5, 1.5)
                await trio.sleep(1)
                for name in ("runner-1", "worker-1"):
                    await run.fleet.call(name, "POST", "/faults", {"leaving": 1})
                    run.fleet.record(target_left={"target_id": name, "sign": "answer"})

        self.run_scenario(scenario)


class RackTest(ScenarioTest):
    # the members on the other workers of a lost rack run until the loss is known, a lease later
    SETTLE_SECONDS = 20.0

    def test_a_lost_rack(self):
        """Guards against a gang and a guarantee that stay on a rack that is gone (P1, P2)."""

        async def scenario(run):
            caller = run.callers[0]
            spec = {"shape": shape(2, 8, "rack"), "kind": "long", "payload": "run_seconds=600"}
            outcome = await caller.submit_job("long", spec)
            self.assertEqual(outcome.status, 202, outcome.value)

            async def job():
                _, value = await run.operate("GET", "/v1/accounts/reports/jobs/long")
                return value["job"]

            async def runs():
                return (await job())["state"] == "running"

            await run.wait_until(runs)
            workers = (await job())["workers"]
            for rank, name in enumerate(workers):
                run.fleet.children[name].stop()
                # a killed worker cannot record that its task ended with it
                member = {"account": "reports", "request_id": "long", "rank": rank}
                lapsed = member | {"target_id": name, "action": "lapsed", "attempt": 1}
                run.fleet.record(target_action=lapsed | {"members": len(workers)})

            async def runs_elsewhere():
                view = await job()
                return view["state"] == "running" and not set(workers) & set(view["workers"])

            await run.wait_until(runs_elsewhere)
            _, value = await run.operate("GET", "/v1/status")
            self.assertEqual(value["guarantees"]["unmet"], 0, value)
            await caller.cancel_job("long")
            self.assertEqual((await caller.wait_job("long"))["outcome"], "cancelled")

        scheduler = {"lease_seconds": 6, "renew_seconds": 2, "held_lease_seconds": 3}
        self.run_scenario(scenario, settings={"scheduler": scheduler})


class DrainTest(ScenarioTest):
    def test_drain_cuts_no_request(self):
        """Guards against requests cut by a graceful shutdown (P7)."""

        async def scenario(run):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(run.send_requests, 120)
                nursery.start_soon(run.run_jobs, 4)
                await trio.sleep(1)
                drained = await run.preferred_writer()
                run.fleet.signal(drained, signal.SIGTERM)

                async def ended():
                    return not drained.child.running

                await run.wait_until(ended)
                self.assertEqual(drained.child.process.poll(), 0)

        self.run_scenario(scenario)


if __name__ == "__main__":
    unittest.main()
