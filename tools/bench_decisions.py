"""Prints decision times and memory at the two-year size.

Run with ``python -m tools.bench_decisions``; takes about a minute. Not a unit test.
"""

import random
import resource
import statistics
import sys
import time

from ibiscart_core.ledger import Ledger
from ibiscart_core.packing import plan_reservations
from ibiscart_core.policies.adaptive import AdaptivePolicy
from ibiscart_core.policy import Batch
from ibiscart_schema.generated.types_pb2 import (
    SCOPE_DATA_CENTRE,
    SCOPE_RACK,
    SCOPE_REGION,
    SCOPE_WORKER,
    TARGET_LIVE,
    TARGET_LOST,
)
from tests.core.world import (
    START_US,
    World,
    cancel,
    ended,
    held,
    put_contract,
    report_worker,
    shape,
    submit,
)

ACCELERATOR_WORKERS = 225
CPU_WORKERS = 625
WORKERS_PER_RACK = 8
CENTRES = 7
ACCOUNTS = 280
RUNNING_TASKS = 10_000
QUEUES = (100, 1000, 5000)
BATCHES = 100
KINDS = ("train", "render", "report", "label")
# (members, accelerators, millicores, scope, weight)
SHAPES = (
    (1, 1, 8000, SCOPE_WORKER, 30),
    (1, 4, 32_000, SCOPE_WORKER, 10),
    (1, 8, 64_000, SCOPE_WORKER, 10),
    (2, 8, 64_000, SCOPE_RACK, 8),
    (8, 8, 64_000, SCOPE_RACK, 2),
    (16, 4, 32_000, SCOPE_DATA_CENTRE, 2),
    (64, 1, 4000, SCOPE_DATA_CENTRE, 1),
    (1, 0, 4000, SCOPE_REGION, 20),
    (16, 0, 8000, SCOPE_REGION, 10),
    (64, 0, 2000, SCOPE_REGION, 7),
)
# the accelerators are full, so that jobs of these shapes stay in the queue
ACCELERATOR_SHAPES = tuple(s for s in SHAPES if s[1])


def workers():
    infos = []
    for index in range(ACCELERATOR_WORKERS + CPU_WORKERS):
        rack = index // WORKERS_PER_RACK
        infos.append(
            {
                "id": f"w{index:04}",
                "address": f"w{index:04}:80",
                "data_centre": f"dc{rack % CENTRES}",
                "rack": f"r{rack:03}",
                "capacity": {
                    "accelerators": 8 if index < ACCELERATOR_WORKERS else 0,
                    "cpu_millis": 128_000,
                    "memory_mb": 256_000,
                },
            }
        )
    return infos


class Region:
    """A region of the two-year size with a queue of ``queued`` jobs."""

    def __init__(self, queued, seed=1, distinct_shapes=False):
        self.random = random.Random(seed)
        self.distinct_shapes = distinct_shapes
        self.next_id = 0
        self.accounts = [f"team-{index:03}" for index in range(ACCOUNTS)]
        ledger = Ledger("alba")
        batch = Batch(ledger, START_US)
        for info in workers():
            batch.emit(worker_registered={"worker": info})
        self.world = World(AdaptivePolicy(), ledger)
        for account in self.accounts:
            guarantees = [
                ("a", shape(1, 2, 16_000, scope=SCOPE_WORKER), self.random.randint(0, 2)),
                ("b", shape(1, 0, 8000, scope=SCOPE_REGION), self.random.randint(0, 3)),
                ("c", shape(2, 4, 16_000, scope=SCOPE_RACK), int(self.random.random() < 0.15)),
                ("d", shape(4, 8, 16_000, scope=SCOPE_RACK), int(self.random.random() < 0.03)),
            ]
            kept = [g for g in guarantees if g[2]]
            self.world.send(put_contract(account, 0, kept, accelerators=256, weight=1))
        self._fill()
        while ledger.queued_jobs < queued:
            missing = queued - ledger.queued_jobs
            self.world.send(*[self.submission(ACCELERATOR_SHAPES) for _ in range(missing)])
            self.start()

    def _fill(self):
        ledger = self.world.working
        while sum(len(w.members) for w in ledger.workers.values()) < RUNNING_TASKS:
            self.world.send(*[self.submission() for _ in range(100)])
            self.start()
            for job in [j for a in ledger.accounts.values() for j in a.queued.values()]:
                if job.shape.accelerators:
                    self.world.send(cancel(job), seconds=0.01)

    def submission(self, shapes=SHAPES):
        self.next_id += 1
        weights = [s[-1] for s in shapes]
        members, accelerators, cpu, scope, _ = self.random.choices(shapes, weights)[0]
        if self.distinct_shapes:
            cpu += self.next_id
        return submit(
            self.random.choice(self.accounts),
            f"job-{self.next_id}",
            shape(members, accelerators, cpu, scope=scope),
            kind=self.random.choice(KINDS),
            seconds=self.random.choice((60, 600, 3600, 36_000)),
            repeatable=self.random.random() < 0.9,
        )

    def start(self):
        self.world.send(*[held(job) for job in self.world.startable()], seconds=0.1)

    def running(self):
        return self.random.choice([j for j in self.world.working.active.values() if j.released])

    def end(self):
        job = self.running()
        return [ended(job, rank) for rank in job.open_members]


