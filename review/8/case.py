"""A runner loses its way to the store while the leading entry is restarted; a job is cancelled."""

import asyncio
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins-2"))

from deployment import BOUNDS, main  # noqa: E402

FOLDER = Path(__file__).resolve().parent
JOB = "00000000000000a1"
CUT_S = 5.0
# time from the end of the last disruption until the rule has no excuse left
CALM_S = (BOUNDS["contactMs"] + BOUNDS["cancel_ms"] + BOUNDS["stopMs"]) / 1000
WATCH_S = 25.0


async def disturb(deployment, runner):
    """Cuts a runner off from the store for ``CUT_S``; restarts the leader once its entry lapsed."""
    beat = deployment.store.heartbeats[runner]
    await deployment.wait_for(
        lambda: deployment.store.heartbeats[runner] != beat, 5, "the runner reports itself"
    )
    # shortly before the next report, so that the entry lapses within the cut
    await asyncio.sleep(1.35)
    deployment.store.cut.add(runner)
    deployment.record("cut", id=runner)
    cut_at = time.monotonic()
    await deployment.wait_for(
        lambda: deployment.find("directory", id=runner, entry="removed"), 6, "the entry lapses"
    )
    leader = deployment.leader()
    await deployment.signal_entry(leader, signal.SIGTERM)
    await deployment.wait_for(
        lambda: deployment.leader() not in (leader, None), 5, "another entry leads"
    )
    deployment.record("leads", id=deployment.leader())
    # the new leader reads its state
    await asyncio.sleep(0.4)
    return leader, cut_at


async def case(deployment, trouble):
    step = {"count": 1, "cpu": 1000, "memMb": 1000, "gpu": 1, "estimateMs": 1000}
    await deployment.submit(JOB, {**step, "longRunning": True}, lasts=True)
    await deployment.wait_for(lambda: deployment.running(JOB), 10, "the task runs")
    ((runner, *_),) = deployment.running(JOB)
    if trouble:
        leader, cut_at = await disturb(deployment, runner)
        entry = next(name for name in deployment.entries if name != leader)
    else:
        entry = "front-1"
    status, _ = await deployment.call("DELETE", f"/q1/{JOB}", entry=entry)
    cancelled_at = deployment.now()
    if trouble:
        await asyncio.sleep(cut_at + CUT_S - time.monotonic())
        deployment.store.cut.discard(runner)
        deployment.record("healed", id=runner)
        await deployment.wait_for(
            lambda: deployment.store.value("servers", runner), 5, "the entry is back"
        )
        await asyncio.wait_for(deployment.entries[leader].wait(), 10)
        await deployment.start_entry(leader)
    calm_at = deployment.now() + CALM_S
    await asyncio.sleep(CALM_S + WATCH_S)
    late = [
        item
        for item in deployment.find("run-ended")
        if item["task"].startswith(JOB) and item["at"] > calm_at
    ]
    still = deployment.running(JOB)
    state = await deployment.state(JOB)
    text = f"cancel answered {status} at {cancelled_at:.1f} s, state {state}; at {deployment.now():.1f} s"
    text += f" at work: {sorted(still) or 'nothing'}, ended after {calm_at:.1f} s: {len(late)}"
    return not still and not late, text


main(case, FOLDER)
