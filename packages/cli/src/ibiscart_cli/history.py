"""
ibiscart_cli.history
~~~~~~~~~~~~~~~~~~~~

What the logs of several entries say of one request or job, and why it ended as it did.
"""

import json

__all__ = ["History", "message_of", "read_lines"]

# fields of each line that are shown in columns of their own, or say nothing of the request
COLUMNS = frozenset({"time", "level", "logger", "message", "node"})
NAMING_FIELDS = ("request_id", "job", "gaining")
# waits below this are those of every job
LONG_WAIT_MS = 500


def read_lines(file):
    """Yields the mappings of a log's lines; what stands before the object is passed over."""
    for line in file:
        start = line.find("{")
        if start < 0:
            continue
        try:
            found = json.loads(line[start:])
        except ValueError:
            continue
        if isinstance(found, dict) and "message" in found:
            yield found


class History:
    """The lines that name one id, in the order of their time stamps.

    Machines' clocks may differ by some tens of milliseconds, and so may the order.
    """

    def __init__(self, request_id, lines):
        named = (line for line in lines if _names(line, request_id))
        self.request_id = request_id
        self.lines = sorted(named, key=lambda line: line.get("time", ""))

    def rows(self):
        """Yields (time, node, message, other fields as text) of each line."""
        for line in self.lines:
            fields = " ".join(f"{k}={_text(v)}" for k, v in line.items() if k not in COLUMNS)
            yield line.get("time", ""), line.get("node", ""), message_of(line), fields

    def cause(self):
        """Returns one sentence on how the request ended and why."""
        if not self.lines:
            return f"No line names {self.request_id}: check the files, and dropped_lines in them."
        ended = self._own("Job ended.")
        if ended:
            return self._cause_of_end(ended[-1])
        answers = [line for line in self._named("A request was answered.") if _submits(line)]
        if answers and answers[-1].get("status") != 200:
            return self._cause_of_refusal(answers[-1])
        return self._cause_of_wait()

    def _cause_of_end(self, line):
        outcome = line.get("outcome")
        if outcome == "completed":
            delays = self._delays()
            return f"Completed{'; it lost time: ' + '; '.join(delays) if delays else ''}."
        if outcome == "failed":
            given_up = [
                change for change in self._own("Crash evidence changed.") if change.get("given_up")
            ]
            if given_up:
                return self._cause_of_giving_up(given_up[-1])
            failed = [run for run in self._own("Run ended.") if run.get("cause") == "failed"]
            most = max(failed, key=lambda run: run.get("failures", 0), default={})
            workers = sorted({run.get("worker", "") for run in failed})
            return (
                f"Failed: task {most.get('task')} failed {most.get('failures')} times, which is "
                f"all that its queue allows; failed runs were on {', '.join(workers)}."
            )
        return f"Ended as {outcome}."

    def _cause_of_giving_up(self, line):
        task, lost = line.get("task"), line.get("lost")
        changes = [
            change for change in self._own("Crash evidence changed.") if change.get("task") == task
        ]
        workers = sorted({change.get("worker", "") for change in changes})
        return (
            f"Failed: {lost} workers were lost while task {task} ran on them "
            f"({', '.join(workers)}), {line.get('crashed')} of them crashed for certain, so the "
            "task is taken to crash its workers and is not started again."
        )

    def _cause_of_refusal(self, answer):
        outcome, status = answer.get("outcome"), answer.get("status")
        cancelled = self._own("A submission of a cancelled job was refused.")
        if outcome == "cancelled" and cancelled:
            return (
                f"Not accepted by {answer.get('node')}: the job had been cancelled "
                f"{cancelled[-1].get('cancelled_ms_ago')} ms before, so it never runs."
            )
        messages = (
            "A write was refused.",
            "A write has no answer.",
            "A request is refused while the store does not answer.",
        )
        causes = {line.get("cause", "") for message in messages for line in self._own(message)}
        said = f"; causes: {', '.join(sorted(causes))}" if causes else ""
        meaning = "it may be stored" if status == 504 else "nothing was stored"
        return f"Not accepted by {answer.get('node')}: {outcome}, so {meaning}{said}."

    def _cause_of_wait(self):
        placed, taken = self._own("Unit placed."), self._own("Job taken.")
        if placed:
            ended = {(run.get("task"), run.get("run")) for run in self._own("Run ended.")}
            return (
                f"Has not ended: the last of {len(placed)} placements was run "
                f"{placed[-1].get('run')} of unit {placed[-1].get('unit')} on "
                f"{', '.join(sorted(set(placed[-1].get('workers', ()))))}; {len(ended)} runs ended."
            )
        if taken:
            return "Was taken by the leader and never placed: no room was found for it."
        return "Was answered, and no leader's line names it: look for the leader's log."

    def _delays(self):
        delays = []
        for line in self._own("Unit preempted."):
            delays.append(
                f"unit {line.get('unit')} was stopped for job {line.get('gaining')} "
                f"({line.get('reason')})"
            )
        waits = [line.get("waited_ms", 0) for line in self._own("Unit placed.")]
        if max(waits, default=0) >= LONG_WAIT_MS:
            delays.append(f"a unit waited {max(waits)} ms for room")
        causes = [run.get("cause") for run in self._own("Run ended.")]
        causes_of_delay = (
            "failed",
            "lost",
            "worker_crashed",
            "worker_vanished",
            "lease_expired",
            "members_missing",
        )
        for cause in causes_of_delay:
            if cause in causes:
                delays.append(f"{causes.count(cause)} runs ended with {cause}")
        return delays

    def _named(self, message):
        return [line for line in self.lines if message_of(line) == message]

    def _own(self, message):
        return [line for line in self._named(message) if line.get("job") == self.request_id]


def _names(line, request_id):
    if any(line.get(name) == request_id for name in NAMING_FIELDS):
        return True
    return str(line.get("path", "")).endswith(f"/{request_id}")


def message_of(line):
    """Returns the message of a line without the logger's short name, which stands before it."""
    return line["message"].partition(": ")[2] or line["message"]


def _submits(line):
    return line.get("method") == "POST"


def _text(value):
    return value if isinstance(value, str) else json.dumps(value)
