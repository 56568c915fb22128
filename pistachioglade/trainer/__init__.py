"""The client library that a training service imports.

>>> client = TrainerClient(TrainerSettings(urls, token, model, bound))
>>> client.publish(1, digest, size_bytes)
>>> with client.open_step(1, groups, max_tokens=256) as step:
...     for sample in step:
...         learn(sample)
"""

from ._checkpoint import ClosedStepCheckpoint, StepCheckpoint, TrainerCheckpoint
from ._client import OpenedStep, ServiceError, TrainerClient, TrainerSettings
from ._receipts import StepReceipts, Verdict

__all__ = [
    "ClosedStepCheckpoint",
    "OpenedStep",
    "ServiceError",
    "StepCheckpoint",
    "StepReceipts",
    "TrainerCheckpoint",
    "TrainerClient",
    "TrainerSettings",
    "Verdict",
]
