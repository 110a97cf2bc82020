"""Guards the packing of guaranteed shapes against needless refusals and moves."""

import unittest

from ibiscart_core.ledger import Ledger
from ibiscart_core.packing import plan_reservations
from ibiscart_core.policy import Batch
from ibiscart_schema.generated.types_pb2 import (
    SCOPE_RACK,
    SCOPE_REGION,
    SCOPE_WORKER,
    TARGET_LIVE,
    TARGET_LOST,
)
from tests.core.invariant import violations
from tests.core.world import World, put_contract, register, report_worker, shape, submit

FULL_WORKER = shape(1, 8, scope=SCOPE_WORKER)


def workers_by_reservation(world, account):
    return {
        key.guarantee + str(key.index): reservation.workers
        for key, reservation in world.working.reservations.items()
        if key.account == account
    }


def ledger_with(workers, sizes):
    """Returns a ledger with one reservation for each (accelerators, index of worker or None)."""
    ledger = Ledger("alba")
    batch = Batch(ledger, 1)
    for info in register(workers, 1).register_workers.workers:
        batch.emit(worker_registered={"worker": info})
    guarantees = [
        (f"g{index}", shape(1, size, scope=SCOPE_WORKER), 1)
        for index, (size, _) in enumerate(sizes)
    ]
    contract = put_contract("perth", 0, guarantees).put_contract.contract
    batch.emit(contract_changed={"contract": contract})
    for index, (_, worker) in enumerate(sizes):
        if worker is not None:
            key = {"account": "perth", "guarantee": f"g{index}", "index": 0}
            batch.emit(reservation_set={"key": key, "workers": [f"w{worker:03}-00"]})
    return ledger


