"""Messages for configuration, membership, weights and administration."""

from __future__ import annotations

from enum import Enum
from typing import Final

import attrs

#: Lowest version that a trainer may publish; an engine that reports a lower version has
#: no published weights yet.
FIRST_VERSION: Final = 1


class NodeRole(Enum):
    """The role of a node."""

    ENTRY = "entry"
    AGENT = "agent"


class MemberState(Enum):
    """A member's state; of two with the same sequence, the one listed later wins."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    DEAD = "dead"


@attrs.frozen
class MemberRecord:
    """A statement on the state of one node."""

    # Node id, from its settings.
    node: str
    # Boot nonce, which increases with each start of the node.
    incarnation: int
    # Sequence number, which increases with each statement on the incarnation.
    sequence: int
    # State of the node.
    state: MemberState
    # Role of the node.
    role: NodeRole
    # Host and port of the node's link server; empty if there is none.
    address: str
    # Failure domain of the node.
    domain: str
    # Name of the upstream whose instances the node serves; empty for an entry.
    upstream: str = ""


@attrs.frozen
class ModelVersion:
    """The newest published weights of one model."""

    # Version number, counted from 1 by the trainer.
    version: int
    # SHA-256 of the weights, in hexadecimal.
    digest: str
    # Size of the weights, in bytes.
    size_bytes: int
    # Time of the publication, in seconds since the epoch.
    published_unix_s: float


@attrs.frozen
class RootState:
    """The root object: the current configuration and weights, under one generation."""

    # Generation, which increases by one with each accepted change.
    generation: int
    # Part name to the SHA-256 of the part.
    parts: dict[str, str] = attrs.field(factory=dict)
    # Model name to its newest weights.
    models: dict[str, ModelVersion] = attrs.field(factory=dict)
    # Latest writes, newest first, in the form "writer:sequence:generation".
    recent_writes: tuple[str, ...] = ()


@attrs.frozen
class RootSnapshot:
    """A root and the parts that the root refers to."""

    # The root.
    root: RootState
    # SHA-256 of each part to the part's text.
    parts: dict[str, str]


@attrs.frozen
class RootOffer:
    """Announce the generation of the sender's root to a peer."""

    # Generation of the sender's root.
    generation: int


@attrs.frozen
class FetchRoot:
    """Ask a peer for its root and for the parts that the sender lacks."""

    # SHA-256 of each part that the sender has.
    known_parts: tuple[str, ...]


@attrs.frozen
class MemberChanges:
    """Statements on members; the receiver passes them on to its peers."""

    # The statements.
    records: tuple[MemberRecord, ...]


@attrs.frozen
class Digest:
    """Periodic comparison of the root and of the member records with a peer."""

    # Generation of the sender's root.
    generation: int
    # One hash per bucket of members.
    buckets: tuple[int, ...]


@attrs.frozen
class DigestReply:
    """The answer to a :class:`Digest`: the differences and the receiver's records."""

    # Generation of the receiver's root.
    generation: int
    # Numbers of the buckets whose hashes differ.
    buckets: tuple[int, ...]
    # The receiver's records in those buckets.
    records: tuple[MemberRecord, ...]


@attrs.frozen
class BucketRecords:
    """The records that the sender of a :class:`Digest` has in the differing buckets."""

    # The records.
    records: tuple[MemberRecord, ...]


@attrs.frozen
class FetchChunk:
    """Ask a peer for a chunk of a model's weights."""

    # Name of the model.
    model: str
    # Version of the weights.
    version: int
    # Index of the chunk, counted from 0.
    chunk: int
    # Time for which the peer may wait for a chunk that it lacks, in seconds.
    wait_s: float


@attrs.frozen
class ChunkData:
    """A chunk of a model's weights."""

    # Content of the chunk.
    data: bytes


@attrs.frozen
class DrainNode:
    """Tell a node to leave: accept no new work and finish the work in progress."""

    # Name of the operator who asks.
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
    # Generation of the root that the node applies.
    generation: int
    # Whether the node is leaving.
    leaving: bool
    # Engine or instance name to model to weight version, as the engine reports.
    versions: dict[str, dict[str, int]]
    # Number of requests and samples in progress.
    running: int
    # Number of queued requests and samples.
    queued: int
    # Names of the trainers whose steps the node owns.
    owned_trainers: tuple[str, ...] = ()
    # Number of frames on the node's links, in both directions.
    link_frames: int = 0
    # Size of those frames, in bytes.
    link_bytes: int = 0
