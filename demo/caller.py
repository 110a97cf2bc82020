"""
demo.caller
~~~~~~~~~~~~~~~~~

Callers behind a load balancer: picks ready entries, resends by id, and records answers.
"""

import json
import secrets
import time

import trio

from ibiscart_entry.client import HttpClient, TransportError
from ibiscart_schema.generated.types_pb2 import Ran

__all__ = ["Balancer", "Caller", "Outcome"]

PROBE_SECONDS = 0.25
ANSWER_SECONDS = 35
LONGEST_PAUSE_SECONDS = 0.5
GIVE_UP_SECONDS = 60


class Balancer:
    """Sends to the entries that said they are ready at the last probe, in turn."""

    def __init__(self, fleet):
        self._fleet = fleet
        self._ready = list(fleet.entries)
        self._next = 0
        self._clients = {entry.id: HttpClient(entry.address) for entry in fleet.entries}

    async def run(self):
        """Probes all entries until cancelled, then closes its connections."""
        try:
            await self._probe()
        finally:
            with trio.CancelScope(shield=True):
                for client in self._clients.values():
                    await client.aclose()

    async def _probe(self):
        while True:
            ready = []
            for entry in self._fleet.entries:
                if entry.child.running and await self._fleet.is_ready(entry):
                    ready.append(entry)
            self._ready = ready
            await trio.sleep(PROBE_SECONDS)

    def client(self, entry):
        """Returns the client of one entry."""
        return self._clients[entry.id]

    def pick(self):
        """Returns the next (entry, client), or None when none is ready."""
        if not self._ready:
            return None
        self._next += 1
        entry = self._ready[self._next % len(self._ready)]
        return entry, self._clients[entry.id]


class Outcome:
    """The last answer to one request; ``tries`` counts what was sent for it."""

    __slots__ = ("code", "entry_id", "ran", "request_id", "seconds", "status", "tries", "value")

    def __init__(self, request_id):
        self.request_id = request_id
        self.status = 0
        self.code = ""
        self.ran = ""
        self.value = None
        self.entry_id = ""
        self.tries = 0
        self.seconds = 0.0


class Caller:
    """Calls as one client account with its key."""

    def __init__(self, fleet, balancer, account):
        self._fleet = fleet
        self._balancer = balancer
        self.account = account
        self.key = secrets.token_urlsafe(24)

    async def send_request(self, request_id, body, repeatable=True, kind="default"):
        """Sends a short request until it has a final answer; returns its ``Outcome``."""
        query = f"?kind={kind}&repeatable={'true' if repeatable else 'false'}"
        path = f"/v1/accounts/{self.account}/requests/{request_id}{query}"
        return await self._until_final("POST", path, body, request_id, repeatable, job=False)

    async def submit_job(self, request_id, spec):
        """Submits a job until it has a final answer."""
        path = f"/v1/accounts/{self.account}/jobs"
        body = json.dumps(spec | {"request_id": request_id}).encode()
        repeatable = spec.get("repeatable", True)
        return await self._until_final("POST", path, body, request_id, repeatable, job=True)

    async def cancel_job(self, request_id):
        """Cancels a job."""
        path = f"/v1/accounts/{self.account}/jobs/{request_id}"
        return await self._until_final("DELETE", path, b"", request_id, True, job=True)

    async def wait_job(self, request_id, seconds=GIVE_UP_SECONDS):
        """Waits until a job has ended; returns its view, or None."""
        path = f"/v1/accounts/{self.account}/jobs/{request_id}?wait=5"
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            outcome = await self._until_final("GET", path, b"", request_id, True, job=True)
            if outcome.status == 200 and outcome.value["job"]["state"] == "ended":
                return outcome.value["job"]
            await trio.sleep(0.05)
        return None

    async def _until_final(self, method, path, body, request_id, repeatable, job):
        outcome = Outcome(request_id)
        start = time.monotonic()
        while time.monotonic() - start < GIVE_UP_SECONDS:
            picked = self._balancer.pick()
            if picked is None:
                await trio.sleep(0.05)
                continue
            entry, client = picked
            pause = await self._try(entry, client, method, path, body, outcome, repeatable, job)
            if pause is None:
                break
            await trio.sleep(min(pause, LONGEST_PAUSE_SECONDS))
        outcome.seconds = time.monotonic() - start
        return outcome

    async def _try(self, entry, client, method, path, body, outcome, repeatable, job):
        """Sends once; returns the pause before the next try, or None after a final answer."""
        outcome.tries += 1
        outcome.entry_id = entry.id
        asks = method == "POST"
        if asks:
            self._fleet.record(
                caller_request={
                    "account": self.account,
                    "request_id": outcome.request_id,
                    "repeatable": repeatable,
                    "job": job,
                    "entry_id": entry.id,
                }
            )
        headers = [("authorization", f"Bearer {self.key}"), ("content-type", "application/json")]
        try:
            response = await client.request(
                method, path, body=body, headers=headers, timeout=ANSWER_SECONDS
            )
        except TransportError as error:
            if asks and error.sent:
                self._record_answer(entry, outcome, broken=True)
            return 0.02
        outcome.status = response.status
        outcome.value = json.loads(response.body) if response.body else None
        error = (outcome.value or {}).get("error") if response.status >= 400 else None
        outcome.code = error["code"] if error else ""
        outcome.ran = error["ran"] if error else ""
        if asks:
            self._record_answer(entry, outcome)
        if error and error["retryable"] and (repeatable or error["ran"] != "yes"):
            return error["retry_after_seconds"] or 0.1
        return None

    def _record_answer(self, entry, outcome, broken=False):
        answer = {
            "account": self.account,
            "request_id": outcome.request_id,
            "entry_id": entry.id,
            "broken": broken,
        }
        if not broken:
            answer["status"] = outcome.status
            answer["complete"] = True
            answer["body_request_id"] = self._named_id(outcome)
            if outcome.code:
                answer["code"] = outcome.code
                answer["ran"] = _ran_number(outcome.ran)
        self._fleet.record(caller_answer=answer)

    def _named_id(self, outcome):
        value = outcome.value or {}
        if "request_id" in value:
            return value["request_id"].rpartition("/")[2]
        if "job" in value:
            return value["job"]["request_id"]
        return outcome.request_id


def _ran_number(text):
    text = str(text).upper()
    return Ran.Value(text if text.startswith("RAN_") else f"RAN_{text}")
