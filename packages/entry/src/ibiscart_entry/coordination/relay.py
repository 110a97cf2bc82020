"""
ibiscart_entry.coordination.relay
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Reaches the store through another entry when it does not serve this one.
"""

import json
import logging
from base64 import b64decode, b64encode

import trio

from ibiscart_entry.client import TransportError
from ibiscart_entry.coordination.record import NODES, decode, encode
from ibiscart_entry.server import Response
from ibiscart_entry.table import (
    Changes,
    FollowedTable,
    HistoryLost,
    Row,
    StoreError,
    TableConflict,
)
from ibiscart_schema.generated.store_pb2 import TableWrite

__all__ = ["Directory", "RelayServer", "RelayTable"]

LOG = logging.getLogger("ibiscart.relay")
PATH = "/v1/store"
# an answer of the store takes 10 ms; later ones are asked for through another entry as well
HEDGE_SECONDS = 0.15
HEDGE_ANSWERS = 3.0
# a silent connection must be noticed although the store was slow before; writes of one part
# wait for one another, so a second copy of a write costs more than one of a read
LONGEST_READ_HEDGE_SECONDS = 0.4
LONGEST_WRITE_HEDGE_SECONDS = 1.0
ANSWER_WEIGHT = 0.2
# after a failure, or when another entry was faster, both ways are tried at once for this time
DOUBT_SECONDS = 0.5
# after failures of all ways within this time, calls are refused at once
DOWN_SECONDS = 0.4
RELAY_SECONDS = 1.4
PEERS_TRIED = 3
PEER_PAUSE_SECONDS = 2.0
REGISTER_SECONDS = 5.0
# rows of entries that were not written again for so long are passed over and removed
STALE_MS = 30_000


class Directory:
    """The other entries, by the rows that each writes of itself."""

    def __init__(self, node, address, table, now_ms, clock=trio.current_time):
        self._node = node
        self._address = address
        self._table = table
        self._now_ms = now_ms
        self._clock = clock
        self._peers = {}
        self._paused = {}

    async def run(self, task_status=trio.TASK_STATUS_IGNORED):
        """Registers this entry and reads the others' rows until cancelled."""
        task_status.started()
        while True:
            try:
                await self._refresh()
            except (StoreError, TableConflict) as error:
                LOG.warning("The entries cannot be listed.", extra={"cause": str(error)})
            await trio.sleep(REGISTER_SECONDS if self._peers else 1.0)

    def candidates(self, rng):
        """Returns the addresses of other entries in random order, those that failed last."""
        now = self._clock()
        addresses = list(self._peers.values())
        rng.shuffle(addresses)
        return sorted(addresses, key=lambda address: self._paused.get(address, 0.0) > now)

    def pause(self, address):
        """Puts an entry that failed last for a time."""
        self._paused[address] = self._clock() + PEER_PAUSE_SECONDS

    async def _refresh(self):
        row = {"address": self._address, "at_ms": self._now_ms()}
        writes = [TableWrite(key=f"{NODES}/{self._node}", value=encode(row))]
        found = await self._table.snapshot(NODES.partition(".")[0])
        peers = {}
        for other in found.rows:
            name = other.key.partition("/")[2]
            entry = decode(other.value)
            if name == self._node:
                continue
            if self._now_ms() - entry["at_ms"] > STALE_MS:
                stale = TableWrite(key=other.key, delete=True, expected_version=other.version)
                writes.append(stale)
            else:
                peers[name] = entry["address"]
        self._peers = peers
        await self._table.transact(writes)


