"""A Hypothesis state machine that models the workers, records and leaders around ``Engine``."""

import json
from collections import Counter

from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from ibiscart_core.workflow.engine import Engine
from ibiscart_core.workflow.job import Job
from ibiscart_core.workflow.report import EndReport, RunReport, StartResult, WorkerStatus
from ibiscart_core.workflow.spec import JobSpec
from ibiscart_core.workflow.unit import EndCause
from tests.core.workflow.harness import EngineHarness, step

__all__ = ["EngineModel"]

WORKERS = 3
ACCELERATORS = 4
MAX_JOBS = 6
# a rule that causes a fault draws ``chance`` from 0 to FAULT_ODDS and acts only on 0, so that jobs
# progress between faults
FAULT_ODDS = 4
# rounds of planning and reporting within which all jobs must end once no more faults happen
FINISH_ROUNDS = 60
# each element has the steps of a job; ``submit`` draws the index of one of them
JOB_STEPS = (
    [step(1, 1)],
    [step(3, 2)],
    [step(2, 4, gang=True)],
    [step(3, 1, gang=True), step(2, 2, after=[0])],
    [step(2, 1), step(1, 4, after=[0])],
)


class WorkerModel:
    """Model of a worker: its runs, unacknowledged ends, and the runs that it refuses to start.

    A run key is (task key, run number). ``epoch`` is the latest leader's epoch that the worker
    knows, ``last_sequence`` the sequence number of its last end.
    """

    def __init__(self, worker_id):
        self.id = worker_id
        self.incarnation = 1
        self.epoch = 0
        self.running = set()
        self.refused_runs = set()
        self.unacknowledged_ends = []
        self.last_sequence = 0

    def start(self, run_key, epoch, incarnation):
        """Starts a run unless it is refused; returns the ``StartResult``."""
        if epoch < self.epoch:
            return StartResult.FENCED
        self.epoch = epoch
        if incarnation != self.incarnation:
            return StartResult.WRONG_INCARNATION
        if run_key in self.refused_runs or any(
            end.task_key == run_key[0] and end.run == run_key[1] for end in self.unacknowledged_ends
        ):
            return StartResult.SUPERSEDED
        self.running.add(run_key)
        return StartResult.STARTED

    def end(self, run_key, cause):
        """Ends a run, with an ``EndReport`` for the leader; the run cannot start again."""
        self.running.discard(run_key)
        self.last_sequence += 1
        self.unacknowledged_ends.append(
            EndReport(self.last_sequence, run_key[0], run_key[1], cause)
        )
        self.refused_runs.add(run_key)


