"""An unexpected error in one job, or in one term of a leader, stops nothing else."""

import unittest
from unittest import mock

import trio

from ibiscart_core.workflow.engine import Engine
from ibiscart_core.workflow.job import Job
from ibiscart_core.workflow.ordering import JobRanking
from ibiscart_core.workflow.unit import Unit
from ibiscart_entry.coordination import job_feed
from ibiscart_entry.coordination.coordinator import Coordinator
from ibiscart_entry.coordination.leadership import Leadership
from tests.platform.deployment import (
    JOB_ID,
    OTHER_JOB_ID,
    QUEUE_PATH,
    Deployment,
    job,
    run_virtual,
    step,
)

DAMAGED_RECORDS = (
    b"\xff",
    b"[]",
    b'{"units":{"0.0":[[7,0,1,0,"",[]]]}}',
    b'{"units":{"0.9":[]}}',
    b'{"units":{"0.0":[[0,0,1,0,"",[[0,["w0"],1]]]]}}',
    b'{"units":{},"outcome":"odd"}',
)


def failing_for(job_id, function, position=1):
    """Returns ``function`` as one that raises ``OverflowError`` for one job.

    Its argument at ``position`` is a job or unit.
    """

    def call(*args, **options):
        subject = args[position]
        if getattr(subject, "job", subject).id == job_id:
            raise OverflowError("odd value")
        return function(*args, **options)

    return call


def task_errors(deployment, kind):
    """Returns the number of errors of tasks of a kind over all entries."""
    return sum(e.metrics.value("task_errors", kind) for e in deployment.entries.values())


