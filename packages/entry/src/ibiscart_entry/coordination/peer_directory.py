"""
ibiscart_entry.coordination.peer_directory
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Directory of the entries, from which each learns through which others it can call the store.
"""

import logging

import trio

from ibiscart_core.value import (
    MAX_INT,
    InvalidValueError,
    require_address,
    require_int,
    require_object,
)
from ibiscart_entry.coordination.record import NODES_PARTITION, decode, encode
from ibiscart_entry.table import StoreError, TableConflict, TransactionRejected
from ibiscart_schema.generated.store_pb2 import TableWrite

__all__ = ["PeerDirectory"]

LOG = logging.getLogger("ibiscart.peers")
# time for which an entry is called last after a failed call; network partitions between entries
# last some seconds, and the cooldown costs nothing while other entries respond
PEER_COOLDOWN_SECONDS = 2.0
# interval at which an entry writes its row and reads the others; six of its writes in a row may
# fail before its row is stale
REGISTRATION_INTERVAL_SECONDS = 5.0
# the row of an entry is ignored and removed when it has not been written for this time
STALE_MS = 30_000
# most rows that are removed at each interval
MAX_REMOVALS = 50


class PeerDirectory:
    """Registers this entry in the store and reads the addresses of the other entries.

    ``now_ms`` returns Unix milliseconds, ``clock`` monotonic seconds.
    """

    def __init__(self, entry_name, address, table, now_ms, clock=trio.current_time):
        self._entry_name = entry_name
        self._address = address
        self._table = table
        self._now_ms = now_ms
        self._clock = clock
        self._peers = {}
        self._cooldown_until = {}
        self._last_responsive = None

    async def run(self, task_status=trio.TASK_STATUS_IGNORED):
        """Registers this entry and reads the others' rows until cancelled."""
        task_status.started()
        while True:
            try:
                await self._refresh()
            except (StoreError, TableConflict, TransactionRejected) as error:
                LOG.warning("The entries cannot be refreshed.", extra={"cause": str(error)})
            # while no other entry is known, calls cannot be relayed: reads the rows again after 1 s
            await trio.sleep(REGISTRATION_INTERVAL_SECONDS if self._peers else 1.0)

    def candidates(self, rng):
        """Returns the addresses of the other entries in random order.

        The entry that responded last comes first, those that failed recently come last.
        """
        now = self._clock()
        addresses = list(self._peers.values())
        rng.shuffle(addresses)
        return sorted(
            addresses,
            key=lambda address: (
                self._cooldown_until.get(address, 0.0) > now,
                address != self._last_responsive,
            ),
        )

    def record_failure(self, address):
        """Moves an entry to the end of ``candidates`` for the cooldown."""
        self._cooldown_until[address] = self._clock() + PEER_COOLDOWN_SECONDS

    def record_success(self, address):
        """Moves an entry to the front of ``candidates``."""
        self._cooldown_until.pop(address, None)
        self._last_responsive = address

    async def _refresh(self):
        """Writes this entry's row, reads those of the other entries and removes stale ones."""
        own_key = f"{NODES_PARTITION}/{self._entry_name}"
        own_registration = {"address": self._address, "at_ms": self._now_ms()}
        snapshot = await self._table.snapshot(NODES_PARTITION.partition(".")[0])
        peers, removals = {}, []
        for row in snapshot.rows:
            partition, _, row_name = row.key.partition("/")
            if row.key == own_key or partition != NODES_PARTITION:
                continue
            address = _live_address(row.value, self._now_ms())
            if address is None:
                removal = TableWrite(key=row.key, delete=True, expected_version=row.version)
                removals.append(removal)
            else:
                peers[row_name] = address
        self._peers = peers
        await self._table.transact([TableWrite(key=own_key, value=encode(own_registration))])
        for removal in removals[:MAX_REMOVALS]:
            await self._remove(removal)

    async def _remove(self, removal):
        """Removes the row of an entry unless it has changed or the store keeps it."""
        try:
            await self._table.transact([removal])
        except (TableConflict, TransactionRejected) as error:
            fields = {"key": removal.key, "cause": str(error)}
            LOG.warning("The row of an entry was not removed.", extra=fields)


def _live_address(value, now_ms):
    """Returns the address in an entry's row, None if the row is stale or malformed."""
    try:
        registration = require_object(decode(value), "entry")
        at_ms = require_int(registration.get("at_ms"), 0, MAX_INT, "at_ms")
        address = require_address(registration.get("address"), "address")
    except InvalidValueError:
        return None
    return None if now_ms - at_ms > STALE_MS else address
