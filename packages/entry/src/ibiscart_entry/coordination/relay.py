"""
ibiscart_entry.coordination.relay
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Calls the store through another entry when the store does not respond to this one.
"""

import json
import logging
import math

import trio

from ibiscart_core.value import InvalidValueError, parse_json
from ibiscart_core.workflow.outage import StoreCondition
from ibiscart_entry.client import TransportError
from ibiscart_entry.coordination.record import LEADER_KEY
from ibiscart_entry.coordination.relay_message import RELAY_PATH, parse_response, write_document
from ibiscart_entry.coordination.stall_detector import StallDetector
from ibiscart_entry.table import (
    FollowedTable,
    HistoryLost,
    StoreError,
    TableConflict,
    TransactionRejected,
)

__all__ = ["RelayTable"]

LOG = logging.getLogger("ibiscart.relay")
# shortest delay after which a call is also sent through another entry; a store under normal load
# responds within 10 ms
HEDGE_SECONDS = 0.15
# the hedge delay grows by this many times the expected latency, so that a slow store does not get
# each call twice
HEDGE_LATENCIES = 3.0
# upper bounds of the hedge delay, so that a stalled connection is noticed although the store was
# slow before; the bound for writes is longer because a second copy of a write makes other writes of
# its partition wait
MAX_READ_HEDGE_SECONDS = 0.4
MAX_WRITE_HEDGE_SECONDS = 1.0
# a snapshot is read through another entry, and then through the next, when no page of it has
# arrived for this time: it may be large, and copies slow down one another on the entry's own link
SNAPSHOT_HEDGE_SECONDS = 0.4
# for this time after a direct call has failed, or another entry was faster, calls are sent through
# another entry without delay
IMMEDIATE_HEDGE_SECONDS = 0.5
# timeout of a call through another entry, which uses only its direct route to the store
RELAY_TIMEOUT_SECONDS = 1.4
# the same for a snapshot
SNAPSHOT_TIMEOUT_SECONDS = 8.0
# number of entries through which one call is sent at most; a third of the entries may be cut off
# at once, and one in eighty calls through four entries meets only such entries
MAX_PEERS = 4
# delay between the calls of one entry and the next; a reachable entry responds within about 20 ms
PEER_STAGGER_SECONDS = 0.1
# interval and timeout of the reads that probe a store that does not respond
PROBE_INTERVAL_SECONDS = 0.2
PROBE_TIMEOUT_SECONDS = 1.0


