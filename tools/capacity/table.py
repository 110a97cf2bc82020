"""Prints tables of figures with the command, and fits lines through them."""

import os
import shlex
import statistics
import sys

__all__ = ["fit", "print_command", "print_table", "spread"]


def print_command(module):
    """Prints the command of this run and the load of the machine."""
    arguments = " ".join(shlex.quote(argument) for argument in sys.argv[1:])
    load = " ".join(f"{value:.1f}" for value in os.getloadavg())
    print(f"command: python -m {module} {arguments}".rstrip())
    print(f"load average of the machine: {load} on {os.cpu_count()} cores", flush=True)


def print_table(heads, rows):
    """Prints rows below heads; numbers are rounded to three significant digits."""
    cells = [[str(head) for head in heads]]
    cells += [[_text(value) for value in row] for row in rows]
    widths = [max(len(row[index]) for row in cells) for index in range(len(heads))]
    for row in cells:
        pairs = zip(row, widths, strict=True)
        print("| " + " | ".join(text.ljust(width) for text, width in pairs) + " |")
        if row is cells[0]:
            print("|" + "|".join("-" * (width + 2) for width in widths) + "|")
    sys.stdout.flush()


def fit(points):
    """Returns (intercept, slope) of the line of least squares through (x, y) points."""
    line = statistics.linear_regression([x for x, _ in points], [y for _, y in points])
    return line.intercept, line.slope


def spread(values):
    """Returns the median with the least and the greatest value as text."""
    return f"{statistics.median(values):.3g} ({min(values):.3g} to {max(values):.3g})"


def _text(value):
    if isinstance(value, float):
        return f"{value:.3g}" if abs(value) < 1000 else f"{value:,.0f}"
    return f"{value:,}" if isinstance(value, int) else str(value)
