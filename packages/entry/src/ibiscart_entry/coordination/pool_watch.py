"""
ibiscart_entry.coordination.pool_watch
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Follows the views of the pools that the leader publishes.
"""

import logging

import trio

from ibiscart_entry.coordination.record import POOLS_KEY, PoolsRow
from ibiscart_entry.table import StoreError

__all__ = ["PoolWatch"]

LOG = logging.getLogger("ibiscart.pools")
# pause after a read that did not return the row in force
RETRY_SECONDS = 0.5


class PoolWatch:
    """Keeps the ``PoolView`` of each pool and when a leader last confirmed it.

    Needs no call of its own while the views stay as they are: the leader's row, which each entry
    reads anyway, names the number of the ``PoolsRow`` in force.
    """

    def __init__(self, table, clock=trio.current_time):
        self._table = table
        self._clock = clock
        self._row = PoolsRow()
        # number of the row in force, 0 for none, and when it was confirmed
        self._number = 0
        self._confirmed_at = None
        self._outdated = trio.Event()

    @property
    def age_seconds(self):
        """Returns the seconds since a leader confirmed the views, or infinity."""
        if self._confirmed_at is None:
            return float("inf")
        return self._clock() - self._confirmed_at

    def view(self, pool):
        """Returns the ``PoolView`` of a pool, or None."""
        return self._row.views.get(pool)

    def record_leader(self, leader_row):
        """Takes note of a ``LeaderRow`` that has changed, which shows that a leader is alive."""
        self._number = leader_row.pools
        if self._number and self._number == self._row.number:
            self._confirmed_at = self._clock()
        elif self._number:
            self._outdated.set()

    async def run(self, task_status=trio.TASK_STATUS_IGNORED):
        """Reads the views whenever others are in force, until cancelled."""
        task_status.started()
        while True:
            await self._outdated.wait()
            self._outdated = trio.Event()
            try:
                self._row = PoolsRow.from_row(await self._table.get(POOLS_KEY))
            except StoreError as error:
                LOG.info("The views of the pools cannot be read.", extra={"cause": error.reason})
            if self._row.number != self._number:
                await trio.sleep(RETRY_SECONDS)
