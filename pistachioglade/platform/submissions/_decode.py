"""Decodes submissions in steps and bounds what they take in memory meanwhile.

A JSON text of a few megabytes can hold a million short parts, each of which takes fifty
times its size or more as an object. Nothing is therefore built of unknown fields, and
of the others only as much as there is room for.
"""

from __future__ import annotations

from collections.abc import Callable, Generator, Mapping
from sys import getsizeof
from typing import Final

from ...errors import ErrorKind, Refusal, refuse
from ...fleet import Item, Job, RewardCall
from .. import _names as names
from ._layout import ITEM, ITEMS, JOB, TEXT, ItemFields, Number, RewardFields

#: Items that are decoded in one step.
_ITEMS_IN_STEP: Final = 128
#: Memory of an undecoded item, in bytes.
_UNDECODED_BYTES: Final = 72
#: Memory of an item, of its place in the job's tables and of its reward call, each
#: without their texts and bodies, in bytes.
_ITEM_BYTES: Final = 512
_REWARD_BYTES: Final = 64
#: Memory of a header field as a pair of texts, without the texts, in bytes.
_PAIR_BYTES: Final = 64
#: Memory of a name and a value while they are decoded, in bytes, beside their length.
_UNCOPIED_PAIR_BYTES: Final = 280
#: Factor by which a text may grow that has a character beyond ASCII.
_WIDEST_CHARACTER_BYTES: Final = 4
#: Memory for names and values up to which they aren't counted item by item, in bytes.
_UNCOUNTED_BYTES: Final = 2 * 1024 * 1024
#: Longest name of a model, in bytes.
_MAX_MODEL_BYTES: Final = 4096
#: Largest number, exclusive.
_NUMBER_BOUND: Final = 2**63
#: Number of different texts of a job that are kept once for all its items.
_MAX_SHARED: Final = 4096

#: Tells whether there is room for a job that takes a number of bytes.
HasRoom = Callable[[int], bool]


def decode_in_steps(
    job_id: str, host: str, path: str, text: bytes, has_room: HasRoom
) -> Generator[None, None, tuple[Job, int] | Refusal]:
    """Return the job of a submission and its memory in bytes; yield between steps.

    A refusal names the fault, or says that there is no room.
    """
    decoder = _Decoder(text, has_room)
    try:
        job = yield from decoder.run(job_id, host, path)
    except RecursionError:
        return refuse(ErrorKind.BAD_REQUEST, "submission: nested too deep")
    except (ValueError, OverflowError) as error:
        return refuse(ErrorKind.BAD_REQUEST, f"submission: {error!s:.200}")
    if job is None:
        return refuse(ErrorKind.OVERLOADED, "no room for the submission's parts")
    return job, decoder.held_bytes


def decode_now(
    job_id: str, host: str, path: str, text: bytes, has_room: HasRoom
) -> tuple[Job, int] | Refusal:
    """Return the job of a submission and its memory in bytes, without a pause."""
    steps = decode_in_steps(job_id, host, path, text, has_room)
    while True:
        try:
            next(steps)
        except StopIteration as end:
            decoded: tuple[Job, int] | Refusal = end.value
            return decoded


