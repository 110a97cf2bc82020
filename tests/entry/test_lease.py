"""Guards against tasks that lapse, outlive their job, or lose their places too early."""

import json
import unittest

import trio
from google.protobuf.json_format import MessageToDict

from ibiscart_core.job import JobKey
from ibiscart_entry.task import parse_task_id
from ibiscart_schema.generated.journal_pb2 import (
    JOB_COMPLETED,
    JOB_STATE_ENDED,
    MEMBER_LAPSED,
    STOP_WORKER_LOST,
)
from ibiscart_schema.generated.peer_pb2 import Command
from ibiscart_schema.generated.target_pb2 import StartTask
from ibiscart_schema.generated.types_pb2 import TARGET_LEAVING, TARGET_LIVE, TARGET_LOST
from tests.entry.controlling import in_virtual_time


def _unreachable(worker):
    worker.faults.set(refuse_connections=1)


class RenewalTest(unittest.TestCase):
    @in_virtual_time
    async def test_one_call_renews_all_tasks_of_a_worker(self, setup):
        """Renewals must not cost a call for each task."""
        await setup.start(workers=2)
        keys = [setup.submit(f"j{n}", 1) for n in range(16)]
        await setup.wait(lambda: all(setup.running(key) for key in keys), 5)
        # from the age of 40 s on, a quarter of it exceeds the renewal period
        await trio.sleep(45)
        before = setup.calls("/v1/leases")
        await trio.sleep(100)
        calls = setup.calls("/v1/leases") - before
        self.assertTrue(all(setup.running(key) for key in keys))
        self.assertGreaterEqual(calls, 20)
        self.assertLessEqual(calls, 24)

    @in_virtual_time
    async def test_many_workers_cost_few_calls(self, setup):
        """An entry with 95 workers must stay within its budget of calls."""
        await setup.start(workers=95)
        await trio.sleep(20)
        before = setup.calls("/v1/leases")
        await trio.sleep(100)
        calls = setup.calls("/v1/leases") - before
        self.assertLessEqual(calls, 95 * 100 / 10 * 1.12)

    @in_virtual_time
    async def test_lost_answer_does_not_let_tasks_lapse(self, setup):
        """Two renewals without an answer must not end a lease of three periods."""
        await setup.start(workers=1)
        key = setup.submit("j1", 1)
        await setup.wait(lambda: setup.running(key) == 1, 5)
        for _ in range(10):
            setup.workers["w0"].faults.set(drop_answers=2)
            await trio.sleep(10)
        self.assertEqual(setup.running(key), 1)
        self.assertEqual(setup.job(key).attempt, 1)

    @in_virtual_time
    async def test_takeover_renews_before_the_lease_ends(self, setup):
        """Tasks of a killed entry must go on."""
        await setup.start(entries=("e1", "e2"))
        key = setup.submit("j1", 4, accelerators=8)
        await setup.wait(lambda: setup.running(key) == 4, 5)
        await trio.sleep(30)
        setup.kill("e1")
        await trio.sleep(60)
        self.assertEqual(setup.running(key), 4)
        self.assertEqual(setup.job(key).attempt, 1)

    @in_virtual_time
    async def test_separated_entry_extends_nothing(self, setup):
        """An entry that hears nobody must not keep tasks alive that others have stopped."""
        await setup.start(entries=("e1", "e2"))
        setup.region.decide(Command(grant_shares={"entries": ["e1", "e2"]}))
        key = setup.submit("j1", 4, accelerators=8)
        await setup.wait(lambda: setup.running(key) == 4, 5)
        separated = setup.entries["e1"]
        separated.journal.paused = True
        separated.peers.view = ["e1"]
        setup.kill("e2", seen=False)
        await trio.sleep(45)
        self.assertEqual(setup.running(key), 0)


