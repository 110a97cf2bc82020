"""
ibiscart_core.share
~~~~~~~~~~~~~~~~~~~

Quotas divided among entries, with loans; the usable shares never add up to more than a quota.

A ``SharesGranted`` event of the journal assigns every quota to a list of entries, which
divide it. An entry lowers its limits as soon as it sees a new assignment. It raises them only
when every entry of the earlier assignments has acknowledged the new one or has sent no
heartbeat for ``SHARE_TIMEOUT_SECONDS``; until then, others may still use their old shares.
"""

import hashlib

__all__ = ["SHARE_TIMEOUT_SECONDS", "QuotaShares"]

# An entry stops using its shares when the store last confirmed the entry's journal position
# longer ago than this, unless the heartbeats of all others confirm the assignment (see
# STORE_OUTAGE_SECONDS). Others can then use the shares of an entry that is dead or cut off.
SHARE_TIMEOUT_SECONDS = 10.0
# While the store is down, a heartbeat confirms the assignment for this time after its arrival.
# Heartbeats must arrive within the difference between SHARE_TIMEOUT_SECONDS and this time, so
# that none confirms for more than SHARE_TIMEOUT_SECONDS after it was sent.
HEARTBEAT_FRESH_SECONDS = 5.0
# while the store is down, shares stay usable for this time if the heartbeats of all entries
# confirm the assignment; after this time the entry is not ready
STORE_OUTAGE_SECONDS = 60.0
# the last heartbeat of an entry is removed after this time
PEER_RETENTION_SECONDS = 600.0
MAX_CACHED_POSITIONS = 4096
FIRST_EPOCH = 1


