"""
ibiscart_core.health
~~~~~~~~~~~~~~~~~~~~

Rule that distinguishes a faulty worker from a faulty job.
"""

from ibiscart_core.job import JobKey

__all__ = ["quarantine_seconds", "should_quarantine"]

MIN_FAILED_JOBS = 3
MIN_JOB_KINDS = 2
FAILURE_WINDOW_US = 600 * 1_000_000
INITIAL_QUARANTINE_SECONDS = 60
MAX_QUARANTINE_SECONDS = 1800


def should_quarantine(worker, jobs, now_us):
    """Returns True if the failures on ``worker`` indicate that the worker is faulty.

    ``jobs`` maps job keys to jobs. A job that also failed on another worker is considered
    faulty itself and is not counted. A worker that was quarantined before and has not completed
    a task since is quarantined again after one counted failure.
    """
    recent = [f for f in worker.failures if f.time_us >= now_us - FAILURE_WINDOW_US]
    kinds_by_job = {}
    for failure in recent:
        key = JobKey.from_message(failure.job)
        job = jobs.get(key)
        failed_elsewhere = job is not None and any(w != worker.id for w in job.failed_workers)
        if not failed_elsewhere:
            kinds_by_job[key] = (failure.job.account, failure.kind)
    if worker.quarantines:
        return bool(kinds_by_job)
    return len(kinds_by_job) >= MIN_FAILED_JOBS and len(set(kinds_by_job.values())) >= MIN_JOB_KINDS


def quarantine_seconds(quarantines):
    """Returns the length in seconds of a quarantine that follows ``quarantines`` earlier ones."""
    return min(INITIAL_QUARANTINE_SECONDS * 2**quarantines, MAX_QUARANTINE_SECONDS)
