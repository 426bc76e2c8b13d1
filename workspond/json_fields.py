"""Fields of JSON objects, checked one by one; what is wrong is told in one line."""

from __future__ import annotations

import math
from typing import Any, TypeVar

Json = dict[str, Any]


TYPE_NAMES: dict[type | tuple[type, ...], str] = {
    str: "a string",
    bool: "true or false",
    int: "a whole number",
    (int, float): "a number",
    dict: "an object",
    list: "an array",
}


T = TypeVar("T")


NUMBER = (int, float)


MAX_INTEGER = 2**128  # of whole numbers: one that no float can hold stops the first sum with it


class MalformedInputError(Exception):
    """Input that does not follow the wire."""


def get(obj: Json, key: str, kind: type | tuple[type, ...]) -> Any:
    try:
        value = obj[key]
    except KeyError:
        raise MalformedInputError(f"{key!r} is missing") from None
    if not isinstance(value, kind) or (kind is not bool and isinstance(value, bool)):
        raise MalformedInputError(f"{key!r} must be {TYPE_NAMES[kind]}, not {value!r:.60}")
    if isinstance(value, float) and not math.isfinite(value):
        raise MalformedInputError(f"{key!r} must be a finite number, not {value!r}")
    if isinstance(value, int) and abs(value) > MAX_INTEGER:
        raise MalformedInputError(f"{key!r} is too large: {value!r:.60}")
    return value


def optional(obj: Json, key: str, kind: type | tuple[type, ...], default: Any) -> Any:
    return default if obj.get(key) is None else get(obj, key, kind)


def choice(obj: Json, key: str, words: dict[Any, T], kind: type = str) -> T:
    value = get(obj, key, kind)
    if value not in words:
        raise MalformedInputError(f"{key!r} is {value!r:.60}, which is none of {', '.join(map(str, words))}")
    return words[value]


def objects(obj: Json, key: str) -> list[Json]:
    values: list[Json] = get(obj, key, list)
    for n, value in enumerate(values):
        if not isinstance(value, dict):
            raise MalformedInputError(f"{key}[{n}] must be an object, not {value!r:.60}")
    return values
