"""A node is killed and restarted; its backend leaves; a heartbeat that it had sent before arrives late."""

import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "common"))
from bench import *  # noqa: E402,F403

HOST = "hulo84.example"
RESTART_S = 0.5
LATE_S = 2.0  # how late the heartbeat arrives
SERVES_S = 9.0  # the leaving backend serves so long after the acknowledgement, then exits
WORK_S = 0.4
ORDERS_PER_S = 8


class Worker:
    """Works for a while on each order. After close(), the backend has exited: its connections are closed."""

    def __init__(self):
        self.closed = False

    def __call__(self, backend, sock, head, body, number):
        time.sleep(WORK_S)
        if self.closed:
            return False
        sock.sendall(backend.answer(head, f"order {head.get('attempt-id')}".encode()))

    def close(self, backend):
        backend.record.write(f"backend {backend.id} exits")
        self.closed = True
        backend.listener.close()


def send_orders(record, machines, until, results):
    def one(machine):
        try:
            client = Client(machine)
            attempt, answer = client.request("POST", HOST, "/xapu221/order", b"wire 3 mm", 5000)
            results[attempt] = answer
            client.close()
        except OSError as error:
            record.write(f"client at {machine.name} has no connection: {error}")

    threads = []
    number = 0
    while record.now() < until:
        thread = threading.Thread(target=one, args=(machines[number % len(machines)],))
        thread.start()
        threads.append(thread)
        number += 1
        time.sleep(1 / ORDERS_PER_S)
    for it in threads:
        it.join()


def case(record, fleet, trouble):
    leaving = Worker()
    first = fleet.add("bekalan", zone="ipoh", respond=leaving)
    second = fleet.add("bekalan", zone="penang", respond=Worker())
    fleet.configure("r3", {"r-1": route(HOST, "/xapu221/", "bekalan", kind="unsafe", timeout="8000ms")})
    fleet.start()
    time.sleep(2)
    backend = first.backend
    backend.beats.set()  # from here on the script sends its heartbeats
    backend.beat(first.listen["control"])
    time.sleep(1)
    late = None
    if trouble:
        first.kill()
        time.sleep(RESTART_S)
        first.start(bootstrap=False)
        first.wait_ready()
        late = backend.beat_body()
        record.write(f"heartbeat {late['status']['seq_no']} (ready) of {backend.id} is sent and held up on the way")
        sent = record.now()
        time.sleep(0.6)
    else:
        backend.beat(first.listen["control"])
        time.sleep(0.6)
    if backend.leave(first.listen["control"]) != 200:
        raise CannotRun("the leaving was not acknowledged")
    acknowledged = record.now()
    if late:
        time.sleep(max(0, sent + LATE_S - record.now()))
        record.write("the heartbeat that was held up arrives")
        backend.beat(first.listen["control"], late)
    # From here on the restarted machine is in touch: `contact` has passed since its start.
    time.sleep(max(0, acknowledged + CONTACT_S + 0.5 - record.now()))
    results = {}
    threading.Timer(acknowledged + SERVES_S - record.now(), leaving.close, args=(backend,)).start()
    send_orders(record, [first, second], acknowledged + SERVES_S + 0.5, results)
    broken = [it for it in backend.runs if it[0] > acknowledged + DRAIN_S and it[1] in results]
    ran = {it[1] for it in backend.runs}
    lost = [it for it, answer in results.items() if it in ran and answer.status != 200]
    served = sum(1 for it in results.values() if it.status == 200)
    record.write(f"{len(results)} orders, {served} served; {len(broken)} reached the backend that had left, later than "
                 f"`drain` after the acknowledgement; {len(lost)} of these were begun there and have no result")
    if served < len(results) // 2:
        raise CannotRun("too few orders were served")
    return not broken


play(HERE, case)
