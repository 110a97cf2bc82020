"""Guards gangs against faults during outages and against random faults."""

import random
import unittest

import trio
import trio.testing

from ibiscart_entry.task import TaskError
from ibiscart_schema.generated.journal_pb2 import (
    JOB_COMPLETED,
    JOB_STATE_ENDED,
    MEMBER_FAILED,
    MEMBER_STOPPED,
)
from ibiscart_schema.generated.peer_pb2 import Command
from tests.entry.controlling import Setup, _delayed, in_virtual_time


class FaultDuringOutageTest(unittest.TestCase):
    """P2: the others of a gang stop at once when a member ends by fault, store or no store."""

    ENTRIES = ("e1", "e2", "e3")

    async def start_gang(self, setup, without_stops=(), entries=ENTRIES):
        await setup.start(entries=entries)
        for name in without_stops:
            worker = setup.workers[name]
            worker.handle = _delayed(worker.handle, "/stop", float("inf"))
        key = setup.submit("j1", 4, accelerators=8)
        await setup.wait(lambda: setup.running(key) == 4, 5)
        setup.region.outage = True
        return key

    def task(self, setup, worker_id):
        return next(iter(setup.workers[worker_id].tasks.values()))

    def outcomes(self, setup, attempt):
        ended = setup.region.events("member_ended")
        return sorted(e.outcome for e in ended if e.attempt == attempt)

    @in_virtual_time
    async def test_failed_member(self, setup):
        """A gang must not run in part until the store answers again."""
        key = await self.start_gang(setup)
        await trio.sleep(1)
        self.task(setup, "w1").fail_after = 2
        await setup.wait(lambda: setup.running(key) == 0, 12)
        await trio.sleep(100)
        self.assertEqual(setup.running(key), 0)
        self.assertEqual(setup.region.events("member_ended"), [])
        setup.region.outage = False
        await setup.wait(lambda: setup.running(key) == 4, 10)
        self.assertEqual(setup.job(key).attempt, 2)
        self.assertEqual(self.outcomes(setup, 1), [MEMBER_FAILED] + 3 * [MEMBER_STOPPED])
        self.assertEqual(setup.region.events("job_requeued")[0].reason, "member_failed")

    @in_virtual_time
    async def test_lapsed_member(self, setup):
        """A worker that lost its tasks must not leave the rest of the gang running."""
        key = await self.start_gang(setup)
        setup.workers["w1"].restart()
        await setup.wait(lambda: setup.running(key) == 0, 12)

    @in_virtual_time
    async def test_unreachable_worker(self, setup):
        """Members must not run on after the leases of a silent worker have ended."""
        key = await self.start_gang(setup)
        setup.workers["w1"].faults.set(refuse_connections=1)
        await setup.wait(lambda: setup.running(key) == 0, 45)
        setup.workers["w1"].faults.set(refuse_connections=0)
        setup.region.outage = False
        await setup.wait(lambda: setup.running(key) == 4, 45)
        self.assertEqual(setup.job(key).attempt, 2)

    @in_virtual_time
    async def test_worker_without_answer_to_the_stop(self, setup):
        """A member whose worker loses the stops must not be kept running by renewals."""
        key = await self.start_gang(setup, without_stops=("w2",), entries=("e1",))
        self.task(setup, "w1").fail_after = 1
        await setup.wait(lambda: setup.running(key) == 1, 12)
        await setup.wait(lambda: setup.running(key) == 0, 30)

    @in_virtual_time
    async def test_worker_that_others_renew_and_do_not_stop(self, setup):
        """The owner of a worker must not renew a gang that another entry saw fail."""
        key = await self.start_gang(setup, without_stops=("w0", "w1", "w2", "w3"))
        owners = {setup.owner_of_worker(name) for name in setup.workers}
        self.assertGreater(len(owners), 1)
        self.task(setup, "w1").fail_after = 1
        await setup.wait(lambda: setup.running(key) == 0, 45)

    @in_virtual_time
    async def test_entry_that_cannot_reach_a_worker(self, setup):
        """The owner of a worker must stop what the entry that saw the fault cannot."""
        await setup.start(entries=self.ENTRIES)
        seer = setup.owner_of_worker("w1")
        far = next(n for n in setup.workers if setup.owner_of_worker(n) != seer)
        stop = setup.entries[seer].controller._calls.stop

        async def cut_off(worker, *values):
            if worker.id == far:
                raise TaskError("connect_timeout")
            return await stop(worker, *values)

        setup.entries[seer].controller._calls.stop = cut_off
        key = setup.submit("j1", 4, accelerators=8)
        await setup.wait(lambda: setup.running(key) == 4, 5)
        setup.region.outage = True
        self.task(setup, "w1").fail_after = 1
        await setup.wait(lambda: setup.running(key) == 0, 5)

    @in_virtual_time
    async def test_fault_with_the_store_up_costs_few_calls(self, setup):
        """Entries that hear of a fault must not all stop a gang that is stopped already."""
        key = await self.start_gang(setup)
        setup.region.outage = False
        before = setup.calls("/stop")
        self.task(setup, "w1").fail_after = 1
        await setup.wait(lambda: setup.job(key).attempt == 2, 12)
        await trio.sleep(3)
        # once by the entry that saw the fault, once by the driver
        self.assertLessEqual(setup.calls("/stop") - before, 2 * 3)

    @in_virtual_time
    async def test_completed_member_stops_nothing(self, setup):
        """A member that completed early must not end the work of the others."""
        key = await self.start_gang(setup)
        self.task(setup, "w1").run_seconds = 2
        await trio.sleep(100)
        self.assertEqual(setup.running(key), 3)
        self.assertEqual(setup.calls("/stop"), 0)
        setup.region.outage = False
        for name in ("w0", "w2", "w3"):
            self.task(setup, name).run_seconds = 102
        await setup.wait_state(key, JOB_STATE_ENDED)
        self.assertEqual(setup.job(key).outcome, JOB_COMPLETED)

    @in_virtual_time
    async def test_stale_entry_leaves_the_next_attempt_alone(self, setup):
        """A stop may only reach the attempt whose member was seen to fail."""
        key = await self.start_gang(setup)
        setup.region.outage = False
        stale = setup.entries["e3"]
        stale.journal.paused = True
        self.task(setup, "w1").fail_after = 1
        await setup.wait(lambda: setup.job(key).attempt == 2 and setup.running(key) == 4)
        # two visits; the stale entry does not renew what it does not know, for one lease
        await trio.sleep(20)
        self.assertEqual(stale.journal.ledger.jobs[key].attempt, 1)
        self.assertEqual((setup.running(key), setup.job(key).attempt), (4, 2))

    @in_virtual_time
    async def test_report_of_the_fault_after_those_of_the_stops(self, setup):
        """The reason must name the failed member even when a stop is recorded first."""
        key = await self.start_gang(setup)
        for rank, outcome in ((0, MEMBER_STOPPED), (1, MEMBER_FAILED)):
            ended = {"job": key.to_message(), "attempt": 1, "rank": rank, "outcome": outcome}
            setup.region.decide(Command(report_member={"ended": ended}))
        setup.region.outage = False
        await setup.wait(lambda: setup.job(key).attempt == 2, 12)
        self.assertEqual(setup.region.events("job_requeued")[0].reason, "member_failed")


