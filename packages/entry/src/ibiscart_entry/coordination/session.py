"""
ibiscart_entry.coordination.session
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Session of the leader with one worker: leases, the list of runs, starts and stops.
"""

import functools
import logging

import trio

from ibiscart_core.workflow.report import StartResult
from ibiscart_core.workflow.unit import EndCause
from ibiscart_entry.coordination.agent import AgentError
from ibiscart_entry.isolation import run_isolated

__all__ = ["WorkerSession", "remaining_lease_seconds"]

LOG = logging.getLogger("ibiscart.session")
# longest lease of a run; it covers the election of a new leader and its first calls
LEASE_SECONDS = 6.0
# a lease may last longer by this factor, because a worker's clock may be up to 2 % slow
CLOCK_SLOWNESS = 1.02
# added to the expected expiry of a lease: its deadline counts from the worker's clock in its last
# response, which may be this old
MAX_STATUS_AGE_SECONDS = 0.4
# longest time for which a worker delays its response to a poll; it responds at once when a run ends
LONG_POLL_SECONDS = 2.0
# longest delay of a poll's response while a run is being stopped: a run that the worker does not
# have ends with the first list that was read after its stop, and the worker reports no event for it
STOPPING_POLL_SECONDS = 0.2
# age of the worker's clock, as last read, above which the worker's status is read before an order,
# since it may have gone or have started again unnoticed
MAX_CLOCK_AGE_SECONDS = 0.1
# the same while a poll has been open since that answer, as its connection ends with the process,
# unless the unit has lost a worker: workers are often lost several at a time, and another one that
# has gone unnoticed would hold the unit for the longest lease again
MAX_CLOCK_AGE_WHILE_POLLED_SECONDS = LONG_POLL_SECONDS + 0.5
# interval at which leases are extended while the leader loads the jobs
LOADING_POLL_SECONDS = 1.0
# pause after a failed poll; a start that gets no response or misses its deadline has no pause after
# the first attempt, this pause after the second and twice this pause after the third; short
# compared with the lease
RETRY_SECONDS = 0.25
# only a status this recent permits an acknowledgement: a restarted worker numbers the ends of its
# runs from 1 again, and an acknowledgement for its previous incarnation would make it drop ends
# that are not yet recorded; no run starts and ends within this time of the last status
ACKNOWLEDGE_SECONDS = 0.1
# a worker lists the ends of its runs until they are acknowledged, so the next poll waits until
# they are recorded, but no longer than this time
MAX_RECORD_WAIT_SECONDS = 0.5
# after this many attempts at a start the run is stopped, which also prevents a late start, so that
# another worker can run the task
MAX_START_ATTEMPTS = 3
# pause before a failed stop is sent again; a call may fail at once, for example when the connection
# is refused, and would then be repeated without a break; half the timeout of a call
STOP_RETRY_SECONDS = 0.3
# pause after the first unexpected error; it doubles with each further one, until it outlasts all
# leases, so that even runs that cannot be stopped end
MIN_RESTART_SECONDS = 0.25
# leases are not extended when the last confirmed write of the leader's row is older: another entry
# may lead and rely on their expiry
MAX_UNCONFIRMED_SECONDS = 6.0


