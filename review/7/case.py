"""Two runners with a label crash, the second for good, under jobs whose tasks last."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins-2"))

from deployment import BOUNDS, NotRunnable, main  # noqa: E402

FOLDER = Path(__file__).resolve().parent
FIRST, SECOND = "00000000000000a1", "10000000000000b2"
WITH_LABEL = ("runner-1", "runner-2")
DOWN_S = 4.0
# after a loss: the longest lease, and then the bounds of the rule: 6 s after a task's last run,
# 4 s that are calm, and 3 s with nothing at work
EXCUSED_S = BOUNDS["maxHoldMs"] / 1000 + 6 + 4 + 3
WATCH_S = 40.0


def runner_of(deployment, job_id):
    """Returns the runner of a job's only task, None while it is not at work."""
    return next((runner for runner, *_ in deployment.running(job_id)), None)


async def case(deployment, trouble):
    step = {"count": 1, "cpu": 1000, "memMb": 1000, "gpu": 1, "estimateMs": 1000}
    step |= {"longRunning": True, "requires": "b"}
    await deployment.submit(FIRST, step, queue="/q0/", lasts=True)
    runner = await deployment.wait_for(lambda: runner_of(deployment, FIRST), 10, "the task runs")
    if trouble:
        await asyncio.sleep(5.0)
        await deployment.kill_runner(runner)
        await asyncio.sleep(DOWN_S)
        await deployment.start_runner(runner)
        runner = await deployment.wait_for(
            lambda: runner_of(deployment, FIRST), 20, "the first task runs again"
        )
        await asyncio.sleep(5.0)
    await deployment.submit(SECOND, step, lasts=True)
    other = await deployment.wait_for(lambda: runner_of(deployment, SECOND), 10, "the other runs")
    if other != runner:
        raise NotRunnable("the two tasks are on different runners")
    if trouble:
        await asyncio.sleep(5.0)
        await deployment.kill_runner(runner)
        await asyncio.sleep(EXCUSED_S)
    began = deployment.now()
    absent = {FIRST, SECOND}
    while deployment.now() < began + WATCH_S:
        absent = {job_id for job_id in absent if runner_of(deployment, job_id) is None}
        await asyncio.sleep(0.1)
    at_work = {job_id: runner_of(deployment, job_id) for job_id in (FIRST, SECOND)}
    states = [await deployment.state(FIRST, "/q0/"), await deployment.state(SECOND)]
    text = f"nothing at work for {WATCH_S:.0f} s on end: {sorted(absent) or 'none'}; "
    text += f"states {states}; runners {at_work}"
    return not absent, text


main(case, FOLDER, runners=8, labels={name: ["b", "r1"] for name in WITH_LABEL})
