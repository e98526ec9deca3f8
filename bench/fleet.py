"""Compares policies of placement and admission on the model of engines.

``python -m bench.fleet`` prints the worth of each policy by load as JSON lines;
``--plot FILE`` draws it, ``--trials`` compares single decisions. ``--site FILE
--journal FOLDER`` simulates the standard days of a deployment's file, with
those of their faults that the model supports, prints each day's worth beside
that of the journal's newest score, and how well the model ranks the days.
"""

from __future__ import annotations

import argparse
import json
import pathlib
import sys
import tomllib
from collections.abc import Mapping, Sequence
from typing import Any, Final

from bench import figures, fleetplay
from egretspur.placement import ranges
from tests import fleets

# Requests per second by data centre, for the size of `fleets.DATA_CENTRES`.
RATES: Final = {"kl-hall": 9.3, "pg-hall": 11.2, "cj-hall": 11.4}

LOADS: Final = (0.75, 1.0, 1.25, 1.5, 2.0, 2.5, 3.0)
SEEDS: Final = (1, 2, 3)


def make_kv_policy(tokens: int) -> fleetplay.Policy:
    """Returns a policy with at least `tokens` of capacity on each layer."""
    levels = (
        float(tokens),
        *[n for n in ranges.KV_TOKENS_LEVELS if n < tokens],
    )
    return fleetplay.Policy(f"room {tokens // 1000}k", levels)


POLICIES: Final = (
    fleetplay.Policy("even split", is_even=True),
    make_kv_policy(24_000),
    make_kv_policy(36_000),
    make_kv_policy(60_000),
)

# The product's own decisions, then variants that change one of them each.
TRIALS: Final = (
    fleetplay.Policy("as it is"),
    fleetplay.Policy("resumed, never moved", is_rerouting=False),
    fleetplay.Policy("faster of two random paths", is_random=True),
    fleetplay.Policy("back after 0.7 s", retry_after_s=(0.7, 0.7)),
    fleetplay.Policy("back after 0.7 to 4 s", retry_after_s=(0.7, 4.0)),
)

# Two engines restart after a crash and one never does.
FAULTS: Final = (
    fleetplay.Fault("crash", 6.0, 4.0, "kl-hall"),
    fleetplay.Fault("crash", 15.0, 0.0, "cj-hall", is_permanent=True),
    fleetplay.Fault("crash", 24.0, 3.0),
)


def compare(
    loads: Sequence[float], policies: Sequence[fleetplay.Policy]
) -> dict[str, list[float]]:
    """Returns the mean worth of each policy at each load."""
    found: dict[str, list[float]] = {}
    for policy in policies:
        worths = []
        for load in loads:
            rates = {place: rate * load for place, rate in RATES.items()}
            outcomes = [
                fleetplay.Simulation(
                    fleets.SPEC,
                    fleets.DATA_CENTRES,
                    fleetplay.Day("load", rates, FAULTS, seed=seed),
                    policy,
                ).run()
                for seed in SEEDS
            ]
            worths.append(sum(o.worth for o in outcomes) / len(outcomes))
        found[policy.name] = worths
    return found


def emit(loads: Sequence[float], found: Mapping[str, Sequence[float]]) -> None:
    """Prints the comparison, the first policy as baseline."""
    baseline = next(iter(found))
    for name, worths in found.items():
        for load, worth, other in zip(
            loads, worths, found[baseline], strict=True
        ):
            figures.emit(
                figures.Figure(
                    f"model worth ({name}, load {load})",
                    worth,
                    "of what is owed",
                    baseline,
                    other,
                )
            )


def plot(
    path: pathlib.Path,
    loads: Sequence[float],
    found: Mapping[str, Sequence[float]],
) -> None:
    """Draws worth against load; matplotlib is a development dependency."""
    import matplotlib

    matplotlib.use("svg")
    # Set before drawing, so that the same figures give the same file.
    matplotlib.rcParams["svg.hashsalt"] = "egretspur"
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(7, 4))
    for name, worths in found.items():
        axes.plot(loads, worths, marker="o", label=name)
    axes.set_xlabel("load, in parts of a usual day's")
    axes.set_ylabel("worth earned of what is owed (model)")
    axes.set_title("Room left on every layer, three engines lost")
    axes.set_ylim(0, 1)
    axes.legend()
    figure.tight_layout()
    figure.savefig(path, metadata={"Date": None})


# Standard days of a deployment.

_KINDS: Final = {"srv_crash": "crash", "srv_slow": "slow", "scale_in": "leave"}


