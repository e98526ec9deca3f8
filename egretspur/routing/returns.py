"""When callers refused for an upstream's limit are told to come back: pure.

They are told one after the other, in the order in which they were refused, at
the pace at which this host may send. Were all told the same, they would come
back together, and all but the first would be refused once more. Read next:
`egretspur.admission.throttle`.
"""

from __future__ import annotations

from typing import Final

from egretspur.admission import throttle

# Longest time that a caller is told to wait, in seconds; a limit may be lifted
# long before its turn would come.
LONGEST_S: Final = 10.0


class Returns:
    """Callers of one host that were told to come back."""

    def __init__(self) -> None:
        """Makes a state in which nobody was."""
        # Until when the turns of each service are promised; monotonic time.
        self._promised_s: dict[str, float] = {}

    def promise(
        self,
        service: str,
        opening: throttle.Opening,
        waiting: int,
        now_s: float,
    ) -> float:
        """Returns the seconds after which one more caller may come back.

        Args:
            service: What it asked for.
            opening: When the service's upstreams take more.
            waiting: Requests that wait for that here.
            now_s: Monotonic time.
        """
        first_s = now_s + opening.estimate_wait_s(waiting)
        at_s = max(first_s, self._promised_s.get(service, first_s))
        longest_s = now_s + LONGEST_S
        self._promised_s[service] = min(at_s + 1.0 / opening.per_s, longest_s)
        return min(at_s, longest_s) - now_s
