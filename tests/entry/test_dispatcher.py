"""Guards short requests: own answers (P3), true refusals (P4), one run (P5), limits, lanes."""

import json
import random
import unittest

import trio
import trio.testing

from ibiscart_core.error import ErrorKind, IbiscartError
from ibiscart_schema.generated.types_pb2 import (
    RAN_MAYBE,
    RAN_NO,
)
from tests.entry.dispatching import gather, in_virtual_time, over_sockets


class AnswerTest(unittest.TestCase):
    """P3: each caller gets the whole answer to its own request."""

    async def answer(self, entry, request_id, **values):
        response = await entry.ask(request_id, **values)
        self.assertEqual(json.loads(response.body)["request_id"], f"acme/{request_id}")
        return response

    @over_sockets
    async def test_crossed_answer_is_rejected(self, setup):
        """An answer of another request must not reach the caller (P3)."""
        entry = await setup.start()
        await self.answer(entry, "i0")
        setup.runners["r0"].faults.set(cross_answers=1)
        await self.answer(entry, "i1")
        self.assertEqual(entry.metrics.value("target_errors", "crossed"), 1)

    @over_sockets
    async def test_duplicate_answer_is_rejected(self, setup):
        """The second copy of an answer must not be taken for the next answer (P3)."""
        entry = await setup.start()
        for number in range(20):
            setup.runners["r0"].faults.set(duplicate_answers=1)
            await self.answer(entry, f"i{number}")

    @over_sockets
    async def test_truncated_answer_is_rejected(self, setup):
        """Half an answer must not reach the caller as a whole one (P3)."""
        entry = await setup.start()
        setup.runners["r0"].faults.set(truncate_answers=1)
        await self.answer(entry, "i1")
        self.assertEqual(entry.metrics.value("target_errors", "truncated"), 1)

    @over_sockets
    async def test_late_answer_is_rejected(self, setup):
        """An answer that comes after its request was given up must reach nobody (P3)."""
        entry = await setup.start()
        setup.runners["r0"].faults.set(delay_answers_seconds=1)
        with self.assertRaises(IbiscartError) as caught:
            await entry.ask("i1", timeout=0.5)
        self.assertEqual(caught.exception.ran, RAN_MAYBE)
        setup.runners["r0"].faults.set(delay_answers_seconds=0)
        for number in range(2, 20):
            await self.answer(entry, f"i{number}")

    @in_virtual_time
    async def test_connections_of_a_crossed_answer_are_closed(self, setup):
        """A connection whose answers are out of step must carry no more requests (P3)."""
        entry = await setup.start()
        await entry.ask("i0")
        setup.runners["r0"].faults.set(cross_answers=1)
        await entry.ask("i1")
        await trio.sleep(1)
        self.assertEqual([client.closed for client in setup.clients], [1, 0])

    @over_sockets
    async def test_many_mixed_up_answers(self, setup):
        """Answers under load and faults must match their requests, whatever arrives (P3)."""
        entry = await setup.start(runners=3)
        randoms = random.Random(7)

        async def ask(number):
            faults = randoms.choice(list(setup.runners.values())).faults
            name = randoms.choice(["cross_answers", "duplicate_answers", "truncate_answers"])
            faults.set(**{name: 1})
            try:
                await self.answer(entry, f"i{number}")
            except IbiscartError as error:
                self.assertEqual(error.kind, ErrorKind.TARGET_FAILED)
                return 0
            return 1

        results = await gather([ask(number) for number in range(200)])
        self.assertGreater(sum(r for r in results if isinstance(r, int)), 100)


