"""
tests.standins.worker
~~~~~~~~~~~~~~~~~~~~~

Test double of a worker: starts every task that it gets and expires leases by its own clock.

The payload of a task sets its behaviour: ``run_seconds=2`` is its run time, ``fail_after=1``
makes it fail after 1 s of run time. Run as ``python -m tests.standins.worker --port 0 --id w1``;
it prints ``ready PORT``.
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
FAILING_TASK_RUN_SECONDS = 0.05
MAX_ENDED_TASKS = 1000


class _Task:
    def __init__(self, message, now, fail_immediately):
        behaviour = parse_payload(message.payload)
        self.id = message.task_id
        self.resources = Resources.from_message(message.resources)
        self.state = "held" if message.held else "running"
        self.lease_until = now + (message.lease_seconds or DEFAULT_LEASE_SECONDS)
        self.done_seconds = message.resume_from_seconds
        self.checkpoint_seconds = message.resume_from_seconds
        self.state_since = now
        self.run_seconds = behaviour.get("run_seconds", DEFAULT_RUN_SECONDS)
        self.fail_after = behaviour.get("fail_after")
        if fail_immediately:
            self.fail_after = self.done_seconds + FAILING_TASK_RUN_SECONDS

    @property
    def is_active(self):
        return self.state in ("held", "running")

    def total_run_seconds(self, now):
        """Returns the run time in seconds, including that before a resumed checkpoint."""
        return self.done_seconds + (now - self.state_since if self.state == "running" else 0)

    def next_transition(self):
        """Returns (time, state) of the earliest end: a lapsed lease, completion or failure."""
        transitions = [(self.lease_until, "lapsed")]
        if self.state == "running":
            transitions.append(
                (self.state_since + self.run_seconds - self.done_seconds, "completed")
            )
            if self.fail_after is not None:
                transitions.append(
                    (self.state_since + self.fail_after - self.done_seconds, "failed")
                )
        return min(transitions)

    def change(self, state, now):
        """Enters a state at time ``now``; keeps the run time up to then."""
        self.done_seconds = self.total_run_seconds(now)
        self.state_since = now
        self.state = state

    def status(self, now):
        """Returns the ``TaskStatus`` at time ``now``."""
        return TaskStatus(
            task_id=self.id,
            state=self.state,
            saved_seconds=self.checkpoint_seconds,
            run_seconds=self.total_run_seconds(now),
        )


class WorkerDouble:
    """A worker; ``overcommitted`` counts starts after which tasks exceeded its capacity.

    ``calls`` has (method, path) of every request that reached ``handle``.
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
        """Returns a client that calls ``handle`` directly."""
        return MemoryClient(self.handle, self.faults)

    def states(self):
        """Returns the current state of each task by id."""
        self._advance_tasks()
        return {task.id: task.state for task in self.tasks.values()}

    def restart(self):
        """Drops all tasks, like a worker process that restarted."""
        self.tasks.clear()

    async def run(self, task_status=trio.TASK_STATUS_IGNORED):
        """Ends tasks when they are due, so that the action log is in chronological order."""
        task_status.started()
        while True:
            self._advance_tasks()
            due_times = [
                task.next_transition()[0] for task in self.tasks.values() if task.is_active
            ]
            with trio.move_on_at(min(due_times, default=float("inf"))):
                await self._changed.wait()

    async def handle(self, request):
        """Handles one request of the worker interface."""
        self._advance_tasks()
        parts = request.path.split("/")
        self.calls.append((request.method, request.path))
        try:
            if request.path == "/v1/tasks":
                if request.method == "GET":
                    return self._list_response()
                return self._start_task(_parse_message(request.body, StartTask()))
            if request.path == "/v1/leases":
                return self._renew_leases(_parse_message(request.body, RenewLeases()))
            if request.path.startswith("/v1/tasks/"):
                return self._apply_action("/".join(parts[3:-1]), parts[-1], request.body)
        except ParseError as error:
            return Response.from_json(400, {"error": str(error)})
        return Response.from_json(404, {"error": "no such path"})

    def _start_task(self, message):
        """Starts a task unless one with its id exists; returns its status as a ``Response``."""
        task = self.tasks.get(message.task_id)
        if task is None:
            if self.faults.leaving or self.faults.consume("refuse"):
                return Response.from_json(503, {"leaving": bool(self.faults.leaving)})
            task = _Task(message, trio.current_time(), self.faults.fail_everything)
            self.tasks[task.id] = task
            self._log_action(task, "started")
            self._check_capacity()
            self._notify_change()
        return self._status_response(task)

    def _renew_leases(self, message):
        """Extends the leases of the named tasks; returns the status of all tasks."""
        now = trio.current_time()
        for task_id in message.task_ids:
            task = self.tasks.get(task_id)
            if task is not None and task.is_active:
                task.lease_until = max(task.lease_until, now + message.lease_seconds)
        self._notify_change()
        return self._list_response()

    def _apply_action(self, task_id, action, body):
        """Releases, checkpoints, throttles or stops a task; responds with the task's status."""
        now = trio.current_time()
        task = self.tasks.get(task_id)
        if task is None:
            return Response.from_json(404, {"error": "no such task"})
        if action == "release" and task.state == "held":
            message = _parse_message(body, RenewLeases())
            task.change("running", now)
            task.lease_until = now + (message.lease_seconds or DEFAULT_LEASE_SECONDS)
            self._log_action(task, "released")
        elif action == "checkpoint" and task.is_active:
            task.checkpoint_seconds = task.total_run_seconds(now)
        elif action == "throttle" and task.state == "running":
            task.change("held", now)
        elif action == "stop" and task.is_active:
            task.change("stopped", now)
            self._log_action(task, "stopped")
        elif action not in ("release", "checkpoint", "throttle", "stop"):
            return Response.from_json(404, {"error": "no such action"})
        self._notify_change()
        return self._status_response(task)

    def _list_response(self):
        now = trio.current_time()
        message = TaskStatusList(
            tasks=[task.status(now) for task in self.tasks.values()],
            leaving=bool(self.faults.leaving),
        )
        return _json_response(message)

    def _status_response(self, task):
        return _json_response(task.status(trio.current_time()))

    def _advance_tasks(self):
        """Applies the state changes of tasks that are due by now.

        Forgets all but the last ``MAX_ENDED_TASKS`` ended tasks.
        """
        now = trio.current_time()
        for task in self.tasks.values():
            while task.is_active:
                time, state = task.next_transition()
                if time > now:
                    break
                task.change(state, time)
                self._log_action(task, state)
        ended_ids = [task_id for task_id, task in self.tasks.items() if not task.is_active]
        for task_id in ended_ids[:-MAX_ENDED_TASKS]:
            del self.tasks[task_id]

    def _check_capacity(self):
        """Counts an overcommitment if the active tasks exceed the worker's capacity."""
        if self.capacity is None:
            return
        allocated = Resources()
        for task in self.tasks.values():
            if task.is_active:
                allocated = allocated + task.resources
        if not self.capacity.covers(allocated):
            self.overcommitted += 1

    def _log_action(self, task, action):
        """Logs an action on a task, whose id is ``account/request/attempt/rank``."""
        account, request_id, attempt, rank = task.id.split("/")
        self.action_log.add(action, account, request_id, int(attempt), int(rank))

    def _notify_change(self):
        """Wakes ``run``, as a task's next state change may be due earlier."""
        self._changed.set()
        self._changed = trio.Event()


def _parse_message(body, message):
    """Returns ``message`` filled from JSON; raises ``ParseError`` if the JSON is invalid."""
    try:
        return ParseDict(json.loads(body or b"{}"), message)
    except ValueError as error:
        raise ParseError(str(error)) from None


def _json_response(message):
    """Returns a ``Response`` with a protobuf message as JSON."""
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
    parser = argparse.ArgumentParser(description="Test double of a worker.")
    parser.add_argument("--host", default="127.0.0.1")
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--id", default="worker")
    parser.add_argument("--trace", default="", help="file for TraceEvent lines")
    trio.run(_main, parser.parse_args())


if __name__ == "__main__":
    main()
