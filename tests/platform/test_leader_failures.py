"""Tests of the leader's failures over the stand-ins, in virtual time."""

import unittest

import trio

from tests.platform.deployment import ID, Deployment, job, run_virtual, step


class LeaderTest(unittest.TestCase):
    def test_killed_leader_is_replaced_and_running_work_goes_on(self):
        async def main():
            async with Deployment() as deployment:
                await deployment.submit(ID, job(step(4), ms=4000))
                await deployment.wait_state(ID, "running")
                deployment.kill_entry(deployment.leader().name)
                await deployment.wait_state(ID, "completed", 8)
                self.assertEqual([1] * 4, list(deployment.fleet.starts.values()))

        run_virtual(main)

    def test_takeover_takes_less_than_two_seconds(self):
        # the leases of running work and the wait of urgent jobs depend on it
        async def main():
            async with Deployment() as deployment:
                deployment.kill_entry(deployment.leader().name)
                began = trio.current_time()
                await deployment.settle(lambda: deployment.leader() is not None)
                self.assertLess(trio.current_time() - began, 2.0)

        run_virtual(main)

    def test_paused_leader_is_fenced_off(self):
        async def main():
            async with Deployment() as deployment:
                old = deployment.leader()
                await deployment.submit(ID, job(step(2), ms=5000))
                await deployment.wait_state(ID, "running")
                deployment.network.pause(old.name)
                others = [e for e in deployment.entries.values() if e is not old]
                await deployment.settle(
                    lambda: any(entry.leader.coordinator is not None for entry in others)
                )
                await trio.sleep(1)
                deployment.network.resume(old.name)
                await deployment.wait_state(ID, "completed")
                await trio.sleep(1)
                leading = [e for e in deployment.entries.values() if e.leader.leads]
                self.assertEqual(1, len(leading))
                self.assertEqual([], deployment.fleet.violations)

        run_virtual(main)

    def test_all_entries_lost_at_once(self):
        async def main():
            async with Deployment() as deployment:
                await deployment.submit(ID, job(step(4), step(1, after=[0]), ms=2000))
                await deployment.wait_state(ID, "running")
                for name in list(deployment.entries):
                    deployment.kill_entry(name)
                await trio.sleep(1)
                for number in range(3):
                    deployment.start_entry(f"e{number}")
                await deployment.settle(lambda: deployment.leader() is not None)
                await deployment.wait_state(ID, "completed")
                self.assertEqual([1] * 5, list(deployment.fleet.starts.values()))

        run_virtual(main)

    def test_resigned_leader_is_followed_at_once(self):
        async def main():
            async with Deployment() as deployment:
                old = deployment.leader()
                await old.leader.resign()
                began = trio.current_time()
                await deployment.settle(lambda: deployment.leader() is not None)
                self.assertLess(trio.current_time() - began, 0.5)

        run_virtual(main)


if __name__ == "__main__":
    unittest.main()
