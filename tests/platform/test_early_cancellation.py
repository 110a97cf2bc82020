"""Cancellations that are acknowledged while the job's submission is under way, in virtual time.

A client without an answer cancels what it sent. Its job must not start afterwards, wherever the
submission was at that moment.
"""

import itertools
import unittest

import trio

from ibiscart_entry.coordination.tombstone import MAX_TOMBSTONES, MIN_RETENTION_SECONDS
from tests.platform.deployment import (
    JOB_ID,
    OTHER_JOB_ID,
    QUEUE_PATH,
    Deployment,
    job,
    run_virtual,
    step,
)

PATH = QUEUE_PATH + JOB_ID
# long enough for a task to start, and for a write that the store performs late
SETTLE_SECONDS = 6.0
# of ended jobs; shorter than that of tombstones
RETENTION_SECONDS = 40.0
CANCELLED = (429, "cancelled")


class _HeldWrites:
    """Holds back the writes of a job by one entry until ``release`` is called."""

    def __init__(self, table):
        self._transact = table.transact
        self._released = trio.Event()
        self.held = trio.Event()
        table.transact = self._hold

    async def _hold(self, writes, **options):
        if any(write.key.endswith(JOB_ID) for write in writes):
            self.held.set()
            await self._released.wait()
        return await self._transact(writes, **options)

    def release(self):
        """Lets the writes go on."""
        self._released.set()


def result_of(response):
    """Returns (status, error code or None) of the result of ``Entry.call``."""
    status, document = response
    return status, document.get("error", {}).get("code")


def tombstones(deployment):
    """Returns the keys of the tombstones in the store."""
    return [key for table, _, key in deployment.store.rows if table == "tombstones"]


