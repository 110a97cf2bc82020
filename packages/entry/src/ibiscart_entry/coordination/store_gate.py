"""
ibiscart_entry.coordination.store_gate
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Holds callers' requests while the store does not answer, and releases or refuses them.
"""

import logging

import trio

from ibiscart_core.error import ErrorKind, IbiscartError
from ibiscart_core.workflow.outage import (
    MIN_RETRY_SECONDS,
    MIN_SERVICE_SECONDS,
    Action,
    Decision,
    ReleaseQueue,
)
from ibiscart_entry.table import StoreError

__all__ = ["StoreGate"]

LOG = logging.getLogger("ibiscart.gate")
# share of the store's write rate that all entries together use for held requests; the rest is for
# new requests and for the leader, which also has to catch up
RELEASE_SHARE = 0.5
# attempts at a read, and the pause between two, about ten times the store's latency
MAX_READS = 5
READ_PAUSE_SECONDS = 0.05
# reason of a hold that only waits for one read, as in normal operation
UNCONFIRMED = "unconfirmed"


class StoreGate:
    """Decides with an ``OutagePolicy`` when a caller's request may use a ``RelayTable``.

    The caller's deadline is that of the enclosing cancel scopes. ``writes_per_second`` is the rate
    that the store accepts from all entries together, None if it states none, and ``entry_count``
    returns the number of entries.
    """

    def __init__(self, table, policy, metrics, *, writes_per_second=None, entry_count=lambda: 1):
        self._table = table
        self._policy = policy
        self._metrics = metrics
        self._writes_per_second = writes_per_second
        self._entry_count = entry_count
        self._queue = ReleaseQueue()
        self._released = trio.Event()
        metrics.gauge("held_requests_now", lambda: len(self._queue), "Requests held at present.")

    async def admit(self, priority, job_id="", *, write=True):
        """Returns when a request of a queue with ``priority`` may be sent to the store.

        Raises ``IbiscartError`` if it is refused; it was not sent then.
        """
        deadline = trio.current_effective_deadline()
        started_at = trio.current_time()
        ticket, reason = None, ""
        try:
            while True:
                now = trio.current_time()
                decision = self._policy.decide(
                    self._table.condition, deadline - now, now - started_at, write=write
                )
                if decision.action is Action.SEND:
                    if (
                        ticket is None
                        or not write
                        or await self._take_turn(ticket, deadline, job_id)
                    ):
                        break
                    continue
                if decision.action is Action.REFUSE:
                    raise self._refusal(decision, job_id, deadline - now, now - started_at)
                if ticket is None and decision.reason != UNCONFIRMED:
                    reason = decision.reason
                    ticket = self._queue.add(priority, deadline)
                    self._metrics.count("held_requests", reason)
                self._table.request_probe()
                with trio.move_on_after(decision.seconds):
                    await self._table.wait_change()
        finally:
            if ticket is not None:
                self._end_hold(ticket, reason, trio.current_time() - started_at)
        if ticket is not None:
            self._record_release(reason, job_id, trio.current_time() - started_at)

    async def read(self, priority, job_id, read):
        """Returns what ``read`` returns, a harmless call that is repeated after a failure.

        It is not awaited further when the store is lost. Raises ``IbiscartError`` if the request is
        refused or ``MAX_READS`` reads have failed.
        """
        for _ in range(MAX_READS):
            await self.admit(priority, job_id, write=False)
            result, failure = await self._read_until_lost(read)
            if failure is None:
                return result
            LOG.warning("A read has no answer.", extra={"job": job_id, "cause": failure.reason})
            await trio.sleep(READ_PAUSE_SECONDS)
        message = f"the state cannot be read: {failure.reason}"
        raise IbiscartError(ErrorKind.STORE_UNAVAILABLE, message, retry_after=MIN_RETRY_SECONDS)

    async def _read_until_lost(self, read):
        """Returns (result, None) of a read, or (None, ``StoreError``)."""
        result, failure = None, StoreError("store_down", False)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._cancel_when_lost, nursery.cancel_scope)
            # an error that left the nursery would reach the caller in an ``ExceptionGroup``
            try:
                result, failure = await read(), None
            except StoreError as error:
                failure = error
            nursery.cancel_scope.cancel()
        return result, failure

    async def _cancel_when_lost(self, cancel_scope):
        """Cancels a read as soon as the store is lost."""
        while self._table.answering:
            await self._table.wait_change()
        cancel_scope.cancel()

    async def _take_turn(self, ticket, deadline, job_id):
        """Returns True if a held write may be sent now, else False after a wait.

        Raises ``IbiscartError`` if its time is over before its turn.
        """
        now = trio.current_time()
        wait_seconds = self._queue.wait_seconds(ticket, now)
        if wait_seconds == 0.0:
            self._queue.record_release(now, self._release_interval_seconds())
            return True
        latest_at = deadline - MIN_SERVICE_SECONDS
        if now >= latest_at:
            decision = Decision(Action.REFUSE, "queued", MIN_RETRY_SECONDS)
            raise self._refusal(decision, job_id, deadline - now, 0.0)
        next_at = latest_at if wait_seconds is None else min(latest_at, now + wait_seconds)
        with trio.move_on_at(next_at):
            await self._released.wait()
        return False

    def _release_interval_seconds(self):
        """Returns the time between two releases that keeps to this entry's part of the rate."""
        if not self._writes_per_second:
            return 0.0
        return max(1, self._entry_count()) / (RELEASE_SHARE * self._writes_per_second)

    def _end_hold(self, ticket, reason, seconds):
        """Lets the next held request take its turn."""
        self._queue.remove(ticket)
        self._metrics.observe("held_seconds", reason, seconds)
        released, self._released = self._released, trio.Event()
        released.set()

    def _record_release(self, reason, job_id, seconds):
        """Records that a held request is sent now."""
        self._metrics.count("released_requests", reason)
        fields = {"job": job_id, "reason": reason, "held_ms": round(seconds * 1000)}
        LOG.info("A held request is sent.", extra=fields)

    def _refusal(self, decision, job_id, remaining_seconds, held_seconds):
        """Returns the error for a request that was not sent."""
        self._metrics.count("store_refusals", decision.reason)
        fields = {
            "job": job_id,
            "cause": decision.reason,
            "retry_after": decision.seconds,
            "remaining_ms": round(remaining_seconds * 1000),
            "held_ms": round(held_seconds * 1000),
        }
        LOG.info("A request is refused while the store does not answer.", extra=fields)
        return IbiscartError(
            ErrorKind.STORE_UNAVAILABLE,
            "the store does not answer and nothing was sent to it; "
            f"send the request again in {decision.seconds} s",
            retry_after=decision.seconds,
        )
