"""Stand-ins for the platform's store, its workers and clients, on loopback addresses.

They speak what the users' protocol page says. Everything that was sent, answered and run goes to the record.
"""
import atexit
import base64
import http.client
import http.server
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import urllib.parse

# Each run has a loopback address of its own, so that several can run at a time.
HOST = f"127.{random.randrange(1, 255)}.{random.randrange(255)}.{random.randrange(1, 255)}"
HOLD_MAX_MS = 6000
HEARTBEAT_S = 1.5
SILENT_HEARTBEATS = 3
START = time.monotonic()


def elapsed():
    """Returns the seconds since the script began."""
    return time.monotonic() - START


class Record:
    """Lines with the time since the script began."""

    def __init__(self, path):
        self.file = open(path, "w", buffering=1)
        self.lock = threading.Lock()

    def add(self, text):
        with self.lock:
            self.file.write(f"{elapsed():8.3f} {text}\n")


def free_ports(count):
    """Returns ports of HOST, below those that the system gives to outgoing connections."""
    ports = []
    while len(ports) < count:
        port = random.randrange(20000, 32000)
        with socket.socket() as one:
            try:
                one.bind((HOST, port))
            except OSError:
                continue
        if port not in ports:
            ports.append(port)
    return ports


class Handler(http.server.BaseHTTPRequestHandler):
    """Passes each request to the server's `answer` function, which returns a status and a body."""

    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def handle_any(self):
        length = int(self.headers.get("Content-Length") or 0)
        body = self.rfile.read(length) if length else b""
        reply = self.server.answer(self.command, self.path, self.headers, body)
        if reply is None:  # No answer: the connection ends.
            self.close_connection = True
            return
        status, value = reply
        data = json.dumps(value).encode()
        self.send_response(status)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(data)))
        self.end_headers()
        self.wfile.write(data)

    do_GET = do_POST = do_DELETE = handle_any

    def log_message(self, *arguments):
        pass


