"""
demo.jobs
~~~~~~~~~

The platform's path on loopback: entry processes over stand-ins of store and workers, jobs of
two steps, and the leading entry killed while they run.
"""

import base64
import json
import signal
import time

import trio

from tests.platform.deployment import job, step
from tests.soak.cluster import Cluster

__all__ = ["main"]

JOBS = 12
TASKS = 4
PREFIX = "/q/"
# the fault comes while most jobs run
KILL_AFTER_SECONDS = 1.0
FINISH_SECONDS = 40.0
POLL_SECONDS = 0.2
RETRY_SECONDS = 0.2


async def submit(cluster, job_id):
    """Submits one job, at another entry after each answer that is not final."""
    document = job(step(TASKS, 1), step(1, 2, after=[0]), ms=1000)
    while True:
        for entry in cluster.entries.values():
            status, _ = await entry.call("POST", PREFIX + job_id, document)
            if status == 200:
                return
            await trio.sleep(RETRY_SECONDS)


async def wait_completed(cluster, job_ids):
    """Waits until every job is shown as completed by an entry that lives."""
    open_ids = set(job_ids)
    while open_ids:
        entry = next(entry for entry in cluster.entries.values() if entry.alive)
        for job_id in sorted(open_ids):
            _, body = await entry.call("GET", PREFIX + job_id)
            if body.get("state") == "completed":
                open_ids.discard(job_id)
        await trio.sleep(POLL_SECONDS)


def leader_of(cluster):
    """Returns the entry that the leader's row names."""
    value, _ = cluster.store.rows[("leader", "", "leader")]
    return cluster.entries[json.loads(base64.b64decode(value))["node"]]


async def run():
    """Plays the demonstration; returns the text of its result."""
    began = time.monotonic()
    job_ids = [f"{number:x}0000000000000e5" for number in range(JOBS)]
    async with Cluster(entries=3, workers=4, seed=1).running() as cluster:
        with trio.fail_after(FINISH_SECONDS):
            async with trio.open_nursery() as nursery:
                for job_id in job_ids:
                    nursery.start_soon(submit, cluster, job_id)
                await trio.sleep(KILL_AFTER_SECONDS)
                killed = leader_of(cluster)
                killed.send_signal(signal.SIGKILL)
            await wait_completed(cluster, job_ids)
        # a task's runs that began on any worker, beyond the first
        again = sum(count - 1 for count in cluster.fleet.starts.values())
        if cluster.fleet.violations:
            raise SystemExit(f"platform failed: {cluster.fleet.violations[:3]}")
    seconds = time.monotonic() - began
    return (
        f"platform ok: jobs={JOBS} completed={JOBS} leader_killed={killed.name} "
        f"started_again={again} seconds={seconds:.1f}"
    )


def main():
    """Prints the result of one play."""
    print(trio.run(run))


if __name__ == "__main__":
    main()
