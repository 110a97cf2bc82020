"""
ibiscart_entry.coordination.agent
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Bases of what the coordinator needs from the outside: workers, their directory, the catalog.
"""

from abc import ABC, abstractmethod

__all__ = ["AgentError", "CatalogSource", "WorkerAgent", "WorkerDirectory"]


class AgentError(Exception):
    """A call to a worker without a usable answer.

    ``sent`` is False only when the worker cannot have seen the call; ``fenced`` tells that a
    higher fencing token was used there.
    """

    def __init__(self, reason, *, sent=True, fenced=False):
        super().__init__(reason)
        self.reason = reason
        self.sent = sent
        self.fenced = fenced


class WorkerAgent(ABC):
    """Calls to one worker. Deadlines are milliseconds of the worker's own clock."""

    @abstractmethod
    async def list_runs(self, fencing_token, acknowledged, deadline_ms, wait_seconds):
        """Extends all leases and returns the worker's ``WorkerStatus``.

        ``acknowledged`` is the number of the last end that is on record; the worker forgets
        the ends up to it. ``deadline_ms`` None extends nothing. Raises ``AgentError``.
        """

    @abstractmethod
    async def start(self, fencing_token, task_key, run, payload, checkpoint, deadline_ms):
        """Orders a run; returns (``StartResult``, clock_ms or None)."""

    @abstractmethod
    async def stop(self, fencing_token, task_key, run):
        """Stops a run or bars it from starting; raises ``AgentError``."""

    @abstractmethod
    async def aclose(self):
        """Closes the connections."""


class WorkerDirectory(ABC):
    """The list of workers."""

    @abstractmethod
    async def snapshot(self):
        """Returns (``WorkerInfo`` by id, version); raises ``StoreError``."""

    @abstractmethod
    async def changes(self, after, wait_seconds):
        """Returns (``WorkerInfo`` by id, None for those that left, and the new version)."""


class CatalogSource(ABC):
    """The configuration that operators write."""

    @abstractmethod
    async def read(self):
        """Returns (``Catalog`` or None, version of the table); raises ``StoreError``."""

    @abstractmethod
    async def changes(self, after, wait_seconds):
        """Returns (new ``Catalog`` or None, version of the table)."""
