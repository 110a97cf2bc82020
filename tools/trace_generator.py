"""Generates the committed traces: python -m tools.trace_generator [folder].

Every outcome stated in a header follows from the trace by construction, whatever the policy:
cancelled jobs run longer than the time to their cancellation, queues are long enough for all
jobs, and failing jobs fail in each attempt.
"""

import math
import pathlib
import random
import sys

from ibiscart_core.trace import write_trace
from ibiscart_schema.generated.trace_pb2 import TraceEvent
from ibiscart_schema.generated.types_pb2 import (
    SCOPE_RACK,
    SCOPE_REGION,
    SCOPE_WORKER,
    TARGET_LIVE,
    TARGET_LOST,
)

FOLDER = pathlib.Path(__file__).resolve().parents[1] / "traces"
SECOND_US = 1_000_000
MINUTE = 60.0
HOUR = 3600.0
RACK_WORKERS = 8
WORKER_ACCELERATORS = 8
# longer than any queue that the traces build up
QUEUED_JOBS = 2000
BURST_ACCELERATORS = 160


class Site:
    """One deployment of section 1.4 of the design."""

    def __init__(self, name, region, data_centres, cpu_millis, memory_mb, accounts):
        self.name = name
        self.region = region
        self.data_centres = data_centres
        self.cpu_millis = cpu_millis
        self.memory_mb = memory_mb
        # name: (weight, guaranteed members, accelerators of each, count)
        self.accounts = accounts

    def member(self, accelerators):
        """Resources of a task: its accelerators with 90 % of their share of the worker."""
        share = max(accelerators, 0.5) * 0.9 / WORKER_ACCELERATORS
        return {
            "accelerators": accelerators,
            "cpu_millis": int(self.cpu_millis * share),
            "memory_mb": int(self.memory_mb * share),
        }

    def workers(self):
        return [
            {
                "id": f"{data_centre}-{number}",
                "address": f"10.{zone}.0.{number}:7000",
                "data_centre": data_centre,
                "rack": f"{data_centre}-r1",
                "capacity": {
                    "accelerators": WORKER_ACCELERATORS,
                    "cpu_millis": self.cpu_millis,
                    "memory_mb": self.memory_mb,
                },
            }
            for zone, data_centre in enumerate(self.data_centres, start=1)
            for number in range(1, RACK_WORKERS + 1)
        ]


MACLEISH = Site(
    "macleish",
    "alba",
    ("perth", "dundee", "leith"),
    128_000,
    256_000,
    {
        "certificates": (4, 2, 8, 1),
        "reports": (3, 1, 4, 2),
        "ledgers": (2, 1, 8, 1),
        "archive": (1, 0, 0, 0),
    },
)
HOOGHLY = Site(
    "hooghly",
    "bengal",
    ("salt-lake", "howrah", "rajarhat"),
    32_000,
    64_000,
    {
        "labels": (4, 1, 1, 8),
        "proofs": (3, 2, 8, 1),
        "invoices": (2, 1, 4, 2),
        "catalogue": (1, 0, 0, 0),
    },
)


