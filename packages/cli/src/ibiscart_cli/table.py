"""
ibiscart_cli.table
~~~~~~~~~~~~~~~~~~

Columns of text for people.
"""

import datetime

__all__ = ["columns", "when"]


def columns(header, rows):
    """Returns lines with left-aligned columns."""
    rows = [header, *([str(cell) for cell in row] for row in rows)]
    widths = [max(len(row[index]) for row in rows) for index in range(len(header))]
    return [
        "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True)).rstrip()
        for row in rows
    ]


def when(time_us):
    """Returns a time in UTC, or a dash for 0."""
    if not time_us:
        return "-"
    moment = datetime.datetime.fromtimestamp(time_us / 1e6, datetime.UTC)
    return moment.strftime("%Y-%m-%d %H:%M:%S")
