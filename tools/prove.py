"""Switches one mechanism off at a time and checks that its tests fail.

Reads tests/proof/switches.yaml, works on copies of the tree and writes docs/switches.md.
Exits with 1 when a test passes without its mechanism, fails with it, or when the text that
switches a mechanism off is not found exactly once.
"""

import concurrent.futures
import os
import pathlib
import re
import shutil
import subprocess
import sys
import tempfile

import yaml

ROOT = pathlib.Path(__file__).resolve().parent.parent
SWITCHES = ROOT / "tests" / "proof" / "switches.yaml"
REPORT = ROOT / "docs" / "switches.md"
COPIED = ("packages", "demo", "tests", "traces", "docs", "tools")
PACKAGES = ("schema", "core", "entry", "cli")
WORKERS = 4
TIMEOUT_SECONDS = 600
FAILED_TEST = re.compile(r"^(?:FAIL|ERROR): (\w+) \(", re.MULTILINE)

HEAD = """# Mechanisms switched off

Written by `make prove`: each mechanism is switched off in a copy of the tree, and the tests
that guard it must fail there; all of them pass with the mechanism on.

| property | mechanism | off: tests that fail |
|---|---|---|
"""


def run_tests(root, tests):
    """Runs test modules below ``root``; returns (passed, names of failed tests)."""
    paths = [str(root / "packages" / name / "src") for name in PACKAGES] + [str(root)]
    environment = os.environ | {"PYTHONPATH": os.pathsep.join(paths)}
    try:
        done = subprocess.run(
            [sys.executable, "-W", "ignore", "-m", "unittest", "-q", *tests],
            cwd=root,
            env=environment,
            capture_output=True,
            text=True,
            timeout=TIMEOUT_SECONDS,
        )
    except subprocess.TimeoutExpired:
        return False, ["(does not finish)"]
    return done.returncode == 0, sorted(set(FAILED_TEST.findall(done.stderr)))


def copy_tree(target):
    for name in COPIED:
        shutil.copytree(ROOT / name, target / name, ignore=shutil.ignore_patterns("*.pyc"))


def try_switch(switch):
    """Returns (row of the report, problem or None)."""
    name = f"{switch['property']}: {switch['mechanism']}"
    with tempfile.TemporaryDirectory(prefix="ibiscart-prove-") as folder:
        target = pathlib.Path(folder)
        copy_tree(target)
        path = target / switch["file"]
        text = path.read_text(encoding="utf-8")
        if text.count(switch["find"]) != 1:
            return None, f"{name}: the text is found {text.count(switch['find'])} times"
        path.write_text(text.replace(switch["find"], switch["put"]), encoding="utf-8")
        passed, failed = run_tests(target, switch["tests"])
    if passed:
        return None, f"{name}: no test fails without it"
    shown = ", ".join(f"`{test}`" for test in failed[:4]) or "the module does not load"
    more = f" and {len(failed) - 4} more" if len(failed) > 4 else ""
    return f"| {switch['property']} | {switch['mechanism']} | {shown}{more} |", None


def main():
    switches = yaml.safe_load(SWITCHES.read_text(encoding="utf-8"))
    chosen = [s for s in switches if not sys.argv[1:] or s["property"] in sys.argv[1:]]
    modules = sorted({test for switch in chosen for test in switch["tests"]})
    passed, failed = run_tests(ROOT, modules)
    problems = [] if passed else [f"with all mechanisms on: {', '.join(failed)}"]
    rows = []
    with concurrent.futures.ThreadPoolExecutor(WORKERS) as pool:
        for row, problem in pool.map(try_switch, chosen):
            print(row or problem, flush=True)
            if problem:
                problems.append(problem)
            else:
                rows.append(row)
    if not sys.argv[1:]:
        REPORT.write_text(HEAD + "\n".join(rows) + "\n", encoding="utf-8")
    for problem in problems:
        print(f"problem: {problem}")
    return 1 if problems else 0


if __name__ == "__main__":
    sys.exit(main())
