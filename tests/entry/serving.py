"""A running server for tests over sockets."""

import json
import unittest
from contextlib import asynccontextmanager

import trio

from ibiscart_entry.server import HttpServer, Response
from ibiscart_schema.generated.settings_pb2 import ServerSettings
from tests.standins.loopback import LOOPBACK

__all__ = [
    "ServerCase",
    "GET",
    "Rig",
    "TEST_SECONDS",
    "echo",
    "error_of",
    "read_end",
    "read_some",
    "serving",
    "settings",
]

TEST_SECONDS = 20
GET = b"GET /x HTTP/1.1\r\nhost: a\r\n\r\n"


def settings(**changes):
    values = {
        "address": f"{LOOPBACK}:0",
        "max_connections": 8,
        "max_body_bytes": 4096,
        "header_timeout_seconds": 0.3,
        "body_timeout_seconds": 0.3,
    }
    return ServerSettings(**{**values, **changes})


class Rig:
    """A running server and what it reported."""

    def __init__(self, server, port, kinds):
        self.server = server
        self.port = port
        self.kinds = kinds

    async def connect(self):
        return await trio.open_tcp_stream(LOOPBACK, self.port)

    async def exchange(self, data):
        """Sends bytes on a new connection and returns everything up to its end."""
        stream = await self.connect()
        async with stream:
            await stream.send_all(data)
            return await read_end(stream)

    async def healthy(self):
        """Tells whether the server still answers."""
        stream = await self.connect()
        async with stream:
            await stream.send_all(GET)
            return (await read_some(stream)).startswith(b"HTTP/1.1 200")


async def read_end(stream):
    parts = []
    while data := await stream.receive_some(65536):
        parts.append(data)
    return b"".join(parts)


async def read_some(stream):
    return await stream.receive_some(65536)


def error_of(answer):
    return json.loads(answer.split(b"\r\n\r\n", 1)[1])["error"]


async def echo(request):
    body = f"{request.method} {request.path} {len(request.body)}".encode()
    return Response(200, body, "text/plain")


@asynccontextmanager
async def serving(handler=echo, **changes):
    kinds = []
    server = HttpServer(handler, settings(**changes), kinds.append)
    with trio.fail_after(TEST_SECONDS):
        async with trio.open_nursery() as nursery:
            port = await nursery.start(server.serve)
            yield Rig(server, port, kinds)
            nursery.cancel_scope.cancel()


class ServerCase(unittest.TestCase):
    """Runs a case on a server, which must answer and be idle afterwards."""

    def run_case(self, case, handler=echo, **changes):
        async def main():
            async with serving(handler, **changes) as rig:
                await case(rig)
                self.assertTrue(await rig.healthy(), "the server stopped answering")
                with trio.fail_after(3):
                    await rig.server.wait_closed()
                self.assertEqual(rig.server.requests, 0)

        trio.run(main)
