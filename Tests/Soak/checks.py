"""Checks of the users' rules over what callers and workers have seen."""
import dataclasses
import re
import time

# Bounds of the users' pages, in seconds.
CONTACT_S = 3.0
# A task that lasts is due again this long after its last run.
RESTART_S = 6.0
CONFIG_APPLY_S = 2.0
EVACUATE_S = 5.0
CANCEL_S = 3.0
VISIBLE_S = 3.0
MAX_STRETCH_S = 5.0
QUOTA_OVERSHOOT = 0.1
RESOURCES = ("cpu", "memMb")


@dataclasses.dataclass
class Job:
    """A job that a client has begun to submit."""
    id: str
    tenant: str
    spec: str
    steps: list
    max_attempts: int
    answers: list = dataclasses.field(default_factory=list)
    accepted_at: float = None
    cancel_sent_at: float = None
    cancelled_at: float = None

    def step_of(self, task):
        """Returns the step of the task named ID.K.STEP.INDEX."""
        return self.steps[int(task.split(".")[2])]

    def is_refused(self):
        """Returns whether each try of the client was rejected as not accepted."""
        return bool(self.answers) and all(status in (429, 503) for status in self.answers)

    def lasts(self):
        return any(step.get("longRunning") for step in self.steps)


@dataclasses.dataclass
class End:
    """An end that a worker has listed."""
    worker: object
    number: int
    how: str
    at: float
    lapses: int
    is_noted: bool = False


@dataclasses.dataclass
class Start:
    worker: object
    attempt: int
    at: float


