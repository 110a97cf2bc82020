"""
ibiscart_core.workflow.speed
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Estimates how fast each worker is from the progress of its runs beside that of their siblings.
"""

import math
from enum import Enum

from ibiscart_core.workflow.unit import AllocationState

__all__ = ["RunProgress", "SpeedClass", "SpeedModel", "WorkerSpeed"]

# the shortest span, and the fewest percent of a task, from which a rate is taken: percentages are
# whole numbers, and the time of a report is known to some 10 ms
MIN_RATE_SECONDS = 0.5
MIN_RATE_PERCENT = 5
# percent after which the next rate of the same run counts from its present progress
RENEWAL_PERCENT = 15
# runs of one worker whose rates are kept, the latest ones
MAX_RUNS = 12
# time in which the weight of a rate halves, and after which it is dropped: a worker may turn slow
# or recover, and its present runs must outweigh earlier ones
HALF_LIFE_SECONDS = 30.0
MAX_AGE_SECONDS = 120.0
# standard deviation of the logarithm of the rates of tasks of one step, as assumed before it is
# known from the step's own runs; it counts as much as two workers
TASK_DEVIATION = 0.25
ASSUMED_WORKERS = 2
# largest weight of the run of a single task, which may by itself take many times as long as its
# siblings, and of a member of a gang, in runs of typical deviation
MAX_SINGLE_WEIGHT = 1.0
MAX_MEMBER_WEIGHT = 10.0
# the smallest deviation that is taken from a step's runs, as the times of reports are inexact
MIN_TASK_DEVIATION = 0.05
# weight, in runs of typical deviation, of the assumption that a worker has the average speed: a
# single long task does not outweigh it
PRIOR_WEIGHT = 1.5
# weight of a speed that an earlier leader had learned
RESTORED_WEIGHT = 12.0
# a worker counts as average unless the logarithm of its speed differs by this from the average and
# by this many standard errors; a preference for speed breaks up the packing of whole workers, which
# costs more than a smaller difference
MIN_DEVIATION = 0.3
SIGNIFICANT_ERRORS = 3.0
# part of the above at which a worker that was slow or fast counts as average again
RETURN_SHARE = 0.6
# bound of the logarithm of a speed
MAX_DEVIATION = math.log(10.0)
# time between two estimates
REFIT_SECONDS = 1.0
# ratio of the median of the absolute deviations of normal values to their standard deviation
MEDIAN_DEVIATION_RATIO = 0.6745
# ratio of the standard error of the median of normal values to that of their mean
MEDIAN_ERROR_RATIO = 1.2533


class SpeedClass(Enum):
    """A worker's speed beside the average of its pool; the values are used in logs."""

    SLOW = "slow"
    AVERAGE = "average"
    FAST = "fast"


class RunProgress:
    """Progress of one task's run, ``percent`` at ``at``, from which its next rate is taken.

    ``moving`` is False until the percentage has changed, for a run that may still be waiting or
    loading its checkpoint.
    """

    __slots__ = ("at", "moving", "percent")

    def __init__(self, at, percent, moving):
        self.at = at
        self.percent = percent
        self.moving = moving


class _Rate:
    """Logarithm of the rate in tasks per second of one run; ``step_key`` names its siblings.

    ``gang`` is True for the run of a member of a gang.
    """

    __slots__ = ("at", "gang", "log_rate", "step_key")

    def __init__(self, step_key, log_rate, gang, at):
        self.step_key = step_key
        self.log_rate = log_rate
        self.gang = gang
        self.at = at


class _StepRates:
    """Rates of a step's runs: the logarithm of the rate on an average worker, and their number.

    ``groups`` has for each worker with runs of the step (logarithm of their rate on an average
    worker, 1 or 2 for a worker with runs of other steps, number of the runs). ``run_weight`` is the
    weight of one run if its siblings' rates were known exactly.
    """

    __slots__ = ("log_rate", "run_weight", "runs")

    def __init__(self, groups):
        self.log_rate = _weighted_median([group[:2] for group in groups])
        self.runs = sum(runs for *_, runs in groups)
        self.run_weight = 0.0


