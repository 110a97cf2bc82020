"""
ibiscart_core.workflow.crash
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Evidence that a task crashes the workers that run it.

A worker that crashes reports no ends, so the cause follows only from its tasks' histories: other
tasks on the same worker are lost too, and a worker that is only cut off looks like one that has
crashed until it answers again.
"""

from ibiscart_core.value import (
    MAX_INT,
    MAX_NAME_BYTES,
    require_bool,
    require_int,
    require_list,
    require_text,
)

__all__ = ["CrashEvidence", "WorkerLosses"]

# most lost workers in a record, as protection against a malformed one
MAX_LOSSES = 1000

# a task is given up when this number of workers was lost while it ran; the platform allows two more
# starts after three crashes
MAX_LOST_WORKERS = 5
# or when this number was lost soon after its start, and a part of them crashed for certain; crashes
# of other causes rarely meet a task at its start again and again
MAX_PROMPT_LOSSES = 3
MIN_CRASHED_WORKERS = 2
# time from the start of a task to the loss of its worker that counts as soon
PROMPT_SECONDS = 2.0
# number of lost workers from which a task shares no worker with any other suspect task, soon after
# the start of either, so that a crash tells which of them is the cause
ISOLATION_LOST_WORKERS = 2
# longest time for which isolation delays a task that lost a worker; the platform asks for a task
# that lasts to be at work 6 s after its last run
ISOLATION_SECONDS = 4.0
# delay of the next run of a task with UNCERTAIN_LOST_WORKERS lost workers, few of which crashed for
# certain; most of them answer again or are replaced meanwhile. It doubles with each further one
HOLD_SECONDS = 15.0
UNCERTAIN_LOST_WORKERS = 3
# workers that stop answering within this time of each other are taken to share a cause
CORRELATED_SECONDS = 2.0
# most losses of workers that are remembered, to find those that share a cause
MAX_REMEMBERED_LOSSES = 1000
# most correlated losses that are kept per task until it is known whether the workers crashed
MAX_CORRELATED_LOSSES = 20
# a task that ran for this time before its worker was lost is not the cause
STABLE_RUN_SECONDS = 60.0


