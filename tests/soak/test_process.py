"""Tests of the check of how an entry process ends."""

import signal
import tempfile
import unittest
from unittest import mock

import trio

from tests.soak.process import EntryProcess


class FakeProcess:
    """A process that ends with the exit code that a test sets."""

    pid = 0

    def __init__(self):
        self.code = None

    def poll(self):
        return self.code

    def send_signal(self, number):
        pass


class EntryProcessTest(unittest.TestCase):
    def setUp(self):
        directory = self.enterContext(tempfile.TemporaryDirectory())
        self.entry = EntryProcess("e0", directory, 1)
        self.process = FakeProcess()

        async def open_process(*arguments, **options):
            return self.process

        with mock.patch.object(trio.lowlevel, "open_process", open_process):
            trio.run(self.entry.start)

    def end(self, code, *signals):
        """Sends signals and ends the process; returns the number of violations."""
        for number in signals:
            self.entry.send_signal(number)
        self.process.code = code
        self.entry.check_exit()
        self.entry.check_exit()
        return len(self.entry.violations)

    def test_end_without_signal_is_a_violation(self):
        self.assertEqual(1, self.end(0))
        self.assertIn("ended by itself", self.entry.violations[0])

    def test_end_by_reload_is_a_violation(self):
        self.assertEqual(1, self.end(-signal.SIGHUP, signal.SIGHUP))

    def test_shutdown_with_exit_code_0_is_none(self):
        self.assertEqual(0, self.end(0, signal.SIGHUP, signal.SIGTERM, signal.SIGTERM))

    def test_shutdown_with_another_exit_code_is_a_violation(self):
        self.assertEqual(1, self.end(-signal.SIGTERM, signal.SIGTERM, signal.SIGTERM))
        self.assertIn("exit code -15", self.entry.violations[0])

    def test_kill_is_none(self):
        self.assertEqual(0, self.end(-signal.SIGKILL, signal.SIGTERM, signal.SIGKILL))


if __name__ == "__main__":
    unittest.main()
