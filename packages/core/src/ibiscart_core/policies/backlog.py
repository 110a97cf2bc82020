"""
ibiscart_core.policies.backlog
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Queued jobs by client account, grouped by what decides whether they can be placed.
"""

__all__ = ["Backlog", "Group", "JobClass", "due_us", "estimated_seconds"]

# a job outranks all younger ones after this many times its estimate, but not before the least
PATIENCE_FACTOR = 10
LEAST_PATIENCE_SECONDS = 600


def due_us(ledger, job):
    """Returns the time from which a job precedes every job that is not due yet.

    Ordering by this time is the ageing rule: a rank that starts at the estimate and falls
    linearly to zero at this time orders jobs of 60 s and more in the same way at any moment,
    and shorter ones by submission.
    """
    return _due_us(job, _estimate(ledger, job))


def estimated_seconds(ledger, job):
    """Returns the remaining run time of a queued job by the 90 % quantile of its estimate."""
    return max(0.0, _estimate(ledger, job).p90 - job.saved_seconds)


class JobClass:
    """Queued jobs of all accounts with one shape and repeatability.

    ``accelerators`` and ``cpu_millis`` are those of a whole gang; ``groups`` maps account
    names to lists of groups.
    """

    __slots__ = ("accelerators", "cpu_millis", "groups", "repeatable", "shape")

    def __init__(self, shape, repeatable):
        self.shape = shape
        self.repeatable = repeatable
        self.accelerators = shape.accelerators
        self.cpu_millis = shape.total.cpu_millis
        self.groups = {}

    def over_limit(self, account):
        """Tells whether a job exceeds its account's limits on accelerators and on cpu now."""
        contract = account.contract
        accelerators = account.burst_accelerators + self.accelerators
        cpu_millis = account.burst_cpu_millis + self.cpu_millis
        return (
            self.accelerators > 0 and accelerators > contract.burst_accelerators,
            self.cpu_millis > 0 and cpu_millis > contract.burst_cpu_millis,
        )

    def size_key(self):
        """Orders classes by the size of the gang, the largest first."""
        shape = self.shape
        memory = shape.total.memory_mb
        size = (-self.accelerators, -self.cpu_millis, -memory, -shape.members)
        return (*size, shape.scope, self.repeatable)


class Group:
    """Queued jobs of one account, class, kind and estimated remaining time in ``seconds``.

    ``jobs`` has (due time, request id, job) in the order in which they are tried.
    """

    __slots__ = ("account", "job_class", "jobs", "seconds")

    def __init__(self, account, job_class, seconds):
        self.account = account
        self.job_class = job_class
        self.seconds = seconds
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
        self._classes = {}
        self._largest = None
        self.claimants = set()
        for name in ledger.accounts:
            self.refresh(name)

    @property
    def accounts(self):
        """Names of the accounts with queued jobs, each with its list of groups."""
        return self._groups

    @property
    def classes(self):
        """Job classes with queued jobs, the largest gangs first."""
        if self._largest is None:
            self._largest = sorted(self._classes.values(), key=JobClass.size_key)
        return self._largest

    def groups(self, account):
        """Returns the groups of an account, the first due first."""
        return self._groups.get(account, ())

    def refresh(self, name):
        """Builds the groups of one account again.

        ``claimants`` then holds the account when a met, unclaimed reservation of it covers
        one of its queued jobs.
        """
        for group in self._groups.pop(name, ()):
            self._leave_class(group)
        self.claimants.discard(name)
        account = self._ledger.accounts.get(name)
        if account is None or not account.queued:
            return
        groups = self._build(account)
        self._groups[name] = groups
        for group in groups:
            group.job_class.groups.setdefault(name, []).append(group)
        open_shapes = {r.shape for r in account.reservations.values() if _open(r)}
        if any(shape.covers(g.job_class.shape) for shape in open_shapes for g in groups):
            self.claimants.add(name)

    def _build(self, account):
        groups, estimates = {}, {}
        for job in account.queued.values():
            spec = job.spec
            kind = (spec.kind, spec.declared_seconds)
            estimate = estimates.get(kind)
            if estimate is None:
                estimate = estimates[kind] = _estimate(self._ledger, job)
            seconds = max(0.0, estimate.p90 - job.saved_seconds)
            key = (job.shape, spec.repeatable, spec.kind, seconds)
            group = groups.get(key)
            if group is None:
                job_class = self._job_class(job.shape, spec.repeatable)
                group = groups[key] = Group(account.name, job_class, seconds)
            group.jobs.append((_due_us(job, estimate), job.key.request_id, job))
        for group in groups.values():
            group.jobs.sort(key=_order)
        return sorted(groups.values(), key=lambda g: _order(g.jobs[0]))

    def _job_class(self, shape, repeatable):
        job_class = self._classes.get((shape, repeatable))
        if job_class is None:
            job_class = self._classes[(shape, repeatable)] = JobClass(shape, repeatable)
            self._largest = None
        return job_class

    def _leave_class(self, group):
        job_class = group.job_class
        job_class.groups.pop(group.account, None)
        key = (job_class.shape, job_class.repeatable)
        if not job_class.groups and self._classes.get(key) is job_class:
            del self._classes[key]
            self._largest = None


def _estimate(ledger, job):
    return ledger.estimates.estimate(job.key.account, job.spec.kind, job.spec.declared_seconds)


def _due_us(job, estimate):
    patience = max(PATIENCE_FACTOR * estimate.median, LEAST_PATIENCE_SECONDS)
    return job.submitted_us + int(patience * 1e6)


def _open(reservation):
    return reservation.job is None and bool(reservation.workers)


def _order(entry):
    return entry[:2]
