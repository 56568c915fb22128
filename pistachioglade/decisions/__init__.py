"""Pure decision functions: no clock, no I/O, no random source of their own.

Times are passed in as arguments, in seconds of one monotonic clock, and random numbers
as a :class:`random.Random`.
"""

from ._admission import (
    AdmissionQueue,
    AdmissionRefusal,
    Estimate,
    QueueRefusal,
    WaitingRequest,
    usable_priority,
)
from ._call_tries import (
    RETRY_PERCENT,
    CallPolicy,
    may_try_again,
    refusal_wait_s,
    stream_silence_s,
    try_time_s,
)
from ._call_work import CallWork
from ._checkpoints import (
    MIN_CHECKPOINT_EVENTS,
    checkpoint_interval_s,
    should_checkpoint,
)
from ._choice import CallChooser, Candidate, ChooserSettings
from ._client_connections import (
    UNCHARGED_CONNECTION_BYTES,
    ConnectionBounds,
    connection_bounds,
)
from ._configuration_check import (
    ConfigurationSource,
    entries_to_ask,
    round_interval_s,
)
from ._connection_limits import connection_limit, connection_wait_s
from ._connection_reuse import prefer_idle_connection
from ._crash_quarantine import (
    MAX_SHARE_WAIT_S,
    UNCLAIMED_TRIAL_WAIT_S,
    Admission,
    AdmissionDecision,
    CrashHistory,
    counted_run_s,
    decide_admission,
    decide_owed_admission,
    history_retention_s,
    is_quarantined,
    report_delay_s,
    sample_pause_s,
)
from ._engine_counts import DemandHistory, EngineLimits, engine_counts
from ._failover import (
    ENTRY_CALL_TIMEOUT_S,
    LATE_ANSWER_TIMEOUT_S,
    NEIGHBOUR_ANSWER_WAIT_S,
    PROBE_INTERVAL_S,
    NeighbourView,
    has_lost_store,
    is_lost,
    is_store_fresh,
    neighbour_of,
    probe_interval_s,
    should_remove_listing,
    should_reopen_link,
    successor_of,
)
from ._fairness import FairQueue
from ._hashing import rendezvous_order, stable_hash
from ._instance_choice import (
    choose_for_call,
    choose_for_sample,
    is_slow,
    median_expected_gap_s,
    median_gap_s,
    should_move,
)
from ._instance_pace import InstancePace, PaceState
from ._instance_record import InstanceRecord
from ._instance_refusals import (
    ABSENT_EXCLUSION_S,
    InstanceRefusal,
    classify_refusal,
    should_read_list,
)
from ._instance_room import (
    Room,
    faster_by_s,
    instances_with_room,
    should_wait_for_faster,
)
from ._instance_runs import InstanceRun, classify_run
from ._job_owner import (
    choose_job_owner,
    engines_preferred_by_others,
    entry_capacity,
    owner_candidates,
)
from ._job_retention import has_retention_expired
from ._kept_steps import FinishedStep, steps_to_evict
from ._keys import Attach, KeyGate, Replay, Run
from ._lease import LeaseObserver
from ._lease_turns import (
    CALL_WINDOW_S,
    MAX_DUTY_RANKS,
    duty_order,
    fallback_entry_of,
    first_call_wait_s,
    may_take_lease,
    takeover_wait_s,
)
from ._membership import BUCKET_COUNT, Membership
from ._memory_budget import (
    MEGABYTE_BYTES,
    MemoryBudget,
    MemoryState,
    MemoryUse,
    budget_bytes,
)
from ._memory_holders import Holding, TransferProgress, stalled_holders
from ._pace_sharing import MergedPaces, PaceOutbox, SharedInstance, merge_paces
from ._placement import AgentView, GroupAffinity, PlacementPolicy, slow_agents
from ._policy import (
    FULL_POLICY,
    WITHOUT_VARIABLE,
    Mechanism,
    Policy,
    parse_policy,
)
from ._relay_choice import (
    RELAY_SEARCH_INTERVAL_S,
    RelayReport,
    relays_to_ask,
    relays_to_use,
)
from ._restarts import consecutive_failures, restart_pause_s, should_give_up
from ._result_batches import (
    StepProgress,
    count_fitting,
    next_write_s,
)
from ._retry import RetryBudget, may_resend, may_retry, should_give_up_sample
from ._returning import ReturningRequests
from ._ring import fingers
from ._sample_lengths import LengthEstimates, RemainingLength
from ._sample_moves import MOVE_COST_S, Move, MovePlan, MoveReason
from ._sample_order import (
    GroupWork,
    PendingSample,
    counting_groups,
    remaining_tokens,
    start_order,
)
from ._sample_placement import (
    EngineOption,
    SampleNeeds,
    choose_engine,
    duration_s,
    fastest_engines,
)
from ._sample_shares import (
    SampleShares,
    TrainerUse,
    ahead_tokens,
    order_by_shares,
    share_weight,
)
from ._sample_waits import MAX_SLOT_WAIT_S, ExpectedEnd, SlotForecast, may_end_late
from ._staleness import VersionPace, is_fresh, step_hold_s, will_be_fresh
from ._start_rate import StartRate
from ._step import Dispatch, StepPlan, StepPolicy
from ._stop_times import StopTimes, stop_times
from ._store_calls import AdaptiveTimeout, transfer_time_s
from ._store_outage import StoreOutage, may_have_lapsed
from ._transfer import fetch_sources, wave_delay_s
from ._usage_reports import (
    MAX_LEDGER_WINDOWS,
    ReportTerms,
    clock_correction_s,
    copy_holder,
)
from ._watch_relays import (
    RELAY_AGE_FRACTION,
    RELAY_COOLDOWN_S,
    RELAY_GATHER_FRACTION,
    RELAY_HOLD_FRACTION,
    RELAY_TRANSFER_S,
    relay_for,
    relays_of,
)
from ._watch_times import is_copy_current, watch_answer_time_s, watch_hold_s
from ._weight_turns import MAX_LAG_VERSIONS, engine_rank, recently_listed, should_load

