"""
ibiscart_entry.coordination.catalog_exchange
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Passes the configuration and the evacuations from entry to entry, from memory.

An entry that the store does not answer gets them without a call to the store.
"""

import json
import zlib
from base64 import b64encode

import trio

from ibiscart_core.value import (
    MAX_INT,
    MAX_TEXT_BYTES,
    InvalidValueError,
    parse_json,
    require_base64,
    require_int,
    require_list,
    require_number,
    require_object,
    require_text,
)
from ibiscart_core.workflow.evacuation import Evacuations
from ibiscart_entry.client import TransportError
from ibiscart_entry.request_error import bad_field
from ibiscart_entry.server import Response, error_response

__all__ = ["CATALOG_PATH", "CatalogClient", "CatalogOffer", "CatalogServer"]

CATALOG_PATH = "/v1/catalog"
# an entry whose configuration was confirmed longer ago is taken to be cut off from the store: a
# long poll of the store, and a late answer to it, confirm the configuration more often
MAX_OFFER_AGE_SECONDS = 2.0
# longest wait for a newer configuration that an entry grants to another
MAX_WAIT_SECONDS = 2.0
# number of entries that are asked at once, so that one which has just lost the store, and does not
# know yet, delays nothing
CONCURRENT_ENTRIES = 2
# number of entries asked for one offer; with most entries cut off, more have to be tried, and each
# answers that it is within some milliseconds
MAX_ENTRIES = 8
# time beyond the wait after which the next entry is asked as well
LATE_SECONDS = 0.2
# time beyond the wait after which a call is given up
TIMEOUT_SECONDS = 1.0
# the fastest level; the keys and names in a configuration shrink to about a tenth with any level
COMPRESSION_LEVEL = 1
# largest configuration, as protection against a malformed offer
MAX_DOCUMENT_BYTES = 16 * 1024 * 1024
# most evacuated data centres of a message, as protection against a malformed one
MAX_DATA_CENTRES = 10_000


class CatalogOffer:
    """Response of an entry: ``document`` is its configuration in bytes if newer, else None.

    The store confirmed it to that entry ``confirmed_before_seconds`` before the entry received the
    request; negative if after that. ``evacuations`` and ``evacuations_confirmed_before_seconds``
    are None if the entry does not know them, as one of an earlier version does not.
    """

    __slots__ = (
        "confirmed_before_seconds",
        "document",
        "evacuations",
        "evacuations_confirmed_before_seconds",
    )

    def __init__(self, document, confirmed_before_seconds, evacuations=None, evacuations_age=None):
        self.document = document
        self.confirmed_before_seconds = confirmed_before_seconds
        self.evacuations = evacuations
        self.evacuations_confirmed_before_seconds = evacuations_age


class CatalogNews:
    """What another entry knows, with the times at which the store confirmed it, on the own clock.

    ``document`` is a newer configuration in bytes or None. ``evacuations`` and their time are None
    if that entry does not know them.
    """

    __slots__ = ("confirmed_at", "document", "evacuations", "evacuations_confirmed_at")

    def __init__(self, document, confirmed_at, evacuations, evacuations_confirmed_at):
        self.document = document
        self.confirmed_at = confirmed_at
        self.evacuations = evacuations
        self.evacuations_confirmed_at = evacuations_confirmed_at


class CatalogServer:
    """Offers the configuration of ``catalogs``, the ``CatalogWatch``, to other entries.

    ``clock`` returns the time in seconds and is also that of ``catalogs``.
    """

    def __init__(self, catalogs, clock=trio.current_time):
        self._catalogs = catalogs
        self._clock = clock
        self._compressed_version = None
        self._compressed = ""

    async def handle(self, request):
        """Returns the ``Response`` with a newer configuration, or with none after the wait.

        Does not wait if the store has not confirmed the own configuration for some time, so that
        the caller asks another entry.
        """
        arrived_at = self._clock()
        try:
            call = require_object(parse_json(request.body, name="body"), "body")
            after = require_int(call.get("after"), 0, MAX_INT, "after")
            wait_seconds = require_number(call.get("wait_seconds"), 0, MAX_INT, "wait_seconds")
            known_evacuations = _parse_evacuations(call.get("evacuations"))
        except InvalidValueError as error:
            return error_response(bad_field(error))
        if self._catalogs.age_seconds <= MAX_OFFER_AGE_SECONDS and wait_seconds > 0:
            with trio.move_on_after(min(wait_seconds, MAX_WAIT_SECONDS)):
                await self._catalogs.wait_newer(after, known_evacuations)
        catalog, confirmed_at = self._catalogs.catalog, self._catalogs.confirmed_at
        if catalog is None:
            return Response.from_json(503, {"error": {"code": "not_ready"}})
        document = {"confirmed_before_seconds": arrived_at - confirmed_at}
        if catalog.version > after:
            document["data"] = self._compress(catalog)
        if self._catalogs.evacuations is not None:
            document["evacuations"] = _evacuations_document(self._catalogs.evacuations)
            age_seconds = arrived_at - self._catalogs.evacuations_confirmed_at
            document["evacuations_confirmed_before_seconds"] = age_seconds
        return Response.from_json(200, document)

    def _compress(self, catalog):
        """Returns the document of a ``Catalog``, compressed and in base64."""
        if self._compressed_version != catalog.version:
            compressed = zlib.compress(catalog.document, COMPRESSION_LEVEL)
            self._compressed = b64encode(compressed).decode()
            self._compressed_version = catalog.version
        return self._compressed


