"""Starts one entry process from the source tree; libraries lie in ``target/deps``."""

import json
import sys
import traceback
from pathlib import Path

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
