"""
ibiscart_core.worker
~~~~~~~~~~~~~~~~~~~~

A worker as the ledger knows it.
"""

from ibiscart_core.resource import Resources
from ibiscart_schema.generated.journal_pb2 import WorkerSnapshot
from ibiscart_schema.generated.types_pb2 import (
    SCOPE_DATA_CENTRE,
    SCOPE_RACK,
    SCOPE_WORKER,
    TARGET_LIVE,
    WorkerInfo,
)

__all__ = ["Worker"]


class Worker:
    """Capacity, use and state of one worker.

    ``members`` maps (job key, attempt, rank) to the resources of each task that holds a
    place here, whether it runs or is still stopping. ``reserved`` is the sum of unclaimed
    reservations on this worker.
    """

    __slots__ = (
        "address",
        "capacity",
        "cause",
        "data_centre",
        "failures",
        "id",
        "members",
        "quarantines",
        "rack",
        "reserved",
        "retry_at_us",
        "state",
        "used",
    )

    def __init__(self, worker_id, address, data_centre, rack, capacity):
        self.id = worker_id
        self.address = address
        self.data_centre = data_centre
        self.rack = rack
        self.capacity = capacity
        self.state = TARGET_LIVE
        self.cause = ""
        self.retry_at_us = 0
        self.quarantines = 0
        self.failures = []
        self.members = {}
        self.used = Resources()
        self.reserved = Resources()

    @property
    def free(self):
        """Resources that no task holds; negative while preempted work is stopping."""
        return self.capacity - self.used

    @property
    def live(self):
        """Whether new work may be placed here."""
        return self.state == TARGET_LIVE

    @property
    def accepts(self):
        """Whether a new task may be placed here; one at a time after a quarantine."""
        return self.live and not (self.quarantines and self.members)

    @classmethod
    def from_message(cls, message):
        """Builds a worker from a ``WorkerInfo`` message."""
        return cls(
            message.id,
            message.address,
            message.data_centre,
            message.rack,
            Resources.from_message(message.capacity),
        )

    def info(self):
        """Returns the worker's fixed properties as a ``WorkerInfo`` message."""
        return WorkerInfo(
            id=self.id,
            address=self.address,
            data_centre=self.data_centre,
            rack=self.rack,
            capacity=self.capacity.to_message(),
        )

    def snapshot(self):
        """Returns properties and state as a ``WorkerSnapshot`` message."""
        return WorkerSnapshot(
            info=self.info(),
            state=self.state,
            cause=self.cause,
            retry_at_us=self.retry_at_us,
            quarantines=self.quarantines,
            failures=self.failures,
        )

    def domain(self, scope):
        """Returns the name of the domain of ``scope`` that the worker lies in."""
        if scope == SCOPE_WORKER:
            return self.id
        if scope == SCOPE_RACK:
            return f"{self.data_centre}/{self.rack}"
        if scope == SCOPE_DATA_CENTRE:
            return self.data_centre
        return ""

    def add_member(self, member_id, resources):
        """Counts a task's place as used."""
        self.members[member_id] = resources
        self.used = self.used + resources

    def remove_member(self, member_id):
        """Frees a task's place; does nothing when it holds none."""
        resources = self.members.pop(member_id, None)
        if resources is not None:
            self.used = self.used - resources