class RelayTable(FollowedTable):
    """A ``FollowedTable`` that calls another entry when the store does not respond directly.

    A call may reach the store twice, so every write must be conditional or idempotent. While
    the store is unreachable by every route, calls are refused at once and ``monitor`` probes
    the store. ``direct_table`` is the table by this entry's own route to the store. ``connect``
    returns the HTTP client for the address of an entry. ``low_priority`` of a call is ignored.
    """

    def __init__(
        self, direct_table, peer_directory, connect, metrics, rng, clock=trio.current_time
    ):
        self._direct_table = direct_table
        self._peer_directory = peer_directory
        self._connect = connect
        self._metrics = metrics
        self._rng = rng
        self._clock = clock
        self._stall_detector = StallDetector(clock)
        self._hedge_at_once_until = 0.0
        self._reachable = True
        self._reachable_changed_at = 0.0
        self._recovered = trio.Event()
        self._started_at = clock()
        self._answered_at = -math.inf
        self._outage_began_at = self._started_at
        self._outage_cause = ""
        self._changed = trio.Event()
        self._probe_requested = trio.Event()

    @property
    def answering(self):
        """Returns True if the store is reachable.

        Otherwise all calls but ``changes`` are refused before they are sent.
        """
        return self._reachable

    @property
    def silent_seconds(self):
        """Returns the seconds for which calls have been open without a response by any way."""
        return self._stall_detector.silent_seconds

    @property
    def condition(self):
        """Returns the present ``StoreCondition``."""
        now = self._clock()
        answer_age = now - self._answered_at
        outage_age = None if self._reachable else now - self._outage_began_at
        return StoreCondition(
            answer_age,
            self.silent_seconds,
            self._stall_detector.latency_seconds,
            outage_age,
        )

    @property
    def max_value_bytes(self):
        """Largest size of a row's value in bytes."""
        return self._direct_table.max_value_bytes

    @property
    def max_transaction_bytes(self):
        """Largest size of a transaction in bytes, as it is sent."""
        return self._direct_table.max_transaction_bytes

    async def wait_answering(self):
        """Returns as soon as the store is reachable."""
        if not self._reachable:
            await self._recovered.wait()

    async def wait_change(self):
        """Returns after the next response of the store, or when it is lost."""
        await self._changed.wait()

    def request_probe(self):
        """Lets ``monitor`` read from the store, unless it has just done so."""
        self._probe_requested.set()

    async def monitor(self, task_status=trio.TASK_STATUS_IGNORED):
        """Detects a store that has stopped responding and probes it until it responds.

        Probes on request as well.
        """
        async with trio.open_nursery() as nursery:
            task_status.started()
            probed_at = -math.inf
            while True:
                with trio.move_on_after(PROBE_INTERVAL_SECONDS):
                    await self._probe_requested.wait()
                requested, self._probe_requested = self._probe_requested.is_set(), trio.Event()
                if self._reachable and self._stall_detector.stalled:
                    self._set_reachable(False, "silent")
                now = self._clock()
                probe_pending = self._answered_at < probed_at > now - PROBE_INTERVAL_SECONDS
                if (requested or not self._reachable) and not probe_pending:
                    # a new probe, although earlier ones are open: their connections may stay
                    # stalled
                    probed_at = now
                    nursery.start_soon(self._probe)

    async def get(self, key, *, low_priority=False):
        """Returns the ``Row``, or None when it is absent."""
        return await self._call("get", {"key": key}, lambda: self._direct_table.get(key))

    async def scan(self, prefix, after="", limit=256, *, low_priority=False):
        """Returns up to ``limit`` rows with ``prefix`` and keys after ``after``, in key order."""
        arguments = {"prefix": prefix, "after": after, "limit": limit}
        return await self._call(
            "scan", arguments, lambda: self._direct_table.scan(prefix, after, limit)
        )

    async def transact(self, writes, *, low_priority=False):
        """Applies all writes or none; returns the rows with their new versions."""
        arguments = {"writes": [write_document(write) for write in writes]}
        return await self._call("transact", arguments, lambda: self._direct_table.transact(writes))

    async def snapshot(self, table, on_page=lambda: None):
        """Returns ``Changes`` with all rows of a table."""
        arguments = {"table": table}
        if not self._reachable:
            raise StoreError("store_down", False)
        race = _Race()

        def record_page():
            race.record_progress()
            on_page()

        async def call_direct():
            return await self._direct_table.snapshot(table, record_page)

        return await self._call_hedged("snapshot", arguments, call_direct, 0.0, race)

    async def changes(self, table, after, wait_seconds):
        """Returns ``Changes`` after version ``after``; waits up to ``wait_seconds`` for one."""
        arguments = {"table": table, "after": after, "wait_seconds": wait_seconds}

        async def call_direct():
            return await self._direct_table.changes(table, after, wait_seconds)

        return await self._call_hedged("changes", arguments, call_direct, wait_seconds)

    async def _call(self, operation, arguments, call_direct):
        """Makes a call that is not a long poll; raises ``StoreError`` at once if unreachable.

        ``operation`` and ``arguments`` are sent to other entries, ``call_direct`` calls the store.
        """
        if not self._reachable:
            raise StoreError("store_down", False)
        return await self._call_hedged(operation, arguments, call_direct, 0.0)

    async def _probe(self):
        """Reads the leader's row; a response shows that the store is reachable again."""
        with trio.move_on_after(PROBE_TIMEOUT_SECONDS):
            try:
                await self._call_hedged(
                    "get", {"key": LEADER_KEY}, lambda: self._direct_table.get(LEADER_KEY), 0.0
                )
            except StoreError:
                pass  # the metrics count the failure; ``_set_reachable`` has logged the loss

    async def _call_hedged(self, operation, arguments, call_direct, wait_seconds, race=None):
        """Returns or raises the first response, of the direct route or of other entries.

        ``wait_seconds`` is how long the store may wait for a change before it responds. ``race`` is
        given if the direct call reports its progress.
        """
        race = race or _Race()
        started_at = self._clock()
        peers = self._peer_directory.candidates(self._rng)[:MAX_PEERS]
        async with trio.open_nursery() as nursery:
            race.add_attempt()
            nursery.start_soon(self._attempt_direct, race, call_direct, bool(wait_seconds))
            if not wait_seconds:
                nursery.start_soon(self._repeat_on_recovery, race, call_direct)
            remaining_wait_seconds = wait_seconds
            if self._clock() >= self._hedge_at_once_until:
                await race.wait_while_progressing(wait_seconds + self._hedge_seconds(operation))
                remaining_wait_seconds = 0.0
            if wait_seconds:
                arguments = {**arguments, "wait_seconds": remaining_wait_seconds}
            if not race.answered:
                await self._attempt_peers(
                    race, nursery, peers, operation, arguments, remaining_wait_seconds
                )
            await race.wait()
            nursery.cancel_scope.cancel()
        return self._finish_call(race, started_at)

    def _hedge_seconds(self, operation):
        """Returns the delay in seconds after which another entry is called as well."""
        if operation == "snapshot":
            return SNAPSHOT_HEDGE_SECONDS
        write = operation == "transact"
        max_hedge_seconds = MAX_WRITE_HEDGE_SECONDS if write else MAX_READ_HEDGE_SECONDS
        return min(
            max_hedge_seconds,
            HEDGE_SECONDS + HEDGE_LATENCIES * self._stall_detector.latency_seconds,
        )

    def _finish_call(self, race, started_at):
        """Returns or raises the outcome of a race; updates whether the store is reachable."""
        # a call that was sent before the last change does not show whether the store is reachable
        # now
        sent_since_change = started_at >= self._reachable_changed_at
        if not race.answered:
            if sent_since_change:
                self._set_reachable(False, race.error.reason)
            raise StoreError(race.error.reason, race.sent)
        self._stall_detector.record_response(started_at)
        self._answered_at = self._clock()
        self._notify_change()
        if sent_since_change:
            self._set_reachable(True, "")
        if isinstance(race.value, Exception):
            raise race.value
        return race.value

    def _set_reachable(self, reachable, cause):
        """Records whether the store is reachable, logs a change, and wakes the waiting callers."""
        if reachable is self._reachable:
            return
        now = self._clock()
        self._reachable = reachable
        self._reachable_changed_at = now
        if reachable:
            seconds = now - self._outage_began_at
            self._metrics.observe("store_outage_seconds", self._outage_cause, seconds)
            fields = {"cause": self._outage_cause, "seconds": round(seconds, 3)}
            LOG.info("The store is reached again.", extra=fields)
            recovered, self._recovered = self._recovered, trio.Event()
            recovered.set()
        else:
            self._outage_began_at = max(self._answered_at, self._started_at)
            self._outage_cause = cause
            LOG.warning("The store is not reached by any way.", extra={"cause": cause})
        self._notify_change()

    def _notify_change(self):
        """Wakes the tasks in ``wait_change``."""
        changed, self._changed = self._changed, trio.Event()
        changed.set()

    async def _attempt_direct(self, race, call_direct, long_poll):
        """Makes one attempt of a race by the direct route.

        The duration of a long poll does not count as latency, since the store waits for a change.
        """
        sent_at = self._clock()
        if not long_poll:
            self._stall_detector.begin_call()
        try:
            value = await call_direct()
        except (TableConflict, TransactionRejected, HistoryLost) as result:
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
        """Repeats the call directly when the store recovers; its first connection stays stalled."""
        while True:
            await self._recovered.wait()
            race.add_attempt()
            await self._attempt_direct(race, call_direct, False)

    async def _attempt_peers(self, race, nursery, peers, operation, arguments, wait_seconds):
        """Calls the entries at ``peers`` one after another until the race has a response.

        The next entry is called while earlier ones have not responded. ``wait_seconds`` is how long
        the store may wait for a change before it responds.
        """
        for address in peers:
            if race.answered:
                return
            race.add_attempt()
            nursery.start_soon(
                self._attempt_peer, race, address, operation, arguments, wait_seconds
            )
            snapshot = operation == "snapshot"
            stagger_seconds = SNAPSHOT_HEDGE_SECONDS if snapshot else PEER_STAGGER_SECONDS
            with trio.move_on_after(wait_seconds + stagger_seconds):
                await race.wait()

    async def _attempt_peer(self, race, address, operation, arguments, wait_seconds):
        """Makes one attempt of a race through the entry at ``address``."""
        self._metrics.count("peer_messages", f"store_{operation}")
        client = self._connect(address)
        body = json.dumps({"operation": operation, **arguments}).encode()
        snapshot = operation == "snapshot"
        timeout = SNAPSHOT_TIMEOUT_SECONDS if snapshot else RELAY_TIMEOUT_SECONDS + wait_seconds
        try:
            response = await client.request("POST", RELAY_PATH, body=body, timeout=timeout)
            value = _parse_peer_response(operation, response)
        except (StoreError, TransportError) as error:
            # the called entry may be cut off from the store or be refused by it; for some time, it
            # is called last
            self._metrics.count("peer_errors", error.reason)
            self._peer_directory.record_failure(address)
            race.fail(error, error.sent)
            return
        self._peer_directory.record_success(address)
        if not race.answered:
            # the direct route is slow or fails: for some time, calls are sent to another entry at
            # once
            self._hedge_at_once_until = self._clock() + IMMEDIATE_HEDGE_SECONDS
        race.complete(value)


