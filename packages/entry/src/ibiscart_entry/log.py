"""
ibiscart_entry.log
~~~~~~~~~~~~~~~~~~

JSON logs on standard output, one object a line, with a fixed prefix per component.
"""

import logging
import os
import select
import sys
import time
from collections import deque

from pythonjsonlogger.json import JsonFormatter

__all__ = ["BoundedHandler", "configure_log"]

ROOT_NAME = "ibiscart"
# lines that wait for a reader that has stalled; about 1,000 lines of 256 bytes
MAX_WAITING_BYTES = 256 * 1024
# lines a second over a longer time, and at once; a pass of the scheduler writes up to 100
LINES_PER_SECOND = 500
LINES_AT_ONCE = 2000
# room for the records of start and end beyond ``MAX_WAITING_BYTES``; a traceback takes some of it
ESSENTIAL_BYTES = 32 * 1024
# a pipe that is writable takes this much without blocking
WRITE_BYTES = select.PIPE_BUF
# longest wait for a reader at the end of the process
CLOSE_SECONDS = 0.2
RENAMED = {"asctime": "time", "levelname": "level", "name": "logger"}


class _ComponentFormatter(JsonFormatter):
    """Puts the component's prefix in front: ``journal: `` for logger ``ibiscart.journal``."""

    def process_log_record(self, log_data):
        name = log_data.get("logger", "")
        message = log_data.get("message", "")
        log_data.pop("essential", None)
        prefix = name.rsplit(".", 1)[-1] + ": "
        if name.startswith(ROOT_NAME + ".") and not message.startswith(prefix):
            log_data["message"] = prefix + message
        return super().process_log_record(log_data)


class BoundedHandler(logging.Handler):
    """Writes lines to a file descriptor without ever blocking.

    Lines beyond the rate, and lines for which a stalled reader leaves no room, are dropped;
    the next line that is written says how many. Records with a true attribute ``essential``, the
    few of the start and the end of a process, have no rate and room of their own.
    """

    def __init__(self, descriptor, clock=time.monotonic):
        super().__init__()
        self._descriptor = descriptor
        self._clock = clock
        self._poll = select.poll()
        self._poll.register(descriptor, select.POLLOUT)
        self._waiting = deque()
        self._waiting_bytes = 0
        self._tokens = float(LINES_AT_ONCE)
        self._refilled_at = clock()
        self._dropped_unsaid = 0
        self.dropped = 0

    def emit(self, record):
        """Queues a line and writes what the reader takes."""
        essential = getattr(record, "essential", False)
        room = MAX_WAITING_BYTES + (ESSENTIAL_BYTES if essential else 0)
        if essential or self._take_token():
            if self._dropped_unsaid:
                record.dropped_lines = self._dropped_unsaid
            try:
                line = self.format(record).encode("utf-8", "replace") + b"\n"
            except Exception:
                self.handleError(record)
                return
            if self._waiting_bytes + len(line) <= room:
                self._waiting.append(line)
                self._waiting_bytes += len(line)
                self._dropped_unsaid = 0
                self.flush()
                return
        self.dropped += 1
        self._dropped_unsaid += 1
        self.flush()

    def flush(self):
        """Writes waiting lines as far as the reader takes them."""
        try:
            while self._waiting and self._poll.poll(0):
                line = self._waiting[0]
                written = os.write(self._descriptor, line[:WRITE_BYTES])
                self._waiting_bytes -= written
                if written < len(line):
                    self._waiting[0] = line[written:]
                else:
                    self._waiting.popleft()
        except OSError:
            # a closed standard output must not stop the process
            self.dropped += len(self._waiting)
            self._waiting.clear()
            self._waiting_bytes = 0

    def close(self):
        """Writes the lines that still wait, for which it waits a bounded time, and closes."""
        deadline = time.monotonic() + CLOSE_SECONDS
        while self._waiting and (left := deadline - time.monotonic()) > 0:
            self._poll.poll(left * 1000)
            self.flush()
        super().close()

    def _take_token(self):
        now = self._clock()
        refill = (now - self._refilled_at) * LINES_PER_SECOND
        self._tokens = min(LINES_AT_ONCE, self._tokens + refill)
        self._refilled_at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


def configure_log(level="info", *, fields=None, stream=None):
    """Sends the logs of all components to ``stream``, by default standard output.

    Standard error replaces a standard output that the process was started without.
    ``fields`` are added to each line, such as the entry id and the region. Calling it
    again replaces the earlier set-up.
    """
    output = sys.stdout or sys.stderr
    if stream is None and output is None:
        handler = logging.NullHandler()
    elif stream is None:
        handler = BoundedHandler(output.fileno())
    else:
        handler = logging.StreamHandler(stream)
    handler.setFormatter(
        _ComponentFormatter(
            "%(asctime)s %(levelname)s %(name)s %(message)s",
            rename_fields=RENAMED,
            static_fields=fields or {},
        )
    )
    logger = logging.getLogger(ROOT_NAME)
    logger.handlers[:] = [handler]
    logger.setLevel(level.upper())
    logger.propagate = False
    # a closed standard output must not stop the process
    logging.raiseExceptions = False
    return logger
