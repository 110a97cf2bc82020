"""Entry processes on loopback with many workers, and readings of what they use."""

import base64
import json
import re
import time

from demo.fleet import Fleet, usage
from ibiscart_entry.client import HttpClient
from tools.capacity.region import Region, worker_infos

__all__ = ["CapacityFleet", "Reading", "preload"]

SWARMS = 4
COUNTER = re.compile(r'^ibiscart_([a-z_]+)_total\{[a-z]+="([^"]*)"\} (\d+)$', re.MULTILINE)
# the settings of the fleet are those of a demo; these are the defaults of an entry
SETTINGS = {"membership": {"poll_seconds": 2}, "log": {"trace_path": ""}}


class CapacityFleet(Fleet):
    """A ``Fleet`` whose workers are served by a few processes."""

    def __init__(self, *, entries, workers=0, settings=None):
        super().__init__(entries=entries, workers=0, runners=0, settings=settings or SETTINGS)
        self._worker_total = workers
        self.worker_addresses = []
        self.clients = {entry.id: HttpClient(entry.address) for entry in self.entries}

    async def start(self, size=None):
        """Starts everything; ``size`` is the ``Size`` of the state that the store holds then."""
        for name in ("table", "objects", "members"):
            await self._start_service(name, [f"tests.standins.{name}"])
        await self._start_workers()
        if size is not None:
            await preload(self, size)
        machines = []
        for info in worker_infos(self.worker_addresses):
            machines.append({**info, "role": "worker"})
        machines += [self._entry_machine(entry) for entry in self.entries]
        await self.call("members", "POST", "/machines", {"machines": machines})
        for entry in self.entries:
            self.start_entry(entry)
        for entry in self.entries:
            await self.wait_ready(entry)

    async def read(self, entry):
        """Returns the ``Reading`` of an entry."""
        response = await self.clients[entry.id].request("GET", "/metrics", timeout=30)
        counters = {
            (name, label): int(value)
            for name, label, value in COUNTER.findall(response.body.decode())
        }
        resident, processor = usage(entry.child)
        return Reading(time.monotonic(), resident, processor, counters)

    async def read_all(self):
        """Returns the readings of all entries by id."""
        return {entry.id: await self.read(entry) for entry in self.entries}

    async def operate(self, method, path, value=None, entry=None, timeout=30):
        """Calls an entry as operator; returns (status, value)."""
        body = b"" if value is None else json.dumps(value).encode()
        headers = [("authorization", f"Bearer {self.operator_key}")]
        client = self.clients[(entry or self.entries[0]).id]
        response = await client.request(method, path, body=body, headers=headers, timeout=timeout)
        return response.status, json.loads(response.body)

    async def writer(self):
        """Returns the entry that decided most batches."""
        counts = {}
        for entry in self.entries:
            reading = await self.read(entry)
            counts[entry.id] = sum(
                value for (name, _), value in reading.counters.items() if name == "decisions"
            )
        best = max(counts, key=counts.get)
        return next(entry for entry in self.entries if entry.id == best)

    async def _start_workers(self):
        left = self._worker_total
        for index in range(SWARMS if left else 0):
            count = -(-left // (SWARMS - index))
            left -= count
            name = f"swarm-{index}"
            self._spawn(name, ["tools.capacity.swarm", "--id", name, "--count", str(count)])
            child = self.children[name]
            await child.port()
            line = next(x for x in child.output.read_text().splitlines() if x.startswith("ports"))
            self.worker_addresses += [f"127.0.0.1:{port}" for port in line.split()[1:]]


class Reading:
    """What an entry has used so far."""

    def __init__(self, time, resident, processor, counters):
        self.time = time
        self.resident = resident
        self.processor = processor
        self.counters = counters

    def processor_share(self, before):
        """Returns the share of one core since another reading, in %."""
        return 100 * (self.processor - before.processor) / (self.time - before.time)

    def rate(self, before, name, label):
        """Returns the growth of a counter in one second."""
        return self.growth(before, name, label) / (self.time - before.time)

    def growth(self, before, name, label):
        """Returns the growth of a counter."""
        key = (name, label)
        return self.counters.get(key, 0) - before.counters.get(key, 0)

    def labels(self, name):
        """Returns the labels of a counter."""
        return [label for found, label in self.counters if found == name]


async def preload(fleet, size):
    """Stores a snapshot of a region of ``size`` in the stand-ins of the store."""
    region = Region(
        size,
        name="loopback",
        addresses=fleet.worker_addresses or None,
        now_us=time.time_ns() // 1000,
    )
    region.decide().send()
    region.ledger.finish_record(1000, region.world.now_us)
    snapshot = region.ledger.snapshot()
    key = f"snapshot%2Floopback%2F{snapshot.sequence:016d}"
    objects = HttpClient(fleet.addresses["objects"])
    await objects.request(
        "PUT", f"/v1/objects/{key}", body=snapshot.SerializeToString(), timeout=30
    )
    await objects.aclose()

    def write(name, value):
        return {"key": name, "value": base64.b64encode(value.encode()).decode()}

    pointer = json.dumps({"sequence": snapshot.sequence, "previous": 0})
    writes = [write("snapshot/loopback", pointer)]
    writes.append(write("journal/loopback/head", str(snapshot.sequence)))
    await fleet.call("table", "POST", "/v1/transact", {"writes": writes})
    return region
