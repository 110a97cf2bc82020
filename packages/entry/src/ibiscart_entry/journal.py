"""
ibiscart_entry.journal
~~~~~~~~~~~~~~~~~~~~~~

The region's journal: append, follow, push and snapshots.
"""

import logging
import math
import random
from collections import deque

import trio

from ibiscart_core.error import ErrorKind, IbiscartError
from ibiscart_core.ledger import Ledger
from ibiscart_core.retry import full_jitter
from ibiscart_entry.catch_up import CatchUp
from ibiscart_entry.peer import PUSH
from ibiscart_entry.record_feed import RecordFeed
from ibiscart_entry.store import JournalRows, SnapshotStore
from ibiscart_entry.table import StoreError
from ibiscart_schema.generated.journal_pb2 import Record
from ibiscart_schema.generated.peer_pb2 import CatchUpReply, RecordPush

__all__ = ["AppendConflict", "AppendLost", "Journal"]

LOG = logging.getLogger("ibiscart.journal")
RECENT_RECORDS = 1024
EARLY_RECORDS = 64
EARLY_CONFIRMATIONS = 64
# the missing record of a gap is usually on its way, and arrives before this
GAP_DELAY_SECONDS = 0.1
SNAPSHOT_RETRY_SECONDS = 10.0
TOKEN_BITS = 96


class AppendConflict(Exception):  # noqa: N818 - a result of the protocol, not a failure
    """Another record has the sequence; nothing was written, now or later."""


class AppendLost(Exception):  # noqa: N818 - a result of the protocol, not a failure
    """The row was deleted before the outcome of the append could be read."""


