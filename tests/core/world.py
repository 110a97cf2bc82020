"""Test region with a scheduler and a committed copy of its ledger; builders of commands."""

from ibiscart_core.job import JobKey
from ibiscart_core.ledger import Ledger
from ibiscart_core.policies.adaptive import AdaptivePolicy
from ibiscart_core.scheduler import Scheduler
from ibiscart_schema.generated.journal_pb2 import (
    JOB_STATE_PLACED,
    JOB_STATE_RUNNING,
    JOB_STATE_STOPPING,
    MEMBER_COMPLETED,
    MEMBER_STOPPED,
    Record,
)
from ibiscart_schema.generated.peer_pb2 import Command
from ibiscart_schema.generated.types_pb2 import SCOPE_RACK

START_US = 1_700_000_000_000_000


def shape(members=1, accelerators=1, cpu_millis=1000, memory_mb=1000, scope=SCOPE_RACK):
    member = {
        "accelerators": accelerators,
        "cpu_millis": cpu_millis,
        "memory_mb": memory_mb,
    }
    return {"members": members, "member": member, "scope": scope}


def submit(account, request_id, job_shape, kind="default", seconds=3600.0, repeatable=True):
    return Command(
        submit_job={
            "spec": {
                "account": account,
                "request_id": request_id,
                "shape": job_shape,
                "kind": kind,
                "declared_seconds": seconds,
                "repeatable": repeatable,
                "body_sha256": request_id.encode(),
            }
        }
    )


def cancel(job):
    return Command(cancel_job={"job": job.key.to_message()})


def put_contract(account, version, guarantees=(), accelerators=64, cpu_millis=10**8, **fields):
    """Returns a command with a contract; ``guarantees`` is a list of (name, shape, count)."""
    items = [{"name": name, "shape": s, "count": count} for name, s, count in guarantees]
    fields.setdefault("queued_jobs", 10_000)
    fields.setdefault("weight", 1)
    contract = {
        "account": account,
        "guarantees": items,
        "burst_accelerators": accelerators,
        "burst_cpu_millis": cpu_millis,
        **fields,
    }
    return Command(put_contract={"contract": contract, "expected_version": version})


def register(racks, workers_per_rack, accelerators=8, data_centres=1, cpu_millis=128_000):
    infos = []
    for rack in range(racks):
        for index in range(workers_per_rack):
            name = f"w{rack:03}-{index:02}"
            infos.append(
                {
                    "id": name,
                    "address": f"{name}:80",
                    "data_centre": f"dc{rack % data_centres}",
                    "rack": f"r{rack:03}",
                    "capacity": {
                        "accelerators": accelerators,
                        "cpu_millis": cpu_millis,
                        "memory_mb": 256_000,
                    },
                }
            )
    return Command(register_workers={"workers": infos})


def report_worker(worker_id, state, cause="test"):
    return Command(report_worker={"worker_id": worker_id, "state": state, "cause": cause})


def held(job):
    return Command(report_held={"job": job.key.to_message(), "attempt": job.attempt})


def ended(job, rank, outcome=MEMBER_COMPLETED, saved_seconds=0.0, attempt=None):
    return Command(
        report_member={
            "ended": {
                "job": job.key.to_message(),
                "attempt": attempt or job.attempt,
                "rank": rank,
                "outcome": outcome,
                "saved_seconds": saved_seconds,
            }
        }
    )


class World:
    """Decides batches on a working ledger and applies their records to a committed one."""

    def __init__(self, policy=None, ledger=None, now_us=START_US):
        self.policy = policy or AdaptivePolicy()
        self.working = ledger or Ledger("alba")
        self.committed = Ledger.from_snapshot(self.working.snapshot())
        self.scheduler = Scheduler(self.working, self.policy)
        self.now_us = now_us
        self.events = []

    def send(self, *commands, seconds=1.0):
        """Decides one batch ``seconds`` after the last one; returns the replies."""
        self.now_us += int(seconds * 1e6)
        self.events, replies = self.scheduler.decide(commands, self.now_us)
        if self.events:
            sequence = self.working.sequence + 1
            record = Record(region="alba", sequence=sequence, time_us=self.now_us)
            record.events.extend(self.events)
            self.working.finish_record(sequence, self.now_us)
            self.committed.apply(Record.FromString(record.SerializeToString()))
        return replies

    def job(self, account, request_id):
        return self.working.jobs.get(JobKey(account, request_id))

    def events_of(self, kind):
        """Returns the events of the last batch of a kind such as ``job_placed``."""
        return [getattr(e, kind) for e in self.events if e.WhichOneof("kind") == kind]

    def start_and_stop(self, seconds=0.1):
        """Ends all stopping members, then starts each placed gang that fits on its workers."""
        commands = []
        for job in self.working.active.values():
            if job.state == JOB_STATE_STOPPING:
                commands += [ended(job, rank, MEMBER_STOPPED) for rank in job.open_members]
        self.send(*commands, seconds=seconds)
        self.send(*[held(job) for job in self.startable()], seconds=0)

    def startable(self):
        """Returns the placed jobs whose workers are not overcommitted."""
        return [
            job
            for job in self.working.active.values()
            if job.state == JOB_STATE_PLACED and self._fits(job)
        ]

    def finish(self, job, seconds=0.1):
        """Reports all open members of a running job as completed."""
        assert job.state == JOB_STATE_RUNNING, job.state
        self.send(*[ended(job, rank) for rank in job.open_members], seconds=seconds)

    def _fits(self, job):
        workers = [self.working.workers[m.worker_id] for m in job.members]
        return all(
            min(w.free.accelerators, w.free.cpu_millis, w.free.memory_mb) >= 0 for w in workers
        )