class RefusalTest(unittest.TestCase):
    """P4: "not run" is said only of work that did not run."""

    async def refused(self, setup, kind, call, request_id="i1", ran=RAN_NO):
        with self.assertRaises(IbiscartError) as caught:
            await call
        self.assertEqual(caught.exception.kind, kind)
        self.assertEqual(caught.exception.ran, ran)
        if ran == RAN_NO:
            self.assertEqual(setup.starts(request_id), 0)

    @in_virtual_time
    async def test_refusals_before_sending(self, setup):
        """Every refusal of the queue must come before the first byte (P4)."""
        entry = await setup.start(queued_requests=2, running_requests=1)
        await self.refused(setup, ErrorKind.UNKNOWN_ACCOUNT, entry.ask(account="none"))
        setup.nursery.start_soon(lambda: entry.ask("busy", body=b"run_seconds=20"))
        await trio.sleep(0.1)
        await self.refused(setup, ErrorKind.QUEUE_TIMEOUT, entry.ask("i1", timeout=1))
        for number in range(2):
            setup.nursery.start_soon(entry.ask, f"w{number}")
        await trio.sleep(0.1)
        await self.refused(setup, ErrorKind.QUEUE_FULL, entry.ask("i2"), "i2")

    @in_virtual_time
    async def test_full_runners(self, setup):
        """A runner's "not run" must be passed on when no other takes the request (P4)."""
        entry = await setup.start(runners=2)
        for runner in setup.runners.values():
            runner.faults.set(refuse=10)
        await self.refused(setup, ErrorKind.NO_TARGET, entry.ask("i1"))
        self.assertEqual(sum(r.not_run for r in setup.runners.values()), 3)

    @in_virtual_time
    async def test_not_run_of_another_request_is_not_believed(self, setup):
        """A crossed "not run" must not deny a run (P4)."""
        entry = await setup.start()
        runner = setup.runners["r0"]
        handle = runner.handle

        async def crossed(request):
            response = await handle(request)
            if request.headers["x-request-id"] == "acme/i1":
                return runner._reject("acme/other")
            return response

        runner.handle = crossed
        with self.assertRaises(IbiscartError) as caught:
            await entry.ask("i1")
        self.assertEqual(caught.exception.ran, RAN_MAYBE)
        self.assertGreater(setup.starts("i1"), 0)

    @in_virtual_time
    async def test_refusal_after_a_run_does_not_deny_it(self, setup):
        """A retry that finds no slot must not deny the run before it (P4)."""
        entry = await setup.start(runners=1)
        setup.runners["r0"].faults.set(drop_answers=1)

        async def leave():
            while not setup.starts("i1"):
                await trio.sleep(0.001)
            setup.runners["r0"].faults.set(leaving=1)

        setup.nursery.start_soon(leave)
        with self.assertRaises(IbiscartError) as caught:
            await entry.ask("i1", body=b"run_seconds=0.1", timeout=2)
        self.assertEqual(caught.exception.ran, RAN_MAYBE)

    @in_virtual_time
    async def test_entry_without_a_share(self, setup):
        """A new entry must say that it is not ready, not that the account's queue is full."""
        await setup.start(entries=("e1",))
        await setup.start_entry("e2")
        late = setup.entries["e2"]
        await self.refused(setup, ErrorKind.NOT_READY, late.ask("i1"))
        self.assertFalse(late.dispatcher.ready)
        setup.grant(["e1", "e2"])
        await self.refused(setup, ErrorKind.NOT_READY, late.ask("i2"), "i2")
        await trio.sleep(2)
        self.assertTrue(late.dispatcher.ready)
        self.assertEqual((await late.ask("i3")).status, 200)

    @in_virtual_time
    async def test_no_target(self, setup):
        """Without a runner the request must be refused at once (P4)."""
        entry = await setup.start(runners=0)
        await self.refused(setup, ErrorKind.NO_TARGET, entry.ask("i1"))

    @in_virtual_time
    async def test_store_down(self, setup):
        """Repeatable work must go on without the store, other work must not start."""
        entry = await setup.start(entries=("e1", "e2"))
        setup.region.outage = True
        setup.table.down = True
        await trio.sleep(20)
        self.assertEqual((await entry.ask("i1")).status, 200)
        call = entry.ask("i2", repeatable=False)
        await self.refused(setup, ErrorKind.STORE_UNAVAILABLE, call, "i2", RAN_MAYBE)
        self.assertEqual(setup.starts("i2"), 0)
        await trio.sleep(50)
        await self.refused(setup, ErrorKind.STORE_UNAVAILABLE, entry.ask("i3"), "i3")


class ChoiceTest(unittest.TestCase):
    @in_virtual_time
    async def test_runners_of_the_own_data_centre_come_first(self, setup):
        """Requests must not cross data centres while a runner nearby has a free slot."""
        entry = await setup.start(runners=4)
        for name in ("r2", "r3"):
            setup.membership.machines[name].data_centre = "leith"
        body = b"run_seconds=1"
        await gather([entry.ask(f"a{n}", body=body) for n in range(10)])
        self.assertEqual([r.max_concurrent for r in setup.runners.values()], [5, 5, 0, 0])
        await gather([entry.ask(f"b{n}", body=body) for n in range(20)])
        self.assertEqual([r.max_concurrent for r in setup.runners.values()], [8, 8, 2, 2])

    @in_virtual_time
    async def test_full_runner_gets_a_pause(self, setup):
        """A runner that says it is full must not get the same request again at once."""
        entry = await setup.start(runners=2)
        setup.runners["r1"].faults.set(refuse=100)
        await gather([entry.ask(f"a{n}", body=b"run_seconds=0.01") for n in range(8)])
        self.assertLessEqual(setup.runners["r1"].not_run, 8)
        self.assertEqual(sum(setup.runners["r0"].starts.values()), 8)

    @in_virtual_time
    async def test_runner_that_cannot_be_reached_is_avoided(self, setup):
        """A lost runner must not cost every request a connect timeout."""
        entry = await setup.start(runners=2)
        setup.runners["r1"].faults.set(lose_connections=1)
        for n in range(100):
            self.assertEqual((await entry.ask(f"a{n}", body=b"run_seconds=0.1")).status, 200)
        # one try each 6 s in the 13 s that the requests take
        self.assertLessEqual(sum(client.lost for client in setup.clients), 4)


if __name__ == "__main__":
    unittest.main()
