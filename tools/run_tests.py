"""Runs all tests, a process per test module, and prints one closing count.

Tests named in KNOWN-RED.txt may fail; they are printed and counted as skipped.
"""

import concurrent.futures
import os
import pathlib
import re
import subprocess
import sys
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
WORKERS = 4
MODULE_TIMEOUT_SECONDS = 900
RESULT_LINE = re.compile(r"^RESULT (ok|fail|skip) (\S+)$", re.MULTILINE)

RUN_MODULE = """
import sys, unittest
class Result(unittest.TextTestResult):
    def _say(self, word, test):
        print("RESULT", word, test.id().replace(" ", "_"), flush=True)
    def addSuccess(self, test):
        super().addSuccess(test); self._say("ok", test)
    def addError(self, test, err):
        super().addError(test, err); self._say("fail", test)
    def addFailure(self, test, err):
        super().addFailure(test, err); self._say("fail", test)
    def addSubTest(self, test, subtest, err):
        super().addSubTest(test, subtest, err)
        if err is not None: self._say("fail", test)
    def addSkip(self, test, reason):
        super().addSkip(test, reason); self._say("skip", test)
    def addUnexpectedSuccess(self, test):
        super().addUnexpectedSuccess(test); self._say("fail", test)
    def addExpectedFailure(self, test, err):
        super().addExpectedFailure(test, err); self._say("ok", test)
suite = unittest.defaultTestLoader.loadTestsFromName(sys.argv[1])
unittest.TextTestRunner(resultclass=Result, verbosity=0).run(suite)
"""


def known_red():
    """Returns the test ids listed in KNOWN-RED.txt: lines that start with 'test: '."""
    path = ROOT / "KNOWN-RED.txt"
    if not path.exists():
        return set()
    lines = path.read_text(encoding="utf-8").splitlines()
    return {line.removeprefix("test: ").strip() for line in lines if line.startswith("test: ")}


def module_names(patterns):
    files = sorted((ROOT / "tests").rglob("test_*.py"))
    names = [".".join(f.relative_to(ROOT).with_suffix("").parts) for f in files]
    return [n for n in names if not patterns or any(p in n for p in patterns)]


def run_module(name):
    start = time.monotonic()
    try:
        done = subprocess.run(
            [sys.executable, "-c", RUN_MODULE, name],
            cwd=ROOT,
            env=os.environ,
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            text=True,
            timeout=MODULE_TIMEOUT_SECONDS,
        )
        output, code = done.stdout, done.returncode
    except subprocess.TimeoutExpired as error:
        output = error.stdout.decode() if isinstance(error.stdout, bytes) else (error.stdout or "")
        code = -1
    results = RESULT_LINE.findall(output)
    if code != 0 or not results:
        results.append(("fail", f"{name}.module_did_not_finish"))
    return name, output, results, time.monotonic() - start


def main():
    allowed = known_red()
    outcome = {}
    with concurrent.futures.ThreadPoolExecutor(WORKERS) as pool:
        for name, output, results, seconds in pool.map(run_module, module_names(sys.argv[1:])):
            failed = {test for word, test in results if word == "fail"}
            print(f"{name}: {len(results)} results, {len(failed)} failed, {seconds:.1f} s")
            if failed:
                print(output)
            for word, test in results:
                if outcome.get(test) != "fail":
                    outcome[test] = word
    red = sorted(t for t, word in outcome.items() if word == "fail" and t in allowed)
    for test in red:
        print(f"known red: {test}")
    failed = sorted(t for t, word in outcome.items() if word == "fail" and t not in allowed)
    for test in failed:
        print(f"failed: {test}")
    passed = sum(word == "ok" for word in outcome.values())
    skipped = sum(word == "skip" for word in outcome.values()) + len(red)
    sys.stdout.flush()
    print(f"{passed} passed, {len(failed)} failed, {skipped} skipped")
    return 1 if failed or not outcome else 0


if __name__ == "__main__":
    sys.exit(main())
