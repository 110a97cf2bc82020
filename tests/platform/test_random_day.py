"""Tests of days of random faults, and that they find planted faults."""

import unittest
from unittest import mock

from ibiscart_core.workflow.engine import Engine
from ibiscart_core.workflow.job import EndCause
from ibiscart_entry.coordination.leadership import Leadership
from ibiscart_entry.coordination.record import LEADER_KEY
from ibiscart_entry.coordination.session import WorkerSession
from ibiscart_schema.generated.store_pb2 import TableWrite
from tests.platform.random_day import play

SEEDS = range(6)


class RandomDayTest(unittest.TestCase):
    def test_no_promise_is_broken(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                self.assertEqual([], play(seed))


class PlantedFaultTest(unittest.TestCase):
    """Each fault must be found by at least one of the seeds named."""

    def assert_found(self, seeds):
        self.assertTrue(any(play(seed) for seed in seeds))

    def test_runs_given_up_before_their_leases_end(self):
        lost = WorkerSession._lost

        def give_up(session, reason):
            session._expires_at = 0.0
            lost(session, reason)

        with mock.patch.object(WorkerSession, "_lost", give_up):
            self.assert_found((28,))

    def test_order_without_an_answer_taken_for_not_sent(self):
        request_stop = Engine._request_stop

        def forget(engine, unit, index, reason):
            if reason != "start_unanswered":
                request_stop(engine, unit, index, reason)
                return
            worker = engine.fleet.get(unit.places[index].worker_id)
            key = unit.task_key(index)
            engine._end(worker, unit, key, unit.run, EndCause.LOST, "", reason)

        with mock.patch.object(Engine, "_request_stop", forget):
            self.assert_found((1,))

    def test_leader_that_writes_without_a_condition(self):
        def write(leadership, content):
            return TableWrite(key=LEADER_KEY, value=content.to_value())

        with mock.patch.object(Leadership, "_leader_write", write):
            self.assert_found((41,))


if __name__ == "__main__":
    unittest.main()
