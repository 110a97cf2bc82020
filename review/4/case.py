"""1,320 small tasks that fit on one runner, and a store that is down while they end."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))

from deployment import Deployment, double_runs, main  # noqa: E402

JOBS = [f"{number:x}c0e7a21d94b36f8" for number in range(6)]
TASKS = 220
RUN_MS = 10_000
GAP_S = 0.8
# an answer takes 4 ms; 60 times as long for 4.5 s
SLOW_MS = 60 * 4 - 4
SLOW_S = 4.5


async def case(trouble, record):
    async with Deployment(record) as deployment:
        clock = asyncio.get_running_loop().time
        begin = clock()
        for number, job in enumerate(JOBS):
            await asyncio.sleep(begin + number * GAP_S - clock())
            ms = int(RUN_MS - number * GAP_S * 1000)
            step = {"count": TASKS, "cpu": 24, "memMb": 48, "estimateMs": ms}
            assert await deployment.submit(job, [step], {"ms": ms}) == 200
        await asyncio.sleep(begin + RUN_MS / 1000 - 0.4 - clock())
        if trouble:
            await deployment.fault(slow_ms=SLOW_MS)
            await asyncio.sleep(SLOW_S)
            await deployment.fault(slow_ms=0)
        await asyncio.sleep(25)
        for job in JOBS:
            await deployment.state(job)
        events = deployment.events()
        counts = {}
        for event in events:
            name = event["event"] if event["event"] != "end" else f"end {event['how']}"
            counts[name] = counts.get(name, 0) + 1
        deployment.note(f"runners: {counts}")
        return double_runs(events)


main(case, FOLDER / "record.txt")
