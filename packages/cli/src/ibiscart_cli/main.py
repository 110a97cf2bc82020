"""
ibiscart_cli.main
~~~~~~~~~~~~~~~~~

Command line of operators and callers.
"""

import click

__all__ = ["main"]


@click.group()
@click.version_option(package_name="ibiscart-cli")
def main():
    """Submit work to ibiscart, and manage its contracts."""
