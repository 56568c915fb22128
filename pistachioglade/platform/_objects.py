"""Calls to the store and decoders of its answers: objects, lists and watches."""

from __future__ import annotations

import json
from typing import Any, Final, TypeGuard, cast
from urllib.parse import quote

import attrs

from ..errors import ErrorKind, Refusal, refuse
from ..http1 import Response
from ._account_keys import digest_keys

_ROOT: Final = "/v1/objects"
#: Longest object name that is accepted, in characters. The service's own names have
#: fewer than 80, and the store would refuse a path of a megabyte.
_MAX_NAME_CHARS: Final = 512
#: Most digits of an integer that is decoded as an integer: about the range of a float.
#: Values carry nonces of 64 bits and more; Python refuses to parse more than 4,300
#: digits.
_MAX_DIGITS: Final = 300


@attrs.frozen
class Entry:
    """An object of the store."""

    # Name, unique in its kind.
    name: str
    # Revision of the store at the last change of the object.
    revision: int
    # The specification, as JSON data.
    value: Any
    # Status that the process which acts on the object reports; None if it has none.
    status: Any


@attrs.frozen
class EntryPage:
    """One page of the list of a kind."""

    # Objects in the order of their names.
    entries: tuple[Entry, ...]
    # Whether there are more objects after the last name.
    has_more: bool
    # Revision of the store that the page shows.
    revision: int
    # Number of objects of the page without a readable name.
    nameless: int = 0


@attrs.frozen
class EntryChange:
    """A change in the answer of a watch."""

    # The object after the change, or before its removal.
    entry: Entry
    # Whether the object was removed.
    is_removed: bool


@attrs.frozen
class EntryChanges:
    """The answer of a watch."""

    # Changes in the order of their revisions.
    changes: tuple[EntryChange, ...]
    # Revision after which to continue the watch.
    revision: int
    # Number of changes of objects without a readable name.
    nameless: int = 0


@attrs.frozen
class StoreCall:
    """One HTTP call to the store."""

    # HTTP method.
    method: str
    # Path and query.
    target: str
    # Body; empty for reads.
    body: bytes = b""
    # Whether the store holds the answer until there is a change.
    is_watch: bool = False


def _path(kind: str, name: str) -> str:
    return f"{_ROOT}/{quote(kind)}/{quote(name, safe='')}"


def read_call(kind: str, name: str, may_be_stale: bool = False) -> StoreCall:
    """Read one object; a read that may be some seconds stale costs a tenth."""
    return StoreCall("GET", _path(kind, name) + ("?allow-stale=1" * may_be_stale))


def list_call(kind: str, after: str, may_be_stale: bool = False) -> StoreCall:
    """Read the objects whose names follow ``after``.

    A list that may be some seconds stale costs a tenth.
    """
    after_part = (f"after={quote(after, safe='')}",) if after else ()
    query = "&".join((*after_part, *(("allow-stale=1",) if may_be_stale else ())))
    return StoreCall("GET", f"{_ROOT}/{quote(kind)}{'?' if query else ''}{query}")


def watch_call(
    kind: str, revision: int, wait_s: float, may_be_stale: bool = False
) -> StoreCall:
    """Wait for changes after a revision; a watch that may be stale costs a tenth."""
    query = f"watch={revision}&wait-timeout-ms={int(wait_s * 1000)}"
    query += "&allow-stale=1" * may_be_stale
    return StoreCall("GET", f"{_ROOT}/{quote(kind)}?{query}", is_watch=True)


def create_call(kind: str, name: str, value: Any) -> StoreCall:
    """Create an object; the store refuses if an object has that name."""
    body = {"metadata": {"name": name}, "specification": value}
    return StoreCall("POST", f"{_ROOT}/{quote(kind)}", json.dumps(body).encode())


def replace_call(kind: str, name: str, value: Any, revision: int | None) -> StoreCall:
    """Replace an object; if a revision is given, only at that revision."""
    metadata = {"name": name} | ({} if revision is None else {"revision": revision})
    body = {"metadata": metadata, "specification": value}
    return StoreCall("PUT", _path(kind, name), json.dumps(body).encode())


def status_call(kind: str, name: str, status: Any) -> StoreCall:
    """Replace the status of an object."""
    body = {"metadata": {"name": name}, "status": status}
    return StoreCall("PUT", f"{_path(kind, name)}/status", json.dumps(body).encode())


def delete_call(kind: str, name: str, revision: int | None) -> StoreCall:
    """Remove an object; if a revision is given, only at that revision."""
    query = f"?revision={revision}" if revision is not None else ""
    return StoreCall("DELETE", _path(kind, name) + query)


