"""Soak test of entry processes under random faults, in real time; run manually over many seeds:

    python -m tests.soak.run FIRST COUNT [SECONDS] [--entries N] [--workers N] [--at-once N]
        [--faults NAME] [--ephemeral-ports]

Faults come from outside the processes: signals, ports in use, proxies, odd rows of another writer,
and faults of the stand-ins of store and workers. The scenario checks what callers and workers
observe, and how each process ends. ``REGRESSIONS`` has the seeds of failed soaks, with the cause
of each failure.
"""

import argparse
import logging
import random
import signal

import trio

from tests.platform.fault_scenario import FaultScenario
from tests.platform.impatient_callers import ImpatientCallers
from tests.soak.caller import Caller
from tests.soak.cluster import Cluster
from tests.soak.odd import STORE_ANSWERS, WORKER_ANSWERS, odd_registrations
from tests.soak.proxy import MODES

__all__ = ["FAULTS", "REGRESSIONS", "run_soak"]

# seeds of soaks that failed, with the cause of each failure; every test run repeats them
REGRESSIONS = {
    100: "a restarted worker dropped run ends on an acknowledgement for its previous incarnation",
}
FAULT_SECONDS = 15.0
RESTART_DELAY_SECONDS = 0.3
# names of the groups of faults; "none" starts and stops the deployment only
FAULTS = (
    *("all", "basic", "signals", "ports", "rows", "store", "workers", "evacuations", "restarts"),
    *("cancellations", "none"),
)
# longer than the time after which the workers' stand-ins accept no start
EVACUATION_SECONDS = 9.0
# callers of one entry that is restarted as planned, and the time after which they open no more
# connections, since the load balancer has noticed by then that the entry is not ready
CALLERS = 40
BALANCER_SECONDS = 2.2
# time after the faults in which the store performs late writes and the last runs are stopped
SETTLE_SECONDS = 6.0


