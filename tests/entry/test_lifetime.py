"""The log tells once, and last, why a process ended."""

import unittest

from ibiscart_entry.lifetime import ProcessLifetime


class LifetimeTest(unittest.TestCase):
    def setUp(self):
        self.now = 5.0
        self.lifetime = ProcessLifetime(2, clock=lambda: self.now)

    def run_function(self, function):
        with self.assertLogs("ibiscart.process") as logs:
            code = self.lifetime.run(function)
        self.assertEqual(len(logs.records), 1)
        return code, logs.records[0]

    def test_cause_and_uptime_of_an_ordinary_end(self):
        async def serve():
            self.now += 2.5
            return "SIGTERM"

        code, record = self.run_function(serve)
        self.assertEqual((code, record.exit_code, record.levelname), (0, 0, "INFO"))
        self.assertEqual((record.cause, record.uptime_seconds), ("SIGTERM", 2.5))

    def test_unexpected_error_is_one_record_with_its_traceback(self):
        async def fail():
            raise ExceptionGroup("tasks", [KeyError("odd")])

        code, record = self.run_function(fail)
        self.assertEqual((code, record.exit_code, record.levelname), (1, 1, "CRITICAL"))
        self.assertEqual((record.cause, record.error), ("error", "KeyError: 'odd'"))
        self.assertIsNotNone(record.exc_info)


if __name__ == "__main__":
    unittest.main()
