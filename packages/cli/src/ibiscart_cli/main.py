"""
ibiscart_cli.main
~~~~~~~~~~~~~~~~~

Command line of operators and callers.
"""

import click

from ibiscart_cli.commands.measure import measure
from ibiscart_cli.commands.replay import replay

__all__ = ["main"]


@click.group()
@click.version_option(package_name="ibiscart-cli")
def main():
    """Submit work to ibiscart, and manage its contracts."""


main.add_command(measure)
main.add_command(replay)

if __name__ == "__main__":
    main()
