"""Processor time of the counters and of one answer to ``GET /metrics``.

Run with ``python -m tools.capacity.metrics``.
"""

import time
import timeit

from ibiscart_entry.metric import Metrics
from tools.capacity.table import print_command, print_table

CALLS = 1_000_000
RENDERS = 10
# an entry shows about as many latencies: routes, outcomes, lanes and kinds of jobs
LATENCIES = 12
VALUES = 200


def main():
    print_command("tools.capacity.metrics")
    metrics = Metrics()
    traffic = metrics.traffic("peers")
    best = min(timeit.repeat(lambda: traffic.add_sent(300), number=CALLS, repeat=5)) / CALLS
    for label in range(LATENCIES):
        for value in range(1, VALUES + 1):
            metrics.observe("request_seconds", f"route-{label}", value / 1000)
    times = []
    for _ in range(RENDERS):
        start = time.process_time()
        metrics.render()
        times.append((time.process_time() - start) * 1000)
    rows = [("one count of bytes", best * 1e6, "µs"), ("one render", min(times), "ms")]
    print_table(("operation", "processor time, least", "unit"), rows)


if __name__ == "__main__":
    main()
