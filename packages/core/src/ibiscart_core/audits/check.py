"""
ibiscart_core.audits.check
~~~~~~~~~~~~~~~~~~~~~~~~~~

Base class of the audit's checks, and the violations that they report.
"""

__all__ = ["Check", "Violation"]

MAX_EVENTS_SHOWN = 8


class Violation:
    """A violated property, with the recorded events that show it.

    ``time_us`` is in microseconds; at most ``MAX_EVENTS_SHOWN`` events are kept.
    """

    __slots__ = ("events", "message", "property", "time_us")

    def __init__(self, property_name, time_us, message, events):
        self.property = property_name
        self.time_us = time_us
        self.message = message
        self.events = tuple(events)[:MAX_EVENTS_SHOWN]

    @property
    def sources(self):
        """Returns the distinct sources of the events, in order of first occurrence."""
        return tuple(dict.fromkeys(event.source for event in self.events))

    def __repr__(self):
        kinds = ", ".join(
            f"{event.WhichOneof('kind')}@{event.time_us / 1e6:.3f}" for event in self.events
        )
        return (
            f"{self.property} at {self.time_us / 1e6:.3f} s: {self.message} "
            f"[sources: {', '.join(self.sources)}; events: {kinds}]"
        )


class Check:
    """Reads a recording and collects violations of some properties.

    Subclasses override the methods that they need.
    """

    def __init__(self):
        self.violations = []

    def on_event(self, event):
        """Processes the next ``TraceEvent``, in order of time."""

    def on_record(self, record, event):
        """Processes the next journal record once; ``event`` is the first that contains it."""

    def finish(self, time_us):
        """Processes the end of the recording; ``time_us`` is the time of its last event."""

    def report(self, property_name, time_us, message, *events):
        """Adds a ``Violation`` that ``events`` show."""
        self.violations.append(Violation(property_name, time_us, message, events))
