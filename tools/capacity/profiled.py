"""Runs an entry under cProfile from the signal SIGUSR1 on, so that its start is left out."""

import cProfile
import signal
import sys

from ibiscart_entry.main import main

if __name__ == "__main__":
    profiler = cProfile.Profile()
    output = sys.argv.pop(1)
    signal.signal(signal.SIGUSR1, lambda number, frame: profiler.enable())
    try:
        main()
    finally:
        profiler.disable()
        profiler.dump_stats(output)
