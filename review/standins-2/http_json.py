"""Small HTTP/1.1 server and client with JSON bodies, standard library only."""

import asyncio
import json
from urllib.parse import parse_qsl, unquote, urlsplit


class Request:
    """One request; ``query`` and ``headers`` are dicts, header names are lower case."""

    def __init__(self, method, target, headers, body):
        parts = urlsplit(target)
        self.method = method
        self.path = unquote(parts.path)
        self.query = dict(parse_qsl(parts.query, keep_blank_values=True))
        self.headers = headers
        self.body = body

    def json(self):
        return json.loads(self.body or b"{}")


async def read_message(reader):
    """Returns (start line, headers, body), or None at the end of the stream."""
    line = await reader.readline()
    if not line:
        return None
    headers = {}
    while (field := await reader.readline()) not in (b"\r\n", b""):
        name, _, value = field.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()
    size = int(headers.get("content-length", "0"))
    body = await reader.readexactly(size) if size else b""
    return line.decode("latin-1").strip(), headers, body


async def serve(host, port, handler):
    """Serves ``handler``, an async function from ``Request`` to (status, JSON value).

    A handler that returns None leaves the request without an answer.
    """

    async def connection(reader, writer):
        try:
            while (message := await read_message(reader)) is not None:
                line, headers, body = message
                method, target, _ = line.split(" ", 2)
                answer = await handler(Request(method, target, headers, body))
                if answer is None:
                    await asyncio.sleep(3600)
                status, value = answer
                data = json.dumps(value).encode()
                head = (
                    f"HTTP/1.1 {status} X\r\ncontent-type: application/json\r\n"
                    f"content-length: {len(data)}\r\n\r\n"
                )
                writer.write(head.encode() + data)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    return await asyncio.start_server(connection, host, port, backlog=512)


async def call(address, method, path, document=None, headers=(), timeout=3.0):
    """Returns (status, JSON value) on a new connection, (0, reason) without an answer."""
    host, _, port = address.rpartition(":")
    data = json.dumps(document).encode() if document is not None else b""
    fields = {"host": address, "content-length": str(len(data)), "connection": "close"}
    fields.update({name.lower(): value for name, value in dict(headers).items()})
    if data:
        fields["content-type"] = "application/json"
    head = f"{method} {path} HTTP/1.1\r\n"
    head += "".join(f"{name}: {value}\r\n" for name, value in fields.items()) + "\r\n"
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(head.encode() + data)
            await writer.drain()
            message = await read_message(reader)
            if message is None:
                return 0, "closed"
            line, _, body = message
            try:
                value = json.loads(body or b"null")
            except ValueError:
                value = body.decode("utf-8", "replace")
            return int(line.split(" ")[1]), value
    except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
        return 0, type(error).__name__
    finally:
        if writer is not None:
            writer.close()
