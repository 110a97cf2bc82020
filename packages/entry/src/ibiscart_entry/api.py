"""
ibiscart_entry.api
~~~~~~~~~~~~~~~~~~

HTTP API for callers and operators, and the probes of the platform.
"""

import logging
import re
import secrets
import time

import trio

from ibiscart_core.error import ErrorKind, IbiscartError
from ibiscart_entry.auth import Auth
from ibiscart_entry.call import Call, check_text
from ibiscart_entry.route import Services
from ibiscart_entry.routes.contract import ContractRoutes
from ibiscart_entry.routes.job import JobRoutes
from ibiscart_entry.routes.probe import ProbeRoutes
from ibiscart_entry.routes.request import RequestRoutes
from ibiscart_entry.server import error_response

__all__ = ["Api"]

LOG = logging.getLogger("ibiscart.api")

NAME = re.compile(r"[a-z0-9][a-z0-9-]{0,39}")
REQUEST_ID = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,79}")
SHOWN_CHARACTERS = 80


def _wall_clock_us():
    return time.time_ns() // 1000


class Api:
    """Answers the requests of callers, operators, collectors and the load balancer.

    ``settings`` is a ``Settings``; ``journal``, ``writer``, ``dispatcher``, ``peers`` and
    ``metrics`` are those of the process; ``policy`` explains queued jobs. ``now_us``
    returns the wall clock in microseconds, ``clock`` the monotonic clock in seconds.
    """

    def __init__(
        self,
        settings,
        *,
        journal,
        writer,
        dispatcher,
        peers,
        policy,
        metrics,
        now_us=_wall_clock_us,
        clock=trio.current_time,
    ):
        self._services = services = Services(
            settings=settings,
            journal=journal,
            writer=writer,
            dispatcher=dispatcher,
            peers=peers,
            policy=policy,
            metrics=metrics,
            now_us=now_us,
            clock=clock,
        )
        self._auth = Auth(settings.operators.key_sha256, lambda: journal.ledger.accounts)
        self._jobs = JobRoutes(services)
        groups = (
            self._jobs,
            ProbeRoutes(services),
            ContractRoutes(services),
            RequestRoutes(services),
        )
        self._routes = [(route, group) for group in groups for route in group.ROUTES]

    @property
    def polls(self):
        """Number of long polls that wait at present."""
        return self._jobs.polls

    def set_draining(self):
        """Turns readiness off; long polls answer with the present state."""
        self._services.draining = True

    def unready_cause(self):
        """Returns why this entry is not ready, or an empty text."""
        return self._services.unready_cause()

    def answer_headers(self):
        """Returns headers for answers that the server gives without the API."""
        sequence = self._services.journal.sequence
        return [("x-request-id", secrets.token_hex(8)), ("x-journal-sequence", str(sequence))]

    async def handle(self, request):
        """Returns the ``Response`` to a ``server.Request``."""
        clock, metrics = self._services.clock, self._services.metrics
        call = Call(request, clock())
        try:
            response = await self._answer(call)
        except IbiscartError as error:
            response = self._refuse(call, error)
        except Exception:
            LOG.exception("A request failed.", extra=call.log_fields())
            error = IbiscartError(ErrorKind.INTERNAL, "internal error; see the log of this entry")
            response = self._refuse(call, error)
        metrics.count("requests", call.route)
        metrics.observe("request_seconds", call.route, clock() - call.started)
        sequence = self._services.journal.sequence if call.sequence is None else call.sequence
        added = [("x-request-id", call.request_id), ("x-journal-sequence", str(sequence))]
        names = {name for name, _ in added}
        kept = [pair for pair in response.headers if pair[0].lower() not in names]
        response.headers = [*kept, *added]
        return response

    async def _answer(self, call):
        route, group = self._route(call)
        call.read_id()
        call.check_query(route.query)
        if route.access is not None:
            self._require_ready(route)
            self._authorize(call, route.access)
            call.read_deadline(self._services.settings.dispatch.request_timeout_seconds)
        return await getattr(group, route.handler)(call)

    def _route(self, call):
        method, path = call.request.method, call.request.path
        parts = path.split("/")[1:]
        allowed = []
        for route, group in self._routes:
            values = route.match(parts)
            if values is None:
                continue
            if method == route.method or (method == "HEAD" and route.method == "GET"):
                name = type(group).__name__.removesuffix("Routes").lower()
                call.route = f"{name}_{route.handler}"
                call.account = values.get("account", "")
                call.item = values.get("id", "")
                return route, group
            allowed.append(route.method)
        if allowed:
            raise IbiscartError(
                ErrorKind.METHOD_NOT_ALLOWED,
                f"this path does not take the method; use {' or '.join(allowed)}",
                field="method",
                value=method[:SHOWN_CHARACTERS],
                bound=", ".join(allowed),
            )
        raise IbiscartError(
            ErrorKind.NOT_FOUND,
            "no such path; docs/operators/running.md lists the paths",
            field="path",
            value=path[:SHOWN_CHARACTERS],
        )

    def _require_ready(self, route):
        cause = self.unready_cause()
        # a draining entry still answers what the balancer sends during its lag, and
        # operators can look at an entry in any condition
        if self._services.draining or (route.access == "operator" and route.method == "GET"):
            return
        if cause:
            raise IbiscartError(ErrorKind.NOT_READY, f"this entry is not ready: {cause}")

    def _authorize(self, call, access):
        if call.account:
            check_text("account", call.account, NAME)
        if call.item:
            check_text("id", call.item, REQUEST_ID)
        if access == "operator":
            self._auth.require_operator(call.request.headers)
        else:
            self._auth.require_account(call.request.headers, call.account)

    def _refuse(self, call, error):
        journal = self._services.journal
        self._services.metrics.count("refusals", error.kind.value)
        fields = {**call.log_fields(), "kind": error.kind.value, "sequence": journal.sequence}
        account = journal.ledger.accounts.get(call.account)
        if account is not None:
            fields["contract_version"] = account.version
        LOG.info("A request was refused.", extra=fields)
        return error_response(error, request_id=call.request_id, sequence=journal.sequence)
