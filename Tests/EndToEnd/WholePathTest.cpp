// Requests of clients, job submitters and operators, from the entries to the workers, with every
// part in a process of its own.

#include "Deployment.h"

#include "Service/KeyHash.h"

#include <catch2/catch.hpp>

#include <atomic>
#include <csignal>
#include <thread>

using namespace Cranberrymount;

TEST_CASE_METHOD(ReadyDeployment, "Lookup through any entry returns the complete response",
                 "[path]")
{
    for (const std::string &entry : deployment.entries()) {
        REQUIRE(awaitLookupsServed(entry));
        const std::string body = R"({"id":"ask-)" + entry + "\"}";
        const HttpResult response = lookup(entry, "open", body, {"X-Idempotent: true"});
        REQUIRE(response.status == 200);
        CHECK(Json::parse(response.body).at("echo") == body);
    }
    CHECK(deployment.journal().violations.empty());
}

TEST_CASE_METHOD(ReadyDeployment, "Batch job and gang run each task once", "[path]")
{
    const std::string batch = deployment.submit("a-e0", "red", job("batch", 30, 300));
    const std::string gang = deployment.submit("b-e1", "blue", job("gang", 8, 600));
    REQUIRE(eventually([&] {
        return deployment.isDone("a-e1", "red", batch, 30)
            && deployment.isDone("b-e0", "blue", gang, 8);
    }));
    const WorkerJournal journal = deployment.journal();
    CHECK(journal.doneTasks(batch) == 30);
    CHECK(journal.doneAttempts(batch) == 30);
    CHECK(journal.doneAttempts(gang) == 8);
    CHECK(journal.tasksWithOverlappingAttempts().empty());
    CHECK(journal.violations.empty());
    std::vector<int64_t> starts;
    std::vector<int64_t> ends;
    for (const JournalEvent &journalEvent : journal.events) {
        if (journalEvent.job == gang)
            (journalEvent.event == "started" ? starts : ends).push_back(journalEvent.at);
    }
    CHECK(starts.back() <= ends.front());
}

TEST_CASE_METHOD(ReadyDeployment, "Withdrawn key stops working within seconds", "[path][keys]")
{
    REQUIRE(awaitLookupsServed("a-e0"));
    const std::vector<std::string> key{"X-Team-Key: key-red"};
    REQUIRE(lookup("b-e0", "keyed", "{}", key).status == 200);
    REQUIRE(lookup("b-e0", "keyed", "{}").status == 401);
    REQUIRE(lookup("b-e0", "keyed", "{}", {"X-Team-Key: key-blue"}).status == 403);
    deployment.planAndConfirm(
        "a-e0", {{"type", "withdraw-key"}, {"team", "red"}, {"key_sha256", hashKey("key-red")}});
    const auto isRefusedEverywhere = [&] {
        for (const std::string &entry : deployment.entries()) {
            if (lookup(entry, "keyed", "{}", key).status != 401)
                return false;
        }
        return true;
    };
    CHECK(eventually(isRefusedEverywhere, Duration(6000)));
    CHECK(deployment.submit("a-e1", "red", job("batch", 1, 100)).empty());
}

TEST_CASE_METHOD(ReadyDeployment, "Any entry explains a request by its id", "[path][explain]")
{
    REQUIRE(awaitLookupsServed("b-e0"));
    const auto hops = [&](const std::string &id) {
        const HttpResult explanation = deployment.call("a-e0", "GET", "/requests/" + id);
        return explanation.status == 200 ? Json::parse(explanation.body).at("hops") : Json::array();
    };
    const std::string trace = "0af7651916cd43dd8448eb211c80319c";
    const std::string traceparent = "traceparent: 00-" + trace + "-b7ad6b7169203331-01";
    REQUIRE(lookup("b-e0", "open", "{}", {traceparent}).status == 200);
    const Json served = hops(trace);
    REQUIRE(served.size() >= 2);
    CHECK(served.front().at("facts").at("outcome") == "answered");
    CHECK(served.back().at("facts").contains("worker"));
    const std::string other = "1af7651916cd43dd8448eb211c80319c";
    REQUIRE(
        lookup("b-e0", "keyed", "{}", {"traceparent: 00-" + other + "-b7ad6b7169203331-01"}).status
        == 401);
    const Json refused = hops(other);
    REQUIRE(refused.size() == 1);
    CHECK(refused.front().at("facts").at("reason") == "the key is missing, unknown or withdrawn");
    CHECK(hops("2af7651916cd43dd8448eb211c80319c").empty());
}

