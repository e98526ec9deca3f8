"""A host is killed while it passes on another host's streams; see claim.txt."""

from __future__ import annotations

import collections
import concurrent.futures
import pathlib
import re
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import rig  # noqa: E402

# The hosts of one data centre. The callers that are judged use the first; one
# of the others is killed.
IPS = ["127.0.0.31", "127.0.0.32", "127.0.0.33"]

# A stream of the pages: some 60 events, 100 ms apart.
EVENTS = 60
EVENT_GAP_S = 0.1

# Rounds of requests, and the time from one round to the next.
ROUNDS = 3
ROUND_REQUESTS = 16
ROUND_S = 0.8

# How long the engines' queues of new channels are full at a round's start.
QUEUE_FULL_S = 0.15
# Length of such a queue.
QUEUE_LENGTH = 1

FIELDS = {
    "Model": "m0",
    "Token-Usage": "760,180",
    "Prefix-Hash": "5c1e07a2:40,91bd3f06:720",
}


def make_events(request_id: str) -> list[bytes]:
    """Returns the events of the answer to a request."""
    return [
        f"id: {i}\ndata: text {i} of {request_id}\n\n".encode()
        for i in range(1, EVENTS + 1)
    ]


def make_handler(name: str) -> rig.Handler:
    """Returns an engine's handler of requests.

    It sends all events, in order, and then closes the channel: its answers
    have no length.
    """

    def serve(sock: rig.socket.socket, req: rig.Request) -> None:
        fields = {"Content-Type": "text/event-stream", "Connection": "close"}
        sock.sendall(rig.make_head("200 OK", fields, req, name))
        after = int(req.fields.get("last-event-id") or 0)
        for event in make_events(req.id)[after:]:
            sock.sendall(event)
            time.sleep(EVENT_GAP_S)

    return serve


def ask(
    site: rig.Site, caller: rig.Caller, request_id: str
) -> tuple[str, rig.Answer]:
    """Sends one request and returns its answer."""
    site.record.write(f"send {request_id}")
    body = b"note " + request_id.encode()
    answer = caller.ask("POST", "/notes/1", request_id, body, FIELDS)
    site.record.write(f"answer {request_id} {answer.describe()}")
    return request_id, answer


def fill_queues(site: rig.Site) -> None:
    """Lets no engine accept a channel."""
    site.record.write("the engines' queues of new channels fill up")
    for engine in site.replicas:
        engine.accepting.clear()


def empty_queues(site: rig.Site) -> None:
    """Lets all engines accept channels again."""
    for engine in site.replicas:
        engine.accepting.set()


def start(
    site: rig.Site,
) -> tuple[dict[str, rig.subprocess.Popen[str]], rig.Caller]:
    """Starts the site; returns the hosts, and a caller of the first."""
    site.start_store()
    site.replicas = [
        rig.Replica(
            name,
            "tailor-llm",
            site.record,
            make_handler(name),
            is_engine=True,
            backlog=QUEUE_LENGTH,
        )
        for name in ("i-a", "i-b", "i-c")
    ]
    route = {
        "name": "r-notes",
        "path_prefix": "/notes/",
        "route_kind": "streaming",
        "service": "tailor-llm",
        "resumable": True,
        "target_gap_ms": 200,
    }
    site.write("keyed.op", "config", rig.make_config([route]))
    site.start_beats()
    site.reserve_ports(IPS)
    hosts = {ip: site.start_host(ip, IPS) for ip in IPS}
    caller = hosts[IPS[0]][1]

    def has_path() -> bool:
        request_id = f"warm-{time.monotonic_ns()}"
        answer = caller.ask(
            "POST", "/notes/1", request_id, b"x", FIELDS, deadline_ms=1500
        )
        return answer.status == 200

    rig.wait_until(has_path, 30.0, "streams are served")
    time.sleep(1.0)
    return {ip: process for ip, (process, _) in hosts.items()}, caller


def find_helped(site: rig.Site) -> dict[str, str]:
    """Returns the hosts that pass on the first one's streams, by request."""
    return dict(
        re.findall(
            r'"request": "(note-[^"]+)", "upstream": "[^"]+",'
            r' "helper": "([^"]+)"',
            site.read_log(IPS[0]),
        )
    )


def play(site: rig.Site, has_trouble: bool) -> list[str]:
    """Plays the case; returns the broken rules."""
    hosts, caller = start(site)
    with concurrent.futures.ThreadPoolExecutor(ROUNDS * ROUND_REQUESTS) as pool:
        asked = []
        for number in range(ROUNDS):
            fill_queues(site)
            asked += [
                pool.submit(ask, site, caller, f"note-{number}-{i}")
                for i in range(ROUND_REQUESTS)
            ]
            time.sleep(QUEUE_FULL_S)
            empty_queues(site)
            time.sleep(ROUND_S - QUEUE_FULL_S)
        helped = find_helped(site)
        site.record.write(f"passed on by other hosts: {helped}")
        if not helped:
            raise rig.CannotRunError("no stream was passed on")
        killed = collections.Counter(helped.values()).most_common(1)[0][0]
        if has_trouble:
            site.record.write(f"SIGKILL of the host {killed}")
            hosts[killed].kill()
        answers = [f.result() for f in asked]
    return judge(answers)


def judge(answers: list[tuple[str, rig.Answer]]) -> list[str]:
    """Returns the streams that ended as complete and were not."""
    broken = []
    for request_id, answer in answers:
        whole = b"".join(make_events(request_id))
        if answer.is_success and answer.body != whole:
            events = answer.body.count(b"\n\n")
            broken.append(
                f"ORDER {request_id}: ended as complete after {events} of"
                f" {EVENTS} events"
            )
    return broken


if __name__ == "__main__":
    sys.exit(rig.run_case(FOLDER, play))
