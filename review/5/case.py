"""A job with a task that lasts, whose runners crash five times."""

import asyncio
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))

from deployment import Deployment, main  # noqa: E402

JOB = "5c0e7a21d94b36f8"
LASTING_MS = 3_600_000
CRASHES = 5
RUN_S = 4.0
REPLACED_S = 1.0
WATCH_S = 6.0


async def case(trouble, record):
    async with Deployment(record) as deployment:
        step = {"count": 1, "cpu": 4000, "memMb": 4096, "gpu": 1, "estimateMs": 1000,
                "longRunning": True}
        assert await deployment.submit(JOB, [step], {"ms": LASTING_MS}) == 200

        def starts():
            return [event for event in deployment.events() if event["event"] == "start"]

        async def started():
            return len(starts()) > seen

        seen = 0
        for number in range(CRASHES if trouble else 0):
            await deployment.until(started, 20)
            seen = len(starts())
            await asyncio.sleep(RUN_S)
            runner = starts()[-1]["runner"]
            life = deployment.runners.pop(runner)
            life["process"].send_signal(signal.SIGKILL)
            deployment.note(f"runner {runner} crashes, {RUN_S} s after it started the task")
            await asyncio.sleep(REPLACED_S)
            deployment.start_runner(
                f"i-{number + 1:08x}ff", rack="r1-9", port=life["options"]["port"]
            )
        await asyncio.sleep(12.0)
        state = await deployment.state(JOB)
        before = len(starts())
        await asyncio.sleep(WATCH_S)
        failed = [e for e in deployment.events() if e["event"] == "end" and e["how"] == "failed"]
        deployment.note(f"{len(starts())} starts, {len(failed)} runs have ended failed")
        if state == "failed" and not failed:
            running = len(starts()) > before
            return [
                f"job {JOB}, which nobody has cancelled, is shown as failed; no run of its task has "
                f"ended failed; started again since: {running}"
            ]
        return []


main(case, FOLDER / "record.txt")
