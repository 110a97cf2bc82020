"""Compares ways to choose who appends to the journal; prints one table.

``python -m tools.bench_authority [seed]``. Virtual time over the in-process stand-ins:
the figures count waits for the store, the network and leases, but no processor time. A gap is
the longest time without a successful reply at the entries that are not at fault; ``+`` means
that it lasted until the end of the run.
"""

import json
import logging
import math
import random
import sys

import trio
from sortedcontainers import SortedList

from ibiscart_core.error import IbiscartError
from ibiscart_entry.table import StoreError, TableConflict
from ibiscart_schema.generated.store_pb2 import TableWrite
from tests.entry.cluster import REGION, Cluster, put_contract, run_virtual, submit_job, worker

ENTRIES = tuple(f"e{n}" for n in range(8))
# the store answers in 8 ms at the median and about 32 ms at the 99 % quantile
STORE_MEDIAN_SECONDS = 0.008
STORE_SIGMA = 0.6
PEER_LATENCY_SECONDS = 0.0014
STEADY_SECONDS = 2.0
STEADY_CLIENTS = 64
RATE = 20.0
FAULT_SECONDS = 15.0
LEASE_SECONDS = 10.0
LEASE_KEY = f"lease/{REGION}"


class Lease:
    """Lease of the region on the same table; only its holder appends."""

    def __init__(self, node):
        self._node = node
        self._holder = None
        self._expires = 0.0
        self._version = 0
        node.peers.writers = self.writers
        node.peers.preferred_writer = lambda: next(iter(self.writers()), None)

    def writers(self):
        return [self._holder] if self._holder and trio.current_time() < self._expires else []

    async def run(self):
        while not self._node.scope.cancel_called:
            try:
                await self._step()
            except (StoreError, TableConflict):
                pass
            await trio.sleep(0.5)

    async def _step(self):
        now = trio.current_time()
        if self._holder == self._node.id and self._expires - now > LEASE_SECONDS * 2 / 3:
            return
        row = await self._node.table.get(LEASE_KEY)
        if row is not None:
            value = json.loads(row.value)
            self._holder, self._expires = value["holder"], value["expires"]
            self._version = row.version
            if self._holder != self._node.id and trio.current_time() < self._expires:
                return
        expires = trio.current_time() + LEASE_SECONDS
        value = json.dumps({"holder": self._node.id, "expires": expires}).encode()
        write = TableWrite(key=LEASE_KEY, value=value, expected_version=self._version)
        rows = await self._node.table.transact([write])
        self._holder, self._expires, self._version = self._node.id, expires, rows[0].version


def preferred(node, nursery):
    """This design: the first in rank among the live entries."""


def everyone(node, nursery):
    """Every entry appends its own commands."""
    node.peers.writers = lambda: [node.id]


def leased(node, nursery):
    """The holder of a lease of 10 s appends."""
    nursery.start_soon(Lease(node).run)


class Run:
    """One cluster under load."""

    def __init__(self, nursery, variant, seed):
        rng = random.Random(seed)
        self.cluster = Cluster(nursery, ENTRIES, seed, workers=0, snapshot_records=100_000)
        for index in range(100):
            self.cluster.members.set_machine(worker(index, accelerators=64))
        network = self.cluster.network
        network.latency = PEER_LATENCY_SECONDS
        network.request_delay = lambda sender, address, request: (
            rng.lognormvariate(math.log(STORE_MEDIAN_SECONDS), STORE_SIGMA)
            if address == "table:1"
            else 0.0
        )
        for node in self.cluster.nodes.values():
            variant(node, nursery)
        self.nodes = dict(self.cluster.nodes)
        self.replies = SortedList()
        self._number = 0

    async def start(self):
        await trio.sleep(8)
        while True:
            try:
                await self.nodes["e0"].submit(put_contract("lipi", 0, 100_000, 10_000), 5)
                break
            except IbiscartError:
                await trio.sleep(0.2)
        await trio.sleep(2)

    async def one_job(self, node):
        self._number += 1
        command = submit_job("lipi", f"j{self._number}")
        while True:
            try:
                await node.submit(command, 5)
            except IbiscartError:
                await trio.sleep(0.1)
            else:
                self.replies.add(trio.current_time())
                return

    async def closed_loop(self, node):
        while True:
            await self.one_job(node)

    async def open_loop(self, nursery, names):
        turn = 0
        while True:
            nursery.start_soon(self.one_job, self.nodes[names[turn % len(names)]])
            turn += 1
            await trio.sleep(1 / RATE)

    @property
    def conflicts(self):
        return sum(n.metrics.value("append_conflicts", "sequence") for n in self.nodes.values())

    @property
    def operations(self):
        return sum(self.cluster.table.operations.values())

    def writer(self):
        return self.cluster.records()[-1].writer


async def steady(variant, seed, figures):
    async with trio.open_nursery() as nursery:
        run = Run(nursery, variant, seed)
        await run.start()
        conflicts, operations = run.conflicts, run.operations
        with trio.move_on_after(STEADY_SECONDS):
            async with trio.open_nursery() as clients:
                for number in range(STEADY_CLIENTS):
                    name = ENTRIES[number % len(ENTRIES)]
                    clients.start_soon(run.closed_loop, run.nodes[name])
        jobs = len(run.replies)
        figures["jobs/s"] = f"{jobs / STEADY_SECONDS:.0f}"
        figures["conflicts/job"] = f"{(run.conflicts - conflicts) / max(1, jobs):.3f}"
        figures["store operations/job"] = f"{(run.operations - operations) / max(1, jobs):.3f}"
        nursery.cancel_scope.cancel()


async def fault(variant, kind, seed, figures):
    async with trio.open_nursery() as nursery:
        run = Run(nursery, variant, seed)
        await run.start()
        victim = run.writer()
        others = [name for name in ENTRIES if name != victim]
        nursery.start_soon(run.open_loop, nursery, others)
        await trio.sleep(3)
        start = trio.current_time()
        network = run.cluster.network
        if kind == "killed":
            run.cluster.kill(victim)
        elif kind == "partitioned":
            network.partition({victim}, set(others))
        else:
            network.pause(victim)
        await trio.sleep(FAULT_SECONDS)
        times = [start, *run.replies.irange(start), trio.current_time()]
        gap = max(b - a for a, b in zip(times, times[1:], strict=False))
        figures[f"gap, writer {kind}, s"] = f"{gap:.2f}" + ("+" if gap > FAULT_SECONDS - 1 else "")
        nursery.cancel_scope.cancel()


def main():
    seed = int(sys.argv[1]) if len(sys.argv) > 1 else 1
    logging.disable(logging.CRITICAL)
    table = {}
    for name, variant in (
        ("preferred writer", preferred),
        ("every entry", everyone),
        ("lease of 10 s", leased),
    ):
        figures = table[name] = {}
        run_virtual(lambda v=variant, f=figures: steady(v, seed, f), seed)
        for kind in ("killed", "partitioned", "paused"):
            run_virtual(lambda v=variant, k=kind, f=figures: fault(v, k, seed, f), seed)
    columns = list(next(iter(table.values())))
    print(f"| seed {seed} | " + " | ".join(columns) + " |")
    print("|---" * (len(columns) + 1) + "|")
    for name, figures in table.items():
        print(f"| {name} | " + " | ".join(figures[c] for c in columns) + " |")


if __name__ == "__main__":
    main()
