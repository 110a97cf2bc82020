"""Tests of the store's failures over the stand-ins, in virtual time."""

import unittest
from unittest import mock

import trio

from ibiscart_entry.coordination import relay
from tests.platform.deployment import CONFIGURATION, ID, Deployment, job, run_virtual, step

# the platform's bound for a new configuration on its small sites
CONFIG_SECONDS = 2.0


class StoreTest(unittest.TestCase):
    def test_entry_that_the_store_refuses_serves_through_another(self):
        # its callers got 503 for as long as the store refused it
        for silent in (False, True):
            with self.subTest(silent=silent):

                async def main(silent=silent):
                    async with Deployment() as deployment:
                        await trio.sleep(6)
                        entry = deployment.entry()
                        chosen = "unanswered_callers" if silent else "refused_callers"
                        getattr(deployment.store, chosen).add(entry.name)
                        self.assertEqual(200, await deployment.submit(ID, job(step()), entry=entry))
                        await deployment.wait_state(ID, "completed")

                run_virtual(main)

    def test_entries_that_are_refused_too_are_asked_last(self):
        # with a third of the entries refused, both that were asked could be refused as well
        async def main():
            async with Deployment(entries=6) as deployment:
                await trio.sleep(6)
                refused = list(deployment.entries.values())[:4]
                deployment.store.refused_callers.update(entry.name for entry in refused)
                await trio.sleep(1)
                for number in range(8):
                    job_id = f"{number}0000000000000a1"
                    status = await deployment.submit(job_id, job(step()), entry=refused[0])
                    self.assertEqual(200, status)

        run_virtual(main)

    def test_store_away_keeps_running_work(self):
        async def main():
            async with Deployment() as deployment:
                await deployment.submit(ID, job(step(2), ms=7000))
                await deployment.wait_state(ID, "running")
                deployment.store.down = True
                await trio.sleep(4.5)
                deployment.store.down = False
                await deployment.wait_state(ID, "completed")
                self.assertEqual([1, 1], list(deployment.fleet.starts.values()))

        run_virtual(main)

    def test_refusal_while_the_store_is_away_is_prompt_and_true(self):
        async def main():
            async with Deployment() as deployment:
                deployment.store.down = True
                began = trio.current_time()
                self.assertEqual(503, await deployment.submit(ID, job(step())))
                self.assertLess(trio.current_time() - began, 1.0)
                deployment.store.down = False
                await trio.sleep(5)
                self.assertEqual({}, deployment.fleet.starts)

        run_virtual(main)

    def test_lost_answers_of_the_store(self):
        async def main():
            async with Deployment(seed=5) as deployment:
                deployment.store.drop_answer_rate = 0.3
                statuses = [
                    await deployment.submit(f"{n}0000000000000a1", job(step(2))) for n in range(6)
                ]
                self.assertLessEqual(set(statuses), {200, 504})
                deployment.store.drop_answer_rate = 0.0
                for n, status in enumerate(statuses):
                    if status == 200:
                        await deployment.wait_state(f"{n}0000000000000a1", "completed")
                self.assertEqual([], deployment.fleet.violations)

        run_virtual(main)

    def test_late_writes_of_an_earlier_leader_have_no_effect(self):
        async def main():
            async with Deployment(seed=3) as deployment:
                deployment.store.late_rate = 0.3
                await deployment.submit(ID, job(step(4), ms=1500))
                await trio.sleep(1)
                leader = deployment.leader()
                if leader is not None:
                    deployment.kill_entry(leader.name)
                await trio.sleep(4)
                deployment.store.late_rate = 0.0
                await deployment.submit(ID, job(step(4), ms=1500))
                await deployment.wait_state(ID, "completed")
                self.assertEqual([], deployment.fleet.violations)

        run_virtual(main)

    def test_lost_history_is_read_anew(self):
        async def main():
            async with Deployment() as deployment:
                deployment.store.compact()
                self.assertEqual(200, await deployment.submit(ID, job(step())))
                deployment.store.compact()
                await deployment.wait_state(ID, "completed")

        run_virtual(main)

    def test_configuration_is_in_force_within_two_seconds(self):
        async def main():
            async with Deployment() as deployment:
                newer = {**CONFIGURATION, "version": 9, "tenants": []}
                deployment.store.unanswered_callers.add("e1")
                deployment.store.put("op", "config", newer)
                await trio.sleep(2)
                for entry in deployment.entries.values():
                    status, _ = await entry.call("GET", f"/q/{ID}")
                    self.assertEqual((entry.name, 401), (entry.name, status))

        run_virtual(main)

    def test_silent_connection_after_a_slow_store_delays_no_configuration(self):
        # the hedge followed the slow answers, and an entry kept an old version for 3 s
        run_virtual(self.follow_through_silence)

    def test_check_of_the_silent_connection_finds_an_unbounded_hedge(self):
        with mock.patch.object(relay, "MAX_READ_HEDGE_SECONDS", float("inf")):
            with self.assertRaisesRegex(AssertionError, "the condition does not hold"):
                run_virtual(self.follow_through_silence)

    async def follow_through_silence(self):
        async with Deployment() as deployment:
            await trio.sleep(6)
            deployment.store.delay = 1.5
            await trio.sleep(8)
            catalogs = deployment.entries["e1"].catalogs
            deployment.store.delay = 0.0
            deployment.store.unanswered_callers.add("e1")
            confirmed = catalogs.confirmed_at
            # the store still answers the call that it holds; the next one meets the silence
            await deployment.settle(lambda: catalogs.confirmed_at != confirmed)
            newer = {**CONFIGURATION, "version": 9, "tenants": []}
            deployment.store.put("op", "config", newer)
            await deployment.settle(lambda: catalogs.catalog.version == 9, CONFIG_SECONDS)

    def test_submission_into_a_silent_store_is_refused_at_once(self):
        # each entry held submissions for 3 s and then could not say whether they were stored
        async def main():
            async with Deployment() as deployment:
                deployment.store.unanswered_callers.update(deployment.entries)
                await trio.sleep(1.5)
                for number, entry in enumerate(deployment.entries.values()):
                    began = trio.current_time()
                    job_id = f"{number}0000000000000c3"
                    status = await deployment.submit(job_id, job(step()), entry=entry)
                    self.assertEqual((503, True), (status, trio.current_time() - began < 0.1))
                deployment.store.unanswered_callers.clear()
                await trio.sleep(1.0)
                self.assertEqual(200, await deployment.submit(ID, job(step())))
                await deployment.wait_state(ID, "completed", 4)

        run_virtual(main)

    def test_submission_under_way_as_the_store_falls_silent_is_stored_on_its_return(self):
        # it waited on its dead connection until the caller's deadline
        async def main():
            async with Deployment() as deployment:
                deployment.store.unanswered_callers.update(deployment.entries)
                results = []

                async def submit():
                    results.append(await deployment.submit(ID, job(step())))

                deployment.nursery.start_soon(submit)
                await trio.sleep(1.4)
                self.assertEqual([], results)
                deployment.store.unanswered_callers.clear()
                await trio.sleep(0.8)
                self.assertEqual([200], results)

        run_virtual(main)

    def test_leader_goes_on_soon_after_a_silent_store_has_returned(self):
        # a commit waited on its dead connection for up to 2 s after the store's return
        async def main():
            async with Deployment() as deployment:
                leader = deployment.leader()
                deployment.store.unanswered_callers.update(deployment.entries)
                await trio.sleep(3.0)
                deployment.store.unanswered_callers.clear()
                returned = trio.current_time()
                await deployment.settle(
                    lambda: (leader.leadership.confirmed_at or 0) > returned, 0.8
                )

        run_virtual(main)

    def test_calls_that_end_after_the_return_of_the_store_refuse_no_others(self):
        # a call for changes that was sent into the silence failed after it, and the entry
        # refused submissions until its next probe
        async def main():
            async with Deployment() as deployment:
                deployment.store.unanswered_callers.update(deployment.entries)
                await trio.sleep(3.0)
                deployment.store.unanswered_callers.clear()
                await trio.sleep(0.5)
                for _ in range(300):
                    lost = [e.name for e in deployment.entries.values() if not e.table.answering]
                    self.assertEqual([], lost)
                    await trio.sleep(0.01)

        run_virtual(main)

    def test_reads_pass_by_entries_that_are_cut_off_as_well(self):
        # each such entry was waited for in turn, 1.4 s each, and answers took up to 2.6 s
        async def main():
            async with Deployment(entries=6) as deployment:
                await deployment.submit(ID, job(step()))
                await deployment.wait_state(ID, "completed")
                await trio.sleep(6)
                cut = [entry for entry in deployment.entries if entry != "e5"][:4]
                deployment.store.unanswered_callers.update(cut)
                slowest = 0.0
                for _ in range(10):
                    for name in cut:
                        began = trio.current_time()
                        self.assertEqual(
                            "completed", await deployment.state(ID, deployment.entries[name])
                        )
                        slowest = max(slowest, trio.current_time() - began)
                self.assertLess(slowest, 1.0)

            self.assertEqual([], deployment.fleet.violations)

        run_virtual(main)

    def test_slow_store_is_not_taken_for_a_silent_one(self):
        # a refusal while the store works is work lost
        async def main():
            async with Deployment() as deployment:
                deployment.store.delay = 0.5
                for number in range(8):
                    status = await deployment.submit(f"{number}0000000000000d4", job(step()))
                    self.assertEqual(200, status)
                    await trio.sleep(0.3)

        run_virtual(main)

    def test_store_that_refuses_all_is_not_waited_for(self):
        # a refused submission was tried three times within 0.3 s before the caller got the answer
        async def main():
            async with Deployment() as deployment:
                deployment.store.down = True
                await trio.sleep(0.5)
                began = trio.current_time()
                self.assertEqual(503, await deployment.submit(ID, job(step())))
                self.assertLess(trio.current_time() - began, 0.05)
                deployment.store.down = False
                await trio.sleep(0.5)
                self.assertEqual(200, await deployment.submit(ID, job(step())))

        run_virtual(main)

    def test_older_configuration_is_passed_over(self):
        async def main():
            async with Deployment() as deployment:
                deployment.store.put("op", "config", {**CONFIGURATION, "version": 2, "routes": []})
                await trio.sleep(1)
                self.assertEqual(3, deployment.entry().catalogs.catalog.version)

        run_virtual(main)


if __name__ == "__main__":
    unittest.main()
