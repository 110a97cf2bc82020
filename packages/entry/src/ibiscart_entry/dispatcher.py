"""
ibiscart_entry.dispatcher
~~~~~~~~~~~~~~~~~~~~~~~~~

Dispatches short requests to runners.
"""

import json
import logging

import trio

from ibiscart_core.error import ErrorKind, IbiscartError
from ibiscart_core.estimate import Estimates
from ibiscart_core.share import SHARE_TIMEOUT_SECONDS
from ibiscart_entry.claim import Claim
from ibiscart_entry.client import HttpClient, TransportError
from ibiscart_entry.lane import UNREACHABLE_SECONDS, SlotPool, Ticket
from ibiscart_entry.loan import Loans
from ibiscart_entry.probe import RunnerProbe
from ibiscart_entry.quota import Quotas, account_key
from ibiscart_entry.server import Response
from ibiscart_schema.generated.types_pb2 import (
    RAN_MAYBE,
    TARGET_LEAVING,
    TARGET_LOST,
)

__all__ = ["Dispatcher"]

LOG = logging.getLogger("ibiscart.dispatcher")
RUN_PATH = "/v1/run"


class _Outcome:
    """What one sending of a request brought: an answer, or whether it may have run."""

    __slots__ = ("may_have_run", "reason", "response")

    def __init__(self, response=None, reason="", may_have_run=True):
        self.response = response
        self.reason = reason
        self.may_have_run = may_have_run


