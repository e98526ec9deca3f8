"""Histories of a site of processes that tests of its retries play.

In each, upstreams fail from its start or a little later, and hosts, upstreams,
callers or the store are disturbed. Read next: `tests.retrying`.
"""

from __future__ import annotations

import contextlib
import functools
import random
import signal
import threading
import time
from collections.abc import Callable, Mapping, Sequence
from typing import Any, Final

import attrs

from tests import sites, stage
from tests.admission import sharing
from tests.fakes import partition

# Share of the requests that are reset.
RESET_SHARE: Final = 0.75
SOME_RESET_SHARE: Final = 0.4
FEW_RESET_SHARE: Final = 0.2

# Seconds for which upstreams have failed when hosts are disturbed.
BEFORE_S: Final = 9.0

# How late upstreams read requests, and for how long they do.
READ_DELAY_S: Final = 1.5
READ_LATE_S: Final = 4.0

# The same while callers leave meanwhile.
LATE_S: Final = 3.0
LEFT_S: Final = 3.0

# How long upstreams read nothing; and until hosts are killed meanwhile, and
# after that.
HELD_S: Final = 28.0
HELD_BEFORE_KILL_S: Final = 10.0
HELD_AFTER_KILL_S: Final = 10.0

# Bursts of callers: how many times as many, for how long, and after one; the
# same of short ones that follow each other.
BURST_FACTOR: Final = 5.0
BURST_S: Final = 10.0
AFTER_BURST_S: Final = 30.0
SHORT_BURST_S: Final = 3.0
BETWEEN_BURSTS_S: Final = 5.0
BURSTS: Final = 3

# How long each half of the upstreams stands still in turn, and neither does.
WAVE_S: Final = 5.0
BETWEEN_WAVES_S: Final = 1.0

# The same where hosts are killed soon, and have their whole part again before
# upstreams go on.
SOON_S: Final = 2.0
UNTIL_WHOLE_S: Final = 13.0

# Share of the requests that some upstreams read late, and how late at most; how
# often one that reads in turn reads one, in s.
LATE_SHARE: Final = 0.4
SOME_LATE_S: Final = 1.5
VERY_LATE_S: Final = 2.5
TURN_PERIOD_S: Final = 0.2

# Seconds for which hosts stand still, for short and long, and the time between
# two stops.
STOP_S: Final = 1.5
LONG_STOP_S: Final = 4.0
PERIOD_S: Final = 4.0
ROUNDS: Final = 3

# Time between two hosts that are stopped, killed or drained in turn.
TURN_S: Final = 2.0

# Time between two of many kills of all hosts, or of one, and how often.
KILL_PERIOD_S: Final = 3.0
KILLS: Final = 7

# Time from an end of a host's process until it is started again.
SUPERVISION_S: Final = 0.05

# Random signals: for how long, and the time between two, in s.
SIGNALS_S: Final = 24.0
SIGNAL_INTERVAL_S: Final = (0.1, 1.0)
RANDOM_STOP_S: Final = (0.3, 3.0)
MAX_SIGNALLED: Final = 4

# How long upstreams read nothing at random, in s.
RANDOM_HELD_S: Final = (2.0, 20.0)

# For how long hosts get and send no updates, in s.
MUTED_S: Final = 4.0

# How often each of the random disturbances is drawn.
WEIGHTS: Final[Mapping[str, int]] = {
    "hosts signalled": 6,
    "upstreams stopped": 4,
    "upstreams read nothing": 4,
    "store stopped": 1,
    "upstreams fail": 9,
}

# Faults that upstreams have at random, by name.
RANDOM_FAULTS: Final[Mapping[str, Sequence[Any]]] = {
    "reset_share": (0.0, RESET_SHARE, 1.0),
    "read_delay_s": (0.0, 0.0, READ_DELAY_S, LATE_S),
    "refuse": (False, False, True),
}


def set_faults(site: sites.Site, **faults: float) -> None:
    """Sets faults of all upstreams."""
    for name in site.entries:
        site.set_fault(name, faults)


