"""Request memory (key-value cache) of requests and engines: pure.

An engine that runs out of request memory evicts the newest request in the
middle of its answer and later processes its prompt again. A request admitted
beyond the memory therefore delays another request's answer besides its own.
"""

from __future__ import annotations

from typing import Final

from egretspur.catalog import config, upstreams

# Fraction of the expected answer that is reserved in addition to the prompt.
# Running requests are at different points of their answers, on average halfway.
RESERVED_ANSWER_FRACTION: Final = 0.6

# Fraction of an engine's request memory that is allocated; the rest is for
# answers longer than expected.
USABLE_FRACTION: Final = 0.92


def estimate_tokens(
    prompt: int, max_answer: int, expected_answer: int, mean_answer: int
) -> float:
    """Returns the tokens to reserve on each layer.

    Args:
        prompt: Tokens of the prompt.
        max_answer: Maximum tokens of the answer.
        expected_answer: The caller's estimate of the answer; 0 if none.
        mean_answer: Mean answer of the service.
    """
    answer = (
        min(expected_answer or mean_answer, max_answer)
        if max_answer
        else mean_answer
    )
    return prompt + RESERVED_ANSWER_FRACTION * answer


def compute_capacity(
    spec: config.EngineSpec, entry: upstreams.Upstream
) -> float:
    """Returns an engine's request memory, in tokens times layers."""
    kind = spec.accelerators.get(entry.accelerator)
    if kind is None or entry.layers is None:
        return 0.0
    left = kind.memory_bytes - entry.layers.count * spec.layer_bytes
    return max(0.0, left / spec.token_layer_bytes)
