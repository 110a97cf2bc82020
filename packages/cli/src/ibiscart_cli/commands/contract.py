"""
ibiscart_cli.commands.contract
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Contracts of client accounts, for operators.
"""

import os
import secrets
from pathlib import Path

import click
import yaml

from ibiscart_cli.document import read_document
from ibiscart_cli.outcome import CallError, ExitCode, RefusalError
from ibiscart_cli.session import path_of
from ibiscart_cli.table import columns
from ibiscart_entry.auth import hash_key as hash_of
from ibiscart_schema.check import to_mapping
from ibiscart_schema.generated.types_pb2 import Contract

__all__ = ["contract"]

KEY_BYTES = 32
EXPECTED_HELP = "Version that the change is based on."


@click.group(epilog="""\b
Examples:
  ibiscart contract hash-key --output reports.key
  ibiscart contract create reports.yaml --dry-run
  ibiscart contract show reports > reports.yaml    # carries its version
  ibiscart contract apply reports.yaml
  ibiscart contract explain reports
""")
def contract():
    """Create, change and explain contracts."""


@contract.command(epilog="Example: ibiscart contract create reports.yaml --dry-run")
@click.argument("file")
@click.option("--dry-run", is_flag=True, help="Only tell what the change would do.")
@click.pass_obj
def create(session, file, dry_run):
    """Create the contract in FILE; fails when the account has one."""
    session.run(_put, session, read_document(file, Contract), 0, dry_run)


@contract.command(epilog="Example: ibiscart contract apply reports.yaml --expected 3")
@click.argument("file")
@click.option("--expected", type=click.IntRange(0), help=EXPECTED_HELP + " Default: FILE's.")
@click.option("--dry-run", is_flag=True, help="Only tell what the change would do.")
@click.pass_obj
def apply(session, file, expected, dry_run):
    """Put the contract in FILE in force."""
    document = read_document(file, Contract)
    if expected is None:
        expected = document.version
    if not expected:
        message = "no version is given; use --expected, the version in FILE, or 'contract create'"
        raise CallError(ExitCode.USAGE, message)
    session.run(_put, session, document, expected, dry_run)


async def _put(session, document, expected, dry_run):
    target = path_of("contracts", document.account, expected=expected, dry_run=int(dry_run))
    body = to_mapping(document)
    try:
        value = await session.call("PUT", target, body)
    except RefusalError as refusal:
        if refusal.kind != "version_conflict" or not session.broken:
            raise
        # the first try may have taken effect before its connection broke
        value = await session.call("GET", path_of("contracts", document.account))
        if value["contract"] != {**body, "version": expected + 1}:
            raise refusal from None
        value = {**value, "dry_run": dry_run, "preempted": []}
    verb = "would be" if dry_run else "is"
    lines = [f"{document.account}: version {value['contract']['version']} {verb} in force"]
    lines += [f"preempts {key}" for key in value["preempted"]]
    session.show(value, lines)


@contract.command("list", epilog="Example: ibiscart --json contract list")
@click.pass_obj
def list_contracts(session):
    """List all contracts."""
    value = session.run(session.call, "GET", path_of("contracts"))
    rows = [
        (
            item["account"],
            item["version"],
            ", ".join(f"{g['name']} x{g['count']}" for g in item["guarantees"]) or "-",
            item["burst_accelerators"],
            item["queued_jobs"],
            item["weight"],
        )
        for item in value["contracts"]
    ]
    header = ["ACCOUNT", "VERSION", "GUARANTEES", "BURST", "QUEUE", "WEIGHT"]
    session.show(value, columns(header, rows))


@contract.command(epilog="Example: ibiscart contract show reports > reports.yaml")
@click.argument("account")
@click.pass_obj
def show(session, account):
    """Print a contract as YAML that 'apply' takes."""
    value = session.run(session.call, "GET", path_of("contracts", account))
    session.show(value, [yaml.safe_dump(value["contract"], sort_keys=False).rstrip()])


