"""
ibiscart_schema.check
~~~~~~~~~~~~~~~~~~~~~

Checks YAML and JSON documents against a message type and the ``bounds`` of its fields.

Enum values are written in short lower-case form: ``rack`` for ``SCOPE_RACK``.
"""

import math
import os
import re

import yaml
from google.protobuf.descriptor import FieldDescriptor

from ibiscart_schema.document import (
    CheckError,
    Node,
    Problem,
    read_json,
    read_plain,
    read_yaml,
    shorten,
)
from ibiscart_schema.generated.bounds_pb2 import bounds as bounds_option

__all__ = [
    "CheckError",
    "Problem",
    "bound_text",
    "check_json",
    "check_mapping",
    "check_yaml",
    "enum_names",
    "to_mapping",
]

PROBLEMS_KEPT = 100
SECRET_FIELDS = frozenset({"key"})

INTEGER_RANGES = {
    FieldDescriptor.CPPTYPE_INT32: (-(2**31), 2**31 - 1),
    FieldDescriptor.CPPTYPE_INT64: (-(2**63), 2**63 - 1),
    FieldDescriptor.CPPTYPE_UINT32: (0, 2**32 - 1),
    FieldDescriptor.CPPTYPE_UINT64: (0, 2**64 - 1),
}
FLOAT_TYPES = frozenset({FieldDescriptor.CPPTYPE_DOUBLE, FieldDescriptor.CPPTYPE_FLOAT})


def check_yaml(text, message_type):
    """Returns a ``message_type`` built from YAML text; raises ``CheckError``."""
    return _check_root(read_yaml(text), message_type)


def check_json(text, message_type, fixed=None):
    """Returns a ``message_type`` built from JSON text or bytes; raises ``CheckError``.

    ``fixed`` maps names of text fields to values known from elsewhere; a document may
    leave them out or repeat them.
    """
    return _check_root(read_json(text), message_type, fixed)


def check_mapping(mapping, message_type):
    """Returns a ``message_type`` built from nested dicts and lists; raises ``CheckError``."""
    return _check_root(read_plain(mapping), message_type)


def to_mapping(message):
    """Returns a message as nested dicts and lists, with enum values in short form.

    Fields without a value are present with their zero value, except absent messages.
    """
    mapping = {}
    for field in message.DESCRIPTOR.fields:
        value = getattr(message, field.name)
        if field.is_repeated and _is_map(field):
            mapping[field.name] = dict(value)
        elif field.is_repeated:
            mapping[field.name] = [_to_plain(field, item) for item in value]
        elif not field.has_presence or message.HasField(field.name):
            mapping[field.name] = _to_plain(field, value)
    return mapping


def _check_root(root, message_type, fixed=None):
    checker = _Checker()
    if fixed and root.kind == "mapping":
        checker.fix(root, fixed)
    message = message_type()
    checker.fill(message, root, "")
    if checker.problems:
        raise CheckError(checker.problems)
    return message


