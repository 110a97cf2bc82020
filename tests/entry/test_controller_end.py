"""Guards the ends of tasks against loss and double counting."""

import logging
import unittest

import trio
import trio.testing

from ibiscart_entry.task import TaskError
from ibiscart_schema.generated.journal_pb2 import (
    JOB_COMPLETED,
    JOB_STATE_ENDED,
    JOB_STATE_RUNNING,
    MEMBER_COMPLETED,
    MEMBER_NOT_STARTED,
)
from ibiscart_schema.generated.peer_pb2 import Command
from ibiscart_schema.generated.types_pb2 import TARGET_LIVE
from tests.entry.controlling import in_virtual_time


class EndTest(unittest.TestCase):
    @in_virtual_time
    async def test_failing_member_stops_the_gang_and_it_runs_again(self, setup):
        """Members must not go on without the one that failed (P2)."""
        await setup.start()
        setup.workers["w1"].faults.set(fail_everything=1)
        key = setup.submit("j1", 4, accelerators=8)
        await setup.wait(lambda: setup.job(key).attempt == 2)
        self.assertEqual(setup.running(key), 0)
        self.assertEqual(setup.total("stopped", key), 3)

    @in_virtual_time
    async def test_worker_that_fails_everything(self, setup):
        """A faulty worker must not use up the attempts of every job."""
        await setup.start(workers=4, accelerators=8)
        setup.workers["w0"].faults.set(fail_everything=1)
        keys = [
            setup.submit(f"j{n}", account=account, accelerators=2, payload="run_seconds=30")
            for n in range(4)
            for account in ("acme", "bert")
        ]
        await setup.wait(lambda: all(setup.job(key).state == JOB_STATE_ENDED for key in keys), 3600)
        self.assertEqual([setup.job(key).outcome for key in keys], [JOB_COMPLETED] * 8)
        quarantined = setup.region.events("worker_state_changed")[0]
        self.assertEqual((quarantined.worker_id, quarantined.cause), ("w0", "tasks_fail"))

    @in_virtual_time
    async def test_ends_are_reported_after_a_store_outage(self, setup):
        """Running work must go on without the store, and its end must not be lost."""
        await setup.start()
        key = setup.submit("j1", 4, accelerators=8, payload="run_seconds=100")
        await setup.wait(lambda: setup.running(key) == 4, 5)
        setup.region.outage = True
        await trio.sleep(90)
        self.assertEqual(setup.running(key), 4)
        await trio.sleep(60)
        self.assertEqual(setup.total("completed", key), 4)
        self.assertEqual(setup.job(key).state, JOB_STATE_RUNNING)
        setup.region.outage = False
        await setup.wait_state(key, JOB_STATE_ENDED, 20)
        self.assertEqual(setup.job(key).outcome, JOB_COMPLETED)

    @in_virtual_time
    async def test_takeover_reports_ends_again(self, setup):
        """Ends that a killed entry had not reported must be reported by the next one."""
        await setup.start(entries=("e1", "e2"))
        key = setup.submit("j1", 4, accelerators=8, payload="run_seconds=3")
        await setup.wait(lambda: setup.running(key) == 4, 5)
        for entry in setup.entries.values():
            entry.writer.hold = trio.Event()
        await trio.sleep(20)
        self.assertEqual(setup.job(key).state, JOB_STATE_RUNNING)
        setup.kill("e1")
        setup.kill("e2")
        await setup.start_entry("e3")
        await setup.wait_state(key, JOB_STATE_ENDED, 5)
        self.assertEqual(setup.job(key).outcome, JOB_COMPLETED)

    @in_virtual_time
    async def test_cancel_stops_all_members(self, setup):
        """A cancelled job must not keep any member."""
        await setup.start()
        key = setup.submit("j1", 4, accelerators=8)
        await setup.wait(lambda: setup.running(key) == 4, 5)
        setup.workers["w1"].faults.set(drop_answers=1)
        setup.region.decide(Command(cancel_job={"job": key.to_message()}))
        self.assertLess(await setup.wait_state(key, JOB_STATE_ENDED), 4)
        self.assertEqual(setup.running(key), 0)

    @in_virtual_time
    async def test_job_goes_on_while_a_call_is_under_way(self, setup):
        """A job that is queued again in the middle of a call must not end the controller."""
        await setup.start()
        key = setup.submit("j1", 2, accelerators=8)
        await setup.wait(lambda: setup.running(key) == 2, 5)
        calls = setup.entries["e1"].controller._calls
        stop = calls.stop

        async def late_stop(worker, task_id, timeout):
            calls.stop = stop
            for rank in range(2):
                ended = {"job": key.to_message(), "attempt": 1, "rank": rank, "outcome": 2}
                setup.region.decide(Command(report_member={"ended": ended}))
            raise TaskError("timeout")

        calls.stop = late_stop
        failed = {"job": key.to_message(), "attempt": 1, "rank": 1, "outcome": 1}
        setup.region.decide(Command(report_member={"ended": failed}))
        await setup.wait(lambda: setup.job(key).attempt == 2, 5)
        await setup.wait(lambda: setup.running(key) == 2)

    @in_virtual_time
    async def test_fault_in_one_job_does_not_end_the_others(self, setup):
        """A programming error that one job meets must not stop the whole entry."""
        await setup.start()
        first = setup.submit("j1", 1, accelerators=8)
        await setup.wait(lambda: setup.running(first) == 1, 5)
        calls = setup.entries["e1"].controller._calls
        stop, renew = calls.stop, calls.renew

        async def fail(*values):
            raise KeyError("fault")

        calls.stop = fail
        calls.renew = fail
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)
        setup.region.decide(Command(cancel_job={"job": first.to_message()}))
        await trio.sleep(15)
        calls.stop, calls.renew = stop, renew
        second = setup.submit("j2", 1, accelerators=8)
        await setup.wait_state(first, JOB_STATE_ENDED, 5)
        await setup.wait(lambda: setup.running(second) == 1, 5)

    @in_virtual_time
    async def test_lost_answer_to_a_report(self, setup):
        """A report whose answer is lost must take effect once."""
        await setup.start()
        setup.entries["e1"].writer.lose = 3
        key = setup.submit("j1", 2, payload="run_seconds=1")
        await setup.wait_state(key, JOB_STATE_ENDED)
        self.assertEqual(setup.job(key).outcome, JOB_COMPLETED)
        self.assertEqual(len(setup.region.events("job_released")), 1)

    @in_virtual_time
    async def test_never_started_member_frees_its_place_at_once(self, setup):
        """A place that was never used must not wait for a lease."""
        await setup.start(workers=1)
        first = setup.submit("j1", 1, accelerators=8)
        await setup.wait(lambda: setup.running(first) == 1, 5)
        setup.workers["w0"].faults.set(refuse=1)
        setup.region.decide(Command(cancel_job={"job": first.to_message()}))
        second = setup.submit("j2", 1, accelerators=8)
        await setup.wait(lambda: setup.job(second).attempt == 2, 10)
        ended = setup.region.events("member_ended")
        self.assertIn(MEMBER_NOT_STARTED, [e.outcome for e in ended])
        self.assertEqual(setup.region.working.workers["w0"].state, TARGET_LIVE)


class MissedRecordsTest(unittest.TestCase):
    @in_virtual_time
    async def test_job_that_ends_in_a_missed_record_is_forgotten(self, setup):
        """Memory must not grow with each job whose end was not read."""
        await setup.start(workers=1)
        key = setup.submit("j1", 1)
        await setup.wait(lambda: setup.running(key) == 1, 5)
        entry = setup.entries["e1"]
        leases = entry.controller._leases
        self.assertEqual(list(leases.keys()), [key])
        for channel in entry.journal._channels:
            channel.close()
        entry.journal._channels.clear()
        await trio.sleep(0.01)
        ended = {"job": key.to_message(), "attempt": 1, "rank": 0, "outcome": MEMBER_COMPLETED}
        setup.region.decide(Command(report_member={"ended": ended}))
        self.assertEqual(setup.job(key).state, JOB_STATE_ENDED)
        await setup.wait(lambda: not leases.keys(), 3)


if __name__ == "__main__":
    unittest.main()
