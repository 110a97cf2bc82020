"""Guards the commands replay and measure against wrong exit codes and unclear errors."""

import pathlib
import tempfile
import unittest

from click.testing import CliRunner

from ibiscart_cli.main import main
from ibiscart_core.trace import read_trace, write_trace
from tests.core.random_trace import random_trace


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
        trace = pathlib.Path(__file__).parents[2] / "traces" / "macleish-short-peak.jsonl"
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

    def test_shows_examples_in_its_help(self):
        for command in ("replay", "measure"):
            self.assertIn("Examples:", self.call(command, "--help"))


if __name__ == "__main__":
    unittest.main()