def fail(site: sites.Site) -> None:
    """Has upstreams reset most requests, and hosts use up the budget."""
    set_faults(site, reset_share=RESET_SHARE)
    time.sleep(BEFORE_S)


def play_nothing(site: sites.Site) -> None:
    """Hosts are undisturbed."""
    fail(site)
    time.sleep(ROUNDS * PERIOD_S)


def play_read_late(site: sites.Site) -> None:
    """Upstreams read requests late at first, and at once later."""
    set_faults(site, reset_share=RESET_SHARE, read_delay_s=READ_DELAY_S)
    time.sleep(READ_LATE_S)
    set_faults(site, read_delay_s=0.0)
    time.sleep(sharing.WINDOW_S - READ_LATE_S)


def play_left_and_read_late(site: sites.Site) -> None:
    """Half of the upstreams read late, when callers have left; others fail."""
    names = sorted(site.entries)
    for name in names[::2]:
        site.set_fault(name, {"read_delay_s": LATE_S})
    for name in names[1::2]:
        site.set_fault(name, {"reset_share": 1.0})
    time.sleep(LEFT_S)
    set_faults(site, reset_share=RESET_SHARE, read_delay_s=0.0)
    time.sleep(sharing.WINDOW_S)


def play_upstreams_stop(site: sites.Site) -> None:
    """Half of the upstreams stand still, several times, and others fail."""
    names = sorted(site.entries)
    for name in names[1::2]:
        site.set_fault(name, {"reset_share": 1.0})
    stop_together(site, names[::2], LEFT_S)
    time.sleep(sharing.WINDOW_S - PERIOD_S)


def hold(site: sites.Site, names: Sequence[str], for_s: float) -> None:
    """Has upstreams read no request for a while."""
    for name in names:
        with contextlib.suppress(RuntimeError):
            # It may stand still.
            site.hold(name, for_s)


def hold_half(site: sites.Site, for_s: float, is_stopped: bool) -> list[str]:
    """Has half of the upstreams read nothing, and the others fail.

    Args:
        site: The site.
        for_s: For how long.
        is_stopped: Whether they are stopped; otherwise they answer probes.

    Returns:
        The former.
    """
    set_faults(site, reset_share=RESET_SHARE)
    names = sorted(site.entries)[::2]
    if not is_stopped:
        hold(site, names, for_s)
        return names
    for name in names:
        site.stage.processes[name].pause()
    return names


def release(site: sites.Site, names: Sequence[str]) -> None:
    """Has upstreams read again, which fail as well from then on."""
    for name in names:
        site.stage.processes[name].resume()
    time.sleep(sharing.WINDOW_S)


def play_held_for_long(site: sites.Site, is_stopped: bool = False) -> None:
    """Half of the upstreams read nothing for windows, and others fail."""
    end_s = time.monotonic() + HELD_S
    held = hold_half(site, HELD_S, is_stopped)
    time.sleep(end_s - time.monotonic())
    release(site, held)


def play_killed_while_held(
    site: sites.Site,
    is_stopped: bool = False,
    before_s: float = HELD_BEFORE_KILL_S,
    after_s: float = HELD_AFTER_KILL_S,
) -> None:
    """All hosts are killed while half of the upstreams read nothing.

    Args:
        site: The site.
        is_stopped: Whether they are stopped; otherwise they answer probes.
        before_s: How long they have read nothing by then.
        after_s: How long they read nothing after that.
    """
    end_s = time.monotonic() + before_s + after_s
    held = hold_half(site, before_s + after_s, is_stopped)
    time.sleep(before_s)
    restart_all(site)
    time.sleep(max(0.0, end_s - time.monotonic()))
    release(site, held)


def play_lapsed(site: sites.Site, play: Callable[[sites.Site], None]) -> None:
    """Upstreams that stand still are not listed after a while."""
    site.lapses = True
    play(site)


