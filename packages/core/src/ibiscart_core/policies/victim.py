"""
ibiscart_core.policies.victim
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Chooses the burst work to preempt, so that the least work is lost.
"""

from ibiscart_core.resource import Resources
from ibiscart_schema.generated.journal_pb2 import JOB_STATE_PLACED, JOB_STATE_RUNNING

__all__ = ["choose_victims", "lost_work", "shortage", "work_weight"]

# a worker of 128 cores has 8 accelerators, so 16 cores weigh as much as one accelerator
CPU_MILLIS_PER_ACCELERATOR = 16_000
# the exact search ends here and the best set found so far is taken
SEARCH_STEPS = 2_000
# with more jobs in the way, the cheapest are taken and those not needed are left out again
JOBS_SEARCHED = 32


def lost_work(job, now_us):
    """Returns the work lost when the job is preempted, in accelerator seconds.

    A checkpoint is taken at preemption at the earliest, so all run time of the attempt
    counts as lost.
    """
    if not job.released:
        return 0.0
    return max(0, now_us - job.released_us) / 1e6 * work_weight(job)


def work_weight(job):
    """Returns the accelerators of a gang, with its processors counted as parts of one."""
    total = job.shape.total
    return total.accelerators + total.cpu_millis / CPU_MILLIS_PER_ACCELERATOR


def shortage(ledger, workers, member):
    """Returns what is missing on each worker for one ``member`` per entry of ``workers``.

    Places of work that is already stopping count as free. Maps worker ids to the missing
    ``Resources``; workers with enough are left out.
    """
    missing = {}
    for worker_id in dict.fromkeys(workers):
        worker = ledger.workers[worker_id]
        free = worker.free
        for (key, _, _), amount in worker.members.items():
            if ledger.jobs[key].state not in (JOB_STATE_PLACED, JOB_STATE_RUNNING):
                free = free + amount
        need = member.scaled(workers.count(worker_id))
        if not free.covers(need):
            missing[worker_id] = need - free
    return missing


def may_stop(job):
    """Tells whether a job may be stopped for a guaranteed one."""
    return job.preemptible and job.state in (JOB_STATE_PLACED, JOB_STATE_RUNNING)


def choose_victims(ledger, missing, now_us, allowed=may_stop):
    """Returns (lost work, jobs) that free ``missing`` on each worker, or None.

    ``missing`` maps worker ids to ``Resources``. Only jobs that ``allowed`` accepts are
    chosen, and none that is not needed.
    """
    freed = {}
    for worker_id in missing:
        for (key, _, _), amount in ledger.workers[worker_id].members.items():
            job = ledger.jobs[key]
            if allowed(job):
                places = freed.setdefault(key, {})
                places[worker_id] = places.get(worker_id, Resources()) + amount
    jobs = [ledger.jobs[key] for key in freed]
    # among equal losses, the job that was started again least often
    jobs.sort(key=lambda j: (lost_work(j, now_us), j.attempt, j.key.sort_key()))
    items = [(lost_work(job, now_us), job, freed[job.key]) for job in jobs]
    return _Search(items, missing).run()


class _Search:
    """Branch and bound over the victims in the order of their loss."""

    def __init__(self, items, missing):
        self._items = items
        self._missing = missing
        self._best = None
        self._steps = 0

    def run(self):
        greedy = self._greedy()
        if greedy is None:
            return None
        self._best = greedy
        if len(self._items) <= JOBS_SEARCHED:
            self._visit(0, 0.0, [], self._missing)
        loss, chosen = self._best
        return loss, [job for _, job, _ in chosen]

    def _greedy(self):
        missing, chosen, freed = dict(self._missing), [], {}
        for item in self._items:
            if not missing:
                break
            if any(worker_id in missing for worker_id in item[2]):
                chosen.append(item)
                for worker_id, amount in item[2].items():
                    freed[worker_id] = freed.get(worker_id, Resources()) + amount
                    if freed[worker_id].covers(_positive(self._missing[worker_id])):
                        missing.pop(worker_id, None)
        if missing:
            return None
        needed = []
        for item in reversed(chosen):
            left = {w: freed[w] - amount for w, amount in item[2].items()}
            if all(left[w].covers(_positive(self._missing[w])) for w in left):
                freed.update(left)
            else:
                needed.append(item)
        return sum(item[0] for item in needed), needed

    def _visit(self, index, loss, chosen, missing):
        self._steps += 1
        if not missing:
            if (loss, len(chosen)) < (self._best[0], len(self._best[1])):
                self._best = (loss, chosen)
            return
        if index == len(self._items) or self._steps > SEARCH_STEPS:
            return
        item = self._items[index]
        if (loss + item[0], len(chosen) + 1) >= (self._best[0], len(self._best[1])):
            # later items lose at least as much
            return
        left = _subtract(missing, item[2])
        if left != missing:
            self._visit(index + 1, loss + item[0], [*chosen, item], left)
        self._visit(index + 1, loss, chosen, missing)


def _positive(amounts):
    # a shortage of one kind may come with plenty of another
    return Resources(
        max(0, amounts.accelerators), max(0, amounts.cpu_millis), max(0, amounts.memory_mb)
    )


def _subtract(missing, freed):
    left = {}
    for worker_id, amount in missing.items():
        rest = amount - freed[worker_id] if worker_id in freed else amount
        if rest.accelerators > 0 or rest.cpu_millis > 0 or rest.memory_mb > 0:
            left[worker_id] = rest
    return left
