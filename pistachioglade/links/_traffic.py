"""Counters of the traffic on a node's links, for docs/CAPACITY.md."""

from __future__ import annotations

import attrs


@attrs.define
class Traffic:
    """Frames and their bytes over all links, in both directions."""

    # Number of frames sent and received.
    frames: int = 0
    # Size of those frames in bytes, without websocket, TCP and IP headers.
    frame_bytes: int = 0

    def count(self, frame: bytes) -> None:
        """Count one frame."""
        self.frames += 1
        self.frame_bytes += len(frame)
