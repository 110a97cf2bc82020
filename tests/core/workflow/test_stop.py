"""Tests that the engine orders a stop until the worker's status shows its effect."""

import unittest

from ibiscart_core.workflow.job import Job
from ibiscart_core.workflow.report import StartResult
from ibiscart_core.workflow.unit import EndCause
from tests.core.workflow.harness import EngineHarness, step


class StopTest(unittest.TestCase):
    def cancelled_run(self):
        """Returns (harness, unit with a run that is being stopped, its stop order)."""
        harness = EngineHarness(workers=1)
        job = harness.submit("a", step())
        harness.run_pass()
        harness.report()
        harness.engine.cancel("a")
        _, (stop,) = harness.plan()
        return harness, next(job.units()), stop

    def next_stops(self, harness, *, listed, incarnation=1):
        """Returns the stops that are planned after the worker's next status."""
        if not listed:
            harness.running["w0"].clear()
        harness.report(incarnation=incarnation)
        return harness.plan()[1]

    def test_order_that_reached_no_worker_is_issued_again_with_the_next_status(self):
        """Guards against a stop that is dropped: the run goes on, or keeps its room for good."""
        for listed in (True, False):
            with self.subTest(listed=listed):
                harness, unit, stop = self.cancelled_run()
                harness.engine.end_delivery(stop)
                self.assertEqual([stop], self.next_stops(harness, listed=listed))
                harness.engine.confirm_stop(stop, harness.now)
                harness.engine.end_delivery(stop)
                if listed:
                    harness.end("w0", stop.task_key, stop.run, EndCause.STOPPED)
                harness.report()
                self.assertFalse(unit.allocations)

    def test_order_that_is_being_sent_is_not_issued_again(self):
        for listed in (True, False):
            with self.subTest(listed=listed):
                harness, _, _ = self.cancelled_run()
                self.assertEqual([], self.next_stops(harness, listed=listed))

    def test_acknowledged_order_is_issued_again_if_the_run_goes_on(self):
        """Guards against a late start in the next life of a worker, where the stop bars nothing."""
        harness, _, stop = self.cancelled_run()
        harness.engine.confirm_stop(stop, harness.now)
        harness.engine.end_delivery(stop)
        self.assertEqual([], self.next_stops(harness, listed=True))
        harness.now += 3
        self.assertEqual([stop], self.next_stops(harness, listed=True, incarnation=2))

    def test_orders_of_all_reasons_are_issued_again(self):
        """Guards against a reason for a stop whose order is sent only once."""

        def cancel(harness, job):
            harness.engine.cancel(job.id)

        def end_member(harness, job):
            worker_id = next(iter(harness.running))
            ((task_key, run),) = list(harness.running[worker_id])
            harness.end(worker_id, task_key, run, EndCause.FAILED)
            harness.report()

        def preempt(harness, job):
            harness.submit("urgent", step(1, 8), priority=0)
            harness.plan()

        def drain(harness, job):
            for worker in harness.engine.fleet.workers.values():
                worker.info.draining = True
                worker.leaves_at = harness.now + 0.5
            harness.engine.checkpoint_leaving_runs(harness.now)

        def lose_list(harness, job):
            harness.running["w0"].clear()
            harness.report()

        for reason in (cancel, end_member, preempt, drain, lose_list):
            with self.subTest(reason=reason.__name__):
                harness = EngineHarness(workers=2, guaranteed=16)
                gang = step(2, 8, gang=True, checkpointing=True, estimate_ms=60_000)
                job = harness.submit("a", gang, priority=2, account="b")
                harness.run_pass()
                harness.report()
                reason(harness, job)
                _, stops = harness.plan(0.3)
                self.assertTrue(stops)
                for stop in stops:
                    harness.engine.end_delivery(stop)
                harness.report()
                self.assertEqual(set(stops), set(harness.plan()[1]))

    def test_unanswered_start_is_stopped_until_the_worker_has_acknowledged_it(self):
        """Guards against a start that is carried out late although its stop was given up."""
        harness = EngineHarness(workers=1)
        harness.submit("a", step())
        (order,), _ = harness.plan()
        harness.start(order, StartResult.UNKNOWN)
        _, (stop,) = harness.plan()
        harness.engine.end_delivery(stop)
        harness.report()
        self.assertEqual([stop], harness.plan()[1])

    def test_rest_of_a_gang_of_which_a_member_has_ended_is_stopped_by_the_next_leader(self):
        """Guards against a gang that works on, or waits, without its lost member for good."""
        harness = EngineHarness(workers=2)
        job = harness.submit("a", step(2, 8, gang=True))
        harness.run_pass()
        harness.report()
        unit = next(job.units())
        harness.engine.end_lost_runs("w0", EndCause.WORKER_VANISHED, harness.now, "lease_expired")
        successor = EngineHarness(workers=2)
        loaded = Job("a", "a", "q1", job.spec, job.accepted_ms)
        loaded.load_record(job.to_record())
        successor.engine.add_job(loaded, successor.now)
        _, (stop,) = successor.plan()
        self.assertEqual(("w1", unit.run, "member_ended"), (stop.worker_id, stop.run, stop.reason))


if __name__ == "__main__":
    unittest.main()
