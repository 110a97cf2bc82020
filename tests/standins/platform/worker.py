"""
tests.standins.platform.worker
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Stand-in for the platform's workers: leases, fences, ends, gangs and late orders.
"""

import json
import random

import trio

from ibiscart_entry.server import Response

__all__ = ["WorkerFleet", "WorkerStandIn"]

SILENT_SECONDS = 30.0
STOP_SECONDS = 0.1
GANG_SECONDS = 3.0
MAX_LEASE_MS = 6000
FIRST_CLOCK_MS = 1000


class WorkerFleet:
    """All workers; checks what must hold over them. Payloads are JSON with ``ms``, ``fail``
    (runs that fail) and ``gang`` (number of members)."""

    def __init__(self):
        self.workers = {}
        self.violations = []
        self.done = {}
        self.starts = {}

    def live_runs(self, task):
        """Returns (worker id, run) of a task on all workers."""
        return [
            (worker.id, worker.running[task].number)
            for worker in self.workers.values()
            if task in worker.running
        ]

    def check_start(self, worker, task, run):
        """Records a violation when the task runs elsewhere or has been done."""
        self.starts[task] = self.starts.get(task, 0) + 1
        others = [found for found in self.live_runs(task) if found != (worker.id, run)]
        if others:
            self.violations.append(f"{task} run {run} on {worker.id} beside {others}")
        if self.done.get(task):
            self.violations.append(f"{task} run {run} on {worker.id} after it was acknowledged")

    def gang_ready(self, task, run, members):
        """Whether all members of a gang's run are present."""
        prefix = task.rsplit(".", 1)[0]
        present = sum(
            1
            for worker in self.workers.values()
            for name, found in worker.running.items()
            if name.rsplit(".", 1)[0] == prefix and found.number == run
        )
        return present >= members

    def end_gang(self, task, run, how):
        """Ends the other members of a gang's run."""
        prefix = task.rsplit(".", 1)[0]
        for worker in self.workers.values():
            for name, found in list(worker.running.items()):
                if name.rsplit(".", 1)[0] == prefix and found.number == run:
                    worker.end(name, how)


class _Run:
    __slots__ = ("number", "scope", "stopping")

    def __init__(self, number):
        self.number = number
        self.scope = trio.CancelScope()
        self.stopping = False


