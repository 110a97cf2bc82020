"""
ibiscart_core.workflow.shares
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Divides what is not guaranteed in a pool among the client accounts that have work waiting.
"""

from ibiscart_core.resource import Resources
from ibiscart_core.workflow.ordering import LATE_FACTOR

__all__ = ["AccountShares"]

# largest factor for an account below its share; its inverse is the smallest for one above. The
# ratio of both is below that of the scores of a job in time and a late one, so that shares alone
# put no late job before an equal one that may still end in time.
MAX_FACTOR = 0.95 * (1 / LATE_FACTOR) ** 0.5
KINDS = Resources.__slots__


class AccountShares:
    """Fair shares of one pool in one planning pass.

    What the guaranteed work and the accounts without waiting work leave is divided among the
    others by weighted max-min fairness: no account gets more than it uses and waits for, and what
    one does not need goes to the rest. The shares are those of the scarcest kind of resource. They
    follow from the runs on record and the waiting units alone, so a new leader derives the same.
    """

    __slots__ = ("_capacity", "_entries", "_kind", "_level", "_reserved", "_use", "_waiting")

    def __init__(self, capacity, entries=None):
        """``capacity`` has the resources of the pool, ``entries`` the ``AccountEntry`` by name."""
        self._capacity = _amounts(capacity)
        self._entries = entries or {}
        self._reserved = [0, 0, 0]
        self._use = {}
        self._waiting = {}
        self._level = None
        self._kind = None

    @property
    def scarcest(self):
        """Name of the scarcest kind of resource, None while all work fits the pool."""
        return None if self._kind is None else KINDS[self._kind]

    @classmethod
    def from_jobs(cls, capacity, jobs, guaranteed_ids, entries=None):
        """Builds the shares of a pool from its ``jobs`` that have not ended.

        ``guaranteed_ids`` has the ids of those within their accounts' guarantees.
        """
        shares = cls(capacity, entries)
        for job in jobs:
            guaranteed = job.id in guaranteed_ids
            for units in job.step_units:
                active, waiting = len(units.active), units.waiting
                if active or waiting:
                    demand = job.spec.steps[units.step].demand
                    active, waiting = active * units.unit_size, waiting * units.unit_size
                    shares.add(job.account, demand, active, waiting, guaranteed=guaranteed)
        shares.divide()
        return shares

    def add(self, account, demand, active, waiting, *, guaranteed=False):
        """Adds tasks of an account, each with ``demand``, of which some run and some wait."""
        amounts = _amounts(demand)
        if guaranteed:
            _add(self._reserved, amounts, active + waiting)
            return
        if active:
            _add(self._use.setdefault(account, [0, 0, 0]), amounts, active)
        if waiting:
            _add(self._waiting.setdefault(account, [0, 0, 0]), amounts, waiting)

    def divide(self):
        """Calculates the shares; must follow the last ``add``."""
        self._level = None
        if len(self._use.keys() | self._waiting.keys()) < 2 or not self._waiting:
            return
        used = [*self._use.values(), self._reserved]
        wanted = [sum(column) for column in zip(*used, *self._waiting.values(), strict=True)]
        pressures = [want / max(1, have) for want, have in zip(wanted, self._capacity, strict=True)]
        kind = max(range(len(pressures)), key=pressures.__getitem__)
        if pressures[kind] <= 1:
            return
        self._kind = kind
        available = self._capacity[kind] - self._reserved[kind]
        available -= sum(u[kind] for a, u in self._use.items() if a not in self._waiting)
        totals = {a: self.used(a) + waits[kind] for a, waits in self._waiting.items()}
        self._level = self._find_level(totals, max(0, available))

    def used(self, account):
        """Returns what the runs of an account that are not guaranteed use of the scarcest kind."""
        amounts = self._use.get(account)
        return amounts[self._kind] if amounts and self._kind is not None else 0

    def share(self, account):
        """Returns what an account may use of the scarcest kind, None while all fits the pool."""
        return None if self._level is None else self._level * self._weight(account)

    def factor(self, account):
        """Returns the factor on the score of the account's jobs that are not guaranteed.

        It is 1 while all fits the pool or a single account has work, above 1 for an account that
        uses less than its share and below 1 for one that uses more, and bounded.
        """
        share = self.share(account)
        if share is None:
            return 1.0
        used = self.used(account)
        if share >= used * MAX_FACTOR:
            return MAX_FACTOR
        return max(share / used, 1 / MAX_FACTOR)

    def over_share(self):
        """Returns the accounts with waiting work that use more than their share."""
        if self._level is None:
            return []
        return [account for account in self._waiting if self.factor(account) < 1]

    def _find_level(self, totals, available):
        """Returns the share of weight 1 at which accounts that get up to ``totals`` use all."""
        pending = sorted(totals, key=lambda account: totals[account] / self._weight(account))
        weights = sum(map(self._weight, pending))
        for account in pending:
            level = available / weights
            if totals[account] > level * self._weight(account):
                return level
            available -= totals[account]
            weights -= self._weight(account)
            if weights <= 0:
                break
        return None

    def _weight(self, account):
        entry = self._entries.get(account)
        return entry.weight if entry is not None else 1


def _amounts(resources):
    return [resources.accelerators, resources.cpu_millis, resources.memory_mb]


def _add(amounts, demand, tasks):
    """Adds the demand of a number of tasks to ``amounts``."""
    for kind, amount in enumerate(demand):
        amounts[kind] += amount * tasks