class RelayTable(FollowedTable):
    """A ``FollowedTable`` that asks another entry when the store does not answer directly.

    A call may reach the store twice, so every write must be conditional or idempotent.
    """

    def __init__(self, direct, directory, connect, metrics, rng, clock=trio.current_time):
        self._direct = direct
        self._directory = directory
        self._connect = connect
        self._metrics = metrics
        self._rng = rng
        self._clock = clock
        self._clients = {}
        self._answer_seconds = 0.01
        self._doubted_until = 0.0
        self._down_until = 0.0
        self._reachable = True

    async def get(self, key, *, low=False):
        """Returns the ``Row``, or None when it is absent."""
        return await self._call("get", {"key": key}, lambda: self._direct.get(key))

    async def scan(self, prefix, after="", limit=256, *, low=False):
        """Returns rows in key order."""
        fields = {"prefix": prefix, "after": after, "limit": limit}
        return await self._call("scan", fields, lambda: self._direct.scan(prefix, after, limit))

    async def transact(self, writes, *, low=False):
        """Applies all writes or none."""
        fields = {"writes": [_write_document(write) for write in writes]}
        return await self._call("transact", fields, lambda: self._direct.transact(writes))

    async def snapshot(self, table):
        """Returns ``Changes`` with all rows of a table."""
        fields = {"table": table}
        return await self._call("snapshot", fields, lambda: self._direct.snapshot(table))

    async def changes(self, table, after, wait_seconds):
        """Returns ``Changes`` after a version, waiting until there is one."""
        fields = {"table": table, "after": after, "wait_seconds": wait_seconds}

        async def ask():
            return await self._direct.changes(table, after, wait_seconds)

        return await self._call("changes", fields, ask, wait_seconds)

    async def _call(self, operation, fields, ask, wait_seconds=0.0):
        now = self._clock()
        if now < self._down_until and not wait_seconds:
            raise StoreError("store_down", False)
        race = _Race()
        peers = self._directory.candidates(self._rng)[:PEERS_TRIED]
        async with trio.open_nursery() as nursery:
            race.enter()
            nursery.start_soon(self._ask_directly, race, ask, bool(wait_seconds))
            if now >= self._doubted_until:
                with trio.move_on_after(wait_seconds + self._hedge(operation)):
                    await race.wait()
            if not race.answered and peers:
                race.enter()
                await self._ask_peers(race, peers, operation, fields, wait_seconds)
            await race.wait()
            nursery.cancel_scope.cancel()
        return self._result(race)

    def _hedge(self, operation):
        """Seconds after which another entry is asked as well."""
        write = operation == "transact"
        longest = LONGEST_WRITE_HEDGE_SECONDS if write else LONGEST_READ_HEDGE_SECONDS
        return min(longest, HEDGE_SECONDS + HEDGE_ANSWERS * self._answer_seconds)

    def _result(self, race):
        if not race.answered:
            self._down_until = self._clock() + DOWN_SECONDS
            self._note(False, race.error.reason)
            raise StoreError(race.error.reason, race.sent)
        self._down_until = 0.0
        self._note(True, "")
        if isinstance(race.value, Exception):
            raise race.value
        return race.value

    def _note(self, reachable, cause):
        if reachable is not self._reachable:
            self._reachable = reachable
            if reachable:
                LOG.info("The store is reached again.")
            else:
                LOG.warning("The store is not reached by any way.", extra={"cause": cause})

    async def _ask_directly(self, race, ask, waits):
        began = self._clock()
        try:
            value = await ask()
        except (TableConflict, HistoryLost) as result:
            value = result
        except StoreError as error:
            self._doubted_until = self._clock() + DOUBT_SECONDS
            race.fail(error, error.sent)
            return
        if not waits:
            took = self._clock() - began
            # a store that turns slow must not get each call twice
            smoothed = self._answer_seconds + ANSWER_WEIGHT * (took - self._answer_seconds)
            self._answer_seconds = max(took, smoothed)
        race.answer(value)

    async def _ask_peers(self, race, peers, operation, fields, wait_seconds):
        failure, sent = None, False
        for address in peers:
            if race.answered:
                return
            self._metrics.count("peer_messages", f"store_{operation}")
            try:
                race.answer(await self._ask_peer(address, operation, fields, wait_seconds))
            except StoreError as error:
                # the store may refuse that entry as well
                self._directory.pause(address)
                failure, sent = error, sent or error.sent
                continue
            except TransportError as error:
                self._metrics.count("peer_errors", error.reason)
                self._directory.pause(address)
                failure, sent = error, sent or error.sent
                continue
            # the other entry was faster than the store, or the store has failed
            self._doubted_until = self._clock() + DOUBT_SECONDS
            return
        race.fail(failure, sent)

    async def _ask_peer(self, address, operation, fields, wait_seconds):
        client = self._clients.get(address)
        if client is None:
            client = self._clients[address] = self._connect(address)
        body = json.dumps({"operation": operation, **fields}).encode()
        timeout = RELAY_SECONDS + wait_seconds
        response = await client.request("POST", PATH, body=body, timeout=timeout)
        answer = json.loads(response.body)
        if "error" in answer:
            raise StoreError(answer["error"], answer["sent"])
        if "conflict" in answer:
            return TableConflict([_row(row) for row in answer["conflict"]])
        if "history_lost" in answer:
            return HistoryLost(answer["history_lost"])
        if "version" in answer:
            rows = [_row(row) for row in answer["rows"]]
            return Changes(rows, answer["removed"], answer["version"])
        if operation == "get":
            return _row(answer["rows"][0]) if answer["rows"] else None
        return [_row(row) for row in answer["rows"]]


