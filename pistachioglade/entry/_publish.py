"""Changes of the root: new weight versions and new configuration."""

from __future__ import annotations

import asyncio
import time

import attrs

from ..config import check_document, config_to_parts, digest_of
from ..controllers import ROOT, Node
from ..errors import ErrorKind, Refusal, refuse
from ..messages import ModelVersion, RootState
from ..telemetry import logger

_log = logger(__name__)


@attrs.frozen
class Applied:
    """The result of an accepted configuration file."""

    # Generation from which the file is in force.
    generation: int
    # Whether the file changed the configuration.
    changed: bool


class Publisher:
    """Commits changes through the object API, then applies the changes here."""

    def __init__(self, node: Node) -> None:
        self._node = node

    async def publish(self, model: str, version: ModelVersion) -> RootState | Refusal:
        """Make a version the newest of its model; idempotent."""

        def change(root: RootState) -> RootState | Refusal:
            known = root.models.get(model)
            if known is not None and version.version <= known.version:
                if (known.version, known.digest) == (version.version, version.digest):
                    return root
                reason = f"version {known.version} of {model!r} is published already"
                return refuse(ErrorKind.CONFLICT, reason)
            return attrs.evolve(root, models={**root.models, model: version})

        root = await asyncio.to_thread(self._node.store.commit, change)
        if isinstance(root, RootState):
            await self._node.root.apply_stored_root(root)
        return root

    async def apply(self, text: str, base_generation: int | None) -> Applied | Refusal:
        """Apply a configuration file, completely or not at all.

        The file replaces the sections that were in force when the request arrived. If
        another file is applied in the meantime, the request is refused.
        """
        config, faults = check_document(text)
        if config is None:
            reason = "; ".join(map(str, faults))
            return refuse(ErrorKind.BAD_REQUEST, reason)
        texts = config_to_parts(config)
        parts = {name: digest_of(part) for name, part in texts.items()}
        base = await asyncio.to_thread(self._node.store.read)
        if isinstance(base, Refusal):
            return base
        if base_generation is not None and base_generation != base.generation:
            reason = f"generation {base.generation} is in force"
            return refuse(ErrorKind.CONFLICT, f"{reason}, not {base_generation}")
        if base.parts == parts:
            return Applied(base.generation, changed=False)
        return await self._commit(base, parts, list(texts.values()))

    async def _commit(
        self, base: RootState, parts: dict[str, str], texts: list[str]
    ) -> Applied | Refusal:
        by_digest = {
            digest: text
            for digest, text in zip(map(digest_of, texts), texts, strict=True)
            if digest not in base.parts.values()
        }
        refusal = await asyncio.to_thread(self._node.store.write_parts, by_digest)
        if refusal is not None:
            return refusal

        def change(root: RootState) -> RootState | Refusal:
            if root.parts not in (base.parts, parts):
                reason = f"another file is in force from generation {root.generation}"
                return refuse(ErrorKind.CONFLICT, reason)
            return attrs.evolve(root, parts=parts)

        root = await asyncio.to_thread(self._node.store.commit, change)
        if isinstance(root, Refusal):
            return root
        started_s = time.monotonic()
        await self._node.root.apply_stored_root(root)
        spent_s = time.monotonic() - started_s
        _log.info("config.applied", generation=root.generation, adopt_s=spent_s)
        return Applied(root.generation, changed=True)

    def current_parts(self) -> dict[str, str]:
        """Return the text of each configuration section in force here."""
        snapshot = self._node.board.read(ROOT)
        if snapshot is None:
            return {}
        return {
            name: snapshot.parts[digest] for name, digest in snapshot.root.parts.items()
        }
