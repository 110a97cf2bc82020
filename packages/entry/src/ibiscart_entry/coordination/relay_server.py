"""
ibiscart_entry.coordination.relay_server
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Calls the store for other entries that cannot reach it themselves.
"""

import json

from ibiscart_entry.coordination.relay_message import (
    changes_document,
    conflict_document,
    error_document,
    history_lost_document,
    parse_write,
    rows_document,
)
from ibiscart_entry.server import Response
from ibiscart_entry.table import HistoryLost, StoreError, TableConflict

__all__ = ["RelayServer"]


class RelayServer:
    """Makes the calls of other entries on ``direct_table``, by this entry's own route."""

    def __init__(self, direct_table):
        self._direct_table = direct_table

    async def handle(self, request):
        """Returns the ``Response`` to one call, with its result or its error."""
        try:
            call = json.loads(request.body)
            operation = getattr(self, f"_{call.pop('operation')}")
            document = await operation(**call)
        except TableConflict as conflict:
            document = conflict_document(conflict)
        except HistoryLost as history_lost:
            document = history_lost_document(history_lost)
        except StoreError as error:
            document = error_document(error)
        return Response.from_json(200, document)

    async def _get(self, key):
        row = await self._direct_table.get(key)
        return rows_document([row] if row is not None else [])

    async def _scan(self, prefix, after, limit):
        return rows_document(await self._direct_table.scan(prefix, after, limit))

    async def _transact(self, writes):
        return rows_document(
            await self._direct_table.transact([parse_write(write) for write in writes])
        )

    async def _snapshot(self, table):
        return changes_document(await self._direct_table.snapshot(table))

    async def _changes(self, table, after, wait_seconds):
        return changes_document(await self._direct_table.changes(table, after, wait_seconds))
