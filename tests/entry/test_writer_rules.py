"""Guards what the writer does without commands, and what it refuses."""

import unittest
from unittest import mock

import trio
import trio.testing

from ibiscart_core.error import ErrorKind
from ibiscart_core.scheduler import Scheduler
from ibiscart_schema.generated import journal_pb2
from ibiscart_schema.generated.peer_pb2 import Command
from tests.entry.cluster import (
    ClusterCase,
    attempt,
    started,
    submissions,
    submit_job,
    virtual,
    worker,
)


class WriterRulesTest(ClusterCase):
    @virtual
    async def test_timed_rules_advance_without_commands(self, nursery):
        """A requeued job must be placed after its delay even when no command arrives."""
        cluster = await started(nursery)
        node = cluster.nodes["a"]
        await node.submit(submit_job("labels", "j"))
        held = Command()
        held.report_held.job.account, held.report_held.job.request_id = "labels", "j"
        held.report_held.attempt = 1
        await node.submit(held)
        failed = Command()
        ended = failed.report_member.ended
        ended.job.account, ended.job.request_id = "labels", "j"
        ended.attempt, ended.outcome = 1, journal_pb2.MEMBER_FAILED
        reply = await node.submit(failed)
        self.assertEqual(reply.job.state, journal_pb2.JOB_STATE_QUEUED)
        await trio.sleep(4)
        job = next(iter(node.journal.ledger.jobs.values()))
        self.assertEqual((job.state, job.attempt), (journal_pb2.JOB_STATE_PLACED, 2))

    @virtual
    async def test_shares_follow_the_live_entries_after_their_silence(self, nursery):
        """A share granted while its former holder still uses it would be used twice."""
        cluster = await started(nursery)
        await trio.sleep(4)
        node = cluster.nodes["a"]
        self.assertEqual(node.journal.ledger.share_entries, ("a", "b", "c"))
        epoch = node.journal.ledger.share_epoch
        cluster.network.partition({"c"}, {"a", "b"})
        await trio.sleep(7)
        cluster.network.heal()
        await trio.sleep(4)
        self.assertEqual(node.journal.ledger.share_epoch, epoch, "a short silence")
        cluster.kill("c")
        await trio.sleep(9)
        self.assertEqual(node.journal.ledger.share_entries, ("a", "b", "c"))
        await trio.sleep(6)
        self.assertEqual(node.journal.ledger.share_entries, ("a", "b"))

    @virtual
    async def test_entries_that_start_together_cause_one_grant(self, nursery):
        """Each grant ends the loans between entries, so a changing view must not cause many."""
        cluster = await started(nursery)
        for name in "de":
            cluster.members.set_machine(cluster.machine(name))
        await trio.sleep(4)
        ledger = cluster.nodes["a"].journal.ledger
        epoch = ledger.share_epoch
        cluster.start("d")
        await trio.sleep(1.2)
        cluster.start("e")
        await trio.sleep(8)
        self.assertEqual(ledger.share_entries, ("a", "b", "c", "d", "e"))
        self.assertEqual(ledger.share_epoch, epoch + 1)

    @virtual
    async def test_workers_follow_the_membership_list(self, nursery):
        """Jobs must be placed on new workers, and not on leaving ones."""
        cluster = await started(nursery)
        self.assertEqual(len(cluster.nodes["a"].journal.ledger.workers), 6)
        leaving = worker(2)
        leaving.leaving = True
        cluster.members.set_machine(leaving)
        cluster.members.set_machine(worker(9))
        await trio.sleep(5)
        workers = cluster.nodes["a"].journal.ledger.workers
        self.assertIn("w9", workers)
        self.assertFalse(workers["w2"].live)

    @virtual
    async def test_a_command_that_cannot_be_decided_stops_no_other(self, nursery):
        """A fault in the scheduler must not end the entry or fail the rest of the batch."""
        cluster = await started(nursery)
        decide = Scheduler.decide

        def fail(self, commands, now_us):
            events, replies = decide(self, commands, now_us)
            if any(c.submit_job.spec.request_id == "bad" for c in commands):
                raise KeyError("fault in the scheduler")
            return events, replies

        results = {}
        with mock.patch.object(Scheduler, "decide", fail):
            async with trio.open_nursery() as inner:
                for name in ("j1", "bad", "j2"):
                    command = submit_job("labels", name)
                    inner.start_soon(attempt, cluster.nodes["a"], command, results, name)
        self.assertEqual(results.pop("bad"), ErrorKind.INTERNAL)
        self.assertFalse([r for r in results.values() if isinstance(r, ErrorKind)])
        self.assertEqual(submissions(cluster), {"j1": 1, "j2": 1})
        await trio.sleep(2)
        self.assert_converged(cluster)

    @virtual
    async def test_commands_beyond_the_bound_are_refused(self, nursery):
        """An unbounded queue would use up the entry's memory during an outage."""
        cluster = await started(nursery)
        cluster.table.faults.down = True
        results = {}
        with mock.patch("ibiscart_entry.writer.QUEUE_BOUND", 20):
            async with trio.open_nursery() as inner:
                for number in range(30):
                    command = submit_job("labels", f"j{number}")
                    inner.start_soon(attempt, cluster.preferred, command, results, number, 3.0)
        kinds = list(results.values())
        self.assertEqual(kinds.count(ErrorKind.OVERLOADED), 10)


if __name__ == "__main__":
    unittest.main()
