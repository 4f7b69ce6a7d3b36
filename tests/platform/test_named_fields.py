"""Every field that the protocol names is read, or is ignored for a stated reason."""

import ast
import re
from functools import cache
from pathlib import Path

import pytest

from lagoontide.platform.fields import KNOWN_RESPONSE_FIELDS, RESERVED_FIELDS
from tests.platform import named_fields

SOURCES = Path(__file__).resolve().parents[2] / "src" / "lagoontide"
HEADER = re.compile(rb"[A-Z][A-Za-z]*(-[A-Z][A-Za-z]*)*")
# Modules with classes of keys; those of ``settings`` are not on the protocol's page.
CALL_MODULES = {"directory", "pieces", "configuration", "store", "settings"}
# What reads or writes the headers that concern one connection, and Host.
COMMON = ("http1", "forward", "gateway", "entry")
READERS = {"field_value", "field_values", "_list_members"}


@cache
def parse(path):
    return ast.parse(path.read_text())


def platform_files():
    """Return the modules that speak the platform's words, by name."""
    return {path.stem: path for path in (SOURCES / "platform").glob("*.py")}


def functions():
    """Return the functions and methods of these modules, by module and name."""
    return {
        (module, node.name): node
        for module, path in platform_files().items()
        for node in ast.walk(parse(path))
        if isinstance(node, ast.FunctionDef | ast.AsyncFunctionDef)
    }


def header_constants():
    """Return the headers that constants of these modules name, by the constant."""
    return {
        target.id: node.value.value.decode()
        for path in platform_files().values()
        for node in parse(path).body
        if isinstance(node, ast.Assign) and isinstance(node.value, ast.Constant)
        if isinstance(node.value.value, bytes)
        for target in node.targets
        if isinstance(target, ast.Name) and HEADER.fullmatch(node.value.value)
    }


def names_used(node):
    """Return the names and attributes that a piece of code loads."""
    return {
        item.id if isinstance(item, ast.Name) else item.attr
        for item in ast.walk(node)
        if isinstance(item, ast.Name | ast.Attribute)
        if isinstance(item.ctx, ast.Load)
    }


def literals_read(node):
    """Return the headers that code reads by a literal name, in lower case."""
    return {
        arg.value.decode().lower()
        for call in ast.walk(node)
        if isinstance(call, ast.Call) and isinstance(call.func, ast.Name)
        if call.func.id in READERS
        for arg in call.args
        if isinstance(arg, ast.Constant) and isinstance(arg.value, bytes)
    }


def headers_read(*roots):
    """Return the headers that functions read, and those that they call, in lower case.

    A constant in a set of names, or one that is only imported, is not read.
    """
    known, constants = functions(), header_constants()
    todo, done, found = list(roots), set(), set()
    while todo:
        key = todo.pop()
        if key in done:
            continue
        done.add(key)
        used = names_used(known[key])
        found |= literals_read(known[key])
        found |= {constants[name].lower() for name in used & constants.keys()}
        # Functions of the codec are also imported by the client of stage calls.
        todo += [other for other in known if other[1] in used and other[0] != "store"]
    return found


def common_headers_read():
    return {
        name
        for folder in COMMON
        for path in (SOURCES / folder).glob("*.py")
        for name in literals_read(parse(path))
    }


def all_headers_read():
    return headers_read(*functions()) | common_headers_read()


def lower(names):
    return {name.lower() for name in names}


def structs(module):
    """Return the fields of the msgspec classes of a module, by the class."""
    return {
        node.name: {
            item.target.id for item in node.body if isinstance(item, ast.AnnAssign)
        }
        for node in parse(platform_files()[module]).body
        if isinstance(node, ast.ClassDef)
        if any(ast.unparse(base) == "msgspec.Struct" for base in node.bases)
    }


def attributes_used(module):
    """Return the attributes that a module reads, and the keywords that it passes."""
    nodes = list(ast.walk(parse(platform_files()[module])))
    loads = {
        node.attr
        for node in nodes
        if isinstance(node, ast.Attribute) and isinstance(node.ctx, ast.Load)
    }
    return loads | {node.arg for node in nodes if isinstance(node, ast.keyword)}


def keys_written(module):
    """Return the keys of the dictionaries that a module writes into calls."""
    return {
        key.value
        for (place, _), function in functions().items()
        if place == module
        for node in ast.walk(function)
        if isinstance(node, ast.Dict)
        for key in node.keys
        if isinstance(key, ast.Constant) and isinstance(key.value, str)
    }


def unread_headers(names, *roots):
    read = headers_read(*roots) | common_headers_read()
    return lower(names) - read - lower(named_fields.IGNORED)


