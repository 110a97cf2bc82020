"""Tests that faulty workers are quarantined, and that faulty jobs quarantine no worker."""

import unittest

from ibiscart_schema.generated.journal_pb2 import JOB_STATE_ENDED, MEMBER_FAILED
from ibiscart_schema.generated.types_pb2 import SCOPE_WORKER, TARGET_LIVE, TARGET_QUARANTINED
from tests.core.invariant import violations
from tests.core.world import World, ended, put_contract, register, report_worker, shape, submit

WHOLE_WORKER = shape(1, 8, scope=SCOPE_WORKER)


class QuarantineTest(unittest.TestCase):
    def setUp(self):
        self.world = World()
        self.world.send(register(1, 3))
        for account in ("perth", "leith"):
            self.world.send(put_contract(account, 0))
        self.next_id = 0

    def submit(self, account, count=1, job_shape=WHOLE_WORKER):
        job_ids = []
        for _ in range(count):
            self.next_id += 1
            job_ids.append(f"job-{self.next_id}")
        self.world.send(*[submit(account, job_id, job_shape) for job_id in job_ids], seconds=0.1)
        self.world.start_and_stop(seconds=0)
        return [self.world.job(account, job_id) for job_id in job_ids]

    def jobs_on(self, worker_id):
        worker = self.world.working.workers[worker_id]
        return [self.world.working.jobs[member[0]] for member in sorted(worker.members, key=str)]

    def fail_member(self, job, rank=0):
        self.world.send(ended(job, rank, MEMBER_FAILED), seconds=0.1)

    def quarantine_worker(self):
        """Fails three jobs of two accounts on one worker and returns this worker."""
        jobs = self.submit("perth", 1, shape(1, 1)) + self.submit("leith", 2, shape(1, 1))
        worker = self.world.working.workers["w000-00"]
        self.assertEqual({j.members[0].worker_id for j in jobs}, {worker.id})
        for job in jobs:
            self.assertEqual(worker.state, TARGET_LIVE)
            self.fail_member(job)
        self.assertEqual(worker.state, TARGET_QUARANTINED)
        return worker

    def test_a_worker_on_which_every_job_fails_is_quarantined(self):
        """A worker that fails every task at once is always free and would get all work."""
        worker = self.quarantine_worker()
        self.submit("leith", 4, shape(1, 0))
        for placed in self.world.events_of("job_placed"):
            self.assertNotIn(worker.id, placed.workers)
        self.world.send(report_worker(worker.id, TARGET_LIVE))
        self.assertEqual(
            worker.state, TARGET_QUARANTINED, "a report of a live worker ends no quarantine"
        )

    def test_quarantined_workers_get_one_trial_job_after_1_2_4_minutes(self):
        """A faulty worker with its full load after a quarantine would fail many jobs at once."""
        worker = self.quarantine_worker()
        for minutes in (1, 2, 4, 8, 16, 30, 30):
            self.submit("leith", 20, shape(1, 2, scope=SCOPE_WORKER))
            self.world.send(seconds=minutes * 60 - 1)
            self.assertEqual(worker.state, TARGET_QUARANTINED, minutes)
            self.world.send(seconds=1)
            self.assertEqual(worker.state, TARGET_LIVE, minutes)
            self.world.start_and_stop(seconds=0)
            self.assertEqual(len(worker.members), 1, minutes)
            self.fail_member(self.jobs_on(worker.id)[0])
            self.assertEqual(worker.state, TARGET_QUARANTINED, minutes)

    def test_one_completed_job_ends_the_probation(self):
        """A repaired worker must get its full load again."""
        worker = self.quarantine_worker()
        self.submit("leith", 30, shape(1, 2, scope=SCOPE_WORKER))
        self.world.send(seconds=61)
        self.world.start_and_stop(seconds=0)
        self.world.finish(self.jobs_on(worker.id)[0])
        self.assertEqual(worker.quarantines, 0)
        self.submit("leith", 4, shape(1, 2, scope=SCOPE_WORKER))
        self.assertGreater(len(self.jobs_on(worker.id)), 1)

    def test_failures_of_one_kind_of_job_quarantine_no_worker(self):
        """A broken release of one account must not remove workers from service for all accounts."""
        worker = self.world.working.workers["w000-00"]
        for _ in range(4):
            self.submit("perth", 1, shape(1, 1))
            self.fail_member(self.jobs_on(worker.id)[-1])
        self.assertEqual(worker.state, TARGET_LIVE)

    def test_a_job_that_fails_on_two_workers_quarantines_no_further_worker(self):
        """A faulty job that is retried on every worker must not quarantine all of them in turn."""
        jobs = self.submit("perth", 1, shape(1, 1)) + self.submit("leith", 2, shape(1, 1))
        for _ in range(3):
            for job in jobs:
                if job.state != JOB_STATE_ENDED:
                    self.fail_member(job)
            self.world.send(seconds=100)
            self.world.start_and_stop(seconds=0)
        self.assertEqual([job.state for job in jobs], [JOB_STATE_ENDED] * 3)
        # the first failures alone cannot be distinguished from those of a faulty worker
        quarantine_counts = [w.quarantines for w in self.world.working.workers.values()]
        self.assertEqual(quarantine_counts, [1, 0, 0])

    def test_a_failed_job_is_retried_on_another_worker(self):
        """A retry on the same worker would fail for the same reason."""
        job = self.submit("perth", 1, shape(1, 1))[0]
        first_worker_id = job.members[0].worker_id
        self.fail_member(job)
        self.world.send(seconds=5)
        self.assertNotEqual(job.members[0].worker_id, first_worker_id)

    def test_a_reservation_moves_off_a_quarantined_worker(self):
        """A job within its guarantee must not wait for a faulty worker while others are free."""
        worker = self.quarantine_worker()
        self.world.send(put_contract("perth", 1, [("a", WHOLE_WORKER, 1)]))
        reservation = next(iter(self.world.working.reservations.values()))
        self.assertNotIn(worker.id, reservation.workers)
        self.world.send(seconds=61)
        self.assertTrue(worker.live)
        self.world.send(put_contract("leith", 1, [("b", WHOLE_WORKER, 1)]))
        for reservation in self.world.working.reservations.values():
            self.assertNotIn(worker.id, reservation.workers)
        self.assertEqual(violations(self.world.working, self.world.now_us), [])


if __name__ == "__main__":
    unittest.main()
