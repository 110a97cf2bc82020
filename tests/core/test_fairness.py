"""Guards queued jobs against starvation by short jobs, small jobs, claims and other accounts."""

import unittest

from ibiscart_schema.generated.types_pb2 import SCOPE_RACK
from tests.core.simulation import Simulation
from tests.core.world import World, cancel, put_contract, register, shape, submit

RACK_GANG = shape(8, 8, scope=SCOPE_RACK)


class Stream:
    """Submits small jobs so that ``waiting`` of them are always queued.

    ``fields`` maps arguments of ``submit`` to functions of the job's number.
    """

    def __init__(self, simulation, account, waiting, **fields):
        self.simulation = simulation
        self.account = account
        self.waiting = waiting
        self.fields = fields
        self.next_id = 0

    def commands(self):
        queued = self.simulation.world.working.accounts[self.account].queued
        count = self.waiting - len([k for k in queued if k.request_id.startswith("small")])
        made = []
        for _ in range(max(0, count)):
            self.next_id += 1
            fields = {key: value(self.next_id) for key, value in self.fields.items()}
            made.append(submit(self.account, f"small-{self.next_id}", shape(1, 1), **fields))
        return made


class BackfillTest(unittest.TestCase):
    def run_gang(self, gang_seconds, small_fields, small_run_seconds, limit_seconds):
        world = World()
        world.send(register(2, 8))
        world.send(put_contract("perth", 0, accelerators=1000))
        world.send(put_contract("leith", 0, accelerators=1000))
        simulation = Simulation(
            world, lambda job: 30 if job.key.request_id == "gang" else small_run_seconds(job)
        )
        stream = Stream(simulation, "leith", 40, **small_fields)
        for _ in range(12):
            simulation.tick(*stream.commands())
        simulation.tick(submit("perth", "gang", RACK_GANG, "gang", gang_seconds))
        begin = simulation.seconds
        while "gang" not in simulation.started and simulation.seconds < begin + limit_seconds:
            simulation.tick(*stream.commands())
        self.assertTrue("gang" in simulation.started, f"not started within {limit_seconds} s")
        return simulation

    def test_a_large_gang_is_not_starved_by_small_jobs(self):
        """Small jobs that use each accelerator once it is free would delay a rack gang forever."""
        simulation = self.run_gang(
            gang_seconds=3600,
            small_fields={"seconds": lambda _: 100},
            small_run_seconds=lambda job: 60 + int(job.key.request_id[6:]) * 37 % 40,
            limit_seconds=400,
        )
        self.assertTrue(simulation.reasons)

    def test_capacity_reserved_for_a_gang_is_not_idle_before_its_start(self):
        """Without backfill, reserved workers would be idle until the last long job ends."""
        simulation = self.run_gang(
            gang_seconds=3600,
            small_fields={
                "seconds": lambda n: 900 if n % 8 == 0 else 40,
                "kind": lambda n: "long" if n % 8 == 0 else "short",
            },
            small_run_seconds=lambda job: 900 if job.spec.kind == "long" else 40,
            limit_seconds=1500,
        )
        self.assertGreater(len(simulation.reasons.get("backfill", ())), 50)

    def test_a_long_job_blocked_by_a_reservation_does_not_block_a_short_one(self):
        """A shape that does not fit beside a backfill reservation may still fit for short jobs.

        Results of the search are cached by shape, so they have to depend on the reservations.
        """
        world = World()
        world.send(register(1, 2))
        for account in ("perth", "dundee", "leith"):
            world.send(put_contract(account, 0))
        world.send(submit("leith", "first", shape(1, 8), "first", 600))
        world.start_and_stop()
        world.send(
            submit("perth", "gang", shape(2, 8), "gang", 600),
            submit("dundee", "long", shape(1, 8), "long", 9000),
            submit("leith", "short", shape(1, 8), "short", 60),
        )
        placed = world.events_of("job_placed")
        self.assertEqual([p.job.request_id for p in placed], ["short"])
        self.assertEqual(placed[0].reason, "backfill")

    def test_a_due_gang_is_not_starved_by_wrong_estimates(self):
        """Small jobs that overrun their estimates would postpone a gang's start again and again."""
        self.run_gang(
            gang_seconds=30,
            small_fields={"seconds": lambda _: 5, "kind": lambda n: f"kind-{n}"},
            small_run_seconds=lambda job: 100 + int(job.key.request_id[6:]) * 37 % 200,
            limit_seconds=600 + 700,
        )


