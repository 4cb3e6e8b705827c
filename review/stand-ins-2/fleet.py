"""Stand-ins for a small deployment on loopback: the platform's store, backends and clients, and the project's nodes as
separate processes with the settings of the deploy file. Used by the scripts of this review; Python's standard library
only.
"""

import asyncio
import json
import os
import random
import re
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = os.path.join(ROOT, "target", "gooseberrymill")
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

BOUNDS = {
    "contact": 4.0, "drain": 2.5, "grace": 6.0, "config_apply": 2.5, "rollback_slack": 0.25, "loss_slack": 0.2,
    "retry_budget_ratio": 0.2, "budget_slack": 58,
}


class Broken(Exception):
    """The rule was broken."""


class CannotRun(Exception):
    """The case could not run: a part of it did not start, or a precondition was not met."""


# ---------------------------------------------------------------------------------------------------------------------
# Record
# ---------------------------------------------------------------------------------------------------------------------


class Record:
    """Writes record.txt: one line for each event that clients, backends and the platform see."""

    def __init__(self, path):
        self.start = time.monotonic()
        self.file = open(path, "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.start

    def note(self, text):
        self.file.write(f"{self.now():8.3f}  {text}\n")
        self.file.flush()


# ---------------------------------------------------------------------------------------------------------------------
# HTTP
# ---------------------------------------------------------------------------------------------------------------------


async def read_head(reader):
    """Returns (first line, headers as a list of (name, value)), or None at the end of the connection."""
    line = await reader.readline()
    if not line:
        return None
    headers = []
    while True:
        text = await reader.readline()
        if text in (b"\r\n", b"\n"):
            return line.decode("latin-1").rstrip("\r\n"), headers
        if not text:
            return None
        name, _, value = text.decode("latin-1").partition(":")
        headers.append((name.strip(), value.strip()))


def header(headers, name):
    for key, value in headers:
        if key.lower() == name.lower():
            return value
    return None


async def read_body(reader, headers, no_body=False):
    if no_body:
        return b""
    if (header(headers, "Transfer-Encoding") or "").lower() == "chunked":
        body = b""
        while True:
            line = await reader.readline()
            if not line:
                raise ConnectionError("cut inside a chunked body")
            size = int(line.split(b";")[0], 16)
            if size == 0:
                while (await reader.readline()) not in (b"\r\n", b"\n", b""):
                    pass
                return body
            body += await reader.readexactly(size)
            await reader.readline()
    length = header(headers, "Content-Length")
    return await reader.readexactly(int(length)) if length else b""


def reset(writer):
    """Closes a connection with a reset."""
    peer = writer.get_extra_info("socket")
    if peer is not None:
        try:
            peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        except OSError:
            pass
    writer.transport.abort()


def encode_answer(status, body=b"", headers=()):
    lines = [f"HTTP/1.1 {status} X"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class Answer:
    def __init__(self, status, headers, body):
        self.status, self.headers, self.body = status, headers, body

    def header(self, name):
        return header(self.headers, name)


class Connection:
    """A client's connection to one address."""

    def __init__(self, reader, writer):
        self.reader, self.writer = reader, writer

    @staticmethod
    async def open(address, timeout=1.0):
        host, _, port = address.rpartition(":")
        reader, writer = await asyncio.wait_for(asyncio.open_connection(host, int(port)), timeout)
        return Connection(reader, writer)

    def send(self, method, path, headers, body=b""):
        lines = [f"{method} {path} HTTP/1.1"] + [f"{name}: {value}" for name, value in headers]
        if body or method in ("POST", "PUT"):
            lines.append(f"Content-Length: {len(body)}")
        self.writer.write(("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body)

    async def answer(self, method="GET"):
        while True:
            head = await read_head(self.reader)
            if head is None:
                raise ConnectionError("closed without an answer")
            status = int(head[0].split(" ")[1])
            if status >= 200:
                break
        no_body = method == "HEAD" or status in (204, 304)
        return Answer(status, head[1], await read_body(self.reader, head[1], no_body))

    def close(self):
        try:
            self.writer.close()
        except Exception:
            pass

    def reset(self):
        reset(self.writer)


async def call(address, method, path, headers=(), body=b"", timeout=10.0):
    """One request on a new connection. Raises ConnectionError, OSError or asyncio.TimeoutError."""
    connection = await Connection.open(address)
    try:
        connection.send(method, path, list(headers), body)
        return await asyncio.wait_for(connection.answer(method), timeout)
    except asyncio.IncompleteReadError as error:
        raise ConnectionError("cut") from error
    finally:
        connection.close()


# ---------------------------------------------------------------------------------------------------------------------
# The platform's store
# ---------------------------------------------------------------------------------------------------------------------


class Store:
    """Objects by kind and name with one revision counter. Linearizable; each node has a listener of its own, so that a
    fault may concern some nodes only."""

    def __init__(self, record):
        self.record = record
        self.revision = 1
        self.objects = {}
        self.events = []  # (revision, kind, object, deleted)
        self.waiters = set()  # futures of the watches that wait for a change
        self.servers = []
        self.tasks = {}  # open connections by the name of the node
        self.modes = {}  # by node: "silent", "reset", "busy"; absent: sound
        self.delay = 0.004

    async def listen(self, node):
        async def serve(reader, writer):
            task = asyncio.current_task()
            self.tasks.setdefault(node, {})[task] = writer
            try:
                await self._serve(node, reader, writer)
            except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
                pass
            finally:
                self.tasks[node].pop(task, None)
                writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        self.servers.append(server)
        return "127.0.0.1:%d" % server.sockets[0].getsockname()[1]

    def set_mode(self, mode, nodes=None):
        for node in nodes or list(self.tasks):
            if mode:
                self.modes[node] = mode
            else:
                self.modes.pop(node, None)
            if mode == "reset":
                for writer in list(self.tasks.get(node, {}).values()):
                    reset(writer)

    async def _serve(self, node, reader, writer):
        while True:
            head = await read_head(reader)
            if head is None:
                return
            method, target, _ = head[0].split(" ")
            body = await read_body(reader, head[1])
            mode = self.modes.get(node)
            if mode == "silent":
                await asyncio.sleep(3600)
            if mode == "reset":
                reset(writer)
                return
            if mode == "busy":
                status, answer = 503, {}
            else:
                await asyncio.sleep(self.delay)
                status, answer = await self.handle(method, target, json.loads(body) if body else None)
            if self.modes.get(node) == "silent":
                await asyncio.sleep(3600)
            writer.write(encode_answer(status, json.dumps(answer).encode(), [("Content-Type", "application/json")]))
            await writer.drain()

    async def handle(self, method, target, body):
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query))
        parts = [urllib.parse.unquote(it) for it in url.path.split("/")[3:]]
        kind, name = parts[0], parts[1] if len(parts) > 1 else None
        if method == "GET" and name:
            found = self.objects.get((kind, name))
            return (200, found) if found else (404, {})
        if method == "GET" and "watch" in query:
            return await self.watch(kind, int(query["watch"]), int(query.get("wait_ms", "0")) / 1000)
        if method == "GET":
            items = [it for (k, _), it in sorted(self.objects.items()) if k == kind]
            return 200, {"items": items, "more": False, "store_revision": self.revision}
        if method == "POST":
            name = body["metadata"]["name"]
            if (kind, name) in self.objects:
                return 409, self.objects[(kind, name)]
            return 201, await self.write(kind, name, body.get("spec"))
        found = self.objects.get((kind, name))
        if not found:
            return 404, {}
        expected = (body or {}).get("metadata", {}).get("revision", query.get("revision"))
        if expected is not None and int(expected) != found["metadata"]["revision"]:
            return 409, found
        if method == "DELETE":
            del self.objects[(kind, name)]
            await self.publish(kind, found, True)
            return 200, {}
        if found["spec"] == body.get("spec"):
            return 200, found
        return 200, await self.write(kind, name, body.get("spec"))

    async def write(self, kind, name, spec):
        self.revision += 1
        found = {"metadata": {"name": name, "revision": self.revision}, "spec": spec, "status": {}}
        self.objects[(kind, name)] = found
        await self.publish(kind, found, False, self.revision)
        return found

    async def publish(self, kind, found, deleted, revision=None):
        if revision is None:
            self.revision += 1
            revision = self.revision
        self.events.append((revision, kind, found, deleted))
        for waiter in self.waiters:
            if not waiter.done():
                waiter.set_result(None)

    async def watch(self, kind, since, wait):
        end = time.monotonic() + wait
        while True:
            events = [{"object": o, "deleted": d} for r, k, o, d in self.events if k == kind and r > since]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "store_revision": self.revision}
            waiter = asyncio.get_running_loop().create_future()
            self.waiters.add(waiter)
            try:
                await asyncio.wait([waiter], timeout=left)
            finally:
                self.waiters.discard(waiter)

    async def put_config(self, spec):
        """The operator's write. Returns the moment of the acknowledgement."""
        await self.write("config", "main", spec)
        self.record.note(f"operator: version {spec['version']} acknowledged")
        return time.monotonic()


def route(host, prefix, service, kind, priority=1, timeout="8s", attempts=3):
    return {
        "host": host, "path_prefix": prefix, "service": service, "kind": kind, "priority": priority,
        "timeout": timeout, "target_latency": "2s", "max_attempts": attempts,
    }


def config(version, routes, services, tenants=None):
    spec = {
        "version": f"r{version}",
        "routes": routes,
        "services": {name: {} for name in services},
        "limits": {
            "max_header_bytes": 16384, "max_body_bytes": 1048576, "header_timeout": "5s", "idle_timeout": "10s",
        },
    }
    if tenants is not None:
        spec["tenants"] = tenants
    return spec


# ---------------------------------------------------------------------------------------------------------------------
# Backends
# ---------------------------------------------------------------------------------------------------------------------


class Run:
    def __init__(self, backend, attempt, method, path, headers, body):
        self.backend, self.attempt, self.method, self.path = backend, attempt, method, path
        self.headers, self.body, self.at, self.end = headers, body, time.monotonic(), None


class Backend:
    """A sound backend: one request at a time on a connection, a queue behind its slots, 421 for another instance."""

    def __init__(self, record, node, service, slots=8, work=0.02):
        self.record, self.node, self.service, self.slots, self.work = record, node, service, slots, work
        self.instance = "i-%08x" % random.getrandbits(32)
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.runs = []
        self.free = asyncio.Semaphore(slots)
        self.server = None
        self.address = None
        self.beats = None
        self.writers = set()
        self.answer = None  # replaces the answer of a run: async function (run, writer) -> bool (keeps the connection)

    async def start(self, host):
        self.server = await asyncio.start_server(self._connected, host, 0)
        self.address = "%s:%d" % (host, self.server.sockets[0].getsockname()[1])

    async def _connected(self, reader, writer):
        self.writers.add(writer)
        try:
            while await self._serve(reader, writer):
                pass
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _serve(self, reader, writer):
        head = await read_head(reader)
        if head is None:
            return False
        method, path, _ = head[0].split(" ")
        headers = head[1]
        body = await read_body(reader, headers)
        attempt = header(headers, "Attempt-Id")
        if path == "/health":
            writer.write(encode_answer(200, b"", [("Instance-Id", self.instance)]))
            return True
        expected = header(headers, "Expected-Instance")
        if expected and expected != self.instance:
            writer.write(encode_answer(421, b"", [("Attempt-Id", attempt), ("Not-Executed", "1")]))
            return True
        async with self.free:
            run = Run(self, attempt, method, path, headers, body)
            self.runs.append(run)
            self.record.note(f"backend {self.instance} ({self.service}) runs {attempt} {method} {path}")
            await asyncio.sleep(self.work)
            run.end = time.monotonic()
            if self.answer:
                return await self.answer(run, writer)
            writer.write(encode_answer(200, f"{attempt} by {self.instance}".encode(), self.signature(attempt)))
            await writer.drain()
        return True

    def signature(self, attempt):
        return [("Attempt-Id", attempt), ("Response-Signature", f"sig-{attempt}-{self.instance}")]

    def beat_body(self, sequence, state):
        return json.dumps({
            "address": self.address, "born": self.born,
            "info": {"service": self.service, "version": "v1", "zone": "z", "slots": self.slots},
            "status": {"state": state, "seq_no": sequence, "cold_left": "0ms"},
        }).encode()

    async def beat(self, sequence=None, state=None):
        if sequence is None:
            self.sequence += 1
            sequence = self.sequence
        body = self.beat_body(sequence, state or self.state)
        path = f"/v1/Instances.Heartbeat/{self.instance}"
        answer = await call(self.node.control, "POST", path, [("Host", "x"), ("Content-Type", "application/json")], body,
                            1.0)
        return answer.status

    async def deregister(self):
        body = json.dumps({"address": self.address, "born": self.born}).encode()
        path = f"/v1/Instances.Deregister/{self.instance}"
        answer = await call(self.node.control, "POST", path, [("Host", "x"), ("Content-Type", "application/json")], body,
                            1.0)
        self.record.note(f"backend {self.instance} deregisters at {self.node.name}: {answer.status}")
        return answer.status

    def start_beats(self, period=1.5):
        async def beat_always():
            while True:
                try:
                    await self.beat()
                except (OSError, asyncio.TimeoutError):
                    pass
                await asyncio.sleep(period)

        self.beats = asyncio.create_task(beat_always())

    def stop_beats(self):
        if self.beats:
            self.beats.cancel()
            self.beats = None

    def exit(self):
        """The process ends: its connections are reset and its address refuses connections."""
        self.stop_beats()
        self.server.close()
        for writer in list(self.writers):
            reset(writer)
        self.record.note(f"backend {self.instance} ({self.service}) ends")


# ---------------------------------------------------------------------------------------------------------------------
# Nodes
# ---------------------------------------------------------------------------------------------------------------------


def render(template, context):
    """The part of the platform's template language that deploy/node.toml uses."""

    def lookup(name, scope):
        if name in (".", "@"):
            return scope[0].get(name)
        for table in scope:
            value = table
            for part in name.split("."):
                value = value.get(part) if isinstance(value, dict) else None
            if value is not None:
                return value
        return None

    section = re.compile(r"\{\{([#^])([^}]+)\}\}\n?(.*?)\{\{/\2\}\}\n?", re.S)

    def expand(text, scope):
        def replace(match):
            sign, name, inner = match.groups()
            value = lookup(name, scope)
            if sign == "^":
                return expand(inner, scope) if not value else ""
            if not value:
                return ""
            if isinstance(value, dict):
                return "".join(expand(inner, [{"@": key, ".": item}] + scope) for key, item in value.items())
            return expand(inner, scope)

        text = section.sub(replace, text)

        def fill(match):
            value = lookup(match.group(1), scope)
            return "" if value is None else str(value).lower() if isinstance(value, bool) else str(value)

        return re.sub(r"\{\{([^}]+)\}\}", fill, text)

    return expand(template, [context])


class Node:
    """A node of the project, started with the command of the deploy file."""

    def __init__(self, fleet, name, ip, region, zone, service):
        self.fleet, self.name, self.ip, self.region, self.zone, self.service = fleet, name, ip, region, zone, service
        self.outbound, self.control, self.ready = f"{ip}:8629", f"{ip}:8620", f"{ip}:8625"
        self.process = None
        self.log = None
        self.backend = None
        self.store_address = None
        self.bootstrap = True

    def write_settings(self):
        with open(os.path.join(ROOT, "deploy", "node.toml"), encoding="utf-8") as file:
            template = file.read()
        bounds = {
            "grace": "6s", "retry_budget_ratio": 0.2, "budget_slack": 58,
        }
        bounds.update(self.fleet.bounds)
        context = {
            "node": self.name, "region": self.region, "zone": self.zone, "service": self.service,
            "app_addr": self.backend.address, "ip": self.ip, "bootstrap": self.bootstrap,
            "listen": {"outbound": self.outbound, "control": self.control, "ready": self.ready},
            "zones": self.fleet.zones, "platform": {"address": self.store_address}, "bounds": bounds,
        }
        path = os.path.join(self.fleet.folder, f"{self.name}.toml")
        with open(path, "w", encoding="utf-8") as file:
            file.write(render(template, context))
        return path

    def start(self):
        path = self.write_settings()
        self.log = open(os.path.join(self.fleet.folder, f"{self.name}.log"), "ab")
        self.process = subprocess.Popen([PROGRAM, "serve", "--settings", path], cwd=ROOT, stdout=self.log,
                                        stderr=self.log, stdin=subprocess.DEVNULL)
        self.fleet.processes.append(self.process)
        self.fleet.record.note(f"node {self.name} starts")
        self.bootstrap = False

    def signal(self, number):
        if self.process.poll() is None:
            self.process.send_signal(number)
        self.fleet.record.note(f"node {self.name} gets {signal.Signals(number).name}")

    def kill(self):
        self.signal(signal.SIGKILL)
        self.process.wait()

    async def wait_ready(self, limit=15.0):
        end = time.monotonic() + limit
        while time.monotonic() < end:
            if self.process.poll() is not None:
                raise CannotRun(f"node {self.name} ended with {self.process.returncode}")
            try:
                answer = await call(self.ready, "GET", "/v1/readiness", [("Host", "x")], timeout=1.0)
                if answer.status == 200:
                    return
            except (OSError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.1)
        raise CannotRun(f"node {self.name} is not ready")


class Fleet:
    def __init__(self, record, bounds=None):
        self.record = record
        self.bounds = bounds or {}
        self.folder = tempfile.mkdtemp(prefix="review-2-")
        self.processes = []
        self.nodes = []
        self.zones = {}
        self.store = Store(record)
        self.network = "127.%d.%d" % (random.randint(1, 250), random.randint(1, 250))
        self.attempts = 0

    async def add(self, name, service, region="r1", zone="z1", slots=8, work=0.02):
        node = Node(self, name, f"{self.network}.{len(self.nodes) + 1}", region, zone, service)
        self.zones[zone] = region
        node.backend = Backend(self.record, node, service, slots, work)
        await node.backend.start(node.ip)
        node.store_address = await self.store.listen(name)
        self.nodes.append(node)
        return node

    async def start(self):
        if not os.path.exists(PROGRAM):
            raise CannotRun("target/gooseberrymill is missing: run the build of the deploy file")
        for node in self.nodes:
            node.start()
        for node in self.nodes:
            await node.wait_ready()
            node.backend.start_beats()

    def attempt(self):
        self.attempts += 1
        return "%012x%04x" % (random.getrandbits(48), self.attempts)

    async def request(self, node, method, path, host, body=b"", deadline_ms=6000, headers=(), attempt=None):
        """One client attempt on a new connection: (attempt id, Answer or None, error text)."""
        attempt = attempt or self.attempt()
        lines = [("Host", host), ("Attempt-Id", attempt), ("Deadline-Ms", str(deadline_ms))] + list(headers)
        self.record.note(f"client at {node.name} sends {attempt} {method} {path}")
        try:
            answer = await call(node.outbound, method, path, lines, body, deadline_ms / 1000 + 1)
        except (OSError, asyncio.TimeoutError) as error:
            self.record.note(f"client at {node.name}: {attempt} has no answer: {type(error).__name__} {error}")
            return attempt, None, f"{type(error).__name__} {error}"
        self.record.note(f"client at {node.name}: {attempt} answered {answer.status}")
        return attempt, answer, ""

    async def wait_served(self, node, path, host, method="GET", limit=15.0):
        end = time.monotonic() + limit
        while time.monotonic() < end:
            _, answer, _ = await self.request(node, method, path, host, deadline_ms=1500)
            if answer and answer.status == 200:
                return
            await asyncio.sleep(0.2)
        raise CannotRun(f"{path} is not served at {node.name}")

    def runs(self):
        return [run for node in self.nodes for run in node.backend.runs]

    def end(self):
        for process in self.processes:
            if process.poll() is None:
                process.kill()
        for process in self.processes:
            process.wait()
        if os.environ.get("KEEP_LOGS"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def main(folder, case, bounds=None):
    """Runs `case(fleet)`, an async function that raises Broken or CannotRun, and ends the script with its result."""
    record = Record(os.path.join(folder, "record.txt"))
    record.note(f"TROUBLE={1 if TROUBLE else 0}")
    code = 2

    async def run():
        fleet = Fleet(record, bounds)
        try:
            await asyncio.wait_for(case(fleet), 115)
        finally:
            fleet.end()

    try:
        asyncio.run(run())
        code = 0
        record.note("result: the rule held")
    except Broken as error:
        code = 1
        record.note(f"result: the rule was broken: {error}")
    except (CannotRun, asyncio.TimeoutError) as error:
        record.note(f"result: the case could not run: {type(error).__name__} {error}")
    except Exception as error:  # a fault of the script
        record.note(f"result: the case could not run: {type(error).__name__} {error}")
        import traceback

        traceback.print_exc()
    print(open(os.path.join(folder, "record.txt"), encoding="utf-8").read().splitlines()[-1])
    sys.stdout.flush()
    os._exit(code)
