"""Tests of the evidence that a task crashes its workers, and of where such a task is placed."""

import json
import unittest

from ibiscart_core.workflow.crash import (
    HOLD_SECONDS,
    ISOLATION_SECONDS,
    PROMPT_SECONDS,
    STABLE_RUN_SECONDS,
    CrashEvidence,
)
from ibiscart_core.workflow.job import Job, Outcome
from ibiscart_core.workflow.unit import EndCause
from tests.core.workflow.harness import EngineHarness, step


def evidence(crashed=0, cut_off=0, unstarted=0, prompt=True):
    """Returns evidence with numbers of workers that crashed, or were lost for another cause.

    ``prompt`` is True if all were lost soon after the task's start.
    """
    found = CrashEvidence()
    for number in range(crashed):
        found.record_loss(f"crashed{number}", 1, crashed=True, started=True, prompt=prompt)
    for number in range(cut_off):
        found.record_loss(f"cut{number}", 1, crashed=False, started=True, prompt=prompt)
    for number in range(unstarted):
        found.record_loss(f"unstarted{number}", 1, crashed=True, started=False, prompt=prompt)
    return found


class CrashEvidenceTest(unittest.TestCase):
    def test_three_lost_workers_are_conclusive_only_if_two_have_crashed(self):
        self.assertFalse(evidence(crashed=2).conclusive)
        self.assertTrue(evidence(crashed=3).conclusive)
        self.assertTrue(evidence(crashed=2, cut_off=1).conclusive)
        self.assertFalse(evidence(crashed=1, cut_off=2).conclusive)
        self.assertFalse(evidence(cut_off=4).conclusive)

    def test_workers_that_crash_long_after_the_start_count_less(self):
        # several waves of crashes failed jobs that only met three of them
        self.assertFalse(evidence(crashed=4, prompt=False).conclusive)
        self.assertTrue(evidence(crashed=5, prompt=False).conclusive)

    def test_a_worker_that_crashed_before_the_start_counts_less(self):
        # orders in flight to a worker that another task crashes must not fail their jobs
        self.assertFalse(evidence(crashed=1, unstarted=3).conclusive)
        self.assertTrue(evidence(unstarted=5).conclusive)

    def test_each_crash_of_one_worker_that_comes_back_under_its_id_counts(self):
        # the losses of a worker that crashed before it confirmed the start replaced one another, so
        # the only worker of a pool was crashed for ever
        found = CrashEvidence()
        for incarnation in range(5):
            found.record_loss("w", incarnation, crashed=True, started=False, prompt=True)
            found.resolve("w", incarnation + 1)
        self.assertEqual(5, found.lost_workers)
        self.assertTrue(found.conclusive)

    def test_next_run_is_held_while_it_is_unclear_whether_workers_crashed(self):
        self.assertEqual(0.0, evidence(crashed=1, cut_off=1).hold_seconds)
        self.assertEqual(0.0, evidence(crashed=3, prompt=False).hold_seconds)
        self.assertEqual(HOLD_SECONDS, evidence(cut_off=3).hold_seconds)
        self.assertEqual(2 * HOLD_SECONDS, evidence(cut_off=4).hold_seconds)

    def test_workers_that_were_lost_with_others_count_only_once_they_have_crashed(self):
        found = CrashEvidence()
        for number in range(6):
            found.record_loss(
                f"w{number}", 1, crashed=False, started=True, prompt=True, correlated=True
            )
        self.assertEqual((0, 0.0), (found.lost_workers, found.hold_seconds))
        self.assertFalse(found.conclusive)
        for number in range(3):
            self.assertTrue(found.resolve(f"w{number}", 2))
        self.assertEqual(3, found.crashed)
        self.assertTrue(found.conclusive)

    def test_a_worker_that_answers_in_the_same_incarnation_was_only_cut_off(self):
        found = evidence(cut_off=3)
        self.assertTrue(found.resolve("cut0", 1))
        self.assertEqual((0, 2), (found.crashed, found.lost_workers))

    def test_a_worker_that_answers_in_a_later_incarnation_has_crashed(self):
        found = evidence(cut_off=3)
        self.assertTrue(found.resolve("cut0", 2))
        self.assertTrue(found.resolve("cut1", None))
        self.assertFalse(found.resolve("cut1", None))
        self.assertEqual((2, 3), (found.crashed, found.lost_workers))

    def test_evidence_is_unchanged_after_it_is_stored_and_read(self):
        found = evidence(crashed=1, cut_off=1, unstarted=1)
        loaded = CrashEvidence.from_record(json.loads(json.dumps(found.to_record())))
        self.assertEqual(found.to_record(), loaded.to_record())
        self.assertTrue(loaded.resolve("cut0", 1))
        self.assertEqual(2, loaded.lost_workers)


