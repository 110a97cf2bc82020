"""
ibiscart_core.workflow.duration
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Corrects the run times that callers estimate by those that earlier tasks took.
"""

import math

__all__ = ["DurationModel"]

# assumed run time of a task without an estimate
DEFAULT_ESTIMATE_MS = 1000
# weight of the callers' estimates, in observed steps: with this many steps observed, the estimates
# are corrected by half
PRIOR_STEPS = 2.0
# variance of the logarithm of the run times of one queue, as assumed before they are observed: most
# are within a factor of two of one another
PRIOR_VARIANCE = 0.5
# bounds of a correction; a larger one would come from tasks that waited for others or stood still
MAX_CORRECTION = math.log(20.0)


class DurationModel:
    """Linear regression of the logarithm of run times on that of their estimates, by queue.

    Estimates that say little about the run times move towards the mean run time of their queue;
    those that are too low or too high on average are corrected by their mean error.
    """

    def __init__(self):
        self._regressions = {}

    def record(self, queue, estimate_ms, actual_ms, weight):
        """Adds the run time of a completed task; the weights of a step's tasks add up to 1."""
        regression = self._regressions.setdefault(queue, _Regression())
        x = math.log(estimate_ms or DEFAULT_ESTIMATE_MS)
        regression.add(x, math.log(max(1.0, actual_ms)), weight)

    def run_ms(self, queue, estimate_ms):
        """Returns the expected run time in milliseconds of a task with this estimate."""
        estimate_ms = estimate_ms or DEFAULT_ESTIMATE_MS
        regression = self._regressions.get(queue)
        if regression is None:
            return estimate_ms
        return estimate_ms * math.exp(regression.correction(math.log(estimate_ms)))


class _Regression:
    """Weighted least squares of y on x with a prior that y equals x."""

    __slots__ = ("_covariance", "_mean_x", "_mean_y", "_variance", "_weight")

    def __init__(self):
        self._weight = 0.0
        self._mean_x = 0.0
        self._mean_y = 0.0
        # sums over the observations, not divided by the weight
        self._variance = 0.0
        self._covariance = 0.0

    def add(self, x, y, weight):
        """Adds one observation."""
        self._weight += weight
        delta_x = x - self._mean_x
        self._mean_x += delta_x * weight / self._weight
        self._mean_y += (y - self._mean_y) * weight / self._weight
        self._variance += weight * delta_x * (x - self._mean_x)
        self._covariance += weight * delta_x * (y - self._mean_y)

    def correction(self, x):
        """Returns the expected difference of y and ``x``."""
        prior = PRIOR_STEPS * PRIOR_VARIANCE
        slope = (self._covariance + prior) / (self._variance + prior)
        expected = self._mean_y + slope * (x - self._mean_x)
        share = self._weight / (self._weight + PRIOR_STEPS)
        return max(-MAX_CORRECTION, min(MAX_CORRECTION, share * (expected - x)))
