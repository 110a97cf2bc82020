"""
ibiscart_core.worker
~~~~~~~~~~~~~~~~~~~~

State of a worker in the ledger.
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
    """Capacity, resource use and state of one worker.

    ``members`` maps (job key, attempt, rank) to the resources of each task that is allocated
    on the worker, including tasks that are stopping. ``reserved`` is the sum of the unclaimed
    reservations on the worker. ``retry_at_us``, in microseconds since the epoch, is when a
    quarantine ends.
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
        """Resources that no task uses; negative while preempted tasks are stopping."""
        return self.capacity - self.used

    @property
    def live(self):
        """Whether the worker is in the state ``TARGET_LIVE``."""
        return self.state == TARGET_LIVE

    @property
    def accepts(self):
        """Whether a new task may be placed on the worker; after a quarantine only one at a time."""
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
        """Returns the immutable properties as a ``WorkerInfo`` message."""
        return WorkerInfo(
            id=self.id,
            address=self.address,
            data_centre=self.data_centre,
            rack=self.rack,
            capacity=self.capacity.to_message(),
        )

    def snapshot(self):
        """Returns the properties and the state as a ``WorkerSnapshot`` message."""
        return WorkerSnapshot(
            info=self.info(),
            state=self.state,
            cause=self.cause,
            retry_at_us=self.retry_at_us,
            quarantines=self.quarantines,
            failures=self.failures,
        )

    def domain(self, scope):
        """Returns the name of the domain of ``scope`` that contains the worker."""
        if scope == SCOPE_WORKER:
            return self.id
        if scope == SCOPE_RACK:
            return f"{self.data_centre}/{self.rack}"
        if scope == SCOPE_DATA_CENTRE:
            return self.data_centre
        return ""

    def add_member(self, member_id, resources):
        """Allocates resources to a task."""
        self.members[member_id] = resources
        self.used = self.used + resources

    def remove_member(self, member_id):
        """Frees the resources of a task; does nothing if it has none on this worker."""
        resources = self.members.pop(member_id, None)
        if resources is not None:
            self.used = self.used - resources
