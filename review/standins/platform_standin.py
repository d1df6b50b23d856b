"""Stand-ins of the platform for the review cases: the store, runners, callers.

Everything runs on one asyncio loop. The daemons under test are separate
processes, started with the command of deploy/system.toml and with settings
rendered from its template. Each connection is assigned to the daemon that
opened it (by its socket), so that a case can cut single ways.
"""

import asyncio
import base64
import bisect
import json
import logging
import os
import re
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import urllib.parse

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
HEARTBEAT_S = 1.5
HOLD_MAX_MS = 6000
STOP_MS = 200
GANG_MS = 3000
SAVE_S = 1.0
ROW_BYTES = 65536
TX_MS = 6.0

BOUNDS = {
    "seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 4000, "ack_ms": 5000,
    "drain_ms": 2500, "grace_s": 6, "config_deadline_ms": 2500,
    "quota_window_s": 5, "quota_excess": 0.1, "quota_slack": 20,
    "hold_max_ms": HOLD_MAX_MS, "stop_ms": STOP_MS, "gang_ms": GANG_MS,
    "cancel_ms": 3000, "visible_ms": 3000, "finish_s": 14, "status_s": 120,
}


class Record:
    """The times and facts that go into record.txt."""

    def __init__(self, path):
        self.start = time.monotonic()
        self.file = open(path, "w", encoding="utf-8")
        self.facts = []

    def now(self):
        return time.monotonic() - self.start

    def add(self, kind, **fields):
        fact = {"t": round(self.now(), 3), "kind": kind, **fields}
        self.facts.append(fact)
        self.file.write(json.dumps(fact) + "\n")

    def close(self):
        self.file.close()


class Network:
    """Which ways are open, and which process opened a connection."""

    def __init__(self):
        self.processes = {}
        self.cut = lambda source, target: False
        self.listeners = {}

    async def owner(self, writer):
        """The name of the process that opened a connection; None if it has
        closed it. The kernel's table may be changing while it is read, so that
        a connection is missed."""
        port = writer.get_extra_info("peername")[1]
        target = writer.get_extra_info("sockname")[1]
        for _ in range(6):
            name = self.owner_of(port, target)
            if name is not None:
                return name
            await asyncio.sleep(0.005)
        return None

    def owner_of(self, port, target):
        inode = None
        with open("/proc/net/tcp", encoding="ascii") as table:
            for line in table:
                fields = line.split()
                if (len(fields) > 9 and fields[9] != "0" and
                        fields[1].endswith(":%04X" % port) and
                        fields[2].endswith(":%04X" % target)):
                    # Both ends are on this machine, and the same port may be
                    # in use for another target.
                    inode = fields[9]
                    break
        if inode is None:
            return None
        wanted = "socket:[%s]" % inode
        for name, process in self.processes.items():
            folder = "/proc/%d/fd" % process.pid
            try:
                for entry in os.listdir(folder):
                    try:
                        if os.readlink(os.path.join(folder, entry)) == wanted:
                            return name
                    except OSError:
                        continue
            except OSError:
                continue
        return None


