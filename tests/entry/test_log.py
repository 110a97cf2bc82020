"""Tests of the bounded log: it never blocks, and says what it dropped."""

import json
import logging
import os
import threading
import unittest

from ibiscart_entry.log import LINES_AT_ONCE, MAX_WAITING_BYTES, BoundedHandler


class BoundedHandlerTest(unittest.TestCase):
    def setUp(self):
        self.reader, self.writer = os.pipe()
        self.now = 0.0
        self.handler = BoundedHandler(self.writer, clock=lambda: self.now)
        self.handler.setFormatter(_JsonLines())

    def tearDown(self):
        os.close(self.reader)
        os.close(self.writer)

    def emit(self, text, **attributes):
        record = logging.LogRecord("ibiscart.x", logging.INFO, "", 0, text, (), None)
        record.__dict__.update(attributes)
        self.handler.emit(record)

    def read(self):
        return self.read_available(self.handler.flush)

    def read_available(self, before=lambda: None):
        lines = []
        while True:
            before()
            os.set_blocking(self.reader, False)
            try:
                data = os.read(self.reader, 65536)
            except BlockingIOError:
                return b"".join(lines).decode().splitlines()
            lines.append(data)

    def test_stalled_reader_does_not_block(self):
        # a full pipe would stop the whole process at the next line
        for number in range(LINES_AT_ONCE):
            self.emit(f"{number} " + "x" * 400)
        self.assertGreater(self.handler.dropped, 0)
        self.assertLessEqual(self.handler._waiting_bytes, MAX_WAITING_BYTES)

    def test_lines_arrive_whole_and_in_order(self):
        for number in range(500):
            self.emit(f"{number} " + "x" * 300)
        numbers = [int(json.loads(line)["text"].split()[0]) for line in self.read()]
        self.assertEqual(list(range(500)), numbers)

    def test_last_lines_are_written_at_the_end_if_the_reader_goes_on(self):
        while not self.handler._waiting:
            self.emit("x" * 400)
        self.emit("last")
        closing = threading.Thread(target=self.handler.close)
        closing.start()
        lines = []
        while closing.is_alive():
            lines += self.read_available()
        lines += self.read_available()
        self.assertIn("last", lines[-1])

    def test_next_line_says_how_many_were_dropped(self):
        for _ in range(LINES_AT_ONCE + 7):
            self.emit("x")
        self.read()
        self.now += 1.0
        self.emit("after")
        self.assertEqual(7, json.loads(self.read()[-1])["dropped"])

    def test_records_of_start_and_end_are_written_beyond_the_rate(self):
        # a process that got thousands of signals in its shutdown ended without its last record
        for _ in range(LINES_AT_ONCE + 7):
            self.emit("x")
        self.read()
        self.emit("the end", essential=True)
        self.assertEqual([{"text": "the end", "dropped": 7}], list(map(json.loads, self.read())))

    def test_records_of_start_and_end_have_room_behind_a_reader_that_has_stalled(self):
        for _ in range(LINES_AT_ONCE):
            self.emit("x" * 1000)
        self.assertGreater(self.handler.dropped, 0)
        self.emit("the end" + "x" * 4000, essential=True)
        self.assertIn("the end", self.read()[-1])

    def test_room_for_records_of_start_and_end_is_bounded(self):
        for _ in range(LINES_AT_ONCE):
            self.emit("x" * 1000, essential=True)
        self.assertGreater(self.handler.dropped, 0)

    def test_closed_output_does_not_raise(self):
        reader, writer = os.pipe()
        handler = BoundedHandler(writer)
        os.close(reader)
        record = logging.LogRecord("ibiscart.x", logging.INFO, "", 0, "x", (), None)
        handler.emit(record)
        handler.emit(record)
        os.close(writer)


class _JsonLines(logging.Formatter):
    def format(self, record):
        dropped = getattr(record, "dropped_lines", 0)
        return json.dumps({"text": record.getMessage(), "dropped": dropped})


if __name__ == "__main__":
    unittest.main()
