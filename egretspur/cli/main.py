"""``egretspur``: the operators' command line.

Operators change the system by creating intents, confirming or rejecting plans,
and releasing quarantined requests. The other commands only read.
"""

from __future__ import annotations

import argparse
import getpass
import os
import pathlib
import sys
import tomllib
from collections.abc import Sequence
from typing import Any, Final

import orjson

from egretspur import codec, errors, settings, transport
from egretspur.cli import client as clients
from egretspur.cli import explain, tables
from egretspur.daemons import status as statuses
from egretspur.intents import desk
from egretspur.intents import state as states

EXIT_OK: Final = 0
EXIT_REFUSED: Final = 1
EXIT_USAGE: Final = 2
EXIT_UNKNOWN: Final = 3
EXIT_UNREACHABLE: Final = 4

_DESCRIPTION: Final = """\
Drives egretspur: create an intent, read the plan that answers it, confirm or
reject the plan. Nothing changes before a plan is confirmed.
"""

_EPILOG: Final = """\
exit codes:
  0  done
  1  refused; the message says why and what to do next
  2  wrong arguments, settings or intent file
  3  outcome unknown; look it up with `egretspur outcome ID`
  4  no control daemon, or the platform's log, can be reached

example:
  egretspur --control 10.0.0.1:7070 intent create tailor.toml
  egretspur plan show p-0123456789ab
  egretspur plan confirm p-0123456789ab

environment:
  EGRETSPUR_CONTROL   control daemons, IP:PORT separated by commas
  EGRETSPUR_OPERATOR  name written into the history
"""

_EXIT_BY_KIND: Final = {
    errors.ErrorKind.OUTCOME_UNKNOWN: EXIT_UNKNOWN,
    errors.ErrorKind.LOG_UNAVAILABLE: EXIT_UNREACHABLE,
}

_HINT_BY_KIND: Final = {
    errors.ErrorKind.CONFLICT: "Make a new plan: `egretspur plan make INTENT`.",
    errors.ErrorKind.WRONG_STATE: "See `egretspur plan show PLAN`.",
    errors.ErrorKind.LOG_UNAVAILABLE: (
        "Serving goes on; try again when the log is back."
    ),
}


def main(argv: Sequence[str] | None = None) -> int:
    """Entry point of ``egretspur``."""
    args = _make_parser().parse_args(argv)
    addresses = args.control or [
        a for a in os.environ.get("EGRETSPUR_CONTROL", "").split(",") if a
    ]
    client = clients.Client(addresses, args.operator)
    try:
        code: int = args.run(client, args)
        return code
    finally:
        client.close()


def _make_parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="egretspur",
        description=_DESCRIPTION,
        epilog=_EPILOG,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument(
        "--control",
        action="append",
        metavar="IP:PORT",
        help="a control daemon; repeat to name others to fall back to",
    )
    parser.add_argument(
        "--operator",
        default=os.environ.get("EGRETSPUR_OPERATOR") or getpass.getuser(),
        help="your name in the history (default: login name)",
    )
    parser.add_argument(
        "--json", action="store_true", help="print JSON for scripts"
    )
    commands = parser.add_subparsers(required=True, metavar="COMMAND")
    _add_intent(commands)
    _add_plan(commands)
    _add_quarantine(commands)
    _add_read_commands(commands)
    return parser


def _add_intent(commands: Any) -> None:
    intent = commands.add_parser("intent", help="create and read intents")
    verbs = intent.add_subparsers(required=True, metavar="VERB")
    create = verbs.add_parser(
        "create",
        help="record an intent and show its plan",
        description="Records the intent in FILE and shows its plan."
        " Keys: workspace, model, version, data_centres, priority, replicas;"
        " optional: adapter, limit, racks. replicas = 0 takes the workspace"
        " off the model.",
    )
    create.add_argument("file", type=pathlib.Path, help="intent in TOML")
    create.set_defaults(run=_create_intent)
    listing = verbs.add_parser("list", help="list all intents")
    listing.set_defaults(run=_list_intents)
    show = verbs.add_parser("show", help="show one intent and its plans")
    show.add_argument("intent")
    show.set_defaults(run=_show_intent)


def _add_plan(commands: Any) -> None:
    plan = commands.add_parser("plan", help="read and decide on plans")
    verbs = plan.add_subparsers(required=True, metavar="VERB")
    for verb, run, text in (
        ("show", _show_plan, "show a plan's steps and findings"),
        ("confirm", _confirm_plan, "let a plan be carried out"),
        (
            "reject",
            _reject_plan,
            "refuse a plan, or withdraw it while it loads",
        ),
    ):
        parser = verbs.add_parser(verb, help=text, description=text)
        parser.add_argument("plan")
        parser.set_defaults(run=run)
    make = verbs.add_parser("make", help="make a new plan for an intent")
    make.add_argument("intent")
    make.set_defaults(run=_make_plan)


