"""
ibiscart_core.comparison
~~~~~~~~~~~~~~~~~~~~~~~~

Compares a policy with the baseline over recorded traces, for targets and for each user.
"""

from ibiscart_core.demand import peak_times, trace_capacity, trace_jobs
from ibiscart_core.measure import lower_bound, mean, measure

__all__ = ["Comparison", "WEIGHED_METRICS", "compare"]

BASELINE = "fifo"
# a trace is contended when demand exceeds the capacity for at least this long in total
CONTENDED_SECONDS = 600.0
URGENT_SECONDS = 4.2
SHORT_WAIT_FACTOR = 5.0
LARGE_COMPLETION_FACTOR = 1.5
# a ratio with a metric that is almost 0 says little; it is bounded and both sides are raised
LARGEST_RATIO = 10.0
SMALLEST_SECONDS = 0.1
SMALLEST_SHARE = 0.01

SHARES = ("fragmented_share", "peak_missed")
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
        *SHARES,
    }
)


class Comparison:
    """Metrics of each trace: lower bound, and one set for each policy by name.

    ``traces`` holds one mapping for each trace, with ``name``, ``contended``,
    ``over_capacity_seconds``, ``bound`` and ``policies``. ``users`` maps each user's name to
    ``traces``, the prefix of its traces' names, and ``weights`` by metric.
    """

    def __init__(self, traces, policy, users=None):
        self.traces = traces
        self.policy = policy
        self._users = users or {}

    def targets(self):
        """Returns one mapping per target: ``target``, ``reached`` and each trace's ``values``."""
        contended = [trace for trace in self.traces if trace["contended"]]
        policy = self.policy
        return [
            _target(
                f"p99 wait of short work at least {SHORT_WAIT_FACTOR:g} times lower than "
                f"{BASELINE} on contended traces",
                {t["name"]: _gain(t, policy, "short_wait_p99") for t in contended},
                lambda gain: gain >= SHORT_WAIT_FACTOR,
            ),
            _target(
                f"mean completion of large gangs at least {LARGE_COMPLETION_FACTOR:g} times "
                f"lower than {BASELINE} on contended traces",
                {t["name"]: _gain(t, policy, "large_completion_mean") for t in contended},
                lambda gain: gain >= LARGE_COMPLETION_FACTOR,
            ),
            _target(
                f"mean completion not higher than {BASELINE} on any trace",
                {t["name"]: _gain(t, policy, "completion_mean") for t in self.traces},
                lambda gain: gain >= 1.0,
            ),
            _target(
                f"urgent work started within {URGENT_SECONDS:g} s on all traces (longest, s)",
                {t["name"]: t["policies"][policy]["urgent_wait_max"] for t in self.traces},
                lambda seconds: seconds <= URGENT_SECONDS,
            ),
        ]

    def scores(self):
        """Returns each user's weighted ratio to the baseline; lower than 1 is better."""
        scores = {}
        for name, user in self._users.items():
            traces = [t for t in self.traces if t["name"].startswith(user["traces"])]
            ratios = [_weighted(t["policies"], self.policy, user["weights"]) for t in traces]
            scores[name] = mean(ratios)
        return scores

    def to_dict(self):
        """Returns everything in plain types, for a JSON file."""
        return {
            "baseline": BASELINE,
            "policy": self.policy,
            "scores": self.scores(),
            "targets": self.targets(),
            "traces": self.traces,
        }


def compare(traces, policies, users=None):
    """Replays traces under policies and returns their ``Comparison``.

    ``traces`` yields lists of ``TraceEvent``s; ``policies`` are callables that build a fresh
    ``Policy``, the baseline first and the policy to judge last; ``users`` as in ``Comparison``.
    """
    results = []
    for events in traces:
        capacity = trace_capacity(events)
        peaks = peak_times(trace_jobs(events), capacity)
        over = sum(end - start for start, end in peaks) / 1e6
        built = [build() for build in policies]
        results.append(
            {
                "name": events[0].header.name,
                "over_capacity_seconds": over,
                "contended": over >= CONTENDED_SECONDS,
                "bound": lower_bound(events, capacity),
                "policies": {policy.name: measure(events, policy) for policy in built},
            }
        )
    return Comparison(results, policies[-1]().name, users)


def _target(text, values, reached):
    return {
        "target": text,
        "reached": all(reached(value) for value in values.values() if value is not None),
        "missed_on": [n for n, v in values.items() if v is not None and not reached(v)],
        "values": values,
    }


def _gain(trace, policy, name):
    ours, base = trace["policies"][policy][name], trace["policies"][BASELINE][name]
    if ours is None or base is None:
        return None
    return max(base, SMALLEST_SECONDS) / max(ours, SMALLEST_SECONDS)


def _weighted(policies, policy, weights):
    ratios = {}
    for name in weights:
        ours, base = (_value(policies[p], name) for p in (policy, BASELINE))
        if ours is not None and base is not None:
            least = SMALLEST_SHARE if name in SHARES else SMALLEST_SECONDS
            ratios[name] = min(LARGEST_RATIO, max(ours, least) / max(base, least))
    total = sum(weights[name] for name in ratios)
    return sum(weights[name] * ratio for name, ratio in ratios.items()) / total


def _value(metrics, name):
    if name == "peak_missed":
        service = metrics["peak_service"]
        return None if service is None else 1.0 - service
    return metrics[name]
