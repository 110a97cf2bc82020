"""Guards the metrics against unbounded growth and text that collectors reject."""

import re
import unittest

from ibiscart_entry.metric import REASONS_KEPT, Metrics

LINE = re.compile(r'ibiscart_[a-z_]+(\{([a-z]+="([^"\\\n]|\\.)*",?)+\})? (\S+)')


class MetricsTest(unittest.TestCase):
    def test_every_line_is_valid_exposition_text(self):
        """One bad line makes a collector drop the whole answer."""
        metrics = Metrics()
        metrics.count("refusals", 'odd "reason"\\\n')
        metrics.observe("request_seconds", "a", 0.25)
        metrics.observe("request_seconds", "a", 1e9)
        metrics.observe("request_seconds", "a", -1)
        metrics.gauge("up", lambda: 1, "Whether it is up.")
        metrics.gauge("age", lambda: float("inf"))
        metrics.gauge("flag", lambda: True)
        for line in metrics.render().splitlines():
            if not line.startswith("# "):
                match = LINE.fullmatch(line)
                self.assertIsNotNone(match, line)
                float(match[4].replace("+Inf", "inf"))
        self.assertIn("ibiscart_age +Inf", metrics.render())
        self.assertIn("# HELP ibiscart_up Whether it is up.", metrics.render())

    def test_a_failing_gauge_does_not_hide_the_rest(self):
        """A fault in one part must leave the others visible."""
        metrics = Metrics()
        metrics.gauge("bad", lambda: 1 / 0)
        metrics.count("retries", "x")
        with self.assertLogs("ibiscart.metric", "ERROR"):
            text = metrics.render()
        self.assertIn("ibiscart_bad NaN", text)
        self.assertIn('ibiscart_retries_total{reason="x"} 1', text)

    def test_labels_are_bounded(self):
        """Labels from outside must not grow the memory without end."""
        metrics = Metrics()
        for number in range(3 * REASONS_KEPT):
            metrics.count("retries", f"r{number}")
            metrics.observe("queue_seconds", f"l{number}", 0.1)
        self.assertEqual(metrics.value("retries", "other"), 2 * REASONS_KEPT)
        lines = metrics.render().splitlines()
        counted = [line for line in lines if line.startswith("ibiscart_queue_seconds_count")]
        self.assertLessEqual(len(counted), REASONS_KEPT + 1)

    def test_traffic_of_one_counterpart_adds_up(self):
        """Many clients call the workers; each must add to the same counter."""
        metrics = Metrics()
        for size in (10, 20):
            metrics.traffic("workers").add_sent(size)
            metrics.traffic("workers").add_received(2 * size)
        metrics.traffic("peers").add_sent(1)
        text = metrics.render()
        self.assertIn('ibiscart_wire_bytes_sent_total{to="workers"} 30', text)
        self.assertIn('ibiscart_wire_bytes_received_total{from="workers"} 60', text)
        self.assertIn('ibiscart_wire_bytes_sent_total{to="peers"} 1', text)

    def test_unknown_names_are_errors(self):
        """A misspelt counter would stay at zero unnoticed."""
        with self.assertRaises(KeyError):
            Metrics().count("retrys")
        with self.assertRaises(KeyError):
            Metrics().observe("seconds", "a", 1)
        with self.assertRaises(KeyError):
            Metrics().traffic("worker")

    def test_latencies(self):
        """Quantiles must lie within the precision of the histogram."""
        metrics = Metrics()
        for milliseconds in range(1, 1001):
            metrics.observe("request_seconds", "a", milliseconds / 1000)
        found = dict(re.findall(r'route="a",quantile="([0-9.]+)"\} (\S+)', metrics.render()))
        for quantile, expected in (("0.5", 0.5), ("0.95", 0.95), ("0.99", 0.99)):
            self.assertAlmostEqual(float(found[quantile]), expected, delta=expected * 0.02)
        self.assertIn('ibiscart_request_seconds_count{route="a"} 1000', metrics.render())
        self.assertIn('ibiscart_request_seconds_sum{route="a"} 500.5', metrics.render())


if __name__ == "__main__":
    unittest.main()