@contract.command(epilog="Example: ibiscart contract explain reports")
@click.argument("account")
@click.pass_obj
def explain(session, account):
    """Print reservations with their workers, and the use of limits.

    The limits of requests are divided among the entries; each --entry is asked for its share.
    """
    target = path_of("contracts", account, "explain")
    value = session.run(_explain, session, target)
    explanation = value["explanation"]
    rows = [
        (
            f"{item['guarantee']}/{item['index']}",
            item["state"],
            item["job"] or "-",
            " ".join(item["workers"]) or "-",
        )
        for item in explanation["reservations"]
    ]
    lines = [f"{account}: version {explanation['version']}, weight {explanation['weight']}", ""]
    lines += columns(["RESERVATION", "STATE", "JOB", "WORKERS"], rows)
    limits = [
        (name, use.get("used", "-"), use["limit"]) for name, use in explanation["limits"].items()
    ]
    lines += ["", *columns(["LIMIT", "USED", "OF"], limits), ""]
    shares = [_share_row(item) for item in value["entries"]]
    lines += columns(["ENTRY", "RUNNING", "OF ITS SHARE", "QUEUED", "OF ITS SHARE"], shares)
    session.show(value, lines)


async def _explain(session, target):
    value = await session.call("GET", target)
    value["entries"] = [_entry_use(*item) for item in await session.read_each(target)]
    return value


def _entry_use(address, value, failure):
    if value is None:
        return {"address": address, "failure": failure}
    explanation = value["explanation"]
    names = ("running_requests", "queued_requests")
    limits = {name: explanation["limits"][name] for name in names}
    # an entry of an older release does not name itself and its share
    return {"address": address, "entry": explanation.get("entry", address), **limits}


def _share_row(item):
    if "failure" in item:
        return (item["address"], item["failure"], "-", "-", "-")
    cells = [
        item[name].get(field, "-")
        for name in ("running_requests", "queued_requests")
        for field in ("entry_used", "entry_share")
    ]
    return (item["entry"], *cells)


@contract.command(epilog="Example: ibiscart contract delete reports --expected 4")
@click.argument("account")
@click.option("--expected", type=click.IntRange(1), required=True, help=EXPECTED_HELP)
@click.pass_obj
def delete(session, account, expected):
    """Delete the contract of an account without jobs."""
    session.run(_delete, session, account, expected)


async def _delete(session, account, expected):
    try:
        value = await session.call("DELETE", path_of("contracts", account, expected=expected))
    except RefusalError as refusal:
        # the first try may have taken effect before its connection broke
        if refusal.kind != "unknown_account" or not session.broken:
            raise
        value = {"deleted": True}
    session.show(value, [f"{account}: deleted"])


@contract.command("hash-key", epilog="Example: ibiscart contract hash-key --output reports.key")
@click.option("--from", "source", metavar="FILE", help="Hash the key in FILE, make none.")
@click.option("--output", metavar="FILE", help="Write the new key to FILE, readable by you only.")
@click.pass_obj
def hash_key(session, source, output):
    """Make a key and print its hash for the contract's key_sha256."""
    if source and output:
        raise CallError(ExitCode.USAGE, "give one of --from and --output")
    try:
        if source:
            key = Path(source).read_text(encoding="utf-8").strip()
        else:
            key = secrets.token_urlsafe(KEY_BYTES)
        if output:
            _write_key(output, key)
    except (OSError, UnicodeDecodeError) as error:
        raise CallError(ExitCode.USAGE, f"{source or output}: {error}") from None
    if not key:
        raise CallError(ExitCode.USAGE, f"{source} holds no key")
    value = {"key_sha256": hash_of(key)}
    if not source and not output:
        value["key"] = key
    session.show(value, [f"{name}: {text}" for name, text in value.items()])


def _write_key(path, key):
    # an existing key is never overwritten: its hash may be in force
    number = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_EXCL, 0o600)
    with os.fdopen(number, "w", encoding="utf-8") as file:
        file.write(key + "\n")
