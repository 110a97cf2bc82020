"""
ibiscart_core.workflow.crash
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Evidence that a task crashes the workers that run it.

A worker that crashes reports no ends, so the cause has to be told from its tasks' histories: other
tasks on the same worker are lost too, and a worker that is only cut off looks like one that has
crashed until it answers again.
"""

__all__ = ["CrashEvidence"]

# a task is given up when this number of workers was lost while it ran. One crash hits all tasks on
# the worker; the third can hardly be a coincidence, as a suspect task is kept apart from others
MAX_LOST_WORKERS = 3
# part of these that must have crashed for certain while the task ran on them
MIN_CRASHED_WORKERS = 2
# number of lost workers with which a task is given up without such certainty, as when it crashes
# each worker before that can confirm the start
MAX_LOST_WORKERS_UNCERTAIN = 5
# number of lost workers from which a task shares no worker with any other suspect task, so that a
# crash tells which of them is the cause
ISOLATION_LOST_WORKERS = 2
# delay of the next run of a task with MAX_LOST_WORKERS lost workers without certainty, in which
# most of them answer again or are replaced; it doubles with each further one
HOLD_SECONDS = 15.0
# a task that ran for this time before its worker was lost is not the cause
STABLE_RUN_SECONDS = 60.0


class CrashEvidence:
    """Workers that were lost while one task ran on them, or was to start on them.

    ``crashed`` is the number of those that have crashed for certain while the task ran. The others
    may only have been cut off, or may never have started the task.
    """

    __slots__ = ("_uncertain", "crashed")

    def __init__(self, crashed=0, uncertain=()):
        self.crashed = crashed
        # maps worker ids to (incarnation, whether the worker had confirmed the start)
        self._uncertain = {worker_id: tuple(state) for worker_id, state in uncertain}

    @property
    def lost_workers(self):
        """Number of workers that were lost."""
        return self.crashed + len(self._uncertain)

    @property
    def conclusive(self):
        """True if the task is to be given up."""
        certain = self.crashed >= MIN_CRASHED_WORKERS
        return self.lost_workers >= (MAX_LOST_WORKERS if certain else MAX_LOST_WORKERS_UNCERTAIN)

    @property
    def isolated(self):
        """True if the task is to share no worker with another suspect task."""
        return self.lost_workers >= ISOLATION_LOST_WORKERS

    @property
    def hold_seconds(self):
        """Delay of the next run in seconds, 0 if it may start at once."""
        excess = self.lost_workers - MAX_LOST_WORKERS
        return HOLD_SECONDS * 2**excess if excess >= 0 else 0.0

    @property
    def uncertain_workers(self):
        """Ids of the lost workers that may only have been cut off, or never started the task."""
        return list(self._uncertain)

    def record_loss(self, worker_id, incarnation, *, crashed, started):
        """Records that a worker was lost in an incarnation.

        ``crashed`` is True if it has crashed for certain, ``started`` if it had confirmed the start
        of the task's run.
        """
        self._uncertain[worker_id] = (incarnation, started)
        if crashed:
            self.resolve(worker_id, None)

    def resolve(self, worker_id, incarnation):
        """Decides on a worker that was lost; returns True if the evidence changes.

        ``incarnation`` is that in which it answers again, None if it has crashed.
        """
        if worker_id not in self._uncertain:
            return False
        lost_incarnation, started = self._uncertain[worker_id]
        if incarnation == lost_incarnation:
            del self._uncertain[worker_id]
            return True
        if not started:
            return False
        del self._uncertain[worker_id]
        self.crashed += 1
        return True

    def to_record(self):
        """Returns the evidence as a JSON-serializable list."""
        return [self.crashed, sorted(self._uncertain.items())]

    @classmethod
    def from_record(cls, record):
        """Returns the evidence of the list that ``to_record`` returned."""
        crashed, uncertain = record
        return cls(crashed, uncertain)