class CatalogClient:
    """Asks other entries for a newer configuration.

    ``connect`` returns the HTTP client for the address of an entry. ``clock`` returns the time in
    seconds.
    """

    def __init__(self, peer_directory, connect, metrics, rng, clock=trio.current_time):
        self._peer_directory = peer_directory
        self._connect = connect
        self._metrics = metrics
        self._rng = rng
        self._clock = clock

    async def fetch(self, after, wait_seconds, evacuations=None):
        """Returns the ``CatalogNews`` of another entry, or None without an offer.

        The first offer of an entry counts whose configuration is newer than version ``after``, or
        to which the store has confirmed a short time ago that there is none. With ``after`` None,
        the caller has no configuration and the store must have confirmed that of the offer, since
        an outdated one may have keys that were withdrawn before the caller started. The entries
        that are asked wait up to ``wait_seconds`` for a newer one, or for newer evacuations than
        ``evacuations`` unless these are None.
        """
        addresses = iter(self._peer_directory.candidates(self._rng)[:MAX_ENTRIES])
        results = []

        async def ask(address, done):
            """Asks one entry; ends the fetch if its offer counts."""
            result = await self._ask(address, after, wait_seconds, evacuations)
            done.set()
            if result is not None:
                results.append(result)
                nursery.cancel_scope.cancel()

        async def ask_in_turn():
            """Asks one entry after another; one that is late does not hold up the next."""
            for address in addresses:
                done = trio.Event()
                nursery.start_soon(ask, address, done)
                with trio.move_on_after(wait_seconds + LATE_SECONDS):
                    await done.wait()

        async with trio.open_nursery() as nursery:
            for _ in range(CONCURRENT_ENTRIES):
                nursery.start_soon(ask_in_turn)
        return results[0] if results else None

    async def _ask(self, address, after, wait_seconds, evacuations):
        """Returns the ``CatalogNews`` of one entry, None if it makes no offer that counts."""
        sent_at = self._clock()
        try:
            offer = await self._call(address, after, wait_seconds, evacuations)
        except TransportError as error:
            self._metrics.count("peer_errors", error.reason)
            self._peer_directory.record_failure(address)
            return None
        if offer is None:
            self._metrics.count("peer_errors", "malformed")
            return None
        # the entry received the request later than it was sent, so this is a lower limit
        now = self._clock()
        confirmed_at = min(now, sent_at - offer.confirmed_before_seconds)
        outdated = now - confirmed_at > MAX_OFFER_AGE_SECONDS
        if outdated and (offer.document is None or after is None):
            self._metrics.count("peer_errors", "outdated")
            self._peer_directory.record_failure(address)
            return None
        evacuations_confirmed_at = None
        if offer.evacuations is not None:
            evacuations_age = offer.evacuations_confirmed_before_seconds
            evacuations_confirmed_at = min(now, sent_at - evacuations_age)
        return CatalogNews(
            offer.document, confirmed_at, offer.evacuations, evacuations_confirmed_at
        )

    async def _call(self, address, after, wait_seconds, evacuations):
        """Returns the ``CatalogOffer`` of the entry at ``address``, None if it is malformed."""
        client = self._connect(address)
        call = {"after": after or 0, "wait_seconds": wait_seconds}
        if evacuations is not None:
            call["evacuations"] = _evacuations_document(evacuations)
        body = json.dumps(call).encode()
        self._metrics.count("peer_messages", "catalog")
        timeout = wait_seconds + TIMEOUT_SECONDS
        return parse_offer(await client.request("POST", CATALOG_PATH, body=body, timeout=timeout))


def parse_offer(response):
    """Returns the ``CatalogOffer`` of a response, None if it is malformed."""
    if response.status != 200:
        return None
    try:
        document = require_object(parse_json(response.body, name="offer"), "offer")
        confirmed_before_seconds = float(
            require_number(
                document.get("confirmed_before_seconds"),
                -MAX_INT,
                MAX_INT,
                "confirmed_before_seconds",
            )
        )
        evacuations = _parse_evacuations(document.get("evacuations"))
        evacuations_age = None
        if evacuations is not None:
            name = "evacuations_confirmed_before_seconds"
            evacuations_age = require_number(document.get(name), -MAX_INT, MAX_INT, name)
        if document.get("data") is None:
            return CatalogOffer(None, confirmed_before_seconds, evacuations, evacuations_age)
        compressed = require_base64(document["data"], "data")
        decompressor = zlib.decompressobj()
        decoded = decompressor.decompress(compressed, MAX_DOCUMENT_BYTES)
    except (InvalidValueError, zlib.error):
        return None
    if not decompressor.eof:
        return None
    return CatalogOffer(decoded, confirmed_before_seconds, evacuations, evacuations_age)


def _evacuations_document(evacuations):
    """Returns the ``Evacuations`` as a JSON-serializable object."""
    return {"version": evacuations.version, "data_centres": sorted(evacuations.data_centres)}


def _parse_evacuations(document):
    """Returns the ``Evacuations`` of an object, None of None; raises ``InvalidValueError``."""
    if document is None:
        return None
    require_object(document, "evacuations")
    names = require_list(document.get("data_centres"), MAX_DATA_CENTRES, "data_centres")
    return Evacuations(
        require_int(document.get("version"), 0, MAX_INT, "version"),
        [require_text(name, MAX_TEXT_BYTES, "data_centres") for name in names],
    )