class Server(http.server.ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 256
    allow_reuse_address = True

    def __init__(self, answer, port=0):
        super().__init__((HOST, port), Handler)
        self.answer = answer
        self.connections = set()
        self.connections_lock = threading.Lock()
        threading.Thread(target=self.serve_forever, kwargs={"poll_interval": 0.05}, daemon=True).start()

    @property
    def port(self):
        return self.server_address[1]

    def process_request(self, request, client_address):
        with self.connections_lock:
            self.connections.add(request)
        super().process_request(request, client_address)

    def shutdown_request(self, request):
        with self.connections_lock:
            self.connections.discard(request)
        super().shutdown_request(request)

    def handle_error(self, request, client_address):
        pass

    def crash(self):
        """Stops listening and ends all connections."""
        self.shutdown()
        self.server_close()
        with self.connections_lock:
            for one in list(self.connections):
                try:
                    one.shutdown(socket.SHUT_RDWR)
                except OSError:
                    pass


class Store:
    """The platform's store: keys with revisions, transactions and leases."""

    def __init__(self):
        self.lock = threading.RLock()
        self.items = {}
        self.revision = 100
        self.leases = {}
        self.next_lease = 1
        self.server = Server(self.answer)

    @property
    def address(self):
        return f"{HOST}:{self.server.port}"

    def put(self, key, value, lease=0):
        with self.lock:
            self.revision += 1
            created = self.items[key]["created"] if key in self.items else self.revision
            self.items[key] = {"key": key, "value": base64.b64encode(value).decode(), "revision": self.revision,
                               "created": created, "lease": lease}
            return self.revision

    def delete(self, key):
        with self.lock:
            if self.items.pop(key, None):
                self.revision += 1

    def expire(self):
        now = time.monotonic()
        for lease in [one for one, (until, _) in self.leases.items() if until < now]:
            self.end_lease(lease)

    def end_lease(self, lease):
        del self.leases[lease]
        for key in [key for key, item in self.items.items() if item["lease"] == lease]:
            self.delete(key)

    def answer(self, method, path, headers, body):
        with self.lock:
            self.expire()
            url = urllib.parse.urlsplit(path)
            query = {key: values[0] for key, values in urllib.parse.parse_qs(url.query).items()}
            data = json.loads(body) if body else {}
            if url.path == "/-/kv-key":
                item = self.items.get(query["key"])
                return (200, {**item, "at": self.revision}) if item else (404, {"at": self.revision})
            if url.path == "/-/kv-range":
                found = sorted(key for key in self.items
                               if key.startswith(query.get("prefix", "")) and key > query.get("after", ""))
                return 200, {"items": [self.items[key] for key in found[:500]], "hasMore": len(found) > 500,
                             "at": self.revision}
            if url.path == "/-/kv-txn":
                return self.transact(data)
            if url.path == "/-/kv-lease":
                lease = self.next_lease
                self.next_lease += 1
                self.leases[lease] = (time.monotonic() + data["ttlMs"] / 1000, data["ttlMs"])
                return 200, {"lease": lease, "ttlMs": data["ttlMs"]}
            if url.path.startswith("/-/kv-keep/"):
                lease = int(url.path.rsplit("/", 1)[1])
                if lease not in self.leases:
                    return 404, {}
                ttl = self.leases[lease][1]
                self.leases[lease] = (time.monotonic() + ttl / 1000, ttl)
                return 200, {"ttlMs": ttl}
            if url.path.startswith("/-/kv-lease-end/"):
                lease = int(url.path.rsplit("/", 1)[1])
                if lease in self.leases:
                    self.end_lease(lease)
                return 200, {}
            return 404, {}

    def transact(self, data):
        rows = data.get("expectedRev") or []
        if any((self.items.get(row["key"]) or {"revision": 0})["revision"] != row["revision"] for row in rows):
            return 412, {"items": [self.items[row["key"]] for row in rows if row["key"] in self.items]}
        puts, removals = data.get("put") or [], data.get("delete") or []
        if any(one.get("lease") and one["lease"] not in self.leases for one in puts):
            return 404, {}
        if any(key.startswith(("op/", "servers/")) for key in [one["key"] for one in puts] + removals):
            return 403, {}
        self.revision += 1
        for one in puts:
            created = self.items[one["key"]]["created"] if one["key"] in self.items else self.revision
            self.items[one["key"]] = {"key": one["key"], "value": one["value"], "revision": self.revision,
                                      "created": created, "lease": one.get("lease", 0)}
        for key in removals:
            self.items.pop(key, None)
        return 200, {"revision": self.revision}


class Run:
    def __init__(self, attempt, behaviour, checkpoint, clock):
        self.attempt = attempt
        self.behaviour = behaviour
        self.checkpoint = checkpoint
        self.started = clock


class Worker:
    """One life of a worker. A spec "lasts" runs until it is stopped; "work N" takes N ms."""

    STARTUP_MS = 500
    LATE_S = (2, 12)

    def __init__(self, store, record, name, zone, labels, cpu, service):
        self.store, self.record, self.name, self.zone = store, record, name, zone
        self.labels, self.service = labels, service
        self.capacity = {"cpu": cpu, "memMb": 65536, "gpu": 0}
        self.born = int(time.time() * 1000)
        self.began = time.monotonic()
        self.changed = threading.Condition()
        self.fence = 0
        self.lease = 0
        self.running = {}
        self.highest = {}
        self.ends = []
        self.done = set()
        # Rows of (time, "start" or how the run ended, task, attempt, number of the end).
        self.history = []
        self.acknowledged = 0
        # Chooses what happens to a start order: None, "late" or "refused".
        self.order_fate = lambda: None
        self.end_count = 0
        self.sequence = 0
        self.is_alive = True
        self.server = Server(self.answer)
        threading.Thread(target=self.work, daemon=True).start()
        threading.Thread(target=self.beat, daemon=True).start()

    def clock(self):
        return int((time.monotonic() - self.began) * 1000)

    def beat(self):
        while self.is_alive:
            self.sequence += 1
            entry = {"service": self.service, "addr": f"{HOST}:{self.server.port}", "zone": self.zone,
                     "version": "v1", "slots": 8, "state": "ready", "coldRemainingMs": 0, "seqNo": self.sequence,
                     "capacity": self.capacity, "labels": self.labels, "born": self.born, "clockMs": self.clock()}
            self.store.put(f"servers/{self.name}", json.dumps(entry).encode())
            time.sleep(HEARTBEAT_S)
        time.sleep(SILENT_HEARTBEATS * HEARTBEAT_S)
        self.store.delete(f"servers/{self.name}")

    def end(self, task, how):
        run = self.running.pop(task)
        self.highest[task] = max(self.highest.get(task, 0), run.attempt)
        self.end_count += 1
        self.history.append((time.monotonic(), how, task, run.attempt, self.end_count))
        self.ends.append([self.end_count, task, run.attempt, how, run.checkpoint])
        if how == "done":
            self.done.add(task)
        self.record.add(f"worker {self.name}: {task} run {run.attempt} ends {how}")
        self.changed.notify_all()

    def work(self):
        while self.is_alive:
            time.sleep(0.02)
            with self.changed:
                if self.running and self.clock() > self.lease:
                    for task in list(self.running):
                        self.end(task, "lapsed")
                for task, run in list(self.running.items()):
                    if run.behaviour.startswith("work ") and self.clock() - run.started >= int(run.behaviour[5:]):
                        self.end(task, "done")

    def crash(self):
        """Ends this life: nothing runs on, and nothing answers."""
        with self.changed:
            self.is_alive = False
            self.record.add(f"worker {self.name}: crashes with {sorted(self.running)}")
            self.running.clear()
        self.server.crash()

    def fail(self, task):
        with self.changed:
            self.end(task, "failed")

    def percent(self, run):
        spent = self.clock() - run.started
        if run.behaviour == "lasts":
            return 100 if spent >= self.STARTUP_MS else 0
        return min(99, 100 * spent // max(1, int(run.behaviour[5:])))

    def answer(self, method, path, headers, body):
        if not self.is_alive:
            return None
        if headers.get("X-Expected-Instance", self.name) != self.name:
            return 421, {}
        data = json.loads(body) if body else {}
        fate = self.order_fate() if path == "/-/run-start" else None
        if fate == "refused":
            self.record.add(f"worker {self.name}: refuses {data['task']} run {data['attempt']} with 503, not done")
            return 503, {}
        if fate == "late":
            delay = random.uniform(*self.LATE_S)
            self.record.add(f"worker {self.name}: gives no answer to {data['task']} run {data['attempt']}, carries it "
                            f"out {delay:.1f} s later")
            threading.Timer(delay, self.obey, (path, data)).start()
            return None
        return self.obey(path, data)

    def obey(self, path, data):
        with self.changed:
            if not self.is_alive:
                return None
            stamp = {"clockMs": self.clock(), "born": self.born}
            if data.get("fencingToken", 0) < self.fence:
                return 409, {**stamp, "reason": "fence"}
            self.fence = data.get("fencingToken", 0)
            if path == "/-/run-start":
                return self.start(data, stamp)
            if path == "/-/run-stop":
                task, attempt = data["task"], data["attempt"]
                if task in self.running and self.running[task].attempt <= attempt:
                    self.end(task, "stopped")
                self.highest[task] = max(self.highest.get(task, 0), attempt)
                return 200, stamp
            if path == "/-/hold":
                return self.hold(data)
        return 404, {}

    def extend(self, until):
        self.lease = max(self.lease, min(until, self.clock() + HOLD_MAX_MS))

    def start(self, data, stamp):
        task, attempt = data["task"], data["attempt"]
        run = self.running.get(task)
        if run and run.attempt == attempt:
            return 200, stamp
        if attempt <= self.highest.get(task, 0) or run:
            self.extend(data["untilMs"])
            return 409, {**stamp, "reason": "old"}
        if data["untilMs"] <= self.clock():
            return 409, {**stamp, "reason": "late"}
        self.extend(data["untilMs"])
        self.history.append((time.monotonic(), "start", task, attempt, 0))
        self.running[task] = Run(attempt, data["spec"], data.get("checkpoint", ""), self.clock())
        self.record.add(f"worker {self.name}: {task} run {attempt} starts ({data['spec']})")
        return 200, stamp

    def hold(self, data):
        self.acknowledged = max(self.acknowledged, data.get("ackCursor", 0))
        self.ends = [one for one in self.ends if one[0] > self.acknowledged]
        if "untilMs" in data:
            self.extend(data["untilMs"])
        deadline = time.monotonic() + min(2000, data.get("waitMs", 0)) / 1000
        while not self.ends and self.is_alive and time.monotonic() < deadline:
            self.changed.wait(deadline - time.monotonic())
        if not self.is_alive:
            return None
        running = [[task, run.attempt, run.checkpoint, self.percent(run), 0] for task, run in self.running.items()]
        return 200, {"clockMs": self.clock(), "born": self.born, "running": running, "finished": self.ends[:500]}


class Cell:
    """The processes of the system, started with the command of the deploy file."""

    def __init__(self, store, folder, zones):
        self.folder = folder
        self.nodes = []
        root = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
        atexit.register(self.end)
        ports = free_ports(4 * len(zones))
        for number, zone in enumerate(zones):
            front, readiness, peer, metrics = ports[4 * number:4 * number + 4]
            path = os.path.join(folder, f"node-{number}.conf")
            with open(path, "w") as file:
                file.write(f'[node]\nid = "frontend-{zone}-{number}"\nzone = "{zone}"\nprocessor_share = 0.25\n'
                           f'processor_cores = 1\nlink_mbps = 1000.0\nfront = "{HOST}:{front}"\n'
                           f'readiness = "{HOST}:{readiness}"\npeer = "{HOST}:{peer}"\n'
                           f'metrics = "{HOST}:{metrics}"\n\n[platform]\nstore = "{store.address}"\n\n[timing]\n'
                           f'worker_lease_ms = {HOLD_MAX_MS}\ngang_wait_ms = 3000\nstatus_s = 120\n'
                           'stop_grace_s = 6\n')
            self.nodes.append({"front": front, "readiness": readiness, "path": path, "process": None})
        for number in range(len(self.nodes)):
            self.start(number, root)

    def start(self, number, root):
        node = self.nodes[number]
        log = open(os.path.join(self.folder, f"node-{number}.log"), "ab")
        node["process"] = subprocess.Popen(["target/cranberrymount-cell", node["path"]], cwd=root, stdout=log,
                                           stderr=subprocess.STDOUT)

    def await_ready(self, limit_s=20):
        deadline = time.monotonic() + limit_s
        while time.monotonic() < deadline:
            if all(self.is_ready(node) for node in self.nodes):
                return True
            time.sleep(0.1)
        return False

    def is_ready(self, node):
        try:
            connection = http.client.HTTPConnection(HOST, node["readiness"], timeout=1)
            connection.request("GET", "/-/readyz")
            return connection.getresponse().status == 200
        except OSError:
            return False

    def end(self):
        for node in self.nodes:
            if node["process"] and node["process"].poll() is None:
                node["process"].kill()
                node["process"].wait()


class Client:
    """Submits jobs and asks for their state, at the nodes in turn; repeats calls as the protocol page allows."""

    def __init__(self, cell, record, host, key):
        self.cell, self.record, self.host, self.key = cell, record, host, key
        self.turn = 0

    def call(self, method, path, body=None):
        self.turn += 1
        node = self.cell.nodes[self.turn % len(self.cell.nodes)]
        try:
            connection = http.client.HTTPConnection(HOST, node["front"], timeout=4)
            connection.request(method, path, json.dumps(body) if body is not None else None,
                               {"Host": self.host, "Authorization": f"Token {self.key}", "X-Deadline-Ms": "3000",
                                "Content-Type": "application/json"})
            response = connection.getresponse()
            data = response.read()
            connection.close()
            return response.status, json.loads(data or b"{}")
        except (OSError, http.client.HTTPException, ValueError) as error:
            return 0, {"error": str(error)}

    def submit(self, path, body, tries=5):
        for _ in range(tries):
            status, reply = self.call("POST", path, body)
            self.record.add(f"client: POST {path} {json.dumps(body)} -> {status} {reply}")
            if 200 <= status < 300:
                return True
            time.sleep(1)
        return False

    def state(self, path):
        status, reply = self.call("GET", path)
        self.record.add(f"client: GET {path} -> {status} {reply}")
        return reply.get("state") if status == 200 else None


def configuration(routes, service, tenants):
    """Returns the operator's configuration; a route is (name, prefix, priority, stretchFactor, targetDurationMs)."""
    return {"version": 7,
            "routes": [{"name": name, "host": "nony24.example", "prefix": prefix, "kind": "non_idempotent",
                        "timeoutMs": 3000, "targetDurationMs": target, "priority": priority, "service": service,
                        "maxAttempts": 3, "stretchFactor": stretch, "public": False}
                       for name, prefix, priority, stretch, target in routes],
            "services": [{"name": service, "healthPath": "/healthz", "maxConns": 64, "protocol": "h1", "tls": False,
                          "coldStartS": 0.0, "coldPerS": 0.0, "admissionControl": False, "standby": False}],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000,
                       "idleTimeoutMs": 15000},
            "tenants": [{"name": name, "apiKeys": [key], "priority": 1, "weight": weight,
                         "cap": {"cpu": 0, "memMb": 0, "gpu": 0}} for name, key, weight in tenants]}


def run_case(folder, case):
    """Runs case(store, record, temporary folder) and returns its exit code."""
    # Whoever ends the script early ends the nodes, too.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    record = Record(os.path.join(folder, "record.txt"))
    with tempfile.TemporaryDirectory() as temporary:
        code = case(Store(), record, temporary)
        if os.environ.get("KEEP_LOGS"):
            import shutil
            shutil.copytree(temporary, os.environ["KEEP_LOGS"], dirs_exist_ok=True)
    record.add(f"exit {code}: " + {0: "the rule held", 1: "the rule was broken", 2: "the case could not run"}[code])
    return code
