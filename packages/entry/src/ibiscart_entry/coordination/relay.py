"""
ibiscart_entry.coordination.relay
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Reaches the store through another entry when it does not serve this one.
"""

import json
import logging

import trio

from ibiscart_entry.client import TransportError
from ibiscart_entry.coordination.record import LEADER_KEY
from ibiscart_entry.coordination.relay_message import PATH, answer_from, write_document
from ibiscart_entry.coordination.silence import Silence
from ibiscart_entry.table import FollowedTable, HistoryLost, StoreError, TableConflict

__all__ = ["RelayTable"]

LOG = logging.getLogger("ibiscart.relay")
# an answer of the store takes 10 ms; later ones are asked for through another entry as well
HEDGE_SECONDS = 0.15
# and in proportion when the store is slow, so that it does not get each call twice
HEDGE_ANSWERS = 3.0
# a silent connection must be noticed although the store was slow before; writes of one part
# wait for one another, so a second copy of a write costs more than one of a read
MAX_READ_HEDGE_SECONDS = 0.4
MAX_WRITE_HEDGE_SECONDS = 1.0
# after a failure, or when another entry was faster, both ways are tried at once for this time
DOUBT_SECONDS = 0.5
# an entry relays to the store by its direct way only, which answers within this time or not
RELAY_SECONDS = 1.4
# a third of the entries may be cut off at once; with four tried, one in eighty calls meets
# only such entries
PEERS_TRIED = 4
# an entry in reach answers in some 20 ms; the next one is asked after this time
PEER_STAGGER_SECONDS = 0.1
# while the store does not answer, it is asked anew this often; each call waits for so long
PROBE_PAUSE_SECONDS = 0.2
PROBE_SECONDS = 1.0