def read_keys(module, name):
    """Return the keys that a module reads or writes, of a class or without one."""
    if not name:
        return keys_written(module)
    return structs(module).get(name, set()) & attributes_used(module)


def qualified(module, name, keys):
    return {f"{name or module}.{key}" for key in keys}


CALL_CLASSES = [
    (mod, name) for mod, kinds in named_fields.CALLS.items() for name in kinds
]


# Guards against fields that nothing reads, as Server-Leaving and Retry-After once were.
@pytest.mark.parametrize(
    ("names", "roots"),
    [
        (named_fields.CALLER_REQUESTS, [("fields", "decode_request")]),
        (named_fields.SET_BY_ENTRIES, [("fields", "encode_request")]),
        (named_fields.ANSWERS, [("fields", "decode_response")]),
        (named_fields.STAGE_ANSWERS, [("pieces", "_call"), ("pieces", "make")]),
        (named_fields.STORE_ANSWERS, [("store", "_observe_era")]),
    ],
)
def test_each_header_is_read_or_ignored(names, roots):
    assert unread_headers(names, *roots) == set()


# Guards against a check that takes any name for read.
def test_a_new_header_or_key_is_unread():
    new = "X-Lagoontide-New"
    assert unread_headers([new], *functions()) == {new.lower()}
    for module, name in CALL_CLASSES:
        assert "new" not in read_keys(module, name)


def test_signals_of_targets_are_read_in_answers_to_requests_and_to_stage_calls():
    signals = lower(["Server-Limit", "Server-Leaving", "Retry-After"])
    assert signals <= headers_read(("fields", "decode_response"))
    assert signals <= headers_read(("pieces", "_call"))


# Guards against a list that falls behind the code.
def test_each_header_that_is_read_is_listed():
    listed = lower(
        named_fields.CALLER_REQUESTS
        + named_fields.SET_BY_ENTRIES
        + named_fields.ANSWERS
        + named_fields.STAGE_ANSWERS
        + named_fields.STORE_ANSWERS
        + named_fields.OTHER
    )
    assert lower(header_constants().values()) - listed == set()
    assert all_headers_read() - listed == set()


@pytest.mark.parametrize(("module", "name"), CALL_CLASSES)
def test_each_key_is_read_or_ignored(module, name):
    keys = set(named_fields.CALLS[module][name])
    unread = qualified(module, name, keys - read_keys(module, name))
    assert unread - named_fields.IGNORED.keys() == set()


@pytest.mark.parametrize(("module", "name"), CALL_CLASSES)
def test_each_key_that_is_read_is_listed(module, name):
    declared = structs(module)[name] if name else keys_written(module)
    unlisted = declared - set(named_fields.CALLS[module][name])
    assert qualified(module, name, unlisted) - set(named_fields.OTHER) == set()


# Guards against a class or a module of its own that the checks above pass over.
def test_each_class_of_the_platform_is_listed():
    assert {name for name in platform_files() if structs(name)} == CALL_MODULES
    for module, kinds in named_fields.CALLS.items():
        assert structs(module).keys() == kinds.keys() - {""}


# Guards against a constant, or a key of a class, that is declared and not used.
def test_what_is_declared_is_read():
    assert lower(header_constants().values()) - all_headers_read() == set()
    for module in CALL_MODULES:
        for name, declared in structs(module).items():
            assert qualified(module, name, declared - attributes_used(module)) == set()


def test_nothing_that_is_ignored_is_read_or_unknown():
    read = {
        key
        for module, name in CALL_CLASSES
        for key in qualified(module, name, read_keys(module, name))
    }
    keys = {
        key
        for module, kinds in named_fields.CALLS.items()
        for name, listed in kinds.items()
        for key in qualified(module, name, listed)
    }
    headers = (
        named_fields.CALLER_REQUESTS
        + named_fields.SET_BY_ENTRIES
        + named_fields.ANSWERS
        + named_fields.STAGE_ANSWERS
        + named_fields.STORE_ANSWERS
    )
    assert named_fields.IGNORED.keys() <= keys | set(headers)
    assert not lower(named_fields.IGNORED) & (lower(read) | all_headers_read())
    assert all(named_fields.IGNORED.values())


# Guards against a caller's own field that a target takes for the system's (UNASKED).
def test_callers_do_not_set_the_fields_of_entries():
    removed = {name.decode() for name in RESERVED_FIELDS}
    assert lower(named_fields.SET_BY_ENTRIES) <= removed


# Guards against a log that takes a field for read which is neither read nor passed on.
def test_known_fields_of_answers_are_no_ignored_ones_but_content_type():
    known = {name.decode() for name in KNOWN_RESPONSE_FIELDS}
    assert known & lower(named_fields.IGNORED) == {"content-type"}
