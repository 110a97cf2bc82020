"""Tests that a replay depends only on the trace and the policy."""

import unittest

from ibiscart_core.audit import audit
from ibiscart_core.policies.adaptive import AdaptivePolicy
from ibiscart_core.policies.fifo import FifoPolicy
from ibiscart_core.replay import Replay, ReplayError, first_difference
from ibiscart_core.trace import format_event, read_trace
from ibiscart_schema.generated.journal_pb2 import Record
from ibiscart_schema.generated.trace_pb2 import TraceEvent
from ibiscart_schema.generated.types_pb2 import SCOPE_RACK, TARGET_LIVE, TARGET_LOST
from tests.core.random_trace import random_trace
from tools.trace_generator import FOLDER

SECOND = 1_000_000
MEMBER = {"accelerators": 4, "cpu_millis": 8000, "memory_mb": 1000}


class TraceBuilder:
    """A trace of two workers in one rack and one account without guarantees."""

    def __init__(self, **outcomes):
        self.events = [TraceEvent(header={"name": "small", "region": "alba", "outcomes": outcomes})]
        capacity = {"accelerators": 8, "cpu_millis": 32000, "memory_mb": 64000}
        workers = [{"id": f"w{n}", "rack": "r1", "capacity": capacity} for n in (1, 2)]
        self.command(0, register_workers={"workers": workers})
        contract = {
            "account": "alpha",
            "burst_accelerators": 16,
            "burst_cpu_millis": 64000,
            "queued_jobs": 50,
        }
        self.command(0, put_contract={"contract": contract})

    def add(self, seconds, **kind):
        self.events.append(TraceEvent(time_us=int(seconds * SECOND), source="trace", **kind))
        return self

    def command(self, seconds, **kind):
        return self.add(seconds, input={"command": kind})

    def submit(self, seconds, request_id, run_seconds=60, members=2, repeatable=True, **fields):
        job = {"account": "alpha", "request_id": request_id}
        self.add(seconds, behaviour={"job": job, "run_seconds": run_seconds} | fields)
        shape = {"members": members, "member": MEMBER, "scope": SCOPE_RACK}
        spec = job | {"shape": shape, "repeatable": repeatable}
        return self.command(seconds, submit_job={"spec": spec})

    def cancel(self, seconds, request_id):
        job = {"account": "alpha", "request_id": request_id}
        return self.command(seconds, cancel_job={"job": job})

    def report(self, seconds, worker_id, state):
        return self.command(seconds, report_worker={"worker_id": worker_id, "state": state})

    def replay(self):
        return Replay(iter(self.events), FifoPolicy()).run()


def kinds(replay):
    return [event.WhichOneof("kind") for record in replay.records for event in record.events]


