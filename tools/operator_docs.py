"""Writes the generated tables of docs/operators; with --check only compares them."""

import pathlib
import re
import sys

from ibiscart_cli.outcome import EXIT_MEANINGS
from ibiscart_core.error import ANSWERS, ErrorKind
from ibiscart_entry.metric import Metrics
from ibiscart_entry.routes.contract import ContractRoutes
from ibiscart_entry.routes.job import JobRoutes
from ibiscart_entry.routes.probe import ProbeRoutes
from ibiscart_entry.routes.request import RequestRoutes
from ibiscart_schema.check import bound_text, enum_names
from ibiscart_schema.generated.bounds_pb2 import bounds
from ibiscart_schema.generated.settings_pb2 import EntrySettings
from ibiscart_schema.generated.types_pb2 import Contract, Guarantee, JobSpec, Ran, Resources, Shape

DIRECTORY = pathlib.Path(__file__).resolve().parent.parent / "docs" / "operators"
BLOCK = re.compile(r"(<!-- begin (\w+) -->\n).*?(<!-- end \2 -->)", re.DOTALL)

SETTINGS = {
    "entry_id": "Name of this entry, unique in the region.",
    "region": "Region, the name of its journal.",
    "data_centre": "Data centre of this entry.",
    "server.address": "Address for callers, operators and the load balancer.",
    "server.max_connections": "Open connections; further ones get `overloaded`. Half of it bounds "
    "the long polls.",
    "server.max_body_bytes": "Longest request body.",
    "server.header_timeout_seconds": "Time for a request's header to arrive.",
    "server.body_timeout_seconds": "Time for a request's body to arrive, and for an answer to be "
    "taken.",
    "peer.address": "Address for other entries only.",
    "peer.key": "Key that all entries of the region share; prefer `key_file`.",
    "peer.key_file": "File that holds the key, relative to the settings file.",
    "peer.heartbeat_seconds": "Time between heartbeats to each entry.",
    "peer.silence_seconds": "An entry that is silent for so long is not live.",
    "store.table_url": "Table service.",
    "store.object_url": "Object store.",
    "store.timeout_seconds": "Time for one operation.",
    "store.writes_per_second": "This entry's part of the store's writes.",
    "store.reads_per_second": "This entry's part of the store's reads.",
    "store.snapshot_records": "Records between snapshots of the state.",
    "membership.url": "Membership list of the platform.",
    "membership.poll_seconds": "Time between reads of the list.",
    "operators.key_sha256": "Hashes of the operators' keys, from `ibiscart contract hash-key`.",
    "scheduler.policy": "Scheduling policy; `fifo` is the baseline for comparisons.",
    "scheduler.batch_seconds": "Longest time to collect commands for one record.",
    "scheduler.lease_seconds": "Lease of running tasks.",
    "scheduler.held_lease_seconds": "Lease of tasks that wait for their gang.",
    "scheduler.renew_seconds": "Time between renewals; at most half of the lease.",
    "scheduler.checkpoint_seconds": "Time for a checkpoint before a preemption.",
    "scheduler.stop_seconds": "Time for a task to stop.",
    "scheduler.attempts": "Failed attempts after which a job ends.",
    "dispatch.request_timeout_seconds": "Deadline of calls without `x-remaining-ms`.",
    "dispatch.long_slots": "Slots of a runner that long requests may use.",
    "dispatch.long_request_seconds": "Requests with a longer estimate are long.",
    "dispatch.retry_budget_share": "Retries as a share of requests.",
    "dispatch.attempts": "Attempts of one request.",
    "drain.balancer_lag_seconds": "Time that the load balancer needs to notice that an entry is "
    "not ready.",
    "drain.deadline_seconds": "Longest time from the signal to the exit; at least 1 s more than "
    "the lag.",
    "log.level": "Lowest level that is logged.",
    "log.trace_objects": "Stores recorded events in the object store.",
    "log.trace_path": "File for recorded events; none when empty.",
}

