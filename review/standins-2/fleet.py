"""A small deployment on loopback: the platform's store, nodes, backends and clients.

Standard library only. The nodes are processes started with the command and the settings template of the deploy file; a
backend is a process of its own (backend.py); store and clients run in the process of the case.
"""

import asyncio
import base64
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
HERE = pathlib.Path(__file__).resolve().parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST = "app.example"


class CannotRun(Exception):
    """The case could not be run: exit status 2."""


class Record:
    """record.txt: what was sent, answered and run, with the time since the start of the case."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.began = time.monotonic()

    def now(self):
        return time.monotonic() - self.began

    def note(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()

    def say(self, text):
        self.note(text)
        print(f"{self.now():8.3f} {text}", flush=True)


async def read_message(reader):
    """Reads one HTTP/1.1 message with a stated length; gives its first line, headers and body, or None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    body = b""
    length = int(headers.get("content-length", 0))
    if length:
        body = await reader.readexactly(length)
    return lines[0], headers, body


def message(first, headers, body=b""):
    lines = [first] + [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"content-length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class Store:
    """The platform's store: rows, transactions and the feed, as PROTOCOL.md tells them."""

    def __init__(self, address):
        self.address = address
        self.rows = {}
        self.version = 0
        self.begun = time.monotonic()
        self.changed = asyncio.Event()
        self.is_down = False
        self.era = 1
        self.server = None
        self.writers = set()

    async def start(self):
        ip, port = self.address
        self.server = await asyncio.start_server(self.serve, ip, port, limit=1 << 22, backlog=500)

    def copy(self):
        """The store's rows and version as they are now."""
        return self.version, dict(self.rows)

    async def return_from(self, copy, away_s):
        """Is away for a moment, then comes back from a copy in the next era; the operator's rows are written again."""
        self.is_down = True
        self.wake()
        for writer in list(self.writers):
            writer.transport.abort()
        await asyncio.sleep(away_s)
        operators = {name: row for name, row in self.rows.items() if name[0] == "op"}
        self.version, self.rows = copy[0], dict(copy[1])
        self.era += 1
        self.is_down = False
        for name, (value, _, is_deleted) in operators.items():
            self.version += 1
            self.rows[name] = (value, self.version, is_deleted)
        self.wake()

    def now_ms(self):
        return 7_000_000 + int((time.monotonic() - self.begun) * 1000)

    def put(self, table, key, text):
        self.version += 1
        self.rows[(table, "", key)] = (base64.b64encode(text.encode()).decode(), self.version, False)
        self.wake()

    def wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                request = await read_message(reader)
                if request is None:
                    return
                first, _, body = request
                method, target, _ = first.split(" ", 2)
                parts = urllib.parse.urlsplit(target)
                query = dict(urllib.parse.parse_qsl(parts.query, keep_blank_values=True))
                status, answer = await self.answer(method, parts.path, query, body)
                headers = {"content-type": "application/json"}
                if self.era is not None:
                    headers["store-era"] = self.era
                writer.write(message(f"HTTP/1.1 {status} X", headers, json.dumps(answer).encode()))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def shown(self, name, row):
        value, version, is_deleted = row
        shown = {"table": name[0], "part": name[1], "key": name[2], "ver": version}
        if is_deleted:
            shown["deleted"] = True
        else:
            shown["value"] = value
        return shown

    def told(self, **fields):
        return {**fields, "ver": self.version, "now_ms": self.now_ms()}

    async def answer(self, method, path, query, body):
        if self.is_down:
            return 503, {}
        if path == "/api/rows-get":
            await asyncio.sleep(0.004)
            low, high = query.get("from", ""), query.get("to")
            limit = min(int(query.get("limit", 500)), 500)
            found = [
                self.shown(name, row)
                for name, row in sorted(self.rows.items())
                if name[0] == query["table"] and name[1] == query.get("part", "")
                and not row[2] and low <= name[2] and (high is None or name[2] < high)
            ]
            return 200, self.told(rows=found[:limit], has_more=len(found) > limit)
        if path == "/api/rows-tx":
            await asyncio.sleep(0.008)
            return self.transact(json.loads(body))
        if path == "/api/rows-feed":
            return await self.feed(query["table"], int(query["after"]), int(query.get("wait_ms", 0)))
        return 404, {}

    def transact(self, call):
        name = lambda row: (row.get("table", ""), row.get("part", ""), row["key"])
        held = lambda row: self.rows.get(name(row), (None, 0, True))
        conditions = call.get("expected_rev", [])
        if any((0 if held(row)[2] else held(row)[1]) != row["ver"] for row in conditions):
            rows = [self.shown(name(row), held(row)) for row in conditions if not held(row)[2]]
            return 412, self.told(rows=rows)
        self.version += 1
        for row in call.get("writes", []):
            self.rows[name(row)] = (row["value"], self.version, False)
        for row in call.get("remove", []):
            self.rows[name(row)] = (None, self.version, True)
        self.wake()
        return 200, self.told()

    async def feed(self, table, after, wait_ms):
        until = time.monotonic() + wait_ms / 1000
        while True:
            if after > self.version:
                return 410, {}
            changed = self.changed
            rows = [
                self.shown(name, row) for name, row in self.rows.items()
                if name[0] == table and row[1] > after
            ]
            left = until - time.monotonic()
            if rows or left <= 0 or self.is_down:
                if self.is_down:
                    return 503, {}
                rows.sort(key=lambda row: row["ver"])
                return 200, self.told(rows=rows)
            try:
                await asyncio.wait_for(changed.wait(), left)
            except asyncio.TimeoutError:
                pass


def lookup(fields, path):
    value = fields
    for part in path.split("."):
        if isinstance(value, list):
            value = value[int(part)] if int(part) < len(value) else None
        else:
            value = value.get(part) if isinstance(value, dict) else None
        if value is None:
            return None
    return value


def fill_in(template, fields):
    """Fills in the settings template as DEPLOY.md tells, as far as deploy/node.yaml needs it."""
    section = re.compile(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", re.S)
    text = section.sub(lambda m: m[2] if lookup(fields, m[1]) not in (None, False) else "", template)

    def value(match):
        found = lookup(fields, match[1])
        if isinstance(found, bool):
            return "true" if found else "false"
        return "" if found is None else str(found)

    return re.sub(r"\{\{([\w.]+)\}\}", value, text)


BOUNDS = {
    "seed_lag_s": 3, "addr_reuse_s": 2, "stable_window_ms": 3000, "ack_ms": 4000, "catch_up_s": 4,
    "drain_ms": 2000, "grace_s": 6, "loss_slack_ms": 200, "config_apply_ms": 2000,
    "rollback_slack_ms": 250, "max_stretch_ms": 5000, "retry_budget_ratio": 0.2,
    "budget_window_s": 10, "budget_slack": 48, "recovery_s": 15,
}


class Machine:
    """One machine: a node and the backend beside it."""

    def __init__(self, fleet, index, service, zone):
        self.fleet, self.index, self.service, self.zone = fleet, index, service, zone
        self.ip = f"127.{fleet.net[0]}.{fleet.net[1]}.{index + 10}"
        port = fleet.port
        self.outbound, self.control = (self.ip, port), (self.ip, port + 1)
        self.ready, self.inbound = (self.ip, port + 2), (self.ip, port + 3)
        self.internal = [port + 4, port + 9]
        self.app = (self.ip, port + 10)
        self.process = None
        self.backend = None
        self.life = 0

    def settings(self):
        fleet = self.fleet
        at = lambda address: f"{address[0]}:{address[1]}"
        return {
            "node_name": f"sidecar-{self.index}", "role": "node", "machine_class": "sidecar",
            "serves": ["sidecar"], "ip": self.ip, "zone": self.zone, "region": "dar",
            "internal_ports": self.internal, "seeds": [], "bootstrap": fleet.is_first,
            "app_addr": at(self.app), "service": self.service,
            "listen": {"inbound": at(self.inbound), "outbound": at(self.outbound),
                       "readiness_addr": at(self.ready), "control_plane": at(self.control)},
            "bounds": fleet.bounds,
            "platform": {"address": at(fleet.store.address), "form": "table", "writes_per_s": 400,
                         "reads_per_s": 2000, "tx_ms": 8.0, "row_bytes": 65536},
        }

    def start_node(self):
        folder = self.fleet.folder
        path = folder / f"node-{self.index}.yaml"
        path.write_text(fill_in((ROOT / "deploy/node.yaml").read_text(), self.settings()))
        words = self.fleet.run.replace("/etc/coltsfootroute/node.toml", str(path)).split()
        log = open(folder / f"node-{self.index}.log", "ab")
        self.process = subprocess.Popen(
            words, cwd=ROOT, stdout=log, stderr=log, stdin=subprocess.DEVNULL,
            env={"PATH": os.environ.get("PATH", ""), "HOME": os.environ.get("HOME", "/")},
        )
        log.close()
        self.fleet.children.append(self.process)

    def start_backend(self, **options):
        """Starts the next incarnation of the backend, with an id of its own."""
        self.life += 1
        name = f"i-{self.index}-{self.life}"
        settings = {
            "ip": self.app[0], "port": self.app[1], "id": name, "service": self.service,
            "zone": self.zone, "control": list(self.control), "outbound": list(self.outbound),
            "beat_s": 1.5, "born": int(time.time() * 1000), **self.fleet.backend_options, **options,
        }
        self.backend = subprocess.Popen(
            [sys.executable, "-B", str(HERE / "backend.py"), json.dumps(settings)],
            stdin=subprocess.DEVNULL, stdout=subprocess.PIPE, stderr=subprocess.DEVNULL,
        )
        self.fleet.children.append(self.backend)
        self.fleet.spawn(self.fleet.follow(self, self.backend, name))


class Fleet:
    """The deployment of a case."""

    def __init__(self, record, services, config, backend_options=None, bounds=None):
        self.record = record
        self.net = (random.randrange(20, 250), random.randrange(1, 250))
        self.port = 20_000 + random.randrange(0, 500) * 20
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="coltsfoot-case-"))
        self.store = Store((f"127.{self.net[0]}.{self.net[1]}.2", self.port))
        self.bounds = {**BOUNDS, **(bounds or {})}
        self.config = config
        self.backend_options = backend_options or {}
        self.children = []
        self.tasks = set()
        self.pipes = []
        self.is_first = True
        self.on_line = lambda machine, name, line: None
        self.on_end = lambda machine, name: None
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self.run = deploy["roles"]["node"]["run"]
        if not (ROOT / self.run.split()[0]).exists():
            raise CannotRun("the deploy file's program is not built")
        zones = ["dar-a", "dar-b", "dar-c"]
        self.machines = [
            Machine(self, index, service, zones[index % 3]) for index, service in enumerate(services)
        ]

    async def start(self, but=()):
        """Starts all processes, except the backends of the machines in `but`."""
        try:
            await self.store.start()
        except OSError as error:
            raise CannotRun(f"cannot listen: {error}") from error
        self.store.put("op", "config", json.dumps(self.config))
        for machine in self.machines:
            machine.start_node()
        await asyncio.sleep(1.0)
        for machine in self.machines:
            if machine not in but:
                machine.start_backend()

    def spawn(self, coroutine):
        """Runs a task until the case ends."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def follow(self, machine, process, name):
        """Reads what a backend reports, until it ends."""
        loop = asyncio.get_running_loop()
        reader = asyncio.StreamReader(limit=1 << 20)
        pipe, _ = await loop.connect_read_pipe(
            lambda: asyncio.StreamReaderProtocol(reader), process.stdout
        )
        self.pipes.append(pipe)
        while line := await reader.readline():
            self.on_line(machine, name, line.decode().strip())
        self.on_end(machine, name)

    async def await_ready(self, seconds=15):
        """Waits until every node answers readiness checks with 200."""
        until = time.monotonic() + seconds
        waiting = list(self.machines)
        while waiting:
            if time.monotonic() > until:
                raise CannotRun(f"{len(waiting)} nodes are not ready")
            still = []
            for machine in waiting:
                answer = await call(machine.ready, "GET /api/readiness", {}, timeout=1)
                if answer is None or answer[0] != 200:
                    still.append(machine)
            waiting = still
            await asyncio.sleep(0.1)

    def end(self):
        for task in list(self.tasks):
            task.cancel()
        for child in self.children:
            if child.poll() is None:
                try:
                    child.send_signal(signal.SIGCONT)
                    child.kill()
                except ProcessLookupError:
                    pass
        for child in self.children:
            child.wait()
        if os.environ.get("KEEP"):
            print("kept", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


async def call(address, line, headers, body=b"", timeout=5.0):
    """Sends one request on a new connection; gives status, headers and body, or None without a whole answer."""
    async def exchange():
        reader, writer = await asyncio.open_connection(*address, limit=1 << 22)
        try:
            fields = {"host": HOST, "connection": "close", **headers}
            writer.write(message(f"{line} HTTP/1.1", fields, body))
            await writer.drain()
            answer = await read_message(reader)
        finally:
            writer.close()
        if answer is None:
            return None
        return int(answer[0].split(" ")[1]), answer[1], answer[2]

    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
        return None


def route(name, prefix, kind, service, **more):
    fields = {"name": name, "hostname": HOST, "prefix": prefix, "route_type": kind, "timeout_ms": 2500,
              "target_latency_ms": 1500, "priority": 1, "max_attempts": 2, "service": service}
    return {**fields, **more}


def config_of(routes, services, version=3):
    return {
        "version": f"r{version}", "base_version": "r0", "routes": routes,
        "services": [{"name": name, "health_check_path": "/health", "max_connections": 900}
                     for name in services],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 1048576, "header_timeout_ms": 5000,
                   "idle_timeout_ms": 15000},
    }


def main(folder, case):
    """Runs `case(record)`, which gives the number of breaches; exits as the review asks."""
    record = Record(pathlib.Path(folder) / "record.txt")
    try:
        is_broken = asyncio.run(asyncio.wait_for(case(record), 115))
    except CannotRun as error:
        record.say(f"cannot run: {error}")
        sys.exit(2)
    except asyncio.TimeoutError:
        record.say("cannot run: out of time")
        sys.exit(2)
    record.say("BROKEN" if is_broken else "held")
    sys.exit(1 if is_broken else 0)
