"""Guards against partially running gangs, lost ends and places given away too early."""

import unittest

import trio
import trio.testing

from ibiscart_core.job import JobKey
from ibiscart_schema.generated.journal_pb2 import (
    JOB_CANCELLED,
    JOB_COMPLETED,
    JOB_STATE_ENDED,
    JOB_STATE_RUNNING,
    STOP_START_FAILED,
)
from ibiscart_schema.generated.peer_pb2 import Command
from ibiscart_schema.generated.types_pb2 import RAN_NO, TARGET_LEAVING
from tests.entry.controlling import _delayed, in_virtual_time
from tests.entry.fake import (
    scheduler_settings,
)


class StartTest(unittest.TestCase):
    @in_virtual_time
    async def test_gang_is_held_released_and_completed(self, setup):
        """A gang must run as a whole, and its end must be reported once per member."""
        await setup.start()
        key = setup.submit("j1", 4, accelerators=8, payload="run_seconds=25")
        seconds = await setup.wait_state(key, JOB_STATE_RUNNING)
        self.assertLess(seconds, 0.5)
        await setup.wait(lambda: setup.running(key) == 4, 1)
        await setup.wait_state(key, JOB_STATE_ENDED)
        self.assertEqual(setup.job(key).outcome, JOB_COMPLETED)
        self.assertEqual(setup.total("released", key), 4)
        self.assertEqual(setup.region.count("report_member"), 4)
        self.assertEqual(len(setup.region.events("job_released")), 1)

    @in_virtual_time
    async def test_answer_to_a_start_is_lost(self, setup):
        """A start whose answer is lost must neither run twice nor hold up the gang (P2)."""
        await setup.start()
        setup.workers["w1"].faults.set(drop_answers=1)
        key = setup.submit("j1", 4, accelerators=8)
        await setup.wait(lambda: setup.running(key) == 4, 5)
        self.assertEqual(setup.total("started", key), 4)
        self.assertEqual(setup.job(key).attempt, 1)

    @in_virtual_time
    async def test_one_member_refuses(self, setup):
        """No member may run when one worker refuses (P2)."""
        await setup.start()
        setup.workers["w2"].faults.set(leaving=1)
        key = setup.submit("j1", 4, accelerators=8)
        await setup.wait(lambda: setup.job(key).attempt == 2)
        self.assertEqual(setup.total("released", key), 0)
        self.assertEqual(setup.region.events("job_stopping")[0].cause, STOP_START_FAILED)
        self.assertEqual(setup.region.working.workers["w2"].state, TARGET_LEAVING)
        await setup.wait(lambda: "held" not in str([w.states() for w in setup.workers.values()]), 5)
        self.assertIn(("w2", TARGET_LEAVING, "own_answer"), setup.entries["e1"].peers.signs.reports)

    @in_virtual_time
    async def test_worker_leaves_while_its_place_is_awaited(self, setup):
        """A worker that is leaving must get no start of a job placed before (P6)."""
        await setup.start(workers=2)
        entry = setup.entries["e1"]
        setup.workers["w0"].faults.set(delay_seconds=0.5)
        key = setup.submit("j1", 2, accelerators=8)
        entry.peers.signs.report("w1", TARGET_LEAVING, "membership")
        await setup.wait(lambda: setup.job(key).attempt == 2)
        self.assertEqual(setup.workers["w1"].action_log.count("started"), 0)
        self.assertEqual(setup.total("released", key), 0)

    @in_virtual_time
    async def test_frozen_worker_does_not_hold_up_others(self, setup):
        """Calls that wait for one worker must leave room for the others."""
        await setup.start(workers=2, accelerators=150)
        first = [setup.submit(f"a{n}", 1) for n in range(128)]
        await setup.wait(lambda: all(setup.running(key) for key in first), 20)
        name = setup.job(first[0]).members[0].worker_id
        setup.workers[name].faults.set(freeze=1)
        for key in first:
            setup.region.decide(Command(cancel_job={"job": key.to_message()}))
        second = setup.submit("b1", 1, accelerators=100)
        self.assertNotEqual(setup.job(second).members[0].worker_id, name)
        self.assertLess(await setup.wait(lambda: setup.running(second) == 1), 0.5)

    @in_virtual_time
    async def test_cancellation_in_the_middle_of_the_start(self, setup):
        """A start call that was under way must not leave a task behind (P2)."""
        await setup.start()
        setup.workers["w3"].faults.set(delay_seconds=0.6)
        key = setup.submit("j1", 4, accelerators=8)
        await setup.wait(lambda: setup.total("started", key) == 3, 5)
        setup.region.decide(Command(cancel_job={"job": key.to_message()}))
        await setup.wait_state(key, JOB_STATE_ENDED)
        self.assertEqual(setup.job(key).outcome, JOB_CANCELLED)
        self.assertEqual(setup.job(key).ran, RAN_NO)
        self.assertEqual(setup.total("released", key), 0)
        # the places are free in the ledger, so no task may be left on a worker
        open_tasks = [s for w in setup.workers.values() for s in w.states().values() if s == "held"]
        self.assertEqual(open_tasks, [])

    @in_virtual_time
    async def test_start_that_takes_effect_after_the_stop(self, setup):
        """Places must not be given away while a start call may still take effect (P2)."""
        await setup.start(workers=1)
        worker = setup.workers["w0"]
        handle = worker.handle

        async def slow_start(request):
            if request.path == "/v1/tasks" and b"acme/j1" in request.body:
                await trio.sleep(3)
            return await handle(request)

        worker.handle = slow_start
        first = setup.submit("j1", 1, accelerators=8)
        await trio.sleep(0.5)
        setup.region.decide(Command(cancel_job={"job": first.to_message()}))
        second = setup.submit("j2", 1, accelerators=8)
        await setup.wait(lambda: setup.running(second) == 1, 30)
        self.assertEqual(setup.total("started", first), 1)
        self.assertEqual(setup.check_capacity(), 0)

    @in_virtual_time
    async def test_one_member_lapses_before_the_release(self, setup):
        """The members that are still held must not run without the one that is gone (P2)."""
        await setup.start(entries=("e1", "e2"))
        key = JobKey("acme", "j1")
        driver = setup.entries[setup.owner(key)]
        other = next(e for e in setup.entries.values() if e is not driver)
        driver.writer.hold = trio.Event()
        other.journal.paused = True
        setup.submit("j1", 4, accelerators=8)
        await setup.wait(lambda: setup.total("started", key) == 4, 5)
        setup.kill(driver.name)
        for name in ("w0", "w1", "w2"):
            task = next(iter(setup.workers[name].tasks.values()))
            task.lease_until += 20
        await setup.wait(lambda: setup.total("lapsed", key) == 1, 10)
        setup.region.decide(Command(report_held={"job": key.to_message(), "attempt": 1}))
        other.journal.paused = False
        other.journal.follow()
        await setup.wait(lambda: setup.job(key).attempt == 2)
        self.assertEqual(setup.total("released", key), 0)

    @in_virtual_time
    async def test_store_outage_between_held_and_released(self, setup):
        """A gang that is held when the store fails must run once it is back."""
        await setup.start()
        setup.entries["e1"].writer.hold = trio.Event()
        key = setup.submit("j1", 4, accelerators=8)
        await setup.wait(lambda: setup.total("started", key) == 4, 5)
        setup.region.outage = True
        setup.entries["e1"].writer.hold.set()
        await trio.sleep(40)
        self.assertEqual(setup.total("released", key), 0)
        setup.region.outage = False
        await setup.wait(lambda: setup.running(key) == 4, 5)
        self.assertEqual(setup.total("started", key), 4)

    @in_virtual_time
    async def test_driver_killed_between_held_and_released(self, setup):
        """A takeover must release the whole gang or stop it (P2)."""
        await setup.start(entries=("e1", "e2"))
        key = JobKey("acme", "j1")
        driver = setup.entries[setup.owner(key)]
        driver.writer.hold = trio.Event()
        setup.submit("j1", 4, accelerators=8)
        await setup.wait(lambda: setup.total("started", key) == 4, 5)
        setup.kill(driver.name)
        await setup.wait(lambda: setup.running(key) == 4)
        self.assertEqual(setup.total("started", key), 4 * setup.job(key).attempt)
        self.assertEqual(setup.total("released", key), 4)

    @in_virtual_time
    async def test_takeover_after_the_held_leases_have_run_out(self, setup):
        """A member that lapsed before its release must keep the others from running (P2)."""
        await setup.start(entries=("e1", "e2"))
        key = JobKey("acme", "j1")
        driver = setup.entries[setup.owner(key)]
        driver.writer.hold = trio.Event()
        setup.submit("j1", 4, accelerators=8)
        await setup.wait(lambda: setup.total("started", key) == 4, 5)
        setup.kill(driver.name, seen=False)
        await setup.wait(lambda: setup.total("lapsed", key) == 4, 10)
        # the report of the killed entry arrives late and is appended
        setup.region.decide(Command(report_held={"job": key.to_message(), "attempt": 1}))
        setup.network.live.remove(driver.name)
        await setup.wait(lambda: setup.job(key).attempt == 2)
        self.assertEqual(setup.total("released", key), 0)

    @in_virtual_time
    async def test_stale_driver_resumes_late(self, setup):
        """An entry that was paused must not run members of an attempt that is over (P2)."""
        await setup.start(entries=("e1", "e2"))
        key = JobKey("acme", "j1")
        stale = setup.entries[setup.owner(key)]
        other = next(e for e in setup.entries.values() if e is not stale)
        setup.workers["w3"].faults.set(freeze=1)
        setup.submit("j1", 4, accelerators=8, payload="run_seconds=5")
        await setup.wait(lambda: setup.total("started", key) == 3, 5)
        stale.journal.paused = True
        setup.network.live.remove(stale.name)
        setup.region.decide(Command(cancel_job={"job": key.to_message()}))
        setup.workers["w3"].faults.set(freeze=0)
        await setup.wait_state(key, JOB_STATE_ENDED)
        # its ledger still has the job as placed, and it goes on to drive it
        for _ in range(200):
            await trio.sleep(0.1)
            self.assertEqual(setup.running(key), 0)
        self.assertEqual(setup.total("released", key), 0)
        self.assertEqual(other.controller.gangs, [])

    @in_virtual_time
    async def test_two_entries_drive_the_same_job(self, setup):
        """Entries whose views differ for a while must not start or release twice."""
        await setup.start(entries=("e1", "e2"))
        setup.entries["e1"].peers.view = ["e1"]
        setup.entries["e2"].peers.view = ["e2"]
        key = setup.submit("j1", 4, accelerators=8, payload="run_seconds=5")
        await setup.wait_state(key, JOB_STATE_ENDED)
        self.assertEqual(setup.job(key).outcome, JOB_COMPLETED)
        self.assertEqual(setup.total("started", key), 4)
        self.assertEqual(setup.total("released", key), 4)
        self.assertEqual(len(setup.region.events("member_ended")), 4)

    @in_virtual_time
    async def test_start_waits_for_preempted_work(self, setup):
        """A worker starts what it is given, so places must be clear before a start."""
        await setup.start(workers=1)
        ledger = setup.region.working
        first = setup.submit("j1", 1, accelerators=8)
        await setup.wait(lambda: setup.running(first) == 1, 5)
        setup.workers["w0"].faults.set(delay_seconds=0.4)
        second = setup.submit("j2", 1, accelerators=8)

        setup.preempt(first, second)
        seconds = await setup.wait(lambda: setup.running(second) == 1)
        self.assertLess(seconds, 4.2)
        self.assertEqual(setup.check_capacity(), 0)
        self.assertEqual(setup.calls("/checkpoint"), 1)
        self.assertGreater(ledger.jobs[first].saved_seconds, 0)

    @in_virtual_time
    async def test_preemption_with_slow_answers_and_checkpoints(self, setup):
        """Urgent work must start within 4.2 s although no checkpoint ends in its bound."""
        await setup.start(workers=2)
        for worker in setup.workers.values():
            worker.faults.set(delay_answers_seconds=0.1)
            worker.handle = _delayed(worker.handle, "/checkpoint", 3)
        first = setup.submit("j1", 2, accelerators=8)
        await setup.wait(lambda: setup.running(first) == 2, 5)
        second = setup.submit("j2", 2, accelerators=8)
        setup.preempt(first, second)
        seconds = await setup.wait(lambda: setup.total("released", second) == 2)
        checkpoint = scheduler_settings().checkpoint_seconds
        self.assertGreater(seconds, checkpoint)
        self.assertLessEqual(seconds, 4.2)
        self.assertEqual(setup.running(second), 2)
        self.assertEqual(setup.check_capacity(), 0)
        for worker in setup.workers.values():
            actions = [(a.request_id, a.action) for a in worker.action_log.actions]
            expected = [("j1", "started"), ("j1", "released"), ("j1", "stopped")]
            self.assertEqual(actions, [*expected, ("j2", "started"), ("j2", "released")])


if __name__ == "__main__":
    unittest.main()