def _add_quarantine(commands: Any) -> None:
    quarantine = commands.add_parser(
        "quarantine", help="requests that are sent to no upstream any more"
    )
    verbs = quarantine.add_subparsers(required=True, metavar="VERB")
    listing = verbs.add_parser(
        "list", help="list them, with how many upstreams ended under each"
    )
    listing.set_defaults(run=_list_quarantine)
    release = verbs.add_parser(
        "release", help="have a request sent again, once its cause is mended"
    )
    release.add_argument("fingerprint")
    release.set_defaults(run=_release)


def _add_read_commands(commands: Any) -> None:
    status = commands.add_parser(
        "status", help="hosts, offsets in force, open plans"
    )
    status.set_defaults(run=_show_status)
    history = commands.add_parser(
        "history", help="who asked, planned, confirmed; what was done"
    )
    history.add_argument("--limit", type=int, default=50, metavar="LINES")
    history.set_defaults(run=_show_history)
    outcome = commands.add_parser(
        "outcome", help="look up a command whose outcome was unknown"
    )
    outcome.add_argument("id")
    outcome.set_defaults(run=_show_outcome)
    dump = commands.add_parser("dump", help="full state of one process")
    dump.add_argument("address", metavar="IP:PORT")
    dump.set_defaults(run=_dump)
    explain_parser = commands.add_parser(
        "explain",
        help="tell the story of one request from logs",
        description="Reads JSON-lines logs of one or more hosts and prints, in"
        " order, what was decided for a request and how it ended. Lines that"
        " can't be read are counted and skipped.",
    )
    explain_parser.add_argument("request", help="the request's id")
    explain_parser.add_argument(
        "files",
        nargs="*",
        type=pathlib.Path,
        metavar="FILE",
        help="logs; standard input if there are none",
    )
    explain_parser.set_defaults(run=_explain)
    check = commands.add_parser("settings", help="check settings files")
    verbs = check.add_subparsers(required=True, metavar="VERB")
    verb = verbs.add_parser("check", help="report every mistake in FILE")
    verb.add_argument("file", type=pathlib.Path)
    verb.set_defaults(run=_check_settings)


def _explain(client: clients.Client, args: argparse.Namespace) -> int:
    texts: list[str] = []
    try:
        for path in args.files:
            texts += path.read_text("utf-8", "replace").splitlines()
    except OSError as exc:
        print(f"{exc.filename}: {exc.strerror}", file=sys.stderr)
        return EXIT_USAGE
    if not args.files:
        texts = sys.stdin.read().splitlines()
    trace = explain.trace_request(args.request, texts)
    print("\n".join(explain.format_trace(trace)))
    if trace.skipped:
        print(f"{trace.skipped} lines were skipped", file=sys.stderr)
    return EXIT_OK if trace.lines else EXIT_REFUSED


def _create_intent(client: clients.Client, args: argparse.Namespace) -> int:
    new = read_intent(args.file, args.operator)
    if isinstance(new, str):
        print(new, file=sys.stderr)
        return EXIT_USAGE
    return _show(
        client.post("/v1/intents", new, desk.PlanView),
        args,
        tables.format_plan,
    )


def _list_intents(client: clients.Client, args: argparse.Namespace) -> int:
    found = client.get("/v1/intents", list[desk.IntentView])
    return _show(found, args, tables.format_intents)


def _show_intent(client: clients.Client, args: argparse.Namespace) -> int:
    found = client.get("/v1/intents", list[desk.IntentView])
    if isinstance(found, list):
        chosen = [i for i in found if i.id == args.intent]
        if not chosen:
            return _print_problem(
                clients.Problem(
                    errors.ErrorKind.NOT_FOUND,
                    f"no intent {args.intent}; see `egretspur intent list`",
                )
            )
        return _show(chosen[0], args, tables.format_intent)
    return _print_problem(found)


def _show_plan(client: clients.Client, args: argparse.Namespace) -> int:
    found = client.get(f"/v1/plans/{args.plan}", desk.PlanView)
    return _show(found, args, tables.format_plan)


def _confirm_plan(client: clients.Client, args: argparse.Namespace) -> int:
    path = f"/v1/plans/{args.plan}/confirm"
    return _show(
        client.post(path, None, desk.PlanView), args, tables.format_plan
    )


def _reject_plan(client: clients.Client, args: argparse.Namespace) -> int:
    path = f"/v1/plans/{args.plan}/reject"
    return _show(
        client.post(path, None, desk.PlanView), args, tables.format_plan
    )


def _make_plan(client: clients.Client, args: argparse.Namespace) -> int:
    path = f"/v1/intents/{args.intent}/plan"
    return _show(
        client.post(path, None, desk.PlanView), args, tables.format_plan
    )


