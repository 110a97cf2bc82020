"""
tests.standins.table
~~~~~~~~~~~~~~~~~~~~

Table service with faults, in-process or as ``python -m tests.standins.table --port P``.

``POST /control`` with a JSON object sets faults: ``down``, ``delay`` (seconds), ``lose``
(probability that the answer is lost after the effect), ``refuse_writes`` and ``seed``.
``Network`` connects stand-ins and entries within one process, for tests in virtual time.
"""

import argparse
import json
import random

import trio
from google.protobuf.json_format import MessageToJson, Parse
from sortedcontainers import SortedDict

from ibiscart_entry.client import Response as ClientResponse
from ibiscart_entry.client import TransportError
from ibiscart_entry.server import HttpServer, Request, Response
from ibiscart_schema.generated import settings_pb2, store_pb2

# longer than any client waits, so that the answer is lost while the server stays in order
LOST_ANSWER_SECONDS = 30.0
MAX_ROWS = 1000


class Network:
    """Carries requests between named parties in one process, with delays and partitions.

    A request whose sender has given up still reaches its receiver, as on a real network.
    ``request_delay`` maps (sender, address, request) to seconds added to ``latency`` before the
    request arrives.
    ``messages`` counts requests and ``bytes`` their payload by (sender, address).
    """

    def __init__(self, nursery, latency=0.001):
        self.latency = latency
        self.handlers = {}
        self.blocked = set()
        self.request_delay = lambda sender, address, request: 0.0
        self.messages = {}
        self.bytes = {}
        self._nursery = nursery
        self._paused = {}

    def connect_from(self, sender):
        """Returns a function from an address to a client, in place of ``HttpClient``."""
        return lambda address: NetworkClient(self, sender, address)

    def partition(self, left, right):
        """Loses everything between two groups of names."""
        self.blocked.update((a, b) for a in left for b in right)
        self.blocked.update((b, a) for a in left for b in right)

    def heal(self):
        self.blocked.clear()

    def pause(self, name):
        """Stops a party: it sends, receives and answers nothing until it resumes."""
        self._paused[name] = trio.Event()

    def resume(self, name):
        self._paused.pop(name).set()

    async def wait_running(self, name):
        while name in self._paused:
            await self._paused[name].wait()

    async def deliver(self, sender, address, request, answers):
        """Delivers a request to its receiver and sends the response to ``answers``."""
        await trio.sleep(self.latency + self.request_delay(sender, address, request))
        await self.wait_running(address)
        handler = self.handlers.get(address)
        if handler is None or (sender, address) in self.blocked:
            return
        response = await handler(request)
        await trio.sleep(self.latency)
        await self.wait_running(address)
        if (address, sender) not in self.blocked:
            headers = {"content-type": response.content_type, **dict(response.headers)}
            answers.send_nowait(ClientResponse(response.status, headers, response.body))

    def start(self, *arguments):
        self._nursery.start_soon(self.deliver, *arguments)


class NetworkClient:
    """Client of one address over a ``Network``; has the interface of ``HttpClient``."""

    def __init__(self, network, sender, address):
        self.address = address
        self._network = network
        self._sender = sender

    async def request(self, method, target, *, body=b"", headers=(), timeout):
        network, sender = self._network, self._sender
        with trio.move_on_after(timeout):
            await network.wait_running(sender)
            if self.address not in network.handlers:
                raise TransportError("refused", False)
            key = (sender, self.address)
            network.messages[key] = network.messages.get(key, 0) + 1
            network.bytes[key] = network.bytes.get(key, 0) + len(body)
            request = Request(method, target, dict(headers), body, sender)
            send, receive = trio.open_memory_channel(1)
            network.start(sender, self.address, request, send)
            response = await receive.receive()
            await network.wait_running(sender)
            return response
        # after a pause the answer may be there, but the sender's own deadline has passed
        await network.wait_running(sender)
        raise TransportError("timeout", True)

    async def aclose(self):
        pass


