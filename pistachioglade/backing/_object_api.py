"""The platform's object API: versions, conditional updates and watches."""

from __future__ import annotations

from typing import Any, Final

import attrs

from ..errors import ErrorKind, Refusal, refuse
from ..http1 import Response
from ..platform import (
    Entry,
    StoreCall,
    create_call,
    decode_changes,
    decode_entry,
    decode_json,
    decode_page,
    list_call,
    read_call,
    refusal_of,
    replace_call,
    watch_call,
)
from ._http import HttpReply, HttpSession

#: Timeout of one call, in seconds.
CALL_TIMEOUT_S: Final = 2.0


@attrs.frozen
class StoredObject:
    """An object with its version, which conditional updates name."""

    # Path of the object.
    path: str
    # Version assigned by the object API; grows with each write.
    version: int
    # JSON value.
    value: Any


class ObjectApi:
    """A blocking client of the object API; controllers use the client from threads.

    The first part of a path is the kind of the object, the rest its name.
    """

    def __init__(self, base_url: str) -> None:
        self._http = HttpSession(base_url)

    def get(self, path: str) -> StoredObject | Refusal:
        """Read one object."""
        reply = self._call(read_call(*_split(path)))
        if isinstance(reply, Refusal):
            return reply
        return _read(path, reply)

    def list(self, prefix: str) -> tuple[StoredObject, ...] | Refusal:
        """Read every object whose path starts with a prefix."""
        kind, start = _split(prefix)
        found: list[StoredObject] = []
        after = ""
        while True:
            reply = self._call(list_call(kind, after))
            if isinstance(reply, Refusal):
                return reply
            page = decode_page(reply.body)
            if isinstance(page, Refusal):
                return page
            found.extend(
                _stored(f"{kind}/{entry.name}", entry)
                for entry in page.entries
                if entry.name.startswith(start)
            )
            if not page.has_more or not page.entries:
                return tuple(found)
            after = page.entries[-1].name

    def put(self, path: str, value: Any, if_version: int) -> int | Refusal:
        """Write if the object has ``if_version`` (0 if it must not exist).

        Returns the new version. A refusal of kind PLATFORM_UNCERTAIN means that
        the write may have taken effect.
        """
        kind, name = _split(path)
        if if_version:
            call = replace_call(kind, name, value, if_version)
        else:
            call = create_call(kind, name, value)
        reply = self._call(call)
        if isinstance(reply, Refusal):
            return reply
        stored = _read(path, reply)
        return stored if isinstance(stored, Refusal) else stored.version

    def watch(
        self, path: str, after_version: int, wait_s: float
    ) -> StoredObject | Refusal | None:
        """Wait for a version after ``after_version``; return None if none appears."""
        kind, name = _split(path)
        call = watch_call(kind, after_version, wait_s)
        reply = self._call(call, timeout_s=wait_s + CALL_TIMEOUT_S)
        if isinstance(reply, Refusal):
            if reply.kind is not ErrorKind.HISTORY_GONE:
                return reply
            found = self.get(path)
            is_new = isinstance(found, Refusal) or found.version > after_version
            return found if is_new else None
        page_of_changes = decode_changes(reply.body)
        if isinstance(page_of_changes, Refusal):
            return page_of_changes
        entries = [
            change.entry
            for change in page_of_changes.changes
            if change.entry.name == name and not change.is_removed
        ]
        return _stored(path, entries[-1]) if entries else None

    def _call(
        self, call: StoreCall, timeout_s: float = CALL_TIMEOUT_S
    ) -> HttpReply | Refusal:
        reply = self._http.request(
            call.method, call.target, timeout_s, call.body or None
        )
        is_write = call.method != "GET"
        if isinstance(reply, Refusal):
            return _transport_refusal(reply, is_write)
        answer = Response(reply.status, tuple(reply.headers.items()), reply.body)
        return refusal_of(answer, is_write) or reply


def _split(path: str) -> tuple[str, str]:
    """Return the kind and the name of a path.

    A root is the only object of its kind; its path has one part, which is both.
    """
    kind, _, name = path.partition("/")
    return kind, name or ("" if path.endswith("/") else kind)


def _read(path: str, reply: HttpReply) -> StoredObject | Refusal:
    fields = decode_json(reply.body)
    read = fields if isinstance(fields, Refusal) else decode_entry(fields)
    return read if isinstance(read, Refusal) else _stored(path, read)


def _stored(path: str, entry: Entry) -> StoredObject:
    return StoredObject(path, entry.revision, entry.value)


def _transport_refusal(refusal: Refusal, is_write: bool) -> Refusal:
    if is_write and not refusal.did_not_run:
        return refuse(ErrorKind.PLATFORM_UNCERTAIN, refusal.reason)
    return refuse(ErrorKind.PLATFORM_UNAVAILABLE, refusal.reason)
