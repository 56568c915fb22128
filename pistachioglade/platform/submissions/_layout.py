"""Layout of a submission: fields that aren't listed here are skipped unread."""

from __future__ import annotations

from typing import Final

import msgspec

#: Numbers, which some callers send as texts.
Number = int | float | str | None
#: Values of header fields.
FieldValue = str | int | float | bool | None


class RewardFields(msgspec.Struct):
    """The request that scores an item's text."""

    # Id of the request.
    id: str
    # Host whose route the request takes.
    host: str
    # Path of the request.
    path: str
    # Body, in base64.
    body: bytes | None = None


class ItemFields(msgspec.Struct):
    """An item."""

    # Id of the item.
    id: str
    # Path of the request.
    path: str
    # Header fields of the request.
    headers: dict[str, FieldValue] | None = None
    # Body of the request, in base64.
    body: bytes | None = None
    # Prompt tokens plus maximum output tokens.
    tokens: Number = msgspec.field(name="token-count", default=None)
    # Group of items that share a prompt.
    group: str | None = msgspec.field(name="group-id", default=None)
    # Request that scores the text.
    scoring: RewardFields | None = msgspec.field(name="scoring-endpoint", default=None)


class JobFields(msgspec.Struct):
    """A submission; its items and texts without a bound stay undecoded."""

    # Items.
    items: msgspec.Raw
    # Name of the model.
    model: msgspec.Raw = msgspec.Raw()
    # Oldest weight version that may generate any token.
    min_version: Number = msgspec.field(name="min-version", default=None)
    # Number of complete groups that the trainer waits for.
    target_groups: Number = msgspec.field(name="target-group-count", default=None)
    # Number of the step.
    step: Number = None


JOB: Final = msgspec.json.Decoder(JobFields)
ITEMS: Final = msgspec.json.Decoder(list[msgspec.Raw])
ITEM: Final = msgspec.json.Decoder(ItemFields)
TEXT: Final = msgspec.json.Decoder(str | int | float | None)