class EarlyCancellationTest(unittest.TestCase):
    async def cancel(self, entry, key="key-a", path=PATH):
        """Returns the status of a cancellation through an entry."""
        return (await entry.call("DELETE", path, key=key))[0]

    async def assert_never_runs(self, deployment):
        """Checks that the job does not start, and that nobody is shown it."""
        await trio.sleep(SETTLE_SECONDS)
        self.assertEqual({}, deployment.fleet.starts)
        for entry in deployment.entries.values():
            self.assertEqual(410, await deployment.state(JOB_ID, entry))
            self.assertEqual((200, {"pending": 0}), await entry.call("GET", QUEUE_PATH))

    def run_each_way(self, play):
        """Runs ``play(deployment, late, other)`` with the leader and another as the late entry."""
        for leader_is_late in (False, True):

            async def main(leader_is_late=leader_is_late):
                async with Deployment() as deployment:
                    leader = deployment.leader()
                    others = [e for e in deployment.entries.values() if e is not leader]
                    late, other = (leader, others[0]) if leader_is_late else others
                    await play(deployment, late, other)
                    self.assertEqual([], deployment.fleet.violations)

            with self.subTest(leader_is_late=leader_is_late):
                run_virtual(main)

    def test_submission_that_is_read_after_the_cancellation_never_runs(self):
        """Guards against review/13: a paused entry read and stored it when it went on."""

        async def play(deployment, late, other):
            self.assertEqual(410, await self.cancel(other))
            self.assertEqual(CANCELLED, result_of(await late.call("POST", PATH, job(step()))))
            await self.assert_never_runs(deployment)

        self.run_each_way(play)

    def test_submission_that_is_held_unsent_during_the_cancellation_never_runs(self):
        async def play(deployment, late, other):
            writes = _HeldWrites(late.table)
            results = []

            async def submit():
                results.append(result_of(await late.call("POST", PATH, job(step()))))

            deployment.nursery.start_soon(submit)
            await writes.held.wait()
            self.assertEqual(410, await self.cancel(other))
            writes.release()
            await self.assert_never_runs(deployment)
            self.assertEqual([CANCELLED], results)

        self.run_each_way(play)

    def test_write_that_the_store_performs_after_the_cancellation_has_no_effect(self):
        async def play(deployment, late, other):
            deployment.store.late_rate, deployment.store.late_seconds = 1.0, 4.0
            response = await late.request("POST", PATH, job(step()), deadline_ms=1000)
            self.assertEqual(504, response.status)
            deployment.store.late_rate = 0.0
            self.assertEqual(410, await self.cancel(other))
            await self.assert_never_runs(deployment)

        self.run_each_way(play)

    def test_write_whose_answer_is_lost_is_cancelled(self):
        async def play(deployment, late, other):
            deployment.store.drop_answer_rate = 1.0
            response = await late.request("POST", PATH, job(step(), ms=60_000), deadline_ms=1000)
            deployment.store.drop_answer_rate = 0.0
            # a second copy of the write may have found the first one
            self.assertIn(response.status, (200, 504))
            self.assertEqual(200, await self.cancel(other))
            # the repeat of a job that is stored is no new one
            self.assertEqual(200, await deployment.submit(JOB_ID, job(step()), entry=late))
            await trio.sleep(SETTLE_SECONDS)
            self.assertEqual("cancelled", await deployment.state(JOB_ID))
            self.assertFalse(any(w.running for w in deployment.fleet.workers.values()))
            self.assertEqual([], tombstones(deployment))

        self.run_each_way(play)

    def test_repeat_after_all_entries_have_restarted_never_runs(self):
        async def main():
            async with Deployment() as deployment:
                self.assertEqual(410, await self.cancel(deployment.first_entry()))
                for name in list(deployment.entries):
                    deployment.kill_entry(name)
                for number in range(3):
                    deployment.start_entry(f"n{number}")
                await deployment.wait_until(lambda: deployment.leader() is not None)
                for entry in deployment.entries.values():
                    result = result_of(await entry.call("POST", PATH, job(step())))
                    self.assertEqual(CANCELLED, result)
                await self.assert_never_runs(deployment)

        run_virtual(main)

    def test_submission_and_cancellation_at_the_same_time_agree(self):
        """Guards against two answers of which one is untrue."""
        seen = set()

        async def main(offset_ms, seed):
            async with Deployment(seed=seed) as deployment:
                first, second, third = deployment.entries.values()
                results = {}

                async def call(name, entry, method, delay_ms, document=None):
                    await trio.sleep(delay_ms / 1000)
                    results[name] = (await entry.call(method, PATH, document))[0]

                async with trio.open_nursery() as nursery:
                    nursery.start_soon(
                        call, "submit", first, "POST", max(0, -offset_ms), job(step(), ms=60_000)
                    )
                    nursery.start_soon(call, "cancel", second, "DELETE", max(0, offset_ms))
                await trio.sleep(SETTLE_SECONDS)
                results["state"] = await deployment.state(JOB_ID, third)
                seen.add(tuple(results[name] for name in ("submit", "cancel", "state")))
                running = [w for w in deployment.fleet.workers.values() if w.running]
                self.assertEqual([], running)

        for offset_ms, seed in itertools.product(range(-10, 11), range(2)):
            with self.subTest(offset_ms=offset_ms, seed=seed):
                run_virtual(lambda o=offset_ms, s=seed: main(o, s), seed)
        self.assertEqual({(200, 200, "cancelled"), (429, 410, 410)}, seen)

    def test_cancellation_concerns_the_jobs_of_its_account_only(self):
        async def main():
            async with Deployment() as deployment:
                entry = deployment.first_entry()
                self.assertEqual(410, await self.cancel(entry, key="key-b"))
                self.assertEqual(200, await deployment.submit(JOB_ID, job(step(), ms=60_000)))
                await deployment.wait_for_state(JOB_ID, "running")
                # neither does it reach a job that is stored
                self.assertEqual(410, await self.cancel(entry, key="key-b"))
                await trio.sleep(SETTLE_SECONDS)
                self.assertEqual("running", await deployment.state(JOB_ID))
                self.assertEqual(200, await self.cancel(entry))
                await deployment.wait_for_state(JOB_ID, "cancelled")

        run_virtual(main)

    def test_cancellation_of_an_id_that_another_account_uses_keeps_out_the_own_job(self):
        """The other account's job is removed before the late submission arrives."""

        async def main():
            async with Deployment(retention_seconds=RETENTION_SECONDS) as deployment:
                entry = deployment.first_entry()
                await entry.call("POST", PATH, job(step()), key="key-b")
                await trio.sleep(30)
                self.assertEqual(410, await self.cancel(entry))
                await deployment.wait_until(
                    lambda: not any(table == "jobs" for table, _, _ in deployment.store.rows), 30
                )
                self.assertEqual(CANCELLED, result_of(await entry.call("POST", PATH, job(step()))))

        run_virtual(main)

    def test_cancellation_without_a_valid_key_leaves_nothing(self):
        async def main():
            async with Deployment() as deployment:
                entry = deployment.first_entry()
                self.assertEqual(401, await self.cancel(entry, key="x"))
                self.assertEqual(404, await self.cancel(entry, path=f"/other/{JOB_ID}"))
                self.assertEqual(404, await self.cancel(entry, path=f"{QUEUE_PATH}short"))
                self.assertEqual([], tombstones(deployment))

        run_virtual(main)

    def test_submission_from_before_a_long_pause_is_refused(self):
        """Guards against one that outlasts the tombstone in the socket of a suspended machine."""

        async def main():
            async with Deployment() as deployment:
                entry = deployment.first_entry()
                for pause_seconds, status in ((4.0, 200), (600.0, 503)):
                    entry.suspended_seconds += pause_seconds
                    response = await entry.request("POST", PATH, job(step()))
                    self.assertEqual(status, response.status)
                    if status == 503:
                        self.assertEqual("1", dict(response.headers)["retry-after"])
                # what is read later has arrived after the pause
                await trio.sleep(SETTLE_SECONDS)
                self.assertEqual(200, await deployment.submit(OTHER_JOB_ID, job(step())))

        run_virtual(main)

    def test_submission_is_given_up_after_a_bounded_time(self):
        """Guards against one that is stored after its tombstone since its caller waits for long."""

        async def main():
            async with Deployment() as deployment:
                entry = deployment.first_entry()
                writes = _HeldWrites(entry.table)
                started_at = trio.current_time()
                response = await entry.request("POST", PATH, job(step()), deadline_ms=10**7)
                self.assertEqual(504, response.status)
                self.assertLess(trio.current_time() - started_at, MIN_RETENTION_SECONDS)
                writes.release()
                await trio.sleep(SETTLE_SECONDS)
                self.assertEqual({}, deployment.fleet.starts)

        run_virtual(main)

    def test_damaged_tombstone_keeps_out_its_job(self):
        async def main():
            async with Deployment() as deployment:
                entry = deployment.first_entry()
                await self.cancel(entry)
                (key,) = tombstones(deployment)
                deployment.store.put("tombstones", key, b"\xff", partition=JOB_ID[0])
                self.assertEqual(CANCELLED, result_of(await entry.call("POST", PATH, job(step()))))

        run_virtual(main)


