"""
ibiscart_entry.recorder
~~~~~~~~~~~~~~~~~~~~~~~

Records the inputs and decisions of an entry as trace events, for audit and replay.

The events go to the object store in batches, since entry VMs have no disk, and to a file
if the settings name one.
"""

import logging
import time
from collections import deque

import trio

from ibiscart_core.trace import format_event
from ibiscart_entry.table import StoreError
from ibiscart_schema.generated.trace_pb2 import Input, RecordApplied, TraceEvent

__all__ = ["Recorder"]

LOG = logging.getLogger("ibiscart.recorder")
BUFFERED_EVENTS = 10_000
BATCH_EVENTS = 500
FLUSH_SECONDS = 5.0


class Recorder:
    """Buffers at most 10,000 events; further ones are dropped and counted.

    ``objects`` is an ``ObjectStore`` or None, ``path`` a file name or an empty text.
    """

    def __init__(self, entry_id, region, journal, objects, metrics, path="", clock_ns=time.time_ns):
        self._entry_id = entry_id
        self._prefix = f"trace/{region}/{entry_id}/{clock_ns()}"
        self._journal = journal
        self._objects = objects
        self._metrics = metrics
        self._path = path
        self._clock_ns = clock_ns
        self._events = deque()
        self._batches = 0

    @classmethod
    def from_config(cls, settings, journal, objects, metrics):
        """Builds the recorder from ``Settings``; returns None when recording is off."""
        log = settings.log
        if not log.trace_path and not log.trace_objects:
            return None
        store = objects if log.trace_objects else None
        return cls(settings.entry_id, settings.region, journal, store, metrics, log.trace_path)

    def add(self, **kind):
        """Buffers one event, named by its field in ``TraceEvent``."""
        if len(self._events) >= BUFFERED_EVENTS:
            self._metrics.count("dropped", "trace_event")
            return
        now_us = self._clock_ns() // 1000
        self._events.append(TraceEvent(time_us=now_us, source=self._entry_id, **kind))

    def add_commands(self, commands):
        """Records the commands of one batch that this entry decided."""
        for command in commands:
            self.add(input=Input(command=command))

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
        async for record in self._journal.subscribe():
            self.add(record_applied=RecordApplied(entry_id=self._entry_id, record=record))
            if self._path:
                # a file exists for tests, which kill the process at any moment
                self._write_file(self._take())

    async def _flush(self):
        while self._events:
            data = self._take()
            if self._path:
                self._write_file(data)
            if self._objects is not None:
                await self._store(data)

    def _take(self):
        lines = []
        while self._events and len(lines) < BATCH_EVENTS:
            lines.append(format_event(self._events.popleft()))
        return b"".join(lines)

    def _write_file(self, data):
        with open(self._path, "ab") as file:
            file.write(data)

    async def _store(self, data):
        self._batches += 1
        try:
            await self._objects.put(f"{self._prefix}-{self._batches:06d}", data, low=True)
        except StoreError as error:
            self._metrics.count("dropped", "trace_batch")
            LOG.warning(
                "recorder: The object store did not take a batch of trace events.",
                extra={"reason": error.reason},
            )
