"""
ibiscart_entry.coordination.relay_server
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Calls the store for other entries that cannot reach it themselves.
"""

from ibiscart_core.value import InvalidValueError, parse_json
from ibiscart_entry.coordination.relay_message import (
    changes_document,
    conflict_document,
    error_document,
    history_lost_document,
    parse_call,
    rejection_document,
    rows_document,
)
from ibiscart_entry.request_error import bad_field
from ibiscart_entry.server import Response, error_response
from ibiscart_entry.table import HistoryLost, StoreError, TableConflict, TransactionRejected

__all__ = ["RelayServer"]


class RelayServer:
    """Makes the store calls of other entries on ``direct_table``, this entry's own route.

    The methods for the operations return the response as a JSON document.
    """

    def __init__(self, direct_table):
        self._direct_table = direct_table
        self._operations = {
            "changes": self._changes,
            "get": self._get,
            "scan": self._scan,
            "snapshot": self._snapshot,
            "transact": self._transact,
        }

    async def handle(self, request):
        """Returns the ``Response`` to one relayed call, with its result or its error."""
        try:
            operation, arguments = parse_call(parse_json(request.body, name="body"))
        except InvalidValueError as error:
            return error_response(bad_field(error))
        try:
            document = await self._operations[operation](**arguments)
        except TableConflict as conflict:
            document = conflict_document(conflict)
        except TransactionRejected as rejection:
            document = rejection_document(rejection)
        except HistoryLost as history_lost:
            document = history_lost_document(history_lost)
        except StoreError as error:
            document = error_document(error)
        return Response.from_json(200, document)

    async def _get(self, key):
        """Returns the response to a call of ``get``."""
        row = await self._direct_table.get(key)
        return rows_document([row] if row is not None else [])

    async def _scan(self, prefix, after, limit):
        """Returns the response to a call of ``scan``."""
        return rows_document(await self._direct_table.scan(prefix, after, limit))

    async def _transact(self, writes):
        """Returns the response to a call of ``transact``."""
        return rows_document(await self._direct_table.transact(writes))

    async def _snapshot(self, table):
        """Returns the response to a call of ``snapshot``."""
        return changes_document(await self._direct_table.snapshot(table))

    async def _changes(self, table, after, wait_seconds):
        """Returns the response to a call of ``changes``."""
        return changes_document(await self._direct_table.changes(table, after, wait_seconds))
