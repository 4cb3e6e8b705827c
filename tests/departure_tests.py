"""Departures of upstreams that a node acknowledges, around restarts of that node and of all nodes, on the interface of
the users' platform.

Usage: departure_tests.py SOURCE_DIR BINARY. The stand-ins of the platform are those of departure_stand_ins.py.
"""

import os
import signal
import sys
import tempfile
import threading
import time

from departure_stand_ins import bench

HOST = "hulo84.example"
DRAIN_S = 2.5  # a request reaches no upstream later than that after the acknowledgement
ORDERS = 12


class Play:
    """Two machines of one service; the upstream of the first one is about to leave, and the test sends its heartbeats."""

    def __init__(self, record):
        self.fleet = bench.Fleet(record)
        self.first = self.fleet.add("bekalan", zone="ipoh")
        self.second = self.fleet.add("bekalan", zone="penang")
        self.fleet.configure("r3", {"r-1": bench.route(HOST, "/xapu221/", "bekalan", kind="unsafe")})
        self.fleet.start()
        time.sleep(1.5)
        self.upstream = self.first.backend
        self.upstream.beats.set()
        self.upstream.beat(self.control())

    def control(self):
        return self.first.listen["control"]

    def restart(self):
        self.first.kill()
        time.sleep(0.3)
        self.first.start(bootstrap=False)
        self.first.wait_ready()
        time.sleep(1.5)  # peers return what the node has forgotten within this time

    def restart_all(self, first_signal=signal.SIGKILL, store=None):
        """Ends all nodes at the same time and starts them again. `store`: state of the store meanwhile."""
        self.first.signal(first_signal)
        self.second.kill()
        self.first.child.wait()
        self.fleet.store.state = store
        for it in self.fleet.machines:
            it.start(bootstrap=False)
        self.fleet.store.state = None
        for it in self.fleet.machines:
            it.wait_ready()

    def late_beats(self, count=2):
        """Heartbeats that the upstream sent while it was ready, and that are held up on the way."""
        return [self.upstream.beat_body() for _ in range(count)]

    def orders_at_the_upstream(self):
        """Orders, of callers at both machines, that reach the upstream of the first machine."""
        before = len(self.upstream.runs)
        for i in range(ORDERS):
            client = bench.Client([self.first, self.second][i % 2])
            client.request("POST", HOST, "/xapu221/order", b"wire 3 mm", 5000)
            client.close()
        return len(self.upstream.runs) - before


def expect(ok, text):
    return [] if ok else [text]


def orders_after_late_beats(play, late):
    for it in late:
        play.upstream.beat(play.control(), it)
    time.sleep(0.5)
    return expect(not play.orders_at_the_upstream(), "orders reached an upstream that has left or is draining")


def departure_after_restart(play):
    play.restart()
    late = play.late_beats()
    problems = expect(play.upstream.leave(play.control()) == 200, "not acknowledged")
    time.sleep(DRAIN_S)
    return problems + orders_after_late_beats(play, late)


def departure_before_restart(play, leave=lambda play: play.upstream.leave(play.control())):
    late = play.late_beats()
    problems = expect(leave(play) == 200, "not acknowledged")
    time.sleep(DRAIN_S)
    play.restart()
    return problems + orders_after_late_beats(play, late)


def drain(play):
    play.upstream.state = "draining"
    return play.upstream.beat(play.control())


def draining_before_restart(play):
    return departure_before_restart(play, drain)


def departure_while_the_peers_are_away(play):
    play.second.kill()
    time.sleep(0.3)
    late = play.late_beats()
    problems = expect(play.upstream.leave(play.control()) == 200, "not acknowledged")
    time.sleep(DRAIN_S)
    play.second.start(bootstrap=False)
    play.second.wait_ready()
    time.sleep(3)  # the first machine finds the second one again and tells it within this time
    play.restart()
    return problems + orders_after_late_beats(play, late)


def killed_at_the_acknowledgement(play, leave=lambda play: play.upstream.leave(play.control())):
    late = play.late_beats()
    problems = expect(leave(play) == 200, "not acknowledged")
    play.restart()
    time.sleep(DRAIN_S)
    return problems + orders_after_late_beats(play, late)


