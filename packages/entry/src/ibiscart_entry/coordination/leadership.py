"""
ibiscart_entry.coordination.leadership
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Leader election by one row of the store; every write of the leader is conditional on that row.
"""

import logging

import trio

from ibiscart_entry.coordination.record import LEADER_KEY, LeaderRow
from ibiscart_entry.table import StoreError, TableConflict, TransactionRejected
from ibiscart_schema.generated.store_pb2 import TableWrite

__all__ = ["Leadership", "LeadershipLost", "WriteGroup"]

LOG = logging.getLogger("ibiscart.leadership")
# interval at which an idle leader writes the leader's row
HEARTBEAT_SECONDS = 0.25
# interval at which the other entries read the leader's row
POLL_SECONDS = 0.25
# the election timeout: another entry takes over when the leader's row has not changed for this
# time, three heartbeats, and the additions below
ELECTION_TIMEOUT_SECONDS = 0.75
# added to the election timeout: this many times the latency of the last read, for a slow heartbeat
# and a slow read
ELECTION_TIMEOUT_LATENCIES = 4.0
# upper bound of a random addition to the election timeout; it spreads the attempts of the entries
# over about ten times the store's latency, so that few of them conflict
MAX_JITTER_SECONDS = 0.2
# mean pause after a commit without a response; about ten times the store's latency
RETRY_SECONDS = 0.1
# bytes of a transaction besides the keys and values of its writes, for each write
WRITE_OVERHEAD_BYTES = 100
# entries that the leader's row takes in a transaction, and the upper bound of its bytes
LEADER_ROW_ENTRIES = 2
LEADER_ROW_BYTES = 2000
# size aimed at for a transaction: a commit is also sent through other entries, whose requests have
# up to 262,144 bytes
BATCH_BYTES = 200_000


class LeadershipLost(Exception):  # noqa: N818 - an expected change, not a failure
    """Another entry leads, or may lead."""


class WriteGroup:
    """``TableWrite`` messages that take effect together; ``job_id`` names the job they record.

    ``rejection`` is why the store rejected them, empty if it did not.
    """

    __slots__ = ("job_id", "rejection", "writes")

    def __init__(self, writes, job_id=""):
        self.writes = writes
        self.job_id = job_id
        self.rejection = ""

    @property
    def part_count(self):
        """Number of rows that remain besides the first."""
        return sum(not write.delete for write in self.writes) - 1

    @property
    def size(self):
        """Upper bound of the bytes that the writes take in a transaction."""
        return sum(
            len(write.value) * 4 // 3 + len(write.key) + WRITE_OVERHEAD_BYTES
            for write in self.writes
        )


