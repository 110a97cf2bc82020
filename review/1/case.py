"""One job with two steps of 800 small tasks, and small jobs before and after it."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))

from deployment import Deployment, main  # noqa: E402

SMALL_STEPS = [{"count": 2, "cpu": 1000, "memMb": 512, "gpu": 1, "estimateMs": 1000}]
FIRST_JOB = "00000000000000a1"
LARGE_JOB = "5c0e7a21d94b36f8"
LATER_JOBS = [f"{number:x}0000000000000b{number:x}" for number in range(1, 6)]
LARGE_COUNT = 800
USUAL_COUNT = 80
FINISH_S = 14
WATCH_S = 3.5


def large_steps(count):
    step = {"count": count, "cpu": 20, "memMb": 16, "estimateMs": 2000}
    return [dict(step), dict(step)]


async def accepted(deployment, job, steps, ms):
    """Hands a job in, again after each refusal; returns whether it was accepted within 10 s."""
    for number in range(20):
        entry = deployment.entries[number % len(deployment.entries)]
        if await deployment.submit(job, steps, {"ms": ms}, entry=entry) == 200:
            return True
        await asyncio.sleep(0.5)
    return False


async def case(trouble, record):
    async with Deployment(record) as deployment:
        assert await accepted(deployment, FIRST_JOB, SMALL_STEPS, 1000)
        await asyncio.sleep(3)
        assert await deployment.state(FIRST_JOB) == "completed"
        jobs = [LARGE_JOB]
        count = LARGE_COUNT if trouble else USUAL_COUNT
        assert await accepted(deployment, LARGE_JOB, large_steps(count), 2000)
        for job in LATER_JOBS:
            if await accepted(deployment, job, SMALL_STEPS, 1000):
                jobs.append(job)
        deployment.note(f"end of the traffic; accepted: {jobs}")
        await asyncio.sleep(FINISH_S)
        before = deployment.events()
        states = {job: await deployment.state(job) for job in jobs}
        await asyncio.sleep(WATCH_S)
        events = deployment.events()
        breaks = []
        for job, state in states.items():
            starts = [e for e in events if e["event"] == "start" and e["task"].startswith(job)]
            if state in ("queued", "running", 410, None, 503, 504) and len(events) == len(before):
                breaks.append(
                    f"job {job}, accepted, is {state} {FINISH_S} s after the end of the traffic; "
                    f"{len(starts)} of its tasks were ever started, and no runner starts, runs or "
                    f"ends anything for {WATCH_S} s"
                )
        refused = (await deployment.store.call("GET", "/seen"))[1]["refused"]
        deployment.note(f"calls that the store refused: {refused}")
        return breaks


main(case, FOLDER / "record.txt")
