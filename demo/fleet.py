"""
demo.fleet
~~~~~~~~~~~~~~~~

Starts stand-ins and entry processes on loopback, and injects faults into them.
"""

import hashlib
import json
import os
import pathlib
import secrets
import signal
import subprocess
import sys
import tempfile
import time

import trio
import yaml

from ibiscart_core.trace import TraceError, format_event, read_trace
from ibiscart_entry.client import HttpClient, TransportError
from ibiscart_schema.generated.trace_pb2 import TraceEvent
from tests.standins.loopback import LOOPBACK, free_ports

__all__ = ["Fleet", "FleetError"]

START_SECONDS = 30
POLL_SECONDS = 0.02
DATA_CENTRES = ("dc-1", "dc-2", "dc-3")
WORKER_CAPACITY = {"accelerators": 8, "cpu_millis": 128_000, "memory_mb": 262_144}


class FleetError(Exception):
    """A process did not start or did not reach a state in time."""


class Child:
    """A process that the fleet started, with its output in a file."""

    def __init__(self, name, arguments, folder):
        self.name = name
        self.output = folder / f"{name}.log"
        with open(self.output, "ab") as output:
            self.process = subprocess.Popen(
                [sys.executable, *arguments],
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=subprocess.STDOUT,
            )

    @property
    def running(self):
        return self.process.poll() is None

    def send(self, number):
        if self.running:
            self.process.send_signal(number)

    def stop(self):
        if self.running:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        self.process.wait()

    async def port(self):
        """Waits for the line ``ready PORT`` of a stand-in."""
        deadline = time.monotonic() + START_SECONDS
        while time.monotonic() < deadline and self.running:
            for line in self.output.read_text().splitlines():
                if line.startswith("ready "):
                    return int(line.split()[1])
            await trio.sleep(POLL_SECONDS)
        raise FleetError(f"{self.name} did not start:\n{self.output.read_text()[-2000:]}")


class Entry:
    """An entry process with its addresses."""

    def __init__(self, entry_id, data_centre, port, peer_port):
        self.id = entry_id
        self.data_centre = data_centre
        self.address = f"{LOOPBACK}:{port}"
        self.peer_address = f"{LOOPBACK}:{peer_port}"
        self.child = None


