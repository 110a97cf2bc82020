"""Guards the commands replay, measure and trace against wrong exit codes and unclear errors."""

import pathlib
import tempfile
import unittest

from click.testing import CliRunner

from ibiscart_cli.main import main
from ibiscart_core.trace import read_trace, write_trace
from tests.core.random_trace import random_trace

TRACES = pathlib.Path(__file__).parents[2] / "traces"


def parse_all(path):
    with path.open("rb") as file:
        return list(read_trace(file))


class CommandsTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)
        self.trace = self.folder / "small.jsonl"
        self.write(random_trace(2))

    def write(self, events):
        with self.trace.open("wb") as file:
            write_trace(events, file)

    def call(self, *arguments, code=0):
        result = CliRunner().invoke(main, [str(argument) for argument in arguments])
        self.assertEqual(result.exit_code, code, result.output)
        return result.output

    def test_replays_and_audits_a_trace(self):
        output = self.call("replay", self.trace, "--audit")
        self.assertIn("jobs_completed: ", output)

    def test_compares_with_a_recorded_decision_list(self):
        records = self.folder / "records.jsonl"
        self.call("replay", self.trace, "--save-records", records)
        self.call("replay", self.trace, "--records", records)
        with records.open("rb") as file:
            recorded = list(read_trace(file))
        with records.open("wb") as file:
            write_trace(recorded[:-1], file)
        output = self.call("replay", self.trace, "--records", records, code=1)
        self.assertIn(f"record {len(recorded)}: not recorded", output)

    def test_fails_when_an_outcome_differs(self):
        events = random_trace(2)
        events[0].header.outcomes["jobs_completed"] = 1000
        self.write(events)
        output = self.call("replay", self.trace, code=1)
        self.assertIn("jobs_completed: stated 1000, replayed", output)

    def test_fails_when_the_audit_finds_a_violation(self):
        """The baseline places once-only work on reservations."""
        trace = TRACES / "macleish-short-peak.jsonl"
        output = self.call("replay", trace, "--policy", "fifo", "--audit", code=1)
        self.assertIn("P1 at ", output)

    def test_names_the_line_of_a_bad_trace(self):
        self.trace.write_bytes(b'{"header":{}}\n{"inpt":{}}\n')
        self.assertIn("line 2: not an event", self.call("replay", self.trace, code=2))
        self.trace.write_bytes(b'{"input":{}}\n')
        self.assertIn("does not start with a header", self.call("replay", self.trace, code=2))
        self.assertIn("small.jsonl: the trace", self.call("measure", self.folder, code=2))
        self.trace.unlink()
        self.assertIn("no *.jsonl file", self.call("measure", self.folder, code=2))

    def test_measures_a_folder(self):
        prefix = self.folder / "out"
        output = self.call("measure", self.folder, "--output", prefix)
        self.assertIn("## Targets of policy adaptive", output)
        self.assertEqual(pathlib.Path(f"{prefix}.md").read_text(encoding="utf-8"), output)
        for suffix in ("json", "svg"):
            self.assertTrue(pathlib.Path(f"{prefix}.{suffix}").stat().st_size)

    def test_refuses_weights_that_are_not_usable(self):
        """A misspelt metric would otherwise drop out of the ratio without a word."""
        users = self.folder / "users.yaml"
        for text, problem in (
            ("[1]", "expected a mapping"),
            ("a: {traces: s}", "a: expected a mapping"),
            ("a: {traces: s, weights: {completion: 1}}", "no metric 'completion'"),
            ("a: {traces: s, weights: {makespan: 0}}", "0 is not above 0"),
        ):
            users.write_text(text)
            self.assertIn(problem, " ".join(self.call("measure", self.folder, code=2).split()))
        users.write_text("Ann: {traces: random, weights: {makespan: 1}}")
        self.assertIn("- Ann: ", self.call("measure", self.folder))

    def test_merges_audits_and_shows_a_recording(self):
        """A killed entry leaves its last line in part."""
        recorded = next((TRACES / "recorded").glob("*.jsonl"))
        part = self.folder / "part.trace"
        part.write_bytes(recorded.read_bytes() + b'{"input":')
        merged = self.folder / "merged.jsonl"
        output = self.call("trace", "merge", part, "--output", merged)
        self.assertIn(" 0 decided differently", output)
        self.assertIn("last line is not whole", output)
        self.assertIn(" 0 violations", self.call("trace", "audit", merged))
        self.assertIn("A worker was registered.", self.call("trace", "show", merged))
        shown = self.call("trace", "show", merged, "--account", "reports").splitlines()
        self.assertTrue(shown)
        self.assertTrue(all("account=reports" in line for line in shown))
        job = next(e for e in parse_all(merged) if e.input.command.HasField("submit_job"))
        name = job.input.command.submit_job.spec.request_id
        shown = self.call("trace", "show", merged, "--job", name)
        self.assertIn("A job was queued.", shown)
        self.assertNotIn("A worker was registered.", shown)
        self.assertIn("placed", self.call("trace", "show", merged, "--worker", "worker-1"))
        part.write_bytes(b"".join(recorded.read_bytes().splitlines(True)[:1]))
        self.assertIn("no record", self.call("trace", "merge", part, "--output", merged, code=2))

    def test_audit_fails_on_a_violation(self):
        """A recording without its first record cannot be judged."""
        recorded = next((TRACES / "recorded").glob("*.jsonl"))
        rest = [e for e in parse_all(recorded) if e.record_applied.record.sequence != 1]
        self.write(rest)
        self.assertIn("record 1 is missing", self.call("trace", "audit", self.trace, code=1))

    def test_shows_examples_in_its_help(self):
        for command in ("replay", "measure", "trace"):
            self.assertIn("Examples:", self.call(command, "--help"))


if __name__ == "__main__":
    unittest.main()
