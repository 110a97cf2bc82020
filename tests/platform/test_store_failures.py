"""Tests of store failures over the stand-ins, in virtual time."""

import functools
import random
import unittest
from unittest import mock

import trio

from ibiscart_entry.coordination import catalog_watch, relay
from tests.platform.deployment import (
    CONFIGURATION,
    JOB_ID,
    OTHER_JOB_ID,
    QUEUE_PATH,
    Deployment,
    job,
    run_virtual,
    step,
)

# the platform's limit, at its small deployments, for the time from the write of a new
# configuration to its application by an entry
MAX_CONFIG_DELAY_SECONDS = 2.0
# the platform's limit for the time from a cancellation to the last start of a task of the job
MAX_CANCEL_DELAY_SECONDS = 3.0
# a link of 10 Mbit/s, that of most entries of the platform's larger deployments
LINK_BYTES_PER_SECOND = 1_250_000
# a link of 2 Mbit/s
SLOW_LINK_BYTES_PER_SECOND = 250_000


class RejectedWriteTest(unittest.TestCase):
    def test_rejected_registration_does_not_end_the_entry(self):
        async def main():
            async with Deployment() as deployment:
                entry = deployment.first_entry()
                key = ("nodes", "entries", entry.name)
                deployment.store.refused_rows.add(("nodes", entry.name))
                version = deployment.store.rows[key][1]
                await trio.sleep(12)
                self.assertEqual(deployment.store.rows[key][1], version)
                self.assertEqual(200, await deployment.submit(JOB_ID, job(step()), entry=entry))
                deployment.store.refused_rows.clear()
                await deployment.wait_until(lambda: deployment.store.rows[key][1] > version)

        run_virtual(main)

    def test_entries_know_one_another_beside_a_row_that_cannot_be_removed(self):
        async def main():
            async with Deployment() as deployment:
                for partition in ("", "other", "a/b", "entries/a"):
                    deployment.store.put("nodes", "odd", {}, partition=partition)
                deployment.store.put("nodes", "refused", {}, partition="entries")
                deployment.store.refused_rows.add(("nodes", "refused"))
                deployment.start_entry("e9")
                await trio.sleep(12)
                key = ("nodes", "entries", "e9")
                self.assertIn(key, deployment.store.rows)
                version = deployment.store.rows[key][1]
                await deployment.wait_until(lambda: deployment.store.rows[key][1] > version)
                for entry in deployment.entries.values():
                    self.assertEqual(3, len(entry.peer_directory.candidates(random)), entry.name)

        run_virtual(main)

    def test_rejected_resignation_does_not_disturb_the_shutdown(self):
        async def main():
            async with Deployment() as deployment:
                leader = deployment.leader()
                deployment.store.refused_rows.add(("leader", "leader"))
                await leader.leader.resign()
                deployment.store.refused_rows.clear()
                await deployment.wait_until(lambda: deployment.leader() not in (None, leader))

        run_virtual(main)

    def test_rejected_removal_of_a_job_concerns_this_job_alone(self):
        async def main():
            async with Deployment(retention_seconds=1.0) as deployment:
                leader = deployment.leader()
                epoch = leader.leadership.epoch
                for job_id in (JOB_ID, OTHER_JOB_ID):
                    await deployment.submit(job_id, job(step()))
                for job_id in (JOB_ID, OTHER_JOB_ID):
                    await deployment.wait_for_state(job_id, "completed")
                deployment.store.refused_rows.add(("jobs", JOB_ID))
                await deployment.wait_until(
                    lambda: ("jobs", OTHER_JOB_ID[0], OTHER_JOB_ID) not in deployment.store.rows
                )
                await trio.sleep(12)
                self.assertIn(("jobs", JOB_ID[0], JOB_ID), deployment.store.rows)
                self.assertEqual(leader.leadership.epoch, epoch)
                deployment.store.refused_rows.clear()
                await deployment.wait_until(
                    lambda: ("jobs", JOB_ID[0], JOB_ID) not in deployment.store.rows
                )

        run_virtual(main)


