"""Bytes and processor time of the calls that balancers, collectors and callers make.

Run with ``python -m tools.capacity.caller``: one entry, no workers, one call at a time.
"""

import json
import time

import trio

from demo.fleet import key_hash, usage
from ibiscart_entry.client import HttpClient
from ibiscart_entry.metric import Metrics
from tools.capacity.fleet import CapacityFleet
from tools.capacity.table import print_command, print_table

CALLS = 300
SETTLE_SECONDS = 3
KEY = "a key of this account"


def calls(fleet):
    """Returns (name, method, path, headers, function from a number to a body)."""
    operator = [("authorization", f"Bearer {fleet.operator_key}")]
    caller = [("authorization", f"Bearer {KEY}")]
    spec = {
        "shape": {"members": 1, "member": {"cpu_millis": 1000}, "scope": "region"},
        "declared_seconds": 600,
    }

    def change(number):
        return {"weight": 1 + number % 100, "key_sha256": [key_hash(KEY)]}

    contract = "/v1/contracts/team?expected={}"
    yield "PUT contract", "PUT", contract, operator, change
    yield "GET /ready", "GET", "/ready", [], None
    yield "GET /metrics", "GET", "/metrics", [], None
    # without workers, the answer is a refusal that names the shape
    path = "/v1/accounts/team/jobs"
    yield "POST job, refused", "POST", path, caller, lambda n: spec | {"request_id": f"job-{n}"}


async def run():
    """Prints the table."""
    fleet = CapacityFleet(entries=1)
    rows = []
    try:
        await fleet.start()
        await trio.sleep(SETTLE_SECONDS)
        for name, method, path, headers, build in calls(fleet):
            metrics = Metrics()
            client = HttpClient(fleet.entries[0].address, traffic=metrics.traffic("callers"))
            _, before = usage(fleet.entries[0].child)
            start = time.monotonic()
            for number in range(CALLS):
                body = json.dumps(build(number)).encode() if build else b""
                target = path.format(number)
                response = await client.request(
                    method, target, body=body, headers=headers, timeout=10
                )
            seconds = time.monotonic() - start
            _, after = usage(fleet.entries[0].child)
            sent = metrics.value("wire_bytes_sent", "callers") / CALLS
            received = metrics.value("wire_bytes_received", "callers") / CALLS
            processor = (after - before) * 1000 / CALLS
            rows.append((name, response.status, sent, received, processor, 1000 * seconds / CALLS))
            await client.aclose()
    finally:
        fleet.stop()
    heads = ("call", "last status", "bytes sent", "bytes received", "processor ms", "ms per call")
    print_table(heads, rows)


def main():
    print_command("tools.capacity.caller")
    trio.run(run)


if __name__ == "__main__":
    main()
