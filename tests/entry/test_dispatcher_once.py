"""Guards requests against running twice and against leaving targets."""

import json
import unittest

import trio
import trio.testing

from ibiscart_core.error import ErrorKind, IbiscartError
from ibiscart_schema.generated.types_pb2 import (
    RAN_NO,
    TARGET_LEAVING,
    TARGET_LIVE,
)
from tests.entry.dispatching import gather, in_virtual_time


class OnceTest(unittest.TestCase):
    """P5: a request that may not be repeated runs at most once."""

    @in_virtual_time
    async def test_two_entries_with_the_same_id_at_once(self, setup):
        """A caller that sends to two entries must cause one run (P5)."""
        await setup.start(entries=("e1", "e2"))
        calls = [
            setup.entries[name].ask("i1", repeatable=False, body=b"run_seconds=2")
            for name in ("e1", "e2", "e1")
        ]
        results = await gather(calls)
        kinds = [r.kind for r in results if isinstance(r, IbiscartError)]
        self.assertEqual(kinds, [ErrorKind.IN_PROGRESS] * 2)
        self.assertEqual(setup.starts("i1"), 1)
        # the caller asks again and gets the stored answer
        await trio.sleep(1)
        response = await setup.entries["e2"].ask("i1", repeatable=False, body=b"run_seconds=2")
        self.assertEqual(json.loads(response.body)["request_id"], "acme/i1")
        self.assertEqual((await setup.entries["e1"].dispatcher.lookup("acme", "i1")).status, 200)
        self.assertEqual(setup.starts("i1"), 1)

    @in_virtual_time
    async def test_broken_connection_after_sending(self, setup):
        """A request whose answer is lost must not be sent again (P5)."""
        entry = await setup.start(entries=("e1", "e2"))
        setup.runners["r0"].faults.set(drop_answers=1)
        with self.assertRaises(IbiscartError) as caught:
            await entry.ask("i1", repeatable=False)
        self.assertEqual(caught.exception.kind, ErrorKind.OUTCOME_UNKNOWN)
        await trio.sleep(1)
        for name in ("e1", "e2"):
            with self.assertRaises(IbiscartError) as caught:
                await setup.entries[name].ask("i1", repeatable=False)
            self.assertEqual(caught.exception.kind, ErrorKind.OUTCOME_UNKNOWN)
        self.assertEqual(setup.starts("i1"), 1)

    @in_virtual_time
    async def test_refused_request_is_sent_elsewhere_and_its_id_stays_free(self, setup):
        """A request that did not run must be served by another runner (P5)."""
        entry = await setup.start(entries=("e1", "e2"), runners=2)
        for runner in setup.runners.values():
            runner.faults.set(refuse=1)
        self.assertEqual((await entry.ask("i1", repeatable=False)).status, 200)
        for runner in setup.runners.values():
            runner.faults.set(refuse=10)
        with self.assertRaises(IbiscartError) as caught:
            await entry.ask("i2", repeatable=False)
        self.assertEqual(caught.exception.ran, RAN_NO)
        for runner in setup.runners.values():
            runner.faults.set(refuse=0)
        await trio.sleep(1)
        response = await setup.entries["e2"].ask("i2", repeatable=False)
        self.assertEqual(response.status, 200)

    @in_virtual_time
    async def test_holder_killed_before_sending(self, setup):
        """A claim of a killed entry must not be sent by the next one (P5)."""
        entry = await setup.start(entries=("e1", "e2"))
        await entry.claims.claim("acme", "i1", b"")
        setup.kill("e1")
        with self.assertRaises(IbiscartError) as caught:
            await setup.entries["e2"].ask("i1", repeatable=False)
        self.assertEqual(caught.exception.kind, ErrorKind.OUTCOME_UNKNOWN)
        self.assertEqual(setup.starts("i1"), 0)

    @in_virtual_time
    async def test_holder_killed_after_sending(self, setup):
        """Work of a killed entry must not run again (P5)."""
        entry = await setup.start(entries=("e1", "e2"))
        caller = trio.CancelScope()

        async def ask():
            with caller:
                await entry.ask("i1", repeatable=False, body=b"run_seconds=5")

        setup.nursery.start_soon(ask)
        while not setup.starts("i1"):
            await trio.sleep(0.01)
        setup.kill("e1")
        caller.cancel()
        with self.assertRaises(IbiscartError) as caught:
            await setup.entries["e2"].ask("i1", repeatable=False, body=b"run_seconds=5")
        self.assertEqual(caught.exception.kind, ErrorKind.OUTCOME_UNKNOWN)
        self.assertEqual(setup.starts("i1"), 1)

    @in_virtual_time
    async def test_holder_paused_between_claim_and_sending(self, setup):
        """A holder that resumes after minutes must not send what was given up (P5)."""
        entry = await setup.start(entries=("e1", "e2"))
        claim = entry.claims.claim

        async def slow_claim(*values):
            made = await claim(*values)
            setup.network.live.remove("e1")
            await trio.sleep(300)
            setup.network.live.append("e1")
            return made

        entry.claims.claim = slow_claim
        results = []

        async def ask():
            results.extend(await gather([entry.ask("i1", repeatable=False, timeout=600)]))

        setup.nursery.start_soon(ask)
        await trio.sleep(100)
        with self.assertRaises(IbiscartError) as caught:
            await setup.entries["e2"].ask("i1", repeatable=False)
        self.assertEqual(caught.exception.kind, ErrorKind.OUTCOME_UNKNOWN)
        await trio.sleep(250)
        self.assertEqual(results[0].kind, ErrorKind.OUTCOME_UNKNOWN)
        self.assertEqual(setup.starts("i1"), 0)

    @in_virtual_time
    async def test_outcome_is_stored_after_a_store_outage(self, setup):
        """The answer of work that ran must not be lost with the store (P5)."""
        entry = await setup.start(entries=("e1", "e2"))
        calls = [entry.ask("i1", repeatable=False, body=b"run_seconds=5")]

        async def outage():
            while not setup.starts("i1"):
                await trio.sleep(0.01)
            setup.table.down = True

        setup.nursery.start_soon(outage)
        self.assertEqual((await gather(calls))[0].status, 200)
        await trio.sleep(60)
        setup.table.down = False
        await trio.sleep(5)
        response = await setup.entries["e2"].dispatcher.lookup("acme", "i1")
        self.assertEqual(response.status, 200)