class Scenario:
    """Builds one trace from a seed; times are in seconds from its start."""

    def __init__(self, site, name, seed, description):
        self.site = site
        self.random = random.Random(seed)
        self.counts = {"submitted": 0, "cancelled": 0, "failed": 0, "refused": 0}
        self._events = []
        self._header = {
            "name": f"{site.name}-{name}",
            "description": description,
            "region": site.region,
            "seed": seed,
        }
        self.command(0, register_workers={"workers": site.workers()})
        for account, (weight, members, accelerators, count) in site.accounts.items():
            contract = {
                "account": account,
                "weight": weight,
                "burst_accelerators": BURST_ACCELERATORS,
                "burst_cpu_millis": 100_000_000,
                "queued_jobs": QUEUED_JOBS,
            }
            if count:
                shape = self._shape(members, accelerators)
                contract["guarantees"] = [{"name": "base", "shape": shape, "count": count}]
            self.command(0, put_contract={"contract": contract})

    def add(self, seconds, **kind):
        time_us = round(seconds * 1000) * 1000
        event = TraceEvent(time_us=time_us, source="recorder", **kind)
        self._events.append((time_us, len(self._events), event))

    def command(self, seconds, **kind):
        self.add(seconds, input={"command": kind})

    def submit(self, at, account, kind, members, accelerators, run, declared=None, **fields):
        """Adds a job and returns its key; ``run`` and ``declared`` are in seconds."""
        self.counts["submitted"] += 1
        job = {"account": account, "request_id": f"j{self.counts['submitted']:04}"}
        run = round(run, 1)
        repeatable = fields.pop("repeatable", True)
        self.add(at, behaviour={"job": job, "run_seconds": run} | fields)
        spec = job | {
            "kind": kind,
            "shape": self._shape(members, accelerators),
            "declared_seconds": round(run if declared is None else declared, 1),
            "repeatable": repeatable,
        }
        self.command(at, submit_job={"spec": spec})
        return job

    def cancel(self, at, job):
        self.command(at, cancel_job={"job": job})
        self.counts["cancelled"] += 1

    def fail(self, at, account, members, run, after):
        rank = self.random.randint(1, members)
        fields = {"failing_rank": rank, "fail_after_seconds": round(after, 1)}
        self.submit(at, account, "faulty", members, 1, run, **fields)
        self.counts["failed"] += 1

    def refuse(self, at, account):
        """Adds jobs that can never run: over the burst limit, and too large for a worker."""
        self.submit(at, account, "oversized", 64, 4, 60)
        self.submit(at, account, "oversized", 1, 16, 60)
        self.counts["refused"] += 2

    # kinds of work

    def account(self):
        weights = [weight for weight, *_ in self.site.accounts.values()]
        return self.random.choices(list(self.site.accounts), weights)[0]

    def declared(self, run):
        """A declared time that is off by up to a factor of two."""
        return run * 2 ** self.random.uniform(-1, 1)

    def short(self, at):
        run = self.random.uniform(15, 90)
        once = self.random.random() < 0.05
        account = self.account()
        self.submit(at, account, "short", 1, 1, run, self.declared(run), repeatable=not once)

    def medium(self, at, low, high):
        run = math.exp(self.random.uniform(math.log(low), math.log(high)))
        accelerators = self.random.choice((1, 1, 2, 2, 4, 8))
        # a fifth of the longer work cannot save its state
        fields = {"no_checkpoint": True} if self.random.random() < 0.2 else {}
        account = self.account()
        return self.submit(
            at, account, "medium", 1, accelerators, run, self.declared(run), **fields
        )

    def large(self, at, low, high, members=(2, 2, 4, 4, 6, 8)):
        run = self.random.uniform(low, high)
        members = self.random.choice(members)
        account = self.account()
        return self.submit(at, account, "large", members, 8, run, self.declared(run))

    def urgent(self, at, run):
        """A job of exactly the guaranteed shape of an account that has one."""
        accounts = [name for name, (*_, count) in self.site.accounts.items() if count]
        account = self.random.choice(accounts)
        _, members, accelerators, _ = self.site.accounts[account]
        return self.submit(at, account, "urgent", members, accelerators, run)

    def arrivals(self, start, end, count):
        """Returns ``count`` times spread at random over [start, end]."""
        return sorted(self.random.uniform(start, end) for _ in range(count))

    def _shape(self, members, accelerators):
        scope = SCOPE_WORKER if members == 1 else SCOPE_RACK
        if accelerators == 0:
            scope = SCOPE_REGION
        return {"members": members, "member": self.site.member(accelerators), "scope": scope}

    def finish(self):
        """Returns the events in order of time, the header first."""
        counts = self.counts
        gone = counts["cancelled"] + counts["failed"] + counts["refused"]
        outcomes = {
            "jobs_completed": counts["submitted"] - gone,
            "jobs_cancelled": counts["cancelled"],
            "jobs_failed": counts["failed"],
            "jobs_refused": counts["refused"],
            "jobs_unknown": 0,
            "jobs_unfinished": 0,
            "guarantees_unmet": 0,
        }
        header = TraceEvent(source="recorder", header=self._header | {"outcomes": outcomes})
        return [header, *(event for *_, event in sorted(self._events, key=lambda e: e[:2]))]


