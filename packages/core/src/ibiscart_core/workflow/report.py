"""
ibiscart_core.workflow.report
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

What a worker says about the runs on it.
"""

from enum import Enum

__all__ = ["EndReport", "RunReport", "StartResult", "WorkerStatus"]


class RunReport:
    """A run that is present; ``percent`` is the share of its pace, or its progress."""

    __slots__ = ("checkpoint", "percent", "run", "task_key")

    def __init__(self, task_key, run, checkpoint="", percent=100):
        self.task_key = task_key
        self.run = run
        self.checkpoint = checkpoint
        self.percent = percent


class EndReport:
    """A run that has ended; ``sequence`` counts the ends of one incarnation from 1."""

    __slots__ = ("cause", "checkpoint", "run", "sequence", "task_key")

    def __init__(self, sequence, task_key, run, cause, checkpoint=""):
        self.sequence = sequence
        self.task_key = task_key
        self.run = run
        self.cause = cause
        self.checkpoint = checkpoint


class WorkerStatus:
    """The runs of a worker at one moment; ``clock_ms`` is the worker's own clock.

    ``incarnation`` is None when the answer does not say it.
    """

    __slots__ = ("clock_ms", "ended", "incarnation", "running")

    def __init__(self, clock_ms, running=(), ended=(), incarnation=None):
        self.clock_ms = clock_ms
        self.running = tuple(running)
        self.ended = tuple(ended)
        self.incarnation = incarnation


class StartResult(Enum):
    """How a worker answered the order to start a run."""

    STARTED = "started"
    SUPERSEDED = "superseded"
    DEADLINE_PASSED = "deadline_passed"
    INSUFFICIENT_CAPACITY = "no_room"
    FENCED = "fenced"
    REFUSED = "refused"
    UNHEALTHY = "unhealthy"
    WRONG_INCARNATION = "wrong_incarnation"
    NOT_SENT = "not_sent"
    UNKNOWN = "unknown"
