#include "PlatformDocuments.h"
#include "PlatformIngress.h"

#include "Protocol/CellMessages.h"
#include "Protocol/ProtocolError.h"
#include "Service/CellSettings.h"
#include "Service/Settings.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

using namespace Cranberrymount;
using namespace Cranberrymount::Platform;

namespace {

const std::string WorkerEntry =
    R"({"service":"pool","addr":"10.128.0.9:8080","zone":"a","version":"v1",
    "slots":8,"state":"ready","capacity":{"cpu":16000,"memMb":32768},"labels":["kind","r1-3"],
    "born":1700000000000,"seqNo":4})";

std::string replaced(std::string text, const std::string &from, const std::string &to)
{
    return text.replace(text.find(from), from.size(), to);
}

} // namespace

TEST_CASE("Configuration document is decoded into queues, pools and teams", "[platform]")
{
    const CellConfiguration configuration = decodeConfiguration(R"({"version":7,"routes":[
        {"name":"r1","host":"h","prefix":"/a/","service":"pool","targetDurationMs":250,"priority":1,
         "maxAttempts":2,"stretchFactor":2.2,
         "hint":{"decisionMs":9.3,"perWorkerMs":0.13,"validMs":1500}},
        {"name":"r2","host":"h","prefix":"/a/b/","service":"pool","public":true}],
        "services":[{"name":"pool","admissionControl":true}],
        "tenants":[{"name":"t","apiKeys":["k1","k2"],"weight":32,"cap":{"cpu":5000}}],
        "limits":{"maxBodyBytes":1000},"unknown":1})");
    CHECK(configuration.version == 7);
    REQUIRE(configuration.route("h", "/a/x"));
    CHECK(configuration.route("h", "/a/x")->id == QueueId("r1"));
    CHECK(configuration.route("h", "/a/b/x")->id == QueueId("r2"));
    CHECK(configuration.route("h", "/a/b/x")->isOpenToAll);
    CHECK_FALSE(configuration.route("other", "/a/x"));
    const QueueSettings &queue = configuration.queues.front();
    REQUIRE(queue.advice);
    CHECK(queue.advice->costOf(10) == Duration(10));
    CHECK(queue.advice->ticketLifetime == Duration(1500));
    CHECK(configuration.teamOfKey("k2")->id == TeamId("t"));
    CHECK_FALSE(configuration.teamOfKey(""));
    CHECK(configuration.teams.front().cap.cpu == CpuMillis(5000));
}

// Guards against a session that cannot tell a worker's incarnations apart: every entry that a
// worker writes says when it started, so one that doesn't comes from another writer.
TEST_CASE("Worker's entry without the time of its start names no worker", "[platform]")
{
    CHECK_THROWS(decodeWorker("i-1", replaced(WorkerEntry, "\"born\":1700000000000,", "")));
}

TEST_CASE("Worker's entry is decoded, and a malformed one fails", "[platform]")
{
    const CellWorker worker = decodeWorker("i-1", WorkerEntry);
    CHECK(worker.incarnation == WorkerIncarnation{WorkerId("i-1"), 1700000000000});
    CHECK(worker.address.text() == "10.128.0.9:8080");
    CHECK(worker.rack == RackId("r1-3"));
    CHECK_FALSE(worker.isLeaving);
    CHECK(decodeWorker("i-1", replaced(WorkerEntry, "ready", "draining")).isLeaving);
    for (const std::string &malformed :
         {std::string("\xff\x00", 2), std::string("[]"), std::string("{}"),
          replaced(WorkerEntry, "ready", "asleep"), replaced(WorkerEntry, ":8080", ""),
          replaced(WorkerEntry, "\"10.128.0.9:8080\"", "7"),
          replaced(WorkerEntry, "16000", "\"many\"")})
        CHECK_THROWS(decodeWorker("i-1", malformed));
}

namespace {

/** Store that lists an invalid entry between two valid ones. */
class StoreWithInvalidEntry : public TransactionalStore
{
public:
    explicit StoreWithInvalidEntry(std::string invalidEntry)
        : m_invalidEntry(std::move(invalidEntry))
    {
    }

