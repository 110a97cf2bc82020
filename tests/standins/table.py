"""
tests.standins.table
~~~~~~~~~~~~~~~~~~~~

Stand-in for the table service, with faults and a network in memory.

It runs in the process of a test or as ``python -m tests.standins.table --port P``.
``POST /control`` with a JSON object sets faults: ``down`` (requests get status 503), ``delay``
(seconds), ``lose`` (probability that a request takes effect, but its response is lost),
``refuse_writes`` (writes get status 503) and ``seed`` (of the random choice of lost responses).
``Network`` connects stand-ins and entries within one process, for tests in virtual time.
"""

import argparse
import contextlib
import functools
import json
import random

import trio
from google.protobuf.json_format import MessageToJson, Parse
from sortedcontainers import SortedDict

from ibiscart_entry.client import Response as ClientResponse
from ibiscart_entry.client import TransportError
from ibiscart_entry.server import HttpServer, Request, Response
from ibiscart_schema.generated import settings_pb2, store_pb2

# longer than every client timeout, so that the response is lost without a connection error
LOST_ANSWER_SECONDS = 30.0
MAX_ROWS = 1000


class Network:
    """Delivers requests between named nodes in one process, with delays and partitions.

    A request whose sender has timed out still reaches its receiver, as on a real network.
    ``request_delay`` maps (sender, address, request) to seconds added to ``latency`` before the
    request arrives. ``link_bytes_per_second`` limits what a node sends, and what it receives; the
    links of nodes that it does not name have no limit.
    ``messages`` counts requests and ``bytes`` their payload by (sender, address).
    """

    def __init__(self, nursery, latency=0.001):
        self.latency = latency
        self.handlers = {}
        self.blocked = set()
        self.request_delay = lambda sender, address, request: 0.0
        self.link_bytes_per_second = {}
        # channels for the responses to open requests, by address
        self.open_requests = {}
        self.messages = {}
        self.bytes = {}
        self._nursery = nursery
        self._paused = {}
        # maps (node, direction) to when the bytes that already wait for its link have passed
        self._link_busy_until = {}

    def connect_from(self, sender):
        """Returns a function from an address to a client, in place of ``HttpClient``."""
        return functools.partial(NetworkClient, self, sender)

    def partition(self, first_group, second_group):
        """Drops all requests and responses between two groups of nodes."""
        self.blocked.update((a, b) for a in first_group for b in second_group)
        self.blocked.update((b, a) for a in first_group for b in second_group)

    def reset_connections(self, address):
        """Ends all open requests to a node, as when its process ends."""
        for responses in list(self.open_requests.get(address, ())):
            responses.close()

    def heal(self):
        """Removes all partitions."""
        self.blocked.clear()

    def pause(self, name):
        """Pauses a node: it sends and receives no message until ``resume``."""
        self._paused[name] = trio.Event()

    def resume(self, name):
        """Ends the pause of a node."""
        self._paused.pop(name).set()

    async def wait_running(self, name):
        """Waits until a node is not paused."""
        while name in self._paused:
            await self._paused[name].wait()

    async def deliver(self, sender, address, request, responses, on_response):
        """Delivers a request to its receiver and sends the response to ``responses``.

        Calls ``on_response`` when the response begins to pass the links.
        """
        await self._transmit(sender, address, len(request.body))
        await trio.sleep(self.latency + self.request_delay(sender, address, request))
        await self.wait_running(address)
        handler = self.handlers.get(address)
        if handler is None or (sender, address) in self.blocked:
            return
        response = await handler(request)
        if not responses.statistics().open_receive_channels:
            # the sender has closed the connection, so the response does not use the links
            return
        if (address, sender) not in self.blocked:
            on_response()
        await self._transmit(address, sender, len(response.body))
        await trio.sleep(self.latency)
        await self.wait_running(address)
        if (address, sender) not in self.blocked:
            headers = {"content-type": response.content_type, **dict(response.headers)}
            with contextlib.suppress(trio.BrokenResourceError, trio.ClosedResourceError):
                responses.send_nowait(ClientResponse(response.status, headers, response.body))

    async def _transmit(self, sender, receiver, size):
        """Waits until ``size`` bytes have passed the sender's and the receiver's link."""
        arrives_at = trio.current_time()
        for link in ((sender, "send"), (receiver, "receive")):
            bytes_per_second = self.link_bytes_per_second.get(link[0])
            if bytes_per_second:
                begins_at = max(trio.current_time(), self._link_busy_until.get(link, 0.0))
                self._link_busy_until[link] = begins_at + size / bytes_per_second
                arrives_at = max(arrives_at, self._link_busy_until[link])
        await trio.sleep_until(arrives_at)

    def start_delivery(self, *arguments):
        """Starts ``deliver`` in the background, so that it outlives the sender's timeout."""
        self._nursery.start_soon(self.deliver, *arguments)


