"""
ibiscart_core.audits.check
~~~~~~~~~~~~~~~~~~~~~~~~~~

Base of the audit's checks and the violation that they report.
"""

__all__ = ["Check", "Violation"]

EVENTS_SHOWN = 8


class Violation:
    """A broken property: when, by which sources, and the recorded events that show it."""

    __slots__ = ("events", "message", "property", "time_us")

    def __init__(self, property_name, time_us, message, events):
        self.property = property_name
        self.time_us = time_us
        self.message = message
        self.events = tuple(events)[:EVENTS_SHOWN]

    @property
    def sources(self):
        """Sources of the events, each once, in order of first mention."""
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
    """Reads a recording and collects the violations of some properties.

    Subclasses override the hooks that they need.
    """

    def __init__(self):
        self.violations = []

    def on_event(self, event):
        """Reads the next ``TraceEvent``, in order of time."""

    def on_record(self, record, event):
        """Reads the next journal record once; ``event`` is its first application."""

    def finish(self, time_us):
        """Ends the recording; ``time_us`` is the time of its last event."""

    def report(self, property_name, time_us, message, *events):
        """Adds a violation."""
        self.violations.append(Violation(property_name, time_us, message, events))