class LeavingTest(unittest.TestCase):
    """P6: a leaving runner gets no new work, whichever entry saw the sign."""

    async def check(self, setup, sign):
        entry = await setup.start(entries=("e1", "e2"), runners=2)
        other = setup.entries["e2"]
        sign("r0", setup, entry)
        await gather([entry.ask(f"a{n}", body=b"run_seconds=0.1") for n in range(8)])
        self.assertFalse(entry.signs.eligible("r0"))
        # the next heartbeat carries the sign
        other.signs.merge(entry.signs.take_new("e2"))
        self.assertFalse(other.signs.eligible("r0"))
        before = setup.runners["r0"].not_run + sum(setup.runners["r0"].starts.values())
        await gather([other.ask(f"b{n}", body=b"run_seconds=0.1") for n in range(8)])
        after = setup.runners["r0"].not_run + sum(setup.runners["r0"].starts.values())
        self.assertEqual(after, before)

    @in_virtual_time
    async def test_sign_by_the_runners_answer(self, setup):
        """A runner that says it is leaving must be avoided by all entries (P6)."""
        await self.check(setup, lambda r, s, e: s.runners[r].faults.set(leaving=1))

    @in_virtual_time
    async def test_sign_by_a_refused_connection(self, setup):
        """A runner that refuses connections must be avoided by all entries (P6)."""
        await self.check(setup, lambda r, s, e: s.runners[r].faults.set(refuse_connections=1))

    @in_virtual_time
    async def test_sign_by_the_membership_list(self, setup):
        """A runner that the list marks as leaving must be avoided by all entries (P6)."""
        await self.check(setup, lambda r, s, e: e.signs.report(r, TARGET_LEAVING, "membership"))

    @in_virtual_time
    async def test_runner_that_accepts_connections_again(self, setup):
        """A runner that was started anew must get work again."""
        entry = await setup.start(runners=1)
        setup.runners["r0"].faults.set(refuse_connections=1)
        await gather([entry.ask("i1")])
        self.assertFalse(entry.signs.eligible("r0"))
        setup.runners["r0"].faults.set(refuse_connections=0)
        await trio.sleep(5)
        self.assertEqual(entry.signs.state("r0"), TARGET_LIVE)
        self.assertEqual((await entry.ask("i2")).status, 200)


if __name__ == "__main__":
    unittest.main()
