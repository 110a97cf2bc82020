"""Soak test of entry processes under random faults, in real time; run manually over many seeds:

    python -m tests.soak.run FIRST COUNT [SECONDS]

Faults come from outside the processes: signals, proxies, and faults of the stand-ins of store
and workers. The scenario checks what callers and workers observe. ``REGRESSIONS`` has the seeds
of failed soaks, with the cause of each failure.
"""

import logging
import random
import signal
import sys

import trio

from tests.platform.fault_scenario import FaultScenario
from tests.soak.cluster import Cluster
from tests.soak.proxy import MODES

__all__ = ["REGRESSIONS", "run_soak"]

# seeds of soaks that failed, with the cause of each failure; every test run repeats them
REGRESSIONS = {
    100: "a restarted worker dropped run ends on an acknowledgement for its previous incarnation",
}
FAULT_SECONDS = 15.0
RESTART_DELAY_SECONDS = 0.3


class SoakScenario(FaultScenario):
    """A ``FaultScenario`` on separate processes in real time."""

    def __init__(self, seed, fault_seconds=FAULT_SECONDS):
        super().__init__(seed)
        self._fault_seconds = fault_seconds

    async def run(self):
        async with Cluster(seed=self.seed).running() as cluster:
            self._deployment = cluster
            with trio.move_on_after(self._fault_seconds):
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self._submit_jobs)
                    nursery.start_soon(self._inject_faults, nursery)
            await self._reset_faults()
            await self._wait_for_jobs()
            self.violations.extend(cluster.fleet.violations)
            self._check_refused_jobs()
            if self.violations:
                cluster.keep_logs = True
                self.violations.append(f"logs: {cluster.log_directory}")
        return self.violations

    async def _submit_jobs(self):
        """Submits random jobs, on average two a second, until cancelled."""
        number = 0
        async with trio.open_nursery() as nursery:
            while True:
                await trio.sleep(self.random.expovariate(2))
                job_id = f"{self.random.randrange(16):x}{number:015x}"
                number += 1
                nursery.start_soon(self._submit_job, job_id)

    async def _inject_faults(self, nursery):
        """Starts random faults, each with a duration in seconds; instantaneous faults ignore it."""
        faults = [
            self._kill_process,
            self._kill_all_processes,
            self._pause_process,
            self._terminate_process,
            self._disturb_store_connections,
            self._disturb_worker_connections,
            *self._store_and_worker_faults(),
            self._reload_settings,
        ]
        while True:
            await trio.sleep(self.random.uniform(0.3, 2))
            nursery.start_soon(self.random.choice(faults), self.random.uniform(0.3, 4))

    async def _kill_process(self, duration_seconds):
        """Kills a random entry process and restarts it; ignores the duration."""
        await self._restart_process(self._random_entry(), signal.SIGKILL)

    async def _kill_all_processes(self, duration_seconds):
        """Kills all entry processes at once and restarts them; ignores the duration."""
        async with trio.open_nursery() as nursery:
            for entry in self._deployment.entries.values():
                nursery.start_soon(self._restart_process, entry, signal.SIGKILL)

    async def _terminate_process(self, duration_seconds):
        """Shuts a random entry process down and restarts it; ignores the duration."""
        await self._restart_process(self._random_entry(), signal.SIGTERM)

    async def _restart_process(self, entry, signal_number):
        """Ends a process by a signal and restarts it ``RESTART_DELAY_SECONDS`` after its exit."""
        with trio.CancelScope(shield=True):
            entry.send_signal(signal.SIGCONT)
            entry.send_signal(signal_number)
            await entry.wait_exit()
            await trio.sleep(RESTART_DELAY_SECONDS)
            await entry.start()

    async def _pause_process(self, duration_seconds):
        """Stops a random entry process by SIGSTOP for the duration."""
        entry = self._random_entry()
        entry.send_signal(signal.SIGSTOP)
        try:
            await trio.sleep(duration_seconds)
        finally:
            entry.send_signal(signal.SIGCONT)

    async def _reload_settings(self, duration_seconds):
        """Lets a random entry process reload its settings; ignores the duration."""
        self._random_entry().send_signal(signal.SIGHUP)

    async def _disturb_store_connections(self, duration_seconds):
        """Disturbs the connections of one entry to the store for the duration."""
        await self._disturb_connections(self._deployment.store_proxies, duration_seconds)

    async def _disturb_worker_connections(self, duration_seconds):
        """Disturbs the connections to one worker for the duration."""
        await self._disturb_connections(self._deployment.worker_proxies, duration_seconds)

    async def _disturb_connections(self, proxies, duration_seconds):
        """Sets a random fault mode of one of the proxies for the duration."""
        proxy = self.random.choice(list(proxies.values()))
        proxy.mode = self.random.choice(MODES[1:])
        try:
            await trio.sleep(duration_seconds)
        finally:
            proxy.mode = "pass"

    async def _reset_faults(self):
        """Ends all faults and restarts the entry processes that have exited."""
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


def run_soak(seed, fault_seconds=FAULT_SECONDS):
    """Runs one soak with ``fault_seconds`` of faults and returns the violated guarantees."""
    scenario = SoakScenario(seed, fault_seconds)
    trio.run(scenario.run)
    return scenario.violations


def main():
    logging.disable(logging.CRITICAL)
    random.seed()
    first, count = map(int, sys.argv[1:3])
    fault_seconds = float(sys.argv[3]) if len(sys.argv) > 3 else FAULT_SECONDS
    failed_count = 0
    for seed in range(first, first + count):
        violations = run_soak(seed, fault_seconds)
        failed_count += bool(violations)
        if violations:
            print(f"seed {seed}: {violations[:5]}", flush=True)
    print(f"{count} soaks, {failed_count} with violated guarantees")


if __name__ == "__main__":
    main()
