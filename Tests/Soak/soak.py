"""
Runs real nodes against stand-ins of the platform, hurts them from outside as a seed draws it, and checks what callers and
workers see. Exits with 0 if nothing was broken, 1 if a rule was broken, and 2 if the run could not be played.
"""
import argparse
import http.client
import json
import os
import random
import shutil
import signal
import subprocess
import sys
import tempfile
import threading
import time

import checks
import standins
from standins import base

SERVICE = "arrivals-api"
ZONES = ["kz-central-a", "kz-central-b", "kz-central-c"]
HOST_NAME = "nony24.example"
WORKER_CPU = 16000
RECOVERY_S = 12.0
FINISH_S = 14.0
# A job may wait this long although there is room for it.
MAX_WAIT_S = 3.0
TENANTS = ["team-a", "team-b", "team-c"]
# Share of the run, at its end, in which only what the seed has drawn before is still being undone.
CALM_SHARE = 0.15
ROUTES = [("r-lookup", "/lookup/", 0, 1.5, 250), ("r-batch", "/batch/", 2, 4.0, 3000), ("r-gang", "/gang/", 1, 2.2, 1000)]
MAX_ATTEMPTS = 3


class Caller:
    """One client with a connection to each node, which it uses until the node closes it."""

    def __init__(self, soak):
        self.soak = soak
        self.connections = {}
        self.turn = 0

    def call(self, method, path, key, body=None):
        """Returns the status, 0 for none, and the body of the answer of the next node."""
        self.turn += 1
        number = self.turn % len(self.soak.cell.nodes)
        try:
            connection = self.connections.get(number)
            if not connection:
                connection = http.client.HTTPConnection(base.HOST, self.soak.cell.nodes[number]["front"], timeout=4)
                self.connections[number] = connection
            connection.request(method, path, json.dumps(body) if body is not None else None,
                               {"Host": HOST_NAME, "Authorization": f"Token {key}", "X-Deadline-Ms": "3000",
                                "Content-Type": "application/json"})
            response = connection.getresponse()
            return response.status, json.loads(response.read() or b"{}")
        except (OSError, http.client.HTTPException, ValueError):
            connection = self.connections.pop(number, None)
            if connection:
                connection.close()
            return 0, {}


