"""A runner with a member of a gang loses its way to the store and crashes behind the cut.

Meanwhile the leading entry is restarted.
"""

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
RUN_MS = 12_000
# from the return of the runner: the longest lease of an earlier leader, the run, and ``finish_s``
WATCH_S = 2 * BOUNDS["maxHoldMs"] / 1000 + RUN_MS / 1000 + BOUNDS["finish_s"] + 12.0


async def disturb(deployment, runner):
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
    await deployment.kill_runner(runner)
    await asyncio.sleep(0.3)
    await deployment.start_runner(runner)
    await asyncio.sleep(cut_at + CUT_S - time.monotonic())
    deployment.store.cut.discard(runner)
    deployment.record("healed", id=runner)
    await deployment.wait_for(
        lambda: deployment.store.value("servers", runner), 5, "the entry is back"
    )
    await asyncio.wait_for(deployment.entries[leader].wait(), 10)
    await deployment.start_entry(leader)


async def case(deployment, trouble):
    step = {"count": 2, "cpu": 8000, "memMb": 8000, "gpu": 8, "estimateMs": RUN_MS, "gang": True}
    await deployment.submit(JOB, step, ms=RUN_MS, gang=2)
    await deployment.wait_for(lambda: len(deployment.running(JOB)) == 2, 10, "the gang runs")
    if trouble:
        runner, *_ = next(run for run in deployment.running(JOB) if run[1].endswith(".0"))
        await asyncio.sleep(0.5)
        await disturb(deployment, runner)
    watched_from = deployment.now()
    idle_since = idle_s = 0.0
    state = await deployment.state(JOB)
    while state in ("queued", "running") and deployment.now() < watched_from + WATCH_S:
        await asyncio.sleep(0.5)
        state = await deployment.state(JOB)
        if deployment.running(JOB):
            idle_since = 0.0
        else:
            idle_since = idle_since or deployment.now()
            idle_s = max(idle_s, deployment.now() - idle_since)
    text = f"state {state} {deployment.now() - watched_from:.1f} s after the last disruption; "
    text += f"nothing of the job at work for {idle_s:.1f} s on end, all 6 runners free"
    return state == "completed", text


main(case, FOLDER)
