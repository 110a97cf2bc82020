"""
ibiscart_core.estimate
~~~~~~~~~~~~~~~~~~~~~~

Run time estimates, learned per client account and kind of job.
"""

from collections import deque

from ibiscart_schema.generated.journal_pb2 import EstimateSnapshot

__all__ = ["Estimate", "Estimates"]

MAX_OBSERVATIONS = 32
# weight of an observation relative to the next, more recent one
DECAY = 0.9
# declared run times are inaccurate, but better than one or two observations
MIN_OBSERVATIONS = 3
MAX_KINDS_PER_ACCOUNT = 64


class Estimate:
    """Expected run time in seconds: median, 90th percentile and number of observations."""

    __slots__ = ("median", "observations", "p90")

    def __init__(self, median, p90, observations):
        self.median = median
        self.p90 = p90
        self.observations = observations


class Estimates:
    """Latest observed run times of each (client account, kind)."""

    def __init__(self):
        self._run_seconds = {}
        self._cached_estimates = {}

    def observe(self, account, kind, seconds):
        """Adds the run time in seconds of a completed job."""
        self._cached_estimates.pop(account, None)
        kinds = self._run_seconds.setdefault(account, {})
        if kind not in kinds and len(kinds) >= MAX_KINDS_PER_ACCOUNT:
            del kinds[next(iter(kinds))]
        kinds.setdefault(kind, deque(maxlen=MAX_OBSERVATIONS)).append(seconds)

    def estimate(self, account, kind, declared_seconds):
        """Returns the ``Estimate`` of a kind: the declared time until enough jobs were observed."""
        seconds = self._run_seconds.get(account, {}).get(kind, ())
        if len(seconds) < MIN_OBSERVATIONS:
            return Estimate(declared_seconds, declared_seconds, len(seconds))
        kinds = self._cached_estimates.setdefault(account, {})
        cached = kinds.get(kind)
        if cached is None:
            median, p90 = _weighted_quantiles(seconds, (0.5, 0.9))
            cached = kinds[kind] = Estimate(median, p90, len(seconds))
        return cached

    def forget(self, account):
        """Removes the observations of a client account."""
        self._run_seconds.pop(account, None)
        self._cached_estimates.pop(account, None)

    def snapshot(self):
        """Returns the observations as ``EstimateSnapshot`` messages."""
        return [
            EstimateSnapshot(account=account, kind=kind, observations=len(s), seconds=s)
            for account, kinds in self._run_seconds.items()
            for kind, s in kinds.items()
        ]

    @classmethod
    def from_snapshot(cls, messages):
        """Builds the estimates from ``EstimateSnapshot`` messages."""
        estimates = cls()
        for item in messages:
            for seconds in item.seconds:
                estimates.observe(item.account, item.kind, seconds)
        return estimates


def _weighted_quantiles(seconds, fractions):
    """Returns the quantiles of ``seconds``, in which later observations have more weight."""
    last = len(seconds) - 1
    weighted = sorted((value, DECAY ** (last - index)) for index, value in enumerate(seconds))
    total = sum(weight for _, weight in weighted)
    return [_quantile(weighted, fraction * total) for fraction in fractions]


def _quantile(weighted, target_weight):
    """Returns the first value at which the cumulative weight reaches ``target_weight``."""
    cumulative = 0.0
    for value, weight in weighted:
        cumulative += weight
        if cumulative >= target_weight:
            return value
    return weighted[-1][0]
