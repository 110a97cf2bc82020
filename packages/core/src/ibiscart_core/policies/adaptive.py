"""
ibiscart_core.policies.adaptive
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Guaranteed claims first, then burst work by weighted fair share with ageing and backfill.
"""

from ibiscart_core.policies.burst import BurstPass
from ibiscart_core.policies.claim import claim_guarantees
from ibiscart_core.policies.explanation import explain_job
from ibiscart_core.policies.view import View
from ibiscart_core.policy import Policy

__all__ = ["AdaptivePolicy"]


class AdaptivePolicy(Policy):
    """The policy of section 6.3 of the design.

    Keeps a ``View`` of the ledger that it last saw, which only saves time.
    """

    name = "adaptive"

    def __init__(self):
        self._view = None

    def schedule(self, batch):
        """Places guaranteed claims, then burst work."""
        if self._view is None or self._view.ledger is not batch.ledger:
            self._view = View(batch.ledger)
        self._view.sync()
        claim_guarantees(batch, self._view)
        BurstPass(batch, self._view).run()

    def explain(self, ledger, job, now_us):
        """Returns lines with the figures that keep a queued job from being placed."""
        return explain_job(View(ledger, watch=False), job, now_us)
