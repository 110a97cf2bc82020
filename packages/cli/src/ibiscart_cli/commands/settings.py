"""
ibiscart_cli.commands.settings
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Checks of settings files, without an entry.
"""

import click

from ibiscart_cli.outcome import CallError, ExitCode
from ibiscart_entry.settings import Settings, SettingsError

__all__ = ["settings"]


@click.group(epilog="Example: ibiscart settings check entry.yaml")
def settings():
    """Check the settings of entries."""


@settings.command(epilog="Example: ibiscart settings check entry.yaml")
@click.argument("file")
@click.pass_obj
def check(session, file):
    """Check FILE as an entry would at its start."""
    try:
        read = Settings.from_config(file)
    except SettingsError as error:
        message = f"{file} has {len(error.problems)} problems"
        raise CallError(ExitCode.USAGE, message, map(str, error.problems)) from None
    value = {"valid": True, "entry_id": read.entry_id, "region": read.region}
    session.show(value, [f"{file}: valid, entry {read.entry_id} of region {read.region}"])
