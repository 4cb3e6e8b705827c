"""Soak of departures on the interface of the users' platform: upstreams come and leave, their heartbeats are held up,
and nodes are killed, stopped and paused, one or all at once, while the store fails now and then. Faults overlap.

Usage: departure_soak.py SOURCE_DIR BINARY FIRST_SEED COUNT SECONDS

Checked: no order reaches an upstream later than `drain` after its departure was acknowledged, and when the faults have
ended, every departure is acknowledged and every upstream that is ready gets orders.
"""

import os
import random
import signal
import sys
import tempfile
import threading
import time

from departure_stand_ins import bench

HOST = "hulo84.example"
PATH = "/xapu221/"
MACHINES = 4
CLIENTS = 4
DRAIN_S = 2.5  # a request reaches no upstream later than that after the acknowledgement
BEAT_S = 0.5  # between heartbeats; shorter than on the platform, so that more happens in a run
MAX_BEAT_DELAY_S = 2.5  # of a heartbeat that is held up
RECOVERY_S = 15  # as the platform allows after a fault


class Departure:
    """One process of an upstream that leaves."""

    def __init__(self, upstream):
        self.instance = upstream.id
        self.acknowledged_at = None
        self.ended_at = None

    def forbids(self, instance, at):
        is_acknowledged = self.acknowledged_at is not None and at > self.acknowledged_at + DRAIN_S
        return instance == self.instance and is_acknowledged and (self.ended_at is None or at < self.ended_at)


class Upstream:
    """The processes at the address of one machine, one after the other."""

    def __init__(self, machine, seed):
        self.machine = machine
        self.random = random.Random(seed)
        self.backend = machine.backend
        self.control = machine.listen["control"]
        self.departures = []
        self.runs = []  # (instance, time)
        self.backend.respond = self.respond
        self.is_quiet = False  # no more departures
        self.is_stopped = False
        self.thread = threading.Thread(target=self.live, daemon=True)

    def respond(self, backend, sock, head, body, number):
        self.runs.append((backend.id, time.monotonic()))
        backend.plain(sock, head, body, number)

    def live(self):
        while not self.is_stopped:
            self.serve(self.random.uniform(1.5, 6))
            if not self.is_stopped and not self.is_quiet:
                self.leave()
                self.begin()

    def serve(self, seconds):
        end = time.monotonic() + seconds
        while time.monotonic() < end and not self.is_stopped:
            self.backend.beat(self.control)
            time.sleep(BEAT_S)

    def leave(self):
        """Leaves, with heartbeats of the time before on their way, and goes on serving for a while."""
        departure = Departure(self.backend)
        self.departures.append(departure)
        for _ in range(self.random.randrange(1, 4)):
            self.hold_up(self.backend.beat_body())
        is_draining = self.random.random() < 0.5
        if is_draining:
            self.backend.state = "draining"
        end = time.monotonic() + self.random.uniform(4, 9)
        while time.monotonic() < end and not self.is_stopped:
            if is_draining:
                status = self.backend.beat(self.control)
            elif departure.acknowledged_at is None:
                status = self.backend.leave(self.control)
            if status == 200 and departure.acknowledged_at is None:
                departure.acknowledged_at = time.monotonic()
            time.sleep(BEAT_S)
        departure.ended_at = time.monotonic()

    def hold_up(self, beat):
        instance = self.backend.id

        def deliver():
            path = f"/v1/Instances.Heartbeat/{instance}"
            self.backend.post(self.control, path, beat)

        threading.Timer(self.random.uniform(0.2, MAX_BEAT_DELAY_S), deliver).start()

    def begin(self):
        """The next process, under a new id or the same one."""
        self.backend.state = "ready"
        self.backend.sequence = 0
        self.backend.born = int(time.time() * 1000)
        if self.random.random() < 0.7:
            self.backend.id = "i-%08x" % self.random.getrandbits(32)

    def late_orders(self):
        """One text for each departure after which orders came."""
        texts = []
        for it in self.departures:
            late = [at - it.acknowledged_at for instance, at in self.runs if it.forbids(instance, at)]
            if late:
                texts.append(f"{len(late)} orders, the first one {late[0]:.1f} s after the acknowledgement of {it.instance}")
        return texts


