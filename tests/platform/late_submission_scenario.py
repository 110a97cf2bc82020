"""Submissions that are under way while their jobs are cancelled, beside random faults.

Run manually over many seeds: python -m tests.platform.late_submission_scenario FIRST COUNT
"""

import trio

from tests.platform.deployment import run_virtual
from tests.platform.fault_scenario import FaultScenario, run_seeds
from tests.platform.impatient_callers import ImpatientCallers

__all__ = ["run_scenario"]

# time after the faults in which the store performs late writes and the last runs are stopped
SETTLE_SECONDS = 15.0


class LateSubmissionScenario(FaultScenario):
    """A ``FaultScenario`` whose callers cancel all jobs, most of them before any answer."""

    def __init__(self, seed):
        super().__init__(seed)
        self.callers = ImpatientCallers(self.random, self._random_entry)

    async def _submit_job(self, job_id):
        """Submits a random job and cancels it."""
        document, _ = self._random_job()
        await self.callers.submit_and_cancel(job_id, document)

    async def _wait_for_jobs(self):
        """Waits until the faults have no more effect, and checks the cancelled jobs."""
        await trio.sleep(SETTLE_SECONDS)
        self.violations += await self.callers.find_violations(self._deployment.fleet)


def run_scenario(seed):
    """Returns the ``LateSubmissionScenario`` of a seed after its run in virtual time."""
    scenario = LateSubmissionScenario(seed)
    run_virtual(scenario.run, seed)
    return scenario


if __name__ == "__main__":
    run_seeds(lambda seed: run_scenario(seed).violations)
