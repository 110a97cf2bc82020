"""Stand-in of the platform's store: rows, transactions, a feed, and the directory of runners."""

import asyncio
import base64
import json
import time

import http_json

HEARTBEAT_S = 1.5
ANSWER_S = 0.004
WATCH_MS = 30_000


class Store:
    """Rows in memory. ``cut`` has the names of the callers whose calls get lost.

    Each caller that a case cuts off has a port of its own; ``serve_caller`` opens it.
    """

    def __init__(self, record):
        self.rows = {}
        self.version = 0
        self.history = []
        self.cut = set()
        self.healed = {}
        self.down = False
        self.answer_s = ANSWER_S
        self.heartbeats = {}
        self.write_taps = []
        self._record = record
        self._changed = asyncio.Event()

    async def serve_caller(self, host, port, name):
        async def handler(request):
            if name in self.cut or self.down:
                return None
            return await self.handle(request)

        return await http_json.serve(host, port, handler)

    async def handle(self, request):
        await asyncio.sleep(self.answer_s)
        if request.path == "/rows-tx":
            answer = self._transact(request.json())
        elif request.path == "/rows-get":
            answer = self._get(request.query)
        elif request.path == "/rows-parts":
            parts = sorted({p for t, p, _ in self.rows if t == request.query["table"]})
            after = request.query.get("after", "")
            answer = 200, {
                "parts": [p for p in parts if p > after or not after][:1000],
                **self._now(),
            }
        elif request.path == "/rows-feed":
            return await self._feed(request.query)
        elif request.path == "/heartbeat":
            answer = self._heartbeat(request.json())
        else:
            answer = 404, {}
        return answer

    def put(self, table, key, value, part=""):
        """Writes a row as the operator or a runner does."""
        data = base64.b64encode(json.dumps(value).encode()).decode()
        self._apply([((table, part, key), data)], [])

    def remove(self, table, key, part=""):
        self._apply([], [(table, part, key)])

    def value(self, table, key, part=""):
        found = self.rows.get((table, part, key))
        return None if found is None else json.loads(base64.b64decode(found[0]))

    def _now(self):
        return {"ver": self.version, "nowMs": int(time.monotonic() * 1000)}

    def _transact(self, call):
        def key(row):
            return row["table"], row.get("part", ""), row["key"]

        expected, puts = call.get("expected", []), call.get("puts", [])
        removes = call.get("remove", [])
        if len(expected) + len(puts) + len(removes) > 100:
            return 400, {}
        keys = [key(row) for row in (*expected, *puts, *removes)]
        if len({part for _, part, _ in keys}) > 1 and not call.get("across"):
            return 400, {}
        if any(k[0] in ("op", "servers") for k in map(key, (*puts, *removes))):
            return 403, {}
        differing = []
        for row in expected:
            data, version = self.rows.get(key(row), ("", 0))
            if version != row["ver"]:
                names = dict(zip(("table", "part", "key"), key(row)))
                differing.append({**names, "value": data, "ver": version})
        if differing:
            return 412, {"rows": differing, **self._now()}
        self._apply([(key(row), row["value"]) for row in puts], [key(row) for row in removes])
        return 200, self._now()

    def _apply(self, puts, removes):
        self.version += 1
        for key, data in puts:
            self.rows[key] = (data, self.version)
            self.history.append((self.version, key, data))
        for key in removes:
            if self.rows.pop(key, None) is not None:
                self.history.append((self.version, key, None))
        for tap in self.write_taps:
            tap(puts, removes)
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    def _get(self, query):
        table, part = query["table"], query.get("part", "")
        low, high = query.get("from", "").encode(), query.get("to", "").encode()
        keys = sorted((k for k in self.rows if k[:2] == (table, part)), key=lambda k: k[2].encode())
        keys = [k for k in keys if k[2].encode() >= low and (not high or k[2].encode() < high)]
        limit = min(500, int(query.get("limit", 500)))
        rows = [
            {
                "table": k[0],
                "part": k[1],
                "key": k[2],
                "value": self.rows[k][0],
                "ver": self.rows[k][1],
            }
            for k in keys[:limit]
        ]
        return 200, {"rows": rows, "morePages": len(keys) > limit, **self._now()}

    async def _feed(self, query):
        table, after = query["table"], int(query["after"])
        deadline = time.monotonic() + min(WATCH_MS, int(query.get("waitMs", 0))) / 1000

        def changes():
            return [item for item in self.history if item[0] > after and item[1][0] == table]

        while not (found := changes()):
            left = deadline - time.monotonic()
            if left <= 0:
                break
            try:
                await asyncio.wait_for(self._changed.wait(), left)
            except TimeoutError:
                pass
        rows = []
        for version, key, data in found:
            row = {"table": key[0], "part": key[1], "key": key[2], "ver": version}
            rows.append({**row, "removed": True} if data is None else {**row, "value": data})
        return 200, {"rows": rows, **self._now()}

    def _heartbeat(self, beat):
        """Takes a runner's report; its entry changes only when more than ``seq`` changes."""
        name, entry = beat["id"], beat["entry"]
        self.heartbeats[name] = time.monotonic()
        known = self.value("servers", name)
        if known is None or {**known, "seq": 0} != {**entry, "seq": 0}:
            self.put("servers", name, entry)
            self._record(
                "directory", id=name, entry="written", state=entry["state"], born=entry["born"]
            )
        return 200, {}

    async def expire_entries(self):
        """Removes the entries of runners that were silent for three heartbeat intervals."""
        while True:
            await asyncio.sleep(0.02)
            if self.down:
                continue
            for name, at in list(self.heartbeats.items()):
                if time.monotonic() - at > 3 * HEARTBEAT_S:
                    del self.heartbeats[name]
                    if ("servers", "", name) in self.rows:
                        self.remove("servers", name)
                        self._record("directory", id=name, entry="removed")
