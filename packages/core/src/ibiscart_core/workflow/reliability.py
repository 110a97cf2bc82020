"""
ibiscart_core.workflow.reliability
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

How far a worker can be trusted, from the ends of its recent runs.
"""

__all__ = ["Reliability"]

# weights of the evidence that a worker fails 40 % of its runs against the 3.4 % that fail on a
# quiet day: ln(0.4 / 0.034) for a failed run, ln(0.6 / 0.966) for one that ended well
FAILURE_WEIGHT = 2.5
SUCCESS_WEIGHT = 0.5
# the evidence halves in this time; periods in which a worker fails last some 6 s
HALF_LIFE_SECONDS = 5.0
# reached by a single failure for 3.7 s
DOUBTFUL_EVIDENCE = 1.5
# reached by two failures within 3 s
UNUSABLE_EVIDENCE = 4.0
# bounds the time for which a worker is unusable to 8 s
LARGEST_EVIDENCE = 12.0


class Reliability:
    """Evidence against one worker; times are in monotonic seconds."""

    __slots__ = ("_evidence", "_noted_at")

    def __init__(self):
        self._evidence = 0.0
        self._noted_at = 0.0

    def evidence(self, now):
        """Logarithm of the odds that the worker is faulty, beyond those of any worker."""
        if not self._evidence:
            return 0.0
        return self._evidence * 0.5 ** (max(0.0, now - self._noted_at) / HALF_LIFE_SECONDS)

    def doubtful(self, now):
        """Whether other workers are preferred."""
        return self.evidence(now) >= DOUBTFUL_EVIDENCE

    def unusable(self, now):
        """Whether the worker takes no new work."""
        return self.evidence(now) >= UNUSABLE_EVIDENCE

    def record_failure(self, now):
        """Takes a failed run into account."""
        self._note(min(LARGEST_EVIDENCE, self.evidence(now) + FAILURE_WEIGHT), now)

    def record_success(self, now):
        """Takes a run that ended well into account."""
        self._note(max(0.0, self.evidence(now) - SUCCESS_WEIGHT), now)

    def _note(self, evidence, now):
        self._evidence = evidence
        self._noted_at = now
