"""Authentication by bearer tokens whose hashes are in the configuration."""

from __future__ import annotations

import hashlib
from hmac import compare_digest
from typing import TypeVar

from ..config import Caller, Operator, ServiceConfig, Trainer
from ..errors import ErrorKind, Refusal, refuse

Principal = Trainer | Caller | Operator
P = TypeVar("P", Trainer, Caller, Operator)


class Authenticator:
    """Finds trainers, callers and operators by their tokens."""

    def __init__(self, first_operator_token: str) -> None:
        digest = hashlib.sha256(first_operator_token.encode()).hexdigest()
        self._first_operator = Operator("first-operator", digest)

    def find(self, config: ServiceConfig, token: str) -> Principal | Refusal:
        """Return the principal to which a token belongs."""
        digest = hashlib.sha256(token.encode()).hexdigest()
        principals: tuple[Principal, ...] = (
            *config.trainers,
            *config.callers,
            *config.operators,
            self._first_operator,
        )
        for principal in principals:
            if compare_digest(principal.token_sha256, digest):
                return principal
        return refuse(ErrorKind.UNAUTHENTICATED, "no known bearer token was sent")

    def require(self, config: ServiceConfig, token: str, role: type[P]) -> P | Refusal:
        """Return the principal if it has the role."""
        found = self.find(config, token)
        if isinstance(found, (Refusal, role)):
            return found
        reason = f"this needs a {role.__name__.lower()}, not {found.name}"
        return refuse(ErrorKind.FORBIDDEN, reason)
