"""Tests of jobs from submission to completion over the stand-ins, in virtual time."""

import unittest

import trio

from tests.platform.deployment import JOB_ID, OTHER_JOB_ID, Deployment, job, run_virtual, step


class JobLifecycleTest(unittest.TestCase):
    def test_job_with_dependent_steps_completes(self):
        async def main():
            async with Deployment() as deployment:
                document = job(step(2), step(1, after=[0]))
                self.assertEqual(200, await deployment.submit(JOB_ID, document))
                await deployment.wait_for_state(JOB_ID, "completed")
                self.assertEqual([], deployment.fleet.violations)
                self.assertEqual(3, len(deployment.fleet.starts))

        run_virtual(main)

    def test_repeated_submission_creates_one_job(self):
        async def main():
            async with Deployment() as deployment:
                for entry in deployment.entries.values():
                    self.assertEqual(200, await deployment.submit(JOB_ID, job(step()), entry=entry))
                await deployment.wait_for_state(JOB_ID, "completed")
                self.assertEqual(200, await deployment.submit(JOB_ID, job(step())))
                await trio.sleep(3)
                self.assertEqual({f"{JOB_ID}.0.0.0": 1}, deployment.fleet.starts)

        run_virtual(main)

    def test_cancelled_job_stops_and_stays_cancelled(self):
        async def main():
            async with Deployment() as deployment:
                await deployment.submit(JOB_ID, job(step(3), ms=60_000))
                await deployment.wait_for_state(JOB_ID, "running")
                status, _ = await deployment.first_entry().call("DELETE", f"/q/{JOB_ID}")
                self.assertEqual(200, status)
                self.assertEqual("cancelled", await deployment.state(JOB_ID))
                workers = deployment.fleet.workers.values()
                await deployment.wait_until(
                    lambda: not any(worker.running for worker in workers), 2
                )

        run_virtual(main)

    def test_failing_task_fails_the_job_after_its_last_attempt(self):
        async def main():
            async with Deployment() as deployment:
                await deployment.submit(JOB_ID, job(step(), fail=9))
                await deployment.wait_for_state(JOB_ID, "failed")
                self.assertEqual({f"{JOB_ID}.0.0.0": 2}, deployment.fleet.starts)

        run_virtual(main)

    def test_gang_runs_across_workers(self):
        async def main():
            async with Deployment() as deployment:
                await deployment.submit(JOB_ID, job(step(3, 8, gang=True), gang=3))
                await deployment.wait_for_state(JOB_ID, "completed")
                self.assertEqual([1, 1, 1], list(deployment.fleet.starts.values()))

        run_virtual(main)

    def test_scheduled_job_runs_each_occurrence_at_its_time(self):
        async def main():
            async with Deployment() as deployment:
                start_ms = deployment.now_ms() + 2000
                document = job(step(), ms=100)
                document |= {"startAtMs": start_ms, "intervalMs": 1500, "repeatCount": 3}
                await deployment.submit(JOB_ID, document)
                await trio.sleep(1.5)
                self.assertEqual({}, deployment.fleet.starts)
                await deployment.wait_for_state(JOB_ID, "completed")
                self.assertEqual(3, len(deployment.fleet.starts))
                self.assertGreaterEqual(deployment.now_ms(), start_ms + 3000)

        run_virtual(main)

    def test_jobs_of_other_accounts_are_hidden(self):
        async def main():
            async with Deployment() as deployment:
                await deployment.submit(JOB_ID, job(step()))
                status, _ = await deployment.first_entry().call("GET", f"/q/{JOB_ID}", key="key-b")
                self.assertEqual(410, status)

        run_virtual(main)

    def test_invalid_requests_get_their_status_codes(self):
        async def main():
            async with Deployment() as deployment:
                entry = deployment.first_entry()
                self.assertEqual(404, (await entry.call("GET", f"/other/{JOB_ID}"))[0])
                self.assertEqual(401, (await entry.call("GET", f"/q/{JOB_ID}", key="x"))[0])
                self.assertEqual(410, (await entry.call("GET", f"/q/{JOB_ID}"))[0])
                self.assertEqual(
                    400, (await entry.call("POST", f"/q/{JOB_ID}", {"steps": [{}]}))[0]
                )

        run_virtual(main)

    def test_queue_reports_the_number_of_pending_jobs(self):
        async def main():
            async with Deployment(workers=1) as deployment:
                await deployment.submit(JOB_ID, job(step(1, 8), ms=20_000))
                await deployment.wait_for_state(JOB_ID, "running")
                await deployment.submit(OTHER_JOB_ID, job(step(1, 8)))
                await trio.sleep(1.5)
                self.assertEqual(
                    (200, {"pending": 1}), await deployment.first_entry().call("GET", "/q/")
                )

        run_virtual(main)


if __name__ == "__main__":
    unittest.main()
