"""Guards against partially running gangs, lost ends and places given away too early."""

import logging
import random
import unittest

import trio
import trio.testing

from ibiscart_core.job import JobKey
from ibiscart_core.lifecycle import Lifecycle
from ibiscart_core.resource import Resources
from ibiscart_entry.controller import Controller
from ibiscart_entry.metric import Metrics
from ibiscart_entry.task import TaskError
from ibiscart_schema.generated.journal_pb2 import (
    JOB_CANCELLED,
    JOB_COMPLETED,
    JOB_STATE_ENDED,
    JOB_STATE_RUNNING,
    MEMBER_COMPLETED,
    MEMBER_FAILED,
    MEMBER_NOT_STARTED,
    MEMBER_STOPPED,
    STOP_PREEMPTED,
    STOP_START_FAILED,
)
from ibiscart_schema.generated.peer_pb2 import Command
from ibiscart_schema.generated.types_pb2 import RAN_NO, TARGET_LEAVING, TARGET_LIVE
from tests.entry.fake import (
    FakeJournal,
    FakeNetwork,
    FakePeers,
    FakeRegion,
    FakeWriter,
    now_us,
    put_contract,
    register_workers,
    scheduler_settings,
    submit_job,
)
from tests.standins.worker import WorkerDouble

CAPACITY = Resources(8, 128_000, 256_000)


class Entry:
    def __init__(self, setup, name):
        self.name = name
        self.journal = FakeJournal(setup.region)
        self.writer = FakeWriter(setup.region)
        self.peers = FakePeers(name, setup.network)
        self.metrics = Metrics()
        self.scope = trio.CancelScope()
        self.controller = Controller(
            name,
            scheduler_settings(),
            self.journal,
            self.writer,
            self.peers,
            self.metrics,
            random=random.Random(setup.seed),
            connect=setup.connect,
            wall=lambda: now_us() / 1e6,
        )

    async def run(self, task_status):
        with self.scope:
            await self.controller.run(task_status)


class Setup:
    """Workers, entries and a region in virtual time."""

    def __init__(self, nursery, seed=0):
        self.nursery = nursery
        self.seed = seed
        self.region = FakeRegion()
        self.network = FakeNetwork([])
        self.workers = {}
        self.entries = {}

    async def start(self, workers=4, entries=("e1",), accelerators=8):
        names = [f"w{n}" for n in range(workers)]
        await self.nursery.start(self.region.run)
        for name in names:
            worker = WorkerDouble(name, Resources(accelerators, 128_000, 256_000))
            self.workers[name] = worker
            await self.nursery.start(worker.run)
        self.region.decide(put_contract())
        self.region.decide(put_contract("bert"))
        self.region.decide(register_workers(names, accelerators))
        for name in entries:
            await self.start_entry(name)

    async def start_entry(self, name):
        self.network.live.append(name)
        self.entries[name] = Entry(self, name)
        await self.nursery.start(self.entries[name].run)

    def kill(self, name, seen=True):
        self.entries[name].scope.cancel()
        if seen:
            self.network.live.remove(name)

    def connect(self, address):
        client = self.workers[address.split(":")[0]].client()
        client.address = address
        return client

    def submit(self, request_id, members=1, **values):
        self.region.decide(submit_job(request_id, members, **values))
        return JobKey(values.get("account", "acme"), request_id)

    def preempt(self, first, second):
        """Places the second job on the workers that the running first one leaves."""
        ledger = self.region.working

        class Displace:
            def schedule(self, batch):
                if ledger.jobs[first].state == JOB_STATE_RUNNING:
                    workers = [member.worker_id for member in ledger.jobs[first].members]
                    Lifecycle(batch, 3).stop(ledger.jobs[first], STOP_PREEMPTED, second)
                    placed = {"job": second.to_message(), "attempt": 1, "workers": workers}
                    batch.emit(job_placed=placed)

        self.region.scheduler._policy = Displace()
        self.region.decide(Command(register_workers={}))

    def job(self, key):
        return self.region.working.jobs[key]

    def owner_of_worker(self, name):
        peers = next(iter(self.entries.values())).peers
        return peers.owner_of(f"worker/{name}")

    def owner(self, key):
        peers = next(iter(self.entries.values())).peers
        return peers.owner_of(f"job/{key.account}/{key.request_id}")

    async def wait(self, check, seconds=120):
        """Waits in virtual time; returns the seconds that passed."""
        start = trio.current_time()
        while not check():
            if trio.current_time() - start > seconds:
                raise AssertionError(f"not reached in {seconds} s, seed {self.seed}")
            await trio.sleep(0.05)
        return trio.current_time() - start

    async def wait_state(self, key, state, seconds=120):
        return await self.wait(lambda: self.job(key).state == state, seconds)

    def running(self, key):
        """Number of members that run on the workers."""
        prefix = f"{key.account}/{key.request_id}/"
        return sum(
            state == "running" and task_id.startswith(prefix)
            for worker in self.workers.values()
            for task_id, state in worker.states().items()
        )

    def total(self, action, key=None):
        pair = (key.account, key.request_id) if key else (None, None)
        return sum(worker.record.count(action, *pair) for worker in self.workers.values())

    def calls(self, ending):
        return sum(
            path.endswith(ending) for worker in self.workers.values() for _, path in worker.calls
        )

    def check_capacity(self):
        return sum(worker.overcommitted for worker in self.workers.values())


def _delayed(handle, ending, seconds):
    """Delays calls to paths with this ending; set it before the first call to the worker."""

    async def delayed(request):
        if request.path.endswith(ending):
            await trio.sleep(seconds)
        return await handle(request)

    return delayed


def in_virtual_time(test):
    """Runs an async test with a clock that jumps over idle time."""

    def run(self):
        async def main():
            async with trio.open_nursery() as nursery:
                await test(self, Setup(nursery))
                nursery.cancel_scope.cancel()

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    run.__name__, run.__doc__ = test.__name__, test.__doc__
    return run


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
        self.assertEqual(setup.workers["w1"].record.count("started"), 0)
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
            actions = [(a.request_id, a.action) for a in worker.record.actions]
            expected = [("j1", "started"), ("j1", "released"), ("j1", "stopped")]
            self.assertEqual(actions, [*expected, ("j2", "started"), ("j2", "released")])


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
                for action in worker.record.actions:
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