class PackingTest(unittest.TestCase):
    def test_small_guarantees_do_not_fragment_the_racks(self):
        """Small guarantees spread over all racks would leave no rack for a large one."""
        world = World()
        world.send(register(2, 2))
        for account in ("perth", "dundee", "leith"):
            world.send(put_contract(account, 0, [("small", shape(1, 2), 1)]))
        used = {
            w
            for a in ("perth", "dundee", "leith")
            for w in workers_by_reservation(world, a)["small0"]
        }
        self.assertEqual(len(used), 1)
        reply = world.send(put_contract("howrah", 0, [("rack", shape(2, 8), 1)]))[0]
        self.assertFalse(reply.HasField("error"), reply.error)

    def test_unclaimed_reservations_do_not_block_a_large_guarantee(self):
        """A large guarantee must not be refused if it fits after moving small ones."""
        world = World()
        world.send(register(2, 2))
        guarantees = [("a", shape(1, 8), 1), ("b", shape(1, 8), 1), ("c", shape(1, 8), 1)]
        world.send(put_contract("perth", 0, guarantees))
        workers_before = workers_by_reservation(world, "perth")
        rack_by_name = {name: workers[0][:4] for name, workers in workers_before.items()}
        # one guarantee is removed so that each rack has one reserved and one free worker
        dropped = next(
            n for n in rack_by_name if list(rack_by_name.values()).count(rack_by_name[n]) == 2
        )
        remaining_guarantees = [f for f in guarantees if f[0] != dropped[0]]
        world.send(put_contract("perth", 1, remaining_guarantees))
        self.assertEqual(
            len({w[0][:4] for w in workers_by_reservation(world, "perth").values()}), 2
        )
        reply = world.send(put_contract("dundee", 0, [("rack", shape(2, 8), 1)]))[0]
        self.assertFalse(reply.HasField("error"), reply.error)
        self.assertEqual(violations(world.working, world.now_us), [])
        self.assertEqual(len(set(workers_by_reservation(world, "dundee")["rack0"])), 2)

    def test_no_more_reservations_are_moved_than_needed(self):
        """Each needless move may cost a preemption later."""
        ledger = ledger_with(4, [(3, 0), (3, 1), (3, 2), (3, 3), (8, None)])
        plan = plan_reservations(ledger)
        self.assertEqual(plan.unmet, [])
        moved = [k for k, r in ledger.reservations.items() if r.workers != plan.workers_by_key[k]]
        self.assertEqual(len(moved), 2)

    def test_no_guarantee_is_unmet_while_a_packing_from_scratch_meets_all(self):
        """A shape must not be refused because moves within one domain do not make it fit."""
        sizes = [(3, 1), (7, 3), (4, 1), (5, 0), (4, 2), (1, 0), (8, None)]
        plan = plan_reservations(ledger_with(4, sizes))
        self.assertEqual(plan.unmet, [])

    def test_claimed_reservations_do_not_move(self):
        """A running job would lose its guarantee if its reservation moved to other workers."""
        world = World()
        world.send(register(2, 1))
        world.send(put_contract("perth", 0, [("a", shape(1, 4), 1)]))
        world.send(submit("perth", "job", shape(1, 4)))
        workers = workers_by_reservation(world, "perth")["a0"]
        world.send(put_contract("dundee", 0, [("b", FULL_WORKER, 1)]))
        reply = world.send(put_contract("leith", 0, [("c", FULL_WORKER, 1)]))[0]
        self.assertEqual(workers_by_reservation(world, "perth")["a0"], workers)
        self.assertEqual(reply.error.code, "contract_unpackable")
        self.assertIn("leith/c/0", list(reply.error.details))

    def test_contract_change_does_not_move_fitting_reservations(self):
        """Moving the reservations of other accounts would cost preemptions."""
        world = World()
        world.send(register(2, 4))
        for account in ("perth", "dundee"):
            world.send(put_contract(account, 0, [("a", shape(3, 4), 1)]))
        before = workers_by_reservation(world, "perth")
        world.send(put_contract("dundee", 1, [("a", shape(6, 4), 1), ("b", shape(1, 8), 1)]))
        self.assertEqual(workers_by_reservation(world, "perth"), before)

    def test_lost_rack_does_not_affect_guarantees_that_still_fit(self):
        """When a rack is lost, only guarantees that no longer fit are unmet, until it returns."""
        world = World()
        world.send(register(2, 2))
        world.send(put_contract("perth", 0, [("a", FULL_WORKER, 2)]))
        world.send(put_contract("dundee", 0, [("b", FULL_WORKER, 1)]))
        world.send(*[report_worker(f"w000-0{i}", TARGET_LOST) for i in range(2)])
        met = [key for key, r in world.working.reservations.items() if r.workers]
        self.assertEqual(len(met), 2)
        self.assertEqual(violations(world.working, world.now_us), [])
        # an unrelated change is not refused because of the unmet guarantee
        reply = world.send(put_contract("perth", 1, [("a", FULL_WORKER, 2)], weight=2))[0]
        self.assertFalse(reply.HasField("error"), reply.error)
        world.send(*[report_worker(f"w000-0{i}", TARGET_LIVE) for i in range(2)])
        self.assertTrue(all(r.workers for r in world.working.reservations.values()))

    def test_unclaimed_reservation_does_not_stay_on_a_lost_worker(self):
        """A reservation must move if its worker is lost before the claiming job ends."""
        world = World()
        world.send(register(2, 1))
        world.send(put_contract("perth", 0, [("a", shape(1, 8), 1)]))
        world.send(submit("perth", "job", shape(1, 8)))
        worker_id = workers_by_reservation(world, "perth")["a0"][0]
        world.send(report_worker(worker_id, TARGET_LOST))
        world.start_and_stop()
        self.assertNotEqual(workers_by_reservation(world, "perth")["a0"][0], worker_id)
        world.send(seconds=5)
        self.assertEqual(len(world.events_of("job_placed")), 1)

    def test_guarantee_is_not_left_unmet_after_a_non_repeatable_job(self):
        """An unmet guarantee must be met when the job that blocks it has ended."""
        world = World()
        world.send(register(2, 1))
        world.send(put_contract("perth", 0, [("a", FULL_WORKER, 1)]))
        world.send(put_contract("leith", 0))
        world.send(submit("leith", "once", shape(1, 4), repeatable=False))
        world.start_and_stop()
        worker_id = workers_by_reservation(world, "perth")["a0"][0]
        world.send(report_worker(worker_id, TARGET_LOST))
        self.assertEqual(workers_by_reservation(world, "perth")["a0"], ())
        world.finish(world.job("leith", "once"))
        self.assertNotEqual(workers_by_reservation(world, "perth")["a0"], ())

    def test_no_shape_of_any_scope_is_refused_in_a_full_region(self):
        """A set of guarantees that fills the region must fit in any order of changes."""
        world = World()
        world.send(register(4, 4))
        small = [("s", shape(1, 1, scope=SCOPE_REGION), 32), ("m", shape(1, 4), 8)]
        world.send(put_contract("perth", 0, small))
        large = [("l", shape(4, 8, scope=SCOPE_RACK), 1), ("w", FULL_WORKER, 4)]
        reply = world.send(put_contract("dundee", 0, large))[0]
        self.assertFalse(reply.HasField("error"), reply.error)
        self.assertEqual(violations(world.working, world.now_us), [])


if __name__ == "__main__":
    unittest.main()
