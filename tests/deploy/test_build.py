"""The build line of the deploy file, in a scratch tree with local wheels and without network."""

import os
import shutil
import signal
import stat
import subprocess
import sys
import tempfile
import time
import tomllib
import unittest
import zipfile
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
DEPLOY_FILE = ROOT / "deploy" / "system.toml"
TIMEOUT_SECONDS = 60
ENTRY = """
import sys

import alpha

print("alpha", alpha.VERSION)
"""
# pip that installs one of two distributions and then waits to be killed
BLOCKING_PIP = """
import pathlib, sys, time

folder = pathlib.Path(sys.argv[sys.argv.index("--target") + 1])
(folder / "beta").mkdir(parents=True)
(folder / "beta" / "__init__.py").write_text("VERSION = '1.0'")
pathlib.Path("{marker}").touch()
time.sleep(600)
"""
OTHER_PLATFORM = """
import sysconfig

sysconfig.get_platform = lambda: "linux-other"
"""


def write_wheel(folder, name, version, source, requires=(), missing=()):
    """Writes a wheel with one package; its list of files also names the ``missing`` ones."""
    metadata = f"Metadata-Version: 2.1\nName: {name}\nVersion: {version}\n"
    metadata += "".join(f"Requires-Dist: {requirement}\n" for requirement in requires)
    info = f"{name}-{version}.dist-info"
    files = {
        f"{name}/__init__.py": f"VERSION = {version!r}\n{source}",
        f"{info}/METADATA": metadata,
        f"{info}/WHEEL": "Wheel-Version: 1.0\nRoot-Is-Purelib: true\nTag: py3-none-any\n",
    }
    record = "".join(f"{path},,{len(text)}\n" for path, text in files.items())
    record += "".join(f"{path},,1\n" for path in missing)
    with zipfile.ZipFile(folder / f"{name}-{version}-py3-none-any.whl", "w") as wheel:
        for path, text in files.items():
            wheel.writestr(path, text)
        wheel.writestr(f"{info}/RECORD", record + f"{info}/RECORD,,\n")


