"""What the system's own processes prove to each other."""

from typing import Final

#: The platform hands out no secret; its network keeps others off the internal ports
#: (docs/QUESTIONS.md).
SHARED_SECRET: Final = ""
