"""
ibiscart_entry.coordination.leadership
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Which entry decides: the holder of one row, whose every write is conditional on that row.
"""

import logging

import trio

from ibiscart_entry.coordination.record import LEADER_KEY, LeaderRow
from ibiscart_entry.table import StoreError, TableConflict
from ibiscart_schema.generated.store_pb2 import TableWrite

__all__ = ["Leadership", "LeadershipLost"]

LOG = logging.getLogger("ibiscart.leadership")
# an idle leader writes its row this often
HEARTBEAT_SECONDS = 0.25
# other entries read the row this often, and take over when it has not changed for the silence:
# three heartbeats, and the time that the store takes for a heartbeat and for a read
POLL_SECONDS = 0.25
SILENCE_SECONDS = 0.75
SILENCE_ANSWERS = 4.0
# spreads the claims of the entries by some ten answer times, so that few meet
STAGGER_SECONDS = 0.2
# mean pause after a failed commit; ten answer times
RETRY_SECONDS = 0.1
# the store takes 100 rows and conditions in one transaction
WRITES_PER_COMMIT = 90


class LeadershipLost(Exception):  # noqa: N818 - an expected change, not a failure
    """Another entry leads, or may lead."""


class Leadership:
    """Campaigns for the leader's row and writes under its condition.

    Each commit also moves the leader's row, so it renews the claim and fences every earlier
    write that is still under way. ``delay_seconds`` lets other entries go first;
    ``leader_address`` is where the present leader takes announcements, as last read.
    """

    def __init__(
        self, table, node, holder, address, *, rng, delay_seconds=0.0, clock=trio.current_time
    ):
        self._table = table
        self._node = node
        self._holder = holder
        self._address = address
        self._rng = rng
        self._delay_seconds = delay_seconds
        self._clock = clock
        self._row = None
        self._version = 0
        self._lock = trio.Lock()
        self.confirmed_at = None
        self.leader_address = ""

    @property
    def epoch(self):
        """Number of this leadership; the fencing token of its orders."""
        return self._row.epoch

    async def campaign(self):
        """Returns when this entry leads."""
        seen, seen_at = None, self._clock()
        stagger = self._delay_seconds + self._rng.uniform(0, STAGGER_SECONDS)
        while True:
            asked_at = self._clock()
            try:
                row = await self._table.get(LEADER_KEY)
            except StoreError:
                # silence counts only while the row can be read
                seen = None
                await trio.sleep(POLL_SECONDS)
                continue
            version = row.version if row is not None else 0
            held = LeaderRow.from_value(row.value) if row is not None else LeaderRow()
            self.leader_address = held.address
            now = self._clock()
            silence = SILENCE_SECONDS + SILENCE_ANSWERS * (now - asked_at) + stagger
            if version != seen:
                seen, seen_at = version, now
            own = held.node == self._node and held.holder != self._holder
            if not held.holder or own or now - seen_at >= silence:
                if await self._claim(held, version):
                    return
                seen = None
            await trio.sleep(POLL_SECONDS * self._rng.uniform(0.8, 1.0))

    async def commit(self, writes):
        """Applies ``TableWrite`` messages; retries until the outcome is known.

        Raises ``LeadershipLost`` when another entry has taken the row.
        """
        async with self._lock:
            writes = list(writes)
            while True:
                await self._commit_batch(writes[:WRITES_PER_COMMIT])
                writes = writes[WRITES_PER_COMMIT:]
                if not writes:
                    return

    async def check(self):
        """Raises ``LeadershipLost`` unless the row still names this entry."""
        async with self._lock:
            try:
                row = await self._table.get(LEADER_KEY)
            except StoreError:
                return
            held = LeaderRow.from_value(row.value) if row is not None else LeaderRow()
            if held.holder != self._holder or held.epoch != self._row.epoch:
                raise LeadershipLost(held.node)

    async def resign(self):
        """Gives the row up, so that another entry takes over at once."""
        async with self._lock:
            empty = LeaderRow(epoch=self._row.epoch, batch=self._row.batch + 1)
            try:
                await self._table.transact([self._leader_write(empty)])
            except (StoreError, TableConflict) as error:
                LOG.warning("The row could not be given up.", extra={"cause": str(error)})

    async def _claim(self, held, version):
        wanted = LeaderRow(self._node, self._holder, self._address, held.epoch + 1)
        self._row, self._version = wanted, version
        try:
            rows = await self._table.transact([self._leader_write(wanted)])
            self._version = rows[0].version
        except TableConflict:
            return False
        except StoreError as error:
            if not error.sent or not await self._claimed(wanted):
                return False
        self.confirmed_at = self._clock()
        self.leader_address = self._address
        fields = {"epoch": wanted.epoch, "previous": held.node, "previous_version": version}
        LOG.info("This entry leads.", extra=fields)
        return True

    async def _claimed(self, wanted):
        """Reads the outcome of a claim whose answer was lost."""
        try:
            row = await self._table.get(LEADER_KEY)
        except StoreError:
            return False
        if row is None or row.value != wanted.to_value():
            return False
        self._version = row.version
        return True

    async def _commit_batch(self, writes):
        row = self._row
        wanted = LeaderRow(row.node, row.holder, row.address, row.epoch, row.batch + 1)
        writes = [self._leader_write(wanted), *writes]
        tries = 0
        while True:
            tries += 1
            sent_at = self._clock()
            try:
                rows = await self._table.transact(writes)
                version = rows[0].version
                break
            except TableConflict as conflict:
                # the answer to an earlier try may have been lost after it took effect
                found = next((r for r in conflict.rows if r.key == LEADER_KEY), None)
                if found is None or found.value != wanted.to_value():
                    raise LeadershipLost(_holder_of(found)) from None
                version = found.version
                break
            except StoreError as error:
                if tries == 1:
                    fields = {"cause": error.reason, "batch": wanted.batch}
                    LOG.warning("A commit has no answer.", extra=fields)
                await trio.sleep(RETRY_SECONDS * self._rng.uniform(0.5, 1.5))
                await self._table.wait_answering()
        if tries > 1:
            LOG.info("The commit is answered.", extra={"tries": tries, "batch": wanted.batch})
        self._row, self._version = wanted, version
        self.confirmed_at = sent_at

    def _leader_write(self, content):
        return TableWrite(key=LEADER_KEY, value=content.to_value(), expected_version=self._version)


def _holder_of(row):
    return LeaderRow.from_value(row.value).node if row is not None and row.value else ""