class CrashEvidence:
    """Workers that were lost while one task ran on them, or was to start on them.

    ``crashed`` is the number of those that have crashed for certain while the task ran. The others
    may only have been cut off, or may never have started the task. Of these, a worker that was lost
    together with others that did not run the task counts only once it has crashed for certain.
    """

    __slots__ = ("_correlated", "_prompt_crashes", "_uncertain", "crashed")

    def __init__(self, crashed=0, prompt_crashes=0, uncertain=()):
        self.crashed = crashed
        # number of those that crashed soon after the task's start
        self._prompt_crashes = prompt_crashes
        # (worker id, incarnation, whether the worker had confirmed the start, whether it was lost
        # soon after the start)
        self._uncertain = [tuple(loss) for loss in uncertain]
        # the same for workers that were lost together with others; not stored
        self._correlated = []

    @property
    def lost_workers(self):
        """Number of lost workers that count against the task."""
        return self.crashed + len(self._uncertain)

    @property
    def conclusive(self):
        """True if the task is to be given up."""
        if self.lost_workers >= MAX_LOST_WORKERS:
            return True
        prompt_losses = self._prompt_crashes + sum(prompt for _, _, _, prompt in self._uncertain)
        return prompt_losses >= MAX_PROMPT_LOSSES and self.crashed >= MIN_CRASHED_WORKERS

    @property
    def isolated(self):
        """True if the task is to share no worker with another suspect task at its start."""
        return self.lost_workers >= ISOLATION_LOST_WORKERS

    @property
    def hold_seconds(self):
        """Delay of the next run in seconds, 0 if it may start at once."""
        excess = self.lost_workers - UNCERTAIN_LOST_WORKERS
        if excess < 0 or self.crashed >= MIN_CRASHED_WORKERS:
            return 0.0
        return HOLD_SECONDS * 2**excess

    @property
    def uncertain_workers(self):
        """Ids of the lost workers that may only have been cut off, or never started the task."""
        return {worker_id for worker_id, _, _, _ in self._uncertain}

    def record_loss(self, worker_id, incarnation, *, crashed, started, prompt, correlated=False):
        """Records that a worker was lost in an incarnation.

        ``crashed`` is True if it has crashed for certain, ``started`` if it had confirmed the start
        of the task's run, ``prompt`` if it was lost soon after the start, ``correlated`` if it was
        lost together with workers that did not run the task.
        """
        if crashed and started:
            self._record_crash(prompt)
        elif correlated:
            self._correlated.append((worker_id, incarnation, started, prompt))
            del self._correlated[:-MAX_CORRELATED_LOSSES]
        else:
            self._uncertain.append((worker_id, incarnation, started, prompt))

    def resolve(self, worker_id, incarnation):
        """Decides on a worker that was lost; returns True if the evidence changes.

        ``incarnation`` is that in which it answers again, None if it has crashed.
        """
        open_losses = len(self._uncertain) + len(self._correlated)
        self._uncertain = self._resolve_losses(self._uncertain, worker_id, incarnation)
        self._correlated = self._resolve_losses(self._correlated, worker_id, incarnation)
        return len(self._uncertain) + len(self._correlated) < open_losses

    def _resolve_losses(self, losses, worker_id, incarnation):
        """Returns the losses on which an answer of a worker does not decide; counts its crashes."""
        remaining = []
        for loss in losses:
            lost_id, lost_incarnation, started, prompt = loss
            cut_off = incarnation == lost_incarnation
            if lost_id != worker_id or not (cut_off or started):
                remaining.append(loss)
            elif not cut_off:
                self._record_crash(prompt)
        return remaining

    def to_record(self):
        """Returns the evidence as a JSON-serializable list."""
        return [self.crashed, self._prompt_crashes, [list(loss) for loss in self._uncertain]]

    @classmethod
    def from_record(cls, record):
        """Returns the evidence of the list that ``to_record`` returned.

        Raises ``InvalidValueError`` if the list has another form.
        """
        crashed, prompt_crashes, uncertain, *_ = (*require_list(record, 3, "evidence"), *[None] * 3)
        losses = []
        for loss in require_list(uncertain, MAX_LOSSES, "losses"):
            worker_id, incarnation, started, prompt, *_ = (
                *require_list(loss, 4, "loss"),
                *[None] * 4,
            )
            losses.append(
                (
                    require_text(worker_id, MAX_NAME_BYTES, "worker"),
                    require_int(incarnation, 0, MAX_INT, "incarnation"),
                    require_bool(started, "started"),
                    require_bool(prompt, "prompt"),
                )
            )
        return cls(
            require_int(crashed, 0, MAX_INT, "crashed"),
            require_int(prompt_crashes, 0, MAX_INT, "prompt_crashes"),
            losses,
        )

    def _record_crash(self, prompt):
        """Counts a worker that has crashed for certain while the task ran."""
        self.crashed += 1
        self._prompt_crashes += prompt


class WorkerLosses:
    """The workers that were lost lately, to tell which of them share a cause."""

    def __init__(self):
        # (when it stopped answering, ids of the jobs with runs on it, whether none of these may
        # have crashed it) by worker id, in order of their last record
        self._losses = {}

    def record(self, worker_id, lost_at, job_ids, *, blameless):
        """Records a loss, in place of an earlier one of the same worker.

        ``lost_at`` is when the worker stopped answering, in seconds of the monotonic clock,
        ``job_ids`` are the ids of the jobs with runs on it, and ``blameless`` is True if none of
        these may have crashed it: none is a suspect or had just started.
        """
        self._losses.pop(worker_id, None)
        self._losses[worker_id] = (lost_at, frozenset(job_ids), blameless)
        if len(self._losses) > MAX_REMEMBERED_LOSSES:
            del self._losses[next(iter(self._losses))]

    def is_correlated(self, worker_id, lost_at, job_id):
        """Returns True if another worker was lost at about the same time for another cause.

        Such a worker had no run of the job ``job_id`` and no run that may have crashed it.
        """
        return any(
            blameless
            and other_id != worker_id
            and job_id not in job_ids
            and abs(other_lost_at - lost_at) <= CORRELATED_SECONDS
            for other_id, (other_lost_at, job_ids, blameless) in self._losses.items()
        )
