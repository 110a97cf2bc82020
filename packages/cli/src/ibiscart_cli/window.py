"""
ibiscart_cli.window
~~~~~~~~~~~~~~~~~~~

What the logs of several entries say of one stretch of time: who waited, and for what.
"""

import statistics

from ibiscart_cli.history import message_of

__all__ = ["Window", "WindowSummary"]

# (name, message at the start, message at the end, field that names the subject, further field) of
# the states that last
STATES = (
    ("evacuated", "Evacuation began.", "Evacuation ended.", "data_centre", "version"),
    ("slow", "Worker slow.", "Worker recovered.", "worker", "speed"),
    ("over_share", "Account over share.", "Account within share.", "account", "factor"),
)
JOB_MESSAGES = frozenset({"Job taken.", "Unit placed.", "Job ended."})
STATE_MESSAGES = frozenset(message for state in STATES for message in state[1:3])


class Window:
    """A stretch of time; ``start`` and ``end`` are times as the logs write them, or empty."""

    __slots__ = ("end", "start")

    def __init__(self, start="", end=""):
        self.start = start
        self.end = end

    def contains(self, time):
        """Returns True if a time is in the window."""
        return time >= self.start and not self.ends_before(time)

    def ends_before(self, time):
        """Returns True if the window has ended at a time."""
        # a longer time that begins with the end, such as one with milliseconds, is in the window
        return bool(self.end) and time > self.end and not time.startswith(self.end)


class _JobWait:
    """How long a job waited; ``wait_ms`` is the longest wait of a first run, None before any.

    ``group`` is (queue, account), None while no line names it.
    """

    __slots__ = ("_accepted_at", "_waited_until", "group", "wait_ms")

    def __init__(self):
        self.group = None
        self.wait_ms = None
        self._accepted_at = self._waited_until = ""

    def add(self, line, message, time, group):
        """Adds a line of ``JOB_MESSAGES`` with its message, time and (queue, account)."""
        if message == "Job taken.":
            self.group = group
            self._accepted_at = min(time, self._accepted_at or time)
            return
        if message == "Unit placed.":
            if line.get("run") != 1:
                return
            self.wait_ms = max(line.get("waited_ms", 0), self.wait_ms or 0)
        # the first placement, or the end of a job that was never placed
        self._waited_until = min(time, self._waited_until or time)

    def waited_in(self, window):
        """Returns True if the job was accepted in the window, or before and waited in it."""
        if self.group is None or window.ends_before(self._accepted_at):
            return False
        return window.contains(self._accepted_at) or (
            not self._waited_until or self._waited_until >= window.start
        )


class WindowSummary:
    """Summary of the lines of a ``Window``, which may come in any order.

    Rows of ``waits`` are (queue, account, jobs that were accepted or still waited in the window,
    those of them that were placed, median and longest wait in ms), of ``refusals`` (queue, account,
    outcome, status, number), and of ``rejections`` (queue, account, reason, number). ``states``
    maps a name in ``STATES`` to rows of (subject, start, end, further field), the end empty if it
    is not in the lines.
    """

    def __init__(self, lines, window):
        self._window = window
        self._jobs = {}
        self._refusals = {}
        self._rejections = {}
        self._state_lines = []
        for line in lines:
            self._add(line, message_of(line))
        self._state_lines.sort(key=lambda pair: pair[0])
        self.states = {state[0]: self._spans(*state[1:]) for state in STATES}

    @property
    def waits(self):
        """Rows by queue and account, the longest wait first."""
        groups = {}
        for job in self._jobs.values():
            if job.waited_in(self._window):
                groups.setdefault(job.group, []).append(job.wait_ms)
        rows = []
        for group, waits in groups.items():
            placed = [wait for wait in waits if wait is not None]
            median = round(statistics.median(placed)) if placed else "-"
            rows.append((*group, len(waits), len(placed), median, max(placed, default="-")))
        # a group of which nothing was placed comes first
        return sorted(rows, key=lambda row: (row[3] > 0, -row[5] if row[3] else 0, row[:2]))

    @property
    def refusals(self):
        """Rows of the submissions that were not accepted, the most frequent first."""
        return _ranked(self._refusals)

    @property
    def rejections(self):
        """Rows of the jobs that no worker could run, the most frequent reason first."""
        return _ranked(self._rejections)

    def to_document(self):
        """Returns the summary as a JSON-serializable mapping."""
        return {
            "waits": [list(row) for row in self.waits],
            "refusals": [list(row) for row in self.refusals],
            "rejections": [list(row) for row in self.rejections],
            "states": {name: [list(row) for row in rows] for name, rows in self.states.items()},
        }

    def _add(self, line, message):
        """Adds one line."""
        time = str(line.get("time", ""))
        if message in STATE_MESSAGES:
            # a state that began before the window may last in it
            if not self._window.ends_before(time):
                self._state_lines.append((time, message, line))
            return
        group = (str(line.get("queue", "")), str(line.get("account", "")))
        if message in JOB_MESSAGES:
            self._jobs.setdefault(line.get("job"), _JobWait()).add(line, message, time, group)
        elif not self._window.contains(time):
            return
        elif message == "A job was rejected.":
            _count(self._rejections, (*group, line.get("reason", "")))
        elif message == "A request was answered.":
            if line.get("method") == "POST" and line.get("status") != 200:
                _count(self._refusals, (*group, line.get("outcome", ""), line.get("status", 0)))

    def _spans(self, begins, ends, subject_field, further_field):
        """Returns the rows of a state that lasted at some time of the window."""
        open_spans, spans = {}, []
        for time, message, line in self._state_lines:
            subject = str(line.get(subject_field, ""))
            if message == begins:
                # a new leader may report the state again
                if subject not in open_spans:
                    open_spans[subject] = [subject, time, "", line.get(further_field, "")]
                    spans.append(open_spans[subject])
            elif message == ends and subject in open_spans:
                open_spans.pop(subject)[2] = time
        return [tuple(span) for span in spans if not span[2] or span[2] >= self._window.start]


def _count(counts, key):
    """Adds one to the count of ``key``."""
    counts[key] = counts.get(key, 0) + 1


def _ranked(counts):
    """Returns rows of the keys and their counts, the highest count first."""
    return [(*key, count) for key, count in sorted(counts.items(), key=lambda i: (-i[1], i[0]))]
