"""Guards the audit against passing a run that breaks a property, and against false alarms."""

import unittest

from ibiscart_schema.generated.types_pb2 import RAN_MAYBE, RAN_NO, RAN_YES
from tests.core.recording import SECOND, Recording, key


class AuditTest(unittest.TestCase):
    def setUp(self):
        self.recording = Recording()

    def assert_found(self, *properties):
        found = self.recording.found()
        self.assertEqual([v.property for v in found], list(properties), found)
        for violation in found:
            self.assertTrue(violation.events and violation.sources and violation.message)
        return found

    def test_passes_a_clean_run(self):
        """A false alarm makes every other test of the project useless."""
        rec = self.recording
        rec.run_job(10)
        rec.run_job(90, "once", repeatable=False)
        rec.request(5, "r1")
        rec.act(5.1, "n1", "request_started", "r1")
        rec.succeed(5.2, "r1")
        rec.add(6, "e1", config_used={"entry_id": "e1", "account": "alpha", "version": 1})
        rec.record(200, rec.contract(2), entry="e2")
        rec.add(205, "e1", config_used={"entry_id": "e1", "account": "alpha", "version": 1})
        rec.add(207, "e1", config_used={"entry_id": "e1", "account": "alpha", "version": 2})
        rec.add(210, "e2", target_left={"target_id": "w1", "sign": "refused"})
        rec.act(214, "w1", "started", "j9", members=1)
        rec.add(220, "e1", process_signal={"process_id": "e1", "signal": "drain"})
        self.assert_found()

    def test_accepts_records_applied_by_several_entries_out_of_order(self):
        """Entries apply the same record at different times; each counts once."""
        rec = self.recording
        first = rec.events[0]
        rec.record(1, rec.submitted("j1"))
        rec.add(1.5, "e2", record_applied={"entry_id": "e2", "record": first.record_applied.record})
        self.assert_found()

    # P1

    def test_finds_work_that_cannot_be_preempted_on_a_reservation(self):
        rec = self.recording
        wide = {"accelerators": 8, "cpu_millis": 8000, "memory_mb": 1000}
        rec.record(
            1,
            rec.submitted("j1", repeatable=False, member=wide, members=1),
            rec.placed("j1", "w1"),
        )
        (found,) = self.assert_found("P1")
        self.assertIn("w1", found.message)
        self.assertEqual((found.time_us, found.sources), (SECOND, ("e1",)))

    def test_finds_reservations_that_exceed_a_worker(self):
        rec = self.recording
        rec.record(1, rec.contract(1, "beta"), rec.reserve("w1", "w1", account="beta"))
        self.assert_found("P1")

    def test_finds_a_reservation_on_a_lost_worker(self):
        self.recording.record(1, {"worker_state_changed": {"worker_id": "w2", "state": 2}})
        self.assert_found("P1")

    def test_finds_a_reservation_with_a_missing_place(self):
        self.recording.record(1, self.recording.reserve("w2"))
        self.assert_found("P1")

    def test_finds_a_guarantee_that_is_not_packed(self):
        """A guarantee that stays unmet beside free workers is lost to its account."""
        self.recording.record(1, self.recording.contract(1, "beta"))
        (found,) = self.assert_found("guarantee")
        self.assertIn("beta", found.message)
        self.assertEqual((found.time_us, found.sources), (SECOND, ("e1",)))

    def test_finds_a_guarantee_that_is_not_packed_when_a_worker_returns(self):
        rec = self.recording
        lost = [{"worker_state_changed": {"worker_id": f"w{n}", "state": 2}} for n in (1, 2)]
        rec.record(1, *lost, rec.reserve())
        self.assert_found()
        rec.record(2, {"worker_state_changed": {"worker_id": "w2", "state": 0}})
        (found,) = self.assert_found("guarantee")
        self.assertEqual(found.time_us, 2 * SECOND)

    def test_finds_a_guarantee_that_is_unmet_at_the_end(self):
        """Places that other work gives back must be used, and no record names a worker then."""
        rec = self.recording
        rec.record(1, rec.reserve())
        (found,) = self.assert_found("guarantee")
        self.assertIn("after record 2", found.message)

    def test_passes_a_guarantee_that_fits_nowhere(self):
        rec = self.recording
        rec.record(1, rec.contract(1, "beta"), rec.reserve("w1", "w2", account="beta"))
        rec.record(2, rec.contract(1, "gamma"))
        self.assert_found()

    def test_passes_repeatable_work_on_a_reservation(self):
        """Burst work may use reserved places since it can be preempted."""
        rec = self.recording
        rec.record(1, rec.submitted("j1"), rec.placed("j1", "w1", "w2"))
        self.assert_found()

    # P2

    def test_finds_a_release_without_a_record(self):
        rec = self.recording
        rec.record(1, rec.submitted("j1"), rec.placed("j1", "w1", "w2"))
        for rank, worker in enumerate(("w1", "w2")):
            rec.act(2, worker, "started", "j1", rank)
            rec.act(2.1, worker, "released", "j1", rank)
        self.assert_found("P2")

    def test_finds_a_release_before_its_record(self):
        rec = self.recording
        rec.record(1, rec.submitted("j1"), rec.placed("j1", "w1", "w2"))
        for rank, worker in enumerate(("w1", "w2")):
            rec.act(2, worker, "released", "j1", rank)
        rec.record(3, {"job_released": {"job": key("j1"), "attempt": 1}})
        self.assert_found("P2")

    def test_finds_a_gang_that_runs_in_part(self):
        rec = self.recording
        rec.record(1, rec.submitted("j1"), rec.placed("j1", "w1", "w2"))
        rec.record(2, {"job_released": {"job": key("j1"), "attempt": 1}})
        rec.act(2.1, "w1", "released", "j1", 0)
        rec.act(2.1, "w2", "released", "j1", 1)
        rec.act(3, "w2", "failed", "j1", 1)
        rec.act(9, "w1", "stopped", "j1", 0)
        (found,) = self.assert_found("P2")
        self.assertEqual(found.time_us, 3 * SECOND)
        self.assertIn("6.000 s", found.message)

    def test_finds_a_gang_of_which_only_one_member_was_released(self):
        """Workers do not record the size of a gang; the audit takes it from the submission."""
        rec = self.recording
        rec.record(1, rec.submitted("j1"), rec.placed("j1", "w1", "w2"))
        rec.record(2, {"job_released": {"job": key("j1"), "attempt": 1}})
        rec.act(2.1, "w1", "released", "j1", 0, members=0)
        rec.act(60, "w1", "completed", "j1", 0, members=0)
        self.assert_found("P2")

    def test_passes_a_gang_that_is_stopped_within_the_bound(self):
        rec = self.recording
        rec.record(1, rec.submitted("j1"), rec.placed("j1", "w1", "w2"))
        rec.record(2, {"job_released": {"job": key("j1"), "attempt": 1}})
        rec.act(2.1, "w1", "released", "j1", 0)
        rec.act(2.1, "w2", "released", "j1", 1)
        rec.add(3, "test", process_signal={"process_id": "w2", "signal": "kill"})
        rec.act(7, "w1", "stopped", "j1", 0)
        self.assert_found()

    def test_finds_a_member_that_outlives_its_attempt(self):
        rec = self.recording
        rec.record(1, rec.submitted("j1"), rec.placed("j1", "w1", "w2"))
        rec.record(2, {"job_released": {"job": key("j1"), "attempt": 1}})
        for rank, worker in enumerate(("w1", "w2")):
            rec.act(2.1, worker, "released", "j1", rank)
        rec.act(3, "w1", "stopped", "j1", 0)
        rec.record(4, {"job_requeued": {"job": key("j1"), "attempt": 2}})
        rec.act(4.5, "w2", "stopped", "j1", 1)
        (found,) = self.assert_found("P2")
        self.assertEqual(found.sources, ("e1", "w2"))

    # P3

    def test_finds_an_answer_to_another_request(self):
        rec = self.recording
        rec.request(1, "r1")
        rec.answer(2, "r1", status=200, ran=RAN_YES, complete=True, body_request_id="r2")
        self.assert_found("P3")

    def test_finds_an_incomplete_answer(self):
        rec = self.recording
        rec.request(1, "r1")
        rec.answer(2, "r1", status=200, ran=RAN_YES, complete=False, body_request_id="r1")
        self.assert_found("P3")

    def test_finds_a_request_without_an_answer(self):
        rec = self.recording
        rec.request(1, "r1")
        rec.request(100, "r2")
        self.assert_found("P3")

    # P4

    def test_finds_a_false_refusal_of_a_request(self):
        rec = self.recording
        rec.request(1, "r1")
        rec.act(1.5, "n1", "request_started", "r1")
        rec.answer(2, "r1", status=503, code="no_target", ran=RAN_NO, complete=True)
        self.assert_found("P4")

    def test_finds_work_that_starts_after_its_refusal(self):
        rec = self.recording
        rec.request(1, "r1")
        rec.answer(2, "r1", status=503, code="queue_timeout", ran=RAN_NO, complete=True)
        rec.act(3, "n1", "request_started", "r1")
        self.assert_found("P4")

    def test_passes_a_refusal_that_is_retried(self):
        rec = self.recording
        rec.request(1, "r1")
        rec.answer(2, "r1", status=503, code="draining", ran=RAN_NO, complete=True)
        rec.request(3, "r1", "e2")
        rec.act(3.5, "n1", "request_started", "r1")
        rec.succeed(4, "r1", "e2")
        self.assert_found()

    def test_finds_a_job_that_ended_as_not_run_but_ran(self):
        rec = self.recording
        rec.record(1, rec.submitted("j1"), rec.placed("j1", "w1", "w2"))
        rec.record(2, {"job_released": {"job": key("j1"), "attempt": 1}})
        for rank, worker in enumerate(("w1", "w2")):
            rec.act(2.1, worker, "released", "j1", rank)
            rec.act(3, worker, "stopped", "j1", rank)
        rec.record(4, rec.ended("j1", RAN_NO))
        self.assert_found("P4")

    # P5

    def test_finds_a_request_that_ran_twice(self):
        rec = self.recording
        rec.request(1, "r1", repeatable=False)
        rec.act(1.1, "n1", "request_started", "r1")
        rec.act(1.2, "n2", "request_started", "r1")
        rec.succeed(2, "r1")
        (found,) = self.assert_found("P5")
        self.assertEqual(found.sources, ("n1", "n2"))

    def test_finds_a_job_that_was_released_twice(self):
        rec = self.recording
        rec.record(1, rec.submitted("j1", repeatable=False))
        rec.record(2, rec.placed("j1", "w1", "w2", claim=True))
        for attempt in (1, 2):
            at = 10 * attempt
            rec.record(at, {"job_released": {"job": key("j1"), "attempt": attempt}})
            for rank, worker in enumerate(("w1", "w2")):
                rec.act(at + 0.1, worker, "released", "j1", rank, attempt)
                rec.act(at + 1, worker, "failed", "j1", rank, attempt)
        self.assert_found("P5")

    def test_finds_a_rank_that_runs_on_two_workers(self):
        rec = self.recording
        rec.record(1, rec.submitted("j1", repeatable=False, members=1))
        rec.record(2, {"job_released": {"job": key("j1"), "attempt": 1}})
        rec.act(3, "w1", "released", "j1", members=1)
        rec.act(3, "w2", "released", "j1", members=1)
        self.assert_found("P5")

    # P6

    def test_finds_work_on_a_leaving_target(self):
        rec = self.recording
        rec.add(1, "e1", target_left={"target_id": "n1", "sign": "refused"})
        rec.add(5, "e2", target_left={"target_id": "n1", "sign": "membership"})
        rec.act(6.5, "n1", "request_started", "r1")
        (found,) = self.assert_found("P6")
        self.assertEqual(found.sources, ("e1", "n1"))

    # P7

    def test_finds_a_request_interrupted_by_a_drain(self):
        rec = self.recording
        rec.request(1, "r1")
        rec.add(2, "test", process_signal={"process_id": "e1", "signal": "drain"})
        rec.answer(3, "r1", broken=True, ran=RAN_MAYBE)
        self.assert_found("P7")

    def test_finds_an_answer_that_its_caller_marked_as_interrupted(self):
        rec = self.recording
        rec.request(1, "r1")
        rec.answer(3, "r1", broken=True, during_drain=True, ran=RAN_MAYBE)
        self.assert_found("P7")

    def test_passes_a_request_broken_by_a_kill(self):
        rec = self.recording
        rec.request(1, "r1")
        rec.add(2, "test", process_signal={"process_id": "e1", "signal": "kill"})
        rec.answer(3, "r1", broken=True, ran=RAN_MAYBE)
        self.assert_found()

    # P8

    def test_finds_a_version_that_goes_back(self):
        rec = self.recording
        rec.record(1, rec.contract(2), entry="e2")
        rec.add(2, "e1", config_used={"entry_id": "e1", "account": "alpha", "version": 2})
        rec.add(3, "e1", config_used={"entry_id": "e1", "account": "alpha", "version": 1})
        self.assert_found("P8")

    def test_finds_a_version_that_is_late(self):
        rec = self.recording
        rec.record(1, rec.contract(2), entry="e2")
        rec.add(8, "e1", config_used={"entry_id": "e1", "account": "alpha", "version": 1})
        (found,) = self.assert_found("P8")
        self.assertEqual(found.sources, ("e2", "e1"))

    def test_finds_an_entry_that_applies_an_older_record(self):
        rec = self.recording
        rec.record(1, rec.submitted("j1"))
        rec.events.append(rec.events[0].__class__(time_us=2 * SECOND, source="e1"))
        rec.events[-1].record_applied.CopyFrom(rec.events[0].record_applied)
        self.assert_found("P8")

    # limits and the journal

    def test_finds_a_queue_over_its_limit(self):
        rec = self.recording
        # two by the limit, one more for the free guarantee
        rec.record(1, *(rec.submitted(f"j{n}") for n in range(4)))
        self.assert_found("queue")

    def test_finds_burst_work_over_its_limit(self):
        rec = self.recording
        rec.record(1, rec.contract(2, queued_jobs=9))
        jobs = [f"j{n}" for n in range(3)]
        rec.record(2, *map(rec.submitted, jobs), *(rec.placed(j, "w1", "w2") for j in jobs))
        self.assert_found("burst")

    def test_passes_work_that_adds_nothing_to_an_exceeded_limit(self):
        """A lowered accelerator limit must not keep work without accelerators waiting."""
        rec = self.recording
        rec.record(1, rec.submitted("j1"), rec.placed("j1", "w1", "w2"))
        lowered = rec.contract(2)
        lowered["contract_changed"]["contract"]["burst_accelerators"] = 4
        plain = {"cpu_millis": 1000, "memory_mb": 1000}
        rec.record(2, lowered, rec.submitted("j2", member=plain), rec.placed("j2", "w1", "w2"))
        self.assert_found()
        rec.record(3, rec.submitted("j3"), rec.placed("j3", "w1", "w2"))
        self.assert_found("burst")

    def test_finds_burst_processors_over_their_limit(self):
        rec = self.recording
        plain = {"cpu_millis": 40_000, "memory_mb": 1000}
        rec.record(1, rec.submitted("j1", member=plain), rec.placed("j1", "w1", "w2"))
        self.assert_found("burst")

    def test_finds_released_tasks_that_exceed_their_worker(self):
        rec = self.recording
        rec.record(1, *(rec.submitted(f"j{n}", members=1) for n in range(3)))
        for n in range(3):
            rec.record(2 + n, {"job_released": {"job": key(f"j{n}"), "attempt": 1}})
            rec.act(2.5 + n, "w1", "released", f"j{n}", members=1)
        (found,) = self.assert_found("capacity")
        self.assertEqual(found.time_us, int(4.5 * SECOND))

    def test_finds_two_records_with_one_sequence(self):
        rec = self.recording
        rec.record(1, rec.submitted("j1"))
        rec.record(2, rec.submitted("j2"), entry="e2", sequence=2)
        self.assert_found("journal")

    def test_finds_a_missing_record(self):
        """A recording with a gap must not pass as clean."""
        rec = self.recording
        rec.record(1, rec.submitted("j1"), sequence=3)
        self.assert_found("recording")


if __name__ == "__main__":
    unittest.main()
