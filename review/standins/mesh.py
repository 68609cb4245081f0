"""Stand-ins for the platform, backends and clients of a small deployment on loopback addresses.

The programs under review run as separate processes, started with the command of deploy/system.toml and with settings
filled in from the template that it names. Everything else here follows PROTOCOL.md and DEPLOY.md.
"""

import asyncio
import base64
import json
import os
import re
import shlex
import signal
import socket
import sys
import tempfile
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
HOST = "mesh.example"
REGION = "guate-central"
HEARTBEAT_S = 1.5
DRAIN_S = 2.0
STABLE_S = 3.0
GRACE_S = 6.0
LATENCY_S = 0.004


def deploy_role():
    """Command and template of the one role in the deploy file."""
    text = (ROOT / "deploy/system.toml").read_text()
    return {name: re.search(rf'^{name} = "(.*)"$', text, re.M)[1] for name in ("run", "template")}


# ---- settings ----------------------------------------------------------------------------------------------------

def lookup(scopes, name):
    """Value of a placeholder, looked up in the innermost scope first."""
    if name == ".":
        return scopes[-1]
    for scope in reversed(scopes):
        value = scope
        for part in name.split("."):
            if isinstance(value, dict) and part in value:
                value = value[part]
            elif isinstance(value, list) and part.isdigit() and int(part) < len(value):
                value = value[int(part)]
            else:
                value = None
                break
        if value is not None:
            return value
    return None


def shown(value):
    if value is None:
        return ""
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, list):
        return ",".join(shown(item) for item in value)
    if isinstance(value, dict):
        return json.dumps(value)
    return str(value)


def render(text, scopes):
    """Fills a template in as DEPLOY.md describes: placeholders and sections, which don't nest under one name."""
    section = re.compile(r"\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}", re.S)

    def fill_section(match):
        kind, name, inner = match.groups()
        value = lookup(scopes, name)
        if kind == "^":
            return render(inner, scopes) if value in (None, False) else ""
        if value in (None, False):
            return ""
        items = value if isinstance(value, list) else [value]
        return "".join(render(inner, scopes + [item]) for item in items)

    text = section.sub(fill_section, text)
    text = re.sub(r"\{\{([\w.]+)\|json\}\}", lambda m: json.dumps(lookup(scopes, m[1])), text)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda m: shown(lookup(scopes, m[1])), text)


# ---- HTTP --------------------------------------------------------------------------------------------------------

class Request:
    def __init__(self, method, target, headers, body):
        self.method, self.target, self.headers, self.body = method, target, headers, body


