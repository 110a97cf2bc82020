"""Callers who leave without an answer and cancel what they sent, for scenarios of random faults."""

import trio

from tests.platform.deployment import QUEUE_PATH

__all__ = ["ImpatientCallers"]

ACCEPTED, UNKNOWN_JOB, REJECTED = 200, 410, 429
# longest time for which a submission is on its way to the entry that reads it
MAX_DELAY_SECONDS = 6.0
# longest time before the cancellation
MAX_PATIENCE_SECONDS = 1.0
RETRY_SECONDS = 0.3


class ImpatientCallers:
    """Submits jobs late and repeatedly, and cancels each until that is acknowledged.

    ``random_entry`` returns an entry or None.
    """

    def __init__(self, rng, random_entry):
        self._random = rng
        self._random_entry = random_entry
        # statuses of the submissions, and of the acknowledged cancellation, by job id
        self._submissions = {}
        self._acknowledgements = {}

    @property
    def acknowledged_statuses(self):
        """The different statuses of the acknowledged cancellations."""
        return set(self._acknowledgements.values())

    async def submit_and_cancel(self, job_id, document):
        """Submits a job up to three times, each after a delay, and cancels it meanwhile."""
        self._submissions[job_id] = []
        async with trio.open_nursery() as nursery:
            for _ in range(self._random.randint(1, 3)):
                delay_seconds = self._random.choice(
                    [0.0, self._random.uniform(0, MAX_DELAY_SECONDS)]
                )
                nursery.start_soon(self._submit, job_id, document, delay_seconds)
            await trio.sleep(
                self._random.choice([0.01, MAX_PATIENCE_SECONDS]) * self._random.random()
            )
            await self._cancel(job_id)

    async def _submit(self, job_id, document, delay_seconds):
        """Submits a job once, after a delay."""
        await trio.sleep(delay_seconds)
        entry = self._random_entry()
        if entry is not None:
            status, _ = await entry.call("POST", QUEUE_PATH + job_id, document)
            self._submissions[job_id].append(status)

    async def _cancel(self, job_id):
        """Cancels a job until that is acknowledged."""
        while job_id not in self._acknowledgements:
            entry = self._random_entry()
            status = 0
            if entry is not None:
                status, _ = await entry.call("DELETE", QUEUE_PATH + job_id)
            if status in (ACCEPTED, UNKNOWN_JOB):
                self._acknowledgements[job_id] = status
            else:
                await trio.sleep(RETRY_SECONDS)

    async def find_violations(self, fleet):
        """Returns a text for each answer that is untrue, some seconds after the last fault.

        ``fleet`` is the ``WorkerFleet``.
        """
        started = {task.partition(".")[0] for task in fleet.starts}
        running = {
            task.partition(".")[0] for worker in fleet.workers.values() for task in worker.running
        }
        violations = []
        for job_id, acknowledged in self._acknowledgements.items():
            statuses = self._submissions[job_id]
            text = f"{job_id}, cancelled with {acknowledged}, submitted with {statuses}"
            if job_id in running:
                violations.append(f"{text}, is running")
            if acknowledged == UNKNOWN_JOB and (job_id in started or ACCEPTED in statuses):
                violations.append(f"{text}, was accepted")
            if acknowledged == ACCEPTED and REJECTED in statuses:
                violations.append(f"{text}, was rejected")
            status, body = await self._random_entry().call("GET", QUEUE_PATH + job_id)
            if status != acknowledged or body.get("state") in ("queued", "running"):
                violations.append(f"{text}, is shown as {status} {body}")
        return violations
