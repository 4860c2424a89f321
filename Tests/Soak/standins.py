"""The stand-ins of review/, with faults that a seed draws and checks at each start and end."""
import json
import os
import signal
import subprocess
import sys
import threading
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
sys.path.insert(0, os.path.join(ROOT, "review", "standins"))
import platform_standins as base  # noqa: E402

GANG_WAIT_MS = 3000
STOP_MS = 900
GRACE_S = 6
CALL_LIMIT_S = 1.0


class FaultyStore(base.Store):
    """
    The platform's store; `mode` is "", "silent", "busy", "slow", "lost" (executed, not answered), "late" (executed later, not
    answered) or "apart": silent to the node `turned_away`, and slow, lost or late for the writes of the others.
    """

    def __init__(self, rng):
        self.rng = rng
        self.mode = ""
        self.turned_away = None
        # Share of the writes that get no answer on a connection that stays open, in addition to `mode`; half of them are late.
        self.loss_share = 0.0
        # When each segment of the journal was written.
        self.segment_times = []
        self.gates = {}
        super().__init__()

    def gate(self, node):
        """Returns the address at which the store knows the node by its number."""
        if node not in self.gates:
            self.gates[node] = base.Server(lambda *call: self.answer(*call, node=node))
        return f"{base.HOST}:{self.gates[node].port}"

    def answer(self, method, path, headers, body, node=None):
        mode = self.mode
        is_write = path.startswith("/-/kv-txn")
        if mode == "silent" or mode == "apart" and node == self.turned_away:
            time.sleep(CALL_LIMIT_S)
            return None
        if mode == "apart":
            mode = self.rng.choice(["", "slow", "lost", "late"]) if is_write else ""
        if mode == "busy":
            return 503, {}
        if mode == "slow":
            time.sleep(self.rng.uniform(0.05, 0.4))
        if is_write and self.loss_share and self.rng.random() < self.loss_share:
            delay = self.rng.choice([0, self.rng.uniform(1, 6)])
            threading.Timer(delay, self.execute, (method, path, headers, body)).start()
            time.sleep(CALL_LIMIT_S)
            return None
        if mode == "late" and is_write and self.rng.random() < 0.3:
            threading.Timer(self.rng.uniform(1, 6), self.execute, (method, path, headers, body)).start()
            return self.leave_unanswered()
        reply = self.execute(method, path, headers, body)
        return self.leave_unanswered() if mode == "lost" and is_write and self.rng.random() < 0.3 else reply

    def execute(self, method, path, headers, body):
        reply = super().answer(method, path, headers, body)
        if path.startswith("/-/kv-txn") and reply and reply[0] == 200:
            rows = json.loads(body).get("put", [])
            if any(row["key"].startswith("cell/journal/") for row in rows):
                self.segment_times.append(time.monotonic())
        return reply

    def leave_unanswered(self):
        """Ends the connection, at half of all times only when the caller has given the call up."""
        if self.rng.random() < 0.5:
            time.sleep(CALL_LIMIT_S)


def reset_connections(server):
    """Ends all connections of a stand-in's server, which goes on to listen."""
    with server.connections_lock:
        for one in list(server.connections):
            try:
                one.shutdown(base.socket.SHUT_RDWR)
            except OSError:
                pass


class World:
    """What all workers share: one lock, the checker, and the gangs whose members wait for each other."""

    def __init__(self, checker, record):
        self.lock = threading.RLock()
        self.checker = checker
        self.record = record
        self.gangs = {}


class Run:
    def __init__(self, attempt, spec, checkpoint, clock, is_gang):
        self.attempt = attempt
        self.words = spec.split()
        self.checkpoint = checkpoint
        self.began = time.monotonic()
        self.started = clock
        self.is_gang = is_gang
        # A member of a gang works from the moment when all members are present.
        self.works_since = None if is_gang else clock
        self.stops_at = None

    def kind(self):
        return self.words[0]

    def work_ms(self):
        return int(self.words[1])


