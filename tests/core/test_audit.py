"""Tests that the audit reports runs that violate a property, and only those."""

import unittest

from ibiscart_schema.generated.types_pb2 import RAN_MAYBE, RAN_NO, RAN_YES
from tests.core.recording import SECOND, Recording, key


class AuditTest(unittest.TestCase):
    def setUp(self):
        self.recording = Recording()

    def assert_violations(self, *properties):
        violations = self.recording.violations()
        self.assertEqual([v.property for v in violations], list(properties), violations)
        for violation in violations:
            self.assertTrue(violation.events and violation.sources and violation.message)
        return violations

    def test_passes_a_run_without_violations(self):
        """A false violation would fail every test that audits its run."""
        recording = self.recording
        recording.run_job(10)
        recording.run_job(90, "once", repeatable=False)
        recording.request(5, "r1")
        recording.add_action(5.1, "n1", "request_started", "r1")
        recording.succeed(5.2, "r1")
        recording.add(6, "e1", config_used={"entry_id": "e1", "account": "alpha", "version": 1})
        recording.record(200, recording.contract(2), entry="e2")
        recording.add(205, "e1", config_used={"entry_id": "e1", "account": "alpha", "version": 1})
        recording.add(207, "e1", config_used={"entry_id": "e1", "account": "alpha", "version": 2})
        recording.add(210, "e2", target_left={"target_id": "w1", "sign": "refused"})
        recording.add_action(214, "w1", "started", "j9", members=1)
        recording.add(220, "e1", process_signal={"process_id": "e1", "signal": "drain"})
        self.assert_violations()

    def test_accepts_records_applied_by_several_entries_out_of_order(self):
        """Entries apply the same record at different times; the audit must process it once."""
        recording = self.recording
        first = recording.events[0]
        recording.record(1, recording.submitted("j1"))
        recording.add(
            1.5, "e2", record_applied={"entry_id": "e2", "record": first.record_applied.record}
        )
        self.assert_violations()

    def test_finds_work_that_cannot_be_preempted_on_a_reservation(self):
        recording = self.recording
        large = {"accelerators": 8, "cpu_millis": 8000, "memory_mb": 1000}
        recording.record(
            1,
            recording.submitted("j1", repeatable=False, member=large, members=1),
            recording.placed("j1", "w1"),
        )
        (violation,) = self.assert_violations("P1")
        self.assertIn("w1", violation.message)
        self.assertEqual((violation.time_us, violation.sources), (SECOND, ("e1",)))

    def test_finds_reservations_that_exceed_a_worker(self):
        recording = self.recording
        recording.record(
            1, recording.contract(1, "beta"), recording.reserve("w1", "w1", account="beta")
        )
        self.assert_violations("P1")

    def test_finds_a_reservation_on_a_lost_worker(self):
        self.recording.record(1, {"worker_state_changed": {"worker_id": "w2", "state": 2}})
        self.assert_violations("P1")

    def test_finds_a_reservation_with_a_missing_worker(self):
        self.recording.record(1, self.recording.reserve("w2"))
        self.assert_violations("P1")

    def test_finds_a_guarantee_that_is_not_packed(self):
        """A guarantee that is unmet despite free workers is not available to its account."""
        self.recording.record(1, self.recording.contract(1, "beta"))
        (violation,) = self.assert_violations("guarantee")
        self.assertIn("beta", violation.message)
        self.assertEqual((violation.time_us, violation.sources), (SECOND, ("e1",)))

    def test_finds_a_guarantee_that_is_not_packed_when_a_worker_returns(self):
        recording = self.recording
        lost = [{"worker_state_changed": {"worker_id": f"w{n}", "state": 2}} for n in (1, 2)]
        recording.record(1, *lost, recording.reserve())
        self.assert_violations()
        recording.record(2, {"worker_state_changed": {"worker_id": "w2", "state": 0}})
        (violation,) = self.assert_violations("guarantee")
        self.assertEqual(violation.time_us, 2 * SECOND)

    def test_finds_a_guarantee_that_is_unmet_at_the_end(self):
        """A guarantee must get capacity that other jobs free, although no record names a worker."""
        recording = self.recording
        recording.record(1, recording.reserve())
        (violation,) = self.assert_violations("guarantee")
        self.assertIn("after record 2", violation.message)

    def test_passes_a_guarantee_that_fits_nowhere(self):
        recording = self.recording
        recording.record(
            1, recording.contract(1, "beta"), recording.reserve("w1", "w2", account="beta")
        )
        recording.record(2, recording.contract(1, "gamma"))
        self.assert_violations()

    def test_passes_repeatable_work_on_a_reservation(self):
        """Burst jobs may use reserved capacity because they can be preempted."""
        recording = self.recording
        recording.record(1, recording.submitted("j1"), recording.placed("j1", "w1", "w2"))
        self.assert_violations()

    def test_finds_a_release_without_a_record(self):
        recording = self.recording
        recording.record(1, recording.submitted("j1"), recording.placed("j1", "w1", "w2"))
        for rank, worker in enumerate(("w1", "w2")):
            recording.add_action(2, worker, "started", "j1", rank)
            recording.add_action(2.1, worker, "released", "j1", rank)
        self.assert_violations("P2")

    def test_finds_a_release_before_its_record(self):
        recording = self.recording
        recording.record(1, recording.submitted("j1"), recording.placed("j1", "w1", "w2"))
        for rank, worker in enumerate(("w1", "w2")):
            recording.add_action(2, worker, "released", "j1", rank)
        recording.record(3, {"job_released": {"job": key("j1"), "attempt": 1}})
        self.assert_violations("P2")

    def test_finds_a_gang_that_runs_in_part(self):
        recording = self.recording
        recording.record(1, recording.submitted("j1"), recording.placed("j1", "w1", "w2"))
        recording.record(2, {"job_released": {"job": key("j1"), "attempt": 1}})
        recording.add_action(2.1, "w1", "released", "j1", 0)
        recording.add_action(2.1, "w2", "released", "j1", 1)
        recording.add_action(3, "w2", "failed", "j1", 1)
        recording.add_action(9, "w1", "stopped", "j1", 0)
        (violation,) = self.assert_violations("P2")
        self.assertEqual(violation.time_us, 3 * SECOND)
        self.assertIn("6.000 s", violation.message)

    def test_finds_a_gang_of_which_only_one_member_was_released(self):
        """Workers do not record the size of a gang; the audit reads it from the submission."""
        recording = self.recording
        recording.record(1, recording.submitted("j1"), recording.placed("j1", "w1", "w2"))
        recording.record(2, {"job_released": {"job": key("j1"), "attempt": 1}})
        recording.add_action(2.1, "w1", "released", "j1", 0, members=0)
        recording.add_action(60, "w1", "completed", "j1", 0, members=0)
        self.assert_violations("P2")

    def test_passes_a_gang_that_is_stopped_within_the_bound(self):
        recording = self.recording
        recording.record(1, recording.submitted("j1"), recording.placed("j1", "w1", "w2"))
        recording.record(2, {"job_released": {"job": key("j1"), "attempt": 1}})
        recording.add_action(2.1, "w1", "released", "j1", 0)
        recording.add_action(2.1, "w2", "released", "j1", 1)
        recording.add(3, "test", process_signal={"process_id": "w2", "signal": "kill"})
        recording.add_action(7, "w1", "stopped", "j1", 0)
        self.assert_violations()

    def test_finds_a_member_that_outlives_its_attempt(self):
        recording = self.recording
        recording.record(1, recording.submitted("j1"), recording.placed("j1", "w1", "w2"))
        recording.record(2, {"job_released": {"job": key("j1"), "attempt": 1}})
        for rank, worker in enumerate(("w1", "w2")):
            recording.add_action(2.1, worker, "released", "j1", rank)
        recording.add_action(3, "w1", "stopped", "j1", 0)
        recording.record(4, {"job_requeued": {"job": key("j1"), "attempt": 2}})
        recording.add_action(4.5, "w2", "stopped", "j1", 1)
        (violation,) = self.assert_violations("P2")
        self.assertEqual(violation.sources, ("e1", "w2"))

    def test_finds_an_answer_to_another_request(self):
        recording = self.recording
        recording.request(1, "r1")
        recording.answer(2, "r1", status=200, ran=RAN_YES, complete=True, body_request_id="r2")
        self.assert_violations("P3")

    def test_finds_an_incomplete_answer(self):
        recording = self.recording
        recording.request(1, "r1")
        recording.answer(2, "r1", status=200, ran=RAN_YES, complete=False, body_request_id="r1")
        self.assert_violations("P3")

    def test_finds_a_request_without_an_answer(self):
        recording = self.recording
        recording.request(1, "r1")
        recording.request(100, "r2")
        self.assert_violations("P3")

    def test_finds_a_false_refusal_of_a_request(self):
        recording = self.recording
        recording.request(1, "r1")
        recording.add_action(1.5, "n1", "request_started", "r1")
        recording.answer(2, "r1", status=503, code="no_target", ran=RAN_NO, complete=True)
        self.assert_violations("P4")

    def test_finds_work_that_starts_after_its_refusal(self):
        recording = self.recording
        recording.request(1, "r1")
        recording.answer(2, "r1", status=503, code="queue_timeout", ran=RAN_NO, complete=True)
        recording.add_action(3, "n1", "request_started", "r1")
        self.assert_violations("P4")

    def test_passes_a_refusal_that_is_retried(self):
        recording = self.recording
        recording.request(1, "r1")
        recording.answer(2, "r1", status=503, code="draining", ran=RAN_NO, complete=True)
        recording.request(3, "r1", "e2")
        recording.add_action(3.5, "n1", "request_started", "r1")
        recording.succeed(4, "r1", "e2")
        self.assert_violations()

    def test_finds_a_job_that_ended_as_not_run_but_ran(self):
        recording = self.recording
        recording.record(1, recording.submitted("j1"), recording.placed("j1", "w1", "w2"))
        recording.record(2, {"job_released": {"job": key("j1"), "attempt": 1}})
        for rank, worker in enumerate(("w1", "w2")):
            recording.add_action(2.1, worker, "released", "j1", rank)
            recording.add_action(3, worker, "stopped", "j1", rank)
        recording.record(4, recording.ended("j1", RAN_NO))
        self.assert_violations("P4")

    def test_finds_a_request_that_ran_twice(self):
        recording = self.recording
        recording.request(1, "r1", repeatable=False)
        recording.add_action(1.1, "n1", "request_started", "r1")
        recording.add_action(1.2, "n2", "request_started", "r1")
        recording.succeed(2, "r1")
        (violation,) = self.assert_violations("P5")
        self.assertEqual(violation.sources, ("n1", "n2"))

    def test_finds_a_job_that_was_released_twice(self):
        recording = self.recording
        recording.record(1, recording.submitted("j1", repeatable=False))
        recording.record(2, recording.placed("j1", "w1", "w2", claim=True))
        for attempt in (1, 2):
            at = 10 * attempt
            recording.record(at, {"job_released": {"job": key("j1"), "attempt": attempt}})
            for rank, worker in enumerate(("w1", "w2")):
                recording.add_action(at + 0.1, worker, "released", "j1", rank, attempt)
                recording.add_action(at + 1, worker, "failed", "j1", rank, attempt)
        self.assert_violations("P5")

    def test_finds_a_rank_that_runs_on_two_workers(self):
        recording = self.recording
        recording.record(1, recording.submitted("j1", repeatable=False, members=1))
        recording.record(2, {"job_released": {"job": key("j1"), "attempt": 1}})
        recording.add_action(3, "w1", "released", "j1", members=1)
        recording.add_action(3, "w2", "released", "j1", members=1)
        self.assert_violations("P5")

    def test_finds_work_on_a_leaving_target(self):
        recording = self.recording
        recording.add(1, "e1", target_left={"target_id": "n1", "sign": "refused"})
        recording.add(5, "e2", target_left={"target_id": "n1", "sign": "membership"})
        recording.add_action(6.5, "n1", "request_started", "r1")
        (violation,) = self.assert_violations("P6")
        self.assertEqual(violation.sources, ("e1", "n1"))

    def test_finds_a_request_interrupted_by_a_drain(self):
        recording = self.recording
        recording.request(1, "r1")
        recording.add(2, "test", process_signal={"process_id": "e1", "signal": "drain"})
        recording.answer(3, "r1", broken=True, ran=RAN_MAYBE)
        self.assert_violations("P7")

    def test_finds_an_answer_that_its_caller_marked_as_interrupted(self):
        recording = self.recording
        recording.request(1, "r1")
        recording.answer(3, "r1", broken=True, during_drain=True, ran=RAN_MAYBE)
        self.assert_violations("P7")

    def test_passes_a_request_broken_by_a_kill(self):
        recording = self.recording
        recording.request(1, "r1")
        recording.add(2, "test", process_signal={"process_id": "e1", "signal": "kill"})
        recording.answer(3, "r1", broken=True, ran=RAN_MAYBE)
        self.assert_violations()

    def test_finds_a_version_that_goes_back(self):
        recording = self.recording
        recording.record(1, recording.contract(2), entry="e2")
        recording.add(2, "e1", config_used={"entry_id": "e1", "account": "alpha", "version": 2})
        recording.add(3, "e1", config_used={"entry_id": "e1", "account": "alpha", "version": 1})
        self.assert_violations("P8")

    def test_finds_a_version_that_is_late(self):
        recording = self.recording
        recording.record(1, recording.contract(2), entry="e2")
        recording.add(8, "e1", config_used={"entry_id": "e1", "account": "alpha", "version": 1})
        (violation,) = self.assert_violations("P8")
        self.assertEqual(violation.sources, ("e2", "e1"))

    def test_finds_an_entry_that_applies_an_older_record(self):
        recording = self.recording
        recording.record(1, recording.submitted("j1"))
        recording.events.append(recording.events[0].__class__(time_us=2 * SECOND, source="e1"))
        recording.events[-1].record_applied.CopyFrom(recording.events[0].record_applied)
        self.assert_violations("P8")

    def test_finds_a_queue_over_its_limit(self):
        recording = self.recording
        # the limit allows two queued jobs, the free guarantee one more
        recording.record(1, *(recording.submitted(f"j{n}") for n in range(4)))
        self.assert_violations("queue")

    def test_finds_burst_work_over_its_limit(self):
        recording = self.recording
        recording.record(1, recording.contract(2, queued_jobs=9))
        jobs = [f"j{n}" for n in range(3)]
        recording.record(
            2, *map(recording.submitted, jobs), *(recording.placed(j, "w1", "w2") for j in jobs)
        )
        self.assert_violations("burst")

    def test_passes_work_that_adds_nothing_to_an_exceeded_limit(self):
        """A lowered accelerator limit must not delay jobs without accelerators."""
        recording = self.recording
        recording.record(1, recording.submitted("j1"), recording.placed("j1", "w1", "w2"))
        lowered = recording.contract(2)
        lowered["contract_changed"]["contract"]["burst_accelerators"] = 4
        cpu_only = {"cpu_millis": 1000, "memory_mb": 1000}
        recording.record(
            2,
            lowered,
            recording.submitted("j2", member=cpu_only),
            recording.placed("j2", "w1", "w2"),
        )
        self.assert_violations()
        recording.record(3, recording.submitted("j3"), recording.placed("j3", "w1", "w2"))
        self.assert_violations("burst")

    def test_finds_burst_processors_over_their_limit(self):
        recording = self.recording
        cpu_only = {"cpu_millis": 40_000, "memory_mb": 1000}
        recording.record(
            1, recording.submitted("j1", member=cpu_only), recording.placed("j1", "w1", "w2")
        )
        self.assert_violations("burst")

    def test_finds_released_tasks_that_exceed_their_worker(self):
        recording = self.recording
        recording.record(1, *(recording.submitted(f"j{n}", members=1) for n in range(3)))
        for n in range(3):
            recording.record(2 + n, {"job_released": {"job": key(f"j{n}"), "attempt": 1}})
            recording.add_action(2.5 + n, "w1", "released", f"j{n}", members=1)
        (violation,) = self.assert_violations("capacity")
        self.assertEqual(violation.time_us, int(4.5 * SECOND))

    def test_finds_two_records_with_one_sequence(self):
        recording = self.recording
        recording.record(1, recording.submitted("j1"))
        recording.record(2, recording.submitted("j2"), entry="e2", sequence=2)
        self.assert_violations("journal")

    def test_finds_a_missing_record(self):
        """A recording without one of the records must not pass the audit."""
        recording = self.recording
        recording.record(1, recording.submitted("j1"), sequence=3)
        self.assert_violations("recording")


if __name__ == "__main__":
    unittest.main()