class CrashingUnitTest(unittest.TestCase):
    def lose_worker(self, harness, job, cause=EndCause.WORKER_CRASHED):
        """Places the job's only task and loses its worker; returns the worker's id."""
        harness.run_pass(1.0)
        unit = next(job.units())
        worker_id = unit.allocations[0].worker_id
        harness.running[worker_id].clear()
        harness.engine.fleet.get(worker_id).reachable = False
        harness.engine.end_lost_runs(worker_id, cause, harness.now, "test")
        return worker_id

    def test_third_crash_fails_the_job_and_is_recorded(self):
        harness = EngineHarness()
        job = harness.submit("a", step())
        for _ in range(3):
            self.assertIsNone(job.outcome)
            self.lose_worker(harness, job)
        self.assertIs(Outcome.FAILED, job.outcome)
        self.assertIn("a", harness.engine.unsaved_job_ids)

    def test_evidence_outlasts_the_leader(self):
        # a new leader began to count anew
        harness = EngineHarness()
        job = harness.submit("a", step())
        for _ in range(2):
            self.lose_worker(harness, job)
        loaded = Job("b", job.account, job.queue, job.spec, job.accepted_ms)
        loaded.load_record(json.loads(json.dumps(job.to_record())))
        harness.engine.remove_job("a")
        harness.engine.add_job(loaded, harness.now)
        self.lose_worker(harness, loaded)
        self.assertIs(Outcome.FAILED, loaded.outcome)

    def test_confirmed_start_of_a_suspect_outlasts_the_leader(self):
        # a new leader took each crash for one that the task may not have caused, and held the task
        # for up to 45 s before it was given up (random faults, seed 4355)
        harness = EngineHarness()
        job = harness.submit("a", step())
        self.lose_worker(harness, job)
        harness.engine.unsaved_job_ids.clear()
        harness.run_pass(1.0)
        self.assertIn("a", harness.engine.unsaved_job_ids)
        loaded = Job("b", job.account, job.queue, job.spec, job.accepted_ms)
        loaded.load_record(json.loads(json.dumps(job.to_record())))
        harness.engine.remove_job("a")
        harness.engine.add_job(loaded, harness.now)
        unit = next(loaded.units())
        cause = EndCause.WORKER_CRASHED
        worker_id = unit.allocations[0].worker_id
        harness.engine.end_lost_runs(worker_id, cause, harness.now, "test")
        self.assertEqual(2, unit.crash_evidence[0].crashed)

    def test_worker_of_a_run_that_lasted_long_is_no_evidence(self):
        harness = EngineHarness()
        job = harness.submit("a", step())
        for _ in range(5):
            harness.run_pass(1.0)
            harness.now += STABLE_RUN_SECONDS + 1
            worker_id = next(job.units()).allocations[0].worker_id
            harness.running[worker_id].clear()
            cause = EndCause.WORKER_CRASHED
            harness.engine.end_lost_runs(worker_id, cause, harness.now, "test")
        self.assertIsNone(job.outcome)

    def test_workers_that_left_after_draining_are_no_evidence(self):
        harness = EngineHarness()
        job = harness.submit("a", step())
        for _ in range(4):
            harness.run_pass(1.0)
            worker_id = next(job.units()).allocations[0].worker_id
            worker = harness.engine.fleet.get(worker_id)
            worker.info.draining = True
            cause = EndCause.WORKER_CRASHED
            harness.engine.end_lost_runs(worker_id, cause, harness.now, "test")
            worker.info.draining = False
        self.assertIsNone(job.outcome)

    def test_a_task_that_was_lost_twice_shares_no_worker_with_another_suspect(self):
        # tasks that ran beside a task that crashes its workers were placed with it again, and
        # nothing showed which of them was the cause
        harness = EngineHarness(workers=2)
        first, second = harness.submit("a", step()), harness.submit("b", step())
        harness.run_pass()
        for _ in range(2):
            for worker_id, running in harness.running.items():
                running.clear()
                cause = EndCause.WORKER_CRASHED
                harness.engine.end_lost_runs(worker_id, cause, harness.now, "test")
            harness.run_pass(1.0)
        workers = {next(job.units()).allocations[0].worker_id for job in (first, second)}
        self.assertEqual(2, len(workers))

    def test_an_isolated_task_waits_rather_than_join_another_suspect(self):
        harness = EngineHarness(workers=1)
        first, second = harness.submit("a", step()), harness.submit("b", step())
        harness.run_pass()
        for _ in range(2):
            harness.running["w0"].clear()
            harness.engine.end_lost_runs("w0", EndCause.WORKER_CRASHED, harness.now, "test")
            harness.run_pass(1.0)
        states = sorted(len(next(job.units()).allocations) for job in (first, second))
        self.assertEqual([0, 1], states)

    def lose_shared_worker(self, harness, jobs, times):
        """Lets the jobs' tasks lose the only worker, which returns, ``times`` times together."""
        for _ in range(times):
            harness.run_pass(ISOLATION_SECONDS)
            self.assertTrue(all(next(job.units()).allocations for job in jobs), "a task waits")
            harness.running["w0"].clear()
            harness.engine.end_lost_runs("w0", EndCause.WORKER_CRASHED, harness.now, "test")

    def test_suspect_joins_an_isolated_task_that_works_on(self):
        # a lasting task that had lost two workers kept all other suspects off its worker for good
        # (review/7)
        harness = EngineHarness(workers=1)
        lasting = step(long_running=True)
        first = harness.submit("a", lasting, priority=0)
        self.lose_shared_worker(harness, [first], 1)
        second = harness.submit("b", lasting)
        self.lose_shared_worker(harness, [first, second], 1)
        self.assertEqual(1, len(harness.run_pass(0.3)))
        self.assertEqual([], harness.run_pass(0.3))
        self.assertEqual(1, len(harness.run_pass(PROMPT_SECONDS)))

    def test_isolated_task_joins_a_suspect_that_works_on(self):
        harness = EngineHarness(workers=1)
        first = harness.submit("a", step(long_running=True))
        self.lose_shared_worker(harness, [first], 1)
        second = harness.submit("b", step(long_running=True), priority=0)
        self.lose_shared_worker(harness, [first, second], 1)
        self.assertEqual(["b"], [order.unit.job.id for order in harness.run_pass(0.3)])
        self.assertEqual([], harness.run_pass(0.3))
        self.assertEqual(["a"], [o.unit.job.id for o in harness.run_pass(PROMPT_SECONDS)])

    def test_isolation_delays_no_task_for_long(self):
        """Guards against tasks that wait one after the other for a worker of their own."""
        harness = EngineHarness(workers=1)
        jobs = [harness.submit(f"j{number}", step(long_running=True)) for number in range(6)]
        self.lose_shared_worker(harness, jobs, 2)
        lost_at = harness.now
        while harness.now <= lost_at + ISOLATION_SECONDS:
            harness.run_pass(0.25)
        self.assertTrue(all(next(job.units()).allocations for job in jobs))

    def test_isolation_under_a_new_leader_ends_with_a_run_that_goes_on(self):
        harness = EngineHarness(workers=1)
        first = harness.submit("a", step(long_running=True), priority=0)
        self.lose_shared_worker(harness, [first], 1)
        second = harness.submit("b", step(long_running=True))
        self.lose_shared_worker(harness, [first, second], 1)
        harness.run_pass()
        harness.report()
        self.assertFalse(next(second.units()).allocations)
        loaded = Job("a", first.account, first.queue, first.spec, first.accepted_ms)
        loaded.load_record(json.loads(json.dumps(first.to_record())))
        harness.engine.remove_job("a")
        harness.engine.add_job(loaded, harness.now)
        harness.report()
        harness.run_pass(PROMPT_SECONDS + 0.1)
        self.assertTrue(next(second.units()).allocations)

    def test_evidence_ends_with_a_run_that_lasts(self):
        """Guards against evidence that stays for as long as a task works on."""
        harness = EngineHarness()
        job = harness.submit("a", step(long_running=True))
        self.lose_worker(harness, job)
        harness.run_pass(1.0)
        harness.report()
        harness.engine.unsaved_job_ids.clear()
        unit = next(job.units())
        self.assertTrue(unit.crash_suspect)
        harness.now += STABLE_RUN_SECONDS
        harness.report()
        self.assertFalse(unit.crash_suspect)
        self.assertIn("a", harness.engine.unsaved_job_ids)

    def lose_two_workers(self, harness, job, seconds_between=0.0, other_run_seconds=5.0):
        """Lets the worker of the job's only task and that of another job vanish.

        The other worker vanishes ``seconds_between`` before, ``other_run_seconds`` after the start
        of its run.
        """
        other = harness.submit(f"other{harness.now}", step(accelerators=8))
        harness.run_pass(1.0)
        self.assertIn(0, next(job.units()).allocations, "the task does not run")
        workers = [
            harness.engine.fleet.get(next(found.units()).allocations[0].worker_id)
            for found in (other, job)
        ]
        harness.now += other_run_seconds
        for worker in workers:
            worker.reachable = False
            worker.unreachable_at = harness.now
            harness.now += seconds_between
            harness.running[worker.id].clear()
        harness.now += 6.0
        for worker in workers:
            cause = EndCause.WORKER_VANISHED
            harness.engine.end_lost_runs(worker.id, cause, harness.now, "lease_expired")
        harness.engine.cancel(other.id)

    def test_task_whose_workers_are_lost_together_with_others_is_not_held(self):
        # waves of lost workers held healthy tasks for 15 and 30 s each
        harness = EngineHarness(workers=12)
        job = harness.submit("a", step(accelerators=8))
        for _ in range(5):
            self.lose_two_workers(harness, job, seconds_between=1.0)
        self.assertIsNone(job.outcome)
        self.assertEqual(1, len(harness.run_pass(1.0)))

    def test_task_is_held_if_other_workers_are_lost_at_another_time(self):
        harness = EngineHarness(workers=12)
        job = harness.submit("a", step(accelerators=8))
        for _ in range(3):
            self.lose_two_workers(harness, job, seconds_between=3.0)
        self.assertEqual([], harness.run_pass(1.0))

    def test_task_is_held_if_the_other_workers_may_have_been_crashed_by_their_tasks(self):
        # two tasks that crash their workers at the same time must not clear each other
        harness = EngineHarness(workers=12)
        job = harness.submit("a", step(accelerators=8))
        for _ in range(3):
            self.lose_two_workers(harness, job, other_run_seconds=0.5)
        self.assertEqual([], harness.run_pass(1.0))

    def test_held_task_runs_once_its_workers_turn_out_to_have_been_cut_off(self):
        harness = EngineHarness()
        job = harness.submit("a", step())
        lost = [self.lose_worker(harness, job, EndCause.WORKER_VANISHED) for _ in range(3)]
        self.assertEqual([], harness.run_pass(1.0))
        harness.report(lost[0])
        self.assertEqual(1, len(harness.run_pass(1.0)))


if __name__ == "__main__":
    unittest.main()
