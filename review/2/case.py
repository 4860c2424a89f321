"""Workers leave start orders unanswered and carry them out late, and some refuse a part of their orders."""
import json
import os
import random
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins"))
import platform_standins as platform  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# One of the two disruptions can be left out, to see which of them matter.
LATE_SHARE = float(os.environ.get("LATE_SHARE", "0.3"))
REFUSED_SHARE = float(os.environ.get("REFUSED_SHARE", "0.4"))
SERVICE = "arrivals-api"
WORKERS, REFUSING_WORKERS, WORKER_CPU = 14, 2, 16000
JOBS, JOB_INTERVAL_S, JOB_TASKS, JOB_TASK_CPU, TASK_MS = 100, 0.4, 10, 2000, 2000
TROUBLE_S = 40
FINISH_S = 20


def doubled(workers):
    """Returns the tasks with two runs at the same time, or with a start after a done end that was taken note of."""
    runs = {}
    for worker in workers:
        for at, what, task, attempt, number in list(worker.history):
            if what == "start":
                runs.setdefault(task, []).append({"worker": worker, "attempt": attempt, "start": at, "end": None})
                continue
            run = next(one for one in runs[task] if one["worker"] is worker and one["attempt"] == attempt)
            run.update(end=at, done=what == "done" and number <= worker.acknowledged)
    for task, rows in runs.items():
        rows.sort(key=lambda row: row["start"])
        for number, row in enumerate(rows):
            for earlier in rows[:number]:
                if earlier["end"] is None or earlier["end"] > row["start"]:
                    yield task, "two runs at the same time", earlier, row
                elif earlier["done"]:
                    yield task, "a start after an end done", earlier, row


def case(store, record, folder):
    workers = [platform.Worker(store, record, f"i-{number:04x}", f"kz-central-{'abc'[number % 3]}",
                               ["a", f"r1-{number % 2}"], WORKER_CPU, SERVICE) for number in range(WORKERS)]
    routes = [("r-batch", "/batch1/", 2, 4.0, 3000)]
    store.put("op/config", json.dumps(platform.configuration(routes, SERVICE, [("team-a", "key-a", 100)])).encode())
    cell = platform.Cell(store, folder, ["kz-central-a", "kz-central-b", "kz-central-c"])
    try:
        if not cell.await_ready():
            record.add("the cell is not ready")
            return 2
        client = platform.Client(cell, record, "nony24.example", "key-a")
        time.sleep(2)
        trouble_until = time.monotonic() + (TROUBLE_S if TROUBLE else 0)

        def fate(refuses):
            if time.monotonic() > trouble_until:
                return None
            if random.random() < LATE_SHARE:
                return "late"
            return "refused" if refuses and random.random() < REFUSED_SHARE else None

        for number, worker in enumerate(workers):
            worker.order_fate = lambda refuses=number < REFUSING_WORKERS: fate(refuses)
        accepted = 0
        for number in range(JOBS):
            step = {"count": JOB_TASKS, "cpu": JOB_TASK_CPU, "memMb": 500, "estimateMs": TASK_MS}
            accepted += client.submit(f"/batch1/{0xc00 + number:016x}", {"spec": f"work {TASK_MS}", "steps": [step]})
            time.sleep(JOB_INTERVAL_S)
        if not accepted:
            return 2
        time.sleep(FINISH_S)
        found = list(doubled(workers))
        for task, what, earlier, later in found:
            ended = "-" if earlier["end"] is None else f"{earlier['end'] - platform.START:.3f}"
            record.add(f"{task}: {what}: run {earlier['attempt']} on {earlier['worker'].name} from "
                       f"{earlier['start'] - platform.START:.3f} to {ended}, run {later['attempt']} on "
                       f"{later['worker'].name} from {later['start'] - platform.START:.3f}")
        record.add(f"{accepted} jobs of {JOB_TASKS} tasks were accepted; {len(found)} tasks ran twice")
        return 1 if found else 0
    finally:
        cell.end()


sys.exit(platform.run_case(os.path.dirname(os.path.abspath(__file__)), case))
