"""
ibiscart_entry.claim
~~~~~~~~~~~~~~~~~~~~

Durable claims of requests that may run only once.

A claim is a row that its entry creates before the first byte of the request is sent. A
claim without an outcome is never sent again by anyone else; it is deleted only when its
holder knows that the request did not run.
"""

import hashlib
import secrets

import trio
from google.protobuf.message import DecodeError

from ibiscart_core.error import ErrorKind, IbiscartError
from ibiscart_entry.group import Write, WriteGroups
from ibiscart_entry.server import Response
from ibiscart_entry.table import StoreError
from ibiscart_schema.generated.store_pb2 import ClaimRow, TableWrite
from ibiscart_schema.generated.types_pb2 import RAN_MAYBE, RAN_YES

__all__ = ["Claim", "Claims"]

PREFIX = "claim/"
ANSWER_BYTES = 64 * 1024
WRITES_WAITING = 10_000
CLAIM_SECONDS = 3.0
CLOSE_SECONDS = 2.0
# outcomes are written again until the store is back, bounded by WRITES_WAITING
OUTCOME_SECONDS = 3600.0
# a process may have been paused since it read the row
RECHECK_SECONDS = 1.0
# no request runs longer than the largest request_timeout_seconds; its holder lost track of it
LONGEST_REQUEST_US = 900 * 1_000_000


class Claim:
    """A claim that this entry holds."""

    __slots__ = ("checked_at", "key", "row", "version")

    def __init__(self, key, row, version, checked_at):
        self.key = key
        self.row = row
        self.version = version
        self.checked_at = checked_at


