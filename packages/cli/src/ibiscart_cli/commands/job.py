"""
ibiscart_cli.commands.job
~~~~~~~~~~~~~~~~~~~~~~~~~

Jobs of client accounts.
"""

import secrets

import click

from ibiscart_cli.document import read_document
from ibiscart_cli.outcome import CallError, ExitCode
from ibiscart_cli.session import path_of
from ibiscart_cli.table import columns, when
from ibiscart_cli.watch import Watch
from ibiscart_schema.check import CheckError, check_mapping, enum_names, to_mapping
from ibiscart_schema.generated.journal_pb2 import JobState
from ibiscart_schema.generated.types_pb2 import JobSpec, Scope

__all__ = ["job"]

ID_BYTES = 8
SCOPES = list(enum_names(Scope.DESCRIPTOR))
STATES = list(enum_names(JobState.DESCRIPTOR))
DEFAULT_WAIT_SECONDS = 3600.0
wait_time = click.option(
    "--wait-time",
    type=click.FloatRange(0),
    default=DEFAULT_WAIT_SECONDS,
    show_default=True,
    metavar="SECONDS",
    help="Longest time to wait.",
)


@click.group(epilog="""\b
Examples:
  ibiscart job submit reports job.yaml --wait
  ibiscart job submit reports --members 4 --accelerators 2 --scope rack --payload "train"
  ibiscart job list reports --state queued
  ibiscart job explain reports nightly-17
""")
def job():
    """Submit, watch, explain and cancel jobs."""


@job.command(epilog="""\b
Examples:
  ibiscart job submit reports job.yaml --id nightly-17 --wait
  ibiscart job submit reports --members 4 --accelerators 2 --scope rack
""")
@click.argument("account")
@click.argument("file", required=False)
@click.option("--id", "request_id", help="Request id; a resend needs the same. Default: random.")
@click.option("--members", type=int, help="Number of members. Default: 1.")
@click.option("--accelerators", type=int, help="Accelerators of each member.")
@click.option("--cpu-millis", type=int, help="Millicores of each member.")
@click.option("--memory-mb", type=int, help="Memory of each member in MB.")
@click.option("--scope", type=click.Choice(SCOPES), help="Domain that holds all members.")
@click.option("--kind", help="Groups jobs whose run times are alike.")
@click.option("--declared-seconds", type=float, help="Expected run time.")
@click.option("--once", is_flag=True, help="The job must run at most once.")
@click.option("--payload", help="Text for the worker.")
@click.option("--wait", is_flag=True, help="Wait for the end of the job.")
@wait_time
@click.pass_obj
def submit(session, account, file, request_id, wait, wait_time, **options):
    """Submit the job in FILE or given by options to ACCOUNT."""
    given = {
        name: value for name, value in options.items() if value is not None and value is not False
    }
    if file and given:
        names = ", ".join("--" + name.replace("_", "-") for name in given)
        raise CallError(ExitCode.USAGE, f"give the job by FILE or by options, not both: {names}")
    spec = read_document(file, JobSpec) if file else _spec_from(given)
    if spec.account not in ("", account):
        raise CallError(ExitCode.USAGE, f"{file} is for account {spec.account}, not {account}")
    spec.account = account
    spec.request_id = request_id or spec.request_id or f"cli-{secrets.token_hex(ID_BYTES)}"
    session.run(_submit, session, spec, wait, wait_time)


def _spec_from(options):
    member = {
        name: options.pop(name)
        for name in ("accelerators", "cpu_millis", "memory_mb")
        if name in options
    }
    shape = {"members": options.pop("members", 1), "member": member}
    if "scope" in options:
        shape["scope"] = options.pop("scope")
    if options.pop("once", False):
        options["repeatable"] = False
    try:
        return check_mapping({**options, "shape": shape}, JobSpec)
    except CheckError as error:
        message = "the options do not make a job; nothing was sent"
        raise CallError(ExitCode.USAGE, message, map(str, error.problems)) from None


