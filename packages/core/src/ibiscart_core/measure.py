"""
ibiscart_core.measure
~~~~~~~~~~~~~~~~~~~~~

Evaluation metrics of one replay, and lower bounds worked out from its trace.
"""

from ibiscart_core.demand import peak_times, trace_jobs
from ibiscart_core.job import JobKey
from ibiscart_core.replay import Replay
from ibiscart_schema.generated.journal_pb2 import JOB_COMPLETED
from ibiscart_schema.generated.types_pb2 import SCOPE_RACK

__all__ = ["lower_bound", "measure"]

# work of users that expect an answer at once
SHORT_SECONDS = 120.0
SHORT_ACCELERATORS = 8
LARGE_ACCELERATORS = 16
# bound on answering and starting any work at the peak
SERVICE_SECONDS = 30.0
SNAPSHOT_RECORDS = 500
# an object and the row that points to it
SNAPSHOT_OPERATIONS = 2
# entries of a region that get each record pushed, without the writer
PEERS = 7


def measure(events, policy):
    """Replays a trace and returns its metrics by name, times in seconds.

    ``events`` is a list of ``TraceEvent``s. Metrics without any sample are None.
    """
    jobs = trace_jobs(events)
    state = StateMeter()
    replay = Replay(iter(events), policy, (state.observe,)).run()
    state.end(replay.decided_us)
    timed = _job_times(jobs, replay.records)
    done = [job for job in timed if job.outcome == JOB_COMPLETED]
    completion = [(job.ended_us - job.at_us) / 1e6 for job in done]
    large = [
        (job.ended_us - job.at_us) / 1e6
        for job in done
        if job.members > 1 and job.accelerators >= LARGE_ACCELERATORS
    ]
    short = [job.wait_seconds for job in done if _is_short(job)]
    records = len(replay.records)
    operations = records + records // SNAPSHOT_RECORDS * SNAPSHOT_OPERATIONS
    messages = replay.command_count + replay.worker_simulator.call_count + records * PEERS
    last_us = max((job.ended_us for job in timed), default=0)
    first_us = min((job.at_us for job in timed), default=0)
    return {
        "completion_mean": mean(completion),
        "completion_p95": quantile(completion, 0.95),
        "completion_p99": quantile(completion, 0.99),
        "large_completion_mean": mean(large),
        "makespan": (last_us - first_us) / 1e6,
        "fragmented_share": state.fragmented_share,
        "largest_free_mean": state.largest_free_mean,
        "peak_service": _service(jobs, timed, replay.ledger),
        "short_wait_p50": quantile(short, 0.5),
        "short_wait_p99": quantile(short, 0.99),
        "urgent_wait_max": max(state.urgent_waits, default=None),
        "urgent_starts": len(state.urgent_waits),
        "preemption_lost": replay.worker_simulator.lost_accelerator_seconds,
        "store_operations_per_job": operations / max(1, len(jobs)),
        "messages_per_job": messages / max(1, len(jobs)),
        "outcome_differences": replay.outcome_differences(),
    }


def lower_bound(events, capacity):
    """Returns bounds that no policy can beat, by the names of the metrics.

    Completion is bounded by run time alone; the makespan also by the trace's total
    accelerator-seconds over ``capacity``, the region's accelerators.
    """
    jobs = [job for job in trace_jobs(events) if job.completes]
    runs = [job.run_seconds for job in jobs]
    large = [
        job.run_seconds
        for job in jobs
        if job.members > 1 and job.accelerators >= LARGE_ACCELERATORS
    ]
    work = sum(job.run_seconds * job.accelerators for job in jobs)
    first_us = min((job.at_us for job in jobs), default=0)
    longest = max(((job.at_us - first_us) / 1e6 + job.run_seconds for job in jobs), default=0.0)
    return {
        "completion_mean": mean(runs),
        "completion_p95": quantile(runs, 0.95),
        "completion_p99": quantile(runs, 0.99),
        "large_completion_mean": mean(large),
        "makespan": max(longest, work / capacity),
        "capacity_seconds": work / capacity,
    }


def mean(values):
    """Returns the arithmetic mean, or None without values."""
    return sum(values) / len(values) if values else None


