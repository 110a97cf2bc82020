"""
ibiscart_core.trace
~~~~~~~~~~~~~~~~~~~

Reads and writes recorded events: ``TraceEvent`` messages, one JSON object per line.

The written form is canonical: fields by name in alphabetical order, no spaces, no
fields with default values. The same events always result in the same bytes.
"""

import json

from google.protobuf.json_format import MessageToDict, ParseDict, ParseError

from ibiscart_schema.generated.trace_pb2 import TraceEvent

__all__ = ["TraceError", "format_event", "parse_event", "read_trace", "write_trace"]

# limit of one line, which has one event: about four times the record of a mass cancellation of
# 10,000 jobs, which takes about 2 MB
MAX_LINE_BYTES = 8 * 1024 * 1024
MAX_TEXT_SHOWN = 80


class TraceError(ValueError):
    """A line of a trace that is not an event; ``line`` counts from 1."""

    def __init__(self, line, message):
        super().__init__(f"line {line}: {message}")
        self.line = line
        self.message = message


def format_event(event):
    """Returns the canonical line of a ``TraceEvent`` as bytes, including the newline."""
    fields = MessageToDict(event, preserving_proto_field_name=True)
    text = json.dumps(fields, sort_keys=True, separators=(",", ":"), ensure_ascii=False)
    return text.encode() + b"\n"


def parse_event(data, line=1):
    """Returns the ``TraceEvent`` of one line of bytes; raises ``TraceError``."""
    try:
        fields = json.loads(data.decode())
    except UnicodeDecodeError as error:
        raise TraceError(line, f"not UTF-8 at byte {error.start}") from error
    except json.JSONDecodeError as error:
        raise TraceError(line, f"not JSON, {error.msg} at column {error.colno}") from error
    except RecursionError as error:
        raise TraceError(line, "nested too deeply") from error
    if not isinstance(fields, dict):
        raise TraceError(line, f"not a JSON object but {json.dumps(fields)[:MAX_TEXT_SHOWN]}")
    event = TraceEvent()
    try:
        ParseDict(fields, event)
    except ParseError as error:
        raise TraceError(line, f"not an event, {error}") from error
    if event.WhichOneof("kind") is None:
        raise TraceError(line, "the event has no kind")
    if event.time_us < 0:
        raise TraceError(line, f"time_us is {event.time_us}, must be at least 0")
    return event


def read_trace(file):
    """Yields the events of a binary file; raises ``TraceError`` on an invalid line.

    Empty lines are skipped. At most one line is held in memory.
    """
    line = 0
    while True:
        data = file.readline(MAX_LINE_BYTES + 1)
        if not data:
            return
        line += 1
        if len(data) > MAX_LINE_BYTES:
            raise TraceError(line, f"longer than {MAX_LINE_BYTES} bytes")
        if data.strip():
            yield parse_event(data, line)


def write_trace(events, file):
    """Writes events to a binary file in the given order; returns their number."""
    count = 0
    for event in events:
        file.write(format_event(event))
        count += 1
    return count
