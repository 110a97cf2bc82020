"""A client leaves a frozen machine and cancels its job elsewhere; the job runs nevertheless."""

import asyncio
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-3"))

from platform_standin import (  # noqa: E402
    CANCEL_MS,
    CONTACT_MS,
    STOP_MS,
    CannotRun,
    Deployment,
    Record,
    job,
    main,
    step,
)

JOB_ID = "b0b0000000000013"
FREEZE_SECONDS = 4.0
WORK_MS = 40_000
# after the end of the freeze: the span until all machines are in touch again, then the stretch
# after which a task of a cancelled job has to be gone, and a second more
GONE_SECONDS = (CONTACT_MS + CANCEL_MS + STOP_MS) / 1000 + 1.0


async def play(record: Record, trouble):
    async with Deployment(record, runners=4, entries=3) as deployment:
        await deployment.wait_serving()
        others = [entry for entry in deployment.entries if entry is not deployment.leader]
        if len(others) != 2:
            raise CannotRun("no leader")
        frozen, sound = others
        await asyncio.sleep(4.0)
        if trouble:
            frozen.signal(signal.SIGSTOP)
        froze_at = record.now()
        # the client waits for its deadline of 3 s
        await deployment.submit(frozen, JOB_ID, job(step(gpu=1), ms=WORK_MS))
        await asyncio.sleep(max(0.0, froze_at + 3.0 - record.now()))
        status, _ = await deployment.cancel(sound, JOB_ID)
        if status not in (200, 202, 204, 410):
            raise CannotRun("the cancel was not acknowledged")
        cancelled_at = record.now()
        await asyncio.sleep(max(0.0, froze_at + FREEZE_SECONDS - record.now()))
        if trouble:
            frozen.signal(signal.SIGCONT)
        await asyncio.sleep(GONE_SECONDS)
        status, answer = await deployment.get(sound, JOB_ID, silent=False)
        runs = deployment.runs_of(JOB_ID)
        late = [at for at in deployment.starts_of(JOB_ID) if at > cancelled_at]
        record.write(
            f"cancel acknowledged at {cancelled_at:.3f} s; starts after it: "
            f"{[round(at, 3) for at in late]}; {GONE_SECONDS} s after the freeze on a runner: "
            f"{[(runner.name, run.task, run.number) for runner, run in runs]}"
        )
        return bool(runs)


if __name__ == "__main__":
    main(FOLDER, play)
