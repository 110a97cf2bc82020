"""Random faults on a ``Deployment`` in virtual time; run manually over many seeds:

python -m tests.platform.fault_scenario FIRST COUNT
"""

import logging
import random
import sys

import trio

from tests.platform.deployment import QUEUE_PATH, Deployment, job, run_virtual, step

__all__ = ["FAULT_SECONDS", "FaultScenario", "run_scenario", "run_seeds"]

FAULT_SECONDS = 25.0
# maximum time from the last fault to the end of the last accepted job
COMPLETION_TIMEOUT_SECONDS = 60.0
# stands for the status of a call that got no response; callers retry such a call
NO_RESPONSE = 0


class FaultScenario:
    """Submits jobs and injects faults; collects violated guarantees in ``violations``."""

    def __init__(self, seed):
        self.seed = seed
        self.random = random.Random(seed)
        self.violations = []
        self.expected_states = {}
        self.refused_statuses = {}
        # the jobs that were cancelled, and those of them whose cancellation was acknowledged
        self.cancelled_ids = set()
        self.acknowledged_ids = set()

    async def run(self):
        async with Deployment(entries=3, workers=4, seed=self.seed) as deployment:
            self._deployment = deployment
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._submit_jobs)
                nursery.start_soon(self._inject_faults, nursery)
                await trio.sleep(FAULT_SECONDS + 6)
                nursery.cancel_scope.cancel()
            self._clear_faults()
            await self._wait_for_jobs()
            self.violations.extend(deployment.fleet.violations)
            self._check_refused_jobs()
        return self.violations

    async def _submit_jobs(self):
        """Submits random jobs, on average 1.5 a second, until ``FAULT_SECONDS``."""
        number = 0
        async with trio.open_nursery() as nursery:
            while trio.current_time() < FAULT_SECONDS:
                await trio.sleep(self.random.expovariate(1.5))
                job_id = f"{self.random.randrange(16):x}{number:015x}"
                number += 1
                nursery.start_soon(self._submit_job, job_id)

    async def _submit_job(self, job_id):
        """Submits a job up to four times; cancels one accepted job in ten."""
        document, final_state = self._random_job()
        for _ in range(4):
            entry = self._random_entry()
            if entry is None:
                await trio.sleep(0.3)
                continue
            statuses = self.refused_statuses.setdefault(job_id, [])
            # unknown if the scenario ends before the response
            statuses.append(NO_RESPONSE)
            statuses[-1], _ = await entry.call("POST", QUEUE_PATH + job_id, document)
            if statuses[-1] == 200:
                self.expected_states[job_id] = final_state
                if self.random.random() < 0.1:
                    await self._cancel_job(job_id)
                return
            await trio.sleep(0.3)

    async def _cancel_job(self, job_id):
        """Cancels a job within 2 s, through a random entry."""
        await trio.sleep(self.random.uniform(0, 2))
        entry = self._random_entry()
        if entry is not None:
            # a cancellation without a response may have taken effect
            self.cancelled_ids.add(job_id)
            status, _ = await entry.call("DELETE", QUEUE_PATH + job_id)
            if status == 200:
                self.acknowledged_ids.add(job_id)

    def _random_job(self):
        """Returns (body of a submission, expected final state of the job)."""
        rng = self.random
        ms = rng.choice([100, 400, 1500])
        task_count = rng.randint(1, 4)
        if rng.random() < 0.4:
            same_rack = {"sameRack": True} if rng.random() < 0.5 and task_count <= 2 else {}
            gang = step(task_count, rng.choice([1, 4, 8]), gang=True, **same_rack)
            return job(gang, ms=ms, gang=task_count), "completed"
        steps = [step(task_count, rng.choice([1, 2, 8]))]
        if rng.random() < 0.3:
            steps.append(step(1, 1, after=[0]))
        if rng.random() < 0.1:
            return job(*steps, ms=ms, fail=9), "failed"
        if rng.random() < 0.05:
            return job(*steps, ms=ms, crash=True), "failed"
        return job(*steps, ms=ms), "completed"

    async def _inject_faults(self, nursery):
        """Starts random faults, each with a duration in seconds; instantaneous faults ignore it."""
        faults = [
            self._kill_entry,
            self._pause_entry,
            self._deny_store_access,
            self._partition_entry,
            *self._store_and_worker_faults(),
            self._kill_all_entries,
        ]
        while trio.current_time() < FAULT_SECONDS:
            await trio.sleep(self.random.uniform(0.3, 3))
            nursery.start_soon(self.random.choice(faults), self.random.uniform(0.3, 5))

    def _store_and_worker_faults(self):
        """Returns the faults of store and workers, which the soak test of processes uses too."""
        return (
            self._stop_store,
            self._slow_store,
            self._disturb_store_writes,
            self._silence_worker,
            self._restart_worker,
            self._delay_orders,
            self._compact_store,
        )

    async def _kill_entry(self, duration_seconds):
        """Kills the leader or a random entry and restarts it after at most 2 s."""
        entry = self._random_entry()
        if entry is None:
            return
        if self.random.random() < 0.5:
            entry = self._deployment.leader() or entry
        await self._restart_entries([entry.name], min(duration_seconds, 2))

    async def _kill_all_entries(self, duration_seconds):
        """Kills all entries and restarts them after at most 2 s."""
        await self._restart_entries(list(self._deployment.entries), min(duration_seconds, 2))

    async def _restart_entries(self, names, downtime_seconds):
        """Kills entries and restarts them after ``downtime_seconds``."""
        for name in names:
            if name in self._deployment.network._paused:
                self._deployment.network.resume(name)
            self._deployment.kill_entry(name)
        await trio.sleep(downtime_seconds)
        for name in names:
            if name not in self._deployment.entries:
                self._deployment.start_entry(name)

    async def _pause_entry(self, duration_seconds):
        """Pauses the leader, or a random entry if none leads, for the duration."""
        entry = self._deployment.leader() or self._random_entry()
        network = self._deployment.network
        if entry is None or entry.name in network._paused:
            return
        network.pause(entry.name)
        await trio.sleep(duration_seconds)
        if entry.name in network._paused:
            network.resume(entry.name)

    async def _deny_store_access(self, duration_seconds):
        """Lets the store refuse, or not answer, the requests of one entry for the duration."""
        entry = self._random_entry()
        if entry is None:
            return
        store = self._deployment.store
        callers = self.random.choice([store.refused_callers, store.unanswered_callers])
        callers.add(entry.name)
        await trio.sleep(duration_seconds)
        callers.discard(entry.name)

    async def _partition_entry(self, duration_seconds):
        """Disconnects one entry from some or all other nodes for the duration."""
        entry = self._random_entry()
        if entry is None:
            return
        network = self._deployment.network
        other_nodes = [name for name in network.handlers if name != entry.name]
        unreachable = self.random.sample(other_nodes, self.random.randint(1, len(other_nodes)))
        network.partition([entry.name], unreachable)
        await trio.sleep(duration_seconds)
        network.heal()

    async def _stop_store(self, duration_seconds):
        """Lets the store refuse all requests for the duration, but at most 4.5 s."""
        self._deployment.store.down = True
        await trio.sleep(min(duration_seconds, 4.5))
        self._deployment.store.down = False

    async def _slow_store(self, duration_seconds):
        """Delays each request to the store by 0.3 s, for the duration."""
        self._deployment.store.delay = 0.3
        await trio.sleep(duration_seconds)
        self._deployment.store.delay = 0.0

    async def _disturb_store_writes(self, duration_seconds):
        """Loses the responses of 30% of the writes, or delays those writes, for the duration."""
        store = self._deployment.store
        store.drop_answer_rate, store.late_rate = self.random.choice([(0.3, 0.0), (0.0, 0.3)])
        await trio.sleep(duration_seconds)
        store.drop_answer_rate = store.late_rate = 0.0

    async def _silence_worker(self, duration_seconds):
        """Leaves all requests to one worker unanswered, for twice the duration."""
        worker = self._random_worker()
        if worker is None:
            return
        worker.unresponsive = True
        await trio.sleep(duration_seconds * 2)
        worker.unresponsive = False

    async def _restart_worker(self, duration_seconds):
        """Restarts one worker, which registers after the duration, but within 1 s."""
        worker = self._random_worker()
        if worker is None:
            return
        worker.restart()
        await trio.sleep(min(duration_seconds, 1))
        if worker.id in self._deployment.fleet.workers:
            self._deployment.register(worker.id)

    async def _delay_orders(self, duration_seconds):
        """Delays 40% of the start orders to one worker by 1 to 6 s, for the duration."""
        worker = self._random_worker()
        if worker is None:
            return
        worker.late_rate, worker.late_seconds = 0.4, self.random.uniform(1, 6)
        await trio.sleep(duration_seconds)
        worker.late_rate = 0.0

    async def _compact_store(self, duration_seconds):
        """Discards the store's history of changes."""
        self._deployment.store.compact()

    def _random_entry(self):
        """Returns a random entry, or None if there is none."""
        entries = list(self._deployment.entries.values())
        return self.random.choice(entries) if entries else None

    def _random_worker(self):
        """Returns a random worker, or None if all have crashed."""
        workers = list(self._deployment.fleet.workers.values())
        return self.random.choice(workers) if workers else None

    def _clear_faults(self):
        """Ends all faults and restarts the missing entries."""
        deployment = self._deployment
        for name in list(deployment.network._paused):
            deployment.network.resume(name)
        deployment.network.heal()
        store = deployment.store
        store.refused_callers.clear()
        store.unanswered_callers.clear()
        store.down, store.delay, store.drop_answer_rate, store.late_rate = False, 0.0, 0.0, 0.0
        for worker in deployment.fleet.workers.values():
            worker.unresponsive, worker.late_rate = False, 0.0
            deployment.register(worker.id)
        for number in range(3):
            if f"e{number}" not in deployment.entries:
                deployment.start_entry(f"e{number}")

    async def _wait_for_jobs(self):
        """Waits up to 60 s for the end of all accepted jobs and checks their final states."""
        pending = dict(self.expected_states)
        with trio.move_on_after(COMPLETION_TIMEOUT_SECONDS):
            while pending:
                for job_id, expected in list(pending.items()):
                    status, body = await self._random_entry().call("GET", QUEUE_PATH + job_id)
                    state = body.get("state")
                    if state == "completed" == expected or state in ("failed", "cancelled"):
                        self._check_final_state(job_id, state, expected)
                        del pending[job_id]
                    elif status not in (NO_RESPONSE, 200, 503, 504):
                        self.violations.append(f"the status request for {job_id} returned {status}")
                        del pending[job_id]
                await trio.sleep(0.2)
        for job_id in pending:
            self.violations.append(f"{job_id} has not ended")

    def _check_final_state(self, job_id, state, expected):
        """Adds a violation unless a job ended as expected or was cancelled by the scenario.

        A job may fail once two workers have crashed under one of its tasks, as the platform allows.
        """
        if state == "cancelled" and job_id in self.cancelled_ids:
            return
        crashes = self._deployment.fleet.crashes
        if state == "failed" and any(
            count >= 2 for task, count in crashes.items() if task.startswith(job_id)
        ):
            return
        if state != expected:
            self.violations.append(f"{job_id} is {state}, not {expected}")

    def _check_refused_jobs(self):
        """Checks that no task ran of a job whose submissions all returned 503."""
        started = {task.partition(".")[0] for task in self._deployment.fleet.starts}
        for job_id, statuses in self.refused_statuses.items():
            if job_id not in self.expected_states and set(statuses) == {503} and job_id in started:
                self.violations.append(f"{job_id} was refused but has run")


def run_scenario(seed):
    """Returns the violations of one scenario in virtual time."""
    scenario = FaultScenario(seed)
    run_virtual(scenario.run, seed)
    return scenario.violations


def run_seeds(run):
    """Prints the violations that ``run`` returns for each of the seeds of the command line."""
    logging.disable(logging.CRITICAL)
    first, count = map(int, sys.argv[1:3])
    failed = 0
    for seed in range(first, first + count):
        violations = run(seed)
        if violations:
            failed += 1
            print(f"seed {seed}: {len(violations)}: {violations[:4]}", flush=True)
    print(f"{count} scenarios, {failed} with violations")


if __name__ == "__main__":
    run_seeds(run_scenario)
