"""
ibiscart_core.workflow.admission
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Decides whether a submitted job can run in its pool at all.

Answers jobs that no worker can run: once accepted, they would wait until their callers give up.
A backlog is no reason to reject a job, see docs/design/admission.md.
"""

from enum import Enum

from ibiscart_core.resource import MAX_AMOUNT, Resources
from ibiscart_core.value import (
    MAX_INT,
    MAX_TEXT_BYTES,
    InvalidValueError,
    require_bool,
    require_int,
    require_list,
    require_object,
    require_text,
)
from ibiscart_core.workflow.fleet import RETURN_SECONDS

__all__ = [
    "MAX_VIEW_AGE_SECONDS",
    "CapacityBound",
    "CapacityHistory",
    "PoolView",
    "Rejection",
    "RejectionReason",
    "decide",
]

# a view that the leader confirmed longer ago rejects nothing; a slow store confirms it to an entry
# every 1.5 s: a heartbeat and a poll each 0.25 s, and 0.5 s for the call of each
MAX_VIEW_AGE_SECONDS = 4.0
# a worker that left counts for at least this time, and at most twice as long; preempted workers
# and an emptied data centre are usually back sooner
HISTORY_SECONDS = 120.0
# a leader publishes nothing of a pool before it has known its workers for this time: workers that
# lost contact when the leader changed may be registered again until then
OBSERVATION_SECONDS = RETURN_SECONDS
# most labels in one view; a step that requires a label beyond them is admitted
MAX_LABELS = 500


class RejectionReason(Enum):
    """Why a job cannot run; the values are those of the log and the metrics."""

    TASK_TOO_LARGE = "task_too_large"
    NO_SUCH_LABEL = "no_such_label"
    GANG_TOO_LARGE = "gang_too_large"


class Rejection:
    """A job that cannot run: the ``value`` of ``field`` is beyond ``bound``, a text.

    ``retry_after_seconds`` is 0, as a retry of the same job is useless.
    """

    __slots__ = ("bound", "field", "reason", "retry_after_seconds", "value")

    def __init__(self, reason, field, value, bound, retry_after_seconds=0):
        self.reason = reason
        self.field = field
        self.value = value
        self.bound = bound
        self.retry_after_seconds = retry_after_seconds


class CapacityBound:
    """Upper bounds of the capacity of some workers.

    ``largest`` has the largest amount of each resource on one worker, ``total`` the sums over the
    workers, and ``workers`` is their number.
    """

    __slots__ = ("largest", "total", "workers")

    def __init__(self, largest, total, workers):
        self.largest = largest
        self.total = total
        self.workers = workers

    @classmethod
    def from_document(cls, document):
        """Builds a bound from the list of ``to_document``; raises ``InvalidValueError``."""
        fields = require_list(document, 3, "bound")
        if len(fields) < 3:
            raise InvalidValueError("bound", document, "a list of 3 items")
        workers = require_int(fields[2], 0, MAX_INT, "workers")
        return cls(
            _parse_amounts(fields[0], "largest"), _parse_amounts(fields[1], "total"), workers
        )

    def to_document(self):
        """Returns the bound as a JSON-serializable list."""
        return [_to_amounts(self.largest), _to_amounts(self.total), self.workers]

    def add(self, capacity, total, workers):
        """Adds ``workers`` workers with the ``Resources`` ``capacity`` each, ``total`` in all."""
        self.largest = _maximum(self.largest, capacity)
        self.total = self.total + total
        self.workers += workers

    def raise_to(self, other):
        """Raises each bound to that of ``other`` if it is lower."""
        self.largest = _maximum(self.largest, other.largest)
        self.total = _maximum(self.total, other.total)
        self.workers = max(self.workers, other.workers)

    def max_tasks(self, step):
        """Returns an upper bound of the tasks of a step that run at once, maybe infinity."""
        per_worker = _times_within(step.demand, self.largest)
        if step.max_per_worker:
            per_worker = min(per_worker, step.max_per_worker)
        on_workers = self.workers * per_worker if self.workers else 0
        return min(on_workers, _times_within(step.demand, self.total))