class NetworkClient:
    """Client of one address over a ``Network``; has the interface of ``HttpClient``."""

    def __init__(self, network, sender, address, *, max_connections=64):
        self.address = address
        self._network = network
        self._sender = sender
        self._limit = trio.CapacityLimiter(max_connections)

    async def request(
        self, method, target, *, body=b"", headers=(), timeout, on_response=lambda: None
    ):
        """Returns the receiver's response; ``timeout`` is in seconds. Raises ``TransportError``."""
        network, sender = self._network, self._sender
        with trio.move_on_after(timeout):
            await network.wait_running(sender)
            if self.address not in network.handlers:
                raise TransportError("refused", False)
            async with self._limit:
                request = Request(method, target, dict(headers), body, sender)
                response = await self._exchange(request, on_response)
            await network.wait_running(sender)
            return response
        # a sender that was paused past its deadline times out, even if the response has arrived
        await network.wait_running(sender)
        raise TransportError("timeout", True)

    async def aclose(self):
        pass

    async def _exchange(self, request, on_response):
        """Sends a request and returns the receiver's response."""
        network = self._network
        key = (self._sender, self.address)
        network.messages[key] = network.messages.get(key, 0) + 1
        network.bytes[key] = network.bytes.get(key, 0) + len(request.body)
        send, receive = trio.open_memory_channel(1)
        open_requests = network.open_requests.setdefault(self.address, set())
        open_requests.add(send)
        try:
            with receive:
                network.start_delivery(self._sender, self.address, request, send, on_response)
                return await receive.receive()
        except trio.EndOfChannel:
            raise TransportError("truncated", True) from None
        finally:
            open_requests.discard(send)


class ServiceFaults:
    """Faults of the stand-in for a service, which tests set directly or by ``POST /control``."""

    def __init__(self, seed=0):
        self.down = False
        self.delay = 0.0
        self.lose = 0.0
        self.refuse_writes = False
        self.random = random.Random(seed)

    def handle_control(self, request):
        """Sets the faults in the body of a request to ``/control``."""
        for name, value in json.loads(request.body or b"{}").items():
            if name == "seed":
                self.random = random.Random(value)
            elif name in ("down", "delay", "lose", "refuse_writes"):
                setattr(self, name, value)
            else:
                return Response.from_json(400, {"unknown": name})
        return Response.from_json(200, {})

    async def before_effect(self, is_write):
        """Returns an error response, or None if the operation may take effect."""
        if self.delay:
            await trio.sleep(self.delay)
        if self.down or (is_write and self.refuse_writes):
            return Response.from_json(503, {"error": "unavailable"})
        return None

    async def after_effect(self, response):
        """Returns ``response``, or an error response after 30 s if the response is to be lost."""
        if self.lose and self.random.random() < self.lose:
            await trio.sleep(LOST_ANSWER_SECONDS)
            return Response.from_json(503, {"error": "lost"})
        return response


class TableService:
    """Versioned rows; each write gets the next version, and no version is used twice.

    ``operations`` counts requests by kind.
    """

    def __init__(self, seed=0):
        self.rows = SortedDict()
        self.faults = ServiceFaults(seed)
        self.operations = {"transact": 0, "get": 0, "scan": 0}
        self._version = 0

    async def handle(self, request):
        """Handles one request of the table service's interface."""
        if request.path == "/control":
            return self.faults.handle_control(request)
        is_write = request.method == "POST"
        error_response = await self.faults.before_effect(is_write)
        if error_response is not None:
            return error_response
        return await self.faults.after_effect(self._respond(request, is_write))

    def _respond(self, request, is_write):
        """Runs the operation of a request, without faults; returns the ``Response``."""
        if is_write and request.path == "/v1/transact":
            self.operations["transact"] += 1
            return self._transact(Parse(request.body, store_pb2.TableTransaction()))
        if request.method == "GET" and request.path == "/v1/rows":
            self.operations["scan"] += 1
            return self._scan(request.query)
        if request.method == "GET" and request.path.startswith("/v1/rows/"):
            self.operations["get"] += 1
            row = self.rows.get(request.path.removeprefix("/v1/rows/"))
            return _json_response(200, row) if row is not None else Response.from_json(404, {})
        return Response.from_json(404, {"error": "no such path"})

    def _transact(self, transaction):
        """Applies all writes or, if an expected version differs, none; returns the ``Response``."""
        conflict = store_pb2.TableConflict()
        for write in transaction.writes:
            row = self.rows.get(write.key)
            version = row.version if row is not None else 0
            if write.HasField("expected_version") and write.expected_version != version:
                conflict.rows.append(row or store_pb2.TableRow(key=write.key))
        if conflict.rows:
            return _json_response(409, conflict)
        new_rows = store_pb2.TableRows()
        for write in transaction.writes:
            self._version += 1
            if write.delete:
                self.rows.pop(write.key, None)
                continue
            row = store_pb2.TableRow(key=write.key, value=write.value, version=self._version)
            self.rows[write.key] = row
            new_rows.rows.add(key=row.key, version=row.version)
        return _json_response(200, new_rows)

    def _scan(self, query):
        """Returns rows with a key prefix, in key order, as a ``Response``."""
        prefix, after = query.get("prefix", ""), query.get("after", "")
        limit = min(int(query.get("limit", MAX_ROWS)), MAX_ROWS)
        matching = store_pb2.TableRows()
        for key in self.rows.irange(max(prefix, after)):
            if not key.startswith(prefix) or len(matching.rows) >= limit:
                break
            if key > after:
                matching.rows.append(self.rows[key])
        return _json_response(200, matching)


def _json_response(status, message):
    """Returns a ``Response`` with a protobuf message as JSON."""
    text = MessageToJson(message, preserving_proto_field_name=True, indent=None)
    return Response(status, text.encode())


async def serve(service, host, port):
    """Serves a stand-in on ``host`` and prints ``ready PORT`` when it listens."""
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


def main(create_service):
    """Runs the stand-in that ``create_service`` creates from a seed, until interrupted."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--host", default="127.0.0.1")
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--seed", type=int, default=0)
    options = parser.parse_args()
    trio.run(serve, create_service(options.seed), options.host, options.port)


if __name__ == "__main__":
    main(TableService)
