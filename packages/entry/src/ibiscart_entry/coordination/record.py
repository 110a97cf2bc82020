"""
ibiscart_entry.coordination.record
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Rows in which jobs, their progress and the leader are kept.
"""

import json

from ibiscart_core.workflow.job import Job, Outcome
from ibiscart_schema.generated.store_pb2 import TableWrite

__all__ = [
    "JOBS",
    "LEADER_KEY",
    "NODES",
    "PENDING_KEY",
    "PROGRESS",
    "RUNNING",
    "LeaderRow",
    "cancel_key",
    "decode",
    "encode",
    "job_key",
    "jobs_from_rows",
    "progress_key",
    "progress_write",
    "shown_state",
]

JOBS = "jobs"
PROGRESS = "progress"
# entries write of themselves apart from the leader's part
NODES = "nodes.entries"
LEADER_KEY = "leader/leader"
PENDING_KEY = "summary/pending"
RUNNING = "running"
QUEUED = "queued"
CANCEL_SUFFIX = "~cancel"


def encode(value):
    """Returns a value as compact JSON bytes."""
    return json.dumps(value, separators=(",", ":")).encode()


def decode(data):
    """Returns the value of JSON bytes."""
    return json.loads(data)


def job_key(job_id):
    """Key of what was accepted.

    The first digit of the id is the part, so that a slow store takes jobs side by side.
    """
    return f"{JOBS}.{job_id[0]}/{job_id}"


def cancel_key(job_id):
    """Key of the row that marks a job as cancelled; it sorts right after the job's."""
    return job_key(job_id) + CANCEL_SUFFIX


def progress_key(job_id):
    """Key of the state of a job's runs."""
    return f"{PROGRESS}/{job_id}"


def progress_write(job):
    """Returns the write that records the state of a job's runs."""
    record = {"account": job.account, **job.to_record()}
    return TableWrite(key=progress_key(job.id), value=encode(record))


def jobs_from_rows(rows):
    """Returns (jobs by id, ids of cancelled jobs) from rows of the table of jobs."""
    jobs, cancelled = {}, set()
    for row in rows:
        name = row.key.partition("/")[2]
        if name.endswith(CANCEL_SUFFIX):
            cancelled.add(name.removesuffix(CANCEL_SUFFIX))
        else:
            jobs[name] = Job.from_document(name, decode(row.value))
    return jobs, cancelled


def shown_state(progress, cancelled):
    """Returns the state that callers see, from a progress record (or None)."""
    outcome = (progress or {}).get("outcome")
    if outcome is not None:
        return outcome
    if cancelled:
        return Outcome.CANCELLED.value
    return RUNNING if (progress or {}).get("started") else QUEUED


class LeaderRow:
    """Content of the leader's row.

    ``epoch`` rises with each change of leader, ``batch`` with each write of one leader.
    ``holder`` is the process that leads, empty after it has resigned.
    """

    __slots__ = ("address", "batch", "epoch", "holder", "node")

    def __init__(self, node="", holder="", address="", epoch=0, batch=0):
        self.node = node
        self.holder = holder
        self.address = address
        self.epoch = epoch
        self.batch = batch

    @classmethod
    def from_value(cls, data):
        """Builds the content from a row's bytes."""
        return cls(**decode(data))

    def to_value(self):
        """Returns the content as a row's bytes."""
        return encode({name: getattr(self, name) for name in self.__slots__})
