"""Fault soak of the real programs, in real time; by hand over many seeds:

    python -m tests.soak.run FIRST COUNT [SECONDS]

Faults come from outside the processes: signals, proxies, and a store and workers that
misbehave. What callers and workers see is checked. Seeds that ever failed stand in
``REGRESSIONS`` with their cause.
"""

import logging
import random
import signal
import sys

import trio

from tests.platform.fault_scenario import FaultScenario
from tests.soak.cluster import Cluster
from tests.soak.proxy import MODES

__all__ = ["REGRESSIONS", "play"]

# seed: cause
REGRESSIONS = {
    100: "a worker that had started again forgot ends by its former life's acknowledgement",
}
DAY_SECONDS = 15.0
RESTART_SECONDS = 0.3


class SoakDay(FaultScenario):
    """A ``FaultScenario`` whose faults reach real processes."""

    def __init__(self, seed, seconds=DAY_SECONDS):
        super().__init__(seed)
        self._seconds = seconds

    async def run(self):
        async with Cluster(seed=self.seed).running() as cluster:
            self._deployment = cluster
            with trio.move_on_after(self._seconds):
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self._submit_jobs)
                    nursery.start_soon(self._inject_faults, nursery)
            await self._restore()
            await self._wait_for_jobs()
            self.violations.extend(cluster.fleet.violations)
            self._check_refused_jobs()
            if self.violations:
                cluster.keep_logs = True
                self.violations.append(f"logs: {cluster.log_folder}")
        return self.violations

    async def _submit_jobs(self):
        number = 0
        async with trio.open_nursery() as nursery:
            while True:
                await trio.sleep(self.random.expovariate(2))
                job_id = f"{self.random.randrange(16):x}{number:015x}"
                number += 1
                nursery.start_soon(self._submit_job, job_id)

    async def _inject_faults(self, nursery):
        kinds = [
            self._kill,
            self._kill_all_processes,
            self._pause,
            self._terminate,
            self._cut_store,
            self._cut_worker,
            *self._store_and_worker_faults(),
            self._hang_up,
        ]
        while True:
            await trio.sleep(self.random.uniform(0.3, 2))
            nursery.start_soon(self.random.choice(kinds), self.random.uniform(0.3, 4))

    async def _kill(self, seconds):
        await self._restart_entry(self._random_entry(), signal.SIGKILL)

    async def _kill_all_processes(self, seconds):
        async with trio.open_nursery() as nursery:
            for entry in self._deployment.entries.values():
                nursery.start_soon(self._restart_entry, entry, signal.SIGKILL)

    async def _terminate(self, seconds):
        await self._restart_entry(self._random_entry(), signal.SIGTERM)

    async def _restart_entry(self, entry, number):
        with trio.CancelScope(shield=True):
            entry.send_signal(signal.SIGCONT)
            entry.send_signal(number)
            await entry.wait_exit()
            await trio.sleep(RESTART_SECONDS)
            await entry.start()

    async def _pause(self, seconds):
        entry = self._random_entry()
        entry.send_signal(signal.SIGSTOP)
        try:
            await trio.sleep(seconds)
        finally:
            entry.send_signal(signal.SIGCONT)

    async def _hang_up(self, seconds):
        self._random_entry().send_signal(signal.SIGHUP)

    async def _cut_store(self, seconds):
        await self._cut(self._deployment.store_proxies, seconds)

    async def _cut_worker(self, seconds):
        await self._cut(self._deployment.worker_proxies, seconds)

    async def _cut(self, proxies, seconds):
        proxy = self.random.choice(list(proxies.values()))
        proxy.mode = self.random.choice(MODES[1:])
        try:
            await trio.sleep(seconds)
        finally:
            proxy.mode = "pass"

    async def _restore(self):
        cluster = self._deployment
        for proxy in (*cluster.store_proxies.values(), *cluster.worker_proxies.values()):
            proxy.mode = "pass"
        store = cluster.store
        store.down, store.delay, store.drop_answer_rate, store.late_rate = False, 0.0, 0.0, 0.0
        for worker in cluster.fleet.workers.values():
            worker.unresponsive, worker.late_rate = False, 0.0
            cluster.register(worker.id)
        for entry in cluster.entries.values():
            entry.send_signal(signal.SIGCONT)
            await entry.start()


def play(seed, seconds=DAY_SECONDS):
    """Plays one soak; returns the broken promises."""
    day = SoakDay(seed, seconds)
    trio.run(day.run)
    return day.violations


def main():
    logging.disable(logging.CRITICAL)
    random.seed()
    first, count = map(int, sys.argv[1:3])
    seconds = float(sys.argv[3]) if len(sys.argv) > 3 else DAY_SECONDS
    failed = 0
    for seed in range(first, first + count):
        violations = play(seed, seconds)
        failed += bool(violations)
        if violations:
            print(f"seed {seed}: {violations[:5]}", flush=True)
    print(f"{count} soaks, {failed} with a broken promise")


if __name__ == "__main__":
    main()
