"""
ibiscart_entry.coordination.session
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The leader's dealings with one worker: leases, lists of runs, orders and stops.
"""

import logging

import trio

from ibiscart_core.workflow.report import StartResult
from ibiscart_entry.coordination.agent import AgentError

__all__ = ["LEASE_SECONDS", "WorkerSession"]

LOG = logging.getLogger("ibiscart.session")
# longest lease of a run; it covers the choice of a new leader and its first calls
LEASE_SECONDS = 6.0
# a worker's clock may be 2 % slow, and an answer may be this old when it is used
CLOCK_SLOWNESS = 1.02
LEASE_SLACK_SECONDS = 0.4
# the worker answers earlier when a run ends
WAIT_SECONDS = 2.0
# after a failed call; short against the lease
RETRY_SECONDS = 0.25
# a worker that has started again counts its ends from 1 and would forget those that an older
# acknowledgement covers; no run starts and ends on it within this time of the last answer
ACKNOWLEDGE_SECONDS = 0.1
# ends are listed again until they are acknowledged, which waits for their record
RECORD_WAIT_SECONDS = 0.5
# after these a stop bars the run, so that another worker can take it
START_ATTEMPTS = 3
# half the time of a call
STOP_RETRY_SECONDS = 0.3
# without a confirmed write for this long, another entry may lead and count on leases ending
EXTEND_LIMIT_SECONDS = 6.0


