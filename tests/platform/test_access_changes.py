"""Submissions that wait in an entry while the configuration changes, in virtual time."""

import unittest

import trio

from tests.platform.deployment import (
    CONFIGURATION,
    JOB_ID,
    QUEUE_PATH,
    Deployment,
    job,
    run_virtual,
    step,
)

ROUTES, ACCOUNTS = CONFIGURATION["routes"], CONFIGURATION["tenants"]


class AccessChangeTest(unittest.TestCase):
    def check(self, expected_status, **changes):
        """Checks the status of a submission that is held while the configuration changes."""

        async def main():
            async with Deployment() as deployment:
                entry = deployment.first_entry()
                admit, held, released = entry.gate.admit, trio.Event(), trio.Event()

                async def hold(*arguments, **options):
                    held.set()
                    await released.wait()
                    await admit(*arguments, **options)

                entry.gate.admit = hold
                statuses = []

                async def submit():
                    statuses.append(await deployment.submit(JOB_ID, job(step()), entry=entry))

                deployment.nursery.start_soon(submit)
                await held.wait()
                version = CONFIGURATION["version"] + 1
                document = {**CONFIGURATION, "version": version, **changes}
                deployment.store.put("op", "config", document)
                await deployment.wait_until(lambda: entry.catalogs.catalog.version == version)
                released.set()
                await deployment.wait_until(lambda: statuses)
                self.assertEqual([expected_status], statuses)
                stored = any(table == "jobs" for table, _, _ in deployment.store.rows)
                self.assertEqual(expected_status == 200, stored)

        run_virtual(main)

    def test_job_is_not_stored_after_its_key_was_revoked(self):
        # it was stored as long after the revocation as the store took to answer
        self.check(401, tenants=[{**ACCOUNTS[0], "apiKeys": ["key-new"]}, ACCOUNTS[1]])

    def test_job_is_not_stored_after_its_account_was_removed(self):
        self.check(401, tenants=ACCOUNTS[1:])

    def test_job_is_not_stored_for_the_earlier_account_of_its_key(self):
        moved = [{**ACCOUNTS[0], "apiKeys": []}, {**ACCOUNTS[1], "apiKeys": ["key-a", "key-b"]}]
        self.check(503, tenants=moved)

    def test_job_is_not_stored_after_its_queue_was_removed(self):
        self.check(404, routes=[r for r in ROUTES if r["pathPrefix"] != QUEUE_PATH])

    def test_other_change_does_not_refuse_a_job(self):
        self.check(200, tenants=[*ACCOUNTS, {"name": "c", "apiKeys": ["key-c"]}])


if __name__ == "__main__":
    unittest.main()
