"""Stand-ins for the cases of review/6 to review/10: the platform's store, its
runners and advice service, and clients, on loopback. One process hosts them
all and starts the daemons with the command of deploy/system.toml.

The stand-ins follow PROTOCOL.md: transactions take tx_ms, one after another in
each part; a runner keeps its highest fence number, leases, numbered ends and
`born`; each entry of `servers` is written every HEARTBEAT_MS and expires after
three of them without a report.
"""

import asyncio
import base64
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from urllib.parse import parse_qsl, urlsplit

LOOPBACK = "127.0.0.1"
TX_MS = 6
READ_MS = 4
HEARTBEAT_MS = 1500
ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

# The bounds of sites/stillwasser-klang.toml, in seconds or milliseconds.
HOLD_MAX_MS = 10000
STOP_MS = 400
GANG_MS = 3000
CANCEL_MS = 3000
STATUS_S = 120
CONTACT_MS = 4000
FINISH_S = 14
GRACE_S = 6


def now():
    return time.monotonic()


def free_port():
    with socket.socket() as s:
        s.bind((LOOPBACK, 0))
        return s.getsockname()[1]


class Record:
    """record.txt of a case: what was sent, answered and run."""

    def __init__(self, folder):
        self.start = now()
        self.file = open(os.path.join(folder, "record.txt"), "w")

    def __call__(self, what, **fields):
        line = f"{now() - self.start:8.3f} {what}"
        for key, value in fields.items():
            line += f" {key}={value}"
        self.file.write(line + "\n")
        self.file.flush()


class Reset(Exception):
    """The connection is to be closed without an answer."""


async def serve(handler, port=0):
    """Serves HTTP/1.1 with handler(method, path, query, headers, body) ->
    (status, object). Returns (server, port)."""

    async def connection(reader, writer):
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode("latin1").split("\r\n")
                method, target, _ = lines[0].split(" ", 2)
                headers = {}
                for line in lines[1:]:
                    if ":" in line:
                        name, value = line.split(":", 1)
                        headers[name.strip().lower()] = value.strip()
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                url = urlsplit(target)
                status, value = await handler(
                    method, url.path, dict(parse_qsl(url.query)), headers, body)
                text = json.dumps(value).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(text)}\r\n\r\n".encode() + text)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, Reset):
            pass
        except asyncio.CancelledError:
            pass
        finally:
            try:
                writer.close()
            except Exception:
                pass

    server = await asyncio.start_server(connection, LOOPBACK, port, limit=1 << 22)
    return server, server.sockets[0].getsockname()[1]


async def call(address, method, path, body=None, headers=None, timeout=3.0):
    """One HTTP call on a connection of its own. (status, object), or (None,
    reason) if there is no complete answer."""

    async def run():
        host, port = address.rsplit(":", 1)
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            data = json.dumps(body).encode() if body is not None else b""
            text = f"{method} {path} HTTP/1.1\r\n"
            fields = {"Host": address, "Content-Length": str(len(data))}
            if body is not None:
                fields["Content-Type"] = "application/json"
            fields.update(headers or {})
            for name, value in fields.items():
                text += f"{name}: {value}\r\n"
            writer.write(text.encode() + b"\r\n" + data)
            await writer.drain()
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin1").split("\r\n")
            status = int(head[0].split(" ")[1])
            length = 0
            for line in head[1:]:
                if line.lower().startswith("content-length:"):
                    length = int(line.split(":", 1)[1])
            data = await reader.readexactly(length)
            try:
                return status, json.loads(data) if data else None
            except ValueError:
                return status, data.decode("latin1")
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(run(), timeout)
    except asyncio.TimeoutError:
        return None, "timeout"
    except (OSError, asyncio.IncompleteReadError, ValueError, IndexError) as error:
        return None, type(error).__name__


class Proxy:
    """Passes on connections to `port`. silence() makes those that are open
    silent for good, without a reset; new ones work."""

    def __init__(self, port):
        self.target, self.open = port, []

    async def start(self):
        self.server = await asyncio.start_server(self.accept, LOOPBACK, 0)
        self.port = self.server.sockets[0].getsockname()[1]
        return self.port

    async def accept(self, reader, writer):
        link = {"silent": False}
        self.open.append(link)

        async def pass_on(source, target):
            try:
                while True:
                    data = await source.read(65536)
                    if link["silent"]:
                        if not data:
                            return
                        continue
                    if not data:
                        target.close()
                        return
                    target.write(data)
                    await target.drain()
            except (ConnectionError, OSError):
                if not link["silent"]:
                    target.close()

        try:
            far_reader, far_writer = await asyncio.open_connection(LOOPBACK, self.target)
        except OSError:
            writer.close()
            return
        await asyncio.gather(pass_on(reader, far_writer), pass_on(far_reader, writer))

    def silence(self):
        count = sum(1 for link in self.open if not link["silent"])
        for link in self.open:
            link["silent"] = True
        self.open = []
        return count


