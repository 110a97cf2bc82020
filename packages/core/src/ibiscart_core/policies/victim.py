"""
ibiscart_core.policies.victim
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Selects the burst jobs to preempt so that the least work is lost.
"""

from ibiscart_core.resource import Resources
from ibiscart_schema.generated.journal_pb2 import JOB_STATE_PLACED, JOB_STATE_RUNNING

__all__ = ["accelerator_equivalents", "choose_victims", "lost_work", "missing_capacity"]

# a worker has 128 cores and 8 accelerators, so 16 cores count as one accelerator
CPU_MILLIS_PER_ACCELERATOR = 16_000
# limit on the nodes of the exact search, which then returns the best set found so far
MAX_SEARCH_STEPS = 2_000
# with more candidates only the greedy selection runs, which drops jobs that are not needed
MAX_EXACT_JOBS = 32


def lost_work(job, now_us):
    """Returns the work lost if the job is preempted, in accelerator seconds.

    A checkpoint is taken at preemption at the earliest, so the whole run time of the attempt
    counts.
    """
    if not job.released:
        return 0.0
    return max(0, now_us - job.released_us) / 1e6 * accelerator_equivalents(job)


def accelerator_equivalents(job):
    """Returns the size of a gang in accelerators, with its cores converted to accelerators."""
    total = job.shape.total
    return total.accelerators + total.cpu_millis / CPU_MILLIS_PER_ACCELERATOR


def missing_capacity(ledger, workers, member):
    """Returns the missing ``Resources`` by worker id for one ``member`` per entry of ``workers``.

    Capacity of jobs that are already stopping counts as free. Workers with enough capacity are
    omitted.
    """
    missing = {}
    for worker_id in dict.fromkeys(workers):
        worker = ledger.workers[worker_id]
        free = worker.free
        for (key, _, _), amount in worker.members.items():
            if ledger.jobs[key].state not in (JOB_STATE_PLACED, JOB_STATE_RUNNING):
                free = free + amount
        needed = member.scaled(workers.count(worker_id))
        if not free.covers(needed):
            missing[worker_id] = needed - free
    return missing


def is_preemptible_for_guarantee(job):
    """Returns True if a job may be preempted for a guaranteed one."""
    return job.preemptible and job.state in (JOB_STATE_PLACED, JOB_STATE_RUNNING)


def choose_victims(ledger, missing, now_us, allowed=is_preemptible_for_guarantee):
    """Returns (lost work, jobs) of a set of jobs that frees ``missing``, or None.

    ``missing`` maps worker ids to ``Resources``. Only jobs for which ``allowed`` returns True
    are selected, and no job that is not needed. Lost work is in accelerator seconds.
    """
    freed = {}
    for worker_id in missing:
        for (key, _, _), amount in ledger.workers[worker_id].members.items():
            job = ledger.jobs[key]
            if allowed(job):
                freed_by_worker = freed.setdefault(key, {})
                freed_by_worker[worker_id] = freed_by_worker.get(worker_id, Resources()) + amount
    jobs = [ledger.jobs[key] for key in freed]
    # among jobs of equal loss, those with the fewest restarts come first
    jobs.sort(key=lambda j: (lost_work(j, now_us), j.attempt, j.key.sort_key()))
    candidates = [(lost_work(job, now_us), job, freed[job.key]) for job in jobs]
    return _VictimSearch(candidates, missing).run()


class _VictimSearch:
    """Branch and bound over the candidates, in ascending order of lost work.

    A candidate is (lost work, job, freed ``Resources`` by worker id).
    """

    def __init__(self, candidates, missing):
        self._candidates = candidates
        self._missing = missing
        self._best = None
        self._steps = 0

    def run(self):
        greedy = self._greedy()
        if greedy is None:
            return None
        self._best = greedy
        if len(self._candidates) <= MAX_EXACT_JOBS:
            self._branch(0, 0.0, [], self._missing)
        loss, chosen = self._best
        return loss, [job for _, job, _ in chosen]

    def _greedy(self):
        """Returns (lost work, candidates) of a set that frees enough, or None.

        Candidates are added in order, and those that are not needed are then removed.
        """
        missing, chosen, freed = dict(self._missing), [], {}
        for candidate in self._candidates:
            if not missing:
                break
            if any(worker_id in missing for worker_id in candidate[2]):
                chosen.append(candidate)
                for worker_id, amount in candidate[2].items():
                    freed[worker_id] = freed.get(worker_id, Resources()) + amount
                    if freed[worker_id].covers(_nonnegative(self._missing[worker_id])):
                        missing.pop(worker_id, None)
        if missing:
            return None
        needed = []
        for candidate in reversed(chosen):
            remaining = {w: freed[w] - amount for w, amount in candidate[2].items()}
            if all(remaining[w].covers(_nonnegative(self._missing[w])) for w in remaining):
                freed.update(remaining)
            else:
                needed.append(candidate)
        return sum(candidate[0] for candidate in needed), needed

    def _branch(self, index, loss, chosen, missing):
        """Searches the candidates from ``index`` on for a set better than the best so far.

        ``loss`` is the lost work of the ``chosen`` candidates. ``missing`` has the
        resources by worker id that they do not free.
        """
        self._steps += 1
        if not missing:
            if (loss, len(chosen)) < (self._best[0], len(self._best[1])):
                self._best = (loss, chosen)
            return
        if index == len(self._candidates) or self._steps > MAX_SEARCH_STEPS:
            return
        candidate = self._candidates[index]
        if (loss + candidate[0], len(chosen) + 1) >= (self._best[0], len(self._best[1])):
            # every later candidate loses at least as much as this one, so no set that adds one
            # of them is better than the best set so far
            return
        remaining = _subtract(missing, candidate[2])
        if remaining != missing:
            self._branch(index + 1, loss + candidate[0], [*chosen, candidate], remaining)
        self._branch(index + 1, loss, chosen, missing)


def _nonnegative(amounts):
    """Returns the missing ``amounts`` as ``Resources``, with negative ones set to 0."""
    # a worker that lacks one resource may have a surplus of another; the surplus is a negative
    # missing amount and counts as 0
    return Resources(
        max(0, amounts.accelerators), max(0, amounts.cpu_millis), max(0, amounts.memory_mb)
    )


def _subtract(missing, freed):
    """Returns the resources by worker id that are still missing after ``freed``."""
    remaining = {}
    for worker_id, amount in missing.items():
        rest = amount - freed[worker_id] if worker_id in freed else amount
        if rest.accelerators > 0 or rest.cpu_millis > 0 or rest.memory_mb > 0:
            remaining[worker_id] = rest
    return remaining
