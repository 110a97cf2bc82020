"""Store operations a second in steady state and around an outage of 30 s.

Run with ``python -m tools.capacity.storage ENTRIES``: contract changes arrive all the time, so
that appends go on; both the table service and the object store are down during the outage.
"""

import argparse

import trio

from ibiscart_entry.client import TransportError
from tools.capacity.fleet import CapacityFleet
from tools.capacity.table import print_command, print_table

STEADY_SECONDS = 30
OUTAGE_SECONDS = 30
AFTER_SECONDS = 60
STEP_SECONDS = 1.0
SETTLE_SECONDS = 10
WRITES = ("transact", "put")
READS = ("get", "scan", "get_object")
ACCOUNTS = 20


async def make_changes(fleet, rate):
    """Sends contract changes until cancelled; refused ones are not repeated."""
    versions = dict.fromkeys(range(ACCOUNTS), 0)

    async def change(number, entry):
        path = f"/v1/contracts/team-{number}"
        body = {"weight": 1 + versions[number] % 100}
        try:
            status, value = await fleet.operate(
                "PUT", f"{path}?expected={versions[number]}", body, entry, 20
            )
            if status == 200:
                versions[number] = int(value["contract"]["version"])
            elif status == 409:
                _, value = await fleet.operate("GET", path, entry=entry)
                versions[number] = int(value["contract"]["version"])
        except (TransportError, KeyError):
            pass  # the next change of this account reads its version again

    async with trio.open_nursery() as nursery:
        step = 0
        while True:
            entry = fleet.entries[step % len(fleet.entries)]
            nursery.start_soon(change, step % ACCOUNTS, entry)
            step += 1
            await trio.sleep(1 / rate)


async def sample(fleet, phases, seconds):
    """Adds (writes, reads, errors) of each second to ``phases``."""
    last = await totals(fleet)
    end = trio.current_time() + seconds
    while trio.current_time() < end:
        start = trio.current_time()
        await trio.sleep(STEP_SECONDS)
        now = await totals(fleet)
        elapsed = trio.current_time() - start
        phases.append([(b - a) / elapsed for a, b in zip(last, now, strict=True)])
        last = now


async def totals(fleet):
    """Returns writes, reads and failed operations of all entries so far."""
    sums = [0, 0, 0]
    for reading in (await fleet.read_all()).values():
        for (name, label), value in reading.counters.items():
            if name == "store_operations":
                sums[0 if label in WRITES else 1] += value
            elif name == "store_errors":
                sums[2] += value
    return sums


async def run(options):
    """Prints the table."""
    fleet = CapacityFleet(entries=options.entries)
    phases = {"steady": [], "outage": [], "first 10 s after": [], "rest of the minute": []}
    try:
        await fleet.start()
        await trio.sleep(SETTLE_SECONDS)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(make_changes, fleet, options.rate)
            await trio.sleep(2)
            await sample(fleet, phases["steady"], STEADY_SECONDS)
            await set_down(fleet, True)
            await sample(fleet, phases["outage"], OUTAGE_SECONDS)
            await set_down(fleet, False)
            await sample(fleet, phases["first 10 s after"], 10)
            await sample(fleet, phases["rest of the minute"], AFTER_SECONDS - 10)
            nursery.cancel_scope.cancel()
    finally:
        fleet.stop()
    rows = []
    for name, seconds in phases.items():
        row = [name]
        for column in zip(*seconds, strict=True):
            row += [sum(column) / len(column), max(column)]
        rows.append(row)
    print(f"{options.entries} entries, {options.rate} contract changes a second")
    heads = ("writes/s", "largest", "reads/s", "largest", "failed/s", "largest")
    print_table(("phase", *heads), rows)


async def set_down(fleet, down):
    """Switches the outage of both stores."""
    for name in ("table", "objects"):
        await fleet.call(name, "POST", "/control", {"down": down})


def main():
    parser = argparse.ArgumentParser(description="Store operations around an outage.")
    parser.add_argument("entries", type=int)
    parser.add_argument("--rate", type=float, default=5.0, help="contract changes a second")
    options = parser.parse_args()
    print_command("tools.capacity.storage")
    trio.run(run, options)


if __name__ == "__main__":
    main()
