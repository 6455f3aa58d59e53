"""Turns plain documents into the types of `schema` and back."""

import functools
import math
import re
from typing import Annotated
from typing import Any
from typing import TypeVar
from typing import get_args
from typing import get_origin

import cattrs
from cattrs import cols

from azureline.config import bounds
from azureline.config import problems

T = TypeVar("T")

_SIZE = re.compile(r"(\d+(?:\.\d+)?) ?(B|KiB|MiB|GiB|TiB)")
_UNITS = {"B": 1, "KiB": 2**10, "MiB": 2**20, "GiB": 2**30, "TiB": 2**40}


def typed(
    cls: type[T], document: Any, strict: bool = True
) -> T | problems.Invalid:
    """Returns a document as an instance of a schema class.

    Args:
      cls: a class of `schema`.
      document: its plain form, with all options present.
      strict: whether unknown keys are errors; nodes pass False, so that they
        accept a document that a newer version of the program wrote.

    Returns:
      The instance, or all problems, each with the path to its value.
    """
    try:
        return _converter(strict).structure(document, cls)
    except (
        cattrs.BaseValidationError,
        cattrs.StructureHandlerNotFoundError,
    ) as e:
        return problems.Invalid(tuple(_flatten(e, ())))


def plain(value: Any) -> Any:
    """Returns the plain form of an instance of a schema class."""
    return _converter(True).unstructure(value)


def parse_size(text: str) -> int:
    """Returns the number of bytes in a size such as "14 GiB".

    Raises:
      ValueError: if the text is not a size.
    """
    match = _SIZE.fullmatch(text)
    if match is None:
        raise ValueError('expected bytes, or a size such as "14 GiB"')
    return round(float(match[1]) * _UNITS[match[2]])


@functools.cache
def _converter(strict: bool) -> cattrs.Converter:
    converter = cattrs.Converter(forbid_extra_keys=strict)
    converter.register_structure_hook(int, _integer)
    converter.register_structure_hook(float, _number)
    converter.register_structure_hook(str, _string)
    converter.register_structure_hook(bool, _boolean)
    converter.register_structure_hook_factory(
        lambda t: get_origin(t) is list, _list_hook
    )
    converter.register_structure_hook_factory(
        lambda t: get_origin(t) is Annotated, _annotated_hook
    )
    converter.register_structure_hook_factory(
        cols.is_namedtuple,
        lambda cls, conv: _object_hook(cls, conv, strict),
    )
    converter.register_unstructure_hook_factory(
        cols.is_namedtuple,
        lambda cls, conv: cols.namedtuple_dict_unstructure_factory(cls, conv),
    )
    return converter


def _object_hook(cls: Any, converter: cattrs.Converter, strict: bool) -> Any:
    structure = cols.namedtuple_dict_structure_factory(
        cls, converter, "from_converter", strict
    )

    def hook(value: Any, _: Any) -> Any:
        if not isinstance(value, dict):
            raise TypeError("expected an object")
        return structure(value, cls)

    return hook


def _list_hook(cls: Any, converter: cattrs.Converter) -> Any:
    structure = cols.list_structure_factory(cls, converter)

    def hook(value: Any, _: Any) -> Any:
        if not isinstance(value, list):
            raise TypeError("expected a list")
        return structure(value, cls)

    return hook


def _annotated_hook(cls: Any, converter: cattrs.Converter) -> Any:
    base, *constraints = get_args(cls)

    def hook(value: Any, _: Any) -> Any:
        if bounds.Size() in constraints and isinstance(value, str):
            value = parse_size(value)
        value = converter.structure(value, base)
        for constraint in constraints:
            _check(constraint, value)
        return value

    return hook


def _check(constraint: Any, value: Any) -> None:
    match constraint:
        case bounds.Bounds(low, high, exclusive):
            if value < low or (exclusive and value == low):
                raise ValueError(
                    f"must be {'above' if exclusive else 'at least'} {low:g}"
                )
            if value > high:
                raise ValueError(f"must be at most {high:g}")
        case bounds.Pattern(regex, meaning):
            if re.fullmatch(regex, value) is None:
                raise ValueError(f"{value!r} is not {meaning}")


def _integer(value: Any, _: Any) -> int:
    if isinstance(value, bool) or not isinstance(value, int):
        raise TypeError(f"expected a whole number, not {value!r}")
    return value


def _number(value: Any, _: Any) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise TypeError(f"expected a number, not {value!r}")
    if not math.isfinite(value):
        raise ValueError("expected a finite number")
    return float(value)


def _string(value: Any, _: Any) -> str:
    if not isinstance(value, str):
        raise TypeError(f"expected a string, not {value!r}")
    return value


def _boolean(value: Any, _: Any) -> bool:
    if not isinstance(value, bool):
        raise TypeError(f"expected true or false, not {value!r}")
    return value


def _flatten(
    error: BaseException, path: problems.Path
) -> list[problems.Problem]:
    """Returns the problems in a tree of validation errors."""
    match error:
        case cattrs.ClassValidationError():
            noted, unlabelled = error.group_exceptions()
            nested = [(e, (*path, note.name)) for e, note in noted]
        case cattrs.IterableValidationError():
            noted, unlabelled = error.group_exceptions()
            nested = [(e, (*path, note.index)) for e, note in noted]
        case cattrs.ForbiddenExtraKeysError():
            return [
                problems.Problem(
                    "unknown option"
                    + problems.nearest_name_hint(key, error.cl._fields),
                    (*path, key),
                )
                for key in sorted(error.extra_fields)
            ]
        case KeyError():
            return [problems.Problem("this option is missing", path)]
        case _:
            return [problems.Problem(_message(error), path)]
    nested += [(e, path) for e in unlabelled]
    return [problem for e, where in nested for problem in _flatten(e, where)]


def _message(error: BaseException) -> str:
    text = str(error)
    if " not in literal " in text:
        value, _, options = text.partition(" not in literal typing.Literal")
        return f"{value!r} is not one of {options.strip('[]')}"
    return text
