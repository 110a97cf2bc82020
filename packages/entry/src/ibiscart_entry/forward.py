"""
ibiscart_entry.forward
~~~~~~~~~~~~~~~~~~~~~~

Forwards commands to the entry that should append them.
"""

import logging

import trio

from ibiscart_core.error import ErrorKind, IbiscartError
from ibiscart_entry.peer import PeerError
from ibiscart_entry.pending import split_batch
from ibiscart_schema.generated.peer_pb2 import CommandBatch, Reply, ReplyBatch

__all__ = ["LIVENESS_CHECK_SECONDS", "Forwarder", "correct_contract"]

LOG = logging.getLogger("ibiscart.writer")
LIVENESS_CHECK_SECONDS = 0.25
CATCH_UP_SECONDS = 2.0
NOT_PROCESSED = frozenset(
    kind.value for kind in (ErrorKind.STORE_UNAVAILABLE, ErrorKind.NOT_READY, ErrorKind.OVERLOADED)
)


class Forwarder:
    """Sends pending commands to other entries, in one batch per entry at a time.

    ``dispatch`` is called with each command that the entry did not decide.
    """

    def __init__(self, journal, peers, metrics, clock, dispatch):
        self._journal = journal
        self._peers = peers
        self._metrics = metrics
        self._clock = clock
        self._dispatch = dispatch
        self._waiting = {}

    def add(self, target, item, nursery):
        """Queues a command for ``target``; the sending runs in ``nursery``."""
        if target in self._waiting:
            self._waiting[target].append(item)
            return
        self._waiting[target] = [item]
        nursery.start_soon(self._forward_all, target)

    async def _forward_all(self, target):
        """Forwards to one entry, one batch at a time, until no command waits for it."""
        while True:
            waiting = [item for item in self._waiting[target] if not item.abandoned]
            batch, self._waiting[target] = split_batch(waiting)
            if not batch:
                del self._waiting[target]
                return
            await self._forward(target, batch)

    async def _forward(self, target, items):
        remaining = max(item.deadline for item in items) - self._clock()
        message = CommandBatch(
            entry_id=self._peers.entry_id,
            commands=[item.command for item in items],
            remaining_ms=max(1, int(remaining * 1000)),
        )
        unknown_before = [item.forwarded for item in items]
        for item in items:
            item.forwarded = True
        answer, sent = await self._call_while_live(target, message, max(remaining, 0.001))
        replies = answer.replies if answer is not None else ()
        if len(replies) != len(items):
            self._metrics.count("retries", "forward_unknown" if sent else "forward_unsent")
            replies = [None] * len(items)
        for item, reply, before in zip(items, replies, unknown_before, strict=True):
            code = reply.error.code if reply is not None else ""
            if reply is None:
                item.forwarded = before or sent
            elif code in NOT_PROCESSED:
                item.forwarded = before
                item.error = IbiscartError.from_message(reply.error)
            elif code != ErrorKind.COMMIT_UNKNOWN.value:
                item.settle(await self._corrected(item, reply, before))
                continue
            item.tried.add(target)
            if not item.abandoned:
                self._dispatch(item)

    async def _call_while_live(self, target, message, timeout):
        """Returns (answer or None, whether the peer may have decided the commands)."""
        answer, sent = None, True
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._watch, target, nursery.cancel_scope)
            try:
                answer = await self._peers.call(target, "commands", message, ReplyBatch, timeout)
            except PeerError as error:
                sent = error.sent
            except IbiscartError:
                sent = False
            nursery.cancel_scope.cancel()
        if not sent:
            LOG.info("writer: Commands were not taken by a peer.", extra={"peer": target})
        return answer, sent

    async def _watch(self, target, scope):
        while target in self._peers.live():
            await trio.sleep(LIVENESS_CHECK_SECONDS)
        scope.cancel()

    async def _corrected(self, item, reply, unknown):
        """Returns the true reply to a command that an earlier, lost answer may have decided.

        A contract change that was applied and is decided again meets its own version.
        """
        kind = item.command.WhichOneof("kind")
        if not unknown or kind not in ("put_contract", "remove_contract"):
            return reply
        if not reply.HasField("error"):
            return reply
        with trio.move_on_after(CATCH_UP_SECONDS):
            await self._journal.wait_sequence(reply.sequence)
            return correct_contract(self._journal.ledger, item.command, reply)
        return Reply(error=_commit_unknown().to_message())


def correct_contract(ledger, command, reply):
    """Returns the true reply to a contract change that may have been applied before."""
    kind = command.WhichOneof("kind")
    if not reply.HasField("error") or kind not in ("put_contract", "remove_contract"):
        return reply
    change = getattr(command, kind)
    if kind == "remove_contract":
        removed = ledger.removed_versions.get(change.account) == change.expected_version
        return Reply(sequence=reply.sequence) if removed else reply
    if reply.error.code != ErrorKind.VERSION_CONFLICT.value:
        return reply
    account = ledger.accounts.get(change.contract.account)
    if account is None or account.version <= change.expected_version:
        return reply
    if account.version > change.expected_version + 1:
        # later changes hide whether this one was applied
        return Reply(error=_commit_unknown().to_message(), sequence=reply.sequence)
    wanted = type(change.contract)()
    wanted.CopyFrom(change.contract)
    wanted.version = account.version
    if wanted != account.contract:
        return reply
    return Reply(contract=account.contract, sequence=reply.sequence)


def _commit_unknown():
    return IbiscartError(
        ErrorKind.COMMIT_UNKNOWN, "the outcome is not known; read the contract before a retry"
    )
