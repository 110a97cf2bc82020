"""
ibiscart_core.audits.answer
~~~~~~~~~~~~~~~~~~~~~~~~~~~

Checks the answers that callers got (P3, P4, P7).
"""

from ibiscart_core.audits.check import Check
from ibiscart_schema.generated.types_pb2 import RAN_NO

__all__ = ["AnswerCheck"]

# a caller's own deadline; a request without any answer after it is lost
ANSWER_BOUND_US = 60 * 1_000_000
RAN_ACTIONS = ("released", "request_started")


class AnswerCheck(Check):
    """P3, P4 and P7."""

    def __init__(self):
        super().__init__()
        self._calls = {}
        self._actions = {}
        self._refused_jobs = {}
        self._draining = {}
        self._gone = {}

    def on_event(self, event):
        """Pairs requests with answers and notes what ran."""
        kind = event.WhichOneof("kind")
        if kind == "caller_request":
            self._calls.setdefault(_key(event.caller_request), []).append(_Call(event))
        elif kind == "caller_answer":
            self._answer(event)
        elif kind == "target_action" and event.target_action.action in RAN_ACTIONS:
            self._actions.setdefault(_key(event.target_action), []).append(event)
        elif kind == "process_signal":
            self._signal(event)

    def on_record(self, record, event):
        """Notes jobs whose final outcome states that they did not run."""
        for item in record.events:
            if item.WhichOneof("kind") == "job_ended" and item.job_ended.ran == RAN_NO:
                self._refused_jobs[_key(item.job_ended.job)] = event

    def finish(self, time_us):
        """Compares refusals with what ran and finds requests without an answer."""
        for key, actions in self._actions.items():
            calls = self._calls.get(key, [])
            for action in actions:
                started = [call for call in calls if call.time_us <= action.time_us]
                refusals = [call.answer for call in started if call.refused]
                if refusals and not any(call.explains(action) for call in started):
                    self.report(
                        "P4",
                        action.time_us,
                        f"{_name(key)} refused as not run, but ran",
                        *refusals[-1:],
                        action,
                    )
            ended = self._refused_jobs.get(key)
            if ended is not None:
                self.report(
                    "P4", ended.time_us, f"{_name(key)} ended as not run, but ran", ended, *actions
                )
        for key, calls in self._calls.items():
            for call in calls:
                if call.answer is None and call.time_us + ANSWER_BOUND_US < time_us:
                    self.report("P3", call.time_us, f"{_name(key)} got no answer", call.request)

    def _answer(self, event):
        answer = event.caller_answer
        key = _key(answer)
        call = self._call_of(key, answer)
        if call is not None:
            call.answer = event
        if answer.broken:
            self._check_drain(key, call, event)
            return
        if answer.body_request_id and answer.body_request_id != answer.request_id:
            self.report(
                "P3",
                event.time_us,
                f"{_name(key)} got the answer of {answer.body_request_id}",
                *([call.request] if call else []),
                event,
            )
        elif answer.status < 300 and not (answer.complete and answer.body_request_id):
            self.report(
                "P3",
                event.time_us,
                f"{_name(key)} got an incomplete answer or one that names no request",
                *([call.request] if call else []),
                event,
            )

    def _call_of(self, key, answer):
        # several calls with one id may be open at different entries
        waiting = [call for call in self._calls.get(key, []) if call.answer is None]
        same = [c for c in waiting if c.request.caller_request.entry_id == answer.entry_id]
        return (same or waiting or [None])[0]

    def _signal(self, event):
        signal = event.process_signal
        if signal.signal == "drain":
            self._draining[signal.process_id] = event
            self._gone.pop(signal.process_id, None)
        elif signal.signal in ("kill", "exit"):
            self._gone[signal.process_id] = event

    def _check_drain(self, key, call, event):
        answer = event.caller_answer
        drain = self._draining.get(answer.entry_id)
        gone = self._gone.get(answer.entry_id)
        if gone is not None and gone.process_signal.signal == "kill":
            return
        if not answer.during_drain:
            if drain is None or call is None:
                return
            if gone is not None and call.time_us > gone.time_us:
                return
            # a new connection that the draining entry refuses interrupts nothing
            if call.time_us > drain.time_us and answer.ran == RAN_NO:
                return
        self.report(
            "P7",
            event.time_us,
            f"{_name(key)} was interrupted by the drain of {answer.entry_id}",
            *([drain] if drain else []),
            *([call.request] if call else []),
            event,
        )


class _Call:
    __slots__ = ("answer", "request", "time_us")

    def __init__(self, request):
        self.request = request
        self.time_us = request.time_us
        self.answer = None

    @property
    def refused(self):
        """Whether the answer states that the work did not run."""
        if self.answer is None:
            return False
        answer = self.answer.caller_answer
        return not answer.broken and answer.status >= 400 and answer.ran == RAN_NO

    def explains(self, action):
        """Tells whether this call may have caused the action."""
        if self.refused:
            return False
        if self.answer is None or self.request.caller_request.job:
            return True
        answer = self.answer.caller_answer
        # without a final answer the request may still be under way
        final = not answer.broken and answer.status < 400
        return not final or action.time_us <= self.answer.time_us


def _key(message):
    return (message.account, message.request_id)


def _name(key):
    return f"{key[0]}/{key[1]}"
