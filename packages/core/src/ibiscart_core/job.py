"""
ibiscart_core.job
~~~~~~~~~~~~~~~~~

Jobs, their members and their states.
"""

from ibiscart_core.contract import ReservationKey
from ibiscart_core.shape import Shape
from ibiscart_schema.generated.journal_pb2 import (
    JOB_STATE_ENDED,
    JOB_STATE_QUEUED,
    JobSnapshot,
)
from ibiscart_schema.generated.types_pb2 import JobKey as JobKeyMessage
from ibiscart_schema.generated.types_pb2 import JobSpec

__all__ = ["Job", "JobKey", "Member"]


class JobKey:
    """Identifies a job by its client account and the caller's request id."""

    __slots__ = ("account", "request_id")

    def __init__(self, account, request_id):
        self.account = account
        self.request_id = request_id

    def __eq__(self, other):
        return (
            isinstance(other, JobKey)
            and self.request_id == other.request_id
            and self.account == other.account
        )

    def __hash__(self):
        return hash((self.account, self.request_id))

    def __repr__(self):
        return f"{self.account}/{self.request_id}"

    @classmethod
    def from_message(cls, message):
        """Builds the key from any message with ``account`` and ``request_id``."""
        return cls(message.account, message.request_id)

    def to_message(self):
        """Returns the key as a ``JobKey`` message."""
        return JobKeyMessage(account=self.account, request_id=self.request_id)

    def sort_key(self):
        """Returns a key that sorts jobs in the same order in every process."""
        return (self.account, self.request_id)


class Member:
    """One task of a gang: its worker and, once it has ended, its outcome."""

    __slots__ = ("ended", "outcome", "worker_id")

    def __init__(self, worker_id, ended=False, outcome=0):
        self.worker_id = worker_id
        self.ended = ended
        self.outcome = outcome


class Job:
    """State of a job in the ledger. Times ending in ``_us`` are microseconds since the epoch."""

    __slots__ = (
        "attempt",
        "contract_version",
        "decided_sequence",
        "preempted_by",
        "ended_us",
        "ever_released",
        "failed_workers",
        "failures",
        "key",
        "members",
        "not_before_us",
        "outcome",
        "placed_us",
        "ran",
        "reason",
        "released_us",
        "reservation",
        "saved_seconds",
        "shape",
        "spec",
        "state",
        "stop_cause",
        "submitted_us",
    )

    def __init__(self, spec, submitted_us):
        self.key = JobKey.from_message(spec)
        self.spec = spec
        self.shape = Shape.from_message(spec.shape)
        self.state = JOB_STATE_QUEUED
        self.attempt = 1
        self.members = []
        self.reservation = None
        self.submitted_us = submitted_us
        self.placed_us = 0
        self.released_us = 0
        self.ended_us = 0
        self.not_before_us = 0
        self.saved_seconds = 0.0
        self.stop_cause = 0
        self.preempted_by = None
        self.outcome = 0
        self.ran = 0
        self.reason = ""
        self.contract_version = 0
        self.failed_workers = []
        self.failures = 0
        self.ever_released = False
        self.decided_sequence = 0

    @property
    def burst(self):
        """Whether the job has no reservation and so counts as burst work."""
        return self.reservation is None

    @property
    def ended(self):
        """Whether the job has ended with its final outcome."""
        return self.state == JOB_STATE_ENDED

    @property
    def preemptible(self):
        """Whether the job may be stopped and run again later.

        A job that must run at most once is never preempted after its placement.
        """
        return self.reservation is None and self.spec.repeatable

    @property
    def released(self):
        """Whether the current attempt was released and may have done work."""
        return self.released_us > 0

    @property
    def open_members(self):
        """Ranks of the members that have not ended."""
        return [rank for rank, member in enumerate(self.members) if not member.ended]

    def task_id(self, rank):
        """Returns the id of a member's task, which differs between attempts."""
        return f"{self.key.account}/{self.key.request_id}/{self.attempt}/{rank}"

    def same_body(self, spec):
        """Returns True if a submission has the same body as this job."""
        return self.spec.body_sha256 == spec.body_sha256

    @classmethod
    def from_snapshot(cls, message):
        """Builds a job from a ``JobSnapshot`` message."""
        spec = JobSpec()
        spec.CopyFrom(message.spec)
        job = cls(spec, message.submitted_us)
        for name in _COPIED_FIELDS:
            setattr(job, name, getattr(message, name))
        job.failed_workers = list(message.failed_workers)
        job.members = [Member(m.worker_id, m.ended, m.outcome) for m in message.members]
        if message.HasField("reservation"):
            job.reservation = ReservationKey.from_message(message.reservation)
        if message.HasField("preempted_by"):
            job.preempted_by = JobKey.from_message(message.preempted_by)
        return job

    def snapshot(self):
        """Returns the job as a ``JobSnapshot`` message."""
        message = JobSnapshot(spec=self.spec, failed_workers=self.failed_workers)
        for name in _COPIED_FIELDS:
            setattr(message, name, getattr(self, name))
        for member in self.members:
            message.members.add(
                worker_id=member.worker_id, ended=member.ended, outcome=member.outcome
            )
        if self.reservation is not None:
            self.reservation.fill(message.reservation)
        if self.preempted_by is not None:
            message.preempted_by.CopyFrom(self.preempted_by.to_message())
        return message


# fields that ``Job`` and the ``JobSnapshot`` message have under the same name and type
_COPIED_FIELDS = (
    "state",
    "attempt",
    "submitted_us",
    "placed_us",
    "released_us",
    "ended_us",
    "not_before_us",
    "saved_seconds",
    "stop_cause",
    "outcome",
    "ran",
    "reason",
    "contract_version",
    "decided_sequence",
    "failures",
    "ever_released",
)