    void list(const std::string &prefix, std::function<void(StoreRead)> done) override
    {
        done({true,
              {{prefix + "i-1", WorkerEntry, Revision(1)},
               {prefix + "i-2", m_invalidEntry, Revision(2)},
               {prefix + "i-3", WorkerEntry, Revision(3)}}});
    }
    void probe(std::function<void(bool)>) override { }
    void commit(StoreTransaction, std::function<void(CommitResult)>) override { }
    void createLease(Duration, std::function<void(StoreLease)>) override { }
    void renewLease(StoreLeaseId, std::function<void(StoreLease)>) override { }

private:
    std::string m_invalidEntry;
};

std::string nested(std::size_t depth)
{
    return std::string(depth, '[') + std::string(depth, ']');
}

} // namespace

// Guards against one invalid entry, left in the store by another writer, that crashes every node
// which reads the list or hides all workers from it.
TEST_CASE("Invalid worker entry is skipped and the others are read", "[platform]")
{
    const std::string invalidEntry =
        GENERATE(replaced(WorkerEntry, "\"kind\"", nested(100)),
                 replaced(WorkerEntry, "\"v1\"", nested(400'000)),
                 replaced(WorkerEntry, "\"kind\"", "\"" + std::string(900'000, 'k') + "\""),
                 replaced(WorkerEntry, "16000", "1e300"), replaced(WorkerEntry, "16000", "-1e300"),
                 replaced(WorkerEntry, "16000", "9223372036854775807"),
                 replaced(WorkerEntry, "16000", "18446744073709551615"),
                 replaced(WorkerEntry, "16000", "-16000"), replaced(WorkerEntry, "32768", "1e999"),
                 replaced(WorkerEntry, "1700000000000", "1e300"),
                 replaced(WorkerEntry, "1700000000000", "18446744073709551615"),
                 replaced(WorkerEntry, "1700000000000", "1700000000000.5"),
                 replaced(WorkerEntry, ":8080", ":99999"), replaced(WorkerEntry, ":8080", ":65536"),
                 replaced(WorkerEntry, ":8080", ":-1"), replaced(WorkerEntry, ":8080", ":0"),
                 replaced(WorkerEntry, "10.128.0.9", "no.such.host"),
                 replaced(WorkerEntry, "10.128.0.9", "10.128.0.9/x"));
    StoreWithInvalidEntry store(invalidEntry);
    PlatformDocuments documents(store);
    WorkerDirectory read;
    documents.readWorkers([&read](WorkerDirectory directory) { read = std::move(directory); });
    CHECK(read.answered);
    REQUIRE(read.workers.size() == 2);
    CHECK(read.workers[0].incarnation.id == WorkerId("i-1"));
    CHECK(read.workers[1].incarnation.id == WorkerId("i-3"));
}

// Guards against a single deeply nested submission that crashes the node.
TEST_CASE("Job that is nested too deeply or has a number out of range is refused as malformed",
          "[platform]")
{
    const std::string deep = nested(400'000);
    CHECK_THROWS_AS(decodeWorkflow(R"({"steps":)" + deep + "}"), ProtocolError);
    CHECK_THROWS_AS(decodeWorkflow(R"({"steps":[{"count":1}],"other":)" + deep + "}"),
                    ProtocolError);
    for (const char *field : {"cpu", "memMb", "gpu", "estimateMs"}) {
        for (const char *number : {"1e300", "18446744073709551615", "-1"}) {
            CHECK_THROWS_AS(decodeWorkflow(fmt::format(R"({{"steps":[{{"count":1,"{}":{}}}]}})",
                                                       field, number)),
                            ProtocolError);
        }
    }
    CHECK_THROWS_AS(decodeWorkflow(R"({"steps":[{"count":1}],"repeatCount":2,"periodMs":1e300})"),
                    ProtocolError);
    CHECK_THROWS_AS(decodeWorkflow(R"({"steps":[{"count":10000}],"repeatCount":10000})"),
                    ProtocolError);
    CHECK(decodeWorkflow(R"({"steps":[{"count":10000}],"repeatCount":10})").occurrences == 10);
}

TEST_CASE("Submitted job is decoded, and a malformed one fails with a protocol error", "[platform]")
{
    const WorkflowSpec spec = decodeWorkflow(R"({"spec":"text","steps":[{"count":4,"cpu":500},
        {"count":20,"cpu":2000,"after":[0],"checkpointing":true,"gang":true,"maxPerServer":3}],
        "repeatCount":2,"startAtMs":1000,"periodMs":500})");
    REQUIRE(spec.steps.size() == 2);
    CHECK(spec.steps[1].after == std::vector<uint32_t>{0});
    CHECK(spec.steps[1].savesProgress);
    CHECK(spec.steps[1].isGang);
    CHECK(spec.steps[1].maxPerWorker == 3);
    CHECK(spec.occurrences == 2);
    CHECK_THROWS_AS(decodeWorkflow("no json"), ProtocolError);
    CHECK_THROWS_AS(decodeWorkflow(R"({"steps":[]})"), ProtocolError);
    CHECK_THROWS_AS(decodeWorkflow(R"({"steps":[{"count":1,"after":[0]}]})"), ProtocolError);
    CHECK_THROWS_AS(decodeWorkflow(R"({"steps":[{"count":-1}]})"), ProtocolError);
}

// Guards against a leader that runs out of memory over one job, which it may already have accepted.
TEST_CASE("Job with too many steps for its occurrences is refused as malformed", "[platform]")
{
    std::string steps = R"({"count":0})";
    for (int count = 1; count < 100; ++count)
        steps += R"(,{"count":0})";
    CHECK_NOTHROW(decodeWorkflow(R"({"steps":[)" + steps + R"(],"repeatCount":1000})"));
    CHECK_THROWS_AS(decodeWorkflow(R"({"steps":[)" + steps + R"(],"repeatCount":1001})"),
                    ProtocolError);
}

// Guards against a deadline that a header does not give.
TEST_CASE("Client's timeout is read only from a header that is a number", "[platform]")
{
    const auto timeoutOf = [](const std::string &text) {
        HttpRequest request;
        request.headers["x-deadline-ms"] = text;
        return clientTimeout(request);
    };
    CHECK(timeoutOf("1500") == Duration(1500));
    CHECK(timeoutOf("99999999999") == Duration(3'600'000));
    CHECK(timeoutOf("-5") == Duration(0));
    for (const char *text : {"", "1500ms", "1500 200", "15.5", "0x10", "many"}) {
        INFO(text);
        CHECK(timeoutOf(text) == Duration(0));
    }
}

TEST_CASE("Refusal gives the time until a retry in whole seconds", "[platform]")
{
    ClientReply reply;
    reply.outcome = ClientReply::Isolated;
    reply.retryAfter = Duration(1200);
    const HttpResponse response = encodeClientReply(reply);
    CHECK(response.status == 503);
    CHECK(response.headers.at("Retry-After") == "2");
    CHECK(response.closesConnection);
}

TEST_CASE("Messages between nodes are unchanged by encoding and decoding", "[platform]")
{
    ClientCall call;
    call.kind = ClientCall::Submit;
    call.path = "/a/0123456789abcdef";
    call.spec = decodeWorkflow(R"({"spec":"text","steps":[{"count":4,"cpu":500}]})");
    const CellEnvelope clientEnvelope = decodeCellEnvelope(encodeCellEnvelope({42, call}));
    CHECK(clientEnvelope.correlation == 42);
    REQUIRE(std::holds_alternative<ClientCall>(clientEnvelope.message));
    CHECK(std::get<ClientCall>(clientEnvelope.message).path == call.path);
    CHECK(std::get<ClientCall>(clientEnvelope.message).spec.steps.at(0).taskCount == 4);
    const CellEnvelope announcementEnvelope = decodeCellEnvelope(
        encodeCellEnvelope({0, AnnouncementMessage{Revision(7), EntryId("n"), {"10.0.0.1", 80}}}));
    CHECK(std::get<AnnouncementMessage>(announcementEnvelope.message).address.port == 80);
    const RunEnded end{{JobId("j"), 0, 1, 2}, 3, RunOutcome::Done, "c"};
    const CellEnvelope leftoverEnvelope =
        decodeCellEnvelope(encodeCellEnvelope({0, LeftoverEndsMessage{{end}}}));
    const RunEnded decodedEnd = std::get<LeftoverEndsMessage>(leftoverEnvelope.message).ends.at(0);
    CHECK(decodedEnd.task == end.task);
    CHECK(decodedEnd.checkpoint == "c");
    HoldReply report;
    report.outcome = HoldReply::Answered;
    report.clock = WorkerClock(17);
    report.startedAtMs = 1700000000000;
    report.running = {{end.task, 2, "saved", 41}};
    report.ended = {{58, end.task, 1, RunOutcome::Lapsed, "c"}};
    const CellEnvelope reportEnvelope =
        decodeCellEnvelope(encodeCellEnvelope({1, report, Duration(5)}));
    CHECK(reportEnvelope.sentAt == Duration(5));
    const HoldReply &decodedReport = std::get<HoldReply>(reportEnvelope.message);
    CHECK(decodedReport.outcome == HoldReply::Answered);
    CHECK(decodedReport.startedAtMs == 1700000000000);
    CHECK(decodedReport.running.at(0).task == end.task);
    CHECK(decodedReport.running.at(0).percent == 41);
    CHECK(decodedReport.ended.at(0).number == 58);
    CHECK(decodedReport.ended.at(0).outcome == RunOutcome::Lapsed);
    StartCall start;
    start.to = {{"10.0.0.1", 80}, WorkerId("w"), Epoch(7)};
    start.task = end.task;
    start.leaseUntil = WorkerClock(9);
    start.ticket = "t";
    const CellEnvelope startEnvelope = decodeCellEnvelope(encodeCellEnvelope({1, start}));
    const StartCall &decodedStart = std::get<StartCall>(startEnvelope.message);
    CHECK(decodedStart.to.address.text() == "10.0.0.1:80");
    CHECK(decodedStart.to.epoch == Epoch(7));
    CHECK(decodedStart.leaseUntil == WorkerClock(9));
    CHECK(decodedStart.ticket == "t");
    CHECK_THROWS_AS(decodeCellEnvelope("rubbish"), ProtocolError);

    // The leader must learn that a forwarder found no connection, or it would start there again.
    const CellEnvelope replyEnvelope = decodeCellEnvelope(
        encodeCellEnvelope({1, StartReply{StartReply::Refused, ConnectionFault::Refused}}));
    const auto &startReply = std::get<StartReply>(replyEnvelope.message);
    CHECK(startReply.outcome == StartReply::Refused);
    CHECK(startReply.fault == ConnectionFault::Refused);
}

TEST_CASE("Cell node's settings are parsed, and wrong keys and types are refused", "[platform]")
{
    const std::string validSettings = R"([node]
id = "n"
zone = "a"
front = "10.0.0.1:80"
readiness = "10.0.0.1:81"
peer = "10.0.0.1:82"
metrics = "10.0.0.1:83"
[platform]
store = "10.0.0.2:80"
)";
    CHECK(parseCellSettings(validSettings, "cell.toml").peer.port == 82);
    const std::string smallNodeSettings =
        "[node]\nprocessor_share = 0.12\nprocessor_cores = 1\nlink_mbps = 2.5\n"
        + validSettings.substr(7);
    CHECK(parseCellSettings(smallNodeSettings, "cell.toml").processor == CpuMillis(120));
    CHECK(parseCellSettings(smallNodeSettings, "cell.toml").linkBandwidth == 2.5);
    const CellSettings limited =
        parseCellSettings("[node]\nmemory_mb = 64\nmax_descriptors = 400\nmax_body_bytes = 65536\n"
                              + validSettings.substr(7),
                          "cell.toml");
    CHECK(limited.memory == MemoryMb(64));
    CHECK(limited.maxDescriptors == 400);
    CHECK(limited.maxBodyBytes == 65'536);
    // A node that is not told its limits assumes the smallest machine.
    CHECK(parseCellSettings(validSettings, "cell.toml").memory == MemoryMb(160));
    CHECK_THROWS_AS(
        parseCellSettings("[node]\nlink_mbps = 0\n" + validSettings.substr(7), "cell.toml"),
        SettingsError);
    CHECK_FALSE(parseCellSettings(validSettings, "cell.toml").advisor.isSet());
    CHECK(parseCellSettings(validSettings + "[timing]\nconfig_apply_ms = 4000\n", "cell.toml")
              .configApply
          == Duration(4000));
    CHECK(parseCellSettings(validSettings, "cell.toml").remoteFactor == 1);
    const std::string placement = "[placement]\nremote_factor = ";
    CHECK(parseCellSettings(validSettings + placement + "1.5\n", "cell.toml").remoteFactor == 1.5);
    CHECK(parseCellSettings(validSettings + placement + "3\n", "cell.toml").remoteFactor == 3);
    CHECK_THROWS_AS(parseCellSettings(validSettings + placement + "0.9\n", "cell.toml"),
                    SettingsError);
    CHECK_THROWS_AS(parseCellSettings(validSettings + "typo = 1\n", "cell.toml"), SettingsError);
    CHECK_THROWS_AS(parseCellSettings("[node]\nid = 7\n", "cell.toml"), SettingsError);
}
