"""
ibiscart_cli.session
~~~~~~~~~~~~~~~~~~~~

Calls to the entries, with another entry tried where that is safe.
"""

import json
import math
import sys
from pathlib import Path
from urllib.parse import quote, urlencode

import click
import trio

from ibiscart_cli.outcome import CallError, ExitCode, RefusalError
from ibiscart_entry.client import HttpClient, TransportError

__all__ = ["Session", "path_of"]

# an entry that is leaving or not ready did not run the call, and others may
OTHER_ENTRY_KINDS = frozenset({"draining", "not_ready", "overloaded"})
# the entry answers at its deadline; the answer needs a moment to arrive
ANSWER_GRACE_SECONDS = 1.0
LONGEST_REMAINING_MS = 600_000
# a read of all entries does not wait longer for one that is down
EACH_SECONDS = 5.0


def path_of(*parts, **query):
    """Returns a request target with each part and value percent-encoded."""
    path = "/v1/" + "/".join(quote(str(part), safe="") for part in parts)
    given = {name: value for name, value in query.items() if value is not None}
    return f"{path}?{urlencode(given)}" if given else path


class Session:
    """The entries, the key and the output form of one command.

    ``timeout`` is in seconds per call.
    """

    def __init__(self, addresses, key_file, *, as_json=False, timeout=30.0):
        self._addresses = addresses
        self._key_file = key_file
        self._key = ""
        self._clients = {}
        self.as_json = as_json
        self.timeout = timeout
        self.broken = False

    def run(self, main, *arguments):
        """Runs an async function under trio and returns its result."""
        if not self._addresses:
            message = "no entry is given; use --entry ADDRESS or the variable IBISCART_ENTRY"
            raise CallError(ExitCode.USAGE, message)
        self._key = _read_key(self._key_file) if self._key_file else ""
        try:
            return trio.run(self._main, main, *arguments)
        except CallError as error:
            error.as_json = self.as_json
            raise
        except KeyboardInterrupt:
            raise CallError(ExitCode.INTERRUPTED, "interrupted") from None
        except BaseExceptionGroup as group:
            # trio wraps an interrupt that reaches a nursery
            if group.subgroup(KeyboardInterrupt) is None:
                raise
            raise CallError(ExitCode.INTERRUPTED, "interrupted") from None

    async def _main(self, main, *arguments):
        try:
            return await main(*arguments)
        finally:
            for client in self._clients.values():
                await client.aclose()

    async def call(self, method, target, body=None, *, repeatable=True, timeout=None):
        """Sends a JSON call and returns the value of its answer."""
        data = b"" if body is None else json.dumps(body).encode()
        headers = [("content-type", "application/json")]
        response = await self.exchange(
            method, target, data, headers, repeatable=repeatable, timeout=timeout
        )
        return _value(response)

    async def read_each(self, target):
        """Returns (address, value or None, failure) of a read for every entry, in order."""
        timeout = min(self.timeout, EACH_SECONDS)
        found = {}

        async def read(address):
            try:
                response = await self._send(address, "GET", target, b"", [], timeout)
                refusal = _refusal(response)
                if refusal is not None:
                    found[address] = (address, None, refusal.kind)
                else:
                    found[address] = (address, _value(response), "")
            except TransportError as error:
                found[address] = (address, None, error.reason)
            except CallError as error:
                found[address] = (address, None, error.message)

        async with trio.open_nursery() as nursery:
            for address in self._addresses:
                nursery.start_soon(read, address)
        return [found[address] for address in self._addresses]

    async def exchange(self, method, target, data, headers, *, repeatable, timeout=None):
        """Returns the response of the first entry that gives one.

        The next entry is tried when nothing was sent, and for ``repeatable`` calls also when
        the connection broke. Raises ``CallError``; ``broken`` is set once a connection broke.
        """
        timeout = self.timeout if timeout is None else timeout
        end = trio.current_time() + timeout
        failures = []
        self.broken = False
        for index, address in enumerate(self._addresses):
            left = end - trio.current_time()
            if left <= 0:
                break
            try:
                response = await self._send(address, method, target, data, headers, left)
            except TransportError as error:
                failures.append(f"{address}: {error.reason}")
                self.broken |= error.sent
                if error.sent and not repeatable:
                    break
                continue
            refusal = _refusal(response)
            if refusal is None:
                return response
            last = index == len(self._addresses) - 1
            if refusal.kind not in OTHER_ENTRY_KINDS or refusal.error["ran"] != "no" or last:
                if self.broken and method != "GET":
                    refusal.mark_unknown()
                raise refusal
            failures.append(f"{address}: {refusal.kind}")
        raise self._failure(method, failures)

    async def _send(self, address, method, target, data, headers, left):
        client = self._clients.get(address)
        if client is None:
            client = self._clients[address] = HttpClient(address)
        remaining = min(LONGEST_REMAINING_MS, max(1, math.floor(left * 1000)))
        fields = [*headers, ("x-remaining-ms", str(remaining))]
        if self._key:
            fields.append(("authorization", f"Bearer {self._key}"))
        timeout = left + ANSWER_GRACE_SECONDS
        return await client.request(method, target, body=data, headers=fields, timeout=timeout)

    def _failure(self, method, failures):
        if self.broken and method != "GET":
            message = "the connection broke after the call was sent; ask for its outcome"
            return CallError(ExitCode.UNKNOWN, message, failures)
        if self.broken:
            return CallError(ExitCode.UNREACHABLE, "no entry gave an answer", failures)
        message = "no entry is reachable; nothing was sent"
        return CallError(ExitCode.UNREACHABLE, message, failures)

    def show(self, value, lines):
        """Prints a value as JSON or, by default, the lines of text."""
        if self.as_json:
            click.echo(json.dumps(value, indent=2))
        else:
            for line in lines:
                click.echo(line)

    @property
    def terminal(self):
        """Whether standard output is a terminal and text is wanted."""
        return sys.stdout.isatty() and not self.as_json


def _read_key(path):
    try:
        key = Path(path).expanduser().read_text(encoding="utf-8").strip()
    except (OSError, UnicodeDecodeError) as error:
        cause = getattr(error, "strerror", None) or "not UTF-8 text"
        raise CallError(ExitCode.USAGE, f"key file {path} cannot be read: {cause}") from None
    if not key or not key.isascii() or not key.isprintable():
        message = f"key file {path} holds no key; expected one line of printable ASCII"
        raise CallError(ExitCode.USAGE, message)
    return key


def _refusal(response):
    """Returns ``RefusalError`` for a refusal by an entry, or None."""
    if response.status < 400:
        return None
    if "x-ibiscart-error" not in response.headers and "x-journal-sequence" in response.headers:
        return None  # a runner's own answer
    try:
        value = json.loads(response.body)
        error = value["error"]
        if isinstance(error["code"], str) and isinstance(error["message"], str):
            return RefusalError({"ran": "maybe", **error}, value.get("request_id", ""))
    except (ValueError, KeyError, TypeError):
        pass
    message = f"status {response.status} without an error body of ibiscart"
    return RefusalError({"code": "bad_answer", "message": message, "ran": "maybe"}, "")


def _value(response):
    try:
        value = json.loads(response.body)
        if isinstance(value, dict):
            return value
    except ValueError:
        pass
    message = f"the answer with status {response.status} is not a JSON object"
    raise CallError(ExitCode.UNKNOWN, message)
