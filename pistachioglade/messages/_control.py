"""Messages of configuration, membership, weights and operation."""

from __future__ import annotations

from enum import Enum
from typing import Final

import attrs

#: The first version that a trainer may publish; an engine that names a lower one
#: has no published weights yet.
FIRST_VERSION: Final = 1


class NodeRole(Enum):
    """What a node does."""

    ENTRY = "entry"
    AGENT = "agent"


class MemberState(Enum):
    """A member's state; a later one wins over an earlier one of the same number."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    DEAD = "dead"


@attrs.frozen
class MemberRecord:
    """What is known of one node."""

    # Node id, from its settings.
    node: str
    # Boot nonce; grows from one start to the next.
    incarnation: int
    # Grows with every statement about the incarnation.
    sequence: int
    # The state that the statement gives.
    state: MemberState
    # What the node does.
    role: NodeRole
    # Host and port of its link server; empty for none.
    address: str
    # Failure domain of the node.
    domain: str
    # Upstream whose instances the node fronts; empty for an entry.
    upstream: str = ""


@attrs.frozen
class ModelVersion:
    """The newest published weights of one model."""

    # Version number, counted from 1 by the trainer.
    version: int
    # SHA-256 of the weights, in hexadecimal.
    digest: str
    # Size of the weights.
    size_bytes: int
    # Wall clock time of the publication.
    published_unix_s: float


@attrs.frozen
class RootState:
    """The root object: everything that is in force, under one generation."""

    # Grows by one with every accepted change.
    generation: int
    # Part name to SHA-256 of the part.
    parts: dict[str, str] = attrs.field(factory=dict)
    # Model name to its newest weights.
    models: dict[str, ModelVersion] = attrs.field(factory=dict)
    # Last writes, newest first, as "writer:sequence:generation".
    recent_writes: tuple[str, ...] = ()


@attrs.frozen
class RootSnapshot:
    """A root together with the parts that it names."""

    # The root.
    root: RootState
    # SHA-256 to the part's text.
    parts: dict[str, str]


@attrs.frozen
class RootOffer:
    """Tell a peer which generation the sender has."""

    # Generation of the sender's root.
    generation: int


@attrs.frozen
class FetchRoot:
    """Ask a peer for its root and for the parts that the asker lacks."""

    # Digests of the parts that the asker has.
    known_parts: tuple[str, ...]


@attrs.frozen
class MemberChanges:
    """Statements about members, passed on to the peers of the receiver."""

    # The statements.
    records: tuple[MemberRecord, ...]


@attrs.frozen
class Digest:
    """Compare knowledge with a peer, from time to time."""

    # Generation of the sender's root.
    generation: int
    # One hash for each bucket of members.
    buckets: tuple[int, ...]


@attrs.frozen
class DigestReply:
    """What differs, from the receiver of a :class:`Digest`."""

    # Generation of the receiver's root.
    generation: int
    # Buckets that differ.
    buckets: tuple[int, ...]
    # The receiver's records in those buckets.
    records: tuple[MemberRecord, ...]


@attrs.frozen
class BucketRecords:
    """The sender's records of the buckets that differed."""

    # The records.
    records: tuple[MemberRecord, ...]


@attrs.frozen
class FetchChunk:
    """Ask a peer for a piece of a model's weights."""

    # Name of the model.
    model: str
    # Version of the weights.
    version: int
    # Number of the chunk, from 0.
    chunk: int
    # How long the peer may wait for the chunk to reach it.
    wait_s: float


@attrs.frozen
class ChunkData:
    """A piece of a model's weights."""

    # The bytes.
    data: bytes


@attrs.frozen
class DrainNode:
    """Tell a node to leave: no new work, finish what runs."""

    # Who asks.
    operator: str


@attrs.frozen
class Acknowledged:
    """An empty answer."""


@attrs.frozen
class GetStatus:
    """Ask a node for its status."""


@attrs.frozen
class NodeStatus:
    """A node's own view of itself."""

    # Node id.
    node: str
    # Boot nonce.
    incarnation: int
    # Generation that is in force here.
    generation: int
    # Whether the node is leaving.
    leaving: bool
    # Engine or instance name to model to version, as the engine says.
    versions: dict[str, dict[str, int]]
    # Requests and samples in progress.
    running: int
    # Requests and samples that wait.
    queued: int
    # Trainers whose steps this node owns.
    owned_trainers: tuple[str, ...] = ()
    # Frames that its links carried, both ways.
    link_frames: int = 0
    # Bytes of those frames.
    link_bytes: int = 0
