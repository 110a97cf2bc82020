"""Guards against work that runs twice although it may run only once (P5)."""

import random
import unittest

import trio
import trio.testing

from ibiscart_core.error import ErrorKind, IbiscartError
from ibiscart_entry.claim import Claims
from ibiscart_entry.metric import Metrics
from ibiscart_entry.server import Response
from ibiscart_schema.generated.types_pb2 import RAN_MAYBE, RAN_NO, RAN_YES
from tests.entry.fake import FakeTable, now_us


class Setup:
    def __init__(self, nursery):
        self.nursery = nursery
        self.table = FakeTable()
        self.live = ["e1", "e2"]
        self.metrics = Metrics()

    async def start(self, name):
        claims = Claims(
            name,
            self.table,
            lambda: self.live,
            self.metrics,
            random=random.Random(0),
            now_us=now_us,
        )
        await self.nursery.start(claims.run)
        return claims

    def rows(self):
        return len(self.table.rows)


def in_virtual_time(test):
    def run(self):
        async def main():
            async with trio.open_nursery() as nursery:
                await test(self, Setup(nursery))
                nursery.cancel_scope.cancel()

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    run.__name__, run.__doc__ = test.__name__, test.__doc__
    return run


class ClaimTest(unittest.TestCase):
    async def refused(self, kind, call):
        with self.assertRaises(IbiscartError) as caught:
            await call
        self.assertEqual(caught.exception.kind, kind)
        return caught.exception

    @in_virtual_time
    async def test_one_of_two_entries_gets_the_claim(self, setup):
        """The same id at two entries at once must be sent by one of them."""
        e1, e2 = await setup.start("e1"), await setup.start("e2")
        results = []

        async def claim(claims):
            try:
                results.append(await claims.claim("acme", "i1", b"x"))
            except IbiscartError as error:
                results.append(error.kind)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(claim, e1)
            nursery.start_soon(claim, e2)
        self.assertEqual(results.count(ErrorKind.IN_PROGRESS), 1)

    @in_virtual_time
    async def test_lost_answer_is_resolved_by_the_token(self, setup):
        """A claim whose answer is lost must neither be refused nor taken for another's."""
        e1, e2 = await setup.start("e1"), await setup.start("e2")
        setup.table.lose = 2
        claim = await e1.claim("acme", "i1", b"x")
        self.assertEqual(setup.table.rows["claim/acme/i1"].version, claim.version)
        setup.table.lose = 1
        await self.refused(ErrorKind.IN_PROGRESS, e2.claim("acme", "i1", b"x"))

    @in_virtual_time
    async def test_stored_answer_from_any_entry(self, setup):
        """A caller that lost its answer must get the same one and cause no second run."""
        e1, e2 = await setup.start("e1"), await setup.start("e2")
        claim = await e1.claim("acme", "i1", b"x")
        setup.table.lose = 1
        e1.finish(claim, 201, "text/plain", b"done")
        await trio.sleep(1)
        for call in (
            e2.claim("acme", "i1", b"x"),
            e2.find("acme", "i1", b"x"),
            e2.lookup("acme", "i1"),
        ):
            response = await call
            self.assertIsInstance(response, Response)
            self.assertEqual((response.status, response.body), (201, b"done"))
        await self.refused(ErrorKind.ID_REUSED, e2.find("acme", "i1", b"y"))

    @in_virtual_time
    async def test_answer_that_is_too_large_to_keep(self, setup):
        """A cut answer must not be given as a whole one (P3)."""
        e1 = await setup.start("e1")
        claim = await e1.claim("acme", "i1", b"x")
        e1.finish(claim, 200, "text/plain", b"a" * (64 * 1024 + 1))
        await trio.sleep(1)
        error = await self.refused(ErrorKind.OUTCOME_UNKNOWN, e1.lookup("acme", "i1"))
        self.assertEqual(error.ran, RAN_YES)

    @in_virtual_time
    async def test_holder_killed(self, setup):
        """A claim without an outcome must never be sent again, by anyone."""
        e1, e2 = await setup.start("e1"), await setup.start("e2")
        await e1.claim("acme", "i1", b"x")
        await self.refused(ErrorKind.IN_PROGRESS, e2.claim("acme", "i1", b"x"))
        setup.live.remove("e1")
        for _ in range(2):
            error = await self.refused(ErrorKind.OUTCOME_UNKNOWN, e2.claim("acme", "i1", b"x"))
            self.assertEqual(error.ran, RAN_MAYBE)

    @in_virtual_time
    async def test_holder_paused_for_minutes(self, setup):
        """A holder that resumes must not send what a caller was answered is unknown."""
        e1, e2 = await setup.start("e1"), await setup.start("e2")
        claim = await e1.claim("acme", "i1", b"x")
        setup.live.remove("e1")
        await trio.sleep(180)
        await self.refused(ErrorKind.OUTCOME_UNKNOWN, e2.claim("acme", "i1", b"x"))
        await self.refused(ErrorKind.OUTCOME_UNKNOWN, e1.recheck(claim))

    @in_virtual_time
    async def test_old_claim_is_read_again_only_once(self, setup):
        """A claim that nobody closed meanwhile may still be sent."""
        e1 = await setup.start("e1")
        claim = await e1.claim("acme", "i1", b"x")
        await trio.sleep(180)
        await e1.recheck(claim)
        self.assertLess(trio.current_time() - claim.checked_at, 1)

    @in_virtual_time
    async def test_late_outcome_replaces_the_closed_claim(self, setup):
        """The true outcome must win over "unknown" once it is there."""
        e1, e2 = await setup.start("e1"), await setup.start("e2")
        claim = await e1.claim("acme", "i1", b"x")
        setup.live.remove("e1")
        await self.refused(ErrorKind.OUTCOME_UNKNOWN, e2.lookup("acme", "i1"))
        e1.finish(claim, 200, "text/plain", b"done")
        await trio.sleep(1)
        self.assertEqual((await e2.lookup("acme", "i1")).body, b"done")

    @in_virtual_time
    async def test_store_down(self, setup):
        """ "Not run" may be said only when no claim can have come about (P4)."""
        e1 = await setup.start("e1")
        setup.table.down = setup.table.unsent = True
        error = await self.refused(ErrorKind.STORE_UNAVAILABLE, e1.claim("acme", "i1", b"x"))
        self.assertEqual(error.ran, RAN_NO)
        setup.table.unsent = False
        error = await self.refused(ErrorKind.STORE_UNAVAILABLE, e1.claim("acme", "i2", b"x"))
        self.assertEqual(error.ran, RAN_MAYBE)
        error = await self.refused(ErrorKind.STORE_UNAVAILABLE, e1.find("acme", "i3", b"x"))
        self.assertEqual(error.ran, RAN_MAYBE)

    @in_virtual_time
    async def test_claim_that_came_about_late_is_removed(self, setup):
        """A claim that was given up must not block its request id for ever."""
        e1, e2 = await setup.start("e1"), await setup.start("e2")
        setup.table.frozen = trio.Event()
        await self.refused(ErrorKind.STORE_UNAVAILABLE, e1.claim("acme", "i1", b"x"))
        setup.table.frozen.set()
        await trio.sleep(1)
        self.assertEqual(setup.rows(), 0)
        await e2.claim("acme", "i1", b"x")

    @in_virtual_time
    async def test_claim_given_up_is_continued_by_the_next_request(self, setup):
        """The removal of a claim that was given up must not hit one that is used."""
        e1 = await setup.start("e1")
        setup.table.frozen = trio.Event()
        await self.refused(ErrorKind.STORE_UNAVAILABLE, e1.claim("acme", "i1", b"x"))
        claims = []

        async def claim():
            claims.append(await e1.claim("acme", "i1", b"x"))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(claim)
            await trio.sleep(1)
            setup.table.frozen.set()
        await trio.sleep(5)
        self.assertEqual(setup.table.rows["claim/acme/i1"].version, claims[0].version)

    @in_virtual_time
    async def test_cancelled_claim_is_removed(self, setup):
        """A caller that goes away in the middle must leave no claim behind."""
        e1 = await setup.start("e1")
        with trio.move_on_after(0.005):
            await e1.claim("acme", "i1", b"x")
        await trio.sleep(1)
        self.assertEqual(setup.rows(), 0)

    @in_virtual_time
    async def test_several_claims_share_a_transaction(self, setup):
        """Claims must not use up the store's writes one by one."""
        e1 = await setup.start("e1")
        await e1.claim("acme", "i0", b"x")
        before = len(setup.table.transactions)
        results = []

        async def claim(number):
            try:
                results.append(await e1.claim("acme", f"i{number}", b"x"))
            except IbiscartError as error:
                results.append(error.kind)

        async with trio.open_nursery() as nursery:
            for number in range(41):
                nursery.start_soon(claim, number)
        # the one id that was claimed before must not fail the others
        self.assertEqual(results.count(ErrorKind.IN_PROGRESS), 1)
        self.assertEqual(len(results), 41)
        self.assertLessEqual(len(setup.table.transactions) - before, 4)

    @in_virtual_time
    async def test_abandoned_claim_can_be_made_again(self, setup):
        """A request that certainly did not run must be free to be sent again."""
        e1, e2 = await setup.start("e1"), await setup.start("e2")
        claim = await e1.claim("acme", "i1", b"x")
        setup.table.lose = 1
        e1.abandon(claim)
        await trio.sleep(1)
        await e2.claim("acme", "i1", b"x")


if __name__ == "__main__":
    unittest.main()
