"""Tests of loading a job's record: a damaged one is an error, and changes nothing."""

import copy
import json
import math
import unittest

from ibiscart_core.resource import Resources
from ibiscart_core.value import InvalidValueError
from ibiscart_core.workflow.job import Job
from ibiscart_core.workflow.spec import JobSpec, StepSpec
from ibiscart_core.workflow.unit import UnitState

HUGE = 10**399
EVIDENCE = [1, 0, [["w0", 5, True, False]]]
# first index, done, run, failures, checkpoint, allocations, crash evidence, started tasks
ROW = [1, 0, 3, 2, "ab", [[1, "w1", 7]], [[1, EVIDENCE]], [1]]
GANG_ROW = [0, 0, 1, 0, "", [[0, "w1", 7], [1, "w2", 7]]]
RECORD = {"started": True, "units": {"0.0": [ROW], "0.1": [GANG_ROW]}}
INTEGERS = (HUGE, -1, True, "1", None, [], {}, math.nan, 0.5)
TEXTS = (5, None, [], {}, "\ud800", "x" * 5000)


def new_job():
    """Returns a job of a step of two tasks and of a gang of two."""
    resources = Resources(1, 1, 1)
    steps = [StepSpec(2, resources), StepSpec(2, resources, gang=True)]
    return Job("a1", "a", "q", JobSpec("", steps), 0)


def damaged_records():
    """Yields records of which one value is odd."""
    yield from (None, [], 5, "x", {}, {"units": None}, {"units": []}, {"units": {"0.0": 5}})
    yield from ({"units": {"0.0": [odd]}} for odd in (5, None, {}, [], [1], ROW[:5], "abcdefgh"))
    for name in ("", "0", "0.2", "1.0", "-1.0", "0.-1", "0.0.0", "\u0661.0", "0.x", "9" * 5000):
        yield {"units": {name: []}}
    for field, odds in (("started", (1, "true", None)), ("outcome", ("odd", 5, None, []))):
        yield from ({**RECORD, field: odd} for odd in odds)
    odd_values = {
        (0,): (*INTEGERS, 2),
        (1,): (HUGE, 2, -1, "0", None, []),
        (2,): INTEGERS,
        (3,): INTEGERS,
        (4,): TEXTS,
        (5,): (5, None, {}, [5], [[]], [[1, "w1"]], [[1, "w1", 7]] * 2),
        (5, 0, 0): (*INTEGERS, 0, 2),
        (5, 0, 1): TEXTS,
        (5, 0, 2): INTEGERS,
        (6,): (5, None, {}, [5], [[]], [[1]], [[1, []]], [[1, [1, 0]]]),
        (6, 0, 0): (*INTEGERS, 0),
        (6, 0, 1, 0): INTEGERS,
        (6, 0, 1, 1): INTEGERS,
        (6, 0, 1, 2): (5, None, {}, [5], [["w0", 5, True]]),
        (6, 0, 1, 2, 0, 0): TEXTS,
        (6, 0, 1, 2, 0, 1): (HUGE, True, "1", []),
        (6, 0, 1, 2, 0, 2): (5, "true", None),
        (6, 0, 1, 2, 0, 3): (5, "true", None),
        (7,): (5, None, {}, [0], [HUGE], [[]], ["1"]),
    }
    for path, odds in odd_values.items():
        for odd in odds:
            record = copy.deepcopy(RECORD)
            target = record["units"]["0.0"][0]
            for index in path[:-1]:
                target = target[index]
            target[path[-1]] = odd
            yield record


class JobRecordTest(unittest.TestCase):
    def test_damaged_record_is_an_error_and_changes_nothing(self):
        """Guards against a job that runs again because a part of its record was not loaded."""
        for record in damaged_records():
            with self.subTest(record=ascii(record)[-160:]):
                job = new_job()
                with self.assertRaises(InvalidValueError):
                    job.load_record(record)
                state = (list(job.units()), job.outcome, job.started)
                self.assertEqual(([], None, False), state)

    def test_record_is_restored_from_json(self):
        job = new_job()
        job.load_record(json.loads(json.dumps({**RECORD, "outcome": "failed"})))
        self.assertEqual({**RECORD, "outcome": "failed"}["outcome"], job.outcome.value)
        unit = job.unit_of(0, 0, 1)
        self.assertEqual(("ab", 3, 2), (unit.checkpoint, unit.run, unit.failures))
        self.assertTrue(unit.allocations[1].started)
        self.assertIs(UnitState.ACTIVE, job.unit_of(0, 1, 0).state)
        del job.outcome
        job.outcome = None
        self.assertEqual([ROW], json.loads(json.dumps(job.to_record()))["units"]["0.0"])


if __name__ == "__main__":
    unittest.main()
