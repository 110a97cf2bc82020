"""
ibiscart_schema.document
~~~~~~~~~~~~~~~~~~~~~~~~

Reads YAML and JSON text into nodes that know their lines.
"""

import json
import math

import yaml

__all__ = ["CheckError", "Node", "Problem", "read_json", "read_plain", "read_yaml", "shorten"]

SHOWN_CHARACTERS = 80
# deeper documents than any message type needs exhaust the parsers' recursion
DEPTH_ALLOWED = 50
# YAML aliases can make a short text stand for billions of nodes
NODES_ALLOWED = 200_000


class Problem:
    """One failed check.

    ``line`` counts from 1 and is 0 when unknown. ``advice`` says what to do.
    """

    __slots__ = ("advice", "bound", "field", "line", "value")

    def __init__(self, line, field, value, bound, advice):
        self.line = line
        self.field = field
        self.value = value
        self.bound = bound
        self.advice = advice

    def __str__(self):
        place = f"line {self.line}: " if self.line else ""
        value = f" is {self.value}" if self.value else ""
        bound = f" (allowed: {self.bound})" if self.bound else ""
        return f"{place}{self.field or 'document'}{value}{bound}: {self.advice}"


class CheckError(ValueError):
    """A document with at least one problem; ``problems`` holds all of them in order."""

    def __init__(self, problems):
        self.problems = tuple(sorted(problems, key=lambda problem: problem.line or math.inf))
        super().__init__("\n".join(map(str, self.problems)))


class Node:
    """A parsed value with its line; mappings are lists of (name, line, node) in ``value``."""

    __slots__ = ("kind", "line", "value")

    def __init__(self, kind, value, line):
        self.kind = kind
        self.value = value
        self.line = line

    def show(self):
        """Returns the value for an error message."""
        if self.kind == "mapping":
            return "a mapping"
        if self.kind == "list":
            return f"a list of {len(self.value)}"
        return _show(self.value)


def read_yaml(text):
    """Returns the root ``Node`` of YAML text; raises ``CheckError``."""
    try:
        node = yaml.compose(text, Loader=yaml.SafeLoader)
        return Node("mapping", [], 1) if node is None else _YamlReader().read(node, 0)
    except yaml.MarkedYAMLError as error:
        line = error.problem_mark.line + 1 if error.problem_mark else 0
        reason = " ".join(filter(None, (error.context, error.problem)))
        raise CheckError([Problem(line, "", "", "YAML", f"{reason}; mend the syntax")]) from None
    except yaml.YAMLError as error:
        reason = str(error).splitlines()[0]
        raise CheckError([Problem(0, "", "", "YAML", f"{reason}; mend the syntax")]) from None
    except RecursionError:
        raise _too_deep(0) from None


def read_json(text):
    """Returns the root ``Node`` of JSON text or bytes; raises ``CheckError``."""
    try:
        if isinstance(text, bytes):
            text = text.decode()
        value = json.loads(text, object_pairs_hook=_Pairs)
    except json.JSONDecodeError as error:
        advice = f"{error.msg} at column {error.colno}; mend the syntax"
        raise CheckError([Problem(error.lineno, "", "", "JSON", advice)]) from None
    except UnicodeDecodeError:
        raise CheckError([Problem(0, "", "", "JSON", "send the document as UTF-8")]) from None
    except ValueError:
        # the interpreter refuses integers of more than 4300 digits
        raise CheckError([Problem(0, "", "", "JSON", "a number has too many digits")]) from None
    except RecursionError:
        raise _too_deep(0) from None
    return read_plain(value)


def read_plain(value, depth=0):
    """Returns the ``Node`` of nested dicts, lists and scalars; raises ``CheckError``."""
    if depth > DEPTH_ALLOWED:
        raise _too_deep(0)
    if isinstance(value, dict):
        value = _Pairs(value.items())
    if isinstance(value, _Pairs):
        items = [(str(name), 0, read_plain(item, depth + 1)) for name, item in value]
        return Node("mapping", items, 0)
    if isinstance(value, list | tuple):
        return Node("list", [read_plain(item, depth + 1) for item in value], 0)
    return Node("scalar", value, 0)


def shorten(text):
    """Returns text cut to the length that messages show."""
    return text if len(text) <= SHOWN_CHARACTERS else text[: SHOWN_CHARACTERS - 3] + "..."


class _Pairs(list):
    """Members of a JSON object in order, so that repeated names are seen."""


class _YamlReader:
    """Turns composed YAML nodes into ``Node`` objects."""

    def __init__(self):
        self._constructor = yaml.SafeLoader("")
        self._nodes = 0

    def read(self, node, depth):
        line = node.start_mark.line + 1
        self._nodes += 1
        if depth > DEPTH_ALLOWED:
            raise _too_deep(line)
        if self._nodes > NODES_ALLOWED:
            bound = f"{NODES_ALLOWED} values"
            raise CheckError([Problem(line, "", "", bound, "too many values; remove aliases")])
        if isinstance(node, yaml.MappingNode):
            items = [
                (_key_text(key), key.start_mark.line + 1, self.read(value, depth + 1))
                for key, value in node.value
            ]
            return Node("mapping", items, line)
        if isinstance(node, yaml.SequenceNode):
            return Node("list", [self.read(item, depth + 1) for item in node.value], line)
        return Node("scalar", self._scalar(node, line), line)

    def _scalar(self, node, line):
        try:
            return self._constructor.construct_object(node)
        except (ValueError, AttributeError, TypeError, KeyError, yaml.YAMLError):
            # the constructors of PyYAML fail in these ways on text that does not fit its tag
            value = shorten(repr(node.value))
            advice = "the value does not fit its type; put it in quotes"
            raise CheckError([Problem(line, "", value, "YAML", advice)]) from None


def _key_text(key):
    return key.value if isinstance(key, yaml.ScalarNode) else "?"


def _show(value):
    try:
        return shorten(json.dumps(value))
    except (TypeError, ValueError):
        return shorten(str(value)) if not isinstance(value, int) else "a very long number"


def _too_deep(line):
    bound = f"{DEPTH_ALLOWED} levels"
    return CheckError([Problem(line, "", "", bound, "nested too deeply; flatten it")])
