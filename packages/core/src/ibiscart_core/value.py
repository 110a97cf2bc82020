"""
ibiscart_core.value
~~~~~~~~~~~~~~~~~~~

Checks of values from outside the process, made once, where they are decoded.

The functions return the value, in the form in which it is used, or raise ``InvalidValueError``.
"""

import ipaddress
import json
import re
from base64 import b64decode

__all__ = [
    "MAX_INT",
    "MAX_NAME_BYTES",
    "MAX_TEXT_BYTES",
    "InvalidValueError",
    "describe",
    "parse_json",
    "require_address",
    "require_base64",
    "require_bool",
    "require_choice",
    "require_int",
    "require_list",
    "require_number",
    "require_object",
    "require_text",
]

# largest integer up to which a double is exact, as are the numbers of other JSON implementations
MAX_INT = 2**53
# longest name that is part of the key of a row, as the store bounds it
MAX_NAME_BYTES = 200
# longest other name, label or secret; large enough for every real one
MAX_TEXT_BYTES = 4096
# no document that is decoded nests deeper; an unbounded depth exhausts the recursion limit
MAX_DEPTH = 32
# characters of an invalid value that its description repeats
MAX_SHOWN_CHARACTERS = 80
# digits beyond which an integer is described by its size; Python refuses to print very long ones
MAX_SHOWN_BITS = 256
MAX_HOST_LENGTH = 253
MAX_PORT = 65_535
# labels of at most 63 characters: other hosts cannot be encoded for a name lookup
HOST = re.compile(r"[0-9A-Za-z_-]{1,63}(\.[0-9A-Za-z_-]{1,63})*")
CONTAINERS = (dict, list)
PORT = re.compile(r"[0-9]{1,5}")


class InvalidValueError(ValueError):
    """A value from outside that is not accepted.

    ``field`` names it, ``value`` describes it in at most about 80 characters, ``bound`` describes
    the values that are accepted. ``shown`` replaces the description of the value.
    """

    def __init__(self, field, value, bound, *, shown=None):
        self.field = field
        self.value = describe(value) if shown is None else shown
        self.bound = bound
        super().__init__(f"{field} is {self.value}; it must be {bound}")


def describe(value):
    """Returns a short description of a value of any JSON type, in ASCII."""
    if value is None:
        return "null or missing"
    if isinstance(value, bool):
        return str(value).lower()
    if isinstance(value, int) and value.bit_length() > MAX_SHOWN_BITS:
        return f"an integer of {value.bit_length()} bits"
    if isinstance(value, list):
        return f"a list of {len(value)} items"
    if isinstance(value, dict):
        return f"an object of {len(value)} fields"
    if isinstance(value, str | bytes):
        value = value[: MAX_SHOWN_CHARACTERS + 1]
    text = ascii(value)
    return text if len(text) <= MAX_SHOWN_CHARACTERS else text[:MAX_SHOWN_CHARACTERS] + "..."


def parse_json(data, *, max_bytes=None, max_depth=MAX_DEPTH, max_values=None, name="document"):
    """Returns the value of a JSON document in bytes, its numbers and texts unchecked.

    ``max_bytes`` is None if the length of ``data`` is bounded elsewhere. ``max_values`` bounds the
    memory that the values take once they are parsed: many times their bytes if these are short.
    Commas and brackets in texts count as well.
    """
    if max_bytes is not None and len(data) > max_bytes:
        shown = f"{len(data)} bytes long"
        raise InvalidValueError(name, data, f"at most {max_bytes} bytes", shown=shown)
    if max_values is not None and sum(map(data.count, (b",", b"[", b"{"))) > max_values:
        raise InvalidValueError(name, data, f"at most {max_values} values")
    try:
        value = json.loads(data)
    except RecursionError:
        raise InvalidValueError(name, data, f"nested at most {max_depth} deep") from None
    except ValueError as error:
        raise InvalidValueError(name, data, f"JSON ({describe(str(error))})") from None
    level = [value] if type(value) in CONTAINERS else []
    for _ in range(max_depth):
        if not level:
            return value
        level = [
            item
            for container in level
            for item in (container.values() if type(container) is dict else container)
            if type(item) in CONTAINERS
        ]
    if not level:
        return value
    raise InvalidValueError(name, data, f"nested at most {max_depth} deep")


def require_object(value, name):
    """Returns a JSON object, a dict."""
    if not isinstance(value, dict):
        raise InvalidValueError(name, value, "an object")
    return value


def require_list(value, max_length, name):
    """Returns a JSON list of at most ``max_length`` items."""
    if not isinstance(value, list) or len(value) > max_length:
        raise InvalidValueError(name, value, f"a list of at most {max_length} items")
    return value


def require_bool(value, name):
    """Returns a bool."""
    if not isinstance(value, bool):
        raise InvalidValueError(name, value, "true or false")
    return value


def require_int(value, low, high, name):
    """Returns an int from ``low`` to ``high``; a float without a fraction is accepted."""
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    # a NaN is outside every range
    if not is_number or not low <= value <= high or value != int(value):
        raise InvalidValueError(name, value, f"an integer from {low} to {high}")
    return int(value)


def require_number(value, low, high, name):
    """Returns a finite int or float from ``low`` to ``high``."""
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    if not is_number or not low <= value <= high:
        raise InvalidValueError(name, value, f"a number from {low} to {high}")
    return value


def require_text(value, max_bytes, name):
    """Returns a str of at most ``max_bytes`` bytes in UTF-8, without surrogate characters."""
    if isinstance(value, str) and len(value) <= max_bytes:
        if value.isascii():
            return value
        try:
            if len(value.encode()) <= max_bytes:
                return value
        except UnicodeEncodeError:
            raise InvalidValueError(name, value, "text without surrogate characters") from None
    raise InvalidValueError(name, value, f"text of at most {max_bytes} bytes")


def require_choice(value, choices, name):
    """Returns a str that is one of ``choices``."""
    if not isinstance(value, str) or value not in choices:
        raise InvalidValueError(name, value, f"one of {', '.join(sorted(choices))}")
    return value


def require_base64(value, name):
    """Returns the bytes that a str holds in base64."""
    if isinstance(value, str):
        try:
            return b64decode(value, validate=True)
        except ValueError:
            pass
    raise InvalidValueError(name, value, "base64")


def require_address(value, name):
    """Returns an address ``host:port``, whose host may be an IPv6 address in brackets.

    The host can be encoded for a connection, and the port is from 1 to 65535.
    """
    bound = f"a host and a port from 1 to {MAX_PORT}, as HOST:PORT"
    if not isinstance(value, str) or len(value) > MAX_HOST_LENGTH + len(":65535"):
        raise InvalidValueError(name, value, bound)
    host, _, port = value.rpartition(":")
    if not PORT.fullmatch(port) or not 1 <= int(port) <= MAX_PORT or not _is_host(host):
        raise InvalidValueError(name, value, bound)
    return f"{host}:{int(port)}"


def _is_host(host):
    """Returns True if a connection can be opened to a host, as far as its spelling tells."""
    if not (host.startswith("[") and host.endswith("]")):
        return HOST.fullmatch(host) is not None
    try:
        ipaddress.IPv6Address(host[1:-1])
    except ValueError:
        return False
    return True
