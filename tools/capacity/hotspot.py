"""Processor time of one entry by package and by function, from a profile.

Run with ``python -m tools.capacity.hotspot ENTRIES WORKERS``; the first entry runs under cProfile,
which about doubles the time of code that makes many small calls.
"""

import argparse
import pathlib
import pstats
import re
import signal

import trio

from demo.fleet import Child
from tools.capacity.fleet import CapacityFleet
from tools.capacity.table import print_command, print_table

SETTLE_SECONDS = 10
END_SECONDS = 15
SHOWN = 25
PACKAGE = re.compile(
    r"(?:site-packages/|lib/python[0-9.]+/(?!site-packages)|packages/\w+/src/)([^/]+)"
)


class ProfiledFleet(CapacityFleet):
    """A fleet whose first entry writes a profile when it ends."""

    def start_entry(self, entry):
        if entry is not self.entries[0]:
            super().start_entry(entry)
            return
        path = self.folder / f"{entry.id}.yaml"
        # the settings are written by the start of an unprofiled entry
        super().start_entry(entry)
        entry.child.stop()
        arguments = ["-m", "tools.capacity.profiled", str(self.profile), str(path)]
        entry.child = Child(entry.id, arguments, self.folder)
        self.children[entry.id] = entry.child

    @property
    def profile(self):
        """Path of the profile."""
        return self.folder / "profile"


async def run(options):
    """Prints the tables."""
    fleet = ProfiledFleet(entries=options.entries, workers=options.workers)
    try:
        await fleet.start()
        await trio.sleep(SETTLE_SECONDS)
        entry = fleet.entries[0]
        entry.child.send(signal.SIGUSR1)
        before = await fleet.read(entry)
        await trio.sleep(options.seconds)
        after = await fleet.read(entry)
        entry.child.send(signal.SIGTERM)
        with trio.move_on_after(END_SECONDS):
            while entry.child.running:
                await trio.sleep(0.1)
        stats = pstats.Stats(str(fleet.profile)).stats
    finally:
        fleet.stop()
    print(f"{options.entries} entries, {options.workers} workers, {options.seconds:.0f} s")
    print(f"under the profiler: {after.processor_share(before):.2f} % of a core")
    print_profile(stats)


def print_profile(stats):
    """Prints own time by package and of the functions with the most of it."""
    packages = {}
    functions = []
    for (file, line, name), (_, calls, own, _, _) in stats.items():
        match = PACKAGE.search(file)
        package = match[1].removesuffix(".py") if match else "built in"
        if name == "<method 'poll' of 'select.epoll' objects>":
            package = "waiting"
        packages[package] = packages.get(package, 0) + own
        functions.append((own, calls, f"{pathlib.Path(file).name}:{line} {name}"))
    total = sum(packages.values()) - packages.pop("waiting", 0)
    rows = sorted(((own, 100 * own / total, name) for name, own in packages.items()), reverse=True)
    print_table(("own s", "% of all", "package"), rows[:SHOWN])
    functions.sort(reverse=True)
    print_table(("own s", "calls", "function"), functions[:SHOWN])


def main():
    parser = argparse.ArgumentParser(description="Profile of one entry.")
    parser.add_argument("entries", type=int)
    parser.add_argument("workers", type=int)
    parser.add_argument("--seconds", type=float, default=60)
    options = parser.parse_args()
    print_command("tools.capacity.hotspot")
    trio.run(run, options)


if __name__ == "__main__":
    main()
