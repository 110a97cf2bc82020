"""A runner goes down and up by turns; the only one with the label that a job requires."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins-2"))

from deployment import main  # noqa: E402

FOLDER = Path(__file__).resolve().parent
JOB = "00000000000000a1"
FLAPPING = "runner-1"
PERIOD_S = 1.4
FLAP_S = 6.5
FINISH_S = 14.0


async def flap(deployment):
    """Crashes the runner and starts it again by turns, for ``FLAP_S`` in all."""
    began = time.monotonic()
    while time.monotonic() - began < FLAP_S:
        down_at = time.monotonic()
        await deployment.kill_runner(FLAPPING)
        await asyncio.sleep(down_at + PERIOD_S / 2 - time.monotonic())
        await deployment.start_runner(FLAPPING)
        await asyncio.sleep(max(0.0, down_at + PERIOD_S - time.monotonic()))


async def case(deployment, trouble):
    step = {"count": 1, "cpu": 1000, "memMb": 1000, "gpu": 1, "estimateMs": 3000, "requires": "b"}
    await deployment.submit(JOB, step, ms=3000)
    await deployment.wait_for(lambda: deployment.running(JOB), 10, "the task runs")
    if trouble:
        await asyncio.sleep(0.5)
        await flap(deployment)
        # once more while the job is at work, unless it was given up in the first time
        await asyncio.sleep(1.5)
        if await deployment.state(JOB) == "running":
            await flap(deployment)
    # what a task needs at most once the runner is up: its run, and the end of earlier leases
    deadline = deployment.now() + FINISH_S + 30
    state = await deployment.state(JOB)
    while state in ("queued", "running") and deployment.now() < deadline:
        await asyncio.sleep(0.5)
        state = await deployment.state(JOB)
    failed = deployment.find("run-ended", how="failed")
    starts = len(deployment.find("run-started"))
    text = f"state {state} after {starts} starts and {len(failed)} ends 'failed', maxAttempts 2"
    return not (state == "failed" and len(failed) < 2), text


main(case, FOLDER, runners=10, labels={FLAPPING: ["b", "r1"]})
