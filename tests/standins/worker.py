"""
tests.standins.worker
~~~~~~~~~~~~~~~~~~~~~

Double of a worker: starts whatever it is given and ends leases by its own clock.

The payload of a task states its behaviour: ``run_seconds=2``, and ``fail_after=1`` for
a task that fails. Run as ``python -m tests.standins.worker --port 0 --id w1``; it prints
``ready PORT``.
"""

import argparse
import json
import signal

import trio
from google.protobuf.json_format import MessageToDict, ParseDict, ParseError

from ibiscart_core.resource import Resources
from ibiscart_entry.server import Response
from ibiscart_schema.generated.settings_pb2 import ServerSettings
from ibiscart_schema.generated.target_pb2 import (
    RenewLeases,
    StartTask,
    TaskStatus,
    TaskStatusList,
)
from tests.standins.action_log import ActionLog, parse_payload
from tests.standins.fault import MemoryClient, TargetFaults, serve_target

__all__ = ["WorkerDouble"]

DEFAULT_LEASE_SECONDS = 30.0
DEFAULT_RUN_SECONDS = 3600.0
FAILING_TASK_SECONDS = 0.05
ENDED_KEPT = 1000


class _Task:
    def __init__(self, message, now, fail):
        behaviour = parse_payload(message.payload)
        self.id = message.task_id
        self.resources = Resources.from_message(message.resources)
        self.state = "held" if message.held else "running"
        self.lease_until = now + (message.lease_seconds or DEFAULT_LEASE_SECONDS)
        self.done = message.resume_from_seconds
        self.saved = message.resume_from_seconds
        self.since = now
        self.run_seconds = behaviour.get("run_seconds", DEFAULT_RUN_SECONDS)
        self.fail_after = behaviour.get("fail_after")
        if fail:
            self.fail_after = self.done + FAILING_TASK_SECONDS

    @property
    def open(self):
        return self.state in ("held", "running")

    def worked(self, now):
        """Run time in seconds over all attempts."""
        return self.done + (now - self.since if self.state == "running" else 0)

    def next_end(self):
        """Returns (time, state) of the end that comes first."""
        ends = [(self.lease_until, "lapsed")]
        if self.state == "running":
            ends.append((self.since + self.run_seconds - self.done, "completed"))
            if self.fail_after is not None:
                ends.append((self.since + self.fail_after - self.done, "failed"))
        return min(ends)

    def change(self, state, now):
        self.done = self.worked(now)
        self.since = now
        self.state = state

    def status(self, now):
        return TaskStatus(
            task_id=self.id,
            state=self.state,
            saved_seconds=self.saved,
            run_seconds=self.worked(now),
        )


