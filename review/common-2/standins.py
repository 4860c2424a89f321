"""Stand-ins of the platform for the scripts of the second review: its store, workers and clients, by the users' pages.

All servers listen on loopback addresses and the real clock. Each behaves like a sound one, unless a case tells it otherwise.
"""
import base64
import http.client
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import traceback
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, urlsplit

HOST = "127.0.0.1"
ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = os.path.join(ROOT, "target", "cranberrymount-cell")
HOLD_MAX_MS = 6000
STOP_MS = 900
GANG_WAIT_MS = 3000
CANCEL_MS = 3000
DRAIN_MS = 2000
# Time from the start of a task that lasts until it is at work.
STARTUP_S = 0.3
GRACE_S = 6
HEARTBEAT_S = 1.5
# A script runs for 120 s at most.
LIMIT_S = 110


class CannotRun(Exception):
    """The case could not run; this says nothing about the rule."""


class Record:
    """What was sent, answered and run, with the time since the script began."""

    def __init__(self, folder):
        self.begin = time.monotonic()
        self.lock = threading.Lock()
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.begin

    def __call__(self, text):
        with self.lock:
            self.file.write(f"{self.now():9.3f} {text}\n")
            self.file.flush()
            print(f"{self.now():9.3f} {text}", flush=True)


class Server:
    """An HTTP/1.1 server; `answer(method, path, headers, body)` returns a status and a body, or None for no answer."""

    def __init__(self, answer, host=HOST):
        server = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"
            disable_nagle_algorithm = True

            def handle_any(self):
                length = int(self.headers.get("Content-Length") or 0)
                body = self.rfile.read(length)
                result = answer(self.command, self.path, self.headers, body)
                if result is None:
                    self.close_connection = True
                    return
                data = json.dumps(result[1]).encode()
                try:
                    self.send_response(result[0])
                    self.send_header("Content-Type", "application/json")
                    self.send_header("Content-Length", str(len(data)))
                    self.end_headers()
                    self.wfile.write(data)
                except OSError:
                    self.close_connection = True

            do_GET = do_POST = do_DELETE = handle_any

            def log_message(self, *arguments):
                pass

            def handle(self):
                server.sockets.add(self.connection)
                try:
                    super().handle()
                except (OSError, ValueError):
                    pass
                server.sockets.discard(self.connection)

        class Listener(ThreadingHTTPServer):
            daemon_threads = True
            request_queue_size = 256

            def handle_error(self, request, client_address):
                pass

        self.sockets = set()
        self.listener = Listener((host, 0), Handler)
        self.port = self.listener.server_address[1]
        self.address = f"{host}:{self.port}"
        threading.Thread(target=self.listener.serve_forever, args=(0.05,), daemon=True).start()

    def close(self):
        """Takes no more connections and resets the open ones."""
        self.listener.shutdown()
        self.listener.server_close()
        for connection in list(self.sockets):
            try:
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass


