"""
ibiscart_entry.metric
~~~~~~~~~~~~~~~~~~~~~

Counters by reason and latency histograms, in the text form that collectors read.
"""

import logging
import math

from hdrh.histogram import HdrHistogram

__all__ = ["Metrics", "Traffic"]

LOG = logging.getLogger("ibiscart.metric")
LOWEST_US = 1
HIGHEST_US = 3_600_000_000
SIGNIFICANT_DIGITS = 2
QUANTILES = (0.5, 0.95, 0.99)
REASONS_KEPT = 200
COUNTERPARTS = frozenset({"peers", "table", "objects", "workers", "runners", "members", "callers"})


class Traffic:
    """Bytes exchanged with one kind of counterpart.

    Counts what sockets accept and deliver, so TCP and IP headers and retransmissions are left
    out. It is called for each read and write; one dictionary update keeps it cheap.
    """

    __slots__ = ("_counterpart", "_received", "_sent")

    def __init__(self, counterpart="", sent=None, received=None):
        self._counterpart = counterpart
        self._sent = {} if sent is None else sent
        self._received = {} if received is None else received
        self._sent.setdefault(counterpart, 0)
        self._received.setdefault(counterpart, 0)

    def add_sent(self, size):
        """Adds bytes that a socket has accepted."""
        self._sent[self._counterpart] += size

    def add_received(self, size):
        """Adds bytes that a socket has delivered."""
        self._received[self._counterpart] += size


