"""Messages of steps and samples."""

from __future__ import annotations

import attrs


@attrs.frozen
class Group:
    """Samples that share one prompt."""

    # Prompt text.
    prompt: str
    # How many samples to make of it.
    sample_count: int


@attrs.frozen
class VersionSpan:
    """A run of tokens that one weight version produced."""

    # Weight version that the engine named with the tokens.
    version: int
    # How many tokens.
    token_count: int


@attrs.frozen
class Receipt:
    """What a trainer says of a sample that it took, once."""

    # Index of the sample in its step.
    index: int
    # Which copy was taken.
    copy_id: str
    # Weight versions of that copy.
    spans: tuple[VersionSpan, ...]
    # Newest version minus oldest version in the sample, when it was taken.
    staleness_versions: int
    # Time from the opening of the step to the taking.
    lateness_s: float
    # Node id of the agent that made it.
    agent: str


@attrs.frozen
class OpenStep:
    """Open a step at its owner; idempotent for a trainer and step number."""

    # Name of the trainer.
    trainer: str
    # Number of the step.
    step: int
    # Prompts with their counts; a sample's index counts through them in order.
    groups: tuple[Group, ...]
    # Most tokens in one sample.
    max_tokens: int
    # Newest weight version that the trainer has published.
    newest_version: int
    # Samples that the trainer has already, when it opens the step again.
    receipts: tuple[Receipt, ...] = ()
    # Time since the trainer first opened the step.
    age_s: float = 0.0
    # Lease holder that the entry could not reach; empty for none.
    unreachable_owner: str = ""
    # W3C trace context.
    traceparent: str = ""
    # Tells a client from the one that went before it with the same checkpoint.
    client_id: str = ""


@attrs.frozen
class StepOpened:
    """The step is open at this owner."""

    # Node id of the owner.
    owner: str
    # Fencing number under which the owner acts.
    fence: int
    # How many samples the step has.
    sample_count: int


@attrs.frozen
class OwnerIs:
    """Another node owns the trainer's steps; ask there."""

    # Node id of the owner.
    owner: str


@attrs.frozen
class Sample:
    """One finished sample."""

    # Index of the sample in its step.
    index: int
    # Unique id of this copy: agent, incarnation and a serial number.
    copy_id: str
    # Generated text.
    text: str
    # Versions that produced it, in token order.
    spans: tuple[VersionSpan, ...]
    # Node id of the agent that made it.
    agent: str
    # Engine that made it.
    engine: str
    # Score that the scorer gave; None where no scorer is declared.
    score: float | None = None
    # Speed from the first token to the last; 0 where it is not known.
    tokens_per_s: float = 0.0

    @property
    def oldest_version(self) -> int:
        """The oldest version that produced a token of this sample."""
        return min(span.version for span in self.spans)

    @property
    def token_count(self) -> int:
        """How many tokens the sample has."""
        return sum(span.token_count for span in self.spans)


@attrs.frozen
class FetchSamples:
    """Ask the owner of a step for samples that the trainer lacks."""

    # Name of the trainer.
    trainer: str
    # Number of the step.
    step: int
    # Samples taken since the last answered fetch.
    receipts: tuple[Receipt, ...]
    # Indices that the trainer got but threw away as too stale.
    rejected: tuple[int, ...]
    # Newest weight version that the trainer has published.
    newest_version: int
    # Most samples in the answer.
    max_samples: int
    # How long to wait for the first sample.
    wait_s: float
    # Client that opened the step last.
    client_id: str = ""


@attrs.frozen
class SampleBatch:
    """Samples that the trainer lacks, as many as are ready."""

    # Number of the step.
    step: int
    # The samples.
    samples: tuple[Sample, ...]
    # How many samples of the step are not receipted yet.
    missing_count: int
    # Whether every receipt that the owner has is in the object API.
    is_recorded: bool = False


@attrs.frozen
class AgentLoad:
    """What an agent says of its engines with every answer."""

    # Rollout slots over all engines of the agent.
    slots: int
    # Rollouts that run now.
    running: int
    # Rollouts that wait in the agent's queue.
    queued: int


@attrs.frozen
class Generate:
    """Make one sample; attaches where the same sample is already being made."""

    # Name of the trainer.
    trainer: str
    # Model whose weights are to be used.
    model: str
    # Number of the step.
    step: int
    # Index of the sample in its step.
    index: int
    # Prompt text.
    prompt: str
    # Most tokens.
    max_tokens: int
    # Seed of the sampler.
    seed: int
    # Fencing number of the owner.
    fence: int
    # Oldest version that the sample may start with.
    min_version: int
    # W3C trace context.
    traceparent: str = ""


@attrs.frozen
class Generated:
    """The answer to :class:`Generate`."""

    # The finished sample; None if it was refused.
    sample: Sample | None
    # Load of the agent at the time of the answer.
    load: AgentLoad
    # Tokens lost to calls at the agent since its last answer to anyone.
    preempted_tokens: int = 0


@attrs.frozen
class CancelGenerate:
    """Stop making a sample that nobody waits for."""

    # Name of the trainer.
    trainer: str
    # Number of the step.
    step: int
    # Index of the sample; -1 for every sample of the step.
    index: int
    # Fencing number of the owner.
    fence: int