def ordinary_day(site, seed):
    scenario = Scenario(
        site, "ordinary-day", seed, "24 h of mixed work at about half of the capacity"
    )
    for at in scenario.arrivals(MINUTE, 24 * HOUR, 250):
        scenario.short(at)
    for at in scenario.arrivals(MINUTE, 22 * HOUR, 330):
        scenario.medium(at, 0.5 * HOUR, 3 * HOUR)
    for at in scenario.arrivals(HOUR, 20 * HOUR, 12):
        scenario.large(at, 1 * HOUR, 3 * HOUR, members=(2, 2, 3, 4))
    for at in scenario.arrivals(HOUR, 22 * HOUR, 20):
        scenario.urgent(at, 10 * MINUTE)
    scenario.fail(3 * HOUR, next(iter(site.accounts)), 2, 600, 30)
    scenario.refuse(4 * HOUR, next(iter(site.accounts)))
    return scenario.finish()


def short_peak(site, seed):
    scenario = Scenario(
        site,
        "short-peak",
        seed,
        "long work fills the workers and large gangs wait; 400 short jobs arrive in 10 minutes",
    )
    for at in scenario.arrivals(MINUTE, 20 * MINUTE, 90):
        scenario.medium(at, 15 * MINUTE, 60 * MINUTE)
    for at in scenario.arrivals(10 * MINUTE, 40 * MINUTE, 10):
        scenario.large(at, 10 * MINUTE, 20 * MINUTE)
    for at in scenario.arrivals(30 * MINUTE, 40 * MINUTE, 400):
        scenario.short(at)
    for at in scenario.arrivals(10 * MINUTE, 80 * MINUTE, 60):
        scenario.short(at)
    for at in scenario.arrivals(25 * MINUTE, 60 * MINUTE, 8):
        scenario.urgent(at, 2 * MINUTE)
    return scenario.finish()


def fragmentation(site, seed):
    scenario = Scenario(
        site,
        "fragmentation",
        seed,
        "small jobs spread over the racks while gangs of 16 to 64 accelerators wait for room",
    )
    for at in scenario.arrivals(MINUTE, 90 * MINUTE, 420):
        scenario.medium(at, 5 * MINUTE, 25 * MINUTE)
    for at in scenario.arrivals(5 * MINUTE, 90 * MINUTE, 26):
        scenario.large(at, 8 * MINUTE, 20 * MINUTE)
    for at in scenario.arrivals(5 * MINUTE, 120 * MINUTE, 120):
        scenario.short(at)
    for at in scenario.arrivals(20 * MINUTE, 90 * MINUTE, 8):
        scenario.urgent(at, 3 * MINUTE)
    return scenario.finish()


def stragglers(site, seed):
    scenario = Scenario(
        site,
        "stragglers",
        seed,
        "declared times are far off: a few jobs run 20 times longer, many end much earlier",
    )
    for at in scenario.arrivals(MINUTE, 60 * MINUTE, 260):
        run = scenario.random.uniform(60, 240)
        accelerators = scenario.random.choice((1, 2, 4))
        if scenario.random.random() < 0.06:
            run *= 20
        scenario.submit(at, scenario.account(), "batch", 1, accelerators, run, 120)
    for at in scenario.arrivals(MINUTE, 60 * MINUTE, 150):
        # declared as an hour, ends after minutes
        run = scenario.random.uniform(120, 600)
        accelerators = scenario.random.choice((2, 4, 8))
        scenario.submit(at, scenario.account(), "pessimist", 1, accelerators, run, HOUR)
    for at in scenario.arrivals(5 * MINUTE, 60 * MINUTE, 16):
        scenario.large(at, 5 * MINUTE, 15 * MINUTE)
    for at in scenario.arrivals(5 * MINUTE, 90 * MINUTE, 120):
        scenario.short(at)
    for at in scenario.arrivals(15 * MINUTE, 70 * MINUTE, 8):
        scenario.urgent(at, 2 * MINUTE)
    return scenario.finish()


