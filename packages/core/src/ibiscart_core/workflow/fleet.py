"""
ibiscart_core.workflow.fleet
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The workers as the scheduler sees them: capacity, places in use, state.
"""

from ibiscart_core.resource import Resources
from ibiscart_core.workflow.reliability import Reliability

__all__ = ["Fleet", "FleetWorker", "WorkerInfo"]


class WorkerInfo:
    """What a worker reports of itself.

    ``incarnation`` changes when it starts again, also under the same id. ``pool`` names the
    group of workers that queues are sent to.
    """

    __slots__ = (
        "address",
        "capacity",
        "data_centre",
        "draining",
        "id",
        "incarnation",
        "labels",
        "pool",
        "rack",
        "remaining_ms",
    )

    def __init__(
        self,
        worker_id,
        address,
        incarnation,
        capacity,
        *,
        pool="",
        data_centre="",
        labels=(),
        rack="",
        draining=False,
        remaining_ms=None,
    ):
        self.id = worker_id
        self.address = address
        self.incarnation = incarnation
        self.capacity = capacity
        self.pool = pool
        self.data_centre = data_centre
        self.labels = tuple(labels)
        self.rack = rack
        self.draining = draining
        self.remaining_ms = remaining_ms


class FleetWorker:
    """One worker with the places that are in use on it.

    ``reachable`` is False until its list of runs was read and while it does not answer.
    ``units_by_run`` maps (task key, run) to the unit that holds the place.
    """

    __slots__ = (
        "info",
        "last_seen_at",
        "leaves_at",
        "reachable",
        "registered",
        "reliability",
        "suspended_until",
        "units_by_run",
        "used",
    )

    def __init__(self, info):
        self.info = info
        self.units_by_run = {}
        self.used = Resources()
        self.reachable = False
        self.registered = True
        self.suspended_until = 0.0
        self.reliability = Reliability()
        self.leaves_at = None
        self.last_seen_at = None

    @property
    def id(self):
        """Id of the worker."""
        return self.info.id

    @property
    def free(self):
        """Resources that no place holds."""
        return self.info.capacity - self.used

    def usable(self, now):
        """Whether new work may be placed here at ``now``, in monotonic seconds."""
        return (
            self.registered
            and self.reachable
            and not self.info.draining
            and self.suspended_until <= now
            and not self.reliability.unusable(now)
        )

    def record_report(self, now):
        """Notes a report of the worker, and until when it stays at least, if it says so."""
        self.last_seen_at = now
        if self.info.draining and self.info.remaining_ms is not None:
            self.leaves_at = now + self.info.remaining_ms / 1000

    def left_after_drain(self, now, silence_seconds):
        """Whether a worker without an entry has left, rather than fallen silent.

        The entry of a worker that says nothing is dropped after ``silence_seconds``; one that
        was leaving and is dropped sooner has ended, and all its runs with it.
        """
        if not self.info.draining or self.last_seen_at is None:
            return False
        return now - self.last_seen_at < silence_seconds

    def allocate(self, task_key, run, unit):
        """Takes the resources of one task's run."""
        if (task_key, run) not in self.units_by_run:
            self.units_by_run[(task_key, run)] = unit
            self.used = self.used + unit.spec.demand

    def release(self, task_key, run):
        """Frees the resources of one task's run; does nothing when it holds none."""
        unit = self.units_by_run.pop((task_key, run), None)
        if unit is not None:
            self.used = self.used - unit.spec.demand

    def suspend(self, now, seconds):
        """Keeps new work away for ``seconds``."""
        self.suspended_until = max(self.suspended_until, now + seconds)


class Fleet:
    """All workers by id."""

    def __init__(self):
        self.workers = {}

    def get(self, worker_id):
        """Returns the ``FleetWorker``, or None."""
        return self.workers.get(worker_id)

    def add(self, info):
        """Adds a worker or takes over what it reports now; returns the ``FleetWorker``."""
        worker = self.workers.get(info.id)
        if worker is None:
            worker = self.workers[info.id] = FleetWorker(info)
            return worker
        if info.incarnation > worker.info.incarnation:
            # its clock and its list of runs have to be read first
            worker.reachable = False
        info.incarnation = max(info.incarnation, worker.info.incarnation)
        worker.info = info
        worker.registered = True
        return worker

    def remove(self, worker_id):
        """Forgets a worker that holds no place."""
        self.workers.pop(worker_id, None)

    def usable(self, pool, now):
        """Returns the workers of a pool on which new work may be placed."""
        return [w for w in self.workers.values() if w.info.pool == pool and w.usable(now)]

    def capacity(self, pool):
        """Returns the capacity of all present workers of a pool."""
        total = Resources()
        for worker in self.workers.values():
            if worker.registered and worker.info.pool == pool:
                total = total + worker.info.capacity
        return total