class SoakWorker:
    """
    One life of a worker. Specs: "work MS", "flaky MS SHARE" (that share of the runs fails), "poison MS" (all fail) and
    "lasts MS" (fails after that time). Orders may be refused, lost after they were executed, or executed late.
    """

    def __init__(self, world, store, name, zone, labels, cpu, service, rng):
        self.world, self.store, self.name, self.zone, self.labels = world, store, name, zone, labels
        self.service, self.rng = service, rng
        self.capacity = {"cpu": cpu, "memMb": 65536, "gpu": 0}
        self.born = int(time.time() * 1000)
        self.began = time.monotonic()
        self.changed = threading.Condition(world.lock)
        self.fence = self.lease = self.acknowledged = self.end_count = self.lapses = self.sequence = 0
        self.is_lapsed = False
        self.running, self.highest, self.ends = {}, {}, []
        self.is_alive, self.is_silent = True, False
        # Shares of the orders that are refused, lost, or executed late.
        self.refuses = self.loses = self.delays = 0.0
        self.server = base.Server(self.answer)
        threading.Thread(target=self.work, daemon=True).start()
        threading.Thread(target=self.beat, daemon=True).start()

    clock = base.Worker.clock
    beat = base.Worker.beat

    def end(self, task, how):
        run = self.running.pop(task)
        self.highest[task] = max(self.highest.get(task, 0), run.attempt)
        self.end_count += 1
        self.ends.append([self.end_count, task, run.attempt, how, run.checkpoint])
        self.world.record.add(f"worker {self.name}: {task} run {run.attempt} ends {how}")
        self.world.checker.ended(self, task, run.attempt, self.end_count, how)
        self.changed.notify_all()
        if not run.is_gang:
            return
        if how == "alone":
            self.world.checker.gang_alone(task, run.began)
        members = self.world.gangs.pop(self.gang_key(task, run.attempt), {})
        for other, (worker, other_run) in members.items():
            if worker.running.get(other) is other_run:
                worker.end(other, "done" if how == "done" else "broken")

    @staticmethod
    def gang_key(task, attempt):
        return task.rsplit(".", 1)[0], attempt

    def work(self):
        while self.is_alive:
            time.sleep(0.02)
            with self.world.lock:
                if not self.is_alive:
                    return
                now = self.clock()
                if now > self.lease and not self.is_lapsed:
                    self.is_lapsed = True
                    self.lapses += 1
                for task, run in list(self.running.items()):
                    if self.running.get(task) is run:
                        self.advance(task, run, now)

    def advance(self, task, run, now):
        if now > self.lease:
            return self.end(task, "lapsed")
        if run.stops_at is not None:
            return self.end(task, "stopped") if now >= run.stops_at else None
        if run.works_since is None:
            return self.end(task, "alone") if now - run.started > GANG_WAIT_MS else None
        if now - run.works_since < run.work_ms():
            return None
        fails = {"poison": True, "lasts": True, "flaky": False, "work": False}[run.kind()]
        if run.kind() == "flaky":
            fails = self.rng.random() < float(run.words[2])
        return self.end(task, "failed" if fails else "done")

    def crash(self):
        """Ends this life: nothing runs on, and nothing answers."""
        with self.world.lock:
            self.is_alive = False
            self.world.record.add(f"worker {self.name}: crashes with {sorted(self.running)}")
            self.world.checker.crashed(self)
            for task, run in list(self.running.items()):
                members = self.world.gangs.pop(self.gang_key(task, run.attempt), {}) if run.is_gang else {}
                for other, (worker, other_run) in members.items():
                    if worker is not self and worker.running.get(other) is other_run:
                        worker.end(other, "broken")
            self.running.clear()
            self.changed.notify_all()
        self.server.crash()

    def percent(self, run, now):
        if run.kind() == "lasts":
            return 100 if now - run.started >= base.Worker.STARTUP_MS else 0
        spent = 0 if run.works_since is None else now - run.works_since
        return min(99, 100 * spent // max(1, run.work_ms()))

    def answer(self, method, path, headers, body):
        if not self.is_alive:
            return None
        if self.is_silent:
            time.sleep(CALL_LIMIT_S)
            return None
        if headers.get("X-Expected-Instance", self.name) != self.name:
            return 421, {}
        data = json.loads(body) if body else {}
        if path == "/-/hold":
            return self.obey(path, data)
        chance = self.rng.random()
        if path == "/-/run-start" and chance < self.refuses:
            self.world.record.add(f"worker {self.name}: refuses {data['task']} run {data['attempt']}")
            return self.rng.choice([429, 503]), {}
        if chance < self.refuses + self.loses:
            self.world.record.add(f"worker {self.name}: loses the answer to {path} {data['task']} {data['attempt']}")
            self.obey(path, data)
            return None
        if chance < self.refuses + self.loses + self.delays:
            delay = self.rng.uniform(2, 12)
            self.world.record.add(f"worker {self.name}: {path} {data['task']} run {data['attempt']} {delay:.1f} s late")
            threading.Timer(delay, self.obey, (path, data, True)).start()
            if self.rng.random() < 0.5:
                time.sleep(CALL_LIMIT_S)
            return None
        return self.obey(path, data)

    def obey(self, path, data, is_late=False):
        with self.world.lock:
            if not self.is_alive:
                return None
            stamp = {"clockMs": self.clock(), "born": self.born}
            if data.get("fencingToken", 0) < self.fence:
                return 409, {**stamp, "reason": "fence"}
            self.fence = data.get("fencingToken", 0)
            if path == "/-/run-start":
                return self.start(data, stamp, is_late)
            if path == "/-/run-stop":
                return self.stop(data["task"], data["attempt"], stamp)
            if path == "/-/hold":
                return self.hold(data)
        return 404, {}

    def stop(self, task, attempt, stamp):
        run = self.running.get(task)
        if run and run.attempt <= attempt and run.stops_at is None:
            run.stops_at = self.clock() + self.rng.uniform(0, STOP_MS)
        self.highest[task] = max(self.highest.get(task, 0), attempt)
        return 200, stamp

    def extend(self, until):
        self.lease = max(self.lease, min(until, self.clock() + base.HOLD_MAX_MS))
        self.is_lapsed = self.clock() > self.lease

    def start(self, data, stamp, is_late):
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
        self.world.record.add(f"worker {self.name}: {task} run {attempt} starts ({data['spec']})")
        job = self.world.checker.jobs.get(task.split(".")[0])
        self.world.checker.started(self, task, attempt, data["spec"], is_late)
        step = job.step_of(task) if job else {}
        run = Run(attempt, data["spec"], data.get("checkpoint", ""), self.clock(), step.get("gang", False))
        self.running[task] = run
        if run.is_gang:
            members = self.world.gangs.setdefault(self.gang_key(task, attempt), {})
            members[task] = (self, run)
            if len(members) == step["count"]:
                for worker, other in members.values():
                    other.works_since = worker.clock()
        return 200, stamp

    def hold(self, data):
        cursor = data.get("ackCursor", 0)
        if cursor > self.acknowledged:
            self.acknowledged = cursor
            noted = [one[1] for one in self.ends if one[0] <= cursor]
            self.ends = [one for one in self.ends if one[0] > cursor]
            self.world.checker.acknowledged(self, noted, cursor)
        if "untilMs" in data:
            self.extend(data["untilMs"])
        deadline = time.monotonic() + min(2000, data.get("waitMs", 0)) / 1000
        while not self.ends and self.is_alive and time.monotonic() < deadline:
            self.changed.wait(deadline - time.monotonic())
        if not self.is_alive:
            return None
        now = self.clock()
        running = [[task, run.attempt, run.checkpoint, self.percent(run, now), 0] for task, run in self.running.items()]
        return 200, {"clockMs": now, "born": self.born, "running": running, "finished": self.ends[:500]}


class SoakCell(base.Cell):
    """The processes of the system, which signals stop, pause, kill and start again."""

    def __init__(self, store, folder, zones, program):
        self.program, self.store = program, store
        self.has_ended = False
        self.lock = threading.Lock()
        super().__init__(store, folder, zones)

    def start(self, number, root=ROOT):
        node = self.nodes[number]
        if not node["process"]:
            with open(node["path"]) as file:
                settings = file.read()
            with open(node["path"], "w") as file:
                file.write(settings.replace(f'store = "{self.store.address}"', f'store = "{self.store.gate(number)}"'))
        # A fault that is still being undone must not start a node that nobody ends.
        with self.lock, open(os.path.join(self.folder, f"node-{number}.log"), "ab") as log:
            if not self.has_ended:
                node["process"] = subprocess.Popen([self.program, node["path"]], cwd=root, stdout=log,
                                                   stderr=subprocess.STDOUT)

    def end(self):
        with self.lock:
            self.has_ended = True
        super().end()

    def is_up(self, number):
        return self.nodes[number]["process"].poll() is None

    def signal(self, number, what):
        if self.is_up(number):
            self.nodes[number]["process"].send_signal(what)

    def kill(self, number):
        self.signal(number, signal.SIGKILL)
        self.nodes[number]["process"].wait()

    def stop(self, number):
        """Sends SIGTERM, and SIGKILL after the grace period. @return whether the process ended by itself."""
        self.signal(number, signal.SIGTERM)
        try:
            self.nodes[number]["process"].wait(GRACE_S)
            return True
        except subprocess.TimeoutExpired:
            self.kill(number)
            return False
