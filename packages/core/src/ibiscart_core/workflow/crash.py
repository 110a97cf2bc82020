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

__all__ = ["CrashEvidence"]

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
# number of lost workers from which a task shares no worker with any other suspect task, so that a
# crash tells which of them is the cause
ISOLATION_LOST_WORKERS = 2
# delay of the next run of a task with UNCERTAIN_LOST_WORKERS lost workers, few of which crashed for
# certain; most of them answer again or are replaced meanwhile. It doubles with each further one
HOLD_SECONDS = 15.0
UNCERTAIN_LOST_WORKERS = 3
# a task that ran for this time before its worker was lost is not the cause
STABLE_RUN_SECONDS = 60.0


class CrashEvidence:
    """Workers that were lost while one task ran on them, or was to start on them.

    ``crashed`` is the number of those that have crashed for certain while the task ran. The others
    may only have been cut off, or may never have started the task.
    """

    __slots__ = ("_prompt_crashes", "_uncertain", "crashed")

    def __init__(self, crashed=0, prompt_crashes=0, uncertain=()):
        self.crashed = crashed
        # number of those that crashed soon after the task's start
        self._prompt_crashes = prompt_crashes
        # (worker id, incarnation, whether the worker had confirmed the start, whether it was lost
        # soon after the start)
        self._uncertain = [tuple(loss) for loss in uncertain]

    @property
    def lost_workers(self):
        """Number of workers that were lost."""
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
        """True if the task is to share no worker with another suspect task."""
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

    def record_loss(self, worker_id, incarnation, *, crashed, started, prompt):
        """Records that a worker was lost in an incarnation.

        ``crashed`` is True if it has crashed for certain, ``started`` if it had confirmed the start
        of the task's run, ``prompt`` if it was lost soon after the start.
        """
        if crashed and started:
            self._record_crash(prompt)
        else:
            self._uncertain.append((worker_id, incarnation, started, prompt))

    def resolve(self, worker_id, incarnation):
        """Decides on a worker that was lost; returns True if the evidence changes.

        ``incarnation`` is that in which it answers again, None if it has crashed.
        """
        losses, self._uncertain = self._uncertain, []
        for loss in losses:
            lost_id, lost_incarnation, started, prompt = loss
            cut_off = incarnation == lost_incarnation
            if lost_id != worker_id or not (cut_off or started):
                self._uncertain.append(loss)
            elif not cut_off:
                self._record_crash(prompt)
        return len(self._uncertain) < len(losses)

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
