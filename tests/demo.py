"""The demo: an intent, a request, and a request whose stage is killed."""

from __future__ import annotations

import sys
from typing import Final

from tests import scene, stage
from tests.fakes import engine

PROMPT: Final = "measurements: chest 98, waist 84; write pattern notes"
TOKENS: Final = 120


def main() -> int:
    """Runs the demo; returns 0 if all checks passed."""
    play = scene.Scene()
    try:
        return run(play)
    finally:
        play.close()
        say("All processes are stopped.")


def run(play: scene.Scene) -> int:
    """Runs the demo on a scene."""
    say("Starting the platform's stand-ins: log, host list, weight store.")
    play.start_platform()
    say("Starting engines in two data centres, fast ones and slow ones.")
    for place in ("kl-hall", "pg-hall"):
        for rack in ("r1", "r2"):
            name = f"{place}-{rack}"
            play.start_engine(f"{name}-fast", place, "fast", 20, rack)
            play.start_engine(f"{name}-slow", place, "slow", 16, rack)
    say("Starting an entry host in each: a router and a control daemon.")
    play.start_entry("kl-1", "kl-hall")
    play.start_entry("pg-1", "pg-hall")
    wait_for_hosts(play)

    say("\nAn operator asks for the model in both data centres:")
    plan = play.make_intent(
        "kl-1", "grooms", ["kl-hall", "pg-hall"], replicas=2, operator="aisha"
    )
    print(play.run_cli("kl-1", "plan", "show", plan["id"])[1])
    say("The operator confirms.")
    play.run_cli("kl-1", "plan", "confirm", plan["id"], operator="aisha")
    active = play.wait_active("kl-1", plan["id"])
    say(f"In force in both routers at offset {active['active_offset']}.")

    expected = engine.make_text(PROMPT, scene.VERSION, TOKENS)
    say("\nA caller asks for an answer of 120 tokens at the first router.")
    answer = play.complete("kl-1-router", "grooms", PROMPT, TOKENS)
    ok = check("whole and in order", answer.whole and answer.text == expected)
    say(f"  pipeline: {answer.pipeline}")

    say("\nThe same again; a stage is killed in the middle of the answer.")
    res = play.open_completion("kl-1-router", "grooms", PROMPT, TOKENS)
    victim = res.headers["X-Pipeline"].split(":")[0]
    lines = scene.read_lines(res)
    early = [next(lines) for _ in range(40)]
    play.processes[victim].kill()
    say(f"  killed {victim} after {sum(1 for x in early if x)} tokens")
    answer = scene.read_answer(_Replay(res, early, lines))
    ok &= check(
        "still whole and in order", answer.whole and answer.text == expected
    )
    say(f"  went on over: {answer.pipeline}")

    say("\nWhat the next shift reads:")
    print(play.run_cli("pg-1", "history")[1])
    print(play.run_cli("pg-1", "status")[1])
    return 0 if ok else 1


def wait_for_hosts(play: scene.Scene) -> None:
    """Waits until the leases of both data centres are taken."""
    stage.wait_until(
        lambda: len(play.call("GET", "kl-1", "/v1/status")["leases"]) == 2,
        30,
        "leases in both data centres",
    )


class _Replay:
    """An open response, preceded by the lines already read from it."""

    def __init__(self, res: object, early: list[str], lines: object) -> None:
        self.status = 200
        self.headers = res.headers  # type: ignore[attr-defined]
        self._res = res
        self._chunks = iter([("\n".join(early) + "\n").encode()])
        self._lines = lines

    def read1(self, size: int) -> bytes:
        """Returns the next bytes."""
        for chunk in self._chunks:
            return chunk
        for line in self._lines:  # type: ignore[attr-defined]
            return (line + "\n").encode()  # type: ignore[no-any-return]
        return b""

    def release_conn(self) -> None:
        """Returns the connection to the pool."""
        self._res.release_conn()  # type: ignore[attr-defined]


def check(what: str, is_so: bool) -> bool:
    """Prints and returns the result of a check."""
    say(f"  {what}: {'yes' if is_so else 'NO'}")
    return is_so


def say(text: str) -> None:
    """Prints a line without buffering."""
    print(text, flush=True)


if __name__ == "__main__":
    sys.exit(main())
