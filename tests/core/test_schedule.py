"""Checks scheduling decisions on random command sequences.

Guards against broken guarantees and against copies of a ledger that differ.
"""

import random
import unittest

from ibiscart_core.ledger import Ledger
from ibiscart_schema.generated.journal_pb2 import (
    JOB_STATE_PLACED,
    JOB_STATE_RUNNING,
    JOB_STATE_STOPPING,
    MEMBER_COMPLETED,
    MEMBER_FAILED,
    MEMBER_LAPSED,
    MEMBER_STOPPED,
)
from ibiscart_schema.generated.peer_pb2 import Command
from ibiscart_schema.generated.types_pb2 import (
    SCOPE_DATA_CENTRE,
    SCOPE_RACK,
    SCOPE_REGION,
    SCOPE_WORKER,
    TARGET_LEAVING,
    TARGET_LIVE,
    TARGET_LOST,
)
from tests.core.invariant import violations
from tests.core.world import (
    World,
    cancel,
    ended,
    held,
    put_contract,
    register,
    report_worker,
    shape,
    submit,
)

SEEDS = 12
BATCHES = 120
# batches after which the replica is restored from a snapshot again
RESTORE_BATCHES = 10
BAD_WORKER = "w000-00"
ACCOUNTS = ("perth", "dundee", "leith", "howrah")
SCOPES = (SCOPE_WORKER, SCOPE_RACK, SCOPE_RACK, SCOPE_DATA_CENTRE, SCOPE_REGION)
SHAPES = (
    (1, 0, 4000),
    (1, 1, 2000),
    (1, 1, 16_000),
    (1, 4, 8000),
    (2, 4, 16_000),
    (1, 8, 64_000),
    (8, 1, 4000),
    (2, 8, 32_000),
    (3, 8, 8000),
)


class Schedule:
    """Sends random commands to a world, reproducible by seed."""

    def __init__(self, seed):
        self.random = random.Random(seed)
        self.world = World()
        self.next_id = 0
        self.world.send(register(3, 3, data_centres=2))
        for account in ACCOUNTS:
            self.world.send(self.contract(account))

    def step(self):
        command_makers = (
            [self.submission] * 6
            + [self.cancellation]
            + [self.worker_change] * 2
            + [self.contract_change]
            + [self.failure] * 2
            + [self.completion] * 3
            + [self.stops] * 4
            + [self.starts] * 4
        )
        commands = []
        for _ in range(self.random.randint(1, 5)):
            commands += self.random.choice(command_makers)()
        seconds = self.random.choice((0.02, 0.1, 1, 5, 60, 400))
        self.world.send(*commands, seconds=seconds)
        return commands, seconds

    def shape(self):
        members, accelerators, cpu_millis = self.random.choice(SHAPES)
        return shape(members, accelerators, cpu_millis, scope=self.random.choice(SCOPES))

    def contract(self, account):
        ledger = self.world.working
        version = ledger.accounts[account].version if account in ledger.accounts else 0
        guarantees = [
            (f"g{index}", self.shape(), self.random.randint(1, 2))
            for index in range(self.random.randint(0, 3))
        ]
        return put_contract(
            account,
            version,
            guarantees,
            accelerators=self.random.choice((8, 24, 72)),
            cpu_millis=self.random.choice((100_000, 10**8)),
            queued_jobs=20,
            weight=self.random.randint(1, 3),
        )

    def submission(self):
        self.next_id += 1
        return [
            submit(
                self.random.choice(ACCOUNTS),
                f"job-{self.next_id}",
                self.shape(),
                kind=self.random.choice(("a", "b")),
                seconds=self.random.choice((5, 100, 5000)),
                repeatable=self.random.random() < 0.7,
            )
        ]

    def contract_change(self):
        return [self.contract(self.random.choice(ACCOUNTS))]

    def worker_change(self):
        worker_id = self.random.choice(list(self.world.working.workers))
        states = (TARGET_LIVE, TARGET_LIVE, TARGET_LEAVING, TARGET_LOST)
        return [report_worker(worker_id, self.random.choice(states))]

    def cancellation(self):
        live = [j for j in self.world.working.jobs.values() if not j.ended]
        return [cancel(job) for job in self.random.sample(live, min(len(live), 2))]

    def failure(self):
        # every task fails on the bad worker, so that it is quarantined from time to time
        jobs = self.random_jobs(JOB_STATE_PLACED, JOB_STATE_RUNNING)
        commands = [
            ended(job, rank, MEMBER_FAILED)
            for job in jobs
            for rank in job.open_members
            if job.members[rank].worker_id == BAD_WORKER
        ]
        commands += [ended(job, job.open_members[0], MEMBER_FAILED) for job in jobs[:1]]
        return commands

    def completion(self):
        return [
            ended(job, rank, MEMBER_COMPLETED, saved_seconds=1.0)
            for job in self.random_jobs(JOB_STATE_RUNNING)[:2]
            for rank in job.open_members
        ]

    def stops(self):
        outcomes = (MEMBER_STOPPED, MEMBER_STOPPED, MEMBER_LAPSED, MEMBER_COMPLETED)
        return [
            ended(job, rank, self.random.choice(outcomes))
            for job in self.random_jobs(JOB_STATE_STOPPING)
            for rank in job.open_members
        ]

    def starts(self):
        return [held(job) for job in self.world.startable()]

    def random_jobs(self, *states):
        jobs = [j for j in self.world.working.active.values() if j.state in states]
        self.random.shuffle(jobs)
        return jobs


