"""
ibiscart_entry.quota
~~~~~~~~~~~~~~~~~~~~

Quotas that the entries share: limits of client accounts, slots and connections of runners.
"""

import trio

from ibiscart_core.lane import Lane
from ibiscart_core.share import QuotaShares

__all__ = ["Quotas", "account_key", "runner_key", "runner_keys"]

DEFAULT_SLOTS = 8
DEFAULT_CONNECTIONS = 64
TICK_SECONDS = 0.5


class Quotas:
    """This entry's ``QuotaShares``, kept in step with the journal and the other entries.

    ``changed`` is called after a new assignment.
    """

    def __init__(self, entry_id, settings, journal, peers, membership):
        self._entry_id = entry_id
        self._settings = settings
        self._journal = journal
        self._peers = peers
        self._membership = membership
        self.shares = QuotaShares(entry_id, self.total, trio.current_time, journal.confirmed_age)
        self.changed = lambda: None

    @property
    def entry_id(self):
        """Id of this entry."""
        return self._entry_id

    def total(self, key):
        """Quota over all entries of a share key."""
        name, _, owner = key.partition("/")
        if name in ("running", "queued"):
            account = self._journal.ledger.accounts.get(owner)
            return getattr(account.contract, f"{name}_requests") if account is not None else 0
        machine = self._membership.machines.get(owner)
        if machine is None:
            return 0
        slots = machine.slots or DEFAULT_SLOTS
        if name == "long":
            return min(self._settings.long_slots, slots)
        return slots if name == "slots" else machine.connections or DEFAULT_CONNECTIONS

    async def run(self, task_status=trio.TASK_STATUS_IGNORED):
        """Applies assignments and records the epochs acknowledged by others, until cancelled."""
        self._apply_assignment()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._follow)
            task_status.started()
            while True:
                self._apply_assignment()
                for entry in {*self.shares.entries, *self._peers.live()}:
                    silence = self._peers.silence(entry)
                    self.shares.record_heartbeat(entry, self._peers.share_epoch_of(entry), silence)
                await trio.sleep(TICK_SECONDS)

    async def _follow(self):
        while True:
            async for _ in self._journal.subscribe():
                self._apply_assignment()
            await trio.sleep(TICK_SECONDS)

    def _apply_assignment(self):
        ledger = self._journal.ledger
        if ledger.share_epoch > self.shares.epoch:
            self.shares.apply_assignment(ledger.share_epoch, ledger.share_entries)
            self.changed()


def account_key(name, account):
    """Returns the share key of an account's limit, ``running`` or ``queued``."""
    return f"{name}/{account}"


def runner_key(name, runner_id):
    """Returns the share key of a runner's limit: ``slots``, ``long`` or ``connections``."""
    return f"{name}/{runner_id}"


def runner_keys(runner_id, lane):
    """Returns the share keys that a request of ``lane`` takes of a runner."""
    keys = [runner_key("slots", runner_id), runner_key("connections", runner_id)]
    if lane is Lane.LONG:
        keys.append(runner_key("long", runner_id))
    return keys
