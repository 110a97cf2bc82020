"""
ibiscart_core.policy
~~~~~~~~~~~~~~~~~~~~

Base of the scheduling policies and the batch that they add decisions to.
"""

from abc import ABC, abstractmethod

from ibiscart_schema.generated.journal_pb2 import Event

__all__ = ["Batch", "Policy"]


class Batch:
    """Decisions of one record in the making.

    Each event is applied to ``ledger`` at once, so that later decisions of the batch see
    it. ``now_us`` is the record's time in microseconds since the epoch.
    """

    __slots__ = ("events", "ledger", "now_us")

    def __init__(self, ledger, now_us):
        self.ledger = ledger
        self.now_us = max(now_us, ledger.time_us)
        self.events = []

    def emit(self, **kind):
        """Adds one event, named by its field in ``Event``, and applies it."""
        event = Event(**kind)
        self.events.append(event)
        self.ledger.apply_event(event, self.now_us)
        return event


class Policy(ABC):
    """Decides which queued jobs are placed, where, and what is preempted for them.

    A policy keeps no state of its own that the ledger does not hold, except caches that
    can be dropped at any time.
    """

    name = ""

    @abstractmethod
    def schedule(self, batch):
        """Adds placement and preemption events to ``batch``."""

    def explain(self, ledger, job, now_us):
        """Returns lines that say why a queued job is not placed yet."""
        return [f"job is queued: {job.reason}"]