class Leadership:
    """Campaigns for the leader's row and makes writes that are conditional on that row.

    Each commit also writes the leader's row, so it renews the leadership and fences off every
    earlier write that is still in flight. ``entry_name`` is the name of this entry, ``process_id``
    is unique to its process, and ``address`` is where the process receives announcements.
    ``campaign_delay_seconds`` lengthens the election timeout, which lets other entries go first.

    ``leader_address`` is where the current leader receives announcements, as last read.
    ``on_change`` is called with the ``LeaderRow`` each time a changed one is read, and after each
    commit. ``pools_number`` is the number of the ``PoolsRow`` that the commits confirm.
    ``confirmed_at`` is when the last write that confirmed the leadership was sent, in seconds of
    ``clock``; None before.
    """

    def __init__(
        self,
        table,
        entry_name,
        process_id,
        address,
        *,
        rng,
        campaign_delay_seconds=0.0,
        clock=trio.current_time,
    ):
        self._table = table
        self._entry_name = entry_name
        self._process_id = process_id
        self._address = address
        self._rng = rng
        self._campaign_delay_seconds = campaign_delay_seconds
        self._clock = clock
        self._row = None
        self._version = 0
        self._lock = trio.Lock()
        self.confirmed_at = None
        self.leader_address = ""
        self.on_change = lambda row: None
        self._reported_version = 0
        self.pools_number = 0
        self._committed_at = clock()

    @property
    def name(self):
        """Returns the name of this entry."""
        return self._entry_name

    @property
    def unconfirmed_seconds(self):
        """Returns the seconds since the store last confirmed the leadership, or infinity."""
        if self.confirmed_at is None:
            return float("inf")
        return self._clock() - self.confirmed_at

    @property
    def epoch(self):
        """Returns the number of this leadership, the fencing token of its calls to workers."""
        return self._row.epoch

    async def campaign(self, pause_seconds=0.0):
        """Returns as soon as this entry leads.

        For ``pause_seconds`` it lets other entries go first.
        """
        last_seen_version, changed_at = None, self._clock()
        eligible_at = changed_at + pause_seconds
        extra_timeout_seconds = self._campaign_delay_seconds + self._rng.uniform(
            0, MAX_JITTER_SECONDS
        )
        while True:
            sent_at = self._clock()
            try:
                row = await self._table.get(LEADER_KEY)
            except StoreError:
                # the timeout starts again: the row may change while it cannot be read
                last_seen_version = None
                await trio.sleep(POLL_SECONDS)
                continue
            version = row.version if row is not None else 0
            stored = LeaderRow.from_row(row)
            self.leader_address = stored.address
            now = self._clock()
            timeout_seconds = (
                ELECTION_TIMEOUT_SECONDS
                + ELECTION_TIMEOUT_LATENCIES * (now - sent_at)
                + extra_timeout_seconds
            )
            if version != last_seen_version:
                last_seen_version, changed_at = version, now
                self._report_change(stored, version)
            own_restart = stored.node == self._entry_name and stored.holder != self._process_id
            vacant = not stored.holder or own_restart or now - changed_at >= timeout_seconds
            if vacant and now >= eligible_at:
                if await self._acquire(stored, version):
                    return
                last_seen_version = None
            await trio.sleep(POLL_SECONDS * self._rng.uniform(0.8, 1.0))

    async def commit(self, groups=()):
        """Applies ``WriteGroup`` objects, several at once, and retries until the outcome is known.

        Returns the set of the groups that the store rejects for good. Raises ``LeadershipLost``
        when another entry has written the leader's row.
        """
        rejected = set()
        async with self._lock:
            for batch in self._make_batches(groups):
                await self._commit_accepted(batch, rejected)
        return rejected

    async def keep_renewing(self):
        """Writes the leader's row whenever no commit has done so for a heartbeat, until cancelled.

        Raises ``LeadershipLost``.
        """
        while True:
            await trio.sleep(max(0.0, self._committed_at + HEARTBEAT_SECONDS - self._clock()))
            async with self._lock:
                if self._clock() >= self._committed_at + HEARTBEAT_SECONDS:
                    await self._commit_batch([])

    def _make_batches(self, groups):
        """Yields lists of groups, each for one transaction; one empty list without any group."""
        batch, rows, size = [], 0, 0
        for group in groups:
            rows += len(group.writes)
            size += group.size
            if batch and (size > BATCH_BYTES or not self._fits(rows, size)):
                yield batch
                batch, rows, size = [], len(group.writes), group.size
            batch.append(group)
        yield batch

    def _fits(self, rows, size):
        """Returns True if one transaction takes writes of ``size`` bytes and the leader's row."""
        # the leader's row is a write with a condition
        return (
            rows <= self._table.max_transaction_rows - LEADER_ROW_ENTRIES
            and size <= self._table.max_transaction_bytes - LEADER_ROW_BYTES
        )

    async def _commit_accepted(self, batch, rejected):
        """Commits the groups of a batch; adds those that the store rejects to ``rejected``."""
        try:
            if len(batch) == 1 and not self._fits(len(batch[0].writes), batch[0].size):
                raise TransactionRejected("too_large")
            await self._commit_batch([write for group in batch for write in group.writes])
        except TransactionRejected as rejection:
            if not batch:
                raise
            if len(batch) == 1:
                batch[0].rejection = rejection.reason
                rejected.add(batch[0])
                return
            middle = len(batch) // 2
            await self._commit_accepted(batch[:middle], rejected)
            await self._commit_accepted(batch[middle:], rejected)

    async def check(self):
        """Raises ``LeadershipLost`` if the leader's row names another process or epoch.

        Returns without an error if the row cannot be read.
        """
        async with self._lock:
            try:
                row = await self._table.get(LEADER_KEY)
            except StoreError:
                return
            stored = LeaderRow.from_row(row)
            if stored.holder != self._process_id or stored.epoch != self._row.epoch:
                raise LeadershipLost(stored.node)

    async def resign(self):
        """Releases the leader's row, so that another entry takes over at once."""
        async with self._lock:
            empty = LeaderRow(epoch=self._row.epoch, batch=self._row.batch + 1)
            try:
                await self._table.transact([self._leader_row_write(empty)])
            except (StoreError, TableConflict, TransactionRejected) as error:
                LOG.warning("The leader's row was not released.", extra={"cause": str(error)})

    async def _acquire(self, stored, version):
        """Writes this entry into the leader's row if it has not changed since ``version``.

        ``stored`` is its ``LeaderRow`` at that version. Returns True if this entry leads now.
        """
        new_row = LeaderRow(self._entry_name, self._process_id, self._address, stored.epoch + 1)
        self._row, self._version = new_row, version
        self.pools_number = 0
        sent_at = self._clock()
        try:
            rows = await self._table.transact([self._leader_row_write(new_row)])
            self._version = rows[0].version
        except TableConflict:
            return False
        except StoreError as error:
            if not error.sent or not await self._has_acquired(new_row):
                return False
        self.confirmed_at = sent_at
        self._committed_at = self._clock()
        self.leader_address = self._address
        fields = {"epoch": new_row.epoch, "previous": stored.node, "previous_version": version}
        LOG.info("This entry leads.", extra=fields)
        return True

    async def _has_acquired(self, new_row):
        """Returns True if the leader's row is ``new_row``, whose write got no response."""
        try:
            row = await self._table.get(LEADER_KEY)
        except StoreError:
            return False
        if row is None or row.value != new_row.to_value():
            return False
        self._version = row.version
        return True

    async def _commit_batch(self, writes):
        """Applies the writes and the leader's row in one transaction.

        Repeats it until the outcome is known. Raises ``TransactionRejected``.
        """
        row = self._row
        new_row = LeaderRow(
            row.node, row.holder, row.address, row.epoch, row.batch + 1, self.pools_number
        )
        writes = [self._leader_row_write(new_row), *writes]
        attempts = 0
        while True:
            attempts += 1
            sent_at = self._clock()
            try:
                rows = await self._table.transact(writes)
                version = rows[0].version
                break
            except TableConflict as conflict:
                # the conflict may come from an earlier attempt that took effect without a response
                current = next((r for r in conflict.rows if r.key == LEADER_KEY), None)
                if current is None or current.value != new_row.to_value():
                    raise LeadershipLost(LeaderRow.from_row(current).node) from None
                version = current.version
                break
            except StoreError as error:
                if attempts == 1:
                    fields = {"cause": error.reason, "batch": new_row.batch}
                    LOG.warning("A commit has no answer.", extra=fields)
                await trio.sleep(RETRY_SECONDS * self._rng.uniform(0.5, 1.5))
                await self._table.wait_answering()
        if attempts > 1:
            LOG.info("The commit succeeded.", extra={"tries": attempts, "batch": new_row.batch})
        self._row, self._version = new_row, version
        self.confirmed_at = sent_at
        self._committed_at = self._clock()
        self._report_change(new_row, version)

    def _report_change(self, leader_row, version):
        """Calls ``on_change`` unless the row at this version was reported before."""
        if version != self._reported_version:
            self._reported_version = version
            self.on_change(leader_row)

    def _leader_row_write(self, leader_row):
        """Returns the ``TableWrite`` that replaces the leader's row if it has not changed."""
        return TableWrite(
            key=LEADER_KEY, value=leader_row.to_value(), expected_version=self._version
        )
