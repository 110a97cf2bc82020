"""A fleet, a catalog and jobs for tests of the workflow package, in virtual time."""

from ibiscart_core.resource import Resources
from ibiscart_core.workflow.catalog import AccountEntry, Catalog, PoolEntry, QueueEntry
from ibiscart_core.workflow.engine import Engine
from ibiscart_core.workflow.fleet import WorkerInfo
from ibiscart_core.workflow.job import EndCause, Job
from ibiscart_core.workflow.report import EndReport, RunReport, StartResult, WorkerStatus
from ibiscart_core.workflow.spec import JobSpec, StepSpec

__all__ = ["World", "step"]

POOL = "pool"


def step(tasks=1, accelerators=1, **options):
    options.setdefault("estimate_ms", 1000)
    return StepSpec(tasks, Resources(accelerators, 1000, 1000), **options)


class World:
    """An ``Engine`` with workers that carry out orders at once by default."""

    def __init__(self, workers=4, accelerators=8, per_rack=2, guaranteed=0):
        queues = [
            QueueEntry(
                f"q{priority}",
                "host",
                f"/q{priority}/",
                POOL,
                priority=priority,
                max_attempts=2,
                stretch=2.0,
                target_latency_ms=1000,
            )
            for priority in range(3)
        ]
        accounts = [AccountEntry("a", ["key"], guaranteed), AccountEntry("b", ["other"])]
        catalog = Catalog(1, queues, [PoolEntry(POOL, False)], accounts)
        self.notes = []
        self.engine = Engine(catalog, lambda event, **fields: self.notes.append((event, fields)))
        self.now = 100.0
        self.running = {}
        self.ends = {}
        self.stops = []
        for number in range(workers):
            info = WorkerInfo(
                f"w{number}",
                f"10.0.0.{number}:80",
                1,
                Resources(accelerators, 64000, 64000),
                pool=POOL,
                labels=("a", f"r{number // per_rack}"),
                rack=f"r{number // per_rack}",
            )
            worker = self.engine.fleet.add(info)
            worker.reachable = True
            self.running[worker.id] = {}
            self.ends[worker.id] = []

    @property
    def now_ms(self):
        return int(self.now * 1000)

    def submit(self, job_id, *steps, priority=1, account="a", **options):
        job = Job(job_id, account, f"q{priority}", JobSpec("x", steps, **options), self.now_ms)
        self.engine.add_job(job)
        return job

    def plan(self, seconds=0.0):
        """Advances the clock and plans; returns (orders, stops) without carrying them out."""
        self.now += seconds
        self.engine.create_due_units(self.now, self.now_ms)
        orders, stops = self.engine.plan(self.now, self.now_ms)
        self.stops.extend(stops)
        return orders, stops

    def play(self, seconds=0.0):
        """Plans and carries out all orders and stops; returns the orders."""
        orders, stops = self.plan(seconds)
        for order in orders:
            self.start(order)
        for stop in stops:
            self.carry_out(stop)
        return orders

    def start(self, order, result=StartResult.STARTED):
        if result is StartResult.STARTED:
            self.running[order.allocation.worker_id][(order.task_key, order.run)] = True
        self.engine.apply_start_result(order, result, self.now)

    def carry_out(self, stop):
        self.engine.confirm_stop(stop, self.now)
        if self.running[stop.worker_id].get((stop.task_key, stop.run)):
            self.end(stop.worker_id, stop.task_key, stop.run, EndCause.STOPPED)

    def end(self, worker_id, task_key, run, cause=EndCause.DONE):
        self.running[worker_id].pop((task_key, run))
        ends = self.ends[worker_id]
        ends.append(EndReport(len(ends) + 1, task_key, run, cause))

    def end_unit(self, unit, cause=EndCause.DONE):
        for index, allocation in list(unit.allocations.items()):
            self.end(allocation.worker_id, unit.task_key(index), unit.run, cause)
        self.report()

    def report(self, *worker_ids, incarnation=1):
        """Gives the engine the lists of the named workers, by default of all."""
        self.now += 0.01
        for worker_id in worker_ids or list(self.running):
            runs = [RunReport(key, run) for key, run in self.running[worker_id]]
            answer = WorkerStatus(0, runs, self.ends[worker_id], incarnation)
            self.engine.apply_worker_status(worker_id, answer, self.now, self.now)
