"""Guards the writer against lost, repeated and wrongly refused commands over several entries."""

import unittest

import trio
import trio.testing

from ibiscart_core.error import ErrorKind
from tests.entry.cluster import (
    ClusterCase,
    attempt,
    insist,
    put_contract,
    started,
    submissions,
    submit_job,
    virtual,
)


class WriterTest(ClusterCase):
    @virtual
    async def test_commands_at_every_entry_reach_one_journal(self, nursery):
        """Entries must not decide on states of their own."""
        cluster = await started(nursery)
        for name, node in cluster.nodes.items():
            reply = await node.submit(submit_job("labels", f"job-{name}"))
            self.assertEqual(reply.job.spec.request_id, f"job-{name}")
        await trio.sleep(2)
        self.assert_converged(cluster)
        writers = {record.writer for record in cluster.records()}
        self.assertEqual(len(writers), 1, "without a conflict only the preferred entry writes")

    @virtual
    async def test_commands_are_batched(self, nursery):
        """One write for each command would exceed the store's rate in a burst."""
        cluster = await started(nursery)
        before = len(cluster.records())
        results = {}
        async with trio.open_nursery() as inner:
            for number in range(200):
                node = cluster.nodes["abc"[number % 3]]
                inner.start_soon(attempt, node, submit_job("labels", f"j{number}"), results, number)
        self.assertEqual(len(results), 200)
        self.assertLess(len(cluster.records()) - before, 8)

    @virtual
    async def test_one_of_two_operators_meets_a_version_conflict(self, nursery):
        """A race of two operators must not overwrite one of the changes."""
        for names in ("ab", "aa", "bc"):
            cluster = await started(nursery)
            results = {}
            async with trio.open_nursery() as inner:
                for index, name in enumerate(names):
                    command = put_contract("labels", 1, burst=50 + index)
                    inner.start_soon(attempt, cluster.nodes[name], command, results, index)
            conflicts = [r for r in results.values() if r is ErrorKind.VERSION_CONFLICT]
            replies = [r for r in results.values() if r is not ErrorKind.VERSION_CONFLICT]
            self.assertEqual(len(conflicts), 1)
            self.assertEqual(replies[0].contract.version, 2)

    @virtual
    async def test_one_of_two_operators_meets_a_conflict_across_a_partition(self, nursery):
        """Two writers that cannot see each other must not both accept version 2."""
        cluster = await started(nursery)
        cluster.network.partition({"a"}, {"b", "c"})
        await trio.sleep(3)
        results = {}
        async with trio.open_nursery() as inner:
            for index, name in enumerate("ab"):
                command = put_contract("labels", 1, burst=50 + index)
                inner.start_soon(attempt, cluster.nodes[name], command, results, index)
        kinds = [r if isinstance(r, ErrorKind) else r.contract.version for r in results.values()]
        self.assertCountEqual(kinds, [2, ErrorKind.VERSION_CONFLICT])

    @virtual
    async def test_two_writers_that_both_believe_they_are_preferred(self, nursery):
        """Peers that cannot see each other must still write one journal."""
        cluster = await started(nursery)
        for pair in ("ab", "bc", "ca"):
            cluster.network.partition({pair[0]}, {pair[1]})
        await trio.sleep(3)
        self.assertEqual({n.peers.preferred_writer() for n in cluster.nodes.values()}, set("abc"))
        results = {}
        async with trio.open_nursery() as inner:
            for number in range(60):
                node = cluster.nodes["abc"[number % 3]]
                inner.start_soon(attempt, node, submit_job("labels", f"j{number}"), results, number)
                await trio.sleep(0.01)
        self.assertFalse([r for r in results.values() if isinstance(r, ErrorKind)])
        conflicts = sum(
            n.metrics.value("append_conflicts", "sequence") for n in cluster.nodes.values()
        )
        self.assertGreater(conflicts, 0)
        await trio.sleep(3)
        self.assert_converged(cluster)
        self.assertEqual(submissions(cluster), {f"j{n}": 1 for n in range(60)})

    @virtual
    async def test_lost_answers_lose_and_repeat_no_command(self, nursery):
        """An append whose answer was lost must be neither dropped nor decided twice."""
        cluster = await started(nursery)
        cluster.table.faults.lose = 0.3
        results = {}
        async with trio.open_nursery() as inner:
            for number in range(40):
                node = cluster.nodes["abc"[number % 3]]
                command = submit_job("labels", f"j{number}")
                inner.start_soon(insist, node, command, results, number, 30.0)
                await trio.sleep(0.2)
        cluster.table.faults.lose = 0.0
        await trio.sleep(6)
        self.assert_converged(cluster)
        self.assertEqual(submissions(cluster), {f"j{n}": 1 for n in range(40)})

    @virtual
    async def test_kill_of_the_preferred_writer_in_the_middle_of_a_batch(self, nursery):
        """Commands on their way to a killed entry must be decided by the next one."""
        cluster = await started(nursery)
        victim = cluster.preferred.id
        others = [n for n in cluster.nodes.values() if n.id != victim]
        start = trio.current_time()
        times, results = [], {}

        async def client(number):
            await insist(others[number % 2], submit_job("labels", f"j{number}"), results, number)
            times.append(trio.current_time())

        async with trio.open_nursery() as inner:
            for number in range(60):
                inner.start_soon(client, number)
                await trio.sleep(0.05)
                if number == 20:
                    # the append of the present batch lands, but nobody hears of it
                    cluster.network.request_delay = lambda s, d, r: 0.5 * (s == victim)
                    await trio.sleep(0.04)
                    cluster.kill(victim)
        await trio.sleep(3)
        self.assert_converged(cluster)
        self.assertEqual(submissions(cluster), {f"j{n}": 1 for n in range(60)})
        gaps = [b - a for a, b in zip([start, *times], times, strict=False)]
        self.assertLess(max(gaps), 3.0, "time without decisions")

    @virtual
    async def test_a_paused_writer_that_resumes_with_an_old_view(self, nursery):
        """Decisions on an outdated state must not become part of the journal."""
        cluster = await started(nursery)
        paused = cluster.preferred
        others = [n for n in cluster.nodes.values() if n is not paused]
        results = {}
        async with trio.open_nursery() as inner:
            inner.start_soon(
                attempt, paused, put_contract("labels", 1, burst=7), results, "old", 60
            )
            await trio.sleep(0.005)
            cluster.network.pause(paused.id)
            await trio.sleep(4)
            await others[0].submit(put_contract("labels", 1, burst=8))
            for number in range(5):
                await others[1].submit(submit_job("labels", f"j{number}"))
            cluster.network.resume(paused.id)
        self.assertEqual(results["old"], ErrorKind.VERSION_CONFLICT)
        await trio.sleep(3)
        self.assert_converged(cluster)
        self.assertEqual(paused.journal.ledger.accounts["labels"].contract.burst_accelerators, 8)

    @virtual
    async def test_an_old_view_is_confirmed_before_a_refusal(self, nursery):
        """A refusal from an outdated state would be false, although nothing is appended."""
        cluster = await started(nursery)
        node = cluster.nodes["a"]
        cluster.network.partition({"a"}, {"b", "c", "table:1"})
        await trio.sleep(4)
        await cluster.nodes["b"].submit(put_contract("new", 0))
        await trio.sleep(4)
        cluster.network.heal()
        # its own store client may still be in the open state of the circuit breaker
        results = {}
        await insist(node, submit_job("new", "j"), results, "j")
        self.assertNotIsInstance(results["j"], ErrorKind)

    @virtual
    async def test_a_command_answered_as_not_run_is_not_decided_again(self, nursery):
        """A caller that was answered ran = no must not find its job in the journal later (P4)."""
        cluster = await started(nursery)
        node = cluster.nodes["a"]
        cluster.network.partition({"a"}, {"b", "c"})
        cluster.network.request_delay = lambda s, d, r: 1.9 if (s, d) == ("a", "table:1") else 0.0
        await trio.sleep(6)
        while not 2.1 < node.journal.confirmed_age() < 2.4:
            await trio.sleep(0.05)
        await cluster.nodes["b"].submit(put_contract("new", 0))
        # the entry does not know the account yet, and its read takes longer than its caller waits
        results = {}
        await attempt(node, submit_job("new", "j"), results, "j", 0.5)
        self.assertEqual(results["j"], ErrorKind.STORE_UNAVAILABLE)
        await trio.sleep(10)
        self.assertIn("new", node.journal.ledger.accounts)
        self.assertEqual(submissions(cluster), {})

    @virtual
    async def test_replies_tell_the_truth_while_the_store_is_down(self, nursery):
        """A command answered with ran = no must never take effect later."""
        cluster = await started(nursery)
        cluster.table.faults.down = True
        results = {}
        async with trio.open_nursery() as inner:
            for number in range(60):
                node = cluster.nodes["abc"[number % 3]]
                command = submit_job("labels", f"j{number}")
                inner.start_soon(attempt, node, command, results, f"j{number}", 4.0)
                await trio.sleep(0.1)
        kinds = set(results.values())
        self.assertTrue(kinds <= {ErrorKind.STORE_UNAVAILABLE, ErrorKind.COMMIT_UNKNOWN}, kinds)
        self.assertIn(ErrorKind.STORE_UNAVAILABLE, kinds)
        cluster.table.faults.down = False
        await trio.sleep(10)
        found = set(submissions(cluster))
        refused = {k for k, r in results.items() if r is ErrorKind.STORE_UNAVAILABLE}
        self.assertFalse(found & refused)
        reply = await cluster.nodes["a"].submit(submit_job("labels", "after"))
        self.assertEqual(reply.job.spec.request_id, "after")
        await trio.sleep(3)
        self.assert_converged(cluster)

    @virtual
    async def test_a_timed_out_append_that_was_sent_is_unknown(self, nursery):
        """A command whose append lands after its deadline must not be answered as not run."""
        cluster = await started(nursery)
        node = cluster.preferred
        cluster.network.request_delay = lambda s, d, r: (
            3.0 if (s, d) == (node.id, "table:1") else 0.0
        )
        results = {}
        await attempt(node, submit_job("labels", "late"), results, "late", 1.0)
        self.assertEqual(results["late"], ErrorKind.COMMIT_UNKNOWN)
        await trio.sleep(5)
        self.assertEqual(submissions(cluster), {"late": 1})

    @virtual
    async def test_a_slow_store_makes_batches_larger(self, nursery):
        """With one append in flight, a slow store must not limit the number of decisions."""
        cluster = await started(nursery)
        cluster.table.faults.delay = 1.2
        before = len(cluster.records())
        results = {}
        async with trio.open_nursery() as inner:
            for number in range(200):
                node = cluster.nodes["abc"[number % 3]]
                command = submit_job("labels", f"j{number}")
                inner.start_soon(attempt, node, command, results, number, 20.0)
                await trio.sleep(0.05)
        self.assertFalse([r for r in results.values() if isinstance(r, ErrorKind)])
        self.assertLess(len(cluster.records()) - before, 20)

    @virtual
    async def test_a_writer_without_the_store_hands_its_commands_to_peers(self, nursery):
        """The preferred entry may be the only one that cannot reach the store."""
        cluster = await started(nursery)
        node = cluster.preferred
        cluster.network.partition({node.id}, {"table:1"})
        results = {}
        async with trio.open_nursery() as inner:
            # the first is sent, and stays undecided
            inner.start_soon(attempt, node, submit_job("labels", "first"), results, "first", 20.0)
            await trio.sleep(1)
            inner.start_soon(attempt, node, submit_job("labels", "own"), results, "own", 8.0)
            other = next(n for n in cluster.nodes.values() if n is not node)
            inner.start_soon(attempt, other, submit_job("labels", "peer"), results, "peer", 8.0)
            await trio.sleep(10)
            cluster.network.heal()
        self.assertEqual([k for k, r in results.items() if isinstance(r, ErrorKind)], [])
        self.assertEqual(submissions(cluster), {"first": 1, "own": 1, "peer": 1})

    @virtual
    async def test_a_contract_change_whose_answer_was_lost_is_not_a_conflict(self, nursery):
        """A change that is in force must not be reported as refused."""
        cluster = await started(nursery)
        writer = cluster.preferred.id
        sender = next(n for n in cluster.nodes.values() if n.id != writer)
        cluster.network.blocked.add((writer, sender.id))
        reply = await sender.submit(put_contract("labels", 1, burst=77))
        self.assertEqual((reply.contract.version, reply.contract.burst_accelerators), (2, 77))
        versions = [
            e.contract_changed.contract.version
            for r in cluster.records()
            for e in r.events
            if e.WhichOneof("kind") == "contract_changed"
        ]
        self.assertEqual(versions, [1, 2])


if __name__ == "__main__":
    unittest.main()