class SoakScenario(FaultScenario):
    """A ``FaultScenario`` on separate processes in real time, with one group of ``FAULTS``."""

    def __init__(self, seed, fault_seconds=FAULT_SECONDS, faults="all", **options):
        super().__init__(seed)
        self._fault_seconds = fault_seconds
        self._faults = faults
        self._options = options
        self._callers = ImpatientCallers(self.random, self._random_entry)

    async def run(self):
        cluster = self._deployment = Cluster(seed=self.seed, **self._options)
        try:
            async with cluster.running():
                await self._run_faults()
                await self._reset_faults()
                await self._wait_for_jobs()
                self._check_refused_jobs()
                if self._faults == "cancellations":
                    await trio.sleep(SETTLE_SECONDS)
                    self.violations += await self._callers.find_violations(cluster.fleet)
                self.violations.extend(cluster.fleet.violations)
                # the log of a process is gone with the deployment
                cluster.keep_logs = bool(self.violations or cluster.violations)
        except* trio.TooSlowError:
            self.violations.append("the deployment has not started")
        self.violations.extend(cluster.violations)
        if self.violations:
            self.violations.append(f"logs: {cluster.log_directory}")
        return self.violations

    async def _run_faults(self):
        """Injects the faults of the group beside jobs."""
        with trio.move_on_after(self._fault_seconds):
            async with trio.open_nursery() as nursery:
                if self._faults == "none":
                    await trio.sleep_forever()
                nursery.start_soon(self._submit_jobs)
                if self._faults != "restarts":
                    nursery.start_soon(self._inject_faults, nursery)
                    await trio.sleep_forever()
                while True:
                    await trio.lowlevel.checkpoint()
                    await self._restart_as_planned()

    async def _submit_jobs(self):
        """Submits random jobs, on average two a second, until cancelled."""
        number = 0
        async with trio.open_nursery() as nursery:
            while True:
                await trio.sleep(self.random.expovariate(2))
                job_id = f"{self.random.randrange(16):x}{number:015x}"
                number += 1
                nursery.start_soon(self._submit_job, job_id)

    async def _submit_job(self, job_id):
        """Submits a job; in the group of cancellations, its caller cancels it soon."""
        if self._faults == "cancellations":
            await self._callers.submit_and_cancel(job_id, self._random_job()[0])
        else:
            await super()._submit_job(job_id)

    async def _inject_faults(self, nursery):
        """Starts random faults, each with a duration in seconds; instantaneous faults ignore it."""
        faults = self._fault_functions()
        while True:
            await trio.sleep(self.random.uniform(0.3, 2))
            nursery.start_soon(self.random.choice(faults), self.random.uniform(0.3, 4))

    def _fault_functions(self):
        """Returns the functions of the group of faults."""
        groups = {
            "basic": [
                self._kill_process,
                self._kill_all_processes,
                self._pause_process,
                self._terminate_process,
                self._disturb_store_connections,
                self._disturb_worker_connections,
                *self._store_and_worker_faults(),
                self._reload_settings,
            ],
            "signals": [
                self._reload_in_series,
                self._signal_start,
                self._signal_shutdown,
                self._pause_shutdown,
            ],
            "ports": [self._occupy_ports],
            "rows": [self._write_odd_rows, self._kill_process],
            "store": [self._answer_store_oddly],
            "workers": [self._answer_oddly],
            "evacuations": [
                self._evacuate,
                self._kill_process,
                self._terminate_process,
                self._disturb_store_connections,
            ],
        }
        groups["cancellations"] = groups["basic"]
        if self._faults == "all":
            # a worker that carries out an order late may start it after the bound on evacuations
            del groups["evacuations"], groups["cancellations"]
            return [function for group in groups.values() for function in group]
        return groups[self._faults]

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
            if signal_number == signal.SIGKILL:
                entry.send_signal(signal_number)
            else:
                await entry.signal_program(signal_number)
            await entry.wait_exit()
            await trio.sleep(RESTART_DELAY_SECONDS)
            await entry.start()

    async def _reload_in_series(self, duration_seconds):
        """Sends up to 20 SIGHUP to a random process, with SIGSTOP and SIGCONT among them."""
        entry = self._random_entry()
        for _ in range(self.random.randint(2, 20)):
            await entry.signal_program(signal.SIGHUP)
            if self.random.random() < 0.2:
                entry.send_signal(signal.SIGSTOP)
                await trio.sleep(self.random.uniform(0, 0.1))
                entry.send_signal(signal.SIGCONT)
            await trio.sleep(self.random.choice([0, self.random.uniform(0, 0.05)]))

    async def _signal_start(self, duration_seconds):
        """Restarts a random process and sends signals while it starts."""
        entry = self._random_entry()
        numbers = [signal.SIGHUP, signal.SIGHUP, signal.SIGTERM, signal.SIGINT]
        with trio.CancelScope(shield=True):
            await self._restart_process(entry, signal.SIGKILL)
            for _ in range(self.random.randint(1, 5)):
                number = self.random.choice(numbers)
                await entry.signal_program(number)
                await trio.sleep(self.random.uniform(0, 0.3))
            await entry.wait_exit()
            await trio.sleep(RESTART_DELAY_SECONDS)
            await entry.start()

    async def _signal_shutdown(self, duration_seconds):
        """Shuts a random process down and sends further signals until it has exited."""
        entry = self._random_entry()
        with trio.CancelScope(shield=True):
            await entry.signal_program(signal.SIGTERM)
            process = entry.process
            while entry.alive and entry.process is process:
                await trio.sleep(self.random.choice([0.01, 0.1, 1.0]) * self.random.random())
                number = self.random.choice([signal.SIGHUP, signal.SIGTERM, signal.SIGINT])
                # another fault may have started the next process meanwhile
                if entry.process is process:
                    entry.send_signal(number)
            await entry.wait_exit()
            await trio.sleep(RESTART_DELAY_SECONDS)
            await entry.start()

    async def _pause_shutdown(self, duration_seconds):
        """Stops a random process by SIGSTOP while it shuts down."""
        entry = self._random_entry()
        with trio.CancelScope(shield=True):
            await entry.signal_program(signal.SIGTERM)
            await trio.sleep(self.random.uniform(0, 4))
            entry.send_signal(signal.SIGSTOP)
            await trio.sleep(duration_seconds)
            entry.send_signal(signal.SIGCONT)
            await entry.wait_exit()
            await trio.sleep(RESTART_DELAY_SECONDS)
            await entry.start()

    async def _occupy_ports(self, duration_seconds):
        """Restarts a random process while listeners or connections use some of its ports."""
        entry = self._random_entry()
        if entry.ports_in_use:
            return
        ports = [entry.front_port, entry.readiness_port, entry.internal_port]
        ports = self.random.sample(ports, self.random.randint(1, 3))
        with trio.CancelScope(shield=True):
            entry.ports_in_use = True
            occupants = []
            try:
                entry.send_signal(signal.SIGKILL)
                await entry.wait_exit()
                for port in ports:
                    connected = self.random.choice([None, self._deployment.store_port])
                    occupants.append(entry.occupy_port(port, connected))
                await entry.start()
                await trio.sleep(duration_seconds)
            finally:
                for occupant in filter(None, occupants):
                    occupant.close()
                entry.ports_in_use = False

    async def _write_odd_rows(self, duration_seconds):
        """Lets another writer write odd rows of workers, for the duration."""
        cluster = self._deployment
        worker = self.random.choice(list(cluster.fleet.workers.values()))
        values = odd_registrations(worker.registration("127.0.0.1:80"))
        keys = []
        for number, value in enumerate(self.random.sample(values, self.random.randint(1, 30))):
            keys.append(f"odd{self.random.randrange(10**9)}-{number}")
            cluster.store.put("servers", keys[-1], value)
        try:
            await trio.sleep(duration_seconds * 2)
        finally:
            for key in keys:
                cluster.store.delete("servers", key)

    async def _evacuate(self, duration_seconds):
        """Empties the data centre of a random worker; ignores the duration."""
        cluster = self._deployment
        data_centre = self.random.choice(list(cluster.fleet.workers.values())).data_centre
        if data_centre in cluster.fleet.evacuated_at:
            return
        cluster.evacuate(data_centre)
        try:
            await trio.sleep(EVACUATION_SECONDS)
        finally:
            cluster.take_back(data_centre)

    async def _answer_store_oddly(self, duration_seconds):
        """Lets the store answer with odd bodies, for the duration."""
        store = self._deployment.store
        store.odd_answers = self.random.sample(STORE_ANSWERS, self.random.randint(1, 5))
        store.odd_answer_rate = self.random.choice([0.1, 0.5, 1.0])
        await trio.sleep(duration_seconds)
        store.odd_answer_rate = 0.0

    async def _answer_oddly(self, duration_seconds):
        """Lets a worker answer with odd bodies, for the duration."""
        worker = self.random.choice(list(self._deployment.fleet.workers.values()))
        worker.odd_answers = self.random.sample(WORKER_ANSWERS, self.random.randint(1, 5))
        worker.odd_answer_rate = self.random.choice([0.1, 0.5, 1.0])
        await trio.sleep(duration_seconds)
        worker.odd_answer_rate = 0.0

    async def _restart_as_planned(self):
        """Restarts a random process, without other faults, while callers use its connections."""
        entry = self._random_entry()
        with trio.CancelScope(shield=True):
            await self._deployment.wait_ready()
            callers = [
                Caller(entry.host, entry.front_port, self.random, self.random.choice([0.05, 1, 3]))
                for _ in range(CALLERS)
            ]
            async with trio.open_nursery() as nursery:
                for caller in callers:
                    nursery.start_soon(caller.run)
                await trio.sleep(self.random.uniform(0.5, 1.5))
                await entry.signal_program(signal.SIGTERM)
                await trio.sleep(BALANCER_SECONDS)
                for caller in callers:
                    caller.connecting = False
            await entry.wait_exit()
            for caller in callers:
                self.violations += [f"{entry.name}: {text}" for text in caller.violations]
            if not any(caller.answered for caller in callers):
                self.violations.append(f"{entry.name}: no request got an answer")
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
        await self._random_entry().signal_program(signal.SIGHUP)

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
        store.odd_answer_rate = 0.0
        for worker in cluster.fleet.workers.values():
            worker.unresponsive, worker.late_rate, worker.odd_answer_rate = False, 0.0, 0.0
            cluster.register(worker.id)
        for entry in cluster.entries.values():
            entry.send_signal(signal.SIGCONT)
            await entry.wait_exit()
            await entry.start()
        await cluster.wait_ready()