class RelayTable(FollowedTable):
    """A ``FollowedTable`` that asks another entry when the store does not answer directly.

    A call may reach the store twice, so every write must be conditional or idempotent. While
    the store is not reached by any way, calls are refused at once and ``monitor`` tries it.
    """

    def __init__(self, direct, directory, connect, metrics, rng, clock=trio.current_time):
        self._direct = direct
        self._directory = directory
        self._connect = connect
        self._metrics = metrics
        self._rng = rng
        self._clock = clock
        self._clients = {}
        self._silence = Silence(clock)
        self._doubted_until = 0.0
        self._reachable = True
        self._changed_at = 0.0
        self._regained = trio.Event()

    @property
    def answering(self):
        """Whether the last calls were answered; while False, a write is refused unsent."""
        return self._reachable

    async def wait_answering(self):
        """Returns when calls are answered."""
        if not self._reachable:
            await self._regained.wait()

    async def monitor(self, task_status=trio.TASK_STATUS_IGNORED):
        """Notices a store that has gone silent, and tries it until it answers."""
        async with trio.open_nursery() as nursery:
            task_status.started()
            while True:
                await trio.sleep(PROBE_PAUSE_SECONDS)
                if self._reachable and self._silence.lasting:
                    self._note(False, "silent")
                if not self._reachable:
                    # earlier ones may wait on connections that stay silent
                    nursery.start_soon(self._probe)

    async def get(self, key, *, low=False):
        """Returns the ``Row``, or None when it is absent."""
        return await self._call("get", {"key": key}, lambda: self._direct.get(key))

    async def scan(self, prefix, after="", limit=256, *, low=False):
        """Returns rows in key order."""
        fields = {"prefix": prefix, "after": after, "limit": limit}
        return await self._call("scan", fields, lambda: self._direct.scan(prefix, after, limit))

    async def transact(self, writes, *, low=False):
        """Applies all writes or none."""
        fields = {"writes": [write_document(write) for write in writes]}
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

        return await self._race("changes", fields, ask, wait_seconds)

    async def _call(self, operation, fields, ask):
        if not self._reachable:
            raise StoreError("store_down", False)
        return await self._race(operation, fields, ask, 0.0)

    async def _probe(self):
        with trio.move_on_after(PROBE_SECONDS):
            try:
                await self._race(
                    "get", {"key": LEADER_KEY}, lambda: self._direct.get(LEADER_KEY), 0.0
                )
            except StoreError:
                pass  # counted by the table; the store stays lost, which has been logged

    async def _race(self, operation, fields, ask, wait_seconds):
        """Returns the first answer of the direct way and of other entries."""
        race = _Race()
        began = self._clock()
        peers = self._directory.candidates(self._rng)[:PEERS_TRIED]
        async with trio.open_nursery() as nursery:
            race.enter()
            nursery.start_soon(self._ask_directly, race, ask, bool(wait_seconds))
            if not wait_seconds:
                nursery.start_soon(self._ask_again, race, ask)
            left_seconds = wait_seconds
            if self._clock() >= self._doubted_until:
                with trio.move_on_after(wait_seconds + self._hedge(operation)):
                    await race.wait()
                left_seconds = 0.0
            if wait_seconds:
                fields = {**fields, "wait_seconds": left_seconds}
            if not race.answered:
                await self._ask_peers(race, nursery, peers, operation, fields, left_seconds)
            await race.wait()
            nursery.cancel_scope.cancel()
        return self._result(race, began)

    def _hedge(self, operation):
        """Seconds after which another entry is asked as well."""
        write = operation == "transact"
        longest = MAX_WRITE_HEDGE_SECONDS if write else MAX_READ_HEDGE_SECONDS
        return min(longest, HEDGE_SECONDS + HEDGE_ANSWERS * self._silence.usual_seconds)

    def _result(self, race, began):
        # what became of a call tells nothing of a state that was noticed after it was sent
        current = began >= self._changed_at
        if not race.answered:
            if current:
                self._note(False, race.error.reason)
            raise StoreError(race.error.reason, race.sent)
        self._silence.answer(began)
        if current:
            self._note(True, "")
        if isinstance(race.value, Exception):
            raise race.value
        return race.value

    def _note(self, reachable, cause):
        if reachable is self._reachable:
            return
        self._reachable = reachable
        self._changed_at = self._clock()
        if reachable:
            LOG.info("The store is reached again.")
            regained, self._regained = self._regained, trio.Event()
            regained.set()
        else:
            LOG.warning("The store is not reached by any way.", extra={"cause": cause})

    async def _ask_directly(self, race, ask, waits):
        began = self._clock()
        if not waits:
            self._silence.begin()
        try:
            value = await ask()
        except (TableConflict, HistoryLost) as result:
            value = result
        except StoreError as error:
            self._doubted_until = self._clock() + DOUBT_SECONDS
            race.fail(error, error.sent)
            return
        finally:
            if not waits:
                self._silence.end()
        if not waits:
            self._silence.learn(self._clock() - began)
        race.answer(value)

    async def _ask_again(self, race, ask):
        """Repeats the call when a silent store answers others: its connection stays silent."""
        while True:
            await self._regained.wait()
            race.enter()
            await self._ask_directly(race, ask, False)

    async def _ask_peers(self, race, nursery, peers, operation, fields, wait_seconds):
        """Asks one entry after another without waiting for those that do not answer."""
        for address in peers:
            if race.answered:
                return
            race.enter()
            nursery.start_soon(self._ask_peer, race, address, operation, fields, wait_seconds)
            with trio.move_on_after(wait_seconds + PEER_STAGGER_SECONDS):
                await race.wait()

    async def _ask_peer(self, race, address, operation, fields, wait_seconds):
        self._metrics.count("peer_messages", f"store_{operation}")
        client = self._clients.get(address)
        if client is None:
            client = self._clients[address] = self._connect(address)
        body = json.dumps({"operation": operation, **fields}).encode()
        timeout = RELAY_SECONDS + wait_seconds
        try:
            response = await client.request("POST", PATH, body=body, timeout=timeout)
            value = answer_from(operation, json.loads(response.body))
        except (StoreError, TransportError) as error:
            # that entry may be cut off, or refused by the store as well
            self._metrics.count("peer_errors", error.reason)
            self._directory.pause(address)
            race.fail(error, error.sent)
            return
        self._directory.prove(address)
        if not race.answered:
            # the other entry was faster than the store, or the store has failed
            self._doubted_until = self._clock() + DOUBT_SECONDS
        race.answer(value)


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
        if self._settled.is_set() and not self.answered:
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
        while not self.answered and self._open:
            await self._settled.wait()