class WorkerSession:
    """Extends the leases of one worker and sends starts and stops to it.

    An unexpected error in any of these tasks is logged and counted; the session then begins again
    with new connections after a pause, in which the worker counts as unreachable.

    ``connect_agent`` returns the ``WorkerAgent`` for an address and a worker id.
    ``leadership`` provides the fencing token, ``hedge`` repeats orders without an answer.
    ``lease_limit_seconds`` is the longest lease that a worker grants. ``refusal`` returns the
    ``StartResult`` of an order that must not be sent to a ``FleetWorker`` now, else None.
    ``on_change`` is called after each change of the engine, ``on_fenced`` when the worker has seen
    a higher fencing token.
    """

    __slots__ = (
        "_acknowledged_sequence",
        "_address",
        "_agent",
        "_answered_at",
        "_applied_sequence",
        "_attempt",
        "_connect_agent",
        "_connected",
        "_deadline_sent_at",
        "_engine",
        "_expires_at",
        "_failure_reason",
        "_hedge",
        "_incarnation",
        "_latest_deadline_ms",
        "_leadership",
        "_lease_limit_seconds",
        "_lease_seconds",
        "_metrics",
        "_moved",
        "_on_change",
        "_on_fenced",
        "_pause",
        "_poll_sent_at",
        "_recorded_sequence",
        "_refusal",
        "_scope",
        "_unanswered_starts",
        "_wakeup",
        "_worker",
        "_worker_clock_ms",
        "_worker_clock_read_at",
    )

    def __init__(
        self,
        worker,
        connect_agent,
        engine,
        leadership,
        hedge,
        *,
        lease_limit_seconds,
        refusal,
        on_change,
        on_fenced,
        metrics,
    ):
        self._worker = worker
        self._refusal = refusal
        self._connect_agent = connect_agent
        self._agent = None
        self._engine = engine
        self._leadership = leadership
        self._hedge = hedge
        self._lease_seconds = min(LEASE_SECONDS, lease_limit_seconds)
        self._lease_limit_seconds = lease_limit_seconds
        self._on_change = on_change
        self._on_fenced = on_fenced
        self._metrics = metrics
        # when the poll was sent that waits for its response, None without one
        self._poll_sent_at = None
        self._worker_clock_ms = None
        self._worker_clock_read_at = 0.0
        # latest deadline that was sent on the clock of the present incarnation or, until the
        # restart is known, of the previous one
        self._latest_deadline_ms = None
        self._deadline_sent_at = 0.0
        # (task key, run) of the starts without an answer since the worker's last status
        self._unanswered_starts = set()
        self._incarnation = worker.info.incarnation
        self._recorded_sequence = 0
        self._acknowledged_sequence = 0
        self._applied_sequence = 0
        self._answered_at = None
        # why the last failed poll failed
        self._failure_reason = ""
        self._wakeup = trio.Event()
        self._expires_at = 0.0
        self._address = worker.info.address
        self._scope = trio.CancelScope()
        # cancelled when an order ends with an unexpected error
        self._attempt = trio.CancelScope()
        # cancelled to end the pause after an unexpected error
        self._pause = trio.CancelScope()
        self._moved = False
        # set while the session is connected
        self._connected = trio.Event()

    @property
    def address(self):
        """Returns the address that this session calls."""
        return self._address

    @property
    def last_applied_end(self):
        """Returns (incarnation of the worker, number of the last end applied to the engine)."""
        return self._incarnation, self._applied_sequence

    @property
    def expires_at(self):
        """Returns the monotonic time in seconds after which no run of this worker has a lease."""
        return self._expires_at

    @property
    def has_runs(self):
        """Returns True if the engine knows of runs on the worker."""
        return bool(self._worker.units_by_run)

    @property
    def _polled_since_answer(self):
        """True if a poll has been open since the worker's last answer."""
        if self._poll_sent_at is None:
            return False
        return self._poll_sent_at - self._worker_clock_read_at <= MAX_CLOCK_AGE_SECONDS

    def assume_lease(self, expires_at):
        """Records that an earlier leader may have extended leases up to ``expires_at``."""
        self._expires_at = max(self._expires_at, expires_at)

    def confirm_recorded(self, last_applied_end):
        """Records that all ends up to ``last_applied_end`` are stored; a poll acknowledges them."""
        incarnation, sequence = last_applied_end
        if incarnation == self._incarnation and sequence > self._recorded_sequence:
            self._recorded_sequence = sequence
            self.wake()

    def wake(self):
        """Makes ``run`` check again whether a poll is needed."""
        self._wakeup.set()

    def reconnect(self, address):
        """Makes ``run`` begin again at another address of the worker; orders go on there."""
        self._address = address
        self._moved = True
        self._pause.cancel()
        self._disconnect()

    def close(self):
        """Ends ``run``."""
        self._scope.cancel()

    async def run(self, loaded):
        """Polls the worker and extends its leases while it has runs or ends, until closed.

        Until the event ``loaded``, when the engine has the runs on record, it only extends leases.
        """
        longest_pause = self._lease_limit_seconds * CLOCK_SLOWNESS + MAX_STATUS_AGE_SECONDS
        longest_pause += RETRY_SECONDS
        pause_seconds = MIN_RESTART_SECONDS
        with self._scope:
            while True:
                started_at = trio.current_time()
                with trio.CancelScope() as self._attempt:
                    await self._run_isolated(self._follow, loaded)
                now = trio.current_time()
                if now - started_at > longest_pause:
                    pause_seconds = MIN_RESTART_SECONDS
                if self._moved:
                    await self._wait_disconnected(now, "moved")
                else:
                    await self._wait_disconnected(now + pause_seconds, "error")
                    pause_seconds = min(2 * pause_seconds, longest_pause)
                self._moved = False

    async def send_start(self, order):
        """Sends a ``StartOrder`` until its outcome is known or the attempts are exhausted."""
        if not await self._run_isolated(self._send_start, order):
            self._disconnect()

    async def send_stop(self, stop_order):
        """Sends a ``StopOrder`` until the worker has confirmed it or the allocation is released."""
        try:
            while not await self._run_isolated(self._send_stop, stop_order):
                self._disconnect()
                if stop_order.allocation is None:
                    return
                await self._connected.wait()
        finally:
            self._engine.end_delivery(stop_order)

    async def _run_isolated(self, function, *args):
        """Awaits a function; returns False if it ended with an unexpected error."""
        return await run_isolated(self._metrics, "worker", self._worker.id, function, *args)

    async def _follow(self, loaded):
        """Connects to the worker and polls it until cancelled; for ``loaded`` see ``run``."""
        self._agent = self._connect_agent(self._address, self._worker.id)
        self._connected.set()
        try:
            with trio.move_on_after(LOADING_POLL_SECONDS):
                await loaded.wait()
            while not loaded.is_set():
                await self._extend_leases(loaded)
            await self._poll_worker(0.0)
            while True:
                await self._poll_when_needed()
        finally:
            with trio.CancelScope(shield=True):
                await self._agent.aclose()

    def _disconnect(self):
        """Makes ``run`` begin again, after a pause unless the worker has moved."""
        if self._connected.is_set():
            self._connected = trio.Event()
        self._attempt.cancel()

    async def _wait_disconnected(self, restart_at, reason):
        """Waits until ``restart_at`` or ``reconnect``, and ends the runs whose leases expire."""
        self._disconnect()
        # the error may have been caused by the clock
        self._worker_clock_ms = None
        self._answered_at = None
        with trio.CancelScope(deadline=restart_at) as self._pause:
            await self._run_isolated(self._end_runs_with_leases, reason)
            await trio.sleep_forever()

    async def _end_runs_with_leases(self, reason):
        """Marks the worker as unreachable, and ends its runs once their leases have expired."""
        self._mark_unreachable(reason, replaced=False)
        await trio.sleep_until(self._expires_at + RETRY_SECONDS)
        self._mark_unreachable(reason, replaced=False)

    async def _send_start(self, order):
        """Sends a ``StartOrder`` and applies its result; an error leaves the order unanswered."""
        self.wake()
        try:
            result = await self._request_start(order)
        except Exception:
            self._apply_start_result(order, StartResult.UNKNOWN)
            raise
        if result is not None:
            self._apply_start_result(order, result)

    async def _request_start(self, order):
        """Sends a ``StartOrder`` until its outcome is known or the attempts are exhausted.

        Returns the ``StartResult``, None if the run no longer waits for it.
        """
        if self._worker_clock_ms is not None:
            refusal = await self._check_idle_worker(order)
            if refusal is not None:
                self._metrics.count("orders", refusal.value)
                return refusal
        result = StartResult.UNKNOWN
        any_unanswered = False
        for attempt in range(MAX_START_ATTEMPTS):
            if not order.awaits_answer:
                return None
            if self._worker_clock_ms is None:
                # the session has begun again, or the worker has
                result = StartResult.UNKNOWN if attempt else StartResult.NOT_SENT
                break
            call = self._repeat_start if attempt else self._call_start
            (result, clock_ms), unanswered = await self._hedge.call(
                functools.partial(call, order),
                lambda response: response[0] is not StartResult.UNKNOWN,
                functools.partial(self._repeat_start, order),
            )
            self._record_clock(clock_ms)
            self._metrics.count("orders", result.value)
            any_unanswered = any_unanswered or unanswered
            if result not in (StartResult.UNKNOWN, StartResult.DEADLINE_PASSED):
                break
            if attempt:
                await trio.sleep(RETRY_SECONDS * attempt)
        if result is StartResult.FENCED:
            self._on_fenced()
        if any_unanswered and result is not StartResult.STARTED:
            # a start request without a response may still take effect, even if a later one was
            # refused
            result = StartResult.UNKNOWN
        return result

    async def _check_idle_worker(self, order):
        """Reads the status of a worker that has not answered lately, before it gets an order.

        An idle worker is not polled. An order to one that is gone would hold its run for the
        longest lease, and one that has started again may not be as it was. Returns the
        ``StartResult`` of an order that must not be sent, else None.
        """
        max_age = MAX_CLOCK_AGE_SECONDS
        if self._polled_since_answer and not order.unit.crash_suspect:
            max_age = MAX_CLOCK_AGE_WHILE_POLLED_SECONDS
        if trio.current_time() - self._worker_clock_read_at <= max_age:
            return None
        (status, error), _ = await self._hedge.call(
            self._read_status, lambda response: response[0] is not None
        )
        if error is not None:
            if error.fenced:
                self._on_fenced()
            return StartResult.FENCED if error.fenced else StartResult.NOT_SENT
        if self._has_restarted(status, order):
            return StartResult.WRONG_INCARNATION
        self._record_clock(status.clock_ms)
        return None

    def _has_restarted(self, status, order):
        """Returns True if a ``WorkerStatus`` is not of the incarnation of a ``StartOrder``.

        The worker then gets no more orders until a poll has shown its incarnation.
        """
        if status.incarnation in (None, order.allocation.incarnation):
            return False
        self._worker.incarnation = status.incarnation
        self.wake()
        return True

    async def _read_status(self):
        """Returns (``WorkerStatus``, None), or (None, the ``AgentError``)."""
        try:
            return await self._agent.read_status(self._leadership.epoch), None
        except AgentError as error:
            return None, error

    def _apply_start_result(self, order, result):
        """Applies the ``StartResult`` of a ``StartOrder`` to the engine."""
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

    async def _send_stop(self, stop_order):
        """Sends a ``StopOrder`` until the worker has confirmed it or the allocation is released."""
        while (
            stop_order.allocation is None
            or (stop_order.task_key, stop_order.run) in self._worker.units_by_run
        ):
            error, _ = await self._hedge.call(
                functools.partial(self._call_stop, stop_order),
                lambda error: error is None or error.fenced,
            )
            if error is not None:
                self._metrics.count("stops", error.reason)
                if error.fenced:
                    self._on_fenced()
                    return
                if stop_order.allocation is None:
                    return
                await trio.sleep(STOP_RETRY_SECONDS)
                continue
            self._metrics.count("stops", stop_order.reason)
            self._engine.confirm_stop(stop_order, trio.current_time())
            self.wake()
            return

    async def _extend_leases(self, loaded):
        """Extends the leases once, then waits for ``loaded`` or the next extension."""
        sent_at = trio.current_time()
        deadline_ms = self._next_deadline_ms(sent_at)
        try:
            status = await self._agent.poll(self._leadership.epoch, 0, deadline_ms, 0.0)
        except AgentError as error:
            self._metrics.count("lists", error.reason)
            if error.fenced:
                self._on_fenced()
            pause_seconds = RETRY_SECONDS
        else:
            self._metrics.count("lists", "loading")
            self._record_clock(status.clock_ms)
            pause_seconds = 0.0 if deadline_ms is None else LOADING_POLL_SECONDS
        with trio.move_on_after(pause_seconds):
            await loaded.wait()

    def _next_deadline_ms(self, now):
        """Returns the deadline of leases that are extended now, None if they must not be."""
        if self._worker_clock_ms is None:
            return None
        if self._leadership.unconfirmed_seconds >= MAX_UNCONFIRMED_SECONDS:
            return None
        return self._extend_deadline(now)

    async def _call_start(self, order):
        """Orders a start once; returns (``StartResult``, worker's clock in ms or None).

        Without an answer the worker may have restarted unnoticed and have granted the run its
        longest lease, as the deadline counts from the clock of its earlier incarnation.
        """
        refusal = self._refusal(self._worker)
        if refusal is not None:
            return refusal, None
        if not self._worker.accepts_orders_of(order.allocation.incarnation):
            return StartResult.WRONG_INCARNATION, None
        deadline_ms = self._extend_deadline(trio.current_time())
        result, clock_ms = StartResult.UNKNOWN, None
        try:
            result, clock_ms = await self._agent.start(
                self._leadership.epoch,
                order.task_key,
                order.run,
                order.unit.job.spec.payload,
                order.unit.checkpoint,
                deadline_ms,
            )
        finally:
            if clock_ms is None and result is not StartResult.NOT_SENT:
                self._unanswered_starts.add((order.task_key, order.run))
        return result, clock_ms

    async def _repeat_start(self, order):
        """Orders a start again unless the worker has the run; returns as ``_call_start`` does.

        A worker that has restarted since does not know the run, so a copy would run the task again.
        """
        status, error = await self._read_status()
        if error is not None:
            return (StartResult.FENCED if error.fenced else StartResult.UNKNOWN), None
        if self._has_restarted(status, order):
            return StartResult.WRONG_INCARNATION, None
        if status.has_run(order.task_key, order.run):
            return StartResult.STARTED, status.clock_ms
        if not order.awaits_answer:
            return StartResult.UNKNOWN, None
        return await self._call_start(order)

    async def _call_stop(self, stop_order):
        """Orders a stop once; returns the ``AgentError``, or None if the worker confirmed it."""
        try:
            await self._agent.stop(self._leadership.epoch, stop_order.task_key, stop_order.run)
        except AgentError as error:
            return error
        return None

    async def _poll_when_needed(self):
        """Polls the worker if a poll is needed, else waits for ``wake``.

        Before the poll, waits until all applied ends are recorded, up to
        ``MAX_RECORD_WAIT_SECONDS``.
        """
        if not self._poll_needed():
            await self._wait_for_wakeup()
        elif self._applied_sequence > self._recorded_sequence:
            with trio.move_on_after(MAX_RECORD_WAIT_SECONDS) as waiting:
                while self._applied_sequence > self._recorded_sequence:
                    await self._wait_for_wakeup()
            if waiting.cancelled_caught:
                # the leases must be extended even while the store does not respond
                await self._poll_worker(0.0)
        else:
            # a long poll: the worker responds when a run ends, else after this time; it also drops
            # the ends that the poll acknowledges
            await self._poll_worker(self._poll_wait_seconds())

    def _poll_needed(self):
        """Returns True if the worker has runs or unacknowledged ends, or does not respond.

        Also if it last responded in another incarnation than that of its registration.
        """
        return (
            bool(self._worker.units_by_run)
            or self._applied_sequence > self._acknowledged_sequence
            or not self._worker.reachable
            or not self._worker.described
        )

    def _poll_wait_seconds(self):
        """Returns how long the worker may delay its response to the next poll.

        A worker that did not respond is polled without a delay: its leases are extended only once
        it has responded, and may expire soon.
        """
        if not self._worker.reachable:
            return 0.0
        if not self._worker.units_by_run and self._worker.described:
            return 0.0
        return STOPPING_POLL_SECONDS if self._worker.stopping else LONG_POLL_SECONDS

    async def _poll_worker(self, wait_seconds):
        """Polls the worker once, extends its leases and applies its status.

        The worker responds when a run ends, after ``wait_seconds`` at the latest.
        """
        sent_at = trio.current_time()
        acknowledged_end = self._recorded_sequence if self._may_acknowledge(sent_at) else 0
        if acknowledged_end < self._recorded_sequence:
            # this poll only confirms the incarnation; the next one acknowledges the ends
            wait_seconds = 0.0
        # the leases of a worker that does not respond are not extended, so that they expire
        deadline_ms = self._next_deadline_ms(sent_at) if self._worker.reachable else None
        try:
            status = await self._call_poll(acknowledged_end, deadline_ms, wait_seconds)
        except AgentError as error:
            self._metrics.count("lists", error.reason)
            if error.fenced:
                self._on_fenced()
            self._answered_at = None
            self._mark_unreachable(error.reason, error.replaced)
            await trio.sleep(RETRY_SECONDS)
            return
        self._metrics.count("lists", "answered")
        if not self._worker.reachable:
            LOG.info("A worker answers.", extra={"worker": self._worker.id})
        all_applied = self._apply_status(status, sent_at, acknowledged_end)
        self._on_change()
        if not all_applied:
            # the worker responds at once as long as it lists these ends
            await trio.sleep(RETRY_SECONDS)

    async def _call_poll(self, acknowledged_end, deadline_ms, wait_seconds):
        """Polls the worker; returns the ``WorkerStatus``, raises ``AgentError``."""
        self._poll_sent_at = trio.current_time()
        try:
            return await self._agent.poll(
                self._leadership.epoch, acknowledged_end, deadline_ms, wait_seconds
            )
        finally:
            self._poll_sent_at = None

    def _apply_status(self, status, sent_at, acknowledged_end):
        """Applies the ``WorkerStatus`` that responds to a poll sent at ``sent_at``.

        Returns False if some of its ends are left to a later status.
        """
        if status.incarnation is not None and status.incarnation != self._incarnation:
            # a restarted worker numbers the ends of its runs from 1 again, so the sequence numbers
            # of its previous incarnation are dropped
            fields = {"worker": self._worker.id, "incarnation": status.incarnation}
            LOG.info("A worker has started again.", extra=fields)
            self._incarnation = status.incarnation
            self._applied_sequence = self._recorded_sequence = self._acknowledged_sequence = 0
            self._worker_clock_ms = None
            self._expires_at = max(self._expires_at, self._longest_lease_expiry())
            self._latest_deadline_ms = None
        else:
            self._acknowledged_sequence = max(self._acknowledged_sequence, acknowledged_end)
        self._record_clock(status.clock_ms)
        self._unanswered_starts.clear()
        now = trio.current_time()
        self._answered_at = now
        sequence = self._engine.apply_worker_status(self._worker.id, status, sent_at, now)
        self._applied_sequence = max(self._applied_sequence, sequence)
        return sequence == max((end.sequence for end in status.ended), default=0)

    def _mark_unreachable(self, reason, replaced):
        """Records that a poll failed; ends the worker's runs once they cannot go on.

        They have ended if another process has taken the worker's place (``replaced``) or their
        leases have expired.
        """
        if self._worker.reachable or reason != self._failure_reason:
            fields = {
                "worker": self._worker.id,
                "reason": reason,
                "registered": self._worker.registered,
                "runs": len(self._worker.units_by_run),
            }
            LOG.warning("A worker does not answer.", extra=fields)
        self._failure_reason = reason
        now = trio.current_time()
        if self._worker.reachable:
            self._worker.unreachable_at = now
        self._worker.reachable = False
        if replaced and (self._worker.units_by_run or self._worker.vanished_runs):
            self._engine.end_lost_runs(self._worker.id, EndCause.WORKER_CRASHED, now, reason)
            self._on_change()
        elif self._worker.units_by_run and now > self._expires_at:
            uncertain = self._unanswered_starts if now <= self._longest_lease_expiry() else ()
            cause = EndCause.WORKER_VANISHED
            self._engine.end_lost_runs(self._worker.id, cause, now, "lease_expired", uncertain)
            self._on_change()

    def _record_clock(self, clock_ms):
        """Records the worker's clock, if a response has it; lease deadlines count from it.

        It also tells how far away the deadlines are, which after a restart may be further than a
        lease.
        """
        if clock_ms is None:
            return
        now = trio.current_time()
        if self._latest_deadline_ms is not None:
            seconds = (self._latest_deadline_ms - clock_ms) / 1000 * CLOCK_SLOWNESS
            expires_at = min(now + seconds, self._longest_lease_expiry())
            self._expires_at = max(self._expires_at, expires_at)
        self._worker_clock_ms = clock_ms
        self._worker_clock_read_at = now

    def _extend_deadline(self, now):
        """Returns the deadline of leases that are extended now, in ms of the worker's clock.

        Moves ``expires_at`` to their expiry, if the worker has not restarted.
        """
        elapsed = now - self._worker_clock_read_at
        deadline_ms = int(self._worker_clock_ms + (elapsed + self._lease_seconds) * 1000)
        self._latest_deadline_ms = max(deadline_ms, self._latest_deadline_ms or 0)
        self._deadline_sent_at = now
        expires_at = now + self._lease_seconds * CLOCK_SLOWNESS + MAX_STATUS_AGE_SECONDS
        self._expires_at = max(self._expires_at, expires_at)
        return deadline_ms

    def _longest_lease_expiry(self):
        """Returns the expiry of the longest lease that a deadline sent so far may have extended."""
        seconds = self._lease_limit_seconds * CLOCK_SLOWNESS + MAX_STATUS_AGE_SECONDS
        return self._deadline_sent_at + seconds

    def _may_acknowledge(self, now):
        """Returns True if the worker is certainly still in the incarnation of the last status."""
        return self._answered_at is not None and now - self._answered_at <= ACKNOWLEDGE_SECONDS

    async def _wait_for_wakeup(self):
        """Returns after ``wake`` is called, at once if it was called before."""
        await self._wakeup.wait()
        self._wakeup = trio.Event()


def remaining_lease_seconds(lease_limit_seconds):
    """Returns how many seconds a lease that an earlier leader granted may last from now on.

    It may have extended leases without a confirmed write, or have ordered a start with a deadline
    for which the worker grants its longest lease.
    """
    lease_seconds = min(LEASE_SECONDS, lease_limit_seconds)
    unconfirmed = MAX_UNCONFIRMED_SECONDS + lease_seconds * CLOCK_SLOWNESS
    return max(unconfirmed, lease_limit_seconds * CLOCK_SLOWNESS)
