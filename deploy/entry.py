"""Starts one entry process from the source tree; libraries lie in ``target/deps``."""

import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
SOURCES = ("packages/schema/src", "packages/core/src", "packages/entry/src", "platform/src")
sys.path[:0] = [str(ROOT / source) for source in SOURCES]

from ibiscart_platform.main import main  # noqa: E402 - the paths come first

main()
