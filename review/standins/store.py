"""Stand-in of the platform's metadata store, as PROTOCOL.md describes it.

    python3 store.py PORT CONTROL_PORT

The system calls PORT. Runners, the operator and the test call CONTROL_PORT: ``POST /put`` writes a
row at any time, ``POST /beat`` a runner's entry in ``servers``, ``POST /fault`` sets the behaviour
towards the system: ``mode`` (``ok``, ``busy``: 503, ``reset``, ``silent``), ``slow_ms`` (added to
each answer), ``forget`` (drops the history). Entries of runners are removed after three heartbeats
of silence.
"""

import asyncio
import json
import sys
import time
from base64 import b64decode, b64encode

import wire

HEARTBEAT_S = 1.5
ROW_BYTES = 65536
CALL_BYTES = 1024 * 1024
CALL_ENTRIES = 100
PAGE_ROWS = 500
PAGE_BYTES = 1024 * 1024
HISTORY_S = 20.0
ANSWER_S = 0.001
TX_S = 0.003
READ_ONLY_TABLES = ("op", "servers")


class Store:
    def __init__(self):
        self.rows = {}
        self.version = 0
        self.history = []
        self.forgotten_version = 0
        self.changed = asyncio.Event()
        self.beats = {}
        self.mode = "ok"
        self.slow_s = 0.0
        self.part_locks = {}
        self.refused = {}
        self.started = time.monotonic()

    def write(self, puts, removes):
        """Applies one transaction; returns its version."""
        self.version += 1
        now = time.monotonic()
        for key, value in puts:
            self.rows[key] = (value, self.version)
            self.history.append((self.version, now, key, value))
        for key in removes:
            if self.rows.pop(key, None) is not None:
                self.history.append((self.version, now, key, None))
        while self.history and self.history[0][1] < now - HISTORY_S:
            self.forgotten_version = max(self.forgotten_version, self.history.pop(0)[0])
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()
        return self.version

    def forget(self):
        """Discards the history sooner than usual."""
        self.forgotten_version = self.version
        self.history.clear()
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    def document(self, key, with_value=True):
        table, part, name = key
        row = {"table": table, "part": part, "key": name}
        if key in self.rows:
            value, version = self.rows[key]
            row["ver"] = version
            if with_value:
                row["value"] = value
        else:
            row["ver"] = 0
        return row

    def now_ms(self):
        return int((time.monotonic() - self.started) * 1000)

    async def handle(self, call):
        """Handles a call of the system."""
        mode = self.mode
        if mode == "silent":
            await asyncio.sleep(3600)
        if mode == "reset":
            return None
        if mode == "busy":
            return 503, {}
        await asyncio.sleep(ANSWER_S + self.slow_s)
        try:
            if call.path == "/rows-tx":
                answer = await self.transact(call)
            elif call.path == "/rows-get":
                answer = self.get(call.query)
            elif call.path == "/rows-parts":
                answer = self.parts(call.query)
            elif call.path == "/rows-feed":
                answer = await self.feed(call.query)
            else:
                answer = 404, {}
        except (KeyError, ValueError, TypeError) as error:
            answer = 400, {"error": repr(error)}
        if answer[0] not in (200, 412, 410):
            reason = json.dumps([answer[0], answer[1]])[:200]
            self.refused[reason] = self.refused.get(reason, 0) + 1
        return answer

    async def transact(self, call):
        document = call.json()
        expected = document.get("expected", [])
        puts = document.get("puts", [])
        removes = document.get("remove", [])
        if len(call.body) > CALL_BYTES:
            return 413, {"error": f"a call of {len(call.body)} bytes"}
        if len(expected) + len(puts) + len(removes) > CALL_ENTRIES:
            return 400, {"error": f"{len(expected) + len(puts) + len(removes)} entries"}
        for row in puts:
            size = len(b64decode(row["value"], validate=True))
            if size > ROW_BYTES:
                return 400, {"error": f"a value of {size} bytes for {row['table']}/{row['key']}"}
        if any(row["table"] in READ_ONLY_TABLES for row in (*puts, *removes)):
            return 403, {}
        parts = sorted({row.get("part", "") for row in (*expected, *puts, *removes)})
        for part in parts:
            lock = self.part_locks.setdefault(part, asyncio.Lock())
            async with lock:
                await asyncio.sleep(TX_S)
        conflicts = [row for row in expected if self.document(_key(row))["ver"] != row["ver"]]
        if conflicts:
            return 412, {"rows": [self.document(_key(row)) for row in expected]}
        version = self.write(
            [(_key(row), row["value"]) for row in puts], [_key(row) for row in removes]
        )
        return 200, {"ver": version, "nowMs": self.now_ms()}

    def get(self, query):
        table, part = query["table"], query.get("part", "")
        first, end = query.get("from", ""), query.get("to")
        limit = min(int(query.get("limit", PAGE_ROWS)), PAGE_ROWS)
        keys = sorted(
            key
            for key in self.rows
            if key[:2] == (table, part) and key[2] >= first and (end is None or key[2] < end)
        )
        rows, size = [], 0
        for key in keys[:limit]:
            row = self.document(key)
            size += len(row["value"])
            if rows and size > PAGE_BYTES:
                break
            rows.append(row)
        more = len(rows) < len(keys)
        return 200, {"rows": rows, "morePages": more, "ver": self.version, "nowMs": self.now_ms()}

    def parts(self, query):
        after = query.get("after", "")
        names = sorted({key[1] for key in self.rows if key[0] == query["table"] and key[1] > after})
        return 200, {"parts": names[:1000], "ver": self.version, "nowMs": self.now_ms()}

    async def feed(self, query):
        table, after = query["table"], int(query["after"])
        until = time.monotonic() + int(query.get("waitMs", 0)) / 1000
        while True:
            if after < self.forgotten_version:
                return 410, {}
            found = [item for item in self.history if item[0] > after and item[2][0] == table]
            left = until - time.monotonic()
            if found or left <= 0:
                break
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass
            if self.mode == "silent":
                await asyncio.sleep(3600)
        rows = []
        for version, _, key, value in found:
            row = {"table": key[0], "part": key[1], "key": key[2], "ver": version}
            rows.append({**row, "removed": True} if value is None else {**row, "value": value})
        return 200, {"rows": rows, "ver": self.version, "nowMs": self.now_ms()}

    async def control(self, call):
        """Handles a call of a runner, the operator or the test."""
        document = call.json() if call.body else {}
        if call.path == "/put":
            key = (document["table"], document.get("part", ""), document["key"])
            value = document["value"]
            data = value.encode() if isinstance(value, str) else json.dumps(value).encode()
            if document.get("raw"):
                data = bytes(document["raw"])
            return 200, {"ver": self.write([(key, b64encode(data).decode())], [])}
        if call.path == "/beat":
            runner = document["id"]
            key = ("servers", "", runner)
            if document.get("gone"):
                self.beats.pop(runner, None)
                self.write([], [key])
            else:
                self.beats[runner] = time.monotonic()
                data = json.dumps(document["entry"]).encode()
                self.write([(key, b64encode(data).decode())], [])
            return 200, {}
        if call.path == "/fault":
            self.mode = document.get("mode", self.mode)
            self.slow_s = document.get("slow_ms", self.slow_s * 1000) / 1000
            if document.get("forget"):
                self.forget()
            return 200, {}
        if call.path == "/seen":
            return 200, {
                "refused": self.refused,
                "version": self.version,
                "rows": {
                    "/".join(key): len(b64decode(value)) for key, (value, _) in self.rows.items()
                },
            }
        if call.path == "/row":
            key = (document["table"], document.get("part", ""), document["key"])
            value = self.rows.get(key, (None, 0))[0]
            return 200, {"value": None if value is None else b64decode(value).decode()}
        return 404, {}

    async def expire(self):
        """Removes the entries of runners that have been silent for three heartbeats."""
        while True:
            await asyncio.sleep(0.05)
            now = time.monotonic()
            for runner, at in list(self.beats.items()):
                if now - at > 3 * HEARTBEAT_S:
                    del self.beats[runner]
                    self.write([], [("servers", "", runner)])


def _key(row):
    return row["table"], row.get("part", ""), row["key"]


async def main():
    store = Store()
    await wire.serve("127.0.0.1", int(sys.argv[1]), store.handle)
    await wire.serve("127.0.0.1", int(sys.argv[2]), store.control)
    await store.expire()


if __name__ == "__main__":
    asyncio.run(main())
