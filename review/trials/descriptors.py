"""Trial, no case: readiness queries over new connections that the client closes take a descriptor each, for good."""

import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "common"))
from bench import *  # noqa: E402,F403

QUERIES = 200


def descriptors(machine):
    return len(os.listdir(f"/proc/{machine.child.pid}/fd"))


def query_readiness(machine):
    host, port = machine.listen["ready"].split(":")
    with socket.create_connection((host, int(port)), timeout=1) as sock:
        sock.sendall(b"GET /v1/readiness HTTP/1.1\r\nHost: node\r\n\r\n")
        return Reader(sock).head().line


def case(record, fleet, trouble):
    machine = fleet.add("katalog")
    fleet.configure("r3", {"r-1": route("jepu9.example", "/lepu270/", "katalog")})
    fleet.start()
    time.sleep(2)
    before = descriptors(machine)
    for _ in range(QUERIES):
        query_readiness(machine)
    time.sleep(5)
    after = descriptors(machine)
    record.write(f"descriptors before {before}, 5 s after {QUERIES} queries {after}")
    print(f"descriptors before {before}, after {after}")
    return after - before < QUERIES // 2


play(tempfile.mkdtemp(prefix="review-record-"), case)
