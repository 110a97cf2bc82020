"""
ibiscart_core.audits.config
~~~~~~~~~~~~~~~~~~~~~~~~~~~

Checks which contract versions entries used (P8).
"""

from ibiscart_core.audits.check import Check

__all__ = ["ConfigCheck"]

# longest time from the acceptance of a contract version until all entries use it
MAX_EFFECT_DELAY_US = 6 * 1_000_000


class ConfigCheck(Check):
    """Checks that entries apply records in order and use current contract versions (P8)."""

    def __init__(self):
        super().__init__()
        self._accepted = {}
        self._last_uses = {}
        self._last_records = {}

    def on_event(self, event):
        """Compares each use of a contract with earlier uses and with the accepted versions."""
        kind = event.WhichOneof("kind")
        if kind == "config_used":
            self._check_used_version(event)
        elif kind == "record_applied":
            self._check_record_order(event)
        elif kind == "process_signal" and event.process_signal.signal in ("kill", "exit"):
            self._reset_entry(event.process_signal.process_id)

    def on_record(self, record, event):
        """Records accepted versions; the removal of a contract counts as version 0."""
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
                # entries may use the removed contract for ``MAX_EFFECT_DELAY_US`` after its removal
                self._accepted.setdefault(item.contract_removed.account, []).append((0, event))

    def _check_used_version(self, event):
        """Reports an entry that uses an older version than before or than the one in force."""
        use = event.config_used
        key = (use.entry_id, use.account)
        before = self._last_uses.get(key)
        if before is not None and 0 < use.version < before.config_used.version:
            self.report(
                "P8",
                event.time_us,
                f"{use.entry_id} used version {use.version} of {use.account} after "
                f"version {before.config_used.version}",
                before,
                event,
            )
        self._last_uses[key] = event
        in_force = [
            (version, accepted)
            for version, accepted in self._accepted.get(use.account, [])
            if event.time_us - accepted.time_us > MAX_EFFECT_DELAY_US
        ]
        if not in_force:
            return
        version, accepted = in_force[-1]
        newer = [v for v, _ in self._accepted[use.account][len(in_force) :]]
        if use.version != version and use.version not in newer:
            self.report(
                "P8",
                event.time_us,
                f"{use.entry_id} used version {use.version} of {use.account} "
                f"{(event.time_us - accepted.time_us) / 1e6:.3f} s after version {version} "
                "was accepted",
                accepted,
                event,
            )

    def _check_record_order(self, event):
        """Reports an entry that applies a region's record again or after a later one."""
        applied = event.record_applied
        key = (applied.entry_id, applied.record.region)
        before = self._last_records.get(key)
        if before is not None and applied.record.sequence <= before.record_applied.record.sequence:
            self.report(
                "P8",
                event.time_us,
                f"{applied.entry_id} applied record {applied.record.sequence} after "
                f"record {before.record_applied.record.sequence}",
                before,
                event,
            )
        self._last_records[key] = event

    def _reset_entry(self, entry_id):
        """Forgets the last versions and records of a process that was killed or exited."""
        # a restarted process with the same id reads the journal again, so that it may apply
        # records and use versions that are older than its last ones
        self._last_uses = {k: v for k, v in self._last_uses.items() if k[0] != entry_id}
        self._last_records = {k: v for k, v in self._last_records.items() if k[0] != entry_id}
