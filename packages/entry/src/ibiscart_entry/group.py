"""
ibiscart_entry.group
~~~~~~~~~~~~~~~~~~~~

Writes of single rows, sent in groups of one transaction each.
"""

import trio

from ibiscart_entry.table import StoreError, TableConflict

__all__ = ["Write", "WriteGroups"]

WRITES_AT_ONCE = 64
FIRST_RETRY_SECONDS = 0.05
LONGEST_RETRY_SECONDS = 1.0


class Write:
    """A write that waits for its transaction.

    ``same`` tells whether a row's value is the one written. ``unsure`` is set while the
    write may have taken effect or may still do so. An ``optional`` write is given up when
    the store cannot be reached.
    """

    def __init__(self, message, same, optional=False):
        self.message = message
        self.same = same
        self.optional = optional
        self.unsure = False
        self.abandoned = False
        self.version = None
        self.conflict = None
        self.done = trio.Event()

    def settle(self, **values):
        """Ends the wait; sets ``version`` on success, ``conflict`` to the row in the way."""
        for name, value in values.items():
            setattr(self, name, value)
        self.done.set()


class WriteGroups:
    """Sends waiting writes; those that wait while a transaction is under way go together."""

    def __init__(self, table, random):
        self._table = table
        self._random = random
        self._waiting = []
        self._added = trio.Event()

    def __len__(self):
        return len(self._waiting)

    def add(self, write):
        """Adds a write; its ``done`` is set with its outcome."""
        self._waiting.append(write)
        self._added.set()

    async def run(self):
        """Writes until cancelled."""
        seconds = FIRST_RETRY_SECONDS
        while True:
            self._waiting = [w for w in self._waiting if not w.abandoned]
            if not self._waiting:
                self._added = trio.Event()
                await self._added.wait()
                continue
            if await self._write_group(self._next_group()):
                seconds = FIRST_RETRY_SECONDS
            else:
                await trio.sleep(seconds * self._random.uniform(0.5, 1))
                seconds = min(seconds * 2, LONGEST_RETRY_SECONDS)

    def _next_group(self):
        """Waiting writes of different rows, in order."""
        group = {}
        for write in self._waiting:
            group.setdefault(write.message.key, write)
            if len(group) == WRITES_AT_ONCE:
                break
        return list(group.values())

    async def _write_group(self, group):
        """Sends one transaction; returns whether any of its writes is settled.

        After a lost answer the same transaction is sent again; rows that it wrote then
        conflict and are known by their token.
        """
        before = {write: write.unsure for write in group}
        for write in group:
            write.unsure = True
        try:
            rows = await self._table.transact([write.message for write in group])
        except TableConflict as conflict:
            return self._settle_conflicts(group, conflict.rows, before)
        except StoreError as error:
            if not error.sent:
                self._settle_unsent(group, before)
            return False
        versions = {row.key: row.version for row in rows}
        for write in group:
            self._settle(write, version=versions.get(write.message.key, 0))
        return True

    def _settle_unsent(self, group, before):
        for write in group:
            write.unsure = before[write]
            if write.optional and not write.unsure:
                self._settle(write)

    def _settle_conflicts(self, group, rows, before):
        present = {row.key: row for row in rows}
        settled = False
        for write in group:
            row = present.get(write.message.key)
            if row is None:
                # it matched, but the transaction wrote nothing
                write.unsure = before[write]
                continue
            settled = True
            if not row.version and write.message.delete:
                self._settle(write, version=0)
            elif row.version and not write.message.delete and write.same(row.value):
                self._settle(write, version=row.version)
            else:
                self._settle(write, conflict=row)
        return settled

    def _settle(self, write, **values):
        self._waiting.remove(write)
        write.settle(**values)