async def read_message(reader):
    """The first line, header fields and body of an HTTP message, or None."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, OSError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            fields[name.strip().lower()] = value.strip()
    length = int(fields.get("content-length", "0"))
    try:
        body = await reader.readexactly(length) if length else b""
    except (asyncio.IncompleteReadError, ConnectionError, OSError):
        return None
    return lines[0], fields, body


class HttpPort:
    """An HTTP/1.1 server. The handler gets (source, method, path, query,
    fields, body) and returns (status, value), or None to leave the call
    unanswered."""

    def __init__(self, network, name, handler):
        self.network = network
        self.name = name
        self.handler = handler
        self.port = 0

    async def open(self, host="127.0.0.1"):
        server = await asyncio.start_server(self.serve, host, 0,
                                            limit=1 << 22)
        self.port = server.sockets[0].getsockname()[1]
        return self.port

    async def serve(self, reader, writer):
        source = await self.network.owner(writer)
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    break
                first, fields, body = message
                if self.network.cut(source, self.name):
                    # Lost on the way; the connection stays silent.
                    await reader.read()
                    break
                method, target, _ = first.split(" ", 2)
                url = urllib.parse.urlsplit(target)
                query = dict(urllib.parse.parse_qsl(url.query, True))
                answer = await self.handler(source, method, url.path, query,
                                            fields, body)
                if answer is None or self.network.cut(source, self.name):
                    await reader.read()
                    break
                status, value = answer
                text = json.dumps(value).encode()
                writer.write(b"HTTP/1.1 %d X\r\nContent-Type: application/json"
                             b"\r\nContent-Length: %d\r\n\r\n%s"
                             % (status, len(text), text))
                await writer.drain()
        except (ConnectionError, OSError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


class Link:
    """A TCP relay in front of a daemon's port for its peers."""

    def __init__(self, network, name, target):
        self.network = network
        self.name = name
        self.target = target
        self.port = 0

    async def open(self):
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]
        return self.port

    async def serve(self, reader, writer):
        source = await self.network.owner(writer)
        if self.network.cut(source, self.name):
            await reader.read()
            writer.close()
            return
        try:
            far_reader, far_writer = await asyncio.open_connection(*self.target)
        except OSError:
            writer.transport.abort()
            return

        async def pipe(a, b, cut):
            try:
                while True:
                    data = await a.read(65536)
                    if not data:
                        break
                    if cut():
                        continue
                    b.write(data)
                    await b.drain()
            except (ConnectionError, OSError):
                pass
            finally:
                b.close()

        await asyncio.gather(
            pipe(reader, far_writer,
                 lambda: self.network.cut(source, self.name)),
            pipe(far_reader, writer,
                 lambda: self.network.cut(self.name, source)))


class Store:
    """The platform's table: rows with versions, transactions and a feed."""

    def __init__(self, network, record):
        self.record = record
        self.rows = {}
        self.keys = {}
        self.version = 0
        self.changed = asyncio.Event()
        self.started = time.monotonic()
        self.port = HttpPort(network, "store", self.handle)
        self.refused = 0

    def stamp(self, value):
        value["ver"] = self.version
        value["now_ms"] = int((time.monotonic() - self.started) * 1000)
        return value

    def notify(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, table, part, key, value):
        """Writes a row on behalf of the operator or of a runner."""
        self.version += 1
        self.set(table, part, key, base64.b64encode(value.encode()).decode())
        self.notify()

    def set(self, table, part, key, value):
        if (table, part, key) not in self.rows:
            bisect.insort(self.keys.setdefault((table, part), []), key)
        self.rows[(table, part, key)] = (value, self.version)

    def remove(self, table, part, key):
        if self.rows.get((table, part, key), (None, 0))[0] is not None:
            self.version += 1
            self.rows[(table, part, key)] = (None, self.version)
            self.notify()

    def value(self, table, part, key):
        value = self.rows.get((table, part, key), (None, 0))[0]
        return None if value is None else base64.b64decode(value).decode()

    def row_json(self, identity):
        value, version = self.rows[identity]
        out = {"table": identity[0], "part": identity[1], "key": identity[2],
               "ver": version}
        if value is None:
            out["deleted"] = True
        else:
            out["value"] = value
        return out

    async def handle(self, source, method, path, query, fields, body):
        if path == "/-/rows-tx":
            await asyncio.sleep(TX_MS / 1000)
            return self.transact(json.loads(body), len(body))
        await asyncio.sleep(0.004)
        if path == "/-/rows-get":
            return 200, self.read(query)
        if path == "/-/rows-feed":
            return 200, await self.follow(query)
        return 404, {}

    def transact(self, body, size):
        entries = [e for name in ("expect_rev", "puts", "remove")
                   for e in body.get(name, [])]
        same_part = len({e.get("part", "") for e in entries}) <= 1
        too_long = any(len(base64.b64decode(e["value"])) > ROW_BYTES
                       for e in body.get("puts", []))
        if len(entries) > 100 or size > 1000000 or not same_part or too_long:
            self.refused += 1
            if self.refused <= 20:
                self.record.add("store_refused", status=400, bytes=size,
                                entries=len(entries), row_too_long=too_long)
            return 400, self.stamp({})
        if any(e["table"] in ("op", "servers")
               for e in body.get("puts", []) + body.get("remove", [])):
            return 403, self.stamp({})
        holds = True
        current = []
        for e in body.get("expect_rev", []):
            identity = (e["table"], e.get("part", ""), e["key"])
            value, version = self.rows.get(identity, (None, 0))
            version = version if value is not None else 0
            holds = holds and version == e["ver"]
            current.append(self.row_json(identity) if version else
                           {"table": identity[0], "part": identity[1],
                            "key": identity[2], "ver": 0})
        if not holds:
            return 412, self.stamp({"rows": current})
        self.version += 1
        for e in body.get("puts", []):
            self.set(e["table"], e.get("part", ""), e["key"], e["value"])
        for e in body.get("remove", []):
            identity = (e["table"], e.get("part", ""), e["key"])
            if identity in self.rows:
                self.rows[identity] = (None, self.version)
        self.notify()
        return 200, self.stamp({})

    def read(self, query):
        table, part = query["table"], query.get("part", "")
        keys = self.keys.get((table, part), [])
        limit = min(500, int(query.get("limit") or 500))
        rows, more, size = [], False, 0
        for key in keys[bisect.bisect_left(keys, query.get("from", "")):]:
            if query.get("target") and key >= query["target"]:
                break
            if self.rows[(table, part, key)][0] is None:
                continue
            if len(rows) == limit or size > 1000000:
                more = True
                break
            rows.append(self.row_json((table, part, key)))
            size += len(rows[-1]["value"])
        return self.stamp({"rows": rows, "has_more": more})

    async def follow(self, query):
        end = time.monotonic() + int(query.get("wait_ms") or 0) / 1000
        after = int(query["after"])
        while True:
            rows = [self.row_json(identity)
                    for identity, (_, version) in self.rows.items()
                    if version > after and identity[0] == query["table"]]
            left = end - time.monotonic()
            if rows or left <= 0:
                rows.sort(key=lambda row: row["ver"])
                return self.stamp({"rows": rows})
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass


class Runner:
    """A runner as PROTOCOL.md describes it. `spec` begins with the time that
    its tasks take, in milliseconds; with `fail` behind it, they end failed."""

    def __init__(self, network, record, store, name, service, zone, cpu,
                 mem_mb=131072, gpus=0, labels=("a", "r1-1")):
        self.network = network
        self.record = record
        self.store = store
        self.name = name
        self.service = service
        self.zone = zone
        self.capacity = {"cpu": cpu, "mem_mb": mem_mb, "gpus": gpus}
        self.labels = list(labels)
        self.state = "ready"
        # If set, answers each start with this status, having done nothing.
        self.start_status = None
        # Called with (path, body); True leaves the call unanswered and undone.
        self.drop = lambda path, body: False
        self.port = HttpPort(network, name, self.handle)
        self.started = time.monotonic()
        self.born = int(time.time() * 1000)
        self.fence = 0
        self.lease_end = 0
        self.lease_check = None
        self.next_end = 1
        self.running = {}
        self.ended = {}
        self.highest = {}
        self.changed = asyncio.Event()
        self.last_heartbeat = 0.0
        self.listed = False
        self.acked = 0

    async def open(self):
        await self.port.open()
        self.register()

    def register(self):
        self.listed = True
        self.last_heartbeat = time.monotonic()
        self.store.put("servers", "", self.name, json.dumps({
            "service": self.service,
            "address": "127.0.0.1:%d" % self.port.port,
            "zone": self.zone, "version": "v1", "slots": 8,
            "state": self.state, "cold_left_ms": 0,
            "capacity": self.capacity, "labels": self.labels,
            "clock_ms": self.clock(), "call_seq": int(time.monotonic() * 10)}))

    async def beat(self):
        """Liveness reports; the store drops the entry after three missing."""
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            if not self.network.cut(self.name, "store"):
                self.register()
            elif (self.listed and time.monotonic() - self.last_heartbeat >
                  3 * HEARTBEAT_S):
                self.listed = False
                self.store.remove("servers", "", self.name)
                self.record.add("unlisted", runner=self.name)

    def clock(self):
        return int((time.monotonic() - self.started) * 1000) + 1000

    def answer(self, status=200, **fields):
        return status, {"clock_ms": self.clock(), "born": self.born, **fields}

    async def handle(self, source, method, path, query, fields, body):
        if fields.get("expect-instance", self.name) != self.name:
            return self.answer(421)
        if method == "GET":
            return 200, {}
        order = json.loads(body)
        if self.drop(path, order):
            return None
        if order.get("fence_token", 0) < self.fence:
            return self.answer(409, reason="fence")
        self.fence = order.get("fence_token", 0)
        if path == "/-/hold":
            return await self.hold(order)
        if path == "/-/run-start":
            return self.start(order, source)
        if path == "/-/run-stop":
            return self.stop(order)
        if path == "/-/pace":
            return self.answer()
        return 404, {}

    def extend(self, order):
        if "deadline_ms" in order:
            self.lease_end = max(self.lease_end,
                                 min(order["deadline_ms"],
                                     self.clock() + HOLD_MAX_MS))

    async def watch_lease(self):
        while True:
            await asyncio.sleep(0.02)
            if self.running and self.clock() >= self.lease_end:
                for task in list(self.running):
                    self.finish(task, "lapsed")

    async def hold(self, order):
        self.extend(order)
        for number in [n for n in self.ended if n <= order["acked_upto"]]:
            del self.ended[number]
            self.acked += 1
        end = time.monotonic() + order.get("wait_ms", 0) / 1000
        while not self.ended and time.monotonic() < end:
            try:
                await asyncio.wait_for(self.changed.wait(),
                                       end - time.monotonic())
            except asyncio.TimeoutError:
                break
        running = [[task, run["run"], "", self.percent(run), 1000]
                   for task, run in self.running.items()]
        ended = [self.ended[n] for n in sorted(self.ended)[:500]]
        return self.answer(running=running, ended=ended)

    def percent(self, run):
        passed = time.monotonic() - run["at"]
        return min(99, int(100 * passed / max(run["time"], 0.001)))

    def start(self, order, source):
        if self.start_status is not None:
            self.record.add("start_refused", runner=self.name,
                            task=order["task"], run=order["run"],
                            status=self.start_status)
            return self.start_status, {}
        self.extend(order)
        task, run = order["task"], order["run"]
        known = self.running.get(task)
        if known and known["run"] == run:
            return self.answer()
        if known or run <= self.highest.get(task, 0):
            return self.answer(409, reason="old")
        if order["deadline_ms"] <= self.clock():
            return self.answer(409, reason="late")
        seconds = int(re.match(r"\d+", order["spec"]).group()) / 1000
        entry = {"run": run, "at": time.monotonic(), "time": seconds,
                 "how": "failed" if "fail" in order["spec"] else "done"}
        self.running[task] = entry
        self.record.add("start", runner=self.name, task=task, run=run,
                        fence=order["fence_token"], sender=source)
        asyncio.get_running_loop().call_later(seconds, self.end_if, task, run)
        return self.answer()

    def end_if(self, task, run):
        if task in self.running and self.running[task]["run"] == run:
            self.finish(task, self.running[task]["how"])

    def stop(self, order):
        task, run = order["task"], order["run"]
        self.highest[task] = max(run, self.highest.get(task, 0))
        if task in self.running and self.running[task]["run"] <= run:
            asyncio.get_running_loop().call_later(
                STOP_MS / 2000, self.stop_now, task, self.running[task]["run"])
        return self.answer()

    def stop_now(self, task, run):
        if task in self.running and self.running[task]["run"] == run:
            self.finish(task, "stopped")

    def finish(self, task, how):
        run = self.running.pop(task)["run"]
        self.highest[task] = max(run, self.highest.get(task, 0))
        self.ended[self.next_end] = [self.next_end, task, run, how, ""]
        self.next_end += 1
        self.record.add("end", runner=self.name, task=task, run=run, how=how)
        self.changed.set()
        self.changed = asyncio.Event()


