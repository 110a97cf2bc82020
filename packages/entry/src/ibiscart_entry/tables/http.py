"""
ibiscart_entry.tables.http
~~~~~~~~~~~~~~~~~~~~~~~~~~

Client of the table service's HTTP interface.
"""

from urllib.parse import quote, urlencode

from google.protobuf.json_format import MessageToJson, Parse, ParseError

from ibiscart_entry.store import StoreGuard, address_of
from ibiscart_entry.table import Row, StoreError, Table, TableConflict
from ibiscart_schema.generated import store_pb2

__all__ = ["HttpTable"]


class HttpTable(Table):
    """Sends every operation through a ``StoreGuard``."""

    def __init__(self, client, guard):
        self._client = client
        self._guard = guard

    @classmethod
    def from_config(cls, settings, connect, budget, metrics, **options):
        """Builds the client from ``StoreSettings``; ``connect`` maps an address to a client."""
        guard = StoreGuard(budget, metrics, timeout=settings.timeout_seconds, **options)
        return cls(connect(address_of(settings.table_url)), guard)

    async def get(self, key, *, low_priority=False):
        """Returns the ``Row``, or None when it is absent."""
        target = f"/v1/rows/{quote(key, safe='')}"
        response = await self._send("get", "GET", target, b"", (200, 404), low_priority)
        if response.status == 404:
            return None
        return _row(_parse(response.body, store_pb2.TableRow()))

    async def scan(self, prefix, after="", limit=256, *, low_priority=False):
        """Returns rows in key order."""
        query = urlencode({"prefix": prefix, "after": after, "limit": limit})
        response = await self._send("scan", "GET", f"/v1/rows?{query}", b"", (200,), low_priority)
        return [_row(row) for row in _parse(response.body, store_pb2.TableRows()).rows]

    async def transact(self, writes, *, low_priority=False):
        """Applies all writes or none."""
        body = MessageToJson(
            store_pb2.TableTransaction(writes=writes), preserving_proto_field_name=True, indent=None
        ).encode()
        response = await self._send(
            "transact", "POST", "/v1/transact", body, (200, 409), low_priority
        )
        if response.status == 409:
            conflict = _parse(response.body, store_pb2.TableConflict())
            raise TableConflict([_row(row) for row in conflict.rows])
        return [_row(row) for row in _parse(response.body, store_pb2.TableRows()).rows]

    async def _send(self, operation, method, target, body, statuses, low_priority):
        return await self._guard.send(
            self._client,
            operation,
            method,
            target,
            body=body,
            statuses=statuses,
            low_priority=low_priority,
        )


def _row(message):
    return Row(message.key, message.value, message.version)


def _parse(body, message):
    try:
        return Parse(body, message)
    except (ParseError, UnicodeDecodeError):
        raise StoreError("malformed", True) from None
