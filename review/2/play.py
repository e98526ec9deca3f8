"""Replicas break off some of their answers in the head; see claim.txt."""

from __future__ import annotations

import collections
import concurrent.futures
import itertools
import pathlib
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import rig  # noqa: E402

HOST_IP = "127.0.0.41"

# The disturbance `garble` at its dose on the pages: half of the replicas break
# off one in fifty of their answers.
FAULTY_SHARE = 0.5
BROKEN_OFF_ONE_IN = 50

REPLICAS = 4
CALLERS = 6

# Longest time for which requests are sent.
MAX_LOAD_S = 45.0

# The answer of the pages: 800 bytes. Twelve events for a stream.
BODY = b"".join(b"measure %06d; " % i for i in range(50))
EVENTS = b"".join(b"id: %d\ndata: word %d\n\n" % (i, i) for i in range(1, 13))

# Header fields that tell where a body ends. A broken-off answer ends at each
# byte after their names in turn.
LENGTH = "Content-Length"
CODING = "Transfer-Encoding"

MODEL_FIELDS = {
    "Model": "m0",
    "Token-Usage": "760,180",
    "Prefix-Hash": "5c1e07a2:40,91bd3f06:720",
}


class Kind:
    """One kind of request, and the answer that replicas give to it."""

    def __init__(
        self,
        method: str,
        path: str,
        route_kind: str,
        framing: str,
        body: bytes,
    ) -> None:
        self.method = method
        self.path = path
        self.route_kind = route_kind
        self.framing = framing
        self.body = body
        self.is_stream = route_kind == "streaming"
        self.lock = threading.Lock()
        # Answers of faulty replicas, and those that were broken off, by the
        # bytes that were sent of them.
        self.faulty_answers = 0
        self.broken_off: dict[str, bytes] = {}
        self.cuts = self._list_cuts()
        self.next_cut = 0

    def _list_cuts(self) -> list[int]:
        """Returns how many bytes after the framing field's start to send."""
        value = str(len(self.body)) if self.framing == LENGTH else "chunked"
        line = f"{self.framing}: {value}\r\n"
        return list(range(len(self.framing), len(line) + 1))

    def make_answer(self, req: rig.Request, name: str) -> bytes:
        """Returns the whole answer to a request."""
        content = "text/event-stream" if self.is_stream else "text/plain"
        fields = {"Content-Type": content}
        body = self.body
        if self.framing == LENGTH:
            fields[LENGTH] = str(len(body))
        else:
            fields[CODING] = "chunked"
            body = b"%x\r\n%b\r\n0\r\n\r\n" % (len(body), body)
        return rig.make_head("200 OK", fields, req, name) + body

    def break_off(self, req: rig.Request, whole: bytes) -> bytes:
        """Returns what a faulty replica sends of an answer."""
        with self.lock:
            self.faulty_answers += 1
            if self.faulty_answers % BROKEN_OFF_ONE_IN:
                return whole
            if self.next_cut == len(self.cuts):
                return whole
            cut = self.cuts[self.next_cut]
            self.next_cut += 1
            sent = whole[: whole.index(self.framing.encode()) + cut]
            self.broken_off[req.id] = sent
            return sent

    def is_done(self) -> bool:
        """Returns whether an answer ended at each byte."""
        return self.next_cut == len(self.cuts)


KINDS = (
    Kind("GET", "/cards/", "idempotent", LENGTH, BODY),
    Kind("POST", "/orders/", "non_idempotent", CODING, BODY),
    Kind("POST", "/notes/", "streaming", CODING, EVENTS),
)


def find_kind(target: str) -> Kind:
    """Returns the kind of a request by its path."""
    return next(k for k in KINDS if target.startswith(k.path))


def make_handler(name: str, is_faulty: bool) -> rig.Handler:
    """Returns a replica's handler of requests."""

    def serve(sock: rig.socket.socket, req: rig.Request) -> None:
        kind = find_kind(req.target)
        answer = kind.make_answer(req, name)
        if is_faulty:
            answer = kind.break_off(req, answer)
        sock.sendall(answer)

    return serve


