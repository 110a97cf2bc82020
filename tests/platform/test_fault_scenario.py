"""Tests of random fault scenarios and of their ability to detect planted faults."""

import unittest
from unittest import mock

import trio

from ibiscart_core.workflow.engine import Engine
from ibiscart_core.workflow.unit import EndCause
from ibiscart_entry.coordination.leadership import Leadership
from ibiscart_entry.coordination.record import LEADER_KEY
from ibiscart_entry.coordination.session import WorkerSession
from ibiscart_schema.generated.store_pb2 import TableWrite
from tests.platform.deployment import Deployment, job, run_virtual, step
from tests.platform.fault_scenario import run_scenario

# 818: a job accepted while a new leader loaded its state was never run; 4103: the stand-in of a
# crashed worker carried out an order; 4355: crashes were not counted under changing leaders; 4489:
# an announcement to a coordinator that was ending raised an error; 6317: a task that had completed
# while its worker was silent ran again
SEEDS = (*range(6), 818, 4103, 4355, 4489, 6317)


class FaultScenarioTest(unittest.TestCase):
    def test_random_faults_violate_no_guarantee(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                self.assertEqual([], run_scenario(seed))


class PlantedFaultTest(unittest.TestCase):
    """Checks that faults planted in the product code are detected."""

    def assert_detected(self, seeds):
        """Checks that the scenario of at least one seed reports a violation."""
        self.assertTrue(any(run_scenario(seed) for seed in seeds))

    def test_runs_ended_before_lease_expiry_are_detected(self):
        # planted fault: the leader ends the runs of an unreachable worker before their leases
        # expire, so the tasks start elsewhere while the worker still executes them
        mark_unreachable = WorkerSession._mark_unreachable

        def end_runs_early(session, reason, replaced):
            session._expires_at = 0.0
            mark_unreachable(session, reason, replaced)

        async def main():
            async with Deployment(workers=2) as deployment:
                await deployment.submit("00000000000000a1", job(step(1, 8), ms=5000))
                await deployment.wait_for_state("00000000000000a1", "running")
                workers = deployment.fleet.workers.values()
                next(worker for worker in workers if worker.running).unresponsive = True
                await trio.sleep(14)
                return deployment.fleet.violations

        self.assertEqual([], run_virtual(main))
        with mock.patch.object(WorkerSession, "_mark_unreachable", end_runs_early):
            self.assertNotEqual([], run_virtual(main))

    def test_unanswered_order_treated_as_unsent_is_detected(self):
        # planted fault: the engine ends the run of an unanswered start order without a stop, and
        # the worker applies the order later
        request_stop = Engine._request_stop

        def end_run(engine, unit, index, reason):
            if reason != "start_unanswered":
                request_stop(engine, unit, index, reason)
                return
            worker = engine.fleet.get(unit.allocations[index].worker_id)
            key = unit.task_key(index)
            engine._end_run(worker, unit, key, unit.run, EndCause.LOST, "", reason, 0.0)

        async def main():
            async with Deployment(workers=2) as deployment:
                worker_0 = deployment.fleet.workers["w0"]
                worker_0.late_rate, worker_0.late_seconds = 1.0, 4.0
                await deployment.submit("00000000000000a1", job(step(1, 8), ms=5000))
                # the next run starts on worker w1 before w0 applies the delayed order
                await trio.sleep(1)
                deployment.register("w0", state="draining")
                await trio.sleep(2)
                worker_0.late_rate = 0.0
                await trio.sleep(8)
                return deployment.fleet.violations

        self.assertEqual([], run_virtual(main))
        with mock.patch.object(Engine, "_request_stop", end_run):
            self.assertNotEqual([], run_virtual(main))

    def test_unconditional_leader_write_is_detected(self):
        # planted fault: the leader row is written without its expected version, so a former leader
        # overwrites the row of its successor
        def write(leadership, content):
            return TableWrite(key=LEADER_KEY, value=content.to_value())

        with mock.patch.object(Leadership, "_leader_row_write", write):
            self.assert_detected((41,))


if __name__ == "__main__":
    unittest.main()
