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

    ``leadership``, ``coordinator_arguments`` and ``coordinator_options`` are passed on to
    ``Coordinator``. A new value of ``retention_seconds`` takes effect with the next one.
    """

    def __init__(
        self, leadership, *coordinator_arguments, retention_seconds, **coordinator_options
    ):
        self._leadership = leadership
        self._coordinator_arguments = coordinator_arguments
        self._coordinator_options = coordinator_options
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
                    *self._coordinator_arguments,
                    retention_seconds=self.retention_seconds,
                    **self._coordinator_options,
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