__all__ = [
    "ABSENT_EXCLUSION_S",
    "BUCKET_COUNT",
    "CALL_WINDOW_S",
    "ENTRY_CALL_TIMEOUT_S",
    "FULL_POLICY",
    "LATE_ANSWER_TIMEOUT_S",
    "MAX_DUTY_RANKS",
    "MAX_LAG_VERSIONS",
    "MAX_LEDGER_WINDOWS",
    "MAX_SHARE_WAIT_S",
    "MAX_SLOT_WAIT_S",
    "MEGABYTE_BYTES",
    "MIN_CHECKPOINT_EVENTS",
    "MOVE_COST_S",
    "NEIGHBOUR_ANSWER_WAIT_S",
    "PROBE_INTERVAL_S",
    "RELAY_AGE_FRACTION",
    "RELAY_COOLDOWN_S",
    "RELAY_GATHER_FRACTION",
    "RELAY_HOLD_FRACTION",
    "RELAY_SEARCH_INTERVAL_S",
    "RELAY_TRANSFER_S",
    "RETRY_PERCENT",
    "UNCHARGED_CONNECTION_BYTES",
    "UNCLAIMED_TRIAL_WAIT_S",
    "WITHOUT_VARIABLE",
    "AdaptiveTimeout",
    "Admission",
    "AdmissionDecision",
    "AdmissionQueue",
    "AdmissionRefusal",
    "AgentView",
    "Attach",
    "CallChooser",
    "CallPolicy",
    "CallWork",
    "Candidate",
    "ChooserSettings",
    "ConfigurationSource",
    "ConnectionBounds",
    "CrashHistory",
    "DemandHistory",
    "Dispatch",
    "EngineLimits",
    "EngineOption",
    "Estimate",
    "ExpectedEnd",
    "FairQueue",
    "FinishedStep",
    "GroupAffinity",
    "GroupWork",
    "Holding",
    "InstancePace",
    "InstanceRecord",
    "InstanceRefusal",
    "InstanceRun",
    "KeyGate",
    "LeaseObserver",
    "LengthEstimates",
    "Mechanism",
    "Membership",
    "MemoryBudget",
    "MemoryState",
    "MemoryUse",
    "MergedPaces",
    "Move",
    "MovePlan",
    "MoveReason",
    "NeighbourView",
    "PaceOutbox",
    "PaceState",
    "PendingSample",
    "PlacementPolicy",
    "Policy",
    "QueueRefusal",
    "RelayReport",
    "RemainingLength",
    "Replay",
    "ReportTerms",
    "RetryBudget",
    "ReturningRequests",
    "Room",
    "Run",
    "SampleNeeds",
    "SampleShares",
    "SharedInstance",
    "SlotForecast",
    "StartRate",
    "StepPlan",
    "StepPolicy",
    "StepProgress",
    "StopTimes",
    "StoreOutage",
    "TrainerUse",
    "TransferProgress",
    "VersionPace",
    "WaitingRequest",
    "ahead_tokens",
    "budget_bytes",
    "checkpoint_interval_s",
    "choose_engine",
    "choose_for_call",
    "choose_for_sample",
    "choose_job_owner",
    "classify_refusal",
    "classify_run",
    "clock_correction_s",
    "connection_bounds",
    "connection_limit",
    "connection_wait_s",
    "consecutive_failures",
    "copy_holder",
    "count_fitting",
    "counted_run_s",
    "counting_groups",
    "decide_admission",
    "decide_owed_admission",
    "duration_s",
    "duty_order",
    "engine_counts",
    "engine_rank",
    "engines_preferred_by_others",
    "entries_to_ask",
    "entry_capacity",
    "fallback_entry_of",
    "faster_by_s",
    "fastest_engines",
    "fetch_sources",
    "fingers",
    "first_call_wait_s",
    "has_lost_store",
    "has_retention_expired",
    "history_retention_s",
    "instances_with_room",
    "is_copy_current",
    "is_fresh",
    "is_lost",
    "is_quarantined",
    "is_slow",
    "is_store_fresh",
    "may_end_late",
    "may_have_lapsed",
    "may_resend",
    "may_retry",
    "may_take_lease",
    "may_try_again",
    "median_expected_gap_s",
    "median_gap_s",
    "merge_paces",
    "neighbour_of",
    "next_write_s",
    "order_by_shares",
    "owner_candidates",
    "parse_policy",
    "prefer_idle_connection",
    "probe_interval_s",
    "recently_listed",
    "refusal_wait_s",
    "relay_for",
    "relays_of",
    "relays_to_ask",
    "relays_to_use",
    "remaining_tokens",
    "rendezvous_order",
    "report_delay_s",
    "restart_pause_s",
    "round_interval_s",
    "sample_pause_s",
    "share_weight",
    "should_checkpoint",
    "should_give_up",
    "should_give_up_sample",
    "should_load",
    "should_move",
    "should_read_list",
    "should_remove_listing",
    "should_reopen_link",
    "should_wait_for_faster",
    "slow_agents",
    "stable_hash",
    "stalled_holders",
    "start_order",
    "step_hold_s",
    "steps_to_evict",
    "stop_times",
    "stream_silence_s",
    "successor_of",
    "takeover_wait_s",
    "transfer_time_s",
    "try_time_s",
    "usable_priority",
    "watch_answer_time_s",
    "watch_hold_s",
    "wave_delay_s",
    "will_be_fresh",
]
