"""
tests.standins.platform.store
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Stand-in for the platform's store: rows in tables and parts, with a feed and faults.
"""

import json
import random
from base64 import b64encode

import trio

from ibiscart_entry.server import Response

__all__ = ["PlatformStore"]

SILENT_SECONDS = 30.0
HISTORY_KEPT = 5000


class PlatformStore:
    """Answers the store's calls; ``handle`` is the handler of its requests.

    Requests of ``refused_callers`` get status 503, those of ``unanswered_callers`` no answer.
    ``drop_answer_rate`` is the probability that a write takes effect but is not answered;
    ``late_rate`` that it is not answered and takes effect ``late_seconds`` later, if its
    expected versions still match. ``delay`` delays every call, in seconds.
    """

    def __init__(self, seed=0):
        self.rows = {}
        self.version = 0
        self.refused_callers = set()
        self.unanswered_callers = set()
        self.down = False
        self.delay = 0.0
        self.drop_answer_rate = 0.0
        self.late_rate = 0.0
        self.late_seconds = 2.0
        self.random = random.Random(seed)
        self.calls = {}
        self._history = []
        self._oldest = 0
        self._changed = trio.Event()
        self._nursery = None

    async def run(self, task_status=trio.TASK_STATUS_IGNORED):
        """Carries out late writes until cancelled."""
        async with trio.open_nursery() as self._nursery:
            task_status.started()
            await trio.sleep_forever()

    def compact(self):
        """Forgets the history of changes."""
        self._history.clear()
        self._oldest = self.version

    def put(self, table, key, value, part=""):
        """Writes a row as the operator or a worker does."""
        self._apply({"puts": [_entry(table, part, key, value)]})

    def delete(self, table, key, part=""):
        """Removes a row."""
        self._apply({"remove": [{"table": table, "part": part, "key": key}]})

    async def handle(self, request):
        """Answers one call."""
        self.calls[request.path] = self.calls.get(request.path, 0) + 1
        if request.remote in self.unanswered_callers:
            await trio.sleep(SILENT_SECONDS)
        if self.delay:
            await trio.sleep(self.delay)
        if self.down or request.remote in self.refused_callers:
            return Response.from_json(503, {})
        if request.path == "/rows-tx":
            return await self._transact(json.loads(request.body))
        if request.path == "/rows-get":
            return self._get(request.query)
        if request.path == "/rows-parts":
            table = request.query["table"]
            parts = sorted({part for found, part, _ in self.rows if found == table})
            return Response.from_json(200, {"parts": parts, "ver": self.version})
        if request.path == "/rows-feed":
            return await self._feed(request.query)
        return Response.from_json(404, {})

    async def _transact(self, call):
        if self.late_rate and self._nursery and self.random.random() < self.late_rate:
            self._nursery.start_soon(self._transact_late, call)
            await trio.sleep(SILENT_SECONDS)
        conflicts = self._conflicts(call)
        if conflicts:
            return Response.from_json(412, {"rows": conflicts, "ver": self.version})
        self._apply(call)
        version = self.version
        if self.drop_answer_rate and self.random.random() < self.drop_answer_rate:
            await trio.sleep(SILENT_SECONDS)
        return Response.from_json(200, {"ver": version, "nowMs": 0})

    async def _transact_late(self, call):
        await trio.sleep(self.late_seconds)
        if not self._conflicts(call):
            self._apply(call)

    def _conflicts(self, call):
        rows = []
        for expected in call.get("expected", ()):
            key = (expected["table"], expected["part"], expected["key"])
            value, version = self.rows.get(key, ("", 0))
            if version != expected["ver"]:
                rows.append({**_named(key), "value": value, "ver": version})
        return rows

    def _apply(self, call):
        self.version += 1
        for row in call.get("puts", ()):
            key = (row["table"], row["part"], row["key"])
            self.rows[key] = (row["value"], self.version)
            self._history.append((self.version, key, row["value"]))
        for row in call.get("remove", ()):
            key = (row["table"], row["part"], row["key"])
            if self.rows.pop(key, None) is not None:
                self._history.append((self.version, key, None))
        if len(self._history) > HISTORY_KEPT:
            self._oldest = self._history[HISTORY_KEPT // 2][0]
            del self._history[: HISTORY_KEPT // 2 + 1]
        changed, self._changed = self._changed, trio.Event()
        changed.set()

    def _get(self, query):
        table, part = query["table"], query.get("part", "")
        first, last = query.get("from", ""), query.get("to")
        limit = int(query.get("limit", 500))
        keys = sorted(
            key
            for key in self.rows
            if key[:2] == (table, part) and key[2] >= first and (last is None or key[2] < last)
        )
        rows = [self._row(key) for key in keys[:limit]]
        more = len(keys) > limit
        return Response.from_json(200, {"rows": rows, "morePages": more, "ver": self.version})

    async def _feed(self, query):
        table, after = query["table"], int(query["after"])
        with trio.move_on_after(int(query.get("waitMs", 0)) / 1000):
            while not any(v > after and key[0] == table for v, key, _ in self._history):
                if after < self._oldest:
                    break
                await self._changed.wait()
        if after < self._oldest:
            return Response.from_json(410, {})
        rows = []
        for version, key, value in self._history:
            if version > after and key[0] == table:
                row = {**_named(key), "ver": version}
                rows.append({**row, "removed": True} if value is None else {**row, "value": value})
        return Response.from_json(200, {"rows": rows, "ver": self.version, "nowMs": 0})

    def _row(self, key):
        value, version = self.rows[key]
        return {**_named(key), "value": value, "ver": version}


def _named(key):
    return dict(zip(("table", "part", "key"), key, strict=True))


def _entry(table, part, key, value):
    data = value if isinstance(value, bytes) else json.dumps(value).encode()
    return {"table": table, "part": part, "key": key, "value": b64encode(data).decode()}
