#include "Transport/HttpClient.h"
#include "Transport/HttpServer.h"
#include "Transport/TransportError.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <ctime>
#include <functional>
#include <future>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

using namespace Cranberrymount;

namespace {

/** Test cases run in parallel processes, so each one takes the first free port of this range. */
constexpr uint16_t FirstPort = 20'872;
constexpr uint16_t LastPort = 20'899;
constexpr int ShortCallCount = 1000;
/** A busy machine inflates single measurements, and for longer than one of them takes: those to
 * compare alternate, and the least of each kind counts. */
constexpr int MeasurementCount = 15;

/** A server that answers at once, except for the path /held, which it never answers. */
class HttpClientFixture
{
protected:
    void openLongPolls(std::size_t count)
    {
        for (std::size_t index = 0; index < count; ++index)
            m_client.send(callTo("/held", Duration(60'000)), [](const HttpResult &) {});
        while (heldCount() < count)
            std::this_thread::yield();
    }

    /** @return the processor time that client and server use for ShortCallCount short calls. */
    std::chrono::nanoseconds processorTimeOfShortCalls()
    {
        const std::clock_t before = std::clock();
        for (int call = 0; call < ShortCallCount; ++call)
            REQUIRE(m_client.sendAndWait(callTo("/short", Duration(5000))).isOk());
        return std::chrono::nanoseconds((std::clock() - before) * (1'000'000'000 / CLOCKS_PER_SEC));
    }

    std::size_t heldCount()
    {
        const std::lock_guard lock(m_mutex);
        return m_held.size();
    }

    HttpCall callTo(const std::string &path, Duration timeout) const
    {
        HttpCall call;
        call.url = "http://127.0.0.1:" + std::to_string(m_port) + path;
        call.timeout = timeout;
        return call;
    }

    void answer(const HttpRequest &request, HttpResponder respond)
    {
        if (request.path != "/held")
            return respond({});
        const std::lock_guard lock(m_mutex);
        m_held.push_back(std::move(respond));
    }

    /** Starts a server on the first free port and sets m_port to it. */
    std::unique_ptr<HttpServer> listen(const HttpServerLimits &limits = {})
    {
        for (m_port = FirstPort;; ++m_port) {
            try {
                return std::make_unique<HttpServer>(
                    Endpoint{"127.0.0.1", m_port}, limits,
                    [this](const HttpRequest &request, HttpResponder respond) {
                        answer(request, std::move(respond));
                    });
            } catch (const TransportError &) {
                if (m_port == LastPort)
                    throw;
            }
        }
    }

    void answerHeld()
    {
        const std::lock_guard lock(m_mutex);
        for (const HttpResponder &respond : m_held)
            respond({});
        m_held.clear();
    }

    std::mutex m_mutex;
    std::vector<HttpResponder> m_held;
    uint16_t m_port = 0;
    std::unique_ptr<HttpServer> m_server = listen();
    HttpClient m_client;
};

/** One client without long polls and one that has a long poll open at each worker, as a leader. */
class LongPollFixture : public HttpClientFixture
{
protected:
    class Polling : public HttpClientFixture
    {
    public:
        Polling() { openLongPolls(350); }
        using HttpClientFixture::processorTimeOfShortCalls;
    };
    Polling m_polling;
};

} // namespace

TEST_CASE_METHOD(LongPollFixture, "Open long polls do not double the processor time of other calls",
                 "[transport]")
{
    auto withoutLongPolls = std::chrono::nanoseconds::max();
    auto withLongPolls = std::chrono::nanoseconds::max();
    for (int measurement = 0; measurement < MeasurementCount; ++measurement) {
        withoutLongPolls = std::min(withoutLongPolls, processorTimeOfShortCalls());
        withLongPolls = std::min(withLongPolls, m_polling.processorTimeOfShortCalls());
    }
    INFO("without long polls " << withoutLongPolls.count() << " ns, with long polls "
                               << withLongPolls.count() << " ns");
    CHECK(withLongPolls < 2 * withoutLongPolls);
}

TEST_CASE_METHOD(HttpClientFixture,
                 "Call without a response within its timeout ends with an unknown outcome",
                 "[transport]")
{
    const HttpResult result = m_client.sendAndWait(callTo("/held", Duration(200)));
    CHECK(result.outcome == HttpResult::Unknown);
    CHECK(m_client.sendAndWait(callTo("/short", Duration(5000))).isOk());
}

TEST_CASE_METHOD(HttpClientFixture,
                 "Call on an unresponsive connection ends after its stall timeout", "[transport]")
{
    HttpCall call = callTo("/held", Duration(30'000));
    call.stallTimeout = std::chrono::seconds(1);
    const auto before = std::chrono::steady_clock::now();
    CHECK(m_client.sendAndWait(call).outcome == HttpResult::Unknown);
    CHECK(std::chrono::steady_clock::now() - before < std::chrono::seconds(10));
}

// Guards against former leaders whose idle connections use up the connections of a worker.
TEST_CASE_METHOD(HttpClientFixture,
                 "Client closes idle connections, so that another client can reach a busy server",
                 "[transport]")
{
    constexpr std::size_t ServerConnections = 4;
    HttpServerLimits limits;
    limits.connections = ServerConnections;
    m_server = listen(limits);
    asio::io_context context;
    const auto runUntil = [&context](const std::function<bool()> &condition) {
        while (!condition()) {
            context.restart();
            context.run_for(std::chrono::milliseconds(5));
        }
    };
    HttpClient formerLeader(context, ServerConnections, std::chrono::seconds(1));
    std::size_t answeredCount = 0;
    const auto countAnswer = [&answeredCount](const HttpResult &result) {
        answeredCount += result.isOk() ? 1 : 0;
    };
    for (std::size_t call = 0; call < ServerConnections; ++call)
        formerLeader.send(callTo("/held", Duration(20'000)), countAnswer);
    runUntil([this] { return heldCount() == ServerConnections; });
    answerHeld();
    runUntil([&answeredCount] { return answeredCount == ServerConnections; });
    std::this_thread::sleep_for(std::chrono::milliseconds(2100));
    // As a node without workers still renews its lease in the store.
    formerLeader.send(callTo("/short", Duration(20'000)), countAnswer);
    runUntil([&answeredCount] { return answeredCount == ServerConnections + 1; });
    CHECK(m_client.sendAndWait(callTo("/short", Duration(2000))).isOk());
}

// Guards against former leaders that make no further call: libcurl closes idle connections only
// when it looks for one to reuse.
TEST_CASE_METHOD(HttpClientFixture, "Client that makes no further call closes its idle connections",
                 "[transport]")
{
    constexpr std::size_t ServerConnections = 2;
    HttpServerLimits limits;
    limits.connections = ServerConnections;
    m_server = listen(limits);
    asio::io_context context;
    HttpClient formerLeader(context, ServerConnections, std::chrono::seconds(1));
    std::size_t answeredCount = 0;
    for (std::size_t call = 0; call < ServerConnections; ++call)
        formerLeader.send(
            callTo("/held", Duration(20'000)),
            [&answeredCount](const HttpResult &result) { answeredCount += result.isOk() ? 1 : 0; });
    while (heldCount() < ServerConnections)
        context.run_for(std::chrono::milliseconds(5));
    answerHeld();
    context.run_for(std::chrono::milliseconds(3500));
    REQUIRE(answeredCount == ServerConnections);
    CHECK(formerLeader.connectionCount() == 0);
    CHECK(m_client.sendAndWait(callTo("/short", Duration(2000))).isOk());
}

// Guards against former leaders whose connections use up those of a worker.
TEST_CASE_METHOD(HttpClientFixture, "Client can close its connections and abort their calls",
                 "[transport]")
{
    HttpClient client;
    std::promise<HttpResult> promise;
    client.send(callTo("/held", Duration(20'000)),
                [&promise](HttpResult result) { promise.set_value(std::move(result)); });
    while (heldCount() == 0)
        std::this_thread::yield();
    client.closeConnections();
    CHECK(promise.get_future().get().outcome == HttpResult::Unknown);
    CHECK(client.sendAndWait(callTo("/short", Duration(2000))).isOk());
}

TEST_CASE("Call to a port without a listener ends as not sent", "[transport]")
{
    HttpClient client;
    HttpCall call;
    call.url = "http://127.0.0.1:1/";
    const HttpResult result = client.sendAndWait(call);
    CHECK(result.outcome == HttpResult::NotSent);
    CHECK(result.connectionFault == ConnectionFault::Refused);
}
