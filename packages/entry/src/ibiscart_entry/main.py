"""
ibiscart_entry.main
~~~~~~~~~~~~~~~~~~~

Command line of the entry process.
"""

import click

__all__ = ["main"]


@click.command()
@click.version_option(package_name="ibiscart-entry")
def main():
    """Run one entry process."""