class ReplayTest(unittest.TestCase):
    def assert_outcomes(self, replay, **expected):
        found = {name: count for name, count in replay.outcomes().items() if count}
        self.assertEqual(found, expected)
        self.assertEqual(audit(replay.events), [])

    def mixed_trace(self):
        trace = TraceBuilder(jobs_completed=11, jobs_failed=1, jobs_cancelled=1)
        for number in range(11):
            trace.submit(1 + number, f"j{number}", 30 + number)
        trace.submit(20, "bad", 60, failing_rank=2, fail_after_seconds=5)
        trace.submit(21, "long", 1000)
        return trace.cancel(60, "long")

    def test_gives_the_same_bytes_each_time(self):
        """Replays that depend on hash order or on the clock can't be compared."""
        first, second = self.mixed_trace().replay(), self.mixed_trace().replay()
        for name in ("records", "events"):
            one, two = getattr(first, name), getattr(second, name)
            self.assertEqual(
                [m.SerializeToString(deterministic=True) for m in one],
                [m.SerializeToString(deterministic=True) for m in two],
            )
        self.assertEqual(
            list(map(format_event, first.events)), list(map(format_event, second.events))
        )

    def test_compares_the_stated_outcomes(self):
        replay = self.mixed_trace().replay()
        self.assert_outcomes(replay, jobs_completed=11, jobs_failed=1, jobs_cancelled=1)
        self.assertEqual(replay.outcome_differences(), [])
        replay.header.outcomes["jobs_completed"] = 12
        self.assertEqual(replay.outcome_differences(), ["jobs_completed: stated 12, replayed 11"])

    def test_forms_a_batch_of_what_arrives_within_20_ms(self):
        trace = TraceBuilder()
        trace.submit(1, "a", members=1).submit(1.019, "b", members=1).submit(1.5, "c", members=1)
        replay = trace.replay()
        submitted = [
            [e.job_submitted.spec.request_id for e in r.events if e.HasField("job_submitted")]
            for r in replay.records
        ]
        self.assertEqual([batch for batch in submitted if batch], [["a", "b"], ["c"]])
        times = [r.time_us for r in replay.records if r.events[0].HasField("job_submitted")]
        self.assertEqual(times, [1_020_000, 1_520_000])

    def test_runs_a_job_for_its_recorded_time(self):
        replay = TraceBuilder().submit(1, "a", 60).replay()
        (released,) = [e for e in replay.events if _action_and_rank(e) == ("released", 0)]
        (completed,) = [e for e in replay.events if _action_and_rank(e) == ("completed", 0)]
        self.assertEqual(completed.time_us - released.time_us, 60 * SECOND)
        self.assert_outcomes(replay, jobs_completed=1)

    def test_runs_a_job_without_behaviour_for_its_declared_time(self):
        trace = TraceBuilder()
        shape = {"members": 1, "member": MEMBER}
        spec = {"account": "alpha", "request_id": "a", "shape": shape, "declared_seconds": 7}
        replay = trace.command(1, submit_job={"spec": spec}).replay()
        (released,) = [e for e in replay.events if _action_and_rank(e) == ("released", 0)]
        (completed,) = [e for e in replay.events if _action_and_rank(e) == ("completed", 0)]
        self.assertEqual(completed.time_us - released.time_us, 7 * SECOND)

    def test_decides_nothing_during_an_outage(self):
        trace = TraceBuilder().submit(1, "a", 5)
        trace.add(2, store_outage={"seconds": 100}).submit(3, "b", 5)
        replay = trace.replay()
        between = [r for r in replay.records if 2 * SECOND < r.time_us < 102 * SECOND]
        self.assertEqual(between, [])
        self.assert_outcomes(replay, jobs_completed=2)

    def test_stops_a_gang_during_an_outage(self):
        """The other members of a gang must stop before the store records the failure (P2)."""
        trace = TraceBuilder().submit(1, "a", 60, failing_rank=1, fail_after_seconds=5)
        trace.add(3, store_outage={"seconds": 100})
        replay = trace.replay()
        stopped = next(e for e in replay.events if _action_and_rank(e) == ("stopped", 1))
        failed = next(e for e in replay.events if _action_and_rank(e) == ("failed", 0))
        self.assertLess(stopped.time_us - failed.time_us, SECOND)
        self.assert_outcomes(replay, jobs_failed=1)

    def test_ends_members_on_a_lost_worker_and_runs_the_gang_again(self):
        trace = TraceBuilder().submit(1, "a", 60)
        trace.report(10, "w1", TARGET_LOST).report(100, "w1", TARGET_LIVE)
        replay = trace.replay()
        self.assertEqual(kinds(replay).count("job_requeued"), 1)
        self.assertIn(("lapsed", 0), list(map(_action_and_rank, replay.events)))
        self.assert_outcomes(replay, jobs_completed=1)

    def test_tries_a_failing_job_three_times(self):
        trace = TraceBuilder().submit(1, "a", 60, failing_rank=1, fail_after_seconds=5)
        replay = trace.replay()
        self.assertEqual(kinds(replay).count("job_released"), 3)
        self.assert_outcomes(replay, jobs_failed=1)

    def test_keeps_checkpointed_work_of_preempted_jobs(self):
        """Lost work is a metric; checkpointed run time must shorten the next attempt."""
        for no_checkpoint, lost, total in ((False, 1.1 * 8, 60), (True, 20.3 * 8, 80)):
            trace = TraceBuilder().submit(1, "a", 60, no_checkpoint=no_checkpoint)
            contract = {"account": "alpha", "queued_jobs": 50}
            limits = {"burst_accelerators": 16, "burst_cpu_millis": 64000}
            trace.command(21, put_contract={"contract": contract, "expected_version": 1})
            trace.command(22, put_contract={"contract": contract | limits, "expected_version": 2})
            replay = trace.replay()
            self.assertEqual(kinds(replay).count("job_requeued"), 1)
            self.assertAlmostEqual(
                replay.worker_simulator.lost_accelerator_seconds, lost, delta=0.3 * 8
            )
            self.assertAlmostEqual(replay.ledger.time_us / SECOND, total, delta=6)

    def test_reports_the_first_difference(self):
        records = self.mixed_trace().replay().records
        self.assertIsNone(first_difference(records, records))
        changed = [Record.FromString(r.SerializeToString()) for r in records]
        changed[3].events[0].job_submitted.spec.payload = "x"
        self.assertIn("record 4, event 0: recorded", first_difference(records, changed))
        changed = [Record.FromString(r.SerializeToString()) for r in records]
        changed[1].time_us += 1
        self.assertIn("record 2: recorded sequence 2 at", first_difference(records, changed))
        self.assertIn("not replayed", first_difference(records, records[:-1]))
        self.assertIn("not recorded", first_difference(records[:-1], records))

    def test_refuses_traces_without_header_or_order(self):
        trace = TraceBuilder()
        with self.assertRaisesRegex(ReplayError, "header"):
            Replay(iter(trace.events[1:]), FifoPolicy()).run()
        trace.submit(5, "a").submit(4, "b")
        with self.assertRaisesRegex(ReplayError, "goes back from 5000000 us to 4000000 us"):
            trace.replay()

    def test_ends_when_a_job_can_never_be_placed(self):
        """A replay must end although a gang waits for a worker that never returns."""
        trace = TraceBuilder().report(1, "w1", TARGET_LOST).submit(2, "a", members=4)
        self.assert_outcomes(trace.replay(), jobs_unfinished=1)


