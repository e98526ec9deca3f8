"""Open-loop load generator: arrivals do not wait for answers."""

from __future__ import annotations

import json
import random
import threading
import time
from collections.abc import Sequence
from typing import Any, Final

import attrs
from hdrh import histogram

from egretspur import transport
from tests import scene

# Range and precision of histograms: 10 us to 60 s with two digits.
LOWEST_US: Final = 10
HIGHEST_US: Final = 60_000_000
SIGNIFICANT_DIGITS: Final = 2


def make_histogram() -> Any:
    """Returns an empty histogram of microseconds."""
    return histogram.HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS)


@attrs.frozen
class Shape:
    """Rate, duration and mix of the requests."""

    # Requests per second of all workspaces together.
    rate: float
    seconds: float
    # Workspace names with their share of the arrivals.
    workspaces: tuple[tuple[str, float], ...]
    tokens: int


@attrs.define
class Sample:
    """Status and times of one request."""

    workspace: str
    # Scheduled send time in seconds since the start of the load.
    sent_s: float
    status: int = 0
    tokens: int = 0
    is_complete: bool = False
    first_s: float = 0.0
    end_s: float = 0.0


@attrs.define
class Result:
    """Samples of a run, with histograms of their times."""

    seconds: float
    samples: list[Sample] = attrs.Factory(list)
    first_token: Any = attrs.Factory(make_histogram)
    token_gap: Any = attrs.Factory(make_histogram)
    refusal: Any = attrs.Factory(make_histogram)
    lock: threading.Lock = attrs.Factory(threading.Lock)

    def get_first_ms(self, percent: float) -> float:
        """Returns a percentile of the time to the first token."""
        value: float = self.first_token.get_value_at_percentile(percent) / 1000
        return value

    def get_between_ms(self, percent: float) -> float:
        """Returns a percentile of the time between tokens."""
        value: float = self.token_gap.get_value_at_percentile(percent) / 1000
        return value

    def count_tokens(self, start_s: float, end_s: float) -> int:
        """Counts the tokens of complete answers that ended in a window."""
        return sum(
            s.tokens
            for s in self.samples
            if s.is_complete and start_s <= s.end_s < end_s
        )

    def count_refused(self) -> int:
        """Counts the requests with an error status, 400 or higher."""
        return sum(1 for s in self.samples if s.status >= 400)


def run_load(addresses: Sequence[str], shape: Shape, seed: int = 1) -> Result:
    """Sends the load and waits up to 60 s for each answer."""
    rng = random.Random(seed)
    result = Result(shape.seconds)
    conns = transport.Transport(2.0, 30.0)
    names = [w for w, _ in shape.workspaces]
    weights = [s for _, s in shape.workspaces]
    threads = []
    start = time.monotonic()
    due = 0.0
    while due < shape.seconds:
        due += rng.expovariate(shape.rate)
        pause = start + due - time.monotonic()
        if pause > 0:
            time.sleep(pause)
        sample = Sample(rng.choices(names, weights)[0], due)
        result.samples.append(sample)
        thread = threading.Thread(
            target=_send,
            args=(conns, rng.choice(addresses), shape, sample, result, start),
            daemon=True,
        )
        thread.start()
        threads.append(thread)
    for thread in threads:
        thread.join(60)
    conns.close()
    return result


def _send(
    conns: transport.Transport,
    address: str,
    shape: Shape,
    sample: Sample,
    result: Result,
    start: float,
) -> None:
    body = {
        "model": scene.MODEL,
        "prompt": f"order {sample.sent_s}",
        "max_tokens": shape.tokens,
        "stream": True,
    }
    sent = time.monotonic()
    res = conns.open(
        "POST",
        address,
        "/v1/completions",
        json.dumps(body).encode(),
        {"X-Workspace": sample.workspace},
    )
    if isinstance(res, transport.Failed):
        sample.status = 599
        return
    sample.status = res.status
    if res.status != 200:
        res.read()
        res.release_conn()
        with result.lock:
            result.refusal.record_value(_to_us(time.monotonic() - sent))
        return
    last = 0.0
    for line in scene.read_lines(res):
        now = time.monotonic()
        if line.startswith('data: {"id"'):
            sample.tokens += 1
            with result.lock:
                if last:
                    result.token_gap.record_value(_to_us(now - last))
                else:
                    sample.first_s = now - sent
                    result.first_token.record_value(_to_us(now - sent))
            last = now
        elif line == "data: [DONE]":
            sample.is_complete = True
            sample.tokens = shape.tokens
    sample.end_s = time.monotonic() - start
    res.release_conn()


def _to_us(seconds: float) -> int:
    return max(LOWEST_US, min(HIGHEST_US, int(seconds * 1e6)))
