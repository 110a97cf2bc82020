"""
demo.demo
~~~~~~~~~~~~~~~

Runs ibiscart on loopback: stand-ins, four entries, two client accounts, a mixed load, one
entry killed and one drained; then checks every answer and the recorded events.
"""

import collections
import json
import random
import signal
import sys
import time

import trio

from demo.caller import Balancer, Caller
from demo.fleet import Fleet, FleetError, key_hash, usage
from ibiscart_core.audit import audit

__all__ = ["contract", "main", "shape"]

SEED = 20261204
REQUESTS = 300
JOBS = 24
RUN_SECONDS_LIMIT = 50


def contract(caller, guarantees, burst):
    """Returns a contract document for a caller."""
    return {
        "guarantees": guarantees,
        "burst_accelerators": burst,
        "queued_jobs": 100,
        "running_requests": 48,
        "queued_requests": 400,
        "key_sha256": [key_hash(caller.key)],
    }


def shape(members, accelerators, scope):
    """Returns the document of a shape."""
    member = {"accelerators": accelerators, "cpu_millis": 1000, "memory_mb": 1024}
    return {"members": members, "member": member, "scope": scope}


class Demo:
    """One run of the demo."""

    def __init__(self, fleet, rng):
        self._fleet = fleet
        self._rng = rng
        self._balancer = Balancer(fleet)
        self._callers = [Caller(fleet, self._balancer, name) for name in ("reports", "labels")]
        self._problems = []
        self._answered = 0
        self._sent = 0
        self._codes = collections.Counter()
        self._latencies = []

    async def run(self):
        """Runs the load and the faults; returns the number of problems."""
        idle = self._usage()
        idle_start = time.monotonic()
        await trio.sleep(2)
        self._print_usage("idle", idle, time.monotonic() - idle_start)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._balancer.run)
            await self._create_contracts()
            busy, busy_start = self._usage(), time.monotonic()
            async with trio.open_nursery() as load:
                load.start_soon(self._run_requests)
                load.start_soon(self._run_jobs)
                load.start_soon(self._inject_faults)
            self._print_usage("under load", busy, time.monotonic() - busy_start)
            nursery.cancel_scope.cancel()

    def add_problem(self, text):
        """Adds a line that makes the demo fail."""
        self._problems.append(text)

    def report(self):
        """Prints what happened; returns the exit code."""
        events = self._fleet.events()
        violations = audit(events)
        for violation in violations[:20]:
            self._problems.append(str(violation))
        starts = collections.Counter()
        once = set()
        for event in events:
            if event.WhichOneof("kind") == "caller_request":
                request = event.caller_request
                if not request.repeatable:
                    once.add((request.account, request.request_id))
            elif event.WhichOneof("kind") == "target_action":
                action = event.target_action
                if action.action == "request_started" or (
                    action.action == "released" and action.rank == 0
                ):
                    starts[(action.account, action.request_id)] += 1
        ran_twice = sum(starts[key] > 1 for key in once)
        partial = sum(violation.property == "P2" for violation in violations)
        if self._latencies:
            ordered = sorted(self._latencies)
            p50, p99 = ordered[len(ordered) // 2], ordered[len(ordered) * 99 // 100]
            print(f"short requests: p50 {p50 * 1000:.1f} ms, p99 {p99 * 1000:.1f} ms")
        print(f"final answers by code: {dict(self._codes)}")
        print(f"recorded events: {len(events)}, audit violations: {len(violations)}")
        counts = (
            f"requests={self._sent} answered={self._answered} "
            f"ran_twice={ran_twice} partial_gangs={partial}"
        )
        if self._problems or ran_twice or partial or self._answered != self._sent:
            for problem in self._problems:
                print(f"problem: {problem}")
            print(f"demo failed: {counts}")
            return 1
        print(f"demo ok: {counts}")
        return 0

    async def _create_contracts(self):
        reports, labels = self._callers
        whole_rack = {"name": "gang", "shape": shape(2, 8, "rack"), "count": 1}
        half = {"name": "half", "shape": shape(1, 4, "worker"), "count": 2}
        for caller, guarantees, burst in ((reports, [whole_rack], 16), (labels, [half], 24)):
            document = contract(caller, guarantees, burst)
            status, value = await self._operate(
                "PUT", f"/v1/contracts/{caller.account}?expected=0", document
            )
            if status != 200:
                raise FleetError(f"contract refused: {value}")
        print("contracts: reports holds one gang of 2x8, labels holds two of 1x4 accelerators")
        await self._wait_contracts()

    async def _wait_contracts(self):
        """Waits until every entry serves both contracts; tells how long it took."""
        start = time.monotonic()
        for entry in self._fleet.entries:
            while time.monotonic() - start < 6:
                status, value = await self._operate("GET", "/v1/contracts", entry=entry)
                if status == 200 and len(value["contracts"]) == len(self._callers):
                    break
                await trio.sleep(0.02)
            else:
                self._problems.append(f"{entry.id} has no contracts after 6 s")
        print(f"contracts in force on every entry after {time.monotonic() - start:.2f} s")

    async def _operate(self, method, path, value=None, entry=None):
        client = self._client(entry)
        body = b"" if value is None else json.dumps(value).encode()
        headers = [("authorization", f"Bearer {self._fleet.operator_key}")]
        response = await client.request(method, path, body=body, headers=headers, timeout=10)
        return response.status, json.loads(response.body)

    def _client(self, entry):
        if entry is None:
            return self._balancer.pick()[1]
        return self._balancer.client(entry)

    async def _run_requests(self):
        limit = trio.CapacityLimiter(60)
        async with trio.open_nursery() as nursery:
            for number in range(REQUESTS):
                caller = self._callers[number % 2]
                nursery.start_soon(self._one_request, limit, caller, number)
                await trio.sleep(self._rng.expovariate(25))

    async def _one_request(self, limit, caller, number):
        repeatable = number % 5 != 0
        kind = "sweep" if number % 10 == 1 else "fix"
        seconds = 1.2 if kind == "sweep" else self._rng.uniform(0.01, 0.08)
        request_id = f"request-{number}"
        body = f"run_seconds={seconds:.3f} number={number}".encode()
        self._sent += 1
        async with limit:
            outcome = await caller.send_request(request_id, body, repeatable, kind)
        self._codes[outcome.code or outcome.status] += 1
        if outcome.status == 200:
            wanted = f"{caller.account}/{request_id}"
            if outcome.value["request_id"] != wanted or outcome.value["echo"] != body.decode():
                self._problems.append(f"{wanted} got the answer to another request")
                return
            if kind == "fix":
                self._latencies.append(outcome.seconds)
        elif repeatable or outcome.ran == "no" or outcome.code != "outcome_unknown":
            self._problems.append(f"{request_id}: {outcome.status} {outcome.value}")
            return
        self._answered += 1

    async def _run_jobs(self):
        async with trio.open_nursery() as nursery:
            for number in range(JOBS):
                nursery.start_soon(self._one_job, self._callers[number % 2], number)
                await trio.sleep(self._rng.uniform(0.1, 0.5))

    async def _one_job(self, caller, number):
        shapes = [shape(2, 8, "rack"), shape(1, 4, "worker"), shape(4, 2, "data_centre")]
        spec = {
            "shape": shapes[number % 3],
            "kind": f"kind-{number % 3}",
            "declared_seconds": 60,
            "payload": f"run_seconds={self._rng.uniform(0.3, 2):.2f}",
            "repeatable": number % 6 != 0,
        }
        request_id = f"job-{number}"
        self._sent += 1
        outcome = await caller.submit_job(request_id, spec)
        if outcome.status not in (200, 202):
            self._problems.append(f"{request_id}: {outcome.status} {outcome.value}")
            return
        cancelled = number % 8 == 7
        if cancelled:
            await caller.cancel_job(request_id)
        job = await caller.wait_job(request_id)
        if job is None:
            self._problems.append(f"{request_id} has not ended")
            return
        self._codes[f"job {job['outcome']}"] += 1
        if job["outcome"] not in ("completed", "unknown") and not cancelled:
            self._problems.append(f"{request_id} ended: {job}")
            return
        self._answered += 1

    async def _inject_faults(self):
        await trio.sleep(3)
        status, value = await self._operate("GET", "/v1/status")
        writer = value["preferred_writer"] if status == 200 else self._fleet.entries[0].id
        killed = next(e for e in self._fleet.entries if e.id == writer)
        print(f"kill: {killed.id}, the preferred writer")
        self._fleet.signal(killed, signal.SIGKILL)
        await trio.sleep(3)
        drained = next(e for e in self._fleet.entries if e.child.running)
        print(f"drain: {drained.id}")
        self._fleet.signal(drained, signal.SIGTERM)
        with trio.move_on_after(25):
            while drained.child.running:
                await trio.sleep(0.05)
        code = drained.child.process.poll()
        print(f"drain: {drained.id} ended with code {code}")
        if code != 0:
            self._problems.append(f"{drained.id} ended with code {code} after SIGTERM")
        self._fleet.start_entry(killed)
        await self._fleet.wait_ready(killed)
        print(f"restart: {killed.id} is ready again")

    def _usage(self):
        return {e.id: usage(e.child) for e in self._fleet.entries if e.child.running}

    def _print_usage(self, name, before, seconds):
        after = self._usage()
        for entry_id, (memory, cpu) in sorted(after.items()):
            if entry_id in before and cpu >= before[entry_id][1]:
                share = 100 * (cpu - before[entry_id][1]) / seconds
                print(
                    f"usage {name}: {entry_id} {memory / 1e6:.1f} MB, "
                    f"{share:.2f} % of a core over {seconds:.1f} s"
                )


async def run_demo():
    """Runs the demo; returns the exit code."""
    print(f"seed {SEED}")
    fleet = Fleet()
    try:
        start = time.monotonic()
        await fleet.start()
        print(
            f"started {len(fleet.entries)} entries, 6 workers, 4 runners "
            f"in {time.monotonic() - start:.1f} s"
        )
        demo = Demo(fleet, random.Random(SEED))
        with trio.move_on_after(RUN_SECONDS_LIMIT) as limit:
            await demo.run()
        if limit.cancelled_caught:
            demo.add_problem(f"not finished after {RUN_SECONDS_LIMIT} s")
        return demo.report()
    except FleetError as error:
        print(f"demo failed: {error}")
        return 1
    finally:
        fleet.stop()


def main():
    """Runs the demo and exits with its code."""
    sys.exit(trio.run(run_demo))


if __name__ == "__main__":
    main()