class Journal:
    """A replica of the region's state that follows the journal and can append to it.

    ``ledger`` is replaced when a snapshot is loaded, so it is to be read anew each time.
    """

    def __init__(
        self,
        region,
        table,
        objects,
        peers,
        metrics,
        *,
        snapshot_records=500,
        poll_seconds=1.0,
        clock=trio.current_time,
        rng=None,
    ):
        self._region = region
        self._peers = peers
        self._metrics = metrics
        self._rows = JournalRows(region, table)
        self._snapshots = SnapshotStore(region, table, objects)
        self._snapshot_records = snapshot_records
        self._poll_seconds = poll_seconds
        self._clock = clock
        self._rng = rng or random.SystemRandom()
        self._recent = deque(maxlen=RECENT_RECORDS)
        self._early = {}
        # maps sequences that this entry has not reached to the latest time of a confirmation
        self._early_confirmations = {}
        self._feed = RecordFeed(metrics)
        self._confirmed = -math.inf
        self._undecided = None
        self._answer_lost = False
        self._store_answers = True
        self._append_lock = trio.Lock()
        self._poll_lock = trio.Lock()
        self._wake = trio.Event()
        self._advanced = trio.Event()
        self._ready = trio.Event()
        self.ledger = Ledger(region)
        peers.position = lambda: (self.sequence, self.ledger.share_epoch)
        peers.confirmed_age = self.confirmed_age
        peers.on_heartbeat.append(self._take_heartbeat)
        peers.on_confirmed = self._take_confirmation
        peers.route(PUSH, RecordPush, self._take_push)
        self._catch_up = CatchUp(peers, self._catch_up_reply)

    @property
    def sequence(self):
        """Sequence of the last applied record."""
        return self.ledger.sequence

    @property
    def ready(self):
        """Whether the state has been loaded."""
        return self._ready.is_set()

    @property
    def undecided(self):
        """Whether an append was sent and its answer was lost, so that its outcome is unknown."""
        return self._undecided is not None and self._answer_lost

    def confirmed_age(self):
        """Returns the seconds since the store last confirmed the position; inf if never.

        Counted from the start of the operation, so that a pause during it counts too.
        """
        return self._clock() - self._confirmed

    async def wait_ready(self):
        """Waits until the state has been loaded."""
        await self._ready.wait()

    async def wait_sequence(self, sequence):
        """Waits until the record with this sequence has been applied."""
        while self.sequence < sequence:
            await self._advanced.wait()

    def subscribe(self):
        """Returns a channel that receives each applied ``Record``.

        A record without events stands for records that were skipped by loading a snapshot.
        When the receiver lags by 1,024 records, further ones are dropped and counted; the
        ledger holds their effect.
        """
        return self._feed.subscribe()

    def records_after(self, sequence):
        """Returns the records after ``sequence``, or None when some are not in memory."""
        if sequence >= self.sequence:
            return []
        if not self._recent or self._recent[0].sequence > sequence + 1:
            return None
        return [record for record in self._recent if record.sequence > sequence]

    def offer(self, records):
        """Takes pushed records: old ones are ignored, early ones are kept until their turn."""
        for record in records:
            if not self.ready:
                return
            if record.sequence == self.sequence + 1:
                self._apply(record)
            elif record.sequence > self.sequence and len(self._early) < EARLY_RECORDS:
                self._early[record.sequence] = record
        self._apply_early()
        if self._early:
            self._wake.set()

    async def confirm(self):
        """Reads the journal's tail from the store; raises ``StoreError``."""
        await self._poll()

    async def append(self, events, now_us, after=None):
        """Appends one record of ``events`` decided at ``now_us``; returns the ``Record``.

        ``after`` is the sequence of the state on which the events were decided. Waits as
        long as the outcome is unknown. Raises ``AppendConflict``; ``AppendLost`` when the
        outcome can no longer be known; ``StoreError`` only when nothing was sent.
        """
        async with self._append_lock:
            if self._undecided is not None:
                try:
                    await self._resolve()
                except (AppendConflict, AppendLost) as error:
                    LOG.info("journal: An earlier append ended.", extra={"cause": str(error)})
            after = self.sequence if after is None else after
            version = await self._head_version()
            # checked after the wait for the head, during which the state may advance
            if after != self.sequence:
                raise AppendConflict(f"the state is at {self.sequence}, not {after}")
            record = Record(
                region=self._region,
                sequence=self.sequence + 1,
                token=f"{self._rng.getrandbits(TOKEN_BITS):024x}",
                writer=self._peers.entry_id,
                time_us=max(now_us, self.ledger.time_us),
                events=events,
            )
            self._undecided = (record, version, False)
            self._answer_lost = False
            return await self._resolve()

    async def run(self, task_status=trio.TASK_STATUS_IGNORED):
        """Loads the state, then follows the journal and stores snapshots until cancelled."""
        task_status.started()
        await self._load()
        self._ready.set()
        LOG.info("journal: The state is loaded.", extra={"sequence": self.sequence})
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._follow)
            nursery.start_soon(self._store_snapshots)

    # append

    async def _head_version(self):
        head = self._rows.head
        if head is None or head[0] != self.sequence:
            try:
                head = await self._rows.read_head()
            except StoreError as error:
                raise StoreError(error.reason, False) from None
        if head[0] > self.sequence:
            await self._poll_quietly()
            raise AppendConflict(f"the journal was at {head[0]}")
        if head[0] < self.sequence:
            raise StoreError("head_behind", False)
        return head[1]

    async def _resolve(self):
        record = self._undecided[0]
        start = self._clock()
        attempt = 0
        while True:
            asked = -math.inf
            try:
                written = self._known_outcome(record)
                if written is None:
                    asked = self._clock()
                    written = await self._write(record)
                break
            except StoreError as error:
                if not self._undecided[2]:
                    self._undecided = None
                    raise
                self._answer_lost = True
                self._metrics.count("retries", f"append_{error.reason}")
            await trio.sleep(full_jitter(attempt, self._rng))
            attempt += 1
        self._undecided = None
        outcome = "written" if written else "conflict"
        self._metrics.observe("append_seconds", outcome, self._clock() - start)
        if not written:
            self._metrics.count("append_conflicts", "sequence")
            await self._poll_quietly()
            raise AppendConflict(f"record {record.sequence} is another writer's")
        self._confirmed = max(self._confirmed, asked)
        self._apply(record)
        for event in record.events:
            self._metrics.count("decisions", event.WhichOneof("kind"))
        self._peers.broadcast(PUSH, RecordPush(records=[record]))
        return record

    async def _write(self, record):
        """Writes the record once; returns whether the row holds it."""
        _, version, sent = self._undecided
        # set before the request: a cancelled request may have been sent
        self._undecided = (record, version, True)
        try:
            present, head = await self._rows.write(record, version)
        except StoreError as error:
            self._undecided = (record, version, sent or error.sent)
            raise
        if present is not None:
            self._apply(present)
            return present.token == record.token
        if sent and head >= record.sequence:
            self._undecided = None
            self._metrics.count("append_conflicts", "lost")
            raise AppendLost(f"row {record.sequence} was deleted")
        return False

    def _known_outcome(self, record):
        if self.sequence < record.sequence:
            return None
        for applied in reversed(self._recent):
            if applied.sequence == record.sequence:
                return applied.token == record.token
        return None

    # follow

    async def _load(self):
        attempt = 0
        while True:
            try:
                await self._load_snapshot()
                await self._poll()
                return
            except StoreError as error:
                self._note_store(error)
            if await self._catch_up_from_peer():
                return
            await trio.sleep(0.1 + full_jitter(attempt, self._rng, cap=2.0))
            attempt += 1

    async def _load_snapshot(self):
        snapshot = await self._snapshots.load()
        if snapshot is not None:
            self._replace(snapshot)

    async def _follow(self):
        while True:
            with trio.move_on_after(self._poll_seconds):
                await self._wake.wait()
                await trio.sleep(GAP_DELAY_SECONDS)
            self._wake = trio.Event()
            # an append confirms the position as well as a poll
            if self._early or self.confirmed_age() >= self._poll_seconds:
                if not await self._poll_quietly():
                    await self._catch_up_from_peer()

    async def _poll_quietly(self):
        try:
            await self._poll()
        except StoreError as error:
            self._note_store(error)
            return False
        self._note_store(None)
        return True

    def _note_store(self, error):
        """Logs when the store becomes unavailable or available."""
        if (error is None) == self._store_answers:
            return
        self._store_answers = error is None
        if error is None:
            LOG.info("journal: The store answers again.")
        else:
            LOG.warning("journal: The store is unavailable.", extra={"cause": error.reason})

    async def _poll(self):
        async with self._poll_lock:
            while True:
                start = self._clock()
                before = self.sequence
                records, head = await self._rows.read_after(before)
                for record in records:
                    self._apply(record)
                if head is not None and head <= self.sequence:
                    self._confirmed = max(self._confirmed, start)
                    return
                if self.sequence == before:
                    # the next row was deleted
                    await self._load_snapshot()
                    if self.sequence == before:
                        raise StoreError("journal_gap", True)

    async def _catch_up_from_peer(self):
        """Returns whether a peer gave its state, even if it was no newer."""
        reply = await self._catch_up.ask(self.sequence)
        if reply is None:
            return False
        if reply.HasField("snapshot"):
            self._replace(reply.snapshot)
        for record in reply.records:
            self._apply(record)
        return True

    def _catch_up_reply(self, sequence):
        if not self.ready:
            raise IbiscartError(ErrorKind.NOT_READY, "the state is not loaded")
        records = self.records_after(sequence)
        if records is None:
            return CatchUpReply(snapshot=self.ledger.snapshot())
        return CatchUpReply(records=records)

    async def _take_push(self, sender, message):
        self.offer(message.records)
        return self._peers.answer(sender, message.state)

    def _take_confirmation(self, sequence, time):
        """Notes that the journal had no record after ``sequence`` at ``time``.

        Counts only for an entry that has reached the store itself since it started, and once the
        entry has all records up to ``sequence``.
        """
        if self._confirmed == -math.inf:
            return
        if sequence <= self.sequence:
            self._confirmed = max(self._confirmed, time)
        elif len(self._early_confirmations) < EARLY_CONFIRMATIONS:
            known = self._early_confirmations.get(sequence, -math.inf)
            self._early_confirmations[sequence] = max(known, time)

    def _apply_early_confirmations(self):
        """Applies the confirmations of sequences that the entry has reached."""
        for sequence in [s for s in self._early_confirmations if s <= self.sequence]:
            time = self._early_confirmations.pop(sequence)
            self._confirmed = max(self._confirmed, time)

    def _take_heartbeat(self, peer_id, sequence):
        # while the store answers, polls find the records
        if sequence > self.sequence and self.confirmed_age() > 2 * self._poll_seconds:
            self._wake.set()

    def _apply(self, record):
        """Applies the record if it is the next one."""
        if record.sequence != self.sequence + 1:
            return
        self.ledger.apply(record)
        self._recent.append(record)
        self._early.pop(record.sequence, None)
        self._notify(record)
        self._apply_early()

    def _apply_early(self):
        for sequence in [s for s in self._early if s <= self.sequence]:
            del self._early[sequence]
        record = self._early.get(self.sequence + 1)
        if record is not None:
            self._apply(record)

    def _replace(self, snapshot):
        if snapshot.sequence <= self.sequence or snapshot.region != self._region:
            return
        self.ledger = Ledger.from_snapshot(snapshot)
        self._recent.clear()
        self._notify(Record(region=self._region, sequence=self.sequence))
        self._apply_early()

    def _notify(self, record):
        self._apply_early_confirmations()
        self._advanced.set()
        self._advanced = trio.Event()
        self._feed.publish(record)

    # snapshots

    async def _store_snapshots(self):
        while True:
            await self._advanced.wait()
            if self._peers.preferred_writer() != self._peers.entry_id:
                continue
            try:
                if await self._snapshots.store_if_due(self.ledger, self._snapshot_records):
                    LOG.info("journal: A snapshot is stored.")
            except StoreError as error:
                LOG.warning("journal: A snapshot failed.", extra={"cause": error.reason})
                await trio.sleep(SNAPSHOT_RETRY_SECONDS)
