"""
ibiscart_core.workflow.engine
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The state of all jobs and workers of one deployment, and the events that change it.
"""

from ibiscart_core.workflow.crash import WorkerLosses
from ibiscart_core.workflow.fleet import Fleet
from ibiscart_core.workflow.job import Outcome
from ibiscart_core.workflow.ordering import cores_of
from ibiscart_core.workflow.report import StartResult
from ibiscart_core.workflow.scheduler import Scheduler
from ibiscart_core.workflow.speed import SpeedClass, SpeedModel
from ibiscart_core.workflow.suspension import Suspensions
from ibiscart_core.workflow.unit import AllocationState, EndCause, UnitState
from ibiscart_core.workflow.window import StartWindow

__all__ = ["Engine", "StartOrder", "StopOrder"]

# delay before a unit whose start was refused is placed again
START_RETRY_SECONDS = 0.25
# time without new work for a worker that refused a start as unhealthy or could not be reached
UNHEALTHY_SUSPEND_SECONDS = 2.0
# time without new work for a worker that refused a start for lack of capacity; by then, the run
# that uses the capacity has ended or the worker's status lists it
INSUFFICIENT_CAPACITY_SUSPEND_SECONDS = 0.5
# new units after which a call of ``create_due_units`` ends, which bounds the length of a pass
MAX_NEW_UNITS = 1000
# time before a worker leaves at which its runs with checkpoints are stopped: a stop takes up to
# 0.9 s, and the end has to be read while the worker still answers
CHECKPOINT_LEAD_SECONDS = 1.2
# time after which an account that was above its share in a pool counts as within it
OVER_SHARE_END_SECONDS = 5.0
# time after which an acknowledged stop is ordered again if the worker still lists the run; a worker
# takes up to 0.9 s for a stop
STOP_EFFECT_SECONDS = 2.0
# time after which a stop is logged whose run has not ended
STOP_OVERDUE_SECONDS = 5.0
# names of the events in the log by the new ``SpeedClass`` of a worker
SPEED_EVENTS = {
    SpeedClass.SLOW: "worker_slow",
    SpeedClass.AVERAGE: "worker_recovered",
    SpeedClass.FAST: "worker_fast",
}


class StartOrder:
    """An order to start one task's run, which is on the job's record, on a worker.

    ``sent_at`` is when it was sent first, in seconds of the monotonic clock, None before.
    """

    __slots__ = ("allocation", "index", "run", "sent_at", "unit")

    def __init__(self, unit, index, allocation):
        self.unit = unit
        self.index = index
        self.allocation = allocation
        self.run = unit.run
        self.sent_at = None

    @property
    def task_key(self):
        """Key of the task: (job id, occurrence, step, index)."""
        return self.unit.task_key(self.index)

    @property
    def awaits_answer(self):
        """True if the run still waits for the answer to this order."""
        return (
            self.unit.run == self.run
            and self.unit.allocations.get(self.index) is self.allocation
            and self.allocation.state is AllocationState.ORDERED
        )


class StopOrder:
    """An order to stop a run on a worker, whether or not the worker is known to have the run.

    ``unit`` and ``allocation`` are None for a run that is on no job's record. ``planned_at`` is
    when the stop was planned, in seconds of the monotonic clock, None before the first pass after
    the request. ``overdue`` is True once it was logged that the run has not ended in time.
    ``in_delivery`` is True while the order waits to be sent or is being sent.
    """

    __slots__ = (
        "allocation",
        "in_delivery",
        "overdue",
        "planned_at",
        "reason",
        "run",
        "task_key",
        "unit",
        "worker_id",
    )

    def __init__(self, worker_id, task_key, run, reason, unit=None, allocation=None):
        self.worker_id = worker_id
        self.task_key = task_key
        self.run = run
        self.reason = reason
        self.unit = unit
        self.allocation = allocation
        self.planned_at = None
        self.overdue = False
        self.in_delivery = True

    @property
    def awaits_end(self):
        """True while the run has not ended and keeps its resources."""
        return self.unit is not None and (
            self.unit.allocations.get(self.task_key[3]) is self.allocation
        )


