"""Type-checked access to fields of JSON values from outside the process.

An entry, a report or a datagram may come from a faulty or different writer. A
field that is missing or has another type raises one kind of error, which names
the field. Without this check, the value would raise much later, in the thread
that first computes with it.
"""

from __future__ import annotations

import ipaddress
import math
from collections.abc import Iterator, Mapping
from typing import Any, Final

from egretspur import codec

_MISSING: Final = object()

# Up to here each whole number is a floating-point number of its own.
_MAX_EXACT: Final = 2.0**53

_PORTS: Final = range(1, 65536)


class FieldError(codec.DecodeError):
    """A field is missing, of another type or out of range."""

    def __init__(self, field: str, problem: str) -> None:
        super().__init__(f"{field}: {problem}")
        # Name of the field, under which the error is counted.
        self.field = field


class Table:
    """A JSON object with type-checked access to its fields.

    With a default, the `get` methods return it for a missing or null field;
    without one, both are errors. All of them raise `FieldError`.
    """

    def __init__(self, value: Any, name: str = "value") -> None:
        """Wraps an object; raises `FieldError` for any other value."""
        if not isinstance(value, Mapping):
            raise FieldError(name, f"not an object: {_shorten(value)}")
        self._values = value

    @property
    def values(self) -> Mapping[str, Any]:
        """The object as it was received."""
        return self._values

    def has(self, field: str) -> bool:
        """Tells whether a field is present, even if null."""
        return field in self._values

    def get(self, field: str, default: Any = _MISSING) -> Any:
        """Returns a field of any type."""
        value = self._values.get(field)
        if value is not None:
            return value
        if default is _MISSING:
            raise FieldError(field, "missing")
        return default

    def get_text(self, field: str, default: Any = _MISSING) -> str:
        """Returns a non-empty string, or the default."""
        value = self.get(field, default)
        if value is default:
            return str(value)
        return check_text(value, field)

    def get_count(self, field: str, default: Any = _MISSING) -> int:
        """Returns a whole number, at least 0."""
        return check_count(self.get(field, default), field)

    def get_number(self, field: str, default: Any = _MISSING) -> float:
        """Returns a finite number, at least 0."""
        return check_number(self.get(field, default), field)

    def get_positive(self, field: str, default: Any = _MISSING) -> float:
        """Returns a finite number over 0, by which may be divided."""
        value = self.get_number(field, default)
        _check_positive(value, field)
        return value

    def get_positive_count(self, field: str, default: Any = _MISSING) -> int:
        """Returns a whole number over 0."""
        value = self.get_count(field, default)
        _check_positive(value, field)
        return value

    def get_flag(self, field: str, default: bool = False) -> bool:
        """Returns true or false."""
        return check_flag(self.get(field, default), field)

    def get_list(self, field: str, default: Any = _MISSING) -> list[Any]:
        """Returns a list."""
        return check_list(self.get(field, default), field)

    def get_table(self, field: str) -> Table:
        """Returns an object."""
        return Table(self.get(field), field)

    def get_tables(self, field: str, default: Any = _MISSING) -> list[Table]:
        """Returns a list of objects."""
        return [Table(v, field) for v in self.get_list(field, default)]

    def get_address(self, field: str) -> str:
        """Returns an address written ``IP:PORT``."""
        return check_address(self.get(field), field)

    def items(self) -> Iterator[tuple[str, Any]]:
        """Returns the fields with their values."""
        return iter(self._values.items())


def check_text(value: Any, field: str) -> str:
    """Returns a non-empty string."""
    if not check_string(value, field):
        raise FieldError(field, "empty")
    return str(value)


def check_string(value: Any, field: str) -> str:
    """Returns a string, which may be empty."""
    if not isinstance(value, str):
        raise FieldError(field, f"not a string: {_shorten(value)}")
    return value


def check_flag(value: Any, field: str) -> bool:
    """Returns true or false."""
    if not isinstance(value, bool):
        raise FieldError(field, f"not a boolean: {_shorten(value)}")
    return value


def check_count(value: Any, field: str) -> int:
    """Returns a whole number, at least 0, also one written as ``2.0``."""
    if isinstance(value, float) and abs(value) <= _MAX_EXACT:
        value = int(value) if value.is_integer() else value
    if not isinstance(value, int) or isinstance(value, bool) or value < 0:
        raise FieldError(field, f"not a count: {_shorten(value)}")
    return value


def check_number(value: Any, field: str) -> float:
    """Returns a finite number, at least 0."""
    if not isinstance(value, int | float) or isinstance(value, bool):
        raise FieldError(field, f"not a number: {_shorten(value)}")
    if not math.isfinite(value) or value < 0:
        raise FieldError(field, f"out of range: {_shorten(value)}")
    return float(value)


def check_list(value: Any, field: str) -> list[Any]:
    """Returns a list."""
    if not isinstance(value, list):
        raise FieldError(field, f"not a list: {_shorten(value)}")
    return value


def check_row(value: Any, field: str, length: int) -> list[Any]:
    """Returns a list of exactly `length` values."""
    row = check_list(value, field)
    if len(row) != length:
        raise FieldError(field, f"{len(row)} values instead of {length}")
    return row


def check_address(value: Any, field: str) -> str:
    """Returns an address written ``IP:PORT``."""
    host, _, port = check_text(value, field).rpartition(":")
    try:
        ipaddress.IPv4Address(host)
        is_port = port.isascii() and port.isdigit() and int(port) in _PORTS
    except ValueError:
        is_port = False
    if not is_port:
        raise FieldError(field, f"not IP:PORT: {_shorten(value)}")
    return str(value)


def _check_positive(value: float, field: str) -> None:
    if value <= 0:
        raise FieldError(field, f"not over 0: {_shorten(value)}")


def _shorten(value: Any) -> str:
    """Returns a value, truncated for error messages and the log."""
    text = repr(value)
    return text if len(text) <= 60 else f"{text[:60]}…"
