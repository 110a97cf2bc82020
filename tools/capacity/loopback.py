"""Processor share, memory and bytes of entry processes on loopback.

Run with ``python -m tools.capacity.loopback ENTRIES WORKERS [TASKS …]``: measures idle and then
with each number of running tasks. The entries use their default settings.
"""

import argparse
import statistics

import trio

from demo.caller import Balancer, Caller
from demo.fleet import key_hash
from ibiscart_entry.client import TransportError
from tools.capacity.fleet import CapacityFleet
from tools.capacity.table import print_command, print_table

SECONDS = 20
SETTLE_SECONDS = 12
START_SECONDS = 240
MEMBERS = 64
# 12 tasks fill a worker, as 10,000 tasks on 850 workers do
TASK_CPU_MILLIS = 10_000
# all workers share a few processes, which cannot start thousands of tasks at once
PAUSE_SECONDS = 0.4
KINDS = ("peers", "table", "objects", "workers", "members", "callers")
HEADS = ("state", "role", "% of a core", "spread", "MB", "KB/s", *KINDS, "peer msg/s", "store op/s")


async def start_tasks(fleet, caller, first, count):
    """Submits gangs with ``count`` tasks and waits until all run."""
    numbers = iter(range(first, first + count, MEMBERS))
    before = await released(fleet)

    async def submit():
        for number in numbers:
            member = {"accelerators": 0, "cpu_millis": TASK_CPU_MILLIS, "memory_mb": 1000}
            members = min(MEMBERS, first + count - number)
            spec = {
                "shape": {"members": members, "member": member, "scope": "region"},
                "declared_seconds": 36_000,
                "payload": "run_seconds=36000",
            }
            outcome = await caller.submit_job(f"job-{number}", spec)
            await trio.sleep(PAUSE_SECONDS)
            if outcome.status not in (200, 201, 202):
                raise SystemExit(f"job refused: {outcome.status} {outcome.value}")

    await submit()
    wanted = -(-count // MEMBERS)
    with trio.move_on_after(START_SECONDS):
        while await released(fleet) - before < wanted:
            await trio.sleep(1)
    return await released(fleet) - before, wanted


async def released(fleet):
    """Returns the number of jobs that were released."""
    readings = await fleet.read_all()
    return sum(r.counters.get(("decisions", "job_released"), 0) for r in readings.values())


async def measure(fleet, state, seconds):
    """Returns the rows of the writer and of the other entries."""
    before = await fleet.read_all()
    await trio.sleep(seconds)
    after = await fleet.read_all()
    writer = await fleet.writer()
    roles = {"writer": [writer.id]}
    roles["follower"] = [entry.id for entry in fleet.entries if entry.id != writer.id]
    for role, ids in roles.items():
        yield row(state, role, [(before[i], after[i]) for i in ids])


def row(state, role, pairs):
    """Returns the means over the entries of one role."""
    shares = [after.processor_share(before) for before, after in pairs]
    rates = {}
    for kind in KINDS:
        rates[kind] = (
            statistics.mean(
                (after.rate(before, "wire_bytes_sent", kind))
                + after.rate(before, "wire_bytes_received", kind)
                for before, after in pairs
            )
            / 1000
        )
    return (
        state,
        role,
        statistics.mean(shares),
        f"{min(shares):.2f} to {max(shares):.2f}",
        statistics.mean(after.resident / 1e6 for _, after in pairs),
        # the only callers are the readings themselves
        sum(rate for kind, rate in rates.items() if kind != "callers"),
        *rates.values(),
        *(total_rate(pairs, name) for name in ("peer_messages", "store_operations")),
    )


def total_rate(pairs, name):
    """Returns the mean growth in one second of a counter with all its labels."""
    return statistics.mean(
        sum(after.rate(before, name, label) for label in after.labels(name))
        for before, after in pairs
    )


async def run(options):
    """Prints the table."""
    fleet = CapacityFleet(entries=options.entries, workers=options.workers)
    rows = []
    print(f"{options.entries} entries, {options.workers} workers, {options.seconds} s per state")
    try:
        await fleet.start()
        await trio.sleep(SETTLE_SECONDS)
        rows += [item async for item in measure(fleet, "idle", options.seconds)]
        print_table(HEADS, rows)
        if options.tasks:
            balancer = Balancer(fleet)
            caller = Caller(fleet, balancer, "load")
            contract = {
                "burst_accelerators": 4096,
                "burst_cpu_millis": 100_000_000,
                "queued_jobs": 10_000,
                "key_sha256": [key_hash(caller.key)],
            }
            status, value = await fleet.operate("PUT", "/v1/contracts/load?expected=0", contract)
            if status != 200:
                raise SystemExit(f"contract refused: {value}")
        done = 0
        for tasks in options.tasks:
            running, wanted = await start_tasks(fleet, caller, done, tasks - done)
            done = tasks
            await trio.sleep(SETTLE_SECONDS)
            state = f"{tasks} tasks" if running == wanted else f"{running} of {wanted} new jobs"
            rows += [item async for item in measure(fleet, state, options.seconds)]
            print_table(HEADS, rows)
    except TransportError:
        for entry in fleet.entries:
            if not entry.child.running:
                print(f"{entry.id} has ended: {entry.child.output.read_text()[-3000:]}")
        raise
    finally:
        fleet.stop()


def main():
    parser = argparse.ArgumentParser(description="Costs of entry processes on loopback.")
    parser.add_argument("entries", type=int)
    parser.add_argument("workers", type=int)
    parser.add_argument("tasks", type=int, nargs="*")
    parser.add_argument("--seconds", type=float, default=SECONDS)
    options = parser.parse_args()
    print_command("tools.capacity.loopback")
    trio.run(run, options)


if __name__ == "__main__":
    main()