class JobErrorTest(unittest.TestCase):
    def check_other_jobs(self, target, name, position=1):
        """Checks that an error of ``target.name`` for one job stops no other job.

        Returns the last state of the job.
        """

        async def main():
            async with Deployment() as deployment:
                leader = deployment.leader()
                replacement = failing_for(JOB_ID, getattr(target, name), position)
                with mock.patch.object(target, name, replacement):
                    await deployment.submit(JOB_ID, job(step(2), ms=500))
                    await deployment.submit(OTHER_JOB_ID, job(step(2), ms=500))
                    await deployment.wait_for_state(OTHER_JOB_ID, "completed", 6)
                    await trio.sleep(10)
                    self.assertIs(leader, deployment.leader())
                    errors = task_errors(deployment, "job")
                    self.assertGreaterEqual(errors, 1)
                    # there are at least 40 passes in this time
                    self.assertLess(errors, 10)
                    self.assertEqual(0, task_errors(deployment, "worker"))
                    return await deployment.state(JOB_ID)

        with self.assertLogs("ibiscart.isolation", "ERROR") as logs:
            state = run_virtual(main)
        self.assertEqual({JOB_ID}, {record.task_name for record in logs.records})
        return state

    def test_job_that_cannot_be_ranked(self):
        self.assertEqual("queued", self.check_other_jobs(JobRanking, "rank"))

    def test_job_that_cannot_be_added(self):
        self.assertEqual("queued", self.check_other_jobs(JobRanking, "record_job"))

    def test_job_whose_units_cannot_be_created(self):
        self.check_other_jobs(Job, "create_due_units", 0)

    def test_unit_that_cannot_be_placed(self):
        self.check_other_jobs(JobRanking, "expected_run_seconds")

    def test_unit_that_cannot_start(self):
        self.check_other_jobs(Unit, "begin_run", 0)

    def test_job_whose_start_cannot_be_confirmed(self):
        self.check_other_jobs(Engine, "_confirm_start")

    def test_job_whose_ends_cannot_be_applied(self):
        self.check_other_jobs(Engine, "_end_run", 2)

    def test_end_that_cannot_be_applied_is_not_acknowledged_before_it_is_recorded(self):
        """Guards against a task that runs again because an error lost the report of its end."""

        async def main():
            async with Deployment(workers=1) as deployment:
                replacement = failing_for(JOB_ID, Engine._end_run, 2)
                with mock.patch.object(Engine, "_end_run", replacement):
                    await deployment.submit(JOB_ID, job(step(2), ms=500))
                    await deployment.wait_until(lambda: task_errors(deployment, "job"))
                    for number in range(20):
                        job_id = f"{number % 16:x}{number:015x}"
                        await deployment.submit(job_id, job(step(2), ms=500))
                        await deployment.wait_for_state(job_id, "completed", 3)
                    self.assertEqual("running", await deployment.state(JOB_ID))
                await deployment.wait_for_state(JOB_ID, "completed", 70)
                self.assertEqual({1}, set(deployment.fleet.starts.values()))
                self.assertEqual([], deployment.fleet.violations)

        run_virtual(main)

    def test_worker_with_more_ends_than_it_lists_is_given_up_while_none_can_be_applied(self):
        async def main():
            async with Deployment(workers=2) as deployment:
                replacement = failing_for(JOB_ID, Engine._end_run, 2)
                small = step(600, 0, cpu=10, memMb=1)
                with mock.patch.object(Engine, "_end_run", replacement):
                    await deployment.submit(JOB_ID, job(small, ms=500))
                    await deployment.wait_until(lambda: task_errors(deployment, "worker"), 20)
                    await deployment.submit(OTHER_JOB_ID, job(step(2), ms=500))
                    await deployment.wait_for_state(OTHER_JOB_ID, "completed", 10)

        run_virtual(main)

    def test_job_whose_record_cannot_be_built(self):
        self.assertEqual("queued", self.check_other_jobs(job_feed, "progress_writes", 0))

    def test_job_whose_acceptance_cannot_be_logged(self):
        self.check_other_jobs(job_feed.JobFeed, "_log_accepted")

    def test_job_that_could_not_be_planned_for_a_time_runs_later(self):
        async def main():
            async with Deployment() as deployment:
                replacement = failing_for(JOB_ID, JobRanking.rank)
                with mock.patch.object(JobRanking, "rank", replacement):
                    await deployment.submit(JOB_ID, job(step(2), ms=500))
                    await deployment.wait_until(lambda: task_errors(deployment, "job"))
                await deployment.wait_for_state(JOB_ID, "completed", 10)

        run_virtual(main)

    def test_runs_of_a_job_that_cannot_be_planned_end_as_usual(self):
        async def main():
            async with Deployment() as deployment:
                await deployment.submit(JOB_ID, job(step(2), ms=3000))
                await deployment.wait_for_state(JOB_ID, "running")
                replacement = failing_for(JOB_ID, JobRanking.rank)
                with mock.patch.object(JobRanking, "rank", replacement):
                    await deployment.wait_for_state(JOB_ID, "completed", 6)
                self.assertEqual([1] * 2, list(deployment.fleet.starts.values()))

        run_virtual(main)

    def test_job_that_cannot_be_planned_can_be_cancelled(self):
        async def main():
            async with Deployment() as deployment:
                replacement = failing_for(JOB_ID, JobRanking.rank)
                with mock.patch.object(JobRanking, "rank", replacement):
                    await deployment.submit(JOB_ID, job(step(2), ms=500))
                    await deployment.wait_until(lambda: task_errors(deployment, "job"))
                    status, _ = await deployment.first_entry().call("DELETE", QUEUE_PATH + JOB_ID)
                    self.assertEqual(200, status)
                await trio.sleep(10)
                self.assertEqual("cancelled", await deployment.state(JOB_ID))
                self.assertFalse(deployment.fleet.starts)

        run_virtual(main)

    def test_job_with_a_damaged_record_is_not_run_again(self):
        for record in DAMAGED_RECORDS:
            with self.subTest(record=record):
                self.check_damaged_record(record)

    def check_damaged_record(self, record):
        async def main():
            async with Deployment() as deployment:
                await deployment.submit(JOB_ID, job(step(1), ms=500))
                await deployment.wait_for_state(JOB_ID, "completed")
                deployment.store.put("progress", JOB_ID, record)
                deployment.kill_entry(deployment.leader().name)
                await deployment.wait_until(lambda: deployment.leader() is not None)
                # a change of its row makes the leader read the job again
                row = deployment.store.rows[("jobs", "0", JOB_ID)]
                deployment.store._apply(
                    {"puts": [{"table": "jobs", "part": "0", "key": JOB_ID, "value": row[0]}]}
                )
                await deployment.submit(OTHER_JOB_ID, job(step(2), ms=500))
                await deployment.wait_for_state(OTHER_JOB_ID, "completed", 5)
                await trio.sleep(5)
                self.assertEqual(1, deployment.fleet.starts[f"{JOB_ID}.0.0.0"])
                self.assertEqual(1, task_errors(deployment, "job"))

        run_virtual(main)

    def test_removal_of_a_job_that_fails_stops_no_other_removal(self):
        async def main():
            async with Deployment() as deployment:
                for job_id in (JOB_ID, OTHER_JOB_ID):
                    await deployment.submit(job_id, job(step(1), ms=500))
                    await deployment.wait_for_state(job_id, "completed")
                original = Engine.remove_job

                def remove_job(engine, job_id):
                    if job_id == JOB_ID:
                        raise OverflowError("odd value")
                    original(engine, job_id)

                with mock.patch.object(Engine, "remove_job", remove_job):
                    await deployment.wait_until(
                        lambda: ("progress", "", OTHER_JOB_ID) not in deployment.store.rows, 140
                    )
                    await trio.sleep(30)
                self.assertEqual(1, task_errors(deployment, "job"))
                self.assertIsNotNone(deployment.leader())

        run_virtual(main)


