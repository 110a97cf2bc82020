"""Tests of the trace format: stable bytes, no lost fields, clear errors."""

import io
import json
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from ibiscart_core.trace import (
    MAX_LINE_BYTES,
    TraceError,
    format_event,
    parse_event,
    read_trace,
    write_trace,
)
from ibiscart_schema.generated.trace_pb2 import TraceEvent, TraceHeader

TEXT = st.text(st.characters(exclude_categories=["Cs"]), max_size=20)


class TraceTest(unittest.TestCase):
    @settings(deadline=None, derandomize=True)
    @given(
        time_us=st.integers(0, 2**62),
        source=TEXT,
        name=TEXT,
        outcomes=st.dictionaries(TEXT, st.floats(allow_nan=False, allow_infinity=False)),
    )
    def test_preserves_every_event(self, time_us, source, name, outcomes):
        """A lost or rounded field makes a replay differ from its recording."""
        header = TraceHeader(name=name, outcomes=outcomes)
        event = TraceEvent(time_us=time_us, source=source, header=header)
        line = format_event(event)
        self.assertEqual(line.count(b"\n"), 1)
        self.assertEqual(parse_event(line), event)
        self.assertEqual(format_event(parse_event(line)), line)

    def test_writes_the_same_bytes_for_any_order_of_map_entries(self):
        """Committed traces must not change if they are generated again."""
        names = [f"outcome_{n}" for n in range(20)]
        lines = set()
        for order in (names, names[::-1]):
            header = TraceHeader()
            for name in order:
                header.outcomes[name] = 1
            lines.add(format_event(TraceEvent(time_us=1, header=header)))
        self.assertEqual(len(lines), 1)

    def test_reads_what_it_writes(self):
        events = [TraceEvent(time_us=n, header={"name": f"t{n}"}) for n in range(3)]
        file = io.BytesIO()
        self.assertEqual(write_trace(events, file), 3)
        file.seek(0)
        self.assertEqual(list(read_trace(file)), events)

    def test_reads_one_line_at_a_time(self):
        """A long recording must not be loaded into memory as a whole."""

        class Endless:
            read = 0

            def readline(self, limit):
                self.read += 1
                return b'{"time_us":"1","header":{}}\n'

        file = Endless()
        events = read_trace(file)
        for _ in range(10):
            next(events)
        self.assertEqual(file.read, 10)

    def test_states_the_line_of_an_error(self):
        good = b'{"time_us":"1","header":{"name":"a"}}\n'
        cases = {
            b"{": "line 3: not JSON",
            b"\xff{}": "line 3: not UTF-8 at byte 0",
            b"[1]": "line 3: not a JSON object but [1]",
            b'{"time_us":"1"}': "line 3: the event has no kind",
            b'{"time_us":"-1","header":{}}': "line 3: time_us is -1, must be at least 0",
            b'{"header":{"nmae":"a"}}': "line 3: not an event",
            b'{"time_us":"x","header":{}}': "line 3: not an event",
            b"[" * 100_000: "line 3: nested too deeply",
            b"x" * (MAX_LINE_BYTES + 1): f"line 3: longer than {MAX_LINE_BYTES} bytes",
        }
        for bad, message in cases.items():
            with self.subTest(message), self.assertRaises(TraceError) as caught:
                list(read_trace(io.BytesIO(good + b"\n" + bad + b"\n" + good)))
            self.assertTrue(str(caught.exception).startswith(message), str(caught.exception))
            self.assertEqual(caught.exception.line, 3)

    def test_writes_plain_json(self):
        """Other tools read recordings without the protobuf schema."""
        line = format_event(TraceEvent(time_us=5, source="e1", target_left={"target_id": "w1"}))
        self.assertEqual(
            json.loads(line), {"time_us": "5", "source": "e1", "target_left": {"target_id": "w1"}}
        )


if __name__ == "__main__":
    unittest.main()
