"""
ibiscart_core.demand
~~~~~~~~~~~~~~~~~~~~

The jobs of a recorded trace, and when they ask for more than the region has.
"""

from ibiscart_core.job import JobKey

__all__ = ["TraceJob", "peak_times", "trace_capacity", "trace_jobs"]


class TraceJob:
    """A submitted job of a trace; times in microseconds of the trace.

    ``cancelled_us`` and ``fails`` come from the trace; ``released_us`` (first release),
    ``ended_us`` and ``outcome`` are filled from the records of a replay.
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
        """Whether the trace lets the job run to its end."""
        return self.cancelled_us is None and not self.fails

    @property
    def wait_seconds(self):
        """Time from submission by the caller to the first release."""
        return (self.released_us - self.at_us) / 1e6


def trace_jobs(events):
    """Returns the ``TraceJob``s of a trace in order of submission.

    Shapes that no domain or no contract can hold are left out: they are refused at once.
    """
    behaviours = {}
    jobs = {}
    limits = {}
    largest = 0
    for event in events:
        kind = event.WhichOneof("kind")
        if kind == "behaviour":
            behaviours[JobKey.from_message(event.behaviour.job)] = event.behaviour
        elif kind == "input":
            command = event.input.command
            name = command.WhichOneof("kind")
            if name == "submit_job":
                job = _job(event.time_us, command.submit_job.spec, behaviours)
                limit = limits.get(job.key.account, 0)
                if job.key not in jobs and job.accelerators <= limit:
                    if command.submit_job.spec.shape.member.accelerators <= largest:
                        jobs[job.key] = job
            elif name == "cancel_job":
                job = jobs.get(JobKey.from_message(command.cancel_job.job))
                if job is not None:
                    job.cancelled_us = event.time_us
            elif name == "put_contract":
                contract = command.put_contract.contract
                limits[contract.account] = _most_accelerators(contract)
            elif name == "register_workers":
                sizes = [w.capacity.accelerators for w in command.register_workers.workers]
                largest = max(sizes, default=largest)
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

    Demand is what would be in use if every job started at its submission; it depends on the
    trace alone, so that all policies are judged over the same intervals.
    """
    changes = {}
    for job in jobs:
        end_us = job.at_us + int(job.run_seconds * 1e6)
        if job.cancelled_us is not None:
            end_us = min(end_us, job.cancelled_us)
        changes[job.at_us] = changes.get(job.at_us, 0) + job.accelerators
        changes[end_us] = changes.get(end_us, 0) - job.accelerators
    peaks = []
    used = 0
    start = None
    for time_us in sorted(changes):
        used += changes[time_us]
        if used > capacity and start is None:
            start = time_us
        elif used <= capacity and start is not None:
            peaks.append((start, time_us))
            start = None
    return peaks


def _job(at_us, spec, behaviours):
    return TraceJob(at_us, spec, behaviours.get(JobKey.from_message(spec)))


def _most_accelerators(contract):
    shapes = [g.shape.members * g.shape.member.accelerators for g in contract.guarantees]
    return max([contract.burst_accelerators, *shapes])
