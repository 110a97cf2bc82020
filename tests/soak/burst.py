"""Burst of large jobs on entry processes, in real time; run manually:

    python -m tests.soak.burst JOBS TASKS [SECONDS] [--entries N] [--workers N]
        [--kill-every SECONDS]

Submits jobs of one step of small tasks, all of which fit at the same time, and prints the starts,
the longest time for which a job that is not done had no run, the most memory of an entry, and the
violations of guarantees. Store and workers are stand-ins in this process, which limit the rate of
starts; compare runs on the same machine only.
"""

import argparse
import logging
import random
import signal
from pathlib import Path

import trio

from tests.platform.deployment import QUEUE_PATH, job, step
from tests.soak.cluster import Cluster

__all__ = ["Burst"]

TASK_MS = 2000
SAMPLE_SECONDS = 0.1
REPORT_SECONDS = 10.0


class Burst:
    """Submits ``jobs`` jobs of ``tasks`` tasks to a ``Cluster`` and watches their runs."""

    def __init__(self, cluster, jobs, tasks, seed=0):
        self._cluster = cluster
        self._tasks = tasks
        self._random = random.Random(seed)
        self.job_ids = [f"{number % 16:x}{number:015x}" for number in range(jobs)]
        # times in seconds of the monotonic clock: since when a job has had no run, and the longest
        # time without one
        self._idle_since = {}
        self.longest_idle = dict.fromkeys(self.job_ids, 0.0)

    async def run(self, seconds, kill_every):
        """Runs for ``seconds``, or until all tasks have ended; kills an entry ``kill_every`` s."""
        with trio.move_on_after(seconds):
            async with trio.open_nursery() as nursery:
                for job_id in self.job_ids:
                    nursery.start_soon(self._submit, job_id)
                nursery.start_soon(self._report)
                if kill_every:
                    nursery.start_soon(self._kill_entries, kill_every)
                await self._watch()
                nursery.cancel_scope.cancel()

    def most_memory_mb(self):
        """Returns the most memory in MB that a running entry process has used."""
        most = 0
        for entry in self._cluster.entries.values():
            if entry.alive:
                status = Path(f"/proc/{entry.process.pid}/status").read_text()
                most = max(most, int(status.partition("VmHWM:")[2].split()[0]) // 1024)
        return most

    async def _submit(self, job_id):
        """Submits a job until it is accepted."""
        small_tasks = step(self._tasks, 0, cpu=2, memMb=1, estimateMs=TASK_MS)
        document = job(small_tasks, ms=TASK_MS, gpu=0)
        entries = list(self._cluster.entries.values())
        while (await self._random.choice(entries).call("POST", QUEUE_PATH + job_id, document))[
            0
        ] != 200:
            await trio.sleep(0.3)
        self._idle_since[job_id] = trio.current_time()

    async def _watch(self):
        """Records the times without a run of each job until all tasks have ended."""
        fleet = self._cluster.fleet
        while True:
            await trio.sleep(SAMPLE_SECONDS)
            now = trio.current_time()
            running = {
                name.partition(".")[0]
                for worker in fleet.workers.values()
                for name in worker.running
            }
            started = {}
            for name in fleet.starts:
                job_id = name.partition(".")[0]
                started[job_id] = started.get(job_id, 0) + 1
            pending = [i for i in self.job_ids if started.get(i, 0) < self._tasks or i in running]
            if not pending:
                return
            for job_id in self._idle_since:
                if job_id in running or job_id not in pending:
                    self._idle_since[job_id] = now
                idle_seconds = now - self._idle_since[job_id]
                self.longest_idle[job_id] = max(self.longest_idle[job_id], idle_seconds)

    async def _report(self):
        """Prints the starts of each period."""
        started_at, before = trio.current_time(), 0
        while True:
            await trio.sleep(REPORT_SECONDS)
            seconds, starts = trio.current_time() - started_at, sum(self.starts())
            print(f"{seconds:6.1f} s: {starts} starts, {starts - before} more", flush=True)
            before = starts

    def starts(self):
        """Returns the numbers of starts of all tasks."""
        return list(self._cluster.fleet.starts.values())

    async def _kill_entries(self, seconds):
        """Kills a random entry, which may lead, and starts it again after a moment."""
        while True:
            await trio.sleep(seconds)
            entry = self._random.choice(list(self._cluster.entries.values()))
            entry.send_signal(signal.SIGKILL)
            await entry.wait_exit()
            await trio.sleep(1.0)
            await entry.start()


async def play(arguments):
    """Plays one burst and prints its result; returns the violations."""
    cluster = Cluster(arguments.entries, arguments.workers, arguments.seed)
    async with cluster.running():
        burst = Burst(cluster, arguments.jobs, arguments.tasks, arguments.seed)
        await burst.run(arguments.seconds, arguments.kill_every)
        idle = sorted(burst.longest_idle.values())
        violations = [*cluster.fleet.violations, *cluster.violations]
        print(f"starts: {sum(burst.starts())} of {arguments.jobs * arguments.tasks} tasks")
        print(f"longest time without a run, by job: {', '.join(f'{s:.1f}' for s in idle)} s")
        print(f"most memory of an entry: {burst.most_memory_mb()} MB")
        print(f"violations: {violations[:10]}")
    return violations


def main():
    """Plays the burst of the command line; exits with 1 after a violation."""
    parser = argparse.ArgumentParser(description="Plays a burst of large jobs.")
    parser.add_argument("jobs", type=int)
    parser.add_argument("tasks", type=int)
    parser.add_argument("seconds", type=float, nargs="?", default=60.0)
    parser.add_argument("--entries", type=int, default=3)
    parser.add_argument("--workers", type=int, default=8)
    parser.add_argument("--kill-every", type=float, default=0.0)
    parser.add_argument("--seed", type=int, default=0)
    logging.disable(logging.ERROR)
    raise SystemExit(1 if trio.run(play, parser.parse_args()) else 0)


if __name__ == "__main__":
    main()
