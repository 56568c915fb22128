"""The trainer's text of a submission, in parts that fit the store's objects."""

from __future__ import annotations

import codecs
from collections.abc import Iterator
from typing import Final

import attrs

from ._content import digest_of
from ._records import Submission, part_name

#: Bytes of an object that are reserved for its names and its other fields.
_RESERVED_BYTES: Final = 1024
#: Largest factor by which a text of JSON grows when encoded as a JSON string: quotes
#: and backslashes are escaped with one more character each, characters beyond ASCII
#: with six bytes for each two of theirs.
_ASCII_ESCAPE_FACTOR: Final = 2
_WIDE_ESCAPE_FACTOR: Final = 3
#: Bytes of a text that are checked at once.
_CHECKED_BYTES: Final = 64 * 1024


@attrs.frozen
class SubmissionPart:
    """One stored part of a submission's text."""

    # Name of the part's object.
    name: str
    # Text of the part.
    text: str


def max_stored_bytes(text: str) -> int:
    """Return the most bytes that an ASCII text takes as a string inside an object."""
    return _ASCII_ESCAPE_FACTOR * len(text)


class SubmissionParts:
    """Splits a text; each part is made when it is asked for.

    Part names contain the digest of the joined text, so that parts of two submissions
    with the same id never mix. Raises UnicodeDecodeError if the text isn't UTF-8.
    """

    def __init__(self, job_id: str, text: bytes, max_object_bytes: int) -> None:
        self._job_id = job_id
        self._text = text
        is_ascii = text.isascii()
        factor = _ASCII_ESCAPE_FACTOR if is_ascii else _WIDE_ESCAPE_FACTOR
        self._step_bytes = (max_object_bytes - _RESERVED_BYTES) // factor
        if not is_ascii:
            for _ in _pieces(text, _CHECKED_BYTES):
                pass
        # Digest of the joined text.
        self.digest = digest_of(text)

    def __len__(self) -> int:
        return -(-len(self._text) // self._step_bytes)

    def __iter__(self) -> Iterator[SubmissionPart]:
        pieces = _pieces(self._text, self._step_bytes)
        return (
            SubmissionPart(part_name(self._job_id, self.digest, number), piece)
            for number, piece in enumerate(pieces)
        )

    def stored(self, submission: Submission) -> Submission:
        """Return the submission that names these parts."""
        return attrs.evolve(
            submission, fields={}, part_count=len(self), digest=self.digest
        )


def _pieces(text: bytes, step_bytes: int) -> Iterator[str]:
    """Yield a text in pieces; a character cut in two goes to the second of them."""
    decoder = codecs.getincrementaldecoder("utf-8")()
    for start in range(0, len(text), step_bytes):
        is_last = start + step_bytes >= len(text)
        yield decoder.decode(text[start : start + step_bytes], is_last)
