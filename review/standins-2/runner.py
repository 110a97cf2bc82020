"""Stand-in of a runner, one process; what happens on it is printed as lines of JSON.

Usage: runner.py ID HOST:PORT STORE GANGS SERVICE ZONE LABELS CAPACITY, the last two as JSON.
A task's spec is JSON: ``ms`` is its run time, or ``lasts`` is true for a task that lasts. ``gang``
is the number of members of a gang; they meet at the address GANGS, see ``gangs.py``.
"""

import asyncio
import json
import sys
import time

import http_json

MAX_HOLD_MS = 6000
GANG_POLL_S = 0.02
STOP_S = 0.1
HEARTBEAT_S = 1.5


class Run:
    def __init__(self, number, spec):
        self.number = number
        self.spec = spec
        self.began = time.monotonic()
        self.stopping = False


class Runner:
    def __init__(self, name, address, store, gangs, service, zone, labels, capacity):
        self.name, self.address, self.store, self.gangs = name, address, store, gangs
        self.entry = {
            "service": service,
            "address": address,
            "zone": zone,
            "version": "1",
            "slots": 8,
            "state": "ready",
            "coldLeftMs": 0,
            "seq": 0,
            "capacity": capacity,
            "labels": labels,
            "born": int(time.time() * 1000),
        }
        self.started = time.monotonic()
        self.fence = 0
        self.deadline_ms = 0
        self.runs = {}
        self.ends = []
        self.last_end = 0
        self.barred = {}
        self.changed = asyncio.Event()

    def clock(self):
        return int((time.monotonic() - self.started) * 1000) + 1000

    def note(self, event, **fields):
        print(json.dumps({"event": event, "id": self.name, **fields}), flush=True)

    async def main(self):
        host, _, port = self.address.rpartition(":")
        server = await http_json.serve(host, int(port), self.handle)
        self.note("up", born=self.entry["born"], labels=self.entry["labels"])
        asyncio.create_task(self.expire())
        asyncio.create_task(self.heartbeat())
        async with server:
            await server.serve_forever()

    async def heartbeat(self):
        while True:
            self.entry["seq"] += 1
            beat = {"id": self.name, "entry": self.entry}
            began = time.monotonic()
            await http_json.call(self.store, "POST", "/heartbeat", beat, timeout=HEARTBEAT_S)
            await asyncio.sleep(max(0.0, began + HEARTBEAT_S - time.monotonic()))

    async def expire(self):
        while True:
            await asyncio.sleep(0.01)
            if self.clock() >= self.deadline_ms:
                for task in list(self.runs):
                    self.end(task, "lapsed")

    def end(self, task, how):
        run = self.runs.pop(task)
        self.last_end += 1
        self.ends.append([self.last_end, task, run.number, how, ""])
        self.barred[task] = max(self.barred.get(task, 0), run.number)
        self.note("run-ended", task=task, run=run.number, how=how)
        if run.spec.get("gang") and how not in ("done", "broken"):
            member = {"runner": self.name, "task": task, "run": run.number}
            asyncio.create_task(http_json.call(self.gangs, "POST", "/leave", member))
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    async def work(self, task, run):
        if run.spec.get("gang"):
            await self.work_in_gang(task, run)
            return
        if run.spec.get("lasts"):
            return
        await asyncio.sleep(run.spec["ms"] / 1000)
        if self.runs.get(task) is run and not run.stopping:
            self.end(task, "done")

    async def work_in_gang(self, task, run):
        """Takes part in a gang until it has ended, or alone for too long."""
        member = {"runner": self.name, "task": task, "run": run.number, "spec": run.spec}
        while self.runs.get(task) is run and not run.stopping:
            status, gang = await http_json.call(self.gangs, "POST", "/join", member)
            if status == 200 and gang["over"] and self.runs.get(task) is run and not run.stopping:
                self.end(task, gang["over"])
                return
            await asyncio.sleep(GANG_POLL_S)

    async def stop_later(self, task, run):
        await asyncio.sleep(STOP_S)
        if self.runs.get(task) is run:
            self.end(task, "stopped")

    def answer(self, status=200, **fields):
        return status, {"clockMs": self.clock(), "born": self.entry["born"], **fields}

    async def handle(self, request):
        if request.headers.get("x-expect-instance", self.name) != self.name:
            return self.answer(421)
        call = request.json()
        if request.path in ("/run-start", "/run-stop", "/hold"):
            if call.get("fence", 0) < self.fence:
                return self.answer(409, reason="fence")
            self.fence = call.get("fence", 0)
        if request.path == "/run-start":
            return self.start(call)
        if request.path == "/run-stop":
            task, number = call["task"], call["run"]
            self.note("stop-ordered", task=task, run=number, fence=self.fence)
            self.barred[task] = max(self.barred.get(task, 0), number)
            run = self.runs.get(task)
            if run is not None and run.number <= number and not run.stopping:
                run.stopping = True
                asyncio.create_task(self.stop_later(task, run))
            return self.answer()
        if request.path == "/hold":
            return await self.hold(call)
        return 404, {}

    def extend(self, deadline_ms):
        granted = min(deadline_ms, self.clock() + MAX_HOLD_MS)
        self.deadline_ms = max(self.deadline_ms, granted)

    def start(self, call):
        task, number = call["task"], call["run"]
        run = self.runs.get(task)
        if run is not None and run.number == number:
            self.extend(call["deadlineMs"])
            return self.answer()
        if call["deadlineMs"] <= self.clock():
            return self.answer(409, reason="late")
        self.extend(call["deadlineMs"])
        if run is not None or number <= self.barred.get(task, 0):
            return self.answer(409, reason="old")
        self.runs[task] = run = Run(number, json.loads(call["spec"]))
        self.note("run-started", task=task, run=number, fence=self.fence)
        asyncio.create_task(self.work(task, run))
        return self.answer()

    async def hold(self, call):
        if "deadlineMs" in call:
            self.extend(call["deadlineMs"])
        cursor = call.get("ackCursor", 0)
        for end in self.ends:
            if end[0] <= cursor:
                self.note("end-noted", task=end[1], run=end[2], how=end[3])
        self.ends = [end for end in self.ends if end[0] > cursor]
        deadline = time.monotonic() + min(2000, call.get("waitMs", 0)) / 1000
        while not self.ends and (left := deadline - time.monotonic()) > 0:
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except TimeoutError:
                pass
        rows = [[task, run.number, "", self.percent(run), 0] for task, run in self.runs.items()]
        return self.answer(running=rows, endedRuns=self.ends[:500])

    def percent(self, run):
        if run.spec.get("lasts"):
            return 100
        return min(99, int((time.monotonic() - run.began) * 100_000 / run.spec["ms"]))


*texts, labels, capacity = sys.argv[1:]
runner = Runner(*texts, json.loads(labels), json.loads(capacity))
asyncio.run(runner.main())
