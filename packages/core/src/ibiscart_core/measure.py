"""
ibiscart_core.measure
~~~~~~~~~~~~~~~~~~~~~

Evaluation metrics of one replay, and lower bounds computed from its trace.
"""

from ibiscart_core.demand import peak_times, trace_jobs
from ibiscart_core.job import JobKey
from ibiscart_core.replay import Replay
from ibiscart_schema.generated.journal_pb2 import JOB_COMPLETED
from ibiscart_schema.generated.types_pb2 import SCOPE_RACK

__all__ = ["lower_bound", "measure"]

# a job counts as short up to this run time and this number of accelerators; users of short jobs
# expect an immediate answer
SHORT_JOB_MAX_SECONDS = 120.0
SHORT_JOB_MAX_ACCELERATORS = 8
LARGE_JOB_MIN_ACCELERATORS = 16
# time within which work that is submitted at a peak must be answered and started
PEAK_WAIT_MAX_SECONDS = 30.0
RECORDS_PER_SNAPSHOT = 500
# store operations of a snapshot: a put of its object and a put of the table row that refers to it
OPERATIONS_PER_SNAPSHOT = 2
# entries of a region, without the writer, to which each record is pushed
PEER_COUNT = 7


def measure(events, policy):
    """Replays a trace and returns its metrics by name, times in seconds.

    ``events`` is a list of ``TraceEvent``s. Metrics without samples are None.
    """
    jobs = trace_jobs(events)
    state = StateMeter()
    replay = Replay(iter(events), policy, (state.observe,)).run()
    state.end(replay.decided_us)
    ended_jobs = _ended_jobs(jobs, replay.records)
    completed = [job for job in ended_jobs if job.outcome == JOB_COMPLETED]
    completion = [(job.ended_us - job.at_us) / 1e6 for job in completed]
    large = [
        (job.ended_us - job.at_us) / 1e6
        for job in completed
        if job.members > 1 and job.accelerators >= LARGE_JOB_MIN_ACCELERATORS
    ]
    short = [job.wait_seconds for job in completed if _is_short(job)]
    records = len(replay.records)
    operations = records + records // RECORDS_PER_SNAPSHOT * OPERATIONS_PER_SNAPSHOT
    messages = replay.command_count + replay.worker_simulator.call_count + records * PEER_COUNT
    last_us = max((job.ended_us for job in ended_jobs), default=0)
    first_us = min((job.at_us for job in ended_jobs), default=0)
    return {
        "completion_mean": mean(completion),
        "completion_p95": quantile(completion, 0.95),
        "completion_p99": quantile(completion, 0.99),
        "large_completion_mean": mean(large),
        "makespan": (last_us - first_us) / 1e6,
        "fragmented_share": state.fragmented_share,
        "largest_free_mean": state.largest_free_mean,
        "peak_service": _peak_service(jobs, ended_jobs, replay.ledger),
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
    """Returns lower bounds that no policy can beat, by metric name.

    Completion is bounded by run time alone; the makespan also by the trace's total
    accelerator-seconds over ``capacity``, the region's accelerators.
    """
    jobs = [job for job in trace_jobs(events) if job.completes]
    run_times = [job.run_seconds for job in jobs]
    large = [
        job.run_seconds
        for job in jobs
        if job.members > 1 and job.accelerators >= LARGE_JOB_MIN_ACCELERATORS
    ]
    work = sum(job.run_seconds * job.accelerators for job in jobs)
    first_us = min((job.at_us for job in jobs), default=0)
    latest_end_seconds = max(
        ((job.at_us - first_us) / 1e6 + job.run_seconds for job in jobs), default=0.0
    )
    return {
        "completion_mean": mean(run_times),
        "completion_p95": quantile(run_times, 0.95),
        "completion_p99": quantile(run_times, 0.99),
        "large_completion_mean": mean(large),
        "makespan": max(latest_end_seconds, work / capacity),
        "capacity_seconds": work / capacity,
    }


def mean(values):
    """Returns the arithmetic mean, or None if there are no values."""
    return sum(values) / len(values) if values else None


def quantile(values, share):
    """Returns the nearest-rank quantile, or None if there are no values."""
    if not values:
        return None
    ordered = sorted(values)
    return ordered[max(0, -int(-share * len(ordered) // 1) - 1)]


class StateMeter:
    """Measures, over the records of a replay, the metrics of the state between them.

    ``fragmented_share`` is the share of time in which a waiting gang would fit the free
    accelerators by count but not by adjacency; ``largest_free_mean`` is the mean, over time,
    of the most accelerators that are free in one rack; ``urgent_waits`` lists, for each job
    that a free guarantee covered, the seconds from that time to its release.
    """

    def __init__(self):
        self.urgent_waits = []
        self._measured_to_us = None
        self._total_us = 0
        self._fragmented_us = 0
        self._largest_free_us = 0
        self._fragmented = False
        self._largest_free = 0
        self._urgent_since = {}

    @property
    def fragmented_share(self):
        """Returns the share of time in which a gang waits only for adjacent accelerators."""
        return self._fragmented_us / max(1, self._total_us)

    @property
    def largest_free_mean(self):
        """Returns the mean over time of the most accelerators that are free in one rack."""
        return self._largest_free_us / max(1, self._total_us)

    def observe(self, ledger, record):
        """Measures the state after ``record``, which lasts until the next record."""
        self._advance(record.time_us)
        if self._measured_to_us is None:
            if any(event.HasField("job_submitted") for event in record.events):
                self._measured_to_us = record.time_us
        free = _free_accelerators_by_rack(ledger)
        self._largest_free = max(map(sum, free.values()), default=0)
        self._fragmented = _is_fragmented(ledger, sum(map(sum, free.values())), record.time_us)
        self._update_urgent_waits(ledger, record)

    def end(self, now_us):
        """Ends the measurement; urgent jobs not yet released count as waiting until ``now_us``."""
        self._advance(now_us)
        self.urgent_waits += [(now_us - since_us) / 1e6 for since_us in self._urgent_since.values()]

    def _advance(self, now_us):
        """Adds the time since the last record to the totals, with the state after that record."""
        if self._measured_to_us is None:
            return
        elapsed_us = now_us - self._measured_to_us
        self._measured_to_us = now_us
        self._total_us += elapsed_us
        self._fragmented_us += elapsed_us * self._fragmented
        self._largest_free_us += elapsed_us * self._largest_free

    def _update_urgent_waits(self, ledger, record):
        """Ends the waits of released jobs and starts those of newly covered jobs."""
        for event in record.events:
            if event.HasField("job_placed") and event.job_placed.HasField("reservation"):
                # a job that is placed in the batch in which a free reservation first covers it was
                # never seen waiting: its wait starts at this record
                key = JobKey.from_message(event.job_placed.job)
                self._urgent_since.setdefault(key, record.time_us)
            if event.HasField("job_released"):
                since_us = self._urgent_since.pop(JobKey.from_message(event.job_released.job), None)
                if since_us is not None:
                    self.urgent_waits.append((record.time_us - since_us) / 1e6)
        urgent_since = {}
        for account in ledger.accounts.values():
            matched = _match_urgent_jobs(account, record.time_us)
            placed = [job.key for job in account.active.values() if not job.released]
            for key in matched + [key for key in placed if key in self._urgent_since]:
                urgent_since[key] = self._urgent_since.get(key, record.time_us)
        self._urgent_since = urgent_since


def _match_urgent_jobs(account, now_us):
    """Returns the keys of the waiting jobs that free reservations cover, in queue order."""
    # each free reservation covers at most one waiting job
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


def _free_accelerators_by_rack(ledger):
    """Returns, by rack, the free accelerators of each worker that accepts tasks."""
    racks = {}
    for worker in ledger.workers.values():
        if worker.accepts:
            free = max(0, worker.free.accelerators)
            racks.setdefault(worker.domain(SCOPE_RACK), []).append(free)
    return racks


def _is_fragmented(ledger, free_accelerators, now_us):
    """Returns True if a waiting gang would fit by count but fits in no domain of its scope."""
    shapes = set()
    for account in ledger.accounts.values():
        free_burst = account.contract.burst_accelerators - account.burst_accelerators
        for job in account.queued.values():
            # a job that would exceed its account's burst limit is not counted: it waits for that
            # limit, not for free workers in one domain
            if job.shape.members > 1 and job.not_before_us <= now_us:
                if job.shape.accelerators <= min(free_burst, free_accelerators):
                    shapes.add(job.shape)
    return any(not _fits_in_one_domain(ledger, shape) for shape in shapes)


def _fits_in_one_domain(ledger, shape):
    """Returns True if the free capacity of some domain fits all members of ``shape``."""
    slots_by_domain = {}
    for worker in ledger.workers.values():
        if worker.accepts:
            domain = worker.domain(shape.scope)
            slots_by_domain[domain] = slots_by_domain.get(domain, 0) + shape.member.times_within(
                worker.free
            )
    return max(slots_by_domain.values(), default=0) >= shape.members


def _ended_jobs(jobs, records):
    """Sets release, end and outcome of jobs from the records; returns the jobs that ended."""
    jobs_by_key = {job.key: job for job in jobs}
    for record in records:
        for event in record.events:
            kind = event.WhichOneof("kind")
            if kind == "job_released":
                job = jobs_by_key[JobKey.from_message(event.job_released.job)]
                job.released_us = job.released_us or record.time_us
            elif kind == "job_ended":
                job = jobs_by_key[JobKey.from_message(event.job_ended.job)]
                job.ended_us = record.time_us
                job.outcome = event.job_ended.outcome
    return [job for job in jobs_by_key.values() if job.ended_us is not None]


def _is_short(job):
    """Returns True if run time and accelerators of the job are within the limits of short jobs."""
    return (
        job.run_seconds <= SHORT_JOB_MAX_SECONDS and job.accelerators <= SHORT_JOB_MAX_ACCELERATORS
    )


def _peak_service(jobs, ended_jobs, ledger):
    """Returns the share of the jobs submitted at a peak that start in time, or None."""
    capacity = sum(worker.capacity.accelerators for worker in ledger.workers.values())
    peaks = peak_times(jobs, capacity)
    at_peak = [
        job
        for job in jobs
        if job.completes and any(start <= job.at_us < end for start, end in peaks)
    ]
    if not at_peak:
        return None
    served = [
        job for job in at_peak if job.released_us and job.wait_seconds <= PEAK_WAIT_MAX_SECONDS
    ]
    return len(served) / len(at_peak)
