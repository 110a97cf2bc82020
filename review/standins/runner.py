"""Stand-in of one runner, as PROTOCOL.md describes it; one process is one life of it.

    python3 runner.py JSON

JSON has ``id``, ``port``, ``control_port``, ``store_port`` (control port of the store), ``events``
(file to which each start and end is appended), ``service``, ``zone``, ``labels``, ``capacity``,
``max_hold_ms``, ``stop_ms``. The spec of a task is JSON with ``ms``, its run time.

The test calls ``control_port``: ``POST /fault`` with ``cut`` (``all``: no call of the system is
read or answered, and the store isn't reached; ``store``: only the store isn't reached; ``none``)
and ``POST /drain``.
"""

import asyncio
import json
import sys
import time

import wire

HEARTBEAT_S = 1.5
ENDS_LISTED = 500


class Runner:
    def __init__(self, options):
        self.options = options
        self.id = options["id"]
        self.started = time.monotonic()
        self.born = time.time_ns() // 1_000_000
        self.running = {}
        self.ended = []
        self.highest = {}
        self.fence = 0
        self.deadline_ms = 0
        self.last_end = 0
        self.ended_event = asyncio.Event()
        self.state = "ready"
        self.cut = "none"
        self.uncut = asyncio.Event()
        self.uncut.set()
        self.seq = 0
        self.events = open(options["events"], "a", buffering=1, encoding="utf-8")
        self.log("up")

    def log(self, event, **fields):
        row = {"at": time.monotonic(), "runner": self.id, "born": self.born, "event": event}
        self.events.write(json.dumps({**row, **fields}) + "\n")

    @property
    def clock_ms(self):
        return int((time.monotonic() - self.started) * 1000)

    def answer(self, status=200, **fields):
        return status, {"clockMs": self.clock_ms, "born": self.born, **fields}

    async def handle(self, call):
        if self.cut == "all":
            # neither the call nor an answer passes the cut, and its connection breaks
            await self.uncut.wait()
            return None
        expected = call.headers.get("x-expect-instance", self.id)
        if expected != self.id:
            return self.answer(421)
        if call.path == "/health":
            return self.answer()
        document = call.json()
        if document.get("fence", 0) < self.fence:
            return self.answer(409, reason="fence")
        self.fence = document.get("fence", 0)
        if call.path == "/run-start":
            answer = self.start(document)
        elif call.path == "/run-stop":
            answer = self.stop(document)
        elif call.path == "/hold":
            answer = await self.hold(document)
        else:
            answer = self.answer(404)
        if self.cut == "all":
            await self.uncut.wait()
            return None
        return answer

    def extend(self, document):
        """Extends the lease of everything that runs here; never shortens it."""
        if "deadlineMs" in document:
            limit = self.clock_ms + self.options["max_hold_ms"]
            self.deadline_ms = max(self.deadline_ms, min(document["deadlineMs"], limit))

    def start(self, document):
        task, run = document["task"], document["run"]
        current = self.running.get(task)
        if current is not None and current["run"] == run:
            self.extend(document)
            return self.answer()
        if document["deadlineMs"] <= self.clock_ms:
            return self.answer(409, reason="late")
        self.extend(document)
        if run <= self.highest.get(task, 0) or current is not None:
            return self.answer(409, reason="old")
        spec = json.loads(document["spec"])
        entry = {"run": run, "stopping": False}
        self.running[task] = entry
        self.log("start", task=task, run=run, fence=document["fence"], clock=self.clock_ms,
                 deadline=self.deadline_ms)
        asyncio.get_running_loop().call_later(
            spec.get("ms", 1000) / 1000, self.finish, task, entry, "done"
        )
        return self.answer()

    def finish(self, task, entry, how):
        """Ends a run unless it has ended before."""
        if self.running.get(task) is not entry or (entry["stopping"] and how == "done"):
            return
        del self.running[task]
        self.last_end += 1
        self.ended.append([self.last_end, task, entry["run"], how, ""])
        self.highest[task] = max(self.highest.get(task, 0), entry["run"])
        self.log("end", task=task, run=entry["run"], how=how, n=self.last_end)
        ended, self.ended_event = self.ended_event, asyncio.Event()
        ended.set()

    def stop(self, document):
        task, run = document["task"], document["run"]
        self.highest[task] = max(self.highest.get(task, 0), run)
        entry = self.running.get(task)
        if entry is not None and entry["run"] <= run and not entry["stopping"]:
            entry["stopping"] = True
            asyncio.get_running_loop().call_later(
                self.options["stop_ms"] / 2000, self.finish, task, entry, "stopped"
            )
        return self.answer()

    async def hold(self, document):
        self.extend(document)
        cursor = document["ackCursor"]
        taken = [row[0] for row in self.ended if row[0] <= cursor]
        if taken:
            self.ended = [row for row in self.ended if row[0] > cursor]
            self.log("ack", first=taken[0], last=taken[-1])
        until = time.monotonic() + document.get("waitMs", 0) / 1000
        while not self.ended and (left := until - time.monotonic()) > 0:
            try:
                await asyncio.wait_for(self.ended_event.wait(), left)
            except asyncio.TimeoutError:
                pass
        rows = [[task, entry["run"], "", 50, 0] for task, entry in self.running.items()]
        return self.answer(running=rows, endedRuns=self.ended[:ENDS_LISTED])

    async def lease(self):
        """Ends everything when the lease expires."""
        lapsed_ms = 0
        while True:
            await asyncio.sleep(0.02)
            if 0 < self.deadline_ms <= self.clock_ms and self.deadline_ms != lapsed_ms:
                lapsed_ms = self.deadline_ms
                self.log("lapse")
                for task, entry in list(self.running.items()):
                    entry["stopping"] = False
                    self.finish(task, entry, "lapsed")

    async def beat(self):
        """Writes the runner's entry in the store about every heartbeat."""
        client = wire.Client("127.0.0.1", self.options["store_port"])
        while True:
            if self.cut == "none":
                await client.call("POST", "/beat", {"id": self.id, "entry": self.entry()})
            await asyncio.sleep(HEARTBEAT_S)

    def entry(self):
        self.seq += 1
        entry = {
            "service": self.options["service"],
            "address": f"127.0.0.1:{self.options['port']}",
            "zone": self.options["zone"],
            "version": "v1",
            "slots": 8,
            "state": self.state,
            "coldLeftMs": 0,
            "capacity": self.options["capacity"],
            "labels": self.options["labels"],
            "clockMs": self.clock_ms,
            "seq": self.seq,
            "born": self.born,
        }
        if self.state == "draining":
            entry["remainingMs"] = max(0, int((self.drain_until - time.monotonic()) * 1000))
        return entry

    async def control(self, call):
        document = call.json() if call.body else {}
        if call.path == "/fault":
            self.cut = document["cut"]
            if self.cut == "all":
                self.uncut.clear()
            else:
                self.uncut.set()
            self.log("cut", what=self.cut)
            return 200, {}
        if call.path == "/drain":
            self.state = "draining"
            self.drain_until = time.monotonic() + document["drain_ms"] / 1000
            client = wire.Client("127.0.0.1", self.options["store_port"])
            await client.call("POST", "/beat", {"id": self.id, "entry": self.entry()})
            self.log("draining")
            return 200, {}
        return 404, {}


async def main():
    options = json.loads(sys.argv[1])
    runner = Runner(options)
    await wire.serve("127.0.0.1", options["port"], runner.handle)
    await wire.serve("127.0.0.1", options["control_port"], runner.control)
    await asyncio.gather(runner.beat(), runner.lease())


if __name__ == "__main__":
    asyncio.run(main())