class StoreFailureTest(unittest.TestCase):
    def test_entry_refused_by_the_store_serves_callers_through_a_peer(self):
        # callers of an entry whose requests the store refused got 503 for as long as the refusals
        # lasted
        for unresponsive in (False, True):
            with self.subTest(unresponsive=unresponsive):

                async def main(unresponsive=unresponsive):
                    async with Deployment() as deployment:
                        await trio.sleep(6)
                        entry = deployment.first_entry()
                        callers = "unanswered_callers" if unresponsive else "refused_callers"
                        getattr(deployment.store, callers).add(entry.name)
                        self.assertEqual(
                            200, await deployment.submit(JOB_ID, job(step()), entry=entry)
                        )
                        await deployment.wait_for_state(JOB_ID, "completed")

                run_virtual(main)

    def test_relay_prefers_peers_that_reach_the_store(self):
        # an entry whose requests the store refused relayed each call through two peers only; when
        # the store refused a third of all entries, it could refuse both peers as well
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

    def test_running_tasks_survive_a_store_outage(self):
        async def main():
            async with Deployment() as deployment:
                await deployment.submit(JOB_ID, job(step(2), ms=7000))
                await deployment.wait_for_state(JOB_ID, "running")
                deployment.store.down = True
                await trio.sleep(4.5)
                deployment.store.down = False
                await deployment.wait_for_state(JOB_ID, "completed")
                self.assertEqual([1, 1], list(deployment.fleet.starts.values()))

        run_virtual(main)

    def test_submission_during_a_store_outage_is_refused_promptly_and_never_runs(self):
        async def main():
            async with Deployment() as deployment:
                deployment.store.down = True
                started_at = trio.current_time()
                self.assertEqual(503, await deployment.submit(JOB_ID, job(step())))
                self.assertLess(trio.current_time() - started_at, 1.0)
                deployment.store.down = False
                await trio.sleep(5)
                self.assertEqual({}, deployment.fleet.starts)

        run_virtual(main)

    def test_jobs_complete_despite_lost_store_responses(self):
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
                        await deployment.wait_for_state(f"{n}0000000000000a1", "completed")
                self.assertEqual([], deployment.fleet.violations)

        run_virtual(main)

    def test_delayed_writes_of_a_former_leader_have_no_effect(self):
        async def main():
            async with Deployment(seed=3) as deployment:
                deployment.store.late_rate = 0.3
                await deployment.submit(JOB_ID, job(step(4), ms=1500))
                await trio.sleep(1)
                leader = deployment.leader()
                if leader is not None:
                    deployment.kill_entry(leader.name)
                await trio.sleep(4)
                deployment.store.late_rate = 0.0
                await deployment.submit(JOB_ID, job(step(4), ms=1500))
                await deployment.wait_for_state(JOB_ID, "completed")
                self.assertEqual([], deployment.fleet.violations)

        run_virtual(main)

    def test_cancellation_is_known_in_time_after_all_connections_have_stalled(self):
        # the leader noticed only after the long poll's 5 s that no answer came; the announcement
        # was lost on a connection that had stalled too
        async def main(cancelled_at):
            async with Deployment() as deployment:
                await deployment.submit(JOB_ID, job(step(), ms=20_000))
                await deployment.wait_for_state(JOB_ID, "running")
                leader = deployment.leader()
                other = next(entry for entry in deployment.entries.values() if entry != leader)
                await trio.sleep_until(cancelled_at)
                deployment.store.stall_open_polls()
                other.announcer._leadership = mock.Mock(leader_address="")
                await other.call("DELETE", QUEUE_PATH + JOB_ID)
                jobs = leader.leader.coordinator._engine.jobs
                await deployment.wait_until(lambda: jobs[JOB_ID].ended, MAX_CANCEL_DELAY_SECONDS)

        # some of these moments are soon after the beginning of a poll
        for moment in range(10):
            with self.subTest(moment=moment):
                run_virtual(lambda moment=moment: main(6.0 + 0.6 * moment))

    def test_compacted_history_is_replaced_by_a_snapshot(self):
        async def main():
            async with Deployment() as deployment:
                deployment.store.compact()
                self.assertEqual(200, await deployment.submit(JOB_ID, job(step())))
                deployment.store.compact()
                await deployment.wait_for_state(JOB_ID, "completed")

        run_virtual(main)

    def test_configuration_takes_effect_within_two_seconds(self):
        async def main():
            async with Deployment() as deployment:
                newer = {**CONFIGURATION, "version": 9, "tenants": []}
                deployment.store.unanswered_callers.add("e1")
                deployment.store.put("op", "config", newer)
                await trio.sleep(2)
                for entry in deployment.entries.values():
                    status, _ = await entry.call("GET", f"/q/{JOB_ID}")
                    self.assertEqual((entry.name, 401), (entry.name, status))

        run_virtual(main)

    def test_unresponsive_connection_after_a_slow_store_does_not_delay_the_configuration(self):
        # the delay after which a read was also sent through a peer grew with the latency of a slow
        # store, so an entry whose connection to the store then became unresponsive kept an outdated
        # configuration for 3 s
        run_virtual(self.update_over_unresponsive_connection)

    def test_configuration_that_is_never_read_in_another_way_is_detected(self):
        with mock.patch.object(catalog_watch, "OVERDUE_SECONDS", float("inf")):
            with self.assertRaisesRegex(AssertionError, "the condition does not hold"):
                run_virtual(self.update_over_unresponsive_connection)

    def test_read_over_unresponsive_connection_after_a_slow_store_is_answered(self):
        # the delay after which a read was also sent through a peer grew with the latency of a slow
        # store, so a caller of an entry whose connection then became unresponsive waited for 2 s
        self.assertLess(run_virtual(self.time_read_over_unresponsive_connection), 1.0)

    def test_unbounded_hedge_delay_is_detected(self):
        with mock.patch.object(relay, "MAX_READ_HEDGE_SECONDS", float("inf")):
            self.assertGreater(run_virtual(self.time_read_over_unresponsive_connection), 1.0)

    async def time_read_over_unresponsive_connection(self):
        """Returns the seconds in which an entry whose connection stalled tells a job's state.

        The store was slow before. No call counts as overdue, as other connections of the entry may
        still be answered.
        """
        async with Deployment() as deployment:
            await deployment.submit(JOB_ID, job(step()))
            await deployment.wait_for_state(JOB_ID, "completed")
            await trio.sleep(6)
            entry = deployment.entries["e1"]
            deployment.store.unanswered_callers.add("e1")
            detector = entry.table._stall_detector
            detector.latency_seconds = 1.5
            started_at = trio.current_time()
            with mock.patch.object(type(detector), "stalled", False):
                self.assertEqual("completed", await deployment.state(JOB_ID, entry))
            return trio.current_time() - started_at

    async def update_over_unresponsive_connection(self):
        """Checks that an entry applies a new configuration in time after its connection stalled."""
        async with Deployment() as deployment:
            await trio.sleep(6)
            deployment.store.delay = 1.5
            await trio.sleep(8)
            catalogs = deployment.entries["e1"].catalogs
            deployment.store.delay = 0.0
            deployment.store.unanswered_callers.add("e1")
            confirmed_at = catalogs.confirmed_at
            # the store still answers the pending poll; the next poll gets no response
            await deployment.wait_until(lambda: catalogs.confirmed_at != confirmed_at)
            newer = {**CONFIGURATION, "version": 9, "tenants": []}
            deployment.store.put("op", "config", newer)
            await deployment.wait_until(
                lambda: catalogs.catalog.version == 9, MAX_CONFIG_DELAY_SECONDS
            )

    def test_submission_to_an_unresponsive_store_is_refused_immediately(self):
        # each entry waited 3 s for a store that did not answer, and then reported the outcome of
        # the submission as unknown
        async def main():
            async with Deployment() as deployment:
                deployment.store.unanswered_callers.update(deployment.entries)
                await trio.sleep(1.5)
                for number, entry in enumerate(deployment.entries.values()):
                    started_at = trio.current_time()
                    job_id = f"{number}0000000000000c3"
                    status = await deployment.submit(job_id, job(step()), entry=entry)
                    self.assertEqual((503, True), (status, trio.current_time() - started_at < 0.1))
                deployment.store.unanswered_callers.clear()
                await trio.sleep(1.0)
                self.assertEqual(200, await deployment.submit(JOB_ID, job(step())))
                await deployment.wait_for_state(JOB_ID, "completed", 4)

        run_virtual(main)

    def test_pending_submission_is_stored_when_the_store_recovers(self):
        # a submission that the unresponsive store had not answered waited on the dead connection
        # until the caller's deadline, although the store had recovered
        async def main():
            async with Deployment() as deployment:
                deployment.store.unanswered_callers.update(deployment.entries)
                results = []

                async def submit():
                    results.append(await deployment.submit(JOB_ID, job(step())))

                deployment.nursery.start_soon(submit)
                await trio.sleep(1.4)
                self.assertEqual([], results)
                deployment.store.unanswered_callers.clear()
                await trio.sleep(0.8)
                self.assertEqual([200], results)

        run_virtual(main)

    def test_leader_resumes_within_a_second_of_store_recovery(self):
        # a commit that the unresponsive store had not answered waited on the dead connection for
        # up to 2 s after the store had recovered
        async def main():
            async with Deployment() as deployment:
                leader = deployment.leader()
                deployment.store.unanswered_callers.update(deployment.entries)
                await trio.sleep(3.0)
                deployment.store.unanswered_callers.clear()
                recovered_at = trio.current_time()
                await deployment.wait_until(
                    lambda: (leader.leadership.confirmed_at or 0) > recovered_at, 0.8
                )

        run_virtual(main)

    def test_calls_that_fail_after_store_recovery_do_not_mark_it_unavailable(self):
        # a poll for changes that was sent while the store was unresponsive failed after the
        # recovery, and the entry refused submissions until its next probe of the store
        async def main():
            async with Deployment() as deployment:
                deployment.store.unanswered_callers.update(deployment.entries)
                await trio.sleep(3.0)
                deployment.store.unanswered_callers.clear()
                await trio.sleep(0.5)
                for _ in range(300):
                    unavailable = [
                        e.name for e in deployment.entries.values() if not e.table.answering
                    ]
                    self.assertEqual([], unavailable)
                    await trio.sleep(0.01)

        run_virtual(main)

    def test_reads_do_not_wait_for_peers_without_store_access(self):
        # a read waited for peers without store access one after another, 1.4 s each, and took up to
        # 2.6 s
        async def main():
            async with Deployment(entries=6) as deployment:
                await deployment.submit(JOB_ID, job(step()))
                await deployment.wait_for_state(JOB_ID, "completed")
                await trio.sleep(6)
                isolated = [entry for entry in deployment.entries if entry != "e5"][:4]
                deployment.store.unanswered_callers.update(isolated)
                slowest = 0.0
                for _ in range(10):
                    for name in isolated:
                        started_at = trio.current_time()
                        self.assertEqual(
                            "completed", await deployment.state(JOB_ID, deployment.entries[name])
                        )
                        slowest = max(slowest, trio.current_time() - started_at)
                self.assertLess(slowest, 1.0)

            self.assertEqual([], deployment.fleet.violations)

        run_virtual(main)

    def test_slow_store_is_not_suspected_of_failure(self):
        # an entry that takes a slow store for a failed one refuses submissions, whose jobs then
        # never run
        async def main():
            async with Deployment() as deployment:
                deployment.store.delay = 0.5
                for number in range(8):
                    status = await deployment.submit(f"{number}0000000000000d4", job(step()))
                    self.assertEqual(200, status)
                    await trio.sleep(0.3)

        run_virtual(main)

    def test_submission_to_an_unavailable_store_is_refused_without_retries(self):
        # an entry wrote a submission three times within 0.3 s to a store that refused the writes,
        # before it responded to the caller
        async def main():
            async with Deployment() as deployment:
                deployment.store.down = True
                await trio.sleep(0.5)
                started_at = trio.current_time()
                self.assertEqual(503, await deployment.submit(JOB_ID, job(step())))
                self.assertLess(trio.current_time() - started_at, 0.05)
                deployment.store.down = False
                await trio.sleep(0.5)
                self.assertEqual(200, await deployment.submit(JOB_ID, job(step())))

        run_virtual(main)

    def test_a_key_is_refused_by_an_entry_that_cannot_know_of_its_revocation(self):
        """Guards against calls that run under a key that was revoked 5 s before.

        The entry reads jobs through other entries, but its configuration is not renewed.
        """

        tenants = [{**tenant, "apiKeys": []} for tenant in CONFIGURATION["tenants"]]
        revoked = {**CONFIGURATION, "version": 4, "tenants": tenants}

        async def main(method, key_revocation_seconds):
            async with Deployment(key_revocation_seconds=key_revocation_seconds) as deployment:
                entry = deployment.first_entry()
                self.assertEqual(200, await deployment.submit(JOB_ID, job(step())))
                source = entry.catalogs._source
                unresponsive = mock.Mock(read=trio.sleep_forever, fetch=trio.sleep_forever)
                unresponsive.changes = lambda *arguments: trio.sleep_forever()
                entry.catalogs._source, entry.catalogs._peers = unresponsive, None
                await trio.sleep(1)
                deployment.store.put("op", "config", revoked)
                await trio.sleep(5)
                path = QUEUE_PATH + (OTHER_JOB_ID if method == "POST" else JOB_ID)
                body = job(step()) if method == "POST" else None
                cut_off = (await entry.call(method, path, body))[0]
                # as after a wake-up: the configuration is read while the request waits
                entry.catalogs._source = source
                entry.suspended_seconds += 10
                deployment.nursery.start_soon(entry.catalogs.run)
                woken = (await entry.call(method, path, body))[0]
                return cut_off, woken

        for method in ("POST", "GET"):
            with self.subTest(method=method):
                self.assertEqual((503, 401), run_virtual(lambda m=method: main(m, 5.0)))
        # without the bound, an entry that is cut off goes on serving
        self.assertEqual(200, run_virtual(lambda: main("GET", None))[0])

    def test_a_leader_that_was_suspended_extends_no_lease_before_the_store_confirms_it(self):
        """Guards against leases of a leader that another entry may have replaced meanwhile.

        The monotonic clock stops in a suspension, so the confirmation looks recent afterwards.
        """

        async def main(suspended_seconds):
            async with Deployment() as deployment:
                worker = await deployment.occupy_worker(ms=60_000)
                leader = deployment.leader()
                deployment.store.unanswered_callers.update(deployment.entries)
                await trio.sleep(0.5)
                leader.suspended_seconds += suspended_seconds
                await trio.sleep(0.2)
                deadline_ms = worker._deadline_ms
                await trio.sleep(3)
                return worker._deadline_ms - deadline_ms

        self.assertGreater(run_virtual(lambda: main(0)), 0)
        self.assertEqual(run_virtual(lambda: main(6)), 0)

    def test_a_snapshot_over_a_slow_link_is_read_once(self):
        """Guards against copies of a large snapshot that share the entry's own slow link.

        An entry on a link of 2 Mbit/s asked four others for the same rows while they arrived.
        """

        async def main():
            async with Deployment() as deployment:
                entry = deployment.first_entry()
                # the entry knows the others then
                await trio.sleep(6)
                for number in range(200):
                    key = f"{number % 10}{number:015}"
                    deployment.store.put("other", key, {"n": number}, partition=key[0])
                before = deployment.store.calls.get("/rows-get", 0)

                async def handle(request):
                    if request.query.get("table") == "other":
                        await trio.sleep(0.3)
                    return await deployment.store.handle(request)

                deployment.network.handlers["store"] = handle
                changes = await entry.table.snapshot("other")
                self.assertEqual(200, len(changes.rows))
                self.assertNotIn("store_snapshot", entry.metrics.render())
                self.assertLess(deployment.store.calls["/rows-get"] - before, 30)

        run_virtual(main)

    def test_configuration_is_in_time_on_entries_that_the_store_serves_while_most_are_cut_off(self):
        # entries that the store did not answer read a large configuration through the others, whose
        # own reads then waited for minutes behind these copies on their links of 10 Mbit/s
        for callers in ("unanswered_callers", "refused_callers"):
            with self.subTest(callers=callers):

                async def main(callers=callers):
                    async with Deployment(entries=12) as deployment:
                        await trio.sleep(7)
                        names = list(deployment.entries)
                        link = dict.fromkeys(names, LINK_BYTES_PER_SECOND)
                        deployment.network.link_bytes_per_second.update(link)
                        getattr(deployment.store, callers).update(names[:10])
                        for version in range(10, 25):
                            await self.put_large_configuration(deployment, version)

                run_virtual(main)

    def test_configuration_is_read_once_while_the_store_answers(self):
        # 0.4 s after each long poll that had brought no change, all entries read the configuration
        # in the ways meant for a store that does not answer; with a large one on links of
        # 10 Mbit/s, calls of callers and of the leader waited behind it
        async def main():
            async with Deployment(entries=6) as deployment:
                await trio.sleep(7)
                names = list(deployment.entries)
                link = dict.fromkeys(names, LINK_BYTES_PER_SECOND)
                deployment.network.link_bytes_per_second.update(link)
                bytes_read = dict.fromkeys(names, 0)
                largest = 0

                async def handle(request):
                    nonlocal largest
                    response = await deployment.store.handle(request)
                    if request.query.get("table") == "op":
                        bytes_read[request.remote] += len(response.body)
                        largest = max(largest, len(response.body))
                    return response

                deployment.network.handlers["store"] = handle
                for version in range(10, 20):
                    await self.put_large_configuration(deployment, version, seconds=1.3)
                for name, entry in deployment.entries.items():
                    self.assertLess(bytes_read[name], 10.5 * largest)
                    self.assertNotIn("peer_messages{catalog}", entry.metrics.render())

        run_virtual(main)

    def test_configuration_is_in_time_after_the_connections_of_all_entries_have_stalled(self):
        # an offer of another entry, confirmed before the connections stalled, must not keep an
        # entry from asking the store again
        async def main(stalled_at):
            async with Deployment(entries=4) as deployment:
                await trio.sleep_until(stalled_at)
                deployment.store.stall_open_polls()
                deployment.store.put("op", "config", {**CONFIGURATION, "version": 9})
                catalogs = [entry.catalogs for entry in deployment.entries.values()]
                await deployment.wait_until(
                    lambda: all(catalog.catalog.version == 9 for catalog in catalogs),
                    MAX_CONFIG_DELAY_SECONDS,
                )

        for moment in range(10):
            with self.subTest(moment=moment):
                run_virtual(functools.partial(main, 6.0 + 0.13 * moment))

    def test_large_configuration_is_in_time_on_an_entry_with_a_slow_link(self):
        # while the answer of the store was on its way, 1.2 s for a version, the entry asked for the
        # same version over a second connection, and both shared the link
        async def main():
            async with Deployment(entries=4) as deployment:
                await trio.sleep(7)
                link = dict.fromkeys(deployment.entries, LINK_BYTES_PER_SECOND)
                link["e1"] = SLOW_LINK_BYTES_PER_SECOND
                deployment.network.link_bytes_per_second.update(link)
                for version in range(10, 25):
                    await self.put_large_configuration(deployment, version, seconds=1.5)

        run_virtual(main)

    async def put_large_configuration(self, deployment, version, seconds=0.6):
        """Checks that all entries apply a configuration of 230 KB in time.

        Returns after ``seconds``, or as soon as they have.
        """
        template = CONFIGURATION["routes"][0]
        idle = [{**template, "name": f"i{n}", "pathPrefix": f"/i{n}/"} for n in range(1400)]
        routes = [*CONFIGURATION["routes"], *idle]
        newer = {**CONFIGURATION, "version": version, "routes": routes}
        deployment.store.put("op", "config", newer)
        next_at = trio.current_time() + seconds
        catalogs = [entry.catalogs for entry in deployment.entries.values()]
        await deployment.wait_until(
            lambda: all(catalog.catalog.version >= version for catalog in catalogs),
            MAX_CONFIG_DELAY_SECONDS,
        )
        await trio.sleep_until(max(next_at, trio.current_time()))

    def test_configuration_passes_through_an_entry_that_is_cut_off_too(self):
        # an entry that knew only entries without store access kept an outdated configuration
        async def main():
            async with Deployment(entries=4) as deployment:
                await trio.sleep(6)
                deployment.store.refused_callers.update({"e0", "e1"})
                deployment.network.partition({"e0"}, {"e2", "e3"})
                await trio.sleep(3)
                deployment.store.put("op", "config", {**CONFIGURATION, "version": 9})
                catalogs = deployment.entries["e0"].catalogs
                await deployment.wait_until(
                    lambda: catalogs.catalog.version == 9, MAX_CONFIG_DELAY_SECONDS
                )

        run_virtual(main)

    def test_older_configuration_is_ignored(self):
        async def main():
            async with Deployment() as deployment:
                deployment.store.put("op", "config", {**CONFIGURATION, "version": 2, "routes": []})
                await trio.sleep(1)
                self.assertEqual(3, deployment.first_entry().catalogs.catalog.version)

        run_virtual(main)


if __name__ == "__main__":
    unittest.main()
