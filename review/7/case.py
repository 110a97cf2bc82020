"""Two runners are lost for good, one after the other, under a job whose tasks last."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins-2"))

from deployment import BOUNDS, main  # noqa: E402

FOLDER = Path(__file__).resolve().parent
JOB = "00000000000000a1"
TASKS = 12
# after a loss: the longest lease, and then the bounds of the rule: 6 s after a task's last run,
# 4 s that are calm, and 3 s with nothing at work
EXCUSED_S = BOUNDS["maxHoldMs"] / 1000 + 6 + 4
WATCH_S = 40.0


def tasks_by_runner(deployment):
    tasks = {}
    for runner, task, _ in deployment.running(JOB):
        tasks.setdefault(runner, set()).add(task)
    return tasks


async def lose_runner(deployment, runner):
    """Kills a runner that never comes back; returns the tasks that ran on it."""
    tasks = tasks_by_runner(deployment)[runner]
    await deployment.kill_runner(runner)
    return tasks


async def case(deployment, trouble):
    step = {"count": TASKS, "cpu": 1000, "memMb": 1000, "gpu": 1, "estimateMs": 1000}
    await deployment.submit(JOB, {**step, "longRunning": True}, lasts=True)

    def all_at_work():
        return len({task for _, task, _ in deployment.running(JOB)}) == TASKS

    await deployment.wait_for(all_at_work, 10, "all tasks run")
    await asyncio.sleep(1.0)
    if trouble:
        # the one with the most tasks, each time
        first = max(tasks_by_runner(deployment).items(), key=lambda item: len(item[1]))[0]
        moved = await lose_runner(deployment, first)
        await deployment.wait_for(all_at_work, 20, "the tasks of the first runner run elsewhere")
        await asyncio.sleep(8.0)
        second = max(tasks_by_runner(deployment).items(), key=lambda item: len(item[1] & moved))[0]
        await lose_runner(deployment, second)
        await asyncio.sleep(EXCUSED_S)
    began = deployment.now()
    absent = {f"{JOB}.0.0.{index}" for index in range(TASKS)}
    while deployment.now() < began + WATCH_S:
        absent -= {task for _, task, _ in deployment.running(JOB)}
        await asyncio.sleep(0.1)
    spread = {runner: len(tasks) for runner, tasks in sorted(tasks_by_runner(deployment).items())}
    text = f"not at work for {WATCH_S:.0f} s on end: {sorted(absent) or 'none'}; state "
    text += f"{await deployment.state(JOB)}; tasks at work by runner, of 8 GPUs each: {spread}"
    return not absent, text


main(case, FOLDER, runners=8)