def play_stop_in_waves(site: sites.Site) -> None:
    """Each half of the upstreams stands still in turn, and others fail."""
    set_faults(site, reset_share=RESET_SHARE)
    names = sorted(site.entries)
    for number in range(2 * ROUNDS):
        stop_for(site, names[number % 2 :: 2], WAVE_S)
        time.sleep(BETWEEN_WAVES_S)
    time.sleep(sharing.WINDOW_S)


def play_faults(site: sites.Site, **faults: float) -> None:
    """All upstreams have the same faults for a while."""
    set_faults(site, **faults)
    time.sleep(ROUNDS * sharing.WINDOW_S)


def play_read_in_waves(site: sites.Site) -> None:
    """Each half of the upstreams reads nothing in turn, and answers probes."""
    set_faults(site, reset_share=RESET_SHARE)
    names = sorted(site.entries)
    for number in range(2 * ROUNDS):
        hold(site, names[number % 2 :: 2], WAVE_S)
        time.sleep(WAVE_S + BETWEEN_WAVES_S)
    time.sleep(sharing.WINDOW_S)


def mute(site: sites.Site, hosts: Sequence[str], for_s: float) -> None:
    """Loses all updates of some hosts for a while, and waits meanwhile."""
    for ip in hosts:
        site.partition(ip, partition.MUTE)
    time.sleep(for_s)
    for ip in hosts:
        site.partition(ip, "")


def play_muted_in_waves(site: sites.Site) -> None:
    """Half of the hosts, then the other half, get and send no updates."""
    fail(site)
    for number in range(2 * ROUNDS):
        mute(site, site.hosts[number % 2 :: 2], MUTED_S)
        time.sleep(BETWEEN_WAVES_S)
    time.sleep(sharing.WINDOW_S)


def play_all_muted(site: sites.Site) -> None:
    """All hosts get and send no updates, several times."""
    fail(site)
    for _ in range(ROUNDS):
        mute(site, site.hosts, MUTED_S)
        time.sleep(BETWEEN_WAVES_S)
    time.sleep(sharing.WINDOW_S)


def play_muted_while_killed(site: sites.Site) -> None:
    """Half of the hosts get no updates while the others are killed."""
    fail(site)
    for number in range(ROUNDS):
        muted = site.hosts[number % 2 :: 2]
        for ip in muted:
            site.partition(ip, partition.MUTE)
        for ip in [h for h in site.hosts if h not in muted]:
            restart_host(site, ip)
        mute(site, muted, MUTED_S)
        time.sleep(BETWEEN_WAVES_S)
    time.sleep(sharing.WINDOW_S)


def send_burst(site: sites.Site, for_s: float) -> None:
    """Has more callers send for a while."""
    site.load = BURST_FACTOR
    time.sleep(for_s)
    site.load = 1.0


def play_burst(site: sites.Site) -> None:
    """A burst of callers comes while upstreams fail, and ends before them."""
    set_faults(site, reset_share=RESET_SHARE)
    send_burst(site, BURST_S)
    time.sleep(AFTER_BURST_S)


def play_bursts(site: sites.Site) -> None:
    """Callers come in short bursts, and upstreams fail after the first one."""
    for number in range(BURSTS):
        send_burst(site, SHORT_BURST_S)
        time.sleep(BETWEEN_BURSTS_S)
        if not number:
            set_faults(site, reset_share=RESET_SHARE)
    time.sleep(sharing.WINDOW_S)


def play_fail_while_stopped(site: sites.Site) -> None:
    """All hosts stand still for long while upstreams begin to fail."""
    for ip in site.hosts:
        site.stage.processes[ip].pause()
    set_faults(site, reset_share=RESET_SHARE)
    time.sleep(LONG_STOP_S)
    for ip in site.hosts:
        site.stage.processes[ip].resume()
    time.sleep(sharing.WINDOW_S)


