"""
ibiscart_entry.coordination.peer_directory
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Directory of the other entries, through which an entry can relay its calls.
"""

import logging

import trio

from ibiscart_entry.coordination.record import NODES_PARTITION, decode, encode
from ibiscart_entry.table import StoreError, TableConflict
from ibiscart_schema.generated.store_pb2 import TableWrite

__all__ = ["PeerDirectory"]

LOG = logging.getLogger("ibiscart.peers")
# network partitions between entries last some seconds; the cooldown costs nothing while other
# entries respond
PEER_COOLDOWN_SECONDS = 2.0
# costs one write and one read per entry; six registrations in a row may fail before the row of
# an entry is stale
REGISTRATION_INTERVAL_SECONDS = 5.0
# rows of entries that have not been renewed for this time are ignored and removed
STALE_MS = 30_000


class PeerDirectory:
    """Registers this entry in the store and reads the addresses of the other entries.

    ``now_ms`` returns Unix milliseconds, ``clock`` monotonic seconds.
    """

    def __init__(self, node, address, table, now_ms, clock=trio.current_time):
        self._node = node
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
            except (StoreError, TableConflict) as error:
                LOG.warning("The entries cannot be refreshed.", extra={"cause": str(error)})
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
        row = {"address": self._address, "at_ms": self._now_ms()}
        writes = [TableWrite(key=f"{NODES_PARTITION}/{self._node}", value=encode(row))]
        found = await self._table.snapshot(NODES_PARTITION.partition(".")[0])
        peers = {}
        for other in found.rows:
            name = other.key.partition("/")[2]
            entry = decode(other.value)
            if name == self._node:
                continue
            if self._now_ms() - entry["at_ms"] > STALE_MS:
                removal = TableWrite(key=other.key, delete=True, expected_version=other.version)
                writes.append(removal)
            else:
                peers[name] = entry["address"]
        self._peers = peers
        await self._table.transact(writes)