class CommittedTracesTest(unittest.TestCase):
    """Tests that the default policy keeps the properties and the outcomes of committed traces."""

    def test_keeps_every_property_and_outcome(self):
        for path in sorted(FOLDER.glob("*.jsonl")):
            with self.subTest(path.name), path.open("rb") as file:
                replay = Replay(read_trace(file), AdaptivePolicy()).run()
                self.assertEqual(replay.outcome_differences(), [])
                self.assertEqual(audit(replay.events), [])


class RandomTracesTest(unittest.TestCase):
    """Tests scheduler, ledger and policies with combined faults.

    Traces mix worker losses, cancellations, contract changes, failing jobs and outages.
    """

    def test_keeps_every_property_and_leaves_no_job_queued(self):
        """A job that the scheduler no longer considers stays queued without any error."""
        for seed in range(60):
            with self.subTest(seed=seed):
                replay = Replay(iter(random_trace(seed)), AdaptivePolicy()).run()
                ledger = replay.ledger
                self.assertEqual(audit(replay.events), [])
                self.assertEqual(ledger.active, {})
                self.assertEqual(
                    [job.key for job in waiting_jobs(ledger) if can_run(ledger, job)], []
                )


def waiting_jobs(ledger):
    return [job for account in ledger.accounts.values() for job in account.queued.values()]


def can_run(ledger, job):
    """Returns True if a preemptible job fits an empty region and its burst limits."""
    contract = ledger.accounts[job.key.account].contract
    total = job.shape.total
    over_limit = (
        0 < total.accelerators > contract.burst_accelerators
        or 0 < total.cpu_millis > contract.burst_cpu_millis
    )
    slots_by_domain = {}
    for worker in ledger.workers.values():
        if worker.live:
            domain = worker.domain(job.shape.scope)
            fits = job.shape.member.times_within(worker.capacity)
            slots_by_domain[domain] = slots_by_domain.get(domain, 0) + fits
    return (
        job.spec.repeatable
        and not over_limit
        and max(slots_by_domain.values(), default=0) >= job.shape.members
    )


def _action_and_rank(event):
    return (event.target_action.action, event.target_action.rank)


if __name__ == "__main__":
    unittest.main()
