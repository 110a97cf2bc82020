"""Guards membership against lists that are stale, flapping or unreadable."""

import unittest

import trio

from ibiscart_entry.membership import Membership
from ibiscart_entry.sign import TargetSigns
from ibiscart_schema.generated.target_pb2 import MembershipList
from tests.entry.cluster import virtual, worker
from tests.standins.members import MemberService
from tests.standins.table import Network


def build(nursery, signs=None):
    network = Network(nursery)
    service = MemberService()
    network.handlers["members"] = service.handle
    membership = Membership(network.connect_from("a")("members"), 2.0, signs)
    return service, membership


class MembershipTest(unittest.TestCase):
    @virtual
    async def test_a_change_is_seen_within_the_poll_interval(self, nursery):
        """A new worker must become usable soon."""
        service, membership = build(nursery)
        await nursery.start(membership.run)
        service.set_machine(worker(1))
        await trio.sleep(2.1)
        self.assertEqual([m.id for m in membership.workers()], ["w1"])

    @virtual
    async def test_lag_delays_changes(self, nursery):
        """The stand-in's lag must show the old list, or tests of lag show nothing."""
        service, membership = build(nursery)
        service.lag = 5.0
        service.set_machine(worker(1))
        await trio.sleep(4)
        await membership.poll()
        self.assertEqual(membership.workers(), [])
        await trio.sleep(1.1)
        await membership.poll()
        self.assertEqual(len(membership.workers()), 1)

    @virtual
    async def test_the_last_good_list_is_kept(self, nursery):
        """An outage of the list must not take all machines away."""
        service, membership = build(nursery)
        service.set_machine(worker(1))
        self.assertTrue(await membership.poll())
        service.faults.down = True
        for _ in range(10):
            self.assertFalse(await membership.poll())
        self.assertEqual(len(membership.workers()), 1)

    @virtual
    async def test_an_unchanged_list_is_not_sent_again(self, nursery):
        """The list of a region is larger than the bytes an entry may use in a second."""
        service, membership = build(nursery)
        service.set_machine(worker(1))
        statuses = []

        async def after(answer):
            statuses.append(answer.status)
            return answer

        service.faults.after_effect = after
        for _ in range(3):
            self.assertTrue(await membership.poll())
        service.remove("w1")
        for _ in range(5):
            self.assertTrue(await membership.poll())
        self.assertEqual(statuses, [200, 304, 304, 200, 200, 200, 304, 304])
        self.assertEqual(membership.workers(), [])

    @virtual
    async def test_a_stale_list_is_ignored(self, nursery):
        """A lagging replica of the list must not bring a removed machine back."""
        service, membership = build(nursery)
        service.set_machine(worker(1))
        await membership.poll()
        service.remove("w1")
        for _ in range(4):
            await membership.poll()
        self.assertEqual(membership.workers(), [])
        service._visible_list = MembershipList(version=1, machines=[worker(1)])
        self.assertFalse(await membership.poll())
        self.assertEqual(membership.workers(), [])

    @virtual
    async def test_a_restarted_list_is_taken_in_the_end(self, nursery):
        """A list whose versions begin anew must not be ignored forever."""
        service, membership = build(nursery)
        for _ in range(5):
            service.set_machine(worker(1))
        await membership.poll()
        service._visible_list = MembershipList(version=1, machines=[worker(2)])
        for _ in range(30):
            await membership.poll()
        self.assertEqual([m.id for m in membership.workers()], ["w2"])

    @virtual
    async def test_a_machine_missing_from_one_list_is_kept(self, nursery):
        """A flapping list must not stop work on a machine that runs."""
        service, membership = build(nursery)
        service.set_machine(worker(1))
        await membership.poll()
        for _ in range(3):
            service.remove("w1")
            await membership.poll()
            await membership.poll()
            self.assertEqual(len(membership.workers()), 1)
            service.set_machine(worker(1))
            await membership.poll()
        service.remove("w1")
        for _ in range(3):
            await membership.poll()
        self.assertEqual(membership.workers(), [])

    @virtual
    async def test_a_leaving_machine_stays_leaving(self, nursery):
        """A flapping list must not send new work to a leaving target (P6)."""
        signs = TargetSigns()
        service, membership = build(nursery, signs)
        leaving = worker(1)
        leaving.leaving = True
        service.set_machine(leaving)
        await membership.poll()
        self.assertFalse(signs.eligible("w1"))
        service.set_machine(worker(1))
        await membership.poll()
        self.assertTrue(membership.machines["w1"].leaving)
        self.assertFalse(signs.eligible("w1"))

    @virtual
    async def test_the_list_is_changed_over_http(self, nursery):
        """Tests of processes change the list through these paths only."""
        network = Network(nursery)
        service = MemberService()
        network.handlers["members"] = service.handle
        client = network.connect_from("test")("members")
        membership = Membership(client)

        async def send(method, path, body=b""):
            response = await client.request(method, path, body=body, timeout=1)
            self.assertEqual(response.status, 200)
            await membership.poll()
            return [m.id for m in membership.workers()]

        self.assertEqual(await send("PUT", "/machines/w1", b'{"id":"w1","role":"worker"}'), ["w1"])
        machines = b'{"machines":[{"id":"w2","role":"worker"}]}'
        await send("POST", "/machines", machines)
        await membership.poll()
        self.assertEqual(await send("POST", "/lag", b'{"lag": 3}'), ["w2"])
        self.assertEqual(await send("DELETE", "/machines/w2"), ["w2"])
        await trio.sleep(3)
        for _ in range(3):
            await membership.poll()
        self.assertEqual(membership.workers(), [])
        await send("POST", "/control", b'{"down": true}')
        self.assertFalse(await membership.poll())


if __name__ == "__main__":
    unittest.main()
