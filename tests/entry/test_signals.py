"""Signals that arrive in another thread than the one that opens the receiver."""

import os
import signal
import subprocess
import sys
import threading
import unittest
from contextlib import contextmanager
from unittest import mock

import trio

from ibiscart_entry.signals import STOP_SIGNALS, hold_signals, open_signals

NUMBERS = (signal.SIGHUP, *STOP_SIGNALS)
TIMEOUT_SECONDS = 30


class SignalTest(unittest.TestCase):
    def test_signal_that_a_thread_gets_at_the_exit_does_not_end_the_process(self):
        done = subprocess.run(
            [sys.executable, "-m", "tests.entry.test_signals"], timeout=TIMEOUT_SECONDS
        )
        self.assertEqual(0, done.returncode)


async def receive_with_thread():
    """Opens a receiver beside a thread, and sends signals at the moment at which it closes."""
    open_receiver = trio.open_signal_receiver

    @contextmanager
    def open_then_send(*numbers):
        with open_receiver(*numbers) as received:
            yield received
        for number in numbers:
            os.kill(os.getpid(), number)

    hold_signals()
    with mock.patch.object(trio, "open_signal_receiver", open_then_send), open_signals():
        # such threads look up the names of hosts
        threading.Thread(target=threading.Event().wait, daemon=True).start()
    for number in NUMBERS:
        os.kill(os.getpid(), number)


if __name__ == "__main__":
    trio.run(receive_with_thread)