class _Checker:
    """Fills a message and collects the problems found on the way."""

    def __init__(self):
        self.problems = []

    def add(self, line, path, value, bound, advice):
        """Adds one problem; a long list ends with a remark."""
        if len(self.problems) < PROBLEMS_KEPT:
            if path.rsplit(".", 1)[-1] in SECRET_FIELDS and value:
                value = "(hidden)"
            self.problems.append(Problem(line, path, value, bound, advice))
        elif len(self.problems) == PROBLEMS_KEPT:
            advice = f"more than {PROBLEMS_KEPT} problems; mend these first"
            self.problems.append(Problem(0, "", "", "", advice))

    def fix(self, root, fixed):
        """Adds the fixed fields to the root, or checks that it repeats their values."""
        given = {name: value for name, _, value in root.value}
        for name, value in fixed.items():
            if name not in given:
                root.value.append((name, root.line, Node("scalar", value, root.line)))
            elif given[name].value != value:
                node = given[name]
                self.add(node.line, name, node.show(), value, "give this value or leave it out")

    def fill(self, message, node, path):
        """Fills ``message`` from a mapping node."""
        if node.kind != "mapping":
            self.add(node.line, path, node.show(), "a mapping", "write its fields as name: value")
            return
        fields = message.DESCRIPTOR.fields_by_name
        given = {}
        for name, line, value in node.value:
            if name not in fields:
                bound = shorten("one of " + ", ".join(fields))
                self.add(line, _join(path, name), "", bound, _unknown_advice(name, fields))
            elif name in given:
                self.add(line, _join(path, name), "", "given once", "remove one of the two")
            else:
                given[name] = (line, value)
        for name, field in fields.items():
            line, value = given.get(name, (node.line, None))
            self._fill_field(message, field, value, line, _join(path, name))

    def _fill_field(self, message, field, node, line, path):
        bounds = field.GetOptions().Extensions[bounds_option]
        if node is None or (node.kind == "scalar" and node.value is None):
            self._fill_absent(message, field, bounds, line, path)
        elif field.is_repeated:
            self._fill_list(message, field, bounds, node, path)
        elif field.message_type is not None:
            getattr(message, field.name).SetInParent()
            self.fill(getattr(message, field.name), node, path)
        else:
            value = self._scalar(field, bounds, node, path)
            if value is not None:
                setattr(message, field.name, value)

    def _fill_absent(self, message, field, bounds, line, path):
        if bounds.required:
            self.add(line, path, "", bound_text(field) or "a value", "missing; add it")
        elif bounds.default_value:
            node = read_plain(yaml.safe_load(bounds.default_value))
            self._fill_field(message, field, node, line, path)
        elif field.message_type is not None and not field.is_repeated:
            if _fillable(field.message_type):
                getattr(message, field.name).SetInParent()
                self.fill(getattr(message, field.name), Node("mapping", [], line), path)

    def _fill_list(self, message, field, bounds, node, path):
        if _is_map(field):
            self.add(node.line, path, "", "", "is set by the system; remove it")
            return
        if node.kind != "list":
            self.add(node.line, path, node.show(), "a list", "write it as a list")
            return
        if bounds.required and not node.value:
            self.add(node.line, path, "empty", "at least 1 item", "add an item")
        if bounds.max_items and len(node.value) > bounds.max_items:
            bound = f"at most {bounds.max_items} items"
            self.add(node.line, path, f"{len(node.value)} items", bound, "remove items")
            return
        items = getattr(message, field.name)
        for index, item in enumerate(node.value):
            item_path = f"{path}[{index}]"
            if field.message_type is not None:
                self.fill(items.add(), item, item_path)
            else:
                value = self._scalar(field, bounds, item, item_path)
                if value is not None:
                    items.append(value)

    def _scalar(self, field, bounds, node, path):
        """Returns the field's value, or None after adding a problem."""
        reader = self._reader(field)
        if reader is None:
            self.add(node.line, path, "", "", "is set by the system; remove it")
            return None
        return reader(field, bounds, node, path)

    def _reader(self, field):
        if field.cpp_type in INTEGER_RANGES:
            return self._integer
        if field.cpp_type in FLOAT_TYPES:
            return self._float
        if field.type == FieldDescriptor.TYPE_STRING:
            return self._string
        if field.type == FieldDescriptor.TYPE_BOOL:
            return self._bool
        if field.type == FieldDescriptor.TYPE_ENUM:
            return self._enum
        return None

    def _integer(self, field, bounds, node, path):
        value = node.value
        if node.kind != "scalar" or isinstance(value, bool) or not isinstance(value, int):
            self.add(node.line, path, node.show(), bound_text(field), "give a whole number")
            return None
        low, high = INTEGER_RANGES[field.cpp_type]
        low = max(low, bounds.min) if bounds.HasField("min") else low
        high = min(high, bounds.max) if bounds.HasField("max") else high
        return self._within(field, node, path, value, low, high)

    def _float(self, field, bounds, node, path):
        value = node.value
        if node.kind != "scalar" or isinstance(value, bool) or not isinstance(value, int | float):
            self.add(node.line, path, node.show(), bound_text(field), "give a number")
            return None
        try:
            value = float(value)
        except OverflowError:
            value = math.inf
        if not math.isfinite(value):
            self.add(node.line, path, node.show(), bound_text(field), "give a finite number")
            return None
        low = bounds.min if bounds.HasField("min") else -math.inf
        high = bounds.max if bounds.HasField("max") else math.inf
        return self._within(field, node, path, value, low, high)

    def _within(self, field, node, path, value, low, high):
        if value < low:
            self.add(node.line, path, node.show(), bound_text(field), "give a larger value")
            return None
        if value > high:
            self.add(node.line, path, node.show(), bound_text(field), "give a smaller value")
            return None
        return value

    def _string(self, field, bounds, node, path):
        value = node.value
        if node.kind != "scalar" or not isinstance(value, str):
            advice = "put the value in quotes" if node.kind == "scalar" else "give one text"
            self.add(node.line, path, node.show(), bound_text(field), advice)
            return None
        if not value and bounds.required:
            self.add(node.line, path, "empty", bound_text(field), "give a value")
            return None
        if bounds.max_length and len(value) > bounds.max_length:
            shown = f"{len(value)} characters"
            self.add(node.line, path, shown, bound_text(field), "shorten it")
            return None
        if bounds.pattern and not re.fullmatch(bounds.pattern, value):
            self.add(node.line, path, node.show(), bound_text(field), "give a value of this form")
            return None
        try:
            value.encode()
        except UnicodeEncodeError:
            self.add(node.line, path, node.show(), "Unicode text", "remove lone surrogates")
            return None
        return value

    def _bool(self, field, bounds, node, path):
        if node.kind == "scalar" and isinstance(node.value, bool):
            return node.value
        self.add(node.line, path, node.show(), "true or false", "give one of them")
        return None

    def _enum(self, field, bounds, node, path):
        names = enum_names(field.enum_type)
        value = node.value if node.kind == "scalar" else None
        if isinstance(value, str) and value in names:
            return names[value]
        self.add(node.line, path, node.show(), bound_text(field), "give one of these names")
        return None