class Fleet:
    """Stand-ins, entries and the recorded events of one run in a temporary folder."""

    def __init__(self, *, entries=4, workers=6, runners=4, rack_size=3, settings=None):
        self._temporary = tempfile.TemporaryDirectory(prefix="ibiscart-")
        self.folder = pathlib.Path(self._temporary.name)
        self._counts = (workers, runners, rack_size)
        self._overrides = settings or {}
        self.operator_key = secrets.token_urlsafe(24)
        self._peer_key = secrets.token_urlsafe(24)
        self.children = {}
        self.addresses = {}
        self._trace = open(self.folder / "caller.trace", "ab")  # noqa: SIM115
        ports = free_ports(2 * entries)
        self.entries = [
            Entry(f"entry-{i + 1}", DATA_CENTRES[i % 3], ports[2 * i], ports[2 * i + 1])
            for i in range(entries)
        ]

    @property
    def worker_count(self):
        """Number of workers."""
        return self._counts[0]

    async def start(self):
        """Starts everything and waits until all entries are ready."""
        for name in ("table", "objects", "members"):
            await self._start_service(name, [f"tests.standins.{name}"])
        workers, runners, rack_size = self._counts
        machines = []
        names = [f"worker-{i + 1}" for i in range(workers)]
        names += [f"runner-{i + 1}" for i in range(runners)]
        for name in names:
            role = name.split("-")[0]
            trace = str(self.folder / f"{name}.trace")
            self._spawn(name, [f"tests.standins.{role}", "--id", name, "--trace", trace])
        for index, name in enumerate(names):
            self.addresses[name] = f"{LOOPBACK}:{await self.children[name].port()}"
            machines.append(self._target(name, index, rack_size))
        machines += [self._entry_machine(entry) for entry in self.entries]
        await self.call("members", "POST", "/machines", {"machines": machines})
        for entry in self.entries:
            self.start_entry(entry)
        for entry in self.entries:
            await self.wait_ready(entry)

    def start_entry(self, entry):
        """Starts an entry process, for the first time or again."""
        path = self.folder / f"{entry.id}.yaml"
        path.write_text(yaml.safe_dump(self._settings(entry)))
        entry.child = Child(entry.id, ["-m", "ibiscart_entry.start", str(path)], self.folder)
        self.children[entry.id] = entry.child

    async def wait_ready(self, entry):
        """Waits until the entry says that it is ready."""
        deadline = time.monotonic() + START_SECONDS
        while time.monotonic() < deadline and entry.child.running:
            if await self.is_ready(entry):
                return
            await trio.sleep(POLL_SECONDS)
        raise FleetError(f"{entry.id} is not ready:\n{entry.child.output.read_text()[-3000:]}")

    async def is_ready(self, entry):
        """Tells whether the entry answers that it is ready."""
        client = HttpClient(entry.address)
        try:
            return (await client.request("GET", "/ready", timeout=1)).status == 200
        except TransportError:
            return False
        finally:
            await client.aclose()

    async def call(self, name, method, path, value=None):
        """Calls a stand-in, to control it or to read its state."""
        client = HttpClient(self.addresses[name])
        try:
            body = b"" if value is None else json.dumps(value).encode()
            response = await client.request(method, path, body=body, timeout=10)
        finally:
            await client.aclose()
        if response.status >= 400:
            raise FleetError(f"{name} {path}: {response.status} {response.body!r}")
        return json.loads(response.body) if response.body else None

    def signal(self, entry, number):
        """Sends a signal to an entry process and records it."""
        names = {
            signal.SIGKILL: "kill",
            signal.SIGSTOP: "stop",
            signal.SIGCONT: "continue",
            signal.SIGTERM: "drain",
        }
        self.record(process_signal={"process_id": entry.id, "signal": names[number]})
        entry.child.send(number)

    def record(self, **kind):
        """Records an event that the caller's side saw."""
        event = TraceEvent(time_us=time.time_ns() // 1000, source="caller", **kind)
        self._trace.write(format_event(event))

    def events(self):
        """Returns the recorded events of all processes in order of time."""
        self._trace.flush()
        events = []
        for path in sorted(self.folder.glob("*.trace")):
            with open(path, "rb") as file:
                events.extend(self._whole_events(file))
        events.sort(key=lambda event: event.time_us)
        return events

    def stop(self):
        """Ends every process that this fleet started and removes the folder."""
        for child in self.children.values():
            child.stop()
        self._trace.close()
        self._temporary.cleanup()

    def _whole_events(self, file):
        try:
            yield from read_trace(file)
        except TraceError:
            return  # a killed process leaves a last line in part

    async def _start_service(self, name, arguments):
        self._spawn(name, arguments)
        self.addresses[name] = f"{LOOPBACK}:{await self.children[name].port()}"

    def _spawn(self, name, arguments):
        self.children[name] = Child(name, ["-m", *arguments, "--host", LOOPBACK], self.folder)

    def _target(self, name, index, rack_size):
        role = name.split("-")[0]
        data_centre = DATA_CENTRES[(index // rack_size) % 3]
        machine = {
            "id": name,
            "role": role,
            "address": self.addresses[name],
            "data_centre": data_centre,
            "rack": f"rack-{index // rack_size + 1}",
        }
        if role == "worker":
            return machine | {"capacity": WORKER_CAPACITY}
        return machine | {"slots": 8, "connections": 64}

    def _entry_machine(self, entry):
        return {
            "id": entry.id,
            "role": "entry",
            "address": entry.address,
            "peer_address": entry.peer_address,
            "data_centre": entry.data_centre,
        }

    def _settings(self, entry):
        settings = {
            "entry_id": entry.id,
            "region": "loopback",
            "data_centre": entry.data_centre,
            "server": {"address": entry.address},
            "peer": {"address": entry.peer_address, "key": self._peer_key},
            "store": {
                "table_url": f"http://{self.addresses['table']}",
                "object_url": f"http://{self.addresses['objects']}",
            },
            "membership": {"url": f"http://{self.addresses['members']}", "poll_seconds": 0.5},
            "operators": {"key_sha256": [key_hash(self.operator_key)]},
            "drain": {"balancer_lag_seconds": 1, "deadline_seconds": 20},
            "log": {"trace_path": str(self.folder / f"{entry.id}.trace")},
        }
        for section, values in self._overrides.items():
            settings[section] = settings.get(section, {}) | values
        return settings


def key_hash(key):
    """Returns the hash of a key as contracts and settings hold it."""
    return hashlib.sha256(key.encode()).hexdigest()


def usage(child):
    """Returns (resident bytes, processor seconds) of a running child."""
    pid = child.process.pid
    pages = int(pathlib.Path(f"/proc/{pid}/statm").read_text().split()[1])
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    ticks = int(fields[11]) + int(fields[12])
    return pages * os.sysconf("SC_PAGE_SIZE"), ticks / os.sysconf("SC_CLK_TCK")
