"""Runners crash and come back as runners of another kind, under their ids, while jobs wait."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins-2"))

from deployment import main  # noqa: E402

FOLDER = Path(__file__).resolve().parent
RUNNERS = 20
CRASHED = ("runner-1", "runner-2", "runner-3")
DOWN_S = 3.0
ROUNDS = 4


def labels(kind):
    """Labels of the runners that crash: kind, rack, and one that they keep."""
    return [kind, "r1", "kept"]


async def case(deployment, trouble):
    step = {"count": 3, "cpu": 1000, "memMb": 1000, "gpu": 2, "estimateMs": 2000}
    kind, other = "b", "c"
    for number in range(ROUNDS):
        working, waiting = f"{number}0000000000000a1", f"{number}0000000000000b2"
        await deployment.submit(working, {**step, "requires": "kept", "antiAffinity": 1}, ms=2000)
        await deployment.wait_for(lambda: len(deployment.running(working)) == 3, 20, "tasks run")
        if trouble:
            for name in CRASHED:
                await deployment.kill_runner(name)
            await asyncio.sleep(DOWN_S)
        await deployment.submit(waiting, {**step, "requires": kind}, ms=500)
        if trouble:
            kind, other = other, kind
            deployment.labels.update(dict.fromkeys(CRASHED, labels(kind)))
            await asyncio.gather(*(deployment.start_runner(name) for name in CRASHED))
        await asyncio.sleep(4.0)
    required = {
        f"{number}0000000000000b2": "bc"[number % 2 if trouble else 0] for number in range(ROUNDS)
    }
    wrong, present = [], {}
    for item in deployment.events:
        if item["event"] == "up":
            present[item["id"]] = item["labels"]
        elif item["event"] == "run-started":
            label = required.get(item["task"].partition(".")[0])
            if label and label not in present[item["id"]]:
                wrong.append((item["task"], item["id"], f"not {label}"))
    return not wrong, f"starts on runners without the required label: {wrong or 'none'}"


main(case, FOLDER, runners=RUNNERS, labels={name: labels("b") for name in CRASHED})
