"""
ibiscart_core.workflow.report
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Status that a worker reports about its runs.
"""

from enum import Enum

__all__ = ["EndReport", "RunReport", "StartResult", "WorkerStatus"]


class RunReport:
    """A run on a worker; the worker reports its relative speed or progress as ``percent``."""

    __slots__ = ("checkpoint", "percent", "run", "task_key")

    def __init__(self, task_key, run, checkpoint="", percent=100):
        self.task_key = task_key
        self.run = run
        self.checkpoint = checkpoint
        self.percent = percent


class EndReport:
    """The end of a run; ``sequence`` numbers the ends of one incarnation from 1."""

    __slots__ = ("cause", "checkpoint", "run", "sequence", "task_key")

    def __init__(self, sequence, task_key, run, cause, checkpoint=""):
        self.sequence = sequence
        self.task_key = task_key
        self.run = run
        self.cause = cause
        self.checkpoint = checkpoint


class WorkerStatus:
    """The runs of a worker at one moment; ``clock_ms`` is the worker's clock in milliseconds.

    ``ended`` has the ends that the leader has not acknowledged; unless ``complete``, there may be
    further ones. ``incarnation`` is None if the worker did not report it.
    """

    __slots__ = ("clock_ms", "complete", "ended", "incarnation", "running")

    def __init__(self, clock_ms, running=(), ended=(), incarnation=None, complete=True):
        self.clock_ms = clock_ms
        self.running = tuple(running)
        self.ended = tuple(ended)
        self.incarnation = incarnation
        self.complete = complete

    def has_run(self, task_key, run):
        """Returns True if the run is on the worker, or has ended there."""
        reports = (*self.running, *self.ended)
        return any(report.task_key == task_key and report.run == run for report in reports)


class StartResult(Enum):
    """Result of a start order.

    ``NOT_SENT`` and ``UNKNOWN`` stand for an order that did not reach the worker and for one
    without an answer. ``EVACUATED`` and ``EVACUATIONS_UNCONFIRMED`` stand for an order that was not
    sent since the worker's data centre is, or may be, evacuated, ``DRAINING`` for one that was not
    sent since the worker is draining by now.
    """

    STARTED = "started"
    SUPERSEDED = "superseded"
    DEADLINE_PASSED = "deadline_passed"
    INSUFFICIENT_CAPACITY = "no_room"
    FENCED = "fenced"
    REFUSED = "refused"
    UNHEALTHY = "unhealthy"
    WRONG_INCARNATION = "wrong_incarnation"
    NOT_SENT = "not_sent"
    DRAINING = "draining"
    EVACUATED = "evacuated"
    EVACUATIONS_UNCONFIRMED = "evacuations_unconfirmed"
    UNKNOWN = "unknown"
