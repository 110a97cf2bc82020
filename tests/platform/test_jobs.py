"""Tests of the whole path of a job over the stand-ins, in virtual time."""

import unittest

import trio

from tests.platform.deployment import ID, OTHER, Deployment, job, run_virtual, step


class JobPathTest(unittest.TestCase):
    def test_job_of_two_steps_completes_in_order(self):
        async def main():
            async with Deployment() as deployment:
                document = job(step(2), step(1, after=[0]))
                self.assertEqual(200, await deployment.submit(ID, document))
                await deployment.wait_state(ID, "completed")
                self.assertEqual([], deployment.fleet.violations)
                self.assertEqual(3, len(deployment.fleet.starts))

        run_virtual(main)

    def test_repeated_submission_is_one_job(self):
        async def main():
            async with Deployment() as deployment:
                for entry in deployment.entries.values():
                    self.assertEqual(200, await deployment.submit(ID, job(step()), entry=entry))
                await deployment.wait_state(ID, "completed")
                self.assertEqual(200, await deployment.submit(ID, job(step())))
                await trio.sleep(3)
                self.assertEqual({f"{ID}.0.0.0": 1}, deployment.fleet.starts)

        run_virtual(main)

    def test_cancelled_job_stops_and_stays_cancelled(self):
        async def main():
            async with Deployment() as deployment:
                await deployment.submit(ID, job(step(3), ms=60_000))
                await deployment.wait_state(ID, "running")
                status, _ = await deployment.entry().call("DELETE", f"/q/{ID}")
                self.assertEqual(200, status)
                self.assertEqual("cancelled", await deployment.state(ID))
                workers = deployment.fleet.workers.values()
                await deployment.settle(lambda: not any(r.running for r in workers), 2)

        run_virtual(main)

    def test_failing_task_fails_the_job_after_its_attempts(self):
        async def main():
            async with Deployment() as deployment:
                await deployment.submit(ID, job(step(), fail=9))
                await deployment.wait_state(ID, "failed")
                self.assertEqual({f"{ID}.0.0.0": 2}, deployment.fleet.starts)

        run_virtual(main)

    def test_gang_spans_workers(self):
        async def main():
            async with Deployment() as deployment:
                await deployment.submit(ID, job(step(3, 8, gang=True), gang=3))
                await deployment.wait_state(ID, "completed")
                self.assertEqual([1, 1, 1], list(deployment.fleet.starts.values()))

        run_virtual(main)

    def test_timed_job_runs_each_occurrence_at_its_time(self):
        async def main():
            async with Deployment() as deployment:
                begin = deployment.now_ms() + 2000
                document = job(step(), ms=100)
                document |= {"startAtMs": begin, "intervalMs": 1500, "repeatCount": 3}
                await deployment.submit(ID, document)
                await trio.sleep(1.5)
                self.assertEqual({}, deployment.fleet.starts)
                await deployment.wait_state(ID, "completed")
                self.assertEqual(3, len(deployment.fleet.starts))
                self.assertGreaterEqual(deployment.now_ms(), begin + 3000)

        run_virtual(main)

    def test_jobs_of_other_accounts_are_not_shown(self):
        async def main():
            async with Deployment() as deployment:
                await deployment.submit(ID, job(step()))
                status, _ = await deployment.entry().call("GET", f"/q/{ID}", key="key-b")
                self.assertEqual(410, status)

        run_virtual(main)

    def test_answers_to_calls_that_the_configuration_does_not_allow(self):
        async def main():
            async with Deployment() as deployment:
                entry = deployment.entry()
                self.assertEqual(404, (await entry.call("GET", f"/other/{ID}"))[0])
                self.assertEqual(401, (await entry.call("GET", f"/q/{ID}", key="x"))[0])
                self.assertEqual(410, (await entry.call("GET", f"/q/{ID}"))[0])
                self.assertEqual(400, (await entry.call("POST", f"/q/{ID}", {"steps": [{}]}))[0])

        run_virtual(main)

    def test_count_of_waiting_jobs(self):
        async def main():
            async with Deployment(workers=1) as deployment:
                await deployment.submit(ID, job(step(1, 8), ms=20_000))
                await deployment.wait_state(ID, "running")
                await deployment.submit(OTHER, job(step(1, 8)))
                await trio.sleep(1.5)
                self.assertEqual((200, {"pending": 1}), await deployment.entry().call("GET", "/q/"))

        run_virtual(main)


if __name__ == "__main__":
    unittest.main()
