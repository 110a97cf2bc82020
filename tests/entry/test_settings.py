"""Guards the settings against files that start an entry with wrong values."""

import io
import json
import logging
import tempfile
import unittest
from pathlib import Path

from ibiscart_entry.log import configure_log
from ibiscart_entry.settings import Settings, SettingsError

GOOD = """\
entry_id: e1
region: alba
data_centre: perth
server:
  address: "127.0.0.1:8080"
peer:
  address: "127.0.0.1:8081"
  key_file: peer.key
store:
  table_url: "http://127.0.0.1:1"
  object_url: "http://127.0.0.1:2"
membership:
  url: "http://127.0.0.1:3"
operators:
  key_sha256: ["%s"]
""" % ("a" * 64)
KEY = "k" * 32


class SettingsTest(unittest.TestCase):
    def setUp(self):
        self.directory = Path(self.enterContext(tempfile.TemporaryDirectory()))
        (self.directory / "peer.key").write_text(KEY + "\n")

    def read(self, text):
        path = self.directory / "entry.yaml"
        path.write_text(text)
        return Settings.from_config(path)

    def problems(self, text):
        with self.assertRaises(SettingsError) as caught:
            self.read(text)
        return str(caught.exception)

    def test_reads_a_file_and_the_key_next_to_it(self):
        """A key file is found whatever the working directory."""
        settings = self.read(GOOD)
        self.assertEqual(settings.peer_key, KEY)
        self.assertEqual(settings.entry_id, "e1")
        self.assertEqual(settings.server.max_connections, 512)
        self.assertEqual(settings.scheduler.lease_seconds, 30)
        with self.assertRaises(AttributeError):
            settings.sevrer  # noqa: B018

    def test_reports_every_problem_with_its_line(self):
        """An entry that fails to start must tell everything at once."""
        text = GOOD.replace("region: alba", "region: Alba") + "drain: {deadline_seconds: 0}\n"
        lines = self.problems(text).splitlines()
        self.assertEqual(len(lines), 2)
        self.assertIn("entry.yaml: line 2: region", lines[0])
        self.assertIn(
            "entry.yaml: line 16: drain.deadline_seconds is 0 (allowed: 1 to 3600 s)", lines[1]
        )

    def test_relations_between_fields(self):
        """Values that are valid alone can be unusable together."""
        text = GOOD.replace("  key_file", "  heartbeat_seconds: 2\n  key_file")
        text += "scheduler:\n  renew_seconds: 16\ndrain: {deadline_seconds: 5}\n"
        message = self.problems(text)
        self.assertIn("line 19: drain.deadline_seconds is 5", message)
        self.assertIn("line 18: scheduler.renew_seconds is 16", message)
        self.assertIn("line 8: peer.heartbeat_seconds is 2", message)

    def test_ports(self):
        """A port above 65535 passes the pattern and would fail at start only."""
        self.assertIn("line 5: server.address", self.problems(GOOD.replace(":8080", ":80800")))

    def test_peer_key(self):
        """An entry without a usable key could not speak to its peers."""
        for change, text in (
            ("", "neither given"),
            (f"  key_file: peer.key\n  key: {KEY}\n", "both given"),
            ("  key_file: absent.key\n", "cannot be read"),
            ("  key: short\n", "5 characters"),
        ):
            with self.subTest(change):
                message = self.problems(GOOD.replace("  key_file: peer.key\n", change))
                self.assertIn(text, message)
                self.assertNotIn("short", message)

    def test_unreadable_files(self):
        """A missing or binary file gets one line, not a traceback."""
        with self.assertRaises(SettingsError):
            Settings.from_config(self.directory / "absent.yaml")
        (self.directory / "binary.yaml").write_bytes(b"\xff\xfe\x00")
        with self.assertRaises(SettingsError):
            Settings.from_config(self.directory / "binary.yaml")


class LogTest(unittest.TestCase):
    def test_lines_are_json_with_prefix_and_fields(self):
        """Collectors read one object a line; operators search by prefix and field."""
        stream = io.StringIO()
        configure_log("info", fields={"entry_id": "e1"}, stream=stream)
        log = logging.getLogger("ibiscart.journal")
        log.info("A record was appended.\nsecond line", extra={"sequence": 7})
        log.info("journal: A record was appended.")
        log.debug("hidden")
        try:
            raise ValueError("x")
        except ValueError:
            log.exception("An append failed.")
        lines = [json.loads(line) for line in stream.getvalue().splitlines()]
        self.assertEqual(len(lines), 3)
        self.assertEqual(lines[0]["message"], "journal: A record was appended.\nsecond line")
        self.assertEqual((lines[0]["sequence"], lines[0]["entry_id"]), (7, "e1"))
        self.assertEqual(lines[1]["message"], "journal: A record was appended.")
        self.assertIn("ValueError", lines[2]["exc_info"])

    def test_configured_twice_logs_once(self):
        """A second call must replace the handler, or every line comes twice."""
        stream = io.StringIO()
        configure_log(stream=stream)
        configure_log(stream=stream)
        logging.getLogger("ibiscart.api").info("Once.")
        self.assertEqual(len(stream.getvalue().splitlines()), 1)


if __name__ == "__main__":
    unittest.main()
