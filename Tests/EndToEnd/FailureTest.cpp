// Failures of a deployment of separate processes. Results are checked against the journals of the
// worker stand-ins.

#include "Deployment.h"

#include <catch2/catch.hpp>

#include <atomic>
#include <csignal>
#include <thread>

using namespace Cranberrymount;

namespace {

/** Required bound on the time until a change takes effect at every entry and target. */
constexpr Duration MaxTimeToTakeEffect{6000};
/**
 * An entry vouches (promises its peers to make no configuration change for a fixed time) only once
 * no write of its former incarnation can arrive any more.
 */
constexpr Duration TimeUntilVouching{10'500};

class FaultInjectionDeployment : public ReadyDeployment
{
protected:
    /** Submits a batch job through zone a and waits until at least 8 tasks run. */
    std::string startBatch(int tasks = 40, int runMillis = 1200)
    {
        std::string name = deployment.submit("a-e0", "red", job("batch", tasks, runMillis));
        REQUIRE_FALSE(name.empty());
        REQUIRE(eventually(
            [&] { return deployment.taskCounts("b-e0", "red", name).value("running", 0) >= 8; }));
        return name;
    }

    /** Waits until @p tasks tasks are done and checks that none ran twice. */
    void checkEachTaskRanOnce(const std::string &entry, const std::string &name, std::size_t tasks)
    {
        CHECK(eventually([&] { return deployment.isDone(entry, "red", name, tasks); },
                         Duration(90'000)));
        const WorkerJournal journal = deployment.journal();
        CHECK(journal.doneTasks(name) == tasks);
        CHECK(journal.doneAttempts(name) == tasks);
        CHECK(journal.tasksWithOverlappingAttempts().empty());
        CHECK(journal.violations.empty());
    }

    /** @return the entry of zone a that is not @p owner. */
    std::string otherEntryInZoneA(const std::string &owner) const
    {
        return owner == "a-e0" ? "a-e1" : "a-e0";
    }
};

} // namespace

TEST_CASE_METHOD(FaultInjectionDeployment,
                 "Killing a shard owner neither loses a task nor runs one twice", "[failure][kill]")
{
    const std::string batch = startBatch();
    deployment.signal(deployment.ownerOf("a"), SIGKILL);
    checkEachTaskRanOnce("b-e0", batch, 40);
}

TEST_CASE_METHOD(FaultInjectionDeployment,
                 "Owner paused past the end of its leases runs no task twice", "[failure][pause]")
{
    const std::string batch = startBatch();
    const std::string owner = deployment.ownerOf("a");
    deployment.signal(owner, SIGSTOP);
    CHECK(eventually([&] {
        const Json statusReport = deployment.status(otherEntryInZoneA(owner));
        for (const Json &entry : statusReport.value("entries", Json::array())) {
            if (entry.at("entry") == otherEntryInZoneA(owner) && !entry.at("shards").empty())
                return entry.at("shards").front().at("active").get<bool>();
        }
        return false;
    }));
    deployment.signal(owner, SIGCONT);
    checkEachTaskRanOnce("b-e0", batch, 40);
}

TEST_CASE_METHOD(FaultInjectionDeployment,
                 "Store outage stops neither keyed lookups nor accepted jobs", "[failure][outage]")
{
    std::this_thread::sleep_for(TimeUntilVouching);
    const std::string batch = startBatch(120, 3000);
    REQUIRE(awaitLookupsServed("a-e0"));
    deployment.setPlatformFaults({{"down", true}});
    const int64_t outageStartedAt = unixMillis();
    // Longer than any freshness evidence from before the outage is valid.
    std::this_thread::sleep_for(Duration(8000));
    CHECK(lookup("a-e0").status == 200);
    CHECK(eventually(
        [&] { return lookup("b-e0", "keyed", "{}", {"X-Team-Key: key-red"}).status == 200; },
        Duration(5000)));
    const WorkerJournal journalDuringOutage = deployment.journal();
    CHECK(journalDuringOutage.startsIn("a", outageStartedAt + 6000)
              + journalDuringOutage.startsIn("b", outageStartedAt + 6000)
          > 0);
    CHECK(deployment.submit("b-e0", "red", job("batch", 1, 100)).empty());
    deployment.clearPlatformFaults();
    checkEachTaskRanOnce("b-e0", batch, 120);
}

TEST_CASE_METHOD(FaultInjectionDeployment,
                 "Lost store responses neither lose a task nor run one twice", "[failure][answers]")
{
    const std::string batch = startBatch();
    for (int round = 0; round < 6; ++round) {
        deployment.setPlatformFaults({{"lose_answers", 5}});
        std::this_thread::sleep_for(Duration(700));
    }
    deployment.setPlatformFaults({{"delay_ms", 300}});
    std::this_thread::sleep_for(Duration(2000));
    deployment.clearPlatformFaults();
    checkEachTaskRanOnce("b-e0", batch, 40);
}

TEST_CASE_METHOD(FaultInjectionDeployment, "Isolated zone serves its open queue and starts no task",
                 "[failure][cut]")
{
    REQUIRE(awaitLookupsServed("a-e0"));
    const std::string batch = startBatch();
    deployment.isolateZone("a", true);
    const int64_t isolatedAt = unixMillis();
    deployment.planAndConfirm("b-e0", {{"type", "drain-zone"}, {"zone", "a"}});
    const int64_t drainedAt = unixMillis();
    std::this_thread::sleep_for(MaxTimeToTakeEffect);
    CHECK(lookup("a-e0").status == 200);
    CHECK(lookup("a-e0", "keyed", "{}", {"X-Team-Key: key-red"}).status == 503);
    std::this_thread::sleep_for(Duration(2000));
    CHECK(deployment.journal().startsIn(
              "a", std::max(isolatedAt, drainedAt) + MaxTimeToTakeEffect.count())
          == 0);
    deployment.restoreNetwork();
    checkEachTaskRanOnce("b-e0", batch, 40);
}

TEST_CASE_METHOD(FaultInjectionDeployment,
                 "Entry isolated from the store serves and learns of changes through its peers",
                 "[failure][cut][relay]")
{
    REQUIRE(awaitLookupsServed("a-e0"));
    // The entries of zone b still reach both the store and zone a.
    deployment.isolateZoneFromPlatform("a");
    std::this_thread::sleep_for(MaxTimeToTakeEffect);
    CHECK(lookup("a-e0", "keyed", "{}", {"X-Team-Key: key-red"}).status == 200);
    deployment.planAndConfirm("b-e0", {{"type", "drain-zone"}, {"zone", "b"}});
    CHECK(eventually([&] { return deployment.status("a-e0").at("zones_out") == Json{"b"}; },
                     MaxTimeToTakeEffect));
}

TEST_CASE_METHOD(FaultInjectionDeployment, "Tasks of a dead worker run again on other workers",
                 "[failure][worker]")
{
    const std::string batch = startBatch();
    deployment.setWorkerFaults("a", {{"dead", {{"a-w0", true}, {"a-w1", true}}}});
    CHECK(
        eventually([&] { return deployment.isDone("b-e0", "red", batch, 40); }, Duration(60'000)));
    const WorkerJournal journal = deployment.journal();
    CHECK(journal.doneTasks(batch) == 40);
    CHECK(journal.tasksWithOverlappingAttempts().empty());
}

TEST_CASE_METHOD(FaultInjectionDeployment, "Worker that fails every task is quarantined",
                 "[failure][worker]")
{
    deployment.setWorkerFaults("a", {{"fails_all", {{"a-w0", true}}}});
    std::vector<std::string> names;
    names.reserve(6);
    for (int number = 0; number < 6; ++number)
        names.push_back(deployment.submit("a-e0", "red", job("batch", 8, 300)));
    for (const std::string &name : names)
        CHECK(eventually([&] { return deployment.isDone("b-e0", "red", name, 8); },
                         Duration(60'000)));
    std::size_t failed = 0;
    for (const std::string &name : names)
        failed += deployment.journal().count("failed", name);
    // Failures of two jobs quarantine the worker; at most the eight tasks that it holds at that
    // moment fail.
    CHECK(failed <= 8);
}

TEST_CASE_METHOD(FaultInjectionDeployment,
                 "Job whose tasks always fail ends as failed and other jobs complete",
                 "[failure][jobs]")
{
    Json failingSpec = job("batch", 4, 100);
    failingSpec["payload"] = R"({"run_ms":100,"fail":true})";
    const std::string failing = deployment.submit("a-e0", "red", failingSpec);
    const std::string good = deployment.submit("a-e0", "red", job("batch", 20, 200));
    checkEachTaskRanOnce("b-e0", good, 20);
    CHECK(eventually(
        [&] { return deployment.taskCounts("b-e0", "red", failing).value("failed", 0) == 4; }));
    CHECK(deployment.journal().count("started", failing) == 12);
    Json oversizedSpec = job("batch", 1, 100);
    oversizedSpec["per_task"] = {{"cpu_millis", 5000}, {"memory_mb", 1000}};
    const HttpResult refused =
        deployment.call("a-e0", "POST", "/jobs", oversizedSpec.dump(), {"X-Team-Key: key-red"});
    CHECK(refused.status == 422);
    CHECK(Json::parse(refused.body).at("outcome") == "not-run");
}

TEST_CASE_METHOD(FaultInjectionDeployment,
                 "Cancelling many jobs at once stops all their tasks and starts none",
                 "[failure][cancel]")
{
    std::vector<std::string> names;
    names.reserve(20);
    for (int number = 0; number < 20; ++number)
        names.push_back(deployment.submit("a-e0", "red", job("batch", 10, 20'000)));
    for (const std::string &name : names) {
        CHECK(deployment.call("b-e0", "DELETE", "/jobs/" + name, {}, {"X-Team-Key: key-red"}).status
              == 200);
    }
    for (const std::string &name : names) {
        CHECK(eventually([&] {
            return deployment.taskCounts("b-e0", "red", name).value("cancelled", 0) == 10;
        }));
    }
    const int64_t cancelledAt = unixMillis();
    const std::string next = deployment.submit("a-e0", "red", job("batch", 8, 200));
    checkEachTaskRanOnce("b-e0", next, 8);
    const WorkerJournal journal = deployment.journal();
    for (const JournalEvent &journalEvent : journal.events) {
        if (journalEvent.event == "started" && journalEvent.job != next)
            CHECK(journalEvent.at <= cancelledAt);
    }
}

TEST_CASE_METHOD(FaultInjectionDeployment,
                 "Unresponsive target gives the outcome unknown and runs no lookup twice",
                 "[failure][silent]")
{
    REQUIRE(awaitLookupsServed("a-e0"));
    deployment.setWorkerFaults("a", {{"silent_lookups", 1}});
    const HttpResult unanswered =
        deployment.call("a-e0", "POST", "/lookup/open", R"({"id":"tally"})");
    CHECK(unanswered.status == 504);
    CHECK(Json::parse(unanswered.body).at("outcome") == "unknown");
    CHECK(deployment.journal().lookupRuns.at("tally") == 1);
    deployment.setWorkerFaults("a", {{"silent_lookups", 0}});
    CHECK(awaitLookupsServed("a-e0"));
}

TEST_CASE_METHOD(FaultInjectionDeployment,
                 "Draining and returning a zone refuses no lookup at an entry that learns late",
                 "[failure][lookups]")
{
    const std::string isolatedEntry = otherEntryInZoneA(deployment.ownerOf("a"));
    REQUIRE(awaitLookupsServed(isolatedEntry));
    deployment.isolateEntryFromPlatform(isolatedEntry);
    std::atomic<bool> isStopping = false;
    std::atomic<int> answered = 0;
    std::atomic<int> refused = 0;
    std::vector<std::thread> clients;
    clients.reserve(3);
    for (int client = 0; client < 3; ++client) {
        clients.emplace_back([&] {
            while (!isStopping)
                ++(lookup(isolatedEntry).status == 200 ? answered : refused);
        });
    }
    const auto changeZone = [&](const std::string &intentType) {
        deployment.planAndConfirm("b-e0", {{"type", intentType}, {"zone", "a"}});
        std::this_thread::sleep_for(Duration(2000));
    };
    changeZone("drain-zone");
    changeZone("return-zone");
    isStopping = true;
    for (std::thread &client : clients)
        client.join();
    CHECK(answered > 0);
    CHECK(refused == 0);
    CHECK(deployment.journal().violations.empty());
}

TEST_CASE_METHOD(FaultInjectionDeployment,
                 "Target on a leaving instance receives no request after a few seconds",
                 "[failure][leaving]")
{
    REQUIRE(awaitLookupsServed("a-e0"));
    std::vector<Json> workers = deployment.workersOf("a");
    for (Json &worker : workers)
        worker["leaving"] = worker.at("id") != "a-w3";
    deployment.setPlatformFaults({{"list_lag_ms", 1000}});
    deployment.changeInstances({{"add", workers}});
    std::this_thread::sleep_for(MaxTimeToTakeEffect);
    for (int number = 0; number < 40; ++number) {
        const HttpResult response = deployment.call("a-e0", "POST", "/lookup/open", "{}");
        REQUIRE(response.status == 200);
        const auto worker = Json::parse(response.body).at("worker").get<std::string>();
        CHECK((worker == "a-w3" || worker.starts_with("b-")));
    }
}

TEST_CASE_METHOD(FaultInjectionDeployment,
                 "Team's upper limit holds across two zones and a killed owner",
                 "[failure][limits]")
{
    deployment.planAndConfirm("a-e0",
                              {{"type", "grant-share"},
                               {"team", "red"},
                               {"share", 1.0},
                               {"limit", {{"cpu_millis", 10'000}, {"memory_mb", 100'000}}}});
    deployment.awaitConfigurationInForce();
    std::vector<std::string> names;
    for (const std::string entry : {"a-e0", "b-e0"})
        names.push_back(deployment.submit(entry, "red", job("batch", 30, 700)));
    std::this_thread::sleep_for(Duration(1500));
    deployment.signal(deployment.ownerOf("b"), SIGKILL);
    for (const std::string &name : names)
        checkEachTaskRanOnce("a-e0", name, 30);
    CHECK(deployment.journal().peakCpuMillis("red") <= 10'000);
}

TEST_CASE_METHOD(FaultInjectionDeployment,
                 "Store outage combined with a killed owner loses no task", "[failure][pair]")
{
    const std::string batch = startBatch();
    deployment.setPlatformFaults({{"down", true}});
    std::this_thread::sleep_for(Duration(500));
    deployment.signal(deployment.ownerOf("a"), SIGKILL);
    std::this_thread::sleep_for(Duration(4000));
    deployment.clearPlatformFaults();
    checkEachTaskRanOnce("b-e0", batch, 40);
}

TEST_CASE_METHOD(FaultInjectionDeployment,
                 "Isolating a zone while its owner is paused runs no task twice", "[failure][pair]")
{
    const std::string batch = startBatch();
    const std::string owner = deployment.ownerOf("a");
    deployment.isolateZone("a", true);
    deployment.signal(owner, SIGSTOP);
    std::this_thread::sleep_for(Duration(6000));
    deployment.signal(owner, SIGCONT);
    std::this_thread::sleep_for(Duration(1000));
    deployment.restoreNetwork();
    checkEachTaskRanOnce("b-e0", batch, 40);
}