class UnreachableTest(unittest.TestCase):
    @in_virtual_time
    async def test_places_stay_until_the_lease_has_run_out(self, setup):
        """Places of a task that may still run must not be given away (P2)."""
        await setup.start(workers=2)
        key = setup.submit("j1", 1, accelerators=8)
        await setup.wait(lambda: setup.running(key) == 1, 5)
        await trio.sleep(25)
        name = setup.job(key).members[0].worker_id
        _unreachable(setup.workers[name])
        setup.region.decide(Command(cancel_job={"job": key.to_message()}))
        await setup.wait_state(key, JOB_STATE_ENDED)
        self.assertEqual(setup.running(key), 0)
        self.assertEqual(setup.total("lapsed", key), 1)

    @in_virtual_time
    async def test_worker_is_lost_after_a_whole_lease(self, setup):
        """A worker that does not answer must be given up, but not before its lease ends."""
        await setup.start(workers=2)
        key = setup.submit("j1", 2, accelerators=8)
        await setup.wait(lambda: setup.running(key) == 2, 5)
        await trio.sleep(25)
        setup.workers["w1"].faults.set(freeze=1)
        ledger = setup.region.working
        seconds = await setup.wait(lambda: ledger.workers["w1"].state == TARGET_LOST)
        self.assertGreaterEqual(seconds, 18)
        self.assertLessEqual(seconds, 45)
        stopping = setup.region.events("job_stopping")[0]
        self.assertEqual(stopping.cause, STOP_WORKER_LOST)
        await setup.wait(lambda: setup.job(key).attempt == 2)
        ended = setup.region.events("member_ended")
        self.assertIn(MEMBER_LAPSED, [e.outcome for e in ended])
        self.assertEqual(setup.running(key), 0)

    @in_virtual_time
    async def test_renewal_without_an_answer_extends_the_wait(self, setup):
        """A renewal that took effect without an answer keeps its task running longer (P2)."""
        await setup.start(workers=1)
        worker = setup.workers["w0"]
        handle, silent = worker.handle, []

        async def silent_renewals(request):
            if silent and request.path != "/v1/leases":
                await trio.sleep_forever()
            response = await handle(request)
            if silent:
                await trio.sleep_forever()
            return response

        worker.handle = silent_renewals
        key = setup.submit("j1", 1, accelerators=8)
        await setup.wait(lambda: setup.running(key) == 1, 5)
        await trio.sleep(25)
        silent.append(True)
        await setup.wait(lambda: setup.region.events("member_ended"))
        self.assertEqual(setup.running(key), 0)

    @in_virtual_time
    async def test_takeover_counts_the_lease_anew(self, setup):
        """An entry that takes over cannot know when the one before last extended a lease."""
        await setup.start(workers=1, entries=("e1", "e2"))
        key = setup.submit("j1", 1, accelerators=8)
        await setup.wait(lambda: setup.running(key) == 1, 5)
        worker = setup.workers["w0"]
        worker.faults.set(refuse_connections=1)
        setup.region.decide(Command(cancel_job={"job": key.to_message()}))
        await trio.sleep(20)
        # the last call of the entry that goes away extended the lease without an answer
        task = next(iter(worker.tasks.values()))
        task.lease_until = trio.current_time() + 30
        for name in ("e1", "e2"):
            setup.kill(name)
        await setup.start_entry("e3")
        await setup.wait_state(key, JOB_STATE_ENDED)
        self.assertEqual(setup.running(key), 0)

    @in_virtual_time
    async def test_lost_worker_comes_back(self, setup):
        """A worker that answers again must get work again, with its old tasks stopped."""
        await setup.start(workers=1)
        key = setup.submit("j1", 1, accelerators=8)
        await setup.wait(lambda: setup.running(key) == 1, 5)
        setup.workers["w0"].faults.set(freeze=1)
        worker = setup.region.working.workers["w0"]
        await setup.wait(lambda: worker.state == TARGET_LOST)
        await setup.wait(lambda: setup.job(key).attempt == 2)
        setup.workers["w0"].faults.set(freeze=0)
        await setup.wait(lambda: worker.state == TARGET_LIVE, 15)
        await setup.wait(lambda: setup.running(key) == 1, 15)
        self.assertEqual(setup.check_capacity(), 0)

    @in_virtual_time
    async def test_worker_that_was_started_anew(self, setup):
        """A task that its worker forgot must be reported as gone, not waited for."""
        await setup.start(workers=2)
        key = setup.submit("j1", 2, accelerators=8)
        await setup.wait(lambda: setup.running(key) == 2, 5)
        setup.workers["w1"].restart()
        await setup.wait(lambda: setup.job(key).attempt == 2, 12)
        self.assertEqual(setup.total("stopped", key), 1)


