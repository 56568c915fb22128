"""How much a node's links carry, for docs/CAPACITY.md."""

from __future__ import annotations

import attrs


@attrs.define
class Traffic:
    """Frames and their bytes, both directions and both ends added up."""

    # Frames sent and received.
    frames: int = 0
    # Bytes of those frames, without headers of websocket, TCP and IP.
    frame_bytes: int = 0

    def count(self, frame: bytes) -> None:
        """Count one frame."""
        self.frames += 1
        self.frame_bytes += len(frame)