ADVICE = {
    "bad_request": "The request is not valid HTTP, JSON or UTF-8. Correct the caller.",
    "bad_field": "Correct the named field; `details` lists every problem of the body.",
    "body_too_large": "Send less, or raise `server.max_body_bytes`.",
    "request_timeout": "The request arrived too slowly or its deadline had passed. Send it again "
    "with more time.",
    "unauthorized": "Check the key; an operator adds its hash to the contract's `key_sha256`.",
    "forbidden": "The key is valid, but for another account or without operator rights. Use the "
    "right key.",
    "not_found": "Check path and id; ended jobs are kept for 24 h.",
    "method_not_allowed": "Use one of the methods that the error names.",
    "unknown_account": "Create a contract for the account.",
    "id_reused": "Another body came under this id before. Use a new id for new work.",
    "impossible_shape": "No worker, rack or data centre can hold the job. Use smaller members, "
    "fewer of them or a wider scope.",
    "over_limit": "The contract does not allow it. Change the contract or the job.",
    "queue_full": "The account's queue is full. Wait, or raise `queued_jobs` or "
    "`queued_requests`.",
    "overloaded": "This entry is at a bound of its own. Retry, also at another entry; check the "
    "gauge of connections when it lasts.",
    "draining": "This entry is leaving. Retry at another entry.",
    "not_ready": "This entry has not loaded or confirmed the state. Retry at another entry; see "
    "`ibiscart status` when it lasts.",
    "store_unavailable": "The store does not confirm the position. Retry; check the store when it "
    "lasts. Running jobs go on. On the platform, `Retry-After` is 1 to 5 s, by the age of the "
    "outage and the caller's deadline.",
    "commit_unknown": "The decision may have been recorded. Send the same id again, or read the "
    "contract before changing it again.",
    "no_target": "No eligible runner. Retry; check runners and membership list when it lasts.",
    "queue_timeout": "No runner slot was free in time. Retry, or raise the runners or the "
    "account's share.",
    "target_failed": "The runner failed with the request. Repeatable work may be sent again.",
    "outcome_unknown": "Work that must run only once may have run. It is never sent again; find "
    "out from its effects.",
    "in_progress": "The same id is being worked on. Ask again later with the same id.",
    "already_ended": "The job has ended; read it with `ibiscart job show`.",
    "cancelled": "The job was cancelled before this submission of it was stored. It never runs; "
    "use a new id for new work.",
    "cancel_limit": "The account has cancelled 100 unknown jobs whose ids begin alike, which are "
    "kept out for the time of `status_s`. Send the cancellation again later; look for a caller "
    "that cancels ids that it never submitted.",
    "version_conflict": "Another operator changed the contract. Read it, apply the change again; "
    "`details` lists the differences.",
    "contract_unpackable": "The guarantees of all contracts do not fit at once. Lower a count, "
    "shrink a shape or widen a scope; `details` names what does not fit.",
    "internal": "A fault of ibiscart. Send the same id again, and report the request id with the "
    "entry's log.",
}