class Store:
    """The platform's metadata store."""

    LATENCY_S = 0.004

    def __init__(self):
        self.lock = threading.Lock()
        self.revision = 1
        self.items = {}
        self.leases = {}
        self.next_lease = 1
        self.server = Server(self.answer)
        self.address = self.server.address

    def expire(self):
        for lease, (end, _) in list(self.leases.items()):
            if time.monotonic() > end:
                self.end_lease(lease)

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        for key in [key for key, item in self.items.items() if item["lease"] == lease]:
            del self.items[key]
            self.revision += 1

    def put(self, key, value, lease=0):
        self.revision += 1
        created = self.items[key]["created"] if key in self.items else self.revision
        self.items[key] = {"key": key, "value": base64.b64encode(value).decode(), "revision": self.revision,
                           "created": created, "lease": lease}

    def write(self, key, value, lease=0):
        """A write of the operator or of a worker; the return is its acknowledgement."""
        with self.lock:
            self.put(key, json.dumps(value).encode(), lease)

    def remove(self, key):
        with self.lock:
            if self.items.pop(key, None):
                self.revision += 1

    def answer(self, method, path, headers, body):
        time.sleep(self.LATENCY_S)
        with self.lock:
            self.expire()
            return self.execute(method, path, body)

    def execute(self, method, path, body):
        parts = urlsplit(path)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        route = parts.path
        if route == "/-/kv-key":
            item = self.items.get(query.get("key"))
            return (200, {**item, "at": self.revision}) if item else (404, {"at": self.revision})
        if route == "/-/kv-range":
            keys = sorted(key for key in self.items
                          if key.startswith(query.get("prefix", "")) and key > query.get("after", ""))
            return 200, {"items": [self.items[key] for key in keys[:500]], "hasMore": len(keys) > 500, "at": self.revision}
        if route == "/-/kv-txn":
            return self.transact(json.loads(body))
        if route == "/-/kv-lease":
            ttl = max(1000, int(json.loads(body)["ttlMs"]))
            lease = self.next_lease
            self.next_lease += 1
            self.leases[lease] = (time.monotonic() + ttl / 1000, ttl)
            return 200, {"lease": lease, "ttlMs": ttl}
        if route.startswith("/-/kv-keep/"):
            lease = int(route.rsplit("/", 1)[1])
            if lease not in self.leases:
                return 404, {}
            ttl = self.leases[lease][1]
            self.leases[lease] = (time.monotonic() + ttl / 1000, ttl)
            return 200, {"lease": lease, "ttlMs": ttl}
        if route.startswith("/-/kv-lease-end/"):
            self.end_lease(int(route.rsplit("/", 1)[1]))
            return 200, {}
        return 404, {}

    def transact(self, call):
        current = []
        holds = True
        for row in call.get("expectedRev", []):
            item = self.items.get(row["key"])
            if item:
                current.append(item)
            holds = holds and (item["revision"] if item else 0) == row["revision"]
        if not holds:
            return 412, {"items": current}
        for row in call.get("put", []):
            if row["key"].startswith(("op/", "servers/")):
                return 403, {}
            if row.get("lease", 0) and row["lease"] not in self.leases:
                return 404, {}
        for row in call.get("put", []):
            self.put(row["key"], base64.b64decode(row["value"]), row.get("lease", 0))
        for key in call.get("delete", []):
            if self.items.pop(key, None):
                self.revision += 1
        return 200, {"revision": self.revision}


class Run:
    """One run of a task on a worker."""

    def __init__(self, task, attempt, begin):
        self.task = task
        self.attempt = attempt
        self.begin = begin
        self.done_work = 0.0
        self.end_at = None


