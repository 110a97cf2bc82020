"""
ibiscart_core.estimate
~~~~~~~~~~~~~~~~~~~~~~

Run time estimates, learned for each client account and kind of job.
"""

from collections import deque

from ibiscart_schema.generated.journal_pb2 import EstimateSnapshot

__all__ = ["Estimate", "Estimates"]

OBSERVATIONS_KEPT = 32
# an observation weighs this much less than the next one
DECAY = 0.9
# declared run times are far off, but better than one or two observations
OBSERVATIONS_NEEDED = 3
KINDS_KEPT = 64


class Estimate:
    """Expected run time in seconds: median and 90 % quantile."""

    __slots__ = ("median", "observations", "p90")

    def __init__(self, median, p90, observations):
        self.median = median
        self.p90 = p90
        self.observations = observations


class Estimates:
    """Latest run times of each (client account, kind)."""

    def __init__(self):
        self._seconds = {}
        self._cache = {}

    def observe(self, account, kind, seconds):
        """Adds the run time of a completed job, in seconds."""
        self._cache.pop(account, None)
        kinds = self._seconds.setdefault(account, {})
        if kind not in kinds and len(kinds) >= KINDS_KEPT:
            del kinds[next(iter(kinds))]
        kinds.setdefault(kind, deque(maxlen=OBSERVATIONS_KEPT)).append(seconds)

    def estimate(self, account, kind, declared_seconds):
        """Returns the estimate; the declared time until enough jobs were observed."""
        seconds = self._seconds.get(account, {}).get(kind, ())
        if len(seconds) < OBSERVATIONS_NEEDED:
            return Estimate(declared_seconds, declared_seconds, len(seconds))
        kinds = self._cache.setdefault(account, {})
        known = kinds.get(kind)
        if known is None:
            median, p90 = _weighted_quantiles(seconds, (0.5, 0.9))
            known = kinds[kind] = Estimate(median, p90, len(seconds))
        return known

    def forget(self, account):
        """Drops the observations of a removed client account."""
        self._seconds.pop(account, None)
        self._cache.pop(account, None)

    def snapshot(self):
        """Returns the observations as ``EstimateSnapshot`` messages."""
        return [
            EstimateSnapshot(account=account, kind=kind, observations=len(s), seconds=s)
            for account, kinds in self._seconds.items()
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
    """Returns quantiles of ``seconds``, in which later observations weigh more."""
    last = len(seconds) - 1
    weighted = sorted((value, DECAY ** (last - index)) for index, value in enumerate(seconds))
    total = sum(weight for _, weight in weighted)
    return [_value_at(weighted, fraction * total) for fraction in fractions]


def _value_at(weighted, weight_below):
    below = 0.0
    for value, weight in weighted:
        below += weight
        if below >= weight_below:
            return value
    return weighted[-1][0]