def quantile(values, share):
    """Returns the nearest-rank quantile, or None without values."""
    if not values:
        return None
    ordered = sorted(values)
    return ordered[max(0, -int(-share * len(ordered) // 1) - 1)]


class StateMeter:
    """Measures, over the records of a replay, what depends on the state between them.

    ``fragmented_share`` is the share of time in which a waiting gang would fit the free
    accelerators by count but not by adjacency; ``largest_free_mean`` is the mean, over time,
    of the most accelerators that are free in one rack; ``urgent_waits`` lists, for each job
    that a free guarantee covered, the seconds from then to its release.
    """

    def __init__(self):
        self.urgent_waits = []
        self._since_us = None
        self._total_us = 0
        self._fragmented_us = 0
        self._largest_us = 0
        self._fragmented = False
        self._largest = 0
        self._due = {}

    @property
    def fragmented_share(self):
        """Share of time with a gang that only adjacency keeps waiting."""
        return self._fragmented_us / max(1, self._total_us)

    @property
    def largest_free_mean(self):
        """Mean over time of the largest adjacent set of free accelerators."""
        return self._largest_us / max(1, self._total_us)

    def observe(self, ledger, record):
        """Reads the state after ``record``, which lasts until the next one."""
        self._advance(record.time_us)
        if self._since_us is None:
            if any(event.HasField("job_submitted") for event in record.events):
                self._since_us = record.time_us
        free = _free_by_rack(ledger)
        self._largest = max(map(sum, free.values()), default=0)
        self._fragmented = _is_fragmented(ledger, sum(map(sum, free.values())), record.time_us)
        self._follow_urgent(ledger, record)

    def end(self, now_us):
        """Ends the replay; work that is still due counts with its wait until now."""
        self._advance(now_us)
        self.urgent_waits += [(now_us - due) / 1e6 for due in self._due.values()]

    def _advance(self, now_us):
        if self._since_us is None:
            return
        passed = now_us - self._since_us
        self._since_us = now_us
        self._total_us += passed
        self._fragmented_us += passed * self._fragmented
        self._largest_us += passed * self._largest

    def _follow_urgent(self, ledger, record):
        for event in record.events:
            if event.HasField("job_placed") and event.job_placed.HasField("reservation"):
                # a claim within the batch that made the job due
                key = JobKey.from_message(event.job_placed.job)
                self._due.setdefault(key, record.time_us)
            if event.HasField("job_released"):
                due = self._due.pop(JobKey.from_message(event.job_released.job), None)
                if due is not None:
                    self.urgent_waits.append((record.time_us - due) / 1e6)
        due = {}
        for account in ledger.accounts.values():
            matched = _matched(account, record.time_us)
            placed = [job.key for job in account.active.values() if not job.released]
            for key in matched + [key for key in placed if key in self._due]:
                due[key] = self._due.get(key, record.time_us)
        self._due = due


def _matched(account, now_us):
    # each free reservation makes at most one waiting job due
    matched = []
    free = [r for r in account.reservations.values() if r.job is None and r.workers]
    for job in account.queued.values():
        if not free:
            break
        if job.not_before_us > now_us:
            continue
        covering = next((r for r in free if r.shape.covers(job.shape)), None)
        if covering is not None:
            free.remove(covering)
            matched.append(job.key)
    return matched


def _free_by_rack(ledger):
    racks = {}
    for worker in ledger.workers.values():
        if worker.accepts:
            free = max(0, worker.free.accelerators)
            racks.setdefault(worker.domain(SCOPE_RACK), []).append(free)
    return racks


def _is_fragmented(ledger, free, now_us):
    shapes = set()
    for account in ledger.accounts.values():
        room = account.contract.burst_accelerators - account.burst_accelerators
        for job in account.queued.values():
            # what a contract's limit keeps waiting does not wait for adjacency
            if job.shape.members > 1 and job.not_before_us <= now_us:
                if job.shape.accelerators <= min(room, free):
                    shapes.add(job.shape)
    return any(not _fits(ledger, shape) for shape in shapes)


def _fits(ledger, shape):
    places = {}
    for worker in ledger.workers.values():
        if worker.accepts:
            domain = worker.domain(shape.scope)
            places[domain] = places.get(domain, 0) + shape.member.times_within(worker.free)
    return max(places.values(), default=0) >= shape.members


def _job_times(jobs, records):
    timed = {job.key: job for job in jobs}
    for record in records:
        for event in record.events:
            kind = event.WhichOneof("kind")
            if kind == "job_released":
                job = timed[JobKey.from_message(event.job_released.job)]
                job.released_us = job.released_us or record.time_us
            elif kind == "job_ended":
                job = timed[JobKey.from_message(event.job_ended.job)]
                job.ended_us = record.time_us
                job.outcome = event.job_ended.outcome
    return [job for job in timed.values() if job.ended_us is not None]


def _is_short(job):
    return job.run_seconds <= SHORT_SECONDS and job.accelerators <= SHORT_ACCELERATORS


def _service(jobs, timed, ledger):
    capacity = sum(worker.capacity.accelerators for worker in ledger.workers.values())
    peaks = peak_times(jobs, capacity)
    at_peak = [
        job
        for job in jobs
        if job.completes and any(start <= job.at_us < end for start, end in peaks)
    ]
    if not at_peak:
        return None
    served = [job for job in at_peak if job.released_us and job.wait_seconds <= SERVICE_SECONDS]
    return len(served) / len(at_peak)
