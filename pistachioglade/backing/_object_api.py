"""The platform's object API: versions, conditional updates and watches."""

from __future__ import annotations

import json
from typing import Any, Final
from urllib.parse import quote

import attrs

from ..errors import ErrorKind, Refusal, refuse
from ._http import HttpReply, HttpSession

#: Time that one call may take.
CALL_TIMEOUT_S: Final = 2.0


@attrs.frozen
class StoredObject:
    """An object with the version that conditional updates name."""

    # Path of the object.
    path: str
    # Version, given by the object API; grows with each write.
    version: int
    # JSON value.
    value: Any


class ObjectApi:
    """A blocking client; controllers call it from threads."""

    def __init__(self, base_url: str) -> None:
        self._http = HttpSession(base_url)

    def get(self, path: str) -> StoredObject | Refusal:
        """Read one object."""
        reply = self._call("GET", _object_path(path))
        if isinstance(reply, Refusal):
            return reply
        fields = reply.json()
        return StoredObject(path, fields["version"], fields["value"])

    def list(self, prefix: str) -> tuple[StoredObject, ...] | Refusal:
        """Read every object below a prefix."""
        reply = self._call("GET", f"/v1/list?prefix={quote(prefix)}")
        if isinstance(reply, Refusal):
            return reply
        return tuple(
            StoredObject(item["path"], item["version"], item["value"])
            for item in reply.json()["objects"]
        )

    def put(self, path: str, value: Any, if_version: int) -> int | Refusal:
        """Write if the object has ``if_version`` (0 if it must not exist).

        Returns the new version. A refusal of kind PLATFORM_UNCERTAIN means that
        the write may have taken effect.
        """
        target = f"{_object_path(path)}?if_version={if_version}"
        reply = self._call("PUT", target, json.dumps(value).encode())
        if isinstance(reply, Refusal):
            return reply
        version: int = reply.json()["version"]
        return version

    def watch(
        self, path: str, after_version: int, wait_s: float
    ) -> StoredObject | Refusal | None:
        """Wait for a version after ``after_version``; None if none came."""
        target = f"/v1/watch/{quote(path)}?after={after_version}&wait_s={wait_s}"
        reply = self._call("GET", target, timeout_s=wait_s + CALL_TIMEOUT_S)
        if isinstance(reply, Refusal):
            return reply
        if reply.status == 204:
            return None
        fields = reply.json()
        return StoredObject(path, fields["version"], fields["value"])

    def _call(
        self,
        method: str,
        target: str,
        body: bytes | None = None,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> HttpReply | Refusal:
        reply = self._http.request(method, target, timeout_s, body)
        is_write = method != "GET"
        if isinstance(reply, Refusal):
            return _lost(reply, is_write)
        if reply.status < 300:
            return reply
        return _refused(reply, is_write)


def _object_path(path: str) -> str:
    return f"/v1/objects/{quote(path)}"


def _lost(refusal: Refusal, is_write: bool) -> Refusal:
    if is_write and not refusal.did_not_run:
        return refuse(ErrorKind.PLATFORM_UNCERTAIN, refusal.reason)
    return refuse(ErrorKind.PLATFORM_UNAVAILABLE, refusal.reason)


def _refused(reply: HttpReply, is_write: bool) -> Refusal:
    reason = f"object API answered {reply.status}"
    if reply.status == 404:
        return refuse(ErrorKind.NOT_FOUND, reason)
    if reply.status == 409:
        return refuse(ErrorKind.CONFLICT, reason)
    if reply.status == 413:
        return refuse(ErrorKind.TOO_LARGE, reason)
    if reply.status >= 500 and is_write and reply.status != 503:
        return refuse(ErrorKind.PLATFORM_UNCERTAIN, reason)
    return refuse(ErrorKind.PLATFORM_UNAVAILABLE, reason)
