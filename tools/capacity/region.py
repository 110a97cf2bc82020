"""A region of a given size, built by events so that its numbers are exact."""

import random

from ibiscart_core.ledger import Ledger
from ibiscart_core.policy import Batch
from ibiscart_schema.generated.journal_pb2 import JOB_COMPLETED, MEMBER_COMPLETED
from ibiscart_schema.generated.types_pb2 import (
    RAN_YES,
    SCOPE_DATA_CENTRE,
    SCOPE_RACK,
    SCOPE_REGION,
    SCOPE_WORKER,
)
from tests.core.world import START_US, World, put_contract, shape, submit

__all__ = ["Region", "Size", "worker_infos"]

ACCELERATORS = 1800
ACCELERATORS_PER_WORKER = 8
WORKERS_PER_RACK = 8
CENTRES = 7
# jobs that ended within a day are kept in the ledger
ENDED_JOBS = 690
GANG_MEMBERS = 16
TASK_CPU_MILLIS = 2000
TASK_MEMORY_MB = 2000
# queued gangs need a worker almost for themselves, so that they stay queued
QUEUED_CPU_MILLIS = 127_000
KINDS = ("train", "render", "report", "label")


class Size:
    """Numbers of a region; the defaults are those expected within two years."""

    FIELDS = ("workers", "tasks", "accounts", "queued")

    def __init__(self, workers=850, tasks=10_000, accounts=280, queued=100):
        self.workers = workers
        self.tasks = tasks
        self.accounts = accounts
        self.queued = queued

    def as_tuple(self):
        """Returns the numbers in the order of ``FIELDS``."""
        return tuple(getattr(self, name) for name in self.FIELDS)


def worker_infos(addresses):
    """Returns ``WorkerInfo`` fields; the accelerators are spread over whole racks."""
    with_accelerators = min(len(addresses), ACCELERATORS // ACCELERATORS_PER_WORKER)
    infos = []
    for index, address in enumerate(addresses):
        rack = index // WORKERS_PER_RACK
        infos.append(
            {
                "id": f"w{index:04}",
                "address": address,
                "data_centre": f"dc{rack % CENTRES}",
                "rack": f"r{rack:03}",
                "capacity": {
                    "accelerators": ACCELERATORS_PER_WORKER if index < with_accelerators else 0,
                    "cpu_millis": 128_000,
                    "memory_mb": 256_000,
                },
            }
        )
    return infos


class Region:
    """A ledger of one ``Size``, and the ``World`` that decides on it."""

    def __init__(
        self, size, *, name="alba", addresses=None, ended=ENDED_JOBS, now_us=START_US, seed=1
    ):
        self.size = size
        self.random = random.Random(seed)
        self.accounts = [f"team-{index:03}" for index in range(size.accounts)]
        self.ledger = Ledger(name)
        self._next_id = 0
        self._next_worker = 0
        self._now_us = now_us
        self._batch = Batch(self.ledger, now_us)
        for info in worker_infos(addresses or ["127.0.0.1:1"] * size.workers):
            self._batch.emit(worker_registered={"worker": info})
        self._workers = list(self.ledger.workers.values())
        self.world = None
        for account in self.accounts:
            contract = self.contract(account, 0).put_contract.contract
            contract.version = 1
            self._batch.emit(contract_changed={"contract": contract})
        for _ in range(ended):
            self._end(self._place(self._submit()))
        while size.tasks > sum(len(job.members) for job in self.ledger.active.values()):
            left = size.tasks - sum(len(job.members) for job in self.ledger.active.values())
            self._place(self._submit(min(GANG_MEMBERS, left)))
        for _ in range(size.queued):
            self._submit(cpu_millis=QUEUED_CPU_MILLIS)
        self.ledger.finish_record(1, self._now_us)
        self._batch.events.clear()

    def decide(self):
        """Builds the ``World`` and packs the guarantees of all accounts once."""
        self.world = World(ledger=self.ledger, now_us=self._now_us)
        return self.world

    def contract(self, account, version, weight=1):
        """Returns the command that changes a contract; the guarantees depend on the name only."""
        rng = random.Random(account)
        guarantees = [
            ("a", shape(1, 2, 16_000, scope=SCOPE_WORKER), rng.randint(0, 2)),
            ("b", shape(1, 0, 8000, scope=SCOPE_REGION), rng.randint(0, 3)),
            ("c", shape(2, 4, 16_000, scope=SCOPE_RACK), int(rng.random() < 0.15)),
            ("d", shape(4, 8, 16_000, scope=SCOPE_RACK), int(rng.random() < 0.03)),
        ]
        kept = [guarantee for guarantee in guarantees if guarantee[2]]
        return put_contract(account, version, kept, accelerators=256, weight=weight)

    def submission(self, members=GANG_MEMBERS, cpu_millis=TASK_CPU_MILLIS):
        """Returns the command that submits a gang."""
        self._next_id += 1
        return submit(
            self.random.choice(self.accounts),
            f"job-{self._next_id}",
            shape(members, 0, cpu_millis, TASK_MEMORY_MB, SCOPE_DATA_CENTRE),
            kind=self.random.choice(KINDS),
            seconds=self.random.choice((3600, 14_400, 36_000)),
        )

    def running(self):
        """Returns a running job."""
        return self.random.choice([job for job in self.ledger.active.values() if job.released])

    def _submit(self, members=GANG_MEMBERS, cpu_millis=TASK_CPU_MILLIS):
        self._now_us += 1000
        spec = self.submission(members, cpu_millis).submit_job.spec
        self._batch.emit(job_submitted={"spec": spec})
        return self.ledger.jobs[next(reversed(self.ledger.jobs))]

    def _place(self, job):
        key = job.key.to_message()
        workers = []
        for _ in range(job.shape.members):
            workers.append(self._workers[self._next_worker % len(self._workers)].id)
            self._next_worker += 1
        placed = {"job": key, "attempt": job.attempt, "workers": workers, "reason": "burst"}
        self._batch.emit(job_placed=placed)
        self._batch.emit(job_released={"job": key, "attempt": job.attempt})
        return job

    def _end(self, job):
        key = job.key.to_message()
        for rank in range(len(job.members)):
            self._batch.emit(
                member_ended={
                    "job": key,
                    "attempt": job.attempt,
                    "rank": rank,
                    "outcome": MEMBER_COMPLETED,
                }
            )
        self._batch.emit(job_ended={"job": key, "outcome": JOB_COMPLETED, "ran": RAN_YES})