class PoolView:
    """What a leader publishes of one pool: upper bounds of its capacity in the recent past.

    ``bounds`` maps each label to the ``CapacityBound`` of the workers that have it, and the empty
    text to that of all workers. ``complete`` is False if labels were left out.
    """

    __slots__ = ("bounds", "complete")

    def __init__(self, bounds, complete=True):
        self.bounds = bounds
        self.complete = complete

    @classmethod
    def from_document(cls, document):
        """Builds a view from the mapping of ``to_document``; raises ``InvalidValueError``."""
        require_object(document, "view")
        bounds = {}
        for group in require_list(document.get("bounds"), MAX_LABELS + 1, "bounds"):
            pair = require_list(group, 2, "bounds")
            if len(pair) < 2:
                raise InvalidValueError("bounds", group, "a bound and its labels")
            bound = CapacityBound.from_document(pair[0])
            for label in require_list(pair[1], MAX_LABELS + 1, "labels"):
                bounds[require_text(label, MAX_TEXT_BYTES, "label")] = bound
        if "" not in bounds or len(bounds) > MAX_LABELS + 1:
            shown = f"those of {len(bounds)} labels"
            expected = f"that of all workers and those of up to {MAX_LABELS} labels"
            raise InvalidValueError("bounds", bounds, expected, shown=shown)
        return cls(bounds, require_bool(document.get("complete"), "complete"))

    def to_document(self):
        """Returns the view as a JSON-serializable mapping.

        Labels with equal bounds share one, as racks of equal workers usually do.
        """
        groups = {}
        for label, bound in sorted(self.bounds.items()):
            document = bound.to_document()
            groups.setdefault(str(document), (document, []))[1].append(label)
        return {"bounds": [list(group) for group in groups.values()], "complete": self.complete}


class CapacityHistory:
    """Upper bounds of the capacity of each pool over the last ``HISTORY_SECONDS`` at least.

    Keeps the bounds of two periods of that length, the present one and the one before. Times are
    in seconds of the monotonic clock.
    """

    def __init__(self, now=0.0):
        self._period_began_at = now
        # bounds by (pool, label)
        self._present = {}
        self._previous = {}
        # when the first worker of each pool was recorded
        self._observed_since = {}

    def restore(self, views):
        """Adds the views by pool that an earlier leader published to the period before."""
        for pool, view in views.items():
            for label, bound in view.bounds.items():
                _raise_bound(self._previous, (pool, label), bound)

    def record(self, workers, now):
        """Raises the bounds to the present capacity of the registered ones of ``workers``."""
        if now - self._period_began_at >= HISTORY_SECONDS:
            self._period_began_at = now
            self._previous, self._present = self._present, {}
        # equal workers are counted first: a fleet has thousands of workers, of few kinds in a rack
        counts = {}
        for worker in workers:
            if worker.registered:
                info, capacity = worker.info, worker.info.capacity
                amounts = (capacity.accelerators, capacity.cpu_millis, capacity.memory_mb)
                kind = (info.pool, info.labels, amounts)
                counts[kind] = counts.get(kind, 0) + 1
        present = {}
        for (pool, labels, amounts), count in counts.items():
            capacity = Resources(*amounts)
            total = capacity.scaled(count)
            for label in {"", *labels}:
                bound = present.get((pool, label))
                if bound is None:
                    present[pool, label] = CapacityBound(capacity, total, count)
                else:
                    bound.add(capacity, total, count)
            self._observed_since.setdefault(pool, now)
        for key, bound in present.items():
            _raise_bound(self._present, key, bound)

    def views(self, now):
        """Returns the ``PoolView`` by name of each pool that was observed long enough."""
        bounds = {}
        for period in (self._previous, self._present):
            for key, bound in period.items():
                _raise_bound(bounds, key, bound)
        by_pool = {}
        for (pool, label), bound in sorted(bounds.items()):
            since = self._observed_since.get(pool)
            if since is not None and now - since >= OBSERVATION_SECONDS:
                by_pool.setdefault(pool, {})[label] = bound
        views = {}
        for pool, pool_bounds in by_pool.items():
            # the empty label comes first in the order
            kept = dict(list(pool_bounds.items())[: MAX_LABELS + 1])
            views[pool] = PoolView(kept, len(kept) == len(pool_bounds))
        return views


