"""
ibiscart_core.demand
~~~~~~~~~~~~~~~~~~~~

The jobs of a recorded trace, and the times at which their demand exceeds the capacity.
"""

from ibiscart_core.job import JobKey

__all__ = ["TraceJob", "peak_times", "trace_capacity", "trace_jobs"]


class TraceJob:
    """A submitted job of a trace; times are in microseconds of the trace's clock.

    ``cancelled_us`` and ``fails`` come from the trace; ``released_us`` (the first release),
    ``ended_us`` and ``outcome`` are set from the records of a replay.
    """

    __slots__ = (
        "accelerators",
        "at_us",
        "cancelled_us",
        "ended_us",
        "fails",
        "key",
        "members",
        "outcome",
        "released_us",
        "run_seconds",
    )

    def __init__(self, at_us, spec, behaviour):
        self.key = JobKey.from_message(spec)
        self.at_us = at_us
        self.members = spec.shape.members
        self.accelerators = spec.shape.members * spec.shape.member.accelerators
        self.run_seconds = spec.declared_seconds if behaviour is None else behaviour.run_seconds
        self.fails = behaviour is not None and behaviour.failing_rank > 0
        self.cancelled_us = None
        self.released_us = None
        self.ended_us = None
        self.outcome = None

    @property
    def completes(self):
        """True if the job is neither cancelled nor made to fail by the trace."""
        return self.cancelled_us is None and not self.fails

    @property
    def wait_seconds(self):
        """Seconds from the submission by the caller to the first release."""
        return (self.released_us - self.at_us) / 1e6


def trace_jobs(events):
    """Returns the ``TraceJob``s of a trace in order of submission.

    Leaves out jobs that need more accelerators than one job of the account may use, or more per
    member than the largest worker has: they are refused at once.
    """
    behaviours = {}
    jobs = {}
    limits = {}
    max_accelerators = 0
    for event in events:
        kind = event.WhichOneof("kind")
        if kind == "behaviour":
            behaviours[JobKey.from_message(event.behaviour.job)] = event.behaviour
        elif kind == "input":
            command = event.input.command
            name = command.WhichOneof("kind")
            if name == "submit_job":
                job = _trace_job(event.time_us, command.submit_job.spec, behaviours)
                limit = limits.get(job.key.account, 0)
                if job.key not in jobs and job.accelerators <= limit:
                    if command.submit_job.spec.shape.member.accelerators <= max_accelerators:
                        jobs[job.key] = job
            elif name == "cancel_job":
                job = jobs.get(JobKey.from_message(command.cancel_job.job))
                if job is not None:
                    job.cancelled_us = event.time_us
            elif name == "put_contract":
                contract = command.put_contract.contract
                limits[contract.account] = _max_job_accelerators(contract)
            elif name == "register_workers":
                sizes = [w.capacity.accelerators for w in command.register_workers.workers]
                max_accelerators = max(sizes, default=max_accelerators)
    return list(jobs.values())


def trace_capacity(events):
    """Returns the accelerators of all workers that a trace registers."""
    workers = {}
    for event in events:
        command = event.input.command
        if event.WhichOneof("kind") == "input" and command.HasField("register_workers"):
            for worker in command.register_workers.workers:
                workers[worker.id] = worker.capacity.accelerators
    return sum(workers.values())


def peak_times(jobs, capacity):
    """Returns the intervals [start, end) in which demand exceeds ``capacity`` accelerators.

    Demand is the number of accelerators in use if every job started at its submission. It
    depends only on the trace, so that all policies are compared over the same intervals.
    """
    demand_changes = {}
    for job in jobs:
        end_us = job.at_us + int(job.run_seconds * 1e6)
        if job.cancelled_us is not None:
            end_us = min(end_us, job.cancelled_us)
        demand_changes[job.at_us] = demand_changes.get(job.at_us, 0) + job.accelerators
        demand_changes[end_us] = demand_changes.get(end_us, 0) - job.accelerators
    intervals = []
    demand = 0
    start = None
    for time_us in sorted(demand_changes):
        demand += demand_changes[time_us]
        if demand > capacity and start is None:
            start = time_us
        elif demand <= capacity and start is not None:
            intervals.append((start, time_us))
            start = None
    return intervals


def _trace_job(at_us, spec, behaviours):
    """Returns the job with its behaviour in the trace, if the trace states one."""
    return TraceJob(at_us, spec, behaviours.get(JobKey.from_message(spec)))


def _max_job_accelerators(contract):
    """Returns the most accelerators that one job under the contract may use."""
    shapes = [g.shape.members * g.shape.member.accelerators for g in contract.guarantees]
    return max([contract.burst_accelerators, *shapes])
