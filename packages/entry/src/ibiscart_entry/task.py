"""
ibiscart_entry.task
~~~~~~~~~~~~~~~~~~~

Calls to workers about tasks, all idempotent by task id.
"""

import json
from urllib.parse import quote

import trio
from google.protobuf.json_format import MessageToDict, ParseDict, ParseError

from ibiscart_core.job import JobKey
from ibiscart_entry.client import TransportError
from ibiscart_schema.generated.target_pb2 import RenewLeases, TaskStatus

__all__ = ["TaskCalls", "TaskError", "parse_task_id", "retry_times"]

CALLS_AT_ONCE = 128
# a worker that does not answer must not hold up the calls to the others
CALLS_TO_ONE_WORKER = 8
CALL_SECONDS = 1.0
FIRST_RETRY_SECONDS = 0.1
LONGEST_RETRY_SECONDS = 1.0


class TaskError(Exception):
    """A call to a worker without a usable answer.

    ``reason`` is that of ``TransportError``, or ``unknown_task``, ``leaving``, ``refused_task``
    or ``bad_answer``.
    """

    def __init__(self, reason):
        super().__init__(reason)
        self.reason = reason


class TaskState:
    """State of one task in a worker's list."""

    __slots__ = ("saved_seconds", "state", "task_id")

    def __init__(self, task_id, state, saved_seconds):
        self.task_id = task_id
        self.state = state
        self.saved_seconds = saved_seconds


class TaskList:
    """All tasks on a worker, and whether it accepts no new ones.

    Built from JSON by hand: a message for each task of each renewal costs several times
    the processor time.
    """

    __slots__ = ("leaving", "tasks")

    def __init__(self, tasks, leaving):
        self.tasks = tasks
        self.leaving = leaving

    @classmethod
    def from_json(cls, fields):
        """Builds the list from a decoded ``TaskStatusList``; raises ``ValueError``."""
        tasks = []
        for item in fields.get("tasks", ()):
            saved = item.get("saved_seconds", 0)
            state = TaskState(item.get("task_id"), item.get("state"), saved)
            texts = isinstance(state.task_id, str) and isinstance(state.state, str)
            if not texts or not isinstance(saved, int | float):
                raise ValueError("malformed task")
            tasks.append(state)
        return cls(tasks, bool(fields.get("leaving")))


