"""An unexpected error in the task of one worker, in virtual time, concerns that worker alone."""

import unittest
from unittest import mock

import trio

from ibiscart_core.workflow.fleet import FleetWorker
from ibiscart_core.workflow.report import WorkerStatus
from tests.platform.deployment import JOB_ID, OTHER_JOB_ID, Deployment, job, run_virtual, step


class _FaultyAgent:
    """Agent whose method ``name`` raises ``error`` while ``fault`` is active.

    If ``answered``, the method fails only after the call has taken effect on the worker.
    """

    def __init__(self, agent, fault):
        self._agent = agent
        self._fault = fault

    def __getattr__(self, name):
        call = getattr(self._agent, name)
        fault = self._fault
        if name != fault.method:
            return call

        async def fail(*arguments):
            if not fault.active:
                return await call(*arguments)
            if fault.answered:
                await call(*arguments)
            fault.calls += 1
            if isinstance(fault.result, Exception):
                raise fault.result
            return fault.result

        return fail


class _Fault:
    """A fault of the method of one worker's agent, which raises or returns ``result``."""

    def __init__(self, method, result, worker="w0", answered=False):
        self.method = method
        self.result = result
        self.worker = worker
        self.answered = answered
        self.active = True
        self.calls = 0

    def wrap(self, agent, worker):
        return _FaultyAgent(agent, self) if worker == self.worker else agent


class _CheckedDeployment(Deployment):
    """A deployment whose first leader leads to the end, and in which no task runs twice.

    All errors are logged with the id of the worker ``w0``.
    """

    def __init__(self, test, **options):
        super().__init__(**options)
        self._test = test

    async def __aenter__(self):
        self._expected_logs = self._test.assertLogs("ibiscart.isolation", "ERROR")
        self._records = self._expected_logs.__enter__().records
        deployment = await super().__aenter__()
        self._epoch = self.first_entry().leadership.epoch
        return deployment

    async def __aexit__(self, *error):
        epoch = self.first_entry().leadership.epoch
        await super().__aexit__(*error)
        self._expected_logs.__exit__(*error)
        if error[0] is None:
            self._test.assertEqual({"w0"}, {record.task_name for record in self._records})
            self._test.assertEqual(self._epoch, epoch)
            self._test.assertEqual([], self.fleet.violations)