class Claims:
    """Claims of this entry and answers stored by any entry.

    ``live`` returns the ids of the live entries and ``now_us`` the wall clock.
    """

    def __init__(self, entry_id, table, live, metrics, *, random, now_us):
        self._entry_id = entry_id
        self._table = table
        self._live = live
        self._metrics = metrics
        self._now_us = now_us
        self._held = set()
        self._unsure = {}
        self._writes = WriteGroups(table, random)
        self._nursery = None

    async def run(self, task_status=trio.TASK_STATUS_IGNORED):
        """Writes rows in groups until cancelled."""
        async with trio.open_nursery() as self._nursery:
            task_status.started()
            try:
                await self._writes.run()
            finally:
                # requests that end after this entry stopped can store nothing any more
                self._nursery = None

    async def claim(self, account, request_id, body):
        """Creates the claim; returns a ``Claim``, or the stored ``Response`` of this request.

        Raises ``id_reused``, ``in_progress``, ``outcome_unknown`` or ``store_unavailable``.
        """
        key = f"{PREFIX}{account}/{request_id}"
        digest = hashlib.sha256(body).digest()
        # a write that may have taken effect is continued, never repeated under another token
        row, write = self._unsure.pop(key, (None, None))
        if row is None:
            row = ClaimRow(
                token=secrets.token_hex(16),
                entry_id=self._entry_id,
                body_sha256=digest,
                time_us=self._now_us(),
            )
            message = TableWrite(key=key, value=row.SerializeToString(), expected_version=0)
            write = Write(message, lambda value: _parse(value).token == row.token, True)
            self._writes.add(write)
        start = trio.current_time()
        try:
            with trio.move_on_after(CLAIM_SECONDS if row.body_sha256 == digest else 0):
                await write.done.wait()
        finally:
            if not write.done.is_set():
                self._give_up(key, row, write)
        if write.version is not None:
            return self._hold(Claim(key, row, write.version, start))
        if write.conflict is not None:
            return await self._answer_existing(write.conflict, digest)
        raise self._store_error(write)

    async def find(self, account, request_id, body):
        """Returns the stored ``Response`` of this request, or None when it is not claimed.

        A refusal of a request that may run only once states "not run" only after this.
        """
        row = await self._read(account, request_id)
        if row is None:
            return None
        return await self._answer_existing(row, hashlib.sha256(body).digest())

    async def recheck(self, claim):
        """Reads a claim again that is older than a second, right before it is sent.

        Raises ``outcome_unknown`` when a caller was answered so meanwhile.
        """
        while trio.current_time() - claim.checked_at > RECHECK_SECONDS:
            start = trio.current_time()
            try:
                row = await self._table.get(claim.key)
            except StoreError as error:
                raise IbiscartError(
                    ErrorKind.STORE_UNAVAILABLE, f"the claim could not be read: {error.reason}"
                ) from None
            if row is None or row.version != claim.version:
                self._metrics.count("claims", "lost")
                self._held.discard(claim.row.token)
                raise _unknown()
            claim.checked_at = start

    def finish(self, claim, status, content_type, body):
        """Stores the outcome in the background; a long answer is stored without its body."""
        row = ClaimRow()
        row.CopyFrom(claim.row)
        row.finished = True
        row.status = status
        row.content_type = content_type
        row.body = body if len(body) <= ANSWER_BYTES else b""
        row.closed = row.closed or len(body) > ANSWER_BYTES
        self._metrics.count("claims", "finished")
        self._write_later(claim, TableWrite(key=claim.key, value=row.SerializeToString()))

    def abandon(self, claim):
        """Deletes in the background a claim whose request certainly did not run."""
        self._metrics.count("claims", "not_run")
        self._write_later(claim, TableWrite(key=claim.key, delete=True))

    def close(self, claim):
        """Marks in the background a claim whose outcome will never be known."""
        self._metrics.count("claims", "unknown")
        row = ClaimRow()
        row.CopyFrom(claim.row)
        row.closed = True
        self._write_later(claim, TableWrite(key=claim.key, value=row.SerializeToString()))

    async def lookup(self, account, request_id):
        """Returns the stored ``Response``; raises ``not_found`` without a claim."""
        row = await self._read(account, request_id)
        if row is None:
            raise IbiscartError(
                ErrorKind.NOT_FOUND,
                "no claim of this request",
                field="request_id",
                value=request_id,
            )
        return await self._answer_existing(row, None)

    async def _read(self, account, request_id):
        try:
            return await self._table.get(f"{PREFIX}{account}/{request_id}")
        except StoreError as error:
            # an earlier request with this id may have run
            raise IbiscartError(
                ErrorKind.STORE_UNAVAILABLE,
                f"the claim could not be read: {error.reason}",
                ran=RAN_MAYBE,
            ) from None

    async def _answer_existing(self, row, body_sha256):
        claim = _parse(row.value)
        if body_sha256 is not None and claim.body_sha256 != body_sha256:
            raise IbiscartError(
                ErrorKind.ID_REUSED,
                "another request with this id and a different body exists; use a new id",
                field="request_id",
                bound="unique per client account",
            )
        if claim.finished and not claim.closed:
            self._metrics.count("claims", "answered_again")
            headers = [("x-request-id", row.key.removeprefix(PREFIX))]
            return Response(claim.status, claim.body, claim.content_type, headers)
        if claim.finished:
            raise IbiscartError(
                ErrorKind.OUTCOME_UNKNOWN,
                "the request ran; its answer was too large to be kept",
                bound=f"{ANSWER_BYTES} bytes",
                ran=RAN_YES,
            )
        if claim.closed:
            raise _unknown()
        if self._is_open(claim):
            raise IbiscartError(ErrorKind.IN_PROGRESS, "this request is being served")
        await self._close_lost(row, claim)
        raise _unknown()

    def _is_open(self, claim):
        """Whether the holder can still bring an outcome."""
        if claim.entry_id == self._entry_id:
            return claim.token in self._held
        recent = self._now_us() - claim.time_us < LONGEST_REQUEST_US
        return recent and claim.entry_id in self._live()

    async def _close_lost(self, row, claim):
        """Closes a claim without a live holder before a caller is answered that it is lost."""
        claim.closed = True
        message = TableWrite(
            key=row.key, value=claim.SerializeToString(), expected_version=row.version
        )
        write = Write(message, lambda value: _parse(value).closed, True)
        self._writes.add(write)
        with trio.move_on_after(CLOSE_SECONDS):
            await write.done.wait()
        if write.version is not None:
            return
        write.abandoned = True
        if write.conflict is not None:
            # the holder came back meanwhile; the caller asks again
            raise IbiscartError(ErrorKind.IN_PROGRESS, "this request is being served")
        raise IbiscartError(
            ErrorKind.STORE_UNAVAILABLE, "the claim could not be closed", ran=RAN_MAYBE
        )

    def _hold(self, claim):
        self._held.add(claim.row.token)
        self._metrics.count("claims", "created")
        return claim

    def _give_up(self, key, row, write):
        """Stops to wait for a claim that is not used; removes its row if it came about."""
        if not write.unsure:
            write.abandoned = True
            return
        if self._nursery is None:
            return
        self._unsure[key] = (row, write)
        self._nursery.start_soon(self._remove_unused, key, row, write)

    async def _remove_unused(self, key, row, write):
        await write.done.wait()
        if self._unsure.get(key, (None, None))[1] is not write:
            return
        del self._unsure[key]
        if write.version is not None:
            self.abandon(Claim(key, row, write.version, 0.0))

    def _store_error(self, write):
        if not write.unsure:
            self._metrics.count("claims", "refused")
            return IbiscartError(
                ErrorKind.STORE_UNAVAILABLE, "the request cannot be claimed; retry later"
            )
        # the row may belong to an earlier request with this id
        self._metrics.count("claims", "unsure")
        return IbiscartError(
            ErrorKind.STORE_UNAVAILABLE,
            "it is not known whether the request is claimed; retry with the same id",
            ran=RAN_MAYBE,
        )

    def _write_later(self, claim, message):
        message.expected_version = claim.version
        if self._nursery is None or len(self._writes) >= WRITES_WAITING:
            self._metrics.count("dropped", "claim_outcome")
            self._held.discard(claim.row.token)
            return
        self._nursery.start_soon(self._write_outcome, claim, message)

    async def _write_outcome(self, claim, message):
        def same(value):
            return value == message.value

        write = Write(message, same)
        self._writes.add(write)
        with trio.move_on_after(OUTCOME_SECONDS):
            await write.done.wait()
        if write.conflict is not None and not message.delete:
            # a caller was answered "unknown" and the row was closed; the real outcome replaces it
            message.expected_version = write.conflict.version
            write.abandoned = True
            write = Write(message, same)
            self._writes.add(write)
            with trio.move_on_after(OUTCOME_SECONDS):
                await write.done.wait()
        write.abandoned = True
        self._held.discard(claim.row.token)


def _parse(value):
    try:
        return ClaimRow.FromString(value)
    except DecodeError:
        # an unreadable claim must never be sent again
        return ClaimRow(closed=True)


def _unknown():
    return IbiscartError(
        ErrorKind.OUTCOME_UNKNOWN, "the request may have run; its outcome is not known"
    )