def _parse_peer_response(operation, response):
    """Returns the result of a call through another entry; raises ``StoreError``."""
    if response.status != 200:
        raise StoreError(f"peer_status_{response.status}", True)
    try:
        return parse_response(operation, parse_json(response.body, name="response"))
    except InvalidValueError:
        raise StoreError("peer_malformed", True) from None


class _Race:
    """Concurrent attempts at one call, of which the first response counts.

    ``value`` is that response, ``error`` the first failure. ``sent`` is True if a failed attempt
    may still take effect.
    """

    __slots__ = (
        "_finished",
        "_open_attempts",
        "_progressed",
        "answered",
        "error",
        "sent",
        "value",
    )

    def __init__(self):
        self._open_attempts = 0
        self._finished = trio.Event()
        self._progressed = False
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
        """Ends one attempt with an error; ``sent`` is True if the call may still take effect."""
        self._open_attempts -= 1
        self.error = self.error or error
        self.sent = self.sent or sent
        if not self._open_attempts:
            self._finished.set()

    def record_progress(self):
        """Records that a part of the response to the direct call has arrived."""
        self._progressed = True

    async def wait_while_progressing(self, seconds):
        """Waits for a response until the direct call made no progress for ``seconds``."""
        self._progressed = True
        while self._progressed:
            self._progressed = False
            with trio.move_on_after(seconds):
                await self.wait()
                return

    async def wait(self):
        """Returns at the first response, or when all attempts have failed."""
        while not self.answered and self._open_attempts:
            await self._finished.wait()