class Engine:
    """Applies events of jobs and workers, and plans starts and stops; does no input or output.

    ``unsaved_job_ids`` has the ids of jobs whose record is to be written, in order of change. Times
    named ``now`` are in seconds of the monotonic clock.
    ``log_event`` is called with (event, fields) for each change an operator may ask about.

    An unexpected error in the planning of one job suspends the planning of this job for a growing
    time; its runs go on, and their ends are applied. One in the reports about a job leaves these
    to a later status. ``on_job_error`` is called with the id of the job and the error.
    """

    def __init__(
        self,
        catalog=None,
        log_event=lambda event, **fields: None,
        on_job_error=lambda job_id, error: None,
    ):
        self.fleet = Fleet()
        self.jobs = {}
        self.catalog = catalog
        self.unsaved_job_ids = {}
        self._scheduler = Scheduler(self.fleet)
        self._losses = WorkerLosses()
        self._speeds = SpeedModel()
        self._stops = []
        # the stop orders of runs on record that have not ended
        self._open_stops = []
        self._log_event = log_event
        self._on_job_error = on_job_error
        self._suspensions = Suspensions()
        self._report_suspensions = Suspensions()
        self._start_window = StartWindow()
        # when an account was last above its share, by (pool, account)
        self._over_share_seen_at = {}

    def add_job(self, job, now=0.0):
        """Adds an accepted job; allocates the resources of the runs on its record.

        The units on its record count as waiting from ``now``.
        """
        self.jobs[job.id] = job
        self._scheduler.ranking.record_job(job)
        job.restart_waiting(now)
        for unit in job.units():
            unit.retry_at = now + unit.hold_seconds
            self._attach_vanished_runs(unit, now)
            for index, allocation in unit.allocations.items():
                worker = self.fleet.get(allocation.worker_id)
                if worker is not None:
                    worker.allocate(unit.task_key(index), unit.run, unit)
        if job.ended:
            self._stop_runs(job, "job_ended")
        else:
            self._stop_incomplete_gangs(job)
            self._update_outcome(job)

    def apply_catalog(self, catalog):
        """Applies a configuration; ends the jobs that have failed or completed by its limits."""
        self.catalog = catalog
        for job in list(self.jobs.values()):
            try:
                self._update_outcome(job)
            except Exception as error:
                self._on_job_error(job.id, error)

    def apply_evacuations(self, evacuations):
        """Applies the ``Evacuations``; logs each that begins or ends with the runs still there."""
        previous, self.fleet.evacuations = self.fleet.evacuations, evacuations
        for data_centre in sorted(evacuations.data_centres ^ previous.data_centres):
            began = data_centre in evacuations.data_centres
            self._log_event(
                "evacuation_began" if began else "evacuation_ended",
                data_centre=data_centre,
                version=evacuations.version,
                runs=sum(
                    len(worker.units_by_run)
                    for worker in self.fleet.workers.values()
                    if worker.info.data_centre == data_centre
                ),
            )

    def cancel(self, job_id):
        """Cancels a job; returns False if the job is unknown or has already ended."""
        job = self.jobs.get(job_id)
        if job is None or job.ended:
            return False
        job.outcome = Outcome.CANCELLED
        self._handle_job_end(job)
        return True

    def remove_job(self, job_id):
        """Removes an ended job without allocations."""
        self.jobs.pop(job_id, None)
        self._suspensions.discard(job_id)
        self._report_suspensions.discard(job_id)

    def discard_job(self, job_id):
        """Removes a job that could not be added, with the allocations that it has so far.

        Workers that report runs of it get orders to stop them.
        """
        self.remove_job(job_id)
        self.unsaved_job_ids.pop(job_id, None)
        self._open_stops = [stop for stop in self._open_stops if stop.task_key[0] != job_id]
        for worker in self.fleet.workers.values():
            for task_key, run in list(worker.units_by_run):
                if task_key[0] == job_id:
                    worker.release(task_key, run)
            worker.vanished_runs = [
                (unit, index) for unit, index in worker.vanished_runs if unit.job.id != job_id
            ]

    def suspend_job(self, job_id, error, now):
        """Leaves a job out of planning for a growing time after an unexpected ``error``."""
        seconds = self._suspensions.suspend(job_id, now)
        self._on_job_error(job_id, error)
        self._log_event("job_suspended", job=job_id, seconds=seconds, reason=type(error).__name__)

    def count_pending_jobs(self):
        """Returns the number of accepted jobs without a started task, by queue name."""
        counts = {}
        for job in self.jobs.values():
            if not job.started and not job.ended:
                counts[job.queue] = counts.get(job.queue, 0) + 1
        return counts

    def end_lost_runs(self, worker_id, cause, now, reason, except_runs=frozenset()):
        """Ends the runs of a worker that has left, crashed or vanished until its leases expired.

        ``except_runs`` has the (task key, run) of those that may go on.
        ``cause`` is ``LOST``, ``WORKER_CRASHED`` or ``WORKER_VANISHED``; a worker that was draining
        has left. ``reason`` is for the log.
        """
        worker = self.fleet.get(worker_id)
        if worker is None:
            return
        if worker.info.draining:
            cause = EndCause.LOST
        if cause is EndCause.WORKER_CRASHED:
            self._resolve_vanished_runs(worker, None, now)
        if cause is not EndCause.LOST:
            self._record_losses(now)
        for (task_key, run), unit in list(worker.units_by_run.items()):
            if (task_key, run) not in except_runs:
                self._end_run(worker, unit, task_key, run, cause, "", reason, now)

    def apply_worker_status(self, worker_id, status, asked_at, now):
        """Applies a worker's status; returns the sequence number of the last end applied.

        The ends up to this number may be acknowledged once they are recorded. Unexpected errors in
        the reports about one job leave them, and the ends after them, to a later status. Raises
        ``RuntimeError`` if further ends will not be listed before. ``asked_at`` is when the status
        was requested, in seconds of the monotonic clock.
        """
        worker = self.fleet.get(worker_id)
        if worker is None:
            return 0
        worker.reachable = worker.answered = True
        if status.incarnation is not None:
            worker.incarnation = status.incarnation
            self._resolve_vanished_runs(worker, status.incarnation, now)
        listed = {}
        for run in status.running:
            listed[(run.task_key, run.run)] = run
            self._apply_report(run.task_key, now, self._apply_running, worker, run, asked_at, now)
        counted_jobs = set()
        left = []
        for end in status.ended:
            apply = self._apply_end
            if not self._apply_report(end.task_key, now, apply, worker, end, now, counted_jobs):
                left.append(end.sequence)
                listed[(end.task_key, end.run)] = end
        if left and not status.complete:
            raise RuntimeError("ends that cannot be applied hold up those of other jobs")
        last_applied = max(
            (end.sequence for end in status.ended if not left or end.sequence < min(left)),
            default=0,
        )
        if not status.complete:
            # a run that is not listed may have ended
            return last_applied
        for key, unit in list(worker.units_by_run.items()):
            if key not in listed:
                args = (worker, key, unit, status.incarnation, asked_at, now)
                self._apply_report(key[0], now, self._apply_missing_run, *args)
        return last_applied

    def apply_start_result(self, order, result, now):
        """Applies a ``StartResult``, unless the run no longer waits for an answer to the order.

        After an unexpected error, the run is stopped and its job suspended.
        """
        if not order.awaits_answer:
            return
        try:
            self._apply_start_result(order, result, now)
        except Exception as error:
            self.suspend_job(order.unit.job.id, error, now)
            if order.awaits_answer:
                self._request_stop(order.unit, order.index, "error")

    def confirm_stop(self, stop, now):
        """Records that a worker acknowledged a stop: the run can no longer start on that worker."""
        if stop.allocation is not None:
            stop.allocation.stop_acknowledged_at = now

    def end_delivery(self, stop):
        """Records that a stop order is no longer being sent, whether or not it was acknowledged.

        If the next status of the worker shows that it had no effect, the order is issued again.
        """
        stop.in_delivery = False

    def create_due_units(self, now, now_ms):
        """Creates the units of the steps that are due and whose dependencies are done.

        Once there are ``MAX_NEW_UNITS`` new ones, leaves those of further jobs to the next call.
        Returns the time of the next occurrence of any job, None without one. This time and
        ``now_ms`` are in Unix milliseconds.
        """
        earliest_ms = None
        created = 0
        for job in self._planned_jobs(now).values():
            if job.ended:
                continue
            if created >= MAX_NEW_UNITS:
                return now_ms
            try:
                created += job.create_due_units(now_ms, now)
                following_ms = job.next_due_ms(now_ms) if job.spec.scheduled else None
            except Exception as error:
                self.suspend_job(job.id, error, now)
                continue
            if following_ms is not None:
                earliest_ms = (
                    following_ms if earliest_ms is None else min(earliest_ms, following_ms)
                )
        return earliest_ms

    def checkpoint_leaving_runs(self, now):
        """Stops runs with checkpoints shortly before their worker may leave.

        The stop saves a checkpoint. Other runs go on, as the worker may stay longer than
        announced.
        """
        for worker in self.fleet.workers.values():
            if worker.leaves_at is None or not worker.info.draining:
                continue
            if worker.leaves_at - now >= CHECKPOINT_LEAD_SECONDS:
                continue
            for (task_key, _), unit in list(worker.units_by_run.items()):
                index = task_key[3]
                active = index in unit.allocations and unit.state is UnitState.ACTIVE
                if active and unit.spec.checkpointing:
                    self._request_stop(unit, index, "worker_leaves")

    def plan(self, now, now_ms, *, may_start=True):
        """Plans starts and stops; returns (start orders, stop orders).

        Unless ``may_start``, it plans no starts, and no stops that make room for them. The caller
        sends the orders only after it has written the records of the jobs in ``unsaved_job_ids``.
        """
        self._update_speeds(now)
        orders = []
        if self.catalog is not None and may_start:
            self._start_window.begin_pass(self.fleet.workers.keys(), now)
            starts, stops = self._scheduler.plan(
                self._planned_jobs(now),
                self.catalog,
                now,
                now_ms,
                self._start_window,
                lambda job, error: self.suspend_job(job.id, error, now),
            )
            for stop in stops:
                self._log_event(
                    "unit_preempted",
                    job=stop.unit.job.id,
                    unit=unit_name(stop.unit),
                    reason=stop.reason,
                    run=stop.unit.run,
                    gaining=stop.beneficiary.job.id,
                    gaining_unit=unit_name(stop.beneficiary),
                )
                for index in list(stop.unit.allocations):
                    self._request_stop(stop.unit, index, "preempted", stop.reason)
            for start in starts:
                try:
                    orders.extend(self._start_unit(start, now))
                except Exception as error:
                    self._withdraw_start(start.unit, start.allocations)
                    self.suspend_job(start.unit.job.id, error, now)
            self._log_accounts_over_share(now)
        self._start_window.add(orders)
        stop_orders, self._stops = self._stops, []
        for stop in stop_orders:
            if stop.planned_at is None:
                stop.planned_at = now
        self._log_overdue_stops(now)
        return orders, stop_orders

    def count_overdue_stops(self):
        """Returns the number of runs whose stop was planned long ago and that have not ended."""
        return sum(stop.awaits_end and stop.overdue for stop in self._open_stops)

    def _log_overdue_stops(self, now):
        """Logs each stop whose run has not ended in time, once, and forgets those that have."""
        self._open_stops = [stop for stop in self._open_stops if stop.awaits_end]
        for stop in self._open_stops:
            if stop.overdue or now - stop.planned_at < STOP_OVERDUE_SECONDS:
                continue
            stop.overdue = True
            worker = self.fleet.get(stop.worker_id)
            self._log_event(
                "stop_overdue",
                job=stop.task_key[0],
                task=".".join(map(str, stop.task_key[1:])),
                run=stop.run,
                worker=stop.worker_id,
                reason=stop.reason,
                acknowledged=stop.allocation.stop_acknowledged_at is not None,
                reachable=worker is not None and worker.reachable,
                registered=worker is not None and worker.registered,
            )

    def _update_speeds(self, now):
        """Estimates the speeds of the workers anew and logs those that turn slow or fast."""
        for worker in self._speeds.refit(self.fleet.workers.values(), now):
            self._log_event(
                SPEED_EVENTS[worker.speed.speed_class],
                worker=worker.id,
                speed=round(worker.speed.relative, 2),
                runs=len(worker.speed.rates),
            )

    @property
    def account_shares(self):
        """The ``AccountShares`` of the last planning pass by pool."""
        return self._scheduler.account_shares

    @property
    def order_limit(self):
        """Number of orders that may be sent at once without a delay of this process's tasks."""
        return self._start_window.limit

    def record_delay(self, seconds, now):
        """Limits the starts in flight if the tasks of this process are delayed by ``seconds``."""
        self._start_window.record_delay(seconds, now)

    def withdraw_starts(self, orders, job_ids):
        """Returns the start orders of other jobs than ``job_ids``; withdraws the others.

        Must be called before any of the orders is sent.
        """
        if not job_ids:
            return orders
        remaining = []
        for order in orders:
            if order.unit.job.id in job_ids:
                self._withdraw_start(order.unit, {order.index: order.allocation})
            else:
                remaining.append(order)
        return remaining

    def withhold_starts(self, orders, refusal, now):
        """Returns the start orders of the units that may start; withdraws those of the others.

        ``refusal`` returns the ``StartResult`` of an order that must not be sent to a
        ``FleetWorker``, else None; one such order withdraws its whole unit. Must be called before
        any of the orders is sent, and may be called after they were recorded.
        """
        reasons = {}
        for order in orders:
            worker = self.fleet.get(order.allocation.worker_id)
            reason = refusal(worker) if worker is not None else None
            if reason is not None:
                reasons[order.unit.key] = reason
        remaining = []
        for order in orders:
            unit = order.unit
            if unit.key not in reasons:
                remaining.append(order)
                continue
            if order.index == unit.first_index:
                reason = reasons[unit.key].value
                name = unit_name(unit)
                self._log_event("start_withheld", job=unit.job.id, unit=name, reason=reason)
            self._withdraw_start(unit, {order.index: order.allocation})
            unit.retry_at = now + START_RETRY_SECONDS
            self.unsaved_job_ids[unit.job.id] = True
        return remaining

    def _log_accounts_over_share(self, now):
        """Logs when jobs of an account begin to wait behind those of others, and when that ends.

        An account whose use is close to its share does not end and begin again with each pass.
        """
        for pool, shares in self.account_shares.items():
            for account in shares.over_share():
                if (pool, account) not in self._over_share_seen_at:
                    self._log_event(
                        "account_over_share",
                        account=account,
                        pool=pool,
                        resource=shares.scarcest,
                        used=shares.used(account),
                        share=round(shares.share(account), 1),
                        factor=round(shares.factor(account), 2),
                    )
                self._over_share_seen_at[(pool, account)] = now
        for (pool, account), seen_at in list(self._over_share_seen_at.items()):
            if now - seen_at >= OVER_SHARE_END_SECONDS:
                del self._over_share_seen_at[(pool, account)]
                self._log_event("account_within_share", account=account, pool=pool)

    def _planned_jobs(self, now):
        """Returns the jobs by id, without those that are left out of planning at ``now``."""
        if not self._suspensions:
            return self.jobs
        return {
            job_id: job
            for job_id, job in self.jobs.items()
            if not self._suspensions.suspended(job_id, now)
        }

    def _withdraw_start(self, unit, allocations):
        """Ends the runs of planned starts for which no order was sent."""
        for index, allocation in allocations.items():
            worker = self.fleet.get(allocation.worker_id)
            if worker is not None:
                worker.release(unit.task_key(index), unit.run)
            if unit.allocations.get(index) is allocation:
                unit.end_task(index, EndCause.LOST)

    def _start_unit(self, start, now):
        """Begins the run of a ``StartDecision``; returns a ``StartOrder`` for each task."""
        unit = start.unit
        unit.begin_run(start.allocations)
        self.unsaved_job_ids[unit.job.id] = True
        orders = []
        for index, allocation in start.allocations.items():
            allocation.ordered_at = now
            self.fleet.get(allocation.worker_id).allocate(unit.task_key(index), unit.run, unit)
            orders.append(StartOrder(unit, index, allocation))
        self._log_event(
            "unit_placed",
            job=unit.job.id,
            unit=unit_name(unit),
            run=unit.run,
            workers=[allocation.worker_id for allocation in start.allocations.values()],
            reason=start.reason,
            waited_ms=round((now - unit.ready_at) * 1000),
        )
        return orders

    def _apply_start_result(self, order, result, now):
        """Applies a ``StartResult`` to a run that waits for it."""
        allocation, unit = order.allocation, order.unit
        worker = self.fleet.get(allocation.worker_id)
        if result is StartResult.STARTED:
            self._start_window.record_answer(order, now)
            self._confirm_start(unit, allocation, now)
            return
        if result in (StartResult.UNKNOWN, StartResult.FENCED):
            # the worker may still carry out the order; an acknowledged stop prevents that
            self._request_stop(unit, order.index, "start_unanswered")
            return
        if worker is not None:
            if result in (StartResult.UNHEALTHY, StartResult.NOT_SENT):
                worker.suspend(now, UNHEALTHY_SUSPEND_SECONDS)
            elif result is StartResult.INSUFFICIENT_CAPACITY:
                worker.suspend(now, INSUFFICIENT_CAPACITY_SUSPEND_SECONDS)
        unit.retry_at = now + START_RETRY_SECONDS
        cause = EndCause.LOST
        self._end_run(worker, unit, order.task_key, order.run, cause, "", result.value, now)

    def _apply_report(self, task_key, now, apply, *args):
        """Applies a report about a task; returns False if an unexpected error prevents it for now.

        Further reports about the same job are left out for a growing time.
        """
        job_id = task_key[0]
        if self._report_suspensions.suspended(job_id, now):
            return False
        try:
            apply(*args)
        except Exception as error:
            self._report_suspensions.suspend(job_id, now)
            self._on_job_error(job_id, error)
            return False
        return True

    def _apply_running(self, worker, report, asked_at, now):
        """Applies the checkpoint and the confirmed start of a ``RunReport``.

        A run that is on no job's record is stopped, and one that is being stopped gets the order
        again if that had no effect.
        """
        unit = worker.units_by_run.get((report.task_key, report.run))
        if unit is None:
            stop = StopOrder(worker.id, report.task_key, report.run, "run_not_on_record")
            self._stops.append(stop)
            return
        allocation = unit.allocations.get(report.task_key[3])
        if report.checkpoint and unit.spec.checkpointing:
            unit.checkpoint = report.checkpoint
        if allocation is not None and allocation.state is AllocationState.ORDERED:
            self._confirm_start(unit, allocation, now)
        elif allocation is not None and allocation.state is AllocationState.STOPPING:
            self._repeat_stop(allocation, asked_at - STOP_EFFECT_SECONDS)
        if unit.crash_evidence and unit.drop_outlived_evidence(report.task_key[3], now):
            self.unsaved_job_ids[unit.job.id] = True
            self._log_crash_evidence(unit, report.task_key[3], worker.id)
        self._speeds.record_progress(worker, unit, report.task_key, report.percent, now)

    def _confirm_start(self, unit, allocation, now):
        """Records that a worker confirmed the start of a task's run."""
        # the next leader must know whether a task that may crash its worker has started
        if not unit.job.started or (unit.crash_suspect and not allocation.started):
            self.unsaved_job_ids[unit.job.id] = True
        unit.confirm_start(allocation, now)
        unit.job.started = True

    def _apply_end(self, worker, end, now, counted_jobs):
        """Applies an ``EndReport``.

        ``counted_jobs`` has the ids of the jobs whose failures in the same status already count
        against the worker.
        """
        unit = worker.units_by_run.get((end.task_key, end.run))
        if unit is None:
            if end.cause is EndCause.DONE:
                self._apply_late_completion(worker, end)
            return
        if end.cause is EndCause.DONE:
            worker.reliability.record_success(now)
            self._speeds.record_end(worker, unit, end.task_key, now)
            self._record_duration(worker, unit, end.task_key[3], now)
        elif end.cause is EndCause.FAILED and unit.job.id not in counted_jobs:
            # tasks of one job that fail together may share a cause in the job, so each job counts
            # against the worker only once
            counted_jobs.add(unit.job.id)
            worker.reliability.record_failure(now)
        cause, checkpoint = end.cause, end.checkpoint
        self._end_run(worker, unit, end.task_key, end.run, cause, checkpoint, "reported", now)

    def _apply_late_completion(self, worker, end):
        """Applies the success of a run that was given up while its worker did not answer.

        The task has run, so it does not run again; a later run of it is stopped.
        """
        job_id, occurrence, step, index = end.task_key
        job = self.jobs.get(job_id)
        unit = job.unit_of(occurrence, step, index) if job is not None and not job.ended else None
        if unit is None or unit.state is UnitState.DONE or unit.spec.long_running:
            return
        if end.run > unit.run:
            # this leader ordered no such run
            return
        unit.state = UnitState.DONE
        self.unsaved_job_ids[job_id] = True
        self._log_event(
            "run_ended",
            job=job_id,
            task=".".join(map(str, end.task_key[1:])),
            run=end.run,
            worker=worker.id,
            cause=end.cause.value,
            reason="reported_late",
            failures=unit.failures,
        )
        for allocated_index in list(unit.allocations):
            self._request_stop(unit, allocated_index, "completed_earlier")
        self._update_outcome(job, [unit])

    def _record_duration(self, worker, unit, index, now):
        """Records the run time of a task that completed in its first run, within its rack.

        Records the time on a worker of average speed; a gang takes the time of its slowest worker.
        A later run may have resumed from a checkpoint.
        """
        step = unit.spec
        allocation = unit.allocations.get(index)
        if unit.run != 1 or allocation is None or allocation.ordered_at is None:
            return
        if allocation.confirmed_at is None or step.long_running:
            return
        if step.preferred_rack and step.preferred_rack != worker.info.rack:
            return
        workers = [self.fleet.get(other.worker_id) for other in unit.allocations.values()]
        speed = min(other.relative_speed(now) for other in workers if other is not None)
        actual_ms = (now - allocation.confirmed_at) * 1000 * speed
        durations = self._scheduler.ranking.durations
        durations.record(unit.job.queue, step.estimate_ms, actual_ms, 1.0 / step.tasks)

    def _apply_missing_run(self, worker, run_key, unit, incarnation, asked_at, now):
        """Handles a run that the worker's status does not list.

        A start order may still be in flight, so the run ends only after the worker has
        acknowledged a stop, after which the run cannot start there.
        """
        task_key, run = run_key
        allocation = unit.allocations.get(task_key[3])
        if allocation is None:
            worker.release(task_key, run)
            return
        restarted = incarnation is not None and incarnation != allocation.incarnation
        if allocation.state is AllocationState.STOPPING:
            if (
                allocation.stop_acknowledged_at is not None
                and allocation.stop_acknowledged_at < asked_at
            ):
                cause = EndCause.WORKER_CRASHED if restarted else EndCause.LOST
                self._end_run(worker, unit, task_key, run, cause, "", "absent_after_stop", now)
            else:
                self._repeat_stop(allocation, asked_at)
            return
        recovered = allocation.ordered_at is None
        confirmed = allocation.confirmed_at is not None and allocation.confirmed_at < asked_at
        if restarted or recovered or confirmed:
            reason = "worker_restarted" if restarted else "run_absent"
            self._request_stop(unit, task_key[3], reason)

    def _end_run(self, worker, unit, task_key, run, cause, checkpoint, reason, now):
        """Ends one task's run and releases its resources; ``worker`` is None if it is unknown.

        Unless the task or its unit has succeeded, the unit's other tasks are stopped. ``reason`` is
        for the log, ``now`` in seconds of the monotonic clock.
        """
        if worker is not None:
            worker.release(task_key, run)
        if unit.run != run or task_key[3] not in unit.allocations:
            return
        was_done = unit.state is UnitState.DONE
        index = task_key[3]
        allocation = unit.end_task(index, cause, checkpoint if unit.spec.checkpointing else "")
        if not was_done and cause in (EndCause.WORKER_CRASHED, EndCause.WORKER_VANISHED):
            self._record_lost_worker(worker, unit, index, allocation, cause, now)
        self.unsaved_job_ids[unit.job.id] = True
        self._log_event(
            "run_ended",
            job=unit.job.id,
            task=".".join(map(str, task_key[1:])),
            run=run,
            worker=worker.id if worker is not None else "",
            cause=cause.value,
            reason=reason,
            failures=unit.failures,
            stop_reason=allocation.stop_reason,
            lost_core_seconds=round(_lost_core_seconds(unit, allocation, cause, now), 1),
        )
        if cause is not EndCause.DONE and not was_done:
            for index in list(unit.allocations):
                self._request_stop(unit, index, "member_ended")
        self._update_outcome(unit.job, [unit])

    def _record_lost_worker(self, worker, unit, index, allocation, cause, now):
        """Adds a worker that was lost to the evidence against a task that ran on it."""
        crashed = cause is EndCause.WORKER_CRASHED
        lost_at = now if worker.reachable else worker.unreachable_at
        unit.record_lost_worker(
            index,
            allocation,
            worker.unreachable_at,
            now,
            crashed=crashed,
            correlated=self._losses.is_correlated(worker.id, lost_at, unit.job.id),
        )
        if cause is EndCause.WORKER_VANISHED:
            worker.record_vanished_run(unit, index, now)
        unit.retry_at = now + unit.hold_seconds
        self._log_crash_evidence(unit, index, worker.id)

    def _record_losses(self, now):
        """Records all workers with runs that do not answer, before the runs of one of them end."""
        for worker in self.fleet.workers.values():
            if worker.reachable or not worker.units_by_run:
                continue
            self._losses.record(
                worker.id,
                worker.unreachable_at,
                {unit.job.id for unit in worker.units_by_run.values()},
                blameless=not any(
                    unit.may_have_crashed_worker(task_key[3], worker.unreachable_at, now)
                    for (task_key, _), unit in worker.units_by_run.items()
                ),
            )

    def _resolve_vanished_runs(self, worker, incarnation, now):
        """Decides whether a worker that had vanished has crashed.

        ``incarnation`` is that in which it answers, None if another process has taken its place.
        """
        resolved, worker.vanished_runs = worker.vanished_runs, []
        for unit, index in resolved:
            if unit.job.ended or not unit.resolve_lost_worker(index, worker.id, incarnation):
                continue
            unit.retry_at = now
            self.unsaved_job_ids[unit.job.id] = True
            self._log_crash_evidence(unit, index, worker.id)
            self._update_outcome(unit.job, [unit])

    def _attach_vanished_runs(self, unit, now):
        """Lets the workers that vanished under an earlier leader tell whether they crashed."""
        for index, evidence in unit.crash_evidence.items():
            for worker_id in evidence.uncertain_workers:
                worker = self.fleet.get(worker_id)
                if worker is not None:
                    worker.record_vanished_run(unit, index, now)

    def _log_crash_evidence(self, unit, index, worker_id):
        """Logs the evidence that a task crashes its workers after it has changed."""
        evidence = unit.crash_evidence.get(index)
        self._log_event(
            "crash_evidence_changed",
            job=unit.job.id,
            task=f"{unit.occurrence}.{unit.step}.{index}",
            worker=worker_id,
            crashed=evidence.crashed if evidence is not None else 0,
            lost=evidence.lost_workers if evidence is not None else 0,
            isolated=unit.isolated,
            given_up=unit.given_up,
        )

    def _update_outcome(self, job, units=None):
        """Ends the job if it has completed or one of its units has no attempts left.

        ``units`` are those that have changed, None for all.
        """
        queue = job.accepted_queue if self.catalog is None else self.catalog.queue_of(job)
        # without the job's queue the limit of attempts is unknown, but the job can still complete
        if job.update_outcome(queue.max_attempts if queue is not None else None, units):
            self._handle_job_end(job)

    def _handle_job_end(self, job):
        """Logs the outcome of a job that has just ended, and stops its runs."""
        self.unsaved_job_ids[job.id] = True
        self._log_event("job_ended", job=job.id, outcome=job.outcome.value, queue=job.queue)
        self._stop_runs(job, f"job_{job.outcome.value}")

    def _stop_runs(self, job, reason):
        """Requests a stop of all runs of the job; ``reason`` is that of the stop orders."""
        for unit in list(job.active_units()):
            for index in list(unit.allocations):
                self._request_stop(unit, index, reason)

    def _stop_incomplete_gangs(self, job):
        """Requests a stop of the runs of gangs on the job's record of which a member has ended.

        An earlier leader may have ended before it got the stops through.
        """
        for unit in list(job.active_units()):
            if len(unit.allocations) < unit.size:
                for index in list(unit.allocations):
                    self._request_stop(unit, index, "member_ended")

    def _request_stop(self, unit, index, reason, preempted_for=""):
        """Adds a stop order for the task with ``index`` unless its run is already being stopped.

        ``preempted_for`` is the reason of a preemption.
        """
        allocation = unit.allocations[index]
        if allocation.state is AllocationState.STOPPING:
            return
        allocation.state = AllocationState.STOPPING
        allocation.stop_reason = preempted_for or reason
        task_key = unit.task_key(index)
        stop = StopOrder(allocation.worker_id, task_key, unit.run, reason, unit, allocation)
        allocation.stop = stop
        self._stops.append(stop)
        self._open_stops.append(stop)

    def _repeat_stop(self, allocation, acknowledged_since):
        """Issues a stop order again that nobody is sending.

        It has to be acknowledged later than ``acknowledged_since``, in seconds of the monotonic
        clock: an acknowledgement of an earlier incarnation of the worker bars nothing.
        """
        stop, acknowledged_at = allocation.stop, allocation.stop_acknowledged_at
        if stop.in_delivery or (
            acknowledged_at is not None and acknowledged_at >= acknowledged_since
        ):
            return
        stop.in_delivery = True
        self._stops.append(stop)


def _lost_core_seconds(unit, allocation, cause, now):
    """Returns the work in core-seconds that a run's end loses, 0 if it is done or has checkpoints.

    An accelerator counts as ``CORES_PER_ACCELERATOR`` cores.
    """
    if cause is EndCause.DONE or allocation.confirmed_at is None or unit.spec.checkpointing:
        return 0.0
    return cores_of(unit.spec.resources) * (now - allocation.confirmed_at)


def unit_name(unit):
    """Returns the name of a unit within its job: occurrence, step and first task."""
    return f"{unit.occurrence}.{unit.step}.{unit.first_index}"
