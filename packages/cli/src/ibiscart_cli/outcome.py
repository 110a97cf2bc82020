"""
ibiscart_cli.outcome
~~~~~~~~~~~~~~~~~~~~

Exit codes of the command line, and the errors that end a command with them.
"""

import json
from enum import IntEnum

import click

__all__ = ["EXIT_MEANINGS", "CallError", "ExitCode", "RefusalError"]


class ExitCode(IntEnum):
    """Every exit code; docs/operators/errors.md has the same table."""

    OK = 0
    INTERNAL = 1
    USAGE = 2
    REFUSED = 3
    UNKNOWN = 4
    UNREACHABLE = 5
    RETRY_LATER = 6
    JOB_FAILED = 7
    STILL_WAITING = 8
    INTERRUPTED = 130


EXIT_MEANINGS = {
    ExitCode.OK: "done",
    ExitCode.INTERNAL: "unforeseen failure of the command itself",
    ExitCode.USAGE: "wrong option or argument, or a file that fails its check; nothing was sent",
    ExitCode.REFUSED: "refused; the same call will be refused again",
    ExitCode.UNKNOWN: "outcome unknown; the work may have run, ask by its id",
    ExitCode.UNREACHABLE: "no entry was reachable, or none answered a read; nothing was changed",
    ExitCode.RETRY_LATER: "refused for now, and the work did not run; retry later",
    ExitCode.JOB_FAILED: "the job that was waited for ended without completing",
    ExitCode.STILL_WAITING: "the time to wait passed; the job goes on",
    ExitCode.INTERRUPTED: "interrupted by the user; the job goes on",
}


class CallError(click.ClickException):
    """Ends the command with an exit code and lines on standard error.

    ``error`` is the error body of an entry, where there is one. With ``as_json`` one JSON
    object is printed in place of the lines.
    """

    def __init__(self, code, message, lines=()):
        super().__init__(message)
        self.exit_code = int(code)
        self.lines = tuple(lines)
        self.error = None
        self.as_json = False

    def show(self, file=None):
        """Prints the message and its lines."""
        if self.as_json:
            value = {"exit_code": self.exit_code, "message": self.message, "error": self.error}
            click.echo(json.dumps(value, indent=2), err=True)
            return
        click.echo(f"ibiscart: {self.message}", err=True)
        for line in self.lines:
            click.echo(f"  {line}", err=True)


class RefusalError(CallError):
    """A refusal by an entry; ``kind`` is the code of the error body."""

    def __init__(self, error, request_id):
        self.kind = error["code"]
        super().__init__(_exit_code(error), f"{self.kind}: {error['message']}", _lines(error))
        self.error = error
        if request_id:
            self.lines += (f"request id: {request_id}",)

    def mark_unknown(self):
        """Takes back that the work did not run, after an earlier try that may have run."""
        if self.error.get("ran") == "no":
            self.exit_code = int(ExitCode.UNKNOWN)
            self.error["ran"] = "maybe"
            self.lines = tuple(_lines(self.error))
            self.lines += ("an earlier try broke after it was sent; ask for its outcome",)


def _exit_code(error):
    if error.get("ran") == "maybe":
        return ExitCode.UNKNOWN
    return ExitCode.RETRY_LATER if error.get("retryable") else ExitCode.REFUSED


def _lines(error):
    for name in ("field", "value", "bound"):
        if error.get(name):
            yield f"{name}: {error[name]}"
    # the first detail repeats the message when there is no other
    details = error.get("details", [])
    if len(details) > 1 or (details and details[0] != error["message"]):
        yield from details
    yield f"ran: {error.get('ran', 'maybe')}"
    if error.get("retry_after_seconds"):
        yield f"retry after: {error['retry_after_seconds']:g} s"
