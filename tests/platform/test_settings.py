"""Tests of the platform's settings file."""

import tempfile
import unittest
from pathlib import Path

from ibiscart_platform.settings import PlatformSettings, SettingsError

VALID = """
node: n1
ip: 10.1.0.1
zone: z
listen: {front: "10.1.0.1:80", readiness: "10.1.0.1:81"}
internalPorts: [7000, 7015]
platform: {address: "10.2.0.1:90"}
bounds: {graceS: 6, maxHoldMs: 6000, status_s: 120, strictRevoke: true, revokeMs: 5000}
limits: {cpuShare: 0.5, cores: 2}
heartbeatMs: 1500
unknown: {a: 1}
"""


class PlatformSettingsTest(unittest.TestCase):
    def read(self, text):
        """Returns the settings in a file with this text."""
        with tempfile.TemporaryDirectory() as directory:
            path = Path(directory) / "boot.yaml"
            path.write_text(text, encoding="utf-8")
            return PlatformSettings.from_config(path)

    def test_values_are_read_and_unknown_fields_ignored(self):
        settings = self.read(VALID)
        self.assertEqual(
            ("n1", 6.0, 1.0, 1.5),
            (
                settings.node,
                settings.lease_limit_seconds,
                settings.processors,
                settings.worker_heartbeat_seconds,
            ),
        )

    def test_revocation_bound_is_read_only_where_it_is_strict(self):
        self.assertEqual(5.0, self.read(VALID).key_revocation_seconds)
        text = VALID.replace("strictRevoke: true", "strictRevoke: false")
        self.assertIsNone(self.read(text).key_revocation_seconds)
        self.assertIsNone(
            self.read(VALID.replace("strictRevoke: true, ", "")).key_revocation_seconds
        )
        with self.assertRaises(SettingsError) as caught:
            self.read(VALID.replace("strictRevoke: true", "strictRevoke: 1"))
        self.assertIn("bounds.strictRevoke", caught.exception.problems[0])

    def test_all_problems_are_reported_at_once(self):
        text = VALID.replace("node: n1", "node: 5").replace("zone: z", "").replace("6000", "true")
        with self.assertRaises(SettingsError) as caught:
            self.read(text)
        problems = " ".join(caught.exception.problems)
        for field in ("node", "zone", "bounds.maxHoldMs"):
            self.assertIn(field, problems)

    def test_unreadable_file_raises_settings_error(self):
        with self.assertRaises(SettingsError):
            PlatformSettings.from_config("/nonexistent/boot.yaml")

    def test_differences_are_the_names_of_changed_settings(self):
        before = self.read(VALID)
        after = self.read(VALID.replace("status_s: 120", "status_s: 60"))
        self.assertEqual(["retention_seconds"], after.differences(before))


if __name__ == "__main__":
    unittest.main()
