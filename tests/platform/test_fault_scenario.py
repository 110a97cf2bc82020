"""Tests of days of random faults, and that they find planted faults."""

import unittest
from unittest import mock

import trio

from ibiscart_core.workflow.engine import Engine
from ibiscart_core.workflow.job import EndCause
from ibiscart_entry.coordination.leadership import Leadership
from ibiscart_entry.coordination.record import LEADER_KEY
from ibiscart_entry.coordination.session import WorkerSession
from ibiscart_schema.generated.store_pb2 import TableWrite
from tests.platform.deployment import Deployment, job, run_virtual, step
from tests.platform.fault_scenario import run_scenario

SEEDS = range(6)


class FaultScenarioTest(unittest.TestCase):
    def test_no_promise_is_broken(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                self.assertEqual([], run_scenario(seed))


class PlantedFaultTest(unittest.TestCase):
    """Each fault must be found by at least one of the seeds named."""

    def assert_found(self, seeds):
        self.assertTrue(any(run_scenario(seed) for seed in seeds))

    def test_runs_given_up_before_their_leases_end(self):
        lost = WorkerSession._mark_unreachable

        def give_up(session, reason):
            session._expires_at = 0.0
            lost(session, reason)

        async def main():
            async with Deployment(workers=2) as deployment:
                await deployment.submit("00000000000000a1", job(step(1, 8), ms=5000))
                await deployment.wait_state("00000000000000a1", "running")
                workers = deployment.fleet.workers.values()
                next(worker for worker in workers if worker.running).unresponsive = True
                await trio.sleep(14)
                return deployment.fleet.violations

        self.assertEqual([], run_virtual(main))
        with mock.patch.object(WorkerSession, "_mark_unreachable", give_up):
            self.assertNotEqual([], run_virtual(main))

    def test_order_without_an_answer_taken_for_not_sent(self):
        request_stop = Engine._request_stop

        def forget(engine, unit, index, reason):
            if reason != "start_unanswered":
                request_stop(engine, unit, index, reason)
                return
            worker = engine.fleet.get(unit.allocations[index].worker_id)
            key = unit.task_key(index)
            engine._end(worker, unit, key, unit.run, EndCause.LOST, "", reason)

        async def main():
            async with Deployment(workers=2) as deployment:
                first = deployment.fleet.workers["w0"]
                first.late_rate, first.late_seconds = 1.0, 4.0
                await deployment.submit("00000000000000a1", job(step(1, 8), ms=5000))
                # the next run goes to the other worker, and the late order arrives meanwhile
                await trio.sleep(1)
                deployment.register("w0", state="draining")
                await trio.sleep(2)
                first.late_rate = 0.0
                await trio.sleep(8)
                return deployment.fleet.violations

        self.assertEqual([], run_virtual(main))
        with mock.patch.object(Engine, "_request_stop", forget):
            self.assertNotEqual([], run_virtual(main))

    def test_leader_that_writes_without_a_condition(self):
        def write(leadership, content):
            return TableWrite(key=LEADER_KEY, value=content.to_value())

        with mock.patch.object(Leadership, "_leader_write", write):
            self.assert_found((41,))


if __name__ == "__main__":
    unittest.main()