class Soak:
    def __init__(self, options, folder):
        self.options, self.folder = options, folder
        self.logs_read = {}
        self.rng = random.Random(options.seed)
        self.record = base.Record(os.path.join(folder, "record.txt"))
        self.checker = checks.Checker()
        self.world = standins.World(self.checker, self.record)
        self.store = standins.FaultyStore(random.Random(options.seed + 1))
        self.workers, self.worker_count = [], 0
        self.version = 7
        self.keys = {tenant: [f"key-{tenant}"] for tenant in TENANTS}
        self.spare_key_since = None
        self.caps = {tenant: {"cpu": 0, "memMb": 0, "gpu": 0} for tenant in TENANTS}
        self.caps["team-c"]["cpu"] = 40000
        self.write_configuration()
        for _ in range(options.workers):
            self.add_worker()
        zones = [ZONES[number % len(ZONES)] for number in range(options.nodes)]
        self.cell = standins.SoakCell(self.store, folder, zones, options.program)
        self.ends_at = 0.0
        self.states = {}
        self.faults = []
        self.answers = {}
        self.job_count = 0
        self.threads = []

    # The world around the nodes.

    def write_configuration(self):
        self.version += 1
        rows = [(tenant, keys[0], 100) for tenant, keys in self.keys.items()]
        document = base.configuration(ROUTES, SERVICE, rows)
        document["version"] = self.version
        for tenant in document["tenants"]:
            tenant["apiKeys"] = self.keys[tenant["name"]]
            tenant["cap"] = self.caps[tenant["name"]]
        with self.world.lock:
            self.store.put("op/config", json.dumps(document).encode())
            self.checker.configure({tenant: dict(cap) for tenant, cap in self.caps.items()})

    def add_worker(self):
        number = self.worker_count
        self.worker_count += 1
        zone = ZONES[number % len(ZONES)]
        labels = ["ab"[number // len(ZONES) % 2], f"r{ZONES.index(zone)}-{number % 2}"]
        self.workers.append(standins.SoakWorker(self.world, self.store, f"i-{number:04x}", zone, labels, WORKER_CPU,
                                                SERVICE, random.Random(self.options.seed * 1000 + number)))

    # What the seed draws.

    def draw_job(self, rng):
        """Returns a job and its route's prefix."""
        tenant = rng.choice(TENANTS)
        kind = rng.choices(["lookup", "batch", "gang", "flaky", "poison", "lasts"], [40, 25, 12, 15, 3, 3])[0]
        cpu = rng.choice([500, 1000, 2000])
        step = {"cpu": cpu, "memMb": 500, "estimateMs": 1000}
        prefix = {"lookup": "/lookup/", "gang": "/gang/"}.get(kind, "/batch/")
        if kind == "lookup":
            spec, steps = f"work {rng.randrange(200, 900)}", [{**step, "count": rng.randint(1, 3)}]
        elif kind == "gang":
            spec, steps = f"work {rng.randrange(500, 3000)}", [{**step, "count": rng.randint(2, 6), "gang": True}]
        elif kind == "lasts":
            spec, steps = f"lasts {rng.randrange(3000, 15000)}", [{**step, "count": rng.randint(1, 3),
                                                                  "longRunning": True}]
        else:
            spec = {"batch": f"work {rng.randrange(300, 3000)}", "flaky": f"flaky {rng.randrange(200, 1500)} 0.15",
                    "poison": f"poison {rng.randrange(100, 800)}"}[kind]
            steps = [{**step, "count": rng.randint(2, 10)}]
            if rng.random() < 0.5:
                steps[0]["maxPerServer"] = rng.randint(1, 2)
            if rng.random() < 0.3:
                steps[0]["requiredLabel"] = rng.choice("ab")
            if kind == "batch" and rng.random() < 0.4:
                steps.append({**step, "count": rng.randint(1, 4), "after": [0]})
        with self.world.lock:
            self.job_count += 1
            job = checks.Job(f"{self.options.seed % 65536:04x}{self.job_count:012x}", tenant, spec, steps, MAX_ATTEMPTS)
            self.checker.jobs[job.id] = job
        return job, prefix

    def draw_faults(self):
        """Returns rows of (start in seconds, name, parameter, duration), in series that overlap."""
        rng, rows = self.rng, []
        end = self.options.minutes * 60 * (1 - CALM_SHARE)
        at = 3.0
        while at < end:
            name = rng.choices(["kill", "stop", "pause", "herd", "worker_crash", "grey", "silent", "store", "evacuate",
                                "config", "reset"], [3, 2, 4, 0.4, 3, 6, 3, 3, 1, 2, 3])[0]
            length = min(rng.uniform(0.5, 6.0), max(0.5, end - at))
            for repeat in range(rng.choice([1, 1, 2, 3])):
                rows.append((at + repeat * rng.uniform(0.3, 2.0), name, rng.random(), length))
            at += rng.uniform(0.3, 3.5)
        if self.options.loss_share:
            rows.append((5.0, "loss", 0.0, self.options.loss_s))
        return sorted(rows)

    # Faults. Each undoes itself.

    def play_fault(self, name, choice, length):
        self.record.add(f"fault {name} {choice:.3f} for {length:.1f} s")
        with self.world.lock:
            self.faults.append({"name": name, "at_s": round(base.elapsed(), 3), "for_s": round(length, 3)})
        getattr(self, f"fault_{name}")(choice, length)

    def disturb(self, length):
        with self.world.lock:
            self.checker.disturb(time.monotonic() + length)

    def victim(self, choice):
        """Returns a node, at half of all times the one that leads."""
        item = self.store.items.get("cell/leader")
        if choice < 0.5 and item:
            name = json.loads(base.base64.b64decode(item["value"]))["node"]
            return int(name.rsplit("-", 1)[1])
        return int(choice * 1000) % len(self.cell.nodes)

    def restart(self, number):
        self.cell.start(number)
        self.disturb(0.5)

    def fault_kill(self, choice, length):
        number = self.victim(choice)
        self.disturb(length)
        self.cell.kill(number)
        time.sleep(length)
        if not self.cell.is_up(number):
            self.restart(number)

    def fault_stop(self, choice, length):
        number = self.victim(choice)
        self.disturb(standins.GRACE_S + length)
        self.cell.stop(number)
        time.sleep(min(length, 2.0))
        if not self.cell.is_up(number):
            self.restart(number)

    def fault_pause(self, choice, length):
        number = self.victim(choice)
        self.disturb(length)
        self.cell.signal(number, signal.SIGSTOP)
        time.sleep(length)
        self.cell.signal(number, signal.SIGCONT)
        self.disturb(0.1)

    def fault_herd(self, choice, length):
        self.disturb(length + 1)
        for number in range(len(self.cell.nodes)):
            self.cell.kill(number)
        time.sleep(min(length, 2.0))
        for number in range(len(self.cell.nodes)):
            if not self.cell.is_up(number):
                self.restart(number)

    def some_workers(self, choice):
        with self.world.lock:
            alive = [worker for worker in self.workers if worker.is_alive]
        rng = random.Random(choice)
        return rng.sample(alive, max(1, int(len(alive) * rng.uniform(0.05, 0.4))))

    def fault_worker_crash(self, choice, length):
        self.disturb(length)
        gone = self.some_workers(choice * 0.999)[:3]
        for worker in gone:
            worker.crash()
        time.sleep(length)
        with self.world.lock:
            for _ in gone:
                self.add_worker()

    def fault_grey(self, choice, length):
        rng = random.Random(choice)
        rates = [rng.choice([0, 0.1, 0.3]) for _ in range(3)]
        self.disturb(length + 12)
        chosen = self.some_workers(choice)
        for worker in chosen:
            worker.refuses, worker.loses, worker.delays = rates
        time.sleep(length)
        for worker in chosen:
            worker.refuses = worker.loses = worker.delays = 0.0

    def fault_silent(self, choice, length):
        self.disturb(length + 1)
        chosen = self.some_workers(choice)
        for worker in chosen:
            worker.is_silent = True
        time.sleep(length * 1.5)
        for worker in chosen:
            worker.is_silent = False

    def fault_store(self, choice, length):
        self.disturb(length + 6)
        self.store.turned_away = self.victim(0)
        self.store.mode = ["silent", "busy", "slow", "lost", "late", "apart", "apart"][int(choice * 7)]
        time.sleep(length)
        self.store.mode = ""

    def fault_loss(self, choice, length):
        """Lets the store lose the answers to a share of all writes, and counts the commits meanwhile."""
        self.disturb(length + 6)
        self.store.loss_share = self.options.loss_share
        begun = time.monotonic()
        time.sleep(length)
        self.store.loss_share = 0.0
        written = sum(begun <= at < begun + length for at in self.store.segment_times)
        with self.world.lock:
            self.checker.counts["commits_per_s_in_loss"] = round(written / length, 1)

    def fault_reset(self, choice, length):
        self.disturb(0.1)
        if choice < 0.3:
            for server in self.store.gates.values():
                standins.reset_connections(server)
            return
        for worker in self.some_workers(choice):
            standins.reset_connections(worker.server)

    def fault_evacuate(self, choice, length):
        zone = ZONES[int(choice * len(ZONES))]
        with self.world.lock:
            if self.checker.evacuated:
                return
            self.store.put(f"op/evacuate/{zone}", b"{}")
            self.checker.evacuated[zone] = time.monotonic()
        time.sleep(length + 4)
        with self.world.lock:
            self.store.delete(f"op/evacuate/{zone}")
            del self.checker.evacuated[zone]

    def fault_config(self, choice, length):
        with self.world.lock:
            if choice < 0.5:
                self.caps["team-c"]["cpu"] = int(20000 + choice * 60000)
            elif "key-spare" in self.keys["team-a"]:
                self.keys["team-a"].remove("key-spare")
            else:
                self.keys["team-a"].append("key-spare")
            self.write_configuration()
            if choice >= 0.5:
                self.spare_key_since = time.monotonic()

    # Clients.

    def count_answer(self, kind, status):
        with self.world.lock:
            name = f"{kind} {status}"
            self.answers[name] = self.answers.get(name, 0) + 1

    def submit_jobs(self, seed):
        rng, caller = random.Random(seed), Caller(self)
        while time.monotonic() < self.ends_at:
            job, prefix = self.draw_job(rng)
            body = {"spec": job.spec, "steps": job.steps}
            for _ in range(5):
                status, _ = caller.call("POST", prefix + job.id, f"key-{job.tenant}", body)
                self.count_answer("POST", status)
                self.record.add(f"client: POST {prefix}{job.id} {job.spec} -> {status}")
                with self.world.lock:
                    job.answers.append(status)
                    if 200 <= status < 300:
                        job.accepted_at = time.monotonic()
                if 200 <= status < 300:
                    break
                time.sleep(rng.uniform(0.5, 1.5))
            if job.accepted_at is not None and rng.random() < (0.5 if job.lasts() else 0.05):
                self.spawn(self.cancel_later, job, prefix, rng.uniform(0.5, 8))
            if rng.random() < 0.5:
                self.ask(caller, job, prefix)
            time.sleep(rng.uniform(0, 2) * self.options.pause)

    def cancel_later(self, job, prefix, delay):
        time.sleep(delay)
        caller = Caller(self)
        with self.world.lock:
            job.cancel_sent_at = time.monotonic()
        while time.monotonic() < self.ends_at + FINISH_S:
            status, _ = caller.call("DELETE", prefix + job.id, f"key-{job.tenant}")
            self.count_answer("DELETE", status)
            if 200 <= status < 300 or status == 410:
                with self.world.lock:
                    job.cancelled_at = time.monotonic()
                return
            time.sleep(0.5)

    def ask(self, caller, job, prefix):
        """Asks for a job's state. @return the state, or None without an answer"""
        sent_at = time.monotonic()
        status, body = caller.call("GET", prefix + job.id, f"key-{job.tenant}")
        self.count_answer("GET", status)
        state = body.get("state") if status == 200 else None
        with self.world.lock:
            self.checker.shown(job, status, state, sent_at)
        return state

    def try_keys(self):
        caller = Caller(self)
        while time.monotonic() < self.ends_at:
            with self.world.lock:
                since, is_valid = self.spare_key_since, "key-spare" in self.keys["team-a"]
            sent_at = time.monotonic()
            status, _ = caller.call("GET", "/batch/", "key-spare")
            with self.world.lock:
                if since is not None and since == self.spare_key_since:
                    self.checker.key_used(is_valid, status, since, sent_at)
            time.sleep(0.3)

    def read_logs(self):
        """Passes what the nodes have logged since the last call to the checks."""
        for number in range(len(self.cell.nodes)):
            with open(os.path.join(self.folder, f"node-{number}.log"), "rb") as log:
                log.seek(self.logs_read.get(number, 0))
                lines = log.read().rpartition(b"\n")[0] + b"\n"
            if len(lines) == 1:
                continue
            self.logs_read[number] = self.logs_read.get(number, 0) + len(lines)
            with self.world.lock:
                for line in lines.decode(errors="replace").splitlines():
                    self.checker.logged(f"node {number}", line)

    # The run.

    def spawn(self, target, *arguments):
        thread = threading.Thread(target=target, args=arguments, daemon=True)
        thread.start()
        self.threads.append(thread)

    def run(self):
        """@return False if the cell did not become ready"""
        if not self.cell.await_ready():
            return False
        begun = time.monotonic()
        self.ends_at = begun + self.options.minutes * 60
        faults = self.draw_faults()
        for number in range(self.options.clients):
            self.spawn(self.submit_jobs, self.options.seed * 100 + number)
        self.spawn(self.try_keys)
        shown_at = begun
        while time.monotonic() < self.ends_at:
            while faults and time.monotonic() - begun >= faults[0][0]:
                self.spawn(self.play_fault, *faults.pop(0)[1:])
            if time.monotonic() - shown_at >= 10:
                shown_at = time.monotonic()
                self.show_progress()
            self.read_logs()
            time.sleep(0.05)
        for thread in self.threads:
            thread.join(30)
        self.await_recovery()
        self.await_ends()
        waiting = self.observe_waiting()
        self.read_logs()
        with self.world.lock:
            self.checker.finish(self.states, waiting)
        return True

    def await_recovery(self):
        deadline = time.monotonic() + RECOVERY_S
        while time.monotonic() < deadline:
            if all(self.cell.is_ready(node) for node in self.cell.nodes):
                return
            time.sleep(0.2)
        with self.world.lock:
            self.checker.find("RECOVER", "not all nodes are ready after the last fault")

    def await_ends(self):
        """Asks for each accepted job until it has ended or FINISH_S are over."""
        deadline = time.monotonic() + FINISH_S
        caller = Caller(self)
        with self.world.lock:
            open_jobs = [job for job in self.checker.jobs.values()
                         if job.accepted_at is not None and job.cancelled_at is None]
        while open_jobs and time.monotonic() < deadline:
            for job in list(open_jobs):
                prefix = "/gang/" if job.steps[0].get("gang") else "/batch/"
                self.states[job.id] = self.ask(caller, job, prefix)
                if self.states[job.id] in ("done", "failed", "cancelled"):
                    open_jobs.remove(job)
            time.sleep(0.3)

    def observe_waiting(self):
        """Returns the jobs and the tasks that last that wait in vain all the while."""
        waiting = None
        until = time.monotonic() + MAX_WAIT_S
        while waiting != set() and time.monotonic() < until:
            with self.world.lock:
                alive = [worker.capacity for worker in self.workers if worker.is_alive]
                capacity = {name: sum(one[name] for one in alive) for name in checks.RESOURCES}
                now = self.checker.waiting_in_vain(capacity, self.states)
            waiting = now if waiting is None else waiting & now
            time.sleep(0.05)
        return waiting

    def show_progress(self):
        with self.world.lock:
            print(f"{base.elapsed():6.1f} s: {len(self.checker.jobs)} jobs, {self.checker.counts.get('starts', 0)} starts, "
                  f"{len(self.faults)} faults, {len(self.checker.findings)} findings", flush=True)

    def report(self):
        with self.world.lock:
            jobs = self.checker.jobs.values()
            return {"seed": self.options.seed, "minutes": self.options.minutes, "nodes": self.options.nodes,
                    "workers": self.options.workers, "jobs": len(jobs),
                    "accepted": sum(job.accepted_at is not None for job in jobs), "counts": self.checker.counts,
                    "answers": self.answers, "faults": self.faults, "findings": self.checker.findings}


def parse_options():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--count", type=int, default=1, help="number of seeds, from --seed on")
    parser.add_argument("--jobs", type=int, default=3, help="seeds that are played at the same time")
    parser.add_argument("--minutes", type=float, default=0.7, help="of traffic; its last part is without new faults")
    parser.add_argument("--nodes", type=int, default=5)
    parser.add_argument("--workers", type=int, default=18)
    parser.add_argument("--clients", type=int, default=6)
    parser.add_argument("--pause", type=float, default=0.5, help="mean seconds between two jobs of a client")
    parser.add_argument("--loss-share", type=float, default=0.0, help="share of the writes whose answers the store loses")
    parser.add_argument("--loss-s", type=float, default=20.0, help="for how long the store loses them, in seconds")
    parser.add_argument("--program", default=os.path.join(standins.ROOT, "Build", "cranberrymount-cell"))
    parser.add_argument("--report", help="file for the report as JSON")
    parser.add_argument("--keep", help="folder for logs and the record of a run that broke a rule")
    return parser.parse_args()


def play_seeds(options):
    """Plays each seed in a process of its own. @return the exit code"""
    seeds = list(range(options.seed, options.seed + options.count))
    begun, running, broken = time.monotonic(), {}, {}
    while seeds or running:
        while seeds and len(running) < options.jobs:
            seed = seeds.pop(0)
            command = [sys.executable, os.path.abspath(__file__), "--seed", str(seed)]
            for name in ("minutes", "nodes", "workers", "clients", "pause", "loss_share", "loss_s", "program"):
                command += [f"--{name.replace('_', '-')}", str(getattr(options, name))]
            for name in ("report", "keep"):
                if getattr(options, name):
                    command += [f"--{name}", f"{getattr(options, name)}-{seed}"]
            running[seed] = subprocess.Popen(command, stdout=subprocess.PIPE, stderr=subprocess.STDOUT, text=True)
        for seed, process in list(running.items()):
            if process.poll() is None:
                continue
            lines = process.stdout.read().splitlines()
            print("\n".join(line for line in lines if " s: " not in line or process.returncode), flush=True)
            if process.returncode:
                broken[seed] = process.returncode
            del running[seed]
        time.sleep(0.1)
    print(f"{options.count} seeds in {time.monotonic() - begun:.0f} s; not clean: {broken or 'none'}")
    return max(broken.values(), default=0)


def main():
    options = parse_options()
    if options.count > 1:
        return play_seeds(options)
    # Whoever ends the run early ends the nodes, too.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    with tempfile.TemporaryDirectory() as folder:
        soak = Soak(options, folder)
        try:
            if not soak.run():
                print("the cell did not become ready")
                return 2
        finally:
            soak.cell.end()
        report = soak.report()
        if report["findings"] and options.keep:
            shutil.copytree(folder, options.keep, dirs_exist_ok=True)
    if options.report:
        with open(options.report, "w") as file:
            json.dump(report, file, indent=1)
    print(f"seed {report['seed']}: {report['accepted']} of {report['jobs']} jobs accepted, {report['counts']}, "
          f"{len(report['faults'])} faults")
    for row in report["findings"][:20]:
        print(f"  {row['rule']} at {row['at_s']} s: {row['text']}")
    print(f"seed {report['seed']}: {len(report['findings'])} findings")
    return 1 if report["findings"] else 0


if __name__ == "__main__":
    sys.exit(main())