def enum_names(enum_type):
    """Maps the short lower-case names of an enum's values to their numbers."""
    prefix = os.path.commonprefix([value.name for value in enum_type.values])
    length = prefix.rfind("_") + 1
    return {value.name[length:].lower(): value.number for value in enum_type.values}


def bound_text(field):
    """Returns the bounds of a field in words, for messages and documentation."""
    bounds = field.GetOptions().Extensions[bounds_option]
    if field.type == FieldDescriptor.TYPE_ENUM:
        return "one of " + ", ".join(enum_names(field.enum_type))
    if field.type == FieldDescriptor.TYPE_BOOL:
        return "true or false"
    parts = []
    if field.cpp_type in INTEGER_RANGES:
        low, high = INTEGER_RANGES[field.cpp_type]
        low = int(bounds.min) if bounds.HasField("min") else low
        high = int(bounds.max) if bounds.HasField("max") else high
        parts.append(f"{low} to {high}")
    elif bounds.HasField("min") and bounds.HasField("max"):
        parts.append(f"{bounds.min:.12g} to {bounds.max:.12g}")
    elif bounds.HasField("min"):
        parts.append(f"at least {bounds.min:.12g}")
    elif bounds.HasField("max"):
        parts.append(f"at most {bounds.max:.12g}")
    elif field.cpp_type in FLOAT_TYPES:
        parts.append("a number")
    if bounds.unit and parts:
        parts[-1] += f" {bounds.unit}"
    if bounds.pattern:
        parts.append(f"form {bounds.pattern}")
    if bounds.max_length:
        parts.append(f"at most {bounds.max_length} characters")
    if not parts and field.type == FieldDescriptor.TYPE_STRING:
        parts.append("text")
    if bounds.max_items:
        parts.append(f"at most {bounds.max_items} items")
    return ", ".join(parts)


def _fillable(message_type):
    return not any(
        field.GetOptions().Extensions[bounds_option].required for field in message_type.fields
    )


def _unknown_advice(name, fields):
    wanted = name.lower().replace("-", "_")
    if wanted in fields:
        return f"unknown field; did you mean {wanted}?"
    return "unknown field; remove it or correct its name"


def _to_plain(field, value):
    if field.message_type is not None:
        return to_mapping(value)
    if field.type == FieldDescriptor.TYPE_ENUM:
        numbers = {number: name for name, number in enum_names(field.enum_type).items()}
        return numbers.get(value, value)
    if isinstance(value, bytes):
        return value.hex()
    return value


def _is_map(field):
    return field.message_type is not None and field.message_type.GetOptions().map_entry


def _join(path, name):
    return f"{path}.{shorten(name)}" if path else shorten(name)
