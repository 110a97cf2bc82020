"""Stand-ins of the platform for the scripts of this review: store, runners, clients, entries.

They follow PROTOCOL.md and DEPLOY.md, use only the standard library and listen on 127.0.0.1.
"""

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

HOST = "127.0.0.1"
ROOT = Path(__file__).resolve().parents[2]
QUEUE_HOST = "queues.example"
API_KEY = "key-a"
# figures of the settings; those of the site sites/lipi-kol.toml
STORE_ANSWER_SECONDS = 0.004
HEARTBEAT_SECONDS = 1.5
MAX_HOLD_MS = 10_000
STOP_MS = 900
CANCEL_MS = 3_000
CONTACT_MS = 3_000
CHECKPOINT_SECONDS = 0.5
GANG_WAIT_SECONDS = 3.0


# below the ports that a system gives to outgoing connections
FIRST_PORT, LAST_PORT = 15_000, 31_000
_given_ports = set()


def free_port():
    """Returns a port of the loopback address that no process uses."""
    while True:
        port = random.randint(FIRST_PORT, LAST_PORT)
        if port in _given_ports:
            continue
        _given_ports.add(port)
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind((HOST, port))
            except OSError:
                continue
            return port


class Record:
    """The events of one run, printed and written to ``record.txt`` of the case."""

    def __init__(self, folder):
        self._file = open(Path(folder) / "record.txt", "w", encoding="utf-8")
        self._began_at = time.monotonic()

    def now(self):
        """Returns the seconds since the begin of the script."""
        return time.monotonic() - self._began_at

    def write(self, text):
        """Adds one line with its time."""
        line = f"{self.now():8.3f} s  {text}"
        print(line, flush=True)
        self._file.write(line + "\n")
        self._file.flush()


class HttpServer:
    """HTTP/1.1 server on asyncio; ``handle(method, path, query, headers, body)`` is a coroutine
    that returns (status, document) or None for no answer."""

    def __init__(self, handle, port=None):
        self._handle = handle
        self.port = port or free_port()
        self._server = None
        self._writers = set()

    @property
    def address(self):
        return f"{HOST}:{self.port}"

    async def start(self):
        self._server = await asyncio.start_server(self._serve, HOST, self.port, backlog=512)

    async def stop(self):
        """Closes the listener and resets all connections, as the end of a process does."""
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                request = await read_head(reader)
                if request is None:
                    return
                (method, target, _), headers = request
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                parts = urlsplit(target)
                query = {name: values[-1] for name, values in parse_qs(parts.query).items()}
                answer = await self._handle(method, parts.path, query, headers, body)
                if answer is None:
                    await asyncio.sleep(600)
                    return
                status, document = answer
                data = json.dumps(document).encode()
                head = f"HTTP/1.1 {status} X\r\ncontent-type: application/json\r\n"
                writer.write(head.encode() + b"content-length: %d\r\n\r\n" % len(data) + data)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            # the peer has gone, or the script ends
            pass
        finally:
            self._writers.discard(writer)
            writer.close()


async def read_head(reader):
    """Returns (the three words of the first line, headers), or None at the end of the stream."""
    lines = []
    while True:
        line = await reader.readline()
        if not line:
            return None
        line = line.strip().decode("latin-1")
        if not line:
            break
        lines.append(line)
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return lines[0].split(" ", 2), headers


