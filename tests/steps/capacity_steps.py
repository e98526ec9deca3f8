"""Steps on the capacity page and its file."""

from __future__ import annotations

import difflib
import re
from typing import Any

import attrs
from behave import then, when

from bench import fits, page, target


@when("the page is rendered from the committed file")
def step_render(context: Any) -> None:
    context.page = page.render(page.read_slopes(page.FILE))


@then("it equals the committed page")
def step_equal(context: Any) -> None:
    committed = page.PAGE.read_text(encoding="utf-8").splitlines()
    rendered = context.page.splitlines()
    diff = list(difflib.unified_diff(committed, rendered, n=0))
    assert not diff, "\n".join(diff)


@when("the committed file is read")
def step_read(context: Any) -> None:
    context.slopes = page.read_slopes(page.FILE)


@then(
    "every slope has at least {count:d} sizes, its units, its fit and its"
    " residual"
)
def step_complete(context: Any, count: int) -> None:
    for slope in context.slopes.values():
        assert len({x for x, _ in slope.points}) >= count, slope
        assert slope.size_unit and slope.value_unit, slope
        fit = fits.fit_line(slope.points)
        for ours, again in (
            (slope.slope, fit.slope),
            (slope.intercept, fit.intercept),
            (slope.residual, fit.residual),
        ):
            largest = max(abs(ours), abs(again), 1e-12)
            assert abs(ours - again) / largest < 1e-3, slope


@then("every slope that the page names is in the file")
def step_named(context: Any) -> None:
    text = page.PAGE.read_text(encoding="utf-8")
    names = set(re.findall(r"`([a-z0-9_]+_[a-z0-9_]+)`", text))
    assert names and names <= set(context.slopes), names


@when('a line is fitted through "{points}"')
def step_fit(context: Any, points: str) -> None:
    pairs = [p.split(":") for p in points.split()]
    context.fit = fits.fit_line([(float(x), float(y)) for x, y in pairs])


@then(
    "its slope is {slope:g}, its intercept {intercept:g} and its residual"
    " {residual:g}"
)
def step_fitted(
    context: Any, slope: float, intercept: float, residual: float
) -> None:
    assert abs(context.fit.slope - slope) < 1e-9
    assert abs(context.fit.intercept - intercept) < 1e-9
    assert abs(context.fit.residual - residual) < 1e-9


@when('the slope "{name}" is doubled')
def step_double(context: Any, name: str) -> None:
    context.before = page.read_slopes(page.FILE)
    context.after = dict(context.before)
    old = context.before[name]
    context.after[name] = attrs.evolve(old, slope=old.slope * 2)


@then("the cores for events double and the memory of control stays")
def step_doubled(context: Any) -> None:
    sizes = target.Sizes()
    before, after = (
        target.compute_relay_cores(s, sizes)
        for s in (context.before, context.after)
    )
    assert abs(after - 2 * before) < 1e-9
    assert target.compute_control_memory(
        context.before, sizes
    ) == target.compute_control_memory(context.after, sizes)
