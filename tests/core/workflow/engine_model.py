"""A model of workers, records and leaders around the ``Engine``, as a Hypothesis state machine."""

from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from ibiscart_core.workflow.engine import Engine
from ibiscart_core.workflow.job import EndCause, Job
from ibiscart_core.workflow.report import EndReport, RunReport, StartResult, WorkerStatus
from ibiscart_core.workflow.spec import JobSpec
from tests.core.workflow.world import World, step

__all__ = ["EngineModel"]

WORKERS = 3
ACCELERATORS = 4
MOST_JOBS = 6
# one in so many and one, so that runs get far between faults
SELDOM = 4
# rounds of planning and reporting within which all jobs must end once nothing fails
FINISH_ROUNDS = 60
SHAPES = (
    [step(1, 1)],
    [step(3, 2)],
    [step(2, 4, gang=True)],
    [step(3, 1, gang=True), step(2, 2, after=[0])],
    [step(2, 1), step(1, 4, after=[0])],
)


class Worker:
    """What a worker really does: its runs, the ends it still lists, and the runs it bars."""

    def __init__(self, worker_id):
        self.id = worker_id
        self.incarnation = 1
        self.epoch = 0
        self.running = set()
        self.barred = set()
        self.ends = []
        self.numbered = 0

    def start(self, key, epoch, incarnation):
        """Starts a run unless it is barred; returns the ``StartResult``."""
        if epoch < self.epoch:
            return StartResult.FENCED
        self.epoch = epoch
        if incarnation != self.incarnation:
            return StartResult.WRONG_INCARNATION
        if key in self.barred or any(
            end.task_key == key[0] and end.run == key[1] for end in self.ends
        ):
            return StartResult.SUPERSEDED
        self.running.add(key)
        return StartResult.STARTED

    def end(self, key, cause):
        self.running.discard(key)
        self.numbered += 1
        self.ends.append(EndReport(self.numbered, key[0], key[1], cause))
        self.barred.add(key)


