"""
ibiscart_core.error
~~~~~~~~~~~~~~~~~~~

Error kinds and the response to each.
"""

from enum import Enum

from ibiscart_schema.generated.peer_pb2 import ErrorBody
from ibiscart_schema.generated.types_pb2 import RAN_MAYBE, RAN_NO, RAN_YES

__all__ = ["ANSWERS", "Answer", "ErrorKind", "IbiscartError"]


class ErrorKind(Enum):
    """Every kind of error that a caller or an operator can receive."""

    BAD_REQUEST = "bad_request"
    BAD_FIELD = "bad_field"
    BODY_TOO_LARGE = "body_too_large"
    REQUEST_TIMEOUT = "request_timeout"
    UNAUTHORIZED = "unauthorized"
    FORBIDDEN = "forbidden"
    NOT_FOUND = "not_found"
    METHOD_NOT_ALLOWED = "method_not_allowed"
    UNKNOWN_ACCOUNT = "unknown_account"
    ID_REUSED = "id_reused"
    IMPOSSIBLE_SHAPE = "impossible_shape"
    OVER_LIMIT = "over_limit"
    QUEUE_FULL = "queue_full"
    OVERLOADED = "overloaded"
    DRAINING = "draining"
    NOT_READY = "not_ready"
    STORE_UNAVAILABLE = "store_unavailable"
    COMMIT_UNKNOWN = "commit_unknown"
    NO_TARGET = "no_target"
    QUEUE_TIMEOUT = "queue_timeout"
    TARGET_FAILED = "target_failed"
    OUTCOME_UNKNOWN = "outcome_unknown"
    IN_PROGRESS = "in_progress"
    ALREADY_ENDED = "already_ended"
    CANCELLED = "cancelled"
    CANCEL_LIMIT = "cancel_limit"
    VERSION_CONFLICT = "version_conflict"
    CONTRACT_UNPACKABLE = "contract_unpackable"
    INTERNAL = "internal"


class Answer:
    """Response to one kind of error.

    ``status`` is the HTTP status, ``ran`` a ``Ran`` value for whether the work may have run,
    and ``retry_after`` the seconds to wait before a retry, 0 if a retry is useless.
    """

    __slots__ = ("ran", "retry_after", "retryable", "status")

    def __init__(self, status, ran, retryable, retry_after):
        self.status = status
        self.ran = ran
        self.retryable = retryable
        self.retry_after = retry_after


ANSWERS = {
    ErrorKind.BAD_REQUEST: Answer(400, RAN_NO, False, 0),
    ErrorKind.BAD_FIELD: Answer(400, RAN_NO, False, 0),
    ErrorKind.BODY_TOO_LARGE: Answer(413, RAN_NO, False, 0),
    ErrorKind.REQUEST_TIMEOUT: Answer(408, RAN_NO, True, 1),
    ErrorKind.UNAUTHORIZED: Answer(401, RAN_NO, False, 0),
    ErrorKind.FORBIDDEN: Answer(403, RAN_NO, False, 0),
    ErrorKind.NOT_FOUND: Answer(404, RAN_NO, False, 0),
    ErrorKind.METHOD_NOT_ALLOWED: Answer(405, RAN_NO, False, 0),
    ErrorKind.UNKNOWN_ACCOUNT: Answer(404, RAN_NO, False, 0),
    # a request that reuses the id of an earlier request with another body is rejected and did not
    # run; the earlier one may have run
    ErrorKind.ID_REUSED: Answer(409, RAN_NO, False, 0),
    ErrorKind.IMPOSSIBLE_SHAPE: Answer(422, RAN_NO, False, 0),
    ErrorKind.OVER_LIMIT: Answer(422, RAN_NO, False, 0),
    ErrorKind.QUEUE_FULL: Answer(429, RAN_NO, True, 5),
    ErrorKind.OVERLOADED: Answer(503, RAN_NO, True, 2),
    ErrorKind.DRAINING: Answer(503, RAN_NO, True, 1),
    ErrorKind.NOT_READY: Answer(503, RAN_NO, True, 2),
    ErrorKind.STORE_UNAVAILABLE: Answer(503, RAN_NO, True, 5),
    # the append may have taken effect; a retry with the same id is safe
    ErrorKind.COMMIT_UNKNOWN: Answer(503, RAN_MAYBE, True, 2),
    ErrorKind.NO_TARGET: Answer(503, RAN_NO, True, 2),
    ErrorKind.QUEUE_TIMEOUT: Answer(503, RAN_NO, True, 2),
    ErrorKind.TARGET_FAILED: Answer(502, RAN_MAYBE, True, 1),
    ErrorKind.OUTCOME_UNKNOWN: Answer(502, RAN_MAYBE, False, 0),
    ErrorKind.IN_PROGRESS: Answer(409, RAN_MAYBE, True, 1),
    ErrorKind.ALREADY_ENDED: Answer(409, RAN_YES, False, 0),
    ErrorKind.CANCELLED: Answer(409, RAN_NO, False, 0),
    ErrorKind.CANCEL_LIMIT: Answer(429, RAN_NO, True, 30),
    ErrorKind.VERSION_CONFLICT: Answer(409, RAN_NO, False, 0),
    ErrorKind.CONTRACT_UNPACKABLE: Answer(422, RAN_NO, False, 0),
    ErrorKind.INTERNAL: Answer(500, RAN_MAYBE, True, 1),
}


class IbiscartError(Exception):
    """An error of one of the kinds of ``ErrorKind``.

    ``field``, ``value`` and ``bound`` describe the invalid input, if any; ``details`` contains
    further lines, such as every failed check of a document. ``retry_after`` is in seconds, by
    default that of the kind of error.
    """

    def __init__(
        self,
        kind,
        message,
        *,
        field="",
        value="",
        bound="",
        details=(),
        ran=None,
        retry_after=None,
    ):
        super().__init__(f"{kind.value}: {message}")
        self.kind = kind
        self.message = message
        self.field = field
        self.value = value
        self.bound = bound
        self.details = tuple(details)
        self._ran = ran
        self._retry_after = retry_after

    @property
    def answer(self):
        """Entry of ``ANSWERS`` for this kind of error."""
        return ANSWERS[self.kind]

    @property
    def ran(self):
        """``Ran`` value for whether the work may have run."""
        return self.answer.ran if self._ran is None else self._ran

    @property
    def retry_after(self):
        """Seconds to wait before a retry, 0 if a retry is useless."""
        return self.answer.retry_after if self._retry_after is None else self._retry_after

    @classmethod
    def from_message(cls, body):
        """Builds the error that a peer sent as an ``ErrorBody``."""
        return cls(
            ErrorKind(body.code),
            body.message,
            field=body.field,
            value=body.value,
            bound=body.bound,
            details=body.details,
            ran=body.ran,
        )

    def to_message(self):
        """Returns the error as an ``ErrorBody`` message."""
        return ErrorBody(
            code=self.kind.value,
            message=self.message,
            ran=self.ran,
            retryable=self.answer.retryable,
            retry_after_seconds=self.retry_after,
            field=self.field,
            value=str(self.value),
            bound=str(self.bound),
            details=self.details,
        )
