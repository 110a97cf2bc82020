"""Guards the queues against jobs that can never be placed."""

import unittest

from ibiscart_schema.generated.types_pb2 import RAN_NO
from tests.core.world import World, put_contract, register, shape, submit


class AdmissionTest(unittest.TestCase):
    def test_job_above_the_burst_limits_is_not_queued(self):
        """A job above its account's limit on accelerators or processors would wait forever."""
        world = World()
        world.send(register(1, 2))
        world.send(put_contract("leith", 0, accelerators=4, cpu_millis=8000))
        for job_shape, bound in (
            (shape(1, 5, 1000), "burst_accelerators=4"),
            (shape(3, 1, 3000), "burst_cpu_millis=8000"),
        ):
            error = world.send(submit("leith", "a", job_shape))[0].error
            self.assertEqual((error.code, error.bound), ("over_limit", bound))
        self.assertFalse(world.send(submit("leith", "b", shape(2, 2, 4000)))[0].HasField("error"))

    def test_burst_limits_do_not_refuse_a_guaranteed_job(self):
        """A guarantee must be usable even if it is larger than the account's burst limits."""
        world = World()
        world.send(register(1, 2))
        guarantees = [("a", shape(1, 8, 8000), 1)]
        world.send(put_contract("perth", 0, guarantees, accelerators=0, cpu_millis=0))
        reply = world.send(submit("perth", "a", shape(1, 8, 8000)))[0]
        self.assertFalse(reply.HasField("error"), reply.error)
        self.assertEqual(len(world.events_of("job_placed")), 1)

    def test_non_repeatable_job_without_unreserved_capacity_is_not_queued(self):
        """A job that may run only once never gets reserved capacity and would wait forever."""
        world = World()
        world.send(register(1, 2), put_contract("leith", 0))
        world.send(put_contract("perth", 0, [("a", shape(2, 4), 1)]))
        error = world.send(submit("leith", "late", shape(2, 6), repeatable=False))[0].error
        self.assertEqual((error.code, error.ran), ("impossible_shape", RAN_NO))
        for job_shape, repeatable in ((shape(2, 4), False), (shape(2, 6), True)):
            command = submit("leith", f"{repeatable}", job_shape, repeatable=repeatable)
            self.assertFalse(world.send(command)[0].HasField("error"))


if __name__ == "__main__":
    unittest.main()
