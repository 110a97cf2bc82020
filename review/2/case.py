"""An entry of another writer in ``servers``, whose address can't be read as a host name.

With ``WAY=job`` in the environment, a client's job that asks for 1e308 GPUs in its place.
"""

import asyncio
import os
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))

from deployment import Deployment, main  # noqa: E402

STEPS = [{"count": 2, "cpu": 1000, "memMb": 512, "gpu": 1, "estimateMs": 1000}]
FIRST_JOB = "00000000000000a1"
LATER_JOBS = [f"{number:x}0000000000000b{number:x}" for number in range(1, 6)]
# of a service that no configuration names; U+FFFD stands where bytes could not be decoded
FOREIGN_ENTRY = {
    "service": "archiv", "address": "127.0.0.1\ufffd:9", "zone": "salt-lake", "version": "v1",
    "slots": 8, "state": "ready", "coldLeftMs": 0, "labels": ["a", "r9-1"],
    "capacity": {"cpu": 32000, "memMb": 65536, "gpu": 8}, "clockMs": 482113, "seq": 4,
    "born": 1_770_000_000_000,
}
HOSTILE_JOB = "f0000000000000f1"
READABLE_ADDRESS = "127.0.0.1:9"
RESTART_S = 1.0
FINISH_S = 14
WATCH_S = 3.5


async def case(trouble, record):
    ends = []

    async def restart(deployment):
        """Starts each entry process again after it has ended by itself."""
        while True:
            await asyncio.sleep(0.1)
            for entry in deployment.entries:
                code = entry.process.poll()
                if code is not None:
                    ends.append(entry.name)
                    deployment.note(f"{entry.name} has ended by itself, exit code {code}")
                    await asyncio.sleep(RESTART_S)
                    entry.start(deployment.run)
                    deployment.processes.append(entry.process)

    async with Deployment(record) as deployment:
        supervisor = asyncio.create_task(restart(deployment))
        assert await deployment.submit(FIRST_JOB, STEPS, {"ms": 1000}) == 200
        await asyncio.sleep(3)
        assert await deployment.state(FIRST_JOB) == "completed"
        if os.environ.get("WAY") == "job":
            gpu = 1e308 if trouble else 9
            await deployment.submit(HOSTILE_JOB, [{**STEPS[0], "gpu": gpu}], {"ms": 1000})
        else:
            address = FOREIGN_ENTRY["address"] if trouble else READABLE_ADDRESS
            deployment.note(f"another writer's entry in servers, address {address!r}")
            await deployment.put("servers", "x-00c0ffee", {**FOREIGN_ENTRY, "address": address})
        await asyncio.sleep(1.0)
        jobs = []
        for job in LATER_JOBS:
            for _ in range(20):
                if await deployment.submit(job, STEPS, {"ms": 1000}) == 200:
                    jobs.append(job)
                    break
                await asyncio.sleep(0.5)
        deployment.note(f"end of the traffic; accepted: {jobs}")
        await asyncio.sleep(FINISH_S)
        states = {job: await deployment.state(job) for job in jobs}
        before = len([e for e in deployment.events() if e["event"] == "start"])
        await asyncio.sleep(WATCH_S)
        starts = [e for e in deployment.events() if e["event"] == "start"]
        supervisor.cancel()
        breaks = [
            f"job {job}, accepted, is {state} {FINISH_S} s after the end of the traffic, and no "
            f"runner starts anything for {WATCH_S} s"
            for job, state in states.items()
            if state != "completed" and len(starts) == before
        ]
        if len(ends) >= 3 and len(set(ends)) >= 2:
            breaks.append(f"{len(ends)} ends of entry processes by themselves, on {len(set(ends))} "
                          f"of {len(deployment.entries)} machines")
        return breaks


main(case, FOLDER / "record.txt")
