"""Random schedules of kills, pauses, cuts and outages against the writer."""

import functools
import os
import random
import unittest

import trio
import trio.testing

from ibiscart_core.error import ErrorKind
from ibiscart_core.ledger import Ledger
from tests.entry.cluster import (
    REGION,
    attempt,
    put_contract,
    run_virtual,
    started,
    submissions,
    submit_job,
)


class ScheduleTest(unittest.TestCase):
    # first and last seed; SCHEDULE_SEEDS=7:7 repeats one
    SEEDS = os.environ.get("SCHEDULE_SEEDS", "0:7")
    SECONDS = 40

    def test_random_schedules(self):
        """Faults in any order must not lose, repeat or revert a decision (P4, P8)."""
        start, end = map(int, self.SEEDS.split(":"))
        for seed in range(start, end + 1):
            with self.subTest(f"SCHEDULE_SEEDS={seed}:{seed}"):
                run_virtual(functools.partial(self.run_schedule, seed), seed)

    async def run_schedule(self, seed):
        async with trio.open_nursery() as nursery:
            rng = random.Random(seed)
            # no snapshots, so that the table holds every record for the checks
            cluster = await started(nursery, seed=seed, snapshot_records=100_000)
            results, versions = {}, [1]
            async with trio.open_nursery() as clients:
                for number in range(12):
                    clients.start_soon(self.run_client, cluster, number, rng, results)
                clients.start_soon(self.run_operator, cluster, rng, versions)
                await self.run_faults(cluster, rng)
            self.heal(cluster)
            await trio.sleep(4)
            written = len(cluster.records())
            await trio.sleep(2)
            self.check(cluster, written, results, versions)
            if "SCHEDULE_REPORT" in os.environ:
                self.report(cluster, seed, results, versions)
            nursery.cancel_scope.cancel()

    async def run_client(self, cluster, number, rng, results):
        await trio.sleep(rng.random() * 2)
        for turn in range(12):
            names = sorted(cluster.nodes)
            node = cluster.nodes[rng.choice(names)]
            key = f"c{number}-{turn}"
            insisting = number % 2
            with trio.move_on_after(40):
                if insisting:
                    await self.insist_anywhere(
                        cluster, rng, submit_job("labels", key), results, key
                    )
                else:
                    await attempt(node, submit_job("labels", key), results, key, 5.0)
            await trio.sleep(rng.random() * 4)

    async def insist_anywhere(self, cluster, rng, command, results, key):
        for _ in range(8):
            node = cluster.nodes[rng.choice(sorted(cluster.nodes))]
            await attempt(node, command, results, key, 5.0)
            if not isinstance(results[key], ErrorKind):
                return
            # a second attempt may succeed, so a refusal of one attempt says nothing here
            results[key] = None
            await trio.sleep(0.3)

    async def run_operator(self, cluster, rng, versions):
        for _ in range(30):
            node = cluster.nodes[rng.choice(sorted(cluster.nodes))]
            results = {}
            command = put_contract("labels", versions[-1], burst=100 + len(versions))
            await attempt(node, command, results, "change", 4.0)
            if not isinstance(results["change"], ErrorKind):
                versions.append(results["change"].contract.version)
            elif results["change"] is not ErrorKind.STORE_UNAVAILABLE:
                await trio.sleep(1)
                held = [n.journal.ledger.accounts.get("labels") for n in cluster.nodes.values()]
                newest = max((a.version for a in held if a), default=versions[-1])
                versions.append(max(newest, versions[-1]))
            await trio.sleep(rng.random() * 2)

    async def run_faults(self, cluster, rng):
        end = trio.current_time() + self.SECONDS
        started_entries = 0
        while trio.current_time() < end:
            await trio.sleep(rng.random() * 3)
            names = sorted(cluster.nodes)
            fault = rng.choice(
                ["peers", "store", "pause", "replace", "down", "lose", "slow", "late", "heal"]
            )
            name = rng.choice(names)
            if fault == "peers":
                cluster.network.partition({name}, set(names) - {name})
            elif fault == "store":
                cluster.network.partition({name}, {"table:1"})
            elif fault == "pause":
                cluster.network.pause(name)
                await trio.sleep(rng.random() * 5)
                cluster.network.resume(name)
            elif fault == "replace":
                started_entries += 1
                cluster.kill(name)
                new = f"n{started_entries}"
                cluster.members.set_machine(cluster.machine(new))
                cluster.members.remove(name)
                cluster.start(new)
            elif fault == "down":
                cluster.table.faults.down = True
                await trio.sleep(rng.random() * 5)
                cluster.table.faults.down = False
            elif fault == "lose":
                cluster.table.faults.lose = rng.random() * 0.5
            elif fault == "slow":
                cluster.table.faults.delay = rng.random()
            elif fault == "late":
                self.hold_some(cluster, rng)
            else:
                self.heal(cluster)

    def hold_some(self, cluster, rng):
        cluster.network.request_delay = lambda sender, address, request: (
            rng.random() * 6 if address == "table:1" and rng.random() < 0.3 else 0.0
        )

    def heal(self, cluster):
        cluster.network.heal()
        cluster.network.request_delay = lambda sender, address, request: 0.0
        faults = cluster.table.faults
        faults.down, faults.lose, faults.delay = False, 0.0, 0.0

    def report(self, cluster, seed, results, versions):
        answers = {}
        for result in results.values():
            name = result.value if isinstance(result, ErrorKind) else type(result).__name__
            answers[name] = answers.get(name, 0) + 1
        names = ("sequence", "lost")
        conflicts = [
            sum(n.metrics.value("append_conflicts", name) for n in cluster.nodes.values())
            for name in names
        ]
        print(f"seed {seed}: {answers} records {len(cluster.records())} conflicts {conflicts}")
        print(f"  writers {sorted({r.writer for r in cluster.records()})} version {versions[-1]}")

    def check(self, cluster, written, results, versions):
        """Checks every entry; ``written`` is the number of records 2 s ago."""
        ledger = Ledger(REGION)
        states = {}
        for record in cluster.records():
            ledger.apply(record)
            if any(n.journal.sequence == ledger.sequence for n in cluster.nodes.values()):
                message = ledger.snapshot()
                states[ledger.sequence] = message.SerializeToString(deterministic=True)
        for node in cluster.nodes.values():
            self.assertGreaterEqual(node.journal.sequence, written, f"{node.id} is behind")
            wanted = states[node.journal.sequence]
            self.assertTrue(node.state() == wanted, f"{node.id} differs from the journal")
            shown = [seen.get("labels", 0) for _, _, seen in node.history]
            self.assertEqual(shown, sorted(shown), f"{node.id} went back (P8)")
        counts = submissions(cluster)
        self.assertTrue(all(count == 1 for count in counts.values()), "decided twice")
        for key, result in results.items():
            if isinstance(result, ErrorKind):
                if result is not ErrorKind.COMMIT_UNKNOWN:
                    self.assertNotIn(key, counts, f"{result} was false")
            elif result is not None:
                self.assertIn(key, counts, "an accepted command is lost")
        self.assertLessEqual(versions[-1], ledger.accounts["labels"].version)


if __name__ == "__main__":
    unittest.main()