class RandomFaultsTest(unittest.TestCase):
    """Gangs under lost, late and refused calls, frozen workers, takeovers and outages."""

    SEEDS = range(12)
    JOBS = 16

    def check(self, seed):
        async def main():
            async with trio.open_nursery() as nursery:
                setup = Setup(nursery, seed)
                await self.run_jobs(setup, random.Random(seed))
                nursery.cancel_scope.cancel()

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    async def run_jobs(self, setup, randoms):
        await setup.start(entries=("e1", "e2", "e3"), accelerators=4)
        keys = []
        for number in range(self.JOBS):
            members = randoms.choice([1, 2, 4])
            payload = f"run_seconds={randoms.uniform(1, 60):.1f}"
            keys.append(setup.submit(f"j{number}", members, accelerators=2, payload=payload))
        for _ in range(60):
            await trio.sleep(randoms.uniform(0.1, 3))
            await self.disturb(setup, randoms, keys)
            self.assertEqual(setup.check_capacity(), 0, f"seed {setup.seed}")
        for worker in setup.workers.values():
            worker.faults.set(**dict.fromkeys(worker.faults.FIELDS, 0))
        setup.region.outage = False
        for entry in setup.entries.values():
            entry.journal.paused = False
            entry.journal.follow()
        for key in keys:
            await setup.wait_state(key, JOB_STATE_ENDED, 3600)
        self.assertEqual(setup.check_capacity(), 0, f"seed {setup.seed}")
        self.check_runs(setup, keys)

    async def disturb(self, setup, randoms, keys):
        faults = randoms.choice(list(setup.workers.values())).faults
        what = randoms.randrange(9)
        if what < 3:
            faults.set(drop_answers=randoms.randint(1, 3))
        elif what == 3:
            faults.set(delay_seconds=randoms.choice([0, 0, 0.3, 1.5]))
        elif what == 4:
            faults.set(freeze=randoms.choice([0, 0, 1]))
        elif what == 5:
            faults.set(refuse_connections=randoms.choice([0, 0, 1]))
        elif what == 6:
            setup.region.outage = randoms.random() < 0.3
        elif what == 7:
            setup.region.decide(Command(cancel_job={"job": randoms.choice(keys).to_message()}))
        elif len(setup.network.live) > 1 and len(setup.entries) < 8:
            setup.kill(randoms.choice(setup.network.live))
            await setup.start_entry(f"e{len(setup.entries) + 1}")

    def check_runs(self, setup, keys):
        for key in keys:
            seen = set()
            for worker in setup.workers.values():
                for action in worker.action_log.actions:
                    if (action.account, action.request_id) == (key.account, key.request_id):
                        item = (action.action, action.attempt, action.rank)
                        self.assertNotIn(item, seen, f"seed {setup.seed}")
                        seen.add(item)
            job = setup.job(key)
            if job.outcome == JOB_COMPLETED:
                completed = {r for a, n, r in seen if a == "completed" and n == job.attempt}
                self.assertEqual(len(completed), job.shape.members, f"seed {setup.seed}")

    def test_no_place_is_used_twice_and_every_job_ends(self):
        """Combined faults must neither overload a worker, nor run a task twice, nor hang."""
        for seed in self.SEEDS:
            self.check(seed)


if __name__ == "__main__":
    unittest.main()
