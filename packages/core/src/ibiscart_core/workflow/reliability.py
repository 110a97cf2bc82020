"""
ibiscart_core.workflow.reliability
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Estimates from the ends of recent runs whether a worker is faulty.
"""

__all__ = ["Reliability"]

# log-likelihood ratios of a worker that fails 40 % of its runs against one that fails 3.4 %, the
# share on a quiet day: ln(0.4 / 0.034) for a failed run, -ln(0.6 / 0.966) for a successful one
FAILURE_WEIGHT = 2.5
SUCCESS_WEIGHT = 0.5
# time in which the log-odds of a fault halve; periods in which a worker fails runs last about 6 s
HALF_LIFE_SECONDS = 5.0
# log-odds of a fault from which a worker is suspect; a single failure keeps it so for 3.7 s
SUSPECT_EVIDENCE = 1.5
# log-odds of a fault from which a worker is ejected; two failures within 3.7 s reach it
EJECTION_EVIDENCE = 4.0
# upper limit of the log-odds, so that a worker is ejected for at most 8 s after its last failure
MAX_EVIDENCE = 12.0


class Reliability:
    """Log-odds that one worker is faulty; times are in seconds of the monotonic clock."""

    __slots__ = ("_evidence", "_updated_at")

    def __init__(self):
        self._evidence = 0.0
        self._updated_at = 0.0

    def evidence(self, now):
        """Returns the log-odds that the worker is faulty, relative to an average worker."""
        if not self._evidence:
            return 0.0
        return self._evidence * 0.5 ** (max(0.0, now - self._updated_at) / HALF_LIFE_SECONDS)

    def is_suspect(self, now):
        """Returns True if the worker is avoided while other workers suffice."""
        return self.evidence(now) >= SUSPECT_EVIDENCE

    def is_ejected(self, now):
        """Returns True if the worker gets no new work."""
        return self.evidence(now) >= EJECTION_EVIDENCE

    def record_failure(self, now):
        """Adds a failed run to the evidence."""
        self._set_evidence(min(MAX_EVIDENCE, self.evidence(now) + FAILURE_WEIGHT), now)

    def record_success(self, now):
        """Subtracts a successful run from the evidence."""
        self._set_evidence(max(0.0, self.evidence(now) - SUCCESS_WEIGHT), now)

    def _set_evidence(self, evidence, now):
        """Replaces the log-odds by ``evidence``, which decays from ``now`` on."""
        self._evidence = evidence
        self._updated_at = now
