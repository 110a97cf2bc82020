"""
tests.standins.platform.store
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Stand-in for the platform's store: versioned rows in tables and partitions, with a change feed
and faults.
"""

import json
import random
from base64 import b64decode, b64encode

import trio

from ibiscart_entry.server import Response

__all__ = ["PlatformStore"]

# longer than every client timeout, so that the response is lost without a connection error
UNANSWERED_SECONDS = 30.0
MAX_HISTORY_LENGTH = 5000
# bounds on the entries and bytes of one call
MAX_CALL_ENTRIES = 100
MAX_CALL_BYTES = 1_000_000


class PlatformStore:
    """Rows and their changes in memory; ``handle`` answers the requests of entry processes.

    Faults are attributes that tests set. ``odd_answer_rate`` is the probability that the body of
    an answer with status 200 is replaced by one of ``odd_answers``.
    Requests of ``refused_callers`` and, while ``down``, of
    all callers get status 503; those of ``unanswered_callers`` get no response within 30 s.
    ``drop_answer_rate`` is the probability that a write takes effect without a response;
    ``late_rate`` that it gets no response and takes effect ``late_seconds`` later, if its
    expected versions still match. ``delay`` delays every request, in seconds. A transaction with
    a row of ``refused_rows`` gets status 400, as one beyond the store's bounds does. While
    ``history_lost``, no changes are returned. ``calls`` counts the requests by path, ``rejected``
    the transactions with such a status.
    """

    def __init__(self, seed=0):
        self.rows = {}
        self.version = 0
        self.refused_callers = set()
        self.unanswered_callers = set()
        self.down = False
        self.odd_answer_rate = 0.0
        self.odd_answers = (b"null",)
        self.delay = 0.0
        self.drop_answer_rate = 0.0
        self.late_rate = 0.0
        self.late_seconds = 2.0
        self.random = random.Random(seed)
        self.refused_rows = set()
        self.history_lost = False
        self.max_value_bytes = 65536
        self.max_call_bytes = MAX_CALL_BYTES
        self.calls = {}
        self.rejected = 0
        self._history = []
        self._compacted_version = 0
        self._changed = trio.Event()
        self._stalled_polls = 0
        self._polls = 0
        self._nursery = None

    @property
    def disturbed(self):
        """True while a fault affects the requests of all callers."""
        rates = self.drop_answer_rate, self.late_rate, self.odd_answer_rate
        return bool(self.down or self.delay or any(rates))

    async def run(self, task_status=trio.TASK_STATUS_IGNORED):
        """Applies the writes that ``late_rate`` delays, in the background, until cancelled."""
        async with trio.open_nursery() as self._nursery:
            task_status.started()
            await trio.sleep_forever()

    def compact(self):
        """Discards the history of changes; the feed then returns 410 for older versions."""
        self._history.clear()
        self._compacted_version = self.version

    def stall_open_polls(self):
        """Lets the connections of all open long polls stay silent; new ones are answered."""
        self._stalled_polls = self._polls

    def put(self, table, key, value, partition=""):
        """Writes a row, as an operator or a worker does."""
        self._apply({"puts": [_put_document(table, partition, key, value)]})

    def delete(self, table, key, partition=""):
        """Deletes a row."""
        self._apply({"remove": [{"table": table, "part": partition, "key": key}]})

    async def handle(self, request):
        """Handles one request of the store's interface."""
        response = await self._handle(request)
        odd = self.odd_answer_rate and self.random.random() < self.odd_answer_rate
        if odd and response.status == 200:
            return Response(200, self.random.choice(self.odd_answers))
        return response

    async def _handle(self, request):
        """Handles one request; returns the true ``Response``."""
        self.calls[request.path] = self.calls.get(request.path, 0) + 1
        if request.remote in self.unanswered_callers:
            await trio.sleep(UNANSWERED_SECONDS)
        if self.delay:
            await trio.sleep(self.delay)
        if self.down or request.remote in self.refused_callers:
            return Response.from_json(503, {})
        if request.path == "/rows-tx":
            call = json.loads(request.body)
            status = self._check_bounds(call, len(request.body))
            if status != 200:
                self.rejected += 1
                return Response.from_json(status, {})
            return await self._transact(call)
        if request.path == "/rows-get":
            return self._get_rows(request.query)
        if request.path == "/rows-parts":
            table = request.query["table"]
            partitions = sorted(
                {partition for row_table, partition, _ in self.rows if row_table == table}
            )
            return Response.from_json(200, {"parts": partitions, "ver": self.version})
        if request.path == "/rows-feed" and self.history_lost:
            return Response.from_json(410, {})
        if request.path == "/rows-feed":
            return await self._watch_rows(request.query)
        return Response.from_json(404, {})

    def _check_bounds(self, call, size):
        """Returns the status of a transaction of ``size`` bytes by the store's bounds, or 200."""
        if size > self.max_call_bytes:
            return 413
        if sum(len(call.get(name, ())) for name in ("expected", "puts", "remove")) > (
            MAX_CALL_ENTRIES
        ):
            return 400
        rows = [row for name in ("expected", "puts", "remove") for row in call.get(name, ())]
        if len({row["part"] for row in rows}) > 1:
            return 400
        for row in (*call.get("puts", ()), *call.get("remove", ())):
            if (row["table"], row["key"]) in self.refused_rows:
                return 400
        for row in call.get("puts", ()):
            if len(b64decode(row["value"])) > self.max_value_bytes:
                return 400
        return 200

    async def _transact(self, call):
        """Applies a transaction unless an expected version differs; returns the ``Response``."""
        if self.late_rate and self._nursery and self.random.random() < self.late_rate:
            self._nursery.start_soon(self._transact_late, call)
            await trio.sleep(UNANSWERED_SECONDS)
        conflicts = self._find_conflicts(call)
        if conflicts:
            return Response.from_json(412, {"rows": conflicts, "ver": self.version})
        self._apply(call)
        version = self.version
        if self.drop_answer_rate and self.random.random() < self.drop_answer_rate:
            await trio.sleep(UNANSWERED_SECONDS)
        return Response.from_json(200, {"ver": version, "nowMs": 0})

    async def _transact_late(self, call):
        """Applies a transaction after ``late_seconds`` unless an expected version differs."""
        await trio.sleep(self.late_seconds)
        if not self._find_conflicts(call):
            self._apply(call)

    def _find_conflicts(self, call):
        """Returns the current rows whose version differs from the one that a call expects."""
        rows = []
        for expected in call.get("expected", ()):
            key = (expected["table"], expected["part"], expected["key"])
            value, version = self.rows.get(key, ("", 0))
            if version != expected["ver"]:
                rows.append({**_key_document(key), "value": value, "ver": version})
        return rows

    def _apply(self, call):
        """Writes and removes the rows of a call under one new version; wakes waiting long polls."""
        self.version += 1
        for row in call.get("puts", ()):
            key = (row["table"], row["part"], row["key"])
            self.rows[key] = (row["value"], self.version)
            self._history.append((self.version, key, row["value"]))
        for row in call.get("remove", ()):
            key = (row["table"], row["part"], row["key"])
            if self.rows.pop(key, None) is not None:
                self._history.append((self.version, key, None))
        if len(self._history) > MAX_HISTORY_LENGTH:
            self._compacted_version = self._history[MAX_HISTORY_LENGTH // 2][0]
            del self._history[: MAX_HISTORY_LENGTH // 2 + 1]
        changed, self._changed = self._changed, trio.Event()
        changed.set()

    def _get_rows(self, query):
        """Returns one page of a partition's rows as a ``Response``."""
        table, partition = query["table"], query.get("part", "")
        start, end = query.get("from", ""), query.get("to")
        limit = int(query.get("limit", 500))
        matching_keys = sorted(
            key
            for key in self.rows
            if key[:2] == (table, partition) and key[2] >= start and (end is None or key[2] < end)
        )
        rows = [self._row_document(key) for key in matching_keys[:limit]]
        more_pages = len(matching_keys) > limit
        return Response.from_json(200, {"rows": rows, "morePages": more_pages, "ver": self.version})

    async def _watch_rows(self, query):
        """Returns the changes of a table after a version, once there are some or the wait ends."""
        table, after = query["table"], int(query["after"])
        self._polls += 1
        number = self._polls
        with trio.move_on_after(int(query.get("waitMs", 0)) / 1000):
            while not any(
                changed_at > after and key[0] == table for changed_at, key, _ in self._history
            ):
                if after < self._compacted_version:
                    break
                await self._changed.wait()
        if number <= self._stalled_polls:
            await trio.sleep(UNANSWERED_SECONDS)
        if after < self._compacted_version:
            return Response.from_json(410, {})
        rows = []
        for version, key, value in self._history:
            if version > after and key[0] == table:
                row = {**_key_document(key), "ver": version}
                rows.append({**row, "removed": True} if value is None else {**row, "value": value})
        return Response.from_json(200, {"rows": rows, "ver": self.version, "nowMs": 0})

    def _row_document(self, key):
        """Returns a row as a JSON object with its value and version."""
        value, version = self.rows[key]
        return {**_key_document(key), "value": value, "ver": version}


def _key_document(key):
    """Returns the table, partition and key of a row as fields of a JSON object."""
    return dict(zip(("table", "part", "key"), key, strict=True))


def _put_document(table, partition, key, value):
    """Returns a row to write, as a JSON object of a transaction; encodes its value."""
    encoded = value if isinstance(value, bytes) else json.dumps(value).encode()
    return {"table": table, "part": partition, "key": key, "value": b64encode(encoded).decode()}