class TermErrorTest(unittest.TestCase):
    def test_term_that_ends_with_an_error_is_followed_by_that_of_another_entry_at_once(self):
        async def main():
            async with Deployment() as deployment:
                former = deployment.leader()
                original = Coordinator._plan_pass

                def plan_pass(coordinator, now):
                    if coordinator is former.leader.coordinator:
                        raise OverflowError("odd value")
                    return original(coordinator, now)

                with mock.patch.object(Coordinator, "_plan_pass", plan_pass):
                    await deployment.wait_until(lambda: not former.leader.leads)
                    ended_at = trio.current_time()
                    await deployment.wait_until(lambda: deployment.leader() is not None)
                    self.assertLess(trio.current_time() - ended_at, 0.5)
                self.assertIsNot(former, deployment.leader())
                await deployment.submit(JOB_ID, job(step(2), ms=500))
                await deployment.wait_for_state(JOB_ID, "completed", 5)
                self.assertEqual(1, task_errors(deployment, "term"))

        run_virtual(main)

    def test_terms_that_always_end_with_an_error_become_rare(self):
        async def main():
            async with Deployment() as deployment:

                def plan_pass(coordinator, now):
                    raise OverflowError("odd value")

                with mock.patch.object(Coordinator, "_plan_pass", plan_pass):
                    await trio.sleep(120)
                    errors = task_errors(deployment, "term")
                    self.assertGreaterEqual(errors, 3)
                    self.assertLess(errors, 30)
                await deployment.wait_until(lambda: deployment.leader() is not None, 40)
                await deployment.submit(JOB_ID, job(step(2), ms=500))
                await deployment.wait_for_state(JOB_ID, "completed", 5)

        run_virtual(main)

    def test_campaign_that_ends_with_an_error_ends_no_process(self):
        async def main():
            async with Deployment() as deployment:

                async def acquire(leadership, stored, version):
                    raise OverflowError("odd value")

                with mock.patch.object(Leadership, "_acquire", acquire):
                    deployment.kill_entry(deployment.leader().name)
                    await deployment.wait_until(lambda: task_errors(deployment, "campaign") >= 2)
                await deployment.wait_until(lambda: deployment.leader() is not None)

        run_virtual(main)


if __name__ == "__main__":
    unittest.main()