class Store:
    """The platform's table. Each daemon has a port of its own, so that a case
    can disturb the store for one daemon."""

    def __init__(self, record):
        self.record = record
        self.rows = {}
        self.changes = []
        self.version = 0
        self.changed = asyncio.Event()
        self.locks = {}
        # port number of a daemon -> function(call, body) that is awaited first
        self.faults = {}

    def apply(self, table, part, key, value):
        rows = self.rows.setdefault((table, part), {})
        if value is None:
            rows.pop(key, None)
        else:
            rows[key] = (value, self.version)
        self.changes.append((self.version, table, part, key))

    def notify(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def write(self, table, key, text, part=""):
        """A write of the operator or of a runner."""
        self.version += 1
        raw = text if isinstance(text, bytes) else text.encode()
        self.apply(table, part, key, base64.b64encode(raw).decode())
        self.notify()

    def remove(self, table, key, part=""):
        if key in self.rows.get((table, part), {}):
            self.version += 1
            self.apply(table, part, key, None)
            self.notify()

    def value(self, table, key, part=""):
        found = self.rows.get((table, part), {}).get(key)
        return base64.b64decode(found[0]).decode() if found else None

    def row(self, table, part, key):
        found = self.rows.get((table, part), {}).get(key)
        if found is None:
            return {"table": table, "part": part, "key": key, "ver": 0}
        return {"table": table, "part": part, "key": key, "value": found[0],
                "ver": found[1]}

    def stamp(self, answer):
        answer["ver"] = self.version
        answer["now_ms"] = int(now() * 1000)
        return answer

    async def transact(self, body):
        names = [(r["table"], r.get("part", ""), r["key"]) for r in
                 body.get("expect_rev", []) + body.get("puts", []) + body.get("remove", [])]
        if any(n[0] in ("op", "servers") for n in names):
            return 403, {}
        parts = {n[1] for n in names}
        if len(parts) != 1 or len(names) > 100:
            return 400, {}
        lock = self.locks.setdefault(parts.pop(), asyncio.Lock())
        async with lock:
            await asyncio.sleep(TX_MS / 1000)
            current = [self.row(r["table"], r.get("part", ""), r["key"])
                       for r in body.get("expect_rev", [])]
            if any(c["ver"] != r["ver"] for c, r in zip(current, body.get("expect_rev", []))):
                return 412, self.stamp({"rows": current})
            self.version += 1
            for r in body.get("puts", []):
                self.apply(r["table"], r.get("part", ""), r["key"], r["value"])
            for r in body.get("remove", []):
                self.apply(r["table"], r.get("part", ""), r["key"], None)
            self.notify()
            return 200, self.stamp({})

    async def get(self, query):
        await asyncio.sleep(READ_MS / 1000)
        rows = self.rows.get((query["table"], query.get("part", "")), {})
        limit = min(int(query.get("limit", 500)), 500)
        keys = sorted(k for k in rows if k >= query.get("from", "") and
                      ("target" not in query or k < query["target"]))
        return 200, self.stamp({
            "rows": [self.row(query["table"], query.get("part", ""), k) for k in keys[:limit]],
            "has_more": len(keys) > limit})

    async def feed(self, query):
        await asyncio.sleep(READ_MS / 1000)
        after, table = int(query["after"]), query["table"]
        end = now() + int(query.get("wait_ms", 0)) / 1000
        while True:
            newest = {}
            for version, t, part, key in self.changes:
                if t == table and version > after:
                    newest[(part, key)] = version
            if newest or now() >= end:
                break
            waiter = self.changed
            try:
                await asyncio.wait_for(waiter.wait(), max(0, end - now()))
            except asyncio.TimeoutError:
                pass
        rows = []
        for (part, key), version in sorted(newest.items(), key=lambda i: i[1]):
            row = self.row(table, part, key)
            if row["ver"] == 0:
                row = {"table": table, "part": part, "key": key, "ver": version,
                       "deleted": True}
            rows.append(row)
        return 200, self.stamp({"rows": rows})

    async def open(self, name):
        async def handle(method, path, query, headers, body):
            fault = self.faults.get(name)
            if fault is not None:
                answer = await fault(path, body)
                if answer is not None:
                    return answer
            if path == "/-/rows-tx":
                return await self.transact(json.loads(body))
            if path == "/-/rows-get":
                return await self.get(query)
            if path == "/-/rows-feed":
                return await self.feed(query)
            return 404, {}

        _, port = await serve(handle)
        return port


class Runner:
    """One runner. A task works for the milliseconds that its spec names as
    {"ms": N}; `fails` in it is the number of runs that end failed first."""

    def __init__(self, cell, name, service, zone, rack, capacity, kind="a"):
        self.cell, self.id, self.service, self.zone = cell, name, service, zone
        self.capacity, self.labels = capacity, [kind, rack]
        self.state, self.up, self.registered = "ready", True, True
        self.cut, self.reported = False, 0
        self.port = None
        self.reset()

    def reset(self):
        """A new life: nothing of before is known."""
        self.born = int(time.time() * 1000)
        self.clock_base = now()
        self.fence, self.lease = 0, 0
        self.runs, self.ended, self.last_end = {}, [], 0
        self.highest = {}
        self.change = asyncio.Event()
        self.sequence = 0

    def crash(self):
        """Ends for good: what runs here ends, and the connections break."""
        self.up = False
        for run in self.runs.values():
            run["timer"].cancel()
        self.cell.record("crash", runner=self.id, runs=sorted(self.runs))
        self.runs = {}

    def clock(self):
        return int((now() - self.clock_base) * 1000) + 1000

    def entry(self):
        self.sequence += 1
        return json.dumps({
            "service": self.service, "address": f"{LOOPBACK}:{self.port}",
            "zone": self.zone, "version": "v1", "slots": 8, "state": self.state,
            "cold_left_ms": 0, "call_seq": self.sequence, "born": self.born,
            "capacity": self.capacity, "labels": self.labels})

    def end(self, task, how):
        run = self.runs.pop(task)
        run["timer"].cancel()
        self.last_end += 1
        self.ended.append([self.last_end, task, run["run"], how, ""])
        self.highest[task] = max(self.highest.get(task, 0), run["run"])
        self.cell.record("end", runner=self.id, task=task, run=run["run"], how=how)
        self.cell.ends.append((now(), self.id, task, run["run"], how))
        self.change.set()
        self.change = asyncio.Event()

    def check_lease(self):
        if self.runs and self.clock() > self.lease:
            for task in list(self.runs):
                self.end(task, "lapsed")

    def start(self, body):
        task, run = body["task"], body["run"]
        if body.get("fence_token", 0) < self.fence:
            return 409, {"reason": "fence"}
        self.fence = body.get("fence_token", 0)
        self.lease = max(self.lease, min(body["deadline_ms"], self.clock() + HOLD_MAX_MS))
        if body["deadline_ms"] < self.clock():
            return 409, {"reason": "late"}
        if task in self.runs and self.runs[task]["run"] == run:
            return 200, {}
        if task in self.runs or run <= self.highest.get(task, 0):
            return 409, {"reason": "old"}
        work = json.loads(body["spec"])
        failures = sum(1 for e in self.cell.ends if e[2] == task and e[4] == "failed")
        how = "failed" if failures < work.get("fails", 0) else "done"
        loop = asyncio.get_running_loop()
        self.runs[task] = {
            "run": run, "at": now(),
            "timer": loop.call_later(work["ms"] / 1000, lambda: self.end(task, how))}
        self.cell.record("start", runner=self.id, task=task, run=run,
                         fence=self.fence)
        self.cell.starts.append((now(), self.id, task, run))
        return 200, {}

    def stop(self, body):
        if body.get("fence_token", 0) < self.fence:
            return 409, {"reason": "fence"}
        self.fence = body.get("fence_token", 0)
        task, run = body["task"], body["run"]
        self.highest[task] = max(self.highest.get(task, 0), run)
        if task in self.runs and self.runs[task]["run"] <= run:
            self.end(task, "stopped")
        return 200, {}

    def percent(self, run):
        left = run["timer"].when() - asyncio.get_running_loop().time()
        total = run["timer"].when() - asyncio.get_running_loop().time() + (now() - run["at"])
        return max(0, min(99, int(100 * (1 - left / total)))) if total > 0 else 99

    async def hold(self, body):
        if body.get("fence_token", 0) < self.fence:
            return 409, {"reason": "fence"}
        self.fence = body.get("fence_token", 0)
        self.ended = [e for e in self.ended if e[0] > body.get("acked_upto", 0)]
        if "deadline_ms" in body:
            self.lease = max(self.lease, min(body["deadline_ms"], self.clock() + HOLD_MAX_MS))
        if body.get("wait_ms", 0) > 0 and not self.ended:
            try:
                await asyncio.wait_for(self.change.wait(), body["wait_ms"] / 1000)
            except asyncio.TimeoutError:
                pass
        self.check_lease()
        return 200, {"born": self.born,
                     "running": [[t, r["run"], "", self.percent(r), 0]
                                 for t, r in self.runs.items()],
                     "ended": self.ended[:500]}

    async def handle(self, method, path, query, headers, body):
        if not self.up:
            raise Reset()
        if headers.get("expect-instance", self.id) != self.id:
            return 421, {"clock_ms": self.clock()}
        self.check_lease()
        if self.cut:
            await asyncio.sleep(3600)
        body = json.loads(body)
        if path == "/-/run-start":
            status, answer = self.start(body)
        elif path == "/-/run-stop":
            status, answer = self.stop(body)
        elif path == "/-/hold":
            status, answer = await self.hold(body)
        elif path == "/-/pace":
            status, answer = 200, {}
        else:
            return 404, {}
        if self.cut:
            # The answer is on its way when the runner is cut off.
            await asyncio.sleep(3600)
        answer["clock_ms"] = self.clock()
        return status, answer

    async def keep_registered(self):
        while True:
            self.check_lease()
            silent = now() - self.reported
            if self.up and not self.cut and silent >= HEARTBEAT_MS / 1000:
                self.report()
            elif silent >= 3 * HEARTBEAT_MS / 1000 and self.registered:
                self.registered = False
                self.cell.record("entry expired", runner=self.id)
                self.cell.store.remove("servers", self.id)
            await asyncio.sleep(0.02)

    def report(self):
        """Writes the entry, also outside the interval when it changes."""
        self.reported, self.registered = now(), True
        self.cell.store.write("servers", self.id, self.entry())


class Daemon:
    def __init__(self, cell, number, zone):
        self.cell, self.name, self.zone = cell, f"front-{zone}-{number}", zone
        self.process, self.starts = None, 0

    async def prepare(self):
        self.callers = f"{LOOPBACK}:{free_port()}"
        self.health = f"{LOOPBACK}:{free_port()}"
        peer = free_port()
        store = await self.cell.store.open(self.name)
        advertised = peer
        if self.cell.proxied:
            self.store_proxy, self.peer_proxy = Proxy(store), Proxy(peer)
            store = await self.store_proxy.start()
            advertised = await self.peer_proxy.start()
        settings = {
            "daemon": self.name, "zone": self.zone, "region": "region-1",
            "address": LOOPBACK, "peer_ports": [peer, peer],
            "advertised_peer": f"{LOOPBACK}:{advertised}",
            "listen": {"callers": self.callers, "health": self.health},
            "store": f"{LOOPBACK}:{store}",
            "store_limits": {"row_bytes": 65536},
            "tickets": f"{LOOPBACK}:{self.cell.advice_port}",
            "limits": {"processor_share": 0.25, "processors": 1,
                       "link_megabits_per_s": 1000.0},
            "bounds": {"stop_grace_s": GRACE_S, "share_window_s": 5,
                       "share_slack": 20, "longest_lease_ms": HOLD_MAX_MS,
                       "state_kept_s": STATUS_S}}
        self.settings = os.path.join(self.cell.folder, self.name + ".json")
        with open(self.settings, "w") as file:
            json.dump(settings, file)

    def start(self):
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            run = tomllib.load(file)["roles"]["entry"]["run"].split(" ")
        self.starts += 1
        log = open(os.path.join(self.cell.folder, f"{self.name}.{self.starts}.log"), "w")
        self.process = subprocess.Popen(
            [os.path.join(ROOT, run[0])] + run[1:], cwd=ROOT, stdout=log, stderr=log,
            env={"PATH": os.environ.get("PATH", ""), "COLTSFOOTRACK_BOOT": self.settings})
        self.cell.record("daemon started", name=self.name, pid=self.process.pid)

    def signal(self, number):
        self.cell.record("signal", name=self.name, signal=signal.Signals(number).name)
        self.process.send_signal(number)

    def logs(self):
        text = ""
        for i in range(1, self.starts + 1):
            with open(os.path.join(self.cell.folder, f"{self.name}.{i}.log")) as file:
                text += file.read()
        return text


class Cell:
    """Everything of one case. Use as an asynchronous context manager."""

    def __init__(self, folder, zones=("zone-a", "zone-a", "zone-b"), proxied=False):
        self.record = Record(folder)
        self.proxied = proxied
        self.zones = zones
        self.starts, self.ends = [], []
        self.runners, self.tasks = [], []
        self.version = 0
        self.catalogue = {"routes": [], "services": [], "tenants": []}

    async def __aenter__(self):
        self.temporary = tempfile.TemporaryDirectory(prefix="coltsfootrack-case-")
        self.folder = self.temporary.name
        self.store = Store(self.record)
        _, self.advice_port = await serve(self.advise)
        self.daemons = [Daemon(self, i + 1, zone) for i, zone in enumerate(self.zones)]
        for daemon in self.daemons:
            await daemon.prepare()
        return self

    async def __aexit__(self, *ignored):
        for daemon in self.daemons:
            if daemon.process is not None and daemon.process.poll() is None:
                daemon.process.send_signal(signal.SIGCONT)
                daemon.process.kill()
                daemon.process.wait()
        for task in self.tasks:
            task.cancel()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            os.makedirs(keep, exist_ok=True)
            for daemon in self.daemons:
                with open(os.path.join(keep, daemon.name + ".log"), "w") as file:
                    file.write(daemon.logs())
        self.temporary.cleanup()

    async def advise(self, method, path, query, headers, body):
        body = json.loads(body)
        return 200, {"good": [[w, "t-" + w] for w in body["workers"]]}

    async def add_runner(self, *arguments, **named):
        runner = Runner(self, *arguments, **named)
        _, runner.port = await serve(runner.handle)
        if self.proxied:
            runner.proxy = Proxy(runner.port)
            runner.port = await runner.proxy.start()
        self.runners.append(runner)
        self.tasks.append(asyncio.create_task(runner.keep_registered()))
        return runner

    def put_config(self):
        self.version += 3
        self.catalogue["version"] = self.version
        self.store.write("op", "config", json.dumps(self.catalogue))
        self.record("desired state", version=self.version,
                    routes=[r["name"] for r in self.catalogue["routes"]])

    def route(self, name, service, **more):
        return {"name": name, "host": "jobs.example", "path_prefix": f"/{name}/",
                "service": service, "timeout_ms": 3000, "target_runtime_ms": 400,
                "priority": 1, "max_attempts": 3, "stretch": 2.0, **more}

    async def wait_ready(self, limit=15):
        end = now() + limit
        while now() < end:
            answers = [await call(d.health, "GET", "/-/ready", timeout=1)
                       for d in self.daemons]
            if all(a[0] == 200 for a in answers):
                return True
            await asyncio.sleep(0.1)
        return False

    def leader(self):
        text = self.store.value("cell", "leader")
        for daemon in self.daemons:
            if text and f'"{daemon.name}"' in text:
                return daemon
        return None

    async def ask(self, daemon, method, route, job="", body=None, key="key-1", timeout=3.0):
        answer = await call(daemon.callers, method, f"/{route}/{job}", body,
                            {"Host": "jobs.example", "Authorization": f"Token {key}",
                             "Deadline-Ms": str(int(timeout * 1000))}, timeout)
        self.record("call", daemon=daemon.name, method=method, path=f"/{route}/{job}",
                    status=answer[0], answer=answer[1])
        return answer

    async def submit(self, daemon, route, steps, ms=500, key="key-1", job=None, **more):
        job = job or f"{random.getrandbits(64):016x}"
        work = {"ms": ms}
        work.update(more.pop("work", {}))
        status, _ = await self.ask(daemon, "POST", route, job,
                                   {"spec": json.dumps(work), "steps": steps, **more}, key)
        return job, status

    def starts_of(self, job):
        return [s for s in self.starts if s[2].startswith(job + ".")]

    def running_of(self, job):
        return [t for r in self.runners for t in r.runs if t.startswith(job + ".")]


def main(case):
    """Runs a case and ends with its exit status: 1 if the rule was broken, 0
    if it held, 2 if the case could not run."""
    async def run():
        # Connections that are open at the end are cut without a message.
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda *ignored: None)
        # The daemons end with the script, also if it is ended from outside.
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, asyncio.current_task().cancel)
        return await asyncio.wait_for(case(), 115)

    try:
        status = asyncio.run(run())
    except (Exception, asyncio.CancelledError) as error:
        print(f"the case could not run: {type(error).__name__} {error}")
        status = 2
    sys.exit(status)
