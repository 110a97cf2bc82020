"""
ibiscart_core.health
~~~~~~~~~~~~~~~~~~~~

Rule that tells a bad worker from a bad job.
"""

from ibiscart_core.job import JobKey

__all__ = ["quarantine_seconds", "should_quarantine"]

FAILURES_NEEDED = 3
GROUPS_NEEDED = 2
WINDOW_US = 600 * 1_000_000
FIRST_QUARANTINE_SECONDS = 60
LONGEST_QUARANTINE_SECONDS = 1800


def should_quarantine(worker, jobs, now_us):
    """Tells whether the failures on ``worker`` speak against the worker.

    ``jobs`` maps job keys to jobs. A job that failed on another worker too speaks against
    itself and is not counted. A worker on probation is quarantined at its next failure.
    """
    recent = [f for f in worker.failures if f.time_us >= now_us - WINDOW_US]
    counted = {}
    for failure in recent:
        key = JobKey.from_message(failure.job)
        job = jobs.get(key)
        elsewhere = job is not None and any(w != worker.id for w in job.failed_workers)
        if not elsewhere:
            counted[key] = (failure.job.account, failure.kind)
    if worker.quarantines:
        return bool(counted)
    return len(counted) >= FAILURES_NEEDED and len(set(counted.values())) >= GROUPS_NEEDED


def quarantine_seconds(quarantines):
    """Returns the length in seconds of the next quarantine after ``quarantines`` earlier ones."""
    return min(FIRST_QUARANTINE_SECONDS * 2**quarantines, LONGEST_QUARANTINE_SECONDS)