def start(site: rig.Site, has_trouble: bool) -> rig.Caller:
    """Starts the site."""
    site.start_store()
    for service in ("tailor-llm", "order-desk"):
        for i in range(REPLICAS):
            name = f"i-{service}-{i}"
            is_faulty = has_trouble and i < REPLICAS * FAULTY_SHARE
            site.replicas.append(
                rig.Replica(
                    name,
                    service,
                    site.record,
                    make_handler(name, is_faulty),
                    is_engine=service == "tailor-llm",
                )
            )
    routes = [
        {
            "name": f"r-{k.path.strip('/')}",
            "path_prefix": k.path,
            "route_kind": k.route_kind,
            "service": "tailor-llm" if k.is_stream else "order-desk",
            "max_attempts": 1 if k.route_kind == "non_idempotent" else 2,
            "resumable": k.is_stream,
            "target_gap_ms": 200,
        }
        for k in KINDS
    ]
    site.write("keyed.op", "config", rig.make_config(routes))
    site.start_beats()
    site.reserve_ports([HOST_IP])
    _, caller = site.start_host(HOST_IP, [HOST_IP])

    def has_path() -> bool:
        request_id = f"warm-{time.monotonic_ns()}"
        answer = caller.ask(
            "POST", "/notes/1", request_id, b"x", MODEL_FIELDS, deadline_ms=1500
        )
        return answer.status == 200

    rig.wait_until(has_path, 30.0, "streams are served")
    return caller


class Load:
    """Callers that send requests of each kind in turn."""

    def __init__(self, site: rig.Site, caller: rig.Caller) -> None:
        self._site = site
        self._caller = caller
        self._numbers = itertools.count()
        self.counts: collections.Counter[str] = collections.Counter()
        self.broken: list[str] = []

    def run(self, end_s: float, most: int) -> None:
        """Sends requests until each kind is done or the time is over."""
        while time.monotonic() < end_s:
            number = next(self._numbers)
            if number >= most or all(k.is_done() for k in KINDS):
                return
            self._ask(KINDS[number % len(KINDS)], number)

    def _ask(self, kind: Kind, number: int) -> None:
        request_id = f"{kind.path.strip('/')}-{number}"
        fields = MODEL_FIELDS if kind.is_stream else {}
        body = b"" if kind.method == "GET" else request_id.encode()
        self._site.record.write(f"send {request_id}")
        answer = self._caller.ask(
            kind.method, f"{kind.path}{number}", request_id, body, fields
        )
        self.counts[f"{kind.path} {answer.status}"] += 1
        self._site.record.write(f"answer {request_id} {answer.describe()}")
        sent = kind.broken_off.get(request_id)
        if sent is not None:
            self._site.record.write(
                f"broken off after {sent[-40:]!r}: {request_id}"
                f" {answer.describe()}"
            )
        if answer.is_success and answer.body != kind.body:
            self.broken.append(
                f"MIXED {request_id} ({kind.route_kind}): status"
                f" {answer.status} with signature"
                f" {answer.fields.get('replica-signature')!r} and a complete"
                f" body of {len(answer.body)} bytes; the replica's has"
                f" {len(kind.body)}"
            )


def play(site: rig.Site, has_trouble: bool) -> list[str]:
    """Plays the case; returns the broken rules."""
    caller = start(site, has_trouble)
    load = Load(site, caller)
    end_s = time.monotonic() + MAX_LOAD_S
    # Without the disruption no kind is ever done.
    most = 1_000_000 if has_trouble else 3000
    with concurrent.futures.ThreadPoolExecutor(CALLERS) as pool:
        for run in [pool.submit(load.run, end_s, most) for _ in range(CALLERS)]:
            run.result()
    site.record.write(f"answers to callers: {dict(load.counts)}")
    for kind in KINDS:
        site.record.write(
            f"{kind.path}: broken off {len(kind.broken_off)} of"
            f" {kind.faulty_answers} answers of faulty replicas"
        )
    if has_trouble and not any(k.broken_off for k in KINDS):
        raise rig.CannotRunError("no answer was broken off")
    return load.broken


if __name__ == "__main__":
    sys.exit(rig.run_case(FOLDER, play))