def run_soak(seed, fault_seconds=FAULT_SECONDS, faults="all", **options):
    """Runs one soak with ``fault_seconds`` of faults and returns the violated guarantees.

    ``faults`` is one of ``FAULTS``; ``options`` are those of the ``Cluster``. Each text begins with
    the seed.
    """
    scenario = SoakScenario(seed, fault_seconds, faults, **options)
    trio.run(scenario.run)
    return [f"seed {seed}, {faults}: {text}" for text in scenario.violations]


async def run_soaks(seeds, at_once, report, *arguments, **options):
    """Runs a soak for each seed, ``at_once`` at a time; calls ``report`` with each result."""
    limiter = trio.CapacityLimiter(at_once)

    async def run_one(seed):
        async with limiter:
            report(
                seed,
                await trio.to_thread.run_sync(
                    lambda: run_soak(seed, *arguments, **options), limiter=threads
                ),
            )

    threads = trio.CapacityLimiter(at_once)
    async with trio.open_nursery() as nursery:
        for seed in seeds:
            nursery.start_soon(run_one, seed)


def main():
    parser = argparse.ArgumentParser(description="Run soaks over many seeds.")
    parser.add_argument("first", type=int)
    parser.add_argument("count", type=int)
    parser.add_argument("seconds", type=float, nargs="?", default=FAULT_SECONDS)
    parser.add_argument("--faults", choices=FAULTS, default="all")
    parser.add_argument("--entries", type=int, default=3)
    parser.add_argument("--workers", type=int, default=4)
    parser.add_argument("--at-once", type=int, default=1)
    parser.add_argument("--ephemeral-ports", action="store_true")
    options = parser.parse_args()
    logging.disable(logging.CRITICAL)
    random.seed()
    failed = []

    def report(seed, violations):
        if not violations:
            print(f"seed {seed}: no violation", flush=True)
        else:
            failed.append(seed)
            print(f"seed {seed}, {len(violations) - 1} violations:", flush=True)
            for text in [*violations[:5], violations[-1]]:
                print(f"  {text}", flush=True)

    trio.run(
        lambda: run_soaks(
            range(options.first, options.first + options.count),
            options.at_once,
            report,
            options.seconds,
            options.faults,
            entries=options.entries,
            workers=options.workers,
            ephemeral_ports=options.ephemeral_ports,
        )
    )
    print(f"{options.count} soaks, {len(failed)} with violated guarantees: {sorted(failed)}")


if __name__ == "__main__":
    main()
