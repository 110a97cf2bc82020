"""
ibiscart_core.workflow.ordering
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Ranks waiting jobs: the order in which they are placed.
"""

from ibiscart_core.workflow.duration import DurationModel
from ibiscart_core.workflow.unit import AllocationState

__all__ = ["JobRank", "JobRanking"]

# the users' accounting counts an accelerator as eight cores
CORES_PER_ACCELERATOR = 8
# factor on the credit of a job that ends late: the users' accounting grants a tenth to a half of
# the credit, depending on the kind of job
LATE_FACTOR = 0.3
# factor on the credit of a job that ends too late to earn any; above 0, so that such jobs are
# still ranked among each other, behind other jobs
EXPIRED_FACTOR = 0.01
# multiple of a job's objective up to which the job still earns credit if it ends late
LATE_LIMIT = 3.0
# part of a job's credit that does not depend on its amount of work
BASE_CREDIT = 0.3
# credit of a job of priority 0 with the mean work of its queue, as the users state it
TOP_CREDIT = 4.0
# weight of a new job in the moving mean of its queue's work per job, which then covers about 20
# jobs
MEAN_WEIGHT = 0.05
# lower limit of a job's remaining work in pool-share seconds, the time that the whole pool would
# take for it; avoids a division by zero
MIN_SHARE_SECONDS = 1e-6
# lower limit of a run's remaining time as a share of its expected length, also when the run has
# taken longer than expected
MIN_REMAINING_SHARE = 0.2


class JobRank:
    """Rank of one job: jobs with a larger ``score``, in credit per pool-share second, come first.

    ``slack_ms`` is the longest delay in milliseconds with which the job still meets its
    objective by its estimates, negative if the job is expected to miss the objective.
    ``lateness_loss`` is the credit that the job loses by ending late, 0 if it is already late.
    """

    __slots__ = ("lateness_loss", "score", "slack_ms")

    def __init__(self, score, slack_ms, lateness_loss):
        self.score = score
        self.slack_ms = slack_ms
        self.lateness_loss = lateness_loss


class JobRanking:
    """Ranks jobs by the credit they can still earn per unit of capacity.

    Credit grows with the priority of the queue and with the job's work relative to the mean of
    its queue, a moving mean over accepted jobs. Run times are the callers' estimates, corrected by
    ``durations``, the run times of earlier tasks.
    """

    def __init__(self):
        self.durations = DurationModel()
        self._mean_work = {}

    def record_job(self, job):
        """Adds an accepted job to the mean work of its queue."""
        core_seconds = _job_work(job, self._step_lengths(job))
        mean_work = self._mean_work.get(job.queue)
        self._mean_work[job.queue] = (
            core_seconds
            if mean_work is None
            else mean_work + MEAN_WEIGHT * (core_seconds - mean_work)
        )

    def rank(self, job, queue, pool_capacity, now, now_ms):
        """Returns the ``JobRank`` of a job.

        ``pool_capacity`` has the resources of the job's pool. ``now`` is in seconds of the
        monotonic clock, ``now_ms`` in Unix milliseconds.
        """
        step_states = _step_states(job, now)
        step_lengths_ms = _extend_lengths(self._step_lengths(job), step_states)
        critical_path_ms = job.spec.critical_path_ms(step_lengths_ms)
        objective_ms = queue.stretch * critical_path_ms + queue.target_latency_ms
        begin_ms = _begin_ms(job, now_ms)
        remaining_ms, share_seconds = _remaining_work(
            job, step_lengths_ms, step_states, pool_capacity
        )
        age_ms = now_ms - begin_ms
        finish_ms = age_ms + remaining_ms
        slack_ms = objective_ms - finish_ms
        credit = self._job_credit(job, queue, step_lengths_ms)
        # estimates are rough: a job that is not late yet may still end in time
        lateness_loss = credit * (1.0 - LATE_FACTOR) if age_ms < objective_ms else 0.0
        if slack_ms >= 0:
            factor = 1.0
        elif finish_ms <= LATE_LIMIT * objective_ms:
            factor = LATE_FACTOR
        else:
            factor = EXPIRED_FACTOR
        score = credit * factor / max(share_seconds, MIN_SHARE_SECONDS)
        return JobRank(score, slack_ms, lateness_loss)

    def expected_run_seconds(self, unit):
        """Returns the expected run time of a unit's tasks in seconds."""
        return self.durations.run_ms(unit.job.queue, unit.spec.estimate_ms) / 1000

    def expected_end(self, unit, allocation, now):
        """Returns when a task's run is expected to end, in seconds of the monotonic clock.

        Takes the expected speed of the run into account.
        """
        if unit.spec.long_running:
            return float("inf")
        if allocation is None or allocation.state is AllocationState.STOPPING:
            return now
        seconds = self.expected_run_seconds(unit) / allocation.speed
        if allocation.confirmed_at is None:
            return now + seconds
        return now + max(seconds * MIN_REMAINING_SHARE, allocation.confirmed_at + seconds - now)

    def _step_lengths(self, job):
        """Returns the expected run time in milliseconds of a task of each step."""
        return [self.durations.run_ms(job.queue, step.estimate_ms) for step in job.spec.steps]

    def _job_credit(self, job, queue, step_lengths_ms):
        """Returns the credit of a job that ends in time; the factor for its work is at most 4."""
        mean_work = self._mean_work.get(job.queue) or 1.0
        relative_credit = min(
            4.0, BASE_CREDIT + (1 - BASE_CREDIT) * _job_work(job, step_lengths_ms) / mean_work
        )
        return relative_credit * TOP_CREDIT / (1 + queue.priority)