class TaskCalls:
    """Sends calls to the workers of the ledger.

    ``connect`` builds a client from an address. ``on_sign`` is called with a worker id and a
    cause when a worker refuses a connection or says that it is leaving.
    """

    def __init__(self, connect, metrics, on_sign):
        self._connect = connect
        self._metrics = metrics
        self._on_sign = on_sign
        self._clients = {}
        self._limiter = trio.CapacityLimiter(CALLS_AT_ONCE)
        self._worker_limiters = {}
        self._extended_until = {}

    def extended_until(self, worker_id):
        """Returns when the last lease that this entry could have extended there ends.

        In seconds of the monotonic clock of this process.
        """
        return self._extended_until.get(worker_id, float("-inf"))

    async def start(self, worker, message, timeout=CALL_SECONDS):
        """Starts a task; returns the ``TaskStatus``, also of a task that is known there."""
        return await self._task_call(
            worker, "start", "/v1/tasks", message, message.lease_seconds, timeout
        )

    async def release(self, worker, task_id, lease_seconds, timeout=CALL_SECONDS):
        """Lets a held task run under the given lease."""
        message = RenewLeases(task_ids=[task_id], lease_seconds=lease_seconds)
        path = _path(task_id, "release")
        return await self._task_call(worker, "release", path, message, lease_seconds, timeout)

    async def checkpoint(self, worker, task_id, timeout):
        """Makes a task save its work; returns the ``TaskStatus`` with ``saved_seconds``."""
        path = _path(task_id, "checkpoint")
        return await self._task_call(worker, "checkpoint", path, None, 0, timeout)

    async def stop(self, worker, task_id, timeout=CALL_SECONDS):
        """Stops a task; a task that has ended keeps its state."""
        return await self._task_call(worker, "stop", _path(task_id, "stop"), None, 0, timeout)

    async def renew(self, worker, task_ids, lease_seconds, timeout=CALL_SECONDS):
        """Renews leases; returns the ``TaskList`` of the worker."""
        message = RenewLeases(task_ids=task_ids, lease_seconds=lease_seconds)
        extends = lease_seconds if task_ids else 0
        response = await self._call(
            worker, "renew", "POST", "/v1/leases", message, extends, timeout
        )
        return self._parse(worker, response, TaskList.from_json)

    async def tasks(self, worker, timeout=CALL_SECONDS):
        """Returns the ``TaskList`` without renewing anything."""
        response = await self._call(worker, "list", "GET", "/v1/tasks", None, 0, timeout)
        return self._parse(worker, response, TaskList.from_json)

    async def aclose(self):
        """Closes the idle connections."""
        for client in self._clients.values():
            await client.aclose()

    async def _task_call(self, worker, name, path, message, lease_seconds, timeout):
        response = await self._call(worker, name, "POST", path, message, lease_seconds, timeout)
        status = self._parse(worker, response, _task_status)
        expected = message.task_id if name == "start" else None
        if expected is not None and status.task_id != expected:
            raise self._error("bad_answer")
        return status

    async def _call(self, worker, name, method, path, message, lease_seconds, timeout):
        body = b""
        headers = ()
        if message is not None:
            fields = MessageToDict(message, preserving_proto_field_name=True)
            body = json.dumps(fields).encode()
            headers = (("content-type", "application/json"),)
        self._metrics.count("target_calls", name)
        client = await self._client(worker)
        try:
            async with self._worker_limiter(worker.id), self._limiter:
                return await client.request(
                    method, path, body=body, headers=headers, timeout=timeout
                )
        except TransportError as error:
            if error.reason == "refused":
                self._on_sign(worker.id, "connection_refused")
            raise self._error(error.reason) from None
        finally:
            # a call that got no answer may take effect until it was given up
            if lease_seconds:
                until = trio.current_time() + lease_seconds
                self._extended_until[worker.id] = max(until, self.extended_until(worker.id))

    def _worker_limiter(self, worker_id):
        limiter = self._worker_limiters.get(worker_id)
        if limiter is None:
            limiter = trio.CapacityLimiter(CALLS_TO_ONE_WORKER)
            self._worker_limiters[worker_id] = limiter
        return limiter

    async def _client(self, worker):
        client = self._clients.get(worker.id)
        if client is None or client.address != worker.address:
            self._clients[worker.id] = self._connect(worker.address)
            if client is not None:
                await client.aclose()
        return self._clients[worker.id]

    def _parse(self, worker, response, build):
        if response.status == 404:
            raise self._error("unknown_task")
        try:
            fields = json.loads(response.body)
            if response.status == 503:
                if fields.get("leaving"):
                    self._on_sign(worker.id, "own_answer")
                    raise self._error("leaving")
                raise self._error("refused_task")
            if response.status == 200:
                return build(fields)
        except (ValueError, AttributeError, TypeError, ParseError):
            pass
        raise self._error("bad_answer")

    def _error(self, reason):
        self._metrics.count("target_errors", reason)
        return TaskError(reason)


def parse_task_id(task_id):
    """Returns (job key, attempt, rank), or None for an id of another form."""
    parts = task_id.split("/")
    if len(parts) != 4 or not (parts[2].isdecimal() and parts[3].isdecimal()):
        return None
    return JobKey(parts[0], parts[1]), int(parts[2]), int(parts[3])


def retry_times(random):
    """Yields the seconds to wait before each repetition of a call, with jitter."""
    seconds = FIRST_RETRY_SECONDS
    while True:
        yield seconds * random.uniform(0.5, 1)
        seconds = min(seconds * 2, LONGEST_RETRY_SECONDS)


def _task_status(fields):
    return ParseDict(fields, TaskStatus(), ignore_unknown_fields=True)


def _path(task_id, action):
    return f"/v1/tasks/{quote(task_id, safe='')}/{action}"
