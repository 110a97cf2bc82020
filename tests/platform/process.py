"""Real entry processes on loopback beside an in-process stand-in of the store."""

import json
import os
import signal
import subprocess
import sys
import tempfile
from contextlib import asynccontextmanager
from pathlib import Path

import trio
import yaml

from ibiscart_entry.client import HttpClient, TransportError
from ibiscart_entry.server import HttpServer
from ibiscart_schema.generated.settings_pb2 import ServerSettings
from tests.platform.deployment import CONFIGURATION
from tests.standins.loopback import LOOPBACK, free_ports
from tests.standins.platform.store import PlatformStore

__all__ = ["RealProcess", "run_with_store", "settings_document"]

PROGRAM = Path(__file__).resolve().parents[2] / "deploy" / "entry.py"
# bound on each test, so that a process that hangs fails it
TIMEOUT_SECONDS = 180.0
POLL_SECONDS = 0.005


def settings_document(store_port, name="e0"):
    """Returns valid settings on free ports."""
    front, readiness, internal = free_ports(3)
    return {
        "node": name,
        "ip": LOOPBACK,
        "zone": "z",
        "listen": {"front": f"{LOOPBACK}:{front}", "readiness": f"{LOOPBACK}:{readiness}"},
        "internalPorts": [internal, internal],
        "platform": {"address": f"{LOOPBACK}:{store_port}"},
        "bounds": {"graceS": 6, "maxHoldMs": 6000, "status_s": 120},
        "limits": {"cpuShare": 1.0, "cores": 1},
        "heartbeatMs": 1500,
    }


def run_with_store(function):
    """Runs ``function(store_port)`` beside a store with a configuration."""

    async def main():
        with trio.fail_after(TIMEOUT_SECONDS):
            async with trio.open_nursery() as nursery:
                store = PlatformStore()
                store.put("op", "config", CONFIGURATION)
                await nursery.start(store.run)
                settings = ServerSettings(
                    address=f"{LOOPBACK}:0",
                    max_connections=500,
                    max_body_bytes=4_000_000,
                    header_timeout_seconds=60,
                    body_timeout_seconds=60,
                )
                port = await nursery.start(HttpServer(store.handle, settings).serve)
                await function(port)
                nursery.cancel_scope.cancel()

    trio.run(main)


class RealProcess:
    """One process with the settings in ``document``, a mapping or the bytes of the file."""

    def __init__(self, directory, document):
        self.document = document
        self.settings_path = Path(directory) / "boot.yaml"
        self._log_path = Path(directory) / "log"
        self._error_path = Path(directory) / "errors"
        self._process = None
        self.write_settings(document)

    @classmethod
    @asynccontextmanager
    async def running(cls, document, *interpreter_options, closed="", ignored=""):
        """Starts a process, and kills it in the end if it has not exited.

        ``closed`` has the digits of the standard streams that the process starts without,
        ``ignored`` the names of the signals that its parent process ignores.
        """
        with tempfile.TemporaryDirectory() as directory:
            process = cls(directory, document)
            process.start(interpreter_options, closed, ignored)
            try:
                yield process
            finally:
                if process.alive:
                    process.send(signal.SIGKILL)
                    process._process.wait()

    def write_settings(self, document):
        """Replaces the settings file; removes it if ``document`` is None."""
        if document is None:
            self.settings_path.unlink(missing_ok=True)
            return
        if not isinstance(document, bytes):
            document = yaml.safe_dump(document).encode()
        new_path = self.settings_path.with_suffix(".new")
        new_path.write_bytes(document)
        new_path.replace(self.settings_path)

    def start(self, interpreter_options=(), closed="", ignored=""):
        """Starts the process."""
        environment = {**os.environ, "IBISCART_CONFIG": str(self.settings_path)}
        command = [sys.executable, *interpreter_options, str(PROGRAM)]
        if closed:
            redirections = " ".join(f"{descriptor}>&-" for descriptor in closed)
            command = ["sh", "-c", f'exec "$@" {redirections}', "sh", *command]
        if ignored:
            command = ["sh", "-c", f"trap '' {ignored}; exec \"$@\"", "sh", *command]
        with open(self._log_path, "wb") as log, open(self._error_path, "wb") as errors:
            self._process = subprocess.Popen(
                command,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=errors,
                env=environment,
            )

    @property
    def alive(self):
        return self._process.poll() is None

    @property
    def log(self):
        """All complete records of the log so far."""
        lines = self._log_path.read_bytes().split(b"\n")[:-1]
        return [json.loads(line) for line in lines]

    @property
    def errors(self):
        """Text on standard error, without the list of imports."""
        lines = self._error_path.read_text(encoding="utf-8", errors="replace").splitlines()
        return "\n".join(line for line in lines if not line.startswith("import time:"))

    @property
    def imports(self):
        """Names of the modules imported so far; needs the interpreter option -X importtime."""
        lines = self._error_path.read_text(encoding="utf-8", errors="replace").split("\n")[:-1]
        return [line.rpartition("|")[2].strip() for line in lines if line.startswith("import time")]

    def send(self, signal_number):
        """Sends a signal unless the process has exited."""
        if self.alive:
            self._process.send_signal(signal_number)

    def records(self, text, **fields):
        """Returns the log records whose message contains ``text`` and that have ``fields``."""
        return [
            record
            for record in self.log
            if text in record["message"] and fields.items() <= record.items()
        ]

    async def wait_until(self, condition):
        """Waits until ``condition()`` is true; fails if the process exits before."""
        while not condition():
            if not self.alive and not condition():
                raise AssertionError(f"exit code {self._process.returncode}: {self.report()}")
            await trio.sleep(POLL_SECONDS)

    async def wait_record(self, text, count=1, **fields):
        """Waits until ``count`` records have been logged; returns them."""
        await self.wait_until(lambda: len(self.records(text, **fields)) >= count)
        return self.records(text, **fields)

    async def wait_exit(self, meanwhile=lambda: None):
        """Returns the exit code; calls ``meanwhile`` again and again until the exit."""
        while self.alive:
            meanwhile()
            await trio.sleep(POLL_SECONDS / 5)
        return self._process.returncode

    async def wait_ready(self):
        """Waits until the readiness address answers with status 200."""
        client = HttpClient(self.document["listen"]["readiness"])
        while True:
            try:
                if (await client.request("GET", "/", timeout=1.0)).status == 200:
                    await client.aclose()
                    return
            except TransportError:
                pass
            if not self.alive:
                raise AssertionError(f"exit code {self._process.returncode}: {self.report()}")
            await trio.sleep(POLL_SECONDS)

    def report(self):
        """Returns the log and the errors as text, for failures."""
        return "\n".join([*map(str, self.log[-8:]), self.errors[-2000:]])
