"""
ibiscart_core.workflow.suspension
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Jobs that are left out of a repeated operation for some time because it failed for them.
"""

__all__ = ["Suspensions"]

# time without a new attempt after the first error of a job; doubled after each further one
FIRST_PAUSE_SECONDS = 1.0
# longest time without a new attempt
MAX_PAUSE_SECONDS = 60.0


class Suspensions:
    """Suspends each job for a time that grows with its consecutive errors.

    Times are in seconds of the monotonic clock.
    """

    def __init__(self):
        self._by_job_id = {}

    def __bool__(self):
        return bool(self._by_job_id)

    def suspend(self, job_id, now):
        """Suspends a job after an error; returns the length of the suspension in seconds."""
        until, seconds = self._by_job_id.get(job_id, (now, 0.0))
        if now - until >= MAX_PAUSE_SECONDS:
            seconds = 0.0
        seconds = min(max(2 * seconds, FIRST_PAUSE_SECONDS), MAX_PAUSE_SECONDS)
        self._by_job_id[job_id] = (now + seconds, seconds)
        return seconds

    def suspended(self, job_id, now):
        """Returns True while a job is suspended."""
        until, _ = self._by_job_id.get(job_id, (now, 0.0))
        return now < until

    def discard(self, job_id):
        """Forgets a job and its errors."""
        self._by_job_id.pop(job_id, None)
