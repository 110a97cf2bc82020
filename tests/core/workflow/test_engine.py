"""Tests of how the engine ends jobs."""

import unittest

from ibiscart_core.workflow.catalog import Catalog
from ibiscart_core.workflow.job import EndCause, Job, Outcome
from ibiscart_core.workflow.spec import JobSpec
from tests.core.workflow.world import World, step


class SettleTest(unittest.TestCase):
    def test_job_whose_last_run_ends_before_the_configuration_is_read_completes(self):
        # a new leader without a configuration took the last end, and the job never ended
        world = World()
        job = world.submit("a", step())
        world.play()
        world.engine.apply_catalog(None)
        world.end_unit(next(job.units()))
        self.assertIs(Outcome.COMPLETED, job.outcome)

    def test_job_of_a_queue_that_was_removed_completes(self):
        world = World()
        job = world.submit("a", step())
        world.play()
        world.engine.apply_catalog(Catalog(2, [], [], []))
        world.end_unit(next(job.units()))
        self.assertIs(Outcome.COMPLETED, job.outcome)

    def test_job_without_attempts_left_fails_when_the_configuration_is_read(self):
        world = World()
        catalog = world.engine.catalog
        job = world.submit("a", step())
        world.play()
        world.end_unit(next(job.units()), EndCause.FAILED)
        world.play()
        world.engine.apply_catalog(None)
        world.end_unit(next(job.units()), EndCause.FAILED)
        self.assertIsNone(job.outcome)
        world.engine.apply_catalog(catalog)
        self.assertIs(Outcome.FAILED, job.outcome)
        self.assertIn("a", world.engine.unsaved_job_ids)

    def test_job_that_was_loaded_with_all_tasks_done_completes(self):
        world = World()
        job = world.submit("a", step())
        record = {"units": {"0.0": [[0, 1, 1, 0, "", []]]}}
        loaded = Job("b", job.account, job.queue, job.spec, job.accepted_ms)
        loaded.load_record(record)
        world.engine.add_job(loaded)
        self.assertIs(Outcome.COMPLETED, loaded.outcome)

    def test_accepted_job_runs_after_its_queue_was_removed(self):
        # a job that was accepted waited for ever when a change dropped its queue
        world = World()
        queue = world.engine.catalog.queues["q1"]
        job = Job("a", "a", "q1", JobSpec("x", [step(), step(after=[0])]), world.now_ms, queue)
        world.engine.add_job(Job.from_document("a", job.to_document()))
        world.engine.apply_catalog(Catalog(2, [], [], []))
        self.assertEqual(1, len(world.play()))
        job = world.engine.jobs["a"]
        world.end_unit(next(job.units()))
        self.assertEqual(1, len(world.play()))


if __name__ == "__main__":
    unittest.main()
