"""A draining runner that is cut off from the store while the store forgets its history."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))

from deployment import Deployment, double_runs, main  # noqa: E402

JOB = "5c0e7a21d94b36f8"
RUN_MS = 20_000
DRAIN_MS = 12_000
CUT_S = 5.0


async def case(trouble, record):
    async with Deployment(record) as deployment:
        step = {"count": 4, "cpu": 13000, "memMb": 19000, "gpu": 2, "estimateMs": RUN_MS}
        assert await deployment.submit(JOB, [step], {"ms": RUN_MS}) == 200
        await asyncio.sleep(3)
        starts = [event for event in deployment.events() if event["event"] == "start"]
        assert len(starts) == 4
        runner = starts[0]["runner"]
        await deployment.drain_runner(runner, DRAIN_MS)
        await asyncio.sleep(1.0)
        if trouble:
            await deployment.cut_runner(runner, "store")
            await asyncio.sleep(2.2)
            await deployment.fault(forget=True)
            await asyncio.sleep(CUT_S - 2.2)
            await deployment.cut_runner(runner, "none")
        await asyncio.sleep(20)
        await deployment.state(JOB)
        for event in deployment.events():
            if event["event"] in ("start", "end", "cut", "lapse", "draining"):
                text = {name: value for name, value in event.items() if name not in ("at", "born")}
                deployment.note(f"at {deployment.at(event):.3f}: {text}")
        return double_runs(deployment.events())


main(case, FOLDER / "record.txt")