class AgeingTest(unittest.TestCase):
    def test_a_long_job_is_not_starved_by_short_ones(self):
        """Shortest job first without ageing would never start a long job among short ones."""
        world = World()
        world.send(register(1, 1))
        world.send(put_contract("leith", 0, accelerators=8))
        simulation = Simulation(world, lambda job: 20)
        stream = Stream(simulation, "leith", 20, seconds=lambda _: 20, kind=lambda _: "short")
        simulation.tick(*stream.commands())
        simulation.tick(submit("leith", "long", shape(1, 1), "long", 120))
        while "long" not in simulation.started and simulation.seconds < 1300:
            simulation.tick(*stream.commands())
        self.assertTrue("long" in simulation.started, "not started within 1300 s")
        self.assertGreater(simulation.started["long"], 60, "short work goes first")

    def test_a_due_gang_is_not_starved_by_its_accounts_own_jobs(self):
        """An account's own small jobs would use its burst limit each time before its gang fits."""
        world = World()
        world.send(register(2, 8))
        world.send(put_contract("leith", 0, accelerators=16))
        simulation = Simulation(world, lambda job: 20 + int(job.key.request_id[-1]))
        stream = Stream(simulation, "leith", 30, seconds=lambda _: 20, kind=lambda _: "short")
        simulation.tick(*stream.commands())
        simulation.tick(submit("leith", "gang-1", shape(2, 8), "gang", 30))
        while "gang-1" not in simulation.started and simulation.seconds < 900:
            simulation.tick(*stream.commands())
        self.assertTrue("gang-1" in simulation.started, "not started within 900 s")

    def test_a_preempted_job_is_not_preempted_by_each_claim(self):
        """Without a backoff, frequent short claims would preempt the same long job each time."""
        world = World()
        world.send(register(1, 1))
        world.send(put_contract("perth", 0, [("half", shape(1, 4), 1)], accelerators=0))
        world.send(put_contract("leith", 0))
        actual = {"first": 3000, "long": 4000}
        simulation = Simulation(world, lambda job: actual.get(job.key.request_id, 20))
        simulation.tick(submit("leith", "first", shape(1, 4), seconds=3000))
        simulation.tick(submit("leith", "long", shape(1, 4), seconds=4000))
        for number in range(600):
            claim = [submit("perth", f"claim-{number}", shape(1, 4))] if number % 12 == 0 else []
            simulation.tick(*claim)
        self.assertLess(simulation.stops["long"], 9)
        self.assertNotIn("first", simulation.stops)
        self.assertGreater(world.job("leith", "long").released_us, 0)

    def test_a_preempted_job_does_not_wait_long_beside_idle_capacity(self):
        """A long backoff after one preemption would leave reserved capacity idle for a minute."""
        world = World()
        world.send(register(1, 1))
        world.send(put_contract("perth", 0, [("half", shape(1, 4), 2)], accelerators=0))
        world.send(put_contract("leith", 0))
        simulation = Simulation(world, lambda job: 1 if job.key.account == "perth" else 30)
        simulation.tick(submit("leith", "whole", shape(1, 8)))
        simulation.tick(submit("perth", "claim", shape(1, 4)))
        self.assertEqual(simulation.stops, {"whole": 1})
        before = simulation.seconds
        while len(world.job("leith", "whole").members) == 0 or simulation.seconds == before:
            simulation.tick()
            self.assertLess(simulation.seconds, before + 30)


class ShareTest(unittest.TestCase):
    def test_a_long_queue_does_not_take_the_share_of_other_accounts(self):
        """The jobs submitted first would use all capacity if accounts had no weighted share."""
        world = World()
        world.send(register(2, 4))
        world.send(put_contract("perth", 0, weight=3))
        world.send(put_contract("leith", 0, weight=1))
        jobs = [submit("leith", f"l{n}", shape(1, 1)) for n in range(100)]
        jobs += [submit("perth", f"p{n}", shape(1, 1)) for n in range(100)]
        world.send(*jobs)
        accounts = world.working.accounts
        self.assertEqual(accounts["perth"].burst_accelerators, 48)
        self.assertEqual(accounts["leith"].burst_accelerators, 16)

    def test_wrong_declared_times_do_not_delay_short_jobs(self):
        """Declared times can be far off, so the order must follow the observed run times."""
        world = World()
        world.send(register(1, 1))
        world.send(put_contract("leith", 0, accelerators=8))
        actual = {"quick": 5, "slow": 2000}
        simulation = Simulation(world, lambda job: actual[job.spec.kind])
        declared = {"quick": 50_000, "slow": 100}
        for number in range(3):
            for kind, seconds in declared.items():
                simulation.tick(submit("leith", f"{kind}{number}", shape(1, 1), kind, seconds))
        for _ in range(410):
            simulation.tick()
        self.assertEqual(world.working.accounts["leith"].active, {})
        blocker = submit("leith", "blocker", shape(1, 8), "quick")
        simulation.tick(blocker)
        later = [submit("leith", f"{k}-late", shape(1, 8), k, s) for k, s in declared.items()]
        simulation.tick(*reversed(later))
        simulation.tick()
        started = simulation.started
        self.assertLess(started["quick-late"], started["slow-late"])


class CancellationTest(unittest.TestCase):
    def test_mass_cancellation_leaks_no_capacity(self):
        """Mass cancellation must end every job once and leave no capacity or limit in use."""
        world = World()
        world.send(register(2, 8))
        world.send(put_contract("leith", 0, accelerators=128, queued_jobs=1000))
        world.send(put_contract("perth", 0, [("rack", RACK_GANG, 1)]))
        world.send(*[submit("leith", f"j{n}", shape(1, 1)) for n in range(600)])
        world.start_and_stop()
        jobs = list(world.working.accounts["leith"].active.values())
        jobs += list(world.working.accounts["leith"].queued.values())
        self.assertEqual(len(jobs), 600)
        world.send(*[cancel(job) for job in jobs], submit("perth", "gang", RACK_GANG))
        self.assertEqual(world.working.accounts["leith"].queued, {})
        world.send(*[cancel(job) for job in jobs])
        self.assertEqual(world.events, [], "a repeated cancellation changes nothing")
        world.start_and_stop()
        self.assertEqual([j.ended for j in jobs], [True] * 600)
        leith = world.working.accounts["leith"]
        self.assertEqual((leith.active, leith.burst_accelerators), ({}, 0))
        self.assertEqual(world.startable(), [])
        self.assertGreater(world.job("perth", "gang").released_us, 0)


if __name__ == "__main__":
    unittest.main()