class Worker:
    """A worker of a service; `duration(task)` is the work of a task in seconds at full speed, or None if it lasts."""

    TICK_S = 0.01

    def __init__(self, store, record, name, service, zone, duration, cpu=16000, labels=("a", "r1-1"), hold_max_ms=HOLD_MAX_MS):
        self.store = store
        self.record = record
        self.name = name
        self.service = service
        self.zone = zone
        self.duration = duration
        self.hold_max_ms = hold_max_ms
        self.capacity = {"cpu": cpu, "memMb": 65536, "gpu": 0}
        self.labels = list(labels)
        self.speed = 1.0
        self.draining = False
        self.condition = threading.Condition()
        self.born = int(time.time() * 1000)
        self.started = time.monotonic()
        self.fence = 0
        self.until = 0
        self.runs = {}
        self.starts = []
        self.ends = []
        self.terminated = []
        self.highest = {}
        self.finished = []
        self.next_end = 1
        self.cursor = 0
        self.sequence = 0
        self.is_open = True
        self.server = Server(self.answer)
        self.address = self.server.address
        threading.Thread(target=self.work, daemon=True).start()
        threading.Thread(target=self.announce, daemon=True).start()

    def clock(self):
        return 1000 + int((time.monotonic() - self.started) * 1000)

    def announce(self):
        while self.is_open:
            self.register()
            time.sleep(HEARTBEAT_S)

    def register(self):
        self.sequence += 1
        entry = {"service": self.service, "addr": self.address, "zone": self.zone, "version": "1", "slots": 8,
                 "state": "draining" if self.draining else "ready", "coldRemainingMs": 0, "seqNo": self.sequence,
                 "born": self.born, "capacity": self.capacity, "labels": self.labels}
        if self.draining:
            entry["remainingMs"] = DRAIN_MS
        self.store.write("servers/" + self.name, entry)

    def end(self, run, how):
        del self.runs[run.task]
        self.finished.append([self.next_end, run.task, run.attempt, how, ""])
        self.next_end += 1
        self.ends.append((self.record.now(), run.task, how))
        self.record(f"worker {self.name}: end {run.task} run {run.attempt} {how}")
        self.condition.notify_all()

    def work(self):
        before = time.monotonic()
        while self.is_open:
            time.sleep(self.TICK_S)
            with self.condition:
                now = time.monotonic()
                passed = now - before
                before = now
                for run in list(self.runs.values()):
                    if run.end_at is not None:
                        if now >= run.end_at:
                            self.end(run, "stopped")
                    elif self.clock() >= self.until:
                        self.end(run, "lapsed")
                    else:
                        run.done_work += passed * self.speed
                        work = self.duration(run.task)
                        if work is not None and run.done_work >= work:
                            self.end(run, "done")

    def percent(self, run):
        work = self.duration(run.task)
        if work is None:
            return 100 if run.done_work >= STARTUP_S else 0
        return min(99, int(100 * run.done_work / work))

    def drain(self):
        """Reports that the worker leaves; it goes on to serve."""
        self.record(f"worker {self.name}: reports draining")
        self.draining = True
        self.register()

    def leave(self):
        """Ends the worker and all that runs on it."""
        with self.condition:
            self.is_open = False
            for task in list(self.runs):
                self.terminated.append((self.record.now(), task))
            self.runs.clear()
        self.server.close()
        self.store.remove("servers/" + self.name)
        self.record(f"worker {self.name}: has left, and what ran on it: {[task for _, task in self.terminated]}")

    def extend(self, until):
        self.until = max(self.until, min(until, self.clock() + self.hold_max_ms))

    def answer(self, method, path, headers, body):
        if headers.get("X-Expected-Instance") not in (None, self.name):
            return 421, {}
        call = json.loads(body) if body else {}
        with self.condition:
            status, reply = self.execute(urlsplit(path).path, call)
            return status, {"clockMs": self.clock(), "born": self.born, **reply}

    def execute(self, route, call):
        token = call.get("fencingToken", 0)
        if route in ("/-/run-start", "/-/run-stop", "/-/hold"):
            if token < self.fence:
                return 409, {"reason": "fence"}
            self.fence = token
        if route == "/-/run-start":
            return self.start(call)
        if route == "/-/run-stop":
            return self.stop(call)
        if route == "/-/hold":
            return self.hold(call)
        return 404, {}

    def start(self, call):
        task, attempt = call["task"], call["attempt"]
        if call["untilMs"] <= self.clock():
            return 409, {"reason": "late"}
        running = self.runs.get(task)
        if running and running.attempt == attempt:
            self.extend(call["untilMs"])
            return 200, {}
        if running or attempt <= self.highest.get(task, 0):
            self.extend(call["untilMs"])
            return 409, {"reason": "old"}
        self.extend(call["untilMs"])
        self.highest[task] = attempt
        self.runs[task] = Run(task, attempt, time.monotonic())
        self.starts.append((self.record.now(), task, attempt))
        self.record(f"worker {self.name}: start {task} run {attempt} by token {call['fencingToken']}")
        return 200, {}

    def stop(self, call):
        task, attempt = call["task"], call["attempt"]
        self.highest[task] = max(attempt, self.highest.get(task, 0))
        run = self.runs.get(task)
        if run and run.attempt <= attempt and run.end_at is None:
            self.record(f"worker {self.name}: stop {task} run {attempt}")
            run.end_at = time.monotonic() + self.stop_s
        return 200, {}

    stop_s = 0.05

    def hold(self, call):
        if call.get("untilMs"):
            self.extend(call["untilMs"])
        self.cursor = max(self.cursor, call.get("ackCursor", 0))
        self.finished = [end for end in self.finished if end[0] > self.cursor]
        if call.get("waitMs", 0) and not self.finished:
            self.condition.wait(min(call["waitMs"], 2000) / 1000)
        return 200, {"running": [[run.task, run.attempt, "", self.percent(run)] for run in self.runs.values()],
                     "finished": self.finished[:500]}


