"""Time until a contract change is in force on every entry, and the messages that it takes.

Run with ``python -m tools.capacity.contract ENTRIES``: 850 workers and 280 contracts, no running
tasks. Changes go to all entries in turn; an entry is done when it answers with the new version.
"""

import argparse
import time

import trio

from demo.fleet import key_hash
from tools.capacity.fleet import CapacityFleet
from tools.capacity.region import Region, Size
from tools.capacity.table import print_command, print_table, spread

BOUND_SECONDS = 6.0
CHANGES = 30
PAUSE_SECONDS = 1.0
POLL_SECONDS = 0.01
SETTLE_SECONDS = 8
SIZE = Size(tasks=0, queued=0)
MESSAGES = (
    ("peer_messages", "commands"),
    ("peer_messages", "push"),
    ("peer_messages", "heartbeat"),
    ("store_operations", "transact"),
    ("store_operations", "scan"),
    ("store_operations", "get"),
)
BYTES = ("peers", "table")


def document(region, account, weight):
    """Returns the contract document of a change."""
    contract = region.contract(account, 0, weight).put_contract.contract
    guarantees = []
    for item in contract.guarantees:
        member = item.shape.member
        scope = {0: "worker", 1: "rack", 2: "data_centre", 3: "region"}[item.shape.scope]
        amounts = {
            "accelerators": member.accelerators,
            "cpu_millis": member.cpu_millis,
            "memory_mb": member.memory_mb,
        }
        shape = {"members": item.shape.members, "member": amounts, "scope": scope}
        guarantees.append({"name": item.name, "shape": shape, "count": item.count})
    return {
        "guarantees": guarantees,
        "burst_accelerators": 256,
        "burst_cpu_millis": 100_000_000,
        "weight": weight,
        "key_sha256": [key_hash("a key of this account")],
    }


async def change(fleet, region, number):
    """Makes one change; returns (seconds to the answer, seconds until all entries show it)."""
    account = region.accounts[number * 7 % len(region.accounts)]
    entry = fleet.entries[number % len(fleet.entries)]
    path = f"/v1/contracts/{account}"
    version = int((await fleet.operate("GET", path, entry=entry))[1]["contract"]["version"])
    body = document(region, account, 2 + number % 50)
    begin = time.monotonic()
    status, value = await fleet.operate("PUT", f"{path}?expected={version}", body, entry)
    answered = time.monotonic() - begin
    if status != 200:
        raise SystemExit(f"contract refused: {value}")

    async def wait(other):
        while True:
            _, value = await fleet.operate("GET", path, entry=other)
            if int(value["contract"]["version"]) > version:
                return
            await trio.sleep(POLL_SECONDS)

    async with trio.open_nursery() as nursery:
        for other in fleet.entries:
            nursery.start_soon(wait, other)
    return answered, time.monotonic() - begin


async def run(options):
    """Prints the tables."""
    region = Region(SIZE)
    fleet = CapacityFleet(entries=options.entries, workers=SIZE.workers)
    try:
        await fleet.start(SIZE)
        await trio.sleep(SETTLE_SECONDS)
        quiet = await totals(fleet)
        await trio.sleep(options.changes * PAUSE_SECONDS / 2)
        before = await totals(fleet)
        times = []
        for number in range(options.changes):
            times.append(await change(fleet, region, number))
            await trio.sleep(PAUSE_SECONDS)
        after = await totals(fleet)
    finally:
        fleet.stop()
    answered, in_force = zip(*times, strict=True)
    print(f"{options.entries} entries, {len(times)} changes")
    rows = [
        ("answer to the operator", spread(answered), max(answered) / BOUND_SECONDS),
        ("in force on every entry", spread(in_force), max(in_force) / BOUND_SECONDS),
    ]
    print_table(("moment", "seconds: median (spread)", "largest / 6 s"), rows)
    rows = []
    for key in after[1]:
        idle = (before[1][key] - quiet[1][key]) / (before[0] - quiet[0])
        busy = (after[1][key] - before[1][key]) / (after[0] - before[0])
        each = (busy - idle) * (after[0] - before[0]) / len(times)
        rows.append((" ".join(key), idle, each))
    print_table(("all entries together", "idle, per second", "added by one change"), rows)


async def totals(fleet):
    """Returns the time and the counters summed over all entries."""
    readings = (await fleet.read_all()).values()
    sums = {}
    for key in MESSAGES:
        sums[key] = sum(reading.counters.get(key, 0) for reading in readings)
    for kind in BYTES:
        key = ("wire_bytes_sent", kind)
        sums[key] = sum(reading.counters.get(key, 0) for reading in readings)
    return time.monotonic(), sums


def main():
    parser = argparse.ArgumentParser(description="Time until a contract change is in force.")
    parser.add_argument("entries", type=int)
    parser.add_argument("--changes", type=int, default=CHANGES)
    options = parser.parse_args()
    print_command("tools.capacity.contract")
    trio.run(run, options)


if __name__ == "__main__":
    main()