class WorkerSpeed:
    """Speed of one worker in one incarnation; ``relative`` is 1.0 unless it differs for certain.

    ``log_speed`` is the estimate regardless of its error, the logarithm of the ratio to the average
    speed of the pool.
    """

    __slots__ = ("_restored", "log_speed", "rates", "relative", "speed_class")

    def __init__(self):
        # latest rates by (task key, run), in order of time
        self.rates = {}
        self.log_speed = 0.0
        self.relative = 1.0
        self.speed_class = SpeedClass.AVERAGE
        self._restored = None

    @property
    def known(self):
        """True if anything is known of the worker."""
        return bool(self.rates) or self._restored is not None

    def restore(self, log_speed, now):
        """Starts from what an earlier leader had learned; later rates outweigh it."""
        self._restored = (log_speed, now)
        self.log_speed = log_speed
        self._classify(log_speed, 0.0)

    def add_rate(self, run_key, rate):
        """Adds the ``_Rate`` of a run, in place of an earlier rate of the same run."""
        self.rates.pop(run_key, None)
        self.rates[run_key] = rate
        if len(self.rates) > MAX_RUNS:
            del self.rates[next(iter(self.rates))]

    def drop_old_rates(self, now):
        """Forgets the rates that are too old to count."""
        for run_key, rate in list(self.rates.items()):
            if now - rate.at <= MAX_AGE_SECONDS:
                return
            del self.rates[run_key]

    def rates_by_step(self):
        """Returns the lists of ``_Rate`` objects by (key of the step, True for a gang)."""
        rates = {}
        for rate in self.rates.values():
            rates.setdefault((rate.step_key, rate.gang), []).append(rate)
        return rates

    def update(self, rates_by_step, steps, offset, now):
        """Estimates the speed anew.

        ``steps`` maps the keys of ``rates_by_step`` to ``_StepRates``, for the steps with runs on
        several workers. ``offset`` corrects the average.
        """
        values = [(0.0, PRIOR_WEIGHT)]
        if self._restored is not None:
            log_speed, restored_at = self._restored
            values.append((log_speed, RESTORED_WEIGHT * _decay(now - restored_at)))
        for key, rates in rates_by_step.items():
            step = steps.get(key)
            if step is None:
                continue
            # the siblings on other workers, with which a run is compared, are inexact as well
            weight = step.run_weight * (1 - len(rates) / step.runs)
            log_rate = step.log_rate + offset
            values.extend(
                (rate.log_rate - log_rate, weight * _decay(now - rate.at)) for rate in rates
            )
        total = sum(weight for _, weight in values)
        estimate = max(-MAX_DEVIATION, min(MAX_DEVIATION, _weighted_median(values)))
        self.log_speed = estimate
        error = MEDIAN_ERROR_RATIO * TASK_DEVIATION / math.sqrt(total)
        self._classify(estimate, SIGNIFICANT_ERRORS * error)

    def _classify(self, log_speed, margin):
        """Sets ``relative`` and ``speed_class``; less than ``margin`` counts as average."""
        margin = max(MIN_DEVIATION, margin)
        if self.speed_class is not SpeedClass.AVERAGE:
            margin *= RETURN_SHARE
        if abs(log_speed) < margin:
            self.relative, self.speed_class = 1.0, SpeedClass.AVERAGE
            return
        self.relative = math.exp(log_speed)
        self.speed_class = SpeedClass.SLOW if log_speed < 0 else SpeedClass.FAST


class SpeedModel:
    """Compares the rates of runs on different workers, each with those of the same step.

    The rate of a task is its speed of work by its length. The length is unknown, as callers'
    estimates are rough, but siblings have similar lengths. Medians keep a task that takes many
    times as long from counting against its worker. Members of a gang end together, so their own
    progress counts and their end does not. Times are in seconds of the monotonic clock.
    """

    def __init__(self):
        self._fitted_at = -math.inf

    def record_progress(self, worker, unit, task_key, percent, now):
        """Records the percentage of a task that a run has done."""
        allocation = unit.allocations.get(task_key[3])
        if not 0 < percent < 100 or not _is_comparable(worker, unit, allocation, now):
            return
        progress = allocation.progress
        if progress is None:
            started_at = _started_at(unit, allocation)
            if started_at is None:
                allocation.progress = RunProgress(now, percent, False)
                return
            progress = allocation.progress = RunProgress(started_at, 0, True)
        if not progress.moving:
            if percent > progress.percent:
                allocation.progress = RunProgress(now, percent, True)
            return
        # a percentage is rounded down
        added = _add_rate(worker, unit, task_key, progress, percent + 0.5, now)
        if added and percent - progress.percent >= RENEWAL_PERCENT:
            allocation.progress = RunProgress(now, percent + 0.5, True)

    def record_end(self, worker, unit, task_key, now):
        """Records that the task of a run is done; that of a gang tells nothing about its worker."""
        allocation = unit.allocations.get(task_key[3])
        if unit.size > 1 or not _is_comparable(worker, unit, allocation, now):
            return
        progress = allocation.progress
        if progress is None:
            started_at = _started_at(unit, allocation)
            if started_at is None:
                return
            progress = RunProgress(started_at, 0, True)
        if progress.moving:
            _add_rate(worker, unit, task_key, progress, 100, now)

    def refit(self, workers, now):
        """Estimates the speeds of ``workers`` anew, unless that was done a short time ago.

        Returns the workers whose ``SpeedClass`` has changed.
        """
        if now - self._fitted_at < REFIT_SECONDS:
            return []
        self._fitted_at = now
        by_pool = {}
        for worker in workers:
            worker.speed.drop_old_rates(now)
            by_pool.setdefault(worker.info.pool, []).append(worker)
        changed = []
        for pool_workers in by_pool.values():
            earlier = [worker.speed.speed_class for worker in pool_workers]
            _fit([worker.speed for worker in pool_workers], now)
            changed.extend(
                worker
                for worker, speed_class in zip(pool_workers, earlier, strict=True)
                if worker.speed.speed_class is not speed_class
            )
        return changed


