#!/usr/bin/env python3
"""Starts a small fleet on loopback, sends one request of each kind, prints what happened, stops everything.

Usage: scripts/demo.sh builds first and then runs this. With --page FILE it also runs the commands in the `sh`
blocks of that page against the fleet. Exit code 0: every request and command had the expected result.
"""

import json
import os
import re
import secrets
import signal
import subprocess
import sys
import tempfile
import threading
import time
import urllib.error
import urllib.request

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
BUILD = os.path.join(ROOT, "build")
SERVICES = {"katalog": 7, "bekalan": 7, "bayaran": 7}
PLACES = [
    ("semenanjung-utara", "utara-1"),
    ("semenanjung-utara", "utara-2"),
    ("semenanjung-selatan", "selatan-1"),
    ("borneo", "borneo-1"),
]
START_LIMIT_SECONDS = 60


class Process:
    """A child process whose JSON log lines on standard output are kept."""

    def __init__(self, name, *command):
        self.name = name
        self.events = []
        self.child = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
        self.reader = threading.Thread(target=self._read, daemon=True)
        self.reader.start()

    def _read(self):
        for line in self.child.stdout:
            try:
                self.events.append(json.loads(line))
            except ValueError:
                print(f"{self.name}: {line.rstrip()}", file=sys.stderr)

    def wait_event(self, event):
        deadline = time.monotonic() + START_LIMIT_SECONDS
        while time.monotonic() < deadline:
            for it in list(self.events):
                if it.get("event") == event:
                    return it
            if self.child.poll() is not None:
                break
            time.sleep(0.02)
        raise RuntimeError(f"{self.name}: no log line {event}")

    def stop(self):
        if self.child.poll() is None:
            self.child.send_signal(signal.SIGTERM)
        code = self.child.wait(timeout=START_LIMIT_SECONDS)
        self.reader.join(timeout=START_LIMIT_SECONDS)
        return code


def call(method, url, body=None, headers=None):
    """Returns (status, headers, body); an HTTP error is a result like any other."""
    data = body.encode() if body is not None else None
    request = urllib.request.Request(url, data=data, method=method, headers=headers or {})
    try:
        with urllib.request.urlopen(request, timeout=30) as response:
            return response.status, dict(response.headers), response.read().decode()
    except urllib.error.HTTPError as error:
        return error.code, dict(error.headers), error.read().decode()


def uuid7():
    value = (int(time.time() * 1000) << 80) | (7 << 76) | (secrets.randbits(12) << 64) | (2 << 62) | secrets.randbits(62)
    text = f"{value:032x}"
    return "-".join((text[:8], text[8:12], text[12:16], text[16:20], text[20:]))


class Announcer(threading.Thread):
    """Posts the heartbeats of the upstreams to the nodes beside them, once a second."""

    def __init__(self):
        super().__init__(daemon=True)
        self.entries = []
        self.ended = threading.Event()

    def run(self):
        while not self.ended.wait(1.0):
            for admin, message in self.entries:
                self.post(admin, message)

    @staticmethod
    def post(admin, message):
        status, _, body = call("POST", admin + "/announce", json.dumps(message), {"Content-Type": "application/json"})
        if status >= 300:
            print(f"announcement of {message['name']} refused: {status} {body}", file=sys.stderr)


class Fleet:
    def __init__(self, folder):
        self.folder = folder
        self.processes = []
        self.nodes = []
        self.announcer = Announcer()

    def start(self):
        store = self.add(Process("store", os.path.join(BUILD, "tests", "StoreStandIn")))
        self.store = f"http://127.0.0.1:{store.wait_event('listening')['port']}"
        self.apply()
        for index, (region, data_centre) in enumerate(PLACES):
            self.start_node(index, region, data_centre)
        self.announcer.start()
        self.wait_ready()

    def add(self, process):
        self.processes.append(process)
        return process

    def apply(self):
        command = [os.path.join(BUILD, "gooseberrymill"), "apply", os.path.join(ROOT, "examples", "persatuan.toml")]
        result = subprocess.run(command + ["--store", self.store, "--author", "demo"], capture_output=True, text=True, check=False)
        print(result.stdout.strip() or result.stderr.strip())
        if result.returncode:
            raise RuntimeError("the configuration was not applied")

    def start_node(self, index, region, data_centre):
        settings = os.path.join(self.folder, f"node-{index}.toml")
        seeds = [self.nodes[0]["gossip"]] if self.nodes else []
        with open(settings, "w", encoding="utf-8") as file:
            file.write(
                f'[node]\nname = "node-{index}"\nregion = "{region}"\ndataCentre = "{data_centre}"\nworkers = 2\n'
                f'[fleet]\nkey = "demonstration-only-key"\nseeds = {json.dumps(seeds)}\n'
                f'[store]\nurl = "{self.store}"\n'
            )
        node = self.add(Process(f"node-{index}", os.path.join(BUILD, "gooseberrymill"), "serve", "--settings", settings))
        started = node.wait_event("node.started")
        admin = f"http://127.0.0.1:{started['admin']}"
        self.nodes.append({"gossip": started["gossip"], "admin": admin, "url": f"http://127.0.0.1:{started['callers']}"})
        for service, slots in SERVICES.items():
            upstream = self.add(Process(f"{service}-{index}", os.path.join(BUILD, "tests", "UpstreamStandIn")))
            port = upstream.wait_event("listening")["port"]
            message = {"name": f"{service}-{index}", "service": service, "address": f"127.0.0.1:{port}", "slots": slots,
                       "state": "ready", "load": 0}
            Announcer.post(admin, message)
            self.announcer.entries.append((admin, message))

    def wait_ready(self):
        """Waits until every node has the configuration and knows all upstreams."""
        wanted = len(PLACES) * len(SERVICES)
        deadline = time.monotonic() + START_LIMIT_SECONDS
        while time.monotonic() < deadline:
            states = [json.loads(call("GET", node["admin"] + "/status")[2]) for node in self.nodes]
            known = [sum(len(member["upstreams"]) for member in state["members"]) for state in states]
            if all(state["ready"] for state in states) and min(known) == wanted:
                print(f"{len(self.nodes)} nodes ready, {wanted} upstreams known to each")
                return
            time.sleep(0.1)
        raise RuntimeError("the fleet did not become ready")

    def stop(self):
        self.announcer.ended.set()
        nodes = [it for it in self.processes if it.name.startswith("node-")]
        codes = {it.name: it.stop() for it in nodes}
        for it in self.processes:
            if it not in nodes:
                it.stop()
        return codes