TEST_CASE_METHOD(ReadyDeployment, "Team's key gives no access to another team's job",
                 "[path][keys]")
{
    const std::string batch = deployment.submit("a-e0", "red", job("batch", 4, 2000));
    const auto withKey = [&](const std::string &method, const std::string &path,
                             const std::string &key) {
        return deployment.call("b-e0", method, path, {}, {"X-Team-Key: " + key});
    };
    const std::string path = "/jobs/" + batch;
    CHECK(withKey("GET", path, "key-red").status == 200);
    CHECK(withKey("GET", path, "key-blue").status == 404);
    CHECK(withKey("DELETE", path, "key-blue").status == 404);
    CHECK(Json::parse(withKey("GET", "/jobs", "key-blue").body).at("jobs").empty());
    CHECK(deployment.callAsOperator("b-e0", "GET", "/jobs").at("jobs").size() == 1);
    CHECK(eventually([&] { return deployment.isDone("a-e0", "red", batch, 4); }));
}

TEST_CASE_METHOD(ReadyDeployment,
                 "Replicas of a service are replaced until the service is cancelled", "[path]")
{
    const std::string service = deployment.submit("a-e0", "red", job("service", 4, 1500));
    REQUIRE(eventually([&] { return deployment.journal().count("started", service) >= 12; }));
    CHECK(deployment.journal().tasksWithOverlappingAttempts().empty());
    const HttpResult response =
        deployment.call("b-e0", "DELETE", "/jobs/" + service, {}, {"X-Team-Key: key-red"});
    CHECK(response.status == 200);
    CHECK(eventually([&] { return deployment.taskCounts("a-e0", "red", service).size() == 1; }));
    const std::size_t starts = deployment.journal().count("started", service);
    std::this_thread::sleep_for(Duration(2000));
    CHECK(deployment.journal().count("started", service) == starts);
    CHECK(deployment.journal().violations.empty());
}

