"""
ibiscart_core.policies.backlog
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Queued jobs by client account, grouped by what decides whether they can be placed.
"""

__all__ = ["Backlog", "Group", "due_us"]

# a job outranks all younger ones after this many times its estimate, but not before the least
PATIENCE_FACTOR = 10
LEAST_PATIENCE_SECONDS = 600


def due_us(ledger, job):
    """Returns the time from which a job precedes every job that is not due yet.

    Ordering by this time is the ageing rule: a rank that starts at the estimate and falls
    linearly to zero at this time orders jobs of 60 s and more in the same way at any moment,
    and shorter ones by submission.
    """
    estimate = ledger.estimates.estimate(job.key.account, job.spec.kind, job.spec.declared_seconds)
    patience = max(PATIENCE_FACTOR * estimate.median, LEAST_PATIENCE_SECONDS)
    return job.submitted_us + int(patience * 1e6)


class Group:
    """Queued jobs of one account with the same shape, kind and repeatability.

    ``jobs`` has (due time, request id, job) in the order in which they are tried.
    """

    __slots__ = ("account", "jobs", "repeatable", "shape")

    def __init__(self, account, shape, repeatable):
        self.account = account
        self.shape = shape
        self.repeatable = repeatable
        self.jobs = []

    @property
    def due_us(self):
        """Due time of the first job."""
        return self.jobs[0][0]


class Backlog:
    """Groups of queued jobs for each client account, built again for changed accounts."""

    def __init__(self, ledger):
        self._ledger = ledger
        self._groups = {}
        for name in ledger.accounts:
            self.refresh(name)

    @property
    def accounts(self):
        """Names of the accounts with queued jobs, each with its list of groups."""
        return self._groups

    def groups(self, account):
        """Returns the groups of an account, the first due first."""
        return self._groups.get(account, ())

    def refresh(self, name):
        """Builds the groups of one account again."""
        account = self._ledger.accounts.get(name)
        if account is None or not account.queued:
            self._groups.pop(name, None)
            return
        groups = {}
        for job in account.queued.values():
            key = (job.shape, job.spec.kind, job.spec.repeatable)
            group = groups.get(key)
            if group is None:
                group = groups[key] = Group(name, job.shape, job.spec.repeatable)
            group.jobs.append((due_us(self._ledger, job), job.key.request_id, job))
        for group in groups.values():
            group.jobs.sort(key=_order)
        self._groups[name] = sorted(groups.values(), key=lambda g: _order(g.jobs[0]))


def _order(entry):
    return entry[:2]
