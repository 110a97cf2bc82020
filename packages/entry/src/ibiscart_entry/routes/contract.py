"""
ibiscart_entry.routes.contract
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Contracts, and the status of the region.
"""

from ibiscart_entry.call import bad_field, check_contract, read_document, read_flag, read_int
from ibiscart_entry.route import Route, Routes
from ibiscart_entry.view import contract_explanation, contract_view, region_status, store_state
from ibiscart_schema.generated.types_pb2 import Contract

__all__ = ["ContractRoutes"]

HIGHEST_VERSION = 2**63 - 1
PATH = "/v1/contracts/{account}"


class ContractRoutes(Routes):
    """Paths of operators; an account's key may read its own contract."""

    ROUTES = (
        Route("GET", "/v1/contracts", "list", "operator"),
        Route("GET", PATH, "get", "account"),
        Route("PUT", PATH, "put", "operator", ("expected", "dry_run")),
        Route("DELETE", PATH, "delete", "operator", ("expected",)),
        Route("GET", PATH + "/explain", "explain", "account"),
        Route("GET", "/v1/status", "status", "operator"),
    )

    async def list(self, call):
        """Returns all contracts."""
        accounts = sorted(self._ledger.accounts.items())
        return self._reply(call, {"contracts": [contract_view(a.contract) for _, a in accounts]})

    async def get(self, call):
        """Returns one contract."""
        return self._reply(call, {"contract": contract_view(self._account(call).contract)})

    async def put(self, call):
        """Creates or changes a contract, or tells what the change would preempt."""
        self._require_durable()
        expected = _read_version(call.request.query)
        dry_run = read_flag(call.request.query, "dry_run", False)
        contract = read_document(call.request.body, Contract, {"account": call.account})
        check_contract(contract)
        change = {"contract": contract, "expected_version": expected, "dry_run": dry_run}
        reply = await self._command(call, put_contract=change)
        preempted = [f"{key.account}/{key.request_id}" for key in reply.preempted]
        value = {
            "contract": contract_view(reply.contract),
            "dry_run": dry_run,
            "preempted": preempted,
        }
        return self._reply(call, value)

    async def delete(self, call):
        """Removes the contract of an account without jobs."""
        self._require_durable()
        change = {"account": call.account, "expected_version": _read_version(call.request.query)}
        reply = await self._command(call, remove_contract=change)
        return self._reply(call, {"contract": contract_view(reply.contract), "deleted": True})

    async def explain(self, call):
        """Returns the reservations with their workers and the use of limits."""
        shares = self._services.dispatcher.shares
        entry_id = self._services.settings.entry_id
        explanation = contract_explanation(self._account(call), entry_id, shares)
        return self._reply(call, {"explanation": explanation})

    async def status(self, call):
        """Returns workers, guarantees, queues, entries and store on one screen."""
        age = self._journal.confirmed_age()
        value = {
            "region": self._services.settings.region,
            "entry": self._services.settings.entry_id,
            "entries": sorted(self._services.peers.live()),
            "preferred_writer": self._services.peers.preferred_writer(),
            "store": {"state": store_state(age), "confirmed_age_seconds": min(round(age, 3), 1e9)},
            # contracts of all records up to this one are in force on this entry
            "config_sequence": self._journal.sequence,
            "unready_cause": self._services.unready_cause(),
            **region_status(self._ledger),
        }
        return self._reply(call, value)


def _read_version(query):
    if "expected" not in query:
        advice = "give the version that the change is based on, 0 for a new contract"
        raise bad_field("expected", "", f"0 to {HIGHEST_VERSION}", advice)
    return read_int(query, "expected", 0, 0, HIGHEST_VERSION)
