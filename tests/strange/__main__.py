"""Plays one or more seeds and reports answers of older configurations.

``python -m tests.strange [--seed N] [--seeds N] [--seconds S] [--kinds A,B]``.
Prints a JSON line for each breach of the rule and for each play; the exit code
is 1 if there are breaches.
"""

from __future__ import annotations

import argparse
import collections
import datetime
import json
import math
import pathlib
import sys
from collections.abc import Sequence
from typing import Any

from tests.strange import judge, play, troubles


def get_worst(verdicts: Sequence[judge.Verdict]) -> dict[str, float]:
    """Returns the longest lateness of hosts in touch, by kind of trouble."""
    worst: collections.defaultdict[str, float] = collections.defaultdict(float)
    for verdict in verdicts:
        if verdict.is_in_touch:
            for kind in verdict.kinds or ("none",):
                worst[kind] = max(worst[kind], round(verdict.late_s, 2))
    return dict(sorted(worst.items()))


def count_in_touch(played: play.Play) -> int:
    """Returns how many answers hosts in touch gave."""
    by = judge.Judge(played.written, played.troubles)
    return sum(by.is_in_touch(a) for a in played.answers)


def describe(verdict: judge.Verdict, wall_s: float) -> dict[str, Any]:
    """Returns a verdict as a line of the report."""
    answer = verdict.answer
    at = datetime.datetime.fromtimestamp(wall_s + answer.sent_s)
    return {
        "host": answer.host,
        "boot": answer.boot,
        "sent": at.strftime("%H:%M:%S.%f")[:-3],
        "asked": f"{answer.question.route} {answer.question.key}",
        "got": answer.shown,
        "shown": verdict.shown,
        "late_s": round(verdict.late_s, 3),
        "regressed_from": verdict.regressed_from,
        "in_touch": verdict.is_in_touch,
        "kinds": verdict.kinds,
    }


def report(played: play.Play, verdicts: Sequence[judge.Verdict]) -> int:
    """Prints the breaches of one play, and its figures; counts the breaches."""
    breaches = [v for v in verdicts if v.is_breach]
    for verdict in breaches:
        print(json.dumps(describe(verdict, played.wall_s)))
    return len(breaches)


def write_trace(
    folder: pathlib.Path, played: play.Play, verdicts: Sequence[judge.Verdict]
) -> None:
    """Writes all that is needed to trace a case."""
    played.save_logs(folder)

    def get_time(at_s: float) -> str:
        if math.isinf(at_s):
            return "-"
        at = datetime.datetime.fromtimestamp(played.wall_s + at_s)
        return at.strftime("%H:%M:%S.%f")[:-3]

    lines = [
        f"{get_time(t.began_s)} to {get_time(t.ended_s)} {t.kind} {t.hosts}"
        for t in played.troubles
    ]
    lines += [
        f"{get_time(w.acked_s)} version {w.version.number} {w.version.question}"
        for w in played.written
    ]
    lines.sort()
    lines += [json.dumps(describe(v, played.wall_s)) for v in verdicts]
    (folder / "trace.txt").write_text("\n".join(lines), "utf-8")


def main() -> int:
    """Entry point."""
    parser = argparse.ArgumentParser(description="a stranger's play")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1, help="plays")
    parser.add_argument("--seconds", type=float, default=60.0)
    parser.add_argument("--kinds", default="", help="troubles to draw from")
    parser.add_argument("--tree", type=pathlib.Path, help="another checkout")
    parser.add_argument("--logs", type=pathlib.Path, help="folder for logs")
    parser.add_argument(
        "--pause",
        type=float,
        nargs=2,
        default=troubles.PAUSE_S,
        help="shortest and longest time between two troubles, in seconds",
    )
    args = parser.parse_args()
    breaches = 0
    for seed in range(args.seed, args.seed + args.seeds):
        kinds = [k for k in args.kinds.split(",") if k]
        played = play.Play(seed, kinds, args.tree, tuple(args.pause))
        try:
            verdicts = played.run(args.seconds)
            breaches += report(played, verdicts)
            if args.logs:
                write_trace(args.logs / str(seed), played, verdicts)
        finally:
            played.close()
        print(
            json.dumps(
                {
                    "seed": seed,
                    "answers": len(played.answers),
                    "in_touch": count_in_touch(played),
                    "versions": len(played.written),
                    "troubles": len(played.troubles),
                    "breaches": sum(v.is_breach for v in verdicts),
                    "worst_s": get_worst(verdicts),
                }
            ),
            flush=True,
        )
    return 1 if breaches else 0


if __name__ == "__main__":
    sys.exit(main())
