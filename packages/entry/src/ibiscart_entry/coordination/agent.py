"""
ibiscart_entry.coordination.agent
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Base classes of the clients by which the leader calls workers and reads their directory and the
configuration.
"""

from abc import ABC, abstractmethod

__all__ = ["AgentError", "CatalogSource", "WorkerAgent", "WorkerDirectory"]


class AgentError(Exception):
    """A call to a worker failed or got an invalid response.

    ``reason`` is the cause, for logs and metrics. ``sent`` is False only if the worker cannot
    have received the call. ``fenced`` is True if the worker has seen a higher fencing token.
    ``replaced`` is True if another process than the worker's answered at its address.
    """

    def __init__(self, reason, *, sent=True, fenced=False, replaced=False):
        super().__init__(reason)
        self.reason = reason
        self.sent = sent
        self.fenced = fenced
        self.replaced = replaced


class WorkerAgent(ABC):
    """Client of one worker. Deadlines are milliseconds of the worker's own clock."""

    @abstractmethod
    async def poll(self, fencing_token, acknowledged_end, deadline_ms, wait_seconds):
        """Extends all leases to ``deadline_ms``, acknowledges ends, returns the ``WorkerStatus``.

        No lease is extended if ``deadline_ms`` is None. ``acknowledged_end`` is the number of the
        last end of a run that is recorded; the worker drops the ends up to it. The worker responds
        when a run ends, after ``wait_seconds`` at the latest. Raises ``AgentError``.
        """

    @abstractmethod
    async def read_status(self, fencing_token):
        """Returns the ``WorkerStatus``; extends and acknowledges nothing; raises ``AgentError``."""

    @abstractmethod
    async def start(self, fencing_token, task_key, run, payload, checkpoint, deadline_ms):
        """Starts run number ``run`` of a task.

        The run resumes from ``checkpoint`` unless it is empty; its lease expires at
        ``deadline_ms``. Returns (``StartResult``, the worker's clock in ms or None).
        """

    @abstractmethod
    async def stop(self, fencing_token, task_key, run):
        """Stops run number ``run`` of a task or prevents its start; raises ``AgentError``."""

    @abstractmethod
    async def aclose(self):
        """Closes the connections to the worker."""


class WorkerDirectory(ABC):
    """Directory of the registered workers."""

    @abstractmethod
    async def snapshot(self):
        """Returns (``WorkerInfo`` by worker id, version); raises ``StoreError``.

        Has no registration that cannot be used.
        """

    @abstractmethod
    async def changes(self, after, wait_seconds):
        """Returns the changes after version ``after``; waits up to ``wait_seconds`` for one.

        The result is (``WorkerInfo`` by worker id, None for a registration that cannot be used; ids
        of the workers whose registrations were removed; new version). Raises ``HistoryLost`` when a
        snapshot is needed instead, and ``StoreError``.
        """


class CatalogSource(ABC):
    """Source of what operators write: the configuration, and which data centres are evacuated.

    The ``Evacuations`` that it returns are None in a deployment without such requests.
    """

    @abstractmethod
    async def read(self):
        """Returns (``Catalog`` or None, ``Evacuations``, version of the table).

        Raises ``StoreError``.
        """

    @abstractmethod
    async def changes(self, after, evacuations, wait_seconds, on_response):
        """Returns (changed ``Catalog`` or None, ``Evacuations``, version of the table).

        These are the changes after version ``after``, at which ``evacuations`` were in force. Waits
        up to ``wait_seconds`` for one. ``on_response`` is called when the answer begins to arrive.
        Raises ``HistoryLost`` when ``read`` is needed instead, and ``StoreError``.
        """

    @abstractmethod
    async def fetch(self):
        """Returns the current (``Catalog`` or None, ``Evacuations``); raises ``StoreError``.

        Makes one call, more only if there are many rows.
        """

    @abstractmethod
    async def fetch_evacuations(self):
        """Returns the current ``Evacuations`` alone, as ``fetch``; raises ``StoreError``."""

    @abstractmethod
    def parse(self, document):
        """Returns the ``Catalog`` of a configuration in bytes, None if it is invalid."""
