"""
ibiscart_core.workflow.fleet
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The workers as the scheduler knows them: capacity, allocations, state.
"""

from ibiscart_core.resource import Resources
from ibiscart_core.workflow.evacuation import Evacuations
from ibiscart_core.workflow.reliability import Reliability
from ibiscart_core.workflow.speed import SpeedClass, WorkerSpeed
from ibiscart_core.workflow.unit import AllocationState

__all__ = ["Fleet", "FleetWorker", "WorkerInfo"]

# time for which a worker that left the directory without notice is still asked whether it runs; a
# crashed worker, or a network partition, is usually back within some seconds
RETURN_SECONDS = 30.0
# speed of a cold worker beside its usual one; workers report how long they are cold, not how slow
COLD_SPEED = 0.5


class WorkerInfo:
    """Properties that a worker reports in its registration; they hold for one incarnation.

    ``incarnation`` changes when the worker restarts under the same id, maybe as another machine.
    ``pool`` is the name of its pool. ``remaining_ms`` is the time in milliseconds that a draining
    worker stays at least, None if the worker does not report it. ``cold_seconds`` is how much
    longer it is slow after its start.
    """

    __slots__ = (
        "address",
        "capacity",
        "cold_seconds",
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
        cold_seconds=0.0,
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
        self.cold_seconds = cold_seconds


class FleetWorker:
    """One worker with the resources allocated on it.

    ``registered`` is True while the directory has an entry of the worker. ``reachable`` is False
    until its list of runs has been read, and while it does not answer. ``incarnation`` is that of
    its last answer, None before. ``units_by_run`` maps
    (task key, run) to the unit of the run, ``tasks_by_step`` (job id, occurrence, step) to the
    number of these runs. ``vanished_runs`` has (unit, index of the task) of the runs that were lost
    while it did not answer, until it is known whether it crashed.
    ``answered`` is True once the worker has answered. ``speed`` is its ``WorkerSpeed``.
    ``cold_until``, ``leaves_at``, ``reported_after``, ``suspended_until``, ``unreachable_at`` (when
    it stopped answering) and ``vanished_at`` are in seconds of the monotonic clock. The worker
    wrote its last report after ``reported_after``, which is None if that time is unknown.
    """

    __slots__ = (
        "answered",
        "cold_until",
        "incarnation",
        "info",
        "leaves_at",
        "reachable",
        "registered",
        "reliability",
        "reported_after",
        "speed",
        "suspended_until",
        "tasks_by_step",
        "units_by_run",
        "unreachable_at",
        "used",
        "vanished_at",
        "vanished_runs",
    )

    def __init__(self, info):
        self.info = info
        self.incarnation = None
        self.units_by_run = {}
        self.tasks_by_step = {}
        self.used = Resources()
        self.reachable = False
        self.answered = False
        self.registered = True
        self.suspended_until = 0.0
        self.reliability = Reliability()
        self.speed = WorkerSpeed()
        self.cold_until = 0.0
        self.leaves_at = None
        self.reported_after = None
        self.unreachable_at = 0.0
        self.vanished_at = 0.0
        self.vanished_runs = []

    @property
    def id(self):
        """Id of the worker, unique in the fleet."""
        return self.info.id

    @property
    def described(self):
        """True if the registration is that of the incarnation that answers.

        One of the two is read first after a restart, and what an earlier incarnation registered
        says nothing about the present one.
        """
        return self.incarnation in (None, self.info.incarnation)

    @property
    def free(self):
        """Resources that are not allocated."""
        return self.info.capacity - self.used

    @property
    def stopping(self):
        """True if one of the worker's runs is being stopped."""
        return any(
            unit.allocations[task_key[3]].state is AllocationState.STOPPING
            for (task_key, _), unit in self.units_by_run.items()
            if task_key[3] in unit.allocations
        )

    def expected(self, now):
        """Returns True if the worker answers, or has stopped answering a short time ago."""
        if not self.registered:
            return False
        return self.reachable or (self.answered and now - self.unreachable_at < RETURN_SECONDS)

    def usable(self, now):
        """Returns True if new work may be placed on the worker at ``now``."""
        return (
            self.registered
            and self.reachable
            and self.described
            and not self.info.draining
            and self.suspended_until <= now
            and not self.reliability.is_ejected(now)
        )

    def accepts_orders_of(self, incarnation):
        """Returns True if an order that was planned for ``incarnation`` may still be sent."""
        return self.described and self.info.incarnation == incarnation

    def is_cold(self, now):
        """Returns True if the worker is still slow after its start."""
        return now < self.cold_until

    def relative_speed(self, now):
        """Returns the expected speed, 1.0 for an average worker of the pool."""
        relative = self.speed.relative
        return relative * COLD_SPEED if self.is_cold(now) else relative

    def record_coldness(self, now):
        """Records until when the worker is cold, by its report that was just read."""
        self.cold_until = now + self.info.cold_seconds

    def record_report(self, now, written_after):
        """Records that a report was read, and when a draining worker may leave if known.

        ``written_after`` is a time before the worker wrote the report, None if none is known.
        """
        self.reported_after = written_after
        self.record_coldness(now)
        if self.info.draining and self.info.remaining_ms is not None:
            self.leaves_at = now + self.info.remaining_ms / 1000

    def left_after_drain(self, now, silence_seconds):
        """Returns True if a worker without a directory entry has left after draining.

        The directory drops the entry of a silent worker after ``silence_seconds``. A draining
        worker whose entry is dropped sooner has ended, together with all its runs.
        """
        if not self.info.draining or self.reported_after is None:
            return False
        return now - self.reported_after < silence_seconds

    def record_vanished_run(self, unit, index, now):
        """Records that a task's run was lost while the worker did not answer."""
        self.vanished_runs.append((unit, index))
        self.vanished_at = now

    def may_return(self, now):
        """Returns True if the worker may still answer and tell whether it crashed."""
        return bool(self.vanished_runs) and now - self.vanished_at < RETURN_SECONDS

    def allocate(self, task_key, run, unit):
        """Allocates the resources of one task's run; does nothing if they are allocated."""
        if (task_key, run) not in self.units_by_run:
            self.units_by_run[(task_key, run)] = unit
            step_key = task_key[:3]
            self.tasks_by_step[step_key] = self.tasks_by_step.get(step_key, 0) + 1
            self.used = self.used + unit.spec.demand

    def release(self, task_key, run):
        """Frees the resources of one task's run; does nothing if none are allocated."""
        unit = self.units_by_run.pop((task_key, run), None)
        if unit is not None:
            step_key = task_key[:3]
            self.tasks_by_step[step_key] -= 1
            if not self.tasks_by_step[step_key]:
                del self.tasks_by_step[step_key]
            self.used = self.used - unit.spec.demand

    def suspend(self, now, seconds):
        """Excludes the worker from new work for at least ``seconds``."""
        self.suspended_until = max(self.suspended_until, now + seconds)


class Fleet:
    """All workers by id.

    ``evacuations`` are the ``Evacuations`` in force; workers in these data centres get no new work.
    """

    def __init__(self):
        self.workers = {}
        self.evacuations = Evacuations()

    def get(self, worker_id):
        """Returns the ``FleetWorker``, or None."""
        return self.workers.get(worker_id)

    def add(self, info):
        """Adds a worker or applies its new report; returns the ``FleetWorker``."""
        worker = self.workers.get(info.id)
        if worker is None:
            worker = self.workers[info.id] = FleetWorker(info)
            return worker
        if info.incarnation != worker.info.incarnation:
            # a restarted worker gets no new work until its clock and its list of runs are read
            worker.reachable = worker.reachable and worker.incarnation == info.incarnation
            # it may be another machine
            worker.speed = WorkerSpeed()
            worker.leaves_at = None
        worker.info = info
        worker.registered = True
        return worker

    def remove(self, worker_id):
        """Removes a worker without allocations."""
        self.workers.pop(worker_id, None)

    def evacuated(self, worker):
        """Returns True if the worker is in a data centre that is being emptied."""
        return self.evacuations.includes(worker.info)

    def evacuated_workers(self):
        """Returns the workers in data centres that are being emptied."""
        if not self.evacuations.data_centres:
            return []
        return [worker for worker in self.workers.values() if self.evacuated(worker)]

    def usable(self, pool, now):
        """Returns the workers of a pool on which new work may be placed at ``now``."""
        return [
            worker
            for worker in self.workers.values()
            if worker.info.pool == pool and worker.usable(now) and not self.evacuated(worker)
        ]

    def count_slow(self, now):
        """Returns the number of registered workers that are slow or cold."""
        return sum(w.registered and w.relative_speed(now) < 1.0 for w in self.workers.values())

    def known_speeds(self):
        """Returns (incarnation, logarithm of the speed) by the ids of the slow and fast workers."""
        return {
            worker.id: (worker.info.incarnation, worker.speed.log_speed)
            for worker in self.workers.values()
            if worker.registered and worker.speed.speed_class is not SpeedClass.AVERAGE
        }

    def restore_speeds(self, speeds, now):
        """Applies what ``known_speeds`` returned to an earlier leader.

        Leaves out the workers that have restarted, and those with runs that tell their speed.
        """
        for worker_id, (incarnation, log_speed) in speeds.items():
            worker = self.workers.get(worker_id)
            if worker is None or worker.info.incarnation != incarnation:
                continue
            if not worker.speed.known:
                worker.speed.restore(log_speed, now)

    def capacity(self, pool):
        """Returns the total capacity of the registered workers of a pool that may get new work."""
        total = Resources()
        for worker in self.workers.values():
            if worker.registered and worker.info.pool == pool and not self.evacuated(worker):
                total = total + worker.info.capacity
        return total