class TombstoneBoundTest(unittest.TestCase):
    async def cancel_many(self, entry, count, key="key-a"):
        """Returns the set of results of ``count`` cancellations of unknown jobs at once."""
        results = set()

        async def cancel(number):
            path = f"{QUEUE_PATH}0{number:015x}"
            results.add(result_of(await entry.call("DELETE", path, key=key)))

        async with trio.open_nursery() as nursery:
            for number in range(count):
                nursery.start_soon(cancel, number)
        return results

    def test_account_has_a_bounded_number_of_tombstones(self):
        """Guards against a caller who fills the store with ids that it never submits."""

        async def main():
            async with Deployment() as deployment:
                entry = deployment.first_entry()
                results = await self.cancel_many(entry, 3 * MAX_TOMBSTONES)
                self.assertEqual({(410, "unknown_job"), (429, "cancel_limit")}, results)
                self.assertEqual(MAX_TOMBSTONES, len(tombstones(deployment)))
                response = await entry.request("DELETE", f"{QUEUE_PATH}0{'f' * 15}")
                self.assertEqual("30", dict(response.headers)["retry-after"])
                # neither another account nor a repeat is refused, nor a job that is stored
                self.assertEqual({(410, "unknown_job")}, await self.cancel_many(entry, 1, "key-b"))
                known = QUEUE_PATH + next(key for key in tombstones(deployment))[-16:]
                self.assertEqual(410, (await entry.call("DELETE", known))[0])
                self.assertEqual(200, await deployment.submit(OTHER_JOB_ID, job(step())))
                self.assertEqual(200, (await entry.call("DELETE", QUEUE_PATH + OTHER_JOB_ID))[0])

        run_virtual(main)

    def test_tombstones_are_removed_after_the_retention_time(self):
        async def main():
            async with Deployment(retention_seconds=RETENTION_SECONDS) as deployment:
                entry = deployment.first_entry()
                await self.cancel_many(entry, 2 * MAX_TOMBSTONES)
                await trio.sleep(MIN_RETENTION_SECONDS - 1)
                self.assertEqual(MAX_TOMBSTONES, len(tombstones(deployment)))
                await deployment.wait_until(lambda: not tombstones(deployment), 65)
                self.assertEqual({(410, "unknown_job")}, await self.cancel_many(entry, 3))

        run_virtual(main)

    def test_repeated_cancellation_begins_a_new_retention_time(self):
        async def main():
            async with Deployment(retention_seconds=RETENTION_SECONDS) as deployment:
                entry = deployment.first_entry()
                for _ in range(5):
                    self.assertEqual({(410, "unknown_job")}, await self.cancel_many(entry, 1))
                    await trio.sleep(MIN_RETENTION_SECONDS - 5)
                    self.assertEqual(1, len(tombstones(deployment)))

        run_virtual(main)

    def test_a_new_leader_removes_the_tombstones_of_an_earlier_one(self):
        async def main():
            async with Deployment(retention_seconds=RETENTION_SECONDS) as deployment:
                await self.cancel_many(deployment.first_entry(), 3)
                await trio.sleep(MIN_RETENTION_SECONDS - 5)
                deployment.kill_entry(deployment.leader().name)
                await deployment.wait_until(lambda: deployment.leader() is not None)
                self.assertEqual(3, len(tombstones(deployment)))
                await deployment.wait_until(lambda: not tombstones(deployment), 190)

        run_virtual(main)


if __name__ == "__main__":
    unittest.main()