def stop_together(
    site: sites.Site, names: Sequence[str], seconds: float
) -> None:
    """Stops processes together, several times."""
    for _ in range(ROUNDS):
        stop_for(site, names, seconds)
        time.sleep(PERIOD_S)


def stop_for(site: sites.Site, names: Sequence[str], seconds: float) -> None:
    """Stops processes together for a while."""
    for name in names:
        site.stage.processes[name].pause()
    time.sleep(seconds)
    for name in names:
        site.stage.processes[name].resume()


def play_all_stop(site: sites.Site) -> None:
    """All hosts stand still at the same time."""
    fail(site)
    stop_together(site, site.hosts, STOP_S)


def play_half_stop(site: sites.Site) -> None:
    """Every second host stands still at the same time."""
    fail(site)
    stop_together(site, site.hosts[::2], STOP_S)


def play_stop_in_turn(site: sites.Site) -> None:
    """Hosts stand still, one after the other."""
    fail(site)
    for ip in site.hosts:
        stop_for(site, [ip], STOP_S)


def restart_host(site: sites.Site, ip: str) -> None:
    """Kills a host and starts it again at once."""
    site.stage.processes[ip].kill()
    site.hosts.remove(ip)
    sites.start_host(site, ip)


def restart_all(site: sites.Site) -> None:
    """Kills all hosts together and starts them again at once."""
    for ip in list(site.hosts):
        site.stage.processes[ip].popen.kill()
    for ip in list(site.hosts):
        restart_host(site, ip)


def kill_all(site: sites.Site, times: int, period_s: float) -> None:
    """Kills all hosts, several times, and starts them again at once."""
    fail(site)
    for _ in range(times):
        restart_all(site)
        time.sleep(period_s)


def play_all_killed(site: sites.Site) -> None:
    """All hosts are killed a few times."""
    kill_all(site, ROUNDS, PERIOD_S)


def play_all_killed_often(site: sites.Site) -> None:
    """All hosts are killed every few seconds."""
    kill_all(site, KILLS, KILL_PERIOD_S)


def play_killed_in_turn(site: sites.Site) -> None:
    """Hosts are killed one after the other, and start again at once."""
    fail(site)
    for ip in list(site.hosts):
        restart_host(site, ip)
        time.sleep(TURN_S)


@attrs.define
class Supervisor:
    """Starts hosts again whose processes have ended."""

    site: sites.Site
    threads: stage.CallerThreads = attrs.Factory(stage.CallerThreads)

    def start(self) -> None:
        """Begins to watch the hosts' processes."""
        self.threads.start(self._watch)

    def close(self) -> None:
        """Starts no more hosts."""
        self.threads.close()

    def _watch(self) -> None:
        while not self.threads.stopped.wait(SUPERVISION_S):
            for ip in list(self.site.hosts):
                if self.site.stage.processes[ip].popen.poll() is not None:
                    sites.start_host(self.site, ip)
                    self.site.hosts.remove(ip)


def play_start_unheard(site: sites.Site) -> None:
    """The first host starts again, and no update passes to it or from it."""
    fail(site)
    first = site.hosts[0]
    site.mutes.add(first)
    restart_host(site, first)
    time.sleep(2 * sharing.WINDOW_S)


def play_all_unheard(site: sites.Site) -> None:
    """All hosts start again, and no update passes between any two of them."""
    site.mutes.update(site.hosts)
    restart_all(site)
    time.sleep(sharing.WINDOW_S)
    fail(site)
    time.sleep(2 * sharing.WINDOW_S)


def play_down_for_long(site: sites.Site) -> None:
    """All hosts are down for more than a window, and start together."""
    fail(site)
    hosts = list(site.hosts)
    for ip in hosts:
        site.stage.processes[ip].kill()
    time.sleep(sharing.WINDOW_S + 1.0)
    for ip in hosts:
        site.hosts.remove(ip)
        sites.start_host(site, ip)
    time.sleep(sharing.WINDOW_S)