class Faults:
    """Faults of nodes and of the store. Each ends by itself; several overlap."""

    def __init__(self, fleet, seed):
        self.fleet = fleet
        self.random = random.Random(seed)
        self.is_down = [False] * MACHINES
        self.threads = []
        self.history = []

    def run(self, seconds):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            self.begin()
            time.sleep(self.random.uniform(0.3, 1.5))
        for it in self.threads:
            it.join()
        self.fleet.store.state = None

    def begin(self):
        for_s = self.random.uniform(0.2, 1.5)
        kind = self.random.choice(["all", "all", "one", "one", "pause", "store", "answers"])
        if kind == "all":
            self.end(range(MACHINES), signal.SIGKILL, for_s)
        elif kind == "one":
            self.end([self.random.randrange(MACHINES)], self.random.choice([signal.SIGKILL, signal.SIGTERM]), for_s)
        elif kind == "pause":
            self.pause(self.random.randrange(MACHINES), for_s)
        elif kind == "store":
            self.fail_store(self.random.choice(["refuses", "silent"]), for_s)
        else:
            self.fleet.store.lost_answers += 1
            self.history.append("lost answer")

    def start(self, function):
        thread = threading.Thread(target=function, daemon=True)
        self.threads.append(thread)
        thread.start()

    def end(self, numbers, number, for_s):
        chosen = [it for it in numbers if not self.is_down[it]]
        self.history.append(f"{signal.Signals(number).name} to {chosen} for {for_s:.1f} s")
        for it in chosen:
            self.is_down[it] = True
            self.fleet.machines[it].child.send_signal(signal.SIGCONT)
            self.fleet.machines[it].child.send_signal(number)

        def restart():
            time.sleep(for_s)
            for it in chosen:
                self.fleet.machines[it].child.wait()
                self.fleet.machines[it].start(bootstrap=False)
                self.is_down[it] = False

        self.start(restart)

    def pause(self, i, for_s):
        if self.is_down[i]:
            return
        self.history.append(f"pause {i} for {for_s:.1f} s")
        child = self.fleet.machines[i].child
        child.send_signal(signal.SIGSTOP)

        def resume():
            time.sleep(for_s)
            child.send_signal(signal.SIGCONT)

        self.start(resume)

    def fail_store(self, state, for_s):
        self.history.append(f"store {state} for {for_s:.1f} s")
        self.fleet.store.state = state

        def mend():
            time.sleep(for_s)
            self.fleet.store.state = None

        self.start(mend)


def call_forever(fleet, seed, is_stopped):
    choice = random.Random(seed)
    while not is_stopped.is_set():
        try:
            client = bench.Client(choice.choice(fleet.machines), timeout=3)
            client.request("POST", HOST, PATH + "order", b"wire 3 mm", 2000)
            client.close()
        except OSError:
            pass
        time.sleep(0.02)


def wait_until(event, limit):
    end = time.monotonic() + limit
    while not event():
        if time.monotonic() > end:
            return False
        time.sleep(0.05)
    return True


def soak(seed, seconds, record):
    fleet = bench.Fleet(record)
    zones = ["ipoh", "penang"]
    for i in range(MACHINES):
        fleet.add("bekalan", zone=zones[i % 2])
    fleet.configure("r3", {"r-1": bench.route(HOST, PATH, "bekalan", kind="unsafe")})
    for it in fleet.machines:
        it.start()
    for it in fleet.machines:
        it.wait_ready()
    upstreams = [Upstream(it, seed * MACHINES + i) for i, it in enumerate(fleet.machines)]
    is_stopped = threading.Event()
    threads = [threading.Thread(target=call_forever, args=(fleet, seed * CLIENTS + i, is_stopped), daemon=True)
               for i in range(CLIENTS)]
    for it in threads + [each.thread for each in upstreams]:
        it.start()
    faults = Faults(fleet, seed)
    try:
        faults.run(seconds)
        problems = settle(fleet, upstreams)
    finally:
        is_stopped.set()
        for it in upstreams:
            it.is_stopped = True
        fleet.stop()
    for it in upstreams:
        problems += it.late_orders()
    departures = [each for it in upstreams for each in it.departures]
    acknowledged = sum(it.acknowledged_at is not None for it in departures)
    runs = sum(len(it.runs) for it in upstreams)
    print(f"seed {seed}: {runs} orders, {acknowledged} of {len(departures)} departures acknowledged, "
          f"{len(faults.history)} faults, {len(problems)} problems")
    if not acknowledged:
        problems.append("no departure was acknowledged")
    return [f"seed {seed}: {it}; {'; '.join(faults.history)}" for it in problems]


def settle(fleet, upstreams):
    """After the faults: every upstream that stays gets orders."""
    problems = []
    for it in fleet.machines:
        it.wait_ready(RECOVERY_S)
    for it in upstreams:
        it.is_quiet = True
    for i, it in enumerate(upstreams):
        wait_until(lambda: all(each.ended_at is not None for each in it.departures), RECOVERY_S)
        before = len(it.runs)
        if not wait_until(lambda: len(it.runs) > before, RECOVERY_S):
            problems.append(f"upstream {i} ({it.backend.id}) gets no orders again")
    return problems


def main():
    first, count, seconds = int(sys.argv[3]), int(sys.argv[4]), float(sys.argv[5])
    problems = []
    for seed in range(first, first + count):
        with tempfile.TemporaryDirectory() as folder:
            try:
                problems += soak(seed, seconds, bench.Record(os.path.join(folder, "record.txt")))
            except Exception as error:  # the run could not be played
                problems.append(f"seed {seed}: {type(error).__name__}: {error}")
    for it in problems:
        print(it, file=sys.stderr)
    sys.stdout.flush()
    sys.stderr.flush()
    os._exit(1 if problems else 0)  # without waiting for the stand-ins' threads


main()
