"""
ibiscart_core.audits.target
~~~~~~~~~~~~~~~~~~~~~~~~~~~

Checks the starts of work on targets: once-only work (P5) and leaving targets (P6).
"""

from ibiscart_core.audits.check import Check
from ibiscart_schema.generated.types_pb2 import TARGET_LEAVING, TARGET_LIVE

__all__ = ["TargetCheck"]

# a target may get new work for this long after its first sign of leaving
MAX_LEAVING_DELAY_US = 5 * 1_000_000


class TargetCheck(Check):
    """Checks that once-only work starts once (P5) and leaving targets get no new work (P6)."""

    def __init__(self):
        super().__init__()
        self._once_only = set()
        self._starts = {}
        self._first_releases = {}
        self._leaving_events = {}

    def on_event(self, event):
        """Counts starts and compares their times with signs of leaving."""
        kind = event.WhichOneof("kind")
        if kind == "caller_request" and not event.caller_request.repeatable:
            request = event.caller_request
            self._once_only.add((request.account, request.request_id))
        elif kind == "target_left":
            self._leaving_events.setdefault(event.target_left.target_id, event)
        elif kind == "target_action":
            self._record_target_action(event)

    def on_record(self, record, event):
        """Records once-only jobs, and workers that leave or return."""
        for item in record.events:
            kind = item.WhichOneof("kind")
            if kind == "job_submitted" and not item.job_submitted.spec.repeatable:
                spec = item.job_submitted.spec
                self._once_only.add((spec.account, spec.request_id))
            elif kind == "worker_state_changed":
                change = item.worker_state_changed
                if change.state == TARGET_LEAVING:
                    self._leaving_events.setdefault(change.worker_id, event)
                elif change.state == TARGET_LIVE:
                    self._leaving_events.pop(change.worker_id, None)

    def finish(self, time_us):
        """Reports once-only work that was started more than once."""
        for key in sorted(self._once_only):
            starts = self._starts.get(key, {})
            if len(starts) > 1:
                events = list(starts.values())
                self.report(
                    "P5",
                    events[1].time_us,
                    f"{key[0]}/{key[1]} may run only once but was started {len(starts)} times",
                    *events,
                )

    def _record_target_action(self, event):
        """Counts starts of work and checks whether the target of a start is leaving."""
        action = event.target_action
        key = (action.account, action.request_id)
        starts = self._starts.setdefault(key, {})
        if action.action == "request_started":
            starts[len(starts)] = event
        elif action.action == "released":
            # an attempt counts as one start, whatever its number of members; each further
            # worker that runs the same rank counts as another start
            starts.setdefault(action.attempt, event)
            first = self._first_releases.setdefault((key, action.attempt, action.rank), event)
            if first.target_action.target_id != action.target_id:
                starts[(action.attempt, action.rank, action.target_id)] = event
        if action.action in ("started", "request_started"):
            self._check_start_on_leaving_target(event)

    def _check_start_on_leaving_target(self, event):
        """Reports a start over ``MAX_LEAVING_DELAY_US`` after the first sign of leaving."""
        leaving = self._leaving_events.get(event.target_action.target_id)
        if leaving is not None and event.time_us - leaving.time_us > MAX_LEAVING_DELAY_US:
            self.report(
                "P6",
                event.time_us,
                f"{event.target_action.target_id} got new work "
                f"{(event.time_us - leaving.time_us) / 1e6:.3f} s after its first sign of leaving",
                leaving,
                event,
            )
