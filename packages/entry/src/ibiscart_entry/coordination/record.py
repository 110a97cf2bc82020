"""
ibiscart_entry.coordination.record
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Keys and values of the rows that hold jobs, their progress and the leader.
"""

import hashlib
import json
import logging
import re
import zlib

from ibiscart_core.value import (
    MAX_INT,
    MAX_NAME_BYTES,
    MAX_TEXT_BYTES,
    InvalidValueError,
    parse_json,
    require_address,
    require_bool,
    require_choice,
    require_int,
    require_list,
    require_object,
    require_text,
)
from ibiscart_core.workflow.admission import PoolView
from ibiscart_core.workflow.job import OUTCOMES, Job, Outcome
from ibiscart_schema.generated.store_pb2 import TableWrite

__all__ = [
    "CANCEL_SUFFIX",
    "JOBS_TABLE",
    "LEADER_KEY",
    "NODES_PARTITION",
    "PENDING_KEY",
    "POOLS_KEY",
    "PROGRESS_TABLE",
    "RUNNING",
    "SPEEDS_KEY",
    "TOMBSTONES_TABLE",
    "LeaderRow",
    "PoolsRow",
    "cancel_key",
    "decode",
    "decode_progress",
    "encode",
    "encode_speeds",
    "job_key",
    "jobs_from_rows",
    "parse_owner",
    "parse_pending_counts",
    "parse_progress",
    "parse_speeds",
    "parse_tombstone",
    "progress_deletes",
    "progress_key",
    "progress_writes",
    "require_job_id",
    "split_progress_key",
    "tombstone_key",
    "tombstone_prefix",
    "visible_state",
]

LOG = logging.getLogger("ibiscart.record")
JOBS_TABLE = "jobs"
PROGRESS_TABLE = "progress"
TOMBSTONES_TABLE = "tombstones"
# partition with the registrations of the entries; it is not the leader's, because one partition
# applies its transactions one after another
NODES_PARTITION = "nodes.entries"
LEADER_KEY = "leader/leader"
# key of the row with the number of pending jobs of each queue
PENDING_KEY = "summary/pending"
# key of the row with the speeds of the workers that differ from the average of their pool
SPEEDS_KEY = "summary/speeds"
# key of the row with the view of each pool
POOLS_KEY = "summary/pools"
# most pools in that row; jobs in further pools are admitted
MAX_POOLS = 200
RUNNING = "running"
QUEUED = "queued"
CANCEL_SUFFIX = "~cancel"
JOB_ID = re.compile(r"[0-9A-Za-z]{1,64}")
# hexadecimal digits of the hash that stands for an account in the key of a tombstone
ACCOUNT_HASH_DIGITS = 32
# precedes the number in the key of a further row of a progress record
PART_SEPARATOR = "~"
# compression level of a record that needs several rows: the fastest, as records are written often
COMPRESSION_LEVEL = 1
# bounds of a record that takes several rows: one of the largest job takes a few MB
MAX_PARTS = 1000
PART_NUMBER = re.compile(r"[0-9]{3}")
MAX_RECORD_BYTES = 64_000_000
# most values in a row or record; the largest job has under half of them with four lost workers for
# each of its tasks
MAX_VALUES = 1_000_000
# bound of the logarithm of a speed in a row, in hundredths: a factor of 10
MAX_CENTILOG_SPEED = 231


def encode(value):
    """Returns a value as compact JSON bytes."""
    return json.dumps(value, separators=(",", ":")).encode()


def decode(data):
    """Returns the value of a row, JSON bytes; raises ``InvalidValueError``."""
    return parse_json(data, max_values=MAX_VALUES, name="row")


def require_job_id(value):
    """Returns the id of a job, letters and digits; raises ``InvalidValueError``."""
    if not isinstance(value, str) or not JOB_ID.fullmatch(value):
        raise InvalidValueError("job", value, "an id of 1 to 64 letters and digits")
    return value


def job_key(job_id):
    """Returns the key of the row with a job as it was accepted.

    The first digit of the id selects the partition. Partitions are written in parallel, which
    matters when the store is slow.
    """
    return f"{JOBS_TABLE}.{job_id[0]}/{job_id}"


def cancel_key(job_id):
    """Returns the key of the row that marks a job as cancelled; it sorts after the job's key."""
    return job_key(job_id) + CANCEL_SUFFIX


def tombstone_key(account, job_id):
    """Returns the key of the row that keeps out a job of an account.

    It is in the partition of the job's row, so that one transaction can depend on both.
    """
    return tombstone_prefix(account, job_id) + job_id


def tombstone_prefix(account, job_id):
    """Returns the begin of the keys of the account's tombstones in the partition of a job."""
    digits = hashlib.sha256(account.encode()).hexdigest()[:ACCOUNT_HASH_DIGITS]
    return f"{TOMBSTONES_TABLE}.{job_id[0]}/{digits}~"


