"""
ibiscart_core.share
~~~~~~~~~~~~~~~~~~~

Quotas divided among entries, with loans; the usable shares never add up to more than a quota.

A share grant of the journal names the entries that divide every quota. An entry that sees
a new grant lowers its limits at once. It raises them only when every entry of the grants
before has applied the new one, or has been silent for ``SHARE_TIMEOUT_SECONDS``, because until
then the others may still use what they held before.
"""

import hashlib

__all__ = ["SHARE_TIMEOUT_SECONDS", "QuotaShares"]

# an entry stops to use its shares after this time without a confirmed journal position,
# so that others can take over what a dead or separated entry held
SHARE_TIMEOUT_SECONDS = 10.0
# heartbeats arrive late by less than the difference to SHARE_TIMEOUT_SECONDS
HEARTBEAT_FRESH_SECONDS = 5.0
# with the store down, shares that all entries of the grant still hear about stay usable
# this long; the entry becomes not ready after that
STORE_OUTAGE_SECONDS = 60.0
# silent entries are forgotten after this time
PEER_RETENTION_SECONDS = 600.0
MAX_CACHED_POSITIONS = 4096
FIRST_EPOCH = 1


class QuotaShares:
    """This entry's part of each quota.

    ``total`` maps a key to its quota over all entries, 0 when unknown. ``clock`` returns
    monotonic seconds. ``confirmed_age`` returns the seconds since the journal position was
    last confirmed.
    """

    def __init__(self, entry_id, total, clock, confirmed_age):
        self._entry_id = entry_id
        self._total = total
        self._clock = clock
        self._confirmed_age = confirmed_age
        self._epoch = 0
        self._acknowledged_epoch = 0
        self._assignments = []
        self._unknown_past = True
        self._started_at = clock()
        self._applied_at = clock()
        self._heard = {}
        self._in_use = {}
        self._orders = {}

    @property
    def epoch(self):
        """Epoch of the latest grant that this entry knows."""
        return self._epoch

    @property
    def entries(self):
        """Entries of the latest grant."""
        return self._assignments[-1].entries if self._assignments else ()

    @property
    def acknowledged_epoch(self):
        """Latest epoch under whose limits all use of this entry lies, for heartbeats.

        Work that started under a higher limit is not interrupted; the epoch is applied once
        enough of it has ended.
        """
        self._drop_old_assignments()
        return self._acknowledged_epoch

    @property
    def usable(self):
        """Whether this entry may use its shares at all.

        The position must have been confirmed within ``SHARE_TIMEOUT_SECONDS``. While the store is
        down, shares stay usable up to ``STORE_OUTAGE_SECONDS`` if every other entry of the
        grant is heard and none of them knows a later grant.
        """
        if not self._assignments:
            return False
        age = self._confirmed_age()
        if age <= SHARE_TIMEOUT_SECONDS:
            return True
        if age > STORE_OUTAGE_SECONDS:
            return False
        others = set(self.entries) - {self._entry_id}
        if any(epoch > self._epoch for epoch, _ in self._heard.values()):
            return False
        return bool(others) and all(map(self._agrees, others))

    @property
    def converged(self):
        """Whether nobody can use shares of an earlier grant any more."""
        self._drop_old_assignments()
        return len(self._assignments) == 1 and not self._unknown_past

    def apply_assignment(self, epoch, entries):
        """Applies the grant with the given epoch; ignores one that is not newer."""
        if epoch <= self._epoch:
            return
        self._drop_old_assignments()
        if epoch == FIRST_EPOCH:
            self._unknown_past = False
        self._assignments.append(_ShareAssignment(epoch, entries))
        self._epoch = epoch
        self._drop_old_assignments()

    def record_heartbeat(self, entry_id, epoch, silence=0.0):
        """Notes what is known about another entry.

        ``epoch`` is the latest that it said to have applied, ``silence`` the seconds since
        it was heard.
        """
        known = self._heard.get(entry_id, (0, 0))[0]
        if known < self._epoch <= epoch:
            self._applied_at = self._clock()
        self._heard[entry_id] = (max(known, epoch), self._clock() - silence)
        for old in [
            e for e, (_, at) in self._heard.items() if self._clock() - at > PEER_RETENTION_SECONDS
        ]:
            del self._heard[old]

    def limit(self, key):
        """Returns how much of the quota this entry may use at present."""
        return self._limit(key) if self.usable else 0

    def used(self, key):
        """Returns how much this entry uses."""
        return self._in_use.get(key, 0)

    def free(self, key):
        """Returns how much more this entry may take."""
        return max(0, self.limit(key) - self.used(key))

    def acquire(self, key, amount=1):
        """Takes ``amount``; returns False when the share does not suffice."""
        if self.free(key) < amount:
            return False
        self._in_use[key] = self.used(key) + amount
        return True

    def release(self, key, amount=1):
        """Returns what ``acquire`` took."""
        left = self.used(key) - amount
        if left > 0:
            self._in_use[key] = left
        else:
            self._in_use.pop(key, None)

    def lend(self, key, amount, epoch, total):
        """Subtracts a loan for a peer and returns its amount, at most half of what is idle.

        Both sides must know the same grant and the same quota, else the amount is 0. A loan
        whose answer is lost stays subtracted until the next grant.
        """
        if epoch != self._epoch or total != self._total(key):
            return 0
        amount = min(amount, (self.free(key) + 1) // 2)
        if amount > 0:
            self._assignments[-1].lend(key, amount)
        return amount

    def borrow(self, key, amount, epoch, total):
        """Adds a loan that a peer has subtracted; returns whether it still counts.

        ``epoch`` and ``total`` are those of the request. Each answer is passed on once.
        """
        if epoch != self._epoch or total != self._total(key):
            return False
        self._assignments[-1].borrow(key, amount, total)
        return True

    def _limit(self, key):
        self._drop_old_assignments()
        return self._limit_now(key)

    def _limit_now(self, key):
        if not self._assignments:
            return 0
        total = self._total(key)
        limit = 0
        for index, grant in enumerate(self._assignments):
            share = self._share(grant, key, total)
            if index or self._unknown_past:
                share = min(limit, share)
            limit = max(0, share + grant.adjustment(key, total))
        return limit

    def _share(self, grant, key, total):
        count = len(grant.entries)
        if self._entry_id not in grant.entries:
            return 0
        whole, rest = divmod(total, count)
        return whole + (self._position(grant, key) < rest) if rest else whole

    def _position(self, grant, key):
        """Place of this entry in an order that differs by key, so that rests spread evenly."""
        cached = self._orders.get((grant.epoch, key))
        if cached is None:
            mine = _weight(key, self._entry_id)
            cached = sum(_weight(key, entry) < mine for entry in grant.entries)
            if len(self._orders) >= MAX_CACHED_POSITIONS:
                self._orders.clear()
            self._orders[(grant.epoch, key)] = cached
        return cached

    def _drop_old_assignments(self):
        """Drops the earlier grants once nobody can use what they gave."""
        if self._acknowledged_epoch != self._epoch:
            if any(used > self._limit_now(key) for key, used in self._in_use.items()):
                return
            self._acknowledged_epoch = self._epoch
            self._applied_at = self._clock()
        if not self._assignments or (len(self._assignments) == 1 and not self._unknown_past):
            return
        if self._unknown_past and not self._silent(self._started_at):
            return
        waiting = {entry for grant in self._assignments for entry in grant.entries}
        waiting.update(self._heard)
        if all(self._has_left(entry) for entry in waiting):
            del self._assignments[:-1]
            self._unknown_past = False

    def _has_left(self, entry):
        """Whether an entry no longer uses shares of a grant before the latest.

        Silence counts from the last time that an entry applied the latest grant, so that a
        silent entry that relies on the agreement of others has heard of it.
        """
        if self._has_applied(entry):
            return True
        heard_at = self._heard.get(entry, (0, 0))[1]
        silence = self._clock() - max(heard_at, self._applied_at)
        agreed = all(any(map(self._has_applied, grant.entries)) for grant in self._assignments)
        return silence > (SHARE_TIMEOUT_SECONDS if agreed else STORE_OUTAGE_SECONDS)

    def _has_applied(self, entry):
        if entry == self._entry_id:
            return self._acknowledged_epoch == self._epoch
        return self._heard.get(entry, (0, 0))[0] >= self._epoch

    def _agrees(self, entry):
        epoch, heard_at = self._heard.get(entry, (0, float("-inf")))
        return epoch <= self._epoch and self._clock() - heard_at <= HEARTBEAT_FRESH_SECONDS

    def _silent(self, since):
        return self._clock() - since > SHARE_TIMEOUT_SECONDS


class _ShareAssignment:
    """A grant with the loans made under it."""

    __slots__ = ("_borrowed", "_lent", "entries", "epoch")

    def __init__(self, epoch, entries):
        self.epoch = epoch
        self.entries = tuple(entries)
        self._lent = {}
        self._borrowed = {}

    def lend(self, key, amount):
        self._lent[key] = self._lent.get(key, 0) + amount

    def borrow(self, key, amount, total):
        known_total, borrowed = self._borrowed.get(key, (total, 0))
        if known_total != total:
            borrowed = 0
        self._borrowed[key] = (total, borrowed + amount)

    def adjustment(self, key, total):
        # a loan belongs to the quota under which it was made
        known_total, borrowed = self._borrowed.get(key, (total, 0))
        if known_total != total:
            del self._borrowed[key]
            borrowed = 0
        return borrowed - self._lent.get(key, 0)


def _weight(key, entry):
    return hashlib.blake2b(f"{key}\n{entry}".encode(), digest_size=8).digest()