def decide(spec, queue, view, age_seconds):
    """Returns the ``Rejection`` of a job that cannot run, None for one that is admitted.

    ``view`` is the ``PoolView`` of the pool of ``queue``, None if there is none, and
    ``age_seconds`` the time since a leader confirmed it. Without a recent view, all jobs are
    admitted. A gang bound to one rack that fits on none is admitted too: it is placed across racks.
    """
    if view is None or age_seconds > MAX_VIEW_AGE_SECONDS:
        return None
    for step_index, step in enumerate(spec.steps):
        rejection = _check_step(f"steps[{step_index}]", step, queue.pool, view)
        if rejection is not None:
            return rejection
    return None


def _check_step(name, step, pool, view):
    """Returns the ``Rejection`` of a step that cannot run in ``pool``, else None."""
    label = step.required_label
    bound = view.bounds.get(label)
    if bound is None:
        if not view.complete:
            return None
        return Rejection(
            RejectionReason.NO_SUCH_LABEL,
            f"{name}.required_label",
            label,
            f"a label of a worker in pool {pool}",
        )
    holders = f"workers in pool {pool}" + (f" with label {label}" if label else "")
    for resource in Resources.__slots__:
        needed, largest = getattr(step.demand, resource), getattr(bound.largest, resource)
        if needed > largest:
            return Rejection(
                RejectionReason.TASK_TOO_LARGE,
                f"{name}.{resource}",
                needed,
                f"up to {largest}, the most on one of the {holders}",
            )
    if step.gang and step.tasks > (max_tasks := bound.max_tasks(step)):
        return Rejection(
            RejectionReason.GANG_TOO_LARGE,
            f"{name}.tasks",
            step.tasks,
            f"up to {max_tasks}, the most that the {holders} can run at once",
        )
    return None


def _raise_bound(bounds, key, bound):
    """Raises the ``CapacityBound`` of ``key`` in the mapping ``bounds`` to ``bound``."""
    if key not in bounds:
        bounds[key] = CapacityBound(bound.largest, bound.total, bound.workers)
    else:
        bounds[key].raise_to(bound)


def _maximum(first, second):
    """Returns ``Resources`` with the larger amount of each resource."""
    if first.covers(second):
        return first
    return Resources(
        max(first.accelerators, second.accelerators),
        max(first.cpu_millis, second.cpu_millis),
        max(first.memory_mb, second.memory_mb),
    )


def _times_within(demand, capacity):
    """Returns how many times ``demand`` fits into ``capacity``, infinity if it is empty."""
    return min(
        (
            getattr(capacity, name) // needed
            for name in Resources.__slots__
            if (needed := getattr(demand, name))
        ),
        default=float("inf"),
    )


def _to_amounts(resources):
    """Returns ``Resources`` as a JSON-serializable list."""
    return [getattr(resources, name) for name in Resources.__slots__]


def _parse_amounts(document, name):
    """Returns the ``Resources`` of a list of ``_to_amounts``; raises ``InvalidValueError``."""
    amounts = require_list(document, len(Resources.__slots__), name)
    if len(amounts) < len(Resources.__slots__):
        raise InvalidValueError(name, document, "one amount of each resource")
    # sums over workers may exceed the largest amount of one worker
    return Resources(*(require_int(amount, 0, MAX_AMOUNT * 1000, name) for amount in amounts))