async def read_head(reader):
    """Reads the head of a request; None at the end of the connection."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.rstrip("\r\n").split("\r\n")
    method, target, _ = first.split(" ", 2)
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return Request(method, target, headers, b"")


async def read_request(reader):
    """Reads one whole request; None at the end of the connection."""
    request = await read_head(reader)
    if request is None:
        return None
    headers, body = request.headers, b""
    if "chunked" in headers.get("transfer-encoding", ""):
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            chunk = await reader.readexactly(size + 2)
            if size == 0:
                break
            body += chunk[:-2]
    elif headers.get("content-length"):
        body = await reader.readexactly(int(headers["content-length"]))
    request.body = body
    return request


def response(status, body=b"", headers=()):
    reasons = {200: "OK", 404: "Not Found", 410: "Gone", 412: "Precondition Failed", 421: "Misdirected Request",
               503: "Service Unavailable"}
    lines = [f"HTTP/1.1 {status} {reasons.get(status, 'Status')}", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


async def call(address, method, target, body=b"", timeout=1.0):
    """One request on a connection of its own; the status, or None without a whole answer in time."""
    async def exchange():
        reader, writer = await asyncio.open_connection(*address)
        try:
            head = f"{method} {target} HTTP/1.1\r\nHost: node\r\nContent-Type: application/json\r\n"
            head += f"Connection: close\r\nContent-Length: {len(body)}\r\n\r\n"
            writer.write(head.encode() + body)
            await writer.drain()
            first = await reader.readline()
            await reader.read()
            return int(first.split()[1])
        finally:
            writer.close()
    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (OSError, asyncio.TimeoutError, IndexError, ValueError):
        return None


# ---- the platform's store ------------------------------------------------------------------------------------------

class Store:
    """Rows, transactions and feed; keeps copies of itself, from which a drill brings it back."""

    def __init__(self, record):
        self.record = record
        self.rows, self.gone, self.version, self.era = {}, {}, 0, 1
        self.copies, self.operator = [], {}
        self.began = time.monotonic()
        self.address, self.server, self.writers = None, None, set()
        self.changed = asyncio.Condition()

    async def start(self, address):
        self.address = address
        await self.listen()
        asyncio.create_task(self.keep_copies())

    async def listen(self):
        self.server = await asyncio.start_server(self.serve, *self.address)

    async def keep_copies(self):
        while True:
            self.copies.append((time.monotonic(), dict(self.rows), dict(self.gone), self.version))
            del self.copies[:-200]
            await asyncio.sleep(0.1)

    async def drill(self, away_s, age_s):
        """Is away for a moment and comes back from a copy that was age_s old when it went."""
        copy = [copy for copy in self.copies if copy[0] <= time.monotonic() - age_s][-1]
        lost = self.version - copy[3]
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        self.record(f"store: away, will be back in {away_s} s from a copy {age_s} s old, {lost} versions lost")
        await asyncio.sleep(away_s)
        _, self.rows, self.gone, self.version = copy[0], dict(copy[1]), dict(copy[2]), copy[3]
        self.copies = [copy]
        self.era += 1
        for key, value in self.operator.items():
            if self.rows.get(("op", "", key), (None, 0))[0] != value:
                self.write_operator(key, value)
        await self.listen()
        self.record(f"store: back, era {self.era}, version {self.version}")

    def write_operator(self, key, value):
        self.operator[key] = value
        self.version += 1
        self.rows[("op", "", key)] = (value, self.version)

    async def set_config(self, config):
        async with self.changed:
            self.write_operator("config", base64.b64encode(json.dumps(config).encode()).decode())
            self.changed.notify_all()

    def now_ms(self):
        return int((time.monotonic() - self.began) * 1000) + 5_000

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while request := await read_request(reader):
                await asyncio.sleep(LATENCY_S)
                status, body = await self.answer(request)
                payload = json.dumps(body).encode()
                headers = [("Content-Type", "application/json"), ("Store-Era", str(self.era))]
                writer.write(response(status, payload, headers))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer(self, request):
        path, _, text = request.target.partition("?")
        from urllib.parse import parse_qs
        query = {name: values[0] for name, values in parse_qs(text, keep_blank_values=True).items()}
        if path == "/api/rows-get":
            return self.get(query)
        if path == "/api/rows-tx":
            return await self.transact(json.loads(request.body))
        if path == "/api/rows-feed":
            return await self.feed(query)
        return 404, {}

    def told(self, name, held):
        return {"table": name[0], "part": name[1], "key": name[2], "value": held[0], "ver": held[1]}

    def get(self, query):
        part = query.get("part", "")
        first, last = query.get("from", ""), query.get("to")
        limit = int(query.get("limit", "500"))
        found = sorted(name for name in self.rows
                       if name[0] == query["table"] and name[1] == part and name[2] >= first
                       and (last is None or name[2] < last))
        rows = [self.told(name, self.rows[name]) for name in found[:limit]]
        return 200, {"rows": rows, "has_more": len(found) > limit, "ver": self.version, "now_ms": self.now_ms()}

    async def transact(self, body):
        await asyncio.sleep(0.004)
        name = lambda row: (row["table"], row.get("part", ""), row["key"])
        held = lambda row: self.rows.get(name(row), (None, 0))[1]
        conditions = body.get("expected_rev", [])
        if any(held(row) != row["ver"] for row in conditions):
            rows = [self.told(name(row), self.rows[name(row)]) for row in conditions if name(row) in self.rows]
            return 412, {"rows": rows, "ver": self.version, "now_ms": self.now_ms()}
        async with self.changed:
            self.version += 1
            for row in body.get("writes", []):
                self.rows[name(row)] = (row["value"], self.version)
                self.gone.pop(name(row), None)
            for row in body.get("remove", []):
                if self.rows.pop(name(row), None):
                    self.gone[name(row)] = self.version
            self.changed.notify_all()
        return 200, {"ver": self.version, "now_ms": self.now_ms()}

    async def feed(self, query):
        after, era = int(query["after"]), self.era
        if after > self.version:
            return 410, {}
        until = time.monotonic() + min(int(query.get("wait_ms", "0")), 30_000) / 1000
        while True:
            rows = [self.told(n, h) for n, h in self.rows.items() if n[0] == query["table"] and h[1] > after]
            rows += [{"table": n[0], "part": n[1], "key": n[2], "ver": v, "deleted": True}
                     for n, v in self.gone.items() if n[0] == query["table"] and v > after]
            left = until - time.monotonic()
            if rows or left <= 0 or era != self.era:
                rows.sort(key=lambda row: row["ver"])
                return 200, {"rows": rows, "ver": self.version, "now_ms": self.now_ms()}
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass


# ---- backends ------------------------------------------------------------------------------------------------------

class Backend:
    """One incarnation of a backend beside a machine."""

    def __init__(self, record, machine, ident, slots=40, work_s=0.2, answer_bytes=400):
        self.record, self.machine, self.ident = record, machine, ident
        self.slots, self.work_s, self.answer_bytes = slots, work_s, answer_bytes
        self.runs, self.writers = [], set()
        self.sequence, self.beats, self.server = 0, None, None

    async def start(self):
        self.server = await self.listen()
        self.beats = asyncio.create_task(self.send_heartbeats())

    async def listen(self):
        return await asyncio.start_server(self.serve, *self.machine.app)

    async def send_heartbeats(self):
        while True:
            self.sequence += 1
            body = {"address": "%s:%d" % self.machine.app,
                    "info": {"service": self.machine.service, "version": "v1", "zone": self.machine.zone,
                             "slots": self.slots},
                    "status": {"state": "ready", "sequence": self.sequence, "cold_remaining_ms": 0}}
            path = f"/api/instances/{self.ident}/heartbeat"
            await call(self.machine.control, "POST", path, json.dumps(body).encode())
            await asyncio.sleep(HEARTBEAT_S)

    async def leave(self):
        """Leaves without a drain before, as some backends do; repeats the call until it is acknowledged. Returns the time
        of the acknowledgement."""
        self.beats.cancel()
        while await call(self.machine.control, "POST", f"/api/instances/{self.ident}/leave") != 200:
            await asyncio.sleep(0.3)
        return time.monotonic()

    async def exit(self):
        """Ends the process: closes the listener and all connections."""
        if self.beats:
            self.beats.cancel()
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while request := await read_request(reader):
                await self.answer(request, writer)
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer(self, request, writer):
        if request.target == "/health":
            writer.write(response(200, b"", [("X-Instance-Id", self.ident)]))
            return await writer.drain()
        ident = request.headers.get("x-attempt-id", "")
        if request.headers.get("x-expect-instance", self.ident) != self.ident:
            writer.write(response(421, b"", [("X-Attempt-Id", ident), ("X-Instance-Id", self.ident)]))
            return await writer.drain()
        run = {"id": ident, "at": time.monotonic(), "instance": self.ident, "method": request.method,
               "caller": request.headers.get("x-caller-service"), "answered": False}
        self.runs.append(run)
        await asyncio.sleep(self.work_s)
        word = f"{ident} {self.ident} ".encode()
        body = (word * (self.answer_bytes // len(word) + 1))[:self.answer_bytes]
        headers = [("X-Attempt-Id", ident), ("X-Response-Seal", "3e1b.07.5a2.600.0.c9f2a4d1")]
        writer.write(response(200, body, headers))
        await writer.drain()
        run["answered"] = True


# ---- machines ------------------------------------------------------------------------------------------------------

class Machine:
    """A sidecar machine: its addresses, and the process under review."""

    def __init__(self, record, folder, index, zone, service, store):
        self.record, self.folder = record, folder
        self.name, self.zone, self.service, self.store = f"sidecar-{zone}-{index}", zone, service, store
        self.ip = f"127.0.9.{10 + index}"
        ports = free_ports(self.ip, 7)
        self.app, self.outbound, self.inbound = [(self.ip, port) for port in ports[:3]]
        self.ready, self.control = [(self.ip, port) for port in ports[3:5]]
        self.internal = ports[5:7]
        self.process, self.started, self.bootstrap = None, None, True

    def fields(self):
        text = lambda address: "%s:%d" % address
        bounds = {"seed_lag_s": 3, "addr_reuse_s": 2, "stable_window_ms": 3000, "ack_ms": 4000, "catch_up_s": 4,
                  "drain_ms": 2000, "grace_s": 6, "loss_slack_ms": 200, "config_apply_ms": 2000,
                  "rollback_slack_ms": 250, "max_stretch_ms": 5000, "retry_budget_ratio": 0.2, "budget_window_s": 10,
                  "budget_slack": 47, "recovery_s": 15}
        return {"node_name": self.name, "role": "node", "machine_class": "sidecar", "serves": ["sidecar"],
                "ip": self.ip, "zone": self.zone, "region": REGION, "internal_ports": self.internal, "seeds": [],
                "bootstrap": self.bootstrap, "heartbeat_ms": int(HEARTBEAT_S * 1000), "app_addr": text(self.app),
                "service": self.service, "bounds": bounds,
                "listen": {"inbound": text(self.inbound), "outbound": text(self.outbound),
                           "readiness_addr": text(self.ready), "control_plane": text(self.control)},
                "platform": {"address": text(self.store.address), "form": "table", "writes_per_s": 400,
                             "reads_per_s": 2000, "tx_ms": 8.0, "row_bytes": 65536, "history_s": 20}}

    async def start(self):
        deploy = deploy_role()
        settings = self.folder / f"{self.name}.yaml"
        settings.write_text(render((ROOT / deploy["template"]).read_text(), [self.fields()]))
        words = shlex.split(deploy["run"])
        words = [str(settings) if word.startswith("/etc/coltsfootroute/") else word for word in words]
        self.bootstrap = False
        with open(self.folder / f"{self.name}.log", "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *words, cwd=ROOT, stdout=log, stderr=log, stdin=asyncio.subprocess.DEVNULL,
                env={name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
                | {"COLTSFOOTROUTE_BOOT": str(settings)})
        self.started = time.monotonic()
        self.record(f"{self.name}: process started")

    async def wait_ready(self, within_s):
        until = time.monotonic() + within_s
        while time.monotonic() < until:
            if await call(self.ready, "GET", "/api/readiness") == 200:
                return True
            await asyncio.sleep(0.05)
        return False

    def send_signal(self, number):
        self.record(f"{self.name}: {signal.Signals(number).name}")
        self.process.send_signal(number)

    async def stop(self):
        """Stops the process as the platform does: SIGTERM, and SIGKILL once its time is over."""
        self.send_signal(signal.SIGTERM)
        try:
            await asyncio.wait_for(self.process.wait(), GRACE_S)
        except asyncio.TimeoutError:
            self.send_signal(signal.SIGKILL)
            await self.process.wait()
        self.record(f"{self.name}: exit status {self.process.returncode}")

    async def end(self):
        if self.process and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()


def free_ports(ip, count):
    sockets = [socket.socket() for _ in range(count)]
    for held in sockets:
        held.bind((ip, 0))
    ports = [held.getsockname()[1] for held in sockets]
    for held in sockets:
        held.close()
    return ports


def config(version, routes, services):
    """A configuration; routes as (name, prefix, type, timeout_ms, service)."""
    return {"version": f"r{version}", "base_version": f"r{version - 1}",
            "routes": [{"name": name, "hostname": HOST, "prefix": prefix, "route_type": kind, "timeout_ms": timeout,
                        "target_latency_ms": 1500, "priority": 1, "service": service, "max_attempts": 2}
                       for name, prefix, kind, timeout, service in routes],
            "services": [{"name": name, "health_check_path": "/health", "max_connections": 900, "protocol": "h1",
                          "tls": False} for name in services],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_ms": 3000,
                       "idle_timeout_ms": 15000}}


# ---- clients -------------------------------------------------------------------------------------------------------

def request_bytes(method, path, ident, deadline_ms, body=b""):
    head = f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {ident}\r\nX-Deadline-Ms: {deadline_ms}\r\n"
    if body or method == "POST":
        head += f"Content-Length: {len(body)}\r\n"
    return head.encode() + b"\r\n" + body


class Answer:
    """What a client saw: the status and the body as far as it came, and how it ended."""

    def __init__(self):
        self.status, self.length, self.got, self.end, self.whole = None, None, 0, "silent", False
        self.closes, self.at = False, None


class Client:
    """A client that keeps its connection; it may read at a bounded rate through a small window."""

    def __init__(self, address, rate=None):
        self.address, self.rate, self.socket = address, rate, None

    async def connect(self):
        loop = asyncio.get_running_loop()
        self.socket = socket.socket()
        if self.rate:
            # Segments as on an Ethernet link and a small window, as the pages say of links: on loopback the kernel would
            # otherwise hold megabytes for the reader.
            self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, 1460)
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4 * 1024)
        self.socket.setblocking(False)
        await asyncio.wait_for(loop.sock_connect(self.socket, self.address), 1.0)

    def close(self):
        if self.socket:
            self.socket.close()
            self.socket = None

    async def send(self, method, path, ident, deadline_ms, body=b""):
        """Sends one request and reads its answer until its end or the deadline."""
        loop, answer = asyncio.get_running_loop(), Answer()
        try:
            if self.socket is None:
                await self.connect()
            await loop.sock_sendall(self.socket, request_bytes(method, path, ident, deadline_ms, body))
            await asyncio.wait_for(self.read(answer), deadline_ms / 1000)
        except asyncio.TimeoutError:
            answer.end = "deadline"
        except OSError as error:
            answer.end = type(error).__name__
        answer.at = time.monotonic()
        if not answer.whole or answer.closes:
            self.close()
        return answer

    async def read(self, answer):
        loop, head = asyncio.get_running_loop(), b""
        while b"\r\n\r\n" not in head:
            part = await loop.sock_recv(self.socket, 4096)
            if not part:
                answer.end = "closed"
                return
            head += part
        text, _, rest = head.partition(b"\r\n\r\n")
        lines = text.decode("latin-1").split("\r\n")
        answer.status = int(lines[0].split()[1])
        fields = {line.partition(":")[0].lower(): line.partition(":")[2].strip() for line in lines[1:]}
        answer.length = int(fields.get("content-length", "0"))
        answer.closes = fields.get("connection", "").lower() == "close"
        answer.got = len(rest)
        began = time.monotonic()
        while answer.got < answer.length:
            if self.rate:
                due = began + answer.got / self.rate
                await asyncio.sleep(max(0.0, due - time.monotonic()))
            part = await loop.sock_recv(self.socket, 4 * 1024 if self.rate else 64 * 1024)
            if not part:
                answer.end = "closed"
                return
            answer.got += len(part)
        answer.end, answer.whole = "whole", True


# ---- running a case ------------------------------------------------------------------------------------------------

class Record:
    """The file with what was sent, answered and run, in the order of time."""

    def __init__(self, path):
        self.began, self.file = time.monotonic(), open(path, "w")

    def __call__(self, text):
        self.file.write(f"{time.monotonic() - self.began:8.3f} {text}\n")
        self.file.flush()


def run_case(folder, play, limit_s=110):
    """Plays a case and exits: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run."""
    record = Record(folder / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record(f"trouble {'on' if trouble else 'off'}")
    machines = []

    async def main():
        # Whoever stops the script stops what it has started too.
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
        with tempfile.TemporaryDirectory(prefix="review-") as temporary:
            try:
                return await asyncio.wait_for(play(record, Path(temporary), machines, trouble), limit_s)
            finally:
                for machine in machines:
                    await machine.end()
                if os.environ.get("KEEP_LOGS"):
                    import shutil
                    shutil.copytree(temporary, os.environ["KEEP_LOGS"], dirs_exist_ok=True)

    try:
        code = asyncio.run(main())
    except (Exception, asyncio.CancelledError) as error:  # whatever keeps the case from running
        record(f"could not run: {type(error).__name__}: {error}")
        code = 2
    record({0: "rule held", 1: "RULE BROKEN", 2: "case could not run"}[code])
    sys.exit(code)
