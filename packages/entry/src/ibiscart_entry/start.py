"""
ibiscart_entry.start
~~~~~~~~~~~~~~~~~~~~

Program of the entry process: holds signals before anything else is imported.
"""

import signal

__all__ = ["main"]

SIGNALS = (signal.SIGHUP, signal.SIGINT, signal.SIGTERM)


def main():
    """Runs the command line of the entry process."""
    # a signal ends a process that has not arranged for it
    signal.pthread_sigmask(signal.SIG_BLOCK, SIGNALS)
    for number in SIGNALS:
        # a signal that the parent process ignored would be lost instead of held
        signal.signal(number, signal.SIG_DFL)
    from ibiscart_entry.main import main as run

    run()


if __name__ == "__main__":
    main()
