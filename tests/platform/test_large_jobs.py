"""Large jobs and large commits fit the bounds of the store, or cost nothing but themselves."""

import json
import unittest
from unittest import mock

import trio

from ibiscart_core.workflow.job import Job
from ibiscart_core.workflow.spec import JobSpec, StepSpec
from ibiscart_core.workflow.unit import Allocation, EndCause, Unit
from ibiscart_entry.coordination.record import (
    decode_progress,
    encode,
    progress_key,
    progress_writes,
)
from tests.platform.deployment import (
    API_KEY,
    JOB_ID,
    OTHER_JOB_ID,
    QUEUE_PATH,
    Deployment,
    job,
    run_virtual,
    step,
)


def small_tasks(count):
    """Returns a step of tasks of which hundreds fit one worker."""
    return step(count, 0, cpu=20, memMb=16)


def progress_rows(deployment, job_id):
    """Returns the keys of the progress rows of a job."""
    return [key for table, _, key in deployment.store.rows if table == "progress" and job_id in key]


def limit_rows(deployment, max_value_bytes):
    """Lowers the bound of the store on the bytes of a value."""
    deployment.store.max_value_bytes = max_value_bytes
    for entry in deployment.entries.values():
        entry.direct_table.max_value_bytes = max_value_bytes * 3 // 4


class _CallsPerStep(trio.abc.Instrument):
    """Counts the calls of a method, in total and the most between two checkpoints of a task."""

    def __init__(self, method):
        self._method = method
        self._calls = 0
        self.most = 0
        self.total = 0

    def call(self, *args):
        """Calls the method."""
        self._calls += 1
        self.total += 1
        return self._method(*args)

    def before_task_step(self, task):
        self._calls = 0

    def after_task_step(self, task):
        self.most = max(self.most, self._calls)


class LargeJobTest(unittest.TestCase):
    def test_job_whose_record_outgrows_a_row_completes_beside_others(self):
        """Guards against one accepted job that stops all jobs: two steps with 800 small tasks."""

        async def main():
            async with Deployment(workers=8) as deployment:
                limit_rows(deployment, 16_384)
                large = job(small_tasks(800), small_tasks(800), ms=2000)
                self.assertEqual(200, await deployment.submit(JOB_ID, large))
                await deployment.submit(OTHER_JOB_ID, job(step(2), ms=500))
                await deployment.wait_for_state(OTHER_JOB_ID, "completed", 10)
                await deployment.wait_for_state(JOB_ID, "completed", 30)
                self.assertEqual({1}, set(deployment.fleet.starts.values()))
                self.assertEqual(0, deployment.store.rejected)

        run_virtual(main)

    def test_next_leader_goes_on_with_a_job_whose_record_takes_several_rows(self):
        async def main():
            async with Deployment(workers=8) as deployment:
                limit_rows(deployment, 2048)
                await deployment.submit(JOB_ID, job(small_tasks(800), ms=6000))
                await deployment.wait_until(lambda: len(deployment.fleet.starts) == 800)
                await deployment.wait_until(lambda: len(progress_rows(deployment, JOB_ID)) > 2)
                deployment.kill_entry(deployment.leader().name)
                await deployment.wait_for_state(JOB_ID, "completed", 20)
                self.assertEqual({1}, set(deployment.fleet.starts.values()))
                self.assertEqual(0, deployment.store.rejected)
                # the record of an ended job needs no further rows
                await deployment.wait_until(
                    lambda: progress_rows(deployment, JOB_ID) == [JOB_ID], 10
                )

        run_virtual(main)

    def test_next_leader_loads_a_large_record_in_parts(self):
        """Guards against a new leader that is too busy to renew its leadership, and so loses it."""
        loaded = _CallsPerStep(Unit.load_record)

        async def main():
            async with Deployment(workers=8) as deployment:
                await deployment.submit(JOB_ID, job(small_tasks(2000), ms=8000))
                await deployment.wait_until(lambda: len(deployment.fleet.starts) == 2000)
                deployment.kill_entry(deployment.leader().name)
                trio.lowlevel.add_instrument(loaded)
                with mock.patch.object(Unit, "load_record", lambda *args: loaded.call(*args)):
                    await deployment.wait_for_state(JOB_ID, "completed", 30)
                self.assertEqual({1}, set(deployment.fleet.starts.values()))

        run_virtual(main)
        self.assertEqual(2000, loaded.total)
        self.assertLess(loaded.most, 500)

    def test_record_that_the_store_refuses_costs_no_other_job(self):
        async def main():
            async with Deployment() as deployment:
                leader = deployment.leader()
                deployment.store.refused_rows.add(("progress", JOB_ID))
                for job_id in (JOB_ID, OTHER_JOB_ID):
                    await deployment.submit(job_id, job(step(2), ms=500))
                await deployment.wait_for_state(OTHER_JOB_ID, "completed", 5)
                self.assertEqual("queued", await deployment.state(JOB_ID))
                await trio.sleep(5)
                self.assertIs(leader, deployment.leader())
                self.assertFalse([t for t in deployment.fleet.starts if t.startswith(JOB_ID)])
                errors = leader.metrics.value("task_errors", "job")
                self.assertGreaterEqual(errors, 1)
                self.assertLess(errors, 10)
                deployment.store.refused_rows.clear()
                await deployment.wait_for_state(JOB_ID, "completed", 20)

        run_virtual(main)

    def test_burst_of_jobs_with_large_records_stays_within_the_bounds_of_a_call(self):
        async def main():
            async with Deployment(workers=8) as deployment:
                # their records change at the same time and take over 20 KB together
                deployment.store.max_call_bytes = 20_000
                for entry in deployment.entries.values():
                    entry.direct_table.max_transaction_bytes = 20_000
                job_ids = [f"{number % 16:x}{number:015x}" for number in range(120)]
                async with trio.open_nursery() as nursery:
                    for job_id in job_ids:
                        document = job(small_tasks(20), ms=2000)
                        nursery.start_soon(deployment.submit, job_id, document)
                for job_id in job_ids:
                    await deployment.wait_for_state(job_id, "completed", 60)
                self.assertEqual(0, deployment.store.rejected)

        run_virtual(main)

    def test_job_beyond_a_bound_is_refused_with_its_field_and_bound(self):
        repeated = {"repeatCount": 100, "startAtMs": 1, "intervalMs": 1}
        cases = (
            (job(small_tasks(10_001)), "steps[0].count", "10000"),
            (job(small_tasks(6000), small_tasks(6000)), "steps", "10000"),
            ({**job(small_tasks(101)), **repeated}, "steps", "10000"),
            ({"spec": "\x01" * 20_000, "steps": [step()]}, "spec", "4000"),
            (job(step(1, requires="x" * 60_000)), "steps[0].requires", "4096"),
            (job(*[step(1, requires="x" * 4000)] * 20), "steps", "49152"),
        )

        async def main():
            async with Deployment() as deployment:
                for document, field, bound in cases:
                    status, body = await deployment.first_entry().call(
                        "POST", QUEUE_PATH + JOB_ID, document, API_KEY
                    )
                    self.assertEqual(400, status, body)
                    self.assertEqual(field, body["error"]["field"])
                    self.assertIn(bound, body["error"]["bound"])
                self.assertEqual(0, deployment.store.rejected)

        run_virtual(main)


