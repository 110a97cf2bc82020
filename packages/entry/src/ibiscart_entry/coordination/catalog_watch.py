"""
ibiscart_entry.coordination.catalog_watch
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Keeps the newest configuration, which never goes back within one life of the process.
"""

import logging

import trio

from ibiscart_entry.table import HistoryLost, StoreError

__all__ = ["CatalogWatch"]

LOG = logging.getLogger("ibiscart.catalog")
# changes have to be in force within 2 s: a connection that has gone silent is found out and
# the configuration read anew within that time
FOLLOW_SECONDS = 0.8
# short against the bound of 2 s
RETRY_SECONDS = 0.1


class CatalogWatch:
    """Follows a ``CatalogSource``; ``catalog`` is None until the first one was read."""

    def __init__(self, source, clock=trio.current_time):
        self._source = source
        self._clock = clock
        self._changed = trio.Event()
        self._reachable = True
        self.catalog = None
        self.confirmed_at = None

    @property
    def age_seconds(self):
        """Seconds since the store last confirmed the configuration; infinite before."""
        if self.confirmed_at is None:
            return float("inf")
        return self._clock() - self.confirmed_at

    async def subscribe(self):
        """Yields the newest catalog, then each later one."""
        version = None
        while True:
            changed = self._changed
            if self.catalog is not None and self.catalog.version != version:
                version = self.catalog.version
                yield self.catalog
                continue
            await changed.wait()

    async def run(self, task_status=trio.TASK_STATUS_IGNORED):
        """Follows the configuration until cancelled."""
        task_status.started()
        position = None
        while True:
            asked_at = self._clock()
            try:
                if position is None:
                    catalog, position = await self._source.read()
                else:
                    catalog, position = await self._source.changes(position, FOLLOW_SECONDS)
            except HistoryLost:
                position = None
                continue
            except StoreError as error:
                if self._reachable:
                    self._reachable = False
                    LOG.warning("The store does not answer.", extra={"cause": error.reason})
                position = None
                await trio.sleep(RETRY_SECONDS)
                continue
            if not self._reachable:
                self._reachable = True
                LOG.info("The store answers again.")
            self.confirmed_at = asked_at
            self._take(catalog)

    def _take(self, catalog):
        if catalog is None:
            return
        if self.catalog is not None and catalog.version <= self.catalog.version:
            return
        previous = self.catalog.version if self.catalog is not None else 0
        self.catalog = catalog
        fields = {"version": catalog.version, "previous": previous}
        LOG.info("A configuration is in force.", extra=fields)
        changed, self._changed = self._changed, trio.Event()
        changed.set()