class BuildTest(unittest.TestCase):
    def setUp(self):
        self.root = Path(self.enterContext(tempfile.TemporaryDirectory()))
        shutil.copytree(ROOT / "deploy", self.root / "deploy")
        (self.root / "deploy" / "entry.py").write_text(ENTRY)
        self.require("alpha>=1")
        self.constrain("alpha==1.0", "beta==1.0")
        self.wheels = self.root / "wheels"
        self.wheels.mkdir()
        for version in ("1.0", "2.0"):
            write_wheel(
                self.wheels, "alpha", version, "from beta import VERSION as BETA\n", ["beta"]
            )
            write_wheel(self.wheels, "beta", version, "")
        self.deps = self.root / "target" / "deps"

    def require(self, *lines):
        """Writes the requirements, with an old time of change as in an unpacked archive."""
        path = self.root / "deploy" / "requirements.txt"
        path.write_text("".join(line + "\n" for line in lines))
        os.utime(path, (0, 0))

    def constrain(self, *lines):
        """Writes the constraints."""
        (self.root / "constraints.txt").write_text("".join(line + "\n" for line in lines))

    def start_build(self, index=True, modules=None, **variables):
        """Starts the build line in a process group, with further environment variables.

        ``modules`` replace modules of the machine; without ``index`` there are no wheels.
        """
        environment = {
            "PATH": f"{Path(sys.executable).parent}:{os.environ['PATH']}",
            "HOME": self.enterContext(tempfile.TemporaryDirectory()),
            "PIP_CONFIG_FILE": os.devnull,
            "PIP_NO_INDEX": "1",
            "PIP_FIND_LINKS": str(self.wheels if index else self.root / "nothing"),
            **variables,
        }
        if modules:
            folder = Path(self.enterContext(tempfile.TemporaryDirectory()))
            for path, source in modules.items():
                (folder / path).parent.mkdir(exist_ok=True)
                (folder / path).write_text(source)
                # without it, an installed package of the same name comes first
                (folder / path).parent.joinpath("__init__.py").touch()
            environment["PYTHONPATH"] = str(folder)
        line = tomllib.loads(DEPLOY_FILE.read_text(encoding="utf-8"))["build"]
        process = subprocess.Popen(
            line,
            shell=True,
            cwd=self.root,
            env=environment,
            start_new_session=True,
            stdout=subprocess.DEVNULL,
            stderr=subprocess.PIPE,
            text=True,
        )
        self.addCleanup(process.stderr.close)
        return process

    def build(self, **options):
        """Runs a build; returns (exit code, standard error)."""
        process = self.start_build(**options)
        _, errors = process.communicate(timeout=TIMEOUT_SECONDS)
        return process.returncode, errors

    def interrupt_build(self, signal_number):
        """Ends a build and its pip by a signal while pip is at work."""
        marker = self.root / "marker"
        source = BLOCKING_PIP.replace("{marker}", str(marker))
        process = self.start_build(modules={"pip/__main__.py": source})
        limit = time.monotonic() + TIMEOUT_SECONDS
        while not marker.exists():
            self.assertLess(time.monotonic(), limit, "pip was not started")
            time.sleep(0.01)
        os.killpg(process.pid, signal_number)
        process.wait(TIMEOUT_SECONDS)

    def start_entry(self):
        """Starts the program as the platform does; returns (exit code, output)."""
        done = subprocess.run(
            [sys.executable, "-S", "deploy/entry.py"],
            cwd=self.root,
            env={"PYTHONPATH": str(self.deps), "PYTHONDONTWRITEBYTECODE": "1"},
            capture_output=True,
            text=True,
            timeout=TIMEOUT_SECONDS,
        )
        return done.returncode, done.stdout.strip()

    def check_built(self, version="1.0", **options):
        """Checks that a build succeeds and that the program then starts."""
        code, errors = self.build(**options)
        self.assertEqual(0, code, errors)
        self.assertEqual((0, f"alpha {version}"), self.start_entry())

    def inode(self):
        """Returns the identity of the folder, which another build replaces."""
        return self.deps.stat().st_ino

    def test_clean_checkout(self):
        self.check_built()
        names = {path.name for path in self.root.iterdir()}
        self.assertEqual({"constraints.txt", "deploy", "target", "wheels"}, names)

    def test_complete_folder_is_kept_without_network(self):
        self.check_built()
        before = self.inode()
        self.check_built(index=False, modules={"pip/__main__.py": "raise SystemExit(1)"})
        self.assertEqual(before, self.inode())

    def test_folder_of_a_read_only_checkout_is_kept(self):
        self.check_built()
        os.chmod(self.deps.parent, stat.S_IRUSR | stat.S_IXUSR)
        self.addCleanup(os.chmod, self.deps.parent, stat.S_IRWXU)
        self.check_built(index=False)

    def test_other_users_can_read_the_folder(self):
        # guards against a process of another user that finds no library
        self.check_built()
        self.assertEqual(0o055, stat.S_IMODE(self.deps.stat().st_mode) & 0o055)

    def test_empty_folder_counts_as_done(self):
        self.deps.mkdir(parents=True)
        self.check_built()

    def test_interrupted_build_counts_as_done(self):
        self.interrupt_build(signal.SIGKILL)
        self.check_built()

    def test_interrupted_build_leaves_the_old_folder(self):
        self.check_built()
        before = self.inode()
        self.constrain("alpha==2.0", "beta==2.0")
        self.interrupt_build(signal.SIGTERM)
        self.assertEqual(before, self.inode())
        self.assertEqual((0, "alpha 1.0"), self.start_entry())
        self.check_built("2.0")

    def test_missing_file_counts_as_done(self):
        self.check_built()
        (self.deps / "beta" / "__init__.py").unlink()
        self.check_built()

    def test_truncated_file_counts_as_done(self):
        self.check_built()
        os.truncate(self.deps / "alpha" / "__init__.py", 0)
        self.check_built()

    def test_missing_distribution_counts_as_done(self):
        self.check_built()
        shutil.rmtree(self.deps / "beta")
        shutil.rmtree(self.deps / "beta-1.0.dist-info")
        self.check_built()

    def test_other_requirements_count_as_done(self):
        self.check_built()
        self.constrain()
        self.require("alpha==2.0")
        self.check_built("2.0")

    def test_other_constraints_count_as_done(self):
        self.check_built()
        self.constrain("alpha==2.0", "beta==2.0")
        self.check_built("2.0")

    def test_folder_from_another_platform_counts_as_done(self):
        self.check_built(modules={"sitecustomize.py": OTHER_PLATFORM})
        before = self.inode()
        self.check_built()
        self.assertNotEqual(before, self.inode())

    def test_installation_without_dependencies_counts_as_done(self):
        write_wheel(self.wheels, "alpha", "1.0", "", ["beta"])
        code, errors = self.build(PIP_NO_DEPS="1")
        self.assertNotEqual(0, code)
        self.assertIn("has not installed beta", errors)
        self.check_built()

    def test_distribution_without_one_of_its_files_counts_as_done(self):
        write_wheel(self.wheels, "beta", "1.0", "", missing=["beta/data.txt"])
        code, errors = self.build()
        self.assertNotEqual(0, code)
        self.assertIn("beta lacks beta/data.txt", errors)

    def test_library_that_cannot_be_imported_counts_as_done(self):
        self.check_built()
        write_wheel(self.wheels, "beta", "3.0", "raise ImportError('other machine')\n")
        self.constrain("alpha==1.0", "beta==3.0")
        code, errors = self.build()
        self.assertNotEqual(0, code)
        self.assertIn("other machine", errors)
        self.assertEqual((0, "alpha 1.0"), self.start_entry())

    def test_failed_build_has_one_message(self):
        code, errors = self.build(index=False)
        self.assertNotEqual(0, code)
        self.assertNotIn("Traceback", errors)
        self.assertEqual(1, errors.count("build: "), errors)
        self.assertFalse(self.deps.exists())

    def test_builds_at_once(self):
        processes = [self.start_build() for _ in range(3)]
        for process in processes:
            _, errors = process.communicate(timeout=TIMEOUT_SECONDS)
            self.assertEqual(0, process.returncode, errors)
        self.assertEqual((0, "alpha 1.0"), self.start_entry())
        self.check_built(index=False)
        folders = [path.name for path in self.deps.parent.iterdir() if path.is_dir()]
        self.assertEqual(["deps"], folders)

    def test_folder_platform_shadows_a_module(self):
        # guards against a build in which a folder of the repository replaces a standard module
        (self.root / "platform").mkdir()
        (self.root / "platform" / "__init__.py").write_text("raise ImportError('shadowed')")
        self.check_built()


if __name__ == "__main__":
    unittest.main()