def read_day(site: Mapping[str, Any], day: Mapping[str, Any]) -> fleetplay.Day:
    """Returns a standard day with the faults that the model supports."""
    thin = float(site.get("thin", 1.0))
    rates = {}
    for row in day.get("traffic", site["traffic"]):
        mix = row["mix"]
        streams = sum(
            share
            for name, share in mix.items()
            if _find_class(site, name).get("kind") == "stream"
        )
        part = streams / sum(mix.values())
        rates[row["zone"]] = row["per_s"] * thin * part
    entries = [*day.get("faults", ()), *day.get("plan", ())]
    faults = [t for e in entries if (t := _read_fault(site, e))]
    return fleetplay.Day(
        day["name"], rates, tuple(faults), day.get("length_s", 34.0)
    )


def _find_class(site: Mapping[str, Any], name: str) -> Mapping[str, Any]:
    found: Mapping[str, Any] = next(
        c for c in site["classes"] if c["name"] == name
    )
    return found


def _read_fault(
    site: Mapping[str, Any], entry: Mapping[str, Any]
) -> fleetplay.Fault | None:
    engines = sum(
        s["count"]
        for service in site["services"]
        if service.get("model")
        for s in service["servers"]
    )
    if entry["kind"] == "burst":
        return fleetplay.Fault(
            "burst", entry["at"], entry.get("for_s", 5), factor=entry["x"]
        )
    kind = _KINDS.get(entry["kind"])
    if kind is None:
        return None
    count = entry.get("count") or round(entry.get("share", 0.1) * engines)
    return fleetplay.Fault(
        kind,
        entry["at"],
        entry.get("for_s", 5.0),
        entry.get("zone", ""),
        max(1, count),
        entry.get("x", 4.0),
        kind == "leave" or "gone" in entry.get("how", ""),
    )


def count_engines(site: Mapping[str, Any]) -> dict[str, dict[str, int]]:
    """Counts a deployment's engines by data centre and accelerator."""
    counts: dict[str, dict[str, int]] = {}
    for service in site["services"]:
        for row in service["servers"] if service.get("model") else ():
            kinds = counts.setdefault(row["zone"], {})
            kinds[row["kind"]] = kinds.get(row["kind"], 0) + row["count"]
    return counts


def read_measured(folder: pathlib.Path, site: str) -> dict[str, float]:
    """Returns the worth by day from the journal's newest score of a site."""
    for path in sorted(folder.glob("*.json"), reverse=True):
        entry = json.loads(path.read_text("utf-8"))
        if entry.get("cmd") == "score" and entry.get("site") == site:
            return {d["name"]: d["G"] for d in entry["days"]}
    return {}


def compare_days(path: pathlib.Path, journal: pathlib.Path) -> None:
    """Prints the modelled and the measured worth of a deployment's days."""
    site = tomllib.loads(path.read_text("utf-8"))
    measured = read_measured(journal, site["name"])
    counts = count_engines(site)
    pairs = []
    for entry in site["day"]:
        if entry["name"] not in measured:
            continue
        day = read_day(site, entry)
        worth = (
            fleetplay.Simulation(fleets.SPEC, counts, day, POLICIES[2])
            .run()
            .worth
        )
        pairs.append((worth, measured[entry["name"]]))
        figures.emit(
            figures.Figure(
                f"model worth ({site['name']}, {day.name})",
                worth,
                "of what is owed",
                "measured, less prices",
                measured[entry["name"]],
            )
        )
    if len(pairs) > 1:
        figures.emit(
            figures.Figure(
                "rank correlation", compute_rank_correlation(pairs), "of 1"
            )
        )
        # The model has no network cuts and no final loss of all hosts, so the
        # mean offset is subtracted from the error.
        offset = sum(m - w for w, m in pairs) / len(pairs)
        error = sum(abs(m - w - offset) for w, m in pairs) / len(pairs)
        figures.emit(figures.Figure("mean error beside offset", error, ""))
        figures.emit(figures.Figure("offset", offset, ""))


def compute_rank_correlation(pairs: Sequence[tuple[float, float]]) -> float:
    """Returns Spearman's rank correlation; ties keep the order of the pairs."""
    count = len(pairs)
    ranks = []
    for side in (0, 1):
        order = sorted(range(count), key=lambda i: pairs[i][side])
        ranks.append({index: rank for rank, index in enumerate(order)})
    squares = sum((ranks[0][i] - ranks[1][i]) ** 2 for i in range(count))
    return 1 - 6 * squares / (count * (count * count - 1))


def main(argv: Sequence[str] | None = None) -> int:
    """Runs the comparison that the arguments select."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--plot", type=pathlib.Path, help="SVG to draw")
    parser.add_argument("--site", type=pathlib.Path, help="deployment's file")
    parser.add_argument("--journal", type=pathlib.Path, help="folder of scores")
    parser.add_argument(
        "--trials", action="store_true", help="compare single decisions"
    )
    args = parser.parse_args(argv)
    if args.site:
        compare_days(args.site, args.journal or pathlib.Path("journal"))
        return 0
    found = compare(LOADS, TRIALS if args.trials else POLICIES)
    emit(LOADS, found)
    if args.plot:
        plot(args.plot, LOADS, found)
    return 0


if __name__ == "__main__":
    sys.exit(main())