# what to do when a counter grows, and its values: a name that ends in * stands for all that
# begin like it
COUNTERS = {
    "requests": (
        "Nothing by itself; compare entries to see whether the balancer spreads the load.",
        {"*": "Path group and handler, such as `job_submit` or `request_send`."},
    ),
    "refusals": (
        "Look the kind up in [errors](errors.md).",
        {"*": "Kind of error."},
    ),
    "answers_without_caller": (
        "Callers left before the answer: compare with `process_pause_seconds` of the same entry, "
        "and with the callers' deadlines. What was accepted is stored.",
        {"*": "Method and status of the answer."},
    ),
    "rejections": (
        "The callers' jobs do not fit the pool: see the log line for the field and its bound. If "
        "they should fit, workers have been missing for minutes.",
        {
            "task_too_large": "A task needs more of a resource than any worker of the pool has.",
            "no_such_label": "A step requires a label that no worker of the pool has.",
            "gang_too_large": "A gang has more tasks than the whole pool can run at once.",
        },
    ),
    "retries": (
        "A few are normal at every replacement. Steady growth: look at the part that the reason "
        "names.",
        {
            "append_*": "An append failed or its answer was lost; the same record is sent again.",
            "forward_unsent": "Commands did not reach the preferred writer; others are tried.",
            "forward_unknown": "The preferred writer's answer was lost; the commands are tried "
            "again by their ids.",
            "report_*": "A report on a worker, a member or a held gang was not decided yet.",
            "start_*": "A member could not be started on its worker.",
            "release_*": "A worker did not confirm a release.",
            "stop_*": "A worker did not confirm a stop; its places stay taken.",
            "budget_spent": "A request was not sent again, since retries exceed their share of "
            "the requests. Look at the runners' errors.",
            "*": "A request is sent to a runner again, by the error of the first try.",
        },
    ),
    "decisions": (
        "Nothing; the log of decisions has the reasons.",
        {"*": "Kind of event in the journal, such as `job_placed`."},
    ),
    "append_conflicts": (
        "A few when the preferred writer changes. Steady growth: two entries prefer themselves; "
        "check the peers' connections.",
        {
            "sequence": "Another entry's record came first; the batch is decided again.",
            "lost": "The row was deleted before the outcome was known; callers get "
            "`commit_unknown`.",
        },
    ),
    "store_operations": (
        "Compare with the store's limits.",
        {"*": "`transact`, `get`, `scan` of the table service, `put`, `get_object` of objects."},
    ),
    "orders": (
        "`unknown` or `not_sent` on one worker: look for it in the logs. `fenced`: this entry no "
        "longer leads.",
        {
            "draining": "Not sent: the worker has begun to drain since the start was planned.",
            "evacuated": "Not sent: the worker's data centre is being emptied; see "
            "[evacuation](evacuation.md).",
            "evacuations_unconfirmed": "Not sent: the store has not confirmed for too long which "
            "data centres are being emptied.",
            "*": "The worker's answer to an order to start a run.",
        },
    ),
    "stops": (
        "Errors on one worker: it is cut off, and its runs end with their leases.",
        {
            "no_session": "The worker is not in the directory, so nothing was sent.",
            "*": "Why the run was stopped, or the error of the call.",
        },
    ),
    "lists": (
        "Errors on one worker: it is cut off or gone.",
        {
            "answered": "The worker listed its runs.",
            "loading": "A new leader extended the worker's leases before it had loaded the jobs: "
            "loading took over a second.",
            "*": "Error of the connection, or the worker's refusal.",
        },
    ),
    "over_share": (
        "One account with steady growth: it sends more than its share; see [shares](shares.md).",
        {"*": "Name of the account."},
    ),
    "task_errors": (
        "A fault of the product: the log has a line with the kind and the traceback; please report "
        "it. Only that worker, job, request or component is affected.",
        {
            "worker": "The session with one worker; it begins again after a pause.",
            "job": "The planning, record or reports of one job; it is left out for a growing time.",
            "term": "The term of a leader; the leadership is released.",
            "campaign": "An election; the entry tries again after a pause.",
            "component": "A component of the process, which starts again after a pause.",
            "request": "One request; its caller got 500.",
            "*": "Kind of the task that ended.",
        },
    ),
    "store_errors": (
        "See [outages](outages.md).",
        {
            "breaker_open": "Not sent, since earlier operations failed. Counts while an outage "
            "lasts.",
            "rate_limit": "Not sent, since this entry's part of the rate is used up. Raise "
            "`store.writes_per_second` or `store.reads_per_second` if the store can take it.",
            "*": "Error of the connection, or `status_` and the HTTP status.",
        },
    ),
    "held_requests": (
        "See [outages](outages.md); compare with `released_requests`.",
        {
            "overdue": "An answer of the store takes longer than usual.",
            "last_try": "The store is lost, and the caller has no time to come back.",
        },
    ),
    "released_requests": (
        "Nothing: the store answered in time.",
        {"*": "Why the request was held, as in `held_requests`."},
    ),
    "store_refusals": (
        "See [outages](outages.md). Nothing of these requests was sent to the store.",
        {
            "store_lost": "The store is lost, and the caller can come back before its deadline.",
            "long_outage": "The store has been lost for over 9 s, so the request was not held.",
            "queued": "The store answers again, but other held requests came first.",
            "held": "The store did not answer for half of the time that the caller had.",
        },
    ),
    "peer_messages": (
        "Nothing.",
        {
            "announce": "Job ids for the leading entry, on the platform.",
            "store_*": "A call to the store through another entry, on the platform.",
            "catalog": "A question for a newer configuration, while the store is late.",
            "*": "`heartbeat`, `push` of a record, `commands`, `catch-up`, `loan`.",
        },
    ),
    "peer_errors": (
        "`refused` at replacements is normal. `timeout` between the same two entries: check the "
        "network between their data centres.",
        {
            "malformed": "The entry's offer of a configuration cannot be read, or it has none yet.",
            "outdated": "The store has not confirmed the entry's configuration for 2 s.",
            "*": "Error of the connection, or `status_` and the HTTP status.",
        },
    ),
    "target_calls": (
        "Nothing.",
        {
            "run": "A request to a runner.",
            "*": "A call to a worker: `start`, `release`, `renew`, `checkpoint`, `throttle`, "
            "`stop`, `list`.",
        },
    ),
    "target_errors": (
        "See [workers](workers.md).",
        {
            "crossed": "A runner answered with another request's id; the answer is dropped and the "
            "connections are closed. Check the runner.",
            "leaving": "The target says that it leaves; it gets no new work.",
            "full": "A runner had no free slot although its share said so.",
            "unknown_task": "A worker does not know the task.",
            "refused_task": "A worker refused a task.",
            "bad_answer": "A worker's answer is not of the protocol.",
            "probe_*": "A runner that was not reachable is still not.",
            "*": "Error of the connection.",
        },
    ),
    "claims": (
        "`unknown` and `lost`: callers got `outcome_unknown`; find the cause in the target errors.",
        {
            "created": "A request that may run once was claimed.",
            "finished": "Its outcome was stored.",
            "answered_again": "A repeated call got the stored outcome.",
            "not_run": "The claim was removed, since the request certainly did not run.",
            "unknown": "The claim was closed without an outcome.",
            "lost": "A caller was told `outcome_unknown` before the request was sent; it is not "
            "sent.",
            "refused": "No claim, since the store did not take it; the request did not run.",
            "unsure": "It is not known whether the claim was stored; the request was not sent.",
        },
    ),
    "share_loans": (
        "Many loans: the balancer sends one account's requests to few entries.",
        {
            "borrowed": "This entry got a part of a peer's share.",
            "lent": "This entry gave a part of its share.",
            "refused": "This entry had nothing to lend.",
            "late": "A loan arrived after the next grant and is not used.",
            "unanswered": "A peer did not answer; what it may have lent is unused until the next "
            "grant.",
        },
    ),
    "dropped": (
        "Any growth deserves a look at this entry's load.",
        {
            "broadcast": "A push to a peer; the peer reads the record from the store.",
            "journal_subscriber": "A record for a part of this entry that lags.",
            "claim_outcome": "The outcome of a request that ran once; a repeated call gets "
            "`outcome_unknown`.",
            "announcement": "Job ids for the leading entry; the store's feed brings them later.",
            "trace_event": "A recorded event; the object store was away for long.",
            "trace_record": "Records were not recorded; other entries' recordings have them.",
        },
    ),
    "wire_bytes_sent": (
        "Compare with docs/CAPACITY.md; the limit for control is 8 KB/s per node.",
        {"*": "Kind of counterpart: peers, table, objects, workers, runners, members, callers."},
    ),
    "wire_bytes_received": (
        "As for bytes sent.",
        {"*": "Kind of counterpart: peers, table, objects, workers, runners, members, callers."},
    ),
}

