"""
ibiscart_entry.coordination.record
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Keys and values of the rows that hold jobs, their progress and the leader.
"""

import json
import logging

from ibiscart_core.workflow.job import Job, Outcome
from ibiscart_schema.generated.store_pb2 import TableWrite

__all__ = [
    "JOBS_TABLE",
    "LEADER_KEY",
    "NODES_PARTITION",
    "PENDING_KEY",
    "PROGRESS_TABLE",
    "RUNNING",
    "LeaderRow",
    "cancel_key",
    "decode",
    "encode",
    "job_key",
    "jobs_from_rows",
    "progress_key",
    "progress_write",
    "visible_state",
]

LOG = logging.getLogger("ibiscart.record")
JOBS_TABLE = "jobs"
PROGRESS_TABLE = "progress"
# partition with the registrations of the entries; it is not the leader's, because one partition
# applies its transactions one after another
NODES_PARTITION = "nodes.entries"
LEADER_KEY = "leader/leader"
# key of the row with the number of pending jobs of each queue
PENDING_KEY = "summary/pending"
RUNNING = "running"
QUEUED = "queued"
CANCEL_SUFFIX = "~cancel"


def encode(value):
    """Returns a value as compact JSON bytes."""
    return json.dumps(value, separators=(",", ":")).encode()


def decode(data):
    """Returns the value of JSON bytes; raises ``ValueError`` if they cannot be decoded."""
    try:
        return json.loads(data)
    except RecursionError:
        raise ValueError("the JSON is nested too deeply") from None


def job_key(job_id):
    """Returns the key of the row with a job as it was accepted.

    The first digit of the id selects the partition. Partitions are written in parallel, which
    matters when the store is slow.
    """
    return f"{JOBS_TABLE}.{job_id[0]}/{job_id}"


def cancel_key(job_id):
    """Returns the key of the row that marks a job as cancelled; it sorts after the job's key."""
    return job_key(job_id) + CANCEL_SUFFIX


def progress_key(job_id):
    """Returns the key of the row with the state of a job's runs."""
    return f"{PROGRESS_TABLE}/{job_id}"


def progress_write(job):
    """Returns the write that records the state of a job's runs."""
    record = {"account": job.account, **job.to_record()}
    return TableWrite(key=progress_key(job.id), value=encode(record))


def jobs_from_rows(rows):
    """Returns (jobs by id, ids of cancelled jobs) from rows of the jobs table.

    Leaves out a row that cannot be read, so that it does not stop the other jobs.
    """
    jobs, cancelled = {}, set()
    for row in rows:
        name = row.key.partition("/")[2]
        if name.endswith(CANCEL_SUFFIX):
            cancelled.add(name.removesuffix(CANCEL_SUFFIX))
            continue
        try:
            jobs[name] = Job.from_document(name, decode(row.value))
        except (AttributeError, KeyError, TypeError, ValueError) as error:
            fields = {"job": name, "version": row.version, "cause": repr(error)}
            LOG.error("The row of a job cannot be read; the job does not run.", extra=fields)
    return jobs, cancelled


def visible_state(progress, cancelled):
    """Returns the state of a job that callers see.

    ``progress`` is its progress record or None, ``cancelled`` True if it has a cancellation row.
    """
    outcome = (progress or {}).get("outcome")
    if outcome is not None:
        return outcome
    if cancelled:
        return Outcome.CANCELLED.value
    return RUNNING if (progress or {}).get("started") else QUEUED


class LeaderRow:
    """Content of the leader's row.

    ``node`` is the name of the entry that leads, ``holder`` identifies its process, and
    ``address`` is where it receives announcements; they are empty after the leader has resigned.
    ``epoch`` counts the leaders, ``batch`` the commits of one leader. The fields are stored under
    these names.
    """

    __slots__ = ("address", "batch", "epoch", "holder", "node")

    def __init__(self, node="", holder="", address="", epoch=0, batch=0):
        """Builds a row that names no leader unless ``node`` and ``holder`` are given.

        ``node`` is the name of the leading entry, ``holder`` the id of its process, ``batch`` the
        number of transactions that it has written since it took over.
        """
        self.node = node
        self.holder = holder
        self.address = address
        self.epoch = epoch
        self.batch = batch

    @classmethod
    def from_value(cls, data):
        """Returns the ``LeaderRow`` that is stored as ``data``, JSON bytes."""
        return cls(**decode(data))

    def to_value(self):
        """Returns the JSON bytes that are stored."""
        return encode({name: getattr(self, name) for name in self.__slots__})
