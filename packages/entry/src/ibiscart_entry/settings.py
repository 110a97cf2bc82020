"""
ibiscart_entry.settings
~~~~~~~~~~~~~~~~~~~~~~~

Checked settings of one entry process.
"""

from pathlib import Path

from ibiscart_schema.check import CheckError, Problem, check_yaml
from ibiscart_schema.generated.settings_pb2 import EntrySettings

__all__ = ["Settings", "SettingsError"]

# shorter keys could be found by trial against their hash
PEER_KEY_LENGTH = 16
HIGHEST_PORT = 65535


class SettingsError(ValueError):
    """Settings that cannot be used; the text has one line per problem with file and line."""

    def __init__(self, path, problems):
        super().__init__("\n".join(f"{path}: {problem}" for problem in problems))
        self.path = path
        self.problems = tuple(problems)


class Settings:
    """Settings as sections of the ``EntrySettings`` message, and the peers' key."""

    __slots__ = ("message", "peer_key")

    def __init__(self, message, peer_key):
        self.message = message
        self.peer_key = peer_key

    def __getattr__(self, name):
        try:
            return getattr(self.message, name)
        except AttributeError:
            raise AttributeError(f"no setting is named {name!r}") from None

    @classmethod
    def from_config(cls, path):
        """Reads a YAML file; raises ``SettingsError`` with every problem at once."""
        path = Path(path)
        try:
            text = path.read_text(encoding="utf-8")
        except (OSError, UnicodeDecodeError) as error:
            advice = f"cannot be read: {_cause(error)}"
            raise SettingsError(path, [Problem(0, "", "", "a UTF-8 file", advice)]) from None
        try:
            message = check_yaml(text, EntrySettings)
        except CheckError as error:
            raise SettingsError(path, error.problems) from None
        checks = (_check_ports, _check_times, _check_drain)
        problems = [problem for check in checks for problem in check(message)]
        key = _read_key(message.peer, path.parent, problems)
        if problems:
            raise SettingsError(path, [_with_line(text, problem) for problem in problems])
        return cls(message, key)


def _check_ports(message):
    for section in ("server", "peer"):
        address = getattr(message, section).address
        port = int(address.rsplit(":", 1)[1])
        if port > HIGHEST_PORT:
            bound = f"port 0 to {HIGHEST_PORT}"
            yield Problem(0, f"{section}.address", address, bound, "give another port")


def _check_times(message):
    scheduler, peer = message.scheduler, message.peer
    # a lease must survive one lost renewal
    if scheduler.renew_seconds * 2 > scheduler.lease_seconds:
        yield Problem(
            0,
            "scheduler.renew_seconds",
            f"{scheduler.renew_seconds:g}",
            f"at most half of lease_seconds, {scheduler.lease_seconds / 2:g} s",
            "lower it or raise lease_seconds",
        )
    if peer.heartbeat_seconds >= peer.silence_seconds:
        yield Problem(
            0,
            "peer.heartbeat_seconds",
            f"{peer.heartbeat_seconds:g}",
            f"less than silence_seconds, {peer.silence_seconds:g} s",
            "lower it or raise silence_seconds",
        )


def _check_drain(message):
    drain = message.drain
    # a deadline within the balancer's lag would cut requests at every shutdown
    if drain.deadline_seconds < drain.balancer_lag_seconds + 1:
        yield Problem(
            0,
            "drain.deadline_seconds",
            f"{drain.deadline_seconds:g}",
            f"at least balancer_lag_seconds and 1 s more, {drain.balancer_lag_seconds + 1:g} s",
            "raise it or lower balancer_lag_seconds",
        )


def _read_key(peer, directory, problems):
    if bool(peer.key) == bool(peer.key_file):
        found = "both given" if peer.key else "neither given"
        bound = "one of key and key_file"
        problems.append(Problem(0, "peer.key_file", found, bound, "give exactly one of them"))
        return ""
    key, field = peer.key, "peer.key"
    if peer.key_file:
        field = "peer.key_file"
        try:
            key = (directory / peer.key_file).read_text(encoding="utf-8").strip()
        except (OSError, ValueError) as error:
            advice = f"cannot be read: {_cause(error)}"
            problems.append(Problem(0, field, peer.key_file, "a readable file", advice))
            return ""
    if len(key) < PEER_KEY_LENGTH or not key.isascii() or not key.isprintable():
        bound = f"at least {PEER_KEY_LENGTH} printable ASCII characters"
        advice = "make one with 'ibiscart contract hash-key'"
        problems.append(Problem(0, field, f"{len(key)} characters", bound, advice))
    return key


def _cause(error):
    return getattr(error, "strerror", None) or str(error)


def _with_line(text, problem):
    """Adds the line of the field's name within its section."""
    section, name = problem.field.split(".")
    inside = False
    for number, line in enumerate(text.splitlines(), 1):
        if line[:1] not in ("", " ", "#"):
            inside = line.startswith(section + ":")
            if inside:
                problem.line = number
        if inside and line.strip().startswith(name + ":"):
            problem.line = number
            return problem
    return problem
