"""Validation of command-line arguments before a command is run.

fire runs a command with the flags that it recognizes and reports unknown ones only
afterwards, and it guesses the type of each value. This module rejects unknown flags
before the command runs and parses each value by the type annotation of its parameter.
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
FIRE_FLAGS_SEPARATOR = "--"  # What follows it are flags of fire itself.
VARIADIC_KINDS = (inspect.Parameter.VAR_POSITIONAL, inspect.Parameter.VAR_KEYWORD)


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
    """Make fire parse the arguments of a group's commands by their annotations."""
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
                f"--{name} is {text!r}; expected a value of type {kind.__name__}",
                step="arguments",
            ) from None

    return parse


def check_flags(commands: object, arguments: Iterable[str]) -> None:
    """Raise UsageError for a flag that the command does not have.

    Parameters
    ----------
    commands : object
        The tree of command groups and commands that is passed to fire.
    arguments : iterable of str
        Command-line arguments without the program's name.
    """
    node: Any = commands
    for argument in arguments:
        if argument == FIRE_FLAGS_SEPARATOR:
            return
        if argument.startswith("--") and callable(node):
            _check_flag(node, argument)
        elif not callable(node):
            node = getattr(node, argument.replace("-", "_"), node)


def _check_flag(command: Callable[..., Any], argument: str) -> None:
    name = argument.removeprefix("--").partition("=")[0].replace("-", "_")
    allowed = list(_flag_names(command))
    if name in allowed or name in HELP_FLAGS:
        return
    known_flags = ", ".join(f"--{flag}" for flag in _parameters(command))
    raise UsageError(
        f"unknown flag --{name}; valid flags: {known_flags or 'none'}", step="arguments"
    )


def _flag_names(command: Callable[..., Any]) -> Iterator[str]:
    for name, parameter in _parameters(command).items():
        yield name
        if parameter.annotation is bool:
            yield f"no{name}"


def _parameters(command: Callable[..., Any]) -> dict[str, inspect.Parameter]:
    parameters = inspect.signature(command, eval_str=True).parameters
    return {
        name: parameter
        for name, parameter in parameters.items()
        if name != "self" and parameter.kind not in VARIADIC_KINDS
    }
