"""Pure decision functions: no clock, no I/O, no random source of their own.

Times are passed in as arguments, in seconds of one monotonic clock, and random numbers
as a :class:`random.Random`.
"""

from ._call_tries import (
    RETRY_PERCENT,
    CallPolicy,
    may_try_again,
    refusal_wait_s,
    stream_silence_s,
    try_time_s,
)
from ._checkpoints import (
    LEAST_SAVED_EVENTS,
    save_interval_s,
    should_save,
)
from ._choice import CallChooser, Candidate, ChooserSettings
from ._crash_quarantine import (
    Admission,
    CrashHistory,
    Verdict,
    history_retention_s,
    is_quarantined,
    judge_request,
    sample_pause_s,
)
from ._engine_orders import (
    ORDER_WINDOW_S,
    attendant_of,
    first_order_wait_s,
    may_take_orders,
)
from ._fairness import FairQueue
from ._hashing import rendezvous_order, stable_hash
from ._instance_choice import (
    InstanceRecord,
    choose_for_call,
    choose_for_sample,
    is_slow,
    should_move,
    usual_pace_s,
)
from ._instance_refusals import (
    ABSENT_S,
    InstanceRefusal,
    kind_of_refusal,
    should_read_list,
)
from ._instance_runs import InstanceRun, run_of
from ._job_home import capacity_of, engines_of_others, home_of, homes_of
from ._job_retention import may_forget
from ._kept_steps import FinishedStep, steps_to_forget
from ._keys import Attach, KeyGate, Replay, Run
from ._lease import LeaseObserver
from ._membership import BUCKET_COUNT, Membership
from ._placement import AgentView, GroupHomes, PlacementPolicy, slow_agents
from ._policy import (
    FULL_POLICY,
    WITHOUT_VARIABLE,
    Mechanism,
    Policy,
    parse_policy,
)
from ._relay_choice import (
    RELAY_LOOK_S,
    RelayWord,
    relays_to_ask,
    relays_to_use,
)
from ._restarts import failures_in_a_row, is_hopeless, restart_pause_s
from ._result_batches import (
    StepProgress,
    fitting_count,
    write_time_s,
)
from ._retry import RetryBudget, is_sample_hopeless, may_repeat, may_retry
from ._ring import fingers
from ._sample_order import PendingSample, start_order
from ._staleness import VersionPace, hold_s, is_fresh, will_be_fresh
from ._step import Dispatch, StepPlan, StepPolicy
from ._store_calls import TryTime, transfer_time_s
from ._store_outage import StoreOutage, may_have_lapsed
from ._takeover import (
    LATE_ANSWER_S,
    NEIGHBOUR_TIMEOUT_S,
    PROBE_INTERVAL_S,
    PROBE_TIMEOUT_S,
    NeighbourView,
    heir_of,
    is_lost,
    is_store_fresh,
    is_storeless,
    neighbour_of,
    probe_interval_s,
    should_reopen_link,
    should_strike_off,
)
from ._transfer import fetch_sources, wave_delay_s
from ._watch_relays import (
    RELAY_AGE_PART,
    RELAY_GATHER_PART,
    RELAY_HOLD_PART,
    RELAY_REST_S,
    RELAY_SLACK_S,
    relay_for,
    relays_of,
)
from ._weight_turns import MAX_LAG, rank_of, remembered_places, should_load

__all__ = [
    "ABSENT_S",
    "BUCKET_COUNT",
    "FULL_POLICY",
    "LATE_ANSWER_S",
    "LEAST_SAVED_EVENTS",
    "MAX_LAG",
    "NEIGHBOUR_TIMEOUT_S",
    "ORDER_WINDOW_S",
    "PROBE_INTERVAL_S",
    "PROBE_TIMEOUT_S",
    "RELAY_AGE_PART",
    "RELAY_GATHER_PART",
    "RELAY_HOLD_PART",
    "RELAY_LOOK_S",
    "RELAY_REST_S",
    "RELAY_SLACK_S",
    "RETRY_PERCENT",
    "WITHOUT_VARIABLE",
    "Admission",
    "AgentView",
    "Attach",
    "CallChooser",
    "CallPolicy",
    "Candidate",
    "ChooserSettings",
    "CrashHistory",
    "Dispatch",
    "FairQueue",
    "FinishedStep",
    "GroupHomes",
    "InstanceRecord",
    "InstanceRefusal",
    "InstanceRun",
    "KeyGate",
    "LeaseObserver",
    "Mechanism",
    "Membership",
    "NeighbourView",
    "PendingSample",
    "PlacementPolicy",
    "Policy",
    "RelayWord",
    "Replay",
    "RetryBudget",
    "Run",
    "StepPlan",
    "StepPolicy",
    "StepProgress",
    "StoreOutage",
    "TryTime",
    "Verdict",
    "VersionPace",
    "attendant_of",
    "capacity_of",
    "choose_for_call",
    "choose_for_sample",
    "engines_of_others",
    "failures_in_a_row",
    "fetch_sources",
    "fingers",
    "first_order_wait_s",
    "fitting_count",
    "heir_of",
    "history_retention_s",
    "hold_s",
    "home_of",
    "homes_of",
    "is_fresh",
    "is_hopeless",
    "is_lost",
    "is_quarantined",
    "is_sample_hopeless",
    "is_slow",
    "is_store_fresh",
    "is_storeless",
    "judge_request",
    "kind_of_refusal",
    "may_forget",
    "may_have_lapsed",
    "may_repeat",
    "may_retry",
    "may_take_orders",
    "may_try_again",
    "neighbour_of",
    "parse_policy",
    "probe_interval_s",
    "rank_of",
    "refusal_wait_s",
    "relay_for",
    "relays_of",
    "relays_to_ask",
    "relays_to_use",
    "remembered_places",
    "rendezvous_order",
    "restart_pause_s",
    "run_of",
    "sample_pause_s",
    "save_interval_s",
    "should_load",
    "should_move",
    "should_read_list",
    "should_reopen_link",
    "should_save",
    "should_strike_off",
    "slow_agents",
    "stable_hash",
    "start_order",
    "steps_to_forget",
    "stream_silence_s",
    "transfer_time_s",
    "try_time_s",
    "usual_pace_s",
    "wave_delay_s",
    "will_be_fresh",
    "write_time_s",
]
