"""Minimal HTTP/1.1 over asyncio for the stand-ins of the review: server and client."""

import asyncio
import json
from urllib.parse import parse_qs, urlsplit


class Call:
    """One request that a server has read whole."""

    def __init__(self, method, target, headers, body):
        parts = urlsplit(target)
        self.method = method
        self.path = parts.path
        self.query = {name: values[-1] for name, values in parse_qs(parts.query).items()}
        self.headers = headers
        self.body = body

    def json(self):
        return json.loads(self.body)


async def _read_message(reader):
    """Returns (first line, headers, body) of one message, None at the end of the stream."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return lines[0], headers, body


async def serve(host, port, handler):
    """Serves ``handler``, an async function from ``Call`` to (status, document).

    A handler that returns None closes the connection without an answer.
    """

    async def serve_connection(reader, writer):
        try:
            while True:
                line, headers, body = await _read_message(reader)
                method, target, _ = line.split(" ", 2)
                answer = await handler(Call(method, target, headers, body))
                if answer is None:
                    break
                status, document = answer
                data = json.dumps(document, separators=(",", ":")).encode()
                writer.write(
                    f"HTTP/1.1 {status} -\r\ncontent-type: application/json\r\n"
                    f"content-length: {len(data)}\r\n\r\n".encode()
                    + data
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
            pass
        finally:
            writer.close()

    return await asyncio.start_server(serve_connection, host, port, limit=4 * 1024 * 1024)


class Client:
    """Sends requests to one address, each over a connection of its own unless kept open."""

    def __init__(self, host, port):
        self._host, self._port = host, port
        self._idle = []

    async def call(self, method, target, document=None, headers=(), timeout=4.0):
        """Returns (status, document), or (None, reason) if there was no whole answer."""
        try:
            return await asyncio.wait_for(self._call(method, target, document, headers), timeout)
        except asyncio.TimeoutError:
            return None, "timeout"
        except (OSError, asyncio.IncompleteReadError) as error:
            return None, type(error).__name__

    async def _call(self, method, target, document, headers):
        if self._idle:
            reader, writer = self._idle.pop()
        else:
            reader, writer = await asyncio.open_connection(
                self._host, self._port, limit=4 * 1024 * 1024
            )
        try:
            body = b"" if document is None else json.dumps(document).encode()
            fields = {"host": f"{self._host}:{self._port}", "content-type": "application/json"}
            fields.update(headers)
            fields["content-length"] = str(len(body))
            head = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
            writer.write(f"{method} {target} HTTP/1.1\r\n{head}\r\n".encode() + body)
            line, answer_headers, data = await _read_message(reader)
        except BaseException:
            writer.close()
            raise
        if answer_headers.get("connection", "").lower() == "close":
            writer.close()
        else:
            self._idle.append((reader, writer))
        return int(line.split(" ")[1]), json.loads(data) if data else None

    def close(self):
        for _, writer in self._idle:
            writer.close()
        self._idle.clear()
