"""
ibiscart_core.audits.config
~~~~~~~~~~~~~~~~~~~~~~~~~~~

Checks which contract versions entries used (P8).
"""

from ibiscart_core.audits.check import Check

__all__ = ["ConfigCheck"]

EFFECT_BOUND_US = 6 * 1_000_000


class ConfigCheck(Check):
    """P8."""

    def __init__(self):
        super().__init__()
        self._accepted = {}
        self._used = {}
        self._positions = {}

    def on_event(self, event):
        """Compares each use of a contract with earlier uses and with acceptance."""
        kind = event.WhichOneof("kind")
        if kind == "config_used":
            self._use(event)
        elif kind == "record_applied":
            self._apply(event)
        elif kind == "process_signal" and event.process_signal.signal in ("kill", "exit"):
            self._forget(event.process_signal.process_id)

    def on_record(self, record, event):
        """Notes accepted versions; the removal of a contract counts as version 0."""
        for item in record.events:
            kind = item.WhichOneof("kind")
            if kind == "contract_changed":
                contract = item.contract_changed.contract
                accepted = self._accepted.setdefault(contract.account, [])
                if any(contract.version <= version for version, _ in accepted):
                    self.report(
                        "P8",
                        event.time_us,
                        f"{contract.account}: version {contract.version} accepted after "
                        f"version {accepted[-1][0]}",
                        accepted[-1][1],
                        event,
                    )
                accepted.append((contract.version, event))
            elif kind == "contract_removed":
                # a removed contract may be in use until the bound, then not at all
                self._accepted.setdefault(item.contract_removed.account, []).append((0, event))

    def _use(self, event):
        use = event.config_used
        key = (use.entry_id, use.account)
        before = self._used.get(key)
        if before is not None and 0 < use.version < before.config_used.version:
            self.report(
                "P8",
                event.time_us,
                f"{use.entry_id} used version {use.version} of {use.account} after "
                f"version {before.config_used.version}",
                before,
                event,
            )
        self._used[key] = event
        due = [
            (version, accepted)
            for version, accepted in self._accepted.get(use.account, [])
            if event.time_us - accepted.time_us > EFFECT_BOUND_US
        ]
        if not due:
            return
        version, accepted = due[-1]
        later = [v for v, _ in self._accepted[use.account][len(due) :]]
        if use.version != version and use.version not in later:
            self.report(
                "P8",
                event.time_us,
                f"{use.entry_id} used version {use.version} of {use.account} "
                f"{(event.time_us - accepted.time_us) / 1e6:.3f} s after version {version} "
                "was accepted",
                accepted,
                event,
            )

    def _apply(self, event):
        applied = event.record_applied
        key = (applied.entry_id, applied.record.region)
        before = self._positions.get(key)
        if before is not None and applied.record.sequence <= before.record_applied.record.sequence:
            self.report(
                "P8",
                event.time_us,
                f"{applied.entry_id} applied record {applied.record.sequence} after "
                f"record {before.record_applied.record.sequence}",
                before,
                event,
            )
        self._positions[key] = event

    def _forget(self, entry_id):
        # a new process with the same id starts from the journal again
        self._used = {k: v for k, v in self._used.items() if k[0] != entry_id}
        self._positions = {k: v for k, v in self._positions.items() if k[0] != entry_id}
