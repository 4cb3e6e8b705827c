"""Trial, no case: backends answer long bodies early, clients break off, deadlines pass. One of the nodes ended by itself
(SIGABRT) in 2 of 172 plays of it and its variants. Usage: early_answers.py [SEED]"""

import os
import random
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "common"))
import bench  # noqa: E402
from bench import *  # noqa: E402,F403

HOST = "jepu9.example"
SEED = int(sys.argv[1]) if len(sys.argv) > 1 else 5
PLAY_S = 40
LONG_BODY_BYTES = 20_000  # longer ones may be answered before they are read
BODY_SIZES = [30_000, 200_000, 1_500_000, 4_000_000]
CLIENTS = 12
chance = random.Random(SEED)


class EarlyBackend(Backend):
    """Answers most long bodies before it reads them, keeps the connection and reads on."""

    def serve(self, sock):
        reader = Reader(sock)
        try:
            while True:
                head = reader.head()
                answer = self.answer(head, b"ok " + head.get("attempt-id").encode())
                is_long = int(head.get("content-length") or LONG_BODY_BYTES + 1) > LONG_BODY_BYTES
                is_early = is_long and head.line.startswith("POST") and chance.random() < 0.7
                if is_early:
                    sock.sendall(answer)
                if is_long and head.line.startswith("POST"):
                    time.sleep(chance.choice([0, 0.05, 0.3]))
                reader.body(head)
                if not is_early:
                    sock.sendall(answer)
        except (OSError, ConnectionError):
            pass
        finally:
            sock.close()


def send_head(client, path, deadline_ms, framing):
    attempt = secrets.token_hex(8)
    client.sock.sendall(f"POST {path} HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {attempt}\r\n"
                        f"Deadline-Ms: {deadline_ms}\r\n{framing}\r\n\r\n".encode())
    return attempt


def send_one(client, dice):
    """Sends one request; returns False if the connection is done with."""
    kind = dice.choice(["get", "get", "post", "broken off", "chunks", "slow"])
    size = dice.choice(BODY_SIZES)
    deadline_ms = dice.choice([400, 2000])
    if kind == "get":
        _, answer = client.request("GET", HOST, "/lepu270/g", deadline_ms=2000)
    elif kind == "post":
        _, answer = client.request("POST", HOST, "/lepu270/p", b"z" * size, deadline_ms=deadline_ms)
    elif kind == "broken off":
        send_head(client, "/lepu270/part", 2000, f"Content-Length: {size}")
        client.sock.sendall(b"z" * (size // 2))
        time.sleep(dice.choice([0, 0.02, 0.2]))
        return False
    elif kind == "chunks":
        attempt = send_head(client, "/lepu270/chunks", deadline_ms, "Transfer-Encoding: chunked")
        for _ in range(dice.randrange(1, 8)):
            length = dice.choice([100, 30_000, 100_000])
            client.sock.sendall(f"{length:x}\r\n".encode() + b"z" * length + b"\r\n")
            time.sleep(dice.choice([0, 0.01, 0.1]))
        if dice.random() < 0.5:
            return False
        client.sock.sendall(b"0\r\n\r\n")
        answer = client.receive(attempt)
    else:
        attempt = send_head(client, "/lepu270/slow", deadline_ms, f"Content-Length: {size}")
        for _ in range(5):
            client.sock.sendall(b"z" * (size // 5))
            time.sleep(dice.choice([0, 0.05, 0.15]))
        answer = client.receive(attempt)
    return not answer.error


def send_many(machines, number, end):
    dice = random.Random(number)
    while time.monotonic() < end:
        try:
            client = Client(dice.choice(machines), timeout=5)
            for _ in range(dice.randrange(1, 5)):
                if not send_one(client, dice):
                    break
            client.close()
        except (OSError, ConnectionError):
            pass


def case(record, fleet, trouble):
    bench.Backend = EarlyBackend
    machines = [fleet.add("katalog"), fleet.add("bekalan", zone="penang")]
    fleet.configure("r3", {"r-1": route(HOST, "/lepu270/", "katalog")})
    fleet.start()
    time.sleep(2)
    end = time.monotonic() + PLAY_S
    threads = [threading.Thread(target=send_many, args=(machines, i, end)) for i in range(CLIENTS)]
    for it in threads:
        it.start()
    for it in threads:
        it.join()
    exits = [it.child.poll() for it in machines]
    print(f"exit codes of the nodes (None: still running): {exits}")
    return exits == [None, None]


play(tempfile.mkdtemp(prefix="review-record-"), case)
