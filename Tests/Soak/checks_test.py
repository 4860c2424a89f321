"""Each check of the soak finds the fault that it stands for, and nothing without it."""
import types
import unittest

import checks


class CheckerTest(unittest.TestCase):
    def setUp(self):
        self.now = 100.0
        self.checker = checks.Checker(lambda: self.now)
        self.workers = [types.SimpleNamespace(name=f"i-{number}", zone="z", labels=["a"], lapses=0,
                                              capacity={"cpu": 4000, "memMb": 1000}) for number in range(2)]
        self.add_job([{"count": 3, "cpu": 1000, "memMb": 100}])

    def add_job(self, steps, job="job", tenant="team", answers=(200,)):
        self.checker.jobs[job] = checks.Job(job, tenant, "work 1", steps, 2, list(answers), self.now)

    def start(self, task="job.0.0.0", worker=0, attempt=1, spec="work 1"):
        self.checker.started(self.workers[worker], task, attempt, spec)

    def end(self, how, task="job.0.0.0", worker=0, attempt=1, number=1, note=True):
        self.checker.ended(self.workers[worker], task, attempt, number, how)
        self.now += 0.01
        if note:
            self.checker.acknowledged(self.workers[worker], [task], number)

    def expect(self, *rules):
        self.assertEqual([row["rule"] for row in self.checker.findings], list(rules))

    def test_runs_one_after_the_other_break_nothing(self):
        self.start()
        self.end("failed")
        self.start(worker=1, attempt=2)
        self.end("done", worker=1, attempt=2)
        self.checker.shown(self.checker.jobs["job"], 200, "running", self.now)
        self.expect()

    def test_two_runs_at_once_are_found(self):
        self.start()
        self.start(worker=1, attempt=2)
        self.expect("TWICE")

    def test_start_after_a_noted_end_is_found(self):
        self.start()
        self.end("done")
        self.start(worker=1, attempt=2)
        self.expect("TWICE")

    def test_start_after_an_end_that_is_noted_later_is_found(self):
        self.start()
        self.end("done", note=False)
        self.start(worker=1, attempt=2)
        self.expect()
        self.checker.acknowledged(self.workers[0], ["job.0.0.0"], 1)
        self.expect("TWICE")

    def test_start_after_an_end_whose_worker_lapsed_is_allowed(self):
        self.start()
        self.end("done", note=False)
        self.workers[0].lapses += 1
        self.checker.acknowledged(self.workers[0], ["job.0.0.0"], 1)
        self.start(worker=1, attempt=2)
        self.expect()

    def test_start_beyond_the_room_is_found(self):
        self.add_job([{"count": 3, "cpu": 1500, "memMb": 100}])
        for index in range(3):
            self.start(f"job.0.0.{index}")
        self.expect("LIMIT")

    def test_start_beyond_the_tasks_of_one_worker_is_found(self):
        self.add_job([{"count": 3, "cpu": 10, "memMb": 1, "maxPerServer": 2}])
        for index in range(3):
            self.start(f"job.0.0.{index}")
        self.expect("ROUTE")

    def test_start_without_the_label_is_found(self):
        self.add_job([{"count": 1, "cpu": 10, "memMb": 1, "requiredLabel": "b"}])
        self.start()
        self.expect("ROUTE")

    def test_start_before_an_earlier_step_is_found(self):
        self.add_job([{"count": 1, "cpu": 10}, {"count": 1, "cpu": 10, "after": [0]}])
        self.start("job.0.1.0")
        self.expect("ORDER")

    def test_start_beyond_the_cap_is_found(self):
        self.checker.configure({"team": {"cpu": 900, "memMb": 0}})
        for index in range(2):
            self.start(f"job.0.0.{index}")
        self.expect("QUOTA")

    def test_start_after_all_attempts_failed_is_found(self):
        for attempt in (1, 2):
            self.start(attempt=attempt)
            self.end("failed", attempt=attempt, number=attempt)
        self.start(attempt=3)
        self.expect("BUDGET")

    def test_start_of_what_nobody_sent_is_found(self):
        self.start("other.0.0.0")
        self.start(spec="work 2")
        self.expect("UNASKED", "UNASKED")

    def test_start_of_a_cancelled_job_is_found(self):
        self.checker.jobs["job"].cancelled_at = self.now
        self.now += checks.CANCEL_S + 0.1
        self.start()
        self.expect("UNASKED")

    def test_start_of_a_refused_job_is_found(self):
        self.add_job([{"count": 1, "cpu": 10}], answers=(503, 429))
        self.checker.jobs["job"].accepted_at = None
        self.start()
        self.checker.finish({}, set())
        self.expect("REFUSED")

    def test_start_in_an_evacuated_zone_is_found(self):
        self.checker.evacuated["z"] = self.now
        self.now += checks.EVACUATE_S + 0.1
        self.start()
        self.expect("EVAC")

    def test_lost_and_wrongly_shown_jobs_are_found(self):
        job = self.checker.jobs["job"]
        self.now += checks.VISIBLE_S + 0.1
        self.checker.shown(job, 410, None, self.now)
        self.checker.shown(job, 200, "done", self.now)
        self.checker.shown(job, 200, "failed", self.now)
        self.checker.shown(job, 200, "cancelled", self.now)
        self.checker.finish({}, {"job"})
        self.expect("LOST", "MIXED", "LOST", "LOST", "LOST", "LOST")

    def test_gang_that_ends_alone_in_a_calm_time_is_found(self):
        self.checker.disturb(self.now - checks.CONTACT_S - 1)
        self.checker.gang_alone("job.0.0.0", self.now)
        self.checker.disturb(self.now)
        self.checker.gang_alone("job.0.0.0", self.now)
        self.expect("GANG")

    def test_withdrawn_key_that_works_and_key_that_does_not_are_found(self):
        self.checker.key_used(False, 200, self.now - checks.CONFIG_APPLY_S - 0.1, self.now)
        self.checker.key_used(True, 401, self.now - checks.CONFIG_APPLY_S - 0.1, self.now)
        self.checker.key_used(False, 200, self.now - 1, self.now)
        self.expect("CONFIG", "CONFIG")

    def test_claim_that_makes_two_schedulers_is_found(self):
        for node, claim in (("node 0", 7), ("node 1", 8), ("node 0", 77)):
            self.checker.logged(node, f"I1206 Leadership.cpp:371] event=leadership_won claim={claim}")
            self.checker.logged(node, f"I1206 Leadership.cpp:371] event=leadership_lost claim={claim}")
        self.expect()
        self.checker.logged("node 1", "I1206 Leadership.cpp:371] event=leadership_won claim=8")
        self.checker.logged("node 2", "I1206 Leadership.cpp:371] event=leadership_won claim=7")
        self.expect("LEADER", "LEADER")

    CAPACITY = {"cpu": 8000, "memMb": 2000}

    def test_service_that_stays_down_waits_in_vain(self):
        self.add_job([{"count": 1, "cpu": 1000, "longRunning": True}])
        self.start()
        self.end("failed")
        self.assertEqual(self.checker.waiting_in_vain(self.CAPACITY, {}), set())
        self.now += checks.RESTART_S + 0.1
        self.assertEqual(self.checker.waiting_in_vain(self.CAPACITY, {}), {"job.0.0.0"})

    def test_job_with_nothing_running_waits_in_vain_while_there_is_room(self):
        self.assertEqual(self.checker.waiting_in_vain(self.CAPACITY, {}), {"job"})
        self.assertEqual(self.checker.waiting_in_vain({"cpu": 5000, "memMb": 2000}, {}), set())
        self.assertEqual(self.checker.waiting_in_vain(self.CAPACITY, {"job": "done"}), set())
        self.start()
        self.assertEqual(self.checker.waiting_in_vain(self.CAPACITY, {}), set())

    def test_job_of_a_tenant_at_half_of_its_cap_may_wait(self):
        self.add_job([{"count": 1, "cpu": 1000}], job="other")
        self.checker.configure({"team": {"cpu": 2000, "memMb": 0}})
        self.start("other.0.0.0")
        self.assertEqual(self.checker.waiting_in_vain(self.CAPACITY, {}), set())

    def test_step_whose_turn_has_not_come_may_wait(self):
        self.add_job([{"count": 1, "cpu": 1000}, {"count": 1, "cpu": 1000, "after": [0]}])
        self.assertEqual(self.checker.due_tasks(self.checker.jobs["job"]), ["job.0.0.0"])


if __name__ == "__main__":
    unittest.main()
