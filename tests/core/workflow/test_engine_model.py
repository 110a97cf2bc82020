"""Explores the engine's dealings with workers, and checks that planted faults are found."""

import unittest
from unittest import mock

from hypothesis import HealthCheck, Phase, settings
from hypothesis.stateful import run_state_machine_as_test

from ibiscart_core.workflow.engine import Engine
from ibiscart_core.workflow.fleet import FleetWorker
from ibiscart_core.workflow.job import AllocationState, EndCause
from tests.core.workflow.engine_model import EngineModel

# the same examples in each run
SETTINGS = settings(
    max_examples=150,
    stateful_step_count=40,
    derandomize=True,
    database=None,
    deadline=None,
    phases=[Phase.generate],
    suppress_health_check=list(HealthCheck),
)


def explore():
    run_state_machine_as_test(EngineModel, settings=SETTINGS)


class EngineModelTest(unittest.TestCase):
    def test_promises_hold(self):
        explore()


class PlantedFaultTest(unittest.TestCase):
    """Each fault must break an invariant, or the invariant guards nothing."""

    def assert_found(self):
        with self.assertRaises((AssertionError, BaseExceptionGroup)):
            explore()

    def test_run_given_up_while_its_order_is_under_way(self):
        def forget(engine, unit, index, reason):
            if index not in unit.allocations:
                return
            worker = engine.fleet.get(unit.allocations[index].worker_id)
            key = unit.task_key(index)
            engine._end(worker, unit, key, unit.run, EndCause.LOST, "", reason)

        with mock.patch.object(Engine, "_request_stop", forget):
            self.assert_found()

    def test_room_given_out_before_its_run_has_ended(self):
        request = Engine._request_stop

        def release(engine, unit, index, reason):
            allocation = unit.allocations[index]
            if allocation.state is not AllocationState.STOPPING:
                worker = engine.fleet.get(allocation.worker_id)
                worker.used = worker.used - unit.spec.demand
            request(engine, unit, index, reason)

        with mock.patch.object(Engine, "_request_stop", release):
            self.assert_found()

    def test_places_on_record_not_held_by_a_new_leader(self):
        with mock.patch.object(FleetWorker, "allocate", lambda worker, key, run, unit: None):
            self.assert_found()

    def test_job_not_settled_when_the_configuration_comes(self):
        def take(engine, catalog):
            engine.catalog = catalog

        settle = Engine._settle

        def settle_configured(engine, job):
            if engine.catalog is not None:
                settle(engine, job)

        with mock.patch.object(Engine, "apply_catalog", take):
            with mock.patch.object(Engine, "_settle", settle_configured):
                self.assert_found()


if __name__ == "__main__":
    unittest.main()
