"""
ibiscart_entry.coordination.peer_directory
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The other entries, for calls that one entry makes through another.
"""

import logging

import trio

from ibiscart_entry.coordination.record import NODES, decode, encode
from ibiscart_entry.table import StoreError, TableConflict
from ibiscart_schema.generated.store_pb2 import TableWrite

__all__ = ["PeerDirectory"]

LOG = logging.getLogger("ibiscart.peers")
# cuts between entries last some seconds; the pause costs nothing while others answer
PEER_PAUSE_SECONDS = 2.0
# one write and one read of each entry; six of them may fail before its row counts as stale
REGISTER_SECONDS = 5.0
# rows of entries that were not written again for so long are passed over and removed
STALE_MS = 30_000


class PeerDirectory:
    """The other entries, by the rows that each writes of itself."""

    def __init__(self, node, address, table, now_ms, clock=trio.current_time):
        self._node = node
        self._address = address
        self._table = table
        self._now_ms = now_ms
        self._clock = clock
        self._peers = {}
        self._paused = {}
        self._proven = None

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
        """Returns the addresses of other entries in random order.

        The one that answered last comes first, those that failed come last.
        """
        now = self._clock()
        addresses = list(self._peers.values())
        rng.shuffle(addresses)
        return sorted(
            addresses,
            key=lambda address: (self._paused.get(address, 0.0) > now, address != self._proven),
        )

    def pause(self, address):
        """Puts an entry that failed last for a time."""
        self._paused[address] = self._clock() + PEER_PAUSE_SECONDS

    def prove(self, address):
        """Puts an entry that answered first."""
        self._paused.pop(address, None)
        self._proven = address

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