def progress_key(job_id):
    """Returns the key of the row with the state of a job's runs."""
    return f"{PROGRESS_TABLE}/{job_id}"


def split_progress_key(key):
    """Returns (job id, number of the further row) of a progress row; the number may be None.

    The job id is empty if the key is that of no progress row.
    """
    job_id, separator, number = key.removeprefix(PROGRESS_TABLE + "/").partition(PART_SEPARATOR)
    if not JOB_ID.fullmatch(job_id):
        return "", None
    if not separator:
        return job_id, None
    return (job_id, int(number)) if PART_NUMBER.fullmatch(number) else ("", None)


def progress_writes(job, max_value_bytes, part_count=0):
    """Returns the writes that record the state of a job's runs; they must take effect together.

    A record of more than ``max_value_bytes`` is compressed and split over further rows. Those of
    the ``part_count`` present ones that it does not need are deleted.
    """
    value = _encode_record(job)
    parts = []
    if len(value) > max_value_bytes:
        compressed = zlib.compress(value, COMPRESSION_LEVEL)
        parts = [
            compressed[start : start + max_value_bytes]
            for start in range(0, len(compressed), max_value_bytes)
        ]
        value = encode({"account": job.account, **job.to_header(), "parts": len(parts)})
    return [
        TableWrite(key=progress_key(job.id), value=value),
        *(TableWrite(key=_part_key(job.id, n), value=part) for n, part in enumerate(parts)),
        *(TableWrite(key=_part_key(job.id, n), delete=True) for n in range(len(parts), part_count)),
    ]


def _encode_record(job):
    """Returns the JSON bytes of the record of a job, with the encoded units of ``Job``."""
    header = encode(job.to_header())[1:-1]
    members = [b'"account":' + encode(job.account), b'"units":' + job.encode_units()]
    return b"{" + b",".join([*members, header] if header else members) + b"}"


def progress_deletes(job_id, part_count):
    """Returns the writes that delete a progress record with ``part_count`` further rows."""
    keys = [progress_key(job_id), *(_part_key(job_id, n) for n in range(part_count))]
    return [TableWrite(key=key, delete=True) for key in keys]


def decode_progress(value, parts):
    """Returns the progress record of its row's ``value`` and the values of its further rows.

    Raises ``InvalidValueError`` if it cannot be decoded.
    """
    record = parse_progress(value)
    if "parts" not in record:
        return record
    count = require_int(record["parts"], 1, min(len(parts), MAX_PARTS), "parts")
    decompressor = zlib.decompressobj()
    try:
        data = decompressor.decompress(b"".join(parts[:count]), MAX_RECORD_BYTES)
    except zlib.error as error:
        raise InvalidValueError("parts", str(error), "compressed data") from None
    if not decompressor.eof:
        raise InvalidValueError("parts", data, f"complete, at most {MAX_RECORD_BYTES} bytes")
    return parse_progress(data)


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
        job_id = name.removesuffix(CANCEL_SUFFIX)
        try:
            if row.key.removesuffix(CANCEL_SUFFIX) != job_key(require_job_id(job_id)):
                raise InvalidValueError("key", row.key, f"{job_key(job_id)} for this job")
            if name == job_id:
                jobs[job_id] = Job.from_document(job_id, decode(row.value))
            else:
                cancelled.add(job_id)
        except InvalidValueError as error:
            fields = {"job": job_id, "version": row.version, "cause": str(error)}
            LOG.error("The row of a job cannot be read; the job does not run.", extra=fields)
    return jobs, cancelled


def parse_owner(data):
    """Returns the account in the row of a job, JSON bytes; raises ``InvalidValueError``."""
    document = require_object(decode(data), "job")
    return require_text(document.get("account"), MAX_TEXT_BYTES, "account")


def parse_progress(data):
    """Returns the progress record in JSON bytes, with checked fields for ``visible_state``.

    Raises ``InvalidValueError``.
    """
    progress = require_object(decode(data), "progress")
    if "outcome" in progress:
        require_choice(progress["outcome"], OUTCOMES, "outcome")
    require_bool(progress.get("started", False), "started")
    return progress


def parse_tombstone(data):
    """Returns the Unix milliseconds of a cancellation; raises ``InvalidValueError``."""
    document = require_object(decode(data), "tombstone")
    return require_int(document.get("at_ms"), 0, MAX_INT, "at_ms")


def parse_pending_counts(data):
    """Returns the number of pending jobs by queue in JSON bytes; raises ``InvalidValueError``."""
    counts = require_object(decode(data), "pending")
    return {queue: require_int(count, 0, MAX_INT, "pending") for queue, count in counts.items()}


