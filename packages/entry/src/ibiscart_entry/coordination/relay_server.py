"""
ibiscart_entry.coordination.relay_server
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Serves other entries that do not reach the store themselves.
"""

import json

from ibiscart_entry.coordination.relay_message import (
    changes_document,
    conflict_document,
    error_document,
    lost_document,
    rows_document,
    write_from,
)
from ibiscart_entry.server import Response
from ibiscart_entry.table import HistoryLost, StoreError, TableConflict

__all__ = ["RelayServer"]


class RelayServer:
    """Carries out other entries' calls on this entry's own way to the store."""

    def __init__(self, direct):
        self._direct = direct

    async def handle(self, request):
        """Answers one call with the rows or the error."""
        try:
            call = json.loads(request.body)
            operation = getattr(self, f"_{call.pop('operation')}")
            answer = await operation(**call)
        except TableConflict as conflict:
            answer = conflict_document(conflict)
        except HistoryLost as lost:
            answer = lost_document(lost)
        except StoreError as error:
            answer = error_document(error)
        return Response.from_json(200, answer)

    async def _get(self, key):
        row = await self._direct.get(key)
        return rows_document([row] if row is not None else [])

    async def _scan(self, prefix, after, limit):
        return rows_document(await self._direct.scan(prefix, after, limit))

    async def _transact(self, writes):
        return rows_document(await self._direct.transact([write_from(write) for write in writes]))

    async def _snapshot(self, table):
        return changes_document(await self._direct.snapshot(table))

    async def _changes(self, table, after, wait_seconds):
        return changes_document(await self._direct.changes(table, after, wait_seconds))