class WorkerIsolationTest(unittest.TestCase):
    def deploy(self, fault=None, workers=2):
        wrap_agent = fault.wrap if fault is not None else lambda agent, worker: agent
        return _CheckedDeployment(self, entries=1, workers=workers, wrap_agent=wrap_agent)

    def assert_counted(self, deployment):
        self.assertGreater(deployment.first_entry().metrics.value("task_errors", "worker"), 0)

    async def check_work_goes_to_the_other_worker(self, fault):
        async with self.deploy(fault) as deployment:
            await deployment.submit(JOB_ID, job(step(4), ms=500))
            await deployment.wait_for_state(JOB_ID, "completed", 5)
            self.assertFalse(deployment.fleet.workers["w0"].highest_run_by_task)
            self.assertGreater(fault.calls, 1)
            self.assert_counted(deployment)
            # attempts become rarer
            seconds, first_calls = trio.current_time(), fault.calls
            await trio.sleep(20)
            calls = fault.calls
            await trio.sleep(seconds)
            self.assertLess(fault.calls - calls, first_calls)
            fault.active = False
            await trio.sleep(11)
            await deployment.submit(OTHER_JOB_ID, job(step(2, 8), ms=500))
            await deployment.wait_for_state(OTHER_JOB_ID, "completed", 0.9)

    def test_errors_in_polls_of_one_worker_stop_no_other(self):
        odd_status = WorkerStatus(5, running=(None,), incarnation=1)
        for result in (UnicodeError("address"), TypeError("reason"), odd_status):
            with self.subTest(result=result):
                fault = _Fault("poll", result)
                run_virtual(lambda f=fault: self.check_work_goes_to_the_other_worker(f))

    def test_odd_clock_of_one_worker_stops_no_other(self):
        async def main():
            fault = _Fault("poll", WorkerStatus(10**400, incarnation=1))
            async with self.deploy(fault) as deployment:
                await deployment.submit(JOB_ID, job(step(2, 8), ms=500))
                await deployment.wait_for_state(JOB_ID, "completed", 10)
                self.assert_counted(deployment)

        run_virtual(main)

    def test_error_in_the_connection_to_one_worker_stops_no_other(self):
        class ConnectionFault(_Fault):
            def wrap(self, agent, worker):
                if worker == self.worker and self.active:
                    self.calls += 1
                    raise self.result
                return agent

        fault = ConnectionFault(None, UnicodeError("address"))
        run_virtual(lambda: self.check_work_goes_to_the_other_worker(fault))

    def test_error_in_the_registration_of_one_worker_stops_no_other(self):
        record_report = FleetWorker.record_report

        def fail(worker, now, written_after):
            if worker.id == "w0":
                raise OverflowError("remaining time")
            record_report(worker, now, written_after)

        async def main():
            with mock.patch.object(FleetWorker, "record_report", fail):
                async with self.deploy() as deployment:
                    deployment.register("w0", state="draining")
                    await trio.sleep(1)
                    self.assert_counted(deployment)
                    deployment.add_worker(2)
                    await trio.sleep(1)
                    await deployment.submit(JOB_ID, job(step(2, 8), ms=500))
                    await deployment.wait_for_state(JOB_ID, "completed", 1.5)

        run_virtual(main)

    def test_start_that_ends_with_an_error_counts_as_unanswered(self):
        async def main(answered):
            fault = _Fault("start", TypeError("reason"), answered=answered)
            async with self.deploy(fault) as deployment:
                await deployment.submit(JOB_ID, job(step(2, 8), ms=3000))
                await trio.sleep(5)
                self.assert_counted(deployment)
                fault.active = False
                await deployment.wait_for_state(JOB_ID, "completed", 30)

        for answered in (False, True):
            with self.subTest(answered=answered):
                run_virtual(lambda a=answered: main(a))

    def test_runs_end_with_their_leases_if_their_stops_end_with_errors(self):
        async def main():
            fault = _Fault("stop", TypeError("reason"))
            async with self.deploy(fault, workers=1) as deployment:
                await deployment.submit(JOB_ID, job(step(1, 8), ms=60_000))
                await deployment.wait_for_state(JOB_ID, "running")
                await deployment.first_entry().call("DELETE", f"/q/{JOB_ID}")
                worker = deployment.fleet.workers["w0"]
                await deployment.wait_until(lambda: not worker.running, 40)
                self.assert_counted(deployment)
                await deployment.submit(OTHER_JOB_ID, job(step(1, 8), ms=500))
                await deployment.wait_for_state(OTHER_JOB_ID, "completed", 20)

        run_virtual(main)

    def test_runs_of_a_worker_with_errors_start_again_only_after_their_leases(self):
        async def main(fault_seconds, starts):
            fault = _Fault("poll", UnicodeError("address"), answered=True)
            fault.active = False
            async with self.deploy(fault, workers=1) as deployment:
                await deployment.submit(JOB_ID, job(step(1, 8), ms=9000))
                await deployment.wait_for_state(JOB_ID, "running")
                deployment.add_worker(1)
                await trio.sleep(2)
                fault.active = True
                await trio.sleep(fault_seconds)
                fault.active = False
                await deployment.wait_for_state(JOB_ID, "completed", 20)
                self.assertEqual([starts], list(deployment.fleet.starts.values()))

        for fault_seconds, starts in ((3.0, 1), (15.0, 2)):
            with self.subTest(fault_seconds=fault_seconds):
                run_virtual(lambda s=fault_seconds, n=starts: main(s, n))


if __name__ == "__main__":
    unittest.main()