class VisitTest(unittest.TestCase):
    """Ends of tasks are seen in proportion to their run time, at a few calls per job."""

    async def run_job(self, setup, request_id, seconds):
        """Runs a job; returns the time from its task's end to its recorded end, and the calls."""
        before = setup.calls("/v1/leases")
        key = setup.submit(request_id, 1, payload=f"run_seconds={seconds}")
        await setup.wait(lambda: setup.total("completed", key) == 1, seconds + 5)
        late = await setup.wait_state(key, JOB_STATE_ENDED)
        return late, setup.calls("/v1/leases") - before

    @in_virtual_time
    async def test_end_is_seen_within_a_quarter_of_the_run_time(self, setup):
        """A short task must not hold its places until the next renewal."""
        await setup.start(workers=1)
        await trio.sleep(30)
        for number, seconds in enumerate((0.1, 0.3, 1, 2, 5, 20, 40, 60, 300)):
            # the time since the last renewal differs from job to job
            await trio.sleep(number)
            late, calls = await self.run_job(setup, f"j{number}", seconds)
            # 0.1 s: a poll of the test, and the release after its record
            self.assertLessEqual(late, min(10, max(0.25, seconds / 4)) + 0.1, seconds)
            self.assertLessEqual(calls, 26 + seconds / 10 * 1.12, seconds)

    @in_virtual_time
    async def test_young_task_beside_an_old_one(self, setup):
        """A long task must not hide the end of a short one on the same worker."""
        await setup.start(workers=1)
        old = setup.submit("old", 1)
        await trio.sleep(300)
        late, _ = await self.run_job(setup, "young", 1)
        self.assertLessEqual(late, 0.35)
        self.assertEqual(setup.running(old), 1)

    @in_virtual_time
    async def test_takeover_counts_the_age_from_the_record(self, setup):
        """An entry that takes over must neither forget the age nor start from none."""
        await setup.start(workers=1)
        key = setup.submit("j1", 1, payload="run_seconds=200")
        await setup.wait(lambda: setup.running(key) == 1, 5)
        await trio.sleep(100)
        setup.kill("e1")
        await setup.start_entry("e2")
        before = setup.calls("/v1/leases")
        await trio.sleep(50)
        self.assertLessEqual(setup.calls("/v1/leases") - before, 7)
        self.assertEqual(setup.running(key), 1)

    @in_virtual_time
    async def test_end_that_cannot_be_recorded_costs_no_more_calls(self, setup):
        """A task whose end waits for the store must not keep the visits frequent."""
        await setup.start(workers=1)
        key = setup.submit("j1", 1, payload="run_seconds=1")
        await setup.wait(lambda: setup.running(key) == 1, 5)
        setup.region.outage = True
        await trio.sleep(5)
        before = setup.calls("/v1/leases")
        await trio.sleep(100)
        self.assertLessEqual(setup.calls("/v1/leases") - before, 12)


