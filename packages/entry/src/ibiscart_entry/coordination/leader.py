"""
ibiscart_entry.coordination.leader
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Alternates between campaigning for the leadership and leading, until the entry shuts down.
"""

import functools

import trio

from ibiscart_entry.coordination.coordinator import Coordinator
from ibiscart_entry.coordination.leadership import LeadershipLost
from ibiscart_entry.isolation import run_isolated

__all__ = ["Leader"]

# pause before this entry may lead again after a term, or an election, that ended with an unexpected
# error; doubled after each further one. The cause may be a value that each leader meets
FIRST_PAUSE_SECONDS = 1.0
# longest pause; a term that lasts longer has not failed at once
MAX_PAUSE_SECONDS = 30.0


class Leader:
    """Runs a new ``Coordinator`` each time this entry becomes the leader.

    The arguments are those of ``Coordinator``. A new value of ``retention_seconds`` takes effect
    with the next one.
    """

    def __init__(
        self,
        leadership,
        table,
        directory,
        catalogs,
        connect_agent,
        metrics,
        *,
        retention_seconds,
        **coordinator_options,
    ):
        self._leadership = leadership
        self._metrics = metrics
        self._make_coordinator = functools.partial(
            Coordinator,
            leadership,
            table,
            directory,
            catalogs,
            connect_agent,
            metrics,
            **coordinator_options,
        )
        self.retention_seconds = retention_seconds
        self._coordinator = None
        self._scope = trio.CancelScope()

    @property
    def leads(self):
        """Returns True if this entry leads."""
        return self._coordinator is not None

    @property
    def coordinator(self):
        """Returns the ``Coordinator`` while this entry leads, else None."""
        return self._coordinator

    async def run(self, task_status=trio.TASK_STATUS_IGNORED):
        """Campaigns and leads by turns until ``resign`` is called.

        A term that ends with an unexpected error is logged and counted; another entry takes over
        at once, and this one campaigns again after a growing pause.
        """
        task_status.started()
        with self._scope:
            pause_seconds = 0.0
            while True:
                began_at = trio.current_time()
                if await self._isolate("campaign", self._leadership.campaign, pause_seconds):
                    began_at = trio.current_time()
                    if await self._isolate("term", self._lead):
                        pause_seconds = 0.0
                        continue
                    await self._isolate("resignation", self._leadership.resign)
                else:
                    # in the other cases the next campaign makes the pause
                    await trio.sleep(FIRST_PAUSE_SECONDS)
                if trio.current_time() - began_at > MAX_PAUSE_SECONDS + pause_seconds:
                    pause_seconds = 0.0
                pause_seconds = min(max(2 * pause_seconds, FIRST_PAUSE_SECONDS), MAX_PAUSE_SECONDS)

    async def resign(self):
        """Ends ``run`` and releases the leadership, so that another entry takes over at once."""
        was_leader = self.leads
        self._scope.cancel()
        if was_leader:
            await self._leadership.resign()

    async def _isolate(self, kind, function, *args):
        """Awaits ``function(*args)``; returns False if it ended with an unexpected error."""
        return await run_isolated(self._metrics, kind, self._leadership.name, function, *args)

    async def _lead(self):
        """Runs a ``Coordinator`` until the leadership is lost."""
        self._coordinator = self._make_coordinator(retention_seconds=self.retention_seconds)
        try:
            await self._coordinator.run()
        except* LeadershipLost:
            # another entry leads
            pass
        finally:
            self._coordinator = None
