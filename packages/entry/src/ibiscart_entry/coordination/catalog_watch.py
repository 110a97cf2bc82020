"""
ibiscart_entry.coordination.catalog_watch
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Follows the configuration and keeps its newest version.

The version that is kept never decreases while the process runs.
"""

import logging

import trio

from ibiscart_entry.table import HistoryLost, StoreError

__all__ = ["CatalogWatch"]

LOG = logging.getLogger("ibiscart.catalog")
# longest time that a read waits for a change; changes must take effect within 2 s, in which a
# stalled connection must be detected and the configuration read again
LONG_POLL_SECONDS = 0.8
# pause after a failed read; short compared with the 2 s within which changes must take effect
RETRY_SECONDS = 0.1


class CatalogWatch:
    """Follows a ``CatalogSource``.

    ``catalog`` is the newest ``Catalog``, None until one is read. ``confirmed_at`` is when
    the last successful read was sent, in seconds of ``clock``; None before.
    """

    def __init__(self, source, clock=trio.current_time):
        self._source = source
        self._clock = clock
        self._changed = trio.Event()
        self._confirmed = trio.Event()
        self._reachable = True
        self.catalog = None
        self.confirmed_at = None

    @property
    def age_seconds(self):
        """Returns the seconds since the store last confirmed the configuration, or infinity."""
        if self.confirmed_at is None:
            return float("inf")
        return self._clock() - self.confirmed_at

    async def wait_confirmed(self, max_age_seconds, timeout_seconds):
        """Returns True as soon as ``age_seconds`` is below ``max_age_seconds``.

        Returns False if it is not within ``timeout_seconds``.
        """
        with trio.move_on_after(timeout_seconds):
            while self.age_seconds >= max_age_seconds:
                await self._confirmed.wait()
            return True
        return False

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
        table_version = None
        while True:
            sent_at = self._clock()
            try:
                if table_version is None:
                    catalog, table_version = await self._source.read()
                else:
                    catalog, table_version = await self._source.changes(
                        table_version, LONG_POLL_SECONDS
                    )
            except HistoryLost:
                table_version = None
                continue
            except StoreError as error:
                if self._reachable:
                    self._reachable = False
                    LOG.warning("The store does not answer.", extra={"cause": error.reason})
                table_version = None
                await trio.sleep(RETRY_SECONDS)
                continue
            if not self._reachable:
                self._reachable = True
                LOG.info("The store answers again.")
            self._apply(catalog, sent_at)
            self.confirmed_at = sent_at
            confirmed, self._confirmed = self._confirmed, trio.Event()
            confirmed.set()

    def _apply(self, catalog, sent_at):
        """Keeps ``catalog`` and wakes the subscribers if it is newer than the kept one.

        ``sent_at`` is when the call that returned it was sent, in seconds of the clock.
        """
        if catalog is None:
            return
        if self.catalog is not None and catalog.version <= self.catalog.version:
            return
        previous = self.catalog.version if self.catalog is not None else 0
        self.catalog = catalog
        fields = {
            "version": catalog.version,
            "previous": previous,
            "bytes": len(catalog.document),
            # includes the time that the store waited for a change
            "call_ms": round((self._clock() - sent_at) * 1000),
            "unconfirmed_ms": round(min(self.age_seconds, 1e6) * 1000),
        }
        LOG.info("A configuration is in force.", extra=fields)
        changed, self._changed = self._changed, trio.Event()
        changed.set()
