"""Checked access to the fields of JSON objects; errors say in one line what is wrong."""

from __future__ import annotations

import math
from typing import Any, TypeVar

Json = dict[str, Any]
T = TypeVar("T")

NUMBER = (int, float)
TYPE_NAMES: dict[type | tuple[type, ...], str] = {
    str: "a string",
    bool: "true or false",
    int: "a whole number",
    NUMBER: "a number",
    dict: "an object",
    list: "an array",
}
# JSON integers may have any size in Python, but arithmetic between a huge one and a float raises
# OverflowError.
MAX_INTEGER = 2**128


class MalformedInputError(Exception):
    """Input does not have the expected form."""


def required_field(obj: Json, key: str, kind: type | tuple[type, ...]) -> Any:
    """Return the value of a required key.

    Args:
        obj: The object.
        key: The key.
        kind: The type of the value, one of those in `TYPE_NAMES`.

    Raises:
        MalformedInputError: The key is missing, or its value has another type, is not finite or is too large.
    """
    try:
        value = obj[key]
    except KeyError:
        raise MalformedInputError(f"{key!r} is missing") from None
    if not isinstance(value, kind) or (kind is not bool and isinstance(value, bool)):
        raise MalformedInputError(f"{key!r} must be {TYPE_NAMES[kind]}, not {value!r:.60}")
    if isinstance(value, float) and not math.isfinite(value):
        raise MalformedInputError(f"{key!r} must be a finite number, not {value!r}")
    if isinstance(value, int) and abs(value) > MAX_INTEGER:
        raise MalformedInputError(
            f"{key!r} is too large: must be at most 2**128 in absolute value, is {value!r:.60}"
        )
    return value


def optional_field(obj: Json, key: str, kind: type | tuple[type, ...], default: Any) -> Any:
    """Return the value of a key as `required_field` does, or the default if the key is missing or null.

    Raises:
        MalformedInputError: The value is not as `required_field` expects it.
    """
    return default if obj.get(key) is None else required_field(obj, key, kind)


def choice_field(obj: Json, key: str, choices: dict[Any, T], kind: type = str) -> T:
    """Return the Python value that the value of a key stands for.

    Args:
        obj: The object.
        key: The key.
        choices: The allowed values, each with the value that it stands for.
        kind: The type of the value, one of those in `TYPE_NAMES`.

    Raises:
        MalformedInputError: The key is missing, or its value is not allowed.
    """
    value = required_field(obj, key, kind)
    if value not in choices:
        raise MalformedInputError(f"{key!r} must be one of {', '.join(map(str, choices))}, not {value!r:.60}")
    return choices[value]


def object_list_field(obj: Json, key: str) -> list[Json]:
    """Return the value of a required key that holds an array of objects.

    Raises:
        MalformedInputError: The key is missing, or its value is not an array of objects.
    """
    values: list[Json] = required_field(obj, key, list)
    for index, value in enumerate(values):
        if not isinstance(value, dict):
            raise MalformedInputError(f"{key}[{index}] must be an object, not {value!r:.60}")
    return values
