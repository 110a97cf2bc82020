"""A day with random faults on a ``Deployment``; run by hand over many seeds:

python -m tests.platform.fault_scenario FIRST COUNT
"""

import logging
import random
import sys

import trio

from tests.platform.deployment import PREFIX, Deployment, job, run_virtual, step

__all__ = ["run_scenario"]

DAY_SECONDS = 25.0
# after the last fault every accepted job has to end within this time
FINISH_SECONDS = 60.0
# status of a call without an answer, after which callers ask again
NO_ANSWER = 0


class FaultScenario:
    """Submits jobs and injects faults; collects broken promises in ``violations``."""

    def __init__(self, seed):
        self.seed = seed
        self.random = random.Random(seed)
        self.violations = []
        self.accepted = {}
        self.refused = {}
        self.cancelling = set()

    async def run(self):
        async with Deployment(entries=3, workers=4, seed=self.seed) as deployment:
            self._deployment = deployment
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._submit_jobs)
                nursery.start_soon(self._inject_faults, nursery)
                await trio.sleep(DAY_SECONDS + 6)
                nursery.cancel_scope.cancel()
            self._heal()
            await self._wait_for_jobs()
            self.violations.extend(deployment.fleet.violations)
            self._check_refused_jobs()
        return self.violations

    async def _submit_jobs(self):
        number = 0
        async with trio.open_nursery() as nursery:
            while trio.current_time() < DAY_SECONDS:
                await trio.sleep(self.random.expovariate(1.5))
                job_id = f"{self.random.randrange(16):x}{number:015x}"
                number += 1
                nursery.start_soon(self._submit_job, job_id)

    async def _submit_job(self, job_id):
        document, done = self._job()
        for _ in range(4):
            entry = self._random_entry()
            if entry is None:
                await trio.sleep(0.3)
                continue
            status, _ = await entry.call("POST", PREFIX + job_id, document)
            if status == 200:
                self.accepted[job_id] = done
                if self.random.random() < 0.1:
                    await self._cancel(job_id)
                return
            self.refused.setdefault(job_id, []).append(status)
            await trio.sleep(0.3)

    async def _cancel(self, job_id):
        await trio.sleep(self.random.uniform(0, 2))
        entry = self._random_entry()
        if entry is not None:
            # a cancellation without an answer may have taken effect
            self.cancelling.add(job_id)
            await entry.call("DELETE", PREFIX + job_id)

    def _job(self):
        rng = self.random
        ms = rng.choice([100, 400, 1500])
        tasks = rng.randint(1, 4)
        if rng.random() < 0.4:
            same_rack = {"sameRack": True} if rng.random() < 0.5 and tasks <= 2 else {}
            gang = step(tasks, rng.choice([1, 4, 8]), gang=True, **same_rack)
            return job(gang, ms=ms, gang=tasks), "completed"
        steps = [step(tasks, rng.choice([1, 2, 8]))]
        if rng.random() < 0.3:
            steps.append(step(1, 1, after=[0]))
        if rng.random() < 0.1:
            return job(*steps, ms=ms, fail=9), "failed"
        return job(*steps, ms=ms), "completed"

    async def _inject_faults(self, nursery):
        kinds = [
            self._kill_entry,
            self._pause_entry,
            self._refuse_entry,
            self._cut_entry,
            *self._store_and_worker_faults(),
            self._kill_all,
        ]
        while trio.current_time() < DAY_SECONDS:
            await trio.sleep(self.random.uniform(0.3, 3))
            nursery.start_soon(self.random.choice(kinds), self.random.uniform(0.3, 5))

    def _store_and_worker_faults(self):
        """Faults of store and workers, which are the same for real processes."""
        return (
            self._store_down,
            self._store_slow,
            self._store_loses,
            self._worker_silent,
            self._worker_restarts,
            self._orders_late,
            self._compact,
        )

    async def _kill_entry(self, seconds):
        entry = self._random_entry()
        if entry is None:
            return
        if self.random.random() < 0.5:
            entry = self._deployment.leader() or entry
        await self._restart([entry.name], min(seconds, 2))

    async def _kill_all(self, seconds):
        await self._restart(list(self._deployment.entries), min(seconds, 2))

    async def _restart(self, names, seconds):
        for name in names:
            if name in self._deployment.network._paused:
                self._deployment.network.resume(name)
            self._deployment.kill_entry(name)
        await trio.sleep(seconds)
        for name in names:
            if name not in self._deployment.entries:
                self._deployment.start_entry(name)

    async def _pause_entry(self, seconds):
        entry = self._deployment.leader() or self._random_entry()
        network = self._deployment.network
        if entry is None or entry.name in network._paused:
            return
        network.pause(entry.name)
        await trio.sleep(seconds)
        if entry.name in network._paused:
            network.resume(entry.name)

    async def _refuse_entry(self, seconds):
        entry = self._random_entry()
        if entry is None:
            return
        store = self._deployment.store
        chosen = self.random.choice([store.refused_callers, store.unanswered_callers])
        chosen.add(entry.name)
        await trio.sleep(seconds)
        chosen.discard(entry.name)

    async def _cut_entry(self, seconds):
        entry = self._random_entry()
        if entry is None:
            return
        network = self._deployment.network
        everyone = [name for name in network.handlers if name != entry.name]
        others = self.random.sample(everyone, self.random.randint(1, len(everyone)))
        network.partition([entry.name], others)
        await trio.sleep(seconds)
        network.heal()

    async def _store_down(self, seconds):
        self._deployment.store.down = True
        await trio.sleep(min(seconds, 4.5))
        self._deployment.store.down = False

    async def _store_slow(self, seconds):
        self._deployment.store.delay = 0.3
        await trio.sleep(seconds)
        self._deployment.store.delay = 0.0

    async def _store_loses(self, seconds):
        store = self._deployment.store
        store.drop_answer_rate, store.late_rate = self.random.choice([(0.3, 0.0), (0.0, 0.3)])
        await trio.sleep(seconds)
        store.drop_answer_rate = store.late_rate = 0.0

    async def _worker_silent(self, seconds):
        worker = self._any_worker()
        worker.unresponsive = True
        await trio.sleep(seconds * 2)
        worker.unresponsive = False

    async def _worker_restarts(self, seconds):
        worker = self._any_worker()
        worker.restart()
        await trio.sleep(min(seconds, 1))
        self._deployment.register(worker.id)

    async def _orders_late(self, seconds):
        worker = self._any_worker()
        worker.late_rate, worker.late_seconds = 0.4, self.random.uniform(1, 6)
        await trio.sleep(seconds)
        worker.late_rate = 0.0

    async def _compact(self, seconds):
        self._deployment.store.compact()

    def _random_entry(self):
        entries = list(self._deployment.entries.values())
        return self.random.choice(entries) if entries else None

    def _any_worker(self):
        return self.random.choice(list(self._deployment.fleet.workers.values()))

    def _heal(self):
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
        left = dict(self.accepted)
        with trio.move_on_after(FINISH_SECONDS):
            while left:
                for job_id, wanted in list(left.items()):
                    status, body = await self._random_entry().call("GET", PREFIX + job_id)
                    state = body.get("state")
                    if state == "completed" == wanted or state in ("failed", "cancelled"):
                        self._check_end(job_id, state, wanted)
                        del left[job_id]
                    elif status not in (NO_ANSWER, 200, 503, 504):
                        self.violations.append(f"{job_id} is answered {status}")
                        del left[job_id]
                await trio.sleep(0.2)
        for job_id in left:
            self.violations.append(f"{job_id} has not ended")

    def _check_end(self, job_id, state, wanted):
        if state == "cancelled" and job_id in self.cancelling:
            return
        if state != wanted:
            self.violations.append(f"{job_id} is {state}, not {wanted}")

    def _check_refused_jobs(self):
        """No task may start of a job whose every attempt was refused as not run."""
        started = {task.partition(".")[0] for task in self._deployment.fleet.starts}
        for job_id, statuses in self.refused.items():
            if job_id not in self.accepted and set(statuses) == {503} and job_id in started:
                self.violations.append(f"{job_id} was refused and has run")


def run_scenario(seed):
    """Plays one day in virtual time; returns the broken promises."""
    day = FaultScenario(seed)
    run_virtual(day.run, seed)
    return day.violations


def main():
    logging.disable(logging.CRITICAL)
    first, count = map(int, sys.argv[1:3])
    failed = 0
    for seed in range(first, first + count):
        violations = run_scenario(seed)
        if violations:
            failed += 1
            print(f"seed {seed}: {len(violations)}: {violations[:4]}", flush=True)
    print(f"{count} days, {failed} with a broken promise")


if __name__ == "__main__":
    main()
