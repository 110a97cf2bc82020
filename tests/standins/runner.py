"""
tests.standins.runner
~~~~~~~~~~~~~~~~~~~~~

Test double of a runner; by default with 8 slots (concurrent requests) and at most 64 connections.

The body of a request sets its service time, for example ``run_seconds=0.2``. Run as
``python -m tests.standins.runner --port 0 --id r1``; it prints ``ready PORT``.
"""

import argparse
import signal

import trio

from ibiscart_entry.server import Response
from ibiscart_schema.generated.settings_pb2 import ServerSettings
from tests.standins.action_log import ActionLog, parse_payload
from tests.standins.fault import MemoryClient, TargetFaults, serve_target

__all__ = ["RunnerDouble"]

DEFAULT_SLOTS = 8
DEFAULT_MAX_CONNECTIONS = 64


class RunnerDouble:
    """A runner; ``max_concurrent`` is the largest number of requests that ran at once.

    ``starts`` counts the runs by request id, ``not_run`` the rejected requests.
    """

    def __init__(self, runner_id, *, slots=DEFAULT_SLOTS, service_seconds=0.0, trace_path=""):
        self.id = runner_id
        self.faults = TargetFaults()
        self.action_log = ActionLog(runner_id, trace_path)
        self.slots = slots
        self.service_seconds = service_seconds
        self.running = {}
        self.starts = {}
        self.not_run = 0
        self.max_concurrent = 0
        self._previous_responses = []

    def client(self):
        """Returns a client that calls ``handle`` directly."""
        return MemoryClient(self.handle, self.faults)

    async def handle(self, request):
        """Handles one request of the runner interface."""
        if request.path != "/v1/run" or request.method != "POST":
            return Response.from_json(404, {"error": "no such path"})
        request_id = request.headers.get("x-request-id", "")
        if len(self.running) >= self.slots or self.faults.leaving or self.faults.consume("refuse"):
            return self._reject(request_id)
        return self._swap_response(await self._run_request(request_id, request))

    async def _run_request(self, request_id, request):
        """Occupies a slot for the request's service time; returns the ``Response``."""
        account, _, name = request_id.partition("/")
        token = object()
        self.running[token] = request_id
        self.max_concurrent = max(self.max_concurrent, len(self.running))
        self.starts[request_id] = self.starts.get(request_id, 0) + 1
        self.action_log.add("request_started", account, name)
        body = request.body.decode("utf-8", "replace")
        try:
            await trio.sleep(parse_payload(body).get("run_seconds", self.service_seconds))
        finally:
            del self.running[token]
            self.action_log.add("request_ended", account, name)
        status = 500 if self.faults.fail_everything else 200
        return Response.from_json(
            status,
            {"request_id": request_id, "runner": self.id, "echo": body},
            headers=[("x-request-id", request_id)],
        )

    def _reject(self, request_id):
        """Returns the ``Response`` to a request that is not run."""
        self.not_run += 1
        return Response.from_json(
            503,
            {"leaving": bool(self.faults.leaving)},
            headers=[("x-request-id", request_id), ("x-not-run", "1")],
        )

    def _swap_response(self, response):
        # with ``cross_answers``, returns the response of the previous request in place of this one
        previous = self._previous_responses[-1] if self._previous_responses else None
        self._previous_responses = [response]
        if previous is not None and self.faults.consume("cross_answers"):
            return previous
        return response


async def _main(options):
    runner = RunnerDouble(
        options.id,
        slots=options.slots,
        service_seconds=options.service_seconds,
        trace_path=options.trace,
    )
    settings = ServerSettings(
        address=f"{options.host}:{options.port}",
        max_connections=options.connections,
        max_body_bytes=1 << 20,
        header_timeout_seconds=10,
        body_timeout_seconds=30,
    )
    async with trio.open_nursery() as nursery:
        with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            port = await nursery.start(serve_target, runner.handle, settings, runner.faults)
            print(f"ready {port}", flush=True)
            await signals.__anext__()
            nursery.cancel_scope.cancel()


def main():
    parser = argparse.ArgumentParser(description="Test double of a runner.")
    parser.add_argument("--host", default="127.0.0.1")
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--id", default="runner")
    parser.add_argument("--slots", type=int, default=DEFAULT_SLOTS)
    parser.add_argument("--connections", type=int, default=DEFAULT_MAX_CONNECTIONS)
    parser.add_argument("--service-seconds", type=float, default=0.0)
    parser.add_argument("--trace", default="", help="file for TraceEvent lines")
    trio.run(_main, parser.parse_args())


if __name__ == "__main__":
    main()
