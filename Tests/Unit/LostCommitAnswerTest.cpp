#include "EndToEnd/PortReservation.h"
#include "PlatformStore.h"

#include "Coordination/Journal.h"
#include "Protocol/Json.h"
#include "Transport/AsioTimerService.h"
#include "Transport/HttpServer.h"

#include <asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <atomic>
#include <mutex>
#include <unistd.h>

using namespace Cranberrymount;

namespace {

constexpr std::chrono::seconds MaxIdleTime{5};
constexpr Duration LossTime{3000};

/** The platform's store, which leaves transactions unanswered on connections that stay open. */
class SilentTransactionStore
{
public:
    enum class Mode : uint8_t {
        Answers,
        /** It executes transactions. */
        LosesAnswers,
        /** It doesn't execute them. */
        LosesTransactions,
    };

    explicit SilentTransactionStore(const Endpoint &address)
        : m_server(address, {}, [this](const HttpRequest &request, const HttpResponder &respond) {
            handle(request, respond);
        })
    {
    }

    void setRevision(const std::string &key, uint64_t revision)
    {
        const std::lock_guard lock(m_mutex);
        m_items[key] = {{"key", key}, {"value", ""}, {"revision", revision}};
    }

    std::atomic<Mode> mode = Mode::Answers;
    std::atomic<std::size_t> unansweredCount = 0;

private:
    void handle(const HttpRequest &request, const HttpResponder &respond)
    {
        const std::lock_guard lock(m_mutex);
        if (request.path != "/-/kv-txn")
            return respond({200, list(request.query.at("prefix")).dump()});
        const HttpResponse response =
            mode == Mode::LosesTransactions ? HttpResponse() : execute(Json::parse(request.body));
        if (mode == Mode::Answers)
            return respond(response);
        ++unansweredCount;
        m_unanswered.push_back(respond);
    }

    Json list(const std::string &prefix) const
    {
        Json items = Json::array();
        for (const auto &[key, item] : m_items) {
            if (key.starts_with(prefix))
                items.push_back(item);
        }
        return {{"at", m_revision}, {"items", items}, {"hasMore", false}};
    }

    HttpResponse execute(const Json &transaction)
    {
        Json current = Json::array();
        bool holds = true;
        for (const Json &condition : transaction.at("expectedRev")) {
            const auto found = m_items.find(condition.at("key"));
            if (found != m_items.end())
                current.push_back(found->second);
            const Json revision = found == m_items.end() ? Json(0) : found->second.at("revision");
            holds = holds && revision == condition.at("revision");
        }
        if (!holds)
            return {412, Json{{"items", current}}.dump()};
        ++m_revision;
        for (Json row : transaction.at("put")) {
            row["revision"] = m_revision;
            m_items[row.at("key")] = row;
        }
        return {200, Json{{"revision", m_revision}}.dump()};
    }

    std::mutex m_mutex;
    std::map<std::string, Json> m_items;
    uint64_t m_revision = 100;
    std::vector<HttpResponder> m_unanswered;
    HttpServer m_server;
};

using Mode = SilentTransactionStore::Mode;

/** A leader's journal in the platform's store, with the node's limit of connections. */
class LostCommitAnswerFixture
{
protected:
    LostCommitAnswerFixture()
    {
        m_server.setRevision(LeaderKey, Claim.value());
        m_journal.emplace(Journal::Dependencies{m_store, m_timers, m_resends, m_log},
                          Journal::Start{Claim, m_timers.now()}, observer());
    }

    Journal::Observer observer()
    {
        return {[this] { ++m_supersededCount; }, [this](bool) { ++m_reachabilityChanges; }, [] {},
                [](const std::string &, double) {}};
    }

    /** Appends a record every 10 ms, and reads another key every 50 ms. */
    void runUnderLoad(Duration time)
    {
        const Instant end = m_timers.now() + time;
        for (int round = 0; m_timers.now() < end; ++round) {
            m_journal->append(JobCancelled{JobId(fmt::format("{:016x}", m_appendedCount++))},
                              [this] { ++m_confirmedCount; });
            if (round % 5 == 0) {
                m_store.list("op/", [this](const StoreRead &read) {
                    ++m_readCount;
                    m_unansweredReads += read.answered ? 0 : 1;
                });
            }
            m_context.run_for(Duration(10));
            m_maxConnections = std::max(m_maxConnections, m_client.connectionCount());
        }
    }

    static constexpr Revision Claim{7};

    PortReservation m_port{static_cast<unsigned>(getpid())};
    SilentTransactionStore m_server{{"127.0.0.1", m_port.port()}};
    asio::io_context m_context{1};
    HttpClient m_client{m_context, Platform::PlatformStore::MaxConnections, MaxIdleTime};
    Platform::PlatformStore m_store{m_client, m_context, {"127.0.0.1", m_port.port()}};
    AsioTimerService m_timers{m_context};
    ResendPolicy m_resends{m_timers};
    LogRateLimiter m_log{m_timers};
    std::optional<Journal> m_journal;
    int m_supersededCount = 0;
    int m_reachabilityChanges = 0;
    std::size_t m_appendedCount = 0;
    std::size_t m_confirmedCount = 0;
    std::size_t m_readCount = 0;
    std::size_t m_unansweredReads = 0;
    std::size_t m_maxConnections = 0;
};

} // namespace

// Guards against reads and later tries that wait for a connection while unanswered commits hold all
// of them.
TEST_CASE_METHOD(LostCommitAnswerFixture,
                 "Commits whose answers are lost leave connections for reads and later tries",
                 "[platform][lostanswers]")
{
    const Mode mode = GENERATE(Mode::LosesAnswers, Mode::LosesTransactions);
    INFO("mode " << static_cast<int>(mode));
    runUnderLoad(Duration(500));
    REQUIRE(m_confirmedCount > 0);
    m_server.mode = mode;
    m_maxConnections = 0;
    const std::size_t confirmedBefore = m_confirmedCount;
    runUnderLoad(LossTime);
    INFO("connections " << m_maxConnections << ", unanswered commits " << m_server.unansweredCount
                        << ", other reads " << m_readCount << ", confirmed "
                        << m_confirmedCount - confirmedBefore);
    CHECK(m_server.unansweredCount > 20);
    CHECK(m_maxConnections < Platform::PlatformStore::MaxConnections);
    CHECK(m_readCount > 30);
    CHECK(m_unansweredReads == 0);
    CHECK(m_reachabilityChanges == 0);
    if (mode == Mode::LosesAnswers)
        CHECK(m_confirmedCount - confirmedBefore > 50);
    // Later tries succeed before the first unanswered ones end.
    m_server.mode = Mode::Answers;
    const std::size_t appended = m_appendedCount;
    runUnderLoad(Duration(900));
    CHECK(m_confirmedCount >= appended);
    CHECK(m_supersededCount == 0);
}
