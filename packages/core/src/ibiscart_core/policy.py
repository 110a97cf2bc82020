"""
ibiscart_core.policy
~~~~~~~~~~~~~~~~~~~~

Base class of the scheduling policies, and the batch that collects their decisions.
"""

from abc import ABC, abstractmethod

from ibiscart_schema.generated.journal_pb2 import Event

__all__ = ["Batch", "Policy"]


class Batch:
    """Decisions that become one record of the journal.

    Each event is applied to ``ledger`` immediately, so that later decisions of the batch are
    based on it. ``now_us`` is the record's time in microseconds since the epoch.
    """

    __slots__ = ("events", "ledger", "now_us")

    def __init__(self, ledger, now_us):
        self.ledger = ledger
        self.now_us = max(now_us, ledger.time_us)
        self.events = []

    def emit(self, **kind):
        """Appends and applies one event, given by its field name in ``Event``; returns it."""
        event = Event(**kind)
        self.events.append(event)
        self.ledger.apply_event(event, self.now_us)
        return event


class Policy(ABC):
    """Decides which queued jobs are placed on which workers, and which jobs are preempted.

    All state is in the ledger; a policy may only cache data that it can rebuild at any time.
    """

    name = ""

    @abstractmethod
    def schedule(self, batch):
        """Adds placement and preemption events to ``batch``."""

    def explain(self, ledger, job, now_us):
        """Returns lines that explain why a queued job is not placed."""
        return [f"job is queued: {job.reason}"]
