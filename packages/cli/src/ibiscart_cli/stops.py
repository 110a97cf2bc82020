"""
ibiscart_cli.stops
~~~~~~~~~~~~~~~~~~

Sums up from the logs of the entries which runs ended without success, why, and for whose benefit.
"""

import datetime

__all__ = ["StopSummary", "summarize_stops"]

# time for which the freed workers stay reserved; a beneficiary that starts later used other room
RESERVATION_SECONDS = 2.5
TIME_FORMAT = "%Y-%m-%d %H:%M:%S,%f"


class StopSummary:
    """Runs that ended without success for the same reason.

    ``beneficiaries`` is the number of units for which runs were stopped, ``started_in_time`` how
    many of them started while the freed workers were reserved for them.
    """

    __slots__ = (
        "beneficiaries",
        "lost_core_seconds",
        "reason",
        "repeated",
        "runs",
        "started_in_time",
    )

    def __init__(self, reason):
        self.reason = reason
        self.runs = 0
        self.repeated = 0
        self.lost_core_seconds = 0.0
        self.beneficiaries = 0
        self.started_in_time = 0

    @classmethod
    def header(cls):
        """Returns the names of the columns of ``row``."""
        return ("reason", "runs", "of run 2 or later", "core-seconds", "gaining units", "in time")

    def row(self):
        """Returns the values of one row of a table."""
        return (
            self.reason,
            self.runs,
            self.repeated,
            round(self.lost_core_seconds),
            self.beneficiaries or "-",
            self.started_in_time if self.beneficiaries else "-",
        )


def summarize_stops(lines):
    """Returns the ``StopSummary`` objects of log ``lines``, that with the most lost work first.

    ``lines`` are mappings as ``read_lines`` yields them. The reason of a run is that of its stop
    (``guarantee`` and ``deadline`` for preemptions), or the cause of its end if nobody stopped it.
    """
    summaries, placements, preemptions = {}, {}, []

    def summary_of(reason):
        return summaries.setdefault(reason, StopSummary(reason))

    for line in lines:
        message = line["message"].partition(": ")[2]
        if message == "Unit preempted.":
            preemptions.append(line)
        elif message == "Unit placed.":
            key = (line.get("job"), line.get("unit"))
            placements.setdefault(key, []).append(line.get("time", ""))
        elif message == "Run ended." and line.get("cause") != "done":
            summary = summary_of(line.get("stop_reason") or line.get("cause", ""))
            summary.runs += 1
            summary.repeated += line.get("run", 1) > 1
            summary.lost_core_seconds += line.get("lost_core_seconds", 0)
    # stops of several units for one beneficiary within a reservation count once
    counted = {}
    for line in sorted(preemptions, key=lambda line: line.get("time", "")):
        key = (line.get("gaining"), line.get("gaining_unit"))
        stopped_at = line.get("time", "")
        if key in counted and _seconds_between(counted[key], stopped_at) < RESERVATION_SECONDS:
            continue
        counted[key] = stopped_at
        summary = summary_of(line.get("reason", ""))
        summary.beneficiaries += 1
        summary.started_in_time += any(
            0 <= _seconds_between(stopped_at, placed_at) <= RESERVATION_SECONDS
            for placed_at in placements.get(key, ())
        )
    return sorted(summaries.values(), key=lambda summary: -summary.lost_core_seconds)


def _seconds_between(earlier, later):
    try:
        begin = datetime.datetime.strptime(earlier, TIME_FORMAT)
        return (datetime.datetime.strptime(later, TIME_FORMAT) - begin).total_seconds()
    except ValueError:
        return float("inf")
