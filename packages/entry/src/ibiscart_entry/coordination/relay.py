"""
ibiscart_entry.coordination.relay
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Calls the store through another entry when it does not respond to this one.
"""

import json
import logging

import trio

from ibiscart_entry.client import TransportError
from ibiscart_entry.coordination.record import LEADER_KEY
from ibiscart_entry.coordination.relay_message import PATH, parse_response, write_document
from ibiscart_entry.coordination.stall_detector import StallDetector
from ibiscart_entry.table import FollowedTable, HistoryLost, StoreError, TableConflict

__all__ = ["RelayTable"]

LOG = logging.getLogger("ibiscart.relay")
# the store responds within 10 ms; a call that takes longer is also sent through another entry
HEDGE_SECONDS = 0.15
# the delay grows with the latency, so that a slow store does not get each call twice
HEDGE_LATENCIES = 3.0
# the bounds let a stalled connection be noticed although the store was slow before; writes of
# one partition wait for each other, so a second copy of a write costs more than one of a read
MAX_READ_HEDGE_SECONDS = 0.4
MAX_WRITE_HEDGE_SECONDS = 1.0
# after a failure, or when another entry was faster, calls are hedged at once for this time
IMMEDIATE_HEDGE_SECONDS = 0.5
# timeout of a relayed call; the other entry makes it only by its direct route to the store
RELAY_TIMEOUT_SECONDS = 1.4
# a third of the entries may be cut off at once; with four tried, one in eighty calls meets
# only such entries
MAX_PEERS = 4
# a reachable entry responds within about 20 ms; the next one is called after this time
PEER_STAGGER_SECONDS = 0.1
# interval and timeout of the probes while the store does not respond
PROBE_INTERVAL_SECONDS = 0.2
PROBE_TIMEOUT_SECONDS = 1.0


