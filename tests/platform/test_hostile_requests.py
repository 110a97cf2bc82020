"""Requests whose values nobody can use get a 4xx that names them, and nothing is stored."""

import json
import math
import unittest

from ibiscart_core.error import IbiscartError
from ibiscart_entry.server import Request
from ibiscart_platform.front import parse_job
from tests.platform.deployment import (
    API_KEY,
    HOST,
    JOB_ID,
    OTHER_JOB_ID,
    QUEUE_PATH,
    Deployment,
    job,
    run_virtual,
    step,
)

HUGE = 10**399
INTEGERS = (HUGE, -1, 1e308, math.nan, math.inf, 0.5, True, "1", [], {}, None)
TEXTS = (5, [], {}, None, True, "\ud800", "x" * 5000)
# field of a submission, path to it, values
FIELDS = [
    *((f"steps[0].{name}", INTEGERS) for name in ("count", "gpu", "cpu", "memMb", "estimateMs")),
    ("steps[0].antiAffinity", INTEGERS),
    *((f"steps[0].{name}", TEXTS) for name in ("requires", "affinity")),
    *((f"steps[0].{name}", (1, "true", None, [])) for name in ("gang", "checkpointing", "fills")),
    ("steps[0].after", (5, {}, None, [0], [HUGE], [[]], [-1], [0] * 5000)),
    *((name, INTEGERS) for name in ("startAtMs", "intervalMs", "repeatCount")),
    ("startAtMs", (10**15,)),
    ("repeatCount", (1001,)),
    ("spec", TEXTS),
    ("steps", (5, {}, None, "x", [], [{}] * 101)),
    ("steps[0]", (5, [], None, "x")),
]


def body_with(field, value):
    """Returns a submission in which ``field`` is ``value``."""
    document = job(step(2), startAtMs=1)
    document.update(intervalMs=1, repeatCount=1)
    if not field.startswith("steps[0]"):
        document[field] = value
    elif field == "steps[0]":
        document["steps"][0] = value
    else:
        document["steps"][0][field.partition(".")[2]] = value
    return document


class HostileJobTest(unittest.TestCase):
    def test_error_names_field_value_and_bound(self):
        for field, values in FIELDS:
            for value in values:
                with self.subTest(field=field, value=ascii(value)[:40]):
                    with self.assertRaises(IbiscartError) as caught:
                        parse_job(json.dumps(body_with(field, value)).encode()).check()
                    error = caught.exception
                    self.assertEqual(400, error.answer.status)
                    self.assertTrue(error.field.startswith(field), error.field)
                    self.assertLess(len(error.value), 100)
                    self.assertTrue(error.value and error.bound)
                    self.assertIn("correct it", error.message)
                    error.to_message().SerializeToString()

    def test_unreadable_body_is_a_bad_field(self):
        nested = b'{"steps":' + b"[" * 900 + b"]" * 900 + b"}"
        for body in (b"", b"\xff", b"[" * 100_000, nested, b"1" * 5000, b'{"spec":', b"[]", b"5"):
            with self.subTest(body=body[:20]), self.assertRaises(IbiscartError) as caught:
                parse_job(body)
            self.assertEqual(
                (400, "body"), (caught.exception.answer.status, caught.exception.field)
            )
            self.assertLess(len(caught.exception.message), 400)

    def test_occurrences_end_before_the_end_of_time(self):
        document = body_with("intervalMs", 253_402_300_799_999)
        document["repeatCount"] = 1000
        with self.assertRaises(IbiscartError):
            parse_job(json.dumps(document).encode()).check()

    def test_hostile_job_is_refused_at_once_and_stops_no_other(self):
        """Guards against leaders that ended, one after another, at a job of 1e308 accelerators."""

        async def main():
            async with Deployment() as deployment:
                leader = deployment.leader()
                for field, values in FIELDS:
                    for value in values:
                        entry = deployment.first_entry()
                        status, body = await entry.call(
                            "POST", QUEUE_PATH + JOB_ID, body_with(field, value)
                        )
                        self.assertEqual(400, status, (field, ascii(value)[:40]))
                        self.assertTrue(body["error"]["field"].startswith(field))
                self.assertFalse([key for key in deployment.store.rows if key[0] == "jobs"])
                await deployment.submit(OTHER_JOB_ID, job(step(2), ms=500))
                await deployment.wait_for_state(OTHER_JOB_ID, "completed")
                self.assertIs(leader, deployment.leader())

        run_virtual(main)


class HostileHeaderTest(unittest.TestCase):
    def test_headers_that_cannot_be_used(self):
        """Guards against an internal error for a deadline of 400 digits."""

        async def main():
            async with Deployment(entries=1) as deployment:
                frontend = deployment.first_entry().frontend

                async def call(path=QUEUE_PATH + JOB_ID, **headers):
                    fields = {"host": HOST, "authorization": f"Bearer {API_KEY}"}
                    fields.update({name.replace("_", "-"): v for name, v in headers.items()})
                    request = Request("GET", path, fields, b"", "caller")
                    response = await frontend.handle(request)
                    return response.status, json.loads(response.body)["error"]

                for deadline in ("4" * 400, "nan", "inf", "-5", "soon", "9" * 5000, "1e400"):
                    status, error = await call(x_deadline_ms=deadline)
                    self.assertEqual(400, status, deadline[:20])
                    self.assertEqual("X-Deadline-Ms", error["field"])
                    self.assertLess(len(error["value"]), 100)
                for deadline in ("3000", "", "2999.5", "9" * 15):
                    status, _ = await call(x_deadline_ms=deadline)
                    self.assertEqual(410, status, deadline)
                for authorization in (
                    "Bearer \xff\xe9",
                    "\xff",
                    "Bearer " + "k" * 10_000,
                    "Bearer",
                ):
                    self.assertEqual(401, (await call(authorization=authorization))[0])
                for job_id in ("\u00e9" * 16, "\u0661" * 16, "\u00aa" * 16, "a" * 17, "a/" * 8):
                    self.assertEqual(404, (await call(QUEUE_PATH + job_id))[0])
                for host in ("\xff", "a..b", ":", "", "h" * 10_000):
                    self.assertEqual(404, (await call(host=host))[0])

        run_virtual(main)


if __name__ == "__main__":
    unittest.main()
