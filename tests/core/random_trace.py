"""Small random traces that combine faults, used to search for violations of properties."""

import random

from ibiscart_schema.generated.trace_pb2 import TraceEvent
from ibiscart_schema.generated.types_pb2 import TARGET_LEAVING, TARGET_LIVE, TARGET_LOST

SECOND_US = 1_000_000
ACCOUNTS = ("alpha", "beta", "gamma")
WORKERS = tuple(f"w{number}" for number in range(8))
RACK_WORKERS = 3


class RandomTrace:
    """A trace of eight workers in three racks and three accounts whose contracts change."""

    def __init__(self, seed):
        self._random = random.Random(seed)
        self._events = []
        self._versions = dict.fromkeys(ACCOUNTS, 0)
        self._jobs = []

    def build(self):
        """Returns the header and the events in order of time."""
        rng = self._random
        self._command(0, register_workers={"workers": list(map(_worker, range(len(WORKERS))))})
        for account in ACCOUNTS:
            self._change_contract(0.1, account)
        seconds = rng.choice((60, 600, 3000))
        for at in sorted(rng.uniform(1, seconds) for _ in range(rng.randint(10, 80))):
            self._add_random_event(at, rng.random())
        ordered = sorted(self._events, key=lambda event: event.time_us)
        return [TraceEvent(header={"name": "random", "region": "alba"}), *ordered]

    def _add_random_event(self, at, fraction):
        rng = self._random
        if fraction < 0.75:
            self._submit(at)
        elif fraction < 0.83 and self._jobs:
            self._command(at, cancel_job={"job": rng.choice(self._jobs)})
        elif fraction < 0.94:
            worker_id = rng.choice(WORKERS)
            self._report_worker(at, worker_id, rng.choice((TARGET_LOST, TARGET_LEAVING)))
            self._report_worker(at + rng.uniform(1, 100), worker_id, TARGET_LIVE)
        elif fraction < 0.97:
            self._change_contract(at, rng.choice(ACCOUNTS))
        else:
            self._add(at, store_outage={"seconds": rng.uniform(0, 30)})

    def _submit(self, at):
        rng = self._random
        job = {"account": rng.choice(ACCOUNTS), "request_id": f"j{len(self._jobs)}"}
        self._jobs.append(job)
        run_seconds = rng.choice((1, 5, 30, 200)) * rng.random()
        behaviour = {"job": job, "run_seconds": run_seconds, "no_checkpoint": rng.random() < 0.2}
        if rng.random() < 0.2:
            behaviour |= {"failing_rank": 1, "fail_after_seconds": run_seconds * rng.random()}
        self._add(at, behaviour=behaviour)
        spec = job | {
            "shape": self._shape(4),
            "kind": rng.choice("xyz"),
            "declared_seconds": run_seconds * rng.choice((0.1, 1, 10)),
            "repeatable": rng.random() < 0.7,
        }
        self._command(at, submit_job={"spec": spec})

    def _change_contract(self, at, account):
        rng = self._random
        guarantees = [
            {"name": f"g{number}", "shape": self._shape(3), "count": rng.randint(1, 2)}
            for number in range(rng.randint(0, 3))
        ]
        contract = {
            "account": account,
            "guarantees": guarantees,
            "burst_accelerators": rng.choice((0, 8, 16, 64)),
            "burst_cpu_millis": rng.choice((8000, 200_000)),
            "queued_jobs": rng.choice((2, 10, 50)),
            "weight": rng.randint(1, 5),
        }
        expected = self._versions[account]
        self._versions[account] += 1
        self._command(at, put_contract={"contract": contract, "expected_version": expected})

    def _shape(self, max_members):
        rng = self._random
        accelerators = rng.choice((0, 1, 1, 2, 4, 8))
        size_factor = max(1, accelerators)
        member = {
            "accelerators": accelerators,
            "cpu_millis": rng.choice((500, 1000, 2000)) * size_factor,
            "memory_mb": 1000 * size_factor,
        }
        return {
            "members": rng.randint(1, max_members),
            "member": member,
            "scope": rng.choice((0, 1, 2, 3)),
        }

    def _report_worker(self, at, worker_id, state):
        self._command(at, report_worker={"worker_id": worker_id, "state": state, "cause": "test"})

    def _command(self, at, **kind):
        self._add(at, input={"command": kind})

    def _add(self, at, **kind):
        self._events.append(TraceEvent(time_us=int(at * SECOND_US), source="test", **kind))


def random_trace(seed):
    """Returns the header and the events of the random trace of ``seed``."""
    return RandomTrace(seed).build()


def _worker(number):
    rack = number // RACK_WORKERS
    return {
        "id": WORKERS[number],
        "rack": f"r{rack}",
        "data_centre": f"d{rack}",
        "capacity": {"accelerators": 8, "cpu_millis": 16000, "memory_mb": 32000},
    }
