"""
ibiscart_core.workflow.catalog
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Queues, worker pools and client accounts of one configuration version.
"""

from ibiscart_core.value import (
    MAX_INT,
    MAX_TEXT_BYTES,
    InvalidValueError,
    require_int,
    require_list,
    require_number,
    require_text,
)

__all__ = ["AccountEntry", "Catalog", "PoolEntry", "QueueEntry"]


class QueueEntry:
    """Configuration of a queue.

    Jobs submitted under ``host`` and the path ``prefix`` run on the workers of ``pool``.
    ``priority`` 0 is the highest. A unit that failed ``max_attempts`` times fails its job. The
    objective of a job, in milliseconds, is its critical path times the factor ``stretch``, plus
    ``target_latency_ms``. A ``public`` queue accepts jobs without an account.
    """

    __slots__ = (
        "host",
        "max_attempts",
        "name",
        "pool",
        "prefix",
        "priority",
        "public",
        "stretch",
        "target_latency_ms",
    )

    def __init__(
        self,
        name,
        host,
        prefix,
        pool,
        *,
        priority=0,
        max_attempts=1,
        stretch=1.0,
        target_latency_ms=0,
        public=False,
    ):
        self.name = name
        self.host = host
        self.prefix = prefix
        self.pool = pool
        self.priority = priority
        self.max_attempts = max_attempts
        self.stretch = stretch
        self.target_latency_ms = target_latency_ms
        self.public = public

    @classmethod
    def from_document(cls, name, document):
        """Builds a queue from the list of ``to_document``, with empty ``host`` and ``prefix``.

        Raises ``InvalidValueError`` if the list has another form.
        """
        fields = require_list(document, 5, "queue")
        if len(fields) < 5:
            raise InvalidValueError("queue", document, "a list of 5 settings")
        pool, priority, max_attempts, stretch, target_latency_ms = fields
        return cls(
            name,
            "",
            "",
            require_text(pool, MAX_TEXT_BYTES, "pool"),
            priority=require_int(priority, 0, MAX_INT, "priority"),
            max_attempts=require_int(max_attempts, 0, MAX_INT, "max_attempts"),
            stretch=require_number(stretch, 0, MAX_INT, "stretch"),
            target_latency_ms=require_number(target_latency_ms, 0, MAX_INT, "target_latency_ms"),
        )

    def to_document(self):
        """Returns the settings that running a job needs, as a JSON-serializable list."""
        return [
            self.pool,
            self.priority,
            self.max_attempts,
            self.stretch,
            self.target_latency_ms,
        ]


class PoolEntry:
    """Configuration of a worker pool.

    With ``checks_capacity``, a worker of the pool refuses runs that do not fit on it. With
    ``shares_accounts``, what no guarantee covers is shared between the client accounts.
    """

    __slots__ = ("checks_capacity", "name", "shares_accounts")

    def __init__(self, name, checks_capacity, shares_accounts=False):
        self.name = name
        self.checks_capacity = checks_capacity
        self.shares_accounts = shares_accounts


class AccountEntry:
    """Configuration of a client account; ``keys`` are its API keys.

    ``guaranteed_accelerators`` is the number of accelerators guaranteed to the account's jobs of
    priority 0. What is not guaranteed is shared between accounts by ``weight``,
    which is above 0.
    """

    __slots__ = ("guaranteed_accelerators", "keys", "name", "weight")

    def __init__(self, name, keys, guaranteed_accelerators=0, weight=1):
        self.name = name
        self.keys = tuple(keys)
        self.guaranteed_accelerators = guaranteed_accelerators
        self.weight = weight


class Catalog:
    """One version of the configuration; immutable by convention.

    ``document`` is the configuration as the operators wrote it, in bytes.
    """

    def __init__(self, version, queues, pools, accounts, document=b""):
        self.version = version
        self.document = document
        self.queues = {queue.name: queue for queue in queues}
        self.pools = {pool.name: pool for pool in pools}
        self.accounts = {account.name: account for account in accounts}
        self._accounts_by_key = {key: account for account in accounts for key in account.keys}
        # queue_at returns the first match, so queues with a longer path prefix come first
        self._queues_by_host = {}
        for queue in sorted(queues, key=lambda queue: -len(queue.prefix)):
            self._queues_by_host.setdefault(queue.host, []).append(queue)

    def queue_of(self, job):
        """Returns the queue of a job, or its ``accepted_queue`` if the queue was removed."""
        return self.queues.get(job.queue, job.accepted_queue)

    def account_of(self, api_key):
        """Returns the account with an API key, or None."""
        return self._accounts_by_key.get(api_key)

    def queue_at(self, host, path):
        """Returns the queue of ``host`` with the longest prefix of ``path``, or None."""
        for queue in self._queues_by_host.get(host, ()):
            if path.startswith(queue.prefix):
                return queue
        return None
