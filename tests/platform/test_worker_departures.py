"""What shows that a draining worker has left, and what does not, in virtual time."""

import functools
import unittest

import trio

from tests.platform.deployment import JOB_ID, Deployment, run_virtual

# the directory drops the entry of a worker after this time without a write
SILENCE_SECONDS = 4.5


class WorkerDepartureTest(unittest.TestCase):
    def check(self, disturb):
        """Checks that runs on a draining worker go on while ``disturb`` acts on its entry."""

        async def main():
            async with Deployment(workers=2, entries=1) as deployment:
                worker = await deployment.occupy_worker(9000)
                await disturb(deployment, worker)
                await deployment.wait_for_state(JOB_ID, "completed", 20)
                self.assertEqual([], deployment.fleet.violations)
                self.assertEqual([1], list(deployment.fleet.starts.values()))

        run_virtual(main)

    def test_entry_that_expires_after_the_history_was_lost_is_no_departure(self):
        # the time at which all entries were read again counted as that of the worker's last write
        async def lose_history(deployment, worker):
            deployment.register(worker.id, state="draining")
            await trio.sleep(SILENCE_SECONDS - 1.0)
            deployment.store.compact()
            await trio.sleep(1.0)
            deployment.store.delete("servers", worker.id)

        self.check(lose_history)

    def test_entry_that_is_missing_after_the_history_was_lost_is_no_departure(self):
        async def lose_history(deployment, worker):
            deployment.register(worker.id, state="draining")
            await trio.sleep(1.0)
            deployment.store.put("servers", worker.id, b"\xff")
            deployment.store.compact()

        self.check(lose_history)

    def test_entry_that_expires_after_a_silent_store_is_no_departure(self):
        # the time at which the entry was read counted as that of the worker's last write
        async def silence(deployment, worker, seconds):
            deployment.store.unanswered_callers = set(deployment.entries)
            deployment.store.stall_open_polls()
            await trio.sleep(0.1)
            deployment.register(worker.id, state="draining")
            await trio.sleep(seconds)
            deployment.store.unanswered_callers = set()
            await trio.sleep(SILENCE_SECONDS - seconds)
            deployment.store.delete("servers", worker.id)

        for seconds in (1.0, 2.0, 3.0):
            with self.subTest(seconds=seconds):
                self.check(functools.partial(silence, seconds=seconds))

    def test_entry_that_expires_and_returns_between_two_reads_is_no_departure(self):
        # the removal was applied after the registration that followed it
        async def expire(deployment, worker):
            deployment.register(worker.id, state="draining")
            await trio.sleep(SILENCE_SECONDS)
            deployment.store.delete("servers", worker.id)
            deployment.register(worker.id, state="draining")

        self.check(expire)

    def test_entry_that_cannot_be_read_is_no_departure(self):
        async def spoil(deployment, worker, value, remove):
            deployment.register(worker.id, state="draining")
            await trio.sleep(1.0)
            deployment.store.put("servers", worker.id, value)
            if remove:
                await trio.sleep(1.0)
                deployment.store.delete("servers", worker.id)

        for value in (b"\xff", {"state": "draining"}, []):
            for remove in (False, True):
                with self.subTest(value=value, remove=remove):
                    self.check(functools.partial(spoil, value=value, remove=remove))


if __name__ == "__main__":
    unittest.main()