class EngineModel(RuleBasedStateMachine):
    """Runs jobs while leaders change, orders are delayed, answers are lost and workers restart."""

    def __init__(self):
        super().__init__()
        self.harness = EngineHarness(workers=WORKERS, accelerators=ACCELERATORS, per_rack=WORKERS)
        self.catalog = self.harness.engine.catalog
        self.infos = [worker.info for worker in self.harness.engine.fleet.workers.values()]
        self.workers = {info.id: WorkerModel(info.id) for info in self.infos}
        self.engine = self.harness.engine
        self.epoch = 1
        self.now = 100.0
        self.accepted_documents = {}
        self.records = {}
        self.done_tasks = set()
        self.orders = []
        self.stops = []
        self.applied_sequences = {}
        self.late_leader_change = False
        # by task: failed ends, and workers that crashed while it ran
        self.failures = {}
        self.crashes = {}

    @initialize(late_leader_change=st.booleans())
    def begin(self, late_leader_change):
        """Draws whether ``teardown`` changes the leader before it ends the jobs."""
        self.late_leader_change = late_leader_change

    @precondition(lambda self: len(self.accepted_documents) < MAX_JOBS)
    @rule(steps_index=st.sampled_from(range(len(JOB_STEPS))), priority=st.integers(0, 2))
    def submit(self, steps_index, priority):
        """Submits a job with the steps ``JOB_STEPS[steps_index]`` to the queue of ``priority``."""
        job_id = f"job{len(self.accepted_documents)}"
        queue = self.catalog.queues[f"q{priority}"]
        spec = JobSpec("x", JOB_STEPS[steps_index])
        job = Job(job_id, "a", queue.name, spec, int(self.now * 1000), queue)
        self.accepted_documents[job_id] = job.to_document()
        self.engine.add_job(Job.from_document(job_id, job.to_document()), self.now)

    @rule(seconds=st.sampled_from([0.01, 0.3, 3.0]), deliver=st.sampled_from([True, True, False]))
    def plan_and_send(self, seconds, deliver):
        """Plans ``seconds`` later; without ``deliver``, the orders wait to be delivered."""
        self.plan(seconds)
        if deliver:
            self._deliver_all_orders()

    def plan(self, seconds):
        """Plans ``seconds`` later, saves the records and acknowledges the applied ends."""
        self.now += seconds
        now_ms = int(self.now * 1000)
        self.engine.create_due_units(self.now, now_ms)
        orders, stops = self.engine.plan(self.now, now_ms)
        for job_id in self.engine.unsaved_job_ids:
            self.records[job_id] = self._record(self.engine.jobs[job_id])
        self.engine.unsaved_job_ids.clear()
        for worker_id, sequence in self.applied_sequences.items():
            worker = self.workers[worker_id]
            worker.unacknowledged_ends = [
                end for end in worker.unacknowledged_ends if end.sequence > sequence
            ]
        self.orders += [(order, self.epoch) for order in orders]
        self.stops += [(stop, self.epoch) for stop in stops]

    def _record(self, job):
        """Returns the record of a job, and checks that no unit in it is outdated."""
        encoded = json.loads(job.encode_units())
        for step_units in job.step_units:
            rows = {row[0]: row for row in encoded.get(step_units.name, [])}
            for unit in step_units:
                if unit.allocations if job.ended else unit.run:
                    assert rows.get(unit.first_index) == unit.to_record(), unit.key
        return job.to_record()

    @rule(has_catalog=st.booleans(), chance=st.integers(0, FAULT_ODDS))
    def change_leader_at_times(self, has_catalog, chance):
        """Changes the leader if ``chance`` is 0."""
        if not chance:
            self.change_leader(has_catalog)

    def change_leader(self, has_catalog):
        """Starts a new engine from the accepted jobs and their saved records.

        Without ``has_catalog``, the new leader has not read the configuration yet.
        """
        self.epoch += 1
        self.applied_sequences = {}
        self.engine = Engine(self.catalog if has_catalog else None)
        for info in self.infos:
            self.engine.fleet.add(info)
        for job_id, document in self.accepted_documents.items():
            job = Job.from_document(job_id, document)
            if job_id in self.records:
                job.load_record(self.records[job_id])
            self.engine.add_job(job, self.now)

    @precondition(lambda self: self.engine.catalog is None)
    @rule()
    def read_configuration(self):
        self.engine.apply_catalog(self.catalog)

    @precondition(lambda self: self.orders)
    @rule(data=st.data(), answered=st.booleans())
    def deliver_order(self, data, answered):
        """Delivers a start order; unless ``answered``, the leader does not get the answer."""
        order, epoch = self.orders.pop(data.draw(st.integers(0, len(self.orders) - 1)))
        self._deliver_order(order, epoch, answered)

    @precondition(lambda self: self.orders)
    @rule(data=st.data())
    def delay_order(self, data):
        """Lets the leader stop waiting for an answer, while the order may still arrive."""
        order, epoch = data.draw(st.sampled_from(self.orders))
        if epoch == self.epoch:
            self.engine.apply_start_result(order, StartResult.UNKNOWN, self.now)

    @precondition(lambda self: self.stops)
    @rule(data=st.data())
    def deliver_stop(self, data):
        """Delivers one of the stop orders, in any order."""
        stop, epoch = self.stops.pop(data.draw(st.integers(0, len(self.stops) - 1)))
        self._deliver_stop(stop, epoch)

    @precondition(lambda self: any(worker.running for worker in self.workers.values()))
    @rule(data=st.data(), failed=st.sampled_from([False, False, True]))
    def finish(self, data, failed):
        """Fails or completes one of the running runs."""
        runs = sorted((w.id, run_key) for w in self.workers.values() for run_key in w.running)
        worker_id, run_key = data.draw(st.sampled_from(runs))
        if failed:
            unit_key = run_key[0][:3] if self._step_spec(run_key).gang else run_key[0]
            self.failures[unit_key] = self.failures.get(unit_key, 0) + 1
            self.workers[worker_id].end(run_key, EndCause.FAILED)
            self._break_gang(run_key)
        else:
            self._complete_run(worker_id, run_key)

    @rule()
    def report_all(self):
        """Applies the status of every worker to the engine."""
        for worker_id in self.workers:
            self.report(worker_id)

    def report(self, worker_id):
        """Applies a worker's status, unless the worker knows a later leader."""
        worker = self.workers[worker_id]
        if worker.epoch > self.epoch:
            return
        worker.epoch = self.epoch
        self.now += 0.01
        fleet_worker = self.engine.fleet.get(worker_id)
        if fleet_worker.info.incarnation != worker.incarnation:
            # as in WorkerSession, a restarted worker numbers its ends from 1 again
            fleet_worker.info.incarnation = worker.incarnation
            self.applied_sequences.pop(worker_id, None)
        runs = [RunReport(*run_key) for run_key in sorted(worker.running)]
        status = WorkerStatus(0, runs, worker.unacknowledged_ends, worker.incarnation)
        self.engine.apply_worker_status(worker_id, status, self.now, self.now)
        self.applied_sequences[worker_id] = worker.last_sequence

    @rule(worker_index=st.integers(0, WORKERS - 1), chance=st.integers(0, FAULT_ODDS))
    def restart_worker(self, worker_index, chance):
        """Restarts a worker without its runs and unreported ends if ``chance`` is 0."""
        if chance:
            return
        self._restart_worker(self.workers[f"w{worker_index}"])

    @precondition(lambda self: any(worker.running for worker in self.workers.values()))
    @rule(data=st.data(), chance=st.integers(0, FAULT_ODDS))
    def restart_busy_worker(self, data, chance):
        """Restarts a worker that runs tasks, as one of them may do, if ``chance`` is 0."""
        if not chance:
            busy = sorted(worker.id for worker in self.workers.values() if worker.running)
            self._restart_worker(self.workers[data.draw(st.sampled_from(busy))])

    def _restart_worker(self, worker):
        """Restarts a worker without its runs and unreported ends."""
        for task_key, _ in worker.running:
            self.crashes[task_key] = self.crashes.get(task_key, 0) + 1
        for run_key in sorted(worker.running):
            self._break_gang(run_key)
        worker.running.clear()
        worker.refused_runs.clear()
        worker.unacknowledged_ends.clear()
        worker.last_sequence = 0
        worker.incarnation += 1

    @invariant()
    def no_task_runs_twice(self):
        tasks = [run_key[0] for worker in self.workers.values() for run_key in worker.running]
        assert len(tasks) == len(set(tasks)), sorted(tasks)

    @invariant()
    def no_finished_task_runs_again(self):
        completed_jobs = {
            job_id
            for job_id, record in self.records.items()
            if record.get("outcome") == "completed"
        }
        tasks = [run_key[0] for worker in self.workers.values() for run_key in worker.running]
        assert not [task for task in tasks if task[0] in completed_jobs]

    @invariant()
    def tasks_by_step_are_those_of_the_runs(self):
        for worker in self.engine.fleet.workers.values():
            counts = Counter(task_key[:3] for task_key, _ in worker.units_by_run)
            assert counts == worker.tasks_by_step, worker.id

    @invariant()
    def no_worker_is_overallocated(self):
        for worker in self.workers.values():
            used = sum(self._accelerators_per_task(run_key) for run_key in worker.running)
            assert used <= ACCELERATORS, (worker.id, sorted(worker.running))

    @invariant()
    def completed_jobs_have_completed_all_tasks(self):
        for job_id, record in self.records.items():
            if record.get("outcome") == "completed":
                assert self._task_keys(job_id) <= self.done_tasks, job_id

    @invariant()
    def jobs_fail_only_for_failed_runs_or_crashes(self):
        for job_id, record in self.records.items():
            if record.get("outcome") == "failed":
                counts = [
                    count
                    for found in (self.failures, self.crashes)
                    for key, count in found.items()
                    if key[0] == job_id
                ]
                assert max(counts, default=0) >= 2, job_id

    def teardown(self):
        """Checks that every job ends once no more faults happen.

        In half of the examples, a last leader applies ends before it reads the configuration.
        """
        if self.late_leader_change:
            self._complete_all_runs()
            self.change_leader(False)
            self.report_all()
        if self.engine.catalog is None:
            self.read_configuration()
        for _ in range(FINISH_ROUNDS):
            self._complete_all_runs()
            self.report_all()
            self.plan(0.3)
            self._deliver_all_orders()
            self.no_task_runs_twice()
            self.no_worker_is_overallocated()
            self.completed_jobs_have_completed_all_tasks()
        unfinished = [job_id for job_id, job in self.engine.jobs.items() if not job.ended]
        assert not unfinished, unfinished

    def _complete_all_runs(self):
        """Completes all running runs, except of gangs that do not run completely."""
        for worker in self.workers.values():
            for run_key in sorted(worker.running):
                if run_key in worker.running:
                    self._complete_run(worker.id, run_key)

    def _deliver_all_orders(self):
        """Delivers all start and stop orders, and the answers to them."""
        orders, self.orders = self.orders, []
        for order, epoch in orders:
            self._deliver_order(order, epoch, True)
        stops, self.stops = self.stops, []
        for stop, epoch in stops:
            self._deliver_stop(stop, epoch)

    def _deliver_order(self, order, epoch, answered):
        """Delivers a start order to its worker; unless ``answered``, the worker's answer is lost.

        ``epoch`` is that of the leader that gave the order; only the current leader gets an answer.
        """
        worker = self.workers[order.allocation.worker_id]
        run_key = (order.task_key, order.run)
        result = worker.start(run_key, epoch, order.allocation.incarnation)
        if epoch == self.epoch:
            self.engine.apply_start_result(
                order, result if answered else StartResult.UNKNOWN, self.now
            )

    def _deliver_stop(self, stop, epoch):
        """Delivers a stop order of the leader with ``epoch``; the worker ignores old leaders."""
        worker = self.workers[stop.worker_id]
        if epoch < worker.epoch:
            return
        worker.epoch = epoch
        run_key = (stop.task_key, stop.run)
        if run_key in worker.running:
            worker.end(run_key, EndCause.STOPPED)
            self._break_gang(run_key)
        worker.refused_runs.add(run_key)
        if epoch == self.epoch:
            self.engine.confirm_stop(stop, self.now)

    def _complete_run(self, worker_id, run_key):
        """Completes a run; the members of a gang complete together once all of them run."""
        spec = self._step_spec(run_key)
        if not spec.gang:
            self.workers[worker_id].end(run_key, EndCause.DONE)
            self.done_tasks.add(run_key[0])
            return
        members = self._running_members(run_key)
        if len(members) < spec.tasks:
            return
        for member_id, member in members:
            self.workers[member_id].end(member, EndCause.DONE)
            self.done_tasks.add(member[0])

    def _break_gang(self, run_key):
        """Ends the other members of a gang after one member has ended."""
        if self._step_spec(run_key).gang:
            for member_id, member in self._running_members(run_key):
                if member != run_key:
                    self.workers[member_id].end(member, EndCause.MEMBER_ENDED)

    def _running_members(self, run_key):
        """Returns (worker id, run key) of all running members of the run's gang."""
        job_id, occurrence, step_index, _ = run_key[0]
        return [
            (worker.id, member)
            for worker in self.workers.values()
            for member in sorted(worker.running)
            if member[0][:3] == (job_id, occurrence, step_index) and member[1] == run_key[1]
        ]

    def _step_spec(self, run_key):
        """Returns the ``StepSpec`` of the run's step."""
        return JobSpec.from_document(self.accepted_documents[run_key[0][0]]["spec"]).steps[
            run_key[0][2]
        ]

    def _accelerators_per_task(self, run_key):
        """Returns the number of accelerators that one task of the run's step uses."""
        return self._step_spec(run_key).resources.accelerators

    def _task_keys(self, job_id):
        """Returns the keys of all tasks of a job, which has one occurrence."""
        spec = JobSpec.from_document(self.accepted_documents[job_id]["spec"])
        return {
            (job_id, 0, step_index, index)
            for step_index, step_spec in enumerate(spec.steps)
            for index in range(step_spec.tasks)
        }
