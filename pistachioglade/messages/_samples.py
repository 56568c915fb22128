"""Messages for steps and samples."""

from __future__ import annotations

import attrs


@attrs.frozen
class Group:
    """Samples that share a prompt."""

    # Prompt text.
    prompt: str
    # Number of samples to generate from the prompt.
    sample_count: int


@attrs.frozen
class VersionSpan:
    """Consecutive tokens that one weight version generated."""

    # Weight version that the engine reported for the tokens.
    version: int
    # Number of tokens.
    token_count: int


@attrs.frozen
class Receipt:
    """A trainer's acknowledgement of one sample, given once."""

    # Index of the sample in its step.
    index: int
    # Id of the copy that the trainer used.
    copy_id: str
    # Weight versions of that copy, in token order.
    spans: tuple[VersionSpan, ...]
    # Newest published version minus oldest version in the sample, at the receipt.
    staleness_versions: int
    # Time from the opening of the step to the receipt, in seconds.
    lateness_s: float
    # Node id of the agent that generated the sample.
    agent: str


@attrs.frozen
class OpenStep:
    """Open a step at its owner; idempotent for a trainer and step number."""

    # Name of the trainer.
    trainer: str
    # Number of the step.
    step: int
    # Prompts with their sample counts; sample indices run through the groups in order.
    groups: tuple[Group, ...]
    # Maximum number of tokens in one sample.
    max_tokens: int
    # Newest weight version that the trainer has published.
    newest_version: int
    # Receipts of the samples that the trainer has, when it reopens the step.
    receipts: tuple[Receipt, ...] = ()
    # Time since the trainer first opened the step, in seconds.
    age_s: float = 0.0
    # Node id of the lease holder that the entry could not reach; empty for none.
    unreachable_owner: str = ""
    # W3C trace context.
    traceparent: str = ""
    # Id that distinguishes a client from an earlier one with the same checkpoint.
    client_id: str = ""


@attrs.frozen
class StepOpened:
    """The answer to :class:`OpenStep`: the step is open at this owner."""

    # Node id of the owner.
    owner: str
    # Fencing token under which the owner acts.
    fence: int
    # Number of samples of the step.
    sample_count: int


@attrs.frozen
class OwnerIs:
    """Redirection to the node that owns the trainer's steps."""

    # Node id of the owner.
    owner: str


@attrs.frozen
class Sample:
    """One finished sample."""

    # Index of the sample in its step.
    index: int
    # Unique id of this copy, made of agent, incarnation and a serial number.
    copy_id: str
    # Generated text.
    text: str
    # Weight versions that generated the text, in token order.
    spans: tuple[VersionSpan, ...]
    # Node id of the agent that generated the sample.
    agent: str
    # Name of the engine that generated the sample.
    engine: str
    # Score from the scorer; None if no scorer is declared.
    score: float | None = None
    # Tokens per second from the first token to the last; 0 if unknown.
    tokens_per_s: float = 0.0

    @property
    def oldest_version(self) -> int:
        """The oldest weight version that generated a token of the sample."""
        return min(span.version for span in self.spans)

    @property
    def token_count(self) -> int:
        """The number of tokens of the sample."""
        return sum(span.token_count for span in self.spans)


@attrs.frozen
class FetchSamples:
    """Ask the owner of a step for samples that the trainer lacks."""

    # Name of the trainer.
    trainer: str
    # Number of the step.
    step: int
    # Receipts since the last answered fetch.
    receipts: tuple[Receipt, ...]
    # Indices of samples that the trainer rejected as too stale.
    rejected: tuple[int, ...]
    # Newest weight version that the trainer has published.
    newest_version: int
    # Maximum number of samples in the answer.
    max_samples: int
    # Time to wait for the first sample, in seconds.
    wait_s: float
    # Id of the client that opened the step last.
    client_id: str = ""


@attrs.frozen
class SampleBatch:
    """The samples that are ready and that the trainer lacks."""

    # Number of the step.
    step: int
    # The samples.
    samples: tuple[Sample, ...]
    # Number of samples of the step without a receipt.
    missing_count: int
    # Whether all receipts of the owner are stored in the object API.
    is_recorded: bool = False


@attrs.frozen
class AgentLoad:
    """The load of an agent's engines, reported with each answer."""

    # Number of rollout slots over all engines of the agent.
    slots: int
    # Number of running rollouts.
    running: int
    # Number of rollouts in the agent's queue.
    queued: int


@attrs.frozen
class Generate:
    """Generate one sample; attach if the same sample is already being generated."""

    # Name of the trainer.
    trainer: str
    # Name of the model whose weights are to be used.
    model: str
    # Number of the step.
    step: int
    # Index of the sample in its step.
    index: int
    # Prompt text.
    prompt: str
    # Maximum number of tokens.
    max_tokens: int
    # Seed of the sampler.
    seed: int
    # Fencing token of the owner.
    fence: int
    # Oldest weight version with which the sample may start.
    min_version: int
    # W3C trace context.
    traceparent: str = ""


@attrs.frozen
class Generated:
    """The answer to :class:`Generate`."""

    # The finished sample; None if the agent refused the request.
    sample: Sample | None
    # Load of the agent at the time of the answer.
    load: AgentLoad
    # Tokens lost to preemption by calls since the agent's last answer to any owner.
    preempted_tokens: int = 0


@attrs.frozen
class CancelGenerate:
    """Cancel the generation of a sample that is no longer needed."""

    # Name of the trainer.
    trainer: str
    # Number of the step.
    step: int
    # Index of the sample; -1 for all samples of the step.
    index: int
    # Fencing token of the owner.
    fence: int