def killed_when_told_of_draining(play):
    return killed_at_the_acknowledgement(play, drain)


def end_of_all_nodes(play, leave=lambda play: play.upstream.leave(play.control()), first_signal=signal.SIGKILL):
    late = play.late_beats()
    problems = expect(leave(play) == 200, "not acknowledged")
    play.restart_all(first_signal)
    problems += orders_after_late_beats(play, late)
    time.sleep(DRAIN_S)
    return problems + expect(not play.orders_at_the_upstream(), "orders reached it some seconds after the restart")


def end_of_all_nodes_after_draining(play):
    return end_of_all_nodes(play, drain)


def end_of_all_nodes_one_of_them_planned(play):
    return end_of_all_nodes(play, first_signal=signal.SIGTERM)


def end_of_all_nodes_after_a_lost_answer_of_the_store(play):
    play.fleet.store.lost_answers = 1
    return end_of_all_nodes(play)


def departure_while_the_store_is_away(play):
    late = play.late_beats()
    play.fleet.store.state = "refuses"
    problems = expect(play.upstream.leave(play.control()) != 200, "acknowledged though it isn't kept")
    problems += expect(not play.orders_at_the_upstream(), "orders reached an upstream that said that it leaves")
    play.fleet.store.state = None
    time.sleep(4)  # the node tries again within this time
    problems += expect(play.upstream.leave(play.control()) == 200, "not acknowledged with the store back")
    play.restart_all()
    return problems + orders_after_late_beats(play, late)


def restart_while_the_store_is_away(play):
    """A sound upstream gets work again, and one that leaves gets none."""
    play.fleet.store.state = "silent"
    play.first.kill()
    play.first.start(bootstrap=False)
    play.first.wait_ready()
    for _ in range(8):
        play.upstream.beat(play.control())
        time.sleep(0.5)
    problems = expect(play.orders_at_the_upstream(), "a sound upstream gets no orders")
    drain(play)
    time.sleep(0.5)
    problems += expect(not play.orders_at_the_upstream(), "orders reached an upstream that says that it is draining")
    play.fleet.store.state = None
    return problems


def departure_before_a_restart_without_the_store(play):
    """The store holds the departure but is away when the node starts again; the peer returns it."""
    late = play.late_beats()
    problems = expect(play.upstream.leave(play.control()) == 200, "not acknowledged")
    time.sleep(bench.CONTACT_S)  # the peer has run for a while when the node starts again
    play.fleet.store.state = "silent"
    play.restart()
    problems += orders_after_late_beats(play, late)
    play.fleet.store.state = None
    return problems


def late_departure_of_an_earlier_start(play):
    upstream = play.upstream
    earlier = upstream.born
    upstream.born += 1000
    upstream.sequence = 0
    upstream.beat(play.control())
    play.upstream.post(play.control(), f"/v1/Instances.Deregister/{upstream.id}", {"born": earlier})
    time.sleep(0.5)
    return expect(play.orders_at_the_upstream(), "the departure of an earlier start has retired the next one")


def run(case, problems):
    with tempfile.TemporaryDirectory() as folder:
        play = Play(bench.Record(os.path.join(folder, "record.txt")))
        try:
            problems += [f"{case.__name__}: {it}" for it in case(play)]
        except Exception as error:  # the case could not be played
            problems.append(f"{case.__name__}: {type(error).__name__}: {error}")
        finally:
            play.fleet.stop()


def main():
    problems = []
    threads = [threading.Thread(target=run, args=(case, problems)) for case in (
        departure_after_restart, departure_before_restart, draining_before_restart,
        departure_while_the_peers_are_away, killed_at_the_acknowledgement, killed_when_told_of_draining,
        end_of_all_nodes, end_of_all_nodes_after_draining, end_of_all_nodes_one_of_them_planned,
        end_of_all_nodes_after_a_lost_answer_of_the_store, departure_while_the_store_is_away,
        restart_while_the_store_is_away, departure_before_a_restart_without_the_store, late_departure_of_an_earlier_start)]
    for it in threads:
        it.start()
    for it in threads:
        it.join()
    for it in problems:
        print(it, file=sys.stderr)
    sys.stderr.flush()
    os._exit(1 if problems else 0)  # without waiting for the stand-ins' threads


main()