class RecordTest(unittest.TestCase):
    def large_job(self, tasks=1000):
        """Returns a job with a running task on each of 100 workers in turn."""
        spec = JobSpec("", [StepSpec.from_document({"tasks": tasks, "resources": [0, 1, 1]})])
        result = Job(JOB_ID, "a", "q", spec, 0)
        result.create_due_units(0)
        for number, unit in enumerate(result.waiting_units(0.0)):
            unit.begin_run({unit.first_index: Allocation(f"worker-{number % 100}", 1)})
            unit.checkpoint = f"{number:016x}"
        return result

    def split(self, writes):
        """Returns (value of the head row, values of the part rows) of ``writes``."""
        head, *parts = (write for write in writes if not write.delete)
        self.assertEqual(progress_key(JOB_ID), head.key)
        return head.value, [part.value for part in parts]

    def test_record_that_fits_a_row_is_written_as_earlier_versions_do(self):
        original = self.large_job(10)
        head, parts = self.split(progress_writes(original, 49_152))
        self.assertEqual([], parts)
        self.assertEqual(encode({"account": "a", **original.to_record()}), head)

    def test_record_is_restored_from_several_rows_in_bounds(self):
        original = self.large_job()
        head, parts = self.split(progress_writes(original, 1000))
        self.assertGreater(len(parts), 1)
        self.assertLessEqual(max(map(len, (head, *parts))), 1000)
        restored = Job.from_document(JOB_ID, original.to_document())
        restored.load_record(decode_progress(head, parts))
        self.assertEqual(original.to_record(), restored.to_record())

    def test_rows_that_a_smaller_record_does_not_need_are_deleted(self):
        writes = progress_writes(self.large_job(10), 49_152, part_count=3)
        self.assertEqual([False, True, True, True], [write.delete for write in writes])

    def test_change_of_one_task_encodes_a_small_part_of_the_record(self):
        """Guards against a leader that encodes all tasks of a job for each start and end."""
        original = self.large_job(10_000)
        progress_writes(original, 49_152)
        original.unit_of(0, 0, 5000).end_task(5000, EndCause.DONE)
        to_record = Unit.to_record
        with mock.patch.object(Unit, "to_record", autospec=True, side_effect=to_record) as encoded:
            head, parts = self.split(progress_writes(original, 49_152))
        self.assertLess(encoded.call_count, 1000)
        rows = decode_progress(head, parts)["units"]["0.0"]
        self.assertEqual([5000, 1, 1, 0, f"{5000:016x}", []], rows[5000])
        self.assertEqual(original.to_record()["units"]["0.0"], rows)

    def test_done_tasks_are_kept_as_their_record_only(self):
        """Guards against a leader whose memory grows with each task that is done."""
        original = self.large_job(10_000)
        for index in range(10_000):
            original.unit_of(0, 0, index).end_task(index, EndCause.DONE)
        head, parts = self.split(progress_writes(original, 49_152))
        restored = Job.from_document(JOB_ID, original.to_document())
        restored.load_record(decode_progress(head, parts))
        self.assertEqual(10_000, len(restored.to_record()["units"]["0.0"]))
        for found in (original, restored):
            self.assertLess(sum(1 for _ in found.units()), 1000)
            self.assertTrue(found.update_outcome(4))

    def test_missing_or_damaged_rows_are_no_record(self):
        head, parts = self.split(progress_writes(self.large_job(), 1000))
        damaged = [parts[0], b"\xff" * len(parts[1]), *parts[2:]]
        for values in ([], parts[:-1], parts[1:], parts[::-1], damaged):
            with self.subTest(parts=len(values)), self.assertRaises(ValueError):
                decode_progress(head, values)
        for count in (-1, "2", 1.5, None, 10**40):
            with self.subTest(count=count), self.assertRaises(ValueError):
                decode_progress(json.dumps({"parts": count}).encode(), parts)


if __name__ == "__main__":
    unittest.main()
