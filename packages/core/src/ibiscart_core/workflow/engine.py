"""
ibiscart_core.workflow.engine
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

All jobs and workers of one deployment, and how reports and answers change them.
"""

from ibiscart_core.workflow.fleet import Fleet
from ibiscart_core.workflow.job import AllocationState, EndCause, Outcome, UnitState
from ibiscart_core.workflow.report import StartResult
from ibiscart_core.workflow.scheduler import Scheduler

__all__ = ["Engine", "StartOrder", "StopOrder"]

# a task whose start was refused is offered again after this time
RETRY_SECONDS = 0.25
# a worker that refused a start as unhealthy or could not be reached gets no work so long
UNHEALTHY_SECONDS = 2.0
# what holds the room ends or is listed by then
INSUFFICIENT_CAPACITY_SECONDS = 0.5
# a stop takes up to 0.9 s, and its end has to be read before the worker is gone
LEAVE_SECONDS = 1.2


class StartOrder:
    """A recorded run to be started on a worker."""

    __slots__ = ("allocation", "index", "run", "unit")

    def __init__(self, unit, index, allocation):
        self.unit = unit
        self.index = index
        self.allocation = allocation
        self.run = unit.run

    @property
    def task_key(self):
        """Names the task: (job id, occurrence, step, index)."""
        return self.unit.task_key(self.index)

    @property
    def awaits_answer(self):
        """Whether the run still waits for the answer to this order."""
        return (
            self.unit.run == self.run
            and self.unit.allocations.get(self.index) is self.allocation
            and self.allocation.state is AllocationState.ORDERED
        )


class StopOrder:
    """A run to be stopped on a worker, whether it is known to be there or not.

    ``allocation`` is None for a run that no record names.
    """

    __slots__ = ("allocation", "reason", "run", "task_key", "worker_id")

    def __init__(self, worker_id, task_key, run, reason, allocation=None):
        self.worker_id = worker_id
        self.task_key = task_key
        self.run = run
        self.reason = reason
        self.allocation = allocation