def timed(region, make, batches=BATCHES):
    """Returns (median, 95 % quantile, largest) decision time in ms of ``scheduler.decide``."""
    world, times = region.world, []
    for _ in range(batches):
        commands = make()
        world.now_us += 1_000_000
        start = time.perf_counter()
        events, _ = world.scheduler.decide(commands, world.now_us)
        times.append((time.perf_counter() - start) * 1000)
        if events:
            world.working.finish_record(world.working.sequence + 1, world.now_us)
    times.sort()
    return statistics.median(times), times[int(len(times) * 0.95)], times[-1]


def timed_plan(ledger, contract=None):
    start = time.perf_counter()
    plan_reservations(ledger, contract)
    elapsed = (time.perf_counter() - start) * 1000
    return elapsed, elapsed, elapsed


def main():
    sizes = [int(arg) for arg in sys.argv[1:]] or QUEUES
    for queued in sizes:
        for distinct in (False, True):
            bench(queued, distinct)


def bench(queued, distinct):
    start = time.perf_counter()
    before_mb = peak_mb()
    region = Region(queued, distinct_shapes=distinct)
    world, ledger = region.world, region.world.working
    tasks = sum(len(w.members) for w in ledger.workers.values())
    unmet = sum(not r.workers for r in ledger.reservations.values())
    print(
        f"\nqueue {ledger.queued_jobs}{', all shapes distinct' if distinct else ''}: "
        f"{len(ledger.workers)} workers, {tasks} tasks of {len(ledger.active)} jobs, "
        f"{len(ledger.reservations)} reservations ({unmet} unmet), "
        f"built in {time.perf_counter() - start:.1f} s"
    )
    version = {name: ledger.accounts[name].version for name in region.accounts}

    def contract():
        name = region.random.choice(region.accounts)
        guarantees = [
            (g.name, g.shape.to_message(), g.count)
            for g in ledger.accounts[name].guarantees.values()
        ]
        command = put_contract(name, version[name], guarantees, accelerators=256, weight=2)
        version[name] = ledger.accounts[name].version + 1
        return [command]

    rows = (
        ("no command", list),
        ("one submission", lambda: [region.submission()]),
        ("one job ends", region.end),
        ("20 submissions", lambda: [region.submission() for _ in range(20)]),
        ("20 jobs end", lambda: [c for _ in range(20) for c in region.end()]),
        ("contract change", contract),
    )
    for name, make in rows:
        print_row(name, timed(region, make, 20 if name.startswith("20") else BATCHES))
    rack = [f"w{index:04}" for index in range(8, 16)]
    for name, state in (("rack lost", TARGET_LOST), ("rack returns", TARGET_LIVE)):
        commands = [report_worker(worker, state) for worker in rack]
        print_row(name, timed(region, lambda commands=commands: commands, 1))
    print_row("packing, all kept", timed_plan(ledger))
    large = [("x", shape(8, 8, 64_000, scope=SCOPE_RACK), 40)]
    refused = put_contract(region.accounts[0], 0, large).put_contract.contract
    print_row("packing that cannot fit", timed_plan(ledger, refused))
    world.policy._view = None
    print_row("first pass, no caches", timed(region, list, 1))
    start = time.perf_counter()
    job = next(j for a in ledger.accounts.values() for j in a.queued.values())
    world.policy.explain(ledger, job, world.now_us)
    elapsed = (time.perf_counter() - start) * 1000
    print_row("explain", (elapsed, elapsed, elapsed))
    built = f"{before_mb:.0f} MB before the build, {peak_mb():.0f} MB after all of it"
    snapshot = ledger.snapshot().SerializeToString()
    print(f"  snapshot {len(snapshot) / 1e6:.1f} MB; peak RSS of the process: {built}")


def print_row(name, figures):
    median, p95, largest = figures
    print(f"  {name:24} median {median:7.1f} ms  p95 {p95:7.1f} ms  largest {largest:7.1f} ms")


def peak_mb():
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024


if __name__ == "__main__":
    main()
