"""
ibiscart_entry.view
~~~~~~~~~~~~~~~~~~~

What callers and operators see of the ledger, as values that JSON can hold.
"""

from ibiscart_entry.quota import account_key
from ibiscart_schema.check import enum_names, to_mapping
from ibiscart_schema.generated.journal_pb2 import (
    JOB_STATE_ENDED,
    JOB_STATE_STOPPING,
    JobOutcome,
    JobState,
    StopCause,
)
from ibiscart_schema.generated.types_pb2 import Ran, TargetState

__all__ = [
    "contract_explanation",
    "contract_view",
    "job_state",
    "job_view",
    "region_status",
    "store_state",
]

UNMET_SHOWN = 100
STORE_LATE_SECONDS = 3.0
STORE_UNAVAILABLE_SECONDS = 10.0


def _short(enum_type):
    return {number: name for name, number in enum_names(enum_type.DESCRIPTOR).items()}


JOB_STATES = _short(JobState)
JOB_OUTCOMES = _short(JobOutcome)
STOP_CAUSES = _short(StopCause)
RAN = _short(Ran)
TARGET_STATES = _short(TargetState)


def job_state(job):
    """Returns the name of the state of a ``Job`` or ``JobSnapshot``."""
    return JOB_STATES[job.state]


def job_view(snapshot):
    """Returns a ``JobSnapshot`` as callers see it.

    Times are in microseconds since the epoch, 0 when not reached. ``outcome`` is present
    once the job has ended.
    """
    spec = snapshot.spec
    view = {
        "account": spec.account,
        "request_id": spec.request_id,
        "kind": spec.kind,
        "state": job_state(snapshot),
        "reason": snapshot.reason,
        "attempt": snapshot.attempt,
        "failures": snapshot.failures,
        "shape": to_mapping(spec.shape),
        "declared_seconds": spec.declared_seconds,
        "repeatable": spec.repeatable,
        "submitted_us": snapshot.submitted_us,
        "placed_us": snapshot.placed_us,
        "released_us": snapshot.released_us,
        "ended_us": snapshot.ended_us,
        "saved_seconds": snapshot.saved_seconds,
        "workers": [member.worker_id for member in snapshot.members],
        "members_ended": sum(member.ended for member in snapshot.members),
        "guarantee": None,
        "contract_version": snapshot.contract_version,
        "decided_sequence": snapshot.decided_sequence,
        "ran": "maybe" if snapshot.ever_released else "no",
    }
    if snapshot.HasField("reservation"):
        view["guarantee"] = f"{snapshot.reservation.guarantee}/{snapshot.reservation.index}"
    if snapshot.state == JOB_STATE_STOPPING:
        view["stop_cause"] = STOP_CAUSES[snapshot.stop_cause]
    if snapshot.HasField("preempted_by"):
        view["preempted_by"] = _key_text(snapshot.preempted_by)
    if snapshot.state == JOB_STATE_ENDED:
        view["outcome"] = JOB_OUTCOMES[snapshot.outcome]
        view["ran"] = RAN[snapshot.ran]
    return view


def contract_view(contract):
    """Returns a ``Contract`` as operators write it."""
    return to_mapping(contract)


def contract_explanation(account, entry_id, shares):
    """Returns an ``Account``'s reservations and its use of each limit.

    Limits of requests are divided among the entries: ``entry_used`` and ``entry_share`` are
    those of this entry, read from its ``QuotaShares``.
    """
    contract = account.contract
    return {
        "entry": entry_id,
        "account": account.name,
        "version": account.version,
        "reservations": [
            {
                "guarantee": reservation.key.guarantee,
                "index": reservation.key.index,
                "state": _reservation_state(reservation),
                "job": str(reservation.job.request_id) if reservation.job else None,
                "workers": list(reservation.workers),
            }
            for reservation in account.reservations.values()
        ],
        "limits": {
            "burst_accelerators": _use(account.burst_accelerators, contract.burst_accelerators),
            "burst_cpu_millis": _use(account.burst_cpu_millis, contract.burst_cpu_millis),
            "queued_jobs": _use(len(account.queued), contract.queued_jobs),
            "running_requests": _entry_use(
                contract.running_requests, shares, account_key("running", account.name)
            ),
            "queued_requests": _entry_use(
                contract.queued_requests, shares, account_key("queued", account.name)
            ),
        },
        "active_jobs": len(account.active),
        "weight": contract.weight,
    }


def region_status(ledger):
    """Returns counts of workers, guarantees and queues of a ``Ledger``."""
    unmet = sorted(
        (r.key for r in ledger.reservations.values() if _reservation_state(r) == "unmet"),
        key=lambda key: key.sort_key(),
    )
    return {
        "workers": _workers(ledger),
        "guarantees": {
            "total": len(ledger.reservations),
            "claimed": sum(r.job is not None for r in ledger.reservations.values()),
            "unmet": len(unmet),
            "unmet_keys": [repr(key) for key in unmet[:UNMET_SHOWN]],
        },
        "queues": {
            name: {
                "queued_jobs": len(account.queued),
                "queue_limit": account.contract.queued_jobs,
                "active_jobs": len(account.active),
                "burst_accelerators": account.burst_accelerators,
                "contract_version": account.version,
            }
            for name, account in sorted(ledger.accounts.items())
        },
    }


def store_state(confirmed_age):
    """Returns the state of the store by the age in seconds of the last confirmed position."""
    if confirmed_age >= STORE_UNAVAILABLE_SECONDS:
        return "unavailable"
    return "late" if confirmed_age >= STORE_LATE_SECONDS else "ok"


def _workers(ledger):
    states = dict.fromkeys(TARGET_STATES.values(), 0)
    accelerators = {"total": 0, "live": 0, "used": 0, "reserved": 0}
    for worker in ledger.workers.values():
        states[TARGET_STATES[worker.state]] += 1
        accelerators["total"] += worker.capacity.accelerators
        accelerators["used"] += worker.used.accelerators
        accelerators["reserved"] += worker.reserved.accelerators
        if worker.live:
            accelerators["live"] += worker.capacity.accelerators
    return {"by_state": states, "accelerators": accelerators}


def _reservation_state(reservation):
    if reservation.job is not None:
        return "claimed"
    return "free" if reservation.workers else "unmet"


def _use(used, limit):
    return {"used": used, "limit": limit}


def _entry_use(limit, shares, key):
    return {"limit": limit, "entry_used": shares.used(key), "entry_share": shares.limit(key)}


def _key_text(key):
    return f"{key.account}/{key.request_id}"
