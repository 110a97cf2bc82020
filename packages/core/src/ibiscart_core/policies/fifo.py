"""
ibiscart_core.policies.fifo
~~~~~~~~~~~~~~~~~~~~~~~~~~~

Baseline policy: first come, first served, with first-fit placement and no preemption.
"""

from ibiscart_core.policy import Policy

__all__ = ["FifoPolicy"]


class FifoPolicy(Policy):
    """Places jobs in the order of submission up to the first one that does not fit."""

    name = "fifo"

    def schedule(self, batch):
        """Places queued jobs, skipping those in backoff, until one does not fit."""
        ledger = batch.ledger
        queue = [job for account in ledger.accounts.values() for job in account.queued.values()]
        queue.sort(key=lambda job: (job.submitted_us, job.key.sort_key()))
        for job in queue:
            if job.not_before_us > batch.now_us:
                continue
            workers = self._first_fit(ledger, job.shape)
            if workers is None:
                return
            batch.emit(
                job_placed={
                    "job": job.key.to_message(),
                    "attempt": job.attempt,
                    "workers": workers,
                    "reason": "first_fit",
                }
            )

    def _first_fit(self, ledger, shape):
        """Returns one worker id per member in the first domain that fits, or None."""
        domains = {}
        for worker in ledger.workers.values():
            if worker.accepts:
                chosen = domains.setdefault(worker.domain(shape.scope), [])
                fits = shape.member.times_within(worker.free)
                chosen.extend([worker.id] * min(fits, shape.members - len(chosen)))
                if len(chosen) == shape.members:
                    return chosen
        return None
