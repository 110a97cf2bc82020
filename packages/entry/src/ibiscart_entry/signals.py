"""
ibiscart_entry.signals
~~~~~~~~~~~~~~~~~~~~~~

Signals that stop a process or reload its settings, from its start to its very end.
"""

import logging
import signal
from contextlib import contextmanager

import trio

__all__ = [
    "STOP_SIGNALS",
    "hold_signals",
    "ignore_signals",
    "log_signal",
    "open_signals",
    "stop_requested",
]

LOG = logging.getLogger("ibiscart.process")
STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
HANDLED = (*STOP_SIGNALS, signal.SIGHUP)


def hold_signals():
    """Lets signals wait until ``open_signals``; otherwise they end a process that starts."""
    signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED)


def stop_requested():
    """Returns the name of a signal that waits and asks the process to stop, else None."""
    return next((number.name for number in STOP_SIGNALS if number in signal.sigpending()), None)


@contextmanager
def open_signals():
    """Opens a receiver of signal numbers, which also returns the signals held before.

    Signals that arrive after its use are ignored until the process exits.
    """
    for number in HANDLED:
        # restored when the receiver closes; the default would end the process if another thread,
        # which does not hold signals, gets one then
        signal.signal(number, _pass_over)
    try:
        with trio.open_signal_receiver(*HANDLED) as received:
            signal.pthread_sigmask(signal.SIG_UNBLOCK, HANDLED)
            try:
                yield received
            finally:
                # trio sends signals again that nobody has read
                hold_signals()
    finally:
        # the interpreter restores the default of other handlers when it exits
        for number in HANDLED:
            signal.signal(number, signal.SIG_IGN)


def _pass_over(number, frame):
    """Handles a signal that changes nothing."""


async def ignore_signals(received, state):
    """Logs further signals until cancelled; ``state`` is that of the process."""
    async for number in received:
        log_signal(number, state)


def log_signal(number, state):
    """Logs a signal with the state of the process; returns the name of the signal."""
    name = signal.Signals(number).name
    LOG.info("A signal was received.", extra={"signal": name, "state": state})
    return name