GROUPS = (JobRoutes, RequestRoutes, ContractRoutes, ProbeRoutes)


def table(header, rows):
    lines = ["| " + " | ".join(header) + " |", "|" + " --- |" * len(header)]
    for row in rows:
        cells = (str(cell).replace("|", "\\|") for cell in row)
        lines.append("| " + " | ".join(cells) + " |")
    return "\n".join(lines) + "\n"


def field_rows(descriptor, prefix=""):
    """Yields the name, bounds, default and whether it is required of each plain field."""
    for field in descriptor.fields:
        name = prefix + field.name
        if field.message_type is not None and not field.is_repeated:
            yield from field_rows(field.message_type, name + ".")
            continue
        yield name, bound_text(field), default_of(field)


def default_of(field):
    """Returns what the default column shows."""
    options = field.GetOptions().Extensions[bounds]
    if options.required:
        return "required"
    if options.default_value:
        return f"`{options.default_value}`"
    if field.is_repeated or field.message_type is not None:
        return ""
    if field.type == field.TYPE_ENUM:
        return f"`{next(iter(enum_names(field.enum_type)))}`"
    if field.type == field.TYPE_BOOL:
        return "`false`"
    return "" if field.type == field.TYPE_STRING else "`0`"


def settings_table():
    rows = []
    for name, bound, default in field_rows(EntrySettings.DESCRIPTOR):
        rows.append((f"`{name}`", SETTINGS[name], f"`{bound}`", default))
    return table(("setting", "meaning", "allowed", "default"), rows)