class WorkerDouble:
    """A worker; ``overcommitted`` counts starts that exceeded its capacity.

    ``calls`` lists (method, path) of each request that took effect.
    """

    def __init__(self, worker_id, capacity=None, trace_path=""):
        self.id = worker_id
        self.faults = TargetFaults()
        self.action_log = ActionLog(worker_id, trace_path)
        self.tasks = {}
        self.capacity = capacity
        self.overcommitted = 0
        self.calls = []
        self._changed = trio.Event()

    def client(self):
        """Returns a client that calls this worker without sockets."""
        return MemoryClient(self.handle, self.faults)

    def states(self):
        """Present state of each task by id."""
        self._advance()
        return {task.id: task.state for task in self.tasks.values()}

    def restart(self):
        """Loses all tasks, as a worker does that was started anew."""
        self.tasks.clear()

    async def run(self, task_status=trio.TASK_STATUS_IGNORED):
        """Ends tasks when they are due, so that the record is in order of time."""
        task_status.started()
        while True:
            self._advance()
            due = [task.next_end()[0] for task in self.tasks.values() if task.open]
            with trio.move_on_at(min(due, default=float("inf"))):
                await self._changed.wait()

    async def handle(self, request):
        """Serves one request of the worker interface."""
        self._advance()
        parts = request.path.split("/")
        self.calls.append((request.method, request.path))
        try:
            if request.path == "/v1/tasks":
                if request.method == "GET":
                    return self._list()
                return self._start(_parse(request.body, StartTask()))
            if request.path == "/v1/leases":
                return self._renew(_parse(request.body, RenewLeases()))
            if request.path.startswith("/v1/tasks/"):
                return self._act("/".join(parts[3:-1]), parts[-1], request.body)
        except ParseError as error:
            return Response.from_json(400, {"error": str(error)})
        return Response.from_json(404, {"error": "no such path"})

    def _start(self, message):
        task = self.tasks.get(message.task_id)
        if task is None:
            if self.faults.leaving or self.faults.consume("refuse"):
                return Response.from_json(503, {"leaving": bool(self.faults.leaving)})
            task = _Task(message, trio.current_time(), self.faults.fail_everything)
            self.tasks[task.id] = task
            self._note(task, "started")
            self._check_capacity()
            self._wake()
        return self._status(task)

    def _renew(self, message):
        now = trio.current_time()
        for task_id in message.task_ids:
            task = self.tasks.get(task_id)
            if task is not None and task.open:
                task.lease_until = max(task.lease_until, now + message.lease_seconds)
        self._wake()
        return self._list()

    def _act(self, task_id, action, body):
        now = trio.current_time()
        task = self.tasks.get(task_id)
        if task is None:
            return Response.from_json(404, {"error": "no such task"})
        if action == "release" and task.state == "held":
            message = _parse(body, RenewLeases())
            task.change("running", now)
            task.lease_until = now + (message.lease_seconds or DEFAULT_LEASE_SECONDS)
            self._note(task, "released")
        elif action == "checkpoint" and task.open:
            task.saved = task.worked(now)
        elif action == "throttle" and task.state == "running":
            task.change("held", now)
        elif action == "stop" and task.open:
            task.change("stopped", now)
            self._note(task, "stopped")
        elif action not in ("release", "checkpoint", "throttle", "stop"):
            return Response.from_json(404, {"error": "no such action"})
        self._wake()
        return self._status(task)

    def _list(self):
        now = trio.current_time()
        message = TaskStatusList(
            tasks=[task.status(now) for task in self.tasks.values()],
            leaving=bool(self.faults.leaving),
        )
        return _json(message)

    def _status(self, task):
        return _json(task.status(trio.current_time()))

    def _advance(self):
        now = trio.current_time()
        for task in self.tasks.values():
            while task.open:
                time, state = task.next_end()
                if time > now:
                    break
                task.change(state, time)
                self._note(task, state)
        ended = [task_id for task_id, task in self.tasks.items() if not task.open]
        for task_id in ended[:-ENDED_KEPT]:
            del self.tasks[task_id]

    def _check_capacity(self):
        if self.capacity is None:
            return
        used = Resources()
        for task in self.tasks.values():
            if task.open:
                used = used + task.resources
        if not self.capacity.covers(used):
            self.overcommitted += 1

    def _note(self, task, action):
        account, request_id, attempt, rank = task.id.split("/")
        self.action_log.add(action, account, request_id, int(attempt), int(rank))

    def _wake(self):
        self._changed.set()
        self._changed = trio.Event()


def _parse(body, message):
    try:
        return ParseDict(json.loads(body or b"{}"), message)
    except ValueError as error:
        raise ParseError(str(error)) from None


def _json(message):
    fields = MessageToDict(
        message, preserving_proto_field_name=True, always_print_fields_with_no_presence=True
    )
    return Response.from_json(200, fields)


async def _main(options):
    worker = WorkerDouble(options.id, trace_path=options.trace)
    settings = ServerSettings(
        address=f"{options.host}:{options.port}",
        max_connections=512,
        max_body_bytes=1 << 20,
        header_timeout_seconds=10,
        body_timeout_seconds=30,
    )
    async with trio.open_nursery() as nursery:
        with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            await nursery.start(worker.run)
            port = await nursery.start(serve_target, worker.handle, settings, worker.faults)
            print(f"ready {port}", flush=True)
            await signals.__anext__()
            nursery.cancel_scope.cancel()


def main():
    parser = argparse.ArgumentParser(description="Double of a worker.")
    parser.add_argument("--host", default="127.0.0.1")
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--id", default="worker")
    parser.add_argument("--trace", default="", help="file for TraceEvent lines")
    trio.run(_main, parser.parse_args())


if __name__ == "__main__":
    main()
