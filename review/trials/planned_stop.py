"""Trial, no case: large answers that are read slowly, while the machine that took the request gets SIGTERM."""

import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "common"))
from bench import *  # noqa: E402,F403

MACHINES = 24
SMALLEST_BYTES = 12_000_000
STEP_BYTES = 60_000
BYTES_PER_S = 4_000_000
HOST = "jepu9.example"


def answer_of(size):
    data = bytes(range(256)) * (size // 256)
    return lambda backend, sock, head, body, number: sock.sendall(backend.answer(head, data))


def download(machine, index, results):
    client = Client(machine)
    client.send("GET", HOST, f"/part-{index}/1", deadline_ms=20000)
    head = client.reader.head()
    size = int(head.get("content-length"))
    got = len(client.reader.buffer)
    start = time.monotonic()
    stopped = False
    try:
        while got < size:
            data = client.sock.recv(65536)
            if not data:
                break
            got += len(data)
            if not stopped and time.monotonic() - start > 0.3:
                machine.signal(signal.SIGTERM)
                stopped = True
            time.sleep(max(0, got / BYTES_PER_S - (time.monotonic() - start)))
    except OSError:
        pass
    results.append((size, got, round(time.monotonic() - start, 2)))


def case(record, fleet, trouble):
    zones = list(fleet.zones)
    for i in range(MACHINES):
        fleet.add(f"katalog{i}", zone=zones[i % len(zones)], respond=answer_of(SMALLEST_BYTES + i * STEP_BYTES))
    fleet.configure("r3", {f"r-{i}": route(HOST, f"/part-{i}/", f"katalog{i}", timeout="20000ms")
                           for i in range(MACHINES)})
    fleet.start()
    time.sleep(3)
    results = []
    threads = [threading.Thread(target=download, args=(it, i, results)) for i, it in enumerate(fleet.machines)]
    for it in threads:
        it.start()
    for it in threads:
        it.join()
    cut = [it for it in results if it[1] < it[0]]
    record.write(f"{len(cut)} of {len(results)} answers were cut (size, received, seconds): {cut}")
    print(f"{len(cut)} of {len(results)} answers were cut: {cut}")
    return not cut


play(tempfile.mkdtemp(prefix="review-record-"), case)
