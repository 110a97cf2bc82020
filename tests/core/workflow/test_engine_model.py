"""Explores the engine against a model of its workers; the model has to find planted faults."""

import unittest
from unittest import mock

from hypothesis import HealthCheck, Phase, settings
from hypothesis.stateful import run_state_machine_as_test

from ibiscart_core.workflow import step_units
from ibiscart_core.workflow.crash import CrashEvidence
from ibiscart_core.workflow.engine import Engine
from ibiscart_core.workflow.fleet import FleetWorker
from ibiscart_core.workflow.unit import AllocationState, EndCause
from tests.core.workflow.engine_model import EngineModel

# derandomized, so that each run of the tests has the same examples
SETTINGS = settings(
    max_examples=150,
    stateful_step_count=40,
    derandomize=True,
    database=None,
    deadline=None,
    phases=[Phase.generate],
    suppress_health_check=list(HealthCheck),
)


# a search ends with the first example that breaks an invariant; the examples change with the
# constants in the sources, and a few hundred may all miss a planted fault
PLANTED_FAULT_SETTINGS = settings(SETTINGS, max_examples=2000)


def explore(example_settings=SETTINGS):
    """Runs ``EngineModel`` with the examples of the settings; raises if an invariant fails."""
    run_state_machine_as_test(EngineModel, settings=example_settings)


class EngineModelTest(unittest.TestCase):
    def test_invariants_hold(self):
        explore()

    def test_invariants_hold_while_blocks_of_units_are_created_and_dropped(self):
        with mock.patch.object(step_units, "BLOCK_UNITS", 2):
            explore()


class PlantedFaultTest(unittest.TestCase):
    """Checks that each planted fault breaks an invariant of the model."""

    def assert_found(self):
        """Checks that the model fails with the fault that the caller planted."""
        with self.assertRaises((AssertionError, BaseExceptionGroup)):
            explore(PLANTED_FAULT_SETTINGS)

    def test_run_ended_while_its_start_order_is_in_flight(self):
        def end_at_once(engine, unit, index, reason):
            if index not in unit.allocations:
                return
            worker = engine.fleet.get(unit.allocations[index].worker_id)
            key = unit.task_key(index)
            engine._end_run(worker, unit, key, unit.run, EndCause.LOST, "", reason, 0.0)

        with mock.patch.object(Engine, "_request_stop", end_at_once):
            self.assert_found()

    def test_capacity_released_before_the_run_has_ended(self):
        request_stop = Engine._request_stop

        def release_early(engine, unit, index, reason):
            allocation = unit.allocations[index]
            if allocation.state is not AllocationState.STOPPING:
                worker = engine.fleet.get(allocation.worker_id)
                worker.used = worker.used - unit.spec.demand
            request_stop(engine, unit, index, reason)

        with mock.patch.object(Engine, "_request_stop", release_early):
            self.assert_found()

    def test_task_given_up_after_a_single_crash(self):
        hasty = property(lambda evidence: evidence.lost_workers >= 1)
        with mock.patch.object(CrashEvidence, "conclusive", hasty):
            self.assert_found()

    def test_recorded_allocations_ignored_by_a_new_leader(self):
        with mock.patch.object(FleetWorker, "allocate", lambda worker, key, run, unit: None):
            self.assert_found()

    def test_outcome_not_updated_when_the_configuration_is_read(self):
        def set_catalog(engine, catalog):
            engine.catalog = catalog

        update_outcome = Engine._update_outcome

        def update_if_configured(engine, job, *units):
            if engine.catalog is not None:
                update_outcome(engine, job, *units)

        with mock.patch.object(Engine, "apply_catalog", set_catalog):
            with mock.patch.object(Engine, "_update_outcome", update_if_configured):
                self.assert_found()


if __name__ == "__main__":
    unittest.main()
