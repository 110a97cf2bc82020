"""Starts one entry process from the source tree; libraries lie in ``target/deps``."""

import signal

SIGNALS = (signal.SIGHUP, signal.SIGINT, signal.SIGTERM)
# before the other imports: a signal ends a process that has not arranged for it
signal.pthread_sigmask(signal.SIG_BLOCK, SIGNALS)
for number in SIGNALS:
    # a signal that the parent process ignored would be lost instead of held
    signal.signal(number, signal.SIG_DFL)

import json  # noqa: E402
import sys  # noqa: E402
import traceback  # noqa: E402
from pathlib import Path  # noqa: E402

ROOT = Path(__file__).resolve().parent.parent
SOURCES = ("packages/schema/src", "packages/core/src", "packages/entry/src", "platform/src")
EXIT_ERROR = 1
sys.path[:0] = [str(ROOT / source) for source in SOURCES]

try:
    from ibiscart_platform.main import main
except ImportError as error:
    # the log is not there yet
    record = {
        "level": "CRITICAL",
        "logger": "ibiscart.process",
        "message": "process: The process ends.",
        "cause": "a library cannot be imported; run the build again",
        "error": f"{type(error).__name__}: {error}",
        "exit_code": EXIT_ERROR,
        "exc_info": traceback.format_exc(),
    }
    print(json.dumps(record), flush=True)
    sys.exit(EXIT_ERROR)

main()
