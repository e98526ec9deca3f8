"""A random series of configurations, and the answers that each allows."""

from __future__ import annotations

import random
from collections.abc import Mapping
from typing import Any, Final

import attrs

from tests import sites

# Plain services between which routes move.
SERVICES: Final = ("desk", "till")

# Routes of the first configuration; fewer are not removed.
FIRST_ROUTES: Final = 20

FIRST_KEYS: Final = ("key-1", "key-2", "key-3")

# Version of the first configuration, and how much later ones may add.
FIRST_VERSION: Final = 2
MAX_STEP: Final = 4

# Answers that show which configuration is in force, beside a service's.
NO_ROUTE: Final = "404"
NO_KEY: Final = "401"


@attrs.frozen
class Question:
    """A request for a route, with a key."""

    route: str
    key: str


@attrs.frozen
class Version:
    """A configuration."""

    number: int
    # Service of each route.
    routes: Mapping[str, str]
    keys: tuple[str, ...]
    # Shows whether this version is in force.
    question: Question

    def list_allowed(self, question: Question) -> set[str]:
        """Returns the answers to a request that this version allows."""
        allowed = set()
        service = self.routes.get(question.route)
        has_key = question.key in self.keys
        if service is None:
            allowed.add(NO_ROUTE)
        if not has_key:
            allowed.add(NO_KEY)
        if service is not None and has_key:
            allowed.add(service)
        return allowed

    def make_config(self) -> dict[str, Any]:
        """Returns it in the form that operators write."""
        cfg = sites.make_config(list(self.keys), self.number)
        pattern = cfg["routes"][1]
        cfg["services"] = [
            {"name": name, "health_path": "/healthz", "max_conns": 200}
            for name in SERVICES
        ]
        cfg["routes"] = [
            {**pattern, "name": r, "path_prefix": f"/{r}/", "service": service}
            for r, service in self.routes.items()
        ]
        return cfg


class Series:
    """Draws versions, each with one change."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._count = FIRST_ROUTES
        routes = {f"r{i}": SERVICES[i % 2] for i in range(FIRST_ROUTES)}
        self.newest = Version(
            FIRST_VERSION, routes, FIRST_KEYS, Question("r0", FIRST_KEYS[0])
        )

    def draw(self) -> Version:
        """Returns the next version."""
        change = self._rng.choice(
            (self._add, self._add, self._remove, self._move, self._change_keys)
        )
        routes = dict(self.newest.routes)
        keys = list(self.newest.keys)
        question = change(routes, keys)
        number = self.newest.number + self._rng.randint(1, MAX_STEP)
        self.newest = Version(number, routes, tuple(keys), question)
        return self.newest

    def _name(self) -> str:
        self._count += 1
        return f"r{self._count}"

    def _add(self, routes: dict[str, str], keys: list[str]) -> Question:
        route = self._name()
        routes[route] = self._rng.choice(SERVICES)
        return Question(route, FIRST_KEYS[0])

    def _remove(self, routes: dict[str, str], keys: list[str]) -> Question:
        if len(routes) <= FIRST_ROUTES:
            return self._add(routes, keys)
        route = self._rng.choice(list(routes)[1:])
        del routes[route]
        return Question(route, FIRST_KEYS[0])

    def _move(self, routes: dict[str, str], keys: list[str]) -> Question:
        route = self._rng.choice(list(routes)[1:])
        other = SERVICES.index(routes[route]) - 1
        routes[route] = SERVICES[other]
        return Question(route, FIRST_KEYS[0])

    def _change_keys(self, routes: dict[str, str], keys: list[str]) -> Question:
        if len(keys) > len(FIRST_KEYS) and self._rng.random() < 0.5:
            return Question("r0", keys.pop(self._rng.randrange(1, len(keys))))
        keys.append(f"key-of-{self._name()}")
        return Question("r0", keys[-1])
