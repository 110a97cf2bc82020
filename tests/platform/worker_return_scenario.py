"""Workers that leave the directory and come back, beside changes of the leader; run manually:

python -m tests.platform.worker_return_scenario FIRST COUNT
"""

import trio

from tests.platform.deployment import QUEUE_PATH, Deployment, job, run_virtual, step
from tests.platform.fault_scenario import FAULT_SECONDS, FaultScenario, run_seeds

__all__ = ["run_scenario"]

LASTING = "lasting"
KINDS = ("a", "b")
# longest time from the last fault until each lasting task is at work: the leases that a new leader
# assumes, the hold of a task with four uncertain losses, and the time that the platform allows
RESTART_SECONDS = 12.2 + 30 + 6
# time from the last fault, or a cancellation, after which no task of a cancelled job runs
STOP_SECONDS = 5.0


class WorkerReturnScenario(FaultScenario):
    """Checks that jobs run where they may, that cancelled ones end, and that no room is kept."""

    async def run(self):
        """Returns the violated guarantees."""
        async with Deployment(entries=3, workers=6, seed=self.seed) as deployment:
            self._deployment = deployment
            for number, worker in enumerate(deployment.fleet.workers.values()):
                worker.kind = KINDS[number % 2]
                deployment.register(worker.id)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._submit_jobs)
                nursery.start_soon(self._inject_faults, nursery)
                await trio.sleep(FAULT_SECONDS + 12)
                nursery.cancel_scope.cancel()
            # both kinds have to be there
            for kind, name in zip(KINDS, ("w0", "w1"), strict=True):
                await self._restart(deployment.fleet.workers[name], kind)
            self._clear_faults()
            await trio.sleep(STOP_SECONDS)
            self._check_stopped(self.acknowledged_ids)
            lasting = {j for j, state in self.expected_states.items() if state == LASTING}
            for job_id in lasting:
                del self.expected_states[job_id]
            await self._wait_for_jobs()
            await self._check_lasting(lasting - self.cancelled_ids)
            for job_id in lasting:
                await self._random_entry().call("DELETE", QUEUE_PATH + job_id)
            await trio.sleep(STOP_SECONDS)
            self._check_stopped(lasting)
            self._check_room()
            self.violations.extend(deployment.fleet.violations)
        return self.violations

    def _random_job(self):
        """Returns (body of a submission, expected final state of the job)."""
        rng = self.random
        kind = rng.choice(KINDS)
        size = rng.randint(1, 2)
        if rng.random() < 0.25:
            fields = {"longRunning": True, "requires": kind}
            # needs no accelerator, so that these tasks leave room to the others
            return job(step(1, 0, **fields), ms=600_000, kind=kind), LASTING
        if rng.random() < 0.5:
            gang = step(size, rng.choice([1, 4]), gang=True, requires=kind)
            return job(gang, ms=rng.choice([400, 4000]), gang=size, kind=kind), "completed"
        tasks = step(size, rng.choice([1, 4]), requires=kind)
        return job(tasks, ms=rng.choice([100, 1500]), kind=kind), "completed"

    async def _inject_faults(self, nursery):
        """Starts random faults, each with a duration in seconds."""
        faults = [
            self._kill_entry,
            self._kill_entry,
            self._pause_entry,
            self._silence_worker,
            self._compact_store,
            self._lose_registration,
            self._lose_registration,
            self._return_as_another_kind,
        ]
        while trio.current_time() < FAULT_SECONDS:
            await trio.sleep(self.random.uniform(0.3, 2))
            nursery.start_soon(self.random.choice(faults), self.random.uniform(0.3, 5))

    async def _lose_registration(self, duration_seconds):
        """Removes a worker's registration for twice the duration; it may restart meanwhile."""
        worker = self._random_worker()
        self._deployment.store.delete("servers", worker.id)
        await trio.sleep(duration_seconds)
        if self.random.random() < 0.4:
            await self._restart(worker, worker.kind)
        await trio.sleep(duration_seconds)
        self._deployment.register(worker.id)

    async def _return_as_another_kind(self, duration_seconds):
        """Restarts a worker as one of a random kind, which registers within 3 s."""
        worker = self._random_worker()
        await self._restart(worker, self.random.choice(KINDS))
        await trio.sleep(min(duration_seconds, 3))
        self._deployment.register(worker.id)

    async def _restart(self, worker, kind):
        """Restarts a worker as one of a kind; its connections end with its process.

        The next process answers 0.2 to 2 s later. Does nothing while the worker restarts.
        """
        network, address = self._deployment.network, f"{worker.id}:80"
        handler = network.handlers.pop(address, None)
        if handler is None:
            return
        worker.kind = kind
        worker.restart()
        network.reset_connections(address)
        try:
            await trio.sleep(self.random.uniform(0.2, 2))
        finally:
            network.handlers[address] = handler

    def _running(self, job_id):
        """Returns the tasks of a job that run."""
        workers = self._deployment.fleet.workers.values()
        return [task for worker in workers for task in worker.running if task.startswith(job_id)]

    def _check_stopped(self, job_ids):
        """Adds a violation for each task of these cancelled jobs that still runs."""
        for job_id in sorted(job_ids):
            self.violations.extend(f"{task} runs, cancelled" for task in self._running(job_id))

    async def _check_lasting(self, job_ids):
        """Waits until each of these lasting tasks is at work, unless it crashed two workers."""
        waiting = set(job_ids)
        with trio.move_on_after(RESTART_SECONDS):
            while waiting:
                waiting = {job_id for job_id in waiting if not self._running(job_id)}
                await trio.sleep(0.2)
        crashes = self._deployment.fleet.crashes
        self.violations.extend(
            f"{job_id} is not at work"
            for job_id in sorted(waiting)
            if crashes.get(f"{job_id}.0.0.0", 0) < 2
        )

    def _check_room(self):
        """Adds a violation for each run for which the leader still keeps room."""
        engine = self._deployment.leader().leader.coordinator._engine
        for worker in engine.fleet.workers.values():
            self.violations.extend(f"{key} keeps its room" for key in worker.units_by_run)


def run_scenario(seed):
    """Returns the violations of one scenario in virtual time."""
    scenario = WorkerReturnScenario(seed)
    run_virtual(scenario.run, seed)
    return scenario.violations


if __name__ == "__main__":
    run_seeds(run_scenario)