class Engine:
    """Applies reports of jobs and workers, and plans starts and stops; does no input or output.

    ``unsaved_job_ids`` has the ids of jobs whose record is to be written, in order. ``note`` is
    called with (event, fields) for each change that an operator may ask about.
    """

    def __init__(self, catalog=None, note=lambda event, **fields: None):
        self.fleet = Fleet()
        self.jobs = {}
        self.catalog = catalog
        self.unsaved_job_ids = {}
        self._scheduler = Scheduler(self.fleet)
        self._stops = []
        self._note = note

    # jobs

    def add_job(self, job, now=0.0):
        """Takes an accepted job; its runs, if it has any, hold their places.

        ``now`` is the time from which the units that were loaded with it count as waiting.
        """
        self.jobs[job.id] = job
        self._scheduler.ordering.observe(job)
        for unit in job.units():
            unit.ready_at = now
            for index, allocation in unit.allocations.items():
                worker = self.fleet.get(allocation.worker_id)
                if worker is not None:
                    worker.allocate(unit.task_key(index), unit.run, unit)
        if job.ended:
            self._stop_job(job, "job_ended")
        else:
            self._settle(job)

    def apply_catalog(self, catalog):
        """Takes a new configuration; jobs that it ends are ended now."""
        self.catalog = catalog
        for job in list(self.jobs.values()):
            self._settle(job)

    def cancel(self, job_id):
        """Cancels a job that has not ended; returns whether it was cancelled now."""
        job = self.jobs.get(job_id)
        if job is None or job.ended:
            return False
        job.outcome = Outcome.CANCELLED
        self._job_ended(job)
        return True

    def remove_job(self, job_id):
        """Drops an ended job that holds no place."""
        self.jobs.pop(job_id, None)

    def count_pending_jobs(self):
        """Number of jobs by queue that were accepted and of which no task has started."""
        counts = {}
        for job in self.jobs.values():
            if not job.started and not job.ended:
                counts[job.queue] = counts.get(job.queue, 0) + 1
        return counts

    # workers

    def end_lost_runs(self, worker_id, reason):
        """Ends all runs of a worker whose leases have expired."""
        worker = self.fleet.get(worker_id)
        if worker is None:
            return
        for (task_key, run), unit in list(worker.units_by_run.items()):
            self._end(worker, unit, task_key, run, EndCause.LOST, "", reason)

    def apply_worker_status(self, worker_id, answer, asked_at, now):
        """Applies a worker's list of runs; ``asked_at`` is when the question was sent."""
        worker = self.fleet.get(worker_id)
        if worker is None:
            return
        worker.reachable = True
        listed = {}
        for run in answer.running:
            listed[(run.task_key, run.run)] = run
            self._apply_running(worker, run, now)
        failed = set()
        for end in answer.ended:
            self._apply_end(worker, end, now, failed)
        for key, unit in list(worker.units_by_run.items()):
            if key not in listed:
                self._apply_absent(worker, key, unit, answer.incarnation, asked_at)

    def apply_start_result(self, order, result, now):
        """Applies the answer to an order."""
        if not order.awaits_answer:
            return
        allocation, unit = order.allocation, order.unit
        worker = self.fleet.get(allocation.worker_id)
        if result is StartResult.STARTED:
            self._confirm(unit, allocation, now)
            return
        if result in (StartResult.UNKNOWN, StartResult.FENCED):
            # the order may still be carried out; a stop bars it
            self._request_stop(unit, order.index, "start_unanswered")
            return
        if worker is not None:
            if result in (StartResult.UNHEALTHY, StartResult.NOT_SENT):
                worker.suspend(now, UNHEALTHY_SECONDS)
            elif result is StartResult.INSUFFICIENT_CAPACITY:
                worker.suspend(now, INSUFFICIENT_CAPACITY_SECONDS)
        unit.retry_at = now + RETRY_SECONDS
        self._end(worker, unit, order.task_key, order.run, EndCause.LOST, "", result.value)

    def confirm_stop(self, stop, now):
        """Notes that a worker has taken a stop: the run cannot start there any more."""
        if stop.allocation is not None:
            stop.allocation.barred_at = now

    # planning

    def create_due_units(self, now, now_ms):
        """Opens the steps whose turn has come; returns the Unix ms of the next due time."""
        due = None
        for job in self.jobs.values():
            if job.ended:
                continue
            for unit in job.open_steps(now_ms):
                unit.ready_at = now
            if job.spec.timed:
                following = job.next_due_ms(now_ms)
                if following is not None:
                    due = following if due is None else min(due, following)
        return due

    def checkpoint_leaving_runs(self, now):
        """Stops runs with checkpoints shortly before their worker may leave.

        The stop saves their state. Other runs go on, since the worker may stay longer than it
        said.
        """
        for worker in self.fleet.workers.values():
            if worker.leaves_at is None or not worker.info.draining:
                continue
            if worker.leaves_at - now >= LEAVE_SECONDS:
                continue
            for (task_key, _), unit in list(worker.units_by_run.items()):
                index = task_key[3]
                active = index in unit.allocations and unit.state is UnitState.ACTIVE
                if active and unit.spec.checkpointing:
                    self._request_stop(unit, index, "worker_leaves")

    def plan(self, now, now_ms):
        """Decides on starts and stops; returns (orders, stop orders) to be sent.

        The orders go out only after the jobs in ``unsaved_job_ids`` are on record.
        """
        orders = []
        if self.catalog is not None:
            starts, stops = self._scheduler.plan(self.jobs, self.catalog, now, now_ms)
            for stop in stops:
                self._note(
                    "unit_preempted",
                    job=stop.unit.job.id,
                    unit=unit_name(stop.unit),
                    reason=stop.reason,
                    gaining=stop.gaining.job.id,
                )
                for index in list(stop.unit.allocations):
                    self._request_stop(stop.unit, index, "preempted")
            for start in starts:
                orders.extend(self._begin(start, now))
        stop_orders, self._stops = self._stops, []
        return orders, stop_orders

    def _begin(self, start, now):
        unit = start.unit
        unit.begin(start.allocations)
        self.unsaved_job_ids[unit.job.id] = True
        orders = []
        for index, allocation in start.allocations.items():
            allocation.ordered_at = now
            self.fleet.get(allocation.worker_id).allocate(unit.task_key(index), unit.run, unit)
            orders.append(StartOrder(unit, index, allocation))
        self._note(
            "unit_placed",
            job=unit.job.id,
            unit=unit_name(unit),
            run=unit.run,
            workers=[allocation.worker_id for allocation in start.allocations.values()],
            reason=start.reason,
            waited_ms=round((now - unit.ready_at) * 1000),
        )
        return orders

    # changes of one run

    def _apply_running(self, worker, report, now):
        unit = worker.units_by_run.get((report.task_key, report.run))
        if unit is None:
            stop = StopOrder(worker.id, report.task_key, report.run, "run_not_on_record")
            self._stops.append(stop)
            return
        allocation = unit.allocations.get(report.task_key[3])
        if report.checkpoint and unit.spec.checkpointing:
            unit.checkpoint = report.checkpoint
        if allocation is not None and allocation.state is AllocationState.ORDERED:
            self._confirm(unit, allocation, now)

    def _confirm(self, unit, allocation, now):
        allocation.state = AllocationState.RUNNING
        allocation.confirmed_at = now
        if not unit.job.started:
            unit.job.started = True
            self.unsaved_job_ids[unit.job.id] = True

    def _apply_end(self, worker, end, now, failed):
        """Applies an end; ``failed`` has the jobs whose failure here has been counted."""
        unit = worker.units_by_run.get((end.task_key, end.run))
        if unit is None:
            return
        if end.cause is EndCause.DONE:
            worker.reliability.record_success(now)
        elif end.cause is EndCause.FAILED and unit.job.id not in failed:
            # tasks of one job that fail together may all fail for the job's own reason
            failed.add(unit.job.id)
            worker.reliability.record_failure(now)
        self._end(worker, unit, end.task_key, end.run, end.cause, end.checkpoint, "reported")

    def _apply_absent(self, worker, key, unit, incarnation, asked_at):
        """Handles a run that the worker does not list.

        An order may still be under way, so the run is given up only after the worker has
        taken a stop for it, which bars it there for good.
        """
        task_key, run = key
        allocation = unit.allocations.get(task_key[3])
        if allocation is None:
            worker.release(task_key, run)
            return
        if allocation.state is AllocationState.STOPPING:
            if allocation.barred_at is not None and allocation.barred_at < asked_at:
                self._end(worker, unit, task_key, run, EndCause.LOST, "", "absent_after_stop")
            return
        reborn = incarnation is not None and incarnation != allocation.incarnation
        recovered = allocation.ordered_at is None
        confirmed = allocation.confirmed_at is not None and allocation.confirmed_at < asked_at
        if reborn or recovered or confirmed:
            reason = "worker_restarted" if reborn else "run_absent"
            self._request_stop(unit, task_key[3], reason)

    def _end(self, worker, unit, task_key, run, cause, checkpoint, reason):
        if worker is not None:
            worker.release(task_key, run)
        if unit.run != run or task_key[3] not in unit.allocations:
            return
        was_done = unit.state is UnitState.DONE
        unit.end(task_key[3], cause, checkpoint if unit.spec.checkpointing else "")
        self.unsaved_job_ids[unit.job.id] = True
        self._note(
            "run_ended",
            job=unit.job.id,
            task=".".join(map(str, task_key[1:])),
            run=run,
            worker=worker.id if worker is not None else "",
            cause=cause.value,
            reason=reason,
            failures=unit.failures,
        )
        if cause is not EndCause.DONE and not was_done:
            for index in list(unit.allocations):
                self._request_stop(unit, index, "member_ended")
        self._settle(unit.job)

    def _settle(self, job):
        queue = job.accepted_queue if self.catalog is None else self.catalog.queue_of(job)
        # without its queue a job can end well, while its number of attempts is not known
        if job.settle(queue.max_attempts if queue is not None else None):
            self._job_ended(job)

    def _job_ended(self, job):
        self.unsaved_job_ids[job.id] = True
        self._note("job_ended", job=job.id, outcome=job.outcome.value, queue=job.queue)
        self._stop_job(job, f"job_{job.outcome.value}")

    def _stop_job(self, job, reason):
        for unit in job.units():
            if unit.state is UnitState.ACTIVE:
                for index in list(unit.allocations):
                    self._request_stop(unit, index, reason)

    def _request_stop(self, unit, index, reason):
        allocation = unit.allocations[index]
        if allocation.state is AllocationState.STOPPING:
            return
        allocation.state = AllocationState.STOPPING
        stop = StopOrder(allocation.worker_id, unit.task_key(index), unit.run, reason, allocation)
        self._stops.append(stop)


def unit_name(unit):
    """Names a unit within its job: occurrence, step and first task."""
    return f"{unit.occurrence}.{unit.step}.{unit.first}"