class Report:
    def __init__(self):
        self.failures = 0

    def show(self, what, result, status, outcome=None):
        code, headers, body = result
        seen = headers.get("Gooseberrymill-Outcome", "-")
        good = code == status and (outcome is None or seen == outcome)
        self.failures += not good
        line = body if len(body) <= 90 else body[:87] + "..."
        print(f"{'ok  ' if good else 'FAIL'} {what:44} {code} outcome={seen:8} {line.strip()}")


def send_requests(nodes, report):
    url = [node["url"] for node in nodes]
    report.show("browse patterns", call("GET", url[0] + "/katalog/frames/peacock"), 200)
    report.show("browse patterns through another node", call("GET", url[3] + "/katalog/frames/peacock"), 200)
    report.show("HEAD", call("HEAD", url[1] + "/katalog/frames/peacock"), 200)
    report.show("unknown path", call("GET", url[0] + "/nothing"), 404, "not-run")

    key = {"Idempotency-Key": uuid7(), "Content-Type": "application/json"}
    order = json.dumps({"wire": "3 mm", "rolls": 2})
    first = call("POST", url[0] + "/bekalan/orders", order, key)
    report.show("wire order with a key", first, 200)
    again = call("POST", url[2] + "/bekalan/orders", order, key)
    report.show("same key again, other node: same answer", again, 200)
    report.failures += first[2] != again[2]
    report.show("same key, other order", call("POST", url[1] + "/bekalan/orders", order + " ", key), 422, "not-run")

    status, _, body = call("POST", url[0] + "/.gooseberrymill/token?service=bayaran", "")
    report.show("operation token", (status, {}, body), 200)
    token = {"Operation-Token": json.loads(body)["token"], "Content-Type": "application/json"}
    payout = json.dumps({"maker": "M-17", "amount": "310.00"})
    report.show("payout with a token", call("POST", url[1] + "/bayaran/payouts", payout, token), 200)
    report.show("same token again: same answer", call("POST", url[3] + "/bayaran/payouts", payout, token), 200)


def run_page(page, fleet, report):
    """Runs each line of the page's `sh` blocks in the repository, with the addresses of the fleet."""
    environment = dict(os.environ, STORE=fleet.store, ADMIN=fleet.nodes[0]["admin"], CALLERS=fleet.nodes[0]["url"])
    with open(os.path.join(ROOT, page), encoding="utf-8") as file:
        blocks = re.findall(r"^```sh\n(.*?)^```", file.read(), re.MULTILINE | re.DOTALL)
    for line in (line for block in blocks for line in block.splitlines() if line.strip()):
        result = subprocess.run(["bash", "-c", line], cwd=ROOT, env=environment, capture_output=True, text=True, check=False)
        report.failures += result.returncode != 0
        print(f"{'ok  ' if not result.returncode else 'FAIL'} {line}")
        if result.returncode:
            print(result.stdout + result.stderr)


def main():
    report = Report()
    pages = [sys.argv[i + 1] for i, it in enumerate(sys.argv[:-1]) if it == "--page"]
    with tempfile.TemporaryDirectory() as folder:
        fleet = Fleet(folder)
        try:
            fleet.start()
            send_requests(fleet.nodes, report)
            for page in pages:
                run_page(page, fleet, report)
        finally:
            codes = fleet.stop()
    print("exit codes after SIGTERM:", ", ".join(f"{name} {code}" for name, code in codes.items()))
    report.failures += any(codes.values())
    print("demo passed" if not report.failures else f"demo failed: {report.failures} unexpected results")
    return 1 if report.failures else 0


if __name__ == "__main__":
    sys.exit(main())