def free_ports(count):
    """Returns ports that nothing listens on, below those that the system gives to outgoing connections."""
    ports = []
    while len(ports) < count:
        port = random.randrange(12000, 30000)
        with socket.socket() as probe:
            try:
                probe.bind((HOST, port))
            except OSError:
                continue
        if port not in ports:
            ports.append(port)
    return ports


class Node:
    """A process of the cell, started with the command of the deploy file."""

    def __init__(self, folder, store, record, name, zone, hold_max_ms):
        self.name = name
        self.record = record
        ports = free_ports(4)
        self.front = ports[0]
        self.readiness = ports[1]
        settings = os.path.join(folder, name + ".toml")
        with open(settings, "w", encoding="utf-8") as file:
            file.write(f'[node]\nid = "{name}"\nzone = "{zone}"\nprocessor_share = 0.25\nprocessor_cores = 1\n'
                       f'link_mbps = 1000.0\nfront = "{HOST}:{ports[0]}"\nreadiness = "{HOST}:{ports[1]}"\n'
                       f'peer = "{HOST}:{ports[2]}"\nmetrics = "{HOST}:{ports[3]}"\n'
                       f'[platform]\nstore = "{store}"\n'
                       f'[timing]\nworker_lease_ms = {hold_max_ms}\ngang_wait_ms = {GANG_WAIT_MS}\nstatus_s = 120\n'
                       f'stop_grace_s = {GRACE_S}\n')
        self.settings = settings
        self.log_path = os.path.join(folder, name + ".log")
        self.log = open(self.log_path, "wb")
        self.start()

    def start(self):
        self.process = subprocess.Popen([PROGRAM, self.settings], stdout=self.log, stderr=subprocess.STDOUT, cwd=ROOT,
                                        stdin=subprocess.DEVNULL)

    def restart(self):
        """Starts the process again after it has ended, as the platform does."""
        self.process.wait()
        self.record(f"{self.name} starts again")
        self.start()

    def log_text(self):
        with open(self.log_path, encoding="utf-8", errors="replace") as file:
            return file.read()

    def leads(self):
        text = self.log_text()
        return text.rfind("event=recovery_ended") > text.rfind("event=leadership_lost")

    def send(self, number):
        self.record(f"signal {signal.Signals(number).name} to {self.name}")
        self.process.send_signal(number)

    def end(self):
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()
        self.log.close()


class Client:
    """A client with one open connection to a node."""

    def __init__(self, node, record, host, key, deadline_ms=3000):
        self.node = node
        self.record = record
        self.headers = {"Host": host, "Authorization": "Token " + key, "Content-Type": "application/json",
                        "X-Deadline-Ms": str(deadline_ms)}
        self.deadline_ms = deadline_ms
        self.connection = None

    def connect(self):
        self.connection = http.client.HTTPConnection(HOST, self.node.front, timeout=self.deadline_ms / 1000)
        self.connection.connect()

    def call(self, method, path, body=None):
        """Returns the status and the body, or None and the fault."""
        self.record(f"client -> {self.node.name}: {method} {path}")
        try:
            if self.connection is None:
                self.connect()
            self.connection.request(method, path, json.dumps(body) if body is not None else None, self.headers)
            response = self.connection.getresponse()
            status, text = response.status, response.read().decode()
            if response.will_close:
                self.close()
        except (OSError, http.client.HTTPException) as error:
            status, text = None, repr(error)
            self.close()
        self.record(f"client <- {self.node.name}: {method} {path} {status} {text.strip()}")
        return status, text

    def close(self):
        if self.connection:
            self.connection.close()
        self.connection = None


