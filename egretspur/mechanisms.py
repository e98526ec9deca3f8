"""Switches for the mechanisms by which a host decides; all are on in operation.

``egretspur-host --without NAME`` turns one off, to measure its benefit
(`bench.ablation`). Nothing else sets them: a host's decisions depend on what it
observes, never on where it runs.
"""

from __future__ import annotations

import argparse
from collections.abc import Sequence
from typing import Final

import attrs


@attrs.frozen
class Mechanisms:
    """One switch for each mechanism."""

    # Detects failed stages from streams that fall silent together; if off, by
    # the report of a path's first engine.
    silence: bool = True
    # Resumes in another data centre an answer that can't continue within its
    # own ones; if off, its tokens go there over the link between them.
    resuming: bool = True
    # Prefers a path without engines too slow for prompt answers to a path that
    # is nearer.
    prompt_first: bool = True
    # Moves layers from engines too slow for prompt answers to others.
    replacing_slow: bool = True
    # Corrects the hosts' count of used memory by the engines' own reports.
    excess: bool = True


ALL: Final = Mechanisms()

NAMES: Final = tuple(a.name for a in attrs.fields(Mechanisms))


def make(without: Sequence[str]) -> Mechanisms:
    """Returns all mechanisms except the named ones."""
    return attrs.evolve(ALL, **dict.fromkeys(without, False))


def add_argument(parser: argparse.ArgumentParser) -> None:
    """Adds the option that turns mechanisms off."""
    parser.add_argument(
        "--without",
        action="append",
        default=[],
        choices=NAMES,
        help="turn a mechanism off, to measure its benefit; may be repeated",
    )
