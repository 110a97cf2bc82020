"""Tests that workers on which runs fail get less work or none."""

import unittest

from ibiscart_core.workflow.job import Outcome
from ibiscart_core.workflow.reliability import Reliability
from ibiscart_core.workflow.unit import EndCause
from tests.core.workflow.harness import EngineHarness, step


def workers_of(job):
    """Returns the ids of the workers on which the job's tasks run."""
    return {
        allocation.worker_id for unit in job.units() for allocation in unit.allocations.values()
    }


class ReliabilityTest(unittest.TestCase):
    def test_one_failure_makes_a_worker_suspect_and_two_eject_it(self):
        reliability = Reliability()
        reliability.record_failure(10.0)
        self.assertTrue(reliability.is_suspect(10.1))
        self.assertFalse(reliability.is_ejected(10.1))
        reliability.record_failure(11.0)
        self.assertTrue(reliability.is_ejected(11.1))

    def test_successes_between_failures_do_not_clear_a_worker(self):
        # one success removed the evidence of all failures, so a worker that fails some of its runs
        # got new work again
        reliability = Reliability()
        for second in range(4):
            reliability.record_failure(second)
            reliability.record_success(second + 0.5)
        self.assertTrue(reliability.is_ejected(4.0))

    def test_evidence_decays(self):
        # a fault of a worker ends after some seconds, and then its capacity is needed
        reliability = Reliability()
        for _ in range(20):
            reliability.record_failure(1.0)
        self.assertFalse(reliability.is_ejected(9.0))
        self.assertFalse(reliability.is_suspect(17.0))


class PlacementTest(unittest.TestCase):
    def fail_one_run(self, harness):
        """Fails one run, then cancels its job; returns the id of the worker that failed the run."""
        job = harness.submit("probe", step())
        harness.run_pass()
        (worker_id,) = workers_of(job)
        harness.end_unit(next(job.units()), EndCause.FAILED)
        harness.engine.cancel("probe")
        return worker_id

    def test_gang_avoids_a_worker_that_has_failed(self):
        # each attempt of a gang used one of the failing workers, until no attempts were left
        harness = EngineHarness(workers=4, per_rack=4)
        failing_worker = self.fail_one_run(harness)
        job = harness.submit("gang", step(3, 8, gang=True))
        self.assertEqual(3, len(harness.run_pass()))
        self.assertNotIn(failing_worker, workers_of(job))

    def test_gang_bound_to_a_rack_avoids_the_rack_of_a_suspect_worker(self):
        harness = EngineHarness(workers=4, per_rack=2)
        failing_worker = self.fail_one_run(harness)
        job = harness.submit("gang", step(2, 8, gang=True, same_rack=True))
        self.assertEqual(2, len(harness.run_pass()))
        self.assertNotIn(failing_worker, workers_of(job))

    def test_single_task_avoids_a_worker_that_has_failed(self):
        harness = EngineHarness(workers=4)
        failing_worker = self.fail_one_run(harness)
        job = harness.submit("single", step(1, 8))
        harness.run_pass()
        self.assertNotIn(failing_worker, workers_of(job))

    def test_suspect_worker_is_used_when_others_are_full(self):
        # a run on a suspect worker may fail, but a job that waits may miss its objective
        harness = EngineHarness(workers=4)
        self.fail_one_run(harness)
        harness.submit("large", step(4, 8))
        self.assertEqual(4, len(harness.run_pass()))

    def test_lasting_task_that_failed_starts_again_on_the_only_worker_with_its_label(self):
        # it waited until the evidence against the worker had faded, although the worker had room
        harness = EngineHarness(workers=4)
        harness.engine.fleet.get("w2").info.labels = ("b", "r1")
        job = harness.submit("a", step(long_running=True, required_label="b"))
        harness.run_pass()
        harness.end_unit(next(job.units()), EndCause.FAILED)
        self.assertEqual(1, len(harness.run_pass(0.25)))
        self.assertEqual({"w2"}, workers_of(job))

    def test_job_that_fails_on_all_workers_ejects_no_worker(self):
        # a job that always fails ejected all workers, so that other jobs found no worker
        harness = EngineHarness(workers=4)
        failing_job = harness.submit("bad", step(16, 2))
        harness.run_pass()
        for unit in list(failing_job.units()):
            for index, allocation in list(unit.allocations.items()):
                harness.end(allocation.worker_id, unit.task_key(index), unit.run, EndCause.FAILED)
        harness.report()
        harness.engine.cancel("bad")
        harness.submit("good", step(4, 8, gang=True))
        self.assertEqual(4, len(harness.run_pass()))

    def test_gangs_complete_beside_workers_that_fail_some_of_their_runs(self):
        # successful single tasks between the gangs outweighed the failures of the workers, so that
        # gangs of 8 tasks were placed on these workers and failed
        harness = EngineHarness(workers=20, per_rack=20)
        outcomes = []
        for round_index in range(12):
            harness.submit(f"small{round_index}", step(20, 8))
            harness.run_pass(2.1)
            self.finish_units(harness, faulty=())
            job = harness.submit(f"gang{round_index}", step(8, 8, gang=True))
            while not job.ended:
                harness.run_pass(0.3)
                self.finish_units(harness, faulty=("w0", "w3", "w7"))
            outcomes.append(job.outcome)
        self.assertGreaterEqual(outcomes.count(Outcome.COMPLETED), 10, outcomes)

    def finish_units(self, harness, faulty):
        """Ends all runs; those on faulty workers fail, with the other members of their gangs."""
        for job in list(harness.engine.jobs.values()):
            for unit in job.units():
                on_faulty_worker = any(
                    allocation.worker_id in faulty for allocation in unit.allocations.values()
                )
                for index, allocation in list(unit.allocations.items()):
                    cause = EndCause.MEMBER_ENDED if on_faulty_worker else EndCause.DONE
                    cause = EndCause.FAILED if allocation.worker_id in faulty else cause
                    harness.end(allocation.worker_id, unit.task_key(index), unit.run, cause)
        harness.report()


if __name__ == "__main__":
    unittest.main()
