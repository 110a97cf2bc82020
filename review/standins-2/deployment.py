"""Starts a small deployment on loopback: entries of the deploy file, store, runners, callers."""

import asyncio
import json
import os
import random
import signal
import socket
import sys
import tempfile
import time
import tomllib
from pathlib import Path

import http_json
from gangs import Gangs
from store import Store

ROOT = Path(__file__).resolve().parents[2]
# a loopback address of its own, so that cases can run at the same time
HOST = "127.{}.{}.{}".format(1 + os.getpid() // 65536 % 200, *divmod(os.getpid() % 65536, 256))
KEY = "key-a"
QUEUE = "/q1/"
BOUNDS = {
    "contactMs": 3000,
    "ackMs": 4000,
    "catchUpS": 4,
    "drainMs": 2000,
    "graceS": 6,
    "configApplyMs": 2000,
    "strictRevoke": False,
    "revokeMs": 5000,
    "recoveryS": 12,
    "maxHoldMs": 6000,
    "stopMs": 400,
    "gangWaitMs": 3000,
    "cancel_ms": 3000,
    "visible_ms": 3000,
    "early_ms": 250,
    "finish_s": 14,
    "status_s": 120,
    "requireFence": True,
}


class NotRunnable(Exception):
    """The case could not run."""


class Deployment:
    """Within ``async with``; ``events`` has all that was recorded, also written to record.txt."""

    def __init__(self, folder, *, entries=3, runners=6, labels=None, capacity=None, max_attempts=2):
        self.began = time.monotonic()
        self.events = []
        self._file = open(Path(folder) / "record.txt", "w", encoding="utf-8")
        self.store = Store(self.record)
        self.gangs = Gangs()
        self.entries, self.runners = {}, {}
        self._entry_names = [f"front-{number}" for number in range(1, entries + 1)]
        self._runner_names = [f"runner-{number}" for number in range(1, runners + 1)]
        self.labels = labels or {}
        self._capacity = capacity or {"cpu": 32000, "memMb": 65536, "gpu": 8}
        self._max_attempts = max_attempts
        self._ports = set()
        self._tasks = []
        self._servers = []

    def record(self, event, **fields):
        item = {"at": round(time.monotonic() - self.began, 3), "event": event, **fields}
        self.events.append(item)
        self._file.write(json.dumps(item) + "\n")
        self._file.flush()

    def find(self, event, **fields):
        return [
            item
            for item in self.events
            if item["event"] == event and fields.items() <= item.items()
        ]

    def now(self):
        return time.monotonic() - self.began

    def port(self):
        while True:
            port = random.SystemRandom().randrange(20000, 32000)
            with socket.socket() as probe:
                try:
                    probe.bind((HOST, port))
                except OSError:
                    continue
            if port not in self._ports:
                self._ports.add(port)
                return port

    async def __aenter__(self):
        self._temporary = tempfile.TemporaryDirectory(prefix="ibiscart-review-")
        try:
            await self._start()
        except BaseException:
            await self.__aexit__()
            raise
        return self

    async def __aexit__(self, *error):
        for process in (*self.entries.values(), *self.runners.values()):
            if process.returncode is None:
                process.kill()
        for process in (*self.entries.values(), *self.runners.values()):
            await process.wait()
        for task in self._tasks:
            task.cancel()
        for server in self._servers:
            server.close()
        self._file.close()
        self._temporary.cleanup()

    async def _start(self):
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        (role,) = deploy["roles"].values()
        self._command = role["run"].split()
        self.store.put("op", "config", self.configuration())
        self._entry_ports = {name: [self.port() for _ in range(4)] for name in self._entry_names}
        for name, ports in self._entry_ports.items():
            self._servers.append(await self.store.serve_caller(HOST, ports[3], name))
        self._runner_ports = {name: [self.port(), self.port()] for name in self._runner_names}
        for name, ports in self._runner_ports.items():
            self._servers.append(await self.store.serve_caller(HOST, ports[1], name))
        self._gangs_address = f"{HOST}:{self.port()}"
        port = int(self._gangs_address.rpartition(":")[2])
        self._servers.append(await http_json.serve(HOST, port, self.gangs.handle))
        self._tasks.append(asyncio.create_task(self.store.expire_entries()))
        for name in self._runner_names:
            await self.start_runner(name)
        for name in self._entry_names:
            await self.start_entry(name)
        for name in self._entry_names:
            await self.wait_for(lambda name=name: self.ready(name), 20, f"{name} is ready")
        await self.wait_for(self.leader, 20, "an entry leads")
        # the leader reads the runners' lists first
        await asyncio.sleep(2.0)

    def configuration(self):
        route = {"stretch": 3.0, "targetLatencyMs": 1000, "maxAttempts": self._max_attempts}
        return {
            "version": 3,
            "routes": [
                {
                    "name": f"q{priority}",
                    "host": HOST,
                    "pathPrefix": f"/q{priority}/",
                    "service": "work",
                    "priority": priority,
                    **route,
                }
                for priority in (0, 1)
            ],
            "services": [{"name": "work", "admissionCheck": False}],
            "tenants": [{"name": "a", "apiKeys": [KEY], "guaranteed": {"gpu": 8}}],
            "limits": {},
        }

    def _settings(self, name):
        front, readiness, internal, store = self._entry_ports[name]
        return {
            "node": name,
            "role": "entry",
            "machineClass": "front",
            "serves": ["front"],
            "ip": HOST,
            "zone": "z1",
            "region": "r",
            "zones": {"z1": "r"},
            "listen": {"front": f"{HOST}:{front}", "readiness": f"{HOST}:{readiness}"},
            "internalPorts": [internal, internal],
            "bootstrap": True,
            "limits": {"cpuShare": 0.537, "cores": 2, "memoryMb": 300, "maxFds": 4100},
            "discovery": "platform",
            "heartbeatMs": 1500,
            "contracts": ["base", "drain", "config", "cost", "recover", "sched", "platform"],
            "bounds": BOUNDS,
            "orders": "call",
            "platform": {
                "address": f"{HOST}:{store}",
                "form": "table",
                "writesPerS": 800,
                "readsPerS": 2000,
                "rowBytes": 65536,
                "across": True,
                "historyS": 20,
            },
        }

    async def start_entry(self, name):
        """Starts an entry with the command of the deploy file."""
        path = Path(self._temporary.name) / f"{name}.yaml"
        path.write_text(json.dumps(self._settings(name)), encoding="utf-8")
        environment = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        environment |= {"IBISCART_CONFIG": str(path), "PYTHONPATH": str(ROOT / "target" / "deps")}
        log_folder = os.environ.get("ENTRY_LOGS", self._temporary.name)
        with open(Path(log_folder) / f"{name}.log", "ab") as log:
            self.entries[name] = await asyncio.create_subprocess_exec(
                *self._command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.record("entry-started", id=name)

    async def start_runner(self, name):
        number = int(name.rpartition("-")[2])
        port, store = self._runner_ports[name]
        labels = self.labels.get(name, ["a", f"r{number % 2}"])
        arguments = (
            name,
            f"{HOST}:{port}",
            f"{HOST}:{store}",
            self._gangs_address,
            "work",
            "z1",
            json.dumps(labels),
            json.dumps(self._capacity),
        )
        program = Path(__file__).with_name("runner.py")
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-B", str(program), *arguments, stdout=asyncio.subprocess.PIPE
        )
        self.runners[name] = process
        self._tasks.append(asyncio.create_task(self._read_events(process)))
        await self.wait_for(lambda: self._is_up(name, process), 10, f"{name} is up")

    def _is_up(self, name, process):
        return getattr(process, "is_up", False)

    async def _read_events(self, process):
        while line := await process.stdout.readline():
            fields = json.loads(line)
            self.record(fields.pop("event"), **fields)
            process.is_up = True

    async def kill_runner(self, name):
        """Crashes a runner: all that runs on it ends without notice."""
        process = self.runners[name]
        process.kill()
        await process.wait()
        self.gangs.forget_runner(name)
        self.record("runner-crashed", id=name)

    async def signal_entry(self, name, number):
        self.entries[name].send_signal(number)
        self.record("signal", id=name, signal=signal.Signals(number).name)

    async def ready(self, name):
        address = f"{HOST}:{self._entry_ports[name][1]}"
        return (await http_json.call(address, "GET", "/ready", timeout=1.0))[0] == 200

    def leader(self):
        """Name of the entry in the leader's row, None without one."""
        row = self.store.value("leader", "leader") or {}
        return row.get("node") or None

    async def wait_for(self, condition, seconds, what):
        """Returns the first true value of a condition; the case can't run without it."""
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            value = condition()
            value = await value if asyncio.iscoroutine(value) else value
            if value:
                return value
            await asyncio.sleep(0.01)
        raise NotRunnable(f"not in {seconds} s: {what}")

    async def call(self, method, path, document=None, entry=None, key=KEY):
        """Makes a caller's request at an entry, tries others if it has no answer; records it."""
        names = [entry] if entry else [n for n, p in self.entries.items() if p.returncode is None]
        for name in names * 4:
            address = f"{HOST}:{self._entry_ports[name][0]}"
            headers = {"authorization": f"Bearer {key}", "x-deadline-ms": "3000"}
            status, value = await http_json.call(address, method, path, document, headers)
            self.record("call", method=method, path=path, entry=name, status=status, answer=value)
            if status not in (0, 502, 504, 503, 429):
                return status, value
            await asyncio.sleep(0.2)
        return status, value

    async def submit(self, job_id, *steps, queue=QUEUE, **spec):
        document = {"spec": json.dumps(spec), "steps": list(steps)}
        status, _ = await self.call("POST", queue + job_id, document)
        if status != 200:
            raise NotRunnable(f"the job was not accepted: {status}")

    async def state(self, job_id, queue=QUEUE):
        """State of a job, or the status code of an answer without one."""
        status, value = await self.call("GET", queue + job_id)
        return value["state"] if status == 200 else status

    def running(self, job_id):
        """Returns {(runner, task, run)} of the runs of a job that are at work, by the record."""
        found = set()
        for item in self.events:
            kind, runner = item["event"], item.get("id")
            if kind == "run-started" and item["task"].startswith(job_id):
                found.add((runner, item["task"], item["run"]))
            elif kind == "run-ended":
                found.discard((runner, item["task"], item["run"]))
            elif kind == "runner-crashed":
                found = {run for run in found if run[0] != runner}
        return found


def main(case, folder, **options):
    """Runs ``case(deployment, trouble)``, which returns whether the rule held; exits with 0 to 2."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    # ends the processes that were started, as an interrupt does
    signal.signal(signal.SIGTERM, signal.default_int_handler)

    async def run():
        async with asyncio.timeout(115):
            async with Deployment(folder, **options) as deployment:
                held, text = await case(deployment, trouble)
                deployment.record("result", held=held, text=text)
                return held, text

    try:
        held, text = asyncio.run(run())
    except Exception as error:
        # an error of the case itself says nothing about the rule
        print(f"could not run: {type(error).__name__} {error}")
        sys.exit(2)
    print(("held: " if held else "broken: ") + text)
    sys.exit(0 if held else 1)
