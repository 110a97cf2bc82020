"""Guards the reader of logs against causes that the lines do not support."""

import json
import tempfile
import unittest
from pathlib import Path

from click.testing import CliRunner

from ibiscart_cli.main import main

ID = "00000000000000a1"
OTHER = "00000000000000b2"


def line(second, node, message, **fields):
    time = f"2026-12-04 10:00:{second:06.3f}"
    return json.dumps({"time": time, "node": node, "message": message, **fields})


class ExplainTest(unittest.TestCase):
    def setUp(self):
        self.folder = Path(self.enterContext(tempfile.TemporaryDirectory()))

    def call(self, *logs, code=0, options=()):
        paths = []
        for number, lines in enumerate(logs):
            path = self.folder / f"{number}.log"
            path.write_text("\n".join(lines) + "\n", encoding="utf-8")
            paths.append(str(path))
        result = CliRunner().invoke(main, [*options, "explain", ID, *paths])
        self.assertEqual(code, result.exit_code, result.output)
        return result.output

    def answer(self, second, node, status, outcome, **fields):
        return line(
            second,
            node,
            "front: A request was answered.",
            method="POST",
            path=f"/q/{ID}",
            request_id=ID,
            status=status,
            outcome=outcome,
            **fields,
        )

    def test_lines_of_several_entries_are_put_in_order(self):
        # the lines of the entry that answered and of the leader lie in different files
        output = self.call(
            [line(2, "e0", "decision: Job taken.", job=ID), line(3, "e0", "x: Other.", job=OTHER)],
            ["not json", "1.0 e1 " + self.answer(1, "e1", 200, "answered")],
        ).splitlines()
        self.assertEqual(["e1", "e0"], [row.split("  ")[1] for row in output[:2]])
        self.assertIn("never placed", output[-1])
        self.assertEqual(3, len(output))

    def test_refused_submission_names_the_answers_of_the_store(self):
        output = self.call(
            [
                line(1, "e0", "jobs: A write was refused.", job=ID, cause="status_503"),
                self.answer(1.1, "e0", 503, "store_unavailable"),
            ]
        )
        self.assertIn("Not accepted by e0: store_unavailable, so nothing was stored", output)
        self.assertIn("status_503", output)

    def test_submission_refused_without_a_call_to_the_store_names_the_cause(self):
        """Guards against a refusal whose cause the operator cannot see."""
        message = "gate: A request is refused while the store does not answer."
        output = self.call(
            [
                line(1, "e0", message, job=ID, cause="store_lost"),
                self.answer(1.1, "e0", 503, "store_unavailable"),
            ]
        )
        self.assertIn("so nothing was stored; causes: store_lost", output)

    def test_late_submission_names_the_cancellation_before_it(self):
        """Guards against a refusal that looks like a fault of the store."""
        message = "jobs: A submission of a cancelled job was refused."
        output = self.call(
            [line(2, "e0", message, job=ID, cancelled_ms_ago=1008)],
            [self.answer(2.1, "e0", 429, "cancelled")],
        )
        self.assertIn("Not accepted by e0: the job had been cancelled 1008 ms before", output)

    def test_unknown_outcome_is_not_called_a_refusal(self):
        output = self.call(
            [
                line(1, "e0", "jobs: A write has no answer.", job=ID, cause="timeout"),
                self.answer(3, "e0", 504, "deadline"),
            ]
        )
        self.assertIn("it may be stored", output)

    def test_failed_job_names_task_and_workers(self):
        runs = [
            line(
                second,
                "e0",
                "decision: Run ended.",
                job=ID,
                task="0.0.3",
                run=second,
                worker=f"w{second}",
                cause="failed",
                failures=second,
            )
            for second in (1, 2)
        ]
        output = self.call([*runs, line(3, "e0", "decision: Job ended.", job=ID, outcome="failed")])
        self.assertIn("task 0.0.3 failed 2 times", output)
        self.assertIn("w1, w2", output)

    def test_job_that_was_given_up_names_the_workers_that_it_crashed(self):
        # the sentence said that task None had failed None times
        changes = [
            line(
                number,
                "e0",
                "decision: Crash evidence changed.",
                job=ID,
                task="0.0.3",
                worker=f"w{number}",
                crashed=number,
                lost=number,
                given_up=number == 3,
            )
            for number in (1, 2, 3)
        ]
        end = line(4, "e0", "decision: Job ended.", job=ID, outcome="failed")
        output = self.call([*changes, end])
        self.assertIn("3 workers were lost while task 0.0.3 ran", output)
        self.assertIn("w1, w2, w3", output)

    def test_late_job_names_what_delayed_it(self):
        output = self.call(
            [
                line(1, "e0", "decision: Unit placed.", job=ID, unit="0.0.0", run=1, waited_ms=2),
                line(
                    2,
                    "e0",
                    "decision: Unit preempted.",
                    job=ID,
                    unit="0.0.0",
                    reason="guarantee",
                    gaining=OTHER,
                ),
                line(3, "e0", "decision: Unit placed.", job=ID, unit="0.0.0", run=2, waited_ms=900),
                line(4, "e0", "decision: Job ended.", job=ID, outcome="completed"),
            ]
        )
        self.assertIn(f"stopped for job {OTHER} (guarantee)", output)
        self.assertIn("waited 900 ms", output)

    def test_end_of_another_job_is_not_taken_for_its_own(self):
        # lines of a job that this one stopped name it as well
        output = self.call(
            [
                line(1, "e0", "decision: Job taken.", job=ID),
                line(2, "e0", "decision: Unit preempted.", job=OTHER, unit="0.0.0", gaining=ID),
            ]
        )
        self.assertIn("never placed", output)

    def test_unknown_id_has_an_exit_code_of_its_own(self):
        self.assertIn("No line names", self.call(["{}"], code=4))

    def test_json_holds_cause_and_lines(self):
        logs = [line(1, "e0", "decision: Job taken.", job=ID)]
        value = json.loads(self.call(logs, options=["--json"]))
        self.assertEqual(1, len(value["lines"]))
        self.assertIn("never placed", value["cause"])


if __name__ == "__main__":
    unittest.main()