class ScheduleTest(unittest.TestCase):
    def test_invariants_hold_after_every_batch(self):
        """Guards P1, claims in the same pass, capacities, burst limits and whole gangs."""
        for seed in range(SEEDS):
            schedule = Schedule(seed)
            for batch in range(BATCHES):
                schedule.step()
                world = schedule.world
                found = violations(world.working, world.now_us)
                self.assertEqual(found, [], f"seed {seed}, batch {batch}")

    def test_no_job_is_placed_on_an_unavailable_worker(self):
        """Guards P6 and the quarantine.

        Fails if new work is placed on a leaving, lost or quarantined worker, or next to another
        job on a worker on probation.
        """
        for seed in range(SEEDS):
            schedule = Schedule(seed)
            for batch in range(BATCHES):
                schedule.step()
                ledger = schedule.world.working
                for placed in schedule.world.events_of("job_placed"):
                    for worker_id in placed.workers:
                        worker = ledger.workers[worker_id]
                        where = f"seed {seed}, batch {batch}, {worker_id}"
                        self.assertTrue(worker.live, where)
                        if worker.quarantines:
                            self.assertEqual(len({m[0] for m in worker.members}), 1, where)

    def test_committed_ledger_does_not_differ_from_the_working_ledger(self):
        """Replicas diverge if a decision changes state that its events do not contain."""
        for seed in range(SEEDS):
            schedule = Schedule(seed)
            for batch in range(BATCHES):
                schedule.step()
                world = schedule.world
                self.assertEqual(
                    world.committed.snapshot(),
                    world.working.snapshot(),
                    f"seed {seed}, batch {batch}",
                )

    def test_ledger_from_a_snapshot_does_not_decide_differently(self):
        """An entry that starts from a snapshot must decide as the entry that it replaces."""
        for seed in range(SEEDS):
            schedule = Schedule(seed)
            replica = None
            for batch in range(BATCHES):
                if batch % RESTORE_BATCHES == 0:
                    ledger = Ledger.from_snapshot(schedule.world.working.snapshot())
                    replica = World(ledger=ledger, now_us=schedule.world.now_us)
                commands, seconds = schedule.step()
                replica.send(*[_copy(c) for c in commands], seconds=seconds)
                self.assertEqual(
                    replica.events, schedule.world.events, f"seed {seed}, batch {batch}"
                )


def _copy(command):
    return Command.FromString(command.SerializeToString())


if __name__ == "__main__":
    unittest.main()