class Checker:
    """Keeps what is running and has ended, and collects findings. Callers hold the world's lock."""

    def __init__(self, clock=time.monotonic):
        self.clock = clock
        self.began = clock()
        self.findings = []
        self.counts = {}
        self.jobs = {}
        self.running = {}
        self.starts = {}
        self.ends = {}
        self.caps = {}
        self.evacuated = {}
        self.led = {}
        self.disturbed_until = 0.0

    def find(self, rule, text):
        self.findings.append({"at_s": round(self.clock() - self.began, 3), "rule": rule, "text": text})

    def count(self, name):
        self.counts[name] = self.counts.get(name, 0) + 1

    def disturb(self, until):
        """Notes that a machine or the store is disturbed until the time given."""
        self.disturbed_until = max(self.disturbed_until, until)

    def is_calm(self, since=None):
        """Returns whether all machines are in touch now, or have been since `since`."""
        return self.disturbed_until + CONTACT_S < (self.clock() if since is None else since)

    def configure(self, caps):
        """Notes the tenants' caps of a configuration that the store has acknowledged."""
        now = self.clock()
        for tenant, cap in caps.items():
            history = self.caps.setdefault(tenant, [])
            if history:
                history[-1][1] = now + CONFIG_APPLY_S + MAX_STRETCH_S
            history.append([cap, float("inf")])

    def logged(self, node, line):
        """Checks a line of a node's log: one claim makes one scheduler, over all nodes and their processes."""
        won = re.search(r"event=leadership_won claim=(\d+)", line)
        if not won:
            return
        self.count("leaders")
        claim = int(won.group(1))
        if claim in self.led:
            self.find("LEADER", f"{node} wins claim {claim}, which {self.led[claim]} has won")
        self.led[claim] = node

    def started(self, worker, task, attempt, spec, is_late=False):
        """Checks a start that the worker executes now."""
        now = self.clock()
        self.count("starts")
        job = self.jobs.get(task.split(".")[0])
        if not job or job.spec != spec:
            self.find("UNASKED", f"{task} was not submitted, or with another spec")
            return
        step = job.step_of(task)
        self.check_twice(task, attempt, worker)
        self.check_room(worker, task, step)
        self.check_quota(job, task, step)
        if step.get("requiredLabel") and step["requiredLabel"] not in worker.labels:
            self.find("ROUTE", f"{task} on {worker.name} without the label {step['requiredLabel']}")
        for earlier in step.get("after", []):
            for index in range(job.steps[earlier]["count"]):
                if not self.is_done(f"{job.id}.0.{earlier}.{index}"):
                    self.find("ORDER", f"{task} starts before {job.id}.0.{earlier}.{index} is done")
        if not is_late and self.is_calm():
            if job.cancelled_at is not None and now > job.cancelled_at + CANCEL_S:
                self.find("UNASKED", f"{task} starts after its job was cancelled")
            evacuated_at = self.evacuated.get(worker.zone)
            if evacuated_at is not None and now > evacuated_at + EVACUATE_S:
                self.find("EVAC", f"{task} starts on {worker.name} in {worker.zone}, which is evacuated")
        start = Start(worker, attempt, now)
        self.running.setdefault(task, []).append(start)
        self.starts.setdefault(task, []).append(start)
        self.check_ends(task)

    def check_twice(self, task, attempt, worker):
        for other in self.running.get(task, []):
            self.find("TWICE", f"{task} run {attempt} on {worker.name} beside run {other.attempt} on "
                               f"{other.worker.name}")

    def check_room(self, worker, task, step):
        here = [other for other, rows in self.running.items() for row in rows if row.worker is worker]
        for name in RESOURCES:
            used = sum(self.need(other).get(name, 0) for other in here)
            if used + step.get(name, 0) > worker.capacity[name]:
                self.find("LIMIT", f"{task} needs {step[name]} {name} on {worker.name}, {used} are taken")
        same = [other for other in here if other.rsplit(".", 1)[0] == task.rsplit(".", 1)[0]]
        if step.get("maxPerServer") and len(same) >= step["maxPerServer"]:
            self.find("ROUTE", f"{task} on {worker.name} beside {same}; {step['maxPerServer']} may run there")

    def check_quota(self, job, task, step):
        now = self.clock()
        caps = [cap for cap, until in self.caps.get(job.tenant, []) if until > now]
        for name in RESOURCES:
            if not caps or any(cap.get(name, 0) == 0 for cap in caps):
                continue
            used = sum(self.need(other).get(name, 0) * len(rows) for other, rows in self.running.items()
                       if self.jobs[other.split(".")[0]].tenant == job.tenant)
            limit = max(cap[name] for cap in caps) * (1 + QUOTA_OVERSHOOT)
            if used > limit:
                self.find("QUOTA", f"{task}: {job.tenant} has {used} {name}, its cap is {limit:.0f}")

    def need(self, task):
        return self.jobs[task.split(".")[0]].step_of(task)

    def ended(self, worker, task, attempt, number, how):
        """Notes an end that the worker lists from now on."""
        rows = self.running.get(task, [])
        rows[:] = [row for row in rows if row.worker is not worker or row.attempt != attempt]
        if not rows:
            self.running.pop(task, None)
        self.count(f"ends_{how}")
        self.ends.setdefault(task, []).append(End(worker, number, how, self.clock(), worker.lapses))

    def crashed(self, worker):
        """Notes that nothing runs on the worker any more."""
        for task in list(self.running):
            rows = [row for row in self.running[task] if row.worker is not worker]
            self.running[task] = rows
            if not rows:
                del self.running[task]

    def acknowledged(self, worker, tasks, cursor):
        """Notes the ends of the tasks that the worker's ackCursor has reached."""
        for task in tasks:
            for end in self.ends.get(task, []):
                if end.worker is worker and end.number <= cursor and end.lapses == worker.lapses:
                    end.is_noted = True
            self.check_ends(task)

    def check_ends(self, task):
        job = self.jobs[task.split(".")[0]]
        for start in self.starts.get(task, []):
            before = [end for end in self.ends.get(task, []) if end.is_noted and end.at < start.at]
            rules = []
            if any(end.how == "done" for end in before):
                rules.append("TWICE")
            if not job.step_of(task).get("longRunning") and sum(
                    end.how == "failed" for end in before) >= job.max_attempts:
                rules.append("BUDGET")
            for rule in rules:
                text = f"{task} run {start.attempt} on {start.worker.name} starts after noted ends"
                if not any(row["text"] == text and row["rule"] == rule for row in self.findings):
                    self.find(rule, text)

    def gang_alone(self, task, began):
        """Checks an end `alone` of a run that began at the time given."""
        job = self.jobs[task.split(".")[0]]
        if job.cancel_sent_at is None and self.is_calm(began):
            self.find("GANG", f"{task} ends alone")

    def shown(self, job, status, state, sent_at):
        """Checks the answer to a request for a job's state."""
        if status == 410 and job.accepted_at is not None and job.cancel_sent_at is None:
            if sent_at > job.accepted_at + VISIBLE_S and self.is_calm(sent_at):
                self.find("LOST", f"{job.id} is not known, though it was accepted")
        if state == "done":
            missing = [task for task in self.tasks(job) if not self.is_done(task)]
            if missing:
                self.find("MIXED", f"{job.id} is shown as done, and {missing[0]} is not")
        if state == "failed" and not any(
                sum(end.how == "failed" for end in self.ends.get(task, [])) >= job.max_attempts
                for task in self.tasks(job)) and not self.has_failed_gang(job):
            self.find("LOST", f"{job.id} is shown as failed without cause")
        if state == "cancelled" and job.cancel_sent_at is None:
            self.find("LOST", f"{job.id} is shown as cancelled, and nobody has cancelled it")

    def has_failed_gang(self, job):
        """Returns whether attempts of one gang failed as often as allowed, each by any of its members."""
        for number, step in enumerate(job.steps):
            prefix = f"{job.id}.0.{number}."
            failed = sum(end.how == "failed" for task, ends in self.ends.items() if task.startswith(prefix)
                         for end in ends)
            if step.get("gang") and failed >= job.max_attempts:
                return True
        return False

    @staticmethod
    def tasks(job):
        return [f"{job.id}.0.{number}.{index}" for number, step in enumerate(job.steps)
                for index in range(step["count"])]

    def key_used(self, is_valid, status, known_at, sent_at):
        """Checks the answer to a call with a key that a configuration added or withdrew at `known_at`."""
        if sent_at < known_at + CONFIG_APPLY_S or not self.is_calm(sent_at):
            return
        if is_valid and status == 401:
            self.find("CONFIG", "a key that is there is refused")
        if not is_valid and 200 <= status < 300:
            self.find("CONFIG", "a withdrawn key is accepted")

    def used(self, tenant=None):
        """Returns what runs, of all tenants or of one, by resource."""
        rows = [(self.need(task), len(starts)) for task, starts in self.running.items()
                if tenant is None or self.jobs[task.split(".")[0]].tenant == tenant]
        return {name: sum(need.get(name, 0) * count for need, count in rows) for name in RESOURCES}

    def waiting_in_vain(self, capacity, states):
        """
        Returns the jobs, and the tasks that last, that nothing runs of although their turn has come, there is capacity for
        them twice over, under half of all is in use and their tenant has under half of its cap.
        """
        found = set()
        used = self.used()
        if any(used[name] * 2 >= capacity[name] for name in RESOURCES):
            return found
        for job in self.jobs.values():
            is_over = states.get(job.id) in ("done", "failed", "cancelled")
            if job.accepted_at is None or job.cancel_sent_at is not None or is_over or self.is_at_cap(job.tenant):
                continue
            due = self.due_tasks(job)
            need = {name: sum(job.step_of(task).get(name, 0) for task in due) for name in RESOURCES}
            if not due or any(2 * need[name] > capacity[name] - used[name] for name in RESOURCES):
                continue
            if job.lasts():
                found.update(due)
            elif not any(task in self.running for task in self.tasks(job)):
                found.add(job.id)
        return found

    def is_at_cap(self, tenant):
        cap = self.caps[tenant][-1][0] if self.caps.get(tenant) else {}
        used = self.used(tenant)
        return any(cap.get(name, 0) and used[name] * 2 >= cap[name] for name in RESOURCES)

    def due_tasks(self, job):
        """Returns the tasks whose turn has come and of which nothing runs."""
        due = []
        for task in self.tasks(job):
            ends = self.ends.get(task, [])
            after = job.step_of(task).get("after", [])
            if task in self.running or any(
                    not self.is_done(f"{job.id}.0.{number}.{index}") for number in after
                    for index in range(job.steps[number]["count"])):
                continue
            if job.lasts():
                if self.clock() > (ends[-1].at if ends else job.accepted_at) + RESTART_S:
                    due.append(task)
            elif not self.is_done(task):
                due.append(task)
        return due

    def is_done(self, task):
        return any(end.how == "done" for end in self.ends.get(task, []))

    def finish(self, states, waiting):
        """Checks the jobs' last states, by id, and those that have waited in vain for as long as the rule allows."""
        for job in self.jobs.values():
            started = [task for task in self.tasks(job) if task in self.starts]
            if job.is_refused() and started:
                self.find("REFUSED", f"{started[0]} has started, and all tries were rejected: {job.answers}")
            if job.accepted_at is None:
                continue
            if job.cancelled_at is not None and any(task.split(".")[0] == job.id for task in self.running):
                self.find("UNASKED", f"{job.id} was cancelled, and a task of it runs on")
            if job.cancel_sent_at is None and states.get(job.id) is None:
                self.find("LOST", f"{job.id} gets no answer at the end")
        for name in sorted(waiting):
            self.find("LOST", f"{name} waits, though there is room")