class RelayServer:
    """Carries out other entries' calls on this entry's own way to the store."""

    def __init__(self, direct):
        self._direct = direct

    async def handle(self, request):
        """Answers one call with the rows or the error."""
        try:
            call = json.loads(request.body)
            operation = getattr(self, f"_{call.pop('operation')}")
            answer = await operation(**call)
        except TableConflict as conflict:
            answer = {"conflict": [_row_document(row) for row in conflict.rows]}
        except HistoryLost as lost:
            answer = {"history_lost": str(lost)}
        except StoreError as error:
            answer = {"error": error.reason, "sent": error.sent}
        return Response.from_json(200, answer)

    async def _get(self, key):
        row = await self._direct.get(key)
        return _rows_document([row] if row is not None else [])

    async def _scan(self, prefix, after, limit):
        return _rows_document(await self._direct.scan(prefix, after, limit))

    async def _transact(self, writes):
        return _rows_document(await self._direct.transact([_write(write) for write in writes]))

    async def _snapshot(self, table):
        return _changes_document(await self._direct.snapshot(table))

    async def _changes(self, table, after, wait_seconds):
        return _changes_document(await self._direct.changes(table, after, wait_seconds))


class _Race:
    """The first answer of several ways to the store."""

    __slots__ = ("_open", "_settled", "answered", "error", "sent", "value")

    def __init__(self):
        self._open = 0
        self._settled = trio.Event()
        self.answered = False
        self.value = None
        self.error = None
        self.sent = False

    def enter(self):
        """Adds a way that will answer or fail."""
        self._open += 1
        if not self.answered:
            self._settled = trio.Event()

    def answer(self, value):
        """Takes the first answer."""
        if not self.answered:
            self.answered = True
            self.value = value
        self._settled.set()

    def fail(self, error, sent):
        """Ends one way; ``sent`` tells that its call may take effect."""
        self._open -= 1
        self.error = self.error or error
        self.sent = self.sent or sent
        if not self._open:
            self._settled.set()

    async def wait(self):
        """Returns with the first answer, or when all ways have failed."""
        await self._settled.wait()


def _row_document(row):
    return [row.key, b64encode(row.value).decode(), row.version]


def _rows_document(rows):
    return {"rows": [_row_document(row) for row in rows]}


def _changes_document(changes):
    document = _rows_document(changes.rows)
    return {**document, "removed": list(changes.removed), "version": changes.version}


def _row(document):
    key, value, version = document
    return Row(key, b64decode(value), version)


def _write_document(write):
    expected = write.expected_version if write.HasField("expected_version") else None
    return [write.key, b64encode(write.value).decode(), write.delete, expected]


def _write(document):
    key, value, delete, expected = document
    return TableWrite(key=key, value=b64decode(value), delete=delete, expected_version=expected)