def _list_quarantine(client: clients.Client, args: argparse.Namespace) -> int:
    found = client.get("/v1/quarantine", list[statuses.Quarantined])
    return _show(found, args, tables.format_quarantine)


def _release(client: clients.Client, args: argparse.Namespace) -> int:
    path = f"/v1/quarantine/{args.fingerprint}/release"
    found = client.post(path, None, statuses.Quarantined)
    if isinstance(found, clients.Problem):
        return _print_problem(found)
    return _show([found], args, tables.format_quarantine)


def _show_status(client: clients.Client, args: argparse.Namespace) -> int:
    first = client.get("/v1/status", statuses.Status)
    if isinstance(first, clients.Problem):
        return _print_problem(first)
    found = [first]
    for data_centre, addresses in sorted(first.remote.items()):
        found.append(_ask_remote(client, data_centre, addresses))
    return _show(found, args, tables.format_status)


def _ask_remote(
    client: clients.Client, data_centre: str, addresses: Sequence[str]
) -> statuses.Status:
    for address in addresses:
        res = client.get_from(address, "/v1/status", statuses.Status)
        if isinstance(res, statuses.Status):
            return res
    return statuses.Status(
        data_centre, "", 0, (), {}, (), "no control daemon answers", {}
    )


def _show_history(client: clients.Client, args: argparse.Namespace) -> int:
    found = client.get(
        f"/v1/history?limit={args.limit}", list[states.HistoryEntry]
    )
    return _show(found, args, tables.format_history)


def _show_outcome(client: clients.Client, args: argparse.Namespace) -> int:
    found = client.get(f"/v1/records/{args.id}", dict[str, Any])
    if isinstance(found, clients.Problem):
        return _print_problem(found)
    if args.json:
        print(orjson.dumps(found).decode())
    elif found["in_log"]:
        print(f"{args.id} took effect at offset {found['offset']}")
    else:
        print(f"{args.id} is not in the log, as far as this daemon can read")
    return EXIT_OK


def _dump(client: clients.Client, args: argparse.Namespace) -> int:
    conns = transport.Transport(1.0, 10.0)
    res = conns.call("GET", args.address, "/state")
    conns.close()
    if isinstance(res, transport.Failed):
        return _print_problem(
            clients.Problem(errors.ErrorKind.LOG_UNAVAILABLE, res.reason)
        )
    data = codec.load_json(res.body)
    print(orjson.dumps(data, option=orjson.OPT_INDENT_2).decode())
    return EXIT_OK


def _check_settings(client: clients.Client, args: argparse.Namespace) -> int:
    """Checks a settings file against the schema of the daemon it is for."""
    cls: type[Any] = settings.ControlSettings
    try:
        data = tomllib.loads(args.file.read_text(encoding="utf-8"))
    except (OSError, tomllib.TOMLDecodeError, UnicodeDecodeError):
        data = {}
    if "platform" not in data and ("control" in data or "log" in data):
        cls = settings.RouterSettings
    found = settings.load_settings(args.file, cls)
    if isinstance(found, list):
        for mistake in found:
            print(mistake, file=sys.stderr)
        return EXIT_USAGE
    print(f"{args.file}: good as {cls.__name__}")
    return EXIT_OK


def read_intent(path: pathlib.Path, operator: str) -> desk.NewIntent | str:
    """Returns the intent in a file, or what is wrong with the file."""
    try:
        data = tomllib.loads(path.read_text(encoding="utf-8"))
    except (OSError, tomllib.TOMLDecodeError, UnicodeDecodeError) as exc:
        return f"{path}: {exc}"
    if "by" in data:
        return f"{path}: by: is set by --operator, not in the file"
    checker = settings.Checker(str(path))
    new = checker.check_table("", {**data, "by": operator}, desk.NewIntent)
    if checker.mistakes:
        return "\n".join(str(m) for m in checker.mistakes)
    problem = desk.validate_intent(new)
    return f"{path}: {problem}" if problem else new


def _show(found: Any, args: argparse.Namespace, form: Any) -> int:
    if isinstance(found, clients.Problem):
        return _print_problem(found)
    if args.json:
        print(codec.dump(found).decode())
    else:
        print(form(found))
    return EXIT_OK


def _print_problem(problem: clients.Problem) -> int:
    print(f"egretspur: {problem.message}", file=sys.stderr)
    if problem.outcome_id:
        print(
            f"Look it up with `egretspur outcome {problem.outcome_id}`.",
            file=sys.stderr,
        )
    hint = _HINT_BY_KIND.get(problem.kind)
    if hint:
        print(hint, file=sys.stderr)
    return _EXIT_BY_KIND.get(problem.kind, EXIT_REFUSED)


if __name__ == "__main__":
    sys.exit(main())