class Cell:
    """A small deployment: a store, some nodes, a configuration; ends all of it on exit."""

    QUEUE_HOST = "queue.example"
    PREFIX = "/jobs/"
    KEY = "key-of-the-tenant"

    def __init__(self, record, nodes=3, hold_max_ms=HOLD_MAX_MS, **route):
        self.record = record
        self.hold_max_ms = hold_max_ms
        self.folder = tempfile.TemporaryDirectory()
        self.watchdog = threading.Timer(LIMIT_S, self.give_up)
        self.watchdog.daemon = True
        self.watchdog.start()
        self.store = Store()
        self.nodes = []
        self.workers = []
        self.store.write("op/config", {
            "version": 1,
            "routes": [{"name": "queue", "host": self.QUEUE_HOST, "prefix": self.PREFIX, "service": "service", "priority": 1,
                        "maxAttempts": 3, "stretchFactor": 3.0, "targetDurationMs": 1000, **route}],
            "services": [{"name": "service", "admissionControl": False}],
            "tenants": [{"name": "tenant", "apiKeys": [self.KEY], "weight": 100.0,
                         "cap": {"cpu": 0, "memMb": 0, "gpu": 0}}],
            "limits": {"maxBodyBytes": 262144}})
        for number in range(nodes):
            self.nodes.append(Node(self.folder.name, self.store.address, record, f"node-{number + 1}",
                                   f"zone-{number % 3 + 1}", hold_max_ms))

    def add_worker(self, duration, **more):
        name = f"w-{len(self.workers) + 1}"
        worker = Worker(self.store, self.record, name, "service", f"zone-{len(self.workers) % 3 + 1}", duration,
                        hold_max_ms=self.hold_max_ms, **more)
        self.workers.append(worker)
        return worker

    def starts(self, job):
        return sorted(start for worker in self.workers for start in worker.starts if start[1].startswith(job + "."))

    def ends(self, how):
        return sorted(end for worker in self.workers for end in worker.ends if end[2] == how)

    def running(self, job):
        return [task for worker in self.workers for task in list(worker.runs) if task.startswith(job + ".")]

    def client(self, node):
        return Client(node, self.record, self.QUEUE_HOST, self.KEY)

    def leader(self):
        """Waits for a leader that serves, and returns it."""
        end = time.monotonic() + 20
        while time.monotonic() < end:
            for node in self.nodes:
                if node.process.poll() is not None:
                    raise CannotRun(f"{node.name} has ended: {node.log_text()[-500:]}")
            leaders = [node for node in self.nodes if node.leads()]
            if len(leaders) == 1 and all(self.is_ready(node) for node in self.nodes):
                return leaders[0]
            time.sleep(0.1)
        raise CannotRun("no leader")

    @staticmethod
    def is_ready(node):
        try:
            connection = http.client.HTTPConnection(HOST, node.readiness, timeout=1)
            connection.request("GET", "/-/readyz")
            status = connection.getresponse().status
            connection.close()
            return status == 200
        except OSError:
            return False

    def __enter__(self):
        return self

    def give_up(self):
        self.record("could not run: too slow")
        self.__exit__()
        os._exit(2)

    def __exit__(self, *arguments):
        self.watchdog.cancel()
        for worker in self.workers:
            worker.is_open = False
        for node in self.nodes:
            node.end()
            if os.environ.get("KEEP_LOGS"):
                shutil.copy(node.log_path, os.environ["KEEP_LOGS"])
        self.folder.cleanup()


def play(folder, case):
    """Runs `case(record, trouble)`, which returns True if the rule was broken; exits as a case has to."""
    record = Record(folder)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record(f"TROUBLE={int(trouble)}")
    # Whoever ends the script early ends the nodes, too.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        if not os.access(PROGRAM, os.X_OK):
            raise CannotRun("target/cranberrymount-cell is not built")
        is_broken = case(record, trouble)
    except CannotRun as error:
        record(f"could not run: {error}")
        sys.exit(2)
    except Exception:
        # An exit with 1 would say that the rule was broken.
        record(f"could not run: {traceback.format_exc()}")
        sys.exit(2)
    record("result: " + ("the rule was broken" if is_broken else "the rule held"))
    sys.exit(1 if is_broken else 0)
