"""The closed list of error kinds and the refusals that carry them."""

from ._kinds import ANSWERS, Answer, ErrorKind, Execution
from ._refusal import Refusal, refuse

__all__ = ["ANSWERS", "Answer", "ErrorKind", "Execution", "Refusal", "refuse"]
