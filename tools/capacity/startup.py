"""Start time and memory of fresh entries from a snapshot at the two-year size.

Run with ``python -m tools.capacity.startup``. The workers of the stored state cannot be reached;
each entry is ended as soon as it is ready, before that makes a difference.
"""

import argparse
import statistics
import time

import trio

from demo.fleet import usage
from tools.capacity.fleet import CapacityFleet
from tools.capacity.region import Size
from tools.capacity.table import print_command, print_table, spread

REPEATS = 5
HEADS = ("state in the store", "ready after s (spread)", "processor s", "MB when ready")


async def starts(size, repeats):
    """Starts one entry again and again; returns seconds, processor seconds and MB of each."""
    fleet = CapacityFleet(entries=1)
    figures = []
    try:
        await fleet.start(size)
        entry = fleet.entries[0]
        for _ in range(repeats):
            entry.child.stop()
            begin = time.monotonic()
            fleet.start_entry(entry)
            await fleet.wait_ready(entry)
            resident, processor = usage(entry.child)
            figures.append((time.monotonic() - begin, processor, resident / 1e6))
    finally:
        fleet.stop()
    return figures


async def run(options):
    """Prints the table."""
    rows = []
    sizes = {
        "nothing": None,
        "850 workers, 280 contracts": Size(tasks=0, queued=0),
        "the same, 10,000 tasks, 100 queued jobs": Size(),
        "the same, 10,000 tasks, 3,000 queued jobs": Size(queued=3000),
    }
    for name, size in sizes.items():
        seconds, processor, resident = zip(*await starts(size, options.repeats), strict=True)
        medians = (statistics.median(processor), statistics.median(resident))
        rows.append((name, spread(seconds), *medians))
    print_table(HEADS, rows)


def main():
    parser = argparse.ArgumentParser(description="Start of an entry from a snapshot.")
    parser.add_argument("--repeats", type=int, default=REPEATS)
    options = parser.parse_args()
    print_command("tools.capacity.startup")
    trio.run(run, options)


if __name__ == "__main__":
    main()
