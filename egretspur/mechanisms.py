"""Which mechanisms of its decisions a host uses; all of them in operation.

Each can be left out by ``egretspur-host --without NAME``, to measure what it is
worth (`bench.ablation`). Nothing else sets them: what a host decides by depends
on what it observes, never on where it runs.
"""

from __future__ import annotations

import argparse
from collections.abc import Sequence
from typing import Final

import attrs


@attrs.frozen
class Mechanisms:
    """One switch a mechanism."""

    # Dead stages are found from streams that fall silent together; else by the
    # report of a path's first engine.
    silence: bool = True
    # What can't go on within its data centres is resumed in another; else its
    # tokens go there over the pipe.
    resuming: bool = True
    # A path without engines too slow for prompt answers goes before a near one.
    prompt_first: bool = True
    # Layers of engines too slow for prompt answers are given to others.
    replacing_slow: bool = True
    # Engines' own words on their memory correct what the hosts count.
    excess: bool = True


ALL: Final = Mechanisms()

NAMES: Final = tuple(a.name for a in attrs.fields(Mechanisms))


def make(without: Sequence[str]) -> Mechanisms:
    """Returns all mechanisms but some."""
    return attrs.evolve(ALL, **dict.fromkeys(without, False))


def add_argument(parser: argparse.ArgumentParser) -> None:
    """Adds the option that leaves mechanisms out."""
    parser.add_argument(
        "--without",
        action="append",
        default=[],
        choices=NAMES,
        help="leave a mechanism out, to measure its worth; may be repeated",
    )
