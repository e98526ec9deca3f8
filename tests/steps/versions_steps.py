"""Steps on how a host puts a configuration in force."""

from __future__ import annotations

import contextlib
from typing import Any, Final
from unittest import mock

import pykka
from behave import given, then, when

from egretspur import web
from egretspur.daemons import host
from egretspur.delivery import intake
from egretspur.platform import node
from egretspur.routing import desk
from tests import fleets, sites
from tests.steps import platform_steps

# What applies a configuration, by the part's name.
PARTS: Final = {
    "broker": (desk.Desk, "configure"),
    "intake": (intake.Intake, "configure"),
    "server": (web.Server, "set_limits"),
}


class FailedPartError(Exception):
    """A part of a host that failed on request."""


def reserve(context: Any) -> str:
    """Returns an address at which nobody else listens in the scenario."""
    port, reserved = sites.reserve_port((sites.SHARED_IP,))
    for sock in reserved:
        context.add_cleanup(sock.close)
    return f"{sites.SHARED_IP}:{port}"


@given(
    'a host process\'s parts, of which "{name}" fails to apply version'
    " {version:d} once"
)
def step_failing(context: Any, name: str, version: int) -> None:
    ports = {n: reserve(context) for n in (*sites.LISTENING, "store")}
    settings = {
        **platform_steps.SETTINGS,
        "ip": sites.SHARED_IP,
        "listen": {n: ports[n] for n in sites.LISTENING},
        "platform": {"address": ports["store"]},
    }
    context.host = host.Host(node.decode_settings(settings))
    # No thread of it runs: the steps are what calls it.
    context.add_cleanup(pykka.ActorRegistry.stop_all)
    context.applied = {}
    for part, (kind, method) in PARTS.items():
        effects = [FailedPartError, None] if part == name else None
        patch = mock.patch.object(kind, method, side_effect=effects)
        context.applied[part] = patch.start()
        context.add_cleanup(patch.stop)


@when("version {version:d} is read")
@when("version {version:d} is read again")
def step_read(context: Any, version: int) -> None:
    # The feed logs the failure and reads the topic again.
    with contextlib.suppress(FailedPartError):
        context.host.configure(fleets.make_config(version))


@then("version {version:d} is not in force, and the host is behind")
def step_behind(context: Any, version: int) -> None:
    status = context.host.get_version_status()
    assert status.version < version == status.newest, status


@then("each part has applied version {version:d}, and it is in force")
def step_applied(context: Any, version: int) -> None:
    status = context.host.get_version_status()
    assert status.version == version == status.newest, status
    for part, applied in context.applied.items():
        # The last call is the one that did not fail.
        failed = applied.side_effect is not None
        assert applied.call_count >= 1 + failed, (part, applied.mock_calls)