class WorkerStandIn:
    """One worker; ``handle`` answers its calls. Faults are attributes that tests set.

    ``late_rate`` is the probability that a start order gets no answer and is carried out
    ``late_seconds`` later. No call is answered while ``unresponsive``, and no call of the path
    ``unanswered_path``. With ``fail_all_runs`` every run fails.
    """

    def __init__(self, fleet, worker_id, nursery, *, accelerators=8, seed=0, wall=lambda: 0):
        self.id = worker_id
        self.fleet = fleet
        self.accelerators = accelerators
        self.late_rate = 0.0
        self.late_seconds = 2.0
        self.unresponsive = False
        self.unanswered_path = ""
        self.fail_all_runs = False
        self.random = random.Random(f"{seed}/{worker_id}")
        self.incarnation = 1
        self._wall = wall
        self._nursery = nursery
        fleet.workers[worker_id] = self
        self._reset()
        nursery.start_soon(self._expire)

    @property
    def clock_ms(self):
        """The worker's own clock."""
        return int((trio.current_time() - self._started) * 1000) + FIRST_CLOCK_MS

    def restart(self):
        """Starts again under the same id: nothing runs and nothing is known."""
        for run in self.running.values():
            run.scope.cancel()
        self.incarnation += 1
        self._reset()

    def registration(self, address, service="pool", rack="r0", state="ready"):
        """Returns the row that the worker writes of itself."""
        capacity = {"cpu": 64000, "memMb": 64000, "gpu": self.accelerators}
        return {
            "service": service,
            "address": address,
            "zone": "z",
            "state": state,
            "capacity": capacity,
            "labels": ["a", rack],
            "born": self.incarnation,
        }

    async def handle(self, request):
        """Answers one call."""
        if self.unresponsive or request.path == self.unanswered_path:
            await trio.sleep(SILENT_SECONDS)
        call = json.loads(request.body)
        if request.path == "/run-start":
            if self.late_rate and self.random.random() < self.late_rate:
                self._nursery.start_soon(self._start_late, call)
                await trio.sleep(SILENT_SECONDS)
            return self._start(call)
        if request.path == "/run-stop":
            return self._answer(self._fenced(call) or self._stop(call))
        if request.path == "/hold":
            return await self._hold(call)
        return Response.from_json(404, {})

    def end(self, task, how):
        """Ends a run and lists the end."""
        run = self.running.pop(task)
        run.scope.cancel()
        self._last_end += 1
        self.ended.append([self._last_end, task, run.number, how, ""])
        self.highest[task] = max(self.highest.get(task, 0), run.number)
        changed, self._changed = self._changed, trio.Event()
        changed.set()

    def _reset(self):
        self.running = {}
        self.ended = []
        self.highest = {}
        self.fence = 0
        self._deadline_ms = 0
        self._last_end = 0
        self._started = trio.current_time()
        self._changed = trio.Event()

    def _answer(self, reason, status=409):
        body = {"clockMs": self.clock_ms, "born": self.incarnation}
        if reason:
            return Response.from_json(status, {**body, "reason": reason})
        return Response.from_json(200, body)

    def _fenced(self, call):
        if call.get("fence", 0) < self.fence:
            return "fence"
        self.fence = call.get("fence", 0)
        return ""

    def _extend(self, call):
        wanted = call.get("deadlineMs", 0)
        self._deadline_ms = max(self._deadline_ms, min(wanted, self.clock_ms + MAX_LEASE_MS))

    async def _start_late(self, call):
        incarnation = self.incarnation
        await trio.sleep(self.late_seconds)
        if incarnation == self.incarnation:
            self._start(call)

    def _start(self, call):
        reason = self._fenced(call)
        if reason:
            return self._answer(reason)
        task, number = call["task"], call["run"]
        present = self.running.get(task)
        if present is not None and present.number == number:
            self._extend(call)
            return self._answer("")
        if call["deadlineMs"] <= self.clock_ms:
            return self._answer("late")
        self._extend(call)
        if number <= self.highest.get(task, 0) or present is not None:
            return self._answer("old")
        self.running[task] = run = _Run(number)
        self.fleet.check_start(self, task, number)
        self._nursery.start_soon(self._work, task, run, json.loads(call["spec"]))
        return self._answer("")

    async def _work(self, task, run, spec):
        with run.scope:
            members = spec.get("gang", 0)
            with trio.move_on_after(GANG_SECONDS) as waiting:
                while members and not self.fleet.gang_ready(task, run.number, members):
                    await trio.sleep(0.02)
            if waiting.cancelled_caught:
                self.end(task, "alone")
                return
            await trio.sleep(spec.get("ms", 1000) / 1000)
            failed = self.fail_all_runs or run.number <= spec.get("fail", 0)
            how = "failed" if failed else "done"
            self.end(task, how)
            if members:
                self.fleet.end_gang(task, run.number, "broken" if failed else "done")

    def _stop(self, call):
        task, number = call["task"], call["run"]
        self.highest[task] = max(self.highest.get(task, 0), number)
        run = self.running.get(task)
        if run is not None and run.number <= number and not run.stopping:
            run.stopping = True
            run.scope.cancel()
            self._nursery.start_soon(self._stop_soon, task, run)
        return ""

    async def _stop_soon(self, task, run):
        await trio.sleep(STOP_SECONDS)
        if self.running.get(task) is run:
            self.end(task, "stopped")

    async def _hold(self, call):
        reason = self._fenced(call)
        if reason:
            return self._answer(reason)
        self._extend(call)
        acknowledged = call["ackCursor"]
        for end in self.ended:
            if end[0] <= acknowledged and end[3] == "done":
                self.fleet.done[end[1]] = True
        self.ended = [end for end in self.ended if end[0] > acknowledged]
        with trio.move_on_after(call.get("waitMs", 0) / 1000):
            while not self.ended:
                await self._changed.wait()
        rows = [[task, run.number, "", 100] for task, run in self.running.items()]
        body = {"clockMs": self.clock_ms, "running": rows, "endedRuns": self.ended}
        return Response.from_json(200, {**body, "born": self.incarnation})

    async def _expire(self):
        while True:
            await trio.sleep(0.05)
            if self._deadline_ms <= self.clock_ms:
                for task in list(self.running):
                    self.end(task, "lapsed")
