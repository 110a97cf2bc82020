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
IDLE_S = 3.0
WATCH_S = 30.0
ENDED = ("completed", "failed", "cancelled")


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
    # ``finish_s`` after the last event the rule asks whether nothing is at work for 3 s on end
    last_event_at = deployment.now()
    asked_from = last_event_at + BOUNDS["finish_s"]
    idle_since, idle_s, state = None, 0.0, "running"
    while state not in ENDED and deployment.now() < asked_from + WATCH_S:
        await asyncio.sleep(0.2)
        now = deployment.now()
        if deployment.running(JOB) or now < asked_from:
            idle_since = None
        else:
            idle_since = now if idle_since is None else idle_since
            idle_s = max(idle_s, now - idle_since)
        state = await deployment.state(JOB)
    text = f"state {state} {deployment.now() - last_event_at:.1f} s after the last event; from "
    text += f"{BOUNDS['finish_s']} s after it nothing of the job at work for {idle_s:.1f} s on end"
    return state == "completed" or (state not in ENDED and idle_s < IDLE_S), text


main(case, FOLDER)