class RelayTable(FollowedTable):
    """A ``FollowedTable`` that calls another entry when the store does not respond directly.

    A call may reach the store twice, so every write must be conditional or idempotent. While
    the store is unreachable by every route, calls are refused at once and ``monitor`` probes
    it.
    """

    def __init__(self, direct, peer_directory, connect, metrics, rng, clock=trio.current_time):
        self._direct = direct
        self._peer_directory = peer_directory
        self._connect = connect
        self._metrics = metrics
        self._rng = rng
        self._clock = clock
        self._clients = {}
        self._stall_detector = StallDetector(clock)
        self._hedge_at_once_until = 0.0
        self._reachable = True
        self._reachable_changed_at = 0.0
        self._recovered = trio.Event()

    @property
    def answering(self):
        """Returns True if the last calls got a response; else writes are refused unsent."""
        return self._reachable

    async def wait_answering(self):
        """Returns when calls get a response."""
        if not self._reachable:
            await self._recovered.wait()

    async def monitor(self, task_status=trio.TASK_STATUS_IGNORED):
        """Detects a store that has stopped responding and probes it until it responds."""
        async with trio.open_nursery() as nursery:
            task_status.started()
            while True:
                await trio.sleep(PROBE_INTERVAL_SECONDS)
                if self._reachable and self._stall_detector.stalled:
                    self._set_reachable(False, "silent")
                if not self._reachable:
                    # does not wait for earlier probes, whose connections may stay stalled
                    nursery.start_soon(self._probe)

    async def get(self, key, *, low_priority=False):
        """Returns the ``Row``, or None when it is absent."""
        return await self._call("get", {"key": key}, lambda: self._direct.get(key))

    async def scan(self, prefix, after="", limit=256, *, low_priority=False):
        """Returns rows in key order."""
        fields = {"prefix": prefix, "after": after, "limit": limit}
        return await self._call("scan", fields, lambda: self._direct.scan(prefix, after, limit))

    async def transact(self, writes, *, low_priority=False):
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

        async def call_direct():
            return await self._direct.changes(table, after, wait_seconds)

        return await self._call_hedged("changes", fields, call_direct, wait_seconds)

    async def _call(self, operation, fields, call_direct):
        if not self._reachable:
            raise StoreError("store_down", False)
        return await self._call_hedged(operation, fields, call_direct, 0.0)

    async def _probe(self):
        with trio.move_on_after(PROBE_TIMEOUT_SECONDS):
            try:
                await self._call_hedged(
                    "get", {"key": LEADER_KEY}, lambda: self._direct.get(LEADER_KEY), 0.0
                )
            except StoreError:
                pass  # counted by the table; the loss of the store is already logged

    async def _call_hedged(self, operation, fields, call_direct, wait_seconds):
        """Returns the first response, of the direct route or of other entries."""
        race = _Race()
        started_at = self._clock()
        peers = self._peer_directory.candidates(self._rng)[:MAX_PEERS]
        async with trio.open_nursery() as nursery:
            race.add_attempt()
            nursery.start_soon(self._attempt_direct, race, call_direct, bool(wait_seconds))
            if not wait_seconds:
                nursery.start_soon(self._repeat_on_recovery, race, call_direct)
            left_seconds = wait_seconds
            if self._clock() >= self._hedge_at_once_until:
                with trio.move_on_after(wait_seconds + self._hedge_seconds(operation)):
                    await race.wait()
                left_seconds = 0.0
            if wait_seconds:
                fields = {**fields, "wait_seconds": left_seconds}
            if not race.answered:
                await self._attempt_peers(race, nursery, peers, operation, fields, left_seconds)
            await race.wait()
            nursery.cancel_scope.cancel()
        return self._result(race, started_at)

    def _hedge_seconds(self, operation):
        """Returns the delay in seconds after which another entry is called as well."""
        write = operation == "transact"
        longest = MAX_WRITE_HEDGE_SECONDS if write else MAX_READ_HEDGE_SECONDS
        return min(longest, HEDGE_SECONDS + HEDGE_LATENCIES * self._stall_detector.latency_seconds)

    def _result(self, race, started_at):
        # a call that was sent before the last change of state says nothing about that state
        current = started_at >= self._reachable_changed_at
        if not race.answered:
            if current:
                self._set_reachable(False, race.error.reason)
            raise StoreError(race.error.reason, race.sent)
        self._stall_detector.record_response(started_at)
        if current:
            self._set_reachable(True, "")
        if isinstance(race.value, Exception):
            raise race.value
        return race.value

    def _set_reachable(self, reachable, cause):
        if reachable is self._reachable:
            return
        self._reachable = reachable
        self._reachable_changed_at = self._clock()
        if reachable:
            LOG.info("The store is reached again.")
            recovered, self._recovered = self._recovered, trio.Event()
            recovered.set()
        else:
            LOG.warning("The store is not reached by any way.", extra={"cause": cause})

    async def _attempt_direct(self, race, call_direct, long_poll):
        sent_at = self._clock()
        if not long_poll:
            self._stall_detector.begin_call()
        try:
            value = await call_direct()
        except (TableConflict, HistoryLost) as result:
            value = result
        except StoreError as error:
            self._hedge_at_once_until = self._clock() + IMMEDIATE_HEDGE_SECONDS
            race.fail(error, error.sent)
            return
        finally:
            if not long_poll:
                self._stall_detector.end_call()
        if not long_poll:
            self._stall_detector.record_latency(self._clock() - sent_at)
        race.complete(value)

    async def _repeat_on_recovery(self, race, call_direct):
        """Repeats the call when the store has recovered; its first connection stays stalled."""
        while True:
            await self._recovered.wait()
            race.add_attempt()
            await self._attempt_direct(race, call_direct, False)

    async def _attempt_peers(self, race, nursery, peers, operation, fields, wait_seconds):
        """Calls one entry after another without waiting for those that do not respond."""
        for address in peers:
            if race.answered:
                return
            race.add_attempt()
            nursery.start_soon(self._attempt_peer, race, address, operation, fields, wait_seconds)
            with trio.move_on_after(wait_seconds + PEER_STAGGER_SECONDS):
                await race.wait()

    async def _attempt_peer(self, race, address, operation, fields, wait_seconds):
        self._metrics.count("peer_messages", f"store_{operation}")
        client = self._clients.get(address)
        if client is None:
            client = self._clients[address] = self._connect(address)
        body = json.dumps({"operation": operation, **fields}).encode()
        timeout = RELAY_TIMEOUT_SECONDS + wait_seconds
        try:
            response = await client.request("POST", PATH, body=body, timeout=timeout)
            value = parse_response(operation, json.loads(response.body))
        except (StoreError, TransportError) as error:
            # that entry may be cut off, or refused by the store as well
            self._metrics.count("peer_errors", error.reason)
            self._peer_directory.record_failure(address)
            race.fail(error, error.sent)
            return
        self._peer_directory.record_success(address)
        if not race.answered:
            # the other entry was faster than the store, or the direct call has failed
            self._hedge_at_once_until = self._clock() + IMMEDIATE_HEDGE_SECONDS
        race.complete(value)


class _Race:
    """Concurrent attempts at one call, of which the first response counts."""

    __slots__ = ("_finished", "_open_attempts", "answered", "error", "sent", "value")

    def __init__(self):
        self._open_attempts = 0
        self._finished = trio.Event()
        self.answered = False
        self.value = None
        self.error = None
        self.sent = False

    def add_attempt(self):
        """Adds an attempt that will complete or fail."""
        self._open_attempts += 1
        if self._finished.is_set() and not self.answered:
            self._finished = trio.Event()

    def complete(self, value):
        """Ends the race with the first response; later ones are ignored."""
        if not self.answered:
            self.answered = True
            self.value = value
        self._finished.set()

    def fail(self, error, sent):
        """Ends one attempt; ``sent`` is True if its call may still take effect."""
        self._open_attempts -= 1
        self.error = self.error or error
        self.sent = self.sent or sent
        if not self._open_attempts:
            self._finished.set()

    async def wait(self):
        """Returns at the first response, or when all attempts have failed."""
        while not self.answered and self._open_attempts:
            await self._finished.wait()
