"""Guards the command line against wrong exit codes, unsafe resends and unclear errors."""

import json
import tempfile
import threading
import unittest
from pathlib import Path
from unittest import mock

import yaml
from click.testing import CliRunner

from ibiscart_cli.main import main
from ibiscart_cli.outcome import EXIT_MEANINGS
from ibiscart_cli.session import Session
from ibiscart_core.error import ErrorKind, IbiscartError
from ibiscart_entry.server import Response
from tests.cli.entry import KEY, Entry, breaking_server
from tests.entry.api_fakes import (
    CALLER,
    CONTRACT,
    OPERATOR,
)


class CommandTest(unittest.TestCase):
    def setUp(self):
        self.entry = Entry()
        self.entry.start()
        self.addCleanup(self.entry.stop)
        self.directory = Path(self.enterContext(tempfile.TemporaryDirectory()))
        for name, key in (("op", OPERATOR), ("caller", CALLER)):
            (self.directory / name).write_text(key + "\n")
        self.contract = self.write("reports.yaml", {"account": "reports", **CONTRACT})

    def write(self, name, value):
        path = self.directory / name
        path.write_text(value if isinstance(value, str) else yaml.safe_dump(value))
        return str(path)

    def run_command(self, *arguments, code=0, key="op", entries=None, options=()):
        addresses = [self.entry.address] if entries is None else entries
        flags = [part for address in addresses for part in ("--entry", address)]
        flags += ["--key-file", str(self.directory / key), *options]
        result = CliRunner().invoke(main, [*flags, *arguments])
        if result.exception and not isinstance(result.exception, SystemExit):
            raise result.exception
        self.assertEqual(result.exit_code, code, result.output)
        return result

    def create(self):
        self.run_command("contract", "create", self.contract)

    # contracts

    def test_contract_life(self):
        """Create, show, apply, explain, list and delete must work on one another's output."""
        dry = self.run_command("contract", "create", self.contract, "--dry-run")
        self.assertIn("would be in force", dry.output)
        self.create()
        refused = self.run_command("contract", "create", self.contract, code=3)
        self.assertIn("version_conflict", refused.stderr)
        shown = self.run_command("contract", "show", "reports").stdout
        changed = yaml.safe_load(shown)
        self.assertEqual(changed["version"], 1)
        changed["burst_accelerators"] = 5
        path = self.write("changed.yaml", changed)
        self.assertIn("version 2 is in force", self.run_command("contract", "apply", path).output)
        conflict = self.run_command("contract", "apply", path, code=3)
        self.assertIn("expected_version", conflict.stderr)
        explained = self.run_command("contract", "explain", "reports").output
        self.assertIn("nightly/0", explained)
        self.assertEqual(explained.splitlines()[-1].split(), ["e1", "3", "16", "0", "64"])
        # one entry that is down must not hide the others
        entries = [self.entry.address, "127.0.0.1:1"]
        explained = self.run_command("contract", "explain", "reports", entries=entries).output
        self.assertIn("e1  ", explained.splitlines()[-2])
        self.assertIn("127.0.0.1:1  refused", explained.splitlines()[-1])
        self.assertIn("nightly x2", self.run_command("contract", "list").output)
        self.run_command("contract", "delete", "reports", "--expected", "1", code=3)
        self.run_command("contract", "delete", "reports", "--expected", "2")
        self.run_command("contract", "show", "reports", code=3)

    def test_contract_file_is_checked_before_it_is_sent(self):
        """Every mistake is shown with its line, and no entry is called."""
        path = self.write("bad.yaml", "account: A\nweight: 0\nwat: 1\n")
        result = self.run_command("contract", "create", path, code=2)
        for text in ("line 1: account", "line 2: weight", "line 3: wat"):
            self.assertIn(text, result.stderr)
        self.run_command("contract", "create", str(self.directory / "absent"), code=2)
        self.run_command("contract", "apply", self.contract, code=2)
        self.assertEqual(self.entry.requests, [])

    def test_hash_key(self):
        """The printed hash must let the key in, and a key file must stay private."""
        result = self.run_command("--json", "contract", "hash-key")
        self.assertEqual(len(json.loads(result.stdout)["key_sha256"]), 64)
        output = self.directory / "new.key"
        printed = self.run_command("contract", "hash-key", "--output", str(output)).stdout
        self.assertEqual(output.stat().st_mode & 0o777, 0o600)
        self.assertNotIn(output.read_text().strip(), printed)
        self.run_command("contract", "hash-key", "--output", str(output), code=2)
        again = self.run_command("contract", "hash-key", "--from", str(output)).stdout
        self.assertEqual(again, printed)
        contract = {
            **CONTRACT,
            "account": "reports",
            "key_sha256": [printed.split(": ")[1].strip()],
        }
        self.run_command("contract", "create", self.write("c.yaml", contract))
        self.run_command("job", "list", "reports", key="new.key")
        self.run_command("job", "list", "reports", key="caller", code=3)

    # jobs

    def test_job_life(self):
        """Submit, list, show, explain and cancel must agree on the job."""
        self.create()
        job = self.write(
            "job.yaml", {"shape": {"members": 2, "member": {"accelerators": 2}, "scope": "rack"}}
        )
        result = self.run_command("job", "submit", "reports", job, "--id", "j1", key="caller")
        self.assertIn("j1: ", result.output)
        # a resend is harmless; another body under the id is refused
        self.run_command("job", "submit", "reports", job, "--id", "j1", key="caller")
        other = ("job", "submit", "reports", "--accelerators", "1", "--id", "j1")
        self.assertIn("id_reused", self.run_command(*other, key="caller", code=3).stderr)
        listed = self.run_command("job", "list", "reports", key="caller").output
        self.assertIn("2x2", listed)
        shown = self.run_command("job", "show", "reports", "j1", key="caller").output
        self.assertIn("2 members of 2 accelerators", shown)
        explained = self.run_command("job", "explain", "reports", "j1", key="caller").output
        self.assertIn("contract version 1", explained)
        self.run_command("job", "cancel", "reports", "j1", key="caller")
        self.run_command("job", "show", "reports", "none", key="caller", code=3)

    def test_job_options_are_checked(self):
        """Mistakes in options must be named and nothing sent."""
        for arguments, text in (
            (("--accelerators", "65"), "shape.member.accelerators is 65"),
            (("--accelerators", "1", "--members", "0"), "shape.members is 0"),
            (("--accelerators", "1", "--kind", "A"), "kind"),
            (("--scope", "row"), "row"),
            ((self.contract, "--members", "2"), "not both: --members"),
        ):
            result = self.run_command("job", "submit", "reports", *arguments, code=2)
            self.assertIn(text, result.stderr)
        self.assertEqual(self.entry.requests, [])

    def drive_job(self, outcome):
        """Lets job j1 run and end once it is placed."""

        def drive():
            self.wait_placed()
            self.entry.decide(report_held={"job": KEY, "attempt": 1})
            ended = {"job": KEY, "attempt": 1, "rank": 0, "outcome": outcome}
            self.entry.decide(report_member={"ended": ended})

        thread = threading.Thread(target=drive)
        thread.start()
        self.addCleanup(thread.join, 10)

    def wait_placed(self):
        pause = threading.Event()
        for _ in range(200):
            if self.entry.journal.ledger.active:
                break
            pause.wait(0.02)
        pause.wait(0.2)

    def submit_and_wait(self, **more):
        arguments = ("job", "submit", "reports", "--accelerators", "1", "--id", "j1", "--wait")
        return self.run_command(*arguments, "--once", key="caller", **more)

    def test_wait_for_completion(self):
        """Scripts rely on the code of --wait and on plain lines."""
        self.create()
        self.drive_job(0)
        result = self.submit_and_wait()
        self.assertIn("j1: placed", result.stdout)
        self.assertIn("j1: completed, ran yes", result.stdout)
        self.assertNotIn("\x1b", result.stdout)

    def test_wait_for_failure(self):
        """A failed job must not look like success."""
        self.create()
        self.drive_job(1)
        result = self.submit_and_wait(code=7)
        self.assertIn("j1: failed", result.stdout)

    def test_wait_on_a_terminal(self):
        """The progress line is redrawn in place and removed at the end."""
        self.create()
        self.drive_job(0)
        with mock.patch.object(Session, "terminal", True):
            result = self.submit_and_wait()
        self.assertIn("\r\x1b[K", result.stdout)
        self.assertTrue(
            result.stdout.splitlines()[-1].endswith("ran yes, completed"), result.stdout
        )

    def test_wait_ends_with_its_time(self):
        """A job that goes on is distinguished from one that failed."""
        self.create()
        arguments = ("job", "submit", "reports", "--accelerators", "1", "--id", "j1")
        self.run_command(*arguments, "--wait", "--wait-time", "0.3", key="caller", code=8)
        self.run_command("job", "watch", "reports", "j1", "--wait-time", "0.2", code=8)

    def test_watch_reports_refusals(self):
        """An error inside the watch must keep its message and code."""
        self.create()
        with mock.patch("ibiscart_cli.watch.UNKNOWN_SECONDS", 0):
            result = self.run_command("job", "watch", "reports", "none", key="caller", code=3)
        self.assertIn("not_found", result.stderr)

    # requests

    def test_request(self):
        """Bodies pass unchanged in both directions."""
        self.create()
        path = self.directory / "body"
        path.write_bytes(bytes(range(256)))
        arguments = ("request", "send", "reports", str(path), "--kind", "label")
        result = self.run_command(*arguments, "--id", "r1", key="caller")
        self.assertEqual(result.stdout_bytes, bytes(range(256)))
        self.assertEqual(self.entry.dispatcher.calls[0][:4], ("reports", "r1", "label", True))
        unknown = self.run_command("request", "show", "reports", "r1", key="caller", code=4)
        self.assertIn("outcome_unknown", unknown.stderr)

    def test_answer_of_a_runner_is_no_refusal(self):
        """A runner's own error body must be printed, not read as an entry's refusal."""
        self.create()

        async def dispatch(*arguments):
            body = b'{"error": {"code": "queue_full", "message": "runner"}}'
            return Response(500, body)

        self.entry.dispatcher.dispatch = dispatch
        path = self.write("body", "x")
        result = self.run_command("request", "send", "reports", path, key="caller", code=3)
        self.assertIn("queue_full", result.stdout)
        self.assertIn("status 500", result.stderr)

    # entries

    def test_refused_connection_tries_the_next_entry(self):
        """One dead entry must not stop an operator."""
        self.run_command("status", entries=["127.0.0.1:1", self.entry.address])
        result = self.run_command("status", entries=["127.0.0.1:1"], code=5)
        self.assertIn("127.0.0.1:1: refused", result.stderr)

    def test_broken_connection_and_repeatable_calls(self):
        """Reads and submissions by id are tried on the next entry; requests that run once not."""
        self.create()
        path = self.write("body", "x")
        with breaking_server() as (broken, seen):
            entries = [broken, self.entry.address]
            self.run_command("status", entries=entries)
            submit = ("job", "submit", "reports", "--accelerators", "1", "--id", "j1")
            self.run_command(*submit, key="caller", entries=entries)
            send = ("request", "send", "reports", path, "--id")
            self.run_command(*send, "r1", key="caller", entries=entries)
            result = self.run_command(*send, "r2", "--once", key="caller", entries=entries, code=4)
            self.assertIn("ask for its outcome", result.stderr)
            self.assertEqual(len(seen), 4)
            self.assertEqual([call[1] for call in self.entry.dispatcher.calls], ["r1"])
            self.run_command("status", entries=[broken], code=5)
            self.run_command(*submit, entries=[broken], code=4)

    def test_refusal_after_a_broken_try_is_in_doubt(self):
        """The second entry's "not run" says nothing about the first try (P4)."""
        self.create()
        self.entry.writer.error = IbiscartError(ErrorKind.QUEUE_FULL, "full")
        submit = ("job", "submit", "reports", "--accelerators", "1", "--id", "j1")
        self.run_command(*submit, key="caller", code=6)
        with breaking_server() as (broken, _):
            entries = [broken, self.entry.address]
            result = self.run_command(*submit, key="caller", entries=entries, code=4)
        self.assertIn("ran: maybe", result.stderr)

    def test_contract_change_that_took_effect_before_its_connection_broke(self):
        """The conflict with one's own change must not be shown as another operator's."""
        self.create()
        path = self.write("changed.yaml", {"account": "reports", **CONTRACT, "weight": 7})
        apply = ("contract", "apply", path, "--expected", "1")
        self.run_command(*apply)
        with breaking_server() as (broken, _):
            entries = [broken, self.entry.address]
            result = self.run_command(*apply, entries=entries)
            self.assertIn("version 2 is in force", result.output)
            other = self.write("other.yaml", {"account": "reports", **CONTRACT, "weight": 8})
            arguments = ("contract", "apply", other, "--expected", "1")
            self.run_command(*arguments, entries=entries, code=4)

    def test_leaving_entry_passes_the_call_on(self):
        """An entry that did not run the call must not end it while others can."""

        body = b'{"error":{"code":"draining","message":"m","ran":"no","retryable":true}}'
        head = b"HTTP/1.1 503 x\r\nx-ibiscart-error: draining\r\ncontent-length: %d\r\n\r\n"
        with breaking_server(head % len(body) + body) as (leaving, _):
            self.run_command("status", entries=[leaving, self.entry.address])
            self.run_command("status", entries=[leaving], code=6)

    def test_garbage_answers(self):
        """Something else on the port must give an error, not a traceback."""
        for answer, code in (
            (b"SSH-2.0-x\r\n\r\n", 5),
            (b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok", 4),
            (b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n[]", 4),
            (b"HTTP/1.1 502 x\r\ncontent-length: 2\r\n\r\nno", 4),
        ):
            with breaking_server(answer) as (address, _):
                self.run_command("status", entries=[address], code=code)

    def test_usage_errors(self):
        """Wrong options end with 2 before anything is sent."""
        self.run_command("status", entries=["nonsense"], code=2)
        self.run_command("status", entries=["127.0.0.1:99999"], code=2)
        self.run_command("status", key="absent", code=2)
        self.run_command("status", entries=[], code=2)
        self.run_command("status", options=["--timeout", "0"], code=2)
        self.assertEqual(self.entry.requests, [])

    def test_unauthorized(self):
        """A wrong key is a refusal with its reason."""
        self.create()
        result = self.run_command("status", key="caller", code=3)
        self.assertIn("forbidden", result.stderr)
        self.assertIn("request id: ", result.stderr)

    def test_json_errors(self):
        """Scripts that read JSON need the kind of a refusal without parsing text."""
        self.create()
        arguments = ("--json", "job", "show", "reports", "none")
        value = json.loads(self.run_command(*arguments, key="caller", code=3).stderr)
        self.assertEqual((value["exit_code"], value["error"]["code"]), (3, "not_found"))
        value = json.loads(self.run_command(*arguments, entries=["127.0.0.1:1"], code=5).stderr)
        self.assertIsNone(value["error"])

    def test_interrupt(self):
        """Scripts must tell an interrupt from a failure, also when trio wraps it."""
        for error in (KeyboardInterrupt(), BaseExceptionGroup("x", [KeyboardInterrupt()])):
            with mock.patch.object(Session, "_main", side_effect=error):
                self.run_command("status", code=130)

    # the rest

    def test_status(self):
        """The screen must show what operators look for first."""
        self.create()
        output = self.run_command("status").output
        for text in (
            "region       alba",
            "4 live",
            "preferred writer e2",
            "store        ok",
            "0/2",
        ):
            self.assertIn(text, output)
        value = json.loads(self.run_command("--json", "status").stdout)
        self.assertEqual(value["region"], "alba")

    def test_settings_check(self):
        """Operators check files without an entry."""
        path = self.write("entry.yaml", "entry_id: E\n")
        result = self.run_command("settings", "check", path, code=2, entries=[])
        self.assertIn("line 1: entry_id", result.stderr)

    def test_help_shows_examples_and_exit_codes(self):
        """The table in the help must be complete."""
        output = CliRunner().invoke(main, ["--help"]).output
        for code, text in EXIT_MEANINGS.items():
            self.assertIn(f"{int(code):>5}  {text}", output)
        for path in (["contract"], ["job"], ["job", "submit"], ["request", "send"], ["status"]):
            self.assertIn("Example", CliRunner().invoke(main, [*path, "--help"]).output)


if __name__ == "__main__":
    unittest.main()