def render(template, fields):
    """Fills in {{a.b|json}}, the only placeholder of the deploy template."""
    def value(match):
        current = fields
        for name in match.group(1).split("."):
            current = current[int(name)] if name.isdigit() else current[name]
        return json.dumps(current)
    return re.sub(r"\{\{([a-z0-9_.]+)\|json\}\}", value, template)


def free_port(host="127.0.0.1"):
    with socket.socket() as probe:
        probe.bind((host, 0))
        return probe.getsockname()[1]


class Daemon:
    """One daemon of the cell, started as deploy/system.toml says."""

    def __init__(self, cell, name, zone):
        self.cell = cell
        self.name = name
        self.zone = zone
        self.front = free_port()
        self.ready = free_port()
        self.peer = free_port()
        self.link = Link(cell.network, name, ("127.0.0.1", self.peer))
        self.process = None
        self.starts = 0

    async def prepare(self):
        await self.link.open()
        with open(os.path.join(ROOT, "deploy", "system.toml"),
                  encoding="utf-8") as file:
            deploy = file.read()
        self.command = re.search(r'^run = "(.*)"$', deploy, re.M).group(1)
        template = re.search(r'^template = "(.*)"$', deploy, re.M).group(1)
        with open(os.path.join(ROOT, template), encoding="utf-8") as file:
            text = render(file.read(), {
                "node_name": self.name, "zone": self.zone, "region": "east",
                "ip": "127.0.0.1", "port_range": [self.peer, self.peer],
                "listen": {"front": "127.0.0.1:%d" % self.front,
                           "ready": "127.0.0.1:%d" % self.ready},
                "platform": {
                    "address": "127.0.0.1:%d" % self.cell.store.port.port},
                "advice": "127.0.0.1:1",
                "limits": {"cpu_share": 0.25, "cores": 1, "memory_mb": 260,
                           "link_mbps": 1000.0},
                "bounds": BOUNDS})
        # The address that peers use is that of the relay.
        text = text.replace('"peer_ports"', '"advertised_peer": "127.0.0.1:%d"'
                            ',\n    "peer_ports"' % self.link.port, 1)
        self.settings = os.path.join(self.cell.folder, self.name + ".json")
        with open(self.settings, "w", encoding="utf-8") as file:
            file.write(text)

    def start(self):
        self.starts += 1
        log = open(os.path.join(self.cell.folder, "%s-%d.log" %
                                (self.name, self.starts)), "wb")
        self.process = subprocess.Popen(
            self.command.split(), cwd=ROOT, stdout=log, stderr=log,
            env={"PATH": os.environ["PATH"], "HOME": "/tmp",
                 "LANG": "C.UTF-8", "COLTSFOOTRACK_BOOT": self.settings})
        self.cell.network.processes[self.name] = self.process
        self.cell.record.add("daemon_started", daemon=self.name)

    def send_signal(self, number):
        self.cell.record.add("signal", daemon=self.name,
                             signal=signal.Signals(number).name)
        self.process.send_signal(number)


