"""
ibiscart_core.audit
~~~~~~~~~~~~~~~~~~~

Judges the properties P1 to P8 and the limits over the recorded events of any run.

The properties are those of ``docs/design.md``, section 1.2. Further names of violations:
``queue`` and ``burst`` (limits of a contract), ``guarantee`` (a reservation has no place
although it could be packed), ``capacity`` (released tasks exceed their worker), ``journal``
(records that conflict or do not apply) and ``recording`` (records are missing, so that the
state cannot be rebuilt).
"""

from ibiscart_core.audits.answer import AnswerCheck
from ibiscart_core.audits.check import Violation
from ibiscart_core.audits.config import ConfigCheck
from ibiscart_core.audits.gang import GangCheck
from ibiscart_core.audits.journal import JournalCheck
from ibiscart_core.audits.target import TargetCheck

__all__ = ["Audit", "Violation", "audit"]

# one report, one append and a stop with its checkpoint (1.5 s and 1 s), with a margin
SETTLE_SECONDS = 5.0
# recorded processes of one machine read the same clock; the rest is delay before writing
SKEW_SECONDS = 0.02


def audit(events, settle_seconds=SETTLE_SECONDS, skew_seconds=SKEW_SECONDS):
    """Returns the ``Violation``s of ``TraceEvent``s in any order, sorted by time.

    ``settle_seconds`` bounds how long a gang may run in part. The default covers a member that
    fails; for a run in which workers are killed, add the lease period and the time until the
    membership list shows the loss. ``skew_seconds`` is the largest difference between clocks.
    """
    check = Audit(settle_seconds, skew_seconds)
    for event in sorted(events, key=lambda event: event.time_us):
        check.feed(event)
    return check.finish()


class Audit:
    """Reads recorded events in order of time and collects violations.

    ``settle_seconds`` bounds how long a gang may run in part; ``skew_seconds`` is the
    largest difference between the clocks of the sources.
    """

    def __init__(self, settle_seconds=SETTLE_SECONDS, skew_seconds=SKEW_SECONDS):
        self._journal = JournalCheck()
        gang = GangCheck(int(settle_seconds * 1e6), int(skew_seconds * 1e6))
        self._checks = [self._journal, gang, AnswerCheck(), TargetCheck(), ConfigCheck()]
        self._time_us = 0
        self._tokens = {}
        self._applied = {}
        self._waiting = {}

    def feed(self, event):
        """Reads the next ``TraceEvent``; raises ``ValueError`` when it is out of order."""
        if event.time_us < self._time_us:
            raise ValueError(f"event at {event.time_us} us follows one at {self._time_us} us")
        self._time_us = event.time_us
        if event.WhichOneof("kind") == "record_applied":
            self._read_record(event)
        for check in self._checks:
            check.on_event(event)

    def finish(self):
        """Ends the recording and returns all violations, sorted by time."""
        for (region, sequence), event in self._waiting.items():
            missing = self._applied.get(region, 0) + 1
            self._journal.report(
                "recording",
                event.time_us,
                f"record {sequence} of {region} cannot be applied, record {missing} is missing",
                event,
            )
        for check in self._checks:
            check.finish(self._time_us)
        found = [violation for check in self._checks for violation in check.violations]
        return sorted(found, key=lambda violation: violation.time_us)

    def _read_record(self, event):
        record = event.record_applied.record
        key = (record.region, record.sequence)
        first = self._tokens.setdefault(key, event)
        if first is not event:
            if first.record_applied.record != record:
                self._journal.report(
                    "journal",
                    event.time_us,
                    f"two records {record.sequence} of {record.region}",
                    first,
                    event,
                )
            return
        self._waiting[key] = event
        while True:
            following = (record.region, self._applied.get(record.region, 0) + 1)
            waiting = self._waiting.pop(following, None)
            if waiting is None:
                return
            self._applied[record.region] = following[1]
            for check in self._checks:
                check.on_record(waiting.record_applied.record, waiting)
