"""Formats the command line's output as text and tables."""

from __future__ import annotations

import datetime
from collections.abc import Iterable, Sequence

from egretspur.daemons import status as statuses
from egretspur.intents import desk
from egretspur.intents import state as states


def format_table(head: Sequence[str], rows: Iterable[Sequence[str]]) -> str:
    """Returns columns aligned to the left."""
    lines = [list(head), *(list(r) for r in rows)]
    widths = [max(len(line[i]) for line in lines) for i in range(len(head))]
    return "\n".join(
        "  ".join(
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in lines
    )


def format_plan(plan: desk.PlanView) -> str:
    """Returns a plan with its steps and findings."""
    found = plan.findings
    lines = [
        f"plan      {plan.id}: {plan.status}"
        + (f" ({plan.reason})" if plan.reason else ""),
        f"intent    {plan.intent}: {plan.model} for workspace {plan.workspace}",
        f"planned   by {plan.planned_by} at offset {plan.base_offset}",
    ]
    if plan.confirmed_offset:
        lines.append(
            f"confirmed by {plan.confirmed_by} at offset"
            f" {plan.confirmed_offset}"
        )
    if plan.active_offset:
        lines.append(f"in force  since offset {plan.active_offset}")
    if plan.pending:
        lines.append(f"loading   in {', '.join(plan.pending)}")
    share = (
        f", {found.after_tokens_per_s / found.bound_tokens_per_s:.0%} of the"
        " bound of its hosts"
        if found.bound_tokens_per_s
        else ""
    )
    lines += [
        f"tokens/s  {found.before_tokens_per_s:g} before,"
        f" {found.after_tokens_per_s:g} after{share}",
        f"loading   takes {found.load_s:g} s at the weight store's rate",
    ]
    lines += [f"worse     {text}" for text in found.worse]
    lines += [f"not met   {text}" for text in found.unmet]
    rows = [[str(s.order), s.data_centre, s.what] for s in plan.steps]
    if rows:
        lines += ["", format_table(["STEP", "DATA CENTRE", "WHAT"], rows)]
    if plan.status == states.PlanStatus.PROPOSED.value:
        lines += [
            "",
            f"Nothing has changed yet. `egretspur plan confirm {plan.id}`"
            f" or `egretspur plan reject {plan.id}`.",
        ]
    return "\n".join(lines)


def format_intents(intents: Sequence[desk.IntentView]) -> str:
    """Returns a line for each intent."""
    rows = []
    for view in intents:
        intent = view.intent
        last = view.plans[-1] if view.plans else None
        rows.append(
            [
                view.id,
                intent.workspace,
                _name_model(view),
                ",".join(intent.data_centres),
                str(intent.priority),
                str(intent.replicas),
                view.by,
                last.id if last else "-",
                last.status if last else "no plan",
            ]
        )
    return format_table(
        [
            "INTENT",
            "WORKSPACE",
            "MODEL",
            "DATA CENTRES",
            "PRIORITY",
            "REPLICAS",
            "BY",
            "PLAN",
            "STATUS",
        ],
        rows,
    )


def format_intent(view: desk.IntentView) -> str:
    """Returns an intent with all its plans."""
    parts = [format_intents([view])]
    parts += [format_plan(p) for p in view.plans]
    return "\n\n".join(parts)


def format_status(found: Sequence[statuses.Status]) -> str:
    """Returns the hosts, leases and open plans in the status of daemons."""
    rows = [
        [
            host.name,
            host.data_centre,
            str(host.offset),
            str(host.in_force),
            "yes" if host.log_reachable else "no",
        ]
        for status in found
        for host in status.hosts
    ]
    parts = [
        format_table(
            ["HOST", "DATA CENTRE", "OFFSET", "IN FORCE", "READS LOG"], rows
        )
    ]
    latest = max(found, key=lambda s: s.offset)
    leases = [[d, h] for d, h in latest.leases.items()]
    if leases:
        parts.append(format_table(["ORDERS FOR", "GIVEN BY"], leases))
    plans = [
        [p.id, p.workspace, p.model, p.status, ",".join(p.pending) or "-"]
        for p in latest.plans
    ]
    if plans:
        parts.append(
            format_table(
                ["OPEN PLAN", "WORKSPACE", "MODEL", "STATUS", "LOADING IN"],
                plans,
            )
        )
    parts += [f"{s.data_centre}: {s.warning}" for s in found if s.warning]
    return "\n\n".join(parts)


def format_history(lines: Sequence[states.HistoryEntry]) -> str:
    """Returns a table of intents, plans and their changes, with operators."""
    rows = [
        [
            str(line.offset),
            _format_time(line.at_ms),
            line.what,
            line.by,
            line.intent_id or "-",
            line.plan_id or "-",
            line.detail,
        ]
        for line in lines
    ]
    return format_table(
        ["OFFSET", "TIME", "WHAT", "BY", "INTENT", "PLAN", "DETAIL"], rows
    )


def _name_model(view: desk.IntentView) -> str:
    intent = view.intent
    name = f"{intent.model}:{intent.version}"
    return f"{name}+{intent.adapter}" if intent.adapter else name


def _format_time(at_ms: int) -> str:
    moment = datetime.datetime.fromtimestamp(at_ms / 1000, tz=datetime.UTC)
    return moment.strftime("%Y-%m-%d %H:%M:%S")


def format_quarantine(quarantined: Sequence[statuses.Quarantined]) -> str:
    """Returns a table of the quarantined requests."""
    if not quarantined:
        return "no request is in quarantine"
    rows = [[h.fingerprint, str(h.ended)] for h in quarantined]
    return format_table(["FINGERPRINT", "UPSTREAMS ENDED"], rows)
