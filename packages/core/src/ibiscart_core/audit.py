"""
ibiscart_core.audit
~~~~~~~~~~~~~~~~~~~

Checks the properties P1 to P8 and the limits on the recorded events of a run.

The properties are those of ``docs/design.md``, section 1.2. Further names of violations:
``queue`` and ``burst`` (limits of a contract), ``guarantee`` (a reservation is unmet
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

# longest time for which a gang may run in part after a member fails: a report, an append, a
# checkpoint (at most 1.5 s) and a stop (at most 1 s), plus a margin
SETTLE_SECONDS = 5.0
# processes on one machine share a clock; the allowance is for the delay until an event is written
SKEW_SECONDS = 0.02


def audit(events, settle_seconds=SETTLE_SECONDS, skew_seconds=SKEW_SECONDS):
    """Returns the ``Violation``s of ``TraceEvent``s in any order, sorted by time.

    ``settle_seconds`` is the longest time for which a gang may run in part. The default covers
    the failure of a member; for runs with killed workers, add the lease period and the time until
    the membership list shows the loss. ``skew_seconds`` is the largest difference between clocks.
    """
    check = Audit(settle_seconds, skew_seconds)
    for event in sorted(events, key=lambda event: event.time_us):
        check.feed(event)
    return check.finish()


class Audit:
    """Reads recorded events in order of time and collects violations.

    ``settle_seconds`` is the longest time for which a gang may run in part; ``skew_seconds`` is
    the largest difference between the clocks of the sources.
    """

    def __init__(self, settle_seconds=SETTLE_SECONDS, skew_seconds=SKEW_SECONDS):
        """Starts without events; a gang may run in part for at most ``settle_seconds``."""
        self._journal = JournalCheck()
        gang = GangCheck(int(settle_seconds * 1e6), int(skew_seconds * 1e6))
        self._checks = [self._journal, gang, AnswerCheck(), TargetCheck(), ConfigCheck()]
        self._time_us = 0
        self._first_events = {}
        self._applied_sequences = {}
        self._pending_records = {}

    def feed(self, event):
        """Processes the next ``TraceEvent``; raises ``ValueError`` if it is out of order."""
        if event.time_us < self._time_us:
            raise ValueError(f"event at {event.time_us} us follows one at {self._time_us} us")
        self._time_us = event.time_us
        if event.WhichOneof("kind") == "record_applied":
            self._apply_record(event)
        for check in self._checks:
            check.on_event(event)

    def finish(self):
        """Ends the recording and returns all violations, sorted by time."""
        for (region, sequence), event in self._pending_records.items():
            missing = self._applied_sequences.get(region, 0) + 1
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

    def _apply_record(self, event):
        """Passes each record to the checks once, by sequence; reports copies that differ."""
        record = event.record_applied.record
        key = (record.region, record.sequence)
        first = self._first_events.setdefault(key, event)
        if first is not event:
            if first.record_applied.record != record:
                self._journal.report(
                    "journal",
                    event.time_us,
                    f"conflicting records {record.sequence} of {record.region}",
                    first,
                    event,
                )
            return
        self._pending_records[key] = event
        while True:
            next_key = (record.region, self._applied_sequences.get(record.region, 0) + 1)
            pending = self._pending_records.pop(next_key, None)
            if pending is None:
                return
            self._applied_sequences[record.region] = next_key[1]
            for check in self._checks:
                check.on_record(pending.record_applied.record, pending)