def encode_speeds(speeds, max_value_bytes):
    """Returns the JSON bytes of the speeds of workers, the most different ones if too many.

    ``speeds`` maps worker ids to (incarnation, logarithm of the relative speed).
    """
    rows = [
        [worker_id, incarnation, round(100 * log_speed)]
        for worker_id, (incarnation, log_speed) in sorted(
            speeds.items(), key=lambda item: -abs(item[1][1])
        )
    ]
    value = encode(rows)
    while len(value) > max_value_bytes:
        rows = rows[: len(rows) * max_value_bytes // (len(value) + 1)]
        value = encode(rows)
    return value


def parse_speeds(data):
    """Returns what ``encode_speeds`` got, from its bytes; raises ``InvalidValueError``."""
    speeds = {}
    for row in require_list(decode(data), MAX_VALUES, "speeds"):
        fields = require_list(row, 3, "speed")
        if len(fields) < 3:
            raise InvalidValueError("speed", row, "a list of 3 items")
        worker_id = require_text(fields[0], MAX_NAME_BYTES, "worker")
        incarnation = require_int(fields[1], 0, MAX_INT, "incarnation")
        centilog = require_int(fields[2], -MAX_CENTILOG_SPEED, MAX_CENTILOG_SPEED, "speed")
        speeds[worker_id] = (incarnation, centilog / 100)
    return speeds


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
    ``epoch`` counts the leaders, ``batch`` the commits of one leader. ``pools`` is the number of
    the ``PoolsRow`` that the leader confirms, 0 for none. The fields are stored under these names.
    """

    __slots__ = ("address", "batch", "epoch", "holder", "node", "pools")

    def __init__(self, node="", holder="", address="", epoch=0, batch=0, pools=0):
        """Builds a row that names no leader unless ``node`` and ``holder`` are given.

        ``node`` is the name of the leading entry, ``holder`` the id of its process, ``batch`` the
        number of transactions that it has written since it took over.
        """
        self.node = node
        self.holder = holder
        self.address = address
        self.epoch = epoch
        self.batch = batch
        self.pools = pools

    @classmethod
    def from_row(cls, row):
        """Returns the ``LeaderRow`` in a ``Row``, or an empty one if ``row`` is None.

        A row that cannot be read names no leader. Its version stands for its epoch, which must not
        decrease: each epoch began with a write of the row, so none is higher than the version.
        """
        if row is None:
            return cls()
        try:
            fields = require_object(decode(row.value), "leader")
            node, holder = (
                require_text(fields.get(name), MAX_TEXT_BYTES, name) for name in ("node", "holder")
            )
            epoch = require_int(fields.get("epoch"), 0, row.version, "epoch")
            batch = require_int(fields.get("batch"), 0, MAX_INT, "batch")
            # earlier versions write no such field
            pools = require_int(fields.get("pools", 0), 0, MAX_INT, "pools")
        except InvalidValueError as error:
            cause = {"version": row.version, "cause": str(error)}
            LOG.error("The leader's row cannot be read; it names no leader.", extra=cause)
            return cls(epoch=row.version)
        try:
            address = require_address(fields.get("address"), "address")
        except InvalidValueError:
            address = ""
        return cls(node, holder, address, epoch, batch, pools)

    def to_value(self):
        """Returns the JSON bytes that are stored."""
        return encode({name: getattr(self, name) for name in self.__slots__})


class PoolsRow:
    """Content of the row with the ``PoolView`` of each pool by name.

    ``number`` increases with each write; the leader's row names the number that is in force.
    """

    __slots__ = ("number", "views")

    def __init__(self, number=0, views=None):
        self.number = number
        self.views = {} if views is None else views

    @classmethod
    def from_row(cls, row):
        """Returns the ``PoolsRow`` in a ``Row``, or an empty one if ``row`` is None.

        A row that cannot be read has no views. Its version stands for its number, which must not
        decrease: each number was written once, so none is higher than the version.
        """
        if row is None:
            return cls()
        try:
            document = require_object(decode(row.value), "pools")
            number = require_int(document.get("number"), 0, row.version, "number")
            views = require_object(document.get("views"), "views")
            if len(views) > MAX_POOLS:
                shown = f"{len(views)} views"
                raise InvalidValueError("views", views, f"at most {MAX_POOLS}", shown=shown)
            return cls(number, {name: PoolView.from_document(v) for name, v in views.items()})
        except InvalidValueError as error:
            cause = {"version": row.version, "cause": str(error)}
            LOG.error("The views of the pools cannot be read; all jobs are admitted.", extra=cause)
            return cls(row.version)

    def to_value(self, max_value_bytes):
        """Returns the JSON bytes that are stored; leaves out the views that do not fit."""
        documents = {}
        size = len(encode({"number": MAX_INT, "views": {}}))
        for name, view in sorted(self.views.items())[:MAX_POOLS]:
            document = view.to_document()
            # a colon and a comma
            size += len(encode(name)) + len(encode(document)) + 2
            if size > max_value_bytes:
                break
            documents[name] = document
        return encode({"number": self.number, "views": documents})
