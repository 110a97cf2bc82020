"""
ibiscart_entry.coordination.leader
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Campaigns and leads in turn, until the entry shuts down.
"""

import trio

from ibiscart_entry.coordination.coordinator import Coordinator
from ibiscart_entry.coordination.leadership import LeadershipLost

__all__ = ["Leader"]


class Leader:
    """Runs a new ``Coordinator`` each time that this entry wins the leadership.

    ``options`` and the arguments after ``leadership`` are those of ``Coordinator``.
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
        """Whether this entry leads at present."""
        return self._coordinator is not None

    @property
    def coordinator(self):
        """The ``Coordinator`` while this entry leads, else None."""
        return self._coordinator

    async def run(self, task_status=trio.TASK_STATUS_IGNORED):
        """Campaigns and leads in turn until ``resign``."""
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
        """Ends ``run``; another entry takes over at once."""
        led = self.leads
        self._scope.cancel()
        if led:
            await self._leadership.resign()
