"""
ibiscart_entry.decision
~~~~~~~~~~~~~~~~~~~~~~~

Logs each decision that this entry appended, with its reason and the versions it used.
"""

import logging

import trio

from ibiscart_core.job import JobKey
from ibiscart_core.lifecycle import STOP_REASONS
from ibiscart_schema.generated.journal_pb2 import JobOutcome, MemberOutcome
from ibiscart_schema.generated.types_pb2 import Ran, TargetState

__all__ = ["DecisionLog", "describe"]

LOG = logging.getLogger("ibiscart.decision")
RESUBSCRIBE_SECONDS = 1.0


class DecisionLog:
    """Follows the journal and logs the records of one writer.

    Only the writer logs a record, so that the region's logs hold each decision once.
    """

    def __init__(self, entry_id, journal):
        self._entry_id = entry_id
        self._journal = journal

    async def run(self, task_status=trio.TASK_STATUS_IGNORED):
        """Logs until cancelled."""
        task_status.started()
        while True:
            async for record in self._journal.subscribe():
                if record.writer == self._entry_id:
                    self._log(record)
            # the channel was closed because this reader fell behind
            LOG.warning("Some decisions were not logged.")
            await trio.sleep(RESUBSCRIBE_SECONDS)

    def _log(self, record):
        for event in record.events:
            text, fields = describe(event)
            fields["sequence"] = record.sequence
            version = self._contract_version(fields.get("account", ""))
            if version:
                fields["contract_version"] = version
            LOG.info(text, extra=fields)

    def _contract_version(self, account_name):
        account = self._journal.ledger.accounts.get(account_name)
        return account.version if account is not None else 0


def describe(event):
    """Returns (sentence, fields) for an ``Event``."""
    kind = event.WhichOneof("kind")
    return _DESCRIPTIONS[kind](getattr(event, kind))


def _job(message, **fields):
    key = JobKey.from_message(message)
    return {"account": key.account, "request_id": key.request_id, **fields}


def _contract_changed(event):
    contract = event.contract
    return "A contract is in force.", {"account": contract.account, "version": contract.version}


def _contract_removed(event):
    return "A contract was removed.", {"account": event.account}


def _worker_registered(event):
    worker = event.worker
    fields = {"worker": worker.id, "data_centre": worker.data_centre, "rack": worker.rack}
    return "A worker was registered.", fields


def _worker_state_changed(event):
    state = TargetState.Name(event.state).removeprefix("TARGET_").lower()
    fields = {"worker": event.worker_id, "state": state, "reason": event.cause}
    return "A worker changed its state.", fields


def _reservation_set(event):
    key = event.key
    fields = {
        "account": key.account,
        "guarantee": f"{key.guarantee}/{key.index}",
        "workers": list(event.workers),
    }
    if event.workers:
        return "A guaranteed shape holds these workers.", fields
    return "A guaranteed shape cannot be placed.", fields | {"reason": "guarantee_unmet"}


def _job_submitted(event):
    spec = event.spec
    return "A job was queued.", _job(spec, shape_members=spec.shape.members)


def _job_placed(event):
    fields = _job(event.job, attempt=event.attempt, workers=list(event.workers))
    if event.HasField("reservation"):
        fields["guarantee"] = f"{event.reservation.guarantee}/{event.reservation.index}"
    return "A job was placed.", fields | {"reason": event.reason}


def _job_released(event):
    return "All members are held; the job runs.", _job(event.job, attempt=event.attempt)


def _job_stopping(event):
    fields = _job(event.job, attempt=event.attempt, reason=STOP_REASONS[event.cause])
    if event.HasField("preempted_by"):
        fields["preempted_by"] = repr(JobKey.from_message(event.preempted_by))
    return "A job is being stopped.", fields


def _member_ended(event):
    outcome = MemberOutcome.Name(event.outcome).removeprefix("MEMBER_").lower()
    fields = _job(event.job, attempt=event.attempt, rank=event.rank, reason=outcome)
    return "A member has ended.", fields


def _job_requeued(event):
    return "A job was queued again.", _job(event.job, attempt=event.attempt, reason=event.reason)


def _job_ended(event):
    outcome = JobOutcome.Name(event.outcome).removeprefix("JOB_").lower()
    ran = Ran.Name(event.ran).removeprefix("RAN_").lower()
    return "A job has ended.", _job(event.job, outcome=outcome, ran=ran, reason=event.reason)


def _shares_granted(event):
    fields = {"epoch": event.epoch, "entries": list(event.entries)}
    return "Shares were granted to these entries.", fields


_DESCRIPTIONS = {
    "contract_changed": _contract_changed,
    "contract_removed": _contract_removed,
    "worker_registered": _worker_registered,
    "worker_state_changed": _worker_state_changed,
    "reservation_set": _reservation_set,
    "job_submitted": _job_submitted,
    "job_placed": _job_placed,
    "job_released": _job_released,
    "job_stopping": _job_stopping,
    "member_ended": _member_ended,
    "job_requeued": _job_requeued,
    "job_ended": _job_ended,
    "shares_granted": _shares_granted,
}
