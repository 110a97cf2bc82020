"""
ibiscart_entry.recorder
~~~~~~~~~~~~~~~~~~~~~~~

Records the inputs and decisions of an entry as trace events, for audit and replay.

The events go to the object store in batches, since entry VMs have no disk, and to a file
if the settings name one.
"""

import json
import logging
import time
from collections import deque

import trio

from ibiscart_core.trace import format_event
from ibiscart_entry.table import StoreError
from ibiscart_schema.generated.trace_pb2 import Input, RecordApplied, TraceEvent

__all__ = ["Recorder", "batch_key", "index_key"]

LOG = logging.getLogger("ibiscart.recorder")
BUFFERED_EVENTS = 10_000
BATCH_EVENTS = 500
FLUSH_SECONDS = 5.0
RESUBSCRIBE_SECONDS = 1.0
# two recorders that change the index at once can lose one change: it is read again after this
# many flushes, and written again when the change is missing
INDEX_CHECKS = 2
INDEXED_RUNS = 1000


def index_key(region):
    """Returns the object key of the list of a region's recordings, as JSON."""
    return f"trace/{region}/index"


def batch_key(prefix, number):
    """Returns the object key of a recording's batch; batches count from 1 without gaps."""
    return f"{prefix}-{number:06d}"


class Recorder:
    """Buffers at most 10,000 events; further ones are dropped and counted.

    ``objects`` is an ``ObjectStore`` or None, ``path`` a file name or an empty text.
    """

    def __init__(self, entry_id, region, journal, objects, metrics, path="", clock_ns=time.time_ns):
        self._entry_id = entry_id
        self._region = region
        self._prefix = f"trace/{region}/{entry_id}/{clock_ns()}"
        self._journal = journal
        self._objects = objects
        self._metrics = metrics
        self._path = path
        self._clock_ns = clock_ns
        self._events = deque()
        self._batch = b""
        self._batches = 0
        self._index_checks = 0

    @classmethod
    def from_config(cls, settings, journal, objects, metrics):
        """Builds the recorder from ``Settings``; returns None when recording is off."""
        log = settings.log
        if not log.trace_path and not log.trace_objects:
            return None
        store = objects if log.trace_objects else None
        return cls(settings.entry_id, settings.region, journal, store, metrics, log.trace_path)

    def add_commands(self, commands):
        """Records the commands of one batch that this entry decided.

        They get one time, by which a merge recognises the batch.
        """
        self._add([{"input": Input(command=command)} for command in commands])

    def _add(self, kinds):
        now_us = self._clock_ns() // 1000
        events = [TraceEvent(time_us=now_us, source=self._entry_id, **kind) for kind in kinds]
        if self._path and events:
            # a file exists for tests, which kill the process at any moment
            with open(self._path, "ab") as file:
                file.write(b"".join(map(format_event, events)))
        if self._objects is not None:
            kept = events[: BUFFERED_EVENTS - len(self._events)]
            self._events.extend(kept)
            if len(kept) < len(events):
                self._metrics.count("dropped", "trace_event", len(events) - len(kept))

    async def run(self, task_status=trio.TASK_STATUS_IGNORED):
        """Records applied records and writes the buffer until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._follow)
            task_status.started()
            try:
                while True:
                    await trio.sleep(FLUSH_SECONDS)
                    await self._flush()
            finally:
                with trio.CancelScope(shield=True), trio.move_on_after(1):
                    await self._flush()

    async def _follow(self):
        while True:
            async for record in self._journal.subscribe():
                if not record.events:
                    # stands for records that a snapshot replaced; other entries have them
                    continue
                applied = RecordApplied(entry_id=self._entry_id, record=record)
                self._add([{"record_applied": applied}])
            # the channel was closed because this reader fell behind
            self._metrics.count("dropped", "trace_record")
            await trio.sleep(RESUBSCRIBE_SECONDS)

    async def _flush(self):
        if self._objects is None:
            return
        try:
            while self._batch or self._events:
                self._batch = self._batch or self._take()
                key = batch_key(self._prefix, self._batches + 1)
                await self._objects.put(key, self._batch, low_priority=True)
                self._batches += 1
                self._batch = b""
            if self._batches and self._index_checks < INDEX_CHECKS:
                await self._check_index()
        except StoreError as error:
            # the batch keeps its number and is stored at the next flush
            LOG.warning(
                "recorder: The object store did not take trace events.",
                extra={"reason": error.reason},
            )

    def _take(self):
        count = min(BATCH_EVENTS, len(self._events))
        return b"".join(format_event(self._events.popleft()) for _ in range(count))

    async def _check_index(self):
        key = index_key(self._region)
        data = await self._objects.get(key, low_priority=True)
        prefixes = json.loads(data) if data else []
        if self._prefix in prefixes:
            self._index_checks += 1
            return
        self._index_checks = 0
        prefixes = [*prefixes, self._prefix][-INDEXED_RUNS:]
        await self._objects.put(key, json.dumps(prefixes).encode(), low_priority=True)