def play_hosts_leave(site: sites.Site) -> None:
    """Every second host leaves for windows, and they start again together."""
    fail(site)
    leaving = site.hosts[::2]
    for ip in leaving:
        site.stage.processes[ip].kill()
        site.hosts.remove(ip)
    time.sleep(2 * sharing.WINDOW_S)
    for ip in leaving:
        sites.start_host(site, ip)
    time.sleep(2 * sharing.WINDOW_S)


def play_random_signals(site: sites.Site) -> None:
    """Hosts are killed, stopped and terminated at random."""
    rng = random.Random(site.seed)
    supervisor = Supervisor(site)
    supervisor.start()
    fail(site)
    end_s = time.monotonic() + SIGNALS_S
    while time.monotonic() < end_s:
        count = rng.randint(1, MAX_SIGNALLED)
        for ip in rng.sample(sorted(site.hosts), count):
            send_random_signal(site.stage.processes[ip], rng)
        time.sleep(rng.uniform(*SIGNAL_INTERVAL_S))
    supervisor.close()


def play_all_at_random(site: sites.Site) -> None:
    """Hosts, upstreams and the store are disturbed at random, and overlap."""
    rng = random.Random(site.seed)
    supervisor = Supervisor(site)
    supervisor.start()
    names = sorted(site.entries)
    end_s = time.monotonic() + SIGNALS_S
    while time.monotonic() < end_s:
        (victims,) = rng.choices(list(WEIGHTS), list(WEIGHTS.values()))
        if victims == "hosts signalled":
            for ip in rng.sample(
                sorted(site.hosts), rng.randint(1, MAX_SIGNALLED)
            ):
                send_random_signal(site.stage.processes[ip], rng)
        elif victims == "store stopped":
            stop_for_a_while(site.stage.processes["store"], rng)
        elif victims == "upstreams read nothing":
            held = rng.sample(names, rng.randint(1, len(names) // 2))
            hold(site, held, rng.uniform(*RANDOM_HELD_S))
        elif victims == "upstreams stopped":
            for name in rng.sample(names, rng.randint(1, len(names))):
                stop_for_a_while(site.stage.processes[name], rng)
        else:
            faults = {k: rng.choice(v) for k, v in RANDOM_FAULTS.items()}
            for name in rng.sample(names, rng.randint(1, len(names))):
                with contextlib.suppress(RuntimeError):
                    # It may stand still.
                    site.set_fault(name, faults)
        time.sleep(rng.uniform(*SIGNAL_INTERVAL_S))
    time.sleep(RANDOM_STOP_S[1])
    supervisor.close()
    set_faults(site, reset_share=RESET_SHARE, read_delay_s=0.0, refuse=False)
    # All that was held up is read by then.
    time.sleep(RANDOM_HELD_S[1])


def send_random_signal(process: stage.Process, rng: random.Random) -> None:
    """Kills, terminates or stops a process, which goes on after a while."""
    if process.popen.poll() is not None:
        return
    kind = rng.choice((signal.SIGKILL, signal.SIGTERM, signal.SIGSTOP))
    if kind is signal.SIGSTOP:
        stop_for_a_while(process, rng)
    else:
        process.popen.send_signal(kind)


def stop_for_a_while(process: stage.Process, rng: random.Random) -> None:
    """Stops a process, which goes on after a while."""
    process.pause()
    timer = threading.Timer(rng.uniform(*RANDOM_STOP_S), process.resume)
    timer.daemon = True
    timer.start()


HISTORIES: Final[Mapping[str, Callable[[sites.Site], None]]] = {
    "nothing happens": play_nothing,
    "upstreams read late": play_read_late,
    "callers leave and upstreams read late": play_left_and_read_late,
    "upstreams stop": play_upstreams_stop,
    "upstreams stop for long": functools.partial(
        play_held_for_long, is_stopped=True
    ),
    "upstreams read nothing for long": play_held_for_long,
    "all hosts are killed while upstreams stop": functools.partial(
        play_killed_while_held, is_stopped=True
    ),
    "all hosts are killed while upstreams read nothing": (
        play_killed_while_held
    ),
    "all hosts are killed once upstreams read nothing": functools.partial(
        play_killed_while_held, before_s=SOON_S, after_s=UNTIL_WHOLE_S
    ),
    "upstreams stop until they are not listed": functools.partial(
        play_lapsed,
        play=functools.partial(play_held_for_long, is_stopped=True),
    ),
    "all hosts are killed while upstreams are not listed": functools.partial(
        play_lapsed,
        play=functools.partial(play_killed_while_held, is_stopped=True),
    ),
    "upstreams stop in waves": play_stop_in_waves,
    "upstreams stop in waves until they are not listed": functools.partial(
        play_lapsed, play=play_stop_in_waves
    ),
    "upstreams read some requests late": functools.partial(
        play_faults,
        reset_share=RESET_SHARE,
        late_share=LATE_SHARE,
        late_s=SOME_LATE_S,
    ),
    "upstreams read some requests very late": functools.partial(
        play_faults,
        reset_share=RESET_SHARE,
        late_share=LATE_SHARE,
        late_s=VERY_LATE_S,
    ),
    "few fail and upstreams read some late": functools.partial(
        play_faults,
        reset_share=FEW_RESET_SHARE,
        late_share=LATE_SHARE,
        late_s=1.0,
    ),
    "upstreams read in turn": functools.partial(
        play_faults, reset_share=RESET_SHARE, turn_s=TURN_PERIOD_S
    ),
    "upstreams read nothing in waves": play_read_in_waves,
    "upstreams break streams off": functools.partial(
        play_faults, break_after=4, break_share=RESET_SHARE
    ),
    "upstreams refuse most requests": functools.partial(
        play_faults, refuse_share=RESET_SHARE
    ),
    "upstreams refuse a few requests": functools.partial(
        play_faults, refuse_share=FEW_RESET_SHARE
    ),
    "upstreams read late and refuse most requests": functools.partial(
        play_faults,
        refuse_share=RESET_SHARE,
        late_share=LATE_SHARE,
        late_s=SOME_LATE_S,
    ),
    "upstreams misdirect most requests": functools.partial(
        play_faults, misdirect_share=RESET_SHARE
    ),
    "upstreams refuse, misdirect and reset requests": functools.partial(
        play_faults,
        refuse_share=0.4,
        misdirect_share=0.3,
        reset_share=0.3,
    ),
    "answers take up to 0.27 s and few fail": functools.partial(
        play_faults, work_s=0.27, reset_share=FEW_RESET_SHARE
    ),
    "answers take up to 0.42 s and some fail": functools.partial(
        play_faults, work_s=0.42, reset_share=SOME_RESET_SHARE
    ),
    "answers take up to 0.82 s and some fail": functools.partial(
        play_faults, work_s=0.82, reset_share=SOME_RESET_SHARE
    ),
    "answers take up to 2 s and some fail": functools.partial(
        play_faults, work_s=2.0, reset_share=SOME_RESET_SHARE
    ),
    "a burst of callers ends": play_burst,
    "callers come in bursts": play_bursts,
    "upstreams fail while all hosts stop": play_fail_while_stopped,
    "all hosts stop": play_all_stop,
    "every second host stops": play_half_stop,
    "hosts stop in turn": play_stop_in_turn,
    "all hosts are killed": play_all_killed,
    "hosts are killed in turn": play_killed_in_turn,
    "a host starts unheard": play_start_unheard,
    "all hosts start unheard": play_all_unheard,
    "all hosts are killed often": play_all_killed_often,
    "all hosts are down for long": play_down_for_long,
    "every second host leaves for long": play_hosts_leave,
    "half of the hosts lose updates in turn": play_muted_in_waves,
    "all hosts lose updates": play_all_muted,
    "half of the hosts lose updates and others are killed": (
        play_muted_while_killed
    ),
    "hosts get random signals": play_random_signals,
    "all at random": play_all_at_random,
}