def cancellation_wave(site, seed):
    scenario = Scenario(
        site,
        "cancellation-wave",
        seed,
        "260 queued and running jobs are cancelled within two seconds",
    )
    wave = 40 * MINUTE
    doomed = []
    for at in scenario.arrivals(MINUTE, 35 * MINUTE, 260):
        run = scenario.random.uniform(60 * MINUTE, 90 * MINUTE)
        accelerators = scenario.random.choice((1, 1, 2, 4))
        account = scenario.account()
        doomed.append(scenario.submit(at, account, "sweep", 1, accelerators, run, run))
    for at in scenario.arrivals(10 * MINUTE, 60 * MINUTE, 90):
        scenario.medium(at, 3 * MINUTE, 20 * MINUTE)
    for at in scenario.arrivals(15 * MINUTE, 60 * MINUTE, 10):
        scenario.large(at, 5 * MINUTE, 10 * MINUTE)
    for at in scenario.arrivals(5 * MINUTE, 70 * MINUTE, 140):
        scenario.short(at)
    for at in scenario.arrivals(20 * MINUTE, 60 * MINUTE, 6):
        scenario.urgent(at, 2 * MINUTE)
    for at, job in zip(scenario.arrivals(wave, wave + 2, len(doomed)), doomed, strict=True):
        scenario.cancel(at, job)
    return scenario.finish()


def rack_outage(site, seed):
    scenario = Scenario(
        site,
        "rack-outage",
        seed,
        "the store answers nothing for 120 s; meanwhile a rack is lost, for 20 minutes",
    )
    for at in scenario.arrivals(MINUTE, 70 * MINUTE, 230):
        run = math.exp(scenario.random.uniform(math.log(5 * MINUTE), math.log(30 * MINUTE)))
        accelerators = scenario.random.choice((1, 2, 2, 4, 8))
        scenario.submit(at, scenario.account(), "medium", 1, accelerators, run, run)
    for at in scenario.arrivals(5 * MINUTE, 70 * MINUTE, 12):
        scenario.large(at, 5 * MINUTE, 15 * MINUTE)
    for at in scenario.arrivals(MINUTE, 90 * MINUTE, 200):
        run = scenario.random.uniform(15, 90)
        scenario.submit(at, scenario.account(), "short", 1, 1, run, run)
    for at in scenario.arrivals(5 * MINUTE, 80 * MINUTE, 8):
        scenario.urgent(at, 2 * MINUTE)
    outage = 30 * MINUTE
    scenario.add(outage, store_outage={"seconds": 120})
    lost = [w["id"] for w in site.workers() if w["data_centre"] == site.data_centres[1]]
    for at, state, cause in (
        (outage + 40, TARGET_LOST, "rack_lost"),
        (outage + 20 * MINUTE, TARGET_LIVE, "returned"),
    ):
        for worker_id in lost:
            change = {"worker_id": worker_id, "state": state, "cause": cause}
            scenario.command(at, report_worker=change)
    return scenario.finish()


SCENARIOS = (
    ordinary_day,
    short_peak,
    fragmentation,
    stragglers,
    cancellation_wave,
    rack_outage,
)


def generate():
    """Yields the events of each trace."""
    for number, site in enumerate((MACLEISH, HOOGHLY), start=1):
        for index, scenario in enumerate(SCENARIOS):
            yield scenario(site, 1000 * number + index)


def main():
    folder = pathlib.Path(sys.argv[1]) if len(sys.argv) > 1 else FOLDER
    folder.mkdir(exist_ok=True)
    for events in generate():
        path = folder / f"{events[0].header.name}.jsonl"
        with path.open("wb") as file:
            write_trace(events, file)


if __name__ == "__main__":
    main()