class _Decoder:
    """Decodes one submission."""

    def __init__(self, text: bytes, has_room: HasRoom) -> None:
        self._text = text
        self._has_room = has_room
        # Memory of the items so far, in bytes.
        self.held_bytes = 0
        # Texts and header fields that several items may have in common.
        self._shared: dict[object, object] = {}
        is_narrow = text.isascii() and b"\\u" not in text
        self._text_factor = 1 if is_narrow else _WIDEST_CHARACTER_BYTES
        pair_bytes = text.count(b":") * _UNCOPIED_PAIR_BYTES
        # Whether an item may be much larger in memory than its text.
        self._may_expand = self._text_factor > 1 or pair_bytes > _UNCOUNTED_BYTES

    def run(
        self, job_id: str, host: str, path: str
    ) -> Generator[None, None, Job | None]:
        """Decode the job; return None if there is no room for it."""
        fields = JOB.decode(self._text)
        yield
        most_items = bytes(fields.items).count(b"{")
        if not self._has_room(most_items * _UNDECODED_BYTES):
            return None
        undecoded = ITEMS.decode(fields.items)
        yield
        items: list[Item] = []
        for index, raw in enumerate(undecoded):
            if index % _ITEMS_IN_STEP == _ITEMS_IN_STEP - 1:
                yield
            size_bytes = self._most_bytes(raw)
            if not self._has_room(self.held_bytes + size_bytes):
                return None
            items.append(self._item(ITEM.decode(raw)))
        model = bytes(fields.model)
        if len(model) > _MAX_MODEL_BYTES:
            raise ValueError(f"the model's name has over {_MAX_MODEL_BYTES} bytes")
        return Job(
            id=job_id,
            host=host,
            path=path,
            model=str(TEXT.decode(model) or "") if model else "",
            min_version=_integer(fields.min_version),
            target_groups=_integer(fields.target_groups),
            step=_integer(fields.step),
            items=tuple(items),
        )

    def _most_bytes(self, raw: bytes) -> int:
        """Return the most memory that an item may take while it is decoded."""
        with memoryview(raw) as view:
            size_bytes = _ITEM_BYTES + self._text_factor * len(view)
            if self._may_expand:
                size_bytes += view.tobytes().count(b":") * _UNCOPIED_PAIR_BYTES
        return size_bytes

    def _item(self, fields: ItemFields) -> Item:
        headers = fields.headers or {}
        by_name = {name.lower(): value for name, value in headers.items()}
        hint = by_name.get(names.LENGTH_HINT.lower())
        usage = by_name.get(names.TOKEN_USAGE.lower())
        _, _, max_output = str(usage or "").partition(",")
        self.held_bytes += _ITEM_BYTES + getsizeof(fields.id)
        return Item(
            id=fields.id,
            group=self._share(fields.group) if fields.group else fields.id,
            path=self._share(fields.path),
            fields=self._fields(headers),
            body=self._body(fields.body),
            tokens=_integer(fields.tokens),
            expected_tokens=_integer(str(hint)) if hint is not None else None,
            most_tokens=_integer(max_output) if max_output else None,
            reward=self._reward(fields.scoring) if fields.scoring else None,
        )

    def _fields(self, headers: Mapping[str, object]) -> tuple[tuple[str, str], ...]:
        pairs = tuple(
            self._share_pair((self._share(name), self._share(str(value))))
            for name, value in headers.items()
        )
        self.held_bytes += getsizeof(pairs)
        return pairs

    def _reward(self, fields: RewardFields) -> RewardCall:
        self.held_bytes += _REWARD_BYTES + getsizeof(fields.id)
        return RewardCall(
            fields.id,
            self._share(fields.host),
            self._share(fields.path),
            self._body(fields.body),
        )

    def _body(self, body: bytes | None) -> bytes:
        self.held_bytes += getsizeof(body) if body else 0
        return body or b""

    def _share(self, text: str) -> str:
        """Return one object for equal texts, and count it once."""
        found = self._shared.get(text)
        if isinstance(found, str):
            return found
        self.held_bytes += getsizeof(text)
        self._keep(text)
        return text

    def _share_pair(self, pair: tuple[str, str]) -> tuple[str, str]:
        found = self._shared.get(pair)
        if isinstance(found, tuple):
            return found
        self.held_bytes += _PAIR_BYTES
        self._keep(pair)
        return pair

    def _keep(self, shared: object) -> None:
        if len(self._shared) < _MAX_SHARED:
            self._shared[shared] = shared


def _integer(value: Number) -> int:
    number = int(value or 0)
    if not -_NUMBER_BOUND < number < _NUMBER_BOUND:
        raise ValueError("a number is out of range")
    return number
