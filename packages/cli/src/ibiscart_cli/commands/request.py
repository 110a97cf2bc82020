"""
ibiscart_cli.commands.request
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Short requests to runners.
"""

import json
import secrets
import sys
from pathlib import Path

import click

from ibiscart_cli.outcome import CallError, ExitCode
from ibiscart_cli.session import path_of

__all__ = ["request"]

ID_BYTES = 8


@click.group(epilog="Example: ibiscart request send reports label.json --kind label")
def request():
    """Send short requests and look up their responses."""


@request.command(epilog="""\b
Examples:
  ibiscart request send reports label.json --kind label
  ibiscart request send billing invoice.json --id inv-17 --once
""")
@click.argument("account")
@click.argument("file")
@click.option("--id", "request_id", help="Request id; a resend needs the same. Default: random.")
@click.option("--kind", default="default", show_default=True, help="Groups similar requests.")
@click.option("--once", is_flag=True, help="The request must run at most once.")
@click.option("--content-type", default="application/json", show_default=True)
@click.pass_obj
def send(session, account, file, request_id, kind, once, content_type):
    """Send the body in FILE, '-' for standard input, and print the response."""
    try:
        body = sys.stdin.buffer.read() if file == "-" else Path(file).read_bytes()
    except OSError as error:
        raise CallError(ExitCode.USAGE, f"{file}: {error.strerror}") from None
    request_id = request_id or f"cli-{secrets.token_hex(ID_BYTES)}"
    repeatable = "0" if once else "1"
    target = path_of("accounts", account, "requests", request_id, kind=kind, repeatable=repeatable)
    headers = [("content-type", content_type)]
    click.echo(f"request id: {request_id}", err=True)

    async def main():
        return await session.exchange("POST", target, body, headers, repeatable=not once)

    _show(session, session.run(main))


@request.command(epilog="Example: ibiscart request show billing inv-17")
@click.argument("account")
@click.argument("request_id")
@click.pass_obj
def show(session, account, request_id):
    """Print the recorded response to a request that ran at most once."""
    target = path_of("accounts", account, "requests", request_id)

    async def main():
        return await session.exchange("GET", target, b"", [], repeatable=True)

    _show(session, session.run(main))


def _show(session, response):
    if session.as_json:
        value = {
            "status": response.status,
            "headers": response.headers,
            "body": response.body.decode("utf-8", "replace"),
        }
        click.echo(json.dumps(value, indent=2))
    else:
        sys.stdout.buffer.write(response.body)
        sys.stdout.buffer.flush()
    if response.status >= 400:
        message = f"the runner answered with status {response.status}"
        raise CallError(ExitCode.REFUSED, message)
