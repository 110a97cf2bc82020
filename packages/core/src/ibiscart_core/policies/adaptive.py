"""
ibiscart_core.policies.adaptive
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Places guaranteed jobs first, then burst jobs by weighted fair share, ageing and backfill.
"""

from ibiscart_core.policies.burst import BurstPass
from ibiscart_core.policies.claim import claim_guarantees
from ibiscart_core.policies.explanation import explain_job
from ibiscart_core.policies.view import LedgerIndex
from ibiscart_core.policy import Policy

__all__ = ["AdaptivePolicy"]


class AdaptivePolicy(Policy):
    """Implements the policy of section 6.3 of the design.

    Caches the ``LedgerIndex`` of the last ledger.
    """

    name = "adaptive"

    def __init__(self):
        self._index = None

    def schedule(self, batch):
        """Places jobs that claim a guarantee, then burst jobs."""
        if self._index is None or self._index.ledger is not batch.ledger:
            self._index = LedgerIndex(batch.ledger)
        self._index.sync()
        claim_guarantees(batch, self._index)
        BurstPass(batch, self._index).run()

    def explain(self, ledger, job, now_us):
        """Returns lines that state, with figures, why a queued job is not placed."""
        return explain_job(LedgerIndex(ledger, watch=False), job, now_us)
