"""Guards the packing of guaranteed shapes against needless refusals and needless moves."""

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

WHOLE_WORKER = shape(1, 8, scope=SCOPE_WORKER)


def places(world, account):
    return {
        key.guarantee + str(key.index): reservation.workers
        for key, reservation in world.working.reservations.items()
        if key.account == account
    }


def ledger_with(workers, sizes):
    """Returns a ledger with a reservation per (accelerators, worker number or None)."""
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
    def test_small_shapes_take_the_tightest_workers(self):
        """Small guarantees spread over the racks would leave no rack for a large one."""
        world = World()
        world.send(register(2, 2))
        for account in ("perth", "dundee", "leith"):
            world.send(put_contract(account, 0, [("small", shape(1, 2), 1)]))
        used = {w for a in ("perth", "dundee", "leith") for w in places(world, a)["small0"]}
        self.assertEqual(len(used), 1)
        reply = world.send(put_contract("howrah", 0, [("rack", shape(2, 8), 1)]))[0]
        self.assertFalse(reply.HasField("error"), reply.error)

    def test_unclaimed_reservations_move_out_of_the_way(self):
        """A large guarantee must not be refused when moving small ones makes room."""
        world = World()
        world.send(register(2, 2))
        fillers = [("a", shape(1, 8), 1), ("b", shape(1, 8), 1), ("c", shape(1, 8), 1)]
        world.send(put_contract("perth", 0, fillers))
        taken = places(world, "perth")
        racks = {name: workers[0][:4] for name, workers in taken.items()}
        # drop one so that each rack holds one reserved and one free worker
        twin = next(n for n in racks if list(racks.values()).count(racks[n]) == 2)
        kept = [f for f in fillers if f[0] != twin[0]]
        world.send(put_contract("perth", 1, kept))
        self.assertEqual(len({w[0][:4] for w in places(world, "perth").values()}), 2)
        reply = world.send(put_contract("dundee", 0, [("rack", shape(2, 8), 1)]))[0]
        self.assertFalse(reply.HasField("error"), reply.error)
        self.assertEqual(violations(world.working, world.now_us), [])
        self.assertEqual(len(set(places(world, "dundee")["rack0"])), 2)

    def test_making_room_moves_no_more_than_needed(self):
        """Each moved reservation may cost a preemption later."""
        ledger = ledger_with(4, [(3, 0), (3, 1), (3, 2), (3, 3), (8, None)])
        plan = plan_reservations(ledger)
        self.assertEqual(plan.unmet, [])
        moved = [k for k, r in ledger.reservations.items() if r.workers != plan.workers_by_key[k]]
        self.assertEqual(len(moved), 2)

    def test_a_repack_meets_what_no_single_move_can(self):
        """A shape must not be refused while some packing of all shapes exists."""
        sizes = [(3, 1), (7, 3), (4, 1), (5, 0), (4, 2), (1, 0), (8, None)]
        plan = plan_reservations(ledger_with(4, sizes))
        self.assertEqual(plan.unmet, [])

    def test_claimed_reservations_do_not_move(self):
        """Moving the places of a running guaranteed job would leave it without a guarantee."""
        world = World()
        world.send(register(2, 1))
        world.send(put_contract("perth", 0, [("a", shape(1, 4), 1)]))
        world.send(submit("perth", "job", shape(1, 4)))
        place = places(world, "perth")["a0"]
        world.send(put_contract("dundee", 0, [("b", WHOLE_WORKER, 1)]))
        reply = world.send(put_contract("leith", 0, [("c", WHOLE_WORKER, 1)]))[0]
        self.assertEqual(places(world, "perth")["a0"], place)
        self.assertEqual(reply.error.code, "contract_unpackable")
        self.assertIn("leith/c/0", list(reply.error.details))

    def test_present_places_stay_when_they_fit(self):
        """A contract change that moves other accounts' reservations would cost preemptions."""
        world = World()
        world.send(register(2, 4))
        for account in ("perth", "dundee"):
            world.send(put_contract(account, 0, [("a", shape(3, 4), 1)]))
        before = places(world, "perth")
        world.send(put_contract("dundee", 1, [("a", shape(6, 4), 1), ("b", shape(1, 8), 1)]))
        self.assertEqual(places(world, "perth"), before)

    def test_a_lost_rack_leaves_the_other_guarantees_met(self):
        """Losing a rack must cost only guarantees that no longer fit, and only for a while."""
        world = World()
        world.send(register(2, 2))
        world.send(put_contract("perth", 0, [("a", WHOLE_WORKER, 2)]))
        world.send(put_contract("dundee", 0, [("b", WHOLE_WORKER, 1)]))
        world.send(*[report_worker(f"w000-0{i}", TARGET_LOST) for i in range(2)])
        met = [key for key, r in world.working.reservations.items() if r.workers]
        self.assertEqual(len(met), 2)
        self.assertEqual(violations(world.working, world.now_us), [])
        # an unrelated change is not refused for what the loss left unmet
        reply = world.send(put_contract("perth", 1, [("a", WHOLE_WORKER, 2)], weight=2))[0]
        self.assertFalse(reply.HasField("error"), reply.error)
        world.send(*[report_worker(f"w000-0{i}", TARGET_LIVE) for i in range(2)])
        self.assertTrue(all(r.workers for r in world.working.reservations.values()))

    def test_a_reservation_freed_on_a_lost_worker_is_packed_anew(self):
        """A claim that ends after its worker was lost must not leave its guarantee there."""
        world = World()
        world.send(register(2, 1))
        world.send(put_contract("perth", 0, [("a", shape(1, 8), 1)]))
        world.send(submit("perth", "job", shape(1, 8)))
        place = places(world, "perth")["a0"][0]
        world.send(report_worker(place, TARGET_LOST))
        world.start_and_stop()
        self.assertNotEqual(places(world, "perth")["a0"][0], place)
        world.send(seconds=5)
        self.assertEqual(len(world.events_of("job_placed")), 1)

    def test_ended_fixed_work_makes_room_for_an_unmet_guarantee(self):
        """A guarantee must not stay unmet once the work in its way has ended."""
        world = World()
        world.send(register(2, 1))
        world.send(put_contract("perth", 0, [("a", WHOLE_WORKER, 1)]))
        world.send(put_contract("leith", 0))
        world.send(submit("leith", "once", shape(1, 4), repeatable=False))
        world.start_and_stop()
        place = places(world, "perth")["a0"][0]
        world.send(report_worker(place, TARGET_LOST))
        self.assertEqual(places(world, "perth")["a0"], ())
        world.finish(world.job("leith", "once"))
        self.assertNotEqual(places(world, "perth")["a0"], ())

    def test_a_repack_meets_shapes_of_every_scope(self):
        """A full region must be packed to the last accelerator, whatever the order of changes."""
        world = World()
        world.send(register(4, 4))
        small = [("s", shape(1, 1, scope=SCOPE_REGION), 32), ("m", shape(1, 4), 8)]
        world.send(put_contract("perth", 0, small))
        large = [("l", shape(4, 8, scope=SCOPE_RACK), 1), ("w", WHOLE_WORKER, 4)]
        reply = world.send(put_contract("dundee", 0, large))[0]
        self.assertFalse(reply.HasField("error"), reply.error)
        self.assertEqual(violations(world.working, world.now_us), [])


if __name__ == "__main__":
    unittest.main()
