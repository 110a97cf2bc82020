"""Installs the libraries of the programs into ``target/deps``, unless they lie there already.

Run it with the interpreter that runs the programs. It installs into a new folder, checks that
folder and renames it into place, so that an interrupted build leaves either the previous folder or
none. A stamp in the folder says what it was built from and for.
"""

import fcntl
import hashlib
import json
import os
import re
import shutil
import signal
import subprocess
import sys
import sysconfig
import tempfile
from importlib.metadata import distributions
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
REQUIREMENTS = ROOT / "deploy" / "requirements.txt"
CONSTRAINTS = ROOT / "constraints.txt"
PROGRAM = ROOT / "deploy" / "entry.py"
TARGET = ROOT / "target"
DEPS = TARGET / "deps"
LOCK = TARGET / "deps.lock"
WORK_PREFIX = "deps-"
STAMP = "build.json"
BYTECODE = "__pycache__"


class BuildError(Exception):
    """A build that failed; the text names the cause."""


def main():
    """Builds; exits with 1 and a message if that fails."""
    # an ended build then ends pip too and removes its folder
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(128 + number))
    try:
        if _matches(DEPS):
            return
        TARGET.mkdir(exist_ok=True)
        with open(LOCK, "w", encoding="utf-8") as lock:
            fcntl.flock(lock, fcntl.LOCK_EX)
            # another build may have ended while this one waited
            if not _matches(DEPS):
                _build()
    except (BuildError, OSError) as error:
        sys.exit(f"build: {DEPS} is not built: {error}")


def _build():
    """Installs into a new folder, checks it and puts it into place."""
    for remains in TARGET.glob(WORK_PREFIX + "*"):
        shutil.rmtree(remains, ignore_errors=True)
    work = Path(tempfile.mkdtemp(prefix=WORK_PREFIX, dir=TARGET))
    try:
        new = work / "new"
        new.mkdir()
        _install(new)
        _check_distributions(new)
        _check_program(new)
        (new / STAMP).write_text(json.dumps(_stamp(new), indent=1), encoding="utf-8")
        if os.path.lexists(DEPS):
            DEPS.rename(work / "old")
        new.rename(DEPS)
    finally:
        shutil.rmtree(work, ignore_errors=True)


def _install(folder):
    """Installs the requirements into a folder."""
    command = [sys.executable, "-m", "pip", "install", "--quiet", "--no-input"]
    command += ["--disable-pip-version-check", "--target", str(folder)]
    command += ["--constraint", str(CONSTRAINTS), "--requirement", str(REQUIREMENTS)]
    # pip runs beside the sources, whose folders have the names of standard modules
    code = subprocess.run(command, cwd=folder.parent, stdin=subprocess.DEVNULL).returncode
    if code:
        raise BuildError(f"pip failed with exit code {code}")


def _check_distributions(folder):
    """Raises ``BuildError`` unless a folder has all requirements, with all their files."""
    installed = {_normal_name(found.name): found for found in distributions(path=[str(folder)])}
    _check_requirements(installed)
    for found in installed.values():
        files = found.files
        if files is None:
            raise BuildError(f"{found.name} has no list of its files")
        for path in files:
            # pip puts scripts elsewhere than their list says
            if ".." not in path.parts and BYTECODE not in path.parts and not path.locate().exists():
                raise BuildError(f"{found.name} lacks {path}")


def _check_requirements(installed):
    """Raises ``BuildError`` unless the distributions by name satisfy all requirements."""
    try:
        # the interpreter itself has no parser of requirements
        from pip._vendor.packaging.requirements import Requirement
    except ImportError:
        print("build: pip has no parser; the requirements are not checked again", file=sys.stderr)
        return
    pending = REQUIREMENTS.read_text(encoding="utf-8").splitlines()
    checked = set()
    while pending:
        line = pending.pop().partition("#")[0].strip()
        if not line or line in checked:
            continue
        checked.add(line)
        requirement = Requirement(line)
        if requirement.marker and not requirement.marker.evaluate({"extra": ""}):
            continue
        found = installed.get(_normal_name(requirement.name))
        if found is None or not requirement.specifier.contains(found.version, prereleases=True):
            raise BuildError(f"pip has not installed {line}")
        pending += found.requires or []


def _normal_name(name):
    """Returns the normal form of a distribution's name."""
    return re.sub(r"[-_.]+", "-", name).lower()


def _check_program(folder):
    """Raises ``BuildError`` unless the program starts with the libraries of a folder alone."""
    environment = {**os.environ, "PYTHONPATH": str(folder), "PYTHONDONTWRITEBYTECODE": "1"}
    command = [sys.executable, "-S", str(PROGRAM), "--help"]
    done = subprocess.run(
        command, env=environment, stdin=subprocess.DEVNULL, capture_output=True, text=True
    )
    if done.returncode:
        output = done.stderr.strip() or done.stdout.strip() or "no message"
        last_line = output.splitlines()[-1]
        raise BuildError(f"the program does not start: {last_line}")


def _matches(folder):
    """Returns True if a folder is complete, and built from these files for this interpreter."""
    try:
        found = json.loads((folder / STAMP).read_text(encoding="utf-8"))
        return found == _stamp(folder)
    except (OSError, ValueError):
        return False


def _stamp(folder):
    """Returns what a folder is built from and for, with a digest of its list of files."""
    sources = hashlib.sha256()
    for path in (REQUIREMENTS, CONSTRAINTS):
        sources.update(hashlib.sha256(path.read_bytes()).digest())
    return {
        "python": sys.version,
        "platform": sysconfig.get_platform(),
        "modules": sysconfig.get_config_var("EXT_SUFFIX"),
        "sources": sources.hexdigest(),
        "files": _digest_files(folder),
    }


def _digest_files(folder):
    """Returns a digest of the names and sizes of all files but the stamp and compiled modules."""
    digest = hashlib.sha256()
    for directory, subdirectories, names in os.walk(folder):
        subdirectories[:] = sorted(name for name in subdirectories if name != BYTECODE)
        for name in sorted(names):
            path = Path(directory, name)
            if path != folder / STAMP:
                digest.update(f"{path.relative_to(folder)}\0{path.stat().st_size}\n".encode())
    return digest.hexdigest()


if __name__ == "__main__":
    main()
