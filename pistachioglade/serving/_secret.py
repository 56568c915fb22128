"""The secret with which the system's own processes authenticate to each other."""

from typing import Final

#: Empty, since the platform provides no secret. Its network keeps other processes off
#: the internal ports (docs/QUESTIONS.md).
SHARED_SECRET: Final = ""
