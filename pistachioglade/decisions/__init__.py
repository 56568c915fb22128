"""Pure policy: no clock, no socket, no randomness of its own.

Times come in as arguments in seconds of one monotonic clock, random numbers as
a :class:`random.Random`.
"""

from ._choice import CallChooser, Candidate, ChooserSettings
from ._fairness import FairQueue
from ._hashing import rendezvous_order, stable_hash
from ._keys import Attach, KeyGate, Replay, Run
from ._lease import LeaseObserver
from ._membership import BUCKET_COUNT, Membership
from ._placement import AgentView, GroupHomes, PlacementPolicy, slow_agents
from ._retry import RetryBudget, may_retry
from ._ring import fingers
from ._staleness import VersionPace, hold_s, is_fresh, will_be_fresh
from ._step import Dispatch, StepPlan, StepPolicy
from ._transfer import fetch_sources, wave_delay_s

__all__ = [
    "BUCKET_COUNT",
    "AgentView",
    "Attach",
    "CallChooser",
    "Candidate",
    "ChooserSettings",
    "Dispatch",
    "FairQueue",
    "GroupHomes",
    "KeyGate",
    "LeaseObserver",
    "Membership",
    "PlacementPolicy",
    "Replay",
    "RetryBudget",
    "Run",
    "StepPlan",
    "StepPolicy",
    "VersionPace",
    "fetch_sources",
    "fingers",
    "hold_s",
    "is_fresh",
    "may_retry",
    "rendezvous_order",
    "slow_agents",
    "stable_hash",
    "wave_delay_s",
    "will_be_fresh",
]
