"""
ibiscart_entry.pending
~~~~~~~~~~~~~~~~~~~~~~

Commands that wait for a reply, and how many of them go into one batch.
"""

import trio

from ibiscart_core.error import ErrorKind, IbiscartError

__all__ = ["BATCH_COMMANDS", "PendingCommand", "split_batch"]

BATCH_COMMANDS = 1000
BATCH_BYTES = 512 * 1024


class PendingCommand:
    """A command on its way to a reply.

    ``in_append`` and ``forwarded`` say that the command may be in a record whose outcome
    this entry does not know: its own, or that of a peer whose answer was lost.
    """

    __slots__ = (
        "abandoned",
        "command",
        "deadline",
        "error",
        "event",
        "forwarded",
        "from_peer",
        "in_append",
        "queued",
        "reply",
        "tried",
    )

    def __init__(self, command, deadline, from_peer=False):
        self.command = command
        self.deadline = deadline
        self.from_peer = from_peer
        self.tried = set()
        self.in_append = False
        self.forwarded = False
        self.abandoned = False
        self.queued = 0.0
        self.reply = None
        self.error = None
        self.event = trio.Event()

    def settle(self, reply):
        """Ends the wait with a reply."""
        self.reply = reply
        self.event.set()

    def failure(self):
        """Returns the error for a command without a reply, which says whether it may have run."""
        if self.in_append or self.forwarded:
            return IbiscartError(
                ErrorKind.COMMIT_UNKNOWN, "the outcome is not known yet; send the same id again"
            )
        return self.error or IbiscartError(
            ErrorKind.STORE_UNAVAILABLE, "no entry could append to the journal; retry later"
        )


def split_batch(items):
    """Returns (a batch within the bounds, the rest)."""
    size = 0
    for index, item in enumerate(items[:BATCH_COMMANDS]):
        size += item.command.ByteSize()
        if size > BATCH_BYTES and index:
            return items[:index], items[index:]
    return items[:BATCH_COMMANDS], items[BATCH_COMMANDS:]
