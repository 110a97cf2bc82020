"""Serves many doubles of workers from one process.

Prints ``ports P P …`` and then ``ready 0``, as ``demo.fleet`` expects of a stand-in.
"""

import argparse

import trio

from ibiscart_schema.generated.settings_pb2 import ServerSettings
from tests.standins.fault import serve_target
from tests.standins.worker import WorkerDouble


async def serve(options):
    """Serves until cancelled."""
    ports = []
    async with trio.open_nursery() as nursery:
        for index in range(options.count):
            worker = WorkerDouble(f"{options.id}-{index}")
            settings = ServerSettings(
                address="127.0.0.1:0",
                max_connections=512,
                max_body_bytes=1 << 20,
                header_timeout_seconds=10,
                body_timeout_seconds=30,
            )
            await nursery.start(worker.run)
            ports.append(await nursery.start(serve_target, worker.handle, settings, worker.faults))
        print("ports", *ports, flush=True)
        print("ready 0", flush=True)


def main():
    parser = argparse.ArgumentParser(description="Many doubles of workers.")
    parser.add_argument("--id", default="swarm")
    parser.add_argument("--count", type=int, default=1)
    trio.run(serve, parser.parse_args())


if __name__ == "__main__":
    main()