def fields_table():
    rows = []
    for message in (Contract, Guarantee, Shape, Resources, JobSpec):
        for field in message.DESCRIPTOR.fields:
            if field.name in ("body_sha256", "version"):
                continue
            kind = field.message_type.name if field.message_type else bound_text(field)
            name = f"`{field.name}`"
            rows.append((message.DESCRIPTOR.name, name, f"`{kind}`", default_of(field)))
    return table(("message", "field", "allowed", "default"), rows)


def error_table():
    rows = []
    for kind in ErrorKind:
        answer = ANSWERS[kind]
        ran = Ran.Name(answer.ran).removeprefix("RAN_").lower()
        retry = f"after {answer.retry_after:g} s" if answer.retryable else "no"
        rows.append((f"`{kind.value}`", answer.status, ran, retry, ADVICE[kind.value]))
    return table(("kind", "status", "ran", "retry", "what to do"), rows)


def exit_table():
    return table(("code", "meaning"), ((int(c), text) for c, text in EXIT_MEANINGS.items()))


def path_table():
    rows = []
    for group in GROUPS:
        for route in group.ROUTES:
            text = getattr(group, route.handler).__doc__.split("\n\n")[0].replace("``", "`")
            path = "/" + "/".join(route.parts)
            query = ", ".join(f"`{name}`" for name in route.query)
            rows.append((route.method, f"`{path}`", route.access or "open", query, text))
    return table(("method", "path", "key", "query", "purpose"), rows)


def counter_table():
    rows = []
    for name, (label, text) in Metrics.COUNTERS.items():
        rows.append((f"`ibiscart_{name}_total`", f"`{label}`", text, COUNTERS[name][0]))
    return table(("counter", "label", "counts", "what to do when it grows"), rows)


def reason_table():
    rows = []
    for name, (_, reasons) in COUNTERS.items():
        for reason, text in reasons.items():
            rows.append((f"`{name}`", "others" if reason == "*" else f"`{reason}`", text))
    return table(("counter", "value", "meaning"), rows)


def latency_table():
    latencies = Metrics.LATENCIES.items()
    rows = [(f"`ibiscart_{name}`", f"`{label}`", text) for name, (label, text) in latencies]
    return table(("summary", "label", "measures"), rows)


TABLES = {
    "counters": counter_table,
    "reasons": reason_table,
    "latencies": latency_table,
    "settings": settings_table,
    "fields": fields_table,
    "errors": error_table,
    "exits": exit_table,
    "paths": path_table,
}


def rendered(text):
    """Returns a page's text with its generated blocks written anew."""
    return BLOCK.sub(lambda match: match[1] + "\n" + TABLES[match[2]]() + "\n" + match[3], text)


def stale_pages():
    """Returns the pages whose generated blocks are not up to date."""
    pages = sorted(DIRECTORY.glob("*.md"))
    return [page for page in pages if rendered(page.read_text()) != page.read_text()]


def main():
    stale = stale_pages()
    if "--check" in sys.argv[1:]:
        for page in stale:
            print(f"{page}: generated tables are out of date; run tools/operator_docs.py")
        return 1 if stale else 0
    for page in stale:
        page.write_text(rendered(page.read_text()))
        print(f"wrote {page}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
