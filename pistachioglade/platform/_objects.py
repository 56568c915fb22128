"""The store's calls and answers: objects with revisions, lists and watches."""

from __future__ import annotations

import json
from typing import Any, Final, TypeGuard, cast
from urllib.parse import quote

import attrs

from ..errors import ErrorKind, Refusal, refuse
from ..http1 import Response

_ROOT: Final = "/v1/objects"
#: Longest name of an object that is read: the longest of ours has under 80 characters,
#: and a path of a megabyte would be refused.
_MAX_NAME_CHARS: Final = 512
#: Digits of the largest whole number that is read as such: any that a float can hold.
#: Values carry nonces of 64 bits and more; the language refuses to read 4,300 digits.
_MAX_DIGITS: Final = 300


@attrs.frozen
class Entry:
    """An object of the store."""

    # Name, unique in its kind.
    name: str
    # Revision of its last change.
    revision: int
    # Value.
    value: Any
    # What is said of the value by whoever acts on it; None if nothing is.
    status: Any


@attrs.frozen
class EntryPage:
    """A part of the list of a kind."""

    # Objects by name.
    entries: tuple[Entry, ...]
    # Whether more follow behind the last name.
    has_more: bool
    # Revision of the store that the page shows.
    revision: int
    # How many of its objects can't even be named.
    nameless: int = 0


@attrs.frozen
class EntryChange:
    """A change that a watch tells."""

    # The object, as it is now or as it was.
    entry: Entry
    # Whether it was removed.
    is_removed: bool


@attrs.frozen
class EntryChanges:
    """The answer of a watch."""

    # Changes in their order.
    changes: tuple[EntryChange, ...]
    # Revision from which to watch on.
    revision: int
    # How many of them are of objects that can't even be named.
    nameless: int = 0


@attrs.frozen
class StoreCall:
    """One call to the store, as it goes on the wire."""

    # HTTP method.
    method: str
    # Path and query.
    target: str
    # Body; empty for reads.
    body: bytes = b""
    # Whether the answer is held until there is something to tell.
    is_watch: bool = False


def _path(kind: str, name: str) -> str:
    return f"{_ROOT}/{quote(kind)}/{quote(name, safe='')}"


def read_call(kind: str, name: str, may_be_old: bool = False) -> StoreCall:
    """Read one object; one that may be some seconds old costs a tenth."""
    return StoreCall("GET", _path(kind, name) + ("?allow-stale=1" * may_be_old))


def list_call(kind: str, after: str, may_be_old: bool = False) -> StoreCall:
    """Read the objects whose names follow ``after``.

    A list that may be some seconds old costs a tenth.
    """
    after_part = (f"after={quote(after, safe='')}",) if after else ()
    query = "&".join((*after_part, *(("allow-stale=1",) if may_be_old else ())))
    return StoreCall("GET", f"{_ROOT}/{quote(kind)}{'?' if query else ''}{query}")


def watch_call(
    kind: str, revision: int, wait_s: float, may_be_old: bool = False
) -> StoreCall:
    """Wait for changes behind a revision; ones that may come late cost a tenth."""
    query = f"watch={revision}&wait-timeout-ms={int(wait_s * 1000)}"
    query += "&allow-stale=1" * may_be_old
    return StoreCall("GET", f"{_ROOT}/{quote(kind)}?{query}", is_watch=True)


def create_call(kind: str, name: str, value: Any) -> StoreCall:
    """Create an object; refused if there is one of that name."""
    body = {"metadata": {"name": name}, "specification": value}
    return StoreCall("POST", f"{_ROOT}/{quote(kind)}", json.dumps(body).encode())


def replace_call(kind: str, name: str, value: Any, revision: int | None) -> StoreCall:
    """Replace an object, if it still has a revision where one is given."""
    metadata = {"name": name} | ({} if revision is None else {"revision": revision})
    body = {"metadata": metadata, "specification": value}
    return StoreCall("PUT", _path(kind, name), json.dumps(body).encode())


def status_call(kind: str, name: str, status: Any) -> StoreCall:
    """Replace the status of an object."""
    body = {"metadata": {"name": name}, "status": status}
    return StoreCall("PUT", f"{_path(kind, name)}/status", json.dumps(body).encode())


def delete_call(kind: str, name: str, revision: int | None) -> StoreCall:
    """Remove an object, if it still has a revision where one is given."""
    query = f"?revision={revision}" if revision is not None else ""
    return StoreCall("DELETE", _path(kind, name) + query)


def decode_entry(fields: Any, revision: int = 0) -> Entry | Refusal:
    """Return an object as anybody may have written it; its value may be anything.

    ``revision`` is that of the answer, for an object that tells none of its own.
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
        own if is_whole(own) else revision,
        fields.get("specification"),
        fields.get("status"),
    )


def _is_text(value: str) -> bool:
    """Whether a string can be written: JSON can hold halves of characters."""
    try:
        value.encode()
    except UnicodeEncodeError:
        return False
    return True


def is_whole(value: Any) -> TypeGuard[int]:
    """Whether a value of JSON is a whole number."""
    return isinstance(value, int) and not isinstance(value, bool)


def decode_json(body: bytes) -> Any | Refusal:
    """Return the value of a body; bytes that are no text spoil only their own string.

    Numbers that no field holds become infinite.
    """
    try:
        text = body.decode("utf-8", "replace")
        return json.loads(text, parse_int=_bounded_int)
    except (ValueError, RecursionError) as error:
        reason = f"no JSON: {type(error).__name__} {error!s:.80}"
        return refuse(ErrorKind.UNREADABLE, reason)


def _bounded_int(text: str) -> int | float:
    return int(text) if len(text) <= _MAX_DIGITS else float("inf")


def _told(body: bytes, items: str) -> dict[str, Any] | Refusal:
    """Return a list's or watch's fields, if it is one."""
    fields = decode_json(body)
    if isinstance(fields, Refusal):
        return fields
    is_told = isinstance(fields, dict) and is_whole(fields.get("at"))
    if not is_told or not isinstance(fields.get(items), list):
        return refuse(ErrorKind.UNREADABLE, f"an answer without {items} or revision")
    return cast(dict[str, Any], fields)


def decode_page(body: bytes) -> EntryPage | Refusal:
    """Return a page of a list."""
    fields = _told(body, "items")
    if isinstance(fields, Refusal):
        return fields
    read = [decode_entry(item, fields["at"]) for item in fields["items"]]
    entries = tuple(item for item in read if isinstance(item, Entry))
    nameless = len(read) - len(entries)
    return EntryPage(entries, bool(fields.get("has-more")), fields["at"], nameless)


def decode_changes(body: bytes) -> EntryChanges | Refusal:
    """Return what a watch tells."""
    fields = _told(body, "events")
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
    """Return the status of a request to empty a machine."""
    return {"state": "completed" if is_completed else "running"}


def is_retirement_open(status: Any) -> bool:
    """Whether a request to empty a machine still waits for its end."""
    return not (isinstance(status, dict) and status.get("state") == "completed")