class Metrics:
    """Counters, gauges and latency histograms of one process.

    ``COUNTERS`` lists each counter with its label and help text; a name outside the list
    is an error, so that operators can rely on the documented set.
    """

    COUNTERS = {
        "requests": ("route", "Requests answered."),
        "refusals": ("kind", "Requests refused, by error kind."),
        "answers_without_caller": (
            "route",
            "Requests that took effect or were refused after their caller had left.",
        ),
        "rejections": ("reason", "Jobs rejected at submission, by reason."),
        "retries": ("reason", "Requests or calls sent again, by reason."),
        "decisions": ("reason", "Journal events appended, by kind."),
        "append_conflicts": ("cause", "Appends that lost against another entry's record."),
        "store_operations": ("operation", "Operations sent to the table service or object store."),
        "store_errors": ("reason", "Operations on the store that failed."),
        "held_requests": ("reason", "Requests held while the store did not answer, by reason."),
        "released_requests": ("reason", "Held requests that were sent to the store, by reason."),
        "store_refusals": ("reason", "Requests refused while the store did not answer."),
        "peer_messages": ("message", "Messages sent to peers."),
        "peer_errors": ("reason", "Messages to peers that failed."),
        "target_calls": ("call", "Calls to workers and runners."),
        "target_errors": ("reason", "Calls to targets that failed."),
        "claims": ("outcome", "Durable claims of requests that may run only once."),
        "share_loans": ("outcome", "Loans of shares between entries."),
        "dropped": ("what", "Items dropped because a bounded buffer was full."),
        "orders": ("result", "Orders to start a run, by the worker's answer."),
        "stops": ("reason", "Stops sent to workers, by reason or error."),
        "lists": ("result", "Lists of runs read from workers, by result."),
        "over_share": ("account", "Passes in which an account above its share waited for others."),
        "task_errors": ("kind", "Tasks that ended with an unexpected error."),
        "wire_bytes_sent": ("to", "Bytes written to sockets, HTTP heads included."),
        "wire_bytes_received": ("from", "Bytes read from sockets, HTTP heads included."),
    }
    LATENCIES = {
        "request_seconds": ("route", "Time to answer a request."),
        "append_seconds": ("outcome", "Time to append a record to the journal."),
        "decision_seconds": ("part", "Processor time of one batch of decisions."),
        "queue_seconds": ("lane", "Wait of requests for a runner slot."),
        "commit_seconds": ("part", "Time to record the decisions of one pass."),
        "task_delay_seconds": (
            "part",
            "Time for which a pass, or the orders after it, held up other tasks.",
        ),
        "held_seconds": ("reason", "Time for which a request was held for the store."),
        "store_outage_seconds": ("cause", "Time for which the store was not reached."),
        "process_pause_seconds": ("part", "Time for which no task of the process ran."),
        "start_seconds": ("kind", "Time from submission to release of a job."),
    }

    def __init__(self):
        self._counters = {name: {} for name in self.COUNTERS}
        self._latencies = {name: {} for name in self.LATENCIES}
        self._gauges = {}

    def count(self, name, reason="", amount=1):
        """Adds ``amount`` to a counter."""
        values = self._counters[name]
        if reason not in values and len(values) >= REASONS_KEPT:
            reason = "other"
        values[reason] = values.get(reason, 0) + amount

    def value(self, name, reason=""):
        """Returns the value of a counter."""
        return self._counters[name].get(reason, 0)

    def traffic(self, counterpart):
        """Returns the ``Traffic`` of one of ``COUNTERPARTS``; another name is an error."""
        if counterpart not in COUNTERPARTS:
            raise KeyError(counterpart)
        sent, received = self._counters["wire_bytes_sent"], self._counters["wire_bytes_received"]
        return Traffic(counterpart, sent, received)

    def observe(self, name, label, seconds):
        """Adds a latency in seconds."""
        values = self._latencies[name]
        if label not in values:
            if len(values) >= REASONS_KEPT:
                label = "other"
            if label not in values:
                values[label] = _Latency()
        values[label].add(min(HIGHEST_US, max(LOWEST_US, int(seconds * 1e6))))

    def gauge(self, name, read, text=""):
        """Registers a function that returns the present value of a gauge."""
        self._gauges[name] = (read, text)

    def render(self):
        """Returns all values in the text exposition format."""
        lines = []
        for name, values in self._counters.items():
            label, text = self.COUNTERS[name]
            lines.append(f"# HELP ibiscart_{name}_total {text}")
            lines.append(f"# TYPE ibiscart_{name}_total counter")
            for reason, value in sorted(values.items()):
                lines.append(f'ibiscart_{name}_total{{{label}="{_escape(reason)}"}} {value}')
        for name, (read, text) in sorted(self._gauges.items()):
            lines.append(f"# HELP ibiscart_{name} {text or name.replace('_', ' ')}")
            lines.append(f"# TYPE ibiscart_{name} gauge")
            lines.append(f"ibiscart_{name} {_read(read)}")
        for name, values in self._latencies.items():
            lines.extend(self._render_latency(name, values))
        return "\n".join(lines) + "\n"

    def _render_latency(self, name, values):
        label, text = self.LATENCIES[name]
        yield f"# HELP ibiscart_{name} {text}"
        yield f"# TYPE ibiscart_{name} summary"
        for key, latency in sorted(values.items(), key=lambda item: item[0]):
            pair = f'{label}="{_escape(key)}"'
            for quantile, value in latency.quantiles():
                yield f'ibiscart_{name}{{{pair},quantile="{quantile}"}} {value / 1e6:.6f}'
            yield f"ibiscart_{name}_sum{{{pair}}} {latency.total_us / 1e6:.6f}"
            yield f"ibiscart_{name}_count{{{pair}}} {latency.count}"


class _Latency:
    """Histogram of one latency in microseconds, with its exact sum.

    The histogram's own mean visits every bucket in Python, which took most of the time of
    ``Metrics.render``.
    """

    __slots__ = ("_histogram", "total_us")

    def __init__(self):
        self._histogram = HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS)
        self.total_us = 0

    @property
    def count(self):
        """Number of values."""
        return self._histogram.get_total_count()

    def add(self, value_us):
        """Adds a value between the histogram's bounds."""
        self._histogram.record_value(value_us)
        self.total_us += value_us

    def quantiles(self):
        """Returns (quantile, value) pairs, found in one pass over the buckets."""
        percentiles = [quantile * 100 for quantile in QUANTILES]
        found = self._histogram.get_percentile_to_value_dict(percentiles)
        return [(quantile, found[quantile * 100]) for quantile in QUANTILES]


def _read(read):
    # one part that fails must not hide the values of all others
    try:
        value = float(read())
    except Exception:
        LOG.exception("A gauge could not be read.")
        return "NaN"
    if math.isinf(value):
        return "+Inf" if value > 0 else "-Inf"
    return f"{value:.15g}" if value == value else "NaN"


def _escape(value):
    return str(value).replace("\\", "\\\\").replace('"', '\\"').replace("\n", " ")