class WorkerSession:
    """Keeps the leases of one worker and carries orders to it.

    ``leadership`` gives the fencing token. ``on_change`` is called after each change of the
    engine; ``on_fenced`` when the worker has seen a higher fencing token.
    """

    def __init__(
        self, worker, agent, engine, leadership, *, lease_seconds, on_change, on_fenced, metrics
    ):
        self._worker = worker
        self._agent = agent
        self._engine = engine
        self._leadership = leadership
        self._lease_seconds = lease_seconds
        self._on_change = on_change
        self._on_fenced = on_fenced
        self._metrics = metrics
        self._clock_ms = None
        self._clock_read_at = 0.0
        self._incarnation = worker.info.incarnation
        self._acknowledged = 0
        self._sent_acknowledged = 0
        self._seen = 0
        self._answered_at = None
        self._wake = trio.Event()
        self._expires_at = 0.0
        self._address = worker.info.address
        self._scope = trio.CancelScope()

    @property
    def address(self):
        """Address that this session calls."""
        return self._address

    @property
    def seen(self):
        """Number of the last end that was applied to the engine, with its incarnation."""
        return self._incarnation, self._seen

    @property
    def expires_at(self):
        """Monotonic seconds after which no run of this worker holds a lease."""
        return self._expires_at

    def assume_lease(self, until):
        """Takes it that an earlier leader extended leases up to ``until``."""
        self._expires_at = max(self._expires_at, until)

    def acknowledge(self, seen):
        """Notes that all ends up to ``seen`` are on record."""
        incarnation, number = seen
        if incarnation == self._incarnation and number > self._acknowledged:
            self._acknowledged = number
            self.wake()

    def wake(self):
        """Ends a pause of ``run``."""
        self._wake.set()

    def close(self):
        """Ends ``run``."""
        self._scope.cancel()

    async def run(self):
        """Extends leases and reads the list of runs while there is any; until closed."""
        try:
            with self._scope:
                await self._exchange(0.0)
                while True:
                    await self._step()
        finally:
            with trio.CancelScope(shield=True):
                await self._agent.aclose()

    async def start(self, order):
        """Sends an order until its outcome is known or the attempts are used up."""
        result = StartResult.UNKNOWN
        unanswered = False
        self.wake()
        for attempt in range(START_ATTEMPTS):
            if not order.awaits_answer or self._clock_ms is None:
                return
            sent_at = trio.current_time()
            deadline_ms = self._deadline_ms(sent_at)
            self._extend(sent_at)
            result, clock_ms = await self._agent.start(
                self._leadership.epoch,
                order.task_key,
                order.run,
                order.unit.job.spec.payload,
                order.unit.checkpoint,
                deadline_ms,
            )
            self._read_clock(clock_ms)
            self._metrics.count("orders", result.value)
            unanswered = unanswered or result is StartResult.UNKNOWN
            if result not in (StartResult.UNKNOWN, StartResult.DEADLINE_PASSED):
                break
            if attempt:
                await trio.sleep(RETRY_SECONDS * attempt)
        if result is StartResult.FENCED:
            self._on_fenced()
        if unanswered and result is not StartResult.STARTED:
            # an earlier order may be carried out yet, whatever became of the last one
            result = StartResult.UNKNOWN
        if result is not StartResult.STARTED:
            LOG.warning(
                "A start was not taken.",
                extra={
                    "job": order.task_key[0],
                    "task": ".".join(map(str, order.task_key[1:])),
                    "run": order.run,
                    "worker": self._worker.id,
                    "reason": result.value,
                },
            )
        self._engine.apply_start_result(order, result, trio.current_time())
        self._on_change()

    async def stop(self, stop):
        """Sends a stop until the worker has taken it or its place is given up."""
        while stop.allocation is None or (stop.task_key, stop.run) in self._worker.units_by_run:
            try:
                await self._agent.stop(self._leadership.epoch, stop.task_key, stop.run)
            except AgentError as error:
                self._metrics.count("stops", error.reason)
                if error.fenced:
                    self._on_fenced()
                    return
                if stop.allocation is None:
                    return
                await trio.sleep(STOP_RETRY_SECONDS)
                continue
            self._metrics.count("stops", stop.reason)
            self._engine.confirm_stop(stop, trio.current_time())
            self.wake()
            return

    async def _step(self):
        if not self._needed():
            await self._wait_wake()
        elif self._seen > self._acknowledged:
            with trio.move_on_after(RECORD_WAIT_SECONDS) as waiting:
                while self._seen > self._acknowledged:
                    await self._wait_wake()
            if waiting.cancelled_caught:
                # the leases must go on while the store does not answer
                await self._exchange(0.0)
        else:
            # the answer also comes when a run ends, and forgets the acknowledged ends
            await self._exchange(WAIT_SECONDS if self._worker.units_by_run else 0.0)

    def _needed(self):
        return (
            bool(self._worker.units_by_run)
            or self._seen > self._sent_acknowledged
            or not self._worker.reachable
        )

    async def _exchange(self, wait_seconds):
        asked_at = trio.current_time()
        acknowledged = self._acknowledged if self._may_acknowledge(asked_at) else 0
        if acknowledged < self._acknowledged:
            # the answer only confirms the life; the acknowledgement follows it
            wait_seconds = 0.0
        deadline_ms = None
        # a worker that does not answer gets no further leases, so that they end
        if self._worker.reachable and self._clock_ms is not None and self._may_extend(asked_at):
            deadline_ms = self._deadline_ms(asked_at)
            self._extend(asked_at)
        try:
            answer = await self._agent.list_runs(
                self._leadership.epoch, acknowledged, deadline_ms, wait_seconds
            )
        except AgentError as error:
            self._metrics.count("lists", error.reason)
            if error.fenced:
                self._on_fenced()
            self._answered_at = None
            self._mark_unreachable(error.reason)
            await trio.sleep(RETRY_SECONDS)
            return
        self._metrics.count("lists", "answered")
        if not self._worker.reachable:
            LOG.info("A worker answers.", extra={"worker": self._worker.id})
        self._apply(answer, asked_at, acknowledged)
        self._on_change()

    def _apply(self, answer, asked_at, acknowledged):
        if answer.incarnation is not None and answer.incarnation != self._incarnation:
            # the numbers of ends start anew
            fields = {"worker": self._worker.id, "incarnation": answer.incarnation}
            LOG.info("A worker has started again.", extra=fields)
            self._incarnation = answer.incarnation
            self._worker.info.incarnation = answer.incarnation
            self._seen = self._acknowledged = self._sent_acknowledged = 0
            self._clock_ms = None
        else:
            self._sent_acknowledged = max(self._sent_acknowledged, acknowledged)
        self._read_clock(answer.clock_ms)
        now = trio.current_time()
        self._answered_at = now
        self._engine.apply_worker_status(self._worker.id, answer, asked_at, now)
        for end in answer.ended:
            self._seen = max(self._seen, end.sequence)

    def _mark_unreachable(self, reason):
        if self._worker.reachable:
            fields = {"worker": self._worker.id, "reason": reason}
            LOG.warning("A worker does not answer.", extra=fields)
        self._worker.reachable = False
        now = trio.current_time()
        if self._worker.units_by_run and now > self._expires_at:
            self._engine.end_lost_runs(self._worker.id, "lease_expired")
            self._on_change()

    def _read_clock(self, clock_ms):
        if clock_ms is not None:
            self._clock_ms = clock_ms
            self._clock_read_at = trio.current_time()

    def _deadline_ms(self, now):
        elapsed = now - self._clock_read_at
        return int(self._clock_ms + (elapsed + self._lease_seconds) * 1000)

    def _extend(self, now):
        until = now + self._lease_seconds * CLOCK_SLOWNESS + LEASE_SLACK_SECONDS
        self._expires_at = max(self._expires_at, until)

    def _may_acknowledge(self, now):
        """Whether the worker surely still lives the life whose ends were numbered."""
        return self._answered_at is not None and now - self._answered_at <= ACKNOWLEDGE_SECONDS

    def _may_extend(self, now):
        confirmed = self._leadership.confirmed_at
        return confirmed is not None and now - confirmed < EXTEND_LIMIT_SECONDS

    async def _wait_wake(self):
        await self._wake.wait()
        self._wake = trio.Event()