TEST_CASE_METHOD(ReadyDeployment, "Drained zone starts no task and its work moves to another zone",
                 "[path][zones]")
{
    const std::string batch = deployment.submit("a-e0", "red", job("batch", 48, 1500));
    REQUIRE(eventually(
        [&] { return deployment.taskCounts("a-e0", "red", batch).value("running", 0) >= 16; }));
    deployment.planAndConfirm("b-e0", {{"type", "drain-zone"}, {"zone", "a"}});
    const int64_t drainedAt = unixMillis();
    CHECK(
        eventually([&] { return deployment.isDone("b-e0", "red", batch, 48); }, Duration(60'000)));
    const WorkerJournal journal = deployment.journal();
    CHECK(journal.startsIn("a", drainedAt + 6000) == 0);
    CHECK(journal.doneAttempts(batch) == 48);
    CHECK(journal.tasksWithOverlappingAttempts().empty());
    CHECK(journal.violations.empty());

    deployment.planAndConfirm("a-e0", {{"type", "return-zone"}, {"zone", "a"}});
    const int64_t returnedAt = unixMillis();
    const std::string next = deployment.submit("b-e0", "red", job("batch", 48, 2000));
    CHECK(eventually([&] { return deployment.journal().startsIn("a", returnedAt) > 0; }));
    CHECK(eventually([&] { return deployment.isDone("b-e0", "red", next, 48); }));
}

TEST_CASE_METHOD(ReadyDeployment, "Only one of two operators with competing plans succeeds",
                 "[path][operators]")
{
    const Json drain = {{"type", "drain-zone"}, {"zone", "a"}};
    const Json grant = {{"type", "grant-share"},
                        {"team", "red"},
                        {"share", 4.0},
                        {"limit", {{"cpu_millis", 5000}, {"memory_mb", 5000}}}};
    const auto first = deployment.callAsOperator("a-e0", "POST", "/plans", drain).at("id");
    const auto second = deployment.callAsOperator("b-e0", "POST", "/plans", grant).at("id");
    const auto decide = [&](const std::string &entry, const Json &plan, const std::string &verb) {
        return deployment.callAsOperator(entry, "POST",
                                         "/plans/" + plan.get<std::string>() + "/" + verb);
    };
    CHECK(decide("a-e1", first, "confirm").at("http_status") == 200);
    const Json stale = decide("b-e1", second, "confirm");
    CHECK(stale.at("http_status") == 409);
    CHECK(stale.at("changed") == Json::array({"zone a is taken out of service"}));
    // Repeating a decision has no further effect; the opposite decision is refused.
    CHECK(decide("b-e0", first, "confirm").at("http_status") == 200);
    CHECK(decide("b-e0", first, "reject").at("http_status") == 409);
    CHECK(decide("b-e0", second, "reject").at("http_status") == 200);
    CHECK(decide("a-e0", second, "confirm").at("http_status") == 409);
}

TEST_CASE_METHOD(ReadyDeployment, "Requests with one idempotency key through two entries run once",
                 "[path][claims]")
{
    REQUIRE(awaitLookupsServed("a-e0"));
    REQUIRE(awaitLookupsServed("b-e0"));
    std::vector<HttpResult> responses(8);
    std::vector<std::thread> clients;
    for (std::size_t client = 0; client < responses.size(); ++client) {
        clients.emplace_back([&, client] {
            const std::string entry = client % 2 == 0 ? "a-e0" : "b-e1";
            responses[client] =
                lookup(entry, "open", R"({"id":"booking","work_ms":300})", {"Idempotency-Key: k1"});
        });
    }
    for (std::thread &client : clients)
        client.join();
    CHECK(deployment.journal().lookupRuns.at("booking") == 1);
    std::size_t answered = 0;
    for (const HttpResult &response : responses) {
        answered += response.status == 200 ? 1 : 0;
        CHECK((response.status == 200 || response.status == 409));
    }
    CHECK(answered >= 1);
    const HttpResult later =
        lookup("b-e0", "open", R"({"id":"booking","work_ms":300})", {"Idempotency-Key: k1"});
    CHECK(later.status == 200);
    CHECK(lookup("b-e0", "open", "{}", {"Idempotency-Key: k1"}).status == 422);
    CHECK(deployment.journal().lookupRuns.at("booking") == 1);
    // Another entry also finds the response right after the first one, while the store is slow.
    deployment.setPlatformFaults({{"delay_ms", 60}});
    const std::vector<std::string> key{"Idempotency-Key: k2"};
    CHECK(lookup("a-e0", "open", "{}", key).status == 200);
    CHECK(lookup("b-e0", "open", "{}", key).status == 200);
}

TEST_CASE_METHOD(ReadyDeployment, "Stopping an entry aborts no request", "[path][shutdown]")
{
    REQUIRE(awaitLookupsServed("a-e0"));
    REQUIRE(awaitLookupsServed("b-e0"));
    const std::string leaving = deployment.ownerOf("a");
    std::atomic<bool> isStopping = false;
    std::atomic<int> answered = 0;
    std::atomic<int> failed = 0;
    std::vector<std::thread> clients;
    clients.reserve(6);
    for (int client = 0; client < 6; ++client) {
        clients.emplace_back([&] {
            // Like a load balancer, each client uses the entry only while /healthz returns 200.
            while (deployment.call(leaving, "GET", "/healthz").status == 200) {
                const HttpResult response = lookup(leaving, "open", R"({"work_ms":400})");
                if (response.status == 200)
                    ++answered;
                else
                    ++failed;
            }
        });
    }
    std::this_thread::sleep_for(Duration(1000));
    deployment.signal(leaving, SIGTERM);
    for (std::thread &client : clients)
        client.join();
    CHECK(deployment.awaitEnd(leaving, Duration(20'000)));
    CHECK(answered > 0);
    CHECK(failed == 0);
    CHECK(deployment.journal().violations.empty());
}

TEST_CASE_METHOD(ReadyDeployment, "Invalid input is refused with the outcome not-run",
                 "[path][input]")
{
    const std::vector<std::string> key{"X-Team-Key: key-red"};
    const auto isRefused = [&](const HttpResult &response, int status) {
        CHECK(response.status == status);
        CHECK(Json::parse(response.body).at("outcome") == "not-run");
    };
    isRefused(lookup("a-e0", "no-such-queue", "{}"), 404);
    isRefused(lookup("a-e0", "open", std::string(2'000'000, 'x')), 413);
    isRefused(lookup("a-e0", "open", "{}", {"X-Idempotent: maybe"}), 400);
    isRefused(deployment.call("a-e0", "POST", "/jobs", "{bad", key), 400);
    const HttpResult faulty =
        deployment.call("a-e0", "POST", "/jobs", R"({"kind":"heap","tasks":0,"colour":1})", key);
    isRefused(faulty, 400);
    CHECK(Json::parse(faulty.body).at("faults").size() == 4);
    CHECK(awaitLookupsServed("a-e0"));
}