class QuotaShares:
    """This entry's share of each quota.

    ``total`` returns the quota of a key over all entries, 0 if unknown. ``clock`` returns
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
        # True while an entry may use shares of an assignment that this entry has not seen
        self._unknown_history = True
        self._started_at = clock()
        self._acknowledged_at = clock()
        # (latest acknowledged epoch, monotonic seconds of the last heartbeat) by id of the other
        # entry
        self._heartbeats = {}
        self._in_use = {}
        self._positions = {}

    @property
    def epoch(self):
        """Epoch of the latest assignment that this entry knows."""
        return self._epoch

    @property
    def entries(self):
        """Entries of the latest assignment."""
        return self._assignments[-1].entries if self._assignments else ()

    @property
    def acknowledged_epoch(self):
        """Latest epoch whose limits this entry's use does not exceed; sent in heartbeats.

        Work that started under a higher limit is not interrupted; the epoch is acknowledged
        when enough of it has ended.
        """
        self._drop_old_assignments()
        return self._acknowledged_epoch

    @property
    def usable(self):
        """True if this entry may use its shares.

        The journal position must have been confirmed within ``SHARE_TIMEOUT_SECONDS``. While
        the store is down, shares stay usable up to ``STORE_OUTAGE_SECONDS`` if heartbeats of
        every other entry of the assignment arrive and none has acknowledged a later one.
        """
        if not self._assignments:
            return False
        age = self._confirmed_age()
        if age <= SHARE_TIMEOUT_SECONDS:
            return True
        if age > STORE_OUTAGE_SECONDS:
            return False
        others = set(self.entries) - {self._entry_id}
        if any(epoch > self._epoch for epoch, _ in self._heartbeats.values()):
            return False
        return bool(others) and all(map(self._confirms_assignment, others))

    @property
    def converged(self):
        """True if no entry can still use shares of an earlier assignment."""
        self._drop_old_assignments()
        return len(self._assignments) == 1 and not self._unknown_history

    def apply_assignment(self, epoch, entries):
        """Applies the assignment of an epoch; ignores it if the epoch is not newer."""
        if epoch <= self._epoch:
            return
        self._drop_old_assignments()
        if epoch == FIRST_EPOCH:
            self._unknown_history = False
        self._assignments.append(_ShareAssignment(epoch, entries))
        self._epoch = epoch
        self._drop_old_assignments()

    def record_heartbeat(self, entry_id, epoch, age_seconds=0.0):
        """Records the last heartbeat of another entry.

        ``epoch`` is the latest that it acknowledged; ``age_seconds`` is the time since it was
        received.
        """
        known_epoch = self._heartbeats.get(entry_id, (0, 0))[0]
        if known_epoch < self._epoch <= epoch:
            self._acknowledged_at = self._clock()
        self._heartbeats[entry_id] = (max(known_epoch, epoch), self._clock() - age_seconds)
        for expired in [
            e
            for e, (_, at) in self._heartbeats.items()
            if self._clock() - at > PEER_RETENTION_SECONDS
        ]:
            del self._heartbeats[expired]

    def limit(self, key):
        """Returns how much of the quota of ``key`` this entry may use now."""
        return self._limit(key) if self.usable else 0

    def used(self, key):
        """Returns how much of the quota of ``key`` this entry uses."""
        return self._in_use.get(key, 0)

    def free(self, key):
        """Returns how much more of the quota of ``key`` this entry may acquire."""
        return max(0, self.limit(key) - self.used(key))

    def acquire(self, key, amount=1):
        """Acquires ``amount`` of the quota of ``key``; returns False if less is free."""
        if self.free(key) < amount:
            return False
        self._in_use[key] = self.used(key) + amount
        return True

    def release(self, key, amount=1):
        """Releases an amount that ``acquire`` acquired."""
        remaining = self.used(key) - amount
        if remaining > 0:
            self._in_use[key] = remaining
        else:
            self._in_use.pop(key, None)

    def lend(self, key, amount, epoch, total):
        """Subtracts a loan to a peer and returns its amount, at most half of what is free.

        The amount is 0 unless both sides know the same assignment and the same quota. A loan
        whose answer is lost stays subtracted until the next assignment.
        """
        if epoch != self._epoch or total != self._total(key):
            return 0
        amount = min(amount, (self.free(key) + 1) // 2)
        if amount > 0:
            self._assignments[-1].record_lent(key, amount)
        return amount

    def borrow(self, key, amount, epoch, total):
        """Adds a loan that a peer has subtracted; returns False if it is no longer valid.

        ``epoch`` and ``total`` are those of the request for the loan. The answer to each request
        must be passed only once.
        """
        if epoch != self._epoch or total != self._total(key):
            return False
        self._assignments[-1].record_borrowed(key, amount, total)
        return True

    def _limit(self, key):
        """Returns this entry's limit for a key, even while its shares are not usable."""
        self._drop_old_assignments()
        return self._current_limit(key)

    def _current_limit(self, key):
        """Returns the limit under all assignments whose shares may still be in use."""
        if not self._assignments:
            return 0
        total = self._total(key)
        limit = 0
        for index, assignment in enumerate(self._assignments):
            share = self._share(assignment, key, total)
            if index or self._unknown_history:
                share = min(limit, share)
            limit = max(0, share + assignment.adjustment(key, total))
        return limit

    def _share(self, assignment, key, total):
        """Returns this entry's share of the quota ``total`` under an assignment, without loans."""
        count = len(assignment.entries)
        if self._entry_id not in assignment.entries:
            return 0
        quotient, remainder = divmod(total, count)
        return quotient + (self._position(assignment, key) < remainder) if remainder else quotient

    def _position(self, assignment, key):
        """Returns this entry's index in an order that differs by key, to spread remainders."""
        position = self._positions.get((assignment.epoch, key))
        if position is None:
            own_hash = _entry_order_hash(key, self._entry_id)
            position = sum(_entry_order_hash(key, entry) < own_hash for entry in assignment.entries)
            if len(self._positions) >= MAX_CACHED_POSITIONS:
                self._positions.clear()
            self._positions[(assignment.epoch, key)] = position
        return position

    def _drop_old_assignments(self):
        """Drops the earlier assignments if no entry can still use their shares.

        First acknowledges the latest assignment if the use of every quota is within its limits.
        """
        if self._acknowledged_epoch != self._epoch:
            if any(used > self._current_limit(key) for key, used in self._in_use.items()):
                return
            self._acknowledged_epoch = self._epoch
            self._acknowledged_at = self._clock()
        if not self._assignments or (len(self._assignments) == 1 and not self._unknown_history):
            return
        if self._unknown_history and not self._timed_out(self._started_at):
            return
        unfinished = {entry for assignment in self._assignments for entry in assignment.entries}
        unfinished.update(self._heartbeats)
        if all(self._has_released_old_shares(entry) for entry in unfinished):
            del self._assignments[:-1]
            self._unknown_history = False

    def _has_released_old_shares(self, entry):
        """Returns True if an entry no longer uses shares of an earlier assignment.

        The timeout starts at the entry's last heartbeat, but not before the last time that any
        entry acknowledged the latest assignment: an entry that relies on the heartbeats of
        others during a store outage has then received the new epoch.
        """
        if self._has_acknowledged_epoch(entry):
            return True
        heartbeat_at = self._heartbeats.get(entry, (0, 0))[1]
        silent_seconds = self._clock() - max(heartbeat_at, self._acknowledged_at)
        agreed = all(
            any(map(self._has_acknowledged_epoch, assignment.entries))
            for assignment in self._assignments
        )
        return silent_seconds > (SHARE_TIMEOUT_SECONDS if agreed else STORE_OUTAGE_SECONDS)

    def _has_acknowledged_epoch(self, entry):
        """Returns True if an entry has acknowledged the latest assignment."""
        if entry == self._entry_id:
            return self._acknowledged_epoch == self._epoch
        return self._heartbeats.get(entry, (0, 0))[0] >= self._epoch

    def _confirms_assignment(self, entry):
        """Returns True if a recent heartbeat of the entry acknowledges no later assignment."""
        epoch, heartbeat_at = self._heartbeats.get(entry, (0, float("-inf")))
        return epoch <= self._epoch and self._clock() - heartbeat_at <= HEARTBEAT_FRESH_SECONDS

    def _timed_out(self, since):
        """Returns True if ``SHARE_TIMEOUT_SECONDS`` have passed since the clock time ``since``."""
        return self._clock() - since > SHARE_TIMEOUT_SECONDS


class _ShareAssignment:
    """An assignment of the quotas to entries, with the loans made under it."""

    __slots__ = ("_borrowed", "_lent", "entries", "epoch")

    def __init__(self, epoch, entries):
        self.epoch = epoch
        self.entries = tuple(entries)
        self._lent = {}
        self._borrowed = {}

    def record_lent(self, key, amount):
        """Records an amount that this entry lent to a peer."""
        self._lent[key] = self._lent.get(key, 0) + amount

    def record_borrowed(self, key, amount, total):
        """Records an amount that a peer lent to this entry while the quota was ``total``."""
        loan_total, borrowed = self._borrowed.get(key, (total, 0))
        if loan_total != total:
            borrowed = 0
        self._borrowed[key] = (total, borrowed + amount)

    def adjustment(self, key, total):
        """Returns the amount borrowed under the quota ``total`` minus the amount lent."""
        # a loan is valid only for the quota under which it was made
        loan_total, borrowed = self._borrowed.get(key, (total, 0))
        if loan_total != total:
            del self._borrowed[key]
            borrowed = 0
        return borrowed - self._lent.get(key, 0)


def _entry_order_hash(key, entry):
    """Returns the hash by which the entries are ordered for a key."""
    return hashlib.blake2b(f"{key}\n{entry}".encode(), digest_size=8).digest()
