"""
ibiscart_entry.routes.request
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Short requests, which the dispatcher sends to runners.
"""

import re

from ibiscart_core.error import ErrorKind
from ibiscart_entry.call import check_text, read_flag
from ibiscart_entry.route import Route, Routes

__all__ = ["RequestRoutes"]

KIND = re.compile(r"[a-z0-9][a-z0-9-]{0,39}")
PATH = "/v1/accounts/{account}/requests/{id}"


class RequestRoutes(Routes):
    """Paths of short requests."""

    ROUTES = (
        Route("POST", PATH, "send", "account", ("kind", "repeatable")),
        Route("GET", PATH, "get", "account"),
    )

    async def send(self, call):
        """Sends a request to a runner and returns its response."""
        query = call.request.query
        kind = query.get("kind", "default")
        check_text("kind", kind, KIND)
        repeatable = read_flag(query, "repeatable", True)
        self._account(call)
        if not repeatable:
            self._require_durable()
        unknown = ErrorKind.TARGET_FAILED if repeatable else ErrorKind.OUTCOME_UNKNOWN
        with self._guard(call, unknown):
            return await self._services.dispatcher.dispatch(
                call.account,
                call.item,
                kind,
                repeatable,
                call.request.body,
                call.request.headers.get("content-type", "application/octet-stream"),
                call.remaining(self._services.clock()),
            )

    async def get(self, call):
        """Returns the recorded response to a request."""
        self._account(call)
        with self._guard(call, ErrorKind.STORE_UNAVAILABLE):
            return await self._services.dispatcher.lookup(call.account, call.item)
