"""
ibiscart_cli.watch
~~~~~~~~~~~~~~~~~~

Follows a job until it ends.
"""

import json

import click
import trio

from ibiscart_cli.outcome import CallError, ExitCode, RefusalError
from ibiscart_cli.session import path_of

__all__ = ["Watch"]

POLL_SECONDS = 30
# another entry may learn of a new job only with its next poll of the journal
UNKNOWN_SECONDS = 5.0
RETRY_SECONDS = 1.0
TICK_SECONDS = 0.2
BAR_CHARACTERS = 24
CLEAR_LINE = "\r\x1b[K"


class Watch:
    """Shows the states of one job: a line that is redrawn on a terminal, else one a change."""

    def __init__(self, session, account, request_id):
        self._session = session
        self._account = account
        self._request_id = request_id
        self._job = None
        self._since = 0.0
        self._shown = ""

    async def run(self, seconds):
        """Returns when the job has completed; raises ``CallError`` otherwise."""
        value = failure = None
        with trio.move_on_after(seconds):
            async with trio.open_nursery() as nursery:
                if self._session.terminal:
                    nursery.start_soon(self._tick)
                # an error that leaves the nursery would be wrapped in a group
                try:
                    value = await self._follow()
                except CallError as error:
                    failure = error
                nursery.cancel_scope.cancel()
        if self._session.terminal:
            click.echo(CLEAR_LINE, nl=False, color=True)
        if failure is not None:
            raise failure
        if value is None:
            message = f"{self._request_id} has not ended after {seconds:g} s; it goes on"
            raise CallError(ExitCode.STILL_WAITING, message)
        found = value["job"]
        lines = [f"{self._request_id}: {found['outcome']}, ran {found['ran']}, {found['reason']}"]
        self._session.show(value, lines)
        if found["outcome"] == "unknown":
            raise CallError(ExitCode.UNKNOWN, f"{self._request_id} may have run")
        if found["outcome"] != "completed":
            raise CallError(ExitCode.JOB_FAILED, f"{self._request_id} {found['outcome']}")

    async def _follow(self):
        """Returns the answer that shows the job's end."""
        start = trio.current_time()
        after = None
        while True:
            asked = trio.current_time()
            try:
                value = await self._poll(after)
            except CallError as error:
                early = trio.current_time() - start < UNKNOWN_SECONDS
                if not _passing(error, early and self._job is None):
                    raise
                await trio.sleep(RETRY_SECONDS)
                continue
            found = value["job"]
            # entries differ in their position; an older state is not shown again
            if self._job is None or found["decided_sequence"] >= self._job["decided_sequence"]:
                self._take(found)
            if found["state"] == "ended":
                return value
            if (
                after == self._job["decided_sequence"]
                and trio.current_time() < asked + RETRY_SECONDS
            ):
                # an entry with too many polls, or one that drains, answers at once
                await trio.sleep(RETRY_SECONDS)
            after = self._job["decided_sequence"]

    async def _poll(self, after):
        wait = None if after is None else POLL_SECONDS
        target = path_of(
            "accounts", self._account, "jobs", self._request_id, wait=wait, after=after
        )
        timeout = self._session.timeout + (wait or 0)
        return await self._session.call("GET", target, timeout=timeout)

    def _take(self, found):
        if self._job is None or found["state"] != self._job["state"]:
            self._since = trio.current_time()
        self._job = found
        if self._session.terminal:
            self._draw()
            return
        line = f"{self._request_id}: {found['state']}, attempt {found['attempt']}"
        line += f", {found['reason']}" if found["reason"] != found["state"] else ""
        if line != self._shown and not self._session.as_json and found["state"] != "ended":
            click.echo(line)
        self._shown = line

    async def _tick(self):
        while True:
            if self._job is not None:
                self._draw()
            await trio.sleep(TICK_SECONDS)

    def _draw(self):
        found = self._job
        seconds = trio.current_time() - self._since
        text = f"{self._request_id}  {found['state']:<8}  {seconds:6.1f} s"
        if found["state"] == "running" and found["declared_seconds"]:
            share = min(1.0, seconds / found["declared_seconds"])
            full = int(share * BAR_CHARACTERS)
            text += f"  [{'#' * full}{'.' * (BAR_CHARACTERS - full)}] of declared time"
        if found["workers"]:
            text += f"  {found['members_ended']}/{len(found['workers'])} members ended"
        elif found["state"] == "queued":
            text += f"  {json.dumps(found['reason'])[1:-1]}"
        click.echo(CLEAR_LINE + text, nl=False, color=True)


def _passing(error, early):
    """Tells whether a poll that failed may be repeated."""
    if isinstance(error, RefusalError):
        if error.kind == "not_found":
            return early
        return error.exit_code == ExitCode.RETRY_LATER
    return error.exit_code == ExitCode.UNREACHABLE
