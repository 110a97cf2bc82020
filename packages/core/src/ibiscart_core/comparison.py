"""
ibiscart_core.comparison
~~~~~~~~~~~~~~~~~~~~~~~~

Compares a policy with the baseline on recorded traces, by targets and by user.
"""

from ibiscart_core.demand import peak_times, trace_capacity, trace_jobs
from ibiscart_core.measure import lower_bound, mean, measure

__all__ = ["Comparison", "WEIGHED_METRICS", "compare"]

BASELINE = "fifo"
# a trace is contended if demand exceeds the capacity for at least this time in total
MIN_CONTENDED_SECONDS = 600.0
# longest acceptable wait of urgent work that preempts: time for the checkpoint and the stop of the
# preempted job and for the held start and the release of the urgent one
MAX_URGENT_SECONDS = 4.2
SHORT_WAIT_FACTOR = 5.0
LARGE_COMPLETION_FACTOR = 1.5
# ratios of values near 0 mean little: both values are raised to a minimum (seconds or share), and
# the ratio is limited
MAX_RATIO = 10.0
MIN_SECONDS = 0.1
MIN_SHARE = 0.01

SHARE_METRICS = ("fragmented_share", "peak_missed")
WEIGHED_METRICS = frozenset(
    {
        "completion_mean",
        "completion_p95",
        "completion_p99",
        "large_completion_mean",
        "makespan",
        "short_wait_p50",
        "short_wait_p99",
        "urgent_wait_max",
        *SHARE_METRICS,
    }
)


class Comparison:
    """Metrics of each trace: the lower bound, and the metrics of each policy by name.

    ``traces`` has one mapping per trace, with ``name``, ``contended``,
    ``over_capacity_seconds``, ``bound`` and ``policies``. ``users`` maps each user's name to
    ``traces``, the prefix of its traces' names, and ``weights`` by metric.
    """

    def __init__(self, traces, policy, users=None):
        self.traces = traces
        self.policy = policy
        self._users = users or {}

    def targets(self):
        """Returns one mapping per target: ``target``, ``reached``, ``missed_on``, ``values``."""
        contended = [trace for trace in self.traces if trace["contended"]]
        policy = self.policy
        return [
            _evaluate_target(
                f"p99 wait of short work at least {SHORT_WAIT_FACTOR:g} times lower than "
                f"{BASELINE} on contended traces",
                {t["name"]: _improvement(t, policy, "short_wait_p99") for t in contended},
                lambda gain: gain >= SHORT_WAIT_FACTOR,
            ),
            _evaluate_target(
                f"mean completion of large gangs at least {LARGE_COMPLETION_FACTOR:g} times "
                f"lower than {BASELINE} on contended traces",
                {t["name"]: _improvement(t, policy, "large_completion_mean") for t in contended},
                lambda gain: gain >= LARGE_COMPLETION_FACTOR,
            ),
            _evaluate_target(
                f"mean completion not higher than {BASELINE} on any trace",
                {t["name"]: _improvement(t, policy, "completion_mean") for t in self.traces},
                lambda gain: gain >= 1.0,
            ),
            _evaluate_target(
                f"urgent work started within {MAX_URGENT_SECONDS:g} s on all traces (longest, s)",
                {t["name"]: t["policies"][policy]["urgent_wait_max"] for t in self.traces},
                lambda seconds: seconds <= MAX_URGENT_SECONDS,
            ),
        ]

    def scores(self):
        """Returns each user's weighted ratio to the baseline; below 1 is better."""
        scores = {}
        for name, user in self._users.items():
            traces = [t for t in self.traces if t["name"].startswith(user["traces"])]
            ratios = [_weighted_ratio(t["policies"], self.policy, user["weights"]) for t in traces]
            scores[name] = mean(ratios)
        return scores

    def to_dict(self):
        """Returns the comparison in plain types, for a JSON file."""
        return {
            "baseline": BASELINE,
            "policy": self.policy,
            "scores": self.scores(),
            "targets": self.targets(),
            "traces": self.traces,
        }


def compare(traces, policies, users=None):
    """Replays traces under policies and returns their ``Comparison``.

    ``traces`` yields lists of ``TraceEvent``s; ``policies`` are callables that return a new
    ``Policy``, the baseline first and the evaluated policy last; ``users`` as in ``Comparison``.
    """
    results = []
    for events in traces:
        capacity = trace_capacity(events)
        peaks = peak_times(trace_jobs(events), capacity)
        over_seconds = sum(end - start for start, end in peaks) / 1e6
        instances = [build() for build in policies]
        results.append(
            {
                "name": events[0].header.name,
                "over_capacity_seconds": over_seconds,
                "contended": over_seconds >= MIN_CONTENDED_SECONDS,
                "bound": lower_bound(events, capacity),
                "policies": {policy.name: measure(events, policy) for policy in instances},
            }
        )
    return Comparison(results, policies[-1]().name, users)


def _evaluate_target(text, values, reached):
    """Returns the mapping of one target; ``reached(value)`` judges each trace's value."""
    return {
        "target": text,
        "reached": all(reached(value) for value in values.values() if value is not None),
        "missed_on": [n for n, v in values.items() if v is not None and not reached(v)],
        "values": values,
    }


def _improvement(trace, policy, name):
    """Returns the baseline's metric (s) divided by the policy's, or None without samples."""
    value, baseline = trace["policies"][policy][name], trace["policies"][BASELINE][name]
    if value is None or baseline is None:
        return None
    return max(baseline, MIN_SECONDS) / max(value, MIN_SECONDS)


def _weighted_ratio(policies, policy, weights):
    """Returns the weighted mean of the policy's metrics divided by the baseline's."""
    ratios = {}
    for name in weights:
        value, baseline = (_metric_value(policies[p], name) for p in (policy, BASELINE))
        if value is not None and baseline is not None:
            minimum = MIN_SHARE if name in SHARE_METRICS else MIN_SECONDS
            ratios[name] = min(MAX_RATIO, max(value, minimum) / max(baseline, minimum))
    total = sum(weights[name] for name in ratios)
    return sum(weights[name] * ratio for name, ratio in ratios.items()) / total


def _metric_value(metrics, name):
    """Returns a metric for which lower is better, or None without samples."""
    if name == "peak_missed":
        service = metrics["peak_service"]
        return None if service is None else 1.0 - service
    return metrics[name]
