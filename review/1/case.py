"""The open connections between one node and its backend go silent, once; new ones work."""

import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "common"))
from bench import *  # noqa: E402,F403
from proxy import SilencingProxy  # noqa: E402

HOST = "hulo84.example"
BACKENDS = 3
WORK_S = 0.55  # of one order; a backend with 7 slots does 12.7 a second
ORDERS_PER_S = 38  # about what three backends can do, so that all slots are in use
DEADLINE_MS = 2000
SILENCE_AT_S = 3.0  # after the start of traffic
END_S = 24.0
WINDOW_S = 2.0  # the rule: "For 2 s"
FLOOR_SHARE = 0.7


def work(backend, sock, head, body, number):
    time.sleep(WORK_S)
    sock.sendall(backend.answer(head, f"order {head.get('attempt-id')}".encode()))


def send_orders(record, entry, start, orders):
    def one(sent):
        status = None
        try:
            client = Client(entry)
            _, answer = client.request("POST", HOST, "/xapu221/order", b"wire 3 mm", DEADLINE_MS)
            status = answer.status if not answer.error else None
            client.close()
        except OSError as error:
            record.write(f"client has no connection: {error}")
        orders.append((sent, status == 200))

    threads = []
    for i in range(int(END_S * ORDERS_PER_S)):
        time.sleep(max(0, start + i / ORDERS_PER_S - record.now()))
        threads.append(threading.Thread(target=one, args=(record.now(),)))
        threads[-1].start()
    for it in threads:
        it.join()


def broken_windows(start, end, orders, backends):
    """Starts of the windows in which the rule is broken."""
    found = []
    at = start
    while at + WINDOW_S <= end:
        sent = [served for time_sent, served in orders if at <= time_sent < at + WINDOW_S]
        unserved = sent.count(False) / len(sent) if sent else 0
        reached = sum(any(at <= run < at + WINDOW_S for run, _, _ in it.runs) for it in backends)
        if 0 < reached < FLOOR_SHARE * len(backends) and 0.1 < unserved < 0.5:
            found.append((round(at, 1), reached, round(unserved, 2)))
        at += 0.1
    return found


def case(record, fleet, trouble):
    machines = [fleet.add("bekalan", zone=zone, respond=work) for zone in ("ipoh", "penang", "ipoh")]
    proxies = [SilencingProxy(it.ip) for it in machines]
    for machine, proxy in zip(machines, proxies):
        proxy.target = machine.backend.address
        machine.backend.address = proxy.address
    entry = fleet.add("katalog", zone="penang")
    fleet.configure("r3", {"r-1": route(HOST, "/xapu221/", "bekalan", kind="unsafe", timeout="8000ms")})
    fleet.start()
    time.sleep(2)
    start = record.now()
    silenced = start + SILENCE_AT_S

    def silence():
        record.write(f"the open connections between {machines[0].name} and its backend go silent")
        proxies[0].silence()

    if trouble:
        threading.Timer(SILENCE_AT_S, silence).start()
    orders = []
    send_orders(record, entry, start, orders)
    backends = [it.backend for it in machines]
    measured = silenced + 2 * CONTACT_S  # all backends are sound again
    windows = broken_windows(measured, start + END_S, orders, backends)
    for it in backends:
        runs = [run for run, _, _ in it.runs]
        record.write(f"backend {it.id}: {sum(run < silenced for run in runs)} orders before the moment of the silence, "
                     f"{sum(run >= measured for run in runs)} from 8 s after it on")
    late = [served for sent, served in orders if sent >= measured]
    record.write(f"from 8 s after it on: {len(late)} orders, {late.count(True)} served")
    record.write(f"{len(windows)} windows of 2 s in which the rule is broken; first (start, backends reached, share "
                 f"not served): {windows[:3]}")
    if sum(served for _, served in orders) < len(orders) // 3:
        raise CannotRun("too few orders were served")
    return not windows


play(HERE, case)
