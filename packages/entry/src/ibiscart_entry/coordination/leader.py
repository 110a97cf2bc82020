"""
ibiscart_entry.coordination.leader
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Alternates between campaigning for the leadership and leading, until the entry shuts down.
"""

import trio

from ibiscart_entry.coordination.coordinator import Coordinator
from ibiscart_entry.coordination.leadership import LeadershipLost

__all__ = ["Leader"]


class Leader:
    """Runs a new ``Coordinator`` each time this entry becomes the leader.

    ``options`` and the arguments after ``leadership`` are passed on to ``Coordinator``.
    A new value of ``retention_seconds`` takes effect with the next ``Coordinator``.
    """

    def __init__(self, leadership, *arguments, retention_seconds, **options):
        self._leadership = leadership
        self._arguments = arguments
        self._options = options
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
        """Campaigns and leads by turns until ``resign`` is called."""
        task_status.started()
        with self._scope:
            while True:
                await self._leadership.campaign()
                self._coordinator = Coordinator(
                    self._leadership,
                    *self._arguments,
                    retention_seconds=self.retention_seconds,
                    **self._options,
                )
                try:
                    await self._coordinator.run()
                except LeadershipLost:
                    continue
                finally:
                    self._coordinator = None

    async def resign(self):
        """Ends ``run`` and releases the leadership, so that another entry takes over at once."""
        was_leader = self.leads
        self._scope.cancel()
        if was_leader:
            await self._leadership.resign()