class ServiceFaults:
    """Faults of a stand-in that tests switch on and off."""

    def __init__(self, seed=0):
        self.down = False
        self.delay = 0.0
        self.lose = 0.0
        self.refuse_writes = False
        self.random = random.Random(seed)

    def control(self, request):
        for name, value in json.loads(request.body or b"{}").items():
            if name == "seed":
                self.random = random.Random(value)
            elif name in ("down", "delay", "lose", "refuse_writes"):
                setattr(self, name, value)
            else:
                return Response.from_json(400, {"unknown": name})
        return Response.from_json(200, {})

    async def before_effect(self, write):
        """Returns an error answer, or None when the operation may take effect."""
        if self.delay:
            await trio.sleep(self.delay)
        if self.down or (write and self.refuse_writes):
            return Response.from_json(503, {"error": "unavailable"})
        return None

    async def after_effect(self, response):
        if self.lose and self.random.random() < self.lose:
            await trio.sleep(LOST_ANSWER_SECONDS)
            return Response.from_json(503, {"error": "lost"})
        return response


class TableService:
    """Rows with versions that count up with each write and are never used twice."""

    def __init__(self, seed=0):
        self.rows = SortedDict()
        self.faults = ServiceFaults(seed)
        self.operations = {"transact": 0, "get": 0, "scan": 0}
        self._version = 0

    async def handle(self, request):
        if request.path == "/control":
            return self.faults.control(request)
        write = request.method == "POST"
        refusal = await self.faults.before_effect(write)
        if refusal is not None:
            return refusal
        return await self.faults.after_effect(self._answer(request, write))

    def _answer(self, request, write):
        if write and request.path == "/v1/transact":
            self.operations["transact"] += 1
            return self._transact(Parse(request.body, store_pb2.TableTransaction()))
        if request.method == "GET" and request.path == "/v1/rows":
            self.operations["scan"] += 1
            return self._scan(request.query)
        if request.method == "GET" and request.path.startswith("/v1/rows/"):
            self.operations["get"] += 1
            row = self.rows.get(request.path.removeprefix("/v1/rows/"))
            return _json(200, row) if row is not None else Response.from_json(404, {})
        return Response.from_json(404, {"error": "no such path"})

    def _transact(self, transaction):
        conflict = store_pb2.TableConflict()
        for write in transaction.writes:
            row = self.rows.get(write.key)
            version = row.version if row is not None else 0
            if write.HasField("expected_version") and write.expected_version != version:
                conflict.rows.append(row or store_pb2.TableRow(key=write.key))
        if conflict.rows:
            return _json(409, conflict)
        written = store_pb2.TableRows()
        for write in transaction.writes:
            self._version += 1
            if write.delete:
                self.rows.pop(write.key, None)
                continue
            row = store_pb2.TableRow(key=write.key, value=write.value, version=self._version)
            self.rows[write.key] = row
            written.rows.add(key=row.key, version=row.version)
        return _json(200, written)

    def _scan(self, query):
        prefix, after = query.get("prefix", ""), query.get("after", "")
        limit = min(int(query.get("limit", MAX_ROWS)), MAX_ROWS)
        found = store_pb2.TableRows()
        for key in self.rows.irange(max(prefix, after)):
            if not key.startswith(prefix) or len(found.rows) >= limit:
                break
            if key > after:
                found.rows.append(self.rows[key])
        return _json(200, found)


def _json(status, message):
    text = MessageToJson(message, preserving_proto_field_name=True, indent=None)
    return Response(status, text.encode())


async def serve(service, host, port):
    """Serves a stand-in on loopback and prints ``ready PORT`` when it listens."""
    settings = settings_pb2.ServerSettings(
        address=f"{host}:{port}",
        max_connections=512,
        max_body_bytes=64 * 1024 * 1024,
        header_timeout_seconds=10,
        body_timeout_seconds=30,
    )
    server = HttpServer(service.handle, settings)
    async with trio.open_nursery() as nursery:
        print("ready", await nursery.start(server.serve), flush=True)


def main(build):
    """Runs a stand-in that ``build`` makes from a seed."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--host", default="127.0.0.1")
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--seed", type=int, default=0)
    options = parser.parse_args()
    trio.run(serve, build(options.seed), options.host, options.port)


if __name__ == "__main__":
    main(TableService)
