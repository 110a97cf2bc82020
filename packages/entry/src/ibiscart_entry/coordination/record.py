"""
ibiscart_entry.coordination.record
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Keys and values of the rows that hold jobs, their progress and the leader.
"""

import json
import logging
import zlib

from ibiscart_core.workflow.job import Job, Outcome
from ibiscart_schema.generated.store_pb2 import TableWrite

__all__ = [
    "CANCEL_SUFFIX",
    "JOBS_TABLE",
    "LEADER_KEY",
    "NODES_PARTITION",
    "PENDING_KEY",
    "PROGRESS_TABLE",
    "RUNNING",
    "LeaderRow",
    "cancel_key",
    "decode",
    "decode_progress",
    "encode",
    "job_key",
    "jobs_from_rows",
    "progress_deletes",
    "progress_key",
    "progress_writes",
    "split_progress_key",
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
# precedes the number in the key of a further row of a progress record
PART_SEPARATOR = "~"
# compression level of a record that needs several rows: the fastest, as records are written often
COMPRESSION_LEVEL = 1
# bounds of a record that takes several rows: one of the largest job takes a few MB
MAX_PARTS = 1000
MAX_RECORD_BYTES = 64_000_000


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


def split_progress_key(key):
    """Returns (job id, number of the further row) of a progress row; the number may be None."""
    job_id, _, number = key.partition("/")[2].partition(PART_SEPARATOR)
    return job_id, int(number) if number.isdecimal() else None


def progress_writes(job, max_value_bytes, part_count=0):
    """Returns the writes that record the state of a job's runs; they must take effect together.

    A record of more than ``max_value_bytes`` is compressed and split over further rows. Those of
    the ``part_count`` present ones that it does not need are deleted.
    """
    record = {"account": job.account, **job.to_record()}
    value = encode(record)
    parts = []
    if len(value) > max_value_bytes:
        compressed = zlib.compress(value, COMPRESSION_LEVEL)
        parts = [
            compressed[start : start + max_value_bytes]
            for start in range(0, len(compressed), max_value_bytes)
        ]
        del record["units"]
        value = encode({**record, "parts": len(parts)})
    return [
        TableWrite(key=progress_key(job.id), value=value),
        *(TableWrite(key=_part_key(job.id, n), value=part) for n, part in enumerate(parts)),
        *(TableWrite(key=_part_key(job.id, n), delete=True) for n in range(len(parts), part_count)),
    ]


def progress_deletes(job_id, part_count):
    """Returns the writes that delete a progress record with ``part_count`` further rows."""
    keys = [progress_key(job_id), *(_part_key(job_id, n) for n in range(part_count))]
    return [TableWrite(key=key, delete=True) for key in keys]


def decode_progress(value, parts):
    """Returns the progress record of its row's ``value`` and the values of its further rows.

    Raises ``ValueError`` if it cannot be decoded.
    """
    record = decode(value)
    if not isinstance(record, dict):
        raise ValueError("the progress record is no object")
    if "parts" not in record:
        return record
    count = record["parts"]
    if type(count) is not int or not 0 < count <= min(len(parts), MAX_PARTS):
        raise ValueError(f"the record has {len(parts)} further rows instead of {count!r:.20}")
    decompressor = zlib.decompressobj()
    try:
        data = decompressor.decompress(b"".join(parts[:count]), MAX_RECORD_BYTES)
    except zlib.error as error:
        raise ValueError(f"the further rows cannot be read: {error}") from None
    if not decompressor.eof:
        raise ValueError("the further rows are incomplete or too large")
    return decode(data)


def _part_key(job_id, number):
    """Returns the key of a further row of a progress record."""
    return f"{progress_key(job_id)}{PART_SEPARATOR}{number:03}"


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