async def _submit(session, spec, wait, seconds):
    body = to_mapping(spec)
    del body["body_sha256"]
    # the same id and body get the same answer, so any entry may be tried again
    value = await session.call("POST", path_of("accounts", spec.account, "jobs"), body)
    found = value["job"]
    if not wait:
        session.show(value, [f"{found['request_id']}: {found['state']}, {found['reason']}"])
        return
    click.echo(f"request id: {found['request_id']}", err=True)
    await Watch(session, spec.account, found["request_id"]).run(seconds)


@job.command("list", epilog="Example: ibiscart job list reports --state queued")
@click.argument("account")
@click.option("--state", type=click.Choice(STATES), help="Only jobs in this state.")
@click.option("--limit", type=click.IntRange(1, 1000), default=100, show_default=True)
@click.option("--after", help="Continue a list after this request id.")
@click.pass_obj
def list_jobs(session, account, state, limit, after):
    """List the jobs of ACCOUNT in order of their request ids."""
    target = path_of("accounts", account, "jobs", state=state, limit=limit, after=after)
    value = session.run(session.call, "GET", target)
    rows = [
        (
            item["request_id"],
            item.get("outcome", item["state"]),
            item["kind"],
            f"{item['shape']['members']}x{item['shape']['member']['accelerators']}",
            item["guarantee"] or "burst",
            item["attempt"],
            when(item["submitted_us"]),
            item["reason"],
        )
        for item in value["jobs"]
    ]
    header = ["ID", "STATE", "KIND", "SHAPE", "PLACES", "ATTEMPT", "SUBMITTED (UTC)", "REASON"]
    lines = columns(header, rows)
    if value["more"]:
        lines.append(f"more: use --after {value['jobs'][-1]['request_id']}")
    session.show(value, lines)


@job.command(epilog="Example: ibiscart job show reports nightly-17")
@click.argument("account")
@click.argument("request_id")
@click.pass_obj
def show(session, account, request_id):
    """Show one job."""
    value = session.run(session.call, "GET", path_of("accounts", account, "jobs", request_id))
    session.show(value, _job_lines(value["job"]))


@job.command(epilog="Example: ibiscart job watch reports nightly-17")
@click.argument("account")
@click.argument("request_id")
@wait_time
@click.pass_obj
def watch(session, account, request_id, wait_time):
    """Follow a job until it ends."""
    session.run(Watch(session, account, request_id).run, wait_time)


@job.command(epilog="Example: ibiscart job explain reports nightly-17")
@click.argument("account")
@click.argument("request_id")
@click.pass_obj
def explain(session, account, request_id):
    """Tell why a job is where it is."""
    target = path_of("accounts", account, "jobs", request_id, "explain")
    value = session.run(session.call, "GET", target)
    explanation = value["explanation"]
    lines = [
        *explanation["lines"],
        f"decided at sequence {explanation['decided_sequence']} "
        f"under contract version {explanation['contract_version']}",
    ]
    session.show(value, lines)


@job.command(epilog="Example: ibiscart job cancel reports nightly-17")
@click.argument("account")
@click.argument("request_id")
@click.pass_obj
def cancel(session, account, request_id):
    """Cancel a job in whatever state."""
    target = path_of("accounts", account, "jobs", request_id)
    value = session.run(session.call, "DELETE", target)
    found = value["job"]
    session.show(value, [f"{request_id}: {found.get('outcome', found['state'])}"])


def _job_lines(found):
    member = found["shape"]["member"]
    pairs = (
        ("job", f"{found['account']}/{found['request_id']}, kind {found['kind']}"),
        ("state", f"{found.get('outcome', found['state'])}, {found['reason']}"),
        (
            "shape",
            f"{found['shape']['members']} members of {member['accelerators']} accelerators, "
            f"{member['cpu_millis']} millicores, {member['memory_mb']} MB in one "
            f"{found['shape']['scope']}",
        ),
        ("places", found["guarantee"] or "burst"),
        ("workers", " ".join(found["workers"]) or "-"),
        ("attempt", f"{found['attempt']}, {found['failures']} failed"),
        ("ran", found["ran"]),
        ("submitted", when(found["submitted_us"])),
        ("released", when(found["released_us"])),
        ("ended", when(found["ended_us"])),
    )
    return [f"{name:<10}{text}" for name, text in pairs]
