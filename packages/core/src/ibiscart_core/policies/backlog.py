"""
ibiscart_core.policies.backlog
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Queued jobs by client account, grouped by the properties that determine where they fit.
"""

__all__ = ["Backlog", "JobClass", "JobGroup", "due_us", "estimated_seconds"]

# A job is due when the time since its submission reaches this multiple of its median estimated
# run time, and at least MIN_AGEING_SECONDS.
AGEING_FACTOR = 10
MIN_AGEING_SECONDS = 600


def due_us(ledger, job):
    """Returns the time, in microseconds since the epoch, from which a job is due.

    A due job precedes every job that is not due. Ordering by this time implements ageing: for
    jobs of 60 s and more it is the order, at any moment, of a priority that starts at the
    estimate and decreases linearly to zero at this time. Shorter jobs are ordered by submission.
    """
    return _due_us(job, _estimate(ledger, job))


def estimated_seconds(ledger, job):
    """Returns the remaining run time of a queued job, from the 90 % quantile of its estimate."""
    return max(0.0, _estimate(ledger, job).p90 - job.saved_seconds)


class JobClass:
    """Queued jobs of all accounts with one shape and repeatability.

    ``accelerators`` and ``cpu_millis`` are totals over the members of the gang; ``groups`` maps
    account names to lists of ``JobGroup``.
    """

    __slots__ = ("accelerators", "cpu_millis", "groups", "repeatable", "shape")

    def __init__(self, shape, repeatable):
        self.shape = shape
        self.repeatable = repeatable
        self.accelerators = shape.accelerators
        self.cpu_millis = shape.total.cpu_millis
        self.groups = {}

    def limits_exceeded(self, account):
        """Returns (accelerators, cpu), True for each burst limit that the account would exceed.

        The limits are compared with the account's present use plus one job of this class.
        """
        contract = account.contract
        accelerators = account.burst_accelerators + self.accelerators
        cpu_millis = account.burst_cpu_millis + self.cpu_millis
        return (
            self.accelerators > 0 and accelerators > contract.burst_accelerators,
            self.cpu_millis > 0 and cpu_millis > contract.burst_cpu_millis,
        )

    def size_key(self):
        """Returns a sort key that puts the largest gangs first."""
        shape = self.shape
        memory = shape.total.memory_mb
        size = (-self.accelerators, -self.cpu_millis, -memory, -shape.members)
        return (*size, shape.scope, self.repeatable)


class JobGroup:
    """Queued jobs of one account, class, kind and estimated remaining time in ``seconds``.

    ``jobs`` has (due time, request id, job), sorted by due time.
    """

    __slots__ = ("account", "job_class", "jobs", "seconds")

    def __init__(self, account, job_class, seconds):
        self.account = account
        self.job_class = job_class
        self.seconds = seconds
        self.jobs = []

    @property
    def due_us(self):
        """Due time of the first job, in microseconds since the epoch."""
        return self.jobs[0][0]


class Backlog:
    """Groups of queued jobs by client account.

    ``claimants`` has the names of the accounts that ``claim_guarantees`` has to visit.
    """

    def __init__(self, ledger):
        self._ledger = ledger
        self._groups = {}
        self._classes = {}
        self._sorted_classes = None
        self.claimants = set()
        for name in ledger.accounts:
            self.refresh(name)

    @property
    def accounts(self):
        """Lists of groups by name of each account with queued jobs."""
        return self._groups

    @property
    def classes(self):
        """Job classes with queued jobs, largest gangs first."""
        if self._sorted_classes is None:
            self._sorted_classes = sorted(self._classes.values(), key=JobClass.size_key)
        return self._sorted_classes

    def groups(self, account):
        """Returns the groups of an account, sorted by due time."""
        return self._groups.get(account, ())

    def refresh(self, name):
        """Rebuilds the groups of one account.

        The account is in ``claimants`` afterwards if one of its met, unclaimed reservations
        covers one of its queued jobs.
        """
        for group in self._groups.pop(name, ()):
            self._remove_from_class(group)
        self.claimants.discard(name)
        account = self._ledger.accounts.get(name)
        if account is None or not account.queued:
            return
        groups = self._build_groups(account)
        self._groups[name] = groups
        for group in groups:
            group.job_class.groups.setdefault(name, []).append(group)
        claimable_shapes = {r.shape for r in account.reservations.values() if _is_claimable(r)}
        if any(shape.covers(g.job_class.shape) for shape in claimable_shapes for g in groups):
            self.claimants.add(name)

    def _build_groups(self, account):
        """Returns the groups of an account's queued jobs, sorted by due time."""
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
                group = groups[key] = JobGroup(account.name, job_class, seconds)
            group.jobs.append((_due_us(job, estimate), job.key.request_id, job))
        for group in groups.values():
            group.jobs.sort(key=_due_order_key)
        return sorted(groups.values(), key=lambda g: _due_order_key(g.jobs[0]))

    def _job_class(self, shape, repeatable):
        """Returns the class of a shape and repeatability; adds it if it is new."""
        job_class = self._classes.get((shape, repeatable))
        if job_class is None:
            job_class = self._classes[(shape, repeatable)] = JobClass(shape, repeatable)
            self._sorted_classes = None
        return job_class

    def _remove_from_class(self, group):
        """Removes a group from its class, and the class if that was its last group."""
        job_class = group.job_class
        job_class.groups.pop(group.account, None)
        key = (job_class.shape, job_class.repeatable)
        if not job_class.groups and self._classes.get(key) is job_class:
            del self._classes[key]
            self._sorted_classes = None


def _estimate(ledger, job):
    """Returns the estimated run time of jobs of the job's account and kind."""
    return ledger.estimates.estimate(job.key.account, job.spec.kind, job.spec.declared_seconds)


def _due_us(job, estimate):
    """Returns the time in microseconds from which the job, with this estimate, is due."""
    ageing_seconds = max(AGEING_FACTOR * estimate.median, MIN_AGEING_SECONDS)
    return job.submitted_us + int(ageing_seconds * 1e6)


def _is_claimable(reservation):
    """Returns True if a reservation has workers and no job has claimed it."""
    return reservation.job is None and bool(reservation.workers)


def _due_order_key(queued_job):
    """Returns (due time, request id) of an item of ``JobGroup.jobs``."""
    return queued_job[:2]