class Dispatcher:
    """Queues requests and sends them to runners within this entry's shares.

    ``settings`` is a ``DispatchSettings`` message, ``claims`` a ``Claims``, ``budget`` a
    ``RetryBudget``; ``connect`` builds a client from an address and ``max_connections``.
    """

    def __init__(
        self,
        entry_id,
        data_centre,
        settings,
        journal,
        peers,
        membership,
        claims,
        metrics,
        *,
        budget,
        random,
        connect=HttpClient,
    ):
        self._settings = settings
        self._journal = journal
        self._peers = peers
        self._claims = claims
        self._metrics = metrics
        self._budget = budget
        self._open = set()
        self._has_converged = False
        self._probe = RunnerProbe(entry_id, peers, membership, metrics, connect)
        self._quotas = Quotas(entry_id, settings, journal, peers, membership)
        self.shares = self._quotas.shares
        self._loans = Loans(self._quotas, peers, metrics, random)
        self._pool = SlotPool(
            data_centre,
            settings,
            self.shares,
            Estimates(),
            membership.runners,
            peers.signs.eligible,
            self._weight,
            metrics,
            self._loans.need,
            connect,
        )
        self._loans.arrived = self._pool.pump
        self._loans.lent = self._pool.trim
        self._quotas.changed = self._pool.apply_share_change

    @property
    def waiting(self):
        """Number of requests that wait for a slot."""
        return self._pool.waiting

    @property
    def ready(self):
        """Whether this entry has shares that it may use.

        Later assignments lower the shares only for some time, so it is enough that the shares
        converged once; otherwise each change of the entries would make all of them not ready
        at the same time.
        """
        self._has_converged = self._has_converged or self.shares.converged
        named = self._quotas.entry_id in self.shares.entries
        return named and self.shares.usable and self._has_converged

    @property
    def running(self):
        """Number of requests that are on a runner."""
        return self._pool.running

    async def run(self, task_status=trio.TASK_STATUS_IGNORED):
        """Keeps shares, loans and claims up to date until cancelled."""
        async with trio.open_nursery() as nursery:
            await nursery.start(self._claims.run)
            await nursery.start(self._loans.run)
            await nursery.start(self._pool.run)
            await nursery.start(self._quotas.run)
            nursery.start_soon(self._probe.run)
            task_status.started()

    async def dispatch(self, account, request_id, kind, repeatable, body, content_type, timeout):
        """Serves one request; returns the runner's answer as a ``Response``.

        ``timeout`` is in seconds. Raises ``IbiscartError``.
        """
        deadline = trio.current_time() + timeout
        self._check_account(account)
        ticket = Ticket(account, kind, trio.current_time())
        message = _Message(account, request_id, body, content_type, deadline)
        if repeatable:
            self._check(account)
            self._budget.record_request()
            return await self._serve_repeatable(ticket, message)
        key = (account, request_id)
        if key in self._open:
            raise _in_progress()
        self._open.add(key)
        try:
            # after this, a refusal can say that no request with this id has run
            stored = await self._claims.find(account, request_id, body)
            if stored is not None:
                return stored
            self._check(account)
            self._check_confirmed()
            self._budget.record_request()
            return await self._serve_once(ticket, message)
        finally:
            self._open.discard(key)

    async def lookup(self, account, request_id):
        """Returns the stored answer of a request that may run only once."""
        if (account, request_id) in self._open:
            raise _in_progress()
        return await self._claims.lookup(account, request_id)

    def _check_account(self, account):
        if account not in self._journal.ledger.accounts:
            raise IbiscartError(
                ErrorKind.UNKNOWN_ACCOUNT,
                "no contract exists for this client account",
                field="account",
                value=account,
            )

    def _check(self, account):
        if self._quotas.entry_id not in self.shares.entries:
            raise IbiscartError(ErrorKind.NOT_READY, "no share of the runners is granted yet")
        if not self.shares.usable:
            raise _not_confirmed()
        # a new entry gets its shares once the others have lowered theirs
        if not self.shares.converged and not self.shares.limit(account_key("queued", account)):
            raise IbiscartError(ErrorKind.NOT_READY, "the share of this entry is not free yet")
        if not self._pool.any_runner():
            raise IbiscartError(ErrorKind.NO_TARGET, "no runner accepts work; retry later")

    def _check_confirmed(self):
        if self._journal.confirmed_age() > SHARE_TIMEOUT_SECONDS:
            raise _not_confirmed()

    async def _enter_queue(self, account):
        """Takes a place of the account's limit of queued requests."""
        key = account_key("queued", account)
        if not self.shares.acquire(key):
            await self._loans.borrow(key)
            if self.shares.acquire(key):
                return
            raise IbiscartError(
                ErrorKind.QUEUE_FULL,
                "the client account has too many waiting requests; retry later",
                field="queued_requests",
                bound=self._quotas.total(key),
            )

    async def _acquire(self, ticket, deadline):
        await self._enter_queue(ticket.account)
        try:
            return await self._pool.acquire(ticket, deadline)
        finally:
            self.shares.release(account_key("queued", ticket.account))

    async def _serve_repeatable(self, ticket, message):
        may_have_run = False
        for attempt in range(self._settings.attempts):
            try:
                slot = await self._acquire(ticket, message.deadline)
            except IbiscartError as error:
                if may_have_run:
                    raise IbiscartError(error.kind, error.message, ran=RAN_MAYBE) from None
                raise
            try:
                outcome = await self._send(slot, message)
            finally:
                self._pool.release(slot)
            may_have_run = may_have_run or outcome.may_have_run
            failed = outcome.response is None or outcome.response.status >= 500
            if not failed or not self._may_retry(attempt, outcome, message):
                break
        if outcome.response is not None:
            return outcome.response
        raise self._failure(outcome.reason, may_have_run)

    async def _serve_once(self, ticket, message):
        """Serves a request that may run only once, under a durable claim."""
        claim = None
        try:
            for attempt in range(self._settings.attempts):
                slot = await self._acquire(ticket, message.deadline)
                try:
                    if claim is None:
                        claim = await self._claims.claim(
                            message.account, message.request_id, message.body
                        )
                        if not isinstance(claim, Claim):
                            stored, claim = claim, None
                            return stored
                    await self._claims.recheck(claim)
                    sent, claim = claim, None
                    outcome = await self._send_once(slot, message, sent)
                finally:
                    self._pool.release(slot)
                if outcome.response is not None:
                    return outcome.response
                if outcome.may_have_run:
                    raise IbiscartError(
                        ErrorKind.OUTCOME_UNKNOWN,
                        f"the request may have run; the runner's answer is missing "
                        f"({outcome.reason})",
                    )
                claim = sent
                if not self._may_retry(attempt, outcome, message):
                    break
            raise self._failure(outcome.reason, False)
        finally:
            # only a claim that is known not to have been used is still set here
            if claim is not None:
                self._claims.abandon(claim)

    async def _send_once(self, slot, message, claim):
        outcome = _Outcome(reason="cancelled")
        try:
            outcome = await self._send(slot, message)
        finally:
            if outcome.response is not None:
                response = outcome.response
                self._claims.finish(claim, response.status, response.content_type, response.body)
            elif outcome.may_have_run:
                self._claims.close(claim)
        return outcome

    async def _send(self, slot, message):
        """Sends a request once and checks that the answer is its own."""
        start = trio.current_time()
        remaining = message.deadline - start
        if remaining <= 0:
            return _Outcome(reason="deadline", may_have_run=False)
        self._metrics.count("target_calls", "run")
        try:
            response = await slot.client.request(
                "POST",
                RUN_PATH,
                body=message.body,
                headers=[
                    ("x-request-id", message.id),
                    ("x-remaining-ms", str(int(remaining * 1000))),
                    ("content-type", message.content_type),
                ],
                timeout=remaining,
            )
        except TransportError as error:
            return self._broken(slot, error)
        return self._checked(slot, message, response, trio.current_time() - start)

    def _broken(self, slot, error):
        self._metrics.count("target_errors", error.reason)
        if error.reason == "refused":
            self._peers.signs.report(slot.runner_id, TARGET_LOST, "connection_refused")
        elif not error.sent:
            self._pool.avoid(slot.runner_id, UNREACHABLE_SECONDS)
        return _Outcome(reason=error.reason, may_have_run=error.sent)

    def _checked(self, slot, message, response, seconds):
        if response.headers.get("x-request-id") != message.id:
            # every answer that follows on these connections is in doubt too
            self._metrics.count("target_errors", "crossed")
            self._pool.drop_connections(slot.runner_id)
            return _Outcome(reason="crossed")
        if response.status == 503 and response.headers.get("x-not-run") == "1":
            reason = "leaving" if _says_leaving(response) else "full"
            self._metrics.count("target_errors", reason)
            if reason == "leaving":
                self._peers.signs.report(slot.runner_id, TARGET_LEAVING, "own_answer")
            else:
                self._pool.avoid(slot.runner_id)
            return _Outcome(reason=reason, may_have_run=False)
        if response.status < 500:
            self._pool.learn(message.account, slot.kind_key[1], seconds)
        content_type = response.headers.get("content-type", "application/octet-stream")
        headers = [("x-request-id", message.id)]
        return _Outcome(Response(response.status, response.body, content_type, headers))

    def _may_retry(self, attempt, outcome, message):
        reason = outcome.reason or "target_failed"
        if attempt + 1 >= self._settings.attempts or trio.current_time() >= message.deadline:
            return False
        if not self._budget.take():
            self._metrics.count("retries", "budget_spent")
            return False
        self._metrics.count("retries", reason)
        return True

    def _failure(self, reason, may_have_run):
        if not may_have_run:
            return IbiscartError(
                ErrorKind.NO_TARGET, f"no runner took the request ({reason}); retry later"
            )
        return IbiscartError(ErrorKind.TARGET_FAILED, f"the runner gave no answer ({reason})")

    def _weight(self, account):
        known = self._journal.ledger.accounts.get(account)
        return known.contract.weight if known is not None else 1


class _Message:
    """A request as it is sent."""

    __slots__ = ("account", "body", "content_type", "deadline", "request_id")

    def __init__(self, account, request_id, body, content_type, deadline):
        self.account = account
        self.request_id = request_id
        self.body = body
        self.content_type = content_type
        self.deadline = deadline

    @property
    def id(self):
        """Value of ``x-request-id``."""
        return f"{self.account}/{self.request_id}"


def _says_leaving(response):
    try:
        return bool(json.loads(response.body).get("leaving"))
    except (ValueError, AttributeError):
        return False


def _not_confirmed():
    return IbiscartError(
        ErrorKind.STORE_UNAVAILABLE, "the journal has not been confirmed; retry later"
    )


def _in_progress():
    return IbiscartError(ErrorKind.IN_PROGRESS, "this request is being served")
