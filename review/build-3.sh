#!/bin/bash
# The scripts' stand-ins are Python of the standard library; building them means compiling them once.
cd "$(dirname "$0")" && exec python3 - <<'PY'
import pathlib, sys
for path in [*pathlib.Path("standins-3").glob("*.py"), *pathlib.Path(".").glob("1[1-5]/*.py")]:
    compile(path.read_text(encoding="utf-8"), str(path), "exec")
if sys.version_info < (3, 11):
    sys.exit("Python 3.11 is needed")
PY
