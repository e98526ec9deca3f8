"""Conversion of typed messages to and from plain JSON values.

One converter for records, peer messages and platform replies. It rejects
unknown keys, so that a misspelled key in a file or message is reported instead
of ignored.
"""

from __future__ import annotations

import functools
import types
from collections.abc import Mapping
from typing import TYPE_CHECKING, Any, Final, TypeVar

import orjson

if TYPE_CHECKING:
    import cattrs

T = TypeVar("T")

# Key that names the class of an encoded record.
TYPE_KEY: Final = "type"


class DecodeError(ValueError):
    """A JSON value does not have the form of the expected message."""


# Recently decoded strings that messages share; few, since ids never recur.
STRING_CACHE_SIZE: Final = 1024


@functools.cache
def _get_converter() -> cattrs.Converter:
    # Imported on first use. A host converts no messages until its state is
    # dumped, so that its start, during which callers wait, takes 30 ms of CPU
    # time less.
    import cattrs

    found = cattrs.Converter(forbid_extra_keys=True, detailed_validation=False)
    found.register_structure_hook(str, _read_string)
    return found


def _read_string(value: Any, _: Any) -> str:
    if type(value) is not str:
        raise TypeError(f"expected a string, got {value!r}")
    # Names of models, hosts and operators recur in thousands of records; the
    # JSON parser makes a separate string for each.
    return _intern(value)


@functools.lru_cache(STRING_CACHE_SIZE)
def _intern(value: str) -> str:
    return value


def encode(message: Any) -> Any:
    """Returns plain dicts and lists for an attrs message."""
    return _get_converter().unstructure(message)


def decode(value: Any, cls: type[T]) -> T:
    """Returns a message of class `cls`.

    Raises:
        DecodeError: The value has another form.
    """
    try:
        return _get_converter().structure(value, cls)
    except Exception as exc:
        raise DecodeError(f"not a {cls.__name__}: {exc!r}") from exc


def dump(message: Any) -> bytes:
    """Returns a message as JSON bytes."""
    return orjson.dumps(encode(message))


def load(data: bytes, cls: type[T]) -> T:
    """Returns a message from JSON bytes.

    Raises:
        DecodeError: The bytes are not JSON of that form.
    """
    return decode(load_json(data), cls)


def load_json(data: bytes) -> Any:
    """Returns plain values from JSON bytes.

    Raises:
        DecodeError: The bytes are not JSON.
    """
    try:
        return orjson.loads(data)
    except orjson.JSONDecodeError as exc:
        raise DecodeError(f"not JSON: {exc}") from exc


def dump_json(value: Any) -> bytes:
    """Returns plain values as JSON bytes, keys sorted."""
    return orjson.dumps(value, option=orjson.OPT_SORT_KEYS)


class Union:
    """A closed set of record classes, encoded with their name.

    Example: ``{"type": "PlanConfirmed", "id": "…", "plan_id": "p1"}``.
    """

    def __init__(self, *classes: type) -> None:
        self._classes = types.MappingProxyType(
            {cls.__name__: cls for cls in classes}
        )

    def encode(self, record: Any) -> dict[str, Any]:
        """Returns the record as a dict with its class name."""
        data = _get_converter().unstructure(record)
        data[TYPE_KEY] = type(record).__name__
        return data  # type: ignore[no-any-return]

    def decode(self, data: Mapping[str, Any]) -> Any:
        """Returns the record of the named class.

        Raises:
            DecodeError: The class is unknown or the fields do not fit.
        """
        fields = dict(data)
        name = fields.pop(TYPE_KEY, None)
        cls = self._classes.get(name) if isinstance(name, str) else None
        if cls is None:
            raise DecodeError(f"unknown record type {name!r}")
        return decode(fields, cls)
