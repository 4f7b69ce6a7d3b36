"""Checks of command-line arguments that come before a command is run.

fire calls a command with the flags that it knows and complains of the others
only afterwards, and it guesses the type of each value; both are mended here.
"""

import inspect
from collections.abc import Callable, Iterable, Iterator
from typing import Any

from fire import decorators

from lagoontide.errors import UsageError

__all__ = ["check_flags", "set_parsers"]

HELP_FLAGS = frozenset({"help", "h"})
TRUE_WORDS = frozenset({"true", "1", "yes"})
FALSE_WORDS = frozenset({"false", "0", "no"})
END_OF_COMMAND = "--"
VARIABLE_KINDS = (inspect.Parameter.VAR_POSITIONAL, inspect.Parameter.VAR_KEYWORD)


def _parse_bool(text: str) -> bool:
    word = text.lower()
    if word in TRUE_WORDS | FALSE_WORDS:
        return word in TRUE_WORDS
    raise ValueError(text)


PARSERS: dict[type, Callable[[str], Any]] = {
    bool: _parse_bool,
    float: float,
    int: int,
    str: str,
}


def set_parsers(group: type) -> None:
    """Have fire read the values of a group's commands by their annotations."""
    for _, command in inspect.getmembers(group, inspect.isfunction):
        parsers = {
            name: _make_parser(name, parameter.annotation)
            for name, parameter in _parameters(command).items()
            if parameter.annotation in PARSERS
        }
        decorators.SetParseFns(**parsers)(command)


def _make_parser(name: str, kind: type) -> Callable[[str], Any]:
    def parse(text: str) -> Any:
        try:
            return PARSERS[kind](text)
        except ValueError:
            raise UsageError(
                f"--{name} is {text!r}; it has to be of type {kind.__name__}",
                step="arguments",
            ) from None

    return parse


def check_flags(commands: object, arguments: Iterable[str]) -> None:
    """Raise UsageError for a flag that the command does not have.

    Parameters
    ----------
    commands : object
        The tree of groups and commands that fire is given.
    arguments : iterable of str
        What stands behind the program's name.
    """
    here: Any = commands
    for argument in arguments:
        if argument == END_OF_COMMAND:
            return
        if argument.startswith("--") and callable(here):
            _check_flag(here, argument)
        elif not callable(here):
            here = getattr(here, argument.replace("-", "_"), here)


def _check_flag(command: Callable[..., Any], argument: str) -> None:
    name = argument.removeprefix("--").partition("=")[0].replace("-", "_")
    allowed = list(_flag_names(command))
    if name in allowed or name in HELP_FLAGS:
        return
    shown = ", ".join(f"--{flag}" for flag in _parameters(command))
    raise UsageError(
        f"unknown flag --{name}; there are {shown or 'none'}", step="arguments"
    )


def _flag_names(command: Callable[..., Any]) -> Iterator[str]:
    for name, parameter in _parameters(command).items():
        yield name
        if parameter.annotation is bool:
            yield f"no{name}"


def _parameters(command: Callable[..., Any]) -> dict[str, inspect.Parameter]:
    parameters = inspect.signature(command, eval_str=True).parameters
    return {
        name: item
        for name, item in parameters.items()
        if name != "self" and item.kind not in VARIABLE_KINDS
    }
