"""
ibiscart_entry.route
~~~~~~~~~~~~~~~~~~~~

Base of the classes that handle the API's paths.
"""

from ibiscart_core.error import ErrorKind, IbiscartError
from ibiscart_entry.call import deadline_guard
from ibiscart_entry.server import Response
from ibiscart_schema.generated.peer_pb2 import Command

__all__ = ["Route", "Routes", "Services"]

# the position must be confirmed at least this recently for durable work
DURABLE_AGE_SECONDS = 10.0
# beyond this age of its position an entry serves nothing
READY_AGE_SECONDS = 60.0
# time for the layer below to answer its own deadline, which tells more than the one here
DEADLINE_GRACE_SECONDS = 0.25


class Services:
    """What the handlers work with; see ``api.Api`` for the parts."""

    __slots__ = (
        "clock",
        "dispatcher",
        "draining",
        "journal",
        "metrics",
        "now_us",
        "peers",
        "policy",
        "settings",
        "writer",
    )

    def __init__(self, **parts):
        self.draining = False
        for name, part in parts.items():
            setattr(self, name, part)

    def unready_cause(self):
        """Returns why this entry is not ready, or an empty text."""
        if self.draining:
            return "draining"
        if self.journal.confirmed_age() > READY_AGE_SECONDS:
            return "journal position not confirmed"
        return ""

    def unbalanced_cause(self):
        """Returns why the load balancer must not send here, or an empty text.

        Without shares only short requests are refused, so the entry still serves the rest.
        """
        if cause := self.unready_cause():
            return cause
        return "" if self.dispatcher.ready else "no share of the quotas yet"


class Route:
    """One method on one path.

    ``handler`` names a method of the class that declares the route. ``access`` is
    ``operator``, ``account`` or None for open paths; ``query`` lists the parameters.
    """

    __slots__ = ("access", "handler", "method", "parts", "query")

    def __init__(self, method, path, handler, access=None, query=()):
        self.method = method
        self.parts = path.split("/")[1:]
        self.handler = handler
        self.access = access
        self.query = query

    def match(self, parts):
        """Returns the values of the path's placeholders, or None when the path differs."""
        if len(self.parts) != len(parts):
            return None
        values = {}
        for want, part in zip(self.parts, parts, strict=True):
            if want.startswith("{"):
                values[want[1:-1]] = part
            elif want != part:
                return None
        return values


class Routes:
    """Handlers of one subject; each is an async method from ``Call`` to ``Response``."""

    ROUTES = ()

    def __init__(self, services):
        self._services = services

    @property
    def _journal(self):
        return self._services.journal

    @property
    def _ledger(self):
        return self._services.journal.ledger

    def _reply(self, call, value, status=200):
        sequence = self._journal.sequence if call.sequence is None else call.sequence
        body = {"request_id": call.request_id, "sequence": sequence, **value}
        return Response.from_json(status, body)

    def _account(self, call):
        account = self._ledger.accounts.get(call.account)
        if account is None:
            raise IbiscartError(
                ErrorKind.UNKNOWN_ACCOUNT,
                "no contract exists for this client account; ask an operator to create one",
                field="account",
                value=call.account,
            )
        return account

    def _require_durable(self):
        """Raises when this entry's view may be stale, so that it must not decide on it."""
        age = self._journal.confirmed_age()
        if age > DURABLE_AGE_SECONDS:
            raise IbiscartError(
                ErrorKind.STORE_UNAVAILABLE,
                "the store has not confirmed this entry's position; retry later",
                field="confirmed_age",
                value=f"{age:.0f} s",
                bound=f"{DURABLE_AGE_SECONDS:.0f} s",
            )

    async def _command(self, call, **kind):
        """Submits a command to the writer and returns its ``Reply``."""
        with self._guard(call, ErrorKind.COMMIT_UNKNOWN):
            timeout = call.remaining(self._services.clock())
            reply = await self._services.writer.submit(Command(**kind), timeout)
        if reply.HasField("error"):
            raise IbiscartError.from_message(reply.error)
        call.sequence = reply.sequence
        return reply

    def _guard(self, call, kind):
        seconds = call.remaining(self._services.clock()) + DEADLINE_GRACE_SECONDS
        return deadline_guard(kind, seconds)
