"""
ibiscart_entry.coordination.catalog_watch
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Follows the configuration and the evacuated data centres, and keeps the newest version of each.

The versions that are kept never decrease while the process runs.
"""

import functools
import logging

import trio

from ibiscart_entry.table import HistoryLost, StoreError

__all__ = ["CatalogWatch"]

LOG = logging.getLogger("ibiscart.catalog")
# longest time that a read waits for a change; changes must take effect within 2 s, in which a
# stalled connection must be detected and the configuration read in another way
LONG_POLL_SECONDS = 0.8
# pause after a failed read, doubled after each further one up to the maximum, so that a store or
# entries that refuse are not asked all the time
RETRY_SECONDS = 0.1
MAX_RETRY_SECONDS = 0.8
# the configuration is read in other ways too when the store has not answered a long poll in this
# time: its wait and a margin for the response; also the longest duration of one attempt in other
# ways, after which the next attempt uses new connections
OVERDUE_SECONDS = 1.2


class CatalogWatch:
    """Follows a ``CatalogSource``.

    ``peers`` is the ``CatalogClient`` that asks the other entries while the store does not confirm
    the configuration. ``catalog`` is the newest ``Catalog``, None until one is read.
    ``confirmed_at`` is a time at which it was certainly the newest, in seconds of ``clock``; None
    before. ``evacuations`` are the newest ``Evacuations``, and ``evacuations_confirmed_at`` is the
    same of them; both stay None if the source does not follow them.
    """

    def __init__(self, source, clock=trio.current_time, peers=None):
        self._source = source
        self._clock = clock
        self._peers = peers
        self._changed = trio.Event()
        self._confirmed = trio.Event()
        self._reachable = True
        self._failed = trio.Event()
        # when the store's answer to the call that is under way becomes late
        self._overdue_at = 0.0
        self._answer_begun = False
        self.catalog = None
        self.confirmed_at = None
        self.evacuations = None
        self.evacuations_confirmed_at = None

    @property
    def age_seconds(self):
        """Returns the seconds since the store last confirmed the configuration, or infinity."""
        return self._seconds_since(self.confirmed_at)

    @property
    def evacuations_age_seconds(self):
        """Returns the seconds since the store last confirmed the evacuations, or infinity."""
        return self._seconds_since(self.evacuations_confirmed_at)

    def _seconds_since(self, time):
        """Returns the seconds since a time of the clock, infinity if it is None."""
        return float("inf") if time is None else self._clock() - time

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

    async def wait_newer(self, version, known_evacuations=None):
        """Returns as soon as the catalog is newer than ``version``, or other evacuations are known.

        Those count if a later version than ``known_evacuations`` names other data centres; with
        None, only the catalog counts.
        """
        while not self._newer_catalog(version) and not self._newer_evacuations(known_evacuations):
            await self._changed.wait()

    def _newer_catalog(self, version):
        """Returns True if the catalog is newer than ``version``."""
        return self.catalog is not None and self.catalog.version > version

    def _newer_evacuations(self, known):
        """Returns True if later evacuations than ``known`` name other data centres."""
        if known is None or self.evacuations is None:
            return False
        other = self.evacuations.data_centres != known.data_centres
        return other and self.evacuations.version > known.version

    async def confirm_evacuations(self):
        """Reads the evacuations from the store; returns True if it answered in time."""
        sent_at = self._clock()
        with trio.move_on_after(OVERDUE_SECONDS):
            try:
                evacuations = await self._source.fetch_evacuations()
            except StoreError:
                return False
            self._apply_evacuations(evacuations, sent_at)
            return True
        return False

    async def run(self, task_status=trio.TASK_STATUS_IGNORED):
        """Follows the configuration until cancelled."""
        # the first read does not wait for a change
        self._overdue_at = self._clock() + OVERDUE_SECONDS - LONG_POLL_SECONDS
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._follow_store)
            nursery.start_soon(self._read_while_overdue)
            task_status.started()

    async def _follow_store(self):
        """Reads each change from the store until cancelled."""
        table_version = evacuations = None
        retry_seconds = RETRY_SECONDS
        while True:
            sent_at = self._clock()
            self._answer_begun = False
            if table_version is not None:
                self._overdue_at = sent_at + OVERDUE_SECONDS
            try:
                if table_version is None:
                    catalog, evacuations, table_version = await self._source.read()
                else:
                    catalog, evacuations, table_version = await self._source.changes(
                        table_version, evacuations, LONG_POLL_SECONDS, self._record_answer
                    )
            except HistoryLost:
                table_version = None
                # the history may stay lost
                await trio.sleep(RETRY_SECONDS)
                continue
            except StoreError as error:
                if self._reachable:
                    self._reachable = False
                    LOG.warning("The store does not answer.", extra={"cause": error.reason})
                    self._read_otherwise_at_once()
                table_version = None
                await trio.sleep(retry_seconds)
                retry_seconds = min(MAX_RETRY_SECONDS, 2 * retry_seconds)
                continue
            retry_seconds = RETRY_SECONDS
            if not self._reachable:
                self._reachable = True
                LOG.info("The store answers again.")
            self._apply_confirmed(catalog, evacuations, sent_at)

    def _record_answer(self):
        """Records that the store's answer to the call that is under way begins to arrive."""
        self._answer_begun = True

    def _read_otherwise_at_once(self):
        """Makes ``_read_while_overdue`` read the configuration: a call to the store has failed."""
        self._overdue_at = min(self._overdue_at, self._clock())
        failed, self._failed = self._failed, trio.Event()
        failed.set()

    async def _read_while_overdue(self):
        """Reads the configuration in other ways while the store does not answer in time."""
        wait_seconds = 0.0
        retry_seconds = RETRY_SECONDS
        while True:
            if self._clock() < self._overdue_at:
                wait_seconds = 0.0
                with trio.move_on_after(self._overdue_at - self._clock()):
                    await self._failed.wait()
            elif await self._read_otherwise(wait_seconds):
                wait_seconds = LONG_POLL_SECONDS
                retry_seconds = RETRY_SECONDS
            else:
                wait_seconds = 0.0
                await trio.sleep(retry_seconds)
                retry_seconds = min(MAX_RETRY_SECONDS, 2 * retry_seconds)

    async def _read_otherwise(self, wait_seconds):
        """Asks the store over another connection and the other entries, at the same time.

        The store is not asked if its answer is on its way over a slow link, which a second one
        would only delay. The entries wait up to ``wait_seconds`` for a change. Returns True if one
        of them confirmed the configuration.
        """
        confirmed = False
        with trio.move_on_after(OVERDUE_SECONDS):
            async with trio.open_nursery() as nursery:

                async def attempt(read):
                    """Ends the attempts if ``read`` returns True."""
                    nonlocal confirmed
                    if await read():
                        confirmed = True
                        nursery.cancel_scope.cancel()

                if not self._answer_begun:
                    nursery.start_soon(attempt, self._read_from_store)
                if self._peers is not None:
                    nursery.start_soon(
                        attempt, functools.partial(self._read_from_peers, wait_seconds)
                    )
        return confirmed

    async def _read_from_store(self):
        """Reads the current configuration from the store; returns True if it answered."""
        sent_at = self._clock()
        try:
            catalog, evacuations = await self._source.fetch()
        except StoreError:
            return False
        self._apply_confirmed(catalog, evacuations, sent_at)
        self._overdue_at = max(self._overdue_at, sent_at + OVERDUE_SECONDS)
        return True

    async def _read_from_peers(self, wait_seconds):
        """Reads the configuration of another entry; returns True if one had a recent one."""
        sent_at = self._clock()
        version = self.catalog.version if self.catalog is not None else None
        found = await self._peers.fetch(version, wait_seconds, self.evacuations)
        if found is None:
            return False
        catalog = self._source.parse(found.document) if found.document is not None else None
        if found.document is not None and catalog is None:
            return False
        self._apply(catalog, sent_at)
        self._confirm(found.confirmed_at)
        self._apply_evacuations(found.evacuations, found.evacuations_confirmed_at)
        return True

    def _apply_confirmed(self, catalog, evacuations, sent_at):
        """Applies what the store returned to a call that was sent at ``sent_at``."""
        self._apply(catalog, sent_at)
        self._confirm(sent_at)
        self._apply_evacuations(evacuations, sent_at)

    def _apply_evacuations(self, evacuations, confirmed_at):
        """Keeps ``evacuations`` unless they are None or older; ``confirmed_at`` is their time.

        Older ones confirm the kept ones too, which have all changes up to a later version.
        """
        if evacuations is None:
            return
        known = self.evacuations
        if known is None or evacuations.version > known.version:
            self.evacuations = evacuations
            previous = known.data_centres if known is not None else frozenset()
            if evacuations.data_centres != previous:
                fields = {
                    "version": evacuations.version,
                    "data_centres": sorted(evacuations.data_centres),
                    "begun": sorted(evacuations.data_centres - previous),
                    "ended": sorted(previous - evacuations.data_centres),
                }
                LOG.info("The evacuated data centres have changed.", extra=fields)
                self._notify()
        if self.evacuations_confirmed_at is None or confirmed_at > self.evacuations_confirmed_at:
            self.evacuations_confirmed_at = confirmed_at

    def _confirm(self, confirmed_at):
        """Records that the catalog was the newest at a time; wakes those who wait for that."""
        if self.confirmed_at is None or confirmed_at > self.confirmed_at:
            self.confirmed_at = confirmed_at
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
        self._notify()

    def _notify(self):
        """Wakes those who wait for a change."""
        changed, self._changed = self._changed, trio.Event()
        changed.set()