def _is_comparable(worker, unit, allocation, now):
    """Returns True if the run works at a rate that depends on its worker and its task alone."""
    step = unit.spec
    return (
        allocation is not None
        and allocation.state is AllocationState.RUNNING
        and not step.long_running
        and not step.filler
        and (not step.preferred_rack or step.preferred_rack == worker.info.rack)
        and not worker.is_cold(now)
    )


def _started_at(unit, allocation):
    """Returns when a run began its task, None if unknown.

    The members of a gang begin once all are present. A later run may load a checkpoint first, and
    one that an earlier leader ordered has begun before this leader saw it.
    """
    if unit.run != 1 or allocation.ordered_at is None:
        return None
    if unit.size == 1:
        return allocation.confirmed_at
    confirmed = [other.confirmed_at for other in unit.allocations.values()]
    if len(confirmed) < unit.size or None in confirmed:
        return None
    return max(confirmed)


def _add_rate(worker, unit, task_key, progress, percent, now):
    """Adds the rate since ``progress`` to the worker's rates; returns False if it is too early."""
    seconds = now - progress.at
    done = percent - progress.percent
    if seconds < MIN_RATE_SECONDS or done < MIN_RATE_PERCENT:
        return False
    log_rate = math.log(done / 100 / seconds)
    rate = _Rate(task_key[:3], log_rate, unit.size > 1, now)
    worker.speed.add_rate((task_key, unit.run), rate)
    return True


def _fit(speeds, now):
    """Estimates the ``WorkerSpeed`` objects of one pool from their rates and last estimates."""
    rates_by_speed = [(speed, speed.rates_by_step()) for speed in speeds]
    groups_by_step = {}
    for speed, rates_by_step in rates_by_speed:
        knowledge = 1 if len(rates_by_step) == 1 else 2
        for key, rates in rates_by_step.items():
            log_rate = _median([rate.log_rate for rate in rates]) - speed.log_speed
            groups_by_step.setdefault(key, []).append((log_rate, knowledge, len(rates)))
    steps = {key: _StepRates(groups) for key, groups in groups_by_step.items() if len(groups) > 1}
    for gang, max_weight in ((False, MAX_SINGLE_WEIGHT), (True, MAX_MEMBER_WEIGHT)):
        of_kind = [key for key in steps if key[1] is gang]
        deviations = [
            abs(log_rate - steps[key].log_rate)
            for key in of_kind
            if len(groups_by_step[key]) > 2
            for log_rate, *_ in groups_by_step[key]
        ]
        weight = min(max_weight, _run_weight(deviations))
        for key in of_kind:
            steps[key].run_weight = weight
    known = [speed.log_speed for speed in speeds if speed.known]
    mean_speed = sum(map(math.exp, known)) / len(known) if known else 1.0
    for speed, rates_by_step in rates_by_speed:
        speed.update(rates_by_step, steps, math.log(mean_speed), now)


def _run_weight(deviations):
    """Returns the weight of a run, in runs of typical deviation, by those of siblings."""
    spread = _median(deviations) / MEDIAN_DEVIATION_RATIO if deviations else 0.0
    variance = len(deviations) * spread**2 + ASSUMED_WORKERS * TASK_DEVIATION**2
    variance /= len(deviations) + ASSUMED_WORKERS
    return TASK_DEVIATION**2 / max(variance, MIN_TASK_DEVIATION**2)


def _median(values):
    """Returns the median of a list; ``statistics.median`` takes several times as long."""
    values = sorted(values)
    middle = len(values) // 2
    return values[middle] if len(values) % 2 else (values[middle - 1] + values[middle]) / 2


def _weighted_median(values):
    """Returns the median of pairs (value, weight)."""
    total = sum(weight for _, weight in values)
    below = 0.0
    lower = None
    for value, weight in sorted(values):
        if lower is not None:
            return (lower + value) / 2
        below += weight
        if below * 2 == total:
            lower = value
        elif below * 2 > total:
            return value
    return 0.0


def _decay(age_seconds):
    """Returns the weight that is left of an observation of this age."""
    return 0.5 ** (max(0.0, age_seconds) / HALF_LIFE_SECONDS)
