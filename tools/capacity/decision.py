"""Processor time and memory of the decision code at the two-year size, and their slopes.

Run with ``python -m tools.capacity.decision``; takes about two minutes. Each size runs in a
process of its own, because memory that was freed would distort the next size.
"""

import gc
import json
import os
import pathlib
import statistics
import subprocess
import sys
import time

from ibiscart_core.ledger import Ledger
from ibiscart_core.packing import plan_reservations
from ibiscart_schema.generated.journal_pb2 import Record, Snapshot
from tests.core.world import ended
from tools.capacity.region import Region, Size
from tools.capacity.table import fit, print_command, print_table

REPEATS = 30
POINTS = {
    "workers": (212, 425, 850),
    "tasks": (2500, 5000, 10_000),
    "accounts": (70, 140, 280),
    "queued": (100, 1000, 3000),
}
HEADS = (
    "ledger MB",
    "writer MB",
    "idle pass ms",
    "submission ms",
    "member end ms",
    "job end ms",
    "contract change ms",
    "packing ms",
    "first pass ms",
    "apply submission ms",
    "snapshot write ms",
    "snapshot read ms",
    "snapshot MB",
)


def resident_mb():
    """Returns the resident memory of this process."""
    gc.collect()
    pages = int(pathlib.Path("/proc/self/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / 1e6


def processor_ms(function, repeats=1, prepare=lambda: ()):
    """Returns the median processor time of ``function`` in ms."""
    times = []
    for _ in range(repeats):
        arguments = prepare()
        start = time.process_time()
        function(*arguments)
        times.append((time.process_time() - start) * 1000)
    return statistics.median(times)


def measure(size):
    """Returns the figures of ``HEADS`` for one size."""
    before = resident_mb()
    region = Region(size)
    ledger_mb = resident_mb() - before
    snapshot = region.ledger.snapshot().SerializeToString()
    figures = {"ledger MB": ledger_mb, "snapshot MB": len(snapshot) / 1e6}
    figures["snapshot write ms"] = processor_ms(
        lambda: region.ledger.snapshot().SerializeToString(), 5
    )
    figures["snapshot read ms"] = processor_ms(
        lambda: Ledger.from_snapshot(Snapshot.FromString(snapshot)), 5
    )
    figures["packing ms"] = processor_ms(lambda: plan_reservations(region.ledger), 5)
    before = resident_mb()
    world = region.decide()
    figures["first pass ms"] = processor_ms(lambda: world.send())
    # the world holds a second ledger, as the writer's working copy
    figures["writer MB"] = resident_mb() - before + ledger_mb
    figures.update(decisions(region))
    return [figures[head] for head in HEADS]


def decisions(region):
    """Returns the processor times of single decisions."""
    world, ledger = region.world, region.ledger
    versions = dict.fromkeys(region.accounts, 1)

    def decide(*commands):
        world.now_us += 1_000_000
        events, _ = world.scheduler.decide(commands, world.now_us)
        if events:
            ledger.finish_record(ledger.sequence + 1, world.now_us)
            decide.events = events

    def contract():
        name = region.random.choice(region.accounts)
        command = region.contract(name, versions[name], weight=1 + versions[name] % 50)
        versions[name] += 1
        return (command,)

    def job_end():
        job = region.running()
        return [ended(job, rank) for rank in job.open_members]

    def member_end():
        job = region.running()
        while len(list(job.open_members)) < 2:
            job = region.running()
        return (ended(job, next(iter(job.open_members))),)

    figures = {
        "idle pass ms": processor_ms(decide, REPEATS),
        "submission ms": processor_ms(decide, REPEATS, lambda: (region.submission(),)),
    }
    follower = Ledger.from_snapshot(ledger.snapshot())

    def record():
        decide(region.submission())
        event_record = Record(sequence=follower.sequence + 1, time_us=world.now_us)
        event_record.events.extend(decide.events)
        return (event_record,)

    figures["apply submission ms"] = processor_ms(follower.apply, REPEATS, record)
    figures["member end ms"] = processor_ms(decide, REPEATS, member_end)
    figures["job end ms"] = processor_ms(decide, REPEATS, job_end)
    figures["contract change ms"] = processor_ms(decide, REPEATS, contract)
    return figures


def measure_apart(size):
    """Measures one size in a process of its own."""
    arguments = [str(number) for number in size.as_tuple()]
    result = subprocess.run(
        [sys.executable, "-m", "tools.capacity.decision", "one", *arguments],
        stdout=subprocess.PIPE,
        check=True,
    )
    return json.loads(result.stdout)


def main():
    if sys.argv[1:2] == ["one"]:
        print(json.dumps(measure(Size(*map(int, sys.argv[2:])))))
        return
    print_command("tools.capacity.decision")
    cache = {}

    def figures(**changes):
        size = Size(**changes)
        if size.as_tuple() not in cache:
            cache[size.as_tuple()] = measure_apart(size)
        return cache[size.as_tuple()]

    slopes = []
    for name, numbers in POINTS.items():
        points = [(number, figures(**{name: number})) for number in numbers]
        for index, head in enumerate(HEADS):
            intercept, slope = fit([(number, row[index]) for number, row in points])
            slopes.append((head, name, intercept, slope * 1000))
    rows = [(*key, *row) for key, row in sorted(cache.items())]
    print_table((*Size.FIELDS, *HEADS), rows)
    print("\nlines through the points above, one number varied at a time")
    order = {head: index for index, head in enumerate(HEADS)}
    slopes.sort(key=lambda row: order[row[0]])
    print_table(("figure", "against", "intercept", "slope per 1,000"), slopes)


if __name__ == "__main__":
    main()
