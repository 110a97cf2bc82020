"""
tests.standins.action_log
~~~~~~~~~~~~~~~~~~~~~~~~~

Log of a target's actions, in memory and as ``TraceEvent`` lines appended to a file.
"""

import time

from google.protobuf.json_format import MessageToJson

from ibiscart_schema.generated.trace_pb2 import TargetAction, TraceEvent

__all__ = ["ActionLog", "parse_payload"]


class ActionLog:
    """Actions of one target, from which a checker evaluates a test run."""

    def __init__(self, target_id, path=""):
        self.target_id = target_id
        self.actions = []
        self._file = (
            open(path, "a", encoding="utf-8", buffering=1) if path else None
        )  # noqa: SIM115

    def add(self, action, account, request_id, attempt=0, rank=0, members=0):
        """Adds a ``TargetAction`` with these fields to the log, in memory and in the file."""
        message = TargetAction(
            target_id=self.target_id,
            action=action,
            account=account,
            request_id=request_id,
            attempt=attempt,
            rank=rank,
            members=members,
        )
        self.actions.append(message)
        if self._file is not None:
            event = TraceEvent(
                time_us=time.time_ns() // 1000, source=self.target_id, target_action=message
            )
            line = MessageToJson(event, preserving_proto_field_name=True, indent=None)
            self._file.write(line + "\n")

    def count(self, action, account=None, request_id=None):
        """Returns the number of logged actions of a kind, optionally of one account or request."""
        return sum(
            logged.action == action
            and account in (None, logged.account)
            and request_id in (None, logged.request_id)
            for logged in self.actions
        )


def parse_payload(payload):
    """Returns the numbers of ``name=value`` pairs separated by spaces; ignores other words."""
    values = {}
    for word in payload.split():
        name, separator, value = word.partition("=")
        if separator:
            try:
                values[name] = float(value)
            except ValueError:
                continue
    return values
