"""
ibiscart_cli.document
~~~~~~~~~~~~~~~~~~~~~

Reads the YAML files that commands take.
"""

import click

from ibiscart_cli.outcome import CallError, ExitCode
from ibiscart_schema.check import CheckError, check_yaml

__all__ = ["read_document"]


def read_document(path, message_type):
    """Returns the checked message of a YAML file, ``-`` for standard input."""
    try:
        with click.open_file(path, encoding="utf-8") as file:
            text = file.read()
    except (OSError, UnicodeDecodeError) as error:
        cause = getattr(error, "strerror", None) or error
        raise CallError(ExitCode.USAGE, f"{path} cannot be read: {cause}") from None
    try:
        return check_yaml(text, message_type)
    except CheckError as error:
        message = f"{path} has {len(error.problems)} problems; nothing was sent"
        raise CallError(ExitCode.USAGE, message, map(str, error.problems)) from None