class EngineModel(RuleBasedStateMachine):
    """Leaders change, orders come late or lose their answers, workers start again."""

    def __init__(self):
        super().__init__()
        self.world = World(workers=WORKERS, accelerators=ACCELERATORS, per_rack=WORKERS)
        self.catalog = self.world.engine.catalog
        self.infos = [worker.info for worker in self.world.engine.fleet.workers.values()]
        self.workers = {info.id: Worker(info.id) for info in self.infos}
        self.engine = self.world.engine
        self.epoch = 1
        self.now = 100.0
        self.accepted = {}
        self.records = {}
        self.done = set()
        self.orders = []
        self.stops = []
        self.applied = {}
        self.late_change = False

    @initialize(late_change=st.booleans())
    def begin(self, late_change):
        self.late_change = late_change

    # what callers and leaders do

    @precondition(lambda self: len(self.accepted) < MOST_JOBS)
    @rule(shape=st.sampled_from(range(len(SHAPES))), priority=st.integers(0, 2))
    def submit(self, shape, priority):
        job_id = f"job{len(self.accepted)}"
        queue = self.catalog.queues[f"q{priority}"]
        spec = JobSpec("x", SHAPES[shape])
        job = Job(job_id, "a", queue.name, spec, int(self.now * 1000), queue)
        self.accepted[job_id] = job.to_document()
        self.engine.add_job(Job.from_document(job_id, job.to_document()), self.now)

    @rule(seconds=st.sampled_from([0.01, 0.3, 3.0]), prompt=st.sampled_from([True, True, False]))
    def plan_and_send(self, seconds, prompt):
        self.plan(seconds)
        if prompt:
            self._deliver_all()

    def plan(self, seconds):
        self.now += seconds
        now_ms = int(self.now * 1000)
        self.engine.create_due_units(self.now, now_ms)
        orders, stops = self.engine.plan(self.now, now_ms)
        for job_id in self.engine.unsaved_job_ids:
            self.records[job_id] = self.engine.jobs[job_id].to_record()
        self.engine.unsaved_job_ids.clear()
        for worker_id, number in self.applied.items():
            worker = self.workers[worker_id]
            worker.ends = [end for end in worker.ends if end.sequence > number]
        self.orders += [(order, self.epoch) for order in orders]
        self.stops += [(stop, self.epoch) for stop in stops]

    @rule(configured=st.booleans(), chance=st.integers(0, SELDOM))
    def change_leader_at_times(self, configured, chance):
        if not chance:
            self.change_leader(configured)

    def change_leader(self, configured):
        self.epoch += 1
        self.applied = {}
        self.engine = Engine(self.catalog if configured else None)
        for info in self.infos:
            self.engine.fleet.add(info)
        for job_id, document in self.accepted.items():
            job = Job.from_document(job_id, document)
            if job_id in self.records:
                job.load_record(self.records[job_id])
            self.engine.add_job(job, self.now)

    @precondition(lambda self: self.engine.catalog is None)
    @rule()
    def read_configuration(self):
        self.engine.apply_catalog(self.catalog)

    # what happens to orders and on workers

    @precondition(lambda self: self.orders)
    @rule(data=st.data(), answered=st.booleans())
    def deliver_order(self, data, answered):
        order, epoch = self.orders.pop(data.draw(st.integers(0, len(self.orders) - 1)))
        self._deliver_order(order, epoch, answered)

    @precondition(lambda self: self.orders)
    @rule(data=st.data())
    def delay_order(self, data):
        """The leader gives up waiting; the order may still arrive."""
        order, epoch = data.draw(st.sampled_from(self.orders))
        if epoch == self.epoch:
            self.engine.apply_start_result(order, StartResult.UNKNOWN, self.now)

    @precondition(lambda self: self.stops)
    @rule(data=st.data())
    def deliver_stop(self, data):
        stop, epoch = self.stops.pop(data.draw(st.integers(0, len(self.stops) - 1)))
        self._deliver_stop(stop, epoch)

    @precondition(lambda self: any(worker.running for worker in self.workers.values()))
    @rule(data=st.data(), failed=st.sampled_from([False, False, True]))
    def finish(self, data, failed):
        runs = sorted((w.id, key) for w in self.workers.values() for key in w.running)
        worker_id, key = data.draw(st.sampled_from(runs))
        if failed:
            self.workers[worker_id].end(key, EndCause.FAILED)
            self._break_gang(key)
        else:
            self._complete(worker_id, key)

    @rule()
    def report_all(self):
        for worker_id in self.workers:
            self.report(worker_id)

    def report(self, worker_id):
        worker = self.workers[worker_id]
        if worker.epoch > self.epoch:
            return
        worker.epoch = self.epoch
        self.now += 0.01
        seen = self.engine.fleet.get(worker_id)
        if seen.info.incarnation != worker.incarnation:
            # as a session does: the numbers of ends start anew
            seen.info.incarnation = worker.incarnation
            self.applied.pop(worker_id, None)
        runs = [RunReport(*key) for key in sorted(worker.running)]
        answer = WorkerStatus(0, runs, worker.ends, worker.incarnation)
        self.engine.apply_worker_status(worker_id, answer, self.now, self.now)
        self.applied[worker_id] = worker.numbered

    @rule(number=st.integers(0, WORKERS - 1), chance=st.integers(0, SELDOM))
    def restart_worker(self, number, chance):
        if chance:
            return
        worker = self.workers[f"w{number}"]
        for key in sorted(worker.running):
            self._break_gang(key)
        worker.running.clear()
        worker.barred.clear()
        worker.ends.clear()
        worker.numbered = 0
        worker.incarnation += 1

    # promises

    @invariant()
    def no_task_runs_twice(self):
        tasks = [key[0] for worker in self.workers.values() for key in worker.running]
        assert len(tasks) == len(set(tasks)), sorted(tasks)

    @invariant()
    def no_finished_task_runs_again(self):
        recorded = {
            job_id
            for job_id, record in self.records.items()
            if record.get("outcome") == "completed"
        }
        tasks = [key[0] for worker in self.workers.values() for key in worker.running]
        assert not [task for task in tasks if task[0] in recorded]

    @invariant()
    def no_worker_holds_more_than_it_has(self):
        for worker in self.workers.values():
            used = sum(self._accelerators(key) for key in worker.running)
            assert used <= ACCELERATORS, (worker.id, sorted(worker.running))

    @invariant()
    def completed_jobs_have_done_all_tasks(self):
        for job_id, record in self.records.items():
            if record.get("outcome") == "completed":
                assert self._tasks(job_id) <= self.done, job_id

    def teardown(self):
        """Once nothing fails any more, every job ends.

        In half of the plays a last leader takes ends before it has read the configuration.
        """
        if self.late_change:
            self._complete_all()
            self.change_leader(False)
            self.report_all()
        if self.engine.catalog is None:
            self.read_configuration()
        for _ in range(FINISH_ROUNDS):
            self._complete_all()
            self.report_all()
            self.plan(0.3)
            self._deliver_all()
            self.no_task_runs_twice()
            self.no_worker_holds_more_than_it_has()
            self.completed_jobs_have_done_all_tasks()
        left = [job_id for job_id, job in self.engine.jobs.items() if not job.ended]
        assert not left, left

    def _complete_all(self):
        for worker in self.workers.values():
            for key in sorted(worker.running):
                if key in worker.running:
                    self._complete(worker.id, key)

    def _deliver_all(self):
        orders, self.orders = self.orders, []
        for order, epoch in orders:
            self._deliver_order(order, epoch, True)
        stops, self.stops = self.stops, []
        for stop, epoch in stops:
            self._deliver_stop(stop, epoch)

    def _deliver_order(self, order, epoch, answered):
        worker = self.workers[order.allocation.worker_id]
        key = (order.task_key, order.run)
        result = worker.start(key, epoch, order.allocation.incarnation)
        if epoch == self.epoch:
            self.engine.apply_start_result(
                order, result if answered else StartResult.UNKNOWN, self.now
            )

    def _deliver_stop(self, stop, epoch):
        worker = self.workers[stop.worker_id]
        if epoch < worker.epoch:
            return
        worker.epoch = epoch
        key = (stop.task_key, stop.run)
        if key in worker.running:
            worker.end(key, EndCause.STOPPED)
            self._break_gang(key)
        worker.barred.add(key)
        if epoch == self.epoch:
            self.engine.confirm_stop(stop, self.now)

    def _complete(self, worker_id, key):
        """Ends a run well; a gang ends together, and only once all its members are present."""
        spec = self._step(key)
        if not spec.gang:
            self.workers[worker_id].end(key, EndCause.DONE)
            self.done.add(key[0])
            return
        members = self._members(key)
        if len(members) < spec.tasks:
            return
        for member_id, member in members:
            self.workers[member_id].end(member, EndCause.DONE)
            self.done.add(member[0])

    def _break_gang(self, key):
        """Ends the other members of a gang after one of them."""
        if self._step(key).gang:
            for member_id, member in self._members(key):
                if member != key:
                    self.workers[member_id].end(member, EndCause.MEMBER_ENDED)

    def _members(self, key):
        job_id, occurrence, number, _ = key[0]
        return [
            (worker.id, other)
            for worker in self.workers.values()
            for other in sorted(worker.running)
            if other[0][:3] == (job_id, occurrence, number) and other[1] == key[1]
        ]

    def _step(self, key):
        return JobSpec.from_document(self.accepted[key[0][0]]["spec"]).steps[key[0][2]]

    def _accelerators(self, key):
        return self._step(key).resources.accelerators

    def _tasks(self, job_id):
        spec = JobSpec.from_document(self.accepted[job_id]["spec"])
        return {
            (job_id, 0, number, index)
            for number, part in enumerate(spec.steps)
            for index in range(part.tasks)
        }