async def call(record, daemon, method, host, path, key, body=None, limit=3.0):
    """A call of a client; (status, value), or (None, None) without answer."""
    text = b"" if body is None else json.dumps(body).encode()
    auth = "Authorization: Token %s\r\n" % key if key else ""
    head = ("%s %s HTTP/1.1\r\nHost: %s\r\n%sContent-Type: application/json"
            "\r\nDeadline-Ms: %d\r\nContent-Length: %d\r\n\r\n"
            % (method, path, host, auth, int(limit * 1000), len(text)))

    async def exchange():
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", daemon.front, limit=1 << 22)
        writer.write(head.encode() + text)
        await writer.drain()
        message = await read_message(reader)
        writer.close()
        return message

    try:
        message = await asyncio.wait_for(exchange(), limit)
    except (asyncio.TimeoutError, OSError):
        message = None
    status, value = None, None
    if message is not None:
        status = int(message[0].split()[1])
        try:
            value = json.loads(message[2] or b"{}")
        except ValueError:
            value = None
    record.add("call", daemon=daemon.name, method=method, path=path,
               status=status, value=value)
    return status, value


class Cell:
    """A store, runners and daemons."""

    def __init__(self, folder):
        self.record = Record(os.path.join(folder, "record.txt"))
        self.temporary = tempfile.TemporaryDirectory()
        self.folder = self.temporary.name
        self.network = Network()
        self.store = Store(self.network, self.record)
        self.daemons = []
        self.runners = []
        self.background = []

    async def start(self, daemon_zones, runners, config):
        """daemon_zones: one zone a daemon; runners: arguments of Runner."""
        await self.store.port.open()
        self.store.put("op", "", "config", json.dumps(config))
        for arguments in runners:
            runner = Runner(self.network, self.record, self.store, **arguments)
            await runner.open()
            self.runners.append(runner)
            self.background.append(asyncio.ensure_future(runner.beat()))
            self.background.append(asyncio.ensure_future(runner.watch_lease()))
        for number, zone in enumerate(daemon_zones):
            daemon = Daemon(self, "front-%s-%d" % (zone, number + 1), zone)
            await daemon.prepare()
            self.daemons.append(daemon)
        for daemon in self.daemons:
            daemon.start()

    async def wait_ready(self, limit=20.0):
        """Until all daemons answer the balancer with 200 and one leads."""
        end = time.monotonic() + limit
        while time.monotonic() < end:
            states = [await self.is_ready(d) for d in self.daemons]
            if all(states) and self.leader() and all(
                    r.fence > 0 for r in self.runners):
                return True
            await asyncio.sleep(0.1)
        return False

    async def is_ready(self, daemon):
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection("127.0.0.1", daemon.ready), 1.0)
            writer.write(b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
            message = await asyncio.wait_for(read_message(reader), 1.0)
            writer.close()
            return message is not None and " 200 " in message[0]
        except (asyncio.TimeoutError, OSError):
            return False

    def leader(self):
        """The daemon that the store's row names; None if there is none."""
        text = self.store.value("cell", "", "leader")
        name = json.loads(text)["daemon"] if text else None
        return next((d for d in self.daemons if d.name == name), None)

    def kill_daemons(self):
        for daemon in self.daemons:
            if daemon.process is not None and daemon.process.poll() is None:
                daemon.process.send_signal(signal.SIGCONT)
                daemon.process.kill()
                daemon.process.wait()

    def stop(self):
        self.kill_daemons()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            os.makedirs(keep, exist_ok=True)
            for name in os.listdir(self.folder):
                with open(os.path.join(self.folder, name), "rb") as source:
                    with open(os.path.join(keep, name), "wb") as target:
                        target.write(source.read())
        self.temporary.cleanup()
        self.record.close()


def route(name, prefix, service, public=False, priority=1):
    return {"name": name, "host": "jobs.example", "path_prefix": prefix,
            "kind": "non_idempotent", "timeout_ms": 3000,
            "target_runtime_ms": 3000, "priority": priority,
            "service": service, "max_attempts": 4, "stretch": 4.0,
            "public": public}


def config(version, routes, tenants, services=("fitting",)):
    return {"version": version, "routes": routes,
            "services": [{"name": s, "enforces_capacity": False,
                          "spare": False} for s in services],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
            "tenants": tenants}


def idle_spans(facts, start, end):
    """The times within [start, end] in which no runner has a task, as (length,
    begin)."""
    changes = sorted((f["t"], 1 if f["kind"] == "start" else -1)
                     for f in facts if f["kind"] in ("start", "end"))
    running, since, spans = 0, 0.0, []
    for at, change in changes + [(end, 0)]:
        begin = max(since, start)
        if running == 0 and min(at, end) > begin:
            spans.append((round(min(at, end) - begin, 2), round(begin, 2)))
        running += change
        if running == 0:
            since = at
    return spans


def run_case(folder, scenario):
    """Runs `scenario(cell, trouble)`, which returns 0, 1 or 2."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    if not os.path.exists(os.path.join(ROOT, "target", "coltsfootrack-celld")):
        print("target/coltsfootrack-celld is missing; run the build first")
        sys.exit(2)
    # Connections that are cut stay open until the end.
    logging.getLogger("asyncio").setLevel(logging.CRITICAL)
    cell = Cell(folder)

    async def main():
        try:
            return await asyncio.wait_for(scenario(cell, trouble), 110)
        except asyncio.TimeoutError:
            cell.record.add("verdict", text="the case took too long")
            return 2

    def give_up():
        cell.kill_daemons()
        os._exit(2)

    watchdog = threading.Timer(116, give_up)
    watchdog.daemon = True
    watchdog.start()
    status = 2
    # Not asyncio.run: it would wait for the connections that are cut.
    loop = asyncio.new_event_loop()
    try:
        status = loop.run_until_complete(main())
    except Exception as error:  # pylint: disable=broad-except
        print("error: %r" % error)
    cell.record.add("exit", status=status)
    cell.stop()
    print({0: "the rule held", 1: "the rule was broken",
           2: "the case could not run"}[status])
    sys.stdout.flush()
    os._exit(status)