def decode_entry(fields: Any, revision: int = 0) -> Entry | Refusal:
    """Return an object that any writer may have made; its value is not checked.

    ``revision`` is the revision of the answer, used for an object without its own.
    """
    metadata = fields.get("metadata") if isinstance(fields, dict) else None
    name = metadata.get("name") if isinstance(metadata, dict) else None
    if not isinstance(metadata, dict) or not isinstance(name, str) or not name:
        return refuse(ErrorKind.UNREADABLE, "an object without a name")
    if len(name) > _MAX_NAME_CHARS or not _is_text(name):
        reason = f"a name of {len(name)} characters: {name[:40]!a}"
        return refuse(ErrorKind.UNREADABLE, reason)
    own = metadata.get("revision")
    return Entry(
        name,
        own if is_integer(own) else revision,
        digest_keys(fields.get("specification")),
        fields.get("status"),
    )


def _is_text(value: str) -> bool:
    """Whether a string can be encoded: JSON can contain lone surrogates."""
    try:
        value.encode()
    except UnicodeEncodeError:
        return False
    return True


def is_integer(value: Any) -> TypeGuard[int]:
    """Whether a JSON value is an integer."""
    return isinstance(value, int) and not isinstance(value, bool)


def decode_json(body: bytes) -> Any | Refusal:
    """Return the JSON value of a body, or a refusal if the body is not JSON.

    Bytes that are not UTF-8 affect only the string that contains them. Integers of more
    than ``_MAX_DIGITS`` digits become infinite.
    """
    try:
        text = body.decode("utf-8", "replace")
        return json.loads(text, parse_int=_bounded_int)
    except (ValueError, RecursionError) as error:
        reason = f"no JSON: {type(error).__name__} {error!s:.80}"
        return refuse(ErrorKind.UNREADABLE, reason)


def _bounded_int(text: str) -> int | float:
    return int(text) if len(text) <= _MAX_DIGITS else float("inf")


def _decode_answer(body: bytes, items: str) -> dict[str, Any] | Refusal:
    """Return the fields of the answer to a list or watch, if they are valid."""
    fields = decode_json(body)
    if isinstance(fields, Refusal):
        return fields
    is_answer = isinstance(fields, dict) and is_integer(fields.get("at"))
    if not is_answer or not isinstance(fields.get(items), list):
        return refuse(ErrorKind.UNREADABLE, f"an answer without {items} or revision")
    return cast(dict[str, Any], fields)


def decode_page(body: bytes) -> EntryPage | Refusal:
    """Return a page of a list."""
    fields = _decode_answer(body, "items")
    if isinstance(fields, Refusal):
        return fields
    read = [decode_entry(item, fields["at"]) for item in fields["items"]]
    entries = tuple(item for item in read if isinstance(item, Entry))
    nameless = len(read) - len(entries)
    return EntryPage(entries, bool(fields.get("has-more")), fields["at"], nameless)


def decode_changes(body: bytes) -> EntryChanges | Refusal:
    """Return the changes in the answer of a watch."""
    fields = _decode_answer(body, "events")
    if isinstance(fields, Refusal):
        return fields
    read = [_change(item, fields["at"]) for item in fields["events"]]
    changes = tuple(item for item in read if isinstance(item, EntryChange))
    return EntryChanges(changes, fields["at"], len(read) - len(changes))


def _change(fields: Any, revision: int) -> EntryChange | Refusal:
    if not isinstance(fields, dict):
        return refuse(ErrorKind.UNREADABLE, "an event that is no object")
    entry = decode_entry(fields.get("object"), revision)
    if isinstance(entry, Refusal):
        return entry
    return EntryChange(entry, bool(fields.get("deleted")))


def refusal_of(answer: Response, is_write: bool) -> Refusal | None:
    """Return why a call was refused; None if it was carried out."""
    status = answer.status
    reason = f"store answered {status}"
    if status < 300:
        return None
    if status == 404:
        return refuse(ErrorKind.NOT_FOUND, reason)
    if status == 409:
        return refuse(ErrorKind.CONFLICT, reason)
    if status == 410:
        return refuse(ErrorKind.HISTORY_GONE, reason)
    if status == 413:
        return refuse(ErrorKind.TOO_LARGE, reason)
    if status in (429, 503) or not is_write:
        return refuse(ErrorKind.PLATFORM_UNAVAILABLE, reason)
    return refuse(ErrorKind.PLATFORM_UNCERTAIN, reason)


def encode_retirement(is_completed: bool) -> dict[str, str]:
    """Return the status of a request to drain a machine."""
    return {"state": "completed" if is_completed else "running"}


def is_retirement_open(status: Any) -> bool:
    """Whether a request to drain a machine is not completed yet."""
    return not (isinstance(status, dict) and status.get("state") == "completed")
