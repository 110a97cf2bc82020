"""Tests that a worker gets work only by what it has registered in its present incarnation."""

import unittest

from ibiscart_core.resource import Resources
from ibiscart_core.workflow.fleet import WorkerInfo
from tests.core.workflow.harness import POOL, EngineHarness, step


class IncarnationTest(unittest.TestCase):
    def setUp(self):
        self.harness = EngineHarness(workers=1, accelerators=4)

    def register(self, incarnation, label="a", accelerators=4, **fields):
        """Applies a registration of the only worker."""
        info = WorkerInfo(
            "w0",
            "10.0.0.0:80",
            incarnation,
            Resources(accelerators, 64000, 64000),
            pool=POOL,
            labels=(label, "r0"),
            rack="r0",
            **fields,
        )
        self.harness.engine.fleet.add(info).record_report(self.harness.now, None)

    def starts(self):
        """Returns the number of starts that are planned."""
        return len(self.harness.run_pass(0.3))

    def test_restarted_worker_gets_no_work_by_its_earlier_registration(self):
        # tasks started on workers that came back under their ids without the label (review/9)
        self.harness.report(incarnation=1)
        self.harness.submit("a", step(required_label="a"))
        self.harness.report(incarnation=2)
        self.assertEqual(0, self.starts())
        self.register(2, "b")
        self.assertEqual(0, self.starts())
        self.harness.submit("b", step(required_label="b"))
        self.assertEqual(1, self.starts())

    def test_restarted_worker_gets_no_more_than_its_new_capacity(self):
        self.harness.report(incarnation=2)
        self.harness.submit("a", step(4))
        self.assertEqual(0, self.starts())
        self.register(2, accelerators=2)
        self.assertEqual(2, self.starts())

    def test_registration_that_is_read_before_the_last_answer_of_the_earlier_incarnation(self):
        self.harness.report(incarnation=1)
        self.harness.submit("a", step())
        self.register(2)
        self.harness.report(incarnation=1)
        self.assertEqual(0, self.starts())
        self.harness.report(incarnation=2)
        self.assertEqual(1, self.starts())

    def test_earlier_registration_that_is_read_again_describes_no_later_incarnation(self):
        self.register(2)
        self.harness.report(incarnation=2)
        self.register(1)
        self.harness.report(incarnation=2)
        self.harness.submit("a", step())
        self.assertEqual(0, self.starts())
        self.register(2)
        self.harness.report(incarnation=2)
        self.assertEqual(1, self.starts())

    def test_incarnation_whose_number_is_lower_gets_work(self):
        """Guards against a worker that stays without work after its wall clock was set back."""
        self.harness.report(incarnation=1)
        self.register(0)
        self.harness.report(incarnation=0)
        self.harness.submit("a", step())
        self.assertEqual(1, self.starts())

    def test_departure_and_speed_of_an_earlier_incarnation_are_forgotten(self):
        self.register(1, draining=True, remaining_ms=500)
        worker = self.harness.engine.fleet.get("w0")
        self.assertIsNotNone(worker.leaves_at)
        worker.speed.restore(-1.0, self.harness.now)
        self.harness.report(incarnation=2)
        self.register(2)
        self.assertIsNone(worker.leaves_at)
        self.assertEqual(1.0, worker.relative_speed(self.harness.now))


if __name__ == "__main__":
    unittest.main()
