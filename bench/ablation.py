"""Compares results with each mechanism and without it.

``python -m bench.ablation`` simulates the engine model, with and without lost
engines, for the mechanisms that the model has, and prints JSON lines. ``--site
FILE... --day NAME... --seed N...`` instead prints the commands that run the
same comparison on the users' bench, each in a copy of the tree whose deploy
file starts hosts without that mechanism. Read next: `egretspur.mechanisms`.
"""

from __future__ import annotations

import argparse
import shlex
import sys
from collections.abc import Iterator, Sequence
from typing import Final

from bench import figures, fleet, fleetplay
from egretspur import mechanisms

# Mechanisms that the model has; it simulates no silent streams and no reports.
MODELLED: Final = ("resuming", "prompt_first")

LOADS: Final = (1.0, 1.5, 2.0)

_DEPLOY: Final = "deploy/system.toml"
_PROGRAM: Final = "egretspur.daemons.host"


def play_model() -> None:
    """Prints the earned share without each of the modelled mechanisms."""
    policies = [fleetplay.Policy("all")]
    for name in MODELLED:
        using = mechanisms.make([name])
        policies.append(fleetplay.Policy(f"without {name}", using=using))
    found = fleet.compare(LOADS, policies)
    for policy, worths in found.items():
        for load, worth, baseline in zip(
            LOADS, worths, found["all"], strict=True
        ):
            figures.emit(
                figures.Figure(
                    f"model worth ({policy}, load {load})",
                    worth,
                    "of what is owed",
                    "all",
                    baseline,
                )
            )


def make_commands(
    sites: Sequence[str], days: Sequence[str], seeds: Sequence[int]
) -> Iterator[str]:
    """Yields shell lines that run days on the bench without each mechanism."""
    for name in ("", *mechanisms.NAMES):
        folder = shlex.quote(f"ablation/{name or 'all'}")
        yield f"git worktree add --detach {folder}"
        if name:
            change = f"s/{_PROGRAM}/& --without {name}/"
            yield f"sed -i {shlex.quote(change)} {folder}/{_DEPLOY}"
        for site in sites:
            for day in days:
                for seed in seeds:
                    why = shlex.quote(f"ablation: without {name or 'nothing'}")
                    yield (
                        f"(cd {folder} && fleetbench run {shlex.quote(site)}"
                        f" {shlex.quote(day)} --seed {seed} --why {why})"
                    )


def main(argv: Sequence[str] | None = None) -> int:
    """Entry point."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--site", nargs="+", default=[])
    parser.add_argument("--day", nargs="+", default=["trouble-1"])
    parser.add_argument("--seed", nargs="+", type=int, default=[1, 2])
    args = parser.parse_args(argv)
    if not args.site:
        play_model()
        return 0
    for line in make_commands(args.site, args.day, args.seed):
        print(line)
    return 0


if __name__ == "__main__":
    sys.exit(main())