def share_of(resources, pool_capacity):
    """Returns the share of ``pool_capacity`` that ``resources`` use, by the scarcest kind."""
    return max(
        resources.accelerators / max(1, pool_capacity.accelerators),
        resources.cpu_millis / max(1, pool_capacity.cpu_millis),
        resources.memory_mb / max(1, pool_capacity.memory_mb),
    )


def cores_of(resources):
    """Returns the number of cores that the users' accounting counts for the resources."""
    return resources.cpu_millis / 1000 + resources.accelerators * CORES_PER_ACCELERATOR


def _job_work(job, step_lengths_ms):
    """Returns the expected work of a job in core-seconds, including accelerators."""
    core_ms = sum(
        step.tasks * cores_of(step.resources) * length_ms
        for step, length_ms in zip(job.spec.steps, step_lengths_ms, strict=True)
    )
    return core_ms / 1000 * job.spec.occurrence_count


class _StepState:
    """Unfinished tasks of a step, and the ages in milliseconds of its oldest and youngest run.

    The age of a waiting unit is 0.
    """

    __slots__ = ("oldest_ms", "tasks", "youngest_ms")

    def __init__(self):
        self.tasks = 0
        self.oldest_ms = 0.0
        self.youngest_ms = float("inf")


def _step_states(job, now):
    """Returns the ``_StepState`` by step index, for the steps that have units."""
    states = {}
    for step_units in job.step_units:
        state = states.get(step_units.step)
        if state is None:
            state = states[step_units.step] = _StepState()
        state.tasks += step_units.undone * step_units.unit_size
        if step_units.waiting:
            state.youngest_ms = 0.0
        for unit in step_units.active.values():
            age_ms = unit_age_seconds(unit, now) * 1000
            if age_ms > state.oldest_ms:
                state.oldest_ms = age_ms
            if age_ms < state.youngest_ms:
                state.youngest_ms = age_ms
    return states


def _extend_lengths(step_lengths_ms, step_states):
    """Returns the lengths of the steps in milliseconds, at least the time that a task has run."""
    lengths_ms = list(step_lengths_ms)
    for step_index, state in step_states.items():
        lengths_ms[step_index] = max(lengths_ms[step_index], state.oldest_ms)
    return lengths_ms


def _begin_ms(job, now_ms):
    """Returns the Unix time in milliseconds from which the objective of the job counts."""
    if not job.spec.scheduled:
        return job.accepted_ms
    due = [job.spec.due_ms(units.occurrence) for units in job.step_units if units.undone]
    return min(due, default=now_ms)


def _remaining_work(job, step_lengths_ms, step_states, pool_capacity):
    """Returns (remaining critical path in ms, remaining work in pool-share seconds)."""
    ends_ms = []
    share_seconds = 0.0
    for step_index, step in enumerate(job.spec.steps):
        state = step_states.get(step_index)
        length_ms = step_lengths_ms[step_index]
        tasks = step.tasks
        if state is not None:
            tasks = state.tasks
            length_ms = max(length_ms * MIN_REMAINING_SHARE, length_ms - state.youngest_ms)
        if not tasks:
            length_ms = 0
        begin_ms = max((ends_ms[dependency] for dependency in step.after), default=0)
        ends_ms.append(begin_ms + length_ms)
        share_seconds += tasks * share_of(step.demand, pool_capacity) * length_ms / 1000
    return max(ends_ms, default=0), share_seconds


def unit_age_seconds(unit, now):
    """Returns the seconds since the first task of the unit's run was confirmed, 0 before."""
    first_confirmed_at = now
    for allocation in unit.allocations.values():
        confirmed_at = allocation.confirmed_at
        if confirmed_at is not None and confirmed_at < first_confirmed_at:
            first_confirmed_at = confirmed_at
    return now - first_confirmed_at