async def call(port, method, path, document=None, *, deadline_ms=3000, key=API_KEY):
    """Sends a client's request on a new connection; returns (status, document).

    Returns (None, None) without an answer by the deadline; the client then closes the connection.
    """
    body = json.dumps(document).encode() if document is not None else b""
    head = (
        f"{method} {path} HTTP/1.1\r\nHost: {QUEUE_HOST}\r\nAuthorization: Bearer {key}\r\n"
        f"Content-Type: application/json\r\nX-Deadline-Ms: {deadline_ms}\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    writer = None
    try:
        async with asyncio.timeout(deadline_ms / 1000):
            reader, writer = await asyncio.open_connection(HOST, port)
            writer.write(head.encode() + body)
            await writer.drain()
            answer = await read_head(reader)
            if answer is None:
                return None, None
            (_, status, *_), headers = answer
            data = await reader.readexactly(int(headers.get("content-length", 0)))
            return int(status), json.loads(data or b"{}")
    except (TimeoutError, OSError, asyncio.IncompleteReadError):
        return None, None
    finally:
        if writer is not None:
            writer.close()


class Store:
    """The platform's store: rows with versions, transactions and a feed of changes."""

    def __init__(self):
        self.rows = {}
        self.version = 0
        self._history = []
        self._changed = asyncio.Event()
        self.server = HttpServer(self._handle)

    def put(self, table, key, document, part=""):
        """Writes a row as the operator or a runner does."""
        value = base64.b64encode(json.dumps(document).encode()).decode()
        self._apply([((table, part, key), value)])

    def remove(self, table, key, part=""):
        """Removes a row, if it is there."""
        self._apply([((table, part, key), None)])

    def document(self, table, key, part=""):
        """Returns the JSON value of a row, None without one."""
        row = self.rows.get((table, part, key))
        return None if row is None else json.loads(base64.b64decode(row[0]))

    def _apply(self, changes):
        self.version += 1
        for key, value in changes:
            if value is None:
                if self.rows.pop(key, None) is None:
                    continue
            else:
                self.rows[key] = (value, self.version)
            self._history.append((self.version, key, value))
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def _handle(self, method, path, query, headers, body):
        await asyncio.sleep(STORE_ANSWER_SECONDS)
        if path == "/rows-tx":
            return self._transact(json.loads(body))
        if path == "/rows-get":
            return self._get(query)
        if path == "/rows-parts":
            parts = sorted({part for table, part, _ in self.rows if table == query["table"]})
            parts = [part for part in parts if part > query.get("after", "")]
            answer = {"parts": parts[:1000], "morePages": len(parts) > 1000}
            return 200, self._answer(answer)
        if path == "/rows-feed":
            return await self._feed(query)
        return 404, {}

    def _answer(self, document):
        return {**document, "ver": self.version, "nowMs": int(time.monotonic() * 1000)}

    def _transact(self, body):
        entries = [*body.get("expected", ()), *body.get("puts", ()), *body.get("remove", ())]
        if len(entries) > 100:
            return 400, {}
        conflict = False
        current = []
        for row in body.get("expected", ()):
            key = _row_key(row)
            value, version = self.rows.get(key, (None, 0))
            conflict = conflict or version != row["ver"]
            if version:
                current.append(_row(key, value, version))
            else:
                current.append({**_row(key, "", 0)})
        if conflict:
            return 412, self._answer({"rows": current})
        changes = [(_row_key(row), row["value"]) for row in body.get("puts", ())]
        changes += [(_row_key(row), None) for row in body.get("remove", ())]
        self._apply(changes)
        return 200, self._answer({})

    def _get(self, query):
        table, part, limit = query["table"], query.get("part", ""), int(query.get("limit", 500))
        first, end = query.get("from", ""), query.get("to")
        keys = sorted(
            key
            for key in self.rows
            if key[:2] == (table, part) and key[2] >= first and (end is None or key[2] < end)
        )
        rows = [_row(key, *self.rows[key]) for key in keys[: min(limit, 500)]]
        return 200, self._answer({"rows": rows, "morePages": len(keys) > len(rows)})

    async def _feed(self, query):
        table, after = query["table"], int(query["after"])
        wait_until = time.monotonic() + int(query.get("waitMs", 0)) / 1000
        while True:
            rows = []
            for version, key, value in self._history:
                if version > after and key[0] == table:
                    row = _row(key, value, version)
                    if value is None:
                        row = {"table": key[0], "part": key[1], "key": key[2], "ver": version}
                        row["removed"] = True
                    rows.append(row)
            left = wait_until - time.monotonic()
            if rows or left <= 0:
                return 200, self._answer({"rows": rows})
            try:
                await asyncio.wait_for(self._changed.wait(), left)
            except TimeoutError:
                pass


def _row_key(row):
    return row["table"], row.get("part", ""), row["key"]


def _row(key, value, version):
    return {"table": key[0], "part": key[1], "key": key[2], "value": value, "ver": version}


class Run:
    """One run on a runner."""

    def __init__(self, task, number, spec, checkpoint):
        self.task = task
        self.number = number
        self.spec = spec
        self.checkpoint = checkpoint
        self.timer = None
        self.stopping = False


class Runner:
    """One runner. The spec of a task is JSON with ``ms``, its work, 0 for a task that lasts.

    ``on_start`` and ``on_end`` are called with (runner, run) and (runner, run, how).
    """

    def __init__(self, store, name, record, *, rack="r0", cpu=32_000, mem_mb=65_536, gpu=8):
        self.name = name
        self.up = False
        self.ever_up = False
        self._store = store
        self._record = record
        self._capacity = {"cpu": cpu, "memMb": mem_mb, "gpu": gpu}
        self._labels = ["a", rack]
        self._seq = 0
        self.server = None
        self._port = free_port()
        self.on_start = lambda runner, run: None
        self.on_end = lambda runner, run, how: None
        self._heartbeats = None
        self._leases = None
        self._expiry = None
        self.running = {}

    async def start(self):
        """Begins a life of the runner under its id, without any state."""
        self.born = int(time.time() * 1000)
        self._clock_began_at = time.monotonic()
        self.running = {}
        self._ended = []
        self._end_number = 0
        self._highest = {}
        self._fence = 0
        self._deadline_ms = 0
        self._changed = asyncio.Event()
        self.server = HttpServer(self._handle, self._port)
        await self.server.start()
        self.up = True
        if self._expiry is not None:
            self._expiry.cancel()
        self._heartbeats = asyncio.create_task(self._beat())
        self._leases = asyncio.create_task(self._expire_leases())

    async def crash(self):
        """Ends the life of the runner without notice; its entry expires."""
        self.up = False
        self._heartbeats.cancel()
        self._leases.cancel()
        for run in self.running.values():
            run.timer.cancel()
            self.on_end(self, run, "lost with its runner")
        self.running = {}
        await self.server.stop()
        self._expiry = asyncio.create_task(self._expire())

    async def _expire(self):
        await asyncio.sleep(3 * HEARTBEAT_SECONDS)
        self._store.remove("servers", self.name)

    async def _beat(self):
        while True:
            self._seq += 1
            entry = {
                "service": "pool",
                "address": self.server.address,
                "zone": "z",
                "version": "1",
                "slots": 8,
                "state": "ready",
                "coldLeftMs": 0,
                "seq": self._seq,
                "capacity": self._capacity,
                "labels": self._labels,
                "born": self.born,
            }
            self._store.put("servers", self.name, entry)
            await asyncio.sleep(HEARTBEAT_SECONDS)

    @property
    def clock_ms(self):
        return int((time.monotonic() - self._clock_began_at) * 1000)

    def _said(self, document, status=200):
        return status, {"clockMs": self.clock_ms, "born": self.born, **document}

    async def _handle(self, method, path, query, headers, body):
        if headers.get("x-expect-instance", self.name) != self.name:
            return self._said({}, 421)
        request = json.loads(body)
        if request.get("fence", 0) < self._fence:
            return self._said({"reason": "fence"}, 409)
        self._fence = request.get("fence", 0)
        if path == "/run-start":
            return self._start_run(request)
        if path == "/run-stop":
            return self._stop_run(request)
        if path == "/hold":
            return await self._hold(request)
        return 404, {}

    def _extend(self, request):
        if "deadlineMs" in request:
            limit = self.clock_ms + MAX_HOLD_MS
            self._deadline_ms = max(self._deadline_ms, min(request["deadlineMs"], limit))

    def _start_run(self, request):
        task, number = request["task"], request["run"]
        run = self.running.get(task)
        if run is not None and run.number == number:
            self._extend(request)
            return self._said({})
        if request["deadlineMs"] <= self.clock_ms:
            return self._said({"reason": "late"}, 409)
        self._extend(request)
        if run is not None or number <= self._highest.get(task, 0):
            return self._said({"reason": "old"}, 409)
        run = Run(task, number, json.loads(request["spec"]), request.get("checkpoint", ""))
        self.running[task] = run
        run.timer = asyncio.create_task(self._work(run))
        self.on_start(self, run)
        return self._said({})

    async def _work(self, run):
        ms = run.spec.get("ms", 1000)
        await asyncio.sleep(ms / 1000 if ms else 1e6)
        self._end(run, "done")

    def _end(self, run, how):
        if self.running.get(run.task) is not run:
            return
        del self.running[run.task]
        if how != "done":
            run.timer.cancel()
        self._highest[run.task] = max(self._highest.get(run.task, 0), run.number)
        self._end_number += 1
        self._ended.append([self._end_number, run.task, run.number, how, ""])
        self.on_end(self, run, how)
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    def _stop_run(self, request):
        task, number = request["task"], request["run"]
        self._highest[task] = max(self._highest.get(task, 0), number)
        run = self.running.get(task)
        if run is not None and run.number <= number and not run.stopping:
            run.stopping = True
            asyncio.get_running_loop().call_later(0.1, self._end, run, "stopped")
        return self._said({})

    async def _hold(self, request):
        self._extend(request)
        self._ended = [end for end in self._ended if end[0] > request["ackCursor"]]
        wait_until = time.monotonic() + request.get("waitMs", 0) / 1000
        while not self._ended and (left := wait_until - time.monotonic()) > 0:
            try:
                await asyncio.wait_for(self._changed.wait(), left)
            except TimeoutError:
                pass
        running = [[run.task, run.number, "", 100, 0] for run in self.running.values()]
        return self._said({"running": running, "endedRuns": self._ended[:500]})

    async def _expire_leases(self):
        while True:
            await asyncio.sleep(0.02)
            if self._deadline_ms <= self.clock_ms:
                for run in list(self.running.values()):
                    self._end(run, "lapsed")


class Entry:
    """One process of the project, started with the command of the deploy file."""

    def __init__(self, name, folder, store_port, record):
        self.name = name
        self.front_port, self.ready_port = free_port(), free_port()
        self._record = record
        first_port = free_port()
        document = {
            "node": name,
            "role": "entry",
            "machineClass": "front",
            "serves": ["front"],
            "ip": HOST,
            "zone": "z",
            "region": "r",
            "zones": {"z": "r"},
            "listen": {
                "front": f"{HOST}:{self.front_port}",
                "readiness": f"{HOST}:{self.ready_port}",
            },
            "internalPorts": [first_port, first_port],
            "seeds": [],
            "bootstrap": True,
            "countsAsLoss": False,
            "limits": {
                "cpuShare": 0.537,
                "cores": 2,
                "memoryMb": 300,
                "maxFds": 4100,
                "linkMbps": 1000.0,
                "diskMb": 0,
            },
            "dataDir": None,
            "discovery": "platform",
            "entry": "vip",
            "heartbeatMs": int(HEARTBEAT_SECONDS * 1000),
            "contracts": ["base", "drain", "config", "recover", "sched", "tenants", "platform"],
            "faultTolerance": {"machines": 1, "zones": 0, "regions": 0},
            "bounds": {
                "contactMs": CONTACT_MS,
                "ackMs": 4000,
                "drainMs": 2000,
                "graceS": 6,
                "configApplyMs": 2000,
                "strictRevoke": False,
                "revokeMs": 5000,
                "recoveryS": 12,
                "maxHoldMs": MAX_HOLD_MS,
                "stopMs": STOP_MS,
                "gangWaitMs": 3000,
                "cancel_ms": CANCEL_MS,
                "visible_ms": 3000,
                "early_ms": 250,
                "finish_s": 14,
                "status_s": 120,
                "checkpointS": CHECKPOINT_SECONDS,
                "restoreMs": 250,
                "requireFence": True,
                "leaseMs": 3000,
            },
            "orders": "call",
            "platform": {
                "address": f"{HOST}:{store_port}",
                "form": "table",
                "writesPerS": 800,
                "readsPerS": 2000,
                "txMs": 3.0,
                "rowBytes": 65536,
                "across": True,
                "historyS": 20,
            },
        }
        self._settings = Path(folder) / f"{name}.yaml"
        # JSON is YAML
        self._settings.write_text(json.dumps(document, indent=1), encoding="utf-8")
        self._log = open(Path(folder) / f"{name}.log", "wb")
        self.process = None

    def start(self):
        """Starts the process."""
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ
        }
        environment["IBISCART_CONFIG"] = str(self._settings)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        self.process = subprocess.Popen(
            ["python3", "deploy/entry.py"],
            cwd=ROOT,
            env=environment,
            stdin=subprocess.DEVNULL,
            stdout=self._log,
            stderr=self._log,
        )

    def signal(self, number):
        """Sends a signal to the process."""
        self._record.write(f"{self.name} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    def end(self):
        """Ends the process, also if it is stopped."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    async def ready(self):
        """Returns True if the process says that it is ready."""
        status, _ = await call(self.ready_port, "GET", "/ready", deadline_ms=1000)
        return status == 200


class Deployment:
    """Store, runners and entries of one script; ``async with`` starts and ends them."""

    def __init__(self, record, runners, entries, configuration=None):
        self.record = record
        self._configuration = configuration or CONFIGURATION
        self.store = Store()
        self._folder = tempfile.mkdtemp(prefix="review-")
        self.runners = [
            Runner(self.store, f"w{number}", record, rack=f"r{number // 8}")
            for number in range(runners)
        ]
        self._entry_count = entries
        self.entries = []
        # (time, runner, task, run, "start" or how it ended)
        self.events = []

    async def __aenter__(self):
        store = self.store
        await store.server.start()
        store.put("op", "config", self._configuration)
        for runner in self.runners:
            runner.on_start, runner.on_end = self._note_start, self._note_end
            await runner.start()
        for number in range(self._entry_count):
            entry = Entry(f"e{number}", self._folder, store.server.port, self.record)
            self.entries.append(entry)
            entry.start()
        return self

    async def __aexit__(self, *error):
        for entry in self.entries:
            entry.end()
        if os.environ.get("KEEP_LOGS"):
            print("logs:", self._folder)
        else:
            shutil.rmtree(self._folder, ignore_errors=True)

    def _note_start(self, runner, run):
        self.events.append((self.record.now(), runner.name, run.task, run.number, "start"))
        self.record.write(f"runner {runner.name} starts {run.task} run {run.number}")

    def _note_end(self, runner, run, how):
        self.events.append((self.record.now(), runner.name, run.task, run.number, how))
        self.record.write(f"runner {runner.name}: {run.task} run {run.number} ends: {how}")

    def runs_of(self, job_id):
        """Returns (runner, run) of the runs of a job that are on a runner now."""
        return [
            (runner, run)
            for runner in self.runners
            for run in runner.running.values()
            if run.task.startswith(job_id + ".")
        ]

    def starts_of(self, job_id):
        """Returns the times at which tasks of a job were started."""
        return [e[0] for e in self.events if e[2].startswith(job_id + ".") and e[4] == "start"]

    async def wait(self, condition, seconds, what):
        """Waits until a condition holds; raises ``CannotRun`` if it does not."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            result = condition()
            if asyncio.iscoroutine(result):
                result = await result
            if result:
                return
            await asyncio.sleep(0.02)
        raise CannotRun(what)

    async def wait_serving(self):
        """Waits until all entries are ready and a first job has been completed."""
        for entry in self.entries:
            await self.wait(entry.ready, 20, f"{entry.name} is not ready")
        job_id = "00000000000000ff"
        status, _ = await self.submit(self.entries[0], job_id, job(step(gpu=1), ms=200))
        if status != 200:
            raise CannotRun(f"the first job is answered with {status}")
        await self.wait_state(self.entries[0], job_id, "completed", 15)

    async def wait_state(self, entry, job_id, state, seconds):
        """Waits until a job is shown in a state."""

        async def reached():
            return (await self.get(entry, job_id))[1].get("state") == state

        await self.wait(reached, seconds, f"{job_id} is not {state}")

    @property
    def leader(self):
        """Returns the entry that the leader's row in the store names, None without one.

        It only chooses the machine for a disruption; the verdict does not rest on it.
        """
        row = self.store.document("leader", "leader") or {}
        return next((entry for entry in self.entries if entry.name == row.get("node")), None)

    async def submit(self, entry, job_id, document, *, prefix="/q/", key=API_KEY):
        """Hands a job in; returns (status, document)."""
        return await self._call(entry, "POST", job_id, document, prefix=prefix, key=key)

    async def cancel(self, entry, job_id):
        """Cancels a job; returns (status, document)."""
        return await self._call(entry, "DELETE", job_id, None)

    async def get(self, entry, job_id, *, silent=True, prefix="/q/", key=API_KEY):
        """Asks for a job; returns (status, document)."""
        status, document = await self._call(
            entry, "GET", job_id, None, silent=silent, prefix=prefix, key=key
        )
        return status, document or {}

    async def _call(
        self, entry, method, job_id, document, *, silent=False, prefix="/q/", key=API_KEY
    ):
        if not silent:
            self.record.write(f"client sends {method} {job_id} to {entry.name}")
        result = await call(entry.front_port, method, prefix + job_id, document, key=key)
        if not silent:
            status, answer = result
            text = f"{status} {json.dumps(answer)}" if status else "no answer; the client leaves"
            self.record.write(f"client gets for {method} {job_id}: {text}")
        return result


class CannotRun(Exception):
    """The case could not run; the text says why."""


def route(name, priority):
    """Returns a queue of the configuration, under the path of its name."""
    return {
        "name": name,
        "host": QUEUE_HOST,
        "pathPrefix": f"/{name}/",
        "service": "pool",
        "priority": priority,
        "maxAttempts": 2,
        "stretch": 3.0,
        "targetLatencyMs": 1000,
    }


CONFIGURATION = {
    "version": 3,
    "routes": [route("q", 1)],
    "services": [{"name": "pool", "admissionCheck": False}],
    "tenants": [{"name": "a", "apiKeys": [API_KEY]}],
    "limits": {},
}


def step(count=1, gpu=1, **fields):
    """Returns a step of ``count`` tasks."""
    return {"count": count, "cpu": 1000, "memMb": 1000, "gpu": gpu, "estimateMs": 2000, **fields}


def job(*steps, ms):
    """Returns the body of a submission whose tasks work for ``ms`` milliseconds, 0 for ever."""
    return {"spec": json.dumps({"ms": ms}), "steps": list(steps)}


def main(folder, play):
    """Runs ``play(record, trouble)``, a coroutine that returns True if the rule was broken.

    Exits with 1 if it was, 0 if it held, 2 if the case could not run.
    """
    record = Record(folder)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(2))

    async def bounded():
        async with asyncio.timeout(110):
            return await play(record, trouble)

    try:
        broken = asyncio.run(bounded())
    except (CannotRun, TimeoutError, OSError) as error:
        record.write(f"the case could not run: {type(error).__name__}: {error}")
        sys.exit(2)
    record.write("THE RULE WAS BROKEN" if broken else "the rule held")
    sys.exit(1 if broken else 0)
