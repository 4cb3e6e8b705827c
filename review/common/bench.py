"""Stand-ins for the review scripts: the platform with its store, application backends, and clients.

Everything listens on loopback addresses. One "machine" is one 127.x.y.z address with one node process beside one
backend. The node processes are started with the command of deploy/system.toml; their settings are made from the
template deploy/node.toml, with the bounds of the site rangka-net.
"""

import json
import os
import random
import re
import secrets
import select
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import urllib.parse
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
CONTACT_S = 4.0  # `contact` of the site
DRAIN_S = 2.5  # `drain` of the site
GRACE_S = 6.0  # `grace` of the site
HEARTBEAT_S = 1.5  # `heartbeat` of the settings
CONFIG_APPLY_S = 2.5  # `config_apply` of the site
SIGNATURE = "Response-Signature"


class CannotRun(Exception):
    """The case could not be played; it says nothing about the rule."""


class Record:
    """Writes what was sent, answered and run, with seconds since the start of the script."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = time.monotonic()
        self.lock = threading.Lock()

    def now(self):
        return time.monotonic() - self.start

    def write(self, text):
        with self.lock:
            self.file.write(f"{self.now():8.3f} {text}\n")
            self.file.flush()


# ---------------------------------------------------------------------------------------------------------------------
# Settings


def lookup(scopes, name):
    if name in (".", "@"):
        return scopes[-1].get(name)
    for scope in reversed(scopes):
        value = scope
        for part in name.split("."):
            value = value.get(part) if isinstance(value, dict) else None
            if value is None:
                break
        if value is not None:
            return value
    return None


def text_of(value):
    if value is None:
        return ""
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, list):
        return ",".join(str(it) for it in value)
    return json.dumps(value) if isinstance(value, dict) else str(value)


def render(template, scopes):
    """The sections and placeholders of DEPLOY.md that deploy/node.toml uses."""
    section = re.compile(r"\{\{#([^}]+)\}\}\n?(.*?)\{\{/\1\}\}\n?", re.DOTALL)
    while match := section.search(template):
        value = lookup(scopes, match.group(1))
        parts = []
        if isinstance(value, dict):
            parts = [render(match.group(2), scopes + [{"@": key, ".": it}]) for key, it in value.items()]
        elif isinstance(value, list):
            parts = [render(match.group(2), scopes + [{"@": i, ".": it}]) for i, it in enumerate(value)]
        elif value:
            parts = [render(match.group(2), scopes)]
        template = template[: match.start()] + "".join(parts) + template[match.end() :]
    return re.sub(r"\{\{([^}]+)\}\}", lambda it: text_of(lookup(scopes, it.group(1))), template)


# ---------------------------------------------------------------------------------------------------------------------
# The platform's store


class Store:
    """Objects by kind and name, with revisions, conditional writes and watches, as PROTOCOL.md says."""

    def __init__(self, host):
        self.changed = threading.Condition()
        self.revision = 10
        self.objects = {}
        self.events = []  # (revision, kind, object, deleted)
        store = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"
            disable_nagle_algorithm = True

            def log_message(self, *_):
                pass

            def answer(self, status, body=None):
                data = json.dumps(body).encode() if body is not None else b""
                self.send_response(status)
                self.send_header("Content-Type", "application/json")
                self.send_header("Content-Length", str(len(data)))
                self.end_headers()
                self.wfile.write(data)

            def handle_call(self):
                length = int(self.headers.get("Content-Length") or 0)
                body = json.loads(self.rfile.read(length)) if length else {}
                url = urllib.parse.urlsplit(self.path)
                query = {key: it[-1] for key, it in urllib.parse.parse_qs(url.query).items()}
                parts = [urllib.parse.unquote(it) for it in url.path.split("/")[3:]]
                try:
                    self.answer(*store.call(self.command, parts, query, body))
                except OSError:
                    self.close_connection = True

            do_GET = do_PUT = do_POST = do_DELETE = handle_call

        class Server(ThreadingHTTPServer):
            daemon_threads = True
            request_queue_size = 256

            def handle_error(self, request, client_address):
                pass

        self.server = Server((host, 0), Handler)
        self.address = f"{host}:{self.server.server_address[1]}"
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def call(self, method, parts, query, body):
        kind, name = parts[0], parts[1] if len(parts) > 1 else None
        with self.changed:
            if method == "GET" and name is None and "watch" in query:
                return self.watch(kind, int(query["watch"]), int(query.get("wait_ms", 0)))
            if method == "GET" and name is None:
                items = [it for (k, n), it in sorted(self.objects.items()) if k == kind and n > query.get("after", "")]
                return 200, {"items": items[:500], "more": len(items) > 500, "store_revision": self.revision}
            metadata = body.get("metadata", {})
            name = name or metadata.get("name")
            current = self.objects.get((kind, name))
            if method == "GET":
                return (200, current) if current else (404, {})
            if method == "POST" and current:
                return 409, current
            if method != "POST" and not current:
                return 404, {}
            expected = metadata.get("revision", query.get("revision"))
            if current and expected is not None and int(expected) != current["metadata"]["revision"]:
                return 409, current
            if method == "DELETE":
                del self.objects[(kind, name)]
                self.revision += 1
                self.note(kind, current, True)
                return 200, current
            return 200, self.put(kind, name, body.get("spec"))

    def put(self, kind, name, spec):
        with self.changed:
            current = self.objects.get((kind, name))
            if current and current["spec"] == spec:
                return current
            self.revision += 1
            created = current["metadata"]["created"] if current else self.revision
            metadata = {"name": name, "revision": self.revision, "created": created, "finalizers": [], "deleting": False}
            item = {"metadata": metadata, "spec": spec, "status": None}
            self.objects[(kind, name)] = item
            self.note(kind, item, False)
            return item

    def note(self, kind, item, deleted):
        self.events.append((self.revision, kind, item, deleted))
        self.changed.notify_all()

    def watch(self, kind, since, wait_ms):
        end = time.monotonic() + wait_ms / 1000
        while True:
            found = [{"object": it, "deleted": gone} for rev, k, it, gone in self.events if rev > since and k == kind]
            left = end - time.monotonic()
            if found or left <= 0:
                return 200, {"events": found, "store_revision": self.revision}
            self.changed.wait(left)


# ---------------------------------------------------------------------------------------------------------------------
# HTTP on sockets


class Head:
    def __init__(self, line, headers):
        self.line = line
        self.headers = headers  # list of (lower-case name, value)

    def get(self, name, default=None):
        return next((value for key, value in self.headers if key == name.lower()), default)


class Reader:
    def __init__(self, sock):
        self.sock = sock
        self.buffer = b""

    def more(self):
        data = self.sock.recv(65536)
        if not data:
            raise ConnectionError("closed")
        self.buffer += data

    def head(self):
        while b"\r\n\r\n" not in self.buffer:
            self.more()
        raw, self.buffer = self.buffer.split(b"\r\n\r\n", 1)
        lines = raw.decode("latin-1").split("\r\n")
        headers = [(it.split(":", 1)[0].strip().lower(), it.split(":", 1)[1].strip()) for it in lines[1:]]
        return Head(lines[0], headers)

    def exactly(self, size):
        parts = [self.buffer[:size]]
        self.buffer = self.buffer[size:]
        left = size - len(parts[0])
        while left > 0:
            data = self.sock.recv(min(left, 1 << 20))
            if not data:
                raise ConnectionError(f"closed, {left} of {size} bytes are missing")
            parts.append(data)
            left -= len(data)
        return b"".join(parts)

    def line(self):
        while b"\r\n" not in self.buffer:
            self.more()
        raw, self.buffer = self.buffer.split(b"\r\n", 1)
        return raw.decode("latin-1")

    def body(self, head, closes=False):
        if "chunked" in (head.get("transfer-encoding") or ""):
            parts = []
            while size := int(self.line().split(";")[0], 16):
                parts.append(self.exactly(size))
                self.exactly(2)
            self.line()
            return b"".join(parts)
        if head.get("content-length") is not None:
            return self.exactly(int(head.get("content-length")))
        if not closes:
            return b""
        parts = [self.buffer]
        while data := self.sock.recv(65536):
            parts.append(data)
        self.buffer = b""
        return b"".join(parts)


def signature_of(attempt, body):
    return f"{attempt}.{len(body)}.{sum(body[:4096]) & 0xffff:04x}"


# ---------------------------------------------------------------------------------------------------------------------
# Backends


class Backend:
    """One application backend: answers requests, and sends heartbeats to the node beside it.

    `respond(backend, sock, head, body, number)` writes the answer to one request; `number` counts the requests of the
    connection from 1. It returns False to close the connection.
    """

    def __init__(self, record, host, service, zone, respond=None, slots=7):
        self.record = record
        self.service = service
        self.zone = zone
        self.slots = slots
        self.respond = respond or Backend.plain
        self.id = "i-" + secrets.token_hex(4)
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.runs = []  # (time, attempt id, request line)
        self.lock = threading.Lock()
        self.listener = socket.create_server((host, 0), backlog=256)
        self.address = f"{host}:{self.listener.getsockname()[1]}"
        self.beats = threading.Event()  # set: no more regular heartbeats
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            try:
                sock, _ = self.listener.accept()
            except OSError:
                return  # closed: the backend has exited
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self.serve, args=(sock,), daemon=True).start()

    def serve(self, sock):
        reader = Reader(sock)
        number = 0
        try:
            while True:
                head = reader.head()
                body = reader.body(head)
                number += 1
                if head.get("expected-instance") not in (None, self.id):
                    self.record.write(f"backend {self.id} answers 421 to {head.get('attempt-id')}")
                    sock.sendall(f"HTTP/1.1 421 Misdirected Request\r\nInstance-Id: {self.id}\r\nContent-Length: 0\r\n"
                                 f"Attempt-Id: {head.get('attempt-id')}\r\n\r\n".encode())
                    continue
                with self.lock:
                    self.runs.append((self.record.now(), head.get("attempt-id"), head.line))
                self.record.write(f"backend {self.id} runs {head.get('attempt-id')} ({head.line})")
                if self.respond(self, sock, head, body, number) is False:
                    break
        except (OSError, ConnectionError):
            pass
        finally:
            sock.close()

    def answer(self, head, body, extra=""):
        attempt = head.get("attempt-id")
        return (f"HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\n{SIGNATURE}: {signature_of(attempt, body)}\r\n"
                f"Content-Length: {len(body)}\r\n{extra}\r\n").encode() + body

    def plain(self, sock, head, body, number):
        sock.sendall(self.answer(head, f"answer to {head.get('attempt-id')}".encode()))

    def beat_body(self):
        with self.lock:
            self.sequence += 1
            return {"address": self.address, "born": self.born,
                    "info": {"service": self.service, "version": "v1", "zone": self.zone, "slots": self.slots},
                    "status": {"state": self.state, "seq_no": self.sequence, "cold_left": "0ms"}}

    def post(self, control, path, body):
        """Returns the status, or None without an answer."""
        host, port = control.split(":")
        data = json.dumps(body).encode()
        try:
            with socket.create_connection((host, int(port)), timeout=1) as sock:
                sock.sendall(f"POST {path} HTTP/1.1\r\nHost: {control}\r\nContent-Type: application/json\r\n"
                             f"Content-Length: {len(data)}\r\nConnection: close\r\n\r\n".encode() + data)
                return int(Reader(sock).head().line.split()[1])
        except (OSError, ConnectionError):
            return None

    def beat(self, control, body=None):
        body = body or self.beat_body()
        status = self.post(control, f"/v1/Instances.Heartbeat/{self.id}", body)
        self.record.write(f"heartbeat {body['status']['seq_no']} ({body['status']['state']}) of {self.id}: {status}")
        return status

    def leave(self, control):
        status = self.post(control, f"/v1/Instances.Deregister/{self.id}", {"born": self.born})
        self.record.write(f"Deregister of {self.id}: {status}")
        return status

    def start_beats(self, control):
        def run():
            while not self.beats.is_set():
                self.beat(control)
                self.beats.wait(HEARTBEAT_S)

        threading.Thread(target=run, daemon=True).start()


# ---------------------------------------------------------------------------------------------------------------------
# Machines and the fleet


def free_port(host):
    with socket.socket() as sock:
        sock.bind((host, 0))
        return sock.getsockname()[1]


class Machine:
    def __init__(self, fleet, name, ip, zone, region, service, respond=None, slots=7):
        self.fleet = fleet
        self.name = name
        self.ip = ip
        self.zone = zone
        self.region = region
        self.service = service
        self.backend = Backend(fleet.record, ip, service, zone, respond, slots)
        self.listen = {it: f"{ip}:{free_port(ip)}" for it in ("inbound", "outbound", "ready", "control")}
        self.child = None

    def settings(self, bootstrap):
        return {
            "node": self.name, "role": "node", "machine_class": "sidecar", "serves": ["sidecar"], "ip": self.ip,
            "zone": self.zone, "region": self.region, "bootstrap": bootstrap, "app_addr": self.backend.address,
            "service": self.service, "listen": self.listen, "zones": self.fleet.zones,
            "platform": {"address": self.fleet.store.address},
            "bounds": {"grace": f"{GRACE_S:.0f}s", "retry_budget_ratio": 0.2, "budget_slack": 58},
        }

    def start(self, bootstrap=True):
        path = os.path.join(self.fleet.folder, f"{self.name}.toml")
        with open(os.path.join(ROOT, "deploy", "node.toml"), encoding="utf-8") as file:
            text = render(file.read(), [self.settings(bootstrap)])
        with open(path, "w", encoding="utf-8") as file:
            file.write(text)
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            words = tomllib.load(file)["roles"]["node"]["run"].split()
        command = [os.path.join(ROOT, words[0])] + words[1:-1] + [path]
        self.log = open(os.path.join(self.fleet.folder, f"{self.name}.log"), "ab")
        self.child = subprocess.Popen(command, stdout=self.log, stderr=subprocess.STDOUT, cwd=ROOT)
        self.fleet.record.write(f"node {self.name} starts, pid {self.child.pid}")

    def signal(self, number):
        self.fleet.record.write(f"{signal.Signals(number).name} to node {self.name}")
        self.child.send_signal(number)

    def kill(self):
        self.signal(signal.SIGKILL)
        self.child.wait()

    def is_ready(self):
        host, port = self.listen["ready"].split(":")
        try:
            with socket.create_connection((host, int(port)), timeout=1) as sock:
                sock.sendall(b"GET /v1/readiness HTTP/1.1\r\nHost: node\r\nConnection: close\r\n\r\n")
                return Reader(sock).head().line.split()[1] == "200"
        except (OSError, ConnectionError):
            return False

    def wait_ready(self, limit=15):
        end = time.monotonic() + limit
        while not self.is_ready():
            if time.monotonic() > end or self.child.poll() is not None:
                raise CannotRun(f"node {self.name} is not ready")
            time.sleep(0.05)


class Fleet:
    ZONES = {"ipoh": "semenanjung-utara", "penang": "semenanjung-utara", "johor": "semenanjung-selatan",
             "melaka": "semenanjung-selatan", "kuching": "borneo", "kota-kinabalu": "borneo"}

    def __init__(self, record):
        self.record = record
        self.zones = self.ZONES
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.base = f"127.{random.randrange(16, 240)}.{random.randrange(1, 250)}"
        self.store = Store(f"{self.base}.250")
        self.machines = []

    def add(self, service, zone="ipoh", respond=None, slots=7):
        number = len(self.machines) + 1
        machine = Machine(self, f"sidecar-{zone}-{number}", f"{self.base}.{number}", zone, self.zones[zone], service,
                          respond, slots)
        self.machines.append(machine)
        return machine

    def configure(self, version, routes, max_body_bytes=67108864):
        services = sorted({it["service"] for it in routes.values()} | {it.service for it in self.machines})
        spec = {"version": version, "routes": routes,
                "services": {it: {"health_path": "/health", "max_conns": 330, "protocol": "h1", "tls": False}
                             for it in services},
                "limits": {"max_header_bytes": 16384, "max_body_bytes": max_body_bytes, "header_timeout": "3000ms",
                           "idle_timeout": "15000ms"}}
        self.store.put("config", "main", spec)
        self.record.write(f"configuration {version} is acknowledged")

    def start(self):
        for it in self.machines:
            it.start()
        for it in self.machines:
            it.backend.start_beats(it.listen["control"])
        for it in self.machines:
            it.wait_ready()

    def stop(self):
        for it in self.machines:
            it.backend.beats.set()
            if it.child and it.child.poll() is None:
                it.child.send_signal(signal.SIGCONT)
                it.child.kill()
            if it.child:
                it.child.wait()
        if os.environ.get("KEEP"):
            print("kept", self.folder, file=sys.stderr)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def route(host, prefix, service, kind="safe", timeout="6000ms", attempts=2, priority=0):
    return {"host": host, "path_prefix": prefix, "kind": kind, "timeout": timeout, "target_latency": "2000ms",
            "priority": priority, "service": service, "max_attempts": attempts}


# ---------------------------------------------------------------------------------------------------------------------
# Clients


class Answer:
    def __init__(self, status=None, head=None, body=b"", error=None):
        self.status = status  # None: no answer began
        self.head = head
        self.body = body
        self.error = error  # what cut the answer short; None: it is complete

    def get(self, name):
        return self.head.get(name) if self.head else None

    def __str__(self):
        if self.status is None:
            return f"no answer ({self.error})"
        text = f"{self.status}, Attempt-Id {self.get('attempt-id')}, {len(self.body)} bytes"
        return text + (f", cut: {self.error}" if self.error else "")


class Client:
    """A client beside one node, with one connection."""

    def __init__(self, machine, timeout=20):
        host, port = machine.listen["outbound"].split(":")
        self.record = machine.fleet.record
        self.machine = machine
        self.sock = socket.create_connection((host, int(port)), timeout=1)
        self.sock.settimeout(timeout)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.reader = Reader(self.sock)

    def send(self, method, host, path, body=b"", deadline_ms=6000, headers=()):
        attempt = secrets.token_hex(8)
        lines = [f"{method} {path} HTTP/1.1", f"Host: {host}", f"Attempt-Id: {attempt}", f"Deadline-Ms: {deadline_ms}"]
        lines += [f"{name}: {value}" for name, value in headers]
        if body or method in ("POST", "PUT"):
            lines.append(f"Content-Length: {len(body)}")
        self.record.write(f"client at {self.machine.name} sends {attempt} ({lines[0]}, {len(body)} bytes)")
        self.sock.sendall(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        return attempt

    def receive(self, attempt):
        answer = Answer()
        try:
            answer.head = self.reader.head()
            answer.status = int(answer.head.line.split()[1])
            answer.body = self.reader.body(answer.head, closes=True)
        except (OSError, ConnectionError) as error:
            answer.error = str(error) or type(error).__name__
        self.record.write(f"client at {self.machine.name} gets for {attempt}: {answer}")
        return answer

    def request(self, method, host, path, body=b"", deadline_ms=6000, headers=()):
        attempt = self.send(method, host, path, body, deadline_ms, headers)
        return attempt, self.receive(attempt)

    def close(self):
        self.sock.close()


def play(folder, case):
    """Runs case(record, fleet, trouble), which returns True if the rule held. Exits with 0, 1 or 2."""
    record = Record(os.path.join(folder, "record.txt"))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.write(f"TROUBLE={int(trouble)}")
    code = 2
    fleet = None
    try:
        fleet = Fleet(record)
        held = case(record, fleet, trouble)
        code = 0 if held else 1
    except Exception as error:  # anything unforeseen means that the case could not be played
        record.write(f"cannot run: {type(error).__name__}: {error}")
    finally:
        if fleet:
            fleet.stop()
    record.write({0: "the rule held", 1: "the rule was broken", 2: "the case could not run"}[code])
    sys.stdout.flush()
    os._exit(code)