class UnknownTaskTest(unittest.TestCase):
    async def start_task(self, setup, worker, task_id):
        message = StartTask(task_id=task_id, held=False, lease_seconds=1000)
        client = setup.connect(f"{worker}:1")
        body = json.dumps(MessageToDict(message, preserving_proto_field_name=True)).encode()
        await client.request("POST", "/v1/tasks", body=body, timeout=1)

    @in_virtual_time
    async def test_task_that_no_job_owns_is_stopped(self, setup):
        """A task that the journal does not know must not hold resources for ever."""
        await setup.start(workers=1)
        await self.start_task(setup, "w0", "acme/ghost/1/0")
        await setup.wait(lambda: setup.workers["w0"].states()["acme/ghost/1/0"] == "stopped", 40)

    @in_virtual_time
    async def test_task_of_an_earlier_attempt_is_stopped(self, setup):
        """A task that a stale entry started must be stopped at the next renewal."""
        await setup.start(workers=1)
        key = setup.submit("j1", 1, payload="run_seconds=2")
        await setup.wait(lambda: setup.job(key).state == JOB_STATE_ENDED)
        await self.start_task(setup, "w0", "acme/j1/1/1")
        await setup.wait(lambda: setup.workers["w0"].states()["acme/j1/1/1"] == "stopped", 11)

    @in_virtual_time
    async def test_task_of_a_decision_not_read_yet_is_kept(self, setup):
        """An entry that lags behind the journal must not stop another's new tasks."""
        await setup.start(entries=("e1",), workers=1)
        setup.entries["e1"].journal.paused = True
        await self.start_task(setup, "w0", "acme/new/1/0")
        await trio.sleep(60)
        self.assertEqual(setup.workers["w0"].states()["acme/new/1/0"], "running")

    def test_task_ids_of_another_form(self):
        """A task id that others chose must not end the renewals."""
        self.assertIsNone(parse_task_id("a/b"))
        self.assertIsNone(parse_task_id("a/b/x/0"))
        self.assertEqual(parse_task_id("a/b/1/2"), (JobKey("a", "b"), 1, 2))


class SignTest(unittest.TestCase):
    """P6: signs about workers reach the other entries and the journal."""

    @in_virtual_time
    async def test_sign_by_the_workers_answer(self, setup):
        """A worker that says it is leaving must get no new work (P6)."""
        await setup.start(workers=2)
        setup.workers["w0"].faults.set(leaving=1)
        worker = setup.region.working.workers["w0"]
        await setup.wait(lambda: worker.state == TARGET_LEAVING, 11)
        signs = setup.entries["e1"].peers.signs.reports
        self.assertIn(("w0", TARGET_LEAVING, "own_answer"), signs)
        key = setup.submit("j1", 1)
        self.assertEqual(setup.job(key).members[0].worker_id, "w1")
        # the worker was started anew
        setup.workers["w0"].faults.set(leaving=0)
        await setup.wait(lambda: worker.state == TARGET_LIVE, 11)

    @in_virtual_time
    async def test_sign_that_the_journal_does_not_have(self, setup):
        """A sign about a worker that answers must not keep it without work for ever."""
        await setup.start(workers=1)
        signs = setup.entries["e1"].peers.signs
        signs.report("w0", TARGET_LEAVING, "connection_refused")
        await setup.wait(lambda: signs.eligible("w0"), 45)
        key = setup.submit("j1", 1)
        await setup.wait(lambda: setup.running(key) == 1, 5)

    @in_virtual_time
    async def test_sign_by_a_refused_connection(self, setup):
        """A worker that refuses connections must get no new work until it answers (P6)."""
        await setup.start(workers=2)
        _unreachable(setup.workers["w0"])
        worker = setup.region.working.workers["w0"]
        await setup.wait(lambda: worker.state == TARGET_LEAVING, 11)
        signs = setup.entries["e1"].peers.signs.reports
        self.assertIn(("w0", TARGET_LEAVING, "connection_refused"), signs)
        setup.workers["w0"].faults.set(refuse_connections=0)
        await setup.wait(lambda: worker.state == TARGET_LIVE, 5)

    @in_virtual_time
    async def test_running_work_goes_on_on_a_leaving_worker(self, setup):
        """A worker that is leaving must keep its running tasks to their end (P7)."""
        await setup.start(workers=1)
        key = setup.submit("j1", 1, payload="run_seconds=50")
        await setup.wait(lambda: setup.running(key) == 1, 5)
        setup.workers["w0"].faults.set(leaving=1)
        await setup.wait(lambda: setup.job(key).state == JOB_STATE_ENDED)
        self.assertEqual(setup.job(key).outcome, JOB_COMPLETED)


if __name__ == "__main__":
    unittest.main()
