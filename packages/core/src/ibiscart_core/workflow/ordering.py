"""
ibiscart_core.workflow.ordering
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The order in which waiting jobs are offered workers.
"""

from ibiscart_core.workflow.job import UnitState

__all__ = ["Ordering", "Standing"]

# an accelerator weighs as much as eight cores in the users' accounting of work
CORES_PER_ACCELERATOR = 8
# value of work that ends late, and of work that ends too late to count, against work in time;
# late work earns a tenth to a half of the credit, depending on the kind of job
LATE_FACTOR = 0.3
# keeps expired work in order behind all other work
EXPIRED_FACTOR = 0.01
# a job earns late credit until this many times its objective
LATE_LIMIT = 3.0
# credit of a job without its part that grows with the amount of work
BASE_CREDIT = 0.3
# a job without an estimate counts with this run time
DEFAULT_ESTIMATE_MS = 1000
# credit of a job of priority 0 with the mean work of its queue; the users' figure
TOP_CREDIT = 4.0
# the mean follows some twenty jobs
MEAN_WEIGHT = 0.05
# avoids a division by zero for jobs that need next to nothing
SMALLEST_COST = 1e-6
# a run that has passed its estimate counts with this share of it
LEAST_REMAINING = 0.2


class Standing:
    """Where one job stands: larger ``value`` first.

    ``slack`` is in milliseconds: how much later it may go on and still end within the
    objective, by its estimates. ``at_stake`` is the credit that is lost when it ends late.
    """

    __slots__ = ("at_stake", "slack", "value")

    def __init__(self, value, slack, at_stake):
        self.value = value
        self.slack = slack
        self.at_stake = at_stake


class Ordering:
    """Ranks jobs by the credit they can still earn for the capacity that they need.

    Credit grows with the priority of the queue and with the work of the job against the mean
    of its queue, which is learned from accepted jobs.
    """

    def __init__(self):
        self._mean_work = {}

    def observe(self, job):
        """Takes an accepted job into the mean of its queue."""
        work = job_work(job)
        mean = self._mean_work.get(job.queue)
        self._mean_work[job.queue] = work if mean is None else mean + MEAN_WEIGHT * (work - mean)

    def standing(self, job, queue, capacity, now, now_ms):
        """Returns the ``Standing`` of a job; ``capacity`` is that of its whole pool."""
        objective = queue.stretch * job.spec.critical_path_ms() + queue.target_latency_ms
        begin = _begin_ms(job, now_ms)
        remaining, cost = _remaining(job, capacity, now)
        age = now_ms - begin
        finish = age + remaining
        slack = objective - finish
        credit = self._credit(job, queue)
        # estimates are rough: what is not late yet may still end in time
        at_stake = credit * (1.0 - LATE_FACTOR) if age < objective else 0.0
        if slack >= 0:
            factor = 1.0
        elif finish <= LATE_LIMIT * objective:
            factor = LATE_FACTOR
        else:
            factor = EXPIRED_FACTOR
        value = credit * factor / max(cost, SMALLEST_COST)
        return Standing(value, slack, at_stake)

    def _credit(self, job, queue):
        mean = self._mean_work.get(job.queue) or 1.0
        relative = min(4.0, BASE_CREDIT + (1 - BASE_CREDIT) * job_work(job) / mean)
        return relative * TOP_CREDIT / (1 + queue.priority)


def job_work(job):
    """Estimated work of a job in core-seconds, accelerators included."""
    return sum(step.tasks * _step_work(step) for step in job.spec.steps) * job.spec.runs


def step_estimate_ms(step):
    """Estimated run time of a task in milliseconds."""
    return step.estimate_ms or DEFAULT_ESTIMATE_MS


def share_of(resources, capacity):
    """Share of ``capacity`` that ``resources`` take, by the scarcest kind."""
    return max(
        resources.accelerators / max(1, capacity.accelerators),
        resources.cpu_millis / max(1, capacity.cpu_millis),
        resources.memory_mb / max(1, capacity.memory_mb),
    )


def cores_of(resources):
    """Resources in cores, as the users account for work."""
    return resources.cpu_millis / 1000 + resources.accelerators * CORES_PER_ACCELERATOR


def _step_work(step):
    return cores_of(step.resources) * step_estimate_ms(step) / 1000


def _begin_ms(job, now_ms):
    """Unix milliseconds from which the job's time counts."""
    if not job.spec.timed:
        return job.accepted_ms
    due = [
        job.spec.due_ms(unit.occurrence) for unit in job.units() if unit.state is not UnitState.DONE
    ]
    return min(due, default=now_ms)


def _remaining(job, capacity, now):
    """Returns (remaining chain in ms, remaining cost in share-seconds)."""
    left, longest = _open_work(job, now)
    ends = []
    cost = 0.0
    for number, step in enumerate(job.spec.steps):
        tasks = left.get(number, step.tasks)
        length = longest.get(number, step_estimate_ms(step)) if tasks else 0
        begin = max((ends[earlier] for earlier in step.after), default=0)
        ends.append(begin + length)
        cost += tasks * share_of(step.demand, capacity) * length / 1000
    return max(ends, default=0), cost


def _open_work(job, now):
    """Returns (unfinished tasks, longest remaining time in ms) of the steps that are open."""
    left, longest = {}, {}
    for unit in job.units():
        number = unit.step
        left.setdefault(number, 0)
        if unit.state is UnitState.DONE:
            continue
        left[number] += unit.size
        estimate = step_estimate_ms(unit.spec)
        remaining = max(estimate * LEAST_REMAINING, estimate - unit_age(unit, now) * 1000)
        longest[number] = max(longest.get(number, 0), remaining)
    return left, longest


def unit_age(unit, now):
    """Seconds for which the present run of a unit has been confirmed."""
    begun = [p.confirmed_at for p in unit.allocations.values() if p.confirmed_at is not None]
    return max(0.0, now - min(begun)) if begun else 0.0
